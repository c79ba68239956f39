#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
. bin/common.sh
timeout -k 2 117 "$JAVA" -Xmx1g -cp target/review AddedRouteCase review/5
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
