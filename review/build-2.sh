#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, under target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/common.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -nowarn -d target/review-2 review/stand-2/platform/*.java
