package dapplequay.lifecycle;

import java.util.function.DoubleSupplier;

/**
 * The life of one instance, as a pure state machine: it is told what is wished for, what happened and what time
 * it is, and answers what is to be done. Times are microseconds and may not run backwards.
 *
 * <p>An instance that fails is started again after a pause that doubles with each failure, up to a bound, less a
 * random part, so that instances which failed together do not come back together. One that fails too often in a
 * row is given up, until somebody wishes it to run once more. Every state but {@link State#STOPPED},
 * {@link State#READY} and {@link State#GIVEN_UP}, in which an instance may rest, has a time at which it is left.
 */
public final class InstanceLife {
    /** Where an instance stands. */
    public enum State {
        /** Does not run, and nobody wishes it to. */
        STOPPED,
        /** Told to start, not ready yet. */
        STARTING,
        /** Serves. */
        READY,
        /** Takes nothing new and finishes what it holds. */
        DRAINING,
        /** Failed; is started again when its pause is over. */
        WAITING,
        /** Was cut; its end has not been told yet. */
        CUT,
        /** Failed too often in a row. */
        GIVEN_UP
    }

    /** What is to be done now. */
    public enum Act {
        NOTHING,
        /** Start it. */
        START,
        /** Let it take nothing new and end when it holds nothing. */
        DRAIN,
        /** End it at once, whatever it holds; asked for again until its end is told. */
        CUT,
        /** Nothing more is tried: say so loudly. */
        GIVE_UP
    }

    /**
     * How patient a life is.
     *
     * @param startWithinUs a start that takes longer has failed
     * @param drainWithinUs what is not finished then is cut
     * @param cutAgainUs    a cut whose end is not told is repeated after this time
     * @param pauseUs       pause after a first failure
     * @param longestPauseUs bound on the pause
     * @param jitter        random part of a pause that is left out, 0 to 1
     * @param mostFailures  failures in a row after which it is given up, 1 or more
     * @param calmUs        an instance that was ready this long has no failures behind it
     */
    public record Patience(long startWithinUs, long drainWithinUs, long cutAgainUs, long pauseUs,
                           long longestPauseUs, double jitter, int mostFailures, long calmUs) {
        public Patience {
            if (startWithinUs <= 0 || drainWithinUs <= 0 || cutAgainUs <= 0 || pauseUs <= 0
                    || longestPauseUs < pauseUs || !(jitter >= 0 && jitter <= 1) || mostFailures < 1 || calmUs < 0) {
                throw new IllegalArgumentException("patience is out of range: " + this);
            }
        }
    }

    /** What there is no time for: nothing happens by time alone. */
    public static final long NEVER = Long.MAX_VALUE;

    private final Patience patience;
    private final DoubleSupplier random;
    private State state = State.STOPPED;
    private boolean wanted;
    private boolean restarting;
    private boolean failedLast;
    private int failures;
    private long readySinceUs;
    private long dueUs = NEVER;

    /** {@code random}: evenly spread from 0 to 1, for the pauses. */
    public InstanceLife(Patience patience, DoubleSupplier random) {
        this.patience = patience;
        this.random = random;
    }

    public State state() {
        return state;
    }

    /** Whether somebody wishes it to run. */
    public boolean isWanted() {
        return wanted;
    }

    /** Failures in a row. */
    public int failures() {
        return failures;
    }

    /** When {@link #tick} is to be called at the latest; {@link #NEVER}: only an event goes on from here. */
    public long dueUs() {
        return dueUs;
    }

    /** It is to run. One that was given up is tried anew, as if it had never failed. */
    public Act run(long nowUs) {
        wanted = true;
        if (state == State.GIVEN_UP) {
            failures = 0;
        }
        return state == State.STOPPED || state == State.GIVEN_UP ? start(nowUs) : Act.NOTHING;
    }

