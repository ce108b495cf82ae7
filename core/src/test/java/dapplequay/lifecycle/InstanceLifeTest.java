package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.lifecycle.InstanceLife.Act;
import dapplequay.lifecycle.InstanceLife.Patience;
import dapplequay.lifecycle.InstanceLife.State;
import java.util.List;
import org.junit.jupiter.api.Test;

class InstanceLifeTest {
    private static final Patience PATIENCE = new Patience(100, 200, 50, 10, 35, 0.5, 4, 1000);

    private static InstanceLife life() {
        return new InstanceLife(PATIENCE, () -> 0);
    }

    private static InstanceLife ready() {
        InstanceLife life = life();
        life.run(0);
        life.ready(5);
        return life;
    }

    @Test
    void startsServesDrainsAndStops() {
        InstanceLife life = life();
        assertThat(life.run(0)).isEqualTo(Act.START);
        assertThat(life.run(1)).isEqualTo(Act.NOTHING);
        life.ready(5);
        assertThat(life.state()).isEqualTo(State.READY);
        assertThat(life.stop(10)).isEqualTo(Act.DRAIN);
        assertThat(life.ended(20)).isEqualTo(Act.NOTHING);
        assertThat(life.state()).isEqualTo(State.STOPPED);
    }

    @Test
    void aRestartDrainsFirstAndIsNoFailure() {
        InstanceLife life = ready();
        assertThat(life.restart(10)).isEqualTo(Act.DRAIN);
        assertThat(life.isRestarting()).isTrue();
        assertThat(life.ended(20)).isEqualTo(Act.START);
        assertThat(life.failures()).isZero();
    }

    @Test
    void aWishToRunWhileItDrainsIsGrantedWhenItHasEnded() {
        InstanceLife life = ready();
        life.stop(10);
        assertThat(life.run(11)).isEqualTo(Act.NOTHING);
        assertThat(life.ended(20)).isEqualTo(Act.START);
    }

    @Test
    void aDrainThatTakesTooLongIsCutAgainAndAgain() {
        InstanceLife life = ready();
        life.stop(10);
        assertThat(life.tick(209)).isEqualTo(Act.NOTHING);
        assertThat(life.tick(210)).isEqualTo(Act.CUT);
        assertThat(life.tick(260)).isEqualTo(Act.CUT);
        life.ended(270);
        assertThat(life.state()).isEqualTo(State.STOPPED);
        assertThat(life.failures()).isZero();
    }

    @Test
    void pausesDoubleUpToTheirBoundAndThenItIsGivenUp() {
        InstanceLife life = life();
        life.run(0);
        long now = 0;
        for (long pause : new long[] {10, 20, 35}) {
            assertThat(life.failed(now)).isEqualTo(Act.CUT);
            assertThat(life.ended(now)).isEqualTo(Act.NOTHING);
            assertThat(life.dueUs()).isEqualTo(now + pause);
            assertThat(life.tick(now + pause - 1)).isEqualTo(Act.NOTHING);
            now += pause;
            assertThat(life.tick(now)).isEqualTo(Act.START);
        }
        life.failed(now);
        assertThat(life.ended(now)).isEqualTo(Act.GIVE_UP);
        assertThat(life.state()).isEqualTo(State.GIVEN_UP);
        assertThat(life.run(now)).as("somebody asks once more").isEqualTo(Act.START);
        assertThat(life.failures()).isZero();
    }

    @Test
    void aPartOfThePauseIsLeftToChance() {
        InstanceLife life = new InstanceLife(PATIENCE, () -> 1);
        life.run(0);
        life.failed(0);
        life.ended(0);
        assertThat(life.dueUs()).isEqualTo(5);
    }

    @Test
    void aStartThatTakesTooLongHasFailed() {
        InstanceLife life = life();
        life.run(0);
        assertThat(life.tick(100)).isEqualTo(Act.CUT);
        life.ended(110);
        assertThat(life.state()).isEqualTo(State.WAITING);
        assertThat(life.failures()).isEqualTo(1);
    }

    @Test
    void anInstanceThatServedForLongHasItsFailuresBehindIt() {
        InstanceLife life = ready();
        for (int i = 0; i < 10; i++) {
            long now = life.dueUs() == InstanceLife.NEVER ? 5 + i * 3000L : life.dueUs();
            life.failed(now + 1500);
            life.ended(now + 1500);
            assertThat(life.failures()).isEqualTo(1);
            life.tick(life.dueUs());
            life.ready(life.dueUs());
        }
    }

    @Test
    void patienceOutOfRangeIsRefused() {
        assertThatThrownBy(() -> new Patience(0, 1, 1, 1, 1, 0, 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Patience(1, 1, 1, 2, 1, 0, 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Patience(1, 1, 1, 1, 1, 2, 1, 0)).isInstanceOf(IllegalArgumentException.class);
    }

    /** Every sequence of events up to this length; all pairs, and all that follow from them, are among them. */
    private static final int DEPTH = 7;
    private static final List<String> EVENTS =
            List.of("run", "stop", "restart", "ready", "ended", "failed", "tick");

    @Test
    void whateverHappensThereIsAWayOutAndNothingIsStartedTwice() {
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
        InstanceLife life = life();
        boolean exists = false;
        long now = 0;
        for (int event : events) {
            now++;
            boolean waited = life.dueUs() != InstanceLife.NEVER;
            Act act = switch (EVENTS.get(event)) {
                case "run" -> life.run(now);
                case "stop" -> life.stop(now);
                case "restart" -> life.restart(now);
                case "ready" -> life.ready(now);
                case "failed" -> life.failed(now);
                case "ended" -> {
                    exists = false;
                    yield life.ended(now);
                }
                default -> {
                    now = waited ? Math.max(now, life.dueUs()) : now;
                    yield life.tick(now);
                }
            };
            String story = java.util.Arrays.stream(events).mapToObj(EVENTS::get).toList() + " " + life.state();
            if (act == Act.START) {
                if (exists) {
                    throw new AssertionError("started twice: " + story);
                }
                exists = true;
            }
            boolean rests = life.state() == State.STOPPED || life.state() == State.READY
                    || life.state() == State.GIVEN_UP;
            if (rests == (life.dueUs() != InstanceLife.NEVER)) {
                throw new AssertionError("rests with a time, or waits without one: " + story);
            }
            if (life.isWanted() && life.state() == State.STOPPED) {
                throw new AssertionError("lost: " + story);
            }
            if (!life.isWanted() && (life.state() == State.READY || life.state() == State.STARTING
                    || life.state() == State.WAITING)) {
                throw new AssertionError("runs though nobody wishes it: " + story);
            }
        }
        // From anywhere, a stop and an end lead to rest.
        life.stop(now + 1);
        life.ended(now + 2);
        if (life.state() != State.STOPPED) {
            throw new AssertionError("can't be stopped: " + life.state());
        }
    }
}
