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

/** The mechanism, and the failures that its extensions answer. */
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
            loadHead(rig, head, 100);
            Action send = rig.request(BalanceRig.RETRYABLE);
            assertNotEquals(head, send.host());
            targets.add(send.host());
            rig.outcome(send, 0, Outcome.OK, new LoadReport(1, 1));
        }
        assertEquals(1, targets.size(), "the first flagged one in a fixed order: " + targets);
        assertTrue(targets.iterator().next().startsWith("a"));
    }

    /** Reports over such a time that the running mean of what the head holds has come up to them. */
    private static void loadHead(BalanceRig rig, String head, double held) {
        for (int i = 0; i < 6; i++) {
            rig.advance(333_000).balance.probeCompleted(rig.now, head, Outcome.OK, 1_000, new LoadReport(held, held));
        }
    }

    @Test
    void diversionSkipsABuddyWhoseReportClearedItsFlag() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        rig.advance(1_000_000);
        for (int i = 0; i < 8; i++) {
            loadHead(rig, "a" + i, 1);
        }
        loadHead(rig, head, 100);
        Action first = rig.request(BalanceRig.RETRYABLE);
        loadHead(rig, first.host(), 90);
        Action second = rig.request(BalanceRig.RETRYABLE);
        assertNotEquals(first.host(), second.host());
        assertNotEquals(head, second.host());
    }

    @Test
    void ownSendsSinceTheReportCount() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        rig.advance(1_000_000);
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 400; i++) {
            used.add(String.valueOf(rig.request(BalanceRig.RETRYABLE).host()));
        }
        assertTrue(used.size() > 3, "a burst of one balancer overflows before reports say so: " + used);
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

    /** A busy balancer refused what the fleet had room for: its twelve were full of its own requests. */
    @Test
    void setPastItsThresholdByItsOwnSendsTakesInTheNextAndGivesThemUpAgain() {
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
                rig.balance.outcome(rig.now, first.id(), 0, first.host(), Outcome.OK, 120_000, true,
                        new LoadReport(held, held));
            }
        }
        assertTrue(met.size() > 12, "more than twelve share what is too much for twelve: " + met);
        assertTrue(rig.count("refuse") < 20, "of 2000 refused: " + rig.count("refuse"));
        out.forEach(send -> rig.outcome(send, 0, Outcome.OK, new LoadReport(0, 0)));
        for (int i = 0; i < 40; i++) {
            Action held = rig.advance(3_000_000).request(BalanceRig.RETRYABLE);
            rig.balance.timerFired(rig.now, 1);
            rig.outcome(held, 0, Outcome.OK, new LoadReport(0, 0));
        }
        for (int i = 0; i < 40; i++) {
            loadHead(rig, "a" + i, 1_000);
        }
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 60; i++) {
            Action send = rig.advance(1_000).request(BalanceRig.RETRYABLE);
            used.add(String.valueOf(send.host()));
            if (send.host() != null) {
                rig.outcome(send, 0, Outcome.REFUSED, new LoadReport(1_000, 1_000));
            }
        }
        assertTrue(used.size() <= 15, "where others load the fleet, the set stays small: " + used);
    }

    /** Each request met three refused connects, one after the other, in the zone that was lost. */
    @Test
    void aZoneWhereNobodyIsMetIsLeftAsAWholeAndTriedNowAndThen() {
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
        assertTrue(lost > 0 && lost <= 4, "one try each 667 ms at most: " + lost);
        rig.delta(BalanceRig.host("a7", 0, HostState.READY, rig.now));
        int back = 0;
        for (int i = 0; i < 200; i++) {
            Action send = rig.advance(50_000).requestAndAnswer(BalanceRig.RETRYABLE, 0);
            back += send.host().startsWith("a") ? 1 : 0;
        }
        assertTrue(back > 150, "home again once it answers: " + back);
    }

    /** One failure of many answers was taken for a failing server, and left out a tenth of the fleet. */
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
    void failingHeadIsPassedOverAndTriedAgainByRepeatableWorkFirst() {
        BalanceRig rig = new BalanceRig().fleet(6, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        String head = send.host();
        rig.advance(1_000);
        rig.outcome(send, Outcome.ERROR);
        rig.outcome(rig.request(BalanceRig.RETRYABLE), Outcome.ERROR);
        assertNotEquals(head, rig.request(BalanceRig.FRAGILE).host());
        rig.advance(2_500_000);
        assertNotEquals(head, rig.request(BalanceRig.FRAGILE).host(), "unsafe work does not try a suspect");
        assertEquals(head, rig.request(BalanceRig.RETRYABLE).host(), "repeatable work does");
        assertNotEquals(head, rig.request(BalanceRig.RETRYABLE).host(), "one at a time");
    }

    @Test
    void fastFailureWithAnEmptyQueueDrawsNoLoad() {
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
        assertTrue(toHead <= 3, "sends to a server that fails all: " + toHead);
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

    /** Where everything fails now and then, suspects were made of all servers, and all stood idle. */
    @Test
    void noMoreThanHalfOfTheServersArePassedOver() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        for (int i = 0; i < 8; i++) {
            for (int failures = 0; failures < 4; failures++) {
                rig.balance.outcome(rig.now, 0, 0, "a" + i, Outcome.ERROR, 1_000, true, null);
            }
        }
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 20; i++) {
            used.add(rig.advance(500).request(BalanceRig.RETRYABLE).host());
        }
        assertEquals(4, used.size(), "in use: " + used);
    }

    @Test
    void oneLoadedHeadDoesNotCondemnItsZone() {
        BalanceRig rig = new BalanceRig().fleet(6, 6);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        rig.advance(1_000_000);
        for (int i = 0; i < 20; i++) {
            loadHead(rig, head, 200);
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
        loadHead(rig, "a0", 200);
        loadHead(rig, "a1", 200);
        Action send = rig.request(BalanceRig.RETRYABLE);
        assertTrue(String.valueOf(send.host()).startsWith("b"), "sent to " + send.host());
    }

    @Test
    void zoneCrossingThatCostsMoreThanARequestIsRefusedInstead() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.crossPrice = 2;
        BalanceRig rig = new BalanceRig(setup).fleet(2, 6);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        for (int i = 0; i < 200; i++) {
            loadHead(rig, "a0", 200);
            loadHead(rig, "a1", 200);
            Action send = rig.advance(100_000).request(BalanceRig.RETRYABLE);
            assertTrue(send.host() == null || send.host().startsWith("a"));
            if (send.host() != null) {
                rig.balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.TIMEOUT, BalanceRig.AIM_US, false,
                        null);
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
            loadHead(rig, "a0", 50);
            loadHead(rig, "a1", 50);
            int tenant = i % 10 == 0 ? 1 : 0;
            Action done = rig.advance(20_000).request(BalanceRig.RETRYABLE, BalanceRig.LEFT_US, tenant);
            if (done.host() == null) {
                refused[tenant]++;
            } else {
                rig.balance.outcome(rig.now, done.id(), 0, done.host(), Outcome.CANCELLED, 0, true, null);
            }
        }
        assertTrue(refused[0] > 200, "the tenant far over its share: " + refused[0] + " of 270");
        assertTrue(refused[1] < 5, "the tenant within its share: " + refused[1] + " of 30");
    }

    @Test
    void zoneThatTurnsMostAttemptsAwayIsNotCrossedInto() {
        BalanceRig rig = new BalanceRig().fleet(2, 6);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        int crossed = 0;
        for (int i = 0; i < 200; i++) {
            if (i % 50 == 0) {
                loadHead(rig, "a0", 200);
                loadHead(rig, "a1", 200);
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

    /**
     * One class's aim was taken for all: a request of a class that takes long, on a sound host, was cut as if the host
     * had fallen silent, and the host passed over.
     */
    @Test
    void silenceIsMeasuredByWhatAClassUsuallyTakes() {
        for (int slow = 0; slow < 2; slow++) {
            BalanceRig rig = new BalanceRig().fleet(2, 0);
            for (int i = 0; i < 200; i++) {
                Action send = rig.request(BalanceRig.RETRYABLE);
                rig.advance(slow * 200_000 + 10_000).balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK,
                        slow * 200_000 + 10_000, true, new LoadReport(0, 0));
            }
            rig.request(BalanceRig.RETRYABLE);
            rig.advance(500_000).balance.timerFired(rig.now, 1);
            assertEquals(1 - slow, rig.count("cancel"), "usual time of " + slow);
        }
    }

    /** A few long answers among short ones are no sign that hosts are slow: idle ones were turned away from. */
    @Test
    void aFewLongAnswersDoNotCloseTheRoomAtIdleServers() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        for (int i = 0; i < 100; i++) {
            long took = i < 96 ? 40_000 : 400_000;
            Action send = rig.request(BalanceRig.RETRYABLE);
            rig.advance(took).balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, took, true,
                    new LoadReport(0, 0));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals("send", rig.advance(100).request(BalanceRig.RETRYABLE).kind(), "at once beside " + i);
        }
    }

    /** Reports that tell no count: each of many took a host for its own, and all together drowned it. */
    @Test
    void whereNoCountIsToldTheRoomIsSharedByAllSenders() {
        int[] taken = new int[2];
        for (int many = 0; many < 2; many++) {
            BalanceRig.Setup setup = new BalanceRig.Setup();
            setup.balancers = many == 0 ? 1 : 8;
            BalanceRig rig = new BalanceRig(setup).fleet(1, 0);
            Action first = rig.request(BalanceRig.RETRYABLE);
            rig.advance(40_000).balance.outcome(rig.now, first.id(), 0, first.host(), Outcome.OK, 40_000, true,
                    new LoadReport(Double.NaN, Double.NaN));
            while (rig.advance(100).request(BalanceRig.RETRYABLE).host() != null) {
                taken[many]++;
            }
        }
        assertTrue(taken[1] >= 1 && taken[0] >= 6 * taken[1], taken[0] + " alone, " + taken[1] + " of eight");
    }

    /** All classes wait in one queue: what a long aim would bear, the shortest would not, nor the server. */
    @Test
    void noServerIsGivenMoreThanTheShortestAimCanWaitFor() {
        BalanceRig rig = new BalanceRig();
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(sized("a0", 1), sized("a1", 3)));
        for (int i = 0; i < 200; i++) {
            Action send = rig.request(BalanceRig.RETRYABLE);
            rig.advance(40_000).balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, 40_000, true,
                    new LoadReport(0, 0));
        }
        Map<String, Integer> sent = new TreeMap<>();
        for (int i = 0; i < 100; i++) {
            Action send = rig.advance(100).request(BalanceRig.RETRYABLE);
            if (send.host() != null) {
                sent.merge(send.host(), 1, Integer::sum);
            }
        }
        assertEquals(Map.of("a0", 8, "a1", 24), sent, "0.8 of 400 ms at 40 ms each, on one core and on three");
    }

    /** Hosts that remember keys did all the work anew, as every balancer turned to a head of its own. */
    @Test
    void aRememberedKeyGoesToTheSameServerFromEveryBalancer() {
        Map<String, Integer> keysAt = new TreeMap<>();
        for (int key = 0; key < 60; key++) {
            Set<String> met = new TreeSet<>();
            for (int position = 0; position < 3; position++) {
                met.add(withKeys(position, 6, 0).request(BalanceRig.RETRYABLE, "key" + key).host());
            }
            assertEquals(1, met.size(), "key " + key + " at " + met);
            String left = withKeys(0, 5, 0).request(BalanceRig.RETRYABLE, "key" + key).host();
            assertTrue(met.contains("a5") || met.contains(left), "a server that goes moves its own keys alone");
            keysAt.merge(met.iterator().next(), 1, Integer::sum);
        }
        assertEquals(6, keysAt.size(), "all have their part: " + keysAt);
    }

    /** Half of the keys crossed zones at the dearest price there is, in a fleet that had nothing to do. */
    @Test
    void keysStayInTheOwnZoneWhileTheFleetIsIdle() {
        for (double held : new double[] {0, 1}) {
            BalanceRig rig = withKeys(0, 4, 4);
            int own = 0;
            for (int key = 0; key < 300; key++) {
                for (int i = 0; i < 8; i++) {
                    rig.balance.probeCompleted(rig.now, (i < 4 ? "a" : "b") + (i < 4 ? i : i - 4), Outcome.OK, 1_000,
                            new LoadReport(held + 1, held + 1));
                }
                Action send = rig.advance(100_000).request(BalanceRig.RETRYABLE, "key" + key);
                own += send.host().startsWith("a") ? 1 : 0;
                rig.outcome(send, 0, Outcome.OK, new LoadReport(held + 1, held + 1));
            }
            assertTrue(held == 0 ? own > 290 : own > 160 && own < 230, "held " + held + ", stay: " + own);
        }
    }

    private static BalanceRig withKeys(int position, int local, int foreign) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.warmKeys = true;
        setup.position = position;
        return new BalanceRig(setup).fleet(local, foreign);
    }

    @Test
    void aKeyWhoseServerIsFullGoesToTheNextInItsOrder() {
        BalanceRig rig = withKeys(0, 6, 0);
        String home = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        String first = rig.request(BalanceRig.RETRYABLE, "k").host();
        rig.advance(1_000_000);
        loadHead(rig, first, 3);
        String second = rig.request(BalanceRig.RETRYABLE, "k").host();
        assertNotEquals(first, second);
        for (int i = 0; i < 60; i++) {
            rig.balance.probeCompleted(rig.advance(50_000).now, "a" + i % 6, Outcome.OK, 1_000, new LoadReport(3, 3));
        }
        Set<String> used = new TreeSet<>();
        for (int key = 0; key < 30; key++) {
            Action send = rig.request(BalanceRig.RETRYABLE, "k" + key);
            used.add(send.host());
            rig.balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.CANCELLED, 0, true, null);
        }
        assertTrue(used.size() >= 4, "past TH_v everywhere, not all to one least figure: " + used + home);
    }

    /** What the reports of a host that refreshes them at once told was averaged over seconds. */
    @Test
    void freshReportsCountSoonerThanReportsThatStayTheSameForLong() {
        int[] until = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            BalanceRig rig = new BalanceRig().fleet(2, 0);
            for (int i = 0; i < 80; i++) {
                double held = 40 + i / (slow == 1 ? 40 : 2) % 2;
                rig.balance.probeCompleted(rig.advance(20_000).now, "a" + i % 2, Outcome.OK, 1_000,
                        new LoadReport(held, held));
            }
            while (rig.request(BalanceRig.RETRYABLE).host() == null) {
                rig.balance.probeCompleted(rig.advance(20_000).now, "a" + until[slow]++ % 2, Outcome.OK, 1_000,
                        new LoadReport(0, 0));
            }
        }
        assertTrue(until[1] > 3 * until[0], "reports until it is believed that they are idle: " + until[0] + " "
                + until[1]);
    }

    /** Attempts at a machine that vanished were waited for until their clients left; and it was left out for long. */
    @Test
    void attemptsAtASilentServerGoElsewhereAndOneAttemptTriesItAgain() {
        BalanceRig rig = new BalanceRig();
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(sized("a0", 4), sized("a1", 4), sized("a2", 4)));
        String gone = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        Action first = rig.request(BalanceRig.RETRYABLE);
        Action second = rig.request(BalanceRig.RETRYABLE);
        assertEquals(List.of(gone, gone), List.of(first.host(), second.host()));
        rig.advance(BalanceRig.AIM_US / 4).balance.timerFired(rig.now, 1);
        assertEquals(0, rig.count("cancel"), "not yet");
        rig.advance(BalanceRig.AIM_US / 2 + 20_000).balance.timerFired(rig.now, 1);
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

    /** With no pace known all figures were 0, and the head got the whole first burst. */
    @Test
    void firstBurstIsSpreadBeforeAnyAnswer() {
        BalanceRig rig = new BalanceRig().fleet(9, 0);
        Map<String, Integer> sent = new TreeMap<>();
        for (int i = 0; i < 45; i++) {
            sent.merge(rig.advance(100).request(BalanceRig.RETRYABLE).host(), 1, Integer::sum);
        }
        assertTrue(Collections.max(sent.values()) <= 10, "sends by server: " + sent);
    }

    /** Slow answers of the first second, with the process still cold, kept a deployment refusing for good. */
    @Test
    void refusalsEndByAskingAServerThatNothingIsHeardOf() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        for (int i = 0; i < 20; i++) {
            rig.balance.probeCompleted(rig.advance(100_000).now, "a" + i % 2, Outcome.OK, 1_000,
                    new LoadReport(50, 50));
        }
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind());
        assertEquals("send", rig.advance(1_400_000).request(BalanceRig.RETRYABLE).kind());
        assertEquals("send", rig.request(BalanceRig.RETRYABLE).kind(), "the other one");
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind(), "but each with one request alone");
    }

    /** A server whose one slow answer is long past was left out for good, as no new answer could mend it. */
    @Test
    void slowAnswerLongPastNoLongerKeepsSendsAway() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action slow = rig.request(BalanceRig.RETRYABLE);
        rig.balance.outcome(rig.now, slow.id(), 0, slow.host(), Outcome.OK, 4 * BalanceRig.AIM_US, true,
                new LoadReport(1, 1));
        boolean again = false;
        for (int i = 0; i < 300; i++) {
            Action send = rig.advance(100_000).request(BalanceRig.RETRYABLE);
            again |= slow.host().equals(send.host());
            if (send.host() != null) {
                rig.balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, 5_000, true, new LoadReport(1, 1));
            }
        }
        assertTrue(again);
    }

    /** Replaced servers come under new ids for good; what is kept of the gone ones fills the memory. */
    @Test
    void goneServersAreForgotten() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        for (int i = 0; i < 1_000; i++) {
            rig.delta(BalanceRig.host("new" + i, 0),
                    BalanceRig.host("new" + (i - 1), 0, BalancerApi.HostState.REMOVED, 0));
        }
        assertEquals(3, rig.balance.set.servers.size());
    }

    /** With a mean by count, a server that was sent little after a bad spell stayed refused for long. */
    @Test
    void fewReportsAfterABadSpellClearAServersName() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        loadHead(rig, "a0", 200);
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind());
        for (int i = 0; i < 12; i++) {
            rig.balance.probeCompleted(rig.advance(1_000_000).now, "a0", Outcome.OK, 1_000, new LoadReport(1, 1));
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
    void restartedHostIsJudgedAnew() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        rig.outcome(send, Outcome.ERROR);
        rig.delta(BalanceRig.host(send.host(), 0, HostState.READY, rig.now - 30_000_000));
        assertEquals(send.host(), rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void absurdReportsAndWeightsAreSurvived() {
        BalanceRig rig = new BalanceRig();
        rig.balance.fleet(rig.now, ListKind.RESTORED, List.of(new FleetEntry("x", 0, 0, HostState.READY, 0, 0),
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
