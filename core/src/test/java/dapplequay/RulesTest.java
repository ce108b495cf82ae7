package dapplequay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dapplequay.Bench.Done;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.membership.ListSubscription;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The four rules, one by one. */
class RulesTest {

    // ---- rule 1: one final answer ----

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void everyOutcomeLeadsToAnAnswerInTheEnd(Outcome outcome) {
        for (int type = Bench.SAFE; type <= Bench.KEYED_CELL; type++) {
            Bench b = new Bench().fleet(6, 0);
            Done send = b.request(type);
            int attempt = 0;
            Done next = send;
            while (next != null && next.what().equals("send")) {
                b.pass(1_000);
                next = b.outcome(next, attempt++, outcome, null);
            }
            long answers = b.count("refuse") + b.count("fail");
            assertEquals(outcome == Outcome.OK ? 0 : 1, answers, "class " + type);
            b.module.outcome(b.now, send.id(), 0, send.host(), outcome, 0, true, null);
            assertEquals(answers, b.count("refuse") + b.count("fail"), "a late outcome must not answer again");
        }
    }

    @Test
    void emptyFleetRefusesAtOnce() {
        Bench b = new Bench().fleet(0, 0);
        assertEquals("refuse", b.request(Bench.UNSAFE).what());
    }

    @Test
    void listThatEmptiesAndRefillsServesAgain() {
        Bench b = new Bench().fleet(2, 0);
        b.delta(Bench.host("a0", 0, HostState.REMOVED, 0), Bench.host("a1", 0, HostState.DRAINING, 0));
        assertEquals("refuse", b.request(Bench.SAFE).what());
        b.module.fleet(b.now, ListKind.FULL, List.of(Bench.host("a7", 0)));
        assertEquals("a7", b.request(Bench.SAFE).host());
    }

    @Test
    void timeOutOwesAnAnswerAndNothingGoesOutAfterIt() {
        Bench b = new Bench().fleet(3, 0);
        Done send = b.request(Bench.UNSAFE);
        b.pass(Bench.AIM);
        assertEquals("fail", b.outcome(send, Outcome.TIMEOUT).what());
        assertNull(b.outcome(send, 1, Outcome.REFUSED, null));
    }

    @Test
    void goneClientIsOwedNothing() {
        Bench b = new Bench().fleet(3, 0);
        Done send = b.request(Bench.SAFE);
        b.module.clientLeft(b.now, send.id());
        b.module.clientLeft(b.now, send.id());
        assertNull(b.outcome(send, Outcome.ERROR));
    }

    @Test
    void workPastItsAimIsRefusedAndNotSent() {
        Bench b = new Bench().fleet(3, 0);
        assertEquals("send", b.request(Bench.SAFE, Bench.LEFT).what());
        // Less time than clients grant a try: 600 ms of the deadline of 1 s are gone, and the aim is 400 ms.
        assertEquals("refuse", b.request(Bench.SAFE, 400_000).what());
    }

    @Test
    void lateAnswerOfSomeWorthIsStillSoughtAfterTheAim() {
        Bench.Setup setup = new Bench.Setup();
        setup.lateWorth = 0.2;
        Bench b = new Bench(setup).fleet(3, 0);
        Done send = b.request(Bench.SAFE, Bench.LEFT);
        assertEquals(Bench.LEFT, send.time());
        assertEquals("send", b.request(Bench.SAFE, 400_000).what());
    }

    @Test
    void tryThatCanOnlyBeLateGetsNoRoomBesideWorkThatCanBeInTime() {
        Bench.Setup setup = new Bench.Setup();
        setup.lateWorth = 0.2;
        Bench b = new Bench(setup).fleet(2, 0);
        for (int i = 0; i < 10; i++) {
            b.pass(50_000).answered(Bench.SAFE, 1);
        }
        for (int i = 0; i < 100; i++) {
            b.pass(100_000).module.probeCompleted(b.now, "a" + i % 2, Outcome.OK, 1_000, new LoadReport(20, 20));
        }
        assertEquals("send", b.request(Bench.SAFE, Bench.LEFT).what());
        assertEquals("refuse", b.request(Bench.SAFE, 400_000).what());
    }

    // ---- rule 2: no effect twice ----

