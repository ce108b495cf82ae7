package dapplequay.lab.fleet;

import java.util.EnumMap;
import java.util.Map;

/** The faults that are on at one host. Of two of one kind at a time the later counts. */
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

    /** The strength of this fault, or what stands for its absence. */
    double amount(FaultSpec.Kind kind, double defaultAmount) {
        FaultSpec fault = active.get(kind);
        return fault == null ? defaultAmount : fault.amount();
    }

    /**
     * Whether this fault hits what has this name. The draw is made from the name and not from a generator, so that
     * what came before changes nothing. What a request costs is named by the request, and so is the same at every
     * host; what befalls a connection is named by request and host, as another attempt is another matter.
     */
    boolean hits(FaultSpec.Kind kind, String name) {
        FaultSpec fault = active.get(kind);
        return fault != null && uniformHash(name + kind.name()) < fault.shareOfRequests();
    }

    /** Evenly spread over 0 to 1, by name alone. */
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
