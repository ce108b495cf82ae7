package dapplequay.net;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Logs failures that may be a lack of memory, in which logging may fail as well. */
final class Logs {
    private Logs() { }

    /** Logs the failure with its stack trace, or nothing if there is no memory for that. */
    static void severe(Logger log, String message, Throwable failure) {
        guarded(() -> log.log(Level.SEVERE, message, failure));
    }

    /** As {@link #severe}, but in one line. */
    static void severeLine(Logger log, String message, Throwable failure) {
        guarded(() -> log.log(Level.SEVERE, message + ": " + failure));
    }

    private static void guarded(Runnable logging) {
        try {
            logging.run();
        } catch (RuntimeException | Error e) {
            // The failure itself is handled by the caller; only its line is missing.
        }
    }
}
