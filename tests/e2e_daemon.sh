#!/bin/sh
# One medlard with a fake platform and fake upstreams: queries, metrics, reload,
# silent connections, an outage of the platform, and shutdown.
#
# usage: tests/e2e_daemon.sh BUILD
# shellcheck disable=SC2317 # functions are called through await and trap
set -u
build=$1
dir=$build/e2e-daemon
# Concurrent runs use different ports, within 24600 to 25799.
port=$((24600 + $$ % 30 * 40))
platform=127.0.0.1:$port
control=127.0.0.1:$((port + 1))
entry=127.0.0.1:$((port + 2))

# shellcheck source=tests/report.sh
. tests/report.sh
plan 14

# usage: search DEADLINE_MS
search() {
	curl -s -m 10 -d "{\"query\":{\"text\":\"rain\"},\"deadline_ms\":$1}" \
		"http://$entry/v1/services/poems/search"
}

# usage: is_complete ANSWER...
is_complete() {
	for answer
	do
		case $answer in
		'{"outcome":"complete"'*'"coverage":1,'*'"missing":[]'*)
			;;
		*)
			printf '# %.300s\n' "$answer"
			return 1 ;;
		esac
	done
}

# The fake upstream registers its replicas one by one.
all_replicas_live() {
	test "$(curl -s -m 2 "http://$entry/v1/upstreams" |
		grep -o '"state":"live"' | wc -l)" -eq 15 &&
		curl -s -m 2 "http://$entry/v1/status" |
			grep -q '"slots":[1-9]'
}

logged() {
	grep -q "$1" "$dir/medlard.log"
}

# usage: knob WHERE ARGUMENTS
knob() {
	curl -s -m 5 -X POST "http://$1?$2" >/dev/null
}

# usage: write_settings FILE LEVEL THREADS
write_settings() {
	cat >"$1" <<-EOF
	{
		"name": "e1", "zone": "z1", // one of three
		"listen": [{ "host": "127.0.0.1", "port": $((port + 2)) }],
		"platform": { "host": "127.0.0.1", "port": $port,
			"list_ms": 200 },
		"threads": $3,
		"log_level": "$2"
	}
	EOF
}

start_fakes() {
	cat >"$dir/upstreams.json" <<-EOF
	{ "platform": "$platform", "control_port": $((port + 1)), "threads": 1,
	  "zones": ["z1", "z2", "z3"],
	  "services": [{ "name": "poems", "shards": 5, "replicas": 3,
		"port": $((port + 10)), "slots": 4, "connections": 25, "connect_ms": 1,
		"mean_ms": 5, "sigma": 0.2, "version": 7, "queue": 8 }] }
	EOF
	"$build/fake-platform" -p "$port" >"$dir/platform.log" 2>&1 &
	platform_pid=$!
	await curl -s -m 1 "http://$platform/v1/kv/medlar/config" || return 1
	"$build/fake-upstream" "$dir/upstreams.json" \
		>"$dir/upstream.log" 2>&1 &
	upstream_pid=$!
	curl -s -X PUT --data-binary @- \
		"http://$platform/v1/kv/medlar/config?cas=0" >/dev/null <<-EOF
	{"revision":1,"config":{"revision":1,"instances":1,
	 "address_ttl_ms":300,"services":[{"name":"poems","writes":false,
	 "shards":5,"priority":"coverage","deadline_ms":3000,"target_ms":500,
	 "target_quantile":0.99,"coverage_min":0.5,"extra_load":0.2,
	 "hedge_quantile":0.95,"slots":4,"connections":25,
	 "connect_cost_ms":1,"queue_max":64,"eject_max":0.34,
	 "slow_start_ms":0,"idle_max_ms":30000,"silence_ms":300,
	 "window_ms":60000,"partitions":1}]}}
	EOF
}

start_daemon() {
	write_settings "$dir/medlard.json" info 2
	"$build/medlard" --config "$dir/medlard.json" 2>"$dir/medlard.log" &
	daemon_pid=$!
	await curl -sf -m 1 "http://$entry/readyz" && await all_replicas_live
}

stop_all() {
	kill "$daemon_pid" "$upstream_pid" "$platform_pid" 2>/dev/null
	wait
}

rm -rf "$dir"
mkdir -p "$dir"
daemon_pid='' upstream_pid='' platform_pid=''
trap stop_all EXIT
start_fakes && start_daemon
result $? 'ready_after_configuration_and_instance_list'

