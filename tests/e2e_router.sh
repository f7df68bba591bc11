#!/bin/sh
# Routers as processes, between callers and the stand-in for the platform.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=scripts/site.sh
. scripts/site.sh
# shellcheck source=tests/report.sh
. tests/report.sh
id=1000
build=$1
dir=$build/e2e/router
rm -rf "$dir"

finish() {
	status=$?
	site_stop
	check no-sanitizer-reports no_reports
	test "$failed" -eq 0 || status=1
	echo "1..$count"
	exit "$status"
}

# The operator has only logs: explains TEXT finds the cause of request $id.
explains() {
	sleep 0.2
	"$build/medlarctl" explain "$id" "$dir"/router-*.log >"$dir/story.txt"
	grep -q "^cause: .*$1" "$dir/story.txt" && return 0
	sed 's/^/# /' "$dir/story.txt"
	return 1
}

trap 'finish' EXIT
port=$((23000 - 1000 * ${FLEET_PORT_SHIFT:-0}))
site_start "$1" "$dir" "$port" || exit 1

# ask TARGET [CURL OPTION...]: answer with headers in $answer, id in $id
ask() {
	target=$1
	shift
	id=$((id + 1))
	answer=$(curl -s -i -m 10 --path-as-is -H 'Host: site.example' \
		-H "X-Request-Id: $id" -H 'X-Deadline-Ms: 2000' "$@" \
		"http://$site_router1$target" | tr -d '\r')
}

control() {
	curl -s -m 5 "http://$site_store/control/$1"
}

has() {
	printf '%s\n' "$answer" | grep -q -- "$1" && return 0
	echo "# no $1 in: $(printf '%s' "$answer" | head -n 5 | tr '\n' '|')"
	return 1
}

runs_are() {
	test "$(control "runs?$1")" = "$2" && return 0
	echo "# runs of $1: $(control "runs?$1"), expected $2"
	return 1
}

# Waits up to 5 s until a command succeeds.
eventually() {
	tries=0
	until "$@" >/dev/null
	do
		tries=$((tries + 1))
		test "$tries" -lt 50 || return 1
		sleep 0.1
	done
}

both_addresses() {
	curl -s -m 5 "http://127.0.0.1:$((port + 502))/api/resolve?zone=a" |
		grep "$site_router1" | grep -q "$site_router2"
}
check callers-are-told-of-both-instances eventually both_addresses

ask '/search/a%2F../b//?q=%20&x'
check parts-are-merged has '^HTTP/1.1 200'
check no-part-is-missing has '^X-Missing-Parts: 0'
check each-part-is-proved has "X-Part-Stamps: shard-0.*shard-3-[0-9].$id"
check records-are-the-greatest has 'shard-3 .*2shard-3'

ask '/order/a%2F../b//?q=%20&x' -X PUT -d 'a body'
check an-order-is-relayed has 'a body'
check the-target-is-unchanged has '^X-Seen-Target: /order/a%2F../b//?q=%20&x$'
ask '/order/x' -H 'Transfer-Encoding: chunked' -d 'in chunks'
check chunks-are-taken has 'in chunks'
ask '/order/x' -I
check head-is-relayed has "^X-Request-Id: $id"

control 'replica?replica=all&mode=stray' >/dev/null
n=0 wrong=0
while test "$n" -lt 20
do
	ask /order/x -d "body $n"
	has "body $n" || wrong=$((wrong + 1))
	n=$((n + 1))
done
check second-answers-reach-nobody test "$wrong" -eq 0
control 'replica?replica=all&mode=ok' >/dev/null

control 'replica?replica=ledger-0&mode=shed' >/dev/null
control 'replica?replica=ledger-1&mode=shed' >/dev/null
ask /order/x -d once
check a-refused-order-runs-elsewhere has '^HTTP/1.1 200'
check it-ran-once runs_are "id=$id" 1
control 'replica?replica=ledger-2&mode=shed' >/dev/null
ask /order/x -d never
check all-refuse-not-run-is-told has '^HTTP/1.1 503'
check the-caller-is-told-when-to-come-back has '^Retry-After: 0'
check it-did-not-run runs_are "id=$id" 0
check a-refusal-is-explained explains 'ledger-2.* refused it and did not run'
control 'replica?replica=all&mode=reset' >/dev/null
ask /order/x -d lost
check a-lost-answer-is-no-promise has '^HTTP/1.1 502'
check a-lost-order-ran-once runs_are "id=$id" 1
check a-loss-is-explained explains 'took it and broke the connection'
control 'replica?replica=all&mode=ok' >/dev/null

