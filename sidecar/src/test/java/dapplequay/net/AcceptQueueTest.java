package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Since when an accepted connection may have waited. */
class AcceptQueueTest {
    private static final long START_US = 5_000_000;
    private static final long LONG_CALL_US = 50_000;

    private final AcceptQueue queue = new AcceptQueue();

    @Test
    void aConnectionHasNotWaitedIfAcceptingWasNotHeldUp() {
        assertThat(queue.accepted(0, START_US)).isEqualTo(START_US);
    }

    @Test
    void connectionsMayHaveWaitedSinceAcceptingWasHeldUp() {
        queue.heldUp(false, START_US);
        queue.heldUp(false, START_US + 100);
        assertThat(queue.longestWaitUs(START_US + 300)).isEqualTo(300);
        assertThat(queue.accepted(0, START_US + 300)).isEqualTo(START_US);
        assertThat(queue.accepted(0, START_US + 400)).isEqualTo(START_US);
    }

    @Test
    void moreConnectionsThanTheQueueHoldsHaveNotAllWaited() {
        queue.heldUp(false, START_US);
        for (int i = 0; i < 1_024; i++) {
            assertThat(queue.accepted(0, START_US + 300)).isEqualTo(START_US);
        }
        assertThat(queue.accepted(0, START_US + 300)).isEqualTo(START_US + 300);
    }

    @Test
    void anEmptyQueueEndsTheWait() {
        queue.heldUp(false, START_US);
        queue.heldUp(true, START_US + 100);
        assertThat(queue.accepted(0, START_US + 300)).isEqualTo(START_US + 100);
        assertThat(queue.accepted(LONG_CALL_US, START_US + 400)).isEqualTo(START_US + 400);
        assertThat(queue.accepted(0, START_US + 500)).isEqualTo(START_US + 500);
    }
}
