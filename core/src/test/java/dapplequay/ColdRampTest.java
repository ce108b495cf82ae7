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
 * What a whole fleet sends to cold hosts. Where the settings allow a host N calls in their window, all instances
 * together may send N + 2 sqrt(N) + 2, the excess being chance, in every window and to every host.
 */
class ColdRampTest {
    private static final int SEEDS = 40;
    private static final long BEFORE_US = 3_000_000;
    private static final long AFTER_US = 6_000_000;

    /** How instances learn that hosts are cold: from the list, at their own start, or as a lost zone answers again. */
    enum News { LISTED, INSTANCES_RESTARTED, ZONE_BACK }

    record Case(String name, int balancers, int hosts, double coldShare, News news, Consumer<ColdFleet> setup) {
        @Override
        public String toString() {
            return name + ", " + balancers + " instances, " + hosts + " hosts";
        }
    }

    private static void halfSpeed(ColdFleet fleet) {
        fleet.halfSpeedShare = 0.25;
    }

    private static void errors(ColdFleet fleet) {
        fleet.halfSpeedShare = 0.25;
        fleet.coldErrorShare = 0.3;
    }

    private static void burst(ColdFleet fleet) {
        fleet.halfSpeedShare = 0.25;
        fleet.burstAfterNewsUs = 2_500_000;
    }

