#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruptions out; TROUBLE=kill plays the final fault without the entries.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/release/wasabirouter ] && [ -x target/review-2/release/foreign-entries ] || exit 2
timeout 110 target/review-2/release/foreign-entries review/8/record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
