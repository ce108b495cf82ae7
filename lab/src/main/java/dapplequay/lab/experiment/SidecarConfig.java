package dapplequay.lab.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplequay.lab.load.Profile;
import dapplequay.lab.model.HostSpec;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Builds the configuration file of one sidecar, in the platform's format. */
final class SidecarConfig {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SidecarConfig() { }

    /** {@code knownList} is a list in discovery's JSON format; {@code seed} differs at each start. */
    static String json(ExperimentSpec spec, Profile load, int index, String listen, String discovery, long seed,
                       String knownList) {
        try {
            ObjectNode root = JSON.createObjectNode();
            root.put("name", "n" + index).put("listen", listen).put("discovery", discovery)
                    .put("seed", Long.toHexString(seed));
            root.putObject("limits").put("cores", 1.0).put("memory_mb", spec.sidecars().memoryMb())
                    .put("sockets", spec.sidecars().sockets());
            root.set("known", JSON.readTree(knownList));
            root.set("settings", settings(spec, load, index));
            return root.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ObjectNode settings(ExperimentSpec spec, Profile load, int index) {
        ObjectNode settings = JSON.createObjectNode();
        int zone = spec.fleet().viewZones().get(index);
        settings.put("balancers", spec.sidecars().count()).put("position", index)
                .put("locality", spec.fleet().zones().get(zone))
                .put("discovery", spec.fleet().pushed() ? "pushed" : "on_request")
                .put("over_share_worth", 0.05);
        ArrayNode zones = settings.putArray("zones");
        spec.fleet().zones().forEach(zones::add);
        ArrayNode services = settings.putArray("services");
        for (Profile.Service service : load.services()) {
            services.addObject().put("name", service.name()).put("semantics", service.repeats())
                    .put("group", service.group()).put("window_us", service.windowUs())
                    .put("aim_us", service.aimUs()).put("deadline_us", service.deadlineUs())
                    .put("importance", service.worth()).put("late_worth", service.lateWorth())
                    .put("stream", false);
        }
        ArrayNode tenants = settings.putArray("projects");
        for (Profile.Tenant tenant : load.tenants()) {
            tenants.addObject().put("name", tenant.name()).put("share", tenant.share())
                    .put("quota_per_s", tenant.share() * load.ratePerS() * 1.2);
        }
        HostSpec host = spec.fleet().hosts().get(0).spec();
        settings.putObject("domain").put("warm_keys", host.keys().gain() > 0);
        settings.putObject("limits").put("send_cap", spec.sidecars().sendCap()).put("may_cancel", true)
                .put("second_copies", spec.sidecars().secondCopies()).put("probing", spec.fleet().probes())
                .put("retry_after", true).put("max_retry_after_us", 1_500_000)
                .put("connect_timeout_us", spec.sidecars().connectTimeoutUs())
                .put("conn_idle_us", spec.fleet().idleUs());
        settings.putObject("guarantees").put("ask_within_us", 10_000_000).put("cold_from", host.coldFrom())
                .put("warm_up_us", host.warmUpUs()).put("tip_multiple", Math.max(1, host.tipMultiple()))
                .put("tip_after_us", host.tipAfterUs())
                .put("drain_grace_us", spec.sidecars().drainGraceUs()).put("answer_slack_us", 50_000);
        settings.putObject("prices").put("cross_zone", spec.sidecars().crossZonePrice()).put("waste", 0.04)
                .put("late_fail", 0.05).put("probe", 0.01).put("handshake", 0.02);
        return settings;
    }
}
