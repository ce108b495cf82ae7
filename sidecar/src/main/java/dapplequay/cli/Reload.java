package dapplequay.cli;

import dapplequay.net.Sidecar;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Reloads the configuration at SIGHUP and applies it to the sidecar, all or nothing. Reloads run one after the other,
 * and each reads the file at that time, so that after several signals the last reload applies the latest file.
 */
final class Reload {
    private static final Logger LOG = Logger.getLogger(Reload.class.getName());

    private final Path file;
    private final Map<String, String> environment;
    private final Sidecar sidecar;
    private Map<?, ?> current;

    /** {@code current} is the parsed file with which the sidecar was started. */
    Reload(Path file, Map<String, String> environment, Sidecar sidecar, Map<?, ?> current) {
        this.file = file;
        this.environment = environment;
        this.sidecar = sidecar;
        this.current = current;
    }

    synchronized void run() {
        try {
            Map<?, ?> fields = Config.fields(file);
            List<String> restartOnly = sidecar.reload(Config.reread(file.toString(), fields, current, environment));
            current = fields;
            sidecar.recordReload(true);
            LOG.info("configuration read again" + (restartOnly.isEmpty() ? "" : "; these take a restart: "
                    + String.join(", ", restartOnly)));
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            // A file too large or too deeply nested causes Errors: the thread that watches the file must survive them.
            sidecar.recordReload(false);
            LOG.log(Level.WARNING, "configuration kept as it was: {0}",
                    String.valueOf(e.getMessage()).contains(file.toString()) ? e.getMessage()
                            : file + ": " + e.getMessage());
        }
    }
}
