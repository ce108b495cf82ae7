package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallIdsTest {
    @Test
    void idIsTakenForItsTimeAndForgottenAfter() {
        CallIds ids = new CallIds();
        assertThat(ids.isNew(7, 0, 100)).isTrue();
        assertThat(ids.isNew(7, 99, 100)).isFalse();
        assertThat(ids.isNew(8, 99, 100)).isTrue();
        assertThat(ids.isNew(7, 100, 100)).isTrue();
        ids.isNew(9, 500, 100);
        assertThat(ids.size()).as("what is over stays in no memory").isEqualTo(1);
    }
}
