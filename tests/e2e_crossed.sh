#!/bin/sh
# Replicas answer late, and with the id and body of another request.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh

tap_start "$1" crossed reader-portal
upstream "knobs?service=$service&crossed=0.05&late=0.05&late_ms=700"
load crossed 6
check no-foreign-body-is-delivered metric_is crossed crossed 0
check all-answers-are-true all_true crossed
check every-query-is-answered metric_is crossed no_answer 0
upstream "knobs?service=$service&crossed=0&late=0"
load after 2
check healthy-replicas-answer-again all_complete after
