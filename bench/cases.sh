# shellcheck shell=sh disable=SC2154
# End-to-end cases of bench/run.

# Mean service time of a read in the examples, milliseconds.
mean_ms=22

# Puts all knobs of the upstreams back.
calm() {
	fleet_knob "$fleet_control/knobs?slow=1&tail_share=0&drain=0&crossed=0\
&late=0&shed=0&connect_ms=$connect_ms"
	fleet_knob "$fleet_platform/knobs?lag_ms=0&down=0&slow_ms=0&lose=0"
}

# Starts a deployment afresh.
begin() {
	fleet_stop
	rm -rf "$work/fleet"
	fleet_prepare "$build" "$deployment" "$work/fleet" "$base"
	fleet_start && fleet_settle "$service"
}

# Queries a second that the slots of one shard can serve.
slots_rate() {
	calc "$slots * $replicas * 1000 / $mean_ms"
}

# Both clients under the same knobs: NAME KNOBS [RATE]
both() {
	calm
	test -z "$2" || fleet_knob "$fleet_control/knobs?service=$service&$2"
	ours "$1" "${3:-$half}"
	naive "$1" "${3:-$half}"
	calm
}

case_steady() {
	both steady ''
	read_rows "$deployment/steady" steady '' ''
	steady_p99=$(get "$work/steady.ours" p99_ms)
}

case_straggler() {
	both straggler 'shard=0&replica=0&slow=10'
	read_rows "$deployment/straggler-x10" straggler \
		"$(calc "1.3 * $steady_p99")" 0.05
}

case_tail() {
	both tail 'tail_share=0.02&tail_factor=20'
	read_rows "$deployment/slow-replies-2%-x20" tail \
		"$(calc "1.5 * $steady_p99")" 0.08
}

case_all_slow() {
	both all_slow 'slow=5'
	read_rows "$deployment/all-slow-x5" all_slow '' 0.05
	row reads "$deployment/all-slow-x5" goodput 1/s \
		"$(get "$work/all_slow.ours" goodput)" \
		"$(get "$work/all_slow.naive" goodput)" \
		"$(calc "0.9 * $full / 5")"
}

case_overload() {
	calm
	ours overload "$(calc "2 * $full")" --resends 0
	naive overload "$(calc "2 * $full")"
	read_rows "$deployment/load-x2" overload '' ''
	row reads "$deployment/load-x2" goodput 1/s \
		"$(get "$work/overload.ours" goodput)" \
		"$(get "$work/overload.naive" goodput)" \
		"$(calc "0.9 * $full")"
	row reads "$deployment/load-x2" refused-p99 ms \
		"$(get "$work/overload.ours" refused_p99_ms)" '' 20
}

# Lets a client run while one replica a shard is lost, and once more: CLIENT
lose_replicas() {
	(sleep 1 && fleet_knob "$fleet_control/act?service=$service\
&replica=0&die=$((seconds * 2000 + 1000))") &
	loser=$!
	"$1" lost "$half"
	wait "$loser"
	"$1" lost-after "$half"
	sleep 3
}

case_replica_lost() {
	lose_replicas ours
	lose_replicas naive
	read_rows "$deployment/replica-a-shard-lost" lost '' ''
	row reads "$deployment/replica-a-shard-lost" p99-after ms \
		"$(get "$work/lost-after.ours" p99_ms)" \
		"$(get "$work/lost-after.naive" p99_ms)" \
		"$(calc "1.3 * $steady_p99")"
}

case_shard_lost() {
	for client in ours naive
	do
		fleet_knob "$fleet_control/act?service=$service&shard=0\
&die=$((seconds * 1000 + 2000))"
		"$client" shard "$half"
		sleep 5
	done
	read_rows "$deployment/shard-lost" shard "$deadline_ms" ''
}

case_zone_lost() {
	begin || return
	(
		sleep 1
		kill -KILL "$(fleet_pid_of medlard-1)" \
			"$(fleet_pid_of medlard-4)"
		fleet_knob "$fleet_control/act?zone=$zone&die=600000"
	) &
	loser=$!
	ours zone "$half"
	wait "$loser"
	ours zone-after "$half"
	naive zone-after "$half"
	read_rows "$deployment/zone-lost" zone '' ''
	read_rows "$deployment/zone-lost-after" zone-after '' ''
}

