package dapplequay.discovery;

/**
 * One server's change of status and its cause.
 *
 * @param previousDurationUs how long the previous status lasted, microseconds; 0 if the server was not listed
 */
public record Transition(String uid, ServerStatus from, ServerStatus to, Cause cause, long previousDurationUs) {
    /** Why a status changed. */
    public enum Cause {
        /** A full list or a delta lists the server as serving. */
        NAMED_SERVING,
        /** A full list or a delta lists it as draining. */
        NAMED_DRAINING,
        /** A delta lists it as deleted. */
        NAMED_DELETED,
        /** A full list omits it. */
        LEFT_OUT,
        /** A second full list omits it, too. */
        LEFT_OUT_AGAIN,
        /** Its deadline passed before discovery confirmed or denied that it is gone. */
        DEADLINE
    }
}
