# shellcheck shell=sh
# Runs the program of a case in a temporary folder. Sourced by the run.sh of the cases.
#
# run_case NUMBER	exits with 1 if the rule was broken, 0 if it held, 2 if the case
#			could not run; writes review/NUMBER/record.txt. $SEED chooses the
#			traffic, TROUBLE=0 leaves the disruption out.

run_case() {
	program=build/review/case-$1
	if ! test -x target/medlarrouter || ! test -x "$program"
	then
		echo "run the build of deploy/system.toml and review/build.sh first" >&2
		exit 2
	fi
	dir=$(mktemp -d) || exit 2
	"$program" target/medlarrouter "$dir" "review/$1/record.txt" "${SEED:-1}"
	status=$?
	test $status -le 2 || status=2
	if test -n "${KEEP:-}"
	then
		cp -r "$dir" "$KEEP"
	fi
	rm -rf "$dir"
	exit $status
}
