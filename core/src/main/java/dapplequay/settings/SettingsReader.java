package dapplequay.settings;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dapplequay.BalancerApi.ColdStart;
import dapplequay.BalancerApi.Discovery;
import dapplequay.BalancerApi.Group;
import dapplequay.BalancerApi.Limits;
import dapplequay.BalancerApi.Prices;
import dapplequay.BalancerApi.Semantics;
import dapplequay.BalancerApi.ServiceClass;
import dapplequay.BalancerApi.Settings;
import dapplequay.BalancerApi.Tenant;

/** Reads settings from a JSON object, {@code setup} in the simulator's messages. Unknown fields are ignored. */
public final class SettingsReader {
    /**
     * The settings, and what the network code needs beside them.
     *
     * @param classes the index in the settings of each service class, by name
     * @param tenants the index in the settings of each tenant, by name
     */
    public record Setup(Settings settings, Map<String, Integer> classes, Map<String, Integer> tenants,
                        long connectTimeoutUs, long connIdleUs) {
        /** Returns the longest deadline of all classes, microseconds; 0 if there are no classes. */
        public long longestDeadlineUs() {
            long longest = 0;
            for (ServiceClass serviceClass : settings.classes()) {
                longest = Math.max(longest, serviceClass.deadlineUs());
            }
            return longest;
        }

        /** Returns the shortest target latency of all classes, microseconds; 0 if there are no classes. */
        public long shortestAimUs() {
            return settings.classes().stream().mapToLong(ServiceClass::aimUs).min().orElse(0);
        }
    }

    /** Larger integers are rejected. As a time in microseconds this is some thirty years. */
    private static final long MAX_ABSOLUTE = 1_000_000_000_000_000L;

    // Only the network code uses these two settings, so they are optional and have cautious defaults.
    private static final long DEFAULT_CONNECT_TIMEOUT_US = 250_000;
    private static final long DEFAULT_CONN_IDLE_US = 10_000_000;
    /** Default for how long requests may still be sent to a draining host: close to not at all. */
    private static final long DEFAULT_DRAIN_GRACE_US = 100_000;

    private final String source;
    private final Map<String, Object> fields;

    private SettingsReader(String source, Map<String, Object> fields) {
        this.source = source;
        this.fields = fields;
    }

    /** Reads the object at the current token of the parser; see {@link #of} for {@code source}. */
    public static Setup read(JsonParser parser, String source) throws IOException {
        return of(Json.readValue(parser), source);
    }

    /** Reads a parsed object; throws SettingsException, whose message begins with {@code source}, if it is invalid. */
    @SuppressWarnings("unchecked")
    public static Setup of(Object tree, String source) {
        if (!(tree instanceof Map)) {
            throw new SettingsException(source + ": field setup must be an object");
        }
        return new SettingsReader(source, (Map<String, Object>) tree).setup();
    }

    private Setup setup() {
        List<String> zones = strings("zones");
        int ownZone = zones.indexOf(string("locality"));
        if (ownZone < 0) {
            throw invalid("locality", "is none of zones");
        }
        List<ServiceClass> classes = new ArrayList<>();
        Map<String, Integer> classIndex = new HashMap<>();
        for (SettingsReader service : objects("services")) {
            if (classIndex.put(service.string("name"), classes.size()) != null) {
                throw invalid("services", "names " + service.string("name") + " twice");
            }
            classes.add(service.serviceClass());
        }
        List<Tenant> tenants = new ArrayList<>();
        Map<String, Integer> tenantIndex = new HashMap<>();
        for (SettingsReader project : objects("projects")) {
            tenantIndex.put(project.string("name"), tenants.size());
            tenants.add(new Tenant(project.string("name"), project.decimal("share", 0),
                    project.decimal("quota_per_s", 0)));
        }
        SettingsReader limits = object("limits");
        SettingsReader guarantees = object("guarantees");
        SettingsReader prices = object("prices");
        boolean onRequest = choiceIndex("discovery", "pushed", "on_request") == 1;
        Settings settings = new Settings((int) integer("position"), (int) integer("balancers"), ownZone, zones,
                classes, tenants, decimal("over_share_worth", 1),
                new Discovery(onRequest, guarantees.integer("ask_within_us", 0),
                        guarantees.integer("drain_grace_us", DEFAULT_DRAIN_GRACE_US)),
                new Limits((int) limits.integer("send_cap"), limits.bool("may_cancel"),
                        limits.bool("second_copies"), limits.bool("probing"), limits.bool("retry_after"),
                        limits.integer("max_retry_after_us", 0)),
                new ColdStart(guarantees.decimal("cold_from"), guarantees.integer("warm_up_us"),
                        guarantees.decimal("tip_multiple"), guarantees.integer("tip_after_us")),
                new Prices(prices.decimal("cross_zone", 0), prices.decimal("waste", 0), prices.decimal("late_fail", 0),
                        prices.decimal("probe", 0), prices.decimal("handshake", 0)),
                fields.get("domain") != null && object("domain").fields.get("warm_keys") != null
                        && object("domain").bool("warm_keys"));
        return new Setup(settings, classIndex, tenantIndex,
                limits.integer("connect_timeout_us", DEFAULT_CONNECT_TIMEOUT_US),
                limits.integer("conn_idle_us", DEFAULT_CONN_IDLE_US));
    }

