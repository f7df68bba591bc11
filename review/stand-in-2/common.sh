# shellcheck shell=sh
# Starts and stops what the cases of the second review run. Sourced by their run.sh.
#
# case_begin FOLDER	go to the repository's root, keep the folder of the case
# case_port COUNT	print the first of COUNT free ports
# case_run NAME COMMAND...	start a process; its output goes to $case_dir/NAME.log
# case_settings NAME PORT STORE-PORT SEEDS	print the settings of a router whose
#			ports begin at PORT, as deploy/settings.json has them
# case_wait PORT	wait until a process listens at a port
# case_end		end all processes that were started

case_begin() {
	case_folder=$1
	case_programs=build/review-2
	case_pids=
	case_dir=$(mktemp -d) || exit 2
	trap 'case_end' EXIT
	trap 'exit 2' INT TERM
	for case_program in target/medlarrouter "$case_programs/ports"
	do
		test -x "$case_program" || {
			echo "missing: $case_program" >&2
			exit 2
		}
	done
}

case_port() {
	"$case_programs/ports" free "$1"
}

case_wait() {
	"$case_programs/ports" wait "$1" || exit 2
}

case_run() {
	case_name=$1
	shift
	"$@" >"$case_dir/$case_name.log" 2>&1 &
	case_pid=$!
	case_pids="$case_pids $case_pid"
}

case_settings() {
	cat <<END
{
	"instance": "$1", "zone": "a",
	"callers": "127.0.0.1:$2", "readiness": "127.0.0.1:$(($2 + 1))",
	"directory": "127.0.0.1:$(($2 + 2))", "metrics": "127.0.0.1:$(($2 + 3))",
	"peers": "127.0.0.1:$(($2 + 4))", "seeds": "$4",
	"store": "127.0.0.1:$3", "log_level": "info",
	"retry_ratio": 0.2, "retry_slack": 56, "retry_window_ms": 10000,
	"grace_ms": 6000, "config_apply_ms": 3000, "address_ttl_max_ms": 5000
}
END
}

case_end() {
	for case_pid in $case_pids
	do
		kill -CONT "$case_pid" 2>/dev/null
		kill "$case_pid" 2>/dev/null
	done
	for case_pid in $case_pids
	do
		wait "$case_pid" 2>/dev/null
	done
	case_pids=
	rm -rf "$case_dir"
}
