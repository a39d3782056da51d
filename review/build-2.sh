#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/kit2/*.java
