package dapplequay.lab.experiment;

import dapplequay.lab.text.TomlFile;
import java.util.List;

/**
 * One of the configurations that an experiment compares. Settings that a variant omits come from the file.
 *
 * @param direct  whether clients bypass the sidecars and send each request to a randomly drawn host
 * @param command command that starts a sidecar, or null for the run line of deploy/balancer.toml
 * @param flags   arguments appended to the command
 * @param rate    requests per second, or 0 for the rate of the load
 * @param faults  whether the file's faults are applied
 */
public record Variant(String name, boolean direct, String command, List<String> flags, double rate,
                      boolean faults) {
    static Variant read(TomlFile.Table table) {
        String name = table.string("name");
        if (!name.matches("[A-Za-z0-9_.-]{1,40}")) {
            throw table.error("name", "must be 1 to 40 letters, digits, dots, dashes: " + name);
        }
        return new Variant(name, table.bool("direct", false), table.string("command", null),
                table.strings("flags", List.of()), table.number("rate", 0, 0, 1e6), table.bool("faults", true));
    }

    static Variant only() {
        return new Variant("sidecar", false, null, List.of(), 0, true);
    }
}
