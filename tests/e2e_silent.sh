#!/bin/sh
# Every second open connection goes silent while new ones work; queries must
# be retried on new connections, and no replica must be ejected.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 4

tap_start "$1" silent reader-portal
load before 2
upstream "act?service=$service&silent=2"
load silent 4 --deadline 2000
check no-query-is-lost all_complete silent
check no-healthy-replica-is-ejected test \
	"$(cat "$dir"/medlard-*.log | grep -c 'event=eject')" -eq 0
load after 2
check later-queries-are-complete all_complete after
