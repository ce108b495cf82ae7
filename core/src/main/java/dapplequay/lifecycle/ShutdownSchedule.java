package dapplequay.lifecycle;

/**
 * How an ending that was ordered spends its time. The platform starts the successor at a fixed moment, not when its
 * predecessor has left, so that an early end serves nobody: clients go on using the connections that they have, and
 * these stay open for as long as what comes on them can still be answered before the process is ended by force. Pure;
 * microseconds from the order on.
 *
 * @param acceptUntilUs  for so long new connections may come; an end sooner than this would turn them away
 * @param keepAliveUntilUs for so long nothing changes for who has a connection; then connections are to go
 * @param answerUntilUs  until then what is held may be answered; what is left then fails, better told than cut off
 */
public record ShutdownSchedule(long acceptUntilUs, long keepAliveUntilUs, long answerUntilUs) {
    /** New connections come for 0.4 s after the order, at their most. */
    private static final long ACCEPT_US = 550_000;
    /** The process is ended by force no sooner than the longest deadline, counted as no more than this, ... */
    private static final long MAX_COUNTED_DEADLINE_US = 3_000_000;
    /** ... and this after the order. */
    private static final long KILL_MARGIN_US = 700_000;
    /** What is left then has three parts: for the last failures to reach their clients, ... */
    private static final long FAILURE_DELIVERY_US = 100_000;
    /** ... for the steps behind them, whatever of these stands still, ... */
    private static final long CLEANUP_US = 50_000;
    /** ... and for the exit alone. */
    private static final long EXIT_US = 100_000;
    /** Of the shortest aim: what the last requests have. Most are answered in less; whoever is not, fails. */
    private static final double FINAL_REQUESTS_AIM_SHARE = 0.5;

    /** {@code shortestAimUs}, {@code longestDeadlineUs}: of all classes. */
    public static ShutdownSchedule of(long shortestAimUs, long longestDeadlineUs) {
        long answerUntilUs = Math.min(longestDeadlineUs, MAX_COUNTED_DEADLINE_US) + KILL_MARGIN_US
                - FAILURE_DELIVERY_US - CLEANUP_US - EXIT_US;
        long keepAliveUntilUs = Math.max(ACCEPT_US, answerUntilUs - (long) (FINAL_REQUESTS_AIM_SHARE * shortestAimUs));
        return new ShutdownSchedule(ACCEPT_US, keepAliveUntilUs, answerUntilUs);
    }

    /** Until then the failures of what was held may reach their clients; then connections are closed. */
    public long closeConnectionsAtUs() {
        return answerUntilUs + FAILURE_DELIVERY_US;
    }

    /** Whatever stands still then, the process has to go. */
    public long exitByUs() {
        return closeConnectionsAtUs() + CLEANUP_US;
    }

    /** The same where a successor has the clients already: nothing is waited for but what is held. */
    public ShutdownSchedule forHandover() {
        return new ShutdownSchedule(0, 0, answerUntilUs);
    }
}
