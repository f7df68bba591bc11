# shellcheck shell=sh disable=SC2034
# Starts and stops a deployment on loopback: the stand-ins and the entry
# instances of an example. Sourced by scripts/demo, bench/run and the
# end-to-end tests.
#
# fleet_prepare BUILD DEPLOYMENT DIR [BASE]	copy the example's files to DIR
# fleet_start				start everything and wait until ready
# fleet_stop				stop everything, by process id
#
# $FLEET_PORT_SHIFT, in thousands, is taken from all ports.
# Afterwards $fleet_platform, $fleet_control and $fleet_entries hold HOST:PORT.

fleet_pids=

# Copies the example to $3; ports move from its thousands to those of $4.
fleet_prepare() {
	fleet_build=$1 fleet_deployment=$2 fleet_dir=$3
	fleet_example=examples/$2
	test -d "$fleet_example" || fleet_example=bench/$2
	fleet_from=$(sed -n 's/.*"platform": "127.0.0.1:\([0-9]*\)000".*/\1/p' \
		"$fleet_example/upstreams.json")
	fleet_to=$((${4:-${fleet_from}000} / 1000 - ${FLEET_PORT_SHIFT:-0}))
	mkdir -p "$fleet_dir"
	for fleet_file in "$fleet_example"/*.json
	do
		sed "s/\\([^0-9]\\)$fleet_from\\([0-9][0-9][0-9]\\)\\([^0-9]\\)/\\1$fleet_to\\2\\3/g" \
			"$fleet_file" >"$fleet_dir/${fleet_file##*/}"
	done
	fleet_make_operators
	fleet_platform=127.0.0.1:${fleet_to}000
	fleet_control=127.0.0.1:${fleet_to}001
	fleet_entries=
	for fleet_n in 1 2 3 4
	do
		fleet_entries="$fleet_entries 127.0.0.1:${fleet_to}01$fleet_n"
	done
	fleet_entries=${fleet_entries# }
	fleet_entry=${fleet_entries%% *}
}

# Runs a program in the background; its output goes to DIR/NAME.log.
fleet_run() {
	fleet_name=$1
	shift
	"$@" >>"$fleet_dir/$fleet_name.log" 2>&1 &
	fleet_pid=$!
	fleet_pids="$fleet_pids $fleet_pid"
	echo "$fleet_pid" >"$fleet_dir/$fleet_name.pid"
}

# Waits up to 20 s until an URL answers with success.
fleet_wait() {
	fleet_tries=0
	until curl -s -f -o /dev/null -m 2 "$1"
	do
		fleet_tries=$((fleet_tries + 1))
		if test "$fleet_tries" -ge 200
		then
			echo "no success from $1" >&2
			return 1
		fi
		sleep 0.1
	done
}

fleet_knob() {
	curl -s -f -m 5 -o /dev/null -X POST "http://$1"
}

fleet_start_stand_ins() {
	fleet_run platform "$fleet_build/fake-platform" \
		--port "${fleet_platform##*:}"
	fleet_wait "http://$fleet_platform/stats" || return 1
	fleet_run upstream "$fleet_build/fake-upstream" \
		"$fleet_dir/upstreams.json"
	fleet_wait "http://$fleet_control/stats" || return 1
	fleet_alive platform && fleet_alive upstream || return 1
	fleet_configure
}

# Succeeds if the program NAME runs; it may have found its ports in use.
fleet_alive() {
	kill -0 "$(fleet_pid_of "$1")" 2>/dev/null && return 0
	echo "$1 has ended, see $fleet_dir/$1.log" >&2
	return 1
}

# Makes a token for each role and lists its hash in the settings.
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

# Writes the first configuration document to the platform.
fleet_configure() {
	"$fleet_build/medlarctl" questionnaire first \
		"$fleet_dir/questionnaire.json" >"$fleet_dir/document.json" &&
		curl -s -f -m 5 -o /dev/null -T "$fleet_dir/document.json" \
			"http://$fleet_platform/v1/kv/medlar/config"
}

fleet_start_instance() {
	fleet_run "medlard-$1" "$fleet_build/medlard" \
		--config "$fleet_dir/medlard-$1.json"
}

fleet_start() {
	fleet_start_stand_ins || return 1
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

# Waits up to 60 s until every entry instance lists four instances and answers
# a search of the service $1 completely.
fleet_settle() {
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
				echo "$fleet_e does not answer $1" >&2
				return 1
			fi
			sleep 0.2
		done
	done
}

# Waits up to 20 s until every entry instance obeys the revision $1.
fleet_in_force() {
	for fleet_e in $fleet_entries
	do
		fleet_tries=0
		until curl -s -m 2 "http://$fleet_e/v1/status" |
			grep -q "\"revision\":$1[,}]"
		do
			fleet_tries=$((fleet_tries + 1))
			if test "$fleet_tries" -ge 2000
			then
				echo "$fleet_e does not obey revision $1" >&2
				return 1
			fi
			sleep 0.01
		done
	done
}

# Prints a fresh idempotency key, a UUID of version 7.
fleet_key() {
	fleet_ms=$(date +%s%3N)
	fleet_random=$(od -An -N 9 -tx1 /dev/urandom | tr -d ' \n')
	printf '%08x-%04x-7%.3s-8%.3s-%.12s\n' $((fleet_ms >> 16)) \
		$((fleet_ms & 65535)) "$fleet_random" \
		"$(echo "$fleet_random" | cut -c 4-6)" \
		"$(echo "$fleet_random" | cut -c 7-18)"
}

# Waits for the process NAME; returns its exit status.
fleet_reap() {
	wait "$(fleet_pid_of "$1")"
}

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
