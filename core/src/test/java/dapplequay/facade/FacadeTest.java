package dapplequay.facade;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.Balance;
import dapplequay.BalancerApi;
import dapplequay.facade.ListNews.Kind;
import dapplequay.facade.ListNews.Line;
import dapplequay.facade.ListNews.State;
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
    private static final Call PAY = new Call("pay", "shop-a", "k", 900_000, 0, false);

    private final AtomicLong now = new AtomicLong(1_000_000_000L);
    private Facade facade;

    @BeforeEach
    void start() throws IOException {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        facade = new Facade(SettingsReader.of(example.get("settings"), "example"), 7, now::get, line -> { });
        news(Kind.RESTORED, "north", State.SERVING);
    }

    private void news(Kind kind, String zone, State state) {
        facade.news(new ListNews(kind, List.of(new Line("s1", zone, 1, state, 1, 0))));
    }

    @Test
    void sendsUntilTheModuleGivesUpAndNumbersTheAttempts() {
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, PAY);
        assertThat(first.attempt()).isZero();
        assertThat(first.timeoutUs()).isEqualTo(900_000);
        Decision.Send second = (Decision.Send) facade.report(1, 0, first.host(), AttemptEnd.TURNED_AWAY, 1, false, null);
        assertThat(second.attempt()).isOne();
        assertThat(second.host()).isNotEqualTo(first.host());
        assertThat(facade.report(1, 1, second.host(), AttemptEnd.RESET, 1, false, null))
                .isEqualTo(new Decision.Fail());
    }

    /** The window of the example's keyed class is 4 s, of which 20 ms are for the way. */
    @Test
    void aRepeatSaysUntilWhenItMayBegin() {
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, PAY);
        long sent = now.get();
        assertThat(first.beginByUs()).isEqualTo(Long.MAX_VALUE);
        now.addAndGet(100_000);
        Decision.Send second = (Decision.Send) facade.report(1, 0, first.host(), AttemptEnd.RESET, 1, false, null);
        assertThat(second.beginByUs()).isEqualTo(sent + 3_980_000);
    }

    /** A long request whose host has gone from the list meanwhile was taken for one that may have run. */
    @Test
    void aLongRequestThatNeverRanAtAHostThatIsGoneGoesElsewhere() {
        Decision.Send sent = (Decision.Send) facade.pick(1, LONG);
        facade.news(new ListNews(Kind.WHOLE, List.of(new Line("s2", "south", 2, State.SERVING, 1, 0))));
        assertThat(facade.report(1, 0, sent.host(), AttemptEnd.NOT_CONNECTED, 1, false, null, Upload.COMING))
                .isInstanceOf(Decision.Send.class);
    }

    @Test
    void restsOnceServedOrGone() {
        Decision.Send send = (Decision.Send) facade.pick(1, PAY);
        assertThat(facade.report(1, 0, send.host(), AttemptEnd.SERVED, 1, true, new HostLoad(0, 1)))
                .isEqualTo(new Decision.Rest());
        facade.pick(2, PAY);
        facade.clientGone(2);
        assertThat(facade.report(2, 0, send.host(), AttemptEnd.GIVEN_UP, 1, true, null)).isEqualTo(new Decision.Rest());
    }

    @Test
    void drainedListRefusesWithThePause() {
        news(Kind.CHANGES, "north", State.DRAINING);
        assertThat(facade.pick(1, PAY)).isEqualTo(new Decision.Refuse(250_000));
    }

    @Test
    void unknownZoneChangesNothing() {
        assertThatThrownBy(() -> news(Kind.WHOLE, "nowhere", State.SERVING))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(facade.pick(1, PAY)).isInstanceOf(Decision.Send.class);
    }

    @Test
    @Timeout(30)
    void watchIsWantedWhenTheModulesTimerSaysSo() throws Exception {
        Thread watch = new Thread(() -> {
            try {
                facade.awaitWatch(Long.MAX_VALUE);
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
        facade.news(ListNews.failed());
        now.addAndGet(10_000_000);
        facade.tick();
        facade.awaitWatch(Long.MAX_VALUE);
    }

    /** A call that was not put off as long as the module wanted brings a list: the watch goes on, timer or not. */
    @Test
    @Timeout(30)
    void aWatchThatWasTakenUpEarlyGoesOn() throws Exception {
        now.addAndGet(10_000_000);
        facade.tick();
        facade.awaitWatch(Long.MAX_VALUE);
        facade.news(ListNews.failed());
        facade.awaitWatch(0);
        news(Kind.CHANGES, "north", State.SERVING);
        now.addAndGet(60_000_000);
        facade.tick();
        facade.awaitWatch(Long.MAX_VALUE);
    }

    /**
     * Where lists are pushed the module asks for none: nobody ever called the agent, and all it had counted as told. A
     * call that failed is followed by another well within the grace of a drain.
     */
    @Test
    @Timeout(30)
    void pushedListIsWatchedFromTheStartAndSoonAgainAfterAFailure() throws Exception {
        Setup pushed = changed("\"discovery\": \"on_request\"", "\"discovery\": \"pushed\"");
        facade = new Facade(pushed, 7, now::get, line -> { });
        facade.awaitWatch(Long.MAX_VALUE);
        for (int i = 0; i < 20; i++) {
            facade.news(ListNews.failed());
            now.addAndGet(pushed.settings().discovery().drainGraceUs() / 8);
            facade.tick();
            facade.awaitWatch(Long.MAX_VALUE);
        }
    }

    /** The module, with something done, or thrown, before and after each call, by the call's name. */
    private static BalancerApi around(BalancerApi module, Consumer<String> before, Consumer<String> after) {
        return (BalancerApi) Proxy.newProxyInstance(BalancerApi.class.getClassLoader(),
                new Class<?>[] {BalancerApi.class}, (proxy, method, arguments) -> {
                    before.accept(method.getName());
                    Object result = method.invoke(module, arguments);
                    after.accept(method.getName());
                    return result;
                });
    }

    /** What the module threw left its caller without an answer, and its timers without their next turn. */
    @Test
    @Timeout(30)
    void whatTheModuleThrowsFailsTheRequestInHandAlone() throws Exception {
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
        assertThat(facade.report(1, 0, before.host(), AttemptEnd.RESET, 1, false, null)).isEqualTo(new Decision.Fail());
        assertThat(facade.report(1, 0, before.host(), AttemptEnd.SERVED, 1, true, null)).isEqualTo(new Decision.Rest());
        facade.clientGone(1);
        assertThat(facade.passedOver()).isZero();
        assertThatThrownBy(() -> news(Kind.WHOLE, "north", State.SERVING)).isInstanceOf(IllegalStateException.class);
        now.addAndGet(10_000_000);
        assertThat(facade.tick()).isEmpty();
        assertThat(facade.faults()).isGreaterThan(8);
        assertThat(lines).as("one a second").hasSize(2);
        assertThat(lines.get(0)).startsWith(Facade.FAULT).contains("broken at request").contains("\tat ");
        broken.set(false);
        assertThat(facade.pick(3, PAY)).isInstanceOf(Decision.Send.class);
        calls.clear();
        now.addAndGet(1_000_000);
        facade.tick();
        assertThat(calls).as("the timer that met the fault came again").contains("timerFired");
        facade.awaitWatch(Long.MAX_VALUE);
    }

    @Test
    void linesOfTheModuleComeOnceASecondAtMost() throws IOException {
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

    /** New settings whose taking over failed half-way left one side with the classes of the other. */
    @Test
    void settingsThatTheModuleChokesOnLeaveBothSidesWithTheSame() throws IOException {
        Setup setup = changed("\"send_cap\": 3", "\"send_cap\": 3");
        facade = new Facade(setup, 7, now::get, line -> { },
                actions -> around(new Balance(setup.settings(), 7, actions), call -> { }, call -> {
                    if (call.equals("reconfigure")) {
                        throw new IllegalStateException("after it went over");
                    }
                }));
        news(Kind.RESTORED, "north", State.SERVING);
        facade.retune(changed("\"name\": \"quote\"", "\"name\": \"ask\""));
        assertThat(facade.faults()).isOne();
        assertThat(facade.pick(1, new Call("ask", "shop-a", null, 900_000, 0, false)))
                .isInstanceOf(Decision.Send.class);
    }

    private static Setup changed(String find, String replace) throws IOException {
        String text = Files.readString(Path.of("example/config.json"));
        assertThat(text).contains(find);
        Map<?, ?> tree = (Map<?, ?>) Json.parse(text.replace(find, replace).getBytes(StandardCharsets.UTF_8));
        return SettingsReader.of(tree.get("settings"), "changed");
    }

    @Test
    void requestsUnderWayKeepTheirAttemptsAndNewOnesHaveTheNew() throws IOException {
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send before = (Decision.Send) facade.pick(1, PAY);
        facade.retune(changed("\"send_cap\": 3", "\"send_cap\": 1"));
        assertThat(facade.report(1, 0, before.host(), AttemptEnd.TURNED_AWAY, 1, false, null))
                .isInstanceOf(Decision.Send.class);
        Decision.Send after = (Decision.Send) facade.pick(2, PAY);
        assertThat(facade.report(2, 0, after.host(), AttemptEnd.TURNED_AWAY, 1, false, null))
                .isInstanceOf(Decision.Refuse.class);
    }

    @Test
    void classesComeGoAndBecomeStricterByName() throws IOException {
        Decision.Send quote = (Decision.Send) facade.pick(1, new Call("quote", "shop-a", null, 900_000, 0, false));
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        facade.retune(changed("{\"name\": \"quote\", \"semantics\": \"retryable\"",
                "{\"name\": \"once\", \"semantics\": \"fragile\""));
        assertThat(facade.report(1, 0, quote.host(), AttemptEnd.RESET, 1, false, null)).as("keeps its class")
                .isInstanceOf(Decision.Send.class);
        assertThat(facade.pick(2, new Call("quote", "shop-a", null, 900_000, 0, false))).as("gone")
                .isInstanceOf(Decision.Refuse.class);
        Decision.Send once = (Decision.Send) facade.pick(3, new Call("once", "shop-a", null, 900_000, 0, false));
        assertThat(facade.report(3, 0, once.host(), AttemptEnd.RESET, 1, false, null)).isEqualTo(new Decision.Fail());
    }

    @Test
    void settingsThatMakeNoSenseChangeNothing() throws IOException {
        Setup other = changed("\"zones\": [\"north\", \"south\"]", "\"zones\": [\"south\", \"north\"]");
        assertThatThrownBy(() -> facade.retune(other)).isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("zones");
        assertThat(facade.pick(1, PAY)).isInstanceOf(Decision.Send.class);
    }

    @Test
    void hostsThatDrainOrFailAreCountedAsPassedOver() {
        assertThat(facade.passedOver()).isZero();
        news(Kind.CHANGES, "north", State.DRAINING);
        assertThat(facade.passedOver()).isOne();
        news(Kind.CHANGES, "north", State.DELETED);
        assertThat(facade.passedOver()).isZero();
    }

    private static final Call LONG = new Call("pay", "shop-a", "k", 900_000, 0, false, true);

    @Test
    void aLongRequestGoesElsewhereOnlyWhileAllThatWentOutIsHeld() {
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, LONG);
        assertThat(facade.report(1, 0, first.host(), AttemptEnd.NOT_CONNECTED, 1, false, null, Upload.COMING))
                .isInstanceOf(Decision.Send.class);
        Decision.Send other = (Decision.Send) facade.pick(2, LONG);
        assertThat(facade.report(2, 0, other.host(), AttemptEnd.NOT_CONNECTED, 1, false, null, Upload.PASSED_ON))
                .as("never ran").isInstanceOf(Decision.Refuse.class);
        Decision.Send third = (Decision.Send) facade.pick(3, LONG);
        facade.uploaded(3);
        assertThat(facade.report(3, 0, third.host(), AttemptEnd.RESET, 1, false, null, Upload.PASSED_ON))
                .as("may have run").isInstanceOf(Decision.Fail.class);
    }

    /** A client may send for a minute: that is no silence of the host's, and the request's time begins after it. */
    @Test
    void anAttemptWhoseRequestIsStillComingIsNotTakenForASilentHosts() {
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send sent = (Decision.Send) facade.pick(1, LONG);
        for (int i = 0; i < 600; i++) {
            now.addAndGet(100_000);
            assertThat(facade.tick()).isEmpty();
        }
        assertThat(facade.passedOver()).isZero();
        facade.uploaded(1);
        now.addAndGet(400_000);
        assertThat(facade.report(1, 0, sent.host(), AttemptEnd.TURNED_AWAY, 1, false, null, Upload.PASSED_ON))
                .isInstanceOf(Decision.Refuse.class);
        Decision.Send next = (Decision.Send) facade.pick(2, PAY);
        for (int i = 0; i < 20; i++) {
            now.addAndGet(100_000);
            if (!facade.tick().isEmpty()) {
                return;                         // a short one's silence still shows
            }
        }
        throw new AssertionError("silence of " + next.host() + " went unseen");
    }
}
