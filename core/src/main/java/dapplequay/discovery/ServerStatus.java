package dapplequay.discovery;

/** Whether new requests may be sent to a server. */
public enum ServerStatus {
    /** New requests may be sent. */
    SERVING,
    /** A full list that may be wrong omits the server: requests may be sent until a deadline set by that list. */
    UNCONFIRMED,
    /** No new requests: the server finishes those that it has. */
    DRAINING,
    /** No new requests: the server is not listed. */
    REMOVED
}
