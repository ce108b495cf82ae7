package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.lifecycle.InstanceLifecycle.Action;
import dapplequay.lifecycle.InstanceLifecycle.RestartPolicy;
import dapplequay.lifecycle.InstanceLifecycle.State;
import java.util.List;
import org.junit.jupiter.api.Test;

class InstanceLifecycleTest {
    private static final RestartPolicy POLICY = new RestartPolicy(100, 200, 50, 10, 35, 0.5, 4, 1000);

    private static InstanceLifecycle lifecycle() {
        return new InstanceLifecycle(POLICY, () -> 0);
    }

    private static InstanceLifecycle ready() {
        InstanceLifecycle lifecycle = lifecycle();
        lifecycle.run(0);
        lifecycle.ready(5);
        return lifecycle;
    }

    @Test
    void startsServesDrainsAndStops() {
        InstanceLifecycle lifecycle = lifecycle();
        assertThat(lifecycle.run(0)).isEqualTo(Action.START);
        assertThat(lifecycle.run(1)).isEqualTo(Action.NOTHING);
        lifecycle.ready(5);
        assertThat(lifecycle.state()).isEqualTo(State.READY);
        assertThat(lifecycle.stop(10)).isEqualTo(Action.DRAIN);
        assertThat(lifecycle.ended(20)).isEqualTo(Action.NOTHING);
        assertThat(lifecycle.state()).isEqualTo(State.STOPPED);
    }

    @Test
    void aRestartDrainsFirstAndDoesNotCountAsAFailure() {
        InstanceLifecycle lifecycle = ready();
        assertThat(lifecycle.restart(10)).isEqualTo(Action.DRAIN);
        assertThat(lifecycle.isRestarting()).isTrue();
        assertThat(lifecycle.ended(20)).isEqualTo(Action.START);
        assertThat(lifecycle.failures()).isZero();
    }

    @Test
    void aRunRequestedDuringADrainStartsTheInstanceAfterItsEnd() {
        InstanceLifecycle lifecycle = ready();
        lifecycle.stop(10);
        assertThat(lifecycle.run(11)).isEqualTo(Action.NOTHING);
        assertThat(lifecycle.ended(20)).isEqualTo(Action.START);
    }

    @Test
    void aDrainThatTimesOutIsKilledRepeatedly() {
        InstanceLifecycle lifecycle = ready();
        lifecycle.stop(10);
        assertThat(lifecycle.tick(209)).isEqualTo(Action.NOTHING);
        assertThat(lifecycle.tick(210)).isEqualTo(Action.KILL);
        assertThat(lifecycle.tick(260)).isEqualTo(Action.KILL);
        lifecycle.ended(270);
        assertThat(lifecycle.state()).isEqualTo(State.STOPPED);
        assertThat(lifecycle.failures()).isZero();
    }

    @Test
    void backoffDoublesUpToItsBoundAndThenTheInstanceIsGivenUp() {
        InstanceLifecycle lifecycle = lifecycle();
        lifecycle.run(0);
        long now = 0;
        for (long backoff : new long[] {10, 20, 35}) {
            assertThat(lifecycle.failed(now)).isEqualTo(Action.KILL);
            assertThat(lifecycle.ended(now)).isEqualTo(Action.NOTHING);
            assertThat(lifecycle.nextTickUs()).isEqualTo(now + backoff);
            assertThat(lifecycle.tick(now + backoff - 1)).isEqualTo(Action.NOTHING);
            now += backoff;
            assertThat(lifecycle.tick(now)).isEqualTo(Action.START);
        }
        lifecycle.failed(now);
        assertThat(lifecycle.ended(now)).isEqualTo(Action.GIVE_UP);
        assertThat(lifecycle.state()).isEqualTo(State.GIVEN_UP);
        assertThat(lifecycle.run(now)).as("a new request to run").isEqualTo(Action.START);
        assertThat(lifecycle.failures()).isZero();
    }

    @Test
    void aRandomPartIsSubtractedFromTheBackoff() {
        InstanceLifecycle lifecycle = new InstanceLifecycle(POLICY, () -> 1);
        lifecycle.run(0);
        lifecycle.failed(0);
        lifecycle.ended(0);
        assertThat(lifecycle.nextTickUs()).isEqualTo(5);
    }

