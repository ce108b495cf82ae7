#!/bin/sh
# Makes sidecar/target/dapplequay.jsa, the JVM's archive of the classes that serve loads, so that a killed sidecar starts
# faster. Called by the build; the program runs without the archive too, so that failing here fails nothing.
cd "$(dirname "$0")/.." || exit 0
log=sidecar/target/archive.log
EDGE_LISTEN=127.0.0.1:0 EDGE_DISCOVERY=127.0.0.1:1 java -XX:+UseSerialGC -XX:-UsePerfData \
    -XX:ArchiveClassesAtExit=sidecar/target/dapplequay.jsa -jar sidecar/target/dapplequay.jar serve --config example/config.json \
    > "$log" 2>&1 &
program=$!
tries=0
until grep -q "serving on" "$log" || [ "$tries" -ge 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
kill -TERM "$program" 2> /dev/null
wait "$program"
exit 0
