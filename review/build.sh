#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the review into target/review, with the JDK that the project uses.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/common.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -encoding UTF-8 -d target/review review/platform/*.java
