#!/bin/sh
# All replicas of a shard are lost; answers must state which range is missing,
# neither more nor less.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 6

tap_start "$1" shard_lost reader-portal
upstream "act?service=$service&shard=3&die=600000"
sleep 1
load lost 3
check all-answers-are-correct no_violations lost
check every-query-is-answered metric_is lost no_answer 0
answer=$(ask search '{"query":1}')
check the-outcome-is-partial contains "$answer" '"outcome":"partial"'
check the-missing-range-is-the-range-of-the-shard contains "$answer" \
	'"missing":[[1288490188,1717986918]]'
check all-other-ranges-are-covered contains "$answer" \
	'"covered":[[0,1288490188],[1717986918,4294967296]]'
