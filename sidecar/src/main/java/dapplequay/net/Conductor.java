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
    /** The attempts that are out, by their authorisation's number. */
    private final Map<Long, Attempt> out = new ConcurrentHashMap<>();

    Conductor(Facade facade, UpstreamSide upstreams) {
        this.facade = facade;
        this.upstreams = upstreams;
    }

    void begin(Authorisation authorisation, Call call) {
        guarded(authorisation, () -> carryOut(authorisation, facade.pick(authorisation.id, call)));
    }

    private void carryOut(Authorisation authorisation, Decision decision) {
        if (decision instanceof Decision.Send send) {
            Attempt attempt = new Attempt(authorisation, send, upstreams.now());
            out.put(authorisation.id, attempt);
            upstreams.send(attempt);
        } else if (decision instanceof Decision.Refuse refuse && authorisation.claim()) {
            LOG.fine(() -> "refused " + authorisation.id);
            finish(authorisation, End.THROTTLED, Answers.refusal(refuse.pauseUs()));
        } else if (decision instanceof Decision.Fail && authorisation.claim()) {
            LOG.fine(() -> "failed " + authorisation.id);
            finish(authorisation, End.FAULTED, Answers.failure(authorisation.failureStatus()));
        }
    }

    /** The one answer, by who claimed it; it is counted before the client can see it. */
    private static void finish(Authorisation authorisation, End how, Answers.Answer answer) {
        authorisation.ended(how);
        authorisation.from.answer(answer);
    }

    /** An attempt has ended; {@code load}, {@code head} and {@code body} are there only if it was answered. */
    void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
        Authorisation authorisation = attempt.authorisation;
        out.remove(authorisation.id, attempt);
        Upload upload = authorisation.attemptOver(attempt);
        if (LOG.isLoggable(Level.FINE)) {       // once an attempt: nothing is put together for nobody
            LOG.fine("attempt " + attempt.order.host() + ' ' + end + ' ' + (upstreams.now() - attempt.startUs()) + ' '
                    + attempt.idleUs() + ' ' + authorisation.id);
        }
        guarded(authorisation, () -> {
            // What the request itself is at fault for, another host would find too.
            boolean serves = (end == AttemptEnd.SERVED || end == AttemptEnd.NOT_ACCEPTED) && authorisation.claim();
            authorisation.lastAttemptTimedOut(end == AttemptEnd.TIMED_OUT);
            Decision next = facade.report(authorisation.id, attempt.order.attempt(), attempt.order.host(), end,
                    attempt.tookUs(end, upstreams.now()), authorisation.isOver(), load, upload);
            if (serves) {
                if (end == AttemptEnd.SERVED) {
                    finish(authorisation, End.FULFILLED, Answers.served(head, body));
                } else {
                    finish(authorisation, End.FAULTED, Answers.plain(400, "not accepted"));
                }
            } else {
                carryOut(authorisation, next);
            }
        });
    }

    /**
     * A long answer has begun: it is the client's from here on, and the module hears that it was served, as what is
     * left is to carry it. Whether all of it reached the client.
     */
    boolean relay(Attempt attempt, HostLoad load, Head head, Body body, byte[] start) {
        Authorisation authorisation = attempt.authorisation;
        out.remove(authorisation.id, attempt);
        Upload upload = authorisation.attemptOver(attempt);
        boolean goesOn = authorisation.claim();
        facade.report(authorisation.id, attempt.order.attempt(), attempt.order.host(), AttemptEnd.SERVED,
                attempt.tookUs(AttemptEnd.SERVED, upstreams.now()), true, load, upload);
        if (!goesOn) {
            return false;
        }
        boolean whole = false;
        try {
            whole = authorisation.from.relay(head, body, start, authorisation.dueUs());
        } finally {
            authorisation.ended(whole ? End.FULFILLED : End.FAULTED);
        }
        return whole;
    }

    /**
     * The last byte of a long request has come and is about to go out: its time begins. False: its attempt has ended.
     */
    boolean lastPiece(Attempt attempt) {
        if (!upstreams.lastPiece(attempt, attempt.authorisation.request.budgetUs())) {
            return false;
        }
        attempt.authorisation.taken();
        attempt.authorisation.dueBy(attempt.untilUs());
        facade.uploaded(attempt.authorisation.id);
        return true;
    }

    /** The host takes nothing more of a long request. */
    void cutStuck(Authorisation authorisation) {
        Attempt attempt = authorisation.attempt();
        if (attempt != null) {
            attempt.cut(AttemptEnd.TIMED_OUT);
        }
    }

    /** The client is at fault for a long request that can't go on: it is told so, and the attempt is given up. */
    void spoilt(Authorisation authorisation, Answers.Answer answer) {
        giveUp(authorisation, () -> finish(authorisation, End.FAULTED, answer));
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
    void clientLeft(Authorisation authorisation) {
        giveUp(authorisation, () -> authorisation.ended(End.FAULTED));
    }

    private void giveUp(Authorisation authorisation, Runnable end) {
        if (authorisation.claim()) {
            end.run();
            facade.clientGone(authorisation.id);
            Attempt attempt = authorisation.attempt();
            if (attempt != null) {
                attempt.cut(AttemptEnd.GIVEN_UP);
            }
        }
    }

    /** A fault in here must not leave the client without its answer, nor end the thread that met it. */
    private void guarded(Authorisation authorisation, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "authorisation failed", e);
            if (authorisation.claim()) {
                finish(authorisation, End.FAULTED, Answers.failure(500));
            }
        }
    }
}