is_complete "$(search 2000)" "$(search 2000)"
result $? 'search_is_complete'

test "$(curl -s -m 5 "http://$entry/v1/upstreams" |
	grep -o '"share":[1-9]' | wc -l)" -eq 15
result $? 'upstreams_are_listed'

# usage: refusal STATUS FIELD CURL-ARGUMENTS...
refusal() {
	refusal_status=$1 refusal_field=$2
	shift 2
	answer=$(curl -s -m 5 -w '%{http_code}' "$@")
	case $answer in
	'{"outcome":"not_run",'*'"field":"'"$refusal_field"'"}}'*"$refusal_status")
		return 0 ;;
	esac
	printf '# %.300s\n' "$answer"
	return 1
}
head -c 20000 /dev/zero | tr '\0' a >"$dir/long"
head -c 2000000 /dev/zero >"$dir/large"
refusal 404 path "http://$entry/v2/services/poems/search" &&
	refusal 404 path "http://$entry/metrics%00x" &&
	refusal 405 method "http://$entry/v1/services/poems/search" &&
	refusal 431 headers -H "A: $(cat "$dir/long")" "http://$entry/metrics" &&
	refusal 413 body --data-binary "@$dir/large" \
		"http://$entry/v1/services/poems/search" &&
	refusal 400 framing -X 'GET /a' "http://$entry/b"
result $? 'refusals_name_what_is_at_fault'

is_complete "$(curl -s -m 5 -d '{"query":1}' \
	"http://$entry/v1/%73ervices/po%65ms/search?a=b")"
result $? 'escapes_in_a_path_are_decoded'

write_settings "$dir/wrong.json" loud 99
"$build/medlard" --check-config --config "$dir/wrong.json" 2>"$dir/wrong.log"
test $? -eq 1 && grep -q 'wrong.json:6: threads' "$dir/wrong.log" &&
	grep -q 'wrong.json:7: log_level' "$dir/wrong.log"
result $? 'every_settings_error_is_printed'

write_settings "$dir/medlard.json" info 1
kill -HUP "$daemon_pid"
await logged 'event=reload needs_restart=threads' &&
	await logged 'event=reload log_level=6'
result $? 'reload_logs_what_needs_a_restart'

knob "$control/knobs" 'mean_ms=1000'
curl -s -m 0.2 -d '{"query":1}' "http://$entry/v1/services/poems/search"
knob "$control/knobs" 'mean_ms=5'
cancel_counted() {
	curl -s -m 2 "http://$entry/metrics" |
		grep -q '^medlard_answers_cancelled_total{service="poems"} 1$'
}
await cancel_counted
result $? 'closed_caller_connection_cancels_its_request'

search 2000 >/dev/null
knob "$control/act" 'replica=0&silent=1'
knob "$control/act" 'replica=1&silent=1'
knob "$control/act" 'replica=2&silent=1'
is_complete "$(search 2500)" "$(search 2500)" "$(search 2500)" &&
	! logged 'event=eject'
result $? 'silent_connections_fail_no_query_and_eject_no_replica'

knob "$platform/knobs" 'down=1'
await logged 'event=store state=down' && is_complete "$(search 2000)"
result $? 'reads_continue_while_the_platform_is_down'
knob "$platform/knobs" 'down=0'
await logged 'event=store state=up'
result $? 'platform_recovery_is_detected'

kill -TERM "$daemon_pid"
await logged 'event=stop state=leaving'
curl -s -m 2 "http://$entry/readyz" | grep -q 'leaving' &&
	is_complete "$(search 2000)" &&
	curl -s -m 2 "http://$entry/v1/addresses" | grep -q '"addresses":\[\]'
result $? 'leaving_instance_serves_but_its_address_is_withdrawn'
wait "$daemon_pid"
test $? -eq 0 && ! logged 'event=cut'
result $? 'graceful_stop_interrupts_no_request_and_succeeds'

start_daemon
knob "$control/knobs" 'mean_ms=2000'
search 3000 >/dev/null &
search_pid=$!
in_flight() {
	curl -s -m 2 "http://$entry/v1/status" | grep -q '"in_flight":[1-9]'
}
await in_flight
kill -TERM "$daemon_pid"
await logged 'event=stop state=leaving'
kill -TERM "$daemon_pid"
wait "$daemon_pid"
test $? -eq 0 && logged 'event=cut path=/v1/services/poems/search'
result $? 'second_signal_logs_the_requests_it_interrupts'
wait "$search_pid"
exit "$failed"
