package dapplequay.lab.cli;

import dapplequay.lab.experiment.ExperimentSpec;
import dapplequay.lab.fleet.FaultSpec;
import dapplequay.lab.fleet.FleetSpec;
import dapplequay.lab.load.Profile;
import dapplequay.lab.text.InvalidFileException;
import dapplequay.lab.text.TomlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads a laboratory file, which holds a fleet, a load profile, or an experiment with both. */
final class LabFile {
    /** The parsed contents of a file; parts that the file lacks are null or empty. */
    record Parsed(FleetSpec fleet, List<FaultSpec> faults, Profile load, ExperimentSpec experiment) { }

    private LabFile() { }

    static Parsed read(Path file, Long seed) {
        TomlFile doc = TomlFile.read(file);
        boolean hasFleet = doc.root().has("fleet");
        boolean hasLoad = doc.root().has("load");
        if (hasFleet && hasLoad) {
            ExperimentSpec spec = ExperimentSpec.read(file, seed);
            return new Parsed(spec.fleet(), spec.faults(), spec.load(), spec);
        }
        if (hasFleet) {
            FleetSpec fleet = FleetSpec.read(doc.root().table("fleet"), 1, seed == null ? 1 : seed);
            List<FaultSpec> faults = new ArrayList<>();
            doc.root().tables("fault").forEach(table -> faults.add(FaultSpec.read(table, fleet)));
            doc.rejectUnknownKeys();
            return new Parsed(fleet, faults, null, null);
        }
        if (hasLoad) {
            Profile load = Profile.read(doc.root().table("load"), file.toAbsolutePath().getParent());
            doc.rejectUnknownKeys();
            return new Parsed(null, List.of(), load, null);
        }
        doc.rejectUnknownKeys();
        throw new InvalidFileException(file.toString(), 1, "", "holds neither [fleet] nor [load]");
    }
}
