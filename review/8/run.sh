#!/bin/sh
exec sh "$(dirname "$0")/../rig-2/run-case.sh" PausedChunkedAnswer review/8
