#!/bin/sh
# Drains one replica of each shard while the instance list lags by 30 seconds, so
# that instances must learn of the drain without the list.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 4

tap_start "$1" drain reader-portal
fleet_control_post "$fleet_platform/knobs?lag_ms=30000"
upstream "knobs?service=$service&replica=0&drain=1"
load during 6
curl -s -m 5 -o /dev/null "http://$fleet_control/stats?reset=1"
load after 3
check all-queries-are-complete-during-the-drain all_complete during
check other-replicas-serve-alone all_complete after
check draining-replicas-get-no-new-request test \
	"$(upstream_sum requests "service=$service&replica=0")" -eq 0
