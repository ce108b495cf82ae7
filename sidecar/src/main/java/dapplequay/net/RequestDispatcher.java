package dapplequay.net;

import dapplequay.facade.AttemptEnd;
import dapplequay.facade.Decision;
import dapplequay.facade.Facade;
import dapplequay.facade.HostLoad;
import dapplequay.facade.RequestBodyState;
import dapplequay.facade.RequestInfo;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.management.RequestCounts.End;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Carries out the decisions of the facade: sends attempts to upstreams and responses to clients. */
class RequestDispatcher {
    private static final Logger LOG = Logger.getLogger(RequestDispatcher.class.getName());

    private final Facade facade;
    private final UpstreamPool upstreamPool;
    /** Attempts in progress, by the id of their exchange. */
    private final Map<Long, Attempt> activeAttempts = new ConcurrentHashMap<>();

    RequestDispatcher(Facade facade, UpstreamPool upstreamPool) {
        this.facade = facade;
        this.upstreamPool = upstreamPool;
    }

    void begin(Exchange exchange, RequestInfo requestInfo) {
        runGuarded(exchange, () -> execute(exchange, facade.pick(exchange.id, requestInfo)));
    }

    private void execute(Exchange exchange, Decision decision) {
        if (decision instanceof Decision.Send send) {
            Attempt attempt = new Attempt(exchange, send, upstreamPool.now());
            activeAttempts.put(exchange.id, attempt);
            upstreamPool.send(attempt);
        } else if (decision instanceof Decision.Refuse refuse && exchange.claim()) {
            LOG.fine(() -> "refused " + exchange.id);
            finish(exchange, End.THROTTLED, ClientResponses.refusal(refuse.retryAfterUs()));
        } else if (decision instanceof Decision.Fail && exchange.claim()) {
            LOG.fine(() -> "failed " + exchange.id);
            finish(exchange, End.FAULTED, ClientResponses.failure(exchange.failureStatus()));
        }
    }

    /** Sends the only response; called by the thread that claimed the exchange. Counted before the client sees it. */
    private static void finish(Exchange exchange, End end, ClientResponses.Response response) {
        exchange.recordEnd(end);
        exchange.client.writeResponse(response);
    }

    /** Called when an attempt is no longer held back: from now on it is being connected or written. */
    void attemptStarted(Attempt attempt) {
        facade.attemptStarted(attempt.exchange.id);
    }

