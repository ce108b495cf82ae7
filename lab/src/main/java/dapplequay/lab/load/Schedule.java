package dapplequay.lab.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * All arrivals of a run, drawn before it starts, so that nothing during the run changes what is due. The same
 * profile, number of targets and seed give the same schedule. Arrival times and request properties come from
 * separate random generators, so that a change of rate does not change the requests themselves.
 */
public record Schedule(List<Arrival> arrivals, int targets) {

    public static Schedule draw(Profile profile, int targets, long seed) {
        UniformRandomProvider timeRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 1);
        UniformRandomProvider requestRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 2);
        List<Arrival> arrivals = new ArrayList<>();
        double[] targetWeights = new double[Math.max(1, targets)];
        for (int i = 0; i < targetWeights.length; i++) {
            targetWeights[i] = Math.pow(i + 1, -profile.targetSkew());
        }
        double[] classWeights = profile.services().stream().mapToDouble(Profile.Service::share).toArray();
        double[] tenantWeights = profile.tenants().stream().mapToDouble(Profile.Tenant::load).toArray();
        ObjectPicker objects = new ObjectPicker(profile, seed);
        if (profile.trace() != null) {
            for (Trace.Line line : Trace.read(profile.trace(), profile)) {
                arrivals.add(arrival(profile, arrivals.size(), line.dueUs(), line.serviceIndex(), line.tenantIndex(),
                        pickIndex(targetWeights, requestRandom), line.workUs(), line.key(), objects.next(),
                        requestRandom));
            }
            return new Schedule(List.copyOf(arrivals), targets);
        }
        for (long due : drawDueTimes(profile, timeRandom)) {
            arrivals.add(arrival(profile, arrivals.size(), due, pickIndex(classWeights, requestRandom),
                    pickIndex(tenantWeights, requestRandom), pickIndex(targetWeights, requestRandom), -1, null,
                    objects.next(), requestRandom));
        }
        return new Schedule(List.copyOf(arrivals), targets);
    }

    private static List<Long> drawDueTimes(Profile profile, UniformRandomProvider random) {
        List<Long> dueTimes = new ArrayList<>();
        double gapUs = 1e6 / profile.ratePerS();
        if (profile.shape().kind() == Shape.Kind.STEADY) {
            for (int i = 0; i * gapUs < profile.durationUs(); i++) {
                dueTimes.add(Math.round(i * gapUs));
            }
            return dueTimes;
        }
        // Thinning of a Poisson process: draws at the highest rate, keeps each in proportion to the current rate.
        double maxMultiple = profile.shape().maxMultiple();
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        for (double at = gaps.sample() * gapUs / maxMultiple; at < profile.durationUs();
                at += gaps.sample() * gapUs / maxMultiple) {
            if (random.nextDouble() * maxMultiple < profile.shape().multipleAt(at / profile.durationUs())) {
                dueTimes.add(Math.round(at));
            }
        }
        return dueTimes;
    }

    private static Arrival arrival(Profile profile, int index, long dueUs, int serviceIndex, int tenantIndex,
                                   int targetIndex, long workUs, String key, String objectId,
                                   UniformRandomProvider random) {
        double workShare = random.nextDouble();
        long firstCallId = random.nextLong() >>> 8 << 4;
        double patienceShare = profile.minPatienceShare() + (1 - profile.minPatienceShare()) * random.nextDouble();
        String drawnKey = Long.toHexString(random.nextLong());
        if (profile.services().isEmpty()) {
            return new Arrival(index, dueUs, 0, -1, Math.max(0, targetIndex), 0, null, null, firstCallId, 1);
        }
        Profile.Service service = profile.services().get(serviceIndex);
        long work = workUs >= 0 ? workUs
                : Math.round(service.minWorkUs() + workShare * (service.maxWorkUs() - service.minWorkUs()));
        return new Arrival(index, dueUs, serviceIndex, tenantIndex, targetIndex, work,
                service.isKeyed() ? key == null ? drawnKey : key : null, objectId, firstCallId, patienceShare);
    }

    /** Draws object ids with Zipf popularity from a random generator of its own. */
    private static final class ObjectPicker {
        private final UniformRandomProvider random;
        private final double[] cumulativeWeights;

        ObjectPicker(Profile profile, long seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 3);
            cumulativeWeights = new double[profile.objects()];
            double sum = 0;
            for (int i = 0; i < cumulativeWeights.length; i++) {
                sum += Math.pow(i + 1, -profile.objectSkew());
                cumulativeWeights[i] = sum;
            }
        }

        /** Returns the next object id, or null if the profile has no objects. */
        String next() {
            if (cumulativeWeights.length == 0) {
                return null;
            }
            int at = Arrays.binarySearch(cumulativeWeights,
                    random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1]);
            return "o" + (at < 0 ? -at - 1 : at);
        }
    }

    /** Draws an index with probability proportional to its weight; -1 if there are no weights. */
    private static int pickIndex(double[] weights, UniformRandomProvider random) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    /** Returns one line of text for each arrival, to read or to compare two schedules. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        for (Arrival a : arrivals) {
            text.append(String.format(Locale.ROOT, "%d %d %d %d %d %d %s %x %.4f%n", a.index(), a.dueUs(),
                    a.serviceIndex(), a.tenantIndex(), a.targetIndex(), a.workUs(), a.idempotencyKey(),
                    a.firstCallId(), a.patienceShare()));
        }
        return text.toString();
    }
}
