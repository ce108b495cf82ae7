package dapplequay.lab.experiment;

import java.util.ArrayList;
import java.util.List;

/** When each sidecar ran, and how each life ended. Times are Unix microseconds. */
public final class Lifetimes {
    /** How a life ended. */
    public enum End {
        /** It has not. */
        NONE,
        /** Told to end, it ended by itself. */
        GRACEFUL,
        /** Killed by the experiment. */
        KILLED,
        /** It ended though nobody had told it to. */
        CRASHED
    }

    /** One life. {@code signalledUs}: when it was told to end, or 0. */
    public static final class Lifetime {
        public final int sidecar;
        public final long startUs;
        public long readyUs;
        public long signalledUs;
        public long endUs = Long.MAX_VALUE;
        public End end = End.NONE;
        public long cpuUs;
        /** Of that, what its start took. */
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

    /** The life of this sidecar that was under way at this time, or null. */
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
