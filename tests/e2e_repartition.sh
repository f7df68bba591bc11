#!/bin/sh
# The partition map changes twice while queries run; answers must neither count
# a range twice nor hide a missing one.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 6

tap_start "$1" repartition reader-portal
(
	sleep 1
	upstream "repartition?service=$service&rotate=1"
	sleep 1
	upstream "repartition?service=$service&shift=1000000"
) &
load moving 5
wait $!
check no-range-is-answered-twice metric_is moving duplicates 0
check no-missing-range-is-unreported metric_is moving wrong_coverage 0
check every-query-is-answered metric_is moving no_answer 0
load after 2
check the-new-map-gives-full-coverage all_complete after
check answers-state-the-new-epoch contains \
	"$(ask search '{"query":1}')" '"epoch":3'
