package dapplequay.lab.cli;

import dapplequay.lab.load.Trace;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Validates a laboratory file and prints what kind of file it is. */
public final class CheckCommand implements Command {
    @Argument(required = true, metaVar = "FILE.toml")
    private String file;

    @Override
    public int run() {
        LabFile.Parsed parsed = LabFile.read(Path.of(file), null);
        if (parsed.load() != null && parsed.load().trace() != null) {
            Trace.read(parsed.load().trace(), parsed.load());
        }
        System.out.println("good: " + (parsed.experiment() != null ? "an experiment of "
                + parsed.experiment().variants().size() + " variants" : parsed.fleet() != null
                ? "a fleet of " + parsed.fleet().hosts().size() + " hosts" : "a profile of a load"));
        return OK;
    }
}
