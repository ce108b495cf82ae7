package dapplequay.cli;

import dapplequay.http.Sockets;
import dapplequay.net.Sidecar;
import dapplequay.recovery.InitialList;
import dapplequay.settings.Json;
import dapplequay.snapshot.StateFolder;
import dapplequay.state.Snapshot;
import dapplequay.time.UnixClock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Creates a sidecar from the list that an earlier process saved, if the operators configure a state folder. */
final class PersistedState {
    private static final Logger LOG = Logger.getLogger(PersistedState.class.getName());

    private final Path folderPath;
    private final UnixClock clock = new UnixClock();
    private StateFolder folder;

    private PersistedState(Path folderPath) {
        this.folderPath = folderPath;
    }

    /** {@code folderPath} may be null: then no state is kept. */
    static PersistedState in(Path folderPath) {
        return new PersistedState(folderPath);
    }

    /** Creates the sidecar without starting it; IOException if the platform's list is invalid. */
    Sidecar createSidecar(Sidecar.Options options) throws IOException {
        if (folderPath == null) {
            return new Sidecar(options);
        }
        folder = new StateFolder(folderPath,
                "sidecar-" + Sockets.hostAndPort(options.listen()).replaceAll("[^0-9.]", "-"), clock);
        Snapshot snapshot = folder.read();
        Object list = snapshot == null ? null : parseList(snapshot);
        long now = clock.getAsLong();
        InitialList.KeptList keptList = list == null ? null
                : new InitialList.KeptList(revision(list), snapshot.takenUs());
        InitialList initialList = InitialList.choose(revision(options.knownList()), keptList, now,
                Sidecar.versionValidityUs());
        Sidecar.ListPersistence persistence = new Sidecar.ListPersistence(initialList.enforcesVersion(),
                folder::scheduleWrite);
        if (initialList.source() != InitialList.Source.KEPT) {
            return new Sidecar(options, persistence);
        }
        LOG.log(Level.INFO, "begins with the list kept {0} s ago, version {1}{2}", new Object[] {
            (now - snapshot.takenUs()) / 1_000_000, revision(list).toString(),
            initialList.enforcesVersion() ? "" : "; discovery may be older"});
        try {
            return new Sidecar(options.withKnownList(list), persistence);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "the kept list could not be applied and is not used: {0}", e.toString());
            return new Sidecar(options, new Sidecar.ListPersistence(false, folder::scheduleWrite));
        }
    }

    private static Object parseList(Snapshot snapshot) {
        try {
            Object list = Json.parse(snapshot.list());
            if (revision(list) != null) {
                return list;
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

    /** Writes a pending list and releases the folder. */
    void close() throws InterruptedException {
        if (folder != null) {
            folder.close();
        }
    }
}