case_silent() {
	(sleep 1 && fleet_knob "$fleet_control/act?service=$service&silent=2") &
	loser=$!
	ours silent "$half"
	wait "$loser"
	(sleep 1 && fleet_knob "$fleet_control/act?service=$service&silent=2") &
	loser=$!
	naive silent "$half"
	wait "$loser"
	read_rows "$deployment/half-of-connections-silent" silent '' ''
	row reads "$deployment/half-of-connections-silent" ejections replicas \
		"$(cat "$fleet_dir"/medlard-*.log |
			grep -c 'event=eject')" '' 0
}

# Publishes, half publishes, rolls back and retires versions for a while.
# usage: change_versions FIRST
change_versions() {
	act="$fleet_control/act?service=$service"
	end=$(($(date +%s) + seconds + 1))
	version=$1
	while test "$(date +%s)" -lt "$end"
	do
		fleet_knob "$act&replica=0&publish=$version"
		sleep 0.3
		fleet_knob "$act&publish=$version"
		sleep 0.3
		fleet_knob "$act&replica=1&retire=$version"
		sleep 0.3
		fleet_knob "$act&publish=$version"
		fleet_knob "$act&retire=$((version - 1))"
		version=$((version + 1))
	done
}

case_versions() {
	change_versions 8 &
	loser=$!
	ours versions "$half"
	wait "$loser"
	change_versions 1000 &
	loser=$!
	naive versions "$half"
	wait "$loser"
	read_rows "$deployment/versions-change" versions '' ''
}

case_repartition() {
	for client in ours naive
	do
		(
			sleep 1
			fleet_knob "$fleet_control/repartition?service=$service&rotate=1"
			sleep 1
			fleet_knob "$fleet_control/repartition?service=$service&shift=1000000"
		) &
		loser=$!
		"$client" repartition "$half"
		wait "$loser"
	done
	read_rows "$deployment/repartition-twice" repartition '' ''
}

# Replicas that have left stay away until they start again, so this case comes
# last before a fresh start.
case_drain() {
	fleet_knob "$fleet_platform/knobs?lag_ms=30000"
	(sleep 1 && fleet_knob "$fleet_control/knobs?service=$service&replica=0&drain=1") &
	loser=$!
	ours drain "$half"
	wait "$loser"
	row reads "$deployment/drain-list-lags-30s" last-new-request ms \
		"$(upstream_stats "service=$service&replica=0" '
		num("after_drain_ms") > most { most = num("after_drain_ms") }
		END { print most + 0 }')" '' 2000
	read_rows "$deployment/drain-list-lags-30s" drain '' ''
}

case_crossed() {
	both crossed 'crossed=0.05&late=0.05&late_ms=1000'
	read_rows "$deployment/late-and-crossed-5%" crossed '' ''
}

case_crash() {
	begin || return
	fleet_knob "$fleet_control/act?service=$service&crash=poison"
	i=0
	while test "$i" -lt 50
	do
		for entry in $fleet_entries
		do
			curl -s -m 5 -o /dev/null \
				-d '{"query":{"text":"poison"}}' \
				"http://$entry/v1/services/$service/search"
			i=$((i + 1))
		done
	done
	row reads "$deployment/crash-request" deaths-a-shard replicas \
		"$(upstream_stats "service=$service" '
		{ deaths[num("shard")] += num("deaths") }
		END { for (s in deaths) if (deaths[s] > most) most = deaths[s]
			print most + 0 }')" '' 2
}

# What any replica saw at most since its statistics were reset.
slots_rows() {
	row reads "$deployment/slots" running-over-slots requests \
		"$(upstream_stats "service=$service" '
		{ over = num("in_flight_max") - num("slots") }
		NR == 1 || over > most { most = over }
		END { print most + 0 }')"
	row reads "$deployment/slots" connections-over-limit connections \
		"$(upstream_stats "service=$service" '
		{ over = num("connections_max") + num("rejected") - num("limit") }
		NR == 1 || over > most { most = over }
		END { print most + 0 }')" '' 0
}