    @Test
    void aStartThatTimesOutCountsAsAFailure() {
        InstanceLifecycle lifecycle = lifecycle();
        lifecycle.run(0);
        assertThat(lifecycle.tick(100)).isEqualTo(Action.KILL);
        lifecycle.ended(110);
        assertThat(lifecycle.state()).isEqualTo(State.BACKOFF);
        assertThat(lifecycle.failures()).isEqualTo(1);
    }

    @Test
    void failuresAreResetAfterALongTimeInReady() {
        InstanceLifecycle lifecycle = ready();
        for (int i = 0; i < 10; i++) {
            long now = lifecycle.nextTickUs() == InstanceLifecycle.NEVER ? 5 + i * 3000L : lifecycle.nextTickUs();
            lifecycle.failed(now + 1500);
            lifecycle.ended(now + 1500);
            assertThat(lifecycle.failures()).isEqualTo(1);
            lifecycle.tick(lifecycle.nextTickUs());
            lifecycle.ready(lifecycle.nextTickUs());
        }
    }

    @Test
    void rejectsAnInvalidRestartPolicy() {
        assertThatThrownBy(() -> new RestartPolicy(0, 1, 1, 1, 1, 0, 1, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new RestartPolicy(1, 1, 1, 2, 1, 0, 1, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new RestartPolicy(1, 1, 1, 1, 1, 2, 1, 0))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** All sequences of this many events are tried. */
    private static final int DEPTH = 7;
    private static final List<String> EVENTS =
            List.of("run", "stop", "restart", "ready", "ended", "failed", "tick");

    @Test
    void everyStateCanBeLeftAndNoInstanceIsStartedTwice() {
        explore(new int[DEPTH], 0);
    }

    private static void explore(int[] events, int length) {
        if (length == DEPTH) {
            play(events);
            return;
        }
        for (int event = 0; event < EVENTS.size(); event++) {
            events[length] = event;
            explore(events, length + 1);
        }
    }

    private static void play(int[] events) {
        InstanceLifecycle lifecycle = lifecycle();
        boolean isRunning = false;
        long now = 0;
        for (int event : events) {
            now++;
            boolean hasTick = lifecycle.nextTickUs() != InstanceLifecycle.NEVER;
            Action action = switch (EVENTS.get(event)) {
                case "run" -> lifecycle.run(now);
                case "stop" -> lifecycle.stop(now);
                case "restart" -> lifecycle.restart(now);
                case "ready" -> lifecycle.ready(now);
                case "failed" -> lifecycle.failed(now);
                case "ended" -> {
                    isRunning = false;
                    yield lifecycle.ended(now);
                }
                default -> {
                    now = hasTick ? Math.max(now, lifecycle.nextTickUs()) : now;
                    yield lifecycle.tick(now);
                }
            };
            String sequence = java.util.Arrays.stream(events).mapToObj(EVENTS::get).toList() + " " + lifecycle.state();
            if (action == Action.START) {
                if (isRunning) {
                    throw new AssertionError("started twice: " + sequence);
                }
                isRunning = true;
            }
            boolean isAtRest = lifecycle.state() == State.STOPPED || lifecycle.state() == State.READY
                    || lifecycle.state() == State.GIVEN_UP;
            if (isAtRest == (lifecycle.nextTickUs() != InstanceLifecycle.NEVER)) {
                throw new AssertionError("a resting state has a time-out, or another has none: " + sequence);
            }
            if (lifecycle.isRunRequested() && lifecycle.state() == State.STOPPED) {
                throw new AssertionError("requested to run, but stopped: " + sequence);
            }
            if (!lifecycle.isRunRequested() && (lifecycle.state() == State.READY || lifecycle.state() == State.STARTING
                    || lifecycle.state() == State.BACKOFF)) {
                throw new AssertionError("runs without a request: " + sequence);
            }
        }
        // A stop and the end of the instance lead to STOPPED from any state.
        lifecycle.stop(now + 1);
        lifecycle.ended(now + 2);
        if (lifecycle.state() != State.STOPPED) {
            throw new AssertionError("cannot be stopped: " + lifecycle.state());
        }
    }
}
