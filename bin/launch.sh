# Shared by the launchers. Sets ROOT and LIB; builds the workspace when it has not been built.
# Sourced, not run.
set -eu
ROOT=$(cd "$(dirname "$(readlink -f "$0")")/.." && pwd)
LIB="$ROOT/target/lib"
if [ ! -e "$LIB/cactusstack-host-0.1.0.jar" ]; then
  echo "event=building remedy=\"wait; this happens once\"" >&2
  (cd "$ROOT" && mvn -B -q -DskipTests -Dspotless.check.skip=true package >&2)
fi
JAVA="${JAVA_HOME:+$JAVA_HOME/bin/}java"
