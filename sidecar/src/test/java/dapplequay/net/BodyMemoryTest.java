package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BodyMemoryTest {
    private static final int BUDGET = 8 << 20;
    private static final int BODIES = 1_000;

    private final BodyMemory memory = new BodyMemory(BUDGET);

    @Test
    void aBodyIsGrantedWhatItWantsWhileMemoryIsFree() {
        assertThat(memory.reserve(100)).isEqualTo(100);
        assertThat(memory.reserve(BodyMemory.MAX_GRANT)).isEqualTo(BodyMemory.MAX_GRANT);
        assertThat(memory.granted()).isEqualTo(100 + BodyMemory.MAX_GRANT);
    }

    @Test
    void manyBodiesAreGrantedLessButEachTheMinimum() {
        long total = 0;
        for (int i = 0; i < BODIES; i++) {
            int grant = memory.reserve(BodyMemory.MAX_GRANT);
            assertThat(grant).isBetween(BodyMemory.MIN_GRANT, BodyMemory.MAX_GRANT);
            total += grant;
        }
        assertThat(total).isLessThan(BUDGET + (long) BODIES * BodyMemory.MIN_GRANT);
        assertThat(memory.reserve(BodyMemory.MAX_GRANT)).isEqualTo(BodyMemory.MIN_GRANT);
        assertThat(memory.reserve(100)).isEqualTo(100);
    }

    @Test
    void whatIsReleasedIsGrantedAgain() {
        for (int i = 0; i < BODIES; i++) {
            memory.release(memory.reserve(BodyMemory.MAX_GRANT));
        }
        assertThat(memory.granted()).isZero();
        assertThat(memory.reserve(BodyMemory.MAX_GRANT)).isEqualTo(BodyMemory.MAX_GRANT);
    }
}
