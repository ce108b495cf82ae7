package dapplequay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dapplequay.BalanceRig.Action;
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

/**
 * The four rules of the product: one final answer for each request, no effect twice, no new work for draining servers,
 * no more for cold servers than they can bear.
 */
class RulesTest {

    // ---- rule 1: one final answer ----

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void everyOutcomeLeadsToOneFinalAnswer(Outcome outcome) {
        for (int type = BalanceRig.RETRYABLE; type <= BalanceRig.DEDUP_CELL; type++) {
            BalanceRig rig = new BalanceRig().fleet(6, 0);
            Action send = rig.request(type);
            int attempt = 0;
            Action next = send;
            while (next != null && next.kind().equals("send")) {
                rig.advance(1_000);
                next = rig.outcome(next, attempt++, outcome, null);
            }
            long answers = rig.count("refuse") + rig.count("fail");
            assertEquals(outcome == Outcome.OK ? 0 : 1, answers, "class " + type);
            rig.module.outcome(rig.now, send.id(), 0, send.host(), outcome, 0, true, null);
            assertEquals(answers, rig.count("refuse") + rig.count("fail"), "a late outcome must not answer again");
        }
    }

    @Test
    void emptyFleetRefusesAtOnce() {
        BalanceRig rig = new BalanceRig().fleet(0, 0);
        assertEquals("refuse", rig.request(BalanceRig.FRAGILE).kind());
    }

