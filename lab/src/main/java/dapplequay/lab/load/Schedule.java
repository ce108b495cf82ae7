package dapplequay.lab.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * All arrivals of a run, drawn ahead: nothing that happens in the run can change what is due. The same profile,
 * number of targets and seed give the same schedule. Times of arrival, classes and the rest come from separate
 * generators, so that another rate does not change what the requests are.
 */
public record Schedule(List<Arrival> arrivals, int targets) {

    public static Schedule draw(Profile profile, int targets, long seed) {
        UniformRandomProvider times = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 1);
        UniformRandomProvider what = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 2);
        List<Arrival> arrivals = new ArrayList<>();
        double[] targetShares = new double[Math.max(1, targets)];
        for (int i = 0; i < targetShares.length; i++) {
            targetShares[i] = Math.pow(i + 1, -profile.targetSkew());
        }
        double[] classShares = profile.services().stream().mapToDouble(Profile.Service::share).toArray();
        double[] tenantShares = profile.tenants().stream().mapToDouble(Profile.Tenant::load).toArray();
        Objects about = new Objects(profile, seed);
        if (profile.trace() != null) {
            for (Trace.Line line : Trace.read(profile.trace(), profile)) {
                arrivals.add(arrival(profile, arrivals.size(), line.dueUs(), line.service(), line.tenant(),
                        pick(targetShares, what), line.workUs(), line.key(), about.next(), what));
            }
            return new Schedule(List.copyOf(arrivals), targets);
        }
        for (long due : dues(profile, times)) {
            arrivals.add(arrival(profile, arrivals.size(), due, pick(classShares, what),
                    pick(tenantShares, what), pick(targetShares, what), -1, null, about.next(), what));
        }
        return new Schedule(List.copyOf(arrivals), targets);
    }

    private static List<Long> dues(Profile profile, UniformRandomProvider random) {
        List<Long> dues = new ArrayList<>();
        double gapUs = 1e6 / profile.ratePerS();
        if (profile.shape().kind() == Shape.Kind.STEADY) {
            for (int i = 0; i * gapUs < profile.forUs(); i++) {
                dues.add(Math.round(i * gapUs));
            }
            return dues;
        }
        // Independent arrivals at the highest rate, of which as many are kept as the rate of the moment asks for.
        double most = profile.shape().most();
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        for (double at = gaps.sample() * gapUs / most; at < profile.forUs(); at += gaps.sample() * gapUs / most) {
            if (random.nextDouble() * most < profile.shape().at(at / profile.forUs())) {
                dues.add(Math.round(at));
            }
        }
        return dues;
    }

    private static Arrival arrival(Profile profile, int number, long dueUs, int service, int tenant, int target,
                                   long workUs, String key, String about, UniformRandomProvider random) {
        double workShare = random.nextDouble();
        long call = random.nextLong() >>> 8 << 4;
        double patience = profile.patienceLeast() + (1 - profile.patienceLeast()) * random.nextDouble();
        String drawnKey = Long.toHexString(random.nextLong());
        if (profile.services().isEmpty()) {
            return new Arrival(number, dueUs, 0, -1, Math.max(0, target), 0, null, null, call, 1);
        }
        Profile.Service is = profile.services().get(service);
        long work = workUs >= 0 ? workUs
                : Math.round(is.workLeastUs() + workShare * (is.workMostUs() - is.workLeastUs()));
        return new Arrival(number, dueUs, service, tenant, target, work,
                is.isKeyed() ? key == null ? drawnKey : key : null, about, call, patience);
    }

    /** What requests are about, drawn apart from all else. */
    private static final class Objects {
        private final UniformRandomProvider random;
        private final double[] upTo;

        Objects(Profile profile, long seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 3);
            upTo = new double[profile.objects()];
            double sum = 0;
            for (int i = 0; i < upTo.length; i++) {
                sum += Math.pow(i + 1, -profile.objectSkew());
                upTo[i] = sum;
            }
        }

        /** The next one; null where requests are about nothing. */
        String next() {
            if (upTo.length == 0) {
                return null;
            }
            int at = Arrays.binarySearch(upTo, random.nextDouble() * upTo[upTo.length - 1]);
            return "o" + (at < 0 ? -at - 1 : at);
        }
    }

    /** A place by its share; -1 where there is none to pick. */
    private static int pick(double[] shares, UniformRandomProvider random) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < shares.length; i++) {
            at -= shares[i];
            if (at < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    /** One line an arrival, for people and for comparing two schedules. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Arrival a : arrivals) {
            text.append(String.format(Locale.ROOT, "%d %d %d %d %d %d %s %x %.4f%n", a.number(), a.dueUs(),
                    a.service(), a.tenant(), a.target(), a.workUs(), a.key(), a.call(), a.patience()));
        }
        return text.toString();
    }
}
