package dapplequay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import dapplequay.BalanceRig.Action;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import org.junit.jupiter.api.Test;

/** Buddy-set load sharing, and the failures that its extensions guard against. */
class LoadSharingTest {

    @Test
    void headKeepsItsTrafficWhileItsFigureIsLow() {
        BalanceRig rig = new BalanceRig().fleet(8, 4);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        for (int i = 0; i < 200; i++) {
            assertEquals(head, rig.advance(100_000).requestAndAnswer(BalanceRig.RETRYABLE, 1).host());
        }
    }

    @Test
    void loadedHeadDivertsToTheSameFirstFlaggedBuddyOfTheZone() {
        BalanceRig rig = new BalanceRig().fleet(8, 4);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        rig.advance(1_000_000);       // flags of new buddies are set by their timer
        Set<String> targets = new TreeSet<>();
        for (int i = 0; i < 10; i++) {
            reportLoad(rig, head, 100);
            Action send = rig.request(BalanceRig.RETRYABLE);
            assertNotEquals(head, send.host());
            targets.add(send.host());
            rig.outcome(send, 0, Outcome.OK, new LoadReport(1, 1));
        }
        assertEquals(1, targets.size(), "all diverted to the first flagged buddy in order: " + targets);
        assertTrue(targets.iterator().next().startsWith("a"));
    }

    /** Reports a load for as long as the running mean of the host's load needs to reach it. */
    private static void reportLoad(BalanceRig rig, String head, double held) {
        for (int i = 0; i < 6; i++) {
            rig.advance(333_000).module.probeCompleted(rig.now, head, Outcome.OK, 1_000, new LoadReport(held, held));
        }
    }

