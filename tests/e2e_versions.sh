#!/bin/sh
# Versions are published, rolled back and retired while queries run; no answer
# may combine parts of different versions.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 6

tap_start "$1" versions reader-portal
(
	for version in 8 9 10 11
	do
		upstream "act?service=$service&replica=0&publish=$version"
		sleep 0.4
		upstream "act?service=$service&publish=$version"
		sleep 0.4
		upstream "act?service=$service&replica=1&retire=$version"
		sleep 0.4
		upstream "act?service=$service&publish=$version"
		upstream "act?service=$service&retire=$((version - 1))"
	done
) &
load versions 5
wait $!
check no-answer-mixes-versions metric_is versions mixed 0
check coverage-is-correct metric_is versions wrong_coverage 0
check every-query-is-answered metric_is versions no_answer 0
load after 2
check the-last-version-gives-full-coverage all_complete after
check answers-state-the-last-published-version contains \
	"$(ask search '{"query":1}')" '"version":11'
