package dapplequay.lab.experiment;

import dapplequay.lab.fleet.FaultSpec;
import dapplequay.lab.fleet.FleetSpec;
import dapplequay.lab.load.Profile;
import dapplequay.lab.text.TomlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * An experiment as read from a file: fleet, faults, load, sidecars and the variants to compare.
 *
 * @param connectionsMax limit of open client connections, over all sidecars together
 */
public record ExperimentSpec(String title, FleetSpec fleet, List<FaultSpec> faults, Profile load,
                             SidecarsSpec sidecars, List<Wave> waves, List<Variant> variants, long seed,
                             int repeat, int connectionsMax) {
    /**
     * The number of sidecars and the settings that each gets.
     *
     * @param memoryMb     resident memory above which the judge reports a violation; not enforced
     * @param sockets      limit of file descriptors of a sidecar, enforced by {@code ulimit}
     * @param drainGraceUs time after a drain is announced in which new requests may still go to the host
     */
    public record SidecarsSpec(int count, int memoryMb, int sockets, int sendCap, boolean secondCopies,
                               long connectTimeoutUs, long drainGraceUs, double crossZonePrice) { }

    /**
     * Reads a file; throws InvalidFileException if it is invalid or has unknown keys. {@code seedOverride} may be
     * null.
     */
    public static ExperimentSpec read(Path file, Long seedOverride) {
        TomlFile doc = TomlFile.read(file);
        ExperimentSpec spec = read(doc, file.toAbsolutePath().getParent(), seedOverride);
        doc.rejectUnknownKeys();
        return spec;
    }

    private static ExperimentSpec read(TomlFile doc, Path folder, Long seedOverride) {
        TomlFile.Table root = doc.root();
        TomlFile.Table run = root.table("run");
        long seed = seedOverride != null ? seedOverride : run.integer("seed", 1, 0, Integer.MAX_VALUE);
        if (seedOverride != null) {
            run.has("seed");
        }
        TomlFile.Table sidecarsTable = root.table("sidecars");
        SidecarsSpec sidecars = new SidecarsSpec(
                sidecarsTable.integer("count", 4, 1, 500), sidecarsTable.integer("memory_mb", 192, 16, 65536),
                sidecarsTable.integer("sockets", 1024, 64, 1_000_000), sidecarsTable.integer("send_cap", 3, 1, 10),
                sidecarsTable.bool("second_copies", true), sidecarsTable.durationUs("connect_timeout", 250_000),
                sidecarsTable.durationUs("drain_grace", 2_500_000), sidecarsTable.number("cross_zone_price", 0.03, 0,
                        1));
        FleetSpec fleet = FleetSpec.read(root.table("fleet"), sidecars.count(), seed);
        if (fleet.views() < sidecars.count()) {
            throw root.table("fleet").error("views", "must not be fewer than the sidecars");
        }
        List<FaultSpec> faults = new ArrayList<>();
        for (TomlFile.Table table : root.tables("fault")) {
            faults.add(FaultSpec.read(table, fleet));
        }
        Profile load = Profile.read(root.table("load"), folder);
        if (load.services().isEmpty()) {
            throw root.table("load").error("class", "is missing: name at least one class under [[load.class]]");
        }
        List<Wave> waves = new ArrayList<>();
        for (TomlFile.Table table : root.tables("wave")) {
            waves.add(Wave.read(table));
        }
        List<Variant> variants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlFile.Table table : root.tables("variant")) {
            Variant variant = Variant.read(table);
            if (!names.add(variant.name())) {
                throw table.error("name", "is given twice: " + variant.name());
            }
            variants.add(variant);
        }
        if (variants.isEmpty()) {
            variants.add(Variant.only());
        }
        return new ExperimentSpec(run.string("title", ""), fleet, faults, load, sidecars, waves, variants, seed,
                run.integer("repeat", 1, 1, 1000), run.integer("connections_max", 4000, 1, 100_000));
    }
}
