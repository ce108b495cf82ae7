package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RecentCallIdsTest {
    @Test
    void idIsRefusedDuringItsRetentionAndForgottenAfterwards() {
        RecentCallIds ids = new RecentCallIds();
        assertThat(ids.addIfNew(7, 0, 100)).isTrue();
        assertThat(ids.addIfNew(7, 99, 100)).isFalse();
        assertThat(ids.addIfNew(8, 99, 100)).isTrue();
        assertThat(ids.addIfNew(7, 100, 100)).isTrue();
        ids.addIfNew(9, 500, 100);
        assertThat(ids.size()).as("expired ids are removed").isEqualTo(1);
    }
}
