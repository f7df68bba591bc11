#!/bin/sh
# The checks of the load tool must be able to fail: each fault that the naive
# client does not handle must be detected.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 7

# Runs a load with the naive client: NAME [OPTION...]
naive() {
	name=$1
	shift
	load "$name" 3 --naive --platform "$fleet_platform" "$@"
}

is_positive() {
	test "$(metric "$1" "$2")" -gt 0 && return 0
	echo "# $1: $2 is 0"
	return 1
}

tap_start_fakes "$1" naive reader-portal
naive calm
check healthy-upstreams-give-complete-answers all_complete calm
check healthy-upstreams-give-correct-answers no_violations calm
upstream "knobs?service=$service&crossed=0.2"
naive crossed
check bodies-of-other-requests-are-detected is_positive crossed crossed
upstream "knobs?service=$service&crossed=0"
upstream "act?service=$service&replica=0&publish=8"
naive mixed
check mixed-versions-are-detected is_positive mixed mixed
upstream "act?service=$service&shard=3&die=600000"
naive partial --mix 1:0:0
check missing-shards-are-detected is_positive partial partial
upstream "knobs?service=billing-ledger&tail_share=0.5&tail_factor=50"
naive doubled --mix 0:0:1 --write-service billing-ledger \
	--executions "http://$fleet_control/executions"
check doubled-writes-are-detected is_positive doubled doubled
