package dapplequay.facade;

/** What to do next for one request. */
public sealed interface Decision {
    /**
     * Send an attempt to a host. An attempt whose first byte can't be written before {@code beginByUs} is not sent at
     * all and ends as {@link AttemptEnd#NOT_SENT}.
     *
     * @param attempt   the number of the attempt, from 0
     * @param timeoutUs how long to wait for the answer, microseconds
     * @param beginByUs a time of the facade's clock, microseconds; Long.MAX_VALUE if there is no limit
     */
    record Send(int attempt, String host, long timeoutUs, long beginByUs) implements Decision {
        /** Creates an attempt that may begin at any time. */
        public Send(int attempt, String host, long timeoutUs) {
            this(attempt, host, timeoutUs, Long.MAX_VALUE);
        }
    }

    /** Answer that a retry is safe, with {@code retryAfterUs} (microseconds) as Retry-After if it is more than 0. */
    record Refuse(long retryAfterUs) implements Decision { }

    /** Answer that the request failed; it may have taken effect. */
    record Fail() implements Decision { }

    /** Do nothing: the request is over. */
    record NoAction() implements Decision { }
}
