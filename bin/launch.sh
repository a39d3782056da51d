# Sourced by the launchers. Sets ROOT, LIB and JAVA, and builds the workspace if it is not built yet.
set -eu
ROOT=$(cd "$(dirname "$(readlink -f "$0")")/.." && pwd)
LIB="$ROOT/target/lib"
if [ ! -e "$LIB/cactusstack-host-0.1.0.jar" ]; then
  echo "event=building remedy=\"wait; the build runs only once\"" >&2
  (cd "$ROOT" && mvn -B -q -DskipTests -Dspotless.check.skip=true package >&2)
fi
JAVA="${JAVA_HOME:+$JAVA_HOME/bin/}java"
