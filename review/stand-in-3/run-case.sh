#!/bin/sh
# Runs a scenario of the stand-in with routers in front of it.
#
# usage: review/stand-in-3/run-case.sh FOLDER SCENARIO [ROUTERS]
#
# Writes FOLDER/record.txt. Exits with 1 if the rule was broken, with 0 if it held, and
# with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=$1 scenario=$2 routers=${3:-2}
site=build/review-3/site
pids=
dir=

finish() {
	for pid in $pids
	do
		kill "$pid" 2>/dev/null
	done
	for pid in $pids
	do
		wait "$pid" 2>/dev/null
	done
	test -z "$dir" || rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM

test -x "$site" && test -x target/medlarrouter || {
	echo "run fleetbench build and review/build-3.sh first" >&2
	exit 2
}
dir=$(mktemp -d) || exit 2
base=$("$site" free) || exit 2

# The settings that deploy/settings.json gives on a machine of a small deployment.
settings() {
	cat <<END
{
	"instance": "front-bkk-a-$1", "zone": "bkk-a",
	"callers": "127.0.1.$1:$((base + 40))",
	"readiness": "127.0.1.$1:$((base + 41))",
	"directory": "127.0.1.$1:$((base + 42))",
	"metrics": "127.0.1.$1:$((base + 43))",
	"peers": "127.0.1.$1:$((base + 44))",
	"seeds": "127.0.1.1:$((base + 45)),127.0.1.2:$((base + 45))",
	"store": "127.0.0.1:$base", "log_level": "info",
	"retry_ratio": 0.2, "retry_slack": 56, "retry_window_ms": 10000,
	"grace_ms": 6000, "config_apply_ms": 3000, "address_ttl_max_ms": 5000
}
END
}

"$site" "$scenario" "$base" "$routers" "$folder/record.txt" >"$dir/site.log" 2>&1 &
site_pid=$!
pids=$site_pid
sleep 0.3
n=0
while test "$n" -lt "$routers"
do
	n=$((n + 1))
	settings "$n" >"$dir/router-$n.json"
	target/medlarrouter --config "$dir/router-$n.json" \
		>"$dir/router-$n.log" 2>&1 &
	pids="$pids $!"
done
wait "$site_pid"
status=$?
pids=${pids#"$site_pid"}
cat "$dir/site.log"
{
	cat "$dir/site.log"
	for n in $(seq "$routers")
	do
		sed -n "s/.*\(event=\(store_epoch\|store_listed\|store\|config\|bad_entry\) .*\)/router $n: \1/p" \
			"$dir/router-$n.log"
	done
} >>"$folder/record.txt"
test "$status" -le 2 || status=2
exit "$status"
