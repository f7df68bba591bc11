#!/bin/sh
# A request crashes each replica that runs it, and is sent again and again.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh

tap_start "$1" crash reader-portal
upstream "act?service=$service&crash=poison"
load innocent 8 --deadline 2000 &
innocent=$!
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
wait "$innocent"
# Ten shards run it; each may lose a replica to the first two tries, and a
# third to a try in flight before the others know.
deaths=$(upstream_sum deaths "service=$service")
echo "# deaths: $deaths"
check the-request-crashes-replicas-at-first test "$deaths" -ge 1
check it-is-refused-before-many-replicas-die test "$deaths" -le 30
check it-is-told-not-run contains "$answer" '"outcome":"not_run"'
check it-is-told-why contains "$answer" '"code":"convicted"'
check innocent-queries-are-answered-truly all_true innocent
check innocent-queries-get-an-answer metric_is innocent no_answer 0
