#!/bin/sh
# Stops and restarts all instances one after the other under load.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 4

tap_start "$1" stop reader-portal
load rolling 25 --resends 0 --mix 8:2:0 &
rolling=$!
sleep 1
statuses=
for n in 1 2 3 4
do
	kill -TERM "$(fleet_pid_of "medlard-$n")"
	fleet_wait_exit "medlard-$n"
	statuses="$statuses $?"
	fleet_start_instance "$n"
	sleep 3
done
wait "$rolling"
check every-instance-exits-with-status-0 test "$statuses" = ' 0 0 0 0'
check no-request-goes-unanswered metric_is rolling no_answer 0
check all-answers-are-correct no_violations rolling
