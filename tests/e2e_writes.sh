#!/bin/sh
# Writes through four entry instances while the store loses replies, upstreams
# shed load, delay replies and crash, and an instance is killed. The outcomes
# reported to callers are compared with the executions that upstreams logged.
#
# usage: tests/e2e_writes.sh BUILD [WRITES [PORT]]
# WRITES is the number of writes per test case, PORT the first port to use.
set -u
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

echo '1..13'
build=$1
base=${3:-23000}
rate=100
seconds=$((${2:-300} / rate))
service=billing-ledger
cases=0
failures=0

# Reports a test case in TAP: STATUS NAME
report() {
	cases=$((cases + 1))
	if test "$1" -eq 0
	then
		echo "ok $cases - $2"
	else
		failures=$((failures + 1))
		echo "not ok $cases - $2"
	fi
}

# Prints the answer to a write. usage: send ENTRY KEY
send() {
	curl -s -m 10 -H "Idempotency-Key: $2" -d '{"query":{"renew":1}}' \
		"http://$1/v1/services/$service/write"
}

# Sends writes at a constant rate. usage: load SEED
load() {
	# shellcheck disable=SC2086
	"$build/medlarload" --service "$service" --mix 0:0:1 --seed "$1" \
		--rate "$rate" --duration "$seconds" --callers 20 --resends 3 \
		--executions "http://$fleet_control/executions" \
		--json="$fleet_dir/load.json" $fleet_entries >/dev/null 2>&1
}

# Prints a metric of the last load. usage: load_metric NAME
load_metric() {
	sed -n "s/.*\"write\":{[^}]*\"$1\":\([0-9.]*\).*/\1/p" \
		"$fleet_dir/load.json"
}

# Succeeds if no write ran twice, all reported outcomes were correct and some
# writes ran.
outcomes_are_correct() {
	for name in doubled untrue_not_run untrue_ran
	do
		test "$(load_metric $name)" = 0 || return 1
	done
	test "$(load_metric ran)" -gt 0
}

# Runs the load and reports a case. usage: run_case SEED NAME
run_case() {
	load "$1"
	outcomes_are_correct
	report $? "$2"
	echo "# ran $(load_metric ran) not_run $(load_metric not_run)" \
		"unknown $(load_metric unknown) no_answer $(load_metric no_answer)" \
		"replayed $(load_metric replayed) resent $(load_metric resent)"
}

upstream_knob() {
	fleet_control_post "$fleet_control/knobs?service=$service&$1"
}

executions_of() {
	curl -s -m 5 "http://$fleet_control/executions" |
		grep -c "\"key\":\"$1\""
}

verify_repeat() {
	key=$(fleet_key)
	for entry in $fleet_entries
	do
		send "$entry" "$key" >>"$fleet_dir/repeat.json"
		sleep 0.5
	done
	test "$(grep -c '"outcome":"ran"' "$fleet_dir/repeat.json")" -eq 4 &&
		test "$(grep -c '"replayed":true' \
			"$fleet_dir/repeat.json")" -eq 3 &&
		test "$(executions_of "$key")" -eq 1
	report $? replays_the_result_through_every_instance
	"$build/medlarctl" --server "http://$fleet_entry" writes "$key" |
		grep -q ran
	report $? shows_operators_the_recorded_state
}

verify_refusals() {
	send "$fleet_entry" not-a-uuid | grep -q '"outcome":"not_run"'
	report $? refuses_a_malformed_key
	send "$fleet_entry" 01700000-0000-7000-8000-000000000000 |
		grep -q '"outcome":"unknown".*"code":"expired"'
	report $? reports_an_expired_key_as_unknown
}

verify_outage() {
	fleet_control_post "$fleet_platform/knobs?down=1"
	key=$(fleet_key)
	send "$fleet_entry" "$key" | grep -q '"outcome":"not_run"'
	refused=$?
	test "$refused" -eq 0 && test "$(executions_of "$key")" -eq 0
	report $? refuses_as_not_run_while_the_store_is_down
	fleet_control_post "$fleet_platform/knobs?down=0"
	tries=0
	until send "$fleet_entry" "$(fleet_key)" | grep -q '"outcome":"ran"'
	do
		tries=$((tries + 1))
		test "$tries" -lt 20 || break
		sleep 0.2
	done
	test "$tries" -lt 20
	report $? runs_writes_again_when_the_store_is_back
}

# A paused instance may dispatch only the writes that it claimed before.
verify_pause() {
	(
		sleep 1
		kill -STOP "$(fleet_pid_of medlard-4)"
		sleep 1.5
		kill -CONT "$(fleet_pid_of medlard-4)"
	) &
	pause_pid=$!
	run_case 6 reports_correct_outcomes_when_an_instance_is_paused
	wait "$pause_pid"
}

# An instance that shuts down must record the outcomes of its writes first.
verify_stop() {
	key=$(fleet_key)
	send "${fleet_entry%1}3" "$key" >"$fleet_dir/stop.json"
	kill -TERM "$(fleet_pid_of medlard-3)"
	fleet_wait_exit medlard-3 && send "$fleet_entry" "$key" |
		grep -q '"outcome":"ran".*"replayed":true'
	report $? records_outcomes_before_a_planned_stop
}

verify_faults() {
	fleet_control_post "$fleet_platform/knobs?lose=0.1"
	run_case 2 reports_correct_outcomes_while_store_replies_are_lost
	fleet_control_post "$fleet_platform/knobs?lose=0"
	upstream_knob "shed=0.3&late=0.1&late_ms=500"
	run_case 3 reports_correct_outcomes_while_upstreams_shed_and_are_late
	fleet_control_post "$fleet_platform/knobs?lose=0.05"
	(
		sleep 1
		fleet_control_post "$fleet_control/act?service=$service&replica=0&die=500"
		kill -KILL "$(fleet_pid_of medlard-2)"
	) &
	kill_pid=$!
	run_case 4 reports_correct_outcomes_when_an_instance_is_killed
	wait "$kill_pid"
	fleet_control_post "$fleet_platform/knobs?lose=0"
	upstream_knob "shed=0&late=0"
	# Upstreams crash on every body that contains this digit.
	fleet_control_post "$fleet_control/act?service=$service&crash=7"
	run_case 5 reports_correct_outcomes_while_requests_crash_upstreams
}

trap 'fleet_stop' EXIT
trap 'exit 1' INT TERM
rm -rf "$build/e2e-writes-$base"
fleet_prepare "$build" kraisorn "$build/e2e-writes-$base" "$base"
fleet_start || exit 1
tries=0
until send "$fleet_entry" "$(fleet_key)" | grep -q '"outcome":"ran"'
do
	tries=$((tries + 1))
	test "$tries" -lt 50 || exit 1
	sleep 0.2
done
verify_repeat
verify_refusals
run_case 1 reports_correct_outcomes_without_faults
verify_outage
verify_pause
verify_stop
verify_faults
test "$failures" -eq 0