    @Test
    void unsafeMayFollowOnlyWhatNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Bench b = new Bench().fleet(4, 0);
            Done send = b.request(Bench.UNSAFE);
            b.pass(1_000);
            assertEquals(outcome.neverRan ? "send" : "fail", b.outcome(send, outcome).what(), outcome.name());
        }
    }

    @Test
    void unsafeThatRanOnTheSecondAttemptFails() {
        Bench b = new Bench().fleet(4, 0);
        Done first = b.request(Bench.UNSAFE);
        b.pass(1_000);
        Done second = b.outcome(first, Outcome.REFUSED);
        assertNotEquals(first.host(), second.host());
        b.pass(1_000);
        assertEquals("fail", b.outcome(second, 1, Outcome.RESET, null).what());
    }

    @Test
    void keyedOfAZoneStaysInItsZoneAndIsNeverRefusedOnceItMayHaveRun() {
        Bench b = new Bench().fleet(1, 4);
        Done send = b.request(Bench.KEYED_ZONE);
        assertEquals("a0", send.host());
        b.pass(1_000);
        assertEquals("fail", b.outcome(send, Outcome.ERROR).what(), "no other host of its zone, so no further try");
    }

    @Test
    void keyedOfAZoneMayLeaveItsZoneBeforeItRan() {
        Bench b = new Bench().fleet(1, 4);
        Done send = b.request(Bench.KEYED_ZONE);
        b.pass(1_000);
        assertTrue(b.outcome(send, Outcome.CONNECT_FAILED).host().startsWith("b"));
    }

    @Test
    void keyedOfAllGoesAnywhereWithinItsWindowAndIsNeverRefusedOnceItMayHaveRun() {
        Bench b = new Bench().fleet(2, 0);
        Done send = b.request(Bench.KEYED_ALL);
        b.pass(1_000);
        Done second = b.outcome(send, Outcome.RESET);
        assertEquals("send", second.what());
        Bench.Setup setup = new Bench.Setup();
        setup.lateWorth = 0.5;
        Bench late = new Bench(setup).fleet(2, 0);
        Done first = late.request(Bench.KEYED_ALL);
        late.pass(500_001);     // the window is 500 ms from the first send that may have run
        assertEquals("fail", late.outcome(first, Outcome.RESET).what());
    }

    @Test
    void keyedWorkIsRefusedOnlyWhereEachOfItsAttemptsProvedThatItNeverRan() {
        for (int type = Bench.KEYED_ALL; type <= Bench.KEYED_CELL; type++) {
            for (Outcome outcome : Outcome.values()) {
                if (outcome != Outcome.OK) {
                    Bench b = new Bench().fleet(1, 0);
                    Done send = b.request(type);
                    b.pass(1_000);
                    assertEquals(outcome.neverRan ? "refuse" : "fail", b.outcome(send, outcome).what(),
                            type + " " + outcome);
                }
            }
        }
    }

    /** It was failed at once, though its time was not over and another host could still serve it. */
    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = {"RESET", "ERROR", "CANCELLED"})
    void whatCanNotBeRefusedAnyMoreGoesOnAlsoWhereNobodyHasRoom(Outcome outcome) {
        for (int type = Bench.KEYED_ALL; type <= Bench.KEYED_CELL; type++) {
            Bench b = new Bench().fleet(2, 0);
            Done send = b.request(type);
            for (int i = 0; i < 6; i++) {
                for (String host : List.of("a0", "a1")) {
                    b.module.probeCompleted(b.pass(20_000).now, host, Outcome.OK, 1_000, new LoadReport(200, 200));
                }
            }
            assertEquals("refuse", b.request(type).what(), "nobody has room");
            Done second = b.outcome(send, outcome);
            assertEquals("send", second.what(), type + " after " + outcome);
            assertNotEquals(send.host(), second.host());
        }
    }

    /** The window of 500 ms counts from the first send that may have run, however long the network takes to begin. */
    @Test
    void repeatOfKeyedWorkHasToBeginWithinItsWindowAndTheWayToTheServer() {
        Bench b = new Bench().fleet(4, 0);
        Done first = b.request(Bench.KEYED_ALL);
        assertEquals(Long.MAX_VALUE, b.lastBeginBy, "nothing ran before it");
        b.pass(100_000);
        Done second = b.outcome(first, Outcome.CONNECT_FAILED);
        long ran = b.now;
        assertEquals(Long.MAX_VALUE, b.lastBeginBy, "nor before this one");
        b.pass(100_000);
        Done third = b.outcome(second, 1, Outcome.RESET, null);
        assertEquals("send", third.what());
        assertEquals(ran + 480_000, b.lastBeginBy);
        b.pass(50_000);
        assertEquals("send", b.outcome(third, 2, Outcome.NOT_SENT, null).what());
        assertEquals(ran + 480_000, b.lastBeginBy, "what was stopped before its first byte opens no window");
    }

    @Test
    void keyedWorkIsNotSentAgainWhereItsWindowIsAsGoodAsOver() {
        for (long after : new long[] {479_999, 480_000}) {
            Bench.Setup setup = new Bench.Setup();
            setup.lateWorth = 0.5;
            Bench b = new Bench(setup).fleet(4, 0);
            Done send = b.request(Bench.KEYED_CELL);
            b.pass(after);
            assertEquals(after < 480_000 ? "send" : "fail", b.outcome(send, Outcome.RESET).what());
        }
    }

    /** Who dropped the first attempt's key is where it went; the list may move that host, or start it anew, since. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void repeatOfKeyedWorkStaysWhereTheFirstAttemptWent(boolean startedAnew) {
        for (int others = 0; others < 2; others++) {
            for (int type : new int[] {Bench.KEYED_CELL, Bench.KEYED_ZONE}) {
                Bench b = new Bench();
                List<FleetEntry> all = new ArrayList<>(List.of(place("a0", 0, 5), place("b0", 1, 6)));
                if (others == 1) {
                    all.addAll(List.of(place("a1", 0, 5), place("b1", 1, 6)));
                }
                b.module.fleet(b.now, ListKind.RESTORED, all);
                Done first = b.request(type);
                assertTrue(first.host().startsWith("a"));
                b.pass(1_000);
                long started = startedAnew ? b.now : 0;
                b.delta(new FleetEntry(first.host(), type == Bench.KEYED_ZONE ? 1 : 0, 6, HostState.READY, 1, started));
                Done next = b.pass(1_000).outcome(first, Outcome.RESET);
                assertEquals(others == 0 ? "fail" : "send", next.what());
                assertTrue(others == 0 || next.host().startsWith("a") && !next.host().equals(first.host()));
            }
        }
    }

    private static FleetEntry place(String host, int zone, int cell) {
        return new FleetEntry(host, zone, cell, HostState.READY, 1, 0);
    }

    @Test
    void whatMayBeRepeatedAtAnyTimeMayBeginAtAnyTime() {
        Bench b = new Bench().fleet(4, 0);
        Done send = b.request(Bench.SAFE);
        b.pass(100_000);
        assertEquals("send", b.outcome(send, Outcome.RESET).what());
        assertEquals(Long.MAX_VALUE, b.lastBeginBy);
    }

    @Test
    void sendCapHolds() {
        Bench.Setup setup = new Bench.Setup();
        setup.sendCap = 1;
        Bench b = new Bench(setup).fleet(4, 0);
        Done send = b.request(Bench.SAFE);
        b.pass(1_000);
        assertEquals("refuse", b.outcome(send, Outcome.REFUSED).what());
    }

    // ---- rule 3: drains ----

    @Test
    void drainingHostGetsNothingFromTheEventThatNamesIt() {
        Bench b = new Bench().fleet(3, 0);
        String head = b.answered(Bench.SAFE, 0).host();
        b.delta(Bench.host(head, 0, HostState.DRAINING, 0));
        for (int i = 0; i < 20; i++) {
            assertNotEquals(head, b.pass(50_000).answered(Bench.SAFE, 0).host());
        }
    }

    @Test
    void hostMissingFromAFullListIsGoneAndItsWorkInFlightFinishes() {
        Bench b = new Bench().fleet(2, 0);
        Done send = b.request(Bench.SAFE);
        String other = send.host().equals("a0") ? "a1" : "a0";
        b.module.fleet(b.now, ListKind.FULL, List.of(Bench.host(other, 0)));
        assertNull(b.outcome(send, Outcome.OK));
        assertEquals(other, b.request(Bench.SAFE).host());
    }

    @Test
    void furtherAttemptAvoidsAHostThatDrainsMeanwhile() {
        Bench b = new Bench().fleet(2, 0);
        Done send = b.request(Bench.SAFE);
        String other = send.host().equals("a0") ? "a1" : "a0";
        b.delta(Bench.host(other, 0, HostState.DRAINING, 0));
        b.pass(1_000);
        assertEquals("refuse", b.outcome(send, Outcome.REFUSED).what());
    }

    /** Taken for a whole list, it would be an empty one. */
    @Test
    void listThatFailedToComeChangesNothing() {
        Bench b = new Bench().fleet(1, 0);
        b.module.fleet(b.now, ListKind.FAILED, List.of());
        assertEquals("a0", b.request(Bench.SAFE).host());
    }

    @Test
    void hostSeenOnlyAsRemovedIsNoError() {
        Bench b = new Bench().fleet(1, 0);
        b.delta(Bench.host("never-met", -1, HostState.REMOVED, 0));
        assertEquals("a0", b.request(Bench.SAFE).host());
    }

    @Test
    void askedDiscoveryIsAskedWithinItsTimeSpreadOutAndAgainAfterFailure() {
        List<Long> first = new ArrayList<>();
        for (int position = 0; position < 10; position++) {
            Bench.Setup setup = new Bench.Setup();
            setup.position = position;
            setup.onRequest = true;
            Bench b = new Bench(setup);
            ListSubscription asking = new ListSubscription(setup.settings(), 1, b);
            asking.listReceived(ListKind.RESTORED);
            Done timer = b.log.get(0);
            assertEquals("timer", timer.what());
            assertTrue(timer.time() <= 5_000_000, "well within ask_within");
            first.add(timer.time());
            assertTrue(asking.timerFired(timer.id()));
            assertEquals(1, b.count("watch"));
            asking.listReceived(ListKind.FAILED);
            Done again = b.log.get(b.log.size() - 1);
            assertEquals("timer", again.what());
            assertTrue(asking.timerFired(again.id()));
            assertEquals(2, b.count("watch"));
            asking.listReceived(ListKind.DELTA);
            asking.timerFired(again.id());
            assertEquals(2, b.count("watch"), "a subscriber asks no more");
        }
        assertEquals(10, first.stream().distinct().count());
    }

    // ---- rule 4: cold hosts ----

    @Test
    void coldHeadGetsItsTrafficBackOnceItIsWarm() {
        Bench b = new Bench().fleet(4, 0);
        String head = b.answered(Bench.SAFE, 0).host();
        b.delta(Bench.host(head, 0, HostState.READY, b.now));
        assertTrue(sends(b, head, 100) < 35, "others are far quicker");
        b.pass(20_000_000);
        assertEquals(100, sends(b, head, 100));
    }

    private static int sends(Bench b, String host, int requests) {
        int sends = 0;
        for (int i = 0; i < requests; i++) {
            Done send = b.request(Bench.SAFE);
            if (host.equals(send.host())) {
                sends++;
            }
            b.outcome(send, 0, Outcome.OK, new LoadReport(0, 0));
        }
        return sends;
    }

    @Test
    void coldHostHoldsOneRequestOfABalancerAtMost() {
        Bench b = new Bench().fleet(3, 0);
        String head = b.answered(Bench.SAFE, 0).host();
        b.delta(Bench.host(head, 0, HostState.READY, b.now));
        int out = 0;                      // of many who hear of it at once, each begins at a moment of its own
        for (int i = 0; i < 500; i++) {
            if (head.equals(b.pass(10_000).request(Bench.SAFE).host())) {
                out++;
            }
        }
        assertEquals(1, out);
    }

    @Test
    void fleetThatIsColdAsAWholeIsServedWithoutDeadlock() {
        Bench b = new Bench();
        List<FleetEntry> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(Bench.host("a" + i, 0, HostState.READY, b.now));
        }
        b.module.fleet(b.now, ListKind.RESTORED, all);
        int served = 0;
        for (int i = 0; i < 20; i++) {
            Done send = b.request(Bench.SAFE);
            if (send.what().equals("send")) {
                served++;
                b.pass(20_000).outcome(send, 0, Outcome.OK, new LoadReport(0, 0));
            }
        }
        assertEquals(20, served);
    }

    @Test
    void unknownStartTimeCountsAsLongAgo() {
        Bench b = new Bench().fleet(1, 0);
        assertEquals("a0", b.request(Bench.SAFE).host());
        assertEquals("a0", b.request(Bench.SAFE).host(), "no cold limit of one at a time");
    }

    @Test
    void headsAreSpreadOverTheServersByRegisteredWeight() {
        Map<String, Integer> heads = new HashMap<>();
        for (int position = 0; position < 200; position++) {
            Bench.Setup setup = new Bench.Setup();
            setup.position = position;
            setup.balancers = 200;
            Bench b = new Bench(setup);
            b.module.fleet(b.now, ListKind.RESTORED, List.of(
                    new FleetEntry("s0", 0, 0, HostState.READY, 1, 0), new FleetEntry("s1", 0, 0, HostState.READY, 1, 0),
                    new FleetEntry("s2", 0, 0, HostState.READY, 2, 0), new FleetEntry("s3", 0, 0, HostState.READY, 0, 0)));
            heads.merge(b.request(Bench.SAFE).host(), 1, Integer::sum);
        }
        assertEquals(100, heads.get("s2"), 6);
        assertEquals(50, heads.get("s0"), 6);
        assertEquals(50, heads.get("s1"), 6);
    }
}
