package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.ColdStart;
import dapplequay.BalancerApi.Discovery;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalanceRig.Action;
import dapplequay.limits.ColdBudget;
import dapplequay.membership.ListCallBackoff;
import dapplequay.membership.PseudoRandom;
import dapplequay.membership.ZoneLoss;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What many instances do together that share nothing. */
class ManyInstancesTest {
    private static final long STEP_US = 5_000;
    private static final long SERVICE_US = 40_000;
    /** Share of its capacity that a host has at its start, as in the settings of {@link BalanceRig}. */
    private static final double START_WARMTH = 0.15;

    private record InFlight(BalanceRig at, Action send, long sentAt, long endsAt) { }

    private static List<BalanceRig> instances(int count) {
        List<BalanceRig> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            BalanceRig.Setup setup = new BalanceRig.Setup();
            setup.position = i;
            setup.balancers = count;
            all.add(new BalanceRig(setup));
        }
        return all;
    }

    /** Returns hosts a0, a2 ... in zone 0, b1, b3 ... in zone 1. Half of each zone started at {@code coldSince}. */
    private static List<FleetEntry> hosts(int count, long coldSince) {
        List<FleetEntry> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(BalanceRig.host((i % 2 == 0 ? "a" : "b") + i, i % 2, HostState.READY, i % 4 < 2 ? 0 : coldSince));
        }
        return all;
    }

    private static boolean isCold(String host) {
        return Integer.parseInt(host.substring(1)) % 4 >= 2;
    }

    /** Counts all sends to cold hosts for 3 s, while half of the hosts are cold and the others loaded. */
    @ParameterizedTest
    @CsvSource({"14, 60", "100, 60", "14, 100", "100, 400"})
    void coldHostsGetLessThanTheirBudgetFromAllTogether(int instances, int hosts) {
        List<BalanceRig> all = instances(instances);
        long start = all.get(0).now;
        all.forEach(rig -> rig.module.fleet(start, ListKind.RESTORED, hosts(hosts, start)));
        Map<String, Integer> sendsToCold = new TreeMap<>();
        PriorityQueue<InFlight> out = new PriorityQueue<>(Comparator.comparingLong(InFlight::endsAt));
        Map<String, Long> freeAt = new HashMap<>();
        Map<String, Integer> inFlightByHost = new HashMap<>();
        for (long t = 0; t < 3_000_000; t += STEP_US) {
            long now = start + t;
            while (!out.isEmpty() && out.peek().endsAt() <= now) {
                InFlight ended = out.remove();
                String host = ended.send().host();
                int held = inFlightByHost.merge(host, -1, Integer::sum) + 1;
                ended.at().now = now;
                ended.at().module.outcome(now, ended.send().id(), 0, host, Outcome.OK, now - ended.sentAt(), true,
                        new LoadReport(held, held));
            }
            for (BalanceRig rig : all) {
                rig.now = now;
                Action send = rig.request(BalanceRig.RETRYABLE);
                if (send.host() == null) {
                    continue;
                }
                long service = isCold(send.host()) ? (long) (SERVICE_US / START_WARMTH) : SERVICE_US;
                long endsAt = Math.max(now, freeAt.getOrDefault(send.host(), 0L)) + service;
                freeAt.put(send.host(), endsAt);
                inFlightByHost.merge(send.host(), 1, Integer::sum);
                out.add(new InFlight(rig, send, now, endsAt));
                if (isCold(send.host())) {
                    sendsToCold.merge(send.host(), 1, Integer::sum);
                }
            }
        }
        // 3 times what a cold host can serve in these 3 s: its capacity grows evenly over 20 s.
        double warmth = START_WARMTH + (1 - START_WARMTH) * 1.5 / 20;
        double budget = 3 * warmth * 3_000_000 / SERVICE_US;
        assertThat(sendsToCold).as("cold hosts get requests").isNotEmpty();
        assertThat(sendsToCold.values()).allSatisfy(sends -> assertThat((double) sends).isLessThan(budget));
    }

    @ParameterizedTest
    @CsvSource({"14, 60", "100, 60", "100, 400"})
    void headsAreSpreadOverTheOwnZone(int instances, int hosts) {
        Set<String> heads = new HashSet<>();
        for (BalanceRig rig : instances(instances)) {
            rig.module.fleet(rig.now, ListKind.RESTORED, hosts(hosts, 0));
            heads.add(rig.request(BalanceRig.RETRYABLE).host());
        }
        assertThat(heads).hasSizeGreaterThanOrEqualTo(Math.min(instances, hosts / 2) * 3 / 5);
    }

    /** After a restart of all instances, and again when the first call of each has failed. */
    @ParameterizedTest
    @CsvSource({"14", "100", "1000"})
    void callsToDiscoveryAreSpread(int instances) {
        int[] first = new int[51];
        int[] second = new int[80];
        for (int i = 0; i < instances; i++) {
            ListCallBackoff backoff = new ListCallBackoff(new Discovery(true, 10_000_000, 2_500_000),
                    PseudoRandom.evenlySpread(i), new SplittableRandom(i));
            long firstCallUs = backoff.firstUs();
            first[(int) (firstCallUs / 100_000)]++;
            second[(int) ((firstCallUs + backoff.failedUs()) / 100_000)]++;
        }
        int even = instances / 50 + 1;
        assertThat(first).satisfies(counts -> assertThat(max(counts)).isLessThanOrEqualTo(even + 1));
        assertThat(max(second)).isLessThanOrEqualTo(2 * even + 3);
    }

    private static int max(int[] counts) {
        return Arrays.stream(counts).max().orElseThrow();
    }

    @Test
    void drainedHostsGetNothingMoreFromAnyInstance() {
        List<BalanceRig> all = instances(14);
        all.forEach(rig -> rig.module.fleet(rig.now, ListKind.RESTORED, hosts(60, 0)));
        for (BalanceRig rig : all) {
            List<FleetEntry> draining = new ArrayList<>();
            for (int i = 0; i < 60; i += 3) {
                draining.add(BalanceRig.host(i % 2 == 0 ? "a" + i : "b" + i, i % 2, HostState.DRAINING, 0));
            }
            rig.module.fleet(rig.now, ListKind.DELTA, draining);
            for (int i = 0; i < 300; i++) {
                Action send = rig.advance(2_000).request(BalanceRig.RETRYABLE);
                if (send.host() != null) {
                    assertThat(Integer.parseInt(send.host().substring(1)) % 3).as(send.host()).isNotZero();
                }
            }
        }
    }

    @Test
    void pauseBetweenSendsToAColdHostGrowsWithTheNumberOfSenders() {
        ColdBudget budget = new ColdBudget(new ColdStart(0.25, 8_000_000, 3, 3_000_000));
        assertThat(budget.warmth(5, 0)).isEqualTo(1);
        assertThat(budget.warmth(1_000, 1_000)).isEqualTo(0.25);
        assertThat(budget.warmth(4_001_000, 1_000)).isEqualTo(0.625);
        assertThat(budget.warmth(9_000_000, 1_000)).isEqualTo(1);
        assertThat(budget.pauseUs(30_000, 1, 0.25)).isBetween(99_990L, 100_010L);
        assertThat(budget.pauseUs(30_000, 14, 0.25)).isBetween(1_399_900L, 1_400_100L);
    }

    @Test
    void zoneIsLostAfterFourFailuresAndBackAfterOneAnswer() {
        ZoneLoss loss = new ZoneLoss(2, 500_000);
        for (int i = 0; i < 3; i++) {
            assertThat(loss.attemptEnded(1, true)).isFalse();
        }
        assertThat(loss.attemptEnded(1, true)).isTrue();
        assertThat(loss.isLost(1)).isTrue();
        assertThat(loss.isLost(0)).isFalse();
        loss.attemptSent(1_000_000, 1);
        assertThat(loss.mayTry(1_499_999, 1)).isFalse();
        assertThat(loss.mayTry(1_500_000, 1)).isTrue();
        assertThat(loss.attemptEnded(1, false)).isTrue();
        loss.processStarted(0);
        assertThat(loss.isLost(1)).isFalse();
    }
}
