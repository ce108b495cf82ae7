#!/bin/sh
# Runs one fault after the other on 40 hosts and 60 sidecars: experiments/wide.sh DIR [KIND...]
# Prints a line for each; the reports are below DIR.
cd "$(dirname "$0")/.." || exit 1
out=$1
shift
mkdir -p "$out"
kinds=${*:-"calm silent errors late_reports heavy slow refuse hang reset_before reset_within reset_after
silent_connection cut garbled overlong unasked drain replace stop restart list_stale list_empty list_odd_zone list_slow
list_down"}
for kind in $kinds; do
    case "$kind" in
        calm) fault_settings='share = 0' ;;
        late_reports) fault_settings='share = 1' ;;
        slow) fault_settings='share = 1
amount = 1.8' ;;
        heavy) fault_settings='share = 1
requests = 0.02' ;;
        reset_* | cut | garbled | overlong | unasked | silent_connection) fault_settings='share = 1
requests = 0.05' ;;
        list_*) fault_settings='' ;;
        *) fault_settings='share = 0.15' ;;
    esac
    # The calm run needs a fault without effect: a slowdown by the factor 1.
    fault_kind=$kind
    [ "$kind" = calm ] && fault_kind=slow && fault_settings='amount = 1'
    awk -v kind="$fault_kind" -v more="$fault_settings" '{ gsub(/@KIND@/, kind); gsub(/@MORE@/, more); print }' \
        experiments/wide.toml.in > "$out/wide-$kind.toml"
    ./dapplequay lab run "$out/wide-$kind.toml" --out "$out/$kind" > "$out/$kind.txt" 2> "$out/$kind.err"
    echo "$kind status $?: $(awk '/^(worth in time|late|refused|failed|no answer|lost|doubled|rules broken|latency ms p99)/ \
        { printf "%s; ", $0 }' "$out/$kind.txt" | tr -s ' ')"
done
