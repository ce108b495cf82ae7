#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 plays
# the same without the disruption. Needs the build of the deploy file and then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f sidecar/target/dapplequay.jar ] || [ ! -f review/target/RestartInRelease.class ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
timeout 110 java -cp review/target RestartInRelease review/3
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
