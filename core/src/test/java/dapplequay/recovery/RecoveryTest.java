package dapplequay.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.recovery.Beginning.From;
import dapplequay.recovery.Beginning.Known;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecoveryTest {
    private static final long BOUND = 1_000;

    /** Version of the platform's list and of the kept one (-1: none), age of the kept one, what comes of it. */
    @ParameterizedTest
    @CsvSource({"-1, -1, 0, NOTHING, false", "4, -1, 0, PLATFORM, false", "-1, 5, 10, KEPT, true",
        "4, 5, 10, KEPT, true", "5, 5, 10, KEPT, true", "6, 5, 10, PLATFORM, false",
        "4, 5, 1000, KEPT, true", "4, 5, 1001, KEPT, false", "4, 5, -1, KEPT, false"})
    void theNewerListBeginsAndBindsWhileItsVersionCounts(long platform, long kept, long age, From from, boolean binds) {
        long now = 1_000_000;
        assertThat(Beginning.choose(platform < 0 ? null : platform, kept < 0 ? null : new Known(kept, now - age), now,
                BOUND)).isEqualTo(new Beginning(from, binds));
    }

    @ParameterizedTest
    @CsvSource({"40, 21, false", "40, 20, true", "3, 2, false", "2, 2, true", "0, 0, true", "12, 12, false"})
    void aListThatLostMostHostsIsDoubtedOnce(int served, int missing, boolean believed) {
        Doubt doubt = new Doubt();
        assertThat(doubt.believes(served, missing)).isEqualTo(believed);
        assertThat(doubt.isDoubting()).isEqualTo(!believed);
        assertThat(doubt.believes(served, missing)).as("the second answer counts").isTrue();
        assertThat(doubt.believes(served, missing)).as("another loss later").isEqualTo(believed);
    }

    /** Whatever answers and failures come: never more than one question in a row that settles nothing. */
    @Test
    void doubtAlwaysEnds() {
        for (int sequence = 0; sequence < 1 << 12; sequence++) {
            Doubt doubt = new Doubt();
            int doubted = 0;
            for (int step = 0; step < 6; step++) {
                int event = sequence >> 2 * step & 3;
                if (event == 0) {
                    doubt.failed();
                    doubted = 0;
                } else {
                    doubted = doubt.believes(10, event == 1 ? 10 : event == 2 ? 6 : 1) ? 0 : doubted + 1;
                }
                assertThat(doubted).isLessThanOrEqualTo(1);
                assertThat(doubt.isDoubting()).isEqualTo(doubted == 1);
            }
        }
    }
}