case_slots() {
	curl -s -m 5 -o /dev/null "http://$fleet_control/stats?reset=1"
	ours slots "$half"
	slots_rows
}

case_rolling_restart() {
	begin || return
	(
		for n in 1 2 3 4
		do
			kill -TERM "$(fleet_pid_of "medlard-$n")"
			while kill -0 "$(fleet_pid_of "medlard-$n")" 2>/dev/null
			do
				sleep 0.1
			done
			"$fleet_build/medlard" --config \
				"$fleet_dir/medlard-$n.json" \
				>>"$fleet_dir/medlard-$n.log" 2>&1 &
			echo $! >"$fleet_dir/medlard-$n.pid"
			sleep 3
		done
	) &
	roller=$!
	timeout 120 "$build/medlarload" $fleet_entries -s "$service" \
		-r "$half" -d 25 --seed 7 --resends 0 \
		--json="$work/rolling.ours" >"$work/rolling.ours.log" 2>&1
	wait "$roller"
	row control "$deployment/rolling-restart" requests-cut requests \
		"$(get "$work/rolling.ours" no_answer)" '' 0
	row control "$deployment/rolling-restart" unanswered requests \
		"$(unanswered "$work/rolling.ours")" '' 0
	for n in 1 2 3 4
	do
		kill -KILL "$(fleet_pid_of "medlard-$n")"
	done
}

case_instance_killed() {
	begin || return
	rate=$(calc "0.6 * $full")
	(sleep 1 && kill -KILL "$(fleet_pid_of medlard-1)") &
	loser=$!
	ours killed "$rate"
	wait "$loser"
	ours killed-after "$rate"
	o=$work/killed.ours
	row control "$deployment/instance-killed" error-share share \
		"$(calc "$(unanswered "$o") / $(get "$o" count)")" '' 0.01
	row control "$deployment/instance-killed" p99-after ms \
		"$(get "$work/killed-after.ours" p99_ms)" '' \
		"$(calc "1.3 * $steady_p99")"
}

# Time until all instances obey a new configuration.
case_configuration() {
	worst=0
	for revision in 2 3 4 5 6 7 8 9 10 11
	do
		start=$(date +%s%3N)
		sed "s/\"deadline_ms\": 2000/\"deadline_ms\": $((2000 + revision))/" \
			"$fleet_dir/questionnaire.json" >"$work/revision.json"
		"$build/medlarctl" --server "http://$fleet_entry" \
			questionnaire submit "$work/revision.json" \
			--section product --base $((revision - 1)) \
			--token-file "$fleet_dir/product.token" \
			>"$work/submit.log" 2>&1 || {
			echo "bench: revision $revision was refused" >&2
			return
		}
		fleet_in_force "$revision"
		took=$(($(date +%s%3N) - start))
		test "$took" -le "$worst" || worst=$took
	done
	row control "$deployment/configuration" in-force-worst-of-10 ms \
		"$worst" '' 1000
	before=$(store_calls)
	sleep 5
	row control "$deployment/idle" store-calls 1/s \
		"$(calc "($(store_calls) - $before) / 5")"
	row control "$deployment/idle" resident-memory MB \
		"$(calc "$(awk '/VmRSS/ { print $2 }' \
			"/proc/$(fleet_pid_of medlard-1)/status") / 1024")" \
		'' 24
}

store_calls() {
	curl -s -m 5 "http://$fleet_platform/stats" |
		sed 's/.*"calls":\([0-9]*\).*/\1/'
}

write_rows() {
	o=$work/$2.ours n=$work/$2.naive
	row writes "$1" p50 ms "$(get "$o" p50_ms)" "$(get "$n" p50_ms)"
	row writes "$1" p99 ms "$(get "$o" p99_ms)" "$(get "$n" p99_ms)"
	row writes "$1" goodput 1/s "$(get "$o" goodput)" "$(get "$n" goodput)"
	row writes "$1" doubled writes "$(get "$o" doubled)" \
		"$(get "$n" doubled)" 0
	row writes "$1" untrue writes \
		"$(calc "$(get "$o" untrue_not_run) + $(get "$o" untrue_ran)")" \
		"$(calc "$(get "$n" untrue_not_run) + $(get "$n" untrue_ran)")" \
		0
}

