# shellcheck shell=sh disable=SC2034
# Starts and stops a deployment on loopback: the fakes and the entry instances
# of an example. Sourced by scripts/demo, bench/run and the end-to-end tests.
#
# fleet_prepare BUILD DEPLOYMENT DIR [BASE]	copy the example's files to DIR
# fleet_start				start everything and wait until ready
# fleet_stop				kill all processes, by process id
#
# $FLEET_PORT_SHIFT, in thousands, is subtracted from all ports, so that several
# deployments can run at the same time.
#
# fleet_prepare sets $fleet_platform and $fleet_control, which are the HOST:PORT
# of the fake platform and of the control interface of the fake upstreams,
# $fleet_entries, the list of entry instances, and $fleet_entry, its first one.

fleet_pids=

# Copies the example $2 to $3; the thousands of its ports are replaced by those
# of $4. Makes the tokens of the operators.
fleet_prepare() {
	fleet_build=$1 fleet_deployment=$2 fleet_dir=$3
	fleet_example=examples/$2
	test -d "$fleet_example" || fleet_example=bench/$2
	fleet_old=$(sed -n 's/.*"platform": "127.0.0.1:\([0-9]*\)000".*/\1/p' \
		"$fleet_example/upstreams.json")
	fleet_new=$((${4:-${fleet_old}000} / 1000 - ${FLEET_PORT_SHIFT:-0}))
	mkdir -p "$fleet_dir"
	for fleet_file in "$fleet_example"/*.json
	do
		sed "s/\\([^0-9]\\)$fleet_old\\([0-9][0-9][0-9]\\)\\([^0-9]\\)/\\1$fleet_new\\2\\3/g" \
			"$fleet_file" >"$fleet_dir/${fleet_file##*/}"
	done
	fleet_make_operators
	fleet_platform=127.0.0.1:${fleet_new}000
	fleet_control=127.0.0.1:${fleet_new}001
	fleet_entries=
	for fleet_n in 1 2 3 4
	do
		fleet_entries="$fleet_entries 127.0.0.1:${fleet_new}01$fleet_n"
	done
	fleet_entries=${fleet_entries# }
	fleet_entry=${fleet_entries%% *}
}

# Runs a program in the background: NAME COMMAND... Its output goes to
# NAME.log, its process id to NAME.pid.
fleet_run() {
	fleet_name=$1
	shift
	"$@" >>"$fleet_dir/$fleet_name.log" 2>&1 &
	fleet_pid=$!
	fleet_pids="$fleet_pids $fleet_pid"
	echo "$fleet_pid" >"$fleet_dir/$fleet_name.pid"
}

# Waits up to 20 s until a GET request to the URL $1 succeeds.
fleet_wait() {
	fleet_tries=0
	until curl -s -f -o /dev/null -m 2 "$1"
	do
		fleet_tries=$((fleet_tries + 1))
		if test "$fleet_tries" -ge 200
		then
			echo "$1 has not answered with success within 20 s" >&2
			return 1
		fi
		sleep 0.1
	done
}

# Sends an empty POST request to a control interface: HOST:PORT/PATH
fleet_control_post() {
	curl -s -f -m 5 -o /dev/null -X POST "http://$1"
}

# Starts the fake platform and upstreams and stores the first configuration.
fleet_start_fakes() {
	fleet_run platform "$fleet_build/fake-platform" \
		--port "${fleet_platform##*:}"
	fleet_wait "http://$fleet_platform/stats" || return 1
	fleet_run upstream "$fleet_build/fake-upstream" \
		"$fleet_dir/upstreams.json"
	fleet_wait "http://$fleet_control/stats" || return 1
	fleet_is_running platform && fleet_is_running upstream || return 1
	fleet_configure
}

# Succeeds if the program NAME still runs. It exits if its ports are in use, and
# another process may answer there instead.
fleet_is_running() {
	kill -0 "$(fleet_pid_of "$1")" 2>/dev/null && return 0
	echo "$1 has exited; see $fleet_dir/$1.log" >&2
	return 1
}

