package dapplequay.discovery;

/** Whether new work may be sent to a server. */
public enum ServerStatus {
    /** It may. */
    SERVING,
    /** A whole list that may be wrong leaves it out: it may until the deadline that began with that list. */
    UNCONFIRMED,
    /** It may not: it finishes what it has. */
    DRAINING,
    /** It may not: it is not in the list. */
    REMOVED
}
