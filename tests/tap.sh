# shellcheck shell=sh disable=SC2034
# Frame of the end-to-end tests: a deployment, loads, and TAP lines.
#
# usage: . tests/tap.sh; tap_start BUILD NAME SERVICE
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
# shellcheck source=tests/report.sh
. tests/report.sh

tap_end() {
	tap_status=$?
	fleet_stop
	check no-sanitizer-reports no_reports
	test "$failed" -eq 0 || tap_status=1
	echo "1..$count"
	exit "$tap_status"
}

# Prepares kraisorn on ports of its own; the test ends with tap_end.
tap_prepare() {
	build=$1 service=$3
	dir=$build/e2e/$2
	rm -rf "$dir"
	trap 'tap_end' EXIT
	fleet_prepare "$build" kraisorn "$dir" 23000
}

# Starts the whole deployment: BUILD NAME SERVICE
tap_start() {
	tap_prepare "$@"
	fleet_start && fleet_settle "$service" || exit 1
}

# Starts the stand-ins only, and waits until the replicas are listed.
tap_start_stand_ins() {
	tap_prepare "$@"
	fleet_start_stand_ins || exit 1
	until curl -s -m 5 "http://$fleet_platform/v1/health/service/$service" |
		grep -q "\"$service-9-2\""
	do
		sleep 0.1
	done
}

# Runs a load of a few seconds: NAME SECONDS [OPTION...]
load() {
	tap_load=$1 tap_seconds=$2
	shift 2
	# shellcheck disable=SC2086
	timeout 120 "$build/medlarload" $fleet_entries -s "$service" -r 25 \
		-d "$tap_seconds" --seed 11 --json="$dir/$tap_load.json" "$@" \
		>"$dir/$tap_load.txt" 2>&1
	cat "$dir/$tap_load.txt"
}

# Succeeds if a metric has a value: NAME METRIC VALUE
metric_is() {
	test "$(metric "$1" "$2")" = "$3" && return 0
	echo "# $1: $2 is $(metric "$1" "$2"), expected $3"
	return 1
}

all_complete() {
	metric_is "$1" complete "$(metric "$1" count)"
}

all_true() {
	for tap_fault in mixed crossed wrong_coverage duplicates malformed \
		doubled untrue_not_run untrue_ran
	do
		metric_is "$1" "$tap_fault" 0 || return 1
	done
}

upstream() {
	fleet_knob "$fleet_control/$1"
}

# Prints the sum of a statistic of the upstreams: NAME SELECT
upstream_sum() {
	curl -s -m 5 "http://$fleet_control/stats?$2" |
		sed "s/.*\"$1\":\\([0-9]*\\).*/\\1/" |
		awk '{ sum += $1 } END { print sum + 0 }'
}

# Sends a request to the first instance: KIND BODY [HEADER]
ask() {
	curl -s -m 20 ${3:+-H "$3"} -d "$2" \
		"http://$fleet_entry/v1/services/$service/$1"
}

contains() {
	case $1 in
	*"$2"*)
		return 0 ;;
	esac
	echo "# expected $2 in: $1" | cut -c 1-300
	return 1
}
