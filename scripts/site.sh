# shellcheck shell=sh disable=SC2034
# Starts and stops a site on loopback: the fake of the users' platform and two
# routers. Sourced by scripts/demo-platform, the benchmarks and the end-to-end
# tests of the router.
#
# site_start BUILD DIR PORT	start everything and wait until it is ready
# site_stop			terminate all processes, by process id
#
# site_start sets $site_store, the HOST:PORT of the fake store and its control
# interface, and $site_router1 and $site_router2, which are the HOST:PORT where
# the routers accept requests.

# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

# Runs a program in the background: NAME COMMAND... Its output goes to
# $site_dir/NAME.log.
site_run() {
	fleet_dir=$site_dir
	fleet_run "$@"
}

# Prints the settings of router $1, whose ports begin at $2.
site_settings() {
	cat <<END
{
	"instance": "router-$1", "zone": "a", // settings of a test
	"callers": "127.0.0.1:$2", "readiness": "127.0.0.1:$(($2 + 1))",
	"directory": "127.0.0.1:$(($2 + 2))",
	"metrics": "127.0.0.1:$(($2 + 3))", "peers": "127.0.0.1:$(($2 + 4))",
	"store": "$site_store", "retry_ratio": 0.2, "retry_slack": 400
}
END
}

# Starts router $1, whose ports begin at $2.
site_start_router() {
	site_settings "$1" "$2" >"$site_dir/router-$1.json"
	site_run "router-$1" "$site_build/medlarrouter" \
		--config "$site_dir/router-$1.json"
}

# Starts the fake platform on port $3 and routers on the ports from $3 + 500 and
# $3 + 510.
site_start() {
	site_build=$1 site_dir=$2 site_port=$3
	mkdir -p "$site_dir"
	site_store=127.0.0.1:$site_port
	site_router1=127.0.0.1:$((site_port + 500))
	site_router2=127.0.0.1:$((site_port + 510))
	site_run site "$site_build/fake-site" --port "$site_port" --shards 4
	fleet_wait "http://$site_store/control/runs" || return 1
	site_start_router 1 "$((site_port + 500))"
	site_start_router 2 "$((site_port + 510))"
	fleet_wait "http://127.0.0.1:$((site_port + 501))/api/ready" &&
		fleet_wait "http://127.0.0.1:$((site_port + 511))/api/ready"
}

# Terminates all processes with SIGTERM and waits for them, so that sanitizers
# report leaks at exit.
site_stop() {
	for fleet_pid in $fleet_pids
	do
		kill "$fleet_pid" 2>/dev/null
	done
	for fleet_pid in $fleet_pids
	do
		wait "$fleet_pid"
	done
	fleet_pids=
}
