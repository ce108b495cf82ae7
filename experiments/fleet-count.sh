#!/bin/sh
# Counts the events that the sidecars of a fleet logged with --log FINE: one line per sidecar, one for all, then the fleet
# per half second. Usage: sh experiments/fleet-count.sh DIR, where DIR has one file *.log per sidecar. Times are taken from
# the first column if the platform added one (seconds), else from the log's timestamps; see experiments/README.md for the columns.
dir=${1:?usage: fleet-count.sh DIR}
ls "$dir"/*.log > /dev/null || exit 2
awk '
function timeOfDay(    parts) {
    if ($1 ~ /^[0-9.]+$/) return $1 + 0
    split(substr($1, 12), parts, /[:Z]/)
    return parts[1] * 3600 + parts[2] * 60 + parts[3]
}
function countEvent(event) { perSidecar[FILENAME, event]++; total[event]++; perHalfSecond[int(timeOfDay() * 2) / 2, event]++; halfSeconds[int(timeOfDay() * 2) / 2] = 1 }
FNR == 1 { files[++fileCount] = FILENAME }
/ FINE attempt / {
    for (i = 1; $i != "attempt"; i++) { }
    countEvent("attempts"); countEvent($(i + 2))
    if ($(i + 3) > 0 && $(i + 2) == "SERVED") { perSidecar[FILENAME, "us"] += $(i + 3); total["us"] += $(i + 3) }
    if ($(i + 4) == -1) { countEvent("new") }
    if (!((FILENAME, $(i + 1)) in seenHosts)) { seenHosts[FILENAME, $(i + 1)] = 1; perSidecar[FILENAME, "hosts"]++ }
    fleetHosts[$(i + 1)]++
}
/ FINE refused / { countEvent("refused") }
/ FINE failed / { countEvent("failed") }
/ passed over for / { countEvent("over") }
/ zone lost: / { countEvent("lost") }
/discovery call failed/ { countEvent("listfail") }
/serving on/ { countEvent("starts") }
END {
    columnCount = split("starts attempts SERVED new NOT_CONNECTED NOT_SENT TURNED_AWAY ERROR RESET TIMED_OUT SILENT GIVEN_UP refused failed over lost listfail", columns, " ")
    printf "%-22s %7s %9s", "sidecar", "hosts", "served_us"
    for (i = 1; i <= columnCount; i++) printf " %s", columns[i]
    print ""
    for (f = 1; f <= fileCount; f++) {
        name = files[f]; sub(/.*\//, "", name)
        served = perSidecar[files[f], "SERVED"]
        printf "%-22s %7d %9d", name, perSidecar[files[f], "hosts"], served ? perSidecar[files[f], "us"] / served : 0
        for (i = 1; i <= columnCount; i++) printf " %*d", length(columns[i]), perSidecar[files[f], columns[i]]
        print ""
    }
    hostCount = 0; for (h in fleetHosts) hostCount++
    printf "%-22s %7d %9d", "all", hostCount, total["SERVED"] ? total["us"] / total["SERVED"] : 0
    for (i = 1; i <= columnCount; i++) printf " %*d", length(columns[i]), total[columns[i]]
    print ""
    for (s in halfSeconds) times[++timeCount] = s + 0
    for (i = 2; i <= timeCount; i++) { x = times[i]; for (j = i - 1; j > 0 && times[j] > x; j--) times[j + 1] = times[j]; times[j + 1] = x }
    for (k = 1; k <= timeCount; k++) {
        printf "%-22s %7s %9s", times[k], "", ""
        for (i = 1; i <= columnCount; i++) printf " %*d", length(columns[i]), perHalfSecond[times[k], columns[i]]
        print ""
    }
}' "$dir"/*.log
