#!/bin/sh
# Two router processes between callers and a simulated platform.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/site_test.sh
. tests/site_test.sh
plan 42
id=1000

# usage: explanation_has TEXT
# Succeeds if "medlarctl explain" derives a cause that matches TEXT for the
# request $id from the logs, which are all that an operator has.
explanation_has() {
	sleep 0.2
	"$build/medlarctl" explain "$id" "$dir"/router-*.log \
		>"$dir/explanation.txt"
	grep -q "^cause: .*$1" "$dir/explanation.txt" && return 0
	sed 's/^/# /' "$dir/explanation.txt"
	return 1
}

site_test "$1" router

# usage: send_request TARGET [CURL OPTION...]
# Stores the answer with its headers in $answer and the request id in $id.
send_request() {
	target=$1
	shift
	id=$((id + 1))
	answer=$(curl -s -i -m 10 --path-as-is -H 'Host: site.example' \
		-H "X-Request-Id: $id" -H 'X-Deadline-Ms: 2000' "$@" \
		"http://$site_router1$target" | tr -d '\r')
}

answer_has() {
	printf '%s\n' "$answer" | grep -q -- "$1" && return 0
	echo "# no $1 in: $(printf '%s' "$answer" | head -n 5 | tr '\n' '|')"
	return 1
}

run_count_is() {
	test "$(control "runs?$1")" = "$2" && return 0
	echo "# runs of $1: $(control "runs?$1"), expected $2"
	return 1
}

both_addresses() {
	curl -s -m 5 "http://127.0.0.1:$((port + 502))/api/resolve?zone=a" |
		grep "$site_router1" | grep -q "$site_router2"
}
check both-instances-are-listed-for-callers eventually both_addresses

send_request '/search/a%2F../b//?q=%20&x'
check parts-are-merged answer_has '^HTTP/1.1 200'
check no-part-is-missing answer_has '^X-Missing-Parts: 0'
check each-part-has-its-stamp answer_has \
	"X-Part-Stamps: shard-0.*shard-3-[0-9].$id"
check the-top-records-are-returned answer_has 'shard-3 .*2shard-3'

long_id=$(printf '%0200d' 7)
check a-request-with-a-long-id-is-answered \
	status_is "$site_router1" "$long_id" /order/x 200

send_request '/order/a%2F../b//?q=%20&x' -X PUT -d 'a body'
check an-order-is-relayed answer_has 'a body'
check the-target-is-unchanged answer_has \
	'^X-Seen-Target: /order/a%2F../b//?q=%20&x$'
send_request '/order/x' -H 'Transfer-Encoding: chunked' -d 'in chunks'
check a-chunked-body-is-relayed answer_has 'in chunks'
send_request '/order/x' -I
check head-is-relayed answer_has "^X-Request-Id: $id"

control 'replica?replica=all&mode=stray' >/dev/null
n=0 wrong=0
while test "$n" -lt 20
do
	send_request /order/x -d "body $n"
	answer_has "body $n" || wrong=$((wrong + 1))
	n=$((n + 1))
done
check stray-replies-reach-no-caller test "$wrong" -eq 0
control 'replica?replica=all&mode=ok' >/dev/null

control 'replica?replica=ledger-0&mode=shed' >/dev/null
control 'replica?replica=ledger-1&mode=shed' >/dev/null
send_request /order/x -d once
check a-refused-request-is-retried-on-another-replica answer_has '^HTTP/1.1 200'
check the-retried-request-ran-once run_count_is "id=$id" 1
control 'replica?replica=ledger-2&mode=shed' >/dev/null
send_request /order/x -d never
check a-request-refused-by-all-replicas-gets-503 answer_has '^HTTP/1.1 503'
check the-503-has-a-retry-after answer_has '^Retry-After: 0'
check the-refused-request-did-not-run run_count_is "id=$id" 0
check a-refusal-is-explained explanation_has \
	'ledger-2.* refused it and did not run'
control 'replica?replica=all&mode=reset' >/dev/null
send_request /order/x -d lost
check a-request-with-a-lost-reply-gets-502 answer_has '^HTTP/1.1 502'
check a-request-with-a-lost-reply-ran-once run_count_is "id=$id" 1
check a-lost-reply-is-explained explanation_has \
	'took it and broke the connection'
