package dapplequay.facade;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.facade.ListNews.Kind;
import dapplequay.facade.ListNews.Line;
import dapplequay.facade.ListNews.State;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class FacadeTest {
    private static final Call PAY = new Call(0, 0, "k", 900_000, 0, false);

    private final AtomicLong now = new AtomicLong(1_000_000_000L);
    private Facade facade;

    @BeforeEach
    void start() throws IOException {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        facade = new Facade(SettingsReader.of(example.get("settings"), "example").settings(), 7, now::get, line -> { });
        news(Kind.RESTORED, "north", State.SERVING);
    }

    private void news(Kind kind, String zone, State state) {
        facade.news(new ListNews(kind, List.of(new Line("s1", zone, 1, state, 1, 0))));
    }

    @Test
    void sendsUntilTheModuleGivesUpAndNumbersTheLegs() {
        facade.news(new ListNews(Kind.CHANGES, List.of(new Line("s2", "north", 1, State.SERVING, 1, 0))));
        Decision.Send first = (Decision.Send) facade.pick(1, PAY);
        assertThat(first.leg()).isZero();
        assertThat(first.timeoutUs()).isEqualTo(900_000);
        Decision.Send second = (Decision.Send) facade.report(1, 0, first.host(), LegEnd.TURNED_AWAY, 1, false, null);
        assertThat(second.leg()).isOne();
        assertThat(second.host()).isNotEqualTo(first.host());
        assertThat(facade.report(1, 1, second.host(), LegEnd.RESET, 1, false, null))
                .isEqualTo(new Decision.Fail());
    }

    @Test
    void restsOnceServedOrGone() {
        Decision.Send send = (Decision.Send) facade.pick(1, PAY);
        assertThat(facade.report(1, 0, send.host(), LegEnd.SERVED, 1, true, new HostLoad(0, 1)))
                .isEqualTo(new Decision.Rest());
        facade.pick(2, PAY);
        facade.clientGone(2);
        assertThat(facade.report(2, 0, send.host(), LegEnd.GIVEN_UP, 1, true, null)).isEqualTo(new Decision.Rest());
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
                facade.awaitWatch();
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
        facade.awaitWatch();
    }
}