    @Test
    void listThatEmptiesAndRefillsServesAgain() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        rig.delta(BalanceRig.host("a0", 0, HostState.REMOVED, 0), BalanceRig.host("a1", 0, HostState.DRAINING, 0));
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE).kind());
        rig.module.fleet(rig.now, ListKind.FULL, List.of(BalanceRig.host("a7", 0)));
        assertEquals("a7", rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void timeoutIsAnsweredAndNoAttemptFollowsTheAnswer() {
        BalanceRig rig = new BalanceRig().fleet(3, 0);
        Action send = rig.request(BalanceRig.FRAGILE);
        rig.advance(BalanceRig.AIM_US);
        assertEquals("fail", rig.outcome(send, Outcome.TIMEOUT).kind());
        assertNull(rig.outcome(send, 1, Outcome.REFUSED, null));
    }

    @Test
    void clientThatLeftGetsNoAnswer() {
        BalanceRig rig = new BalanceRig().fleet(3, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        rig.module.clientLeft(rig.now, send.id());
        rig.module.clientLeft(rig.now, send.id());
        assertNull(rig.outcome(send, Outcome.ERROR));
    }

    @Test
    void requestPastItsAimIsRefusedAndNotSent() {
        BalanceRig rig = new BalanceRig().fleet(3, 0);
        assertEquals("send", rig.request(BalanceRig.RETRYABLE, BalanceRig.LEFT_US).kind());
        // A retry, as its time left is less than before: 600 ms of the deadline of 1 s are over, and the aim is 400 ms.
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE, 400_000).kind());
    }

    @Test
    void requestPastItsAimIsSentIfLateAnswersHaveWorth() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.lateWorth = 0.2;
        BalanceRig rig = new BalanceRig(setup).fleet(3, 0);
        Action send = rig.request(BalanceRig.RETRYABLE, BalanceRig.LEFT_US);
        assertEquals(BalanceRig.LEFT_US, send.argument());
        assertEquals("send", rig.request(BalanceRig.RETRYABLE, 400_000).kind());
    }

    @Test
    void requestThatCanOnlyBeLateIsRefusedWhereOthersAreStillSent() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.lateWorth = 0.2;
        BalanceRig rig = new BalanceRig(setup).fleet(2, 0);
        for (int i = 0; i < 10; i++) {
            rig.advance(50_000).requestAndAnswer(BalanceRig.RETRYABLE, 1);
        }
        for (int i = 0; i < 100; i++) {
            rig.advance(100_000).module.probeCompleted(rig.now, "a" + i % 2, Outcome.OK, 1_000,
                    new LoadReport(20, 20));
        }
        assertEquals("send", rig.request(BalanceRig.RETRYABLE, BalanceRig.LEFT_US).kind());
        assertEquals("refuse", rig.request(BalanceRig.RETRYABLE, 400_000).kind());
    }

    // ---- rule 2: no effect twice ----

    @Test
    void fragileRequestIsSentAgainOnlyAfterAnAttemptThatNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            BalanceRig rig = new BalanceRig().fleet(4, 0);
            Action send = rig.request(BalanceRig.FRAGILE);
            rig.advance(1_000);
            assertEquals(outcome.neverRan ? "send" : "fail", rig.outcome(send, outcome).kind(), outcome.name());
        }
    }

    @Test
    void fragileRequestThatMayHaveRunOnItsSecondAttemptFails() {
        BalanceRig rig = new BalanceRig().fleet(4, 0);
        Action first = rig.request(BalanceRig.FRAGILE);
        rig.advance(1_000);
        Action second = rig.outcome(first, Outcome.REFUSED);
        assertNotEquals(first.host(), second.host());
        rig.advance(1_000);
        assertEquals("fail", rig.outcome(second, 1, Outcome.RESET, null).kind());
    }

    @Test
    void zoneDedupRequestStaysInItsZoneAndIsNotRefusedOnceItMayHaveRun() {
        BalanceRig rig = new BalanceRig().fleet(1, 4);
        Action send = rig.request(BalanceRig.DEDUP_ZONE);
        assertEquals("a0", send.host());
        rig.advance(1_000);
        assertEquals("fail", rig.outcome(send, Outcome.ERROR).kind(),
                "no other host in its zone, so no further attempt");
    }

    @Test
    void zoneDedupRequestMayLeaveItsZoneIfItNeverRan() {
        BalanceRig rig = new BalanceRig().fleet(1, 4);
        Action send = rig.request(BalanceRig.DEDUP_ZONE);
        rig.advance(1_000);
        assertTrue(rig.outcome(send, Outcome.CONNECT_FAILED).host().startsWith("b"));
    }

    @Test
    void dedupRequestOfAllGoesAnywhereWithinItsWindowAndIsNotRefusedOnceItMayHaveRun() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action send = rig.request(BalanceRig.DEDUP_ALL);
        rig.advance(1_000);
        Action second = rig.outcome(send, Outcome.RESET);
        assertEquals("send", second.kind());
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.lateWorth = 0.5;
        BalanceRig late = new BalanceRig(setup).fleet(2, 0);
        Action first = late.request(BalanceRig.DEDUP_ALL);
        late.advance(500_001);     // past the window of 500 ms from the first send that may have run
        assertEquals("fail", late.outcome(first, Outcome.RESET).kind());
    }

    @Test
    void dedupRequestIsRefusedOnlyIfNoAttemptMayHaveRun() {
        for (int type = BalanceRig.DEDUP_ALL; type <= BalanceRig.DEDUP_CELL; type++) {
            for (Outcome outcome : Outcome.values()) {
                if (outcome != Outcome.OK) {
                    BalanceRig rig = new BalanceRig().fleet(1, 0);
                    Action send = rig.request(type);
                    rig.advance(1_000);
                    assertEquals(outcome.neverRan ? "refuse" : "fail", rig.outcome(send, outcome).kind(),
                            type + " " + outcome);
                }
            }
        }
    }

    /** Guards against failing such a request at once though it has time left and another host could serve it. */
    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = {"RESET", "ERROR", "CANCELLED"})
    void requestThatCanNotBeRefusedIsSentAgainEvenIfNoServerHasRoom(Outcome outcome) {
        for (int type = BalanceRig.DEDUP_ALL; type <= BalanceRig.DEDUP_CELL; type++) {
            BalanceRig rig = new BalanceRig().fleet(2, 0);
            Action send = rig.request(type);
            for (int i = 0; i < 6; i++) {
                for (String host : List.of("a0", "a1")) {
                    rig.module.probeCompleted(rig.advance(20_000).now, host, Outcome.OK, 1_000,
                            new LoadReport(200, 200));
                }
            }
            assertEquals("refuse", rig.request(type).kind(), "no server has room");
            Action second = rig.outcome(send, outcome);
            assertEquals("send", second.kind(), type + " after " + outcome);
            assertNotEquals(send.host(), second.host());
        }
    }

    /** The window of 500 ms counts from the first send that may have run, and 20 ms of it are kept for delivery. */
    @Test
    void repeatOfDedupRequestMustBeginWithinItsWindowLessDelivery() {
        BalanceRig rig = new BalanceRig().fleet(4, 0);
        Action first = rig.request(BalanceRig.DEDUP_ALL);
        assertEquals(Long.MAX_VALUE, rig.lastSendBeginBy, "no attempt ran before the first");
        rig.advance(100_000);
        Action second = rig.outcome(first, Outcome.CONNECT_FAILED);
        long ran = rig.now;
        assertEquals(Long.MAX_VALUE, rig.lastSendBeginBy, "no attempt ran before the second");
        rig.advance(100_000);
        Action third = rig.outcome(second, 1, Outcome.RESET, null);
        assertEquals("send", third.kind());
        assertEquals(ran + 480_000, rig.lastSendBeginBy);
        rig.advance(50_000);
        assertEquals("send", rig.outcome(third, 2, Outcome.NOT_SENT, null).kind());
        assertEquals(ran + 480_000, rig.lastSendBeginBy, "an attempt that was not sent opens no window");
    }

    @Test
    void dedupRequestIsNotSentAgainAtTheEndOfItsWindow() {
        for (long after : new long[] {479_999, 480_000}) {
            BalanceRig.Setup setup = new BalanceRig.Setup();
            setup.lateWorth = 0.5;
            BalanceRig rig = new BalanceRig(setup).fleet(4, 0);
            Action send = rig.request(BalanceRig.DEDUP_CELL);
            rig.advance(after);
            assertEquals(after < 480_000 ? "send" : "fail", rig.outcome(send, Outcome.RESET).kind());
        }
    }

    /** A repeat stays in the first attempt's zone or cell, even if the list has moved or restarted its host since. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void repeatOfDedupRequestStaysWhereTheFirstAttemptWent(boolean isRestarted) {
        for (int others = 0; others < 2; others++) {
            for (int type : new int[] {BalanceRig.DEDUP_CELL, BalanceRig.DEDUP_ZONE}) {
                BalanceRig rig = new BalanceRig();
                List<FleetEntry> all = new ArrayList<>(List.of(place("a0", 0, 5), place("b0", 1, 6)));
                if (others == 1) {
                    all.addAll(List.of(place("a1", 0, 5), place("b1", 1, 6)));
                }
                rig.module.fleet(rig.now, ListKind.RESTORED, all);
                Action first = rig.request(type);
                assertTrue(first.host().startsWith("a"));
                rig.advance(1_000);
                long started = isRestarted ? rig.now : 0;
                rig.delta(new FleetEntry(first.host(), type == BalanceRig.DEDUP_ZONE ? 1 : 0, 6, HostState.READY, 1,
                        started));
                Action next = rig.advance(1_000).outcome(first, Outcome.RESET);
                assertEquals(others == 0 ? "fail" : "send", next.kind());
                assertTrue(others == 0 || next.host().startsWith("a") && !next.host().equals(first.host()));
            }
        }
    }

    private static FleetEntry place(String host, int zone, int cell) {
        return new FleetEntry(host, zone, cell, HostState.READY, 1, 0);
    }

    @Test
    void repeatOfRetryableRequestMayBeginAtAnyTime() {
        BalanceRig rig = new BalanceRig().fleet(4, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        rig.advance(100_000);
        assertEquals("send", rig.outcome(send, Outcome.RESET).kind());
        assertEquals(Long.MAX_VALUE, rig.lastSendBeginBy);
    }

    @Test
    void sendCapHolds() {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.sendCap = 1;
        BalanceRig rig = new BalanceRig(setup).fleet(4, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        rig.advance(1_000);
        assertEquals("refuse", rig.outcome(send, Outcome.REFUSED).kind());
    }

    // ---- rule 3: drains ----

    @Test
    void drainingHostGetsNoRequestsOnceItIsListedAsDraining() {
        BalanceRig rig = new BalanceRig().fleet(3, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        rig.delta(BalanceRig.host(head, 0, HostState.DRAINING, 0));
        for (int i = 0; i < 20; i++) {
            assertNotEquals(head, rig.advance(50_000).requestAndAnswer(BalanceRig.RETRYABLE, 0).host());
        }
    }

    @Test
    void hostMissingFromAFullListIsRemovedAndItsAttemptsInFlightFinish() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        String other = send.host().equals("a0") ? "a1" : "a0";
        rig.module.fleet(rig.now, ListKind.FULL, List.of(BalanceRig.host(other, 0)));
        assertNull(rig.outcome(send, Outcome.OK));
        assertEquals(other, rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void nextAttemptAvoidsAHostThatDrainsMeanwhile() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        Action send = rig.request(BalanceRig.RETRYABLE);
        String other = send.host().equals("a0") ? "a1" : "a0";
        rig.delta(BalanceRig.host(other, 0, HostState.DRAINING, 0));
        rig.advance(1_000);
        assertEquals("refuse", rig.outcome(send, Outcome.REFUSED).kind());
    }

    /** Guards against taking a failed call for an empty list. */
    @Test
    void listThatFailedToComeChangesNothing() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        rig.module.fleet(rig.now, ListKind.FAILED, List.of());
        assertEquals("a0", rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void unknownHostThatIsRemovedIsIgnored() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        rig.delta(BalanceRig.host("never-met", -1, HostState.REMOVED, 0));
        assertEquals("a0", rig.request(BalanceRig.RETRYABLE).host());
    }

    @Test
    void discoveryIsCalledInTimeSpreadOverInstancesAndAgainAfterFailure() {
        List<Long> first = new ArrayList<>();
        for (int position = 0; position < 10; position++) {
            BalanceRig.Setup setup = new BalanceRig.Setup();
            setup.position = position;
            setup.onRequest = true;
            BalanceRig rig = new BalanceRig(setup);
            ListSubscription subscription = new ListSubscription(setup.settings(), 1, rig);
            subscription.listReceived(ListKind.RESTORED);
            Action timer = rig.actions.get(0);
            assertEquals("timer", timer.kind());
            assertTrue(timer.argument() <= 5_000_000, "well within ask_within");
            first.add(timer.argument());
            assertTrue(subscription.timerFired(timer.id()));
            assertEquals(1, rig.count("watch"));
            subscription.listReceived(ListKind.FAILED);
            Action again = rig.actions.get(rig.actions.size() - 1);
            assertEquals("timer", again.kind());
            assertTrue(subscription.timerFired(again.id()));
            assertEquals(2, rig.count("watch"));
            subscription.listReceived(ListKind.DELTA);
            subscription.timerFired(again.id());
            assertEquals(2, rig.count("watch"), "a subscribed instance does not subscribe again");
        }
        assertEquals(10, first.stream().distinct().count());
    }

    // ---- rule 4: cold hosts ----

    @Test
    void coldHeadGetsItsTrafficBackOnceItIsWarm() {
        BalanceRig rig = new BalanceRig().fleet(4, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        rig.delta(BalanceRig.host(head, 0, HostState.READY, rig.now));
        assertTrue(sends(rig, head, 100) < 35, "sends to the cold head of 100");
        rig.advance(20_000_000);
        assertEquals(100, sends(rig, head, 100));
    }

    private static int sends(BalanceRig rig, String host, int requests) {
        int sends = 0;
        for (int i = 0; i < requests; i++) {
            Action send = rig.request(BalanceRig.RETRYABLE);
            if (host.equals(send.host())) {
                sends++;
            }
            rig.outcome(send, 0, Outcome.OK, new LoadReport(0, 0));
        }
        return sends;
    }

    @Test
    void coldHostHoldsAtMostOneRequestOfABalancer() {
        BalanceRig rig = new BalanceRig().fleet(3, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 0).host();
        rig.delta(BalanceRig.host(head, 0, HostState.READY, rig.now));
        int out = 0;      // the first send comes after a random time, as many balancers hear of the start at once
        for (int i = 0; i < 500; i++) {
            if (head.equals(rig.advance(10_000).request(BalanceRig.RETRYABLE).host())) {
                out++;
            }
        }
        assertEquals(1, out);
    }

    @Test
    void requestsAreServedIfAllHostsAreCold() {
        BalanceRig rig = new BalanceRig();
        List<FleetEntry> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(BalanceRig.host("a" + i, 0, HostState.READY, rig.now));
        }
        rig.module.fleet(rig.now, ListKind.RESTORED, all);
        int served = 0;
        for (int i = 0; i < 20; i++) {
            Action send = rig.request(BalanceRig.RETRYABLE);
            if (send.kind().equals("send")) {
                served++;
                rig.advance(20_000).outcome(send, 0, Outcome.OK, new LoadReport(0, 0));
            }
        }
        assertEquals(20, served);
    }

    @Test
    void hostWithUnknownStartTimeCountsAsWarm() {
        BalanceRig rig = new BalanceRig().fleet(1, 0);
        assertEquals("a0", rig.request(BalanceRig.RETRYABLE).host());
        assertEquals("a0", rig.request(BalanceRig.RETRYABLE).host(), "a cold host would get only one at a time");
    }

    @Test
    void headsAreSpreadOverTheServersByRegisteredWeight() {
        Map<String, Integer> heads = new HashMap<>();
        for (int position = 0; position < 200; position++) {
            BalanceRig.Setup setup = new BalanceRig.Setup();
            setup.position = position;
            setup.balancers = 200;
            BalanceRig rig = new BalanceRig(setup);
            rig.module.fleet(rig.now, ListKind.RESTORED, List.of(
                    new FleetEntry("s0", 0, 0, HostState.READY, 1, 0),
                    new FleetEntry("s1", 0, 0, HostState.READY, 1, 0),
                    new FleetEntry("s2", 0, 0, HostState.READY, 2, 0),
                    new FleetEntry("s3", 0, 0, HostState.READY, 0, 0)));
            heads.merge(rig.request(BalanceRig.RETRYABLE).host(), 1, Integer::sum);
        }
        assertEquals(100, heads.get("s2"), 6);
        assertEquals(50, heads.get("s0"), 6);
        assertEquals(50, heads.get("s1"), 6);
    }
}
