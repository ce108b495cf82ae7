package dapplequay.facade;

/** What is to be done now for one request. */
public sealed interface Decision {
    /** Send a leg to this host and wait for it no longer than the time-out; legs are numbered from 0. */
    record Send(int leg, String host, long timeoutUs) implements Decision { }

    /** Answer that a new try is harmless, after {@code pauseUs} if that is more than 0. */
    record Refuse(long pauseUs) implements Decision { }

    /** Answer that the request failed, with no promise about effects. */
    record Fail() implements Decision { }

    /** Nothing: the request is over. */
    record Rest() implements Decision { }
}
