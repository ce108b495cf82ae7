package dapplequay.cli;

import dapplequay.http.Sockets;
import dapplequay.net.Sidecar;
import dapplequay.recovery.Beginning;
import dapplequay.settings.Json;
import dapplequay.snapshot.StateFolder;
import dapplequay.state.Snapshot;
import dapplequay.time.UnixClock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A sidecar that begins with what the life before was told, where the operators name a folder for it. */
final class KeptState {
    private static final Logger LOG = Logger.getLogger(KeptState.class.getName());

    private final Path path;
    private final UnixClock clock = new UnixClock();
    private StateFolder folder;

    private KeptState(Path path) {
        this.path = path;
    }

    /** {@code path} may be null: nothing is kept. */
    static KeptState in(Path path) {
        return new KeptState(path);
    }

    /** The sidecar, not started yet; IOException where the platform's list is no good. */
    Sidecar begin(Sidecar.Options plan) throws IOException {
        if (path == null) {
            return new Sidecar(plan);
        }
        folder = new StateFolder(path, "sidecar-" + Sockets.text(plan.listen()).replaceAll("[^0-9.]", "-"), clock);
        Snapshot kept = folder.read();
        Object tree = kept == null ? null : tree(kept);
        long now = clock.getAsLong();
        Beginning.Known own = tree == null ? null : new Beginning.Known(revision(tree), kept.takenUs());
        Beginning beginning = Beginning.choose(revision(plan.knownList()), own, now, Sidecar.versionValidityUs());
        Sidecar.ListPersistence memory = new Sidecar.ListPersistence(beginning.binds(), folder::keep);
        if (beginning.from() != Beginning.From.KEPT) {
            return new Sidecar(plan, memory);
        }
        LOG.log(Level.INFO, "begins with the list kept {0} s ago, version {1}{2}", new Object[] {
            (now - kept.takenUs()) / 1_000_000, revision(tree).toString(),
            beginning.binds() ? "" : "; discovery may be older"});
        try {
            return new Sidecar(plan.withKnownList(tree), memory);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "the kept list is no good here and not used: {0}", e.toString());
            return new Sidecar(plan, new Sidecar.ListPersistence(false, folder::keep));
        }
    }

    private static Object tree(Snapshot kept) {
        try {
            Object tree = Json.parse(kept.list());
            if (revision(tree) != null) {
                return tree;
            }
            LOG.warning("the kept list has no version and is not used");
        } catch (IOException e) {
            LOG.log(Level.WARNING, "the kept list is not used: {0}", e.getMessage());
        }
        return null;
    }

    private static Long revision(Object list) {
        return list instanceof Map<?, ?> map && map.get("rev") instanceof Number number ? number.longValue() : null;
    }

    /** Writes what is not written yet. */
    void end() throws InterruptedException {
        if (folder != null) {
            folder.close();
        }
    }
}
