#!/bin/sh
# A request that crashes replicas and is sent to another instance each time.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 9
site_test "$1" crash-shared

# Prints how many replicas ran a request that crashes them.
count_crashes() {
	control executions | tr ',' '\n' | grep -c '"poison-'
}

heard_of_each_other() {
	grep -q 'event=peer name=router-2 state=live' "$dir/router-1.log" &&
		grep -q 'event=peer name=router-1 state=live' \
			"$dir/router-2.log"
}
check instances-hear-of-each-other eventually heard_of_each_other

for n in 1 2 3
do
	router=$site_router1
	test "$n" -eq 2 && router=$site_router2
	request "$router" "poison-$n" /order/crash >/dev/null
	sleep 0.4
done
check three-replicas-crash test "$(count_crashes)" -eq 3
sleep 2
for n in 4 6 8
do
	request "$site_router2" "poison-$n" /order/crash >/dev/null
	sleep 0.4
	request "$site_router1" "poison-$((n + 1))" /order/crash >/dev/null
	sleep 0.4
done
check crashes-at-several-instances-convict-a-request \
	test "$(count_crashes)" -eq 3
sleep 2
check others-are-served eventually status_is "$site_router2" good /order/x 200

# All replicas of a service go down at once while they run the same popular request.
send_popular() {
	n=0
	while test ! -e "$dir/stop"
	do
		n=$((n + 1))
		request "$1" "$2-$n" /order/popular >/dev/null
	done
}
control 'replica?replica=all&work=60' >/dev/null
for worker in 1 2 3 4 5 6
do
	send_popular "$site_router1" "popular-1-$worker" &
	send_popular "$site_router2" "popular-2-$worker" &
done
sleep 1
control 'replica?replica=ledger&crash=1' >/dev/null
sleep 3
: >"$dir/stop"
control 'replica?replica=all&work=5' >/dev/null
for n in 1 2
do
	check "a-popular-request-is-not-blamed-for-an-outage-by-router-$n" \
		status_is "127.0.0.1:$((port + 490 + 10 * n))" "after-$n" \
		/order/popular 200
done
sleep 1

# All instances are killed at once; what they knew of the request is in the store.
kill_and_restart_all() {
	for n in 1 2
	do
		kill -KILL "$(cat "$dir/router-$n.pid")"
	done
	for n in 1 2
	do
		wait "$(cat "$dir/router-$n.pid")" 2>/dev/null
	done
	for n in 1 2
	do
		site_start_router "$n" "$((port + 490 + 10 * n))"
	done
	for n in 1 2
	do
		fleet_wait "http://127.0.0.1:$((port + 491 + 10 * n))/api/ready"
	done
}
for round in 1 2
do
	kill_and_restart_all
	for n in 1 2
	do
		request "$site_router1" "poison-$round-1$n" /order/crash \
			>/dev/null
		request "$site_router2" "poison-$round-2$n" /order/crash \
			>/dev/null
		sleep 0.4
	done
done
check a-request-that-crashes-replicas-is-known-after-a-kill-of-all \
	test "$(count_crashes)" -eq 3
check others-are-served-after-the-kill \
	eventually status_is "$site_router1" after-kill /order/x 200
