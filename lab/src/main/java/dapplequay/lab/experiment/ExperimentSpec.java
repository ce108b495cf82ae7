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
 * One experiment as a file describes it: fleet, faults, load, sidecars and what is compared.
 *
 * @param connectionsMax open client connections, all sidecars together
 */
public record ExperimentSpec(String title, FleetSpec fleet, List<FaultSpec> faults, Profile load,
                             SidecarsSpec sidecars, List<Wave> waves, List<Variant> variants, long seed,
                             int repeat, int connectionsMax) {
    /**
     * The sidecars, and the settings that each is given.
     *
     * @param memoryMb     resident memory over which a sidecar counts as killed
     * @param sockets      descriptors that a sidecar may hold, enforced
     * @param drainGraceUs how long after a drain was told new work may still go to the host
     */
    public record SidecarsSpec(int count, int memoryMb, int sockets, int sendCap, boolean secondCopies,
                               long connectTimeoutUs, long drainGraceUs, double crossZonePrice) { }

    /** Reads a whole file; its faults are told as InvalidFileException, unknown keys among them. */
    public static ExperimentSpec read(Path file, Long seedGiven) {
        TomlFile doc = TomlFile.read(file);
        ExperimentSpec spec = read(doc, file.toAbsolutePath().getParent(), seedGiven);
        doc.rejectUnknownKeys();
        return spec;
    }

    private static ExperimentSpec read(TomlFile doc, Path folder, Long seedGiven) {
        TomlFile.Table root = doc.root();
        TomlFile.Table run = root.table("run");
        long seed = seedGiven != null ? seedGiven : run.integer("seed", 1, 0, Integer.MAX_VALUE);
        if (seedGiven != null) {
            run.has("seed");
        }
        TomlFile.Table s = root.table("sidecars");
        SidecarsSpec sidecars = new SidecarsSpec(s.integer("count", 4, 1, 500), s.integer("memory_mb", 192, 16, 65536),
                s.integer("sockets", 1024, 64, 1_000_000), s.integer("send_cap", 3, 1, 10),
                s.bool("second_copies", true), s.durationUs("connect_timeout", 250_000),
                s.durationUs("drain_grace", 2_500_000), s.number("cross_zone_price", 0.03, 0, 1));
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
