package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RecentCallIdsTest {
    private static final long RETENTION_US = RecentCallIds.MAX_RETENTION_US;
    private static final long MIN_RETENTION_US = 100;

    private final RecentCallIds ids = new RecentCallIds();

    @Test
    void idIsRefusedDuringItsRetentionAndForgottenAfterwards() {
        assertThat(ids.begin(7, 0)).isTrue();
        ids.end(7, true, 0, MIN_RETENTION_US);
        assertThat(ids.begin(7, RETENTION_US - 1)).isFalse();
        assertThat(ids.begin(8, RETENTION_US - 1)).isTrue();
        assertThat(ids.begin(7, RETENTION_US)).isTrue();
        ids.end(7, true, RETENTION_US, MIN_RETENTION_US);
        ids.end(8, true, 2 * RETENTION_US, MIN_RETENTION_US);
        assertThat(ids.size()).as("expired ids are removed").isEqualTo(1);
    }

    @Test
    void idOfAnOpenRequestIsRefusedHoweverLongItTakes() {
        assertThat(ids.begin(7, 0)).isTrue();
        assertThat(ids.begin(7, 10 * RETENTION_US)).isFalse();
    }

    @Test
    void idOfARequestThatNeverRanIsNotKept() {
        ids.begin(7, 0);
        ids.end(7, false, 0, MIN_RETENTION_US);
        assertThat(ids.size()).isZero();
        assertThat(ids.begin(7, 1)).isTrue();
    }

    @Test
    void manyIdsAreKeptForTheMinimumTimeOnly() {
        for (long id = 0; id < 3L * RecentCallIds.MAX_KEPT; id++) {
            ids.begin(id, id);
            ids.end(id, true, id, MIN_RETENTION_US);
        }
        assertThat(ids.size()).isEqualTo(RecentCallIds.MAX_KEPT);
        for (long id = 0; id < 2L * RecentCallIds.MAX_KEPT; id++) {
            ids.begin(-1 - id, 3L * RecentCallIds.MAX_KEPT);
            ids.end(-1 - id, true, 3L * RecentCallIds.MAX_KEPT, MIN_RETENTION_US);
        }
        assertThat(ids.size()).as("none is forgotten within the minimum time")
                .isGreaterThanOrEqualTo(2 * RecentCallIds.MAX_KEPT);
    }
}
