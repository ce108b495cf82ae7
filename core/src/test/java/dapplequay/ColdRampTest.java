package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.ColdStart;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalanceRig.Action;
import dapplequay.limits.ColdBudget;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What a whole fleet sends to cold hosts. Of the N calls that the settings allow one in their time, all instances
 * together may go past N by 2 root N + 2, which is put down to chance, in no window and at no host.
 */
class ColdRampTest {
    private static final int SEEDS = 40;
    private static final long BEFORE_US = 3_000_000;
    private static final long AFTER_US = 6_000_000;

    /** How the instances learn of the start: from the list, as new processes, or as a lost zone answers again. */
    enum News { LISTED, INSTANCES_RESTARTED, ZONE_BACK }

    record Case(String name, int balancers, int hosts, double coldShare, News news, Consumer<ColdFleet> setup) {
        @Override
        public String toString() {
            return name + ", " + balancers + " instances, " + hosts + " hosts";
        }
    }

    private static void halfSpeed(ColdFleet f) {
        f.halfSpeed = 0.25;
    }

    private static void errors(ColdFleet f) {
        f.halfSpeed = 0.25;
        f.coldErrors = 0.3;
    }

    private static void burst(ColdFleet f) {
        f.halfSpeed = 0.25;
        f.burstAtUs = 2_500_000;
    }

    private static void overloaded(ColdFleet f) {
        f.load = 4;
        f.favoured = 1;
    }

    static Stream<Case> cases() {
        return Stream.of(new int[] {6, 10}, new int[] {20, 20}, new int[] {30, 12}).flatMap(size -> Stream.of(
                new Case("one cold", size[0], size[1], 0, News.LISTED, ColdRampTest::halfSpeed),
                new Case("several cold", size[0], size[1], 0.25, News.LISTED, ColdRampTest::halfSpeed),
                new Case("all but one cold", size[0], size[1], 0.9, News.LISTED, ColdRampTest::halfSpeed),
                new Case("all cold", size[0], size[1], 1, News.LISTED, ColdRampTest::halfSpeed),
                new Case("all cold, errors", size[0], size[1], 1, News.LISTED, ColdRampTest::errors),
                new Case("all cold, late burst", size[0], size[1], 1, News.LISTED, ColdRampTest::burst),
                new Case("all cold, all overloaded", size[0], size[1], 1, News.LISTED, ColdRampTest::overloaded),
                new Case("several cold, instances new", size[0], size[1], 0.25, News.INSTANCES_RESTARTED,
                        ColdRampTest::halfSpeed),
                new Case("all cold, instances new", size[0], size[1], 1, News.INSTANCES_RESTARTED,
                        ColdRampTest::halfSpeed),
                new Case("all cold, no count told", size[0], size[1], 1, News.LISTED, ColdRampTest::noCount),
                new Case("several cold, no count told", size[0], size[1], 0.25, News.LISTED, ColdRampTest::noCount),
                new Case("zone back", size[0], size[1], 0.5, News.ZONE_BACK, ColdRampTest::halfSpeed)));
    }

    private static void allHalfSpeed(ColdFleet f) {
        f.halfSpeed = 1;
    }

    private static void allHalfSpeedOverloaded(ColdFleet f) {
        f.halfSpeed = 1;
        overloaded(f);
    }

    private static void noCount(ColdFleet f) {
        f.tellsCount = false;
    }

    private static void noCountHalfSpeed(ColdFleet f) {
        f.tellsCount = false;
        f.halfSpeed = 1;
    }

