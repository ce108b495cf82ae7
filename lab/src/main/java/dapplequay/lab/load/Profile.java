package dapplequay.lab.load;

import dapplequay.lab.text.TomlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A load profile: service classes, tenants, arrival rate and client behaviour. Times are in microseconds.
 *
 * @param ratePerS      first tries a second, all targets together
 * @param durationUs         length of the run
 * @param trace         file of arrivals, or null
 * @param services      classes; empty: plain requests without the project's headers
 * @param targetSkew    how unevenly targets are loaded: the share of target i is 1 / (i + 1)^skew
 * @param retries       retries that a client makes by itself
 * @param retryWaitUs   its least wait before a retry
 * @param retriesMarked whether a client marks its retries
 * @param minPatienceShare least share of the deadline that a client waits; drawn between this and 1
 * @param timeoutUs     how long a client waits for the answer to a plain request
 * @param objects       number of objects that requests can be about; 0: requests name no object
 * @param objectSkew    popularity of objects: the share of object i is 1 / (i + 1)^skew
 * @param lagBoundUs    the generator counts as behind where the 99th percentile of its send lag is over this
 */
public record Profile(double ratePerS, long durationUs, Shape shape, Path trace, List<Service> services,
                      List<Tenant> tenants, double targetSkew, int retries, long retryWaitUs,
                      boolean retriesMarked, double minPatienceShare, long timeoutUs, int objects, double objectSkew,
                      long lagBoundUs) {
    /** One service class. {@code repeats} is retryable, dedup or fragile. */
    public record Service(String name, double share, long minWorkUs, long maxWorkUs, long aimUs,
                          long deadlineUs, double worth, double lateWorth, String repeats, String group,
                          long windowUs) {
        public boolean isKeyed() {
            return repeats.equals("dedup");
        }

        public boolean isRetryable() {
            return repeats.equals("retryable");
        }
    }

    /** A tenant: {@code share} is the share due to it, {@code load} its weight among the arrivals. */
    public record Tenant(String name, double share, double load) { }

    /** Returns a profile of plain {@code GET /} requests at this rate. */
    public static Profile plain(double ratePerS, long durationUs) {
        return new Profile(ratePerS, durationUs, Shape.plain(Shape.Kind.STEADY), null, List.of(), List.of(), 0, 0, 0,
                false, 1, 10_000_000, 0, 0, 10_000);
    }

    /** Returns a copy with another rate and duration. */
    public Profile withRateFor(double newRate, long newDurationUs) {
        return new Profile(newRate, newDurationUs, shape, trace, services, tenants, targetSkew, retries, retryWaitUs,
                retriesMarked, minPatienceShare, timeoutUs, objects, objectSkew, lagBoundUs);
    }

    /** Reads the table {@code [load]}; the trace file is resolved against {@code traceFolder}. */
    public static Profile read(TomlFile.Table load, Path traceFolder) {
        List<Service> services = new ArrayList<>();
        for (TomlFile.Table table : load.tables("class")) {
            List<Double> work = table.numbers("work_ms", List.of(77.0, 140.0));
            if (work.size() != 2 || !(work.get(0) > 0) || work.get(1) < work.get(0)) {
                throw table.error("work_ms", "must hold the least and the most work in ms");
            }
            long aim = table.durationUs("aim", 600_000);
            long deadline = table.durationUs("deadline", 2_000_000);
            if (aim <= 0 || deadline < aim) {
                throw table.error("deadline", "must not come before the aim, nor either be 0");
            }
            services.add(new Service(table.string("name"), table.number("share", 1, 0, 1),
                    Math.round(work.get(0) * 1e3), Math.round(work.get(1) * 1e3), aim, deadline,
                    table.number("worth", 1, 0, 1e6), table.number("late_worth", 0.25, 0, 1),
                    table.oneOf("repeats", "dedup", List.of("retryable", "dedup", "fragile")),
                    table.oneOf("group", "cell", List.of("all", "zone", "cell")),
                    table.durationUs("window", 4_000_000)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (TomlFile.Table table : load.tables("tenant")) {
            double share = table.number("share", 1, 0, 1);
            tenants.add(new Tenant(table.string("name"), share, table.number("load", share, 0, 1000)));
        }
        Shape shape = Shape.read(load);
        Path trace = shape.kind() == Shape.Kind.TRACE ? traceFolder.resolve(load.string("trace")) : null;
        return new Profile(load.number("rate", 100, 0.001, 1e6), load.durationUs("for", 10_000_000), shape, trace,
                services, tenants, load.number("target_skew", 0, 0, 5), load.integer("retries", 0, 0, 10),
                load.durationUs("retry_wait", 300_000), load.bool("retries_marked", true),
                load.number("patience", 0.7, 0.01, 1), load.durationUs("timeout", 10_000_000),
                load.integer("objects", 0, 0, 1_000_000), load.number("object_skew", 0.8, 0, 5),
                load.durationUs("lag_bound", 10_000));
    }
}
