#!/bin/sh
# Plays one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for needed in sidecar/target/dapplequay.jar "review/rig-2/target/rig2/$1.class"; do
    [ -f "$needed" ] || { echo "missing: $needed"; exit 2; }
done
java -cp review/rig-2/target "rig2.$1" "$2/record.txt"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
