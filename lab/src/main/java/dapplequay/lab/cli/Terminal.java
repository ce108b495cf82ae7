package dapplequay.lab.cli;

/** Prints progress to standard error: overwrites one line on a terminal, else prints a line at most every 5 s. */
final class Terminal {
    private static final long PLAIN_INTERVAL_NANOS = 5_000_000_000L;

    private final boolean isTerminal = System.console() != null;
    private String last = "";
    private long lastPrintNanos;

    synchronized void progress(String line) {
        if (isTerminal) {
            System.err.print("\r" + line + " ".repeat(Math.max(0, last.length() - line.length())));
            System.err.flush();
            last = line;
        } else if (lastPrintNanos == 0 || System.nanoTime() - lastPrintNanos >= PLAIN_INTERVAL_NANOS) {
            lastPrintNanos = System.nanoTime();
            System.err.println(line);
        }
    }

    synchronized void done() {
        if (isTerminal && !last.isEmpty()) {
            System.err.print("\r" + " ".repeat(last.length()) + "\r");
            last = "";
        }
    }
}
