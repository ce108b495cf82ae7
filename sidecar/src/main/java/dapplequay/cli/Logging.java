package dapplequay.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sets up logging to standard error, with one line for each record. */
public final class Logging {
    /** Bound of the characters that wait for a slow reader of the log. */
    private static final int MAX_QUEUED_CHARS = 1_000_000;

    private Logging() { }

    static void start(Level level) {
        LogWriter handler = new LogWriter(System.err, MAX_QUEUED_CHARS, new LineFormatter());
        handler.setLevel(level);
        handler.start();
        writer = handler;
        Logger root = Logger.getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger logger = Logger.getLogger("dapplequay");
        logger.setLevel(level);
        configuredLogger = logger;
    }

    /** Keeps handlers open at shutdown: the default manager closes them first and so loses the shutdown's log lines. */
    public static final class KeepHandlersLogManager extends LogManager {
        @Override
        public void reset() {
            // Handlers stay open until the process exits.
        }
    }

    /** Waits at most {@code maxWaitMs} until all logged lines are written, as an exit loses the others. */
    static void awaitWritten(long maxWaitMs) {
        try {
            if (writer != null) {
                writer.awaitWritten(maxWaitMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static volatile LogWriter writer;

    /** Keeps a strong reference: the log manager holds loggers weakly, and the level would be lost with this one. */
    private static Logger configuredLogger;

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord record) {
            StringBuilder line = new StringBuilder(128).append(record.getInstant()).append(' ')
                    .append(record.getLevel()).append(' ').append(formatMessage(record)).append('\n');
            if (record.getThrown() != null) {
                StringWriter trace = new StringWriter();
                record.getThrown().printStackTrace(new PrintWriter(trace, true));
                line.append(trace);
            }
            return line.toString();
        }
    }
}
