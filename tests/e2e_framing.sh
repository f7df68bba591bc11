#!/bin/sh
# Requests with ambiguous framing (RFC 9112, section 6), as used for request
# smuggling. Each port of each program must answer 400, or 413 if the length is
# too large, close the connection, and forward nothing.
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/tap.sh
. tests/tap.sh
plan 83
# shellcheck source=scripts/site.sh
. scripts/site.sh

tap_start_fakes "$1" framing reader-portal
fleet_start_instance 1
fleet_wait "http://$fleet_entry/readyz" || exit 1
# usage: send_raw ADDRESS BYTES
# Sends BYTES, in which printf escapes are expanded. Stores the answer in
# $answer; the status is 0 if the connection was closed.
send_raw() {
	printf '%b' "$2" >"$dir/raw"
	curl -s -m 3 "telnet://$1" <"$dir/raw" >"$dir/answer"
	closed=$?
	answer=$(tr -d '\r' <"$dir/answer")
	return "$closed"
}

# Succeeds if the only answer is a refusal and the connection is then closed.
is_refused() {
	send_raw "$1" "$2" || {
		echo "# the connection stays open after: $answer"
		return 1
	}
	test "$(grep -c '^HTTP/1.1' "$dir/answer")" -eq 1 || {
		echo "# not one answer: $answer"
		return 1
	}
	case $answer in
	'HTTP/1.1 400'* | 'HTTP/1.1 413'*)
		return 0 ;;
	esac
	contains "$answer" 'HTTP/1.1 400'
}

is_served() {
	send_raw "$1" "$2"
	contains "$answer" 'HTTP/1.1 200'
}

# usage: check_port NAME ADDRESS METHOD TARGET
# Checks that the port refuses each case below, NAME|HEADERS-AND-BODY.
check_port() {
	while IFS='|' read -r case rest
	do
		test -n "$case" || continue
		check "$1-refuses-$case" is_refused "$2" \
			"$3 $4 HTTP/1.1\r\nHost: site.example\r\n$rest"
	done <<'END'
two-lengths|Content-Length: 1\r\nContent-Length: 2\r\n\r\nab
two-lengths-in-a-list|Content-Length: 1, 2\r\n\r\nab
length-with-chunked|Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n
a-length-that-is-no-number|Content-Length: 3x\r\n\r\nabc
a-negative-length|Content-Length: -3\r\n\r\nabc
a-signed-length|Content-Length: +3\r\n\r\nabc
a-length-past-all-bounds|Content-Length: 99999999999999999999\r\n\r\nabc
a-space-before-the-colon|Content-Length : 3\r\n\r\nabc
a-folded-header|X-A: b\r\n c\r\n\r\n
a-folded-first-header| X-A: b\r\n\r\n
a-bad-chunk-size|Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n
a-chunk-longer-than-told|Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n
another-coding|Transfer-Encoding: gzip\r\n\r\nabc
chunked-before-another-coding|Transfer-Encoding: chunked, gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n
two-codings|Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n
a-space-in-a-name|Bad Name: x\r\n\r\n
END
}

valid_request='Host: site.example\r\nConnection: close\r\nX-Request-Id: 1\r\n'
valid_request="$valid_request"'Content-Length: 15\r\n\r\n{"query":"abc"}'
check medlard-serves-a-valid-request is_served "$fleet_entry" \
	"POST /v1/services/$service/search HTTP/1.1\r\n$valid_request"
check_port medlard "$fleet_entry" POST "/v1/services/$service/search"

fleet_stop
port=${fleet_platform##*:}
trap 'site_stop; tap_end' EXIT
site_start "$build" "$dir" "$port" || exit 1
check router-serves-a-valid-request is_served "$site_router1" \
	"POST /order/x HTTP/1.1\r\n$valid_request"
check_port router-callers "$site_router1" POST /order/x
for n in 1 2 3
do
	check_port "router-port-$n" 127.0.0.1:$((port + 500 + n)) POST /api/ready
done
