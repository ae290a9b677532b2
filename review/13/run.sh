#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and of
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand-3 ] && [ -x target/release/wasabirouter ] || { echo "not built"; exit 2; }
exec target/review-3/stand-3 shared-part review/13/record.txt
