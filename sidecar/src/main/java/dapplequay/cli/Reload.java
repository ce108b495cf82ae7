package dapplequay.cli;

import dapplequay.net.Sidecar;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Reads the configuration again at SIGHUP and has the sidecar go over to it, all or nothing. One reading after the
 * other, each of the file as it is by then: of many signals at once, the last reading finds the last file.
 */
final class Reload {
    private static final Logger LOG = Logger.getLogger(Reload.class.getName());

    private final Path file;
    private final Map<String, String> environment;
    private final Sidecar sidecar;
    private Map<?, ?> taken;

    /** {@code taken}: the file as the sidecar was started with. */
    Reload(Path file, Map<String, String> environment, Sidecar sidecar, Map<?, ?> taken) {
        this.file = file;
        this.environment = environment;
        this.sidecar = sidecar;
        this.taken = taken;
    }

    synchronized void run() {
        try {
            Map<?, ?> fields = Config.fields(file);
            List<String> kept = sidecar.reload(Config.reread(file.toString(), fields, taken, environment));
            taken = fields;
            sidecar.recordReload(true);
            LOG.info("configuration read again" + (kept.isEmpty() ? "" : "; these take a restart: "
                    + String.join(", ", kept)));
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            // Also a file too large or too deep to be read: the thread that watches the file must live on.
            sidecar.recordReload(false);
            LOG.log(Level.WARNING, "configuration kept as it was: {0}",
                    String.valueOf(e.getMessage()).contains(file.toString()) ? e.getMessage()
                            : file + ": " + e.getMessage());
        }
    }
}
