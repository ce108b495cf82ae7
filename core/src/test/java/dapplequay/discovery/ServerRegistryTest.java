package dapplequay.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.discovery.ListResponse.Request;
import dapplequay.facade.ListUpdate;
import dapplequay.facade.ListUpdate.Kind;
import dapplequay.facade.ListUpdate.ServerEntry;
import dapplequay.facade.ListUpdate.State;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ServerRegistryTest {
    private static final int SERVERS = 4;
    private static final long MS = 1_000;
    private static final long GRACE_US = 250 * MS;
    private static final long REVISION = 100;

    private final ServerRegistry registry = new ServerRegistry(false);
    private long nowUs = 1_000_000_000;

    private static ServerEntry entry(int server, State state, long bootMs) {
        return new ServerEntry("s" + server, "north", 1, state, 1, bootMs);
    }

    private static ServerEntry entry(int server, State state) {
        return entry(server, state, 0);
    }

    private static List<ServerEntry> serving(int... servers) {
        return Arrays.stream(servers).mapToObj(server -> entry(server, State.SERVING)).toList();
    }

    private void restoreList() {
        registry.restore(REVISION, serving(0, 1, 2, 3));
    }

    private ServerRegistry.Result respond(Request request, long revision, Kind kind, List<ServerEntry> entries) {
        return registry.applyResponse(new ListResponse(revision, new ListUpdate(kind, entries), request, nowUs),
                GRACE_US);
    }

    private Request nextRequest() {
        return registry.nextRequest(nowUs);
    }

    private boolean maySend(int server) {
        return registry.maySend("s" + server, nowUs);
    }

    @Test
    void drainsAndDeletionsTakeEffectAtOnceAndDeltasKeepTheOtherServers() {
        restoreList();
        respond(nextRequest(), 101, Kind.DELTA, List.of(entry(0, State.DRAINING), entry(1, State.DELETED)));
        assertThat(registry.statusOf("s0")).isEqualTo(ServerStatus.DRAINING);
        assertThat(registry.statusOf("s1")).isEqualTo(ServerStatus.REMOVED);
        assertThat(maySend(0) || maySend(1)).isFalse();
        assertThat(maySend(2) && maySend(3)).isTrue();
        assertThat(nextRequest()).isEqualTo(new Request(0, 101, nowUs));
    }

    /** The list omits this many of four servers, which are then removed at once, or unconfirmed first. */
    @ParameterizedTest
    @CsvSource({"1, REMOVED", "2, REMOVED", "3, UNCONFIRMED", "4, UNCONFIRMED"})
    void aListThatOmitsMoreThanHalfOfTheServersIsRequestedAgain(int leftOut, ServerStatus status) {
        restoreList();
        List<ServerEntry> rest = serving(0, 1, 2, 3).subList(leftOut, SERVERS);
        respond(nextRequest(), 101, Kind.FULL, rest);
        assertThat(registry.statusOf("s0")).isEqualTo(status);
        boolean isRequestedAgain = status == ServerStatus.UNCONFIRMED;
        assertThat(registry.needsFullList()).isEqualTo(isRequestedAgain);
        assertThat(maySend(0)).isEqualTo(isRequestedAgain);
        nowUs += GRACE_US - ServerRegistry.SEND_DELAY_MARGIN_US;
        assertThat(maySend(0)).as("closer to the end of the grace than a stall may last").isFalse();
        var expiry = registry.expire(nowUs);
        assertThat(expiry.update().entries()).hasSize(isRequestedAgain ? leftOut : 0);
        assertThat(registry.statusOf("s0")).isEqualTo(ServerStatus.REMOVED);
    }

    @Test
    void aSecondListRemovesTheServersThatItOmitsAndRestoresTheOthers() {
        restoreList();
        respond(nextRequest(), 101, Kind.FULL, serving(3));
        nowUs += 10 * MS;
        respond(nextRequest(), 101, Kind.FULL, serving(2, 3));
        assertThat(registry.statusOf("s0")).isEqualTo(ServerStatus.REMOVED);
        assertThat(registry.statusOf("s2")).isEqualTo(ServerStatus.SERVING);
        assertThat(registry.nextDeadlineUs()).isEqualTo(Long.MAX_VALUE);
        assertThat(registry.needsFullList()).isFalse();
    }

    /** Discovery answers a request for changes with an empty delta of a lower version, whose list is not known. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void anEmptyDeltaOfALowerVersionRequestsTheFullList(boolean anyRevision) {
        ServerRegistry restored = new ServerRegistry(anyRevision);
        restored.restore(REVISION, serving(0, 1, 2, 3));
        restored.applyResponse(new ListResponse(2, new ListUpdate(Kind.DELTA, List.of()),
                restored.nextRequest(nowUs), nowUs), GRACE_US);
        assertThat(restored.nextRequest(nowUs).after()).isEqualTo(ListResponse.FULL_LIST);
        assertThat(restored.revision()).isEqualTo(REVISION);
    }

    /** Servers that a lower version omits are removed by the deadline; those that it adds wait for half a minute. */
    @Test
    void aLowerVersionRemovesServersAtOnceAndAddsThemAfterATimeout() {
        restoreList();
        List<ServerEntry> lowerVersion = new ArrayList<>(serving(0, 1, 2));
        lowerVersion.add(entry(9, State.SERVING));
        respond(nextRequest(), 5, Kind.FULL, lowerVersion);
        assertThat(registry.statusOf("s3")).isEqualTo(ServerStatus.UNCONFIRMED);
        assertThat(registry.statusOf("s9")).isEqualTo(ServerStatus.REMOVED);
        assertThat(registry.needsFullList()).as("it may be a mistake").isTrue();
        nowUs += 10 * MS;
        respond(nextRequest(), 5, Kind.FULL, lowerVersion);
        assertThat(registry.statusOf("s3")).isEqualTo(ServerStatus.REMOVED);
        assertThat(nextRequest().after()).as("deltas of the lower version are requested").isEqualTo(5);
        respond(nextRequest(), 6, Kind.DELTA, List.of(entry(2, State.DRAINING)));
        assertThat(maySend(2)).isFalse();
        assertThat(nextRequest().after()).isEqualTo(6);
        assertThat(registry.revision()).isEqualTo(REVISION);
        nowUs += ServerRegistry.REGRESSION_TIMEOUT_US;
        respond(nextRequest(), 6, Kind.DELTA, List.of());
        assertThat(registry.needsFullList()).isTrue();
        respond(nextRequest(), 6, Kind.FULL, lowerVersion.subList(1, 4));
        assertThat(maySend(9)).isTrue();
        assertThat(registry.revision()).isEqualTo(6);
    }

    /** A request to the old address of discovery, or one that was given up, is answered late. */
    @Test
    void aSupersededResponseRemovesServersAndAddsNone() {
        restoreList();
        Request old = nextRequest();
        registry.discoveryMoved();
        assertThat(nextRequest().after()).as("the new address is asked for the full list")
                .isEqualTo(ListResponse.FULL_LIST);
        Request next = nextRequest();
        nowUs += 10 * MS;
        var result = respond(old, 107, Kind.DELTA, List.of(entry(0, State.DRAINING), entry(9, State.SERVING)));
        assertThat(result.update().entries()).extracting(ServerEntry::uid).containsExactly("s0");
        assertThat(maySend(0)).isFalse();
        nowUs += 10 * MS;
        respond(next, 3, Kind.FULL, serving(0, 1, 2, 3));
        assertThat(maySend(0)).as("listed by a response to a request made before the drain").isFalse();
        assertThat(registry.needsFullList()).isTrue();
        respond(nextRequest(), 3, Kind.FULL, serving(0, 1, 2, 3));
        assertThat(maySend(0)).as("listed by a later request").isTrue();
    }

    @Test
    void aDrainOfAnEarlierProcessDoesNotAffectTheRestartedServer() {
        restoreList();
        respond(nextRequest(), 101, Kind.DELTA, List.of(entry(0, State.SERVING, 50)));
        registry.discoveryMoved();
        respond(new Request(0, 100, nowUs), 100, Kind.DELTA, List.of(entry(0, State.DRAINING, 0)));
        assertThat(maySend(0)).isTrue();
    }

    /** A later process that starts from the kept list then does not use the unconfirmed servers. */
    @Test
    void unconfirmedServersAreKeptAsDrainingUnderTheConfirmedVersion() {
        restoreList();
        respond(nextRequest(), 101, Kind.FULL, serving(3));
        assertThat(registry.confirmedRevision()).isEqualTo(REVISION);
        assertThat(registry.listedEntries()).filteredOn(entry -> entry.state() == State.DRAINING).hasSize(3);
        nowUs += GRACE_US;
        registry.expire(nowUs);
        assertThat(registry.confirmedRevision()).isEqualTo(101);
        assertThat(registry.listedEntries()).hasSize(1);
    }

    @Test
    void reportsTheLastSendToAnUnconfirmedServer() {
        restoreList();
        respond(nextRequest(), 101, Kind.FULL, serving(3));
        nowUs += 40 * MS;
        registry.recordSend("s0", nowUs);
        nowUs += 60 * MS;
        assertThat(registry.expire(nowUs).rotationExits()).extracting(ServerRegistry.RotationExit::lastSendAfterNewsUs)
                .containsExactlyInAnyOrder(40 * MS, 0L, 0L);
    }

    /** The events of a scenario below. */
    private enum Event {
        FULL_LIST, LIST_WITHOUT_MOST, LIST_WITHOUT_ONE, LOWER_VERSION, LOWER_VERSION_WITHOUT_MOST, DRAIN,
        LOWER_VERSION_DRAIN, EMPTY_LOWER_DELTA, SUPERSEDED_DRAIN, SUPERSEDED_LIST_WITHOUT_MOST, DISCOVERY_MOVED,
        FAILED_REQUEST, NO_RESPONSE, GRACE_CHANGED, PROCESS_STALLED
    }

    /** Checks one sequence of events against the responses alone, independently of the rules of the registry. */
    private static final class Scenario {
        private final ServerRegistry registry = new ServerRegistry(true);
        private final long[] latestSendUs = new long[SERVERS];
        private long nowUs = 1_000_000_000;
        private long graceUs = GRACE_US;
        private long revision = REVISION;
        private long lowerRevision = 5;
        private Request superseded;

        Scenario() {
            registry.restore(REVISION, serving(0, 1, 2, 3));
            Arrays.fill(latestSendUs, Long.MAX_VALUE);
            superseded = registry.nextRequest(nowUs);
        }

        private void respond(Request request, long listRevision, Kind kind, List<ServerEntry> entries) {
            for (int server = 0; server < SERVERS; server++) {
                String uid = "s" + server;
                ServerEntry entry = entries.stream().filter(listed -> listed.uid().equals(uid)).findFirst()
                        .orElse(null);
                boolean isRemoved = entry == null ? kind == Kind.FULL : entry.state() != State.SERVING;
                boolean isListed = entry != null && entry.state() == State.SERVING;
                latestSendUs[server] = isListed ? Long.MAX_VALUE : !isRemoved ? latestSendUs[server]
                        : Math.min(latestSendUs[server], nowUs + graceUs);
            }
            registry.applyResponse(new ListResponse(listRevision, new ListUpdate(kind, entries), request, nowUs),
                    graceUs);
        }

        void play(Event event) {
            nowUs += 20 * MS;
            Request request = registry.nextRequest(nowUs);
            boolean asksForFullList = request.after() == ListResponse.FULL_LIST;
            Kind changes = asksForFullList ? Kind.FULL : Kind.DELTA;
            List<ServerEntry> drain = new ArrayList<>(asksForFullList ? serving(1, 2, 3) : List.of());
            drain.add(entry(0, State.DRAINING));
            nowUs += 20 * MS;
            switch (event) {
                case FULL_LIST -> respond(request, ++revision, Kind.FULL, serving(0, 1, 2, 3));
                case LIST_WITHOUT_MOST -> respond(request, ++revision, Kind.FULL, serving(3));
                case LIST_WITHOUT_ONE -> respond(request, ++revision, Kind.FULL, serving(1, 2, 3));
                case LOWER_VERSION -> respond(request, ++lowerRevision, Kind.FULL, serving(0, 1, 2, 3));
                case LOWER_VERSION_WITHOUT_MOST -> respond(request, ++lowerRevision, Kind.FULL, serving(3));
                case DRAIN -> respond(request, ++revision, changes, drain);
                case LOWER_VERSION_DRAIN -> respond(request, ++lowerRevision, changes, drain);
                case EMPTY_LOWER_DELTA -> {
                    respond(request, lowerRevision, Kind.DELTA, List.of());
                    assertThat(request.after() <= lowerRevision && !asksForFullList || registry.needsFullList())
                            .isTrue();
                }
                case SUPERSEDED_DRAIN -> respond(superseded, revision, Kind.DELTA, List.of(entry(0, State.DRAINING)));
                case SUPERSEDED_LIST_WITHOUT_MOST -> respond(superseded, revision, Kind.FULL, serving(3));
                case DISCOVERY_MOVED -> {
                    superseded = request;
                    registry.discoveryMoved();
                }
                case FAILED_REQUEST -> registry.expire(nowUs);
                case NO_RESPONSE -> {
                    superseded = request;
                    nowUs += 30 * MS;
                    registry.expire(nowUs);
                }
                case GRACE_CHANGED -> graceUs = graceUs == GRACE_US ? 180 * MS : GRACE_US;
                default -> nowUs += ServerRegistry.SEND_DELAY_MARGIN_US;
            }
        }

        /** Returns what is wrong now, or null. A write may follow its check by as much as a stall may last. */
        String fault(Event last) {
            for (int server = 0; server < SERVERS; server++) {
                long serverLatestUs = latestSendUs[server];
                if (serverLatestUs != Long.MAX_VALUE
                        && registry.maySend("s" + server,
                                Math.max(nowUs, serverLatestUs - ServerRegistry.SEND_DELAY_MARGIN_US))) {
                    return "s" + server + " is used after its deadline";
                }
                if (last == Event.FULL_LIST && !registry.maySend("s" + server, nowUs)) {
                    return "s" + server + " is not used though it is listed";
                }
            }
            return null;
        }
    }

    /** Tries all sequences of five events: the deadline holds after every step, however the rules combine. */
    @ParameterizedTest
    @EnumSource(Event.class)
    void noSequenceOfEventsDelaysADeadline(Event first) {
        Event[] events = Event.values();
        int length = 4;
        int sequences = (int) Math.pow(events.length, length);
        for (int number = 0; number < sequences; number++) {
            Scenario scenario = new Scenario();
            scenario.play(first);
            String fault = scenario.fault(first);
            List<Event> played = new ArrayList<>(List.of(first));
            for (int step = 0, rest = number; step < length && fault == null; step++, rest /= events.length) {
                Event event = events[rest % events.length];
                played.add(event);
                scenario.play(event);
                fault = scenario.fault(event);
            }
            if (fault != null) {
                assertThat(fault).as(played.toString()).isNull();
            }
        }
    }
}
