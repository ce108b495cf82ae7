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
    void aConnectionCountsAsWaitingWhileAcceptingIsHeldUp() {
        queue.heldUp(false, START_US);
        queue.heldUp(false, START_US + 100);
        assertThat(queue.accepted(0, START_US + 300)).isEqualTo(START_US);
    }

    /** In a flood of connections, each counted as waiting since the flood began, and its request had no time left. */
    @Test
    void theNextOneCountsAsWaitingSinceTheOneBeforeWasAccepted() {
        queue.heldUp(false, START_US);
        queue.accepted(0, START_US + 300);
        queue.heldUp(false, START_US + 310);
        assertThat(queue.longestWaitUs(START_US + 400)).isEqualTo(400);
        assertThat(queue.accepted(0, START_US + 400)).isEqualTo(START_US + 310);
        assertThat(queue.accepted(0, START_US + 500)).isEqualTo(START_US + 500);
    }

    @Test
    void moreConnectionsThanTheQueueHoldsHaveNotAllWaited() {
        queue.heldUp(false, START_US);
        for (int i = 0; i <= 1_024; i++) {
            assertThat(queue.longestWaitUs(START_US + 300)).isEqualTo(300);
            queue.accepted(0, START_US + 300);
        }
        assertThat(queue.longestWaitUs(START_US + 300)).isZero();
    }

    @Test
    void anEmptyQueueEndsTheWait() {
        queue.heldUp(false, START_US);
        queue.heldUp(true, START_US + 100);
        assertThat(queue.accepted(0, START_US + 300)).isEqualTo(START_US + 100);
        assertThat(queue.accepted(LONG_CALL_US, START_US + 400)).isEqualTo(START_US + 400);
        assertThat(queue.longestWaitUs(START_US + 500)).isZero();
    }
}
