package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.lifecycle.ServiceLifecycle.Phase;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServiceLifecycleTest {
    private static final long DRAIN_GRACE = 30;
    private static final long END_GRACE = 50;

    private static ServiceLifecycle serving() {
        ServiceLifecycle lifecycle = new ServiceLifecycle(DRAIN_GRACE);
        assertThat(lifecycle.acceptsClients()).as("before the listener is open").isFalse();
        lifecycle.listenerOpened(0);
        assertThat(lifecycle.acceptsClients()).isTrue();
        return lifecycle;
    }

    @Test
    void aDrainRefusesClientsAtOnceClosesConnectionsAfterItsGraceAndCanBeUndone() {
        ServiceLifecycle lifecycle = serving();
        lifecycle.drain(100);
        assertThat(lifecycle.acceptsClients()).isFalse();
        assertThat(lifecycle.closesConnections(129)).isFalse();
        lifecycle.drain(120);
        assertThat(lifecycle.closesConnections(130)).as("a second order does not extend the grace").isTrue();
        lifecycle.updateConnectionCount(0, 130);
        assertThat(lifecycle.phase()).isEqualTo(Phase.DRAINED);
        lifecycle.updateConnectionCount(1, 131);
        assertThat(lifecycle.phase()).isEqualTo(Phase.DRAINING);
        assertThat(lifecycle.resume()).isTrue();
        assertThat(lifecycle.acceptsClients()).isTrue();
        assertThat(lifecycle.closesConnections(1_000)).isFalse();
    }

    @Test
    void aDrainOrderedBeforeTheListenerOpensBeginsThen() {
        ServiceLifecycle lifecycle = new ServiceLifecycle(DRAIN_GRACE);
        lifecycle.drain(5);
        assertThat(lifecycle.phase()).isEqualTo(Phase.STARTING);
        lifecycle.listenerOpened(10);
        assertThat(lifecycle.phase()).isEqualTo(Phase.DRAINING);
        assertThat(lifecycle.closesConnections(40)).isTrue();
    }

    @Test
    void aShutdownDuringADrainKeepsTheGraceOfTheDrain() {
        ServiceLifecycle lifecycle = serving();
        lifecycle.drain(100);
        lifecycle.beginShutdown(110, END_GRACE);
        assertThat(lifecycle.phase()).isEqualTo(Phase.ENDING);
        assertThat(lifecycle.closesConnections(130)).isTrue();
        assertThat(lifecycle.resume()).isFalse();
        assertThat(lifecycle.acceptsClients()).isFalse();
    }

    @Test
    void rejectsANegativeGracePeriod() {
        assertThatThrownBy(() -> new ServiceLifecycle(-1)).isInstanceOf(IllegalArgumentException.class);
    }

    private static final int DEPTH = 6;
    private static final List<String> EVENTS = List.of("listening", "drain", "resume", "end", "none", "one", "later");

    /** Tries all sequences of events: clients are accepted only while none are closed, and a shutdown is final. */
    @Test
    void neverAcceptsClientsWhileClosingConnections() {
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
        ServiceLifecycle lifecycle = new ServiceLifecycle(DRAIN_GRACE);
        boolean isEnding = false;
        boolean isListening = false;
        boolean isDrained = false;
        long now = 0;
        for (int event : events) {
            now++;
            switch (EVENTS.get(event)) {
                case "listening" -> {
                    lifecycle.listenerOpened(now);
                    isListening = true;
                }
                case "drain" -> {
                    lifecycle.drain(now);
                    isDrained = true;
                }
                case "resume" -> {
                    isDrained &= !lifecycle.resume();
                }
                case "end" -> {
                    lifecycle.beginShutdown(now, END_GRACE);
                    isEnding = true;
                }
                case "none" -> lifecycle.updateConnectionCount(0, now);
                case "one" -> lifecycle.updateConnectionCount(1, now);
                default -> now += 60;
            }
            String sequence = java.util.Arrays.stream(events).mapToObj(EVENTS::get).toList() + " " + lifecycle.phase();
            if (lifecycle.acceptsClients() != (isListening && !isDrained && !isEnding)) {
                throw new AssertionError("readiness contradicts the orders: " + sequence);
            }
            if (lifecycle.acceptsClients() && lifecycle.closesConnections(now + 1_000)) {
                throw new AssertionError("closes connections of clients that it accepts: " + sequence);
            }
            if (isEnding != (lifecycle.phase() == Phase.ENDING)
                    || isEnding && !lifecycle.closesConnections(now + END_GRACE)) {
                throw new AssertionError("a shutdown must be final: " + sequence);
            }
            if (isListening && isDrained && !isEnding && !lifecycle.closesConnections(now + DRAIN_GRACE)) {
                throw new AssertionError("a drain does not close connections after its grace: " + sequence);
            }
        }
    }
}
