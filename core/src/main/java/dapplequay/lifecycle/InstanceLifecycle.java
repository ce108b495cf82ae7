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
public final class InstanceLifecycle {
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
        BACKOFF,
        /** Was cut; its end has not been told yet. */
        KILLING,
        /** Failed too often in a row. */
        GIVEN_UP
    }

    /** What is to be done now. */
    public enum Action {
        NOTHING,
        /** Start it. */
        START,
        /** Let it take nothing new and end when it holds nothing. */
        DRAIN,
        /** End it at once, whatever it holds; asked for again until its end is told. */
        KILL,
        /** Nothing more is tried: say so loudly. */
        GIVE_UP
    }

    /**
     * How patient a life is.
     *
     * @param startTimeoutUs a start that takes longer has failed
     * @param drainTimeoutUs what is not finished then is cut
     * @param killRetryUs    a cut whose end is not told is repeated after this time
     * @param initialBackoffUs       pause after a first failure
     * @param maxBackoffUs bound on the pause
     * @param jitter        random part of a pause that is left out, 0 to 1
     * @param maxFailures  failures in a row after which it is given up, 1 or more
     * @param failureResetUs        an instance that was ready this long has no failures behind it
     */
    public record RestartPolicy(long startTimeoutUs, long drainTimeoutUs, long killRetryUs, long initialBackoffUs,
                           long maxBackoffUs, double jitter, int maxFailures, long failureResetUs) {
        public RestartPolicy {
            if (startTimeoutUs <= 0 || drainTimeoutUs <= 0 || killRetryUs <= 0 || initialBackoffUs <= 0
                    || maxBackoffUs < initialBackoffUs || !(jitter >= 0 && jitter <= 1) || maxFailures < 1 || failureResetUs < 0) {
                throw new IllegalArgumentException("patience is out of range: " + this);
            }
        }
    }

    /** What there is no time for: nothing happens by time alone. */
    public static final long NEVER = Long.MAX_VALUE;

    private final RestartPolicy policy;
    private final DoubleSupplier random;
    private State state = State.STOPPED;
    private boolean runRequested;
    private boolean restarting;
    private boolean killedAsFailure;
    private int failures;
    private long readySinceUs;
    private long nextTickUs = NEVER;

    /** {@code random}: evenly spread from 0 to 1, for the pauses. */
    public InstanceLifecycle(RestartPolicy policy, DoubleSupplier random) {
        this.policy = policy;
        this.random = random;
    }

    public State state() {
        return state;
    }

    /** Whether somebody wishes it to run. */
    public boolean isRunRequested() {
        return runRequested;
    }

    /** Failures in a row. */
    public int failures() {
        return failures;
    }

    /** When {@link #tick} is to be called at the latest; {@link #NEVER}: only an event goes on from here. */
    public long nextTickUs() {
        return nextTickUs;
    }

    /** It is to run. One that was given up is tried anew, as if it had never failed. */
    public Action run(long nowUs) {
        runRequested = true;
        if (state == State.GIVEN_UP) {
            failures = 0;
        }
        return state == State.STOPPED || state == State.GIVEN_UP ? start(nowUs) : Action.NOTHING;
    }

    /** It is to end in order, and to stay stopped. */
    public Action stop(long nowUs) {
        runRequested = false;
        restarting = false;
        return switch (state) {
            case STARTING, READY -> drain(nowUs);
            case BACKOFF, GIVEN_UP -> {
                enter(State.STOPPED, NEVER);
                yield Action.NOTHING;
            }
            case STOPPED, DRAINING, KILLING -> Action.NOTHING;
        };
    }

    /** It is to end in order and start again. One that nobody wishes to run stays as it is. */
    public Action restart(long nowUs) {
        if (!runRequested) {
            return Action.NOTHING;
        }
        return switch (state) {
            case STARTING, READY -> {
                restarting = true;
                yield drain(nowUs);
            }
            case STOPPED, GIVEN_UP -> run(nowUs);
            case BACKOFF, DRAINING, KILLING -> Action.NOTHING;
        };
    }

    /** It serves. */
    public Action ready(long nowUs) {
        if (state == State.STARTING) {
            readySinceUs = nowUs;
            enter(State.READY, NEVER);
        }
        return Action.NOTHING;
    }

    /** It has ended, in order or after a cut. An end that nobody asked for is a failure. */
    public Action ended(long nowUs) {
        return switch (state) {
            case STARTING, READY -> {
                forgetOldFailures(nowUs);
                yield afterEnd(nowUs, true);
            }
            case DRAINING -> afterEnd(nowUs, false);
            case KILLING -> afterEnd(nowUs, killedAsFailure);
            case STOPPED, BACKOFF, GIVEN_UP -> Action.NOTHING;
        };
    }

    /** Something in it broke: what is left of it is of no use. Its end is to be told with {@link #ended}. */
    public Action failed(long nowUs) {
        return switch (state) {
            case STARTING, READY -> {
                forgetOldFailures(nowUs);
                yield kill(nowUs, true);
            }
            case DRAINING -> kill(nowUs, false);
            case STOPPED, BACKOFF, KILLING, GIVEN_UP -> Action.NOTHING;
        };
    }

    /** Time has passed. */
    public Action tick(long nowUs) {
        if (nowUs < nextTickUs) {
            return Action.NOTHING;
        }
        return switch (state) {
            case STARTING -> kill(nowUs, true);
            case DRAINING -> kill(nowUs, false);
            case KILLING -> kill(nowUs, killedAsFailure);
            case BACKOFF -> start(nowUs);
            case STOPPED, READY, GIVEN_UP -> Action.NOTHING;
        };
    }

    private void forgetOldFailures(long nowUs) {
        if (state == State.READY && nowUs - readySinceUs >= policy.failureResetUs()) {
            failures = 0;
        }
    }

    private Action start(long nowUs) {
        restarting = false;
        enter(State.STARTING, nowUs + policy.startTimeoutUs());
        return Action.START;
    }

    private Action drain(long nowUs) {
        enter(State.DRAINING, nowUs + policy.drainTimeoutUs());
        return Action.DRAIN;
    }

    private Action kill(long nowUs, boolean asFailure) {
        killedAsFailure = asFailure;
        enter(State.KILLING, nowUs + policy.killRetryUs());
        return Action.KILL;
    }

    /** Nothing of it is left: what comes next is what is wished for. */
    private Action afterEnd(long nowUs, boolean asFailure) {
        if (!runRequested) {
            enter(State.STOPPED, NEVER);
            return Action.NOTHING;
        }
        if (!asFailure) {
            return start(nowUs);
        }
        failures++;
        if (failures >= policy.maxFailures()) {
            enter(State.GIVEN_UP, NEVER);
            return Action.GIVE_UP;
        }
        enter(State.BACKOFF, nowUs + backoffUs());
        return Action.NOTHING;
    }

    private long backoffUs() {
        double exponentialUs = policy.initialBackoffUs() * Math.pow(2, Math.min(failures - 1, 40));
        double boundedUs = Math.min(policy.maxBackoffUs(), exponentialUs);
        return Math.max(1, Math.round(boundedUs * (1 - policy.jitter() * random.getAsDouble())));
    }

    private void enter(State next, long tickUs) {
        state = next;
        nextTickUs = tickUs;
    }

    /** Whether it is down only because it was told to restart. */
    public boolean isRestarting() {
        return restarting;
    }
}