    /** Called when an attempt has ended; {@code load}, {@code head} and {@code body} are null without a response. */
    void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
        Exchange exchange = attempt.exchange;
        activeAttempts.remove(exchange.id, attempt);
        RequestBodyState bodyState = exchange.detach(attempt);
        recordEnd(attempt, end);
        if (LOG.isLoggable(Level.FINE)) {       // runs for each attempt: build the text only if it is logged
            LOG.fine("attempt " + attempt.decision.host() + ' ' + end + ' ' + (upstreamPool.now() - attempt.startUs())
                    + ' ' + attempt.connectionIdleUs() + ' ' + exchange.id);
        }
        runGuarded(exchange, () -> {
            // A request that one host rejects as invalid would be rejected by any other.
            boolean answersClient = (end == AttemptEnd.SERVED || end == AttemptEnd.NOT_ACCEPTED) && exchange.claim();
            exchange.lastAttemptEnded(end);
            Decision next = facade.reportAttempt(exchange.id, attempt.decision.attempt(), attempt.decision.host(), end,
                    attempt.durationUs(end, upstreamPool.now()), exchange.isClaimed(), load, bodyState);
            if (answersClient) {
                if (end == AttemptEnd.SERVED) {
                    finish(exchange, End.FULFILLED, ClientResponses.fromUpstream(head, body));
                } else {
                    finish(exchange, End.FAULTED, ClientResponses.plainText(400, "not accepted"));
                }
            } else {
                execute(exchange, next);
            }
        });
    }

    /**
     * Relays a long response that has begun, and returns whether all of it reached the client. The decision module is
     * notified at once that the attempt was served, as only the transfer is left.
     */
    boolean relay(Attempt attempt, HostLoad load, Head head, Body body, ResponseStart start) {
        Exchange exchange = attempt.exchange;
        activeAttempts.remove(exchange.id, attempt);
        RequestBodyState bodyState = exchange.detach(attempt);
        recordEnd(attempt, AttemptEnd.SERVED);
        boolean claimed = exchange.claimForRelay();
        runGuarded(exchange, () -> facade.reportAttempt(exchange.id, attempt.decision.attempt(),
                attempt.decision.host(), AttemptEnd.SERVED,
                attempt.durationUs(AttemptEnd.SERVED, upstreamPool.now()), true, load, bodyState));
        if (!claimed) {
            return false;
        }
        boolean whole = false;
        try {
            whole = exchange.client.relayResponse(head, body, start, exchange.deadlineUs());
        } finally {
            exchange.recordEnd(whole ? End.FULFILLED : End.FAULTED);
        }
        return whole;
    }

    /**
     * Called when the last byte of a long request has arrived and is about to be sent: its deadline counts from now on.
     * Returns false if the attempt has ended.
     *
     * @param dueUs the deadline, microseconds
     */
    boolean beginFinalWrite(Attempt attempt, long dueUs) {
        if (!upstreamPool.beginFinalWrite(attempt, dueUs)) {
            return false;
        }
        attempt.exchange.markReceived();
        attempt.exchange.setDeadline(attempt.expiresAtUs());
        facade.requestBodySent(attempt.exchange.id);
        return true;
    }

    /** Aborts the attempt of a long request whose time is over, or whose host has stopped reading. */
    void abortOverdueUpload(Exchange exchange) {
        Attempt attempt = exchange.attempt();
        if (attempt != null) {
            attempt.abort(AttemptEnd.TIMED_OUT);
        }
    }

    /** Answers a long request that can't continue through its client's fault, and gives up the attempt. */
    void rejectUpload(Exchange exchange, ClientResponses.Response response) {
        giveUp(exchange, () -> finish(exchange, End.FAULTED, response));
    }

    /**
     * Called when no attempt may begin, as it is not known whether the client is still there. If it is, it gets its
     * answer: a refusal, or a failure if an attempt has begun before.
     */
    void clientUnseen(Exchange exchange) {
        giveUp(exchange, () -> {
            if (exchange.hasBegun()) {
                finish(exchange, End.FAULTED, ClientResponses.failure(exchange.failureStatus()));
            } else {
                finish(exchange, End.THROTTLED, ClientResponses.refusal(0));
            }
        });
    }

    /** Aborts these attempts as silent; each is reported by the thread of its connection. */
    void abort(List<Facade.AttemptCancellation> cancellations) {
        for (Facade.AttemptCancellation cancellation : cancellations) {
            Attempt attempt = activeAttempts.get(cancellation.id());
            if (attempt != null && attempt.decision.attempt() == cancellation.attempt()) {
                attempt.abort(AttemptEnd.SILENT);
            }
        }
    }

    /** Called when the client has disconnected: no response is sent, and the attempt in progress is abandoned. */
    void clientLeft(Exchange exchange) {
        giveUp(exchange, () -> exchange.recordEnd(End.FAULTED));
    }

    private void recordEnd(Attempt attempt, AttemptEnd end) {
        attempt.exchange.timeline.attemptEnded(attempt.timesAtEnd(upstreamPool.now()), attempt.decision.host(), end);
    }

    private void giveUp(Exchange exchange, Runnable end) {
        if (exchange.claim()) {
            Attempt attempt = exchange.attempt();
            if (attempt != null) {
                recordEnd(attempt, AttemptEnd.GIVEN_UP);
            }
            end.run();
            facade.clientGone(exchange.id);
            if (attempt != null) {
                attempt.abort(AttemptEnd.GIVEN_UP);
            }
        }
    }

    /**
     * Runs a step so that a bug in it, or a lack of memory, neither leaves the client without a response nor ends the
     * calling thread.
     */
    private void runGuarded(Exchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | OutOfMemoryError e) {
            Logs.severe(LOG, "exchange failed", e);
            if (exchange.claim()) {
                finish(exchange, End.FAULTED, ClientResponses.failure(500));
            }
        }
    }
}
