#!/bin/sh
# A request that crashes replicas and is sent to another instance each time.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=scripts/site.sh
. scripts/site.sh
# shellcheck source=tests/report.sh
. tests/report.sh
build=$1
dir=$build/e2e/crash-shared
rm -rf "$dir"

finish() {
	status=$?
	site_stop
	check no-sanitizer-reports no_reports
	test "$failed" -eq 0 || status=1
	echo "1..$count"
	exit "$status"
}

trap 'finish' EXIT
port=$((23000 - 1000 * ${FLEET_PORT_SHIFT:-0}))
site_start "$1" "$dir" "$port" || exit 1

# usage: request ROUTER ID TARGET
# Prints the status; 000 if there was no answer.
request() {
	curl -s -o /dev/null -w '%{http_code}' -m 10 \
		-H 'Host: site.example' -H "X-Request-Id: $2" \
		-H 'X-Deadline-Ms: 2000' "http://$1$3"
}

status_is() {
	got=$(request "$1" "$2" "$3")
	test "$got" = "$4" && return 0
	echo "# $3 at $1: $got, expected $4"
	return 1
}

# Prints how many replicas ran a request that crashes them.
count_crashes() {
	curl -s -m 5 "http://$site_store/control/executions" | tr ',' '\n' |
		grep -c '"poison-'
}

heard_of_each_other() {
	grep -q 'event=peer name=router-2 state=live' "$dir/router-1.log" &&
		grep -q 'event=peer name=router-1 state=live' \
			"$dir/router-2.log"
}
check instances-hear-of-each-other eventually heard_of_each_other

for n in 1 2 3
do
	router=$site_router1
	test "$n" -eq 2 && router=$site_router2
	request "$router" "poison-$n" /order/crash >/dev/null
	sleep 0.4
done
check three-replicas-crash test "$(count_crashes)" -eq 3
sleep 2
for n in 4 6 8
do
	request "$site_router2" "poison-$n" /order/crash >/dev/null
	sleep 0.4
	request "$site_router1" "poison-$((n + 1))" /order/crash >/dev/null
	sleep 0.4
done
check crashes-at-several-instances-convict-a-request \
	test "$(count_crashes)" -eq 3
sleep 2
check others-are-served eventually status_is "$site_router2" good /order/x 200
