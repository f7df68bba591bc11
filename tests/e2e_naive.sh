#!/bin/sh
# The load tool finds what the naive client gets wrong, so its checks can fail.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh

# Loads with the naive client: NAME OPTION...
naive() {
	name=$1
	shift
	load "$name" 3 --naive --platform "$fleet_platform" "$@"
}

more_than_none() {
	test "$(metric "$1" "$2")" -gt 0 && return 0
	echo "# $1: $2 is 0"
	return 1
}

tap_start_stand_ins "$1" naive reader-portal
naive calm
check healthy-upstreams-give-complete-answers all_complete calm
check healthy-upstreams-give-true-answers all_true calm
upstream "knobs?service=$service&crossed=0.2"
naive crossed
check foreign-bodies-are-found more_than_none crossed crossed
upstream "knobs?service=$service&crossed=0"
upstream "act?service=$service&replica=0&publish=8"
naive mixed
check mixed-versions-are-found more_than_none mixed mixed
upstream "act?service=$service&shard=3&die=600000"
naive partial --mix 1:0:0
check missing-shards-are-found more_than_none partial partial
upstream "knobs?service=billing-ledger&tail_share=0.5&tail_factor=50"
naive doubled --mix 0:0:1 --write-service billing-ledger \
	--executions "http://$fleet_control/executions"
check doubled-writes-are-found more_than_none doubled doubled
