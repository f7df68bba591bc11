# shellcheck shell=sh disable=SC2034,SC2154
# Frame of the end-to-end tests of routers on a simulated platform. Sourced by them
# in the root of the repository.
#
# site_test BUILD NAME	start two routers, to be stopped at the end of the test; sets
#			$build, $dir and $port, see also scripts/site.sh
# control CALL		call the control interface of the platform
# request ROUTER ID TARGET [CURL OPTION...]
#			print the status of the answer, 000 if there was none; the
#			answer with its headers is in $dir/answer.ID;
#			$request_timeout ms is the time that it states
# status_is ROUTER ID TARGET STATUS

# shellcheck source=scripts/site.sh
. scripts/site.sh
# shellcheck source=tests/report.sh
. tests/report.sh

site_test_finish() {
	status=$?
	: >"$dir/stop"
	site_stop
	check no-sanitizer-reports no_reports
	test "$failed" -eq 0 || status=1
	exit "$status"
}

site_test() {
	build=$1 dir=$1/e2e/$2
	rm -rf "$dir"
	trap 'site_test_finish' EXIT
	port=$((23000 - 1000 * ${FLEET_PORT_SHIFT:-0}))
	site_start "$build" "$dir" "$port" || exit 1
}

control() {
	curl -s -m 5 "http://$site_store/control/$1"
}

request() {
	request_url=http://$1$3 request_id=$2
	shift 3
	curl -s -i -o "$dir/answer.$request_id" -w '%{http_code}' -m 15 \
		-H 'Host: site.example' -H "X-Request-Id: $request_id" \
		-H "X-Deadline-Ms: ${request_timeout:-2000}" "$@" \
		"$request_url"
}

status_is() {
	got=$(request "$1" "$2" "$3")
	test "$got" = "$4" && return 0
	echo "# $3 at $1: $got, expected $4"
	return 1
}
