#!/bin/sh
# One replica a shard drains while the instance list lags by half a minute.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh

tap_start "$1" drain reader-portal
fleet_knob "$fleet_platform/knobs?lag_ms=30000"
upstream "knobs?service=$service&replica=0&drain=1"
load during 6
curl -s -m 5 -o /dev/null "http://$fleet_control/stats?reset=1"
load after 3
check no-query-is-cut all_complete during
check the-rest-serves-alone all_complete after
check leaving-replicas-get-nothing-new test \
	"$(upstream_sum requests "service=$service&replica=0")" -eq 0
