package dapplequay.facade;

/** What is to be done now for one request. */
public sealed interface Decision {
    /**
     * Send an attempt to this host and wait for it no longer than the time-out; attempts are numbered from 0. Its first
     * byte has to go out before {@code beginByUs}, by the facade's clock (Long.MAX_VALUE: whenever): where it can't any
     * more, nothing of the attempt goes out, and it ends as {@link AttemptEnd#NOT_SENT}.
     */
    record Send(int attempt, String host, long timeoutUs, long beginByUs) implements Decision {
        /** One that may begin at any time. */
        public Send(int attempt, String host, long timeoutUs) {
            this(attempt, host, timeoutUs, Long.MAX_VALUE);
        }
    }

    /** Answer that a new try is harmless, after {@code pauseUs} if that is more than 0. */
    record Refuse(long retryAfterUs) implements Decision { }

    /** Answer that the request failed, with no promise about effects. */
    record Fail() implements Decision { }

    /** Nothing: the request is over. */
    record NoAction() implements Decision { }
}
