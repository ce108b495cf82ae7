package dapplequay.lifecycle;

import java.util.function.DoubleSupplier;

/**
 * A state machine that supervises one instance. Each event returns the action to perform. Times are microseconds and
 * must not decrease.
 *
 * <p>A failed instance is restarted after an exponential backoff with an upper bound. A random part is subtracted, so
 * that instances which failed together do not restart together. After too many consecutive failures the instance is
 * given up until {@link #run} is called again. An instance may stay in {@link State#STOPPED}, {@link State#READY} and
 * {@link State#GIVEN_UP} indefinitely; every other state has a time-out.
 */
public final class InstanceLifecycle {
    /** The states of an instance. */
    public enum State {
        /** Not running, and not requested to run. */
        STOPPED,
        /** Started, but not ready yet. */
        STARTING,
        /** Serves. */
        READY,
        /** Accepts no new work and finishes the work that it has. */
        DRAINING,
        /** Failed, and restarted after the backoff. */
        BACKOFF,
        /** Killed, but its end is not confirmed yet. */
        KILLING,
        /** Failed too often in a row, and not restarted. */
        GIVEN_UP
    }

    /** The actions for the caller to perform. */
    public enum Action {
        NOTHING,
        /** Start the instance. */
        START,
        /** Let it accept no new work and exit when its work is finished. */
        DRAIN,
        /** Kill it at once, whatever work it has; returned again until its end is reported. */
        KILL,
        /** Report with high severity that the instance is not restarted any more. */
        GIVE_UP
    }

    /**
     * The time-outs and backoffs of an instance.
     *
     * @param startTimeoutUs   a start that takes longer counts as failed
     * @param drainTimeoutUs   an instance that drains for longer is killed
     * @param killRetryUs      time after which a kill is repeated if the end is not reported
     * @param initialBackoffUs backoff after the first failure
     * @param maxBackoffUs     upper bound of the backoff
     * @param jitter           largest random share that is subtracted from a backoff, 0 to 1
     * @param maxFailures      consecutive failures after which the instance is given up, 1 or more
     * @param failureResetUs   an instance that was ready for this long starts again with no failures
     */
    public record RestartPolicy(long startTimeoutUs, long drainTimeoutUs, long killRetryUs, long initialBackoffUs,
                                long maxBackoffUs, double jitter, int maxFailures, long failureResetUs) {
        public RestartPolicy {
            if (startTimeoutUs <= 0 || drainTimeoutUs <= 0 || killRetryUs <= 0 || initialBackoffUs <= 0
                    || maxBackoffUs < initialBackoffUs || !(jitter >= 0 && jitter <= 1) || maxFailures < 1
                    || failureResetUs < 0) {
                throw new IllegalArgumentException("restart policy is out of range: " + this);
            }
        }
    }

    /** A time that is never reached: the current state has no time-out. */
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

    /** Creates a lifecycle; {@code random} returns uniformly distributed numbers from 0 to 1 for the backoffs. */
    public InstanceLifecycle(RestartPolicy policy, DoubleSupplier random) {
        this.policy = policy;
        this.random = random;
    }

    public State state() {
        return state;
    }

    /** Returns whether the instance is requested to run. */
    public boolean isRunRequested() {
        return runRequested;
    }

    /** Returns the number of consecutive failures. */
    public int failures() {
        return failures;
    }

    /** Returns when {@link #tick} has to be called; {@link #NEVER} if only an event leaves the current state. */
    public long nextTickUs() {
        return nextTickUs;
    }

    /** Requests the instance to run. One that was given up is started again with no failures. */
    public Action run(long nowUs) {
        runRequested = true;
        if (state == State.GIVEN_UP) {
            failures = 0;
        }
        return state == State.STOPPED || state == State.GIVEN_UP ? start(nowUs) : Action.NOTHING;
    }

    /** Requests an orderly stop. */
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

    /** Requests an orderly restart; does nothing if the instance is not requested to run. */
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

    /** Reports that the instance is ready. */
    public Action ready(long nowUs) {
        if (state == State.STARTING) {
            readySinceUs = nowUs;
            enter(State.READY, NEVER);
        }
        return Action.NOTHING;
    }

    /** Reports that the instance has exited, orderly or killed. An exit that was not requested is a failure. */
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

    /** Reports that the instance broke and has to be killed. Its end is reported with {@link #ended}. */
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

    /** Handles the time-out of the current state if it has passed. */
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

    /** Decides what follows the end of the instance. */
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

    /** Returns whether the instance is down only because of a requested restart. */
    public boolean isRestarting() {
        return restarting;
    }
}
