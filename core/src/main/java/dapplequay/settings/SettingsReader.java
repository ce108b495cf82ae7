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

/** Turns a {@code setup} object into settings. Fields it does not know are passed over. */
public final class SettingsReader {
    /** Settings, and what the wire's names stand for under them. */
    public record Setup(Settings settings, Map<String, Integer> classes, Map<String, Integer> tenants,
                        long connectTimeoutUs, long connIdleUs) {
        /** Of all classes, microseconds; 0 where there is none. */
        public long longestDeadlineUs() {
            long longest = 0;
            for (ServiceClass c : settings.classes()) {
                longest = Math.max(longest, c.deadlineUs());
            }
            return longest;
        }

        /** Of all classes, microseconds; 0 where there is none. */
        public long shortestAimUs() {
            return settings.classes().stream().mapToLong(ServiceClass::aimUs).min().orElse(0);
        }
    }

    /** Times beyond this, microseconds, are no times: some thirty years. */
    private static final long MOST = 1_000_000_000_000_000L;

    /** Only the network needs these two; where the settings leave them out, cautious figures stand in. */
    private static final long CONNECT_TIMEOUT_US = 250_000;
    private static final long CONN_IDLE_US = 10_000_000;
    /** Where the settings do not say how long sends to a draining host may go on, us: as good as not at all. */
    private static final long DRAIN_GRACE_US = 100_000;

    private final String place;
    private final Map<String, Object> fields;

    private SettingsReader(String place, Map<String, Object> fields) {
        this.place = place;
        this.fields = fields;
    }

    /** Reads the object that the parser stands on. */
    public static Setup read(JsonParser in, String place) throws IOException {
        return of(Json.value(in), place);
    }

    /** Settings out of a tree that was read before; {@code place} begins the message where they are bad. */
    @SuppressWarnings("unchecked")
    public static Setup of(Object tree, String place) {
        if (!(tree instanceof Map)) {
            throw new SettingsException(place + ": field setup must be an object");
        }
        return new SettingsReader(place, (Map<String, Object>) tree).setup();
    }

    private Setup setup() {
        List<String> zones = names("zones");
        int zone = zones.indexOf(text("locality"));
        if (zone < 0) {
            throw bad("locality", "is none of zones");
        }
        List<ServiceClass> classes = new ArrayList<>();
        Map<String, Integer> classIndex = new HashMap<>();
        for (SettingsReader c : objects("services")) {
            if (classIndex.put(c.text("name"), classes.size()) != null) {
                throw bad("services", "names " + c.text("name") + " twice");
            }
            classes.add(c.serviceClass());
        }
        List<Tenant> tenants = new ArrayList<>();
        Map<String, Integer> tenantIndex = new HashMap<>();
        for (SettingsReader t : objects("projects")) {
            tenantIndex.put(t.text("name"), tenants.size());
            tenants.add(new Tenant(t.text("name"), t.real("share", 0), t.real("quota_per_s", 0)));
        }
        SettingsReader limits = object("limits");
        SettingsReader rules = object("guarantees");
        SettingsReader prices = object("prices");
        boolean ask = choice("discovery", "pushed", "on_request") == 1;
        Settings settings = new Settings((int) whole("position"), (int) whole("balancers"), zone, zones,
                classes, tenants, real("over_share_worth", 1),
                new Discovery(ask, rules.whole("ask_within_us", 0),
                        rules.whole("drain_grace_us", DRAIN_GRACE_US)),
                new Limits((int) limits.whole("send_cap"), limits.truth("may_cancel"),
                        limits.truth("second_copies"), limits.truth("probing"), limits.truth("retry_after"),
                        limits.whole("max_retry_after_us", 0)),
                new ColdStart(rules.real("cold_from"), rules.whole("warm_up_us"), rules.real("tip_multiple"),
                        rules.whole("tip_after_us")),
                new Prices(prices.real("cross_zone", 0), prices.real("waste", 0), prices.real("late_fail", 0),
                        prices.real("probe", 0), prices.real("handshake", 0)),
                fields.get("domain") != null && object("domain").fields.get("warm_keys") != null
                        && object("domain").truth("warm_keys"));
        return new Setup(settings, classIndex, tenantIndex,
                limits.whole("connect_timeout_us", CONNECT_TIMEOUT_US),
                limits.whole("conn_idle_us", CONN_IDLE_US));
    }

    private ServiceClass serviceClass() {
        Semantics semantics = Semantics.values()[choice("semantics", "retryable", "dedup", "fragile")];
        Group group = semantics == Semantics.DEDUP ? Group.values()[choice("group", "all", "zone", "cell")]
                : Group.ALL;
        return new ServiceClass(text("name"), whole("aim_us"), real("aim_stretch", 0), whole("deadline_us"),
                real("late_worth", 0), real("importance", 1), semantics, group, whole("window_us", 0),
                fields.get("stream") != null && truth("stream"));
    }

    private SettingsException bad(String field, String what) {
        return new SettingsException(place + ": setup field " + field + " " + what);
    }

    private Object need(String field) {
        Object value = fields.get(field);
        if (value == null) {
            throw bad(field, "is missing");
        }
        return value;
    }

    private <T> T typed(String field, Class<T> type) {
        Object value = need(field);
        if (!type.isInstance(value)) {
            throw bad(field, "is of the wrong type");
        }
        return type.cast(value);
    }

    private String text(String field) {
        return typed(field, String.class);
    }

    private boolean truth(String field) {
        return typed(field, Boolean.class);
    }

    private double real(String field) {
        return typed(field, Number.class).doubleValue();
    }

    private double real(String field, double absent) {
        return fields.get(field) == null ? absent : real(field);
    }

    private long whole(String field) {
        Number number = typed(field, Number.class);
        if (number instanceof Double d && d != Math.rint(d)) {
            throw bad(field, "must be a whole number");
        }
        if (!(Math.abs(number.doubleValue()) <= MOST)) {
            throw bad(field, "is out of range");
        }
        return number.longValue();
    }

    private long whole(String field, long absent) {
        return fields.get(field) == null ? absent : whole(field);
    }

    private int choice(String field, String... words) {
        int index = List.of(words).indexOf(text(field));
        if (index < 0) {
            throw bad(field, "holds the unknown word " + fields.get(field));
        }
        return index;
    }

    private List<String> names(String field) {
        List<String> names = new ArrayList<>();
        for (Object name : typed(field, List.class)) {
            if (!(name instanceof String s)) {
                throw bad(field, "must hold names");
            }
            names.add(s);
        }
        return names;
    }

    @SuppressWarnings("unchecked")
    private SettingsReader object(String field) {
        return new SettingsReader(place, (Map<String, Object>) typed(field, Map.class));
    }

    @SuppressWarnings("unchecked")
    private List<SettingsReader> objects(String field) {
        List<SettingsReader> objects = new ArrayList<>();
        if (fields.get(field) == null) {
            return objects;
        }
        for (Object object : typed(field, List.class)) {
            if (!(object instanceof Map)) {
                throw bad(field, "must hold objects");
            }
            objects.add(new SettingsReader(place, (Map<String, Object>) object));
        }
        return objects;
    }
}
