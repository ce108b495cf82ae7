package dapplequay.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** One line a record, on standard error. */
public final class Logs {
    private Logs() { }

    static void start(Level level) {
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(new Line());
        handler.setLevel(level);
        Logger root = Logger.getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger own = Logger.getLogger("dapplequay");
        own.setLevel(level);
        kept = own;
    }

    /** Log lines of an ending in order would be lost, as the usual manager closes its handlers first. */
    public static final class Kept extends LogManager {
        @Override
        public void reset() {
            // The handlers stay until the process has ended.
        }
    }

    /** Loggers are held weakly: without this the level would be lost with the logger. */
    private static Logger kept;

    private static final class Line extends Formatter {
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