    private static void overloaded(ColdFleet fleet) {
        fleet.loadShare = 4;
        fleet.firstInstanceTraffic = 1;
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

    private static void allHalfSpeed(ColdFleet fleet) {
        fleet.halfSpeedShare = 1;
    }

    private static void allHalfSpeedOverloaded(ColdFleet fleet) {
        fleet.halfSpeedShare = 1;
        overloaded(fleet);
    }

    private static void noCount(ColdFleet fleet) {
        fleet.reportsLoad = false;
    }

    private static void noCountHalfSpeed(ColdFleet fleet) {
        fleet.reportsLoad = false;
        fleet.halfSpeedShare = 1;
    }

    /** All cold hosts have half the mean speed, which only their answers show. */
    static Stream<Case> casesOfAllAtHalfSpeed() {
        return Stream.of(new int[] {6, 10}, new int[] {20, 20}, new int[] {30, 12}).flatMap(size -> Stream.of(
                new Case("all cold", size[0], size[1], 1, News.LISTED, ColdRampTest::allHalfSpeed),
                new Case("errors", size[0], size[1], 1, News.LISTED, fleet -> {
                    errors(fleet);
                    fleet.halfSpeedShare = 1;
                }),
                new Case("late burst", size[0], size[1], 1, News.LISTED, fleet -> {
                    burst(fleet);
                    fleet.halfSpeedShare = 1;
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

    private static ColdFleet play(long seed, Case testCase) {
        ColdFleet fleet = new ColdFleet(seed);
        fleet.balancers = testCase.balancers();
        fleet.hosts = testCase.hosts();
        testCase.setup().accept(fleet);
        fleet.begin();
        fleet.runUntil(ColdFleet.START_US + BEFORE_US);
        List<ColdFleet.Host> all = new ArrayList<>(fleet.hostsByName.values());
        List<ColdFleet.Host> cold = testCase.news() == News.ZONE_BACK ? all.stream().filter(h -> h.zone == 1).toList()
                : all.subList(0, Math.max(1, (int) (testCase.coldShare() * all.size())));
        if (testCase.news() == News.ZONE_BACK) {
            cold.forEach(h -> h.silent = true);
            fleet.runUntil(fleet.now + 4_000_000);
        }
        fleet.startCold(cold);
        fleet.newsAtUs = fleet.now;
        switch (testCase.news()) {
            case LISTED -> fleet.listChanges(cold);
            case INSTANCES_RESTARTED -> fleet.restartInstances();
            case ZONE_BACK -> fleet.at(fleet.now + 3_000_000, () -> fleet.listChanges(cold));
        }
        fleet.runUntil(fleet.now + AFTER_US);
        return fleet;
    }

    @ParameterizedTest
    @MethodSource({"cases", "casesOfAllAtHalfSpeed"})
    void allInstancesTogetherKeepWithinTheBudget(Case testCase) {
        List<String> seedsOverBound = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            double worst = play(seed, testCase).worstBoundRatio();
            if (worst > 1) {
                seedsOverBound.add(String.format(Locale.ROOT, "seed %d: %.2f of the bound", seed, worst));
            }
        }
        assertThat(seedsOverBound).isEmpty();
    }

    /** A cold host serves a third of its budget: a balancer that uses much less of it leaves the host idle. */
    @Test
    void coldFleetIsUsed() {
        double used = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            used += play(seed, new Case("all cold", 20, 20, 1, News.LISTED, fleet -> { })).usedBudgetShare();
        }
        assertThat(used / SEEDS).isGreaterThan(0.4);
    }

    /** Guards against turns that pile up while no instance sends, and are then used by all at once. */
    @Test
    void unusedTurnsLapse() {
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
    void turnsDoNotLapseIfPausesAreShort() {
        ColdBudget budget = new ColdBudget(new ColdStart(0.31, 8_800_000, 3, 3_000_000));
        long pause = budget.pauseUs(110_000, 4, 0.31);
        assertThat(pause).isLessThan(1_500_000);
        for (long since = pause; since < 3 * pause; since += 10_000) {
            assertThat(budget.isTurn(since, pause)).isTrue();
        }
    }

    /** With one request of each instance in flight, a host gets one for each instance and one for each it serves. */
    @Test
    void oneRequestInFlightOfEachInstanceIsAllowedWithinTheBudget() {
        ColdBudget budget = new ColdBudget(new ColdStart(0.31, 8_800_000, 3, 3_000_000));
        double calls = 3 * 0.31 * 3_000_000 / 110_000;
        assertThat(budget.bearsOneOfEach(budget.pauseUs(110_000, 0.66 * calls, 0.31))).isTrue();
        assertThat(budget.bearsOneOfEach(budget.pauseUs(110_000, 0.67 * calls, 0.31))).isFalse();
    }

    private static BalanceRig instanceWithOneColdHost(long seed) {
        BalanceRig rig = newInstance(seed);
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, rig.now)));
        return rig;
    }

    private static BalanceRig newInstance(long seed) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.position = (int) seed;
        setup.balancers = 30;
        return new BalanceRig(setup, seed);
    }

    /** Guards against instances that all send to the cold hosts of a zone at once when it answers again. */
    @Test
    void firstTurnsInAZoneThatIsBackAreSpread() {
        int instances = 100;
        int[] open = new int[20];      // turns in each 100 ms; a pause shrinks from 6.7 s to 4.3 s
        for (long seed = 1; seed <= instances; seed++) {
            BalanceRig rig = newInstance(seed).fleet(1, 2);
            for (int i = 0; i < 4; i++) {
                rig.module.set.zoneLoss.attemptEnded(1, true);
            }
            Action send = rig.request(BalanceRig.RETRYABLE);
            assertThat(send.host()).startsWith("b");
            rig.advance(10_000).outcome(send, Outcome.OK);
            assertThat(rig.module.set.zoneLoss.isLost(1)).isFalse();
            Server other = rig.module.set.servers.get(send.host().equals("b0") ? "b1" : "b0");
            rig.module.set.answerCount = 2;
            for (int i = 0; i < open.length; i++) {
                open[i] += other.hasColdTurn(rig.now + i * 100_000, false) ? 1 : 0;
            }
        }
        assertThat(Arrays.stream(open).max().orElseThrow()).isBetween(1, instances * 3 / 10);
    }

    /** Guards against a list with older start times that makes the hosts of a zone that is back count as warm. */
    @ParameterizedTest
    @EnumSource(value = ListKind.class, names = {"DELTA", "FULL"})
    void listWithOlderStartTimesMakesNoHostWarmer(ListKind kind) {
        BalanceRig rig = newInstance(1).fleet(1, 2);
        for (int i = 0; i < 4; i++) {
            rig.module.set.zoneLoss.attemptEnded(1, true);
        }
        rig.advance(10_000).outcome(rig.request(BalanceRig.RETRYABLE), Outcome.OK);
        Server host = rig.module.set.servers.get("b1");
        long back = rig.now;
        assertThat(host.warmth(rig.advance(2_000_000).now)).isLessThan(1);
        long turnsFrom = host.coldTurnsFrom;
        for (long told : new long[] {0, 1, back - 500_000, back}) {
            rig.module.fleet(rig.now, kind,
                    List.of(BalanceRig.host("a0", 0), BalanceRig.host("b1", 1, HostState.READY, told)));
            assertThat(host.startedUs).isEqualTo(back);
            assertThat(host.coldTurnsFrom).as("turns are not restarted").isEqualTo(turnsFrom);
        }
        rig.module.fleet(rig.now, kind,
                List.of(BalanceRig.host("a0", 0), BalanceRig.host("b1", 1, HostState.READY, rig.now)));
        assertThat(host.startedUs).as("a later start counts").isEqualTo(rig.now);
    }

    /** While the pace is a guess, pauses are longer by half. */
    @ParameterizedTest
    @CsvSource({"1, 1.5", "2, 1"})
    void coldHostThatDidNotServeMissesATurn(int answers, double wary) {
        BalanceRig rig = instanceWithOneColdHost(1);
        rig.module.set.answerCount = answers;
        Action send = rig.request(BalanceRig.RETRYABLE);
        while (send.host() == null) {
            send = rig.advance(10_000).request(BalanceRig.RETRYABLE);
        }
        long sentAt = rig.now;
        rig.advance(10_000).outcome(send, Outcome.TIMEOUT);
        Server host = rig.module.set.servers.get("a0");
        while (!host.hasColdTurn(rig.now, true)) {
            rig.advance(10_000);
        }
        ColdBudget budget = rig.module.set.coldBudget;
        long pause = budget.pauseUs(wary * rig.module.set.paceUs(), 30, host.warmth(rig.now));
        assertThat(rig.now - sentAt).isBetween(2 * pause - 10_000, 2 * pause + 20_000);
    }

    /** Guards against taking an answer from before the host's start for proof of what it can serve now. */
    @Test
    void answerFromBeforeTheStartGivesNoTurn() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.balancers = 2;
        BalanceRig rig = new BalanceRig(setup, 1);
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, rig.now)));
        Server host = rig.module.set.servers.get("a0");
        host.coldTurnPhase = 0.1;
        host.lastAnswerAt = rig.advance(1_000).now;
        assertThat(host.hasColdTurn(rig.now, true)).isFalse();
        host.coldTurnPhase = 0;
        assertThat(host.hasColdTurn(rig.now, true)).as("an answer to a send since the start gives a turn").isTrue();
    }

    /** Guards against cold hosts that get nothing where reports tell no load, as the pace stays a guess. */
    @Test
    void coldHostsHaveTurnsWithoutReportedLoad() {
        BalanceRig rig = newInstance(1);
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, 0),
                BalanceRig.host("a1", 0, HostState.READY, rig.now)));
        rig.advance(10_000).outcome(rig.request(BalanceRig.RETRYABLE), 0, Outcome.OK,
                new LoadReport(Double.NaN, Double.NaN));
        int turns = 0;
        for (int i = 0; i < 100; i++) {
            turns += rig.module.set.servers.get("a1").hasColdTurn(rig.advance(100_000).now, false) ? 1 : 0;
        }
        assertThat(turns).isPositive();
    }

    /** Before the first answer the pace is a guess, which may be far off: a cold host gets nothing on it. */
    @Test
    void coldHostGetsNothingBeforeTheFirstAnswer() {
        BalanceRig rig = newInstance(1);
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(BalanceRig.host("a0", 0, HostState.READY, 0),
                BalanceRig.host("a1", 0, HostState.READY, rig.now)));
        Server cold = rig.module.set.servers.get("a1");
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

    /** New instances have their first turns at different times, even if their first list names the start. */
    @Test
    void firstTurnsAfterARestartOfAllInstancesAreSpread() {
        int seeds = 100;
        int sent = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            BalanceRig rig = instanceWithOneColdHost(seed);
            for (int i = 0; i < 30; i++) {
                sent += rig.advance(10_000).request(BalanceRig.RETRYABLE).host() == null ? 0 : 1;
            }
        }
        // The pause is 1.5 x 1.5 x 40 ms x 30 / (0.4 x 3 x 0.15) = 15 s, a turn lasts an eighth of it, and 0.3 s go by.
        assertThat(sent).isBetween(5, 30);
    }
}
