package dapplequay.net;

import dapplequay.facade.Call;
import dapplequay.facade.Decision;
import dapplequay.facade.Facade;
import dapplequay.facade.HostLoad;
import dapplequay.facade.AttemptEnd;
import dapplequay.facade.Upload;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.management.Counts.End;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Carries out what the facade decides: attempts to the upstream side, answers to the client side. */
class Conductor {
    private static final Logger LOG = Logger.getLogger(Conductor.class.getName());

    private final Facade facade;
    private final UpstreamSide upstreams;
    /** The attempts that are out, by their exchange's number. */
    private final Map<Long, Attempt> out = new ConcurrentHashMap<>();

    Conductor(Facade facade, UpstreamSide upstreams) {
        this.facade = facade;
        this.upstreams = upstreams;
    }

    void begin(Exchange exchange, Call call) {
        guarded(exchange, () -> carryOut(exchange, facade.pick(exchange.id, call)));
    }

    private void carryOut(Exchange exchange, Decision decision) {
        if (decision instanceof Decision.Send send) {
            Attempt attempt = new Attempt(exchange, send, upstreams.now());
            out.put(exchange.id, attempt);
            upstreams.send(attempt);
        } else if (decision instanceof Decision.Refuse refuse && exchange.claim()) {
            LOG.fine(() -> "refused " + exchange.id);
            finish(exchange, End.THROTTLED, ClientResponses.refusal(refuse.pauseUs()));
        } else if (decision instanceof Decision.Fail && exchange.claim()) {
            LOG.fine(() -> "failed " + exchange.id);
            finish(exchange, End.FAULTED, ClientResponses.failure(exchange.failureStatus()));
        }
    }

    /** The one answer, by who claimed it; it is counted before the client can see it. */
    private static void finish(Exchange exchange, End how, ClientResponses.Response answer) {
        exchange.ended(how);
        exchange.from.writeResponse(answer);
    }

    /** An attempt is held back no longer: it is connected for or written from now on. */
    void attemptStarted(Attempt attempt) {
        facade.attemptStarted(attempt.exchange.id);
    }

    /** An attempt has ended; {@code load}, {@code head} and {@code body} are there only if it was answered. */
    void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
        Exchange exchange = attempt.exchange;
        out.remove(exchange.id, attempt);
        Upload upload = exchange.attemptOver(attempt);
        if (LOG.isLoggable(Level.FINE)) {       // once an attempt: nothing is put together for nobody
            LOG.fine("attempt " + attempt.order.host() + ' ' + end + ' ' + (upstreams.now() - attempt.startUs()) + ' '
                    + attempt.idleUs() + ' ' + exchange.id);
        }
        guarded(exchange, () -> {
            // What the request itself is at fault for, another host would find too.
            boolean serves = (end == AttemptEnd.SERVED || end == AttemptEnd.NOT_ACCEPTED) && exchange.claim();
            exchange.lastAttemptTimedOut(end == AttemptEnd.TIMED_OUT);
            Decision next = facade.report(exchange.id, attempt.order.attempt(), attempt.order.host(), end,
                    attempt.tookUs(end, upstreams.now()), exchange.isOver(), load, upload);
            if (serves) {
                if (end == AttemptEnd.SERVED) {
                    finish(exchange, End.FULFILLED, ClientResponses.fromUpstream(head, body));
                } else {
                    finish(exchange, End.FAULTED, ClientResponses.plainText(400, "not accepted"));
                }
            } else {
                carryOut(exchange, next);
            }
        });
    }

    /**
     * A long answer has begun: it is the client's from here on, and the module hears that it was served, as what is
     * left is to carry it. Whether all of it reached the client.
     */
    boolean relay(Attempt attempt, HostLoad load, Head head, Body body, byte[] start) {
        Exchange exchange = attempt.exchange;
        out.remove(exchange.id, attempt);
        Upload upload = exchange.attemptOver(attempt);
        boolean goesOn = exchange.claim();
        facade.report(exchange.id, attempt.order.attempt(), attempt.order.host(), AttemptEnd.SERVED,
                attempt.tookUs(AttemptEnd.SERVED, upstreams.now()), true, load, upload);
        if (!goesOn) {
            return false;
        }
        boolean whole = false;
        try {
            whole = exchange.from.relayResponse(head, body, start, exchange.dueUs());
        } finally {
            exchange.ended(whole ? End.FULFILLED : End.FAULTED);
        }
        return whole;
    }

    /**
     * The last byte of a long request has come and is about to go out: its time begins. False: its attempt has ended.
     */
    boolean lastPiece(Attempt attempt) {
        if (!upstreams.lastPiece(attempt, attempt.exchange.request.budgetUs())) {
            return false;
        }
        attempt.exchange.taken();
        attempt.exchange.dueBy(attempt.untilUs());
        facade.uploaded(attempt.exchange.id);
        return true;
    }

    /** The host takes nothing more of a long request. */
    void cutStuck(Exchange exchange) {
        Attempt attempt = exchange.attempt();
        if (attempt != null) {
            attempt.cut(AttemptEnd.TIMED_OUT);
        }
    }

    /** The client is at fault for a long request that can't go on: it is told so, and the attempt is given up. */
    void spoilt(Exchange exchange, ClientResponses.Response answer) {
        giveUp(exchange, () -> finish(exchange, End.FAULTED, answer));
    }

    /** Ends the wait for these attempts; each is reported by its connection's own thread. */
    void cut(List<Facade.Cut> cuts) {
        for (Facade.Cut cut : cuts) {
            Attempt attempt = out.get(cut.id());
            if (attempt != null && attempt.order.attempt() == cut.attempt()) {
                attempt.cut(AttemptEnd.SILENT);
            }
        }
    }

    /** The client is gone: nothing is owed, and the attempt that is out is given up. */
    void clientLeft(Exchange exchange) {
        giveUp(exchange, () -> exchange.ended(End.FAULTED));
    }

    private void giveUp(Exchange exchange, Runnable end) {
        if (exchange.claim()) {
            end.run();
            facade.clientGone(exchange.id);
            Attempt attempt = exchange.attempt();
            if (attempt != null) {
                attempt.cut(AttemptEnd.GIVEN_UP);
            }
        }
    }

    /** A fault in here must not leave the client without its answer, nor end the thread that met it. */
    private void guarded(Exchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "exchange failed", e);
            if (exchange.claim()) {
                finish(exchange, End.FAULTED, ClientResponses.failure(500));
            }
        }
    }
}
