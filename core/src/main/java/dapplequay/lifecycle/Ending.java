package dapplequay.lifecycle;

/**
 * How an ending that was ordered spends its time. The platform starts the successor at a fixed moment, not when its
 * predecessor has left, so that an early end serves nobody: clients go on using the connections that they have, and
 * these stay open for as long as what comes on them can still be answered before the process is ended by force. Pure;
 * microseconds from the order on.
 *
 * @param lateUs  for so long new connections may come; an end sooner than this would turn them away
 * @param serveUs for so long nothing changes for who has a connection; then connections are to go
 * @param heldUs  until then what is held may be answered; what is left then fails, better told than cut off
 */
public record Ending(long lateUs, long serveUs, long heldUs) {
    /** New connections come for 0.4 s after the order, at their most. */
    private static final long LATE_CONNECTIONS_US = 550_000;
    /** The process is ended by force no sooner than the longest deadline, counted as no more than this, ... */
    private static final long LONGEST_COUNTED_US = 3_000_000;
    /** ... and this after the order. */
    private static final long FORCED_AFTER_US = 700_000;
    /** What is left then has three parts: for the last failures to reach their clients, ... */
    private static final long LAST_FAILURES_US = 100_000;
    /** ... for the steps behind them, whatever of these stands still, ... */
    private static final long LAST_STEPS_US = 50_000;
    /** ... and for the exit alone. */
    private static final long EXIT_US = 100_000;
    /** Of the shortest aim: what the last requests have. Most are answered in less; whoever is not, fails. */
    private static final double LAST_SHARE = 0.5;

    /** {@code shortestAimUs}, {@code longestDeadlineUs}: of all classes. */
    public static Ending of(long shortestAimUs, long longestDeadlineUs) {
        long heldUs = Math.min(longestDeadlineUs, LONGEST_COUNTED_US) + FORCED_AFTER_US
                - LAST_FAILURES_US - LAST_STEPS_US - EXIT_US;
        long serveUs = Math.max(LATE_CONNECTIONS_US, heldUs - (long) (LAST_SHARE * shortestAimUs));
        return new Ending(LATE_CONNECTIONS_US, serveUs, heldUs);
    }

    /** Until then the failures of what was held may reach their clients; then connections are closed. */
    public long closedUs() {
        return heldUs + LAST_FAILURES_US;
    }

    /** Whatever stands still then, the process has to go. */
    public long latestUs() {
        return closedUs() + LAST_STEPS_US;
    }

    /** The same where a successor has the clients already: nothing is waited for but what is held. */
    public Ending handingOver() {
        return new Ending(0, 0, heldUs);
    }
}
