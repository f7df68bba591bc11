#!/bin/sh
# Guards against MIXED: a replica in trouble answers with a status that is none. It
# was passed on to the caller, or the request waited until its deadline.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 40
site_test "$1" status

# A request that waits for another reply is answered with 504.
for status in 000 001 099 101 199 600 999 0 20 2%200 2000 abc
do
	control "replica?replica=all&mode=status&status=$status" >/dev/null
	for target in order search
	do
		check "status-$status-is-no-answer-to-$target" \
			status_is "$site_router1" "status-$status-$target" \
			"/$target/x" 502
	done
	control 'replica?replica=all&mode=ok' >/dev/null
	check "others-are-served-after-status-$status" \
		eventually status_is "$site_router1" "after-$status" /order/x 200
done

control 'replica?replica=shard-0-0&mode=status&status=000' >/dev/null
control 'replica?replica=shard-1-1&mode=status&status=600' >/dev/null
n=0 bad=0
while test "$n" -lt 12
do
	n=$((n + 1))
	status_is "$site_router1" "single-$n" /search/x 200 || bad=$((bad + 1))
done
check bad-statuses-of-single-replicas-are-survived test "$bad" -eq 0
check bad-statuses-are-logged grep -q 'event=bad_status.*status=000' \
	"$dir/router-1.log"
check bad-statuses-are-counted \
	sh -c "curl -s -m 5 http://127.0.0.1:$((port + 503))/metrics |
		grep -q '^medlarrouter_bad_status_replies_total [1-9]'"
