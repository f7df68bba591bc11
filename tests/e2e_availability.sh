#!/bin/sh
# Replicas that say in their replies that they are leaving, or that they want no
# requests for some time.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 20
site_test "$1" availability

arrivals() {
	control "arrivals?replica=$1"
}

# usage: send_some NAME TARGET COUNT
# Sets $bad to the number of answers other than 200.
send_some() {
	n=0 bad=0
	while test "$n" -lt "$3"
	do
		n=$((n + 1))
		status_is "$site_router1" "$1-$n" "$2" 200 || bad=$((bad + 1))
	done
}

# The log limits the lines of each second, and the start uses those of the first.
sleep 1.2

# The store is away, and the replica says it only in its replies.
control store >/dev/null
control 'replica?replica=shard-0-0&mode=leaving' >/dev/null
control 'replica?replica=ledger-0&mode=leaving' >/dev/null
send_some before /search/x 15
send_some before-order /order/x 15
search_before=$(arrivals shard-0-0)
order_before=$(arrivals ledger-0)
control 'replica?replica=all&mode=ok' >/dev/null
send_some while-away /search/x 15
check a-leaving-replica-costs-no-answer test "$bad" -eq 0
send_some while-away-order /order/x 15
control store >/dev/null
sleep 1
control 'replica?replica=shard-0-0&state=ready' >/dev/null
sleep 1
send_some listed-anew /search/x 15
send_some listed-anew-order /order/x 15
check a-replica-that-left-a-merged-answer-gets-nothing \
	test "$(arrivals shard-0-0)" -eq "$search_before"
check a-replica-that-left-a-relayed-answer-gets-nothing \
	test "$(arrivals ledger-0)" -eq "$order_before"
check it-was-in-use-before test "$search_before" -gt 0
check the-log-says-why grep -q \
	'event=replica id=shard-0-0 state=leaving source=reply' \
	"$dir/router-1.log"

# All replicas of a service want nothing for 2.5 s.
for n in 0 1 2
do
	control "replica?replica=shard-1-$n&mode=hold" >/dev/null
done
send_some held /search/x 3
held_at=$(arrivals shard-1-0)$(arrivals shard-1-1)$(arrivals shard-1-2)
send_some held-again /search/x 20
check a-held-shard-is-left-out test "$bad" -eq 0
check held-replicas-get-nothing test "$held_at" = \
	"$(arrivals shard-1-0)$(arrivals shard-1-1)$(arrivals shard-1-2)"
for n in 1 2
do
	control "replica?replica=ledger-$n&mode=hold" >/dev/null
done
request "$site_router1" held-order /order/x >/dev/null
order_at=$(arrivals ledger-1)$(arrivals ledger-2)
check a-request-for-held-replicas-is-refused \
	status_is "$site_router1" refused-order /order/x 503
check it-gets-the-time-of-the-first-return \
	grep -q '^Retry-After: [23]\.' "$dir/answer.refused-order"
check refused-requests-reach-nobody \
	test "$(arrivals ledger-1)$(arrivals ledger-2)" = "$order_at"
control 'replica?replica=all&mode=ok' >/dev/null
check held-replicas-return \
	eventually status_is "$site_router1" returned-order /order/x 200

# All replicas of one shard hold, and all but one of another leave, under load; the
# router stands still meanwhile.
send_load() {
	n=0
	while test ! -e "$dir/stop"
	do
		n=$((n + 1))
		request "$site_router1" "$1-$n" /search/x >/dev/null
	done
}
for worker in 1 2 3 4 5 6
do
	send_load "load$worker" &
done
sleep 0.3
for n in 0 1 2
do
	control "replica?replica=shard-2-$n&mode=hold" >/dev/null
done
for n in 1 2
do
	control "replica?replica=shard-3-$n&mode=leaving" >/dev/null
done
sleep 0.6
held=$(arrivals shard-2-0)$(arrivals shard-2-1)$(arrivals shard-2-2)
left=$(arrivals shard-3-1)$(arrivals shard-3-2)
kill -STOP "$(cat "$dir/router-1.pid")"
sleep 0.7
kill -CONT "$(cat "$dir/router-1.pid")"
sleep 0.5
check held-replicas-get-nothing-under-load-and-after-a-freeze test "$held" = \
	"$(arrivals shard-2-0)$(arrivals shard-2-1)$(arrivals shard-2-2)"
check those-that-left-get-nothing-under-load-and-after-a-freeze test "$left" = \
	"$(arrivals shard-3-1)$(arrivals shard-3-2)"
: >"$dir/stop"
control 'replica?replica=all&mode=ok' >/dev/null
all_parts_are_in() {
	status_is "$site_router1" all-parts /search/x 200 &&
		tr -d '\r' <"$dir/answer.all-parts" |
		grep -q '^X-Missing-Parts: 0$'
}
check all-parts-are-in-after-the-holds eventually all_parts_are_in

# The store is slow and still lists a replica as ready that says that it is leaving.
control 'store?delay=600' >/dev/null
control 'replica?replica=ledger-1&mode=leaving' >/dev/null
send_some slow-store /order/x 12
check a-leaving-replica-of-a-slow-store-costs-no-answer test "$bad" -eq 0
left=$(arrivals ledger-1)
control 'replica?replica=ledger-1&state=ready' >/dev/null
send_some stale-entry /order/x 15
check a-stale-entry-of-a-slow-store-brings-nobody-back \
	test "$(arrivals ledger-1)" -eq "$left"

# An instance that starts meanwhile learns it from the first reply that says so.
kill -KILL "$(cat "$dir/router-1.pid")"
wait "$(cat "$dir/router-1.pid")" 2>/dev/null
site_start_router 1 "$((port + 500))"
fleet_wait "http://127.0.0.1:$((port + 501))/api/ready"
send_some restarted /order/x 15
check a-restart-costs-no-answer test "$bad" -eq 0
left=$(arrivals ledger-1)
control 'replica?replica=ledger-1&state=ready' >/dev/null
send_some restarted-again /order/x 15
check an-instance-that-started-again-learns-it-anew \
	test "$(arrivals ledger-1)" -eq "$left"
control 'store?delay=0' >/dev/null
control 'replica?replica=all&mode=ok' >/dev/null
check log-lines-are-as-documented "$build/medlarctl" logs check \
	"$dir/router-1.log"
