#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/11 to review/15 into target/review-3. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/common.sh
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" --release 21 -d target/review-3 review/stand-3/platform/*.java
