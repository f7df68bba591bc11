#!/bin/sh
# Replicas that name the requests a second that they take from all instances: the
# instances together send more than that.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 15
site_test "$1" limit

# Requests a second that each limited replica names, and what it may get within
# 4 s: one and a half times that, and five.
limit=5
allowed=35
# Time in which all instances hear of a limit, ms.
settle=1000

# Sends requests to both routers from several callers until $dir/stop is there.
# Their statuses are in $dir/NAME-*.txt.
# usage: start_load NAME TARGET
start_load() {
	rm -f "$dir/stop"
	for caller in 1 2 3
	do
		send_requests "$1-$caller" "$site_router1" "$2" &
		send_requests "$1-$caller-2" "$site_router2" "$2" &
	done
}

send_requests() {
	n=0
	while test ! -e "$dir/stop"
	do
		n=$((n + 1))
		request "$2" "$1-$n" "$3"
		echo
	done >"$dir/$1.txt"
}

stop_load() {
	: >"$dir/stop"
	sleep 0.5
}

# usage: peak_is_allowed SERVICE
peak_is_allowed() {
	for replica in 0 1 2
	do
		peak=$(control "peak?replica=$1-$replica&after=$settle")
		test "$peak" -le "$allowed" && continue
		echo "# $1-$replica got $peak in 4 s; $allowed are allowed"
		return 1
	done
}

# Prints how many requests of a load got a status other than 200, or another one.
# usage: count_other NAME [STATUS]
count_other() {
	cat "$dir/$1"-*.txt | grep -v -c -e 200 -e "${2:-200}"
}

# Prints how many requests reached the replicas of a service.
service_arrivals() {
	echo $(($(control "arrivals?replica=$1-0") +
		$(control "arrivals?replica=$1-1") +
		$(control "arrivals?replica=$1-2")))
}

# The log limits the lines of each second, and the start uses those of the first.
sleep 1.2

# All replicas of a shard name a limit; a router is started again meanwhile.
control "replica?replica=shard-0&limit=$limit" >/dev/null
start_load search /search/x
sleep 3
before=$(service_arrivals shard-0)
sleep 3
used=$(($(service_arrivals shard-0) - before))
stop_load
check replicas-of-a-shard-get-no-more-than-they-take peak_is_allowed shard-0
check a-limited-shard-costs-no-answer test "$(count_other search)" -eq 0
# Three replicas take 45 requests in 3 s.
check a-limited-shard-is-not-left-unused test "$used" -ge 22
echo "# shard-0 got $used in 3 s"
check the-log-says-what-a-replica-takes grep -q \
	'event=limit id=shard-0-. service=shard-0 state=named per_s=5.000' \
	"$dir/router-1.log"
metric() {
	curl -s "http://127.0.0.1:$((port + 503))/metrics" |
		sed -n "s/^medlarrouter_$1 //p"
}
check sends-under-a-limit-are-counted \
	test "$(metric upstream_limited_sends_total)" -gt 0

# All replicas of a service do, and requests that may run once are refused.
control "replica?replica=ledger&limit=$limit" >/dev/null
start_load order /order/x
sleep 2
kill -KILL "$(cat "$dir/router-2.pid")"
wait "$(cat "$dir/router-2.pid")" 2>/dev/null
site_start_router 2 "$((port + 510))"
sleep 4
check a-refused-request-is-told-when-there-is-room \
	grep -q -i '^Retry-After: [0-9.]' "$dir"/answer.order-1-*
stop_load
check replicas-of-a-service-get-no-more-than-they-take peak_is_allowed ledger
check requests-without-room-are-refused-or-run \
	test "$(cat "$dir"/order-[123].txt | grep -v -c -e 200 -e 503)" -eq 0
check refused-requests-are-counted \
	test "$(metric replicas_limited_total)" -gt 0
refused=$(grep -l ' 503 ' "$dir"/answer.order-1-* | head -n 1)
check a-refused-request-has-not-run \
	test "$(control "runs?id=${refused##*answer.}")" -eq 0

explained=$("$build/medlarctl" explain "${refused##*answer.}" \
	"$dir/router-1.log")
check the-log-leads-from-a-refused-request-to-the-limit test \
	"$(echo "$explained" | grep -c -e ' lacks=ledger ' -e '^cause: the limits')" -eq 2

# What is no decimal number is ignored and logged; the end of a limit is noticed.
control "replica?replica=all&limit=-1" >/dev/null
sleep 1
start_load odd /search/x
sleep 2
stop_load
check what-is-no-number-is-logged grep -q \
	'event=limit id=.* state=malformed' "$dir/router-1.log"
control "replica?replica=all&limit=none" >/dev/null
start_load free /search/x
sleep 1.5
before=$(service_arrivals shard-0)
sleep 1.5
used=$(($(service_arrivals shard-0) - before))
stop_load
check the-end-of-a-limit-is-noticed test "$used" -ge 60
echo "# shard-0 got $used in 1.5 s without a limit"
check log-lines-are-as-documented "$build/medlarctl" logs check \
	"$dir/router-1.log"
