package dapplequay.membership;

import dapplequay.BalancerApi.Discovery;
import java.util.SplittableRandom;

/**
 * Computes the pauses before calls to discovery. Pure: no clock; pauses are in microseconds.
 *
 * <p>If all instances ask one discovery service, which does not grow with them, their first calls are spread by the
 * instance's number over half of the time within which each has to ask. After a failure an instance backs off
 * exponentially, with jitter over half of the pause. (On sockets {@link ListCallTiming} takes precedence, as what
 * discovery has counts as announced soon after it is back.)
 *
 * <p>An agent beside the instance, to which lists are pushed, is asked at once. What the agent has counts as announced,
 * so that a pause after a failed call uses up part of the drain's grace.
 */
public final class ListCallBackoff {
    /** Share of ask_within over which the first calls are spread; the rest is left for failures. */
    private static final double SPREAD_SHARE = 0.5;
    /** First pause after a failed call; it doubles up to the spread. */
    private static final long SERVICE_BACKOFF_US = 1_000_000;
    private static final int MAX_DOUBLINGS = 10;
    /** Share of the drain's grace that the longest pause before a call to an agent takes; the rest is for the call. */
    private static final double AGENT_GRACE_SHARE = 0.125;
    /** First pause after a failed call to an agent, whose calls are cheap. */
    private static final long AGENT_BACKOFF_US = 5_000;

    private final boolean asksService;
    private final long spreadUs;
    private final double position;
    private final SplittableRandom random;
    private int failures;

    /** @param position from 0 (inclusive) to 1 (exclusive), evenly spread over the instances */
    public ListCallBackoff(Discovery discovery, double position, SplittableRandom random) {
        asksService = discovery.onRequest();
        spreadUs = (long) (asksService ? discovery.askWithinUs() * SPREAD_SHARE
                : discovery.drainGraceUs() * AGENT_GRACE_SHARE);
        this.position = position;
        this.random = random;
    }

    /** Returns the pause before the first call after a start, at least 1. */
    public long firstUs() {
        return asksService ? 1 + (long) (spreadUs * position) : 1;
    }

    /** Discovery answered. */
    public void answered() {
        failures = 0;
    }

    /** Counts a failed call, and returns the pause before the next one. */
    public long failedUs() {
        long firstUs = asksService ? SERVICE_BACKOFF_US : AGENT_BACKOFF_US;
        long pauseUs = Math.min(firstUs << Math.min(failures++, MAX_DOUBLINGS), Math.max(1, spreadUs));
        return pauseUs / 2 + random.nextLong(pauseUs / 2 + 1);
    }
}
