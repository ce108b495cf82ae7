#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/rig-2/target; needs only the JDK. Run from any folder.
set -eu
cd "$(dirname "$0")/rig-2"
rm -rf target
mkdir -p target
javac -Xlint:all -d target src/rig2/*.java
