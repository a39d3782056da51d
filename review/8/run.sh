#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/host/cactusstack-platform-0.1.0.jar ] && [ -f target/review-2/BurstTwice.class ] || { echo "build first: the deploy file, review/build-2.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec timeout --signal=TERM --kill-after=3 117 java -cp target/review-2 BurstTwice . review/8/record.txt
