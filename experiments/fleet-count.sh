#!/bin/sh
# Counts over a whole fleet what its sidecars logged with --log FINE: one line a sidecar, one for all, then the fleet by
# half seconds. Usage: sh experiments/fleet-count.sh DIR, DIR with one file *.log a sidecar. Times are the first column
# where the platform put one there (seconds), else the log's own; see experiments/README.md for the columns.
dir=${1:?usage: fleet-count.sh DIR}
ls "$dir"/*.log > /dev/null || exit 2
awk '
function at(    p) {
    if ($1 ~ /^[0-9.]+$/) return $1 + 0
    split(substr($1, 12), p, /[:Z]/)
    return p[1] * 3600 + p[2] * 60 + p[3]
}
function count(what) { n[FILENAME, what]++; all[what]++; t[int(at() * 2) / 2, what]++; seen[int(at() * 2) / 2] = 1 }
FNR == 1 { files[++fileCount] = FILENAME }
/ FINE attempt / {
    for (i = 1; $i != "attempt"; i++) { }
    count("attempts"); count($(i + 2))
    if ($(i + 3) > 0 && $(i + 2) == "SERVED") { n[FILENAME, "us"] += $(i + 3); all["us"] += $(i + 3) }
    if ($(i + 4) == -1) { count("new") }
    if (!((FILENAME, $(i + 1)) in met)) { met[FILENAME, $(i + 1)] = 1; n[FILENAME, "hosts"]++ }
    host[$(i + 1)]++
}
/ FINE refused / { count("refused") }
/ FINE failed / { count("failed") }
/ passed over for / { count("over") }
/ zone lost: / { count("lost") }
/discovery call failed/ { count("listfail") }
/serving on/ { count("starts") }
END {
    cols = split("starts attempts SERVED new NOT_CONNECTED NOT_SENT TURNED_AWAY ERROR RESET TIMED_OUT SILENT GIVEN_UP refused failed over lost listfail", c, " ")
    printf "%-22s %7s %9s", "sidecar", "hosts", "served_us"
    for (i = 1; i <= cols; i++) printf " %s", c[i]
    print ""
    for (f = 1; f <= fileCount; f++) {
        name = files[f]; sub(/.*\//, "", name)
        served = n[files[f], "SERVED"]
        printf "%-22s %7d %9d", name, n[files[f], "hosts"], served ? n[files[f], "us"] / served : 0
        for (i = 1; i <= cols; i++) printf " %*d", length(c[i]), n[files[f], c[i]]
        print ""
    }
    hosts = 0; for (h in host) hosts++
    printf "%-22s %7d %9d", "all", hosts, all["SERVED"] ? all["us"] / all["SERVED"] : 0
    for (i = 1; i <= cols; i++) printf " %*d", length(c[i]), all[c[i]]
    print ""
    for (s in seen) times[++timeCount] = s + 0
    for (i = 2; i <= timeCount; i++) { x = times[i]; for (j = i - 1; j > 0 && times[j] > x; j--) times[j + 1] = times[j]; times[j + 1] = x }
    for (k = 1; k <= timeCount; k++) {
        printf "%-22s %7s %9s", times[k], "", ""
        for (i = 1; i <= cols; i++) printf " %*d", length(c[i]), t[times[k], c[i]]
        print ""
    }
}' "$dir"/*.log
