#!/bin/sh
# A request that crashes replicas and is sent to another instance each time.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
site_test "$1" crash-shared

# Prints how many replicas ran a request that crashes them.
count_crashes() {
	control executions | tr ',' '\n' | grep -c '"poison-'
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