control 'replica?replica=shard-0-0&mode=hang' >/dev/null
control 'replica?replica=shard-1-0&mode=fail' >/dev/null
n=0 partial=0
while test "$n" -lt 20
do
	ask /search/x
	has '^X-Missing-Parts: 0' || partial=$((partial + 1))
	n=$((n + 1))
done
check a-hung-and-a-failing-replica-cost-no-part test "$partial" -eq 0
control 'replica?replica=all&mode=ok' >/dev/null

for n in 0 1 2
do
	control "replica?replica=shard-2-$n&mode=hang" >/dev/null
done
ask /search/x
check a-hung-shard-is-left-out has '^X-Missing-Parts: 1'
check a-partial-answer-is-explained explains 'partial; shard-2 had not'
control 'replica?replica=all&mode=ok' >/dev/null

control 'replica?replica=shard-0-0&state=draining' >/dev/null
sleep 1
before=$(control 'runs?replica=shard-0-0')
n=0
while test "$n" -lt 10
do
	ask /search/x
	n=$((n + 1))
done
check a-draining-replica-gets-nothing runs_are 'replica=shard-0-0' "$before"

ask /nothing/x
check no-route-is-told has '^HTTP/1.1 404'
curl -s -m 5 --data-binary '{"version":9,"routes":[{"name":"n","hostname":
"site.example","pathPrefix":"/order/","type":"non_idempotent","timeoutMs":2000,
"targetLatencyMs":500,"service":"ledger","maxAttempts":1},{"name":"m",
"hostname":"site.example","pathPrefix":"/nothing/","type":"idempotent",
"timeoutMs":2000,"service":"ledger","maxAttempts":2}],
"services":[{"name":"ledger","maxConns":40}],"limits":{}}' \
	"http://$site_store/control/item?key=op/config"
new_route() {
	ask /nothing/x
	has '^HTTP/1.1 200'
}
check a-new-version-is-in-force eventually new_route
curl -s -m 5 --data-binary '{"version":8,"routes":[],"services":[]}' \
	"http://$site_store/control/item?key=op/config"
sleep 0.5
check an-older-version-is-not-taken new_route
curl -s -m 5 --data-binary 'garbage' \
	"http://$site_store/control/item?key=op/config"
curl -s -m 5 --data-binary '{"state":"new"}' \
	"http://$site_store/control/item?key=servers/other"
sleep 0.5
check garbage-in-the-store-changes-nothing new_route

control store >/dev/null
sleep 1
ask /order/x -d 'store is down'
check an-outage-of-the-store-is-survived has 'store is down'
control store >/dev/null

printf 'POST /order/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab' \
	>"$dir/bad"
answer=$(curl -s -m 5 "telnet://$site_router1" <"$dir/bad")
check doubled-lengths-are-refused has '^HTTP/1.1 400'

n=0
while test "$n" -lt 6
do
	ask /nothing/crash
	sleep 0.2
	n=$((n + 1))
done
check a-request-that-crashes-replicas-is-refused has '^HTTP/1.1 503'
check a-conviction-is-explained explains 'has crashed three replicas'
check the-crash-is-logged grep -q 'event=crash' "$dir/router-1.log"
sleep 2
ask /order/x -d innocent
check others-are-served-after-the-crashes has innocent

check log-lines-are-as-documented "$build/medlarctl" logs check \
	"$dir/router-1.log"

metrics=$(curl -s -m 5 "http://127.0.0.1:$((port + 503))/metrics")
answer=$metrics
check metrics-are-served has '^medlarrouter_answers_total{how="merged"} [1-9]'

control 'replica?replica=all&work=1500' >/dev/null
{
	curl -s -i -m 10 -H 'Host: site.example' -H 'X-Request-Id: stop' \
		-d 'in flight' "http://$site_router1/order/x" >"$dir/stop.txt"
} &
last=$!
sleep 0.5
kill -TERM "$(cat "$dir/router-1.pid")"
sleep 0.3
status=$(curl -s -o /dev/null -w '%{http_code}' -m 2 \
	"http://127.0.0.1:$((port + 501))/api/ready")
check a-leaving-instance-is-not-ready test "$status" = 503
wait "$last"
answer=$(tr -d '\r' <"$dir/stop.txt")
check a-request-in-flight-is-answered has 'in flight'
check it-is-the-last-of-its-connection has '^Connection: close'
wait "$(cat "$dir/router-1.pid")"
check the-process-ends-in-order test $? -eq 0
gone() {
	! curl -s -m 5 "http://127.0.0.1:$((port + 512))/api/resolve?zone=a" |
		grep -q "$site_router1"
}
check the-other-instance-names-it-no-more gone
