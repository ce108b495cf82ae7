package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.lifecycle.ServiceLife.Phase;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServiceLifeTest {
    private static final long DRAIN_GRACE = 30;
    private static final long END_GRACE = 50;

    private static ServiceLife serving() {
        ServiceLife life = new ServiceLife(DRAIN_GRACE);
        assertThat(life.wantsClients()).as("before it listens").isFalse();
        life.listening(0);
        assertThat(life.wantsClients()).isTrue();
        return life;
    }

    @Test
    void aDrainSaysNoAtOnceEmptiesAfterItsGraceAndCanBeTakenBack() {
        ServiceLife life = serving();
        life.drain(100);
        assertThat(life.wantsClients()).isFalse();
        assertThat(life.empties(129)).isFalse();
        life.drain(120);
        assertThat(life.empties(130)).as("a second order does not put it off").isTrue();
        life.holds(0, 130);
        assertThat(life.phase()).isEqualTo(Phase.DRAINED);
        life.holds(1, 131);
        assertThat(life.phase()).isEqualTo(Phase.DRAINING);
        assertThat(life.resume()).isTrue();
        assertThat(life.wantsClients()).isTrue();
        assertThat(life.empties(1_000)).isFalse();
    }

    @Test
    void aDrainBeforeItListensHoldsAfter() {
        ServiceLife life = new ServiceLife(DRAIN_GRACE);
        life.drain(5);
        assertThat(life.phase()).isEqualTo(Phase.STARTING);
        life.listening(10);
        assertThat(life.phase()).isEqualTo(Phase.DRAINING);
        assertThat(life.empties(40)).isTrue();
    }

    @Test
    void anEndingWithinADrainGoesOnWhereThatStands() {
        ServiceLife life = serving();
        life.drain(100);
        life.end(110, END_GRACE);
        assertThat(life.phase()).isEqualTo(Phase.ENDING);
        assertThat(life.empties(130)).isTrue();
        assertThat(life.resume()).isFalse();
        assertThat(life.wantsClients()).isFalse();
    }

    @Test
    void graceOutOfRangeIsRefused() {
        assertThatThrownBy(() -> new ServiceLife(-1)).isInstanceOf(IllegalArgumentException.class);
    }

    private static final int DEPTH = 6;
    private static final List<String> EVENTS = List.of("listening", "drain", "resume", "end", "none", "one", "later");

    /** All sequences: it wants clients only while it empties nothing, and an ending is for good. */
    @Test
    void whateverHappensItNeverWantsClientsAndSendsThemAway() {
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
        ServiceLife life = new ServiceLife(DRAIN_GRACE);
        boolean ended = false;
        boolean listened = false;
        boolean drained = false;
        long now = 0;
        for (int event : events) {
            now++;
            switch (EVENTS.get(event)) {
                case "listening" -> {
                    life.listening(now);
                    listened = true;
                }
                case "drain" -> {
                    life.drain(now);
                    drained = true;
                }
                case "resume" -> {
                    drained &= !life.resume();
                }
                case "end" -> {
                    life.end(now, END_GRACE);
                    ended = true;
                }
                case "none" -> life.holds(0, now);
                case "one" -> life.holds(1, now);
                default -> now += 60;
            }
            String story = java.util.Arrays.stream(events).mapToObj(EVENTS::get).toList() + " " + life.phase();
            if (life.wantsClients() != (listened && !drained && !ended)) {
                throw new AssertionError("wants clients, or not, against its orders: " + story);
            }
            if (life.wantsClients() && life.empties(now + 1_000)) {
                throw new AssertionError("sends away whom it wants: " + story);
            }
            if (ended != (life.phase() == Phase.ENDING) || ended && !life.empties(now + END_GRACE)) {
                throw new AssertionError("an ending is for good: " + story);
            }
            if (listened && drained && !ended && !life.empties(now + DRAIN_GRACE)) {
                throw new AssertionError("a drain does not come about: " + story);
            }
        }
    }
}