# Both clients write: NAME RATE
both_write() {
	log=http://$fleet_control/executions?service=$write_service
	ours "$1" "$2" --mix 0:0:1 --write-service "$write_service" \
		--executions "$log"
	naive "$1" "$2" --mix 0:0:1 --write-service "$write_service" \
		--executions "$log"
}

case_writes() {
	both_write writes 50
	write_rows "$deployment/steady" writes
	fleet_knob "$fleet_platform/knobs?lose=0.05"
	fleet_knob "$fleet_control/knobs?service=$write_service&shed=0.05\
&tail_share=0.05&tail_factor=30"
	both_write writes-faults 50
	write_rows "$deployment/replies-lost-sheds-and-tails-5%" writes-faults
	calm
}

case_store_down() {
	calm
	ours before-down 50 --mix 0:0:1 --write-service "$write_service"
	fleet_knob "$fleet_platform/knobs?down=1"
	ours down 50 --mix 1:0:1 --write-service "$write_service" --resends 0 \
		--executions "http://$fleet_control/executions"
	fleet_knob "$fleet_platform/knobs?down=0"
	sleep 2
	ours up 50 --mix 0:0:1 --write-service "$write_service"
	o=$work/down.ours
	row writes "$deployment/store-down" told-not-run share "$(calc \
		"$(get "$o" not_run write) / $(get "$o" count write)")" '' 1
	row writes "$deployment/store-down" reads-complete share "$(calc \
		"$(get "$o" complete search) / $(get "$o" count search)")" '' 1
	row writes "$deployment/store-down" ran-2s-after share "$(calc \
		"$(get "$work/up.ours" ran) / $(get "$work/up.ours" count)")" \
		'' 1
}

# usage: deployment_cases DEPLOYMENT SERVICE WRITE_SERVICE
deployment_cases() {
	deployment=$1 service=$2 write_service=$3
	case $deployment in
	kraisorn)
		base=22000 slots=2 zone=bkk-1 deadline_ms=2000 ;;
	escalon)
		base=23000 slots=3 zone=lim-1 deadline_ms=200 ;;
	esac
	replicas=3 connect_ms=6
	full=$(slots_rate)
	half=$(calc "$full / 2")
	begin || return
	for case in ${cases:-steady straggler tail all_slow overload crossed \
		silent slots repartition replica_lost shard_lost versions \
		drain crash configuration writes store_down zone_lost \
		instance_killed rolling_restart}
	do
		"case_$case"
	done
	fleet_stop
}

# Processor time of a process, milliseconds.
cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" \
		'{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"
}

# One instance with four threads before 30 shards that answer at once.
path_cases() {
	service=wide deployment=path base=22000 connect_ms=0
	fleet_prepare "$build" path "$work/fleet" 22000
	fleet_entries=$fleet_entry
	fleet_start_stand_ins && fleet_start_instance 1 &&
		fleet_settle wide || return
	pid=$(fleet_pid_of medlard-1)
	row path idle resident-memory MB "$(calc "$(awk '/VmRSS/ { print $2 }' \
		"/proc/$pid/status") / 1024")" '' 24
	ours tenth 67
	naive tenth 67
	row path 30-shards-at-2000/s p50 ms "$(get "$work/tenth.ours" p50_ms)" \
		"$(get "$work/tenth.naive" p50_ms)"
	row path 30-shards-at-2000/s added-p50 ms \
		"$(calc "$(get "$work/tenth.ours" p50_ms) - \
$(get "$work/tenth.naive" p50_ms)")" '' 3
	before=$(cpu_ms "$pid")
	ours full 700 --resends 0
	cpu=$(calc "$(cpu_ms "$pid") - $before")
	row path 30-shards-at-21000/s sub-requests 1/s \
		"$(calc "30 * $(get "$work/full.ours" goodput)")" '' 20000
	row path 30-shards-at-21000/s p99 ms "$(get "$work/full.ours" p99_ms)"
	row path 30-shards-at-21000/s cpu-a-sub-request us \
		"$(calc "$cpu * 1000 / $(get "$work/full.ours" sends)")"
	row path 30-shards-at-21000/s untrue-answers requests \
		"$(untrue "$work/full.ours")" '' 0
	fleet_stop
}
