package dapplequay.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.recovery.Beginning.From;
import dapplequay.recovery.Beginning.Known;
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
}
