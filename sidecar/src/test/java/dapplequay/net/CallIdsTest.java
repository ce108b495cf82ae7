package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallIdsTest {
    @Test
    void idIsTakenForItsTimeAndForgottenAfter() {
        CallIds ids = new CallIds(100);
        assertThat(ids.isNew(7, 0)).isTrue();
        assertThat(ids.isNew(7, 99)).isFalse();
        assertThat(ids.isNew(8, 99)).isTrue();
        assertThat(ids.isNew(7, 100)).isTrue();
        ids.isNew(9, 500);
        assertThat(ids.size()).as("what is over stays in no memory").isEqualTo(1);
    }
}
