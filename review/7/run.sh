#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -euo pipefail
cd "$(dirname "$0")"
CASE="$PWD"
. ../../bin/common.sh
[ -d "$ROOT/target/review-2" ] && [ -d "$ROOT/target/runtime" ] || { echo "run deploy/build and review/build-2.sh first" >&2; exit 2; }
exec "$JAVA" -cp "$ROOT/target/review-2" LateRemoval "$ROOT" "$CASE"
