#!/bin/sh
# Writes while the store loses replies or is down, and replicas shed load, stall
# and crash. No write may run twice, and reported outcomes must be correct.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 9

# Runs a load of writes and compares the outcomes with the execution log:
# NAME SECONDS [OPTION...]
load_writes() {
	name=$1 seconds=$2
	shift 2
	load "$name" "$seconds" --mix 0:0:1 --write-service billing-ledger \
		--executions "http://$fleet_control/executions" "$@"
}

tap_start "$1" writes reader-portal
load_writes calm 2
check writes-run metric_is calm ran "$(metric calm count)"
check each-runs-once no_violations calm
fleet_control_post "$fleet_platform/knobs?lose=0.1"
upstream "knobs?service=billing-ledger&shed=0.1&tail_share=0.05&tail_factor=50"
(sleep 1 && upstream "act?service=billing-ledger&replica=0&die=1000") &
load_writes faults 5
wait $!
check none-runs-twice metric_is faults doubled 0
check writes-reported-as-not-run-did-not-run metric_is faults untrue_not_run 0
check writes-reported-as-run-did-run metric_is faults untrue_ran 0
key=$(fleet_key)
service=billing-ledger
for _ in 1 2 3
do
	ask write '{"query":{"renew":"7"}}' "Idempotency-Key: $key" >/dev/null
done
check a-repeat-runs-at-most-once test "$(curl -s -m 5 \
	"http://$fleet_control/executions" | grep -c "$key")" -le 1
fleet_control_post "$fleet_platform/knobs?lose=0&down=1"
load_writes down 2 --resends 0
check without-the-store-writes-are-not-run metric_is down not_run \
	"$(metric down count)"
check no-write-reported-as-not-run-ran metric_is down untrue_not_run 0
