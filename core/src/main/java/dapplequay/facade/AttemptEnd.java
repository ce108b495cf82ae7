package dapplequay.facade;

import dapplequay.BalancerApi.Outcome;

/** How one attempt ended. The rules on repeats hang on which of these say that the request never ran. */
public enum AttemptEnd {
    SERVED(Outcome.OK),
    /** The host answered that it failed. */
    ERROR(Outcome.ERROR),
    /** The host found fault with the request itself, as a client made it: this tells nothing of the host. */
    NOT_ACCEPTED(Outcome.CANCELLED),
    /** The host sent it back unseen. */
    TURNED_AWAY(Outcome.REFUSED),
    TIMED_OUT(Outcome.TIMEOUT),
    /** No connection, or it broke before the request's last byte was written. */
    NOT_CONNECTED(Outcome.CONNECT_FAILED),
    /** The connection broke after that. */
    RESET(Outcome.RESET),
    /** Given up on this side, as the client left. */
    GIVEN_UP(Outcome.CANCELLED),
    /** Cut by the decisions, as its host has fallen silent; it may have run. */
    SILENT(Outcome.CANCELLED),
    /** Never written, for a reason that tells nothing of the host. */
    NOT_SENT(Outcome.NOT_SENT);

    final Outcome outcome;

    AttemptEnd(Outcome outcome) {
        this.outcome = outcome;
    }
}
