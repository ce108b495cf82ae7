package dapplequay.membership;

import dapplequay.BalancerApi.Discovery;
import java.util.SplittableRandom;

/**
 * When an instance asks for the list. Pure: no clock; pauses are in microseconds. One of many asks a discovery service
 * that does not grow with them. Their first questions are spread over half of the time within which each has to ask, by
 * the instance's number; after a failure an instance backs off, doubling, with jitter over half of the pause. (On
 * sockets {@link ListCallTiming} goes before that: what discovery has counts as told soon after it is back.) An agent of its
 * own, to which lists are pushed, it asks at once: what the agent has counts as told, so that a pause after a
 * failed call takes from the drain's grace.
 */
public final class ListCallBackoff {
    /** Share of ask_within over which the first questions are spread: the rest is room for failures. */
    private static final double SPREAD = 0.5;
    /** First pause after a failed question, us; doubles up to the spread. */
    private static final long BACKOFF_US = 1_000_000;
    private static final int MOST_DOUBLINGS = 10;
    /** Share of the drain's grace that the longest pause of one who asks an agent takes: the rest is for the call. */
    private static final double AGENT_SHARE = 0.125;
    /** First pause after a failed call to an agent, us: that costs nobody anything. */
    private static final long AGENT_BACKOFF_US = 5_000;

    private final boolean asksService;
    private final long spreadUs;
    private final double turn;
    private final SplittableRandom random;
    private int failures;

    /** {@code turn}: from 0 up to 1, evenly spread over the instances. */
    public ListCallBackoff(Discovery discovery, double turn, SplittableRandom random) {
        asksService = discovery.onRequest();
        spreadUs = (long) (asksService ? discovery.askWithinUs() * SPREAD : discovery.drainGraceUs() * AGENT_SHARE);
        this.turn = turn;
        this.random = random;
    }

    /** The pause before the first question after a start, at least 1. */
    public long firstUs() {
        return asksService ? 1 + (long) (spreadUs * turn) : 1;
    }

    /** Discovery answered. */
    public void answered() {
        failures = 0;
    }

    /** A question failed: the pause before the next one. */
    public long failedUs() {
        long first = asksService ? BACKOFF_US : AGENT_BACKOFF_US;
        long pause = Math.min(first << Math.min(failures++, MOST_DOUBLINGS), Math.max(1, spreadUs));
        return pause / 2 + random.nextLong(pause / 2 + 1);
    }
}
