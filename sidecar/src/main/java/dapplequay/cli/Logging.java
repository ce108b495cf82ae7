package dapplequay.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** One line a record, on standard error. */
public final class Logging {
    /** Held for a reader of the log that is late. */
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

    /** Log lines of an ending in order would be lost, as the usual manager closes its handlers first. */
    public static final class KeepHandlersLogManager extends LogManager {
        @Override
        public void reset() {
            // The handlers stay until the process has ended.
        }
    }

    /** Waits, this long at the most, until what was logged is written: an exit would take it along. */
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

    /** Loggers are held weakly: without this the level would be lost with the logger. */
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
