package dapplequay.lab.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class ColdBudgetTest {
    private static ColdBudget budget() {
        return new ColdBudget(2, 0.5, 10_000_000, 3, 1_000_000);
    }

    @Test
    void aBurstAtTheStartCountsAgainstTheColdCapacity() {
        assertThat(budget().recordWork(0, 1_500_000)).isCloseTo(0.5, within(0.001));
        assertThat(budget().recordWork(0, 3_100_000)).isGreaterThan(1);
    }

    @Test
    void oldWorkLeavesTheWindow() {
        ColdBudget budget = budget();
        budget.recordWork(0, 2_900_000);
        assertThat(budget.recordWork(2_000_000, 2_900_000)).isLessThan(1);
        assertThat(budget.maxUsed()).isCloseTo(0.967, within(0.001));
    }

    @Test
    void theBudgetRisesAsTheHostWarmsUp() {
        assertThat(budget().recordWork(5_500_000, 1_000_000)).isCloseTo(1.0 / (3 * 1.5), within(0.005));
        assertThat(budget().recordWork(60_000_000, 1e12)).as("long after warm-up").isZero();
    }
}
