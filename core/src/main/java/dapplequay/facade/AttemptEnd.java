package dapplequay.facade;

import dapplequay.BalancerApi.Outcome;

/** How one attempt ended. Whether the request may be retried depends on which of these rule out that it ran. */
public enum AttemptEnd {
    SERVED(Outcome.OK),
    /** The host answered with an error. */
    ERROR(Outcome.ERROR),
    /** The host rejected the request as the client sent it; says nothing about the state of the host. */
    NOT_ACCEPTED(Outcome.CANCELLED),
    /** The host rejected the request without processing it. */
    TURNED_AWAY(Outcome.REFUSED),
    TIMED_OUT(Outcome.TIMEOUT),
    /** The connection failed, or broke before the last byte of the request was written. */
    NOT_CONNECTED(Outcome.CONNECT_FAILED),
    /** The connection broke after the last byte of the request was written. */
    RESET(Outcome.RESET),
    /** The sidecar cancelled the attempt because the client disconnected. */
    GIVEN_UP(Outcome.CANCELLED),
    /** The balancer cancelled the attempt because its host stopped answering; the request may have run. */
    SILENT(Outcome.CANCELLED),
    /** Nothing was written, for a reason that says nothing about the state of the host. */
    NOT_SENT(Outcome.NOT_SENT);

    final Outcome outcome;

    AttemptEnd(Outcome outcome) {
        this.outcome = outcome;
    }
}