    /** All that are cold work half as fast as thought; nothing but their answers tells. */
    static Stream<Case> casesOfAllAtHalfSpeed() {
        return Stream.of(new int[] {6, 10}, new int[] {20, 20}, new int[] {30, 12}).flatMap(size -> Stream.of(
                new Case("all cold", size[0], size[1], 1, News.LISTED, ColdRampTest::allHalfSpeed),
                new Case("errors", size[0], size[1], 1, News.LISTED, f -> {
                    errors(f);
                    f.halfSpeed = 1;
                }),
                new Case("late burst", size[0], size[1], 1, News.LISTED, f -> {
                    burst(f);
                    f.halfSpeed = 1;
                }),
                new Case("overloaded", size[0], size[1], 1, News.LISTED, ColdRampTest::allHalfSpeedOverloaded),
                new Case("instances new", size[0], size[1], 1, News.INSTANCES_RESTARTED, ColdRampTest::allHalfSpeed),
                new Case("instances new, overloaded", size[0], size[1], 1, News.INSTANCES_RESTARTED,
                        ColdRampTest::allHalfSpeedOverloaded),
                new Case("no count told", size[0], size[1], 1, News.LISTED, ColdRampTest::noCountHalfSpeed),
                new Case("no count told, instances new", size[0], size[1], 1, News.INSTANCES_RESTARTED,
                        ColdRampTest::noCountHalfSpeed),
                new Case("zone back, overloaded", size[0], size[1], 0.5, News.ZONE_BACK,
                        ColdRampTest::allHalfSpeedOverloaded)));
    }

    private static ColdFleet play(long seed, Case c) {
        ColdFleet f = new ColdFleet(seed);
        f.balancers = c.balancers();
        f.hosts = c.hosts();
        c.setup().accept(f);
        f.begin();
        f.runUntil(ColdFleet.T0 + BEFORE_US);
        List<ColdFleet.Host> all = new ArrayList<>(f.all.values());
        List<ColdFleet.Host> cold = c.news() == News.ZONE_BACK ? all.stream().filter(h -> h.zone == 1).toList()
                : all.subList(0, Math.max(1, (int) (c.coldShare() * all.size())));
        if (c.news() == News.ZONE_BACK) {
            cold.forEach(h -> h.silent = true);
            f.runUntil(f.now + 4_000_000);
        }
        f.startCold(cold);
        f.newsAt = f.now;
        switch (c.news()) {
            case LISTED -> f.tell(cold);
            case INSTANCES_RESTARTED -> f.restartInstances();
            case ZONE_BACK -> f.at(f.now + 3_000_000, () -> f.tell(cold));
        }
        f.runUntil(f.now + AFTER_US);
        return f;
    }

