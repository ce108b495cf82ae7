package rig2;

/** The configuration of a sidecar, with settings like those of a small deployment whose one class carries a key. */
final class Settings {
    static final String CLASS = "place-order";
    static final int AIM_MS = 600;
    static final int DEADLINE_MS = 2_000;

    private Settings() { }

    /** Returns a configuration with this address of discovery, list as known before, and wanted time of an answer. */
    static String configuration(String discovery, String known, int aimMs) {
        return """
            {"name": "n0", "listen": "127.0.0.1:1", "discovery": "%s", "seed": "00c0ffee00c0ffee",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "known": %s,
             "settings": {
               "balancers": 4, "position": 0, "locality": "north", "zones": ["north", "south"],
               "discovery": "on_request", "over_share_worth": 0.05,
               "services": [{"name": "place-order", "semantics": "dedup", "group": "cell", "window_us": 4000000,
                 "aim_us": %d, "deadline_us": 2000000, "importance": 1.0, "late_worth": 0.25, "stream": false}],
               "projects": [{"name": "shop-a", "share": 0.6, "quota_per_s": 20.0},
                 {"name": "shop-b", "share": 0.4, "quota_per_s": 15.0}],
               "limits": {"send_cap": 3, "may_cancel": true, "second_copies": true, "probing": true,
                 "retry_after": false, "max_retry_after_us": 2000000, "connect_timeout_us": 250000,
                 "conn_idle_us": 30000000},
               "guarantees": {"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 2500000,
                 "cold_from": 0.31, "warm_up_us": 8800000, "tip_multiple": 3.0, "tip_after_us": 3000000},
               "report": {"fields": ["queue", "inflight", "latency_ms"], "how": "inline"},
               "prices": {"cross_zone": 0.03, "waste": 0.04, "late_fail": 0.05, "probe": 0.01, "handshake": 0.02}}}
            """.formatted(discovery, known, aimMs * 1_000);
    }

    /** Returns a request with this id and budget; the query names what a server stand-in is to do. */
    static String request(String id, String query, int budgetMs) {
        String body = "{\"basket\":\"" + id + "\"}";
        return "POST /" + CLASS + "?obj=" + query + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: " + budgetMs + "\r\nIdempotency-Key: key-" + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
