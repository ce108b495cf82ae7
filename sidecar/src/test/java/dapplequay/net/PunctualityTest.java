package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PunctualityTest {
    private static final long START = 1_000_000;

    @Test
    void startCountsAsLate() {
        Punctuality punctuality = new Punctuality(START);
        assertThat(punctuality.isLate(START + 10_000)).isTrue();
        for (long at = START; at < START + 2_000_000; at += 10_000) {
            punctuality.turn(at);
        }
        assertThat(punctuality.isLate(START + 2_000_000)).isFalse();
    }

    @Test
    void missingTurnTellsWhileItIsMissingAndForAWhileAfter() {
        Punctuality punctuality = new Punctuality(START);
        long last = START + 2_000_000;
        punctuality.turn(last - 10_000);
        punctuality.turn(last);
        long quiet = last + 600_000;
        for (long at = last; at <= quiet; at += 10_000) {
            punctuality.turn(at);
        }
        assertThat(punctuality.isLate(quiet + 30_000)).isFalse();
        assertThat(punctuality.isLate(quiet + 50_000)).isTrue();
        punctuality.turn(quiet + 300_000);
        assertThat(punctuality.isLate(quiet + 301_000)).isTrue();
        punctuality.turn(quiet + 310_000);
        assertThat(punctuality.isLate(quiet + 400_000)).isTrue();
    }

    @Test
    void waitForRoomCountsTooWhereItWasLong() {
        Punctuality punctuality = new Punctuality(START - 10_000_000);
        punctuality.turn(START - 10_000);
        punctuality.turn(START);
        for (long at = START; at < START + 600_000; at += 10_000) {
            punctuality.turn(at);
        }
        long now = START + 600_000;
        punctuality.waited(now - 20_000, now);
        assertThat(punctuality.isLate(now)).isFalse();
        punctuality.waited(now - 60_000, now);
        assertThat(punctuality.isLate(now)).isTrue();
    }
}
