#!/bin/sh
# Creates sidecar/target/dapplequay.jsa, the class data sharing archive of the classes that serve loads, so that a killed
# sidecar restarts faster. The build calls it. The program also runs without the archive, so the exit status is always 0.
cd "$(dirname "$0")/.." || exit 0
java -XX:TieredStopAtLevel=1 deploy/Archive.java > sidecar/target/archive.log 2>&1 || cat sidecar/target/archive.log >&2
exit 0
