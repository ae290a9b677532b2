#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Build first: the build of deploy/system.toml, and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/rig entry review/8/record.txt
