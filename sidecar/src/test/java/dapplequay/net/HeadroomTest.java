package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HeadroomTest {
    private static final long LOOK = 150_000;

    @Test
    void longBodiesPauseBeforeTheShareIsUsedUpAndGoOnAfter() {
        Headroom headroom = new Headroom(0.5);
        headroom.used(LOOK / 5, LOOK);
        assertThat(headroom.pauseMs()).as("two fifths of the share").isZero();
        for (int i = 0; i < 3; i++) {
            long before = headroom.pauseMs();
            headroom.used(LOOK * 2 / 5, LOOK);
            assertThat(headroom.pauseMs()).as("four fifths").isGreaterThan(before);
        }
        for (int i = 0; i < 100; i++) {
            headroom.used(LOOK, LOOK);
        }
        assertThat(headroom.pauseMs()).as("no peer waits for long").isLessThan(2_000);
        for (int i = 0; i < 50; i++) {
            headroom.used(0, LOOK);
        }
        assertThat(headroom.pauseMs()).isZero();
    }

    @Test
    void turnsThatComeLateCountToo() {
        Headroom headroom = new Headroom(1);
        headroom.turn(500);
        assertThat(headroom.pauseMs()).isZero();
        headroom.turn(20_000);
        assertThat(headroom.pauseMs()).isPositive();
    }
}
