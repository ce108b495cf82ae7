package dapplequay;

import dapplequay.BalancerApi.ServiceClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What answers take, by class: running means, from a first guess on. Times in microseconds. */
final class AnswerTimes {
    /** The first guess, as a share of the aim. */
    static final double GUESS_SHARE = 0.1;
    /** Weight of the newest answer in what its class takes. */
    private static final double GAIN = 0.03;

    private final Map<String, Times> byClass = new HashMap<>();

    private static final class Times {
        /** A guess at first, and slow to leave it: silence is told by it. */
        private double usualUs;
        /** The mean of answers alone. */
        private double seenUs;
        private int answers;

        private Times(double guessUs) {
            usualUs = guessUs;
        }

        private void add(long tookUs) {
            usualUs += GAIN * (tookUs - usualUs);
            seenUs += Math.max(GAIN, 1.0 / ++answers) * (tookUs - seenUs);
        }
    }

    /** The classes from now on; what is known of one stays. */
    void use(List<ServiceClass> classes) {
        classes.forEach(c -> byClass.putIfAbsent(c.name(), new Times(GUESS_SHARE * c.aimUs())));
    }

    void answered(String serviceClass, long tookUs) {
        byClass.get(serviceClass).add(tookUs);
    }

    /** What an answer usually takes in the class: the guess while none has come. */
    double usualUs(String serviceClass) {
        return byClass.get(serviceClass).usualUs;
    }

    /** The mean of the class whose answers take longest, of those that were answered; 0: none was. */
    double slowestUs() {
        return byClass.values().stream().mapToDouble(times -> times.seenUs).max().orElse(0);
    }
}
