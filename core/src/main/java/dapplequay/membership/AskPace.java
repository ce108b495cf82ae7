package dapplequay.membership;

import java.util.SplittableRandom;

/**
 * When one of many instances asks a discovery service that does not grow with them. Pure: no clock; pauses are in
 * microseconds. The first questions of all instances are spread over half of the time within which each has to ask,
 * by the instance's number; after a failure an instance backs off, doubling, with jitter over half of the pause.
 */
public final class AskPace {
    /** Share of ask_within over which the first questions are spread: the rest is room for failures. */
    private static final double SPREAD = 0.5;
    /** First pause after a failed question, us; doubles up to the spread. */
    private static final long BACKOFF_US = 1_000_000;
    private static final int MOST_DOUBLINGS = 10;

    private final long spreadUs;
    private final double turn;
    private final SplittableRandom random;
    private int failures;

    /** {@code turn}: from 0 up to 1, evenly spread over the instances. */
    public AskPace(long askWithinUs, double turn, SplittableRandom random) {
        spreadUs = (long) (askWithinUs * SPREAD);
        this.turn = turn;
        this.random = random;
    }

    /** The pause before the first question after a start, at least 1. */
    public long firstUs() {
        return 1 + (long) (spreadUs * turn);
    }

    /** Discovery answered. */
    public void answered() {
        failures = 0;
    }

    /** A question failed: the pause before the next one. */
    public long failedUs() {
        long pause = Math.min(BACKOFF_US << Math.min(failures++, MOST_DOUBLINGS), Math.max(1, spreadUs));
        return pause / 2 + random.nextLong(pause / 2 + 1);
    }
}
