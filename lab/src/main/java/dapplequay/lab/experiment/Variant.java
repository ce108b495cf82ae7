package dapplequay.lab.experiment;

import dapplequay.lab.text.TomlFile;
import java.util.List;

/**
 * One of the things that an experiment compares. What a variant leaves out is as the file says for all.
 *
 * @param direct  no sidecars: clients send to the hosts themselves, each request to the one it is drawn for
 * @param command how a sidecar is started, or null: the run line of deploy/balancer.toml
 * @param flags   added to that command's end
 * @param rate    requests a second, or 0: as in the load
 * @param faults  whether the file's faults are played
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
