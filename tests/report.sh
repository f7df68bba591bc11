# shellcheck shell=sh disable=SC2034
# TAP lines and waiting for the end-to-end tests that start no whole fleet.

count=0 failed=0

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