    private ServiceClass serviceClass() {
        Semantics semantics = Semantics.values()[choiceIndex("semantics", "retryable", "dedup", "fragile")];
        Group group = semantics == Semantics.DEDUP ? Group.values()[choiceIndex("group", "all", "zone", "cell")]
                : Group.ALL;
        return new ServiceClass(string("name"), integer("aim_us"), decimal("aim_stretch", 0), integer("deadline_us"),
                decimal("late_worth", 0), decimal("importance", 1), semantics, group, integer("window_us", 0),
                fields.get("stream") != null && bool("stream"));
    }

    private SettingsException invalid(String field, String problem) {
        return new SettingsException(source + ": setup field " + field + " " + problem);
    }

    private Object required(String field) {
        Object value = fields.get(field);
        if (value == null) {
            throw invalid(field, "is missing");
        }
        return value;
    }

    private <T> T typed(String field, Class<T> type) {
        Object value = required(field);
        if (!type.isInstance(value)) {
            throw invalid(field, "is of the wrong type");
        }
        return type.cast(value);
    }

    private String string(String field) {
        return typed(field, String.class);
    }

    private boolean bool(String field) {
        return typed(field, Boolean.class);
    }

    private double decimal(String field) {
        return typed(field, Number.class).doubleValue();
    }

    private double decimal(String field, double defaultValue) {
        return fields.get(field) == null ? defaultValue : decimal(field);
    }

    private long integer(String field) {
        Number number = typed(field, Number.class);
        if (number instanceof Double decimal && decimal != Math.rint(decimal)) {
            throw invalid(field, "must be a whole number");
        }
        if (!(Math.abs(number.doubleValue()) <= MAX_ABSOLUTE)) {
            throw invalid(field, "is out of range");
        }
        return number.longValue();
    }

    private long integer(String field, long defaultValue) {
        return fields.get(field) == null ? defaultValue : integer(field);
    }

    private int choiceIndex(String field, String... words) {
        int index = List.of(words).indexOf(string(field));
        if (index < 0) {
            throw invalid(field, "holds the unknown word " + fields.get(field));
        }
        return index;
    }

    private List<String> strings(String field) {
        List<String> strings = new ArrayList<>();
        for (Object name : typed(field, List.class)) {
            if (!(name instanceof String string)) {
                throw invalid(field, "must hold names");
            }
            strings.add(string);
        }
        return strings;
    }

    @SuppressWarnings("unchecked")
    private SettingsReader object(String field) {
        return new SettingsReader(source, (Map<String, Object>) typed(field, Map.class));
    }

    @SuppressWarnings("unchecked")
    private List<SettingsReader> objects(String field) {
        List<SettingsReader> objects = new ArrayList<>();
        if (fields.get(field) == null) {
            return objects;
        }
        for (Object object : typed(field, List.class)) {
            if (!(object instanceof Map)) {
                throw invalid(field, "must hold objects");
            }
            objects.add(new SettingsReader(source, (Map<String, Object>) object));
        }
        return objects;
    }
}
