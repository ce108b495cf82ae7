import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Settings and configurations of the two deployments, as the sites and the wire page give them. */
final class Site {
    private Site() { }

    static String target(String uid, int port, String zone, String model, int cell, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone + "\",\"model\":\""
                + model + "\",\"pod_group\":" + cell + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    static String list(int revision, List<String> targets) {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
    }

    static String list(int revision, List<Upstream> upstreams, String[] zones, Function<Upstream, String> state) {
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < upstreams.size(); i++) {
            Upstream upstream = upstreams.get(i);
            String now = state.apply(upstream);
            if (now != null) {
                targets.add(target(upstream.uid, upstream.port, zones[i % zones.length], "quick", i / 4, now));
            }
        }
        return list(revision, targets);
    }

    /** The configuration of a sidecar; limits are those of the scored days. */
    static String config(String name, int port, String discovery, String known, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    static final String[] BASKET_ZONES = {"edinburgh", "glasgow"};

    /** basket-orders: the example of the wire page. */
    static String basket(int balancers) {
        return """
            {"balancers": %d,
             "clients": {"marks_retry": false},
             "counted_by": "request",
             "discovery": "on_request",
             "domain": {"warm_keys": false},
             "family": "mesh",
             "goal": {"whole": 0.7, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.05},
             "guarantees": {"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.31,
              "drain_grace_us": 2500000, "tip_after_us": 3000000, "tip_multiple": 3.0, "warm_up_us": 8800000},
             "layer": 0,
             "limits": {"conn_idle_us": 30000000, "connect_timeout_us": 250000, "cpu_us_per_request": 0.0,
              "cpu_us_per_s": 11136, "max_retry_after_us": 2000000, "may_cancel": true, "may_tell": false,
              "most_held": 27842, "probing": true, "retry_after": false, "second_copies": true, "send_cap": 3,
              "streams_per_conn": 1},
             "locality": "glasgow",
             "over_share_worth": 0.05,
             "position": 0,
             "prices": {"connection": 0.0, "cross_zone": 0.03, "discovery": 0.0, "handshake": 0.02, "late_fail": 0.05,
              "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.04},
             "projects": [{"name": "braeside-grocers", "quota_per_s": 17.0, "share": 0.27},
              {"name": "kirkgate-market", "quota_per_s": 13.0, "share": 0.21},
              {"name": "harbour-foods", "quota_per_s": 11.0, "share": 0.17},
              {"name": "lochend-store", "quota_per_s": 7.0, "share": 0.11},
              {"name": "millbank-deli", "quota_per_s": 6.0, "share": 0.1},
              {"name": "thistle-larder", "quota_per_s": 5.0, "share": 0.08},
              {"name": "cowgate-corner", "quota_per_s": 4.0, "share": 0.06}],
             "report": {"fields": ["queue", "inflight", "latency_ms"], "how": "inline"},
             "services": [{"aim_us": 600000, "deadline_us": 2000000, "group": "cell", "importance": 1.0,
              "late_worth": 0.25, "name": "place-order", "semantics": "dedup", "stream": false,
              "window_us": 4000000}],
             "shapes": ["quick", "slow"],
             "tick_us": 5000,
             "tiers": ["placement"],
             "weights": "rough",
             "zones": ["edinburgh", "glasgow"]}""".formatted(balancers);
    }

    static final String[] QUOTE_ZONES = {"la-uruca", "heredia", "cartago"};

    /** quotes-central: lists are pushed, and the drain's grace is 400 ms. */
    static String quotes(int balancers) {
        return """
            {"balancers": %d,
             "clients": {"marks_retry": false},
             "counted_by": "request",
             "discovery": "pushed",
             "domain": {"warm_keys": true},
             "family": "mesh",
             "goal": {"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.25, "worst_window": 0.15},
             "guarantees": {"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.32,
              "drain_grace_us": 400000, "tip_after_us": 3000000, "tip_multiple": 2.5, "warm_up_us": 8700000},
             "layer": 0,
             "limits": {"conn_idle_us": 10000000, "connect_timeout_us": 120000, "cpu_us_per_request": 0.0,
              "cpu_us_per_s": 8000, "max_retry_after_us": 2000000, "may_cancel": true, "may_tell": false,
              "most_held": 27842, "probing": true, "retry_after": false, "second_copies": true, "send_cap": 3,
              "streams_per_conn": 1},
             "locality": "heredia",
             "over_share_worth": 0.05,
             "position": 0,
             "prices": {"connection": 0.0, "cross_zone": 0.06, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.05,
              "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0021, "waste": 0.066},
             "projects": [{"name": "viajaseguro", "quota_per_s": 180.0, "share": 0.73},
              {"name": "ruta-firme", "quota_per_s": 40.0, "share": 0.16},
              {"name": "pura-via", "quota_per_s": 27.0, "share": 0.11}],
             "report": {"fields": ["inflight", "queue", "latency_ms", "util"], "how": "inline"},
             "services": [
              {"name": "rate-check", "semantics": "retryable", "aim_us": 250000, "deadline_us": 500000,
               "importance": 1.0, "late_worth": 0.25, "stream": false},
              {"name": "full-quote", "semantics": "retryable", "aim_us": 400000, "deadline_us": 800000,
               "importance": 5.0, "late_worth": 0.25, "stream": false},
              {"name": "issue-policy", "semantics": "dedup", "group": "cell", "window_us": 4000000,
               "aim_us": 800000, "deadline_us": 4000000, "importance": 8.0, "late_worth": 0.5, "stream": false},
              {"name": "send-documents", "semantics": "fragile", "aim_us": 1500000, "deadline_us": 3000000,
               "importance": 3.0, "late_worth": 0.5, "stream": false}],
             "shapes": ["quick", "slow"],
             "tick_us": 5000,
             "tiers": ["quote-engine"],
             "weights": "rough",
             "zones": ["la-uruca", "heredia", "cartago"]}""".formatted(balancers);
    }
}
