# shellcheck shell=sh disable=SC2034,SC2154
# TAP output, waiting and load results, for the end-to-end tests. A test stops
# its processes in a trap for EXIT; the trap below makes it run also when a
# signal ends the test, such as SIGPIPE after the reader of its output has
# exited. Logs and results are in $dir.

count=0 failed=0
trap 'exit 1' HUP INT TERM PIPE

# States how many cases follow; tests/run takes those that do not for failed.
# usage: plan COUNT
plan() {
	echo "1..$1"
}

# Prints the TAP line of a case, which passes if STATUS is 0.
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

# Runs a command and reports a case, which passes if the command succeeds.
# usage: check NAME COMMAND...
check() {
	report_case=$1
	shift
	"$@"
	result $? "$report_case"
}

# Repeats a command until it succeeds, for about 20 s.
# usage: await COMMAND...
await() {
	tries=400
	while ! "$@" >/dev/null 2>&1
	do
		tries=$((tries - 1))
		test "$tries" -gt 0 || return 1
		sleep 0.05
	done
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

# Succeeds if no log has a sanitizer report; else prints three lines of it.
no_reports() {
	for report_log in "$dir"/*.log
	do
		grep -E 'Sanitizer|runtime error' "$report_log" | head -n 3 |
			grep . && return 1
	done
	return 0
}

# Prints a metric of the "total" section of the results of a load.
# usage: metric NAME METRIC
metric() {
	sed -n "s/.*\"total\":{.*\"$2\":\\([^,}]*\\)[,}].*/\\1/p" \
		"$dir/$1.json"
}
