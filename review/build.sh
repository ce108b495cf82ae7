#!/bin/sh
# Builds the stand-ins of the cases into review/target. To be run after the build of the deploy file; needs a JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target rig/*.java
