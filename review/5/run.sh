#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/review/Lapsed.class ] && [ -f target/host/cactusstack-platform-0.1.0.jar ] || exit 2
exec java -Xmx256m -cp target/review review.Lapsed . review/5
