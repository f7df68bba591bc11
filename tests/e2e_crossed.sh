#!/bin/sh
# Replicas reply late, or with the id and body of another request; such bodies
# must not reach callers.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 5

tap_start "$1" crossed reader-portal
upstream "knobs?service=$service&crossed=0.05&late=0.05&late_ms=700"
load crossed 6
check no-body-of-another-request-is-delivered metric_is crossed crossed 0
check all-answers-are-correct no_violations crossed
check every-query-is-answered metric_is crossed no_answer 0
upstream "knobs?service=$service&crossed=0&late=0"
load after 2
check healthy-replicas-answer-again all_complete after
