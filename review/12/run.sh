#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
. bin/common.sh
[ -d target/review-3 ] && [ -x target/runtime/bin/java ] || { echo "build first: deploy/build and review/build-3.sh"; exit 2; }
timeout -k 5 117 "$JAVA" -Xmx256m -cp target/review-3 review3.StaleAnswers review/12
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
