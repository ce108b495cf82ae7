package dapplequay.facade;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.Balance;
import dapplequay.BalancerApi;
import dapplequay.facade.ListUpdate.Kind;
import dapplequay.facade.ListUpdate.ServerEntry;
import dapplequay.facade.ListUpdate.State;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import dapplequay.settings.SettingsReader.Setup;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class FacadeTest {
    private static final RequestInfo PAY = new RequestInfo("pay", "shop-a", "k", 900_000, 0, false);

    private final AtomicLong now = new AtomicLong(1_000_000_000L);
    private Facade facade;

    @BeforeEach
    void start() throws IOException {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        facade = new Facade(SettingsReader.of(example.get("settings"), "example"), 7, now::get, line -> { });
        news(Kind.RESTORED, "north", State.SERVING);
    }

    private void news(Kind kind, String zone, State state) {
        facade.applyListUpdate(new ListUpdate(kind, List.of(new ServerEntry("s1", zone, 1, state, 1, 0))));
    }

    @Test
    void numbersAttemptsUntilTheModuleFailsTheRequest() {
        facade.applyListUpdate(new ListUpdate(Kind.DELTA,
                List.of(new ServerEntry("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, PAY);
        assertThat(first.attempt()).isZero();
        assertThat(first.timeoutUs()).isEqualTo(900_000);
        Decision.Send second = (Decision.Send)
                facade.reportAttempt(1, 0, first.host(), AttemptEnd.TURNED_AWAY, 1, false, null);
        assertThat(second.attempt()).isOne();
        assertThat(second.host()).isNotEqualTo(first.host());
        assertThat(facade.reportAttempt(1, 1, second.host(), AttemptEnd.RESET, 1, false, null))
                .isEqualTo(new Decision.Fail());
    }

    /** The deduplication window of the example's keyed class is 4 s; 20 ms of it are reserved for the network. */
    @Test
    void aRetryHasALatestStartTime() {
        facade.applyListUpdate(new ListUpdate(Kind.DELTA,
                List.of(new ServerEntry("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, PAY);
        long sent = now.get();
        assertThat(first.beginByUs()).isEqualTo(Long.MAX_VALUE);
        now.addAndGet(100_000);
        Decision.Send second = (Decision.Send)
                facade.reportAttempt(1, 0, first.host(), AttemptEnd.RESET, 1, false, null);
        assertThat(second.beginByUs()).isEqualTo(sent + 3_980_000);
    }

    /** Such a request was once treated as one that may have run, because its host was no longer listed. */
    @Test
    void aStreamedRequestThatNeverRanIsRetriedAfterItsHostWasRemoved() {
        Decision.Send sent = (Decision.Send) facade.pick(1, STREAMED);
        facade.applyListUpdate(new ListUpdate(Kind.FULL,
                List.of(new ServerEntry("s2", "south", 2, State.SERVING, 1, 0))));
        assertThat(facade.reportAttempt(1, 0, sent.host(), AttemptEnd.NOT_CONNECTED, 1, false, null,
                RequestBodyState.STREAMING_REPLAYABLE))
                .isInstanceOf(Decision.Send.class);
    }

    @Test
    void takesNoActionOnceTheRequestIsServedOrTheClientIsGone() {
        Decision.Send send = (Decision.Send) facade.pick(1, PAY);
        assertThat(facade.reportAttempt(1, 0, send.host(), AttemptEnd.SERVED, 1, true, new HostLoad(0, 1)))
                .isEqualTo(new Decision.NoAction());
        facade.pick(2, PAY);
        facade.clientGone(2);
        assertThat(facade.reportAttempt(2, 0, send.host(), AttemptEnd.GIVEN_UP, 1, true, null))
                .isEqualTo(new Decision.NoAction());
    }

    @Test
    void refusesWithRetryAfterWhenAllHostsDrain() {
        news(Kind.DELTA, "north", State.DRAINING);
        assertThat(facade.pick(1, PAY)).isEqualTo(new Decision.Refuse(250_000));
    }

    @Test
    void anUpdateWithAnUnknownZoneChangesNothing() {
        assertThatThrownBy(() -> news(Kind.FULL, "nowhere", State.SERVING))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(facade.pick(1, PAY)).isInstanceOf(Decision.Send.class);
    }

    @Test
    @Timeout(30)
    void theListIsWantedWhenTheModulesTimerFires() throws Exception {
        Thread watch = new Thread(() -> {
            try {
                facade.awaitListWanted(Long.MAX_VALUE);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        watch.start();
        facade.tick();
        assertThat(watch.isAlive()).isTrue();
        now.addAndGet(10_000_000);
        facade.tick();
        watch.join();
        facade.applyListUpdate(ListUpdate.failed());
        now.addAndGet(10_000_000);
        facade.tick();
        facade.awaitListWanted(Long.MAX_VALUE);
    }

    /** If discovery is called before the module wants the list and answers, the list stays wanted without a timer. */
    @Test
    @Timeout(30)
    void theListStaysWantedAfterAnEarlyCallThatSucceeded() throws Exception {
        now.addAndGet(10_000_000);
        facade.tick();
        facade.awaitListWanted(Long.MAX_VALUE);
        facade.applyListUpdate(ListUpdate.failed());
        facade.awaitListWanted(0);
        news(Kind.DELTA, "north", State.SERVING);
        now.addAndGet(60_000_000);
        facade.tick();
        facade.awaitListWanted(Long.MAX_VALUE);
    }

    /**
     * With pushed lists the module never requests one, so the local agent was never called although its content counted
     * as announced. After a failed call the next one follows well within the drain grace.
     */
    @Test
    @Timeout(30)
    void aPushedListIsWantedFromTheStartAndSoonAfterAFailure() throws Exception {
        Setup pushed = changed("\"discovery\": \"on_request\"", "\"discovery\": \"pushed\"");
        facade = new Facade(pushed, 7, now::get, line -> { });
        facade.awaitListWanted(Long.MAX_VALUE);
        for (int i = 0; i < 20; i++) {
            facade.applyListUpdate(ListUpdate.failed());
            now.addAndGet(pushed.settings().discovery().drainGraceUs() / 8);
            facade.tick();
            facade.awaitListWanted(Long.MAX_VALUE);
        }
    }

    /** Returns the module with hooks that run, and may throw, before and after each call; they get the method name. */
    private static BalancerApi around(BalancerApi module, Consumer<String> before, Consumer<String> after) {
        return (BalancerApi) Proxy.newProxyInstance(BalancerApi.class.getClassLoader(),
                new Class<?>[] {BalancerApi.class}, (proxy, method, arguments) -> {
                    before.accept(method.getName());
                    Object result = method.invoke(module, arguments);
                    after.accept(method.getName());
                    return result;
                });
    }

    /** An exception of the module once left the request without an answer and lost the timer. */
    @Test
    @Timeout(30)
    void anExceptionOfTheModuleFailsOnlyTheCurrentRequest() throws Exception {
        AtomicBoolean broken = new AtomicBoolean();
        List<String> lines = new ArrayList<>();
        List<String> calls = new ArrayList<>();
        Setup setup = changed("\"send_cap\": 3", "\"send_cap\": 3");
        facade = new Facade(setup, 7, now::get, lines::add,
                actions -> around(new Balance(setup.settings(), 7, actions), call -> {
                    calls.add(call);
                    if (broken.get()) {
                        throw new IllegalStateException("broken at " + call);
                    }
                }, call -> { }));
        news(Kind.RESTORED, "north", State.SERVING);
        Decision.Send before = (Decision.Send) facade.pick(1, PAY);
        broken.set(true);
        assertThat(facade.pick(2, PAY)).isEqualTo(new Decision.Fail());
        assertThat(facade.reportAttempt(1, 0, before.host(), AttemptEnd.RESET, 1, false, null))
                .isEqualTo(new Decision.Fail());
        assertThat(facade.reportAttempt(1, 0, before.host(), AttemptEnd.SERVED, 1, true, null))
                .isEqualTo(new Decision.NoAction());
        facade.clientGone(1);
        assertThat(facade.hostsOutOfRotation()).isZero();
        assertThatThrownBy(() -> news(Kind.FULL, "north", State.SERVING)).isInstanceOf(IllegalStateException.class);
        now.addAndGet(10_000_000);
        assertThat(facade.tick()).isEmpty();
        assertThat(facade.moduleFaults()).isGreaterThan(8);
        assertThat(lines).as("one stack trace a second").hasSize(2);
        assertThat(lines.get(0)).startsWith(Facade.FAULT_PREFIX).contains("broken at request").contains("\tat ");
        broken.set(false);
        assertThat(facade.pick(3, PAY)).isInstanceOf(Decision.Send.class);
        calls.clear();
        now.addAndGet(1_000_000);
        facade.tick();
        assertThat(calls).as("the timer at which the module threw is delivered again").contains("timerFired");
        facade.awaitListWanted(Long.MAX_VALUE);
    }

    @Test
    void logLinesOfTheModuleAreLimitedToOneASecond() throws IOException {
        List<String> lines = new ArrayList<>();
        List<BalancerApi.Actions> module = new ArrayList<>();
        Setup setup = changed("\"send_cap\": 3", "\"send_cap\": 3");
        facade = new Facade(setup, 7, now::get, lines::add, actions -> {
            module.add(actions);
            return new Balance(setup.settings(), 7, actions);
        });
        for (int i = 0; i < 50; i++) {
            now.addAndGet(30_000);
            module.get(0).log("line " + i);
        }
        facade.tick();
        assertThat(lines).containsExactly("line 0", "line 34");
    }

    /** An exception during a change of the settings once left the facade and the module with different classes. */
    @Test
    void facadeAndModuleKeepTheSameSettingsWhenTheModuleThrows() throws IOException {
        Setup setup = changed("\"send_cap\": 3", "\"send_cap\": 3");
        facade = new Facade(setup, 7, now::get, line -> { },
                actions -> around(new Balance(setup.settings(), 7, actions), call -> { }, call -> {
                    if (call.equals("reconfigure")) {
                        throw new IllegalStateException("after it went over");
                    }
                }));
        news(Kind.RESTORED, "north", State.SERVING);
        facade.updateSettings(changed("\"name\": \"quote\"", "\"name\": \"ask\""));
        assertThat(facade.moduleFaults()).isOne();
        assertThat(facade.pick(1, new RequestInfo("ask", "shop-a", null, 900_000, 0, false)))
                .isInstanceOf(Decision.Send.class);
    }

    private static Setup changed(String find, String replace) throws IOException {
        String text = Files.readString(Path.of("example/config.json"));
        assertThat(text).contains(find);
        Map<?, ?> tree = (Map<?, ?>) Json.parse(text.replace(find, replace).getBytes(StandardCharsets.UTF_8));
        return SettingsReader.of(tree.get("settings"), "changed");
    }

    @Test
    void requestsInProgressKeepTheirSendCapAndNewOnesGetTheNewOne() throws IOException {
        facade.applyListUpdate(new ListUpdate(Kind.DELTA,
                List.of(new ServerEntry("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send before = (Decision.Send) facade.pick(1, PAY);
        facade.updateSettings(changed("\"send_cap\": 3", "\"send_cap\": 1"));
        assertThat(facade.reportAttempt(1, 0, before.host(), AttemptEnd.TURNED_AWAY, 1, false, null))
                .isInstanceOf(Decision.Send.class);
        Decision.Send after = (Decision.Send) facade.pick(2, PAY);
        assertThat(facade.reportAttempt(2, 0, after.host(), AttemptEnd.TURNED_AWAY, 1, false, null))
                .isInstanceOf(Decision.Refuse.class);
    }

    @Test
    void classesAreAddedRemovedAndChangedByName() throws IOException {
        Decision.Send quote = (Decision.Send)
                facade.pick(1, new RequestInfo("quote", "shop-a", null, 900_000, 0, false));
        facade.applyListUpdate(new ListUpdate(Kind.DELTA,
                List.of(new ServerEntry("s2", "north", 1, State.SERVING, 1, 0))));
        facade.updateSettings(changed("{\"name\": \"quote\", \"semantics\": \"retryable\"",
                "{\"name\": \"once\", \"semantics\": \"fragile\""));
        assertThat(facade.reportAttempt(1, 0, quote.host(), AttemptEnd.RESET, 1, false, null))
                .as("a request in progress keeps its class").isInstanceOf(Decision.Send.class);
        assertThat(facade.pick(2, new RequestInfo("quote", "shop-a", null, 900_000, 0, false)))
                .as("the class was removed").isInstanceOf(Decision.Refuse.class);
        Decision.Send once = (Decision.Send) facade.pick(3, new RequestInfo("once", "shop-a", null, 900_000, 0, false));
        assertThat(facade.reportAttempt(3, 0, once.host(), AttemptEnd.RESET, 1, false, null))
                .isEqualTo(new Decision.Fail());
    }

    @Test
    void invalidSettingsChangeNothing() throws IOException {
        Setup other = changed("\"zones\": [\"north\", \"south\"]", "\"zones\": [\"south\", \"north\"]");
        assertThatThrownBy(() -> facade.updateSettings(other)).isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("zones");
        assertThat(facade.pick(1, PAY)).isInstanceOf(Decision.Send.class);
    }

    @Test
    void drainingHostsCountAsOutOfRotation() {
        assertThat(facade.hostsOutOfRotation()).isZero();
        news(Kind.DELTA, "north", State.DRAINING);
        assertThat(facade.hostsOutOfRotation()).isOne();
        news(Kind.DELTA, "north", State.DELETED);
        assertThat(facade.hostsOutOfRotation()).isZero();
    }

    private static final RequestInfo STREAMED = new RequestInfo("pay", "shop-a", "k", 900_000, 0, false, true);

    @Test
    void aStreamedRequestIsRetriedOnlyWhileItsBodyIsReplayable() {
        facade.applyListUpdate(new ListUpdate(Kind.DELTA,
                List.of(new ServerEntry("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, STREAMED);
        assertThat(facade.reportAttempt(1, 0, first.host(), AttemptEnd.NOT_CONNECTED, 1, false, null,
                RequestBodyState.STREAMING_REPLAYABLE))
                .isInstanceOf(Decision.Send.class);
        Decision.Send other = (Decision.Send) facade.pick(2, STREAMED);
        assertThat(facade.reportAttempt(2, 0, other.host(), AttemptEnd.NOT_CONNECTED, 1, false, null,
                RequestBodyState.STREAMING_UNREPLAYABLE))
                .as("not replayable, never ran").isInstanceOf(Decision.Refuse.class);
        Decision.Send third = (Decision.Send) facade.pick(3, STREAMED);
        facade.requestBodySent(3);
        assertThat(facade.reportAttempt(3, 0, third.host(), AttemptEnd.RESET, 1, false, null,
                RequestBodyState.STREAMING_UNREPLAYABLE))
                .as("not replayable, may have run").isInstanceOf(Decision.Fail.class);
    }

    /** A client may send a body for a minute. The host's time to answer starts only after its last byte. */
    @Test
    void anIncompleteRequestBodyDoesNotCountAsSilenceOfTheHost() {
        facade.applyListUpdate(new ListUpdate(Kind.DELTA,
                List.of(new ServerEntry("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send sent = (Decision.Send) facade.pick(1, STREAMED);
        for (int i = 0; i < 600; i++) {
            now.addAndGet(100_000);
            assertThat(facade.tick()).isEmpty();
        }
        assertThat(facade.hostsOutOfRotation()).isZero();
        facade.requestBodySent(1);
        now.addAndGet(400_000);
        assertThat(facade.reportAttempt(1, 0, sent.host(), AttemptEnd.TURNED_AWAY, 1, false, null,
                RequestBodyState.STREAMING_UNREPLAYABLE))
                .isInstanceOf(Decision.Refuse.class);
        Decision.Send next = (Decision.Send) facade.pick(2, PAY);
        for (int i = 0; i < 20; i++) {
            now.addAndGet(100_000);
            if (!facade.tick().isEmpty()) {
                return;                         // silence after a buffered request is still detected
            }
        }
        throw new AssertionError("the silence of " + next.host() + " was not detected");
    }
}
