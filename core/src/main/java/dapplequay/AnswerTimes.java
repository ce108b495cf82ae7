package dapplequay;

import dapplequay.BalancerApi.ServiceClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How long answers take, by service class: running means that begin with a guess. Times in microseconds. */
final class AnswerTimes {
    /** The first guess, as a share of the target latency. */
    static final double GUESS_AIM_SHARE = 0.1;
    /** Weight of the newest answer in the means of its class. */
    private static final double GAIN = 0.03;

    private final Map<String, ClassTimes> byClass = new HashMap<>();

    private static final class ClassTimes {
        /** Mean wait for an answer, from the guess on; silent servers are recognised by it. */
        private double waitUs;
        /** Mean answer time, without the initial guess; 0: none received. */
        private double tookUs;
        private int answers;

        private ClassTimes(double guessUs) {
            waitUs = guessUs;
        }

        private void add(long answerTookUs, long waitedUs) {
            waitUs += GAIN * (waitedUs - waitUs);
            tookUs += Math.max(GAIN, 1.0 / ++answers) * (answerTookUs - tookUs);
        }
    }

    /** Sets the classes; classes that are known keep their means. */
    void configure(List<ServiceClass> classes) {
        classes.forEach(c -> byClass.putIfAbsent(c.name(), new ClassTimes(GUESS_AIM_SHARE * c.aimUs())));
    }

    /**
     * Counts an answer.
     *
     * @param tookUs the time that is due to the server
     * @param waitedUs the time for which this process waited for the whole answer; at least {@code tookUs}
     */
    void answered(String serviceClass, long tookUs, long waitedUs) {
        byClass.get(serviceClass).add(tookUs, waitedUs);
    }

    /** Returns how long an attempt usually waits for its whole answer; a guess before the first answer. */
    double usualWaitUs(String serviceClass) {
        return byClass.get(serviceClass).waitUs;
    }

    /** Returns the mean answer time of the class where it is longest; 0 if no request was answered. */
    double slowestUs() {
        return byClass.values().stream().mapToDouble(times -> times.tookUs).max().orElse(0);
    }
}
