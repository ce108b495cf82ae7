package dapplequay.lab.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the host model in simulated time with closed-form results of queueing theory. */
class QueueTheoryTest {
    private static final double MEAN_WORK_US = 10_000;

    /** Returns the mean time from a request's arrival to its end, in microseconds. */
    private static double meanTime(HostSpec spec, double load, int requests, long seed,
                                   java.util.function.Function<UniformRandomProvider, DoubleSupplier> work) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random,
                MEAN_WORK_US / (load * spec.fullCapacity()));
        DoubleSupplier works = work.apply(random);
        HostModel model = new HostModel(spec, random, 0, false);
        List<HostModel.RequestEnd> ended = new ArrayList<>();
        Map<Long, Double> arrivedAtUs = new HashMap<>();
        double now = 0;
        double sum = 0;
        long counted = 0;
        for (long id = 0; id < requests; id++) {
            now += gaps.sample();
            arrivedAtUs.put(id, Math.floor(now));
            model.offer((long) now, id, works.getAsDouble(), ended);
            for (HostModel.RequestEnd end : ended) {
                sum += end.atUs() - arrivedAtUs.remove(end.id());
                counted++;
            }
            ended.clear();
        }
        return sum / counted;
    }

    private static DoubleSupplier exponential(UniformRandomProvider random) {
        return ZigguratSampler.Exponential.of(random, MEAN_WORK_US)::sample;
    }

    @ParameterizedTest(name = "M/M/{0} at load {1}")
    @CsvSource({"1, 0.5", "1, 0.7", "1, 0.85", "4, 0.5", "4, 0.7", "4, 0.85"})
    void waitsMatchErlangC(int cores, double load) {
        double mean = meanTime(HostSpec.queue(cores), load, 1_500_000, 11, QueueTheoryTest::exponential);
        double wait = erlangC(cores, load) * MEAN_WORK_US / (cores * (1 - load));
        assertThat(mean - MEAN_WORK_US).isCloseTo(wait, withinPercentage(3));
    }

    /** Returns the probability that a request has to wait. */
    private static double erlangC(int cores, double load) {
        double offered = cores * load;
        double term = 1;
        double sum = 1;
        for (int k = 1; k < cores; k++) {
            term *= offered / k;
            sum += term;
        }
        double last = term * offered / cores / (1 - load);
        return last / (sum + last);
    }

    @ParameterizedTest(name = "M/G/1 at load {0}")
    @CsvSource({"0.5", "0.7"})
    void waitsMatchPollaczekKhinchine(double load) {
        // One request in ten costs nine times as much as the others, whose work is m: the mean is 1.8 m.
        double small = MEAN_WORK_US / 1.8;
        double secondMoment = small * small * (0.9 + 0.1 * 81);
        double mean = meanTime(HostSpec.queue(1), load, 1_500_000, 12,
                random -> () -> random.nextDouble() < 0.1 ? 9 * small : small);
        double wait = load / MEAN_WORK_US * secondMoment / (2 * (1 - load));
        assertThat(mean - MEAN_WORK_US).isCloseTo(wait, withinPercentage(5));
    }

    @ParameterizedTest(name = "processor sharing at load {0}")
    @CsvSource({"0.5", "0.7"})
    void processorSharingTimesDependOnlyOnTheMeanWork(double load) {
        HostSpec spec = new HostSpec.Builder().cores(1).slots(100_000).build();
        double small = MEAN_WORK_US / 1.8;
        double mean = meanTime(spec, load, 1_000_000, 13,
                random -> () -> random.nextDouble() < 0.1 ? 9 * small : small);
        assertThat(mean).isCloseTo(MEAN_WORK_US / (1 - load), withinPercentage(5));
    }
}
