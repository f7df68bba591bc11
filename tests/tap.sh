# shellcheck shell=sh disable=SC2034
# Functions of the end-to-end tests: start a deployment, run loads against it
# and check the results.
#
# usage: . tests/tap.sh; tap_start BUILD NAME SERVICE
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
# shellcheck source=tests/report.sh
. tests/report.sh

# Stops the deployment, reports the last case and prints the TAP plan.
tap_end() {
	tap_status=$?
	fleet_stop
	check no-sanitizer-reports no_reports
	test "$failed" -eq 0 || tap_status=1
	exit "$tap_status"
}

# Prepares the deployment kraisorn; tap_end runs when the test exits.
# usage: tap_prepare BUILD NAME SERVICE
tap_prepare() {
	build=$1 service=$3
	dir=$build/e2e/$2
	rm -rf "$dir"
	trap 'tap_end' EXIT
	fleet_prepare "$build" kraisorn "$dir" 23000
}

# Starts the whole deployment and waits until SERVICE is searchable.
# usage: tap_start BUILD NAME SERVICE
tap_start() {
	tap_prepare "$@"
	fleet_start && fleet_wait_searchable "$service" || exit 1
}

# Starts the fakes only and waits until the platform lists the replicas.
# usage: tap_start_fakes BUILD NAME SERVICE
tap_start_fakes() {
	tap_prepare "$@"
	fleet_start_fakes || exit 1
	until curl -s -m 5 "http://$fleet_platform/v1/health/service/$service" |
		grep -q "\"$service-9-2\""
	do
		sleep 0.1
	done
}

# Runs medlarload and prints its output; its results go to $dir/NAME.json.
# usage: load NAME SECONDS [OPTION...]
load() {
	tap_load=$1 tap_seconds=$2
	shift 2
	# shellcheck disable=SC2086
	timeout 120 "$build/medlarload" $fleet_entries -s "$service" -r 25 \
		-d "$tap_seconds" --seed 11 --json="$dir/$tap_load.json" "$@" \
		>"$dir/$tap_load.txt" 2>&1
	cat "$dir/$tap_load.txt"
}

# Succeeds if a metric of the load NAME has the given value.
# usage: metric_is NAME METRIC VALUE
metric_is() {
	test "$(metric "$1" "$2")" = "$3" && return 0
	echo "# $1: $2 is $(metric "$1" "$2"), expected $3"
	return 1
}

# Succeeds if all answers to the load NAME were complete.
# usage: all_complete NAME
all_complete() {
	metric_is "$1" complete "$(metric "$1" count)"
}

# Succeeds if no answer to the load NAME violated a guarantee.
# usage: no_violations NAME
no_violations() {
	for tap_violation in mixed crossed wrong_coverage duplicates malformed \
		doubled untrue_not_run untrue_ran
	do
		metric_is "$1" "$tap_violation" 0 || return 1
	done
}

# Sends a command to the control interface of the fake upstreams.
# usage: upstream PATH
upstream() {
	fleet_control_post "$fleet_control/$1"
}

# Prints the sum of a statistic over the fake upstreams that a query selects.
# usage: upstream_sum NAME QUERY
upstream_sum() {
	curl -s -m 5 "http://$fleet_control/stats?$2" |
		sed "s/.*\"$1\":\\([0-9]*\\).*/\\1/" |
		awk '{ sum += $1 } END { print sum + 0 }'
}

# Sends a request to the first entry instance and prints the answer.
# usage: ask KIND BODY [HEADER]
ask() {
	curl -s -m 20 ${3:+-H "$3"} -d "$2" \
		"http://$fleet_entry/v1/services/$service/$1"
}

# usage: contains TEXT PART
contains() {
	case $1 in
	*"$2"*)
		return 0 ;;
	esac
	echo "# expected $2 in: $1" | cut -c 1-300
	return 1
}
