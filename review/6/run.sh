#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/nickellead ] && [ -x target/review-2/release/review-standin-2 ] || exit 2
# In a process group of its own, so that an interruption ends the machines, too.
setsid target/review-2/release/review-standin-2 watch review/6/record.txt &
pid=$!
trap 'kill -s KILL -- "-$pid"; rm -rf "${TMPDIR:-/tmp}/nickellead-review-2-$pid"; exit 2' TERM INT HUP
wait "$pid"
exit $?
