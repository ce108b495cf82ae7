package dapplequay.lifecycle;

/**
 * The phases of an ordered shutdown. The platform starts the successor at a fixed time, not when its predecessor has
 * exited, so an early exit helps nobody: clients keep using their connections, which stay open as long as a request on
 * them can still be answered before the platform kills the process. Times are microseconds since the shutdown was
 * ordered.
 *
 * @param acceptUntilUs    until when new connections are accepted; an earlier end would refuse some
 * @param keepAliveUntilUs until when open connections are kept alive; then idle ones are closed, and the others with
 *                         their next answer
 * @param answerUntilUs    until when pending requests may be answered; the rest then gets an error answer, which is
 *                         better for clients than a broken connection
 */
public record ShutdownSchedule(long acceptUntilUs, long keepAliveUntilUs, long answerUntilUs) {
    /** New connections arrive for at most 0.4 s after the order. */
    private static final long ACCEPT_US = 550_000;
    // The platform kills the process no sooner than its longest deadline, counted as at most MAX_COUNTED_DEADLINE_US,
    // plus KILL_MARGIN_US after the order.
    private static final long MAX_COUNTED_DEADLINE_US = 3_000_000;
    private static final long KILL_MARGIN_US = 700_000;
    // Three steps follow the last answers: error answers reach their clients, the process cleans up (cut short if a
    // step hangs), and it exits.
    private static final long FAILURE_DELIVERY_US = 100_000;
    private static final long CLEANUP_US = 50_000;
    private static final long EXIT_US = 100_000;
    /** Share of the shortest aim that the last requests get. Most are answered in less time; the others fail. */
    private static final double FINAL_REQUESTS_AIM_SHARE = 0.5;

    /** Returns the schedule for the shortest aim and the longest deadline of all service classes. */
    public static ShutdownSchedule of(long shortestAimUs, long longestDeadlineUs) {
        long answerUntilUs = Math.min(longestDeadlineUs, MAX_COUNTED_DEADLINE_US) + KILL_MARGIN_US
                - FAILURE_DELIVERY_US - CLEANUP_US - EXIT_US;
        long keepAliveUntilUs = Math.max(ACCEPT_US, answerUntilUs - (long) (FINAL_REQUESTS_AIM_SHARE * shortestAimUs));
        return new ShutdownSchedule(ACCEPT_US, keepAliveUntilUs, answerUntilUs);
    }

    /** Returns until when the last error answers may be written; then all connections are closed. */
    public long closeConnectionsAtUs() {
        return answerUntilUs + FAILURE_DELIVERY_US;
    }

    /** Returns when the process has to exit, even if a cleanup step hangs. */
    public long exitByUs() {
        return closeConnectionsAtUs() + CLEANUP_US;
    }

    /** Returns the schedule for when a successor already accepts the clients: only pending requests are waited for. */
    public ShutdownSchedule forHandover() {
        return new ShutdownSchedule(0, 0, answerUntilUs);
    }
}
