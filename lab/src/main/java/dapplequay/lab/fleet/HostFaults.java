package dapplequay.lab.fleet;

import java.util.EnumMap;
import java.util.Map;

/** The active faults of one host. Of two overlapping faults of one kind the later one applies. */
final class HostFaults {
    private final Map<FaultSpec.Kind, FaultSpec> active = new EnumMap<>(FaultSpec.Kind.class);

    void begin(FaultSpec fault) {
        active.put(fault.kind(), fault);
    }

    void end(FaultSpec fault) {
        active.remove(fault.kind(), fault);
    }

    boolean has(FaultSpec.Kind kind) {
        return active.containsKey(kind);
    }

    /** Returns the amount of the active fault of this kind, or the default if there is none. */
    double amount(FaultSpec.Kind kind, double defaultAmount) {
        FaultSpec fault = active.get(kind);
        return fault == null ? defaultAmount : fault.amount();
    }

    /**
     * True if an active fault of this kind affects what has this name. The name is hashed, so that the result does not
     * depend on earlier draws. Work is drawn by request name, which makes it equal at every host; connection faults
     * are drawn by request and host, so that attempts at different hosts are independent.
     */
    boolean hits(FaultSpec.Kind kind, String name) {
        FaultSpec fault = active.get(kind);
        return fault != null && uniformHash(name + kind.name()) < fault.shareOfRequests();
    }

    /** Hashes a name to a value that is uniformly distributed over [0, 1). */
    static double uniformHash(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 31)) * 0x7fb5d329728ea185L;
        hash = (hash ^ (hash >>> 27)) * 0x81dadef4bc2dd44dL;
        return ((hash ^ (hash >>> 33)) >>> 11) * 0x1.0p-53;
    }
}
