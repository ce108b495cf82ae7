package dapplequay.discovery;

/**
 * One server's change of status, and what brought it.
 *
 * @param previousDurationUs how long the status before had lasted, microseconds; 0 where the server was not listed
 */
public record Transition(String uid, ServerStatus from, ServerStatus to, Cause cause, long previousDurationUs) {
    /** Why a status changed. */
    public enum Cause {
        /** A list or a change names the server as serving. */
        NAMED_SERVING,
        /** A list or a change names it as draining. */
        NAMED_DRAINING,
        /** A change names it as deleted. */
        NAMED_DELETED,
        /** A whole list does not name it. */
        LEFT_OUT,
        /** Another whole list does not name it either. */
        LEFT_OUT_AGAIN,
        /** Nothing confirmed or denied that it is gone until its deadline. */
        DEADLINE
    }
}
