#!/bin/sh
# Guards against one request crashing replica after replica: a request that
# crashes every replica that runs it is sent repeatedly.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 7

tap_start "$1" crash reader-portal
upstream "act?service=$service&crash=poison"
load others 8 --deadline 2000 &
others=$!
sleep 1
n=0
while test "$n" -lt 10
do
	for entry in $fleet_entries
	do
		answer=$(curl -s -m 10 -d '{"query":{"text":"poison"}}' \
			"http://$entry/v1/services/$service/search")
	done
	n=$((n + 1))
done
wait "$others"
# Each of the ten shards may lose a replica to each of the first two attempts,
# and a third one to an attempt in flight before the other instances are told.
crashes=$(upstream_sum deaths "service=$service")
echo "# replica crashes: $crashes"
check the-request-crashes-replicas-at-first test "$crashes" -ge 1
check it-is-refused-before-many-replicas-crash test "$crashes" -le 30
check it-is-answered-as-not-run contains "$answer" '"outcome":"not_run"'
check the-answer-states-the-reason contains "$answer" '"code":"convicted"'
check other-queries-are-answered-correctly no_violations others
check other-queries-get-an-answer metric_is others no_answer 0
