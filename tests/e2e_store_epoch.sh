#!/bin/sh
# The store comes back from a copy some seconds old and gives revisions out again.
# Guards against DRAIN and CONFIG: what was written before the revision that a router
# watches from was never seen, and what had left before was used again.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 12
site_test "$1" store-epoch

# Sets or, without a value, deletes an item of the store.
put_item() {
	curl -s -m 5 --data-binary "${2-}" \
		"http://$site_store/control/item?key=$1"
}

# Sends searches and orders, and notes those that are not answered with 200.
# usage: send_requests NAME COUNT
send_requests() {
	n=0
	while test "$n" -lt "$2"
	do
		n=$((n + 1))
		status_is "$site_router1" "$1-s$n" /search/x 200 ||
			echo "$1-s$n" >>"$dir/unserved.txt"
		status_is "$site_router2" "$1-o$n" /order/x 200 ||
			echo "$1-o$n" >>"$dir/unserved.txt"
	done
}

# Succeeds if a replica runs none of the requests that are sent now.
# usage: is_unused REPLICA NAME
is_unused() {
	runs=$(control "runs?replica=$1")
	send_requests "$2" 12
	test "$(control "runs?replica=$1")" = "$runs"
}

# usage: metric_of ROUTER-PORT-OFFSET NAME
metric_of() {
	curl -s -m 5 "http://127.0.0.1:$((port + $1))/metrics" |
		sed -n "s/^medlarrouter_$2 //p"
}

: >"$dir/unserved.txt"
send_requests before 4

# The copies hold what was written at the start.
sleep 4

# What is written while nobody can watch, at revisions that were given out before.
sleep 1
put_item servers/ledger-0
n=0
while test "$n" -lt 6
do
	n=$((n + 1))
	put_item "medlar/filler-$n" 1
done
sleep 1
check a-replica-that-has-left-is-unused is_unused ledger-0 left
control store >/dev/null
control 'store?drill=4000' >/dev/null
control 'replica?replica=shard-0-0&state=draining' >/dev/null
n=0
while test "$n" -lt 12
do
	n=$((n + 1))
	put_item "medlar/other-$n" 1
done
control store >/dev/null
eventually grep -q 'event=store_epoch epoch=2' "$dir/router-1.log"
result $? the-epoch-is-logged
sleep 1
check a-replica-that-has-left-stays-out-of-use is_unused ledger-0 back
seen=0
for n in 1 2
do
	grep -q 'event=replica id=shard-0-0 state=draining' \
		"$dir/router-$n.log" && seen=$((seen + 1))
done
check a-change-at-a-revision-given-out-again-is-seen test "$seen" -eq 2
check a-replica-that-drains-since-is-unused is_unused shard-0-0 draining
control 'store?again=1' >/dev/null
check the-epoch-is-in-the-metrics test "$(metric_of 503 store_epoch)" = 2
check each-router-has-risen test "$(metric_of 513 store_epochs_total)" = 1
check entries-of-routers-are-written-again \
	eventually sh -c "curl -s 'http://$site_store/api/kv-range?pathPrefix=' |
		grep -q 'medlar/instances/router-1.*medlar/instances/router-2\|medlar/instances/router-2.*medlar/instances/router-1'"

# In series, beside a restart.
for n in 1 2 3
do
	control 'store?drill=2500' >/dev/null
	send_requests "series-$n" 3
	control 'store?again=1' >/dev/null
done
control 'replica?replica=ledger-0&state=ready' >/dev/null
control 'replica?replica=ledger-1&state=draining' >/dev/null
control 'replica?replica=ledger-2&state=draining' >/dev/null
sleep 1
runs=$(control 'runs?replica=ledger-0')
send_requests returned 4
check a-replica-that-is-written-again-is-used \
	test "$(control 'runs?replica=ledger-0')" -eq $((runs + 4))
check what-is-gone-meanwhile-stays-so is_unused shard-0-0 again
check no-request-failed-because-of-it test ! -s "$dir/unserved.txt"