    @ParameterizedTest
    @MethodSource({"cases", "casesOfAllAtHalfSpeed"})
    void allInstancesTogetherKeepWithinTheBudget(Case c) {
        List<String> over = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            double worst = play(seed, c).worst();
            if (worst > 1) {
                over.add(String.format(Locale.ROOT, "seed %d: %.2f of the bound", seed, worst));
            }
        }
        assertThat(over).isEmpty();
    }

    /** A cold host works off a third of its budget: less than half of it would leave it idle between requests. */
    @Test
    void aFleetThatIsColdAsAWholeIsStillUsed() {
        double used = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            used += play(seed, new Case("all cold", 20, 20, 1, News.LISTED, f -> { })).used();
        }
        assertThat(used / SEEDS).isGreaterThan(0.4);
    }

    /** However long nobody wanted the host: what each may send alone does not pile up for the moment when all do. */
    @Test
    void turnsThatNobodyTookLapse() {
        ColdBudget budget = new ColdBudget(new ColdStart(0.31, 8_800_000, 3, 3_000_000));
        long pause = budget.pauseUs(110_000, 30, 0.31);
        long atOnce = 0;
        for (int instance = 0; instance < 1_000; instance++) {
            atOnce += budget.isTurn(60_000_000 + pause * instance / 1_000.0, pause) ? 1 : 0;
        }
        assertThat(atOnce).isBetween(160L, 180L);
        assertThat(budget.isTurn(pause - 1, pause)).isFalse();
        assertThat(budget.isTurn(pause, pause)).isTrue();
        assertThat(budget.isTurn(pause + 1_500_000, pause)).isFalse();
        assertThat(budget.isTurn(2 * pause, pause)).isTrue();
    }

    @Test
    void shortPausesLeaveNoTurnToLapse() {
        ColdBudget budget = new ColdBudget(new ColdStart(0.31, 8_800_000, 3, 3_000_000));
        long pause = budget.pauseUs(110_000, 4, 0.31);
        assertThat(pause).isLessThan(1_500_000);
        for (long since = pause; since < 3 * pause; since += 10_000) {
            assertThat(budget.isTurn(since, pause)).isTrue();
        }
    }

    /** With one out of each it holds no more than there are instances, and takes as many more as it works off. */
    @Test
    void oneOutOfEachIsBorneByAsManyAsTheBudgetLeavesRoomFor() {
        ColdBudget budget = new ColdBudget(new ColdStart(0.31, 8_800_000, 3, 3_000_000));
        double calls = 3 * 0.31 * 3_000_000 / 110_000;
        assertThat(budget.bearsOneOfEach(budget.pauseUs(110_000, 0.66 * calls, 0.31))).isTrue();
        assertThat(budget.bearsOneOfEach(budget.pauseUs(110_000, 0.67 * calls, 0.31))).isFalse();
    }

    private static BalanceRig coldAlone(long seed) {
        BalanceRig rig = anInstance(seed);
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, rig.now)));
        return rig;
    }

    private static BalanceRig anInstance(long seed) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.position = (int) seed;
        setup.balancers = 30;
        return new BalanceRig(setup, seed);
    }

    /** Where a zone answers again its hosts start cold, and the instances must not all turn to them in one moment. */
    @Test
    void firstTurnsAtAZoneThatIsBackAreSpread() {
        int instances = 100;
        int[] open = new int[20];      // of 100 ms each, in which a pause goes from 6.7 s to 4.3 s
        for (long seed = 1; seed <= instances; seed++) {
            BalanceRig rig = anInstance(seed).fleet(1, 2);
            for (int i = 0; i < 4; i++) {
                rig.balance.set.zoneLoss.attemptEnded(1, true);
            }
            Action asked = rig.request(BalanceRig.RETRYABLE);
            assertThat(asked.host()).startsWith("b");
            rig.advance(10_000).outcome(asked, Outcome.OK);
            assertThat(rig.balance.set.zoneLoss.isLost(1)).isFalse();
            Server other = rig.balance.set.servers.get(asked.host().equals("b0") ? "b1" : "b0");
            rig.balance.set.answerCount = 2;
            for (int i = 0; i < open.length; i++) {
                open[i] += other.hasColdTurn(rig.now + i * 100_000, false) ? 1 : 0;
            }
        }
        assertThat(Arrays.stream(open).max().orElseThrow()).isBetween(1, instances * 3 / 10);
    }

    /** A list that was written before the zone came back, or does not know of it, took its hosts for warm again. */
    @ParameterizedTest
    @EnumSource(value = ListKind.class, names = {"DELTA", "FULL"})
    void anOlderListMakesNoHostWarmer(ListKind kind) {
        BalanceRig rig = anInstance(1).fleet(1, 2);
        for (int i = 0; i < 4; i++) {
            rig.balance.set.zoneLoss.attemptEnded(1, true);
        }
        rig.advance(10_000).outcome(rig.request(BalanceRig.RETRYABLE), Outcome.OK);
        Server host = rig.balance.set.servers.get("b1");
        long back = rig.now;
        assertThat(host.warmth(rig.advance(2_000_000).now)).isLessThan(1);
        long turnsFrom = host.coldTurnsFrom;
        for (long told : new long[] {0, 1, back - 500_000, back}) {
            rig.balance.fleet(rig.now, kind,
                    List.of(BalanceRig.host("a0", 0), BalanceRig.host("b1", 1, HostState.READY, told)));
            assertThat(host.startedUs).isEqualTo(back);
            assertThat(host.coldTurnsFrom).as("a turn is not begun anew").isEqualTo(turnsFrom);
        }
        rig.balance.fleet(rig.now, kind,
                List.of(BalanceRig.host("a0", 0), BalanceRig.host("b1", 1, HostState.READY, rig.now)));
        assertThat(host.startedUs).as("a later start counts").isEqualTo(rig.now);
    }

    /** With the pace a guess, all pauses are half as long again. */
    @ParameterizedTest
    @CsvSource({"1, 1.5", "2, 1"})
    void aColdHostThatDidNotServeMissesATurn(int answers, double wary) {
        BalanceRig rig = coldAlone(1);
        rig.balance.set.answerCount = answers;
        Action send = rig.request(BalanceRig.RETRYABLE);
        while (send.host() == null) {
            send = rig.advance(10_000).request(BalanceRig.RETRYABLE);
        }
        long sentAt = rig.now;
        rig.advance(10_000).outcome(send, Outcome.TIMEOUT);
        Server host = rig.balance.set.servers.get("a0");
        while (!host.hasColdTurn(rig.now, true)) {
            rig.advance(10_000);
        }
        ColdBudget budget = rig.balance.set.coldBudget;
        long pause = budget.pauseUs(wary * rig.balance.set.paceUs(), 30, host.warmth(rig.now));
        assertThat(rig.now - sentAt).isBetween(2 * pause - 10_000, 2 * pause + 20_000);
    }

    /** A host's last answer may be from before it started: that says nothing of what it bears now. */
    @Test
    void anAnswerToWhatWasSentBeforeTheStartOpensNoTurn() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.balancers = 2;
        BalanceRig rig = new BalanceRig(setup, 1);
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, rig.now)));
        Server host = rig.balance.set.servers.get("a0");
        host.coldTurnPhase = 0.1;
        host.lastAnswerAt = rig.advance(1_000).now;
        assertThat(host.hasColdTurn(rig.now, true)).isFalse();
        host.coldTurnPhase = 0;
        assertThat(host.hasColdTurn(rig.now, true)).as("an answer to a send since the start does").isTrue();
    }

    /** Where answers tell no count the pace stays a guess, and cold hosts got nothing while any other was usable. */
    @Test
    void coldHostsHaveTheirTurnsWhereNoCountIsTold() {
        BalanceRig rig = anInstance(1);
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, 0),
                BalanceRig.host("a1", 0, HostState.READY, rig.now)));
        rig.advance(10_000).outcome(rig.request(BalanceRig.RETRYABLE), 0, Outcome.OK,
                new LoadReport(Double.NaN, Double.NaN));
        int turns = 0;
        for (int i = 0; i < 100; i++) {
            turns += rig.balance.set.servers.get("a1").hasColdTurn(rig.advance(100_000).now, false) ? 1 : 0;
        }
        assertThat(turns).isPositive();
    }

    /** The first guess at what a request takes may be far off: a cold host gets nothing on it while others serve. */
    @Test
    void nothingGoesToAColdHostBeforeTheFirstAnswer() {
        BalanceRig rig = anInstance(1);
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, 0),
                BalanceRig.host("a1", 0, HostState.READY, rig.now)));
        Server cold = rig.balance.set.servers.get("a1");
        for (int i = 0; i < 100; i++) {
            assertThat(cold.hasColdTurn(rig.advance(100_000).now, false)).isFalse();
        }
        Action send = rig.request(BalanceRig.RETRYABLE);
        rig.advance(10_000).outcome(send, 0, Outcome.OK, new LoadReport(0, 0));
        int turns = 0;
        for (int i = 0; i < 100; i++) {
            turns += cold.hasColdTurn(rig.advance(100_000).now, false) ? 1 : 0;
        }
        assertThat(turns).isPositive();
    }

    /** Each new process has a host's first turn at a moment of its own, also when the first list names the start. */
    @Test
    void firstTurnsAfterTheFleetsOwnRestartAreSpread() {
        int seeds = 100;
        int sent = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            BalanceRig rig = coldAlone(seed);
            for (int i = 0; i < 30; i++) {
                sent += rig.advance(10_000).request(BalanceRig.RETRYABLE).host() == null ? 0 : 1;
            }
        }
        // The pause is 1.5 x 1.5 x 40 ms x 30 / (0.4 x 3 x 0.15) = 15 s, a turn lasts an eighth of it, and 0.3 s go by.
        assertThat(sent).isBetween(5, 30);
    }
}