    @Test
    void diversionSkipsABuddyWhoseReportClearedItsFlag() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        rig.advance(1_000_000);
        for (int i = 0; i < 8; i++) {
            reportLoad(rig, "a" + i, 1);
        }
        reportLoad(rig, head, 100);
        Action first = rig.request(BalanceRig.RETRYABLE);
        reportLoad(rig, first.host(), 90);
        Action second = rig.request(BalanceRig.RETRYABLE);
        assertNotEquals(first.host(), second.host());
        assertNotEquals(head, second.host());
    }

    @Test
    void ownSendsSinceTheLastReportCountAsLoad() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        rig.advance(1_000_000);
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 400; i++) {
            used.add(String.valueOf(rig.request(BalanceRig.RETRYABLE).host()));
        }
        assertTrue(used.size() > 3, "a burst of one balancer diverts before any report: " + used);
    }

    @Test
    void buddySetIsSmallAndKeepsForeignBuddies() {
        BalanceRig rig = new BalanceRig().fleet(40, 40);
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 5_000; i++) {
            used.add(rig.requestAndAnswer(BalanceRig.RETRYABLE, i % 20).host());
        }
        assertTrue(used.size() <= 15, "at most 15 servers met: " + used);
    }

    /** Guards against refusals at a busy balancer whose twelve buddies are full of its own requests. */
    @Test
    void setGrowsUnderItsOwnLoadAndShrinksAgain() {
        BalanceRig rig = new BalanceRig().fleet(40, 0);
        rig.advance(1_000_000);
        List<Action> out = new ArrayList<>();
        Set<String> met = new TreeSet<>();
        for (int i = 0; i < 2_000; i++) {
            Action send = rig.advance(3_000).request(BalanceRig.RETRYABLE);
            if (send.host() == null) {
                continue;
            }
            met.add(send.host());
            out.add(send);
            if (out.size() > 40) {
                Action first = out.remove(0);
                long held = 1 + out.stream().filter(o -> o.host().equals(first.host())).count();
                rig.module.outcome(rig.now, first.id(), 0, first.host(), Outcome.OK, 120_000, true,
                        new LoadReport(held, held));
            }
        }
        assertTrue(met.size() > 12, "the set grew beyond twelve: " + met);
        assertTrue(rig.count("refuse") < 20, "refused of 2000: " + rig.count("refuse"));
        out.forEach(send -> rig.outcome(send, 0, Outcome.OK, new LoadReport(0, 0)));
        for (int i = 0; i < 40; i++) {
            Action held = rig.advance(3_000_000).request(BalanceRig.RETRYABLE);
            rig.module.timerFired(rig.now, 1);
            rig.outcome(held, 0, Outcome.OK, new LoadReport(0, 0));
        }
        for (int i = 0; i < 40; i++) {
            reportLoad(rig, "a" + i, 1_000);
        }
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 60; i++) {
            Action send = rig.advance(1_000).request(BalanceRig.RETRYABLE);
            used.add(String.valueOf(send.host()));
            if (send.host() != null) {
                rig.outcome(send, 0, Outcome.REFUSED, new LoadReport(1_000, 1_000));
            }
        }
        assertTrue(used.size() <= 15, "the set stays small while others load the fleet: " + used);
    }

    /** Guards against a request that tries one server after the other in a zone that is lost. */
    @Test
    void unreachableZoneIsAvoidedAsAWholeAndTriedOccasionally() {
        BalanceRig rig = new BalanceRig().fleet(20, 20);
        rig.advance(1_000_000);
        for (int i = 0; i < 6; i++) {
            Action send = rig.advance(10_000).request(BalanceRig.RETRYABLE);
            rig.outcome(send, 0, send.host().startsWith("a") ? Outcome.CONNECT_FAILED : Outcome.OK, null);
        }
        int lost = 0;
        for (int i = 0; i < 200; i++) {
            Action send = rig.advance(10_000).request(BalanceRig.RETRYABLE);
            boolean gone = send.host().startsWith("a");
            lost += gone ? 1 : 0;
            Action next = rig.outcome(send, 0, gone ? Outcome.CONNECT_FAILED : Outcome.OK, null);
            assertTrue(!gone || next.host().startsWith("b"), "the second attempt leaves the zone");
        }
        assertTrue(lost > 0 && lost <= 4, "attempts in the lost zone, at most one each 667 ms: " + lost);
        rig.delta(BalanceRig.host("a7", 0, HostState.READY, rig.now));
        int back = 0;
        for (int i = 0; i < 200; i++) {
            Action send = rig.advance(50_000).requestAndAnswer(BalanceRig.RETRYABLE, 0);
            back += send.host().startsWith("a") ? 1 : 0;
        }
        assertTrue(back > 150, "requests in the own zone once it answers: " + back);
    }

    /** Guards against avoiding a server for a single failure, which took a tenth of the fleet out of use. */
    @Test
    void oneFailureLeavesAServerInUse() {
        for (Outcome failure : List.of(Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)) {
            BalanceRig rig = new BalanceRig().fleet(6, 0);
            Action send = rig.request(BalanceRig.RETRYABLE);
            rig.outcome(send, failure);
            assertEquals(send.host(), rig.advance(1_000).request(BalanceRig.RETRYABLE).host(), failure.name());
        }
    }

    @Test
    void failingHeadIsAvoidedAndTriedAgainWithRetryableRequestsFirst() {
        BalanceRig rig = new BalanceRig().fleet(6, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        String head = send.host();
        rig.advance(1_000);
        rig.outcome(send, Outcome.ERROR);
        rig.outcome(rig.request(BalanceRig.RETRYABLE), Outcome.ERROR);
        assertNotEquals(head, rig.request(BalanceRig.FRAGILE).host());
        rig.advance(2_500_000);
        assertNotEquals(head, rig.request(BalanceRig.FRAGILE).host(), "fragile requests try no suspected server");
        assertEquals(head, rig.request(BalanceRig.RETRYABLE).host(), "a retryable request tries it");
        assertNotEquals(head, rig.request(BalanceRig.RETRYABLE).host(), "one at a time");
    }

    @Test
    void serverThatFailsFastWithAnEmptyQueueAttractsNoLoad() {
        BalanceRig rig = new BalanceRig().fleet(6, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        int toHead = 0;
        for (int i = 0; i < 100; i++) {
            Action send = rig.advance(20_000).request(BalanceRig.RETRYABLE);
            if (send.host().equals(head)) {
                toHead++;
                rig.outcome(send, 0, Outcome.ERROR, new LoadReport(0, 0));
            } else {
                rig.outcome(send, 0, Outcome.OK, new LoadReport(2, 2));
            }
        }
        assertTrue(toHead <= 3, "sends to a server that fails each: " + toHead);
    }

    @Test
    void allBuddiesFailingStillServesTheFirstInOrder() {
        BalanceRig rig = new BalanceRig().fleet(3, 0);
        for (int i = 0; i < 3; i++) {
            Action send = rig.request(BalanceRig.FRAGILE);
            rig.advance(1_000);
            rig.outcome(send, Outcome.ERROR);
        }
        assertEquals("send", rig.request(BalanceRig.FRAGILE).kind());
    }

    /** Guards against avoiding all servers where each fails at times. */
    @Test
    void atMostHalfOfTheServersAreAvoided() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        for (int i = 0; i < 8; i++) {
            for (int failures = 0; failures < 4; failures++) {
                rig.module.outcome(rig.now, 0, 0, "a" + i, Outcome.ERROR, 1_000, true, null);
            }
        }
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 20; i++) {
            used.add(rig.advance(500).request(BalanceRig.RETRYABLE).host());
        }
        assertEquals(4, used.size(), "in use: " + used);
    }

    @Test
    void oneLoadedHeadDoesNotDivertOutOfItsZone() {
        BalanceRig rig = new BalanceRig().fleet(6, 6);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        rig.advance(1_000_000);
        for (int i = 0; i < 20; i++) {
            reportLoad(rig, head, 200);
            Action send = rig.advance(50_000).request(BalanceRig.RETRYABLE);
            assertTrue(send.host().startsWith("a"), "crossed to " + send.host());
            rig.outcome(send, 0, Outcome.OK, new LoadReport(1, 1));
        }
    }

    @Test
    void overloadedZoneSpillsOnceThatSavesMoreThanItCosts() {
        BalanceRig rig = new BalanceRig().fleet(2, 6);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        rig.advance(1_000_000);
        reportLoad(rig, "a0", 200);
        reportLoad(rig, "a1", 200);
        Action send = rig.request(BalanceRig.RETRYABLE);
        assertTrue(String.valueOf(send.host()).startsWith("b"), "sent to " + send.host());
    }

    @Test
    void requestIsRefusedWhereCrossingZonesCostsMoreThanItIsWorth() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.crossZonePrice = 2;
        BalanceRig rig = new BalanceRig(setup).fleet(2, 6);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        for (int i = 0; i < 200; i++) {
            reportLoad(rig, "a0", 200);
            reportLoad(rig, "a1", 200);
            Action send = rig.advance(100_000).request(BalanceRig.RETRYABLE);
            assertTrue(send.host() == null || send.host().startsWith("a"));
            if (send.host() != null) {
                rig.module.outcome(rig.now, send.id(), 0, send.host(), Outcome.TIMEOUT, BalanceRig.AIM_US, false, null);
            }
        }
        assertTrue(rig.count("refuse") > 50, "refused " + rig.count("refuse"));
    }

    @Test
    void burstOfOneTenantIsRefusedBeforeTheOthersInOverload() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.tenants = List.of(new BalancerApi.Tenant("t0", 0.5, 50), new BalancerApi.Tenant("t1", 0.5, 50));
        BalanceRig rig = new BalanceRig(setup).fleet(2, 0);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        int[] refused = new int[2];
        for (int i = 0; i < 300; i++) {
            reportLoad(rig, "a0", 50);
            reportLoad(rig, "a1", 50);
            int tenant = i % 10 == 0 ? 1 : 0;
            Action done = rig.advance(20_000).request(BalanceRig.RETRYABLE, BalanceRig.LEFT_US, tenant);
            if (done.host() == null) {
                refused[tenant]++;
            } else {
                rig.module.outcome(rig.now, done.id(), 0, done.host(), Outcome.CANCELLED, 0, true, null);
            }
        }
        assertTrue(refused[0] > 200, "the tenant far over its share: " + refused[0] + " of 270");
        assertTrue(refused[1] < 5, "the tenant within its share: " + refused[1] + " of 30");
    }

    @Test
    void zoneThatRefusesAttemptsIsNotCrossedIntoAgainAndAgain() {
        BalanceRig rig = new BalanceRig().fleet(2, 6);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        int crossed = 0;
        for (int i = 0; i < 200; i++) {
            if (i % 50 == 0) {
                reportLoad(rig, "a0", 200);
                reportLoad(rig, "a1", 200);
            }
            Action done = rig.advance(50_000).request(BalanceRig.FRAGILE);
            for (int attempt = 0; done != null && done.host() != null; attempt++) {
                crossed += done.host().startsWith("b") ? 1 : 0;
                done = rig.outcome(done, attempt, Outcome.REFUSED, null);
            }
        }
        assertTrue(crossed < 200, "attempts that crossed for 200 requests: " + crossed);
    }

    private static FleetEntry sized(String name, double weight) {
        return new FleetEntry(name, 0, 0, HostState.READY, weight, 0);
    }

    /** Guards against judging silence by one class's aim: slow requests were cancelled and sound hosts avoided. */
    @Test
    void silenceIsMeasuredByWhatAClassUsuallyTakes() {
        for (int slow = 0; slow < 2; slow++) {
            BalanceRig rig = new BalanceRig().fleet(2, 0);
            for (int i = 0; i < 200; i++) {
                Action send = rig.request(BalanceRig.RETRYABLE);
                rig.advance(slow * 200_000 + 10_000).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK,
                        slow * 200_000 + 10_000, true, new LoadReport(0, 0));
            }
            rig.request(BalanceRig.RETRYABLE);
            rig.advance(500_000).module.timerFired(rig.now, 1);
            assertEquals(1 - slow, rig.count("cancel"), "slow class: " + slow);
        }
    }

    /** Guards against refusals at idle hosts after a few long answers among short ones. */
    @Test
    void fewLongAnswersDoNotMakeAnIdleServerLookFull() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        for (int i = 0; i < 100; i++) {
            long took = i < 96 ? 40_000 : 400_000;
            Action send = rig.request(BalanceRig.RETRYABLE);
            rig.advance(took).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, took, true,
                    new LoadReport(0, 0));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals("send", rig.advance(100).request(BalanceRig.RETRYABLE).kind(), "with in flight: " + i);
        }
    }

    /** Guards against many balancers that overload a host together, each as if alone, as reports tell no load. */
    @Test
    void withoutReportedLoadRoomIsDividedAmongTheBalancers() {
        int[] taken = new int[2];
        for (int many = 0; many < 2; many++) {
            BalanceRig.Setup setup = new BalanceRig.Setup();
            setup.balancers = many == 0 ? 1 : 8;
            BalanceRig rig = new BalanceRig(setup).fleet(1, 0);
            Action first = rig.request(BalanceRig.RETRYABLE);
            rig.advance(40_000).module.outcome(rig.now, first.id(), 0, first.host(), Outcome.OK, 40_000, true,
                    new LoadReport(Double.NaN, Double.NaN));
            while (rig.advance(100).request(BalanceRig.RETRYABLE).host() != null) {
                taken[many]++;
            }
        }
        assertTrue(taken[1] >= 1 && taken[0] >= 6 * taken[1], taken[0] + " alone, " + taken[1] + " as one of eight");
    }

    /** All classes wait in one queue, so that the shortest aim limits it for all. */
    @Test
    void noServerGetsMoreThanItServesWithinTheShortestAim() {
        BalanceRig rig = new BalanceRig();
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(sized("a0", 1), sized("a1", 3)));
        for (int i = 0; i < 200; i++) {
            Action send = rig.request(BalanceRig.RETRYABLE);
            rig.advance(40_000).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, 40_000, true,
                    new LoadReport(0, 0));
        }
        Map<String, Integer> sent = new TreeMap<>();
        for (int i = 0; i < 100; i++) {
            Action send = rig.advance(100).request(BalanceRig.RETRYABLE);
            if (send.host() != null) {
                sent.merge(send.host(), 1, Integer::sum);
            }
        }
        assertEquals(Map.of("a0", 8, "a1", 24), sent, "0.8 x 400 ms / 40 ms, at weights 1 and 3");
    }

    /** Guards against lost warm state: each balancer sent a key to a head of its own. */
    @Test
    void keyGoesToTheSameServerFromEveryBalancer() {
        Map<String, Integer> keysAt = new TreeMap<>();
        for (int key = 0; key < 60; key++) {
            Set<String> met = new TreeSet<>();
            for (int position = 0; position < 3; position++) {
                met.add(withKeys(position, 6, 0).request(BalanceRig.RETRYABLE, "key" + key).host());
            }
            assertEquals(1, met.size(), "key " + key + " at " + met);
            String left = withKeys(0, 5, 0).request(BalanceRig.RETRYABLE, "key" + key).host();
            assertTrue(met.contains("a5") || met.contains(left), "a server that is removed moves only its own keys");
            keysAt.merge(met.iterator().next(), 1, Integer::sum);
        }
        assertEquals(6, keysAt.size(), "each server has some keys: " + keysAt);
    }

    /** Guards against keys that cross zones, at the highest price, in an idle fleet. */
    @Test
    void keysStayInTheOwnZoneWhileTheFleetIsIdle() {
        for (double held : new double[] {0, 1}) {
            BalanceRig rig = withKeys(0, 4, 4);
            int own = 0;
            for (int key = 0; key < 300; key++) {
                for (int i = 0; i < 8; i++) {
                    rig.module.probeCompleted(rig.now, (i < 4 ? "a" : "b") + (i < 4 ? i : i - 4), Outcome.OK, 1_000,
                            new LoadReport(held + 1, held + 1));
                }
                Action send = rig.advance(100_000).request(BalanceRig.RETRYABLE, "key" + key);
                own += send.host().startsWith("a") ? 1 : 0;
                rig.outcome(send, 0, Outcome.OK, new LoadReport(held + 1, held + 1));
            }
            assertTrue(held == 0 ? own > 290 : own > 160 && own < 230, "in flight " + held + ", own zone " + own);
        }
    }

    private static BalanceRig withKeys(int position, int local, int foreign) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.warmKeys = true;
        setup.position = position;
        return new BalanceRig(setup).fleet(local, foreign);
    }

    @Test
    void keyWhoseServerIsFullGoesToTheNextInItsOrder() {
        BalanceRig rig = withKeys(0, 6, 0);
        String home = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        String first = rig.request(BalanceRig.RETRYABLE, "k").host();
        rig.advance(1_000_000);
        reportLoad(rig, first, 3);
        String second = rig.request(BalanceRig.RETRYABLE, "k").host();
        assertNotEquals(first, second);
        for (int i = 0; i < 60; i++) {
            rig.module.probeCompleted(rig.advance(50_000).now, "a" + i % 6, Outcome.OK, 1_000, new LoadReport(3, 3));
        }
        Set<String> used = new TreeSet<>();
        for (int key = 0; key < 30; key++) {
            Action send = rig.request(BalanceRig.RETRYABLE, "k" + key);
            used.add(send.host());
            rig.module.outcome(rig.now, send.id(), 0, send.host(), Outcome.CANCELLED, 0, true, null);
        }
        assertTrue(used.size() >= 4, "past TH_v everywhere, keys are spread over servers: " + used + home);
    }

    /** Guards against averaging over seconds the reports of a host that refreshes them at once. */
    @Test
    void reportsThatChangeOftenTakeEffectSoonerThanReportsThatChangeRarely() {
        int[] reports = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            BalanceRig rig = new BalanceRig().fleet(2, 0);
            for (int i = 0; i < 80; i++) {
                double held = 40 + i / (slow == 1 ? 40 : 2) % 2;
                rig.module.probeCompleted(rig.advance(20_000).now, "a" + i % 2, Outcome.OK, 1_000,
                        new LoadReport(held, held));
            }
            while (rig.request(BalanceRig.RETRYABLE).host() == null) {
                rig.module.probeCompleted(rig.advance(20_000).now, "a" + reports[slow]++ % 2, Outcome.OK,
                        1_000, new LoadReport(0, 0));
            }
        }
        assertTrue(reports[1] > 3 * reports[0], "reports until idle: " + reports[0] + " " + reports[1]);
    }

    /** Guards against waiting until the clients leave for attempts at a machine that is lost. */
    @Test
    void attemptsAtASilentServerAreMovedAndOneLaterAttemptTriesIt() {
        BalanceRig rig = new BalanceRig();
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(sized("a0", 4), sized("a1", 4), sized("a2", 4)));
        String gone = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        Action first = rig.request(BalanceRig.RETRYABLE);
        Action second = rig.request(BalanceRig.RETRYABLE);
        assertEquals(List.of(gone, gone), List.of(first.host(), second.host()));
        rig.advance(BalanceRig.AIM_US / 4).module.timerFired(rig.now, 1);
        assertEquals(0, rig.count("cancel"), "too early to count as silent");
        rig.advance(BalanceRig.AIM_US / 2 + 20_000).module.timerFired(rig.now, 1);
        assertEquals(2, rig.count("cancel"));
        Action again = rig.outcome(first, Outcome.CANCELLED);
        assertNotEquals(gone, again.host());
        assertEquals("send", rig.outcome(second, Outcome.CANCELLED).kind());
        assertNotEquals(gone, rig.request(BalanceRig.RETRYABLE).host());
        Action trial = rig.advance(300_000).request(BalanceRig.RETRYABLE);
        assertEquals(gone, trial.host());
        assertNotEquals(gone, rig.request(BalanceRig.RETRYABLE).host(), "one at a time");
        rig.outcome(trial, 0, Outcome.OK, new LoadReport(0, 0));
        assertEquals(gone, rig.request(BalanceRig.RETRYABLE).host(), "in use again at once");
    }

    /** Guards against load figures of 0 while no pace is known: the head got the whole first burst. */
    @Test
    void firstBurstIsSpreadBeforeAnyAnswer() {
        BalanceRig rig = new BalanceRig().fleet(9, 0);
        Map<String, Integer> sent = new TreeMap<>();
        for (int i = 0; i < 45; i++) {
            sent.merge(rig.advance(100).request(BalanceRig.RETRYABLE).host(), 1, Integer::sum);
        }
        assertTrue(Collections.max(sent.values()) <= 10, "sends by server: " + sent);
    }

    /** Guards against refusing for good after slow answers in the first second of a deployment. */
    @Test
    void refusalsEndWithARequestToAServerLongUnheardOf() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        for (int i = 0; i < 20; i++) {
            rig.module.probeCompleted(rig.advance(100_000).now, "a" + i % 2, Outcome.OK, 1_000, new LoadReport(50, 50));
        }
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind());
        assertEquals("send", rig.advance(1_400_000).request(BalanceRig.RETRYABLE).kind());
        assertEquals("send", rig.request(BalanceRig.RETRYABLE).kind(), "to the other server");
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind(), "each gets one request only");
    }

    /** Guards against avoiding a server for good after one slow answer, as no new answer can correct it. */
    @Test
    void oldSlowAnswerDoesNotKeepRequestsAway() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action slow = rig.request(BalanceRig.RETRYABLE);
        rig.module.outcome(rig.now, slow.id(), 0, slow.host(), Outcome.OK, 4 * BalanceRig.AIM_US, true,
                new LoadReport(1, 1));
        boolean again = false;
        for (int i = 0; i < 300; i++) {
            Action send = rig.advance(100_000).request(BalanceRig.RETRYABLE);
            again |= slow.host().equals(send.host());
            if (send.host() != null) {
                rig.module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, 5_000, true, new LoadReport(1, 1));
            }
        }
        assertTrue(again);
    }

    /** Guards against a memory leak: replaced servers come back under new ids. */
    @Test
    void removedServersAreForgotten() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        for (int i = 0; i < 1_000; i++) {
            rig.delta(BalanceRig.host("new" + i, 0),
                    BalanceRig.host("new" + (i - 1), 0, BalancerApi.HostState.REMOVED, 0));
        }
        assertEquals(3, rig.module.set.servers.size());
    }

    /** Guards against a mean by number of reports: a server with few of them stayed full for long after an overload. */
    @Test
    void fewReportsAfterAnOverloadReopenAServer() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        reportLoad(rig, "a0", 200);
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind());
        for (int i = 0; i < 12; i++) {
            rig.module.probeCompleted(rig.advance(1_000_000).now, "a0", Outcome.OK, 1_000, new LoadReport(1, 1));
        }
        assertEquals("send", rig.request(BalanceRig.RETRYABLE).kind());
    }

    @Test
    void silentHeadLosesItsTrafficBeforeTheFirstTimeOut() {
        BalanceRig rig = new BalanceRig().fleet(4, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        rig.advance(1_000_000);
        assertEquals(head, rig.request(BalanceRig.RETRYABLE).host());
        rig.advance(350_000);
        assertNotEquals(head, rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void emptyZoneUsesTheOthers() {
        BalanceRig rig = new BalanceRig().fleet(0, 3);
        assertTrue(rig.request(BalanceRig.RETRYABLE).host().startsWith("b"));
    }

    @Test
    void restartedHostHasNoFailureHistory() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        rig.outcome(send, Outcome.ERROR);
        rig.delta(BalanceRig.host(send.host(), 0, HostState.READY, rig.now - 30_000_000));
        assertEquals(send.host(), rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void absurdReportsAndWeightsDoNoLastingHarm() {
        BalanceRig rig = new BalanceRig();
        rig.module.fleet(rig.now, ListKind.RESTORED, List.of(new FleetEntry("x", 0, 0, HostState.READY, 0, 0),
                new FleetEntry("y", 0, 0, HostState.READY, 0, 0)));
        double[] figures = {0, 1e18, Double.NaN, -5, Double.POSITIVE_INFINITY};
        for (double figure : figures) {
            for (int i = 0; i < 20; i++) {
                rig.advance(500_000).requestAndAnswer(BalanceRig.RETRYABLE, figure);
            }
        }
        rig.advance(60_000_000);
        assertEquals("send", rig.request(BalanceRig.RETRYABLE).kind());
    }

    @Test
    void sameEventsGiveTheSameActions() {
        assertEquals(script(), script());
    }

    private static List<Action> script() {
        BalanceRig rig = new BalanceRig().fleet(9, 5);
        for (int i = 0; i < 500; i++) {
            Action send = rig.advance(7_000).request(i % 5);
            if (send.host() != null) {
                Outcome outcome = Outcome.values()[i % 11 == 0 ? 1 + i % 7 : 0];
                rig.advance(3_000).outcome(send, 0, outcome, new LoadReport(i % 13, i % 17));
            }
        }
        return rig.actions;
    }

    @Test
    void illegalSettingsAreNamed() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.sendCap = 0;
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> new BalanceRig(setup));
        assertTrue(e.getMessage().contains("sendCap"));
        BalanceRig.Setup noBalancers = new BalanceRig.Setup();
        noBalancers.balancers = 0;
        e = assertThrows(IllegalArgumentException.class, () -> new BalanceRig(noBalancers));
        assertTrue(e.getMessage().contains("balancers"));
    }
}
