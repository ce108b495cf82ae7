package dapplequay.lab.experiment;

import java.util.ArrayList;
import java.util.List;

/** Records when each sidecar process ran and how it ended. Times are Unix microseconds. */
public final class Lifetimes {
    /** How a sidecar process ended. */
    public enum End {
        /** Still running. */
        NONE,
        /** Exited after SIGTERM. */
        GRACEFUL,
        /** Killed by the experiment, at once or because it did not exit in time after SIGTERM. */
        KILLED,
        /** Exited without having been signalled. */
        CRASHED
    }

    /** The lifetime of one process. {@code signalledUs} is when it was told to end, or 0. */
    public static final class Lifetime {
        public final int sidecar;
        public final long startUs;
        public long readyUs;
        public long signalledUs;
        public long endUs = Long.MAX_VALUE;
        public End end = End.NONE;
        public long cpuUs;
        /** Part of {@code cpuUs} that the process used until it was ready. */
        public long startCpuUs;
        public long peakMemoryKb;

        public Lifetime(int sidecar, long startUs) {
            this.sidecar = sidecar;
            this.startUs = startUs;
        }
    }

    private final List<Lifetime> all = new ArrayList<>();

    public synchronized Lifetime begin(int sidecar, long atUs) {
        Lifetime lifetime = new Lifetime(sidecar, atUs);
        all.add(lifetime);
        return lifetime;
    }

    public synchronized List<Lifetime> all() {
        return List.copyOf(all);
    }

    /** Returns the lifetime of this sidecar's process that was running at this time, or null. */
    public synchronized Lifetime at(int sidecar, long us) {
        Lifetime found = null;
        for (Lifetime lifetime : all) {
            if (lifetime.sidecar == sidecar && lifetime.startUs <= us && us <= lifetime.endUs) {
                found = lifetime;
            }
        }
        return found;
    }
}
