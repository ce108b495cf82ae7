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
        /** Of the waits for them, from a guess on: silence is told by it. */
        private double waitUs;
        /** Of answers alone. */
        private double tookUs;
        private int answers;

        private Times(double guessUs) {
            waitUs = guessUs;
        }

        private void add(long answerTookUs, long waitedUs) {
            waitUs += GAIN * (waitedUs - waitUs);
            tookUs += Math.max(GAIN, 1.0 / ++answers) * (answerTookUs - tookUs);
        }
    }

    /** The classes from now on; what is known of one stays. */
    void use(List<ServiceClass> classes) {
        classes.forEach(c -> byClass.putIfAbsent(c.name(), new Times(GUESS_SHARE * c.aimUs())));
    }

    /** An answer took so long by its server's doing; for the whole of it this side waited longer, or as long. */
    void answered(String serviceClass, long tookUs, long waitedUs) {
        byClass.get(serviceClass).add(tookUs, waitedUs);
    }

    /** How long an attempt usually waits for its whole answer, from its start on; the guess while none has come. */
    double usualWaitUs(String serviceClass) {
        return byClass.get(serviceClass).waitUs;
    }

    /** The mean of the class whose answers take longest, of those that were answered; 0: none was. */
    double slowestUs() {
        return byClass.values().stream().mapToDouble(times -> times.tookUs).max().orElse(0);
    }
}