control 'replica?replica=all&mode=ok' >/dev/null

control 'replica?replica=shard-0-0&mode=hang' >/dev/null
control 'replica?replica=shard-1-0&mode=fail' >/dev/null
n=0 partial=0
while test "$n" -lt 20
do
	send_request /search/x
	answer_has '^X-Missing-Parts: 0' || partial=$((partial + 1))
	n=$((n + 1))
done
check no-part-is-missing-despite-a-hung-and-a-failing-replica \
	test "$partial" -eq 0
control 'replica?replica=all&mode=ok' >/dev/null

for n in 0 1 2
do
	control "replica?replica=shard-2-$n&mode=hang" >/dev/null
done
send_request /search/x
check a-hung-shard-is-left-out answer_has '^X-Missing-Parts: 1'
check a-partial-answer-is-explained explanation_has 'partial; shard-2 had not'
control 'replica?replica=all&mode=ok' >/dev/null

control 'replica?replica=shard-0-0&state=draining' >/dev/null
sleep 1
before=$(control 'runs?replica=shard-0-0')
n=0
while test "$n" -lt 10
do
	send_request /search/x
	n=$((n + 1))
done
check a-draining-replica-gets-no-requests run_count_is \
	'replica=shard-0-0' "$before"

send_request /nothing/x
check an-unknown-route-gets-404 answer_has '^HTTP/1.1 404'
curl -s -m 5 --data-binary '{"version":9,"routes":[{"name":"n","hostname":
"site.example","pathPrefix":"/order/","type":"non_idempotent","timeoutMs":2000,
"targetLatencyMs":500,"service":"ledger","maxAttempts":1},{"name":"m",
"hostname":"site.example","pathPrefix":"/nothing/","type":"idempotent",
"timeoutMs":2000,"service":"ledger","maxAttempts":2}],
"services":[{"name":"ledger","maxConns":40}],"limits":{}}' \
	"http://$site_store/control/item?key=op/config"
new_route_works() {
	send_request /nothing/x
	answer_has '^HTTP/1.1 200'
}
check a-new-version-is-in-force eventually new_route_works
curl -s -m 5 --data-binary '{"version":8,"routes":[],"services":[]}' \
	"http://$site_store/control/item?key=op/config"
sleep 0.5
check an-older-version-is-ignored new_route_works
curl -s -m 5 --data-binary 'garbage' \
	"http://$site_store/control/item?key=op/config"
curl -s -m 5 --data-binary '{"state":"new"}' \
	"http://$site_store/control/item?key=servers/other"
sleep 0.5
check malformed-store-entries-are-ignored new_route_works

control store >/dev/null
sleep 1
send_request /order/x -d 'store is down'
check an-outage-of-the-store-is-survived answer_has 'store is down'
control store >/dev/null

printf 'POST /order/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab' \
	>"$dir/bad"
answer=$(curl -s -m 5 "telnet://$site_router1" <"$dir/bad")
check two-content-lengths-are-refused answer_has '^HTTP/1.1 400'

n=0
while test "$n" -lt 6
do
	send_request /nothing/crash
	sleep 0.2
	n=$((n + 1))
done
check a-request-that-crashes-replicas-is-refused answer_has '^HTTP/1.1 503'
check a-conviction-is-explained explanation_has 'has crashed three replicas'
check the-crash-is-logged grep -q 'event=crash' "$dir/router-1.log"
sleep 2
send_request /order/x -d innocent
check others-are-served-after-the-crashes answer_has innocent

check log-lines-are-as-documented "$build/medlarctl" logs check \
	"$dir/router-1.log"

metrics=$(curl -s -m 5 "http://127.0.0.1:$((port + 503))/metrics")
answer=$metrics
check metrics-are-served answer_has \
	'^medlarrouter_answers_total{how="merged"} [1-9]'

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
check a-request-in-flight-is-answered answer_has 'in flight'
check it-is-the-last-of-its-connection answer_has '^Connection: close'
wait "$(cat "$dir/router-1.pid")"
check the-process-exits-with-status-0 test $? -eq 0
is_not_listed() {
	! curl -s -m 5 "http://127.0.0.1:$((port + 512))/api/resolve?zone=a" |
		grep -q "$site_router1"
}
check the-other-instance-no-longer-lists-it is_not_listed
