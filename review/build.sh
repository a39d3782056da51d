#!/bin/sh
# Builds every stand-in that the scripts under review/ start. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/standins/review/*.java
