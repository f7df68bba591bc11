#!/bin/sh
# A planned stop, in calm, with requests that take longer than the grace period.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 8
site_test "$1" stop-grace
request_timeout=20000

# Two routes to one service: the first may be repeated, the second may not.
curl -s -m 5 --data-binary '{"version":5,"routes":[{"name":"look","hostname":
"site.example","pathPrefix":"/look/","type":"idempotent","timeoutMs":20000,
"targetLatencyMs":500,"service":"ledger","maxAttempts":2},{"name":"order",
"hostname":"site.example","pathPrefix":"/order/","type":"non_idempotent",
"timeoutMs":20000,"targetLatencyMs":500,"service":"ledger","maxAttempts":1}],
"services":[{"name":"ledger","maxConns":40}],"limits":{}}' \
	"http://$site_store/control/item?key=op/config" >/dev/null
is_in_force() {
	grep -q 'event=config version=5' "$dir/router-1.log"
}
check the-configuration-is-in-force eventually is_in_force
control 'replica?replica=all&work=9000' >/dev/null

# usage: send NAME ROUTE
# Stores the status, 000 if there was none, and the exit status of curl.
send() {
	code=$(request "$site_router1" "$1" "/$2/x")
	echo "$code $?" >"$dir/$1.txt"
}

send early-look look &
early_look=$!
send early-order order &
early_order=$!
sleep 0.3
router1=$(cat "$dir/router-1.pid")
kill -TERM "$router1"
sleep 0.5
send late-order order &
late_order=$!
sleep 0.3
check what-cannot-end-in-time-is-refused-at-once \
	grep -q '^503 0' "$dir/late-order.txt"
wait "$early_look" "$early_order" "$late_order"
wait "$router1"
check the-process-exits-with-status-0 test $? -eq 0
check a-refused-request-is-not-run \
	test "$(control 'runs?id=late-order')" -eq 0
for name in early-look early-order
do
	check "$name-gets-a-complete-answer" \
		grep -q '^50[24] 0' "$dir/$name.txt"
done
check nothing-was-cut grep -q 'event=stop state=end cut=0' "$dir/router-1.log"
