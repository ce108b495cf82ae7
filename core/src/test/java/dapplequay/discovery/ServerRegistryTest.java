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

    private void begin() {
        registry.restore(REVISION, serving(0, 1, 2, 3));
    }

    private ServerRegistry.Result answer(Request request, long revision, Kind kind, List<ServerEntry> entries) {
        return registry.applyResponse(new ListResponse(revision, new ListUpdate(kind, entries), request, nowUs), GRACE_US);
    }

    private Request nextRequest() {
        return registry.nextRequest(nowUs);
    }

    private boolean maySend(int server) {
        return registry.maySend("s" + server, nowUs);
    }

    @Test
    void drainsAndDeletionsCountAtOnceAndChangesKeepTheRest() {
        begin();
        answer(nextRequest(), 101, Kind.DELTA, List.of(entry(0, State.DRAINING), entry(1, State.DELETED)));
        assertThat(registry.statusOf("s0")).isEqualTo(ServerStatus.DRAINING);
        assertThat(registry.statusOf("s1")).isEqualTo(ServerStatus.REMOVED);
        assertThat(maySend(0) || maySend(1)).isFalse();
        assertThat(maySend(2) && maySend(3)).isTrue();
        assertThat(nextRequest()).isEqualTo(new Request(0, 101, nowUs));
    }

    /** So many of four are left out: whether they are gone at once, or asked about first. */
    @ParameterizedTest
    @CsvSource({"1, REMOVED", "2, REMOVED", "3, UNCONFIRMED", "4, UNCONFIRMED"})
    void aTrustedListThatLosesMoreThanHalfIsAskedAboutAgain(int leftOut, ServerStatus status) {
        begin();
        List<ServerEntry> rest = serving(0, 1, 2, 3).subList(leftOut, SERVERS);
        answer(nextRequest(), 101, Kind.FULL, rest);
        assertThat(registry.statusOf("s0")).isEqualTo(status);
        boolean isAskedAbout = status == ServerStatus.UNCONFIRMED;
        assertThat(registry.needsFullList()).isEqualTo(isAskedAbout);
        assertThat(maySend(0)).isEqualTo(isAskedAbout);
        nowUs += GRACE_US - ServerRegistry.SEND_DELAY_MARGIN_US;
        assertThat(maySend(0)).as("a hold-up before the end of the grace").isFalse();
        var expired = registry.expire(nowUs);
        assertThat(expired.update().entries()).hasSize(isAskedAbout ? leftOut : 0);
        assertThat(registry.statusOf("s0")).isEqualTo(ServerStatus.REMOVED);
    }

    @Test
    void aSecondListThatLeavesItOutConfirmsAndOneThatNamesItBringsItBack() {
        begin();
        answer(nextRequest(), 101, Kind.FULL, serving(3));
        nowUs += 10 * MS;
        answer(nextRequest(), 101, Kind.FULL, serving(2, 3));
        assertThat(registry.statusOf("s0")).isEqualTo(ServerStatus.REMOVED);
        assertThat(registry.statusOf("s2")).isEqualTo(ServerStatus.SERVING);
        assertThat(registry.nextDeadlineUs()).isEqualTo(Long.MAX_VALUE);
        assertThat(registry.needsFullList()).isFalse();
    }

    /** The answer to a call after the known version has no changes, of a lower one: nothing of that list is known. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void noChangesOfALowerVersionHaveTheWholeListAskedFor(boolean anyRevision) {
        ServerRegistry fresh = new ServerRegistry(anyRevision);
        fresh.restore(REVISION, serving(0, 1, 2, 3));
        fresh.applyResponse(new ListResponse(2, new ListUpdate(Kind.DELTA, List.of()), fresh.nextRequest(nowUs), nowUs), GRACE_US);
        assertThat(fresh.nextRequest(nowUs).after()).isEqualTo(ListResponse.FULL_LIST);
        assertThat(fresh.revision()).isEqualTo(REVISION);
    }

    /** What a lower version leaves out is gone by the deadline, what it brings in waits half a minute. */
    @Test
    void aLowerVersionIsFollowed() {
        begin();
        List<ServerEntry> lower = new ArrayList<>(serving(0, 1, 2));
        lower.add(entry(9, State.SERVING));
        answer(nextRequest(), 5, Kind.FULL, lower);
        assertThat(registry.statusOf("s3")).isEqualTo(ServerStatus.UNCONFIRMED);
        assertThat(registry.statusOf("s9")).isEqualTo(ServerStatus.REMOVED);
        assertThat(registry.needsFullList()).as("it may be a mistake").isTrue();
        nowUs += 10 * MS;
        answer(nextRequest(), 5, Kind.FULL, lower);
        assertThat(registry.statusOf("s3")).isEqualTo(ServerStatus.REMOVED);
        assertThat(nextRequest().after()).as("its changes are watched for").isEqualTo(5);
        answer(nextRequest(), 6, Kind.DELTA, List.of(entry(2, State.DRAINING)));
        assertThat(maySend(2)).isFalse();
        assertThat(nextRequest().after()).isEqualTo(6);
        assertThat(registry.revision()).isEqualTo(REVISION);
        nowUs += ServerRegistry.REGRESSION_TIMEOUT_US;
        answer(nextRequest(), 6, Kind.DELTA, List.of());
        assertThat(registry.needsFullList()).isTrue();
        answer(nextRequest(), 6, Kind.FULL, lower.subList(1, 4));
        assertThat(maySend(9)).isTrue();
        assertThat(registry.revision()).isEqualTo(6);
    }

    /** A call at the old address, or one that was given up, is answered late. */
    @Test
    void aSupersededAnswerTakesOutAndBringsNobodyIn() {
        begin();
        Request old = nextRequest();
        registry.discoveryMoved();
        assertThat(nextRequest().after()).as("the new address is asked for all").isEqualTo(ListResponse.FULL_LIST);
        Request next = nextRequest();
        nowUs += 10 * MS;
        var result = answer(old, 107, Kind.DELTA, List.of(entry(0, State.DRAINING), entry(9, State.SERVING)));
        assertThat(result.update().entries()).extracting(ServerEntry::uid).containsExactly("s0");
        assertThat(maySend(0)).isFalse();
        nowUs += 10 * MS;
        answer(next, 3, Kind.FULL, serving(0, 1, 2, 3));
        assertThat(maySend(0)).as("named by an answer to a call made before the drain was heard").isFalse();
        assertThat(registry.needsFullList()).isTrue();
        answer(nextRequest(), 3, Kind.FULL, serving(0, 1, 2, 3));
        assertThat(maySend(0)).as("asked for again").isTrue();
    }

    @Test
    void aLaterStartOfTheServerIsNotTakenForTheProcessThatDrained() {
        begin();
        answer(nextRequest(), 101, Kind.DELTA, List.of(entry(0, State.SERVING, 50)));
        registry.discoveryMoved();
        answer(new Request(0, 100, nowUs), 100, Kind.DELTA, List.of(entry(0, State.DRAINING, 0)));
        assertThat(maySend(0)).isTrue();
    }

    /** A life that begins with what is kept meanwhile uses nobody who is unconfirmed, and is told of the others. */
    @Test
    void whatIsKeptWhileServersAreUnconfirmed() {
        begin();
        answer(nextRequest(), 101, Kind.FULL, serving(3));
        assertThat(registry.confirmedRevision()).isEqualTo(REVISION);
        assertThat(registry.listedEntries()).filteredOn(entry -> entry.state() == State.DRAINING).hasSize(3);
        nowUs += GRACE_US;
        registry.expire(nowUs);
        assertThat(registry.confirmedRevision()).isEqualTo(101);
        assertThat(registry.listedEntries()).hasSize(1);
    }

    @Test
    void theLastSendAfterTheNewsIsTold() {
        begin();
        answer(nextRequest(), 101, Kind.FULL, serving(3));
        nowUs += 40 * MS;
        registry.recordSend("s0", nowUs);
        nowUs += 60 * MS;
        assertThat(registry.expire(nowUs).rotationExits()).extracting(ServerRegistry.RotationExit::lastSendAfterNewsUs)
                .containsExactlyInAnyOrder(40 * MS, 0L, 0L);
    }

    /** What may happen in the walk below; each answer belongs to the call named. */
    private enum Event {
        WHOLE_LIST, LIST_WITHOUT_MOST, LIST_WITHOUT_ONE, LOWER_LIST, LOWER_LIST_WITHOUT_MOST, DRAIN, LOWER_DRAIN,
        NO_LOWER_CHANGES, SUPERSEDED_DRAIN, SUPERSEDED_LIST_WITHOUT_MOST, MOVE, FAILURE, SILENCE, OTHER_GRACE, HOLD_UP
    }

    /** Judges one sequence of events by what was told alone; it knows nothing of how the registry decides. */
    private static final class Walk {
        private final ServerRegistry registry = new ServerRegistry(true);
        private final long[] lastMomentUs = new long[SERVERS];
        private long nowUs = 1_000_000_000;
        private long graceUs = GRACE_US;
        private long revision = REVISION;
        private long lower = 5;
        private Request superseded;

        Walk() {
            registry.restore(REVISION, serving(0, 1, 2, 3));
            Arrays.fill(lastMomentUs, Long.MAX_VALUE);
            superseded = registry.nextRequest(nowUs);
        }

        private void answer(Request request, long itsRevision, Kind kind, List<ServerEntry> entries) {
            for (int server = 0; server < SERVERS; server++) {
                String uid = "s" + server;
                ServerEntry entry = entries.stream().filter(l -> l.uid().equals(uid)).findFirst().orElse(null);
                boolean isTakenOut = entry == null ? kind == Kind.FULL : entry.state() != State.SERVING;
                boolean isNamed = entry != null && entry.state() == State.SERVING;
                lastMomentUs[server] = isNamed ? Long.MAX_VALUE : !isTakenOut ? lastMomentUs[server]
                        : Math.min(lastMomentUs[server], nowUs + graceUs);
            }
            registry.applyResponse(new ListResponse(itsRevision, new ListUpdate(kind, entries), request, nowUs), graceUs);
        }

        void play(Event event) {
            nowUs += 20 * MS;
            Request request = registry.nextRequest(nowUs);
            boolean isWhole = request.after() == ListResponse.FULL_LIST;
            Kind changes = isWhole ? Kind.FULL : Kind.DELTA;
            List<ServerEntry> drain = new ArrayList<>(isWhole ? serving(1, 2, 3) : List.of());
            drain.add(entry(0, State.DRAINING));
            nowUs += 20 * MS;
            switch (event) {
                case WHOLE_LIST -> answer(request, ++revision, Kind.FULL, serving(0, 1, 2, 3));
                case LIST_WITHOUT_MOST -> answer(request, ++revision, Kind.FULL, serving(3));
                case LIST_WITHOUT_ONE -> answer(request, ++revision, Kind.FULL, serving(1, 2, 3));
                case LOWER_LIST -> answer(request, ++lower, Kind.FULL, serving(0, 1, 2, 3));
                case LOWER_LIST_WITHOUT_MOST -> answer(request, ++lower, Kind.FULL, serving(3));
                case DRAIN -> answer(request, ++revision, changes, drain);
                case LOWER_DRAIN -> answer(request, ++lower, changes, drain);
                case NO_LOWER_CHANGES -> {
                    answer(request, lower, Kind.DELTA, List.of());
                    assertThat(request.after() <= lower && !isWhole || registry.needsFullList()).isTrue();
                }
                case SUPERSEDED_DRAIN -> answer(superseded, revision, Kind.DELTA, List.of(entry(0, State.DRAINING)));
                case SUPERSEDED_LIST_WITHOUT_MOST -> answer(superseded, revision, Kind.FULL, serving(3));
                case MOVE -> {
                    superseded = request;
                    registry.discoveryMoved();
                }
                case FAILURE -> registry.expire(nowUs);
                case SILENCE -> {
                    superseded = request;
                    nowUs += 30 * MS;
                    registry.expire(nowUs);
                }
                case OTHER_GRACE -> graceUs = graceUs == GRACE_US ? 180 * MS : GRACE_US;
                default -> nowUs += ServerRegistry.SEND_DELAY_MARGIN_US;
            }
        }

        /** What is wrong now, or null. From here on nothing is heard: a write may come a hold-up after it was asked. */
        String fault(Event last) {
            for (int server = 0; server < SERVERS; server++) {
                long lastUs = lastMomentUs[server];
                if (lastUs != Long.MAX_VALUE
                        && registry.maySend("s" + server, Math.max(nowUs, lastUs - ServerRegistry.SEND_DELAY_MARGIN_US))) {
                    return "s" + server + " is used past its last moment";
                }
                if (last == Event.WHOLE_LIST && !registry.maySend("s" + server, nowUs)) {
                    return "s" + server + " is not used though the list names it";
                }
            }
            return null;
        }
    }

    /** All sequences of five events: the deadline holds after every step, whichever rules are at work together. */
    @ParameterizedTest
    @EnumSource(Event.class)
    void noSequenceOfEventsPutsOffADeadline(Event first) {
        Event[] events = Event.values();
        int length = 4;
        int sequences = (int) Math.pow(events.length, length);
        for (int number = 0; number < sequences; number++) {
            Walk walk = new Walk();
            walk.play(first);
            String fault = walk.fault(first);
            List<Event> played = new ArrayList<>(List.of(first));
            for (int step = 0, rest = number; step < length && fault == null; step++, rest /= events.length) {
                Event event = events[rest % events.length];
                played.add(event);
                walk.play(event);
                fault = walk.fault(event);
            }
            if (fault != null) {
                assertThat(fault).as(played.toString()).isNull();
            }
        }
    }
}
