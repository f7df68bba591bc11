#!/bin/sh
# Instances exchange their state directly while the store is down.
#
# usage: tests/e2e_peers.sh BUILD
# shellcheck disable=SC2317 # functions are called through await and trap
set -u
build=$1
dir=$build/e2e-peers
platform=127.0.0.1:26100
pids=

# shellcheck source=tests/report.sh
. tests/report.sh
plan 6

# usage: write_config REVISION INDEX
write_config() {
	curl -s -m 2 -X PUT --data-binary @- \
		"http://$platform/v1/kv/medlar/config?cas=$2" <<-EOF
	{"revision":$1,"config":{"revision":$1,"instances":4,
	 "address_ttl_ms":300,"services":[{"name":"poems","writes":false,
	 "shards":2,"priority":"coverage","deadline_ms":1000,"target_ms":500,
	 "target_quantile":0.99,"coverage_min":0.5,"extra_load":0.1,
	 "hedge_quantile":0.95,"slots":4,"connections":25,
	 "connect_cost_ms":1,"queue_max":64,"eject_max":0.34,
	 "slow_start_ms":0,"idle_max_ms":30000,"silence_ms":300,
	 "window_ms":60000,"partitions":1}]}}
	EOF
}

# usage: start_instance NUMBER KEY
start_instance() {
	cat >"$dir/e$1.json" <<-EOF
	{
		"name": "e$1", "zone": "bkk-$1",
		"listen": [{ "host": "127.0.0.1", "port": $((26110 + $1)) }],
		"platform": { "host": "127.0.0.1", "port": 26100,
			"list_ms": 200 },
		"threads": 1, "log_level": "info",
		"peer_port": $((26120 + $1)), "peer_key": "$2",
		"peers": [
		{ "name": "e1", "host": "127.0.0.1", "port": 26111,
			"peer_port": 26121, "zone": "bkk-1" },
		{ "name": "e2", "host": "127.0.0.1", "port": 26112,
			"peer_port": 26122, "zone": "bkk-2" }]
	}
	EOF
	"$build/medlard" --config "$dir/e$1.json" 2>"$dir/e$1.log" &
	eval "pid_$1=$!"
	pids="$pids $!"
}

is_logged() {
	grep -q "$2" "$dir/e$1.log"
}

# usage: lists_instances NUMBER COUNT
# Succeeds if instance NUMBER gives COUNT addresses to callers.
lists_instances() {
	test "$(curl -s -m 1 "http://127.0.0.1:$((26110 + $1))/v1/addresses" |
		grep -o '"name"' | wc -l)" -eq "$2"
}

stop_all() {
	# shellcheck disable=SC2086 # a list of numbers
	kill -9 $pids 2>/dev/null
	wait
}

key=00112233445566778899aabbccddeeff
other_key=ff112233445566778899aabbccddeeff
rm -rf "$dir"
mkdir -p "$dir"
trap stop_all EXIT
"$build/fake-platform" -p 26100 >"$dir/platform.log" 2>&1 &
platform_pid=$!
pids=$platform_pid
await curl -s -m 1 "http://$platform/v1/kv/medlar/config"
write_config 1 0 >/dev/null
start_instance 1 $key
start_instance 2 $key
# One instance gets the revision from the store, the other from it or a peer.
in_force='event=config revision=1 in_force=1 source'
await grep -q "$in_force=store" "$dir/e1.log" "$dir/e2.log" &&
	await is_logged 1 "$in_force" && await is_logged 2 "$in_force" &&
	await is_logged 1 'event=member instance=e2 state=alive' &&
	await is_logged 2 'event=member instance=e1 state=alive'
result $? instances_discover_each_other

kill -9 "$platform_pid"
start_instance 3 $key
await is_logged 3 'event=config revision=1 .*source=peer'
result $? an_instance_started_without_the_store_gets_the_revision_from_peers

await is_logged 1 'event=member instance=e3 state=alive' &&
	await lists_instances 1 3 && await lists_instances 2 3
result $? an_instance_without_a_store_entry_is_given_to_callers

start_instance 4 $other_key
sleep 1
! is_logged 1 'instance=e4' && ! is_logged 4 'instance=e1' &&
	! is_logged 4 'event=config' &&
	curl -s -m 1 http://127.0.0.1:26111/metrics |
	grep -q '^medlard_peer_unauthenticated_total [1-9]'
result $? messages_signed_with_another_key_are_ignored

kill "$pid_2"
await is_logged 1 'event=member instance=e2 state=leaving' &&
	await is_logged 3 'event=member instance=e2 state=leaving' &&
	await lists_instances 1 2
result $? a_graceful_stop_is_detected_without_the_store

kill -9 "$pid_3"
await is_logged 1 'event=member instance=e3 state=dead' &&
	await lists_instances 1 1
result $? a_killed_instance_is_detected_without_the_store

exit "$failed"
