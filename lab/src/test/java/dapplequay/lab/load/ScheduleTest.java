package dapplequay.lab.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.assertj.core.api.Assertions.withinPercentage;

import dapplequay.lab.text.InvalidFileException;
import dapplequay.lab.text.TomlFile;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScheduleTest {
    private static Profile profile(String more) {
        TomlFile file = TomlFile.parse("p.toml", ("[load]|" + more
                + "|[[load.class]]|name = 'place-order'|[[load.class]]"
                + "|name = 'quote'|share = 0.5|repeats = 'retryable'|[[load.tenant]]|name = 'a'|share = 0.75"
                + "|[[load.tenant]]|name = 'b'|share = 0.25").replace("|", "\n"));
        Profile profile = Profile.read(file.root().table("load"), Path.of("."));
        file.rejectUnknownKeys();
        return profile;
    }

    private static long count(Schedule schedule, double fromS, double untilS) {
        return schedule.arrivals().stream()
                .filter(a -> a.dueUs() >= fromS * 1e6 && a.dueUs() < untilS * 1e6).count();
    }

    @Test
    void theSameSeedGivesTheIdenticalSchedule() {
        Profile profile = profile("rate = 300|for = '10s'|shape = 'wave'");
        assertThat(Schedule.draw(profile, 3, 9).toText()).isEqualTo(Schedule.draw(profile, 3, 9).toText());
        assertThat(Schedule.draw(profile, 3, 9).toText()).isNotEqualTo(Schedule.draw(profile, 3, 10).toText());
    }

    @Test
    void steadyArrivalsAreEvenlySpaced() {
        Schedule schedule = Schedule.draw(Profile.plain(500, 2_000_000), 1, 1);
        assertThat(schedule.arrivals()).hasSize(1000);
        assertThat(schedule.arrivals().get(999).dueUs()).isEqualTo(1_998_000);
    }

    @Test
    void poissonArrivalsHaveTheirRateAndVariance() {
        Schedule schedule = Schedule.draw(profile("rate = 1000|for = '40s'"), 1, 3);
        double sum = 0;
        double squares = 0;
        for (int second = 0; second < 40; second++) {
            long count = count(schedule, second, second + 1);
            sum += count;
            squares += (double) count * count;
        }
        double mean = sum / 40;
        assertThat(mean).isCloseTo(1000, withinPercentage(1.5));
        assertThat((squares / 40 - mean * mean) / mean).as("variance over mean is 1").isBetween(0.5, 1.6);
    }

    @Test
    void aClimbRisesAndASpikeMultipliesTheRate() {
        Schedule climb = Schedule.draw(profile("rate = 200|for = '30s'|shape = 'climb'|climb_to = 3"), 1, 4);
        assertThat(count(climb, 19, 21) / 2.0).isCloseTo(600, withinPercentage(12));
        assertThat(count(climb, 0, 2) / 2.0).isCloseTo(220, withinPercentage(20));
        Schedule spike = Schedule.draw(profile("rate = 200|for = '10s'|shape = 'spike'|spike_to = 5"), 1, 4);
        assertThat(count(spike, 4, 6) / 2.0).isCloseTo(1000, withinPercentage(10));
        assertThat(count(spike, 0, 4) / 4.0).isCloseTo(200, withinPercentage(15));
    }

    @Test
    void sharesAreKeptAndOnlyKeyedClassesGetIdempotencyKeys() {
        Schedule schedule = Schedule.draw(profile("rate = 2000|for = '10s'|target_skew = 1"), 2, 5);
        double all = schedule.arrivals().size();
        assertThat(schedule.arrivals().stream().filter(a -> a.serviceIndex() == 1).count() / all)
                .isCloseTo(1.0 / 3, within(0.02));
        assertThat(schedule.arrivals().stream().filter(a -> a.tenantIndex() == 0).count() / all)
                .isCloseTo(0.75, within(0.02));
        assertThat(schedule.arrivals().stream().filter(a -> a.targetIndex() == 0).count() / all)
                .isCloseTo(2.0 / 3, within(0.02));
        assertThat(schedule.arrivals()).allMatch(a -> (a.idempotencyKey() == null) == (a.serviceIndex() == 1));
        assertThat(schedule.arrivals()).allMatch(a -> a.workUs() >= 77_000 && a.workUs() <= 140_000);
        assertThat(schedule.arrivals().stream().map(Arrival::firstCallId).distinct().count()).isEqualTo((long) all);
    }

    @Test
    void aChangedRateKeepsTheWorkOfTheRequests() {
        Schedule slow = Schedule.draw(profile("rate = 50|for = '10s'"), 1, 5);
        Schedule fast = Schedule.draw(profile("rate = 100|for = '10s'"), 1, 5);
        for (int i = 0; i < slow.arrivals().size(); i++) {
            assertThat(fast.arrivals().get(i).workUs()).isEqualTo(slow.arrivals().get(i).workUs());
        }
    }

    @Test
    void aTraceIsReadLineByLine() {
        List<Trace.Line> lines = Trace.parse("t", List.of("# due", "", "0 place-order a 95.5 k1", "12.5 quote - - -"),
                profile("rate = 1"));
        assertThat(lines).containsExactly(new Trace.Line(0, 0, 0, 95_500, "k1"),
                new Trace.Line(12_500, 1, -1, -1, null));
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"9 place-order; t:2: must hold", "x quote a; t:2: due_ms is not a number",
        "-1 quote a; t:2: due_ms is not", "9 cancel a; t:2: class is none", "9 quote z; t:2: tenant is none",
        "9 quote a fast; t:2: work_ms is not", "9 quote a 1 k more; t:2: must hold", "4 quote a; t:2: due_ms runs back"})
    void anInvalidTraceLineIsReportedWithItsLineNumber(String line, String message) {
        assertThatThrownBy(() -> Trace.parse("t", List.of("5 quote a", line), profile("rate = 1")))
                .isInstanceOf(InvalidFileException.class).hasMessageStartingWith(message);
    }
}
