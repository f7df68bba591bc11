# shellcheck shell=sh disable=SC2034,SC2154
# TAP lines, waiting, and results of loads, for the end-to-end tests. A test
# stops its processes in a trap for EXIT, also when a signal ends it, as that of
# a closed pipe; their logs and results are in $dir.

count=0 failed=0
trap 'exit 1' HUP INT TERM PIPE

# usage: result STATUS NAME
result() {
	count=$((count + 1))
	if test "$1" -eq 0
	then
		echo "ok $count - $2"
	else
		echo "not ok $count - $2"
		failed=1
	fi
}

# Reports the case $1: it passes if the rest, a command, succeeds.
check() {
	report_case=$1
	shift
	"$@"
	result $? "$report_case"
}

# Waits until a command succeeds, for at most 20 seconds.
await() {
	tries=400
	while ! "$@" >/dev/null 2>&1
	do
		tries=$((tries - 1))
		test "$tries" -gt 0 || return 1
		sleep 0.05
	done
}

# Succeeds if no sanitizer has written to the log of a process.
no_reports() {
	for report_log in "$dir"/*.log
	do
		grep -E 'Sanitizer|runtime error' "$report_log" | head -n 3 |
			grep . && return 1
	done
	return 0
}

# Prints a metric of the total of a load: NAME METRIC
metric() {
	sed -n "s/.*\"total\":{.*\"$2\":\\([^,}]*\\)[,}].*/\\1/p" \
		"$dir/$1.json"
}