    /** It is to end in order, and to stay stopped. */
    public Act stop(long nowUs) {
        wanted = false;
        restarting = false;
        return switch (state) {
            case STARTING, READY -> drain(nowUs);
            case WAITING, GIVEN_UP -> {
                enter(State.STOPPED, NEVER);
                yield Act.NOTHING;
            }
            case STOPPED, DRAINING, CUT -> Act.NOTHING;
        };
    }

    /** It is to end in order and start again. One that nobody wishes to run stays as it is. */
    public Act restart(long nowUs) {
        if (!wanted) {
            return Act.NOTHING;
        }
        return switch (state) {
            case STARTING, READY -> {
                restarting = true;
                yield drain(nowUs);
            }
            case STOPPED, GIVEN_UP -> run(nowUs);
            case WAITING, DRAINING, CUT -> Act.NOTHING;
        };
    }

    /** It serves. */
    public Act ready(long nowUs) {
        if (state == State.STARTING) {
            readySinceUs = nowUs;
            enter(State.READY, NEVER);
        }
        return Act.NOTHING;
    }

    /** It has ended, in order or after a cut. An end that nobody asked for is a failure. */
    public Act ended(long nowUs) {
        return switch (state) {
            case STARTING, READY -> {
                forgetOldFailures(nowUs);
                yield afterEnd(nowUs, true);
            }
            case DRAINING -> afterEnd(nowUs, false);
            case CUT -> afterEnd(nowUs, failedLast);
            case STOPPED, WAITING, GIVEN_UP -> Act.NOTHING;
        };
    }

    /** Something in it broke: what is left of it is of no use. Its end is to be told with {@link #ended}. */
    public Act failed(long nowUs) {
        return switch (state) {
            case STARTING, READY -> {
                forgetOldFailures(nowUs);
                yield cut(nowUs, true);
            }
            case DRAINING -> cut(nowUs, false);
            case STOPPED, WAITING, CUT, GIVEN_UP -> Act.NOTHING;
        };
    }

    /** Time has passed. */
    public Act tick(long nowUs) {
        if (nowUs < dueUs) {
            return Act.NOTHING;
        }
        return switch (state) {
            case STARTING -> cut(nowUs, true);
            case DRAINING -> cut(nowUs, false);
            case CUT -> cut(nowUs, failedLast);
            case WAITING -> start(nowUs);
            case STOPPED, READY, GIVEN_UP -> Act.NOTHING;
        };
    }

    private void forgetOldFailures(long nowUs) {
        if (state == State.READY && nowUs - readySinceUs >= patience.calmUs()) {
            failures = 0;
        }
    }

    private Act start(long nowUs) {
        restarting = false;
        enter(State.STARTING, nowUs + patience.startWithinUs());
        return Act.START;
    }

    private Act drain(long nowUs) {
        enter(State.DRAINING, nowUs + patience.drainWithinUs());
        return Act.DRAIN;
    }

    private Act cut(long nowUs, boolean asFailure) {
        failedLast = asFailure;
        enter(State.CUT, nowUs + patience.cutAgainUs());
        return Act.CUT;
    }

    /** Nothing of it is left: what comes next is what is wished for. */
    private Act afterEnd(long nowUs, boolean asFailure) {
        if (!wanted) {
            enter(State.STOPPED, NEVER);
            return Act.NOTHING;
        }
        if (!asFailure) {
            return start(nowUs);
        }
        failures++;
        if (failures >= patience.mostFailures()) {
            enter(State.GIVEN_UP, NEVER);
            return Act.GIVE_UP;
        }
        enter(State.WAITING, nowUs + pause());
        return Act.NOTHING;
    }

    private long pause() {
        double doubled = patience.pauseUs() * Math.pow(2, Math.min(failures - 1, 40));
        double bounded = Math.min(patience.longestPauseUs(), doubled);
        return Math.max(1, Math.round(bounded * (1 - patience.jitter() * random.getAsDouble())));
    }

    private void enter(State next, long nextDueUs) {
        state = next;
        dueUs = nextDueUs;
    }

    /** Whether it is down only because it was told to restart. */
    public boolean isRestarting() {
        return restarting;
    }
}
