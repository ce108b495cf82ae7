package dapplequay.lab.experiment;

import java.util.ArrayList;
import java.util.List;

/** When each sidecar ran, and how each life ended. Times are Unix microseconds. */
public final class Lives {
    /** How a life ended. */
    public enum End {
        /** It has not. */
        NONE,
        /** Told to end, it ended by itself. */
        IN_ORDER,
        /** Killed by the experiment. */
        KILLED,
        /** It ended though nobody had told it to. */
        CRASHED
    }

    /** One life. {@code toldUs}: when it was told to end, or 0. */
    public static final class Life {
        public final int sidecar;
        public final long startUs;
        public long readyUs;
        public long toldUs;
        public long endUs = Long.MAX_VALUE;
        public End end = End.NONE;
        public long cpuUs;
        /** Of that, what its start took. */
        public long startCpuUs;
        public long mostMemoryKb;

        public Life(int sidecar, long startUs) {
            this.sidecar = sidecar;
            this.startUs = startUs;
        }
    }

    private final List<Life> all = new ArrayList<>();

    public synchronized Life begin(int sidecar, long atUs) {
        Life life = new Life(sidecar, atUs);
        all.add(life);
        return life;
    }

    public synchronized List<Life> all() {
        return List.copyOf(all);
    }

    /** The life of this sidecar that was under way at this time, or null. */
    public synchronized Life at(int sidecar, long us) {
        Life found = null;
        for (Life life : all) {
            if (life.sidecar == sidecar && life.startUs <= us && us <= life.endUs) {
                found = life;
            }
        }
        return found;
    }
}
