package dapplequay.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.recovery.InitialList.KeptList;
import dapplequay.recovery.InitialList.Source;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InitialListTest {
    private static final long MAX_AGE_US = 1_000;

    /** Versions of the platform's list and of the kept one (-1: none), age of the kept one, and the choice. */
    @ParameterizedTest
    @CsvSource({"-1, -1, 0, NOTHING, false", "4, -1, 0, PLATFORM, false", "-1, 5, 10, KEPT, true",
        "4, 5, 10, KEPT, true", "5, 5, 10, KEPT, true", "6, 5, 10, PLATFORM, false",
        "4, 5, 1000, KEPT, true", "4, 5, 1001, KEPT, false", "4, 5, -1, KEPT, false"})
    void choosesTheHigherVersionAndEnforcesItUpToAMaximumAge(long platformRevision, long keptRevision, long ageUs,
            Source source, boolean enforcesVersion) {
        long nowUs = 1_000_000;
        assertThat(InitialList.choose(platformRevision < 0 ? null : platformRevision,
                keptRevision < 0 ? null : new KeptList(keptRevision, nowUs - ageUs), nowUs, MAX_AGE_US))
                .isEqualTo(new InitialList(source, enforcesVersion));
    }
}