# Makes an operator token for each role and adds its hash to the settings of
# all instances.
fleet_make_operators() {
	fleet_operators=
	for fleet_role in product operations
	do
		fleet_pair=$("$fleet_build/medlarctl" token --json)
		echo "$fleet_pair" |
			sed 's/.*"token":"\([^"]*\)".*/\1/' \
				>"$fleet_dir/$fleet_role.token"
		fleet_hash=$(echo "$fleet_pair" |
			sed 's/.*"token_hash":"\([^"]*\)".*/\1/')
		fleet_operators="$fleet_operators { \"name\": \"$fleet_role\",\
		\"role\": \"$fleet_role\", \"token_hash\": \"$fleet_hash\" },"
	done
	for fleet_file in "$fleet_dir"/medlard-*.json
	do
		sed "s/^\(.*\"threads\".*\)/	\"operators\": [${fleet_operators%,} ],\
\1/" "$fleet_file" >"$fleet_file.new"
		mv "$fleet_file.new" "$fleet_file"
	done
}

# Stores the first configuration document on the platform.
fleet_configure() {
	"$fleet_build/medlarctl" questionnaire first \
		"$fleet_dir/questionnaire.json" >"$fleet_dir/document.json" &&
		curl -s -f -m 5 -o /dev/null -T "$fleet_dir/document.json" \
			"http://$fleet_platform/v1/kv/medlar/config"
}

# Starts the entry instance with the number $1, 1 to 4.
fleet_start_instance() {
	fleet_run "medlard-$1" "$fleet_build/medlard" \
		--config "$fleet_dir/medlard-$1.json"
}

# Starts everything and waits until all entry instances are ready.
fleet_start() {
	fleet_start_fakes || return 1
	for fleet_n in 1 2 3 4
	do
		fleet_start_instance "$fleet_n"
	done
	for fleet_e in $fleet_entries
	do
		fleet_wait "http://$fleet_e/readyz" || return 1
	done
}

# Prints the process id of a program that fleet_run() started.
fleet_pid_of() {
	cat "$fleet_dir/$1.pid"
}

# Waits up to 60 s for each entry instance to answer a search of the service $1
# completely.
fleet_wait_searchable() {
	for fleet_e in $fleet_entries
	do
		fleet_tries=0
		until curl -s -m 2 "http://$fleet_e/v1/services/$1/search" \
			-d '{"query":"settle"}' |
			grep -q '"outcome":"complete"'
		do
			fleet_tries=$((fleet_tries + 1))
			if test "$fleet_tries" -ge 300
			then
				echo "$fleet_e: no complete answer of $1" >&2
				return 1
			fi
			sleep 0.2
		done
	done
}

# Waits up to 20 s for each entry instance to apply the configuration revision
# $1.
fleet_wait_revision() {
	for fleet_e in $fleet_entries
	do
		fleet_tries=0
		until curl -s -m 2 "http://$fleet_e/v1/status" |
			grep -q "\"revision\":$1[,}]"
		do
			fleet_tries=$((fleet_tries + 1))
			if test "$fleet_tries" -ge 2000
			then
				echo "$fleet_e has not applied revision $1" >&2
				return 1
			fi
			sleep 0.01
		done
	done
}

# Prints a new idempotency key, a UUID of version 7.
fleet_key() {
	fleet_ms=$(date +%s%3N)
	fleet_random=$(od -An -N 9 -tx1 /dev/urandom | tr -d ' \n')
	printf '%08x-%04x-7%.3s-8%.3s-%.12s\n' $((fleet_ms >> 16)) \
		$((fleet_ms & 65535)) "$fleet_random" \
		"$(echo "$fleet_random" | cut -c 4-6)" \
		"$(echo "$fleet_random" | cut -c 7-18)"
}

# Waits for the program NAME to exit and returns its exit status.
fleet_wait_exit() {
	wait "$(fleet_pid_of "$1")"
}

# Kills all processes that fleet_run() started.
fleet_stop() {
	for fleet_pid in $fleet_pids
	do
		kill -KILL "$fleet_pid" 2>/dev/null
	done
	for fleet_pid in $fleet_pids
	do
		wait "$fleet_pid" 2>/dev/null
	done
	fleet_pids=
}
