package dapplequay.net;

import dapplequay.facade.Call;
import dapplequay.facade.Decision;
import dapplequay.facade.Facade;
import dapplequay.facade.HostLoad;
import dapplequay.facade.LegEnd;
import dapplequay.facade.Upload;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.management.Counts.End;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Carries out what the facade decides: legs to the upstream side, answers to the client side. */
class Conductor {
    private static final Logger LOG = Logger.getLogger(Conductor.class.getName());

    private final Facade facade;
    private final UpstreamSide upstreams;
    /** The legs that are out, by their authorisation's number. */
    private final Map<Long, Leg> out = new ConcurrentHashMap<>();

    Conductor(Facade facade, UpstreamSide upstreams) {
        this.facade = facade;
        this.upstreams = upstreams;
    }

    void begin(Authorisation authorisation, Call call) {
        guarded(authorisation, () -> carryOut(authorisation, facade.pick(authorisation.id, call)));
    }

    private void carryOut(Authorisation authorisation, Decision decision) {
        if (decision instanceof Decision.Send send) {
            Leg leg = new Leg(authorisation, send, upstreams.now());
            out.put(authorisation.id, leg);
            upstreams.send(leg);
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

    /** A leg has ended; {@code load}, {@code head} and {@code body} are there only if it was answered. */
    void legEnded(Leg leg, LegEnd end, HostLoad load, Head head, byte[] body) {
        Authorisation authorisation = leg.authorisation;
        out.remove(authorisation.id, leg);
        Upload upload = authorisation.legOver(leg);
        if (LOG.isLoggable(Level.FINE)) {       // once a leg: nothing is put together for nobody
            LOG.fine("leg " + leg.order.host() + ' ' + end + ' ' + (upstreams.now() - leg.startUs()) + ' ' + leg.idleUs()
                    + ' ' + authorisation.id);
        }
        guarded(authorisation, () -> {
            // What the request itself is at fault for, another host would find too.
            boolean serves = (end == LegEnd.SERVED || end == LegEnd.NOT_ACCEPTED) && authorisation.claim();
            authorisation.lastLegTimedOut(end == LegEnd.TIMED_OUT);
            Decision next = facade.report(authorisation.id, leg.order.leg(), leg.order.host(), end,
                    leg.tookUs(end, upstreams.now()), authorisation.isOver(), load, upload);
            if (serves) {
                if (end == LegEnd.SERVED) {
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
    boolean relay(Leg leg, HostLoad load, Head head, Body body, byte[] start) {
        Authorisation authorisation = leg.authorisation;
        out.remove(authorisation.id, leg);
        Upload upload = authorisation.legOver(leg);
        boolean goesOn = authorisation.claim();
        facade.report(authorisation.id, leg.order.leg(), leg.order.host(), LegEnd.SERVED,
                leg.tookUs(LegEnd.SERVED, upstreams.now()), true, load, upload);
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

    /** The last byte of a long request has come and is about to go out: its time begins. False: its leg has ended. */
    boolean lastPiece(Leg leg) {
        if (!upstreams.lastPiece(leg, leg.authorisation.request.budgetUs())) {
            return false;
        }
        leg.authorisation.taken();
        leg.authorisation.dueBy(leg.untilUs());
        facade.uploaded(leg.authorisation.id);
        return true;
    }

    /** The host takes nothing more of a long request. */
    void cutStuck(Authorisation authorisation) {
        Leg leg = authorisation.leg();
        if (leg != null) {
            leg.cut(LegEnd.TIMED_OUT);
        }
    }

    /** The client is at fault for a long request that can't go on: it is told so, and the leg is given up. */
    void spoilt(Authorisation authorisation, Answers.Answer answer) {
        giveUp(authorisation, () -> finish(authorisation, End.FAULTED, answer));
    }

    /** Ends the wait for these legs; each is reported by its connection's own thread. */
    void cut(List<Facade.Cut> cuts) {
        for (Facade.Cut cut : cuts) {
            Leg leg = out.get(cut.id());
            if (leg != null && leg.order.leg() == cut.leg()) {
                leg.cut(LegEnd.SILENT);
            }
        }
    }

    /** The client is gone: nothing is owed, and the leg that is out is given up. */
    void clientLeft(Authorisation authorisation) {
        giveUp(authorisation, () -> authorisation.ended(End.FAULTED));
    }

    private void giveUp(Authorisation authorisation, Runnable end) {
        if (authorisation.claim()) {
            end.run();
            facade.clientGone(authorisation.id);
            Leg leg = authorisation.leg();
            if (leg != null) {
                leg.cut(LegEnd.GIVEN_UP);
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
