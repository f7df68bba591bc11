#!/bin/sh
# Runs the soak test of routers for a few seconds with a fixed seed.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/report.sh
. tests/report.sh
plan 1
port=$((23000 - 1000 * ${FLEET_PORT_SHIFT:-0}))
check promises-hold-under-random-faults tests/soak_router "$1" 6 1 "$port"
exit "$failed"
