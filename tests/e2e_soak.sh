#!/bin/sh
# A short run of the soak of routers with a fixed seed.
cd "$(dirname "$0")/.." || exit 1
port=$((23000 - 1000 * ${FLEET_PORT_SHIFT:-0}))
if tests/soak_router "$1" 6 1 "$port"
then
	echo "ok 1 - promises-hold-under-random-faults"
	status=0
else
	echo "not ok 1 - promises-hold-under-random-faults"
	status=1
fi
echo "1..1"
exit "$status"
