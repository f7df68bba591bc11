# shellcheck shell=sh disable=SC2154
# Cases of bench/run that run a whole deployment.

# Mean service time of a read in the examples, milliseconds.
mean_service_ms=22

# Sets all knobs of the upstreams and the platform to normal operation.
reset_knobs() {
	fleet_control_post "$fleet_control/knobs?slow=1&tail_share=0&drain=0&crossed=0\
&late=0&shed=0&connect_ms=$connect_ms"
	fleet_control_post "$fleet_platform/knobs?lag_ms=0&down=0&slow_ms=0&lose=0"
}

# Stops the deployment and starts it again from an empty state.
restart_deployment() {
	fleet_stop
	rm -rf "$work/fleet"
	fleet_prepare "$build" "$deployment" "$work/fleet" "$base"
	fleet_start && fleet_wait_searchable "$service"
}

# Prints how many queries a second the slots of one shard can serve.
shard_capacity_rate() {
	compute "$slots * $replicas * 1000 / $mean_service_ms"
}

# Runs both clients with the same knobs set.
# usage: run_both NAME KNOBS [RATE]
run_both() {
	reset_knobs
	test -z "$2" || fleet_control_post "$fleet_control/knobs?service=$service&$2"
	run_ours "$1" "${3:-$half_rate}"
	run_naive "$1" "${3:-$half_rate}"
	reset_knobs
}

case_steady() {
	reset_knobs
	curl -s -m 5 -o /dev/null "http://$fleet_control/stats?reset=1"
	run_ours steady "$half_rate"
	add_slot_rows
	run_naive steady "$half_rate"
	add_read_rows "$deployment/steady" steady '' ''
	steady_p99=$(result_metric "$work/steady.ours" p99_ms)
}

case_straggler() {
	run_both straggler 'shard=0&replica=0&slow=10'
	add_read_rows "$deployment/straggler-x10" straggler \
		"$(compute "1.3 * $steady_p99")" 0.05
}

case_tail() {
	run_both tail 'tail_share=0.02&tail_factor=20'
	add_read_rows "$deployment/slow-replies-2%-x20" tail \
		"$(compute "1.5 * $steady_p99")" 0.08
}

case_all_slow() {
	run_both all_slow 'slow=5'
	add_read_rows "$deployment/all-slow-x5" all_slow '' 0.05
	add_row reads "$deployment/all-slow-x5" goodput 1/s \
		"$(result_metric "$work/all_slow.ours" goodput)" \
		"$(result_metric "$work/all_slow.naive" goodput)" \
		"$(compute "0.9 * $full_rate / 5")"
}

case_overload() {
	reset_knobs
	run_ours overload "$(compute "2 * $full_rate")" --resends 0
	run_naive overload "$(compute "2 * $full_rate")"
	add_read_rows "$deployment/load-x2" overload '' ''
	add_row reads "$deployment/load-x2" goodput 1/s \
		"$(result_metric "$work/overload.ours" goodput)" \
		"$(result_metric "$work/overload.naive" goodput)" \
		"$(compute "0.9 * $full_rate")"
	add_row reads "$deployment/load-x2" refused-p99 ms \
		"$(result_metric "$work/overload.ours" refused_p99_ms)" '' 20
}

# Runs a client while one replica of each shard crashes, and again while it is
# down.
# usage: lose_replicas CLIENT
lose_replicas() {
	(sleep 1 && fleet_control_post "$fleet_control/act?service=$service\
&replica=0&die=$((seconds * 2000 + 1000))") &
	fault_pid=$!
	"$1" lost "$half_rate"
	wait "$fault_pid"
	"$1" lost-after "$half_rate"
	sleep 3
}

case_replica_lost() {
	lose_replicas run_ours
	lose_replicas run_naive
	add_read_rows "$deployment/replica-a-shard-lost" lost '' ''
	add_row reads "$deployment/replica-a-shard-lost" p99-after ms \
		"$(result_metric "$work/lost-after.ours" p99_ms)" \
		"$(result_metric "$work/lost-after.naive" p99_ms)" \
		"$(compute "1.3 * $steady_p99")"
}

case_shard_lost() {
	for client in run_ours run_naive
	do
		fleet_control_post "$fleet_control/act?service=$service&shard=0\
&die=$((seconds * 1000 + 2000))"
		"$client" shard "$half_rate"
		sleep 5
	done
	add_read_rows "$deployment/shard-lost" shard "$deadline_ms" ''
}

case_zone_lost() {
	restart_deployment || return
	(
		sleep 1
		kill -KILL "$(fleet_pid_of medlard-1)" \
			"$(fleet_pid_of medlard-4)"
		fleet_control_post "$fleet_control/act?zone=$zone&die=600000"
	) &
	fault_pid=$!
	run_ours zone "$half_rate"
	wait "$fault_pid"
	run_ours zone-after "$half_rate"
	run_naive zone-after "$half_rate"
	add_read_rows "$deployment/zone-lost" zone '' ''
	add_read_rows "$deployment/zone-lost-after" zone-after '' ''
}

case_silent() {
	(sleep 1 && fleet_control_post "$fleet_control/act?service=$service&silent=2") &
	fault_pid=$!
	run_ours silent "$half_rate"
	wait "$fault_pid"
	(sleep 1 && fleet_control_post "$fleet_control/act?service=$service&silent=2") &
	fault_pid=$!
	run_naive silent "$half_rate"
	wait "$fault_pid"
	add_read_rows "$deployment/half-of-connections-silent" silent '' ''
	add_row reads "$deployment/half-of-connections-silent" ejections replicas \
		"$(cat "$fleet_dir"/medlard-*.log |
			grep -c 'event=eject')" '' 0
}

# Publishes index versions on one replica and on all, rolls them back on one and
# retires the previous ones, until the load ends.
# usage: change_versions FIRST
change_versions() {
	act="$fleet_control/act?service=$service"
	end=$(($(date +%s) + seconds + 1))
	version=$1
	while test "$(date +%s)" -lt "$end"
	do
		fleet_control_post "$act&replica=0&publish=$version"
		sleep 0.3
		fleet_control_post "$act&publish=$version"
		sleep 0.3
		fleet_control_post "$act&replica=1&retire=$version"
		sleep 0.3
		fleet_control_post "$act&publish=$version"
		fleet_control_post "$act&retire=$((version - 1))"
		version=$((version + 1))
	done
}

case_versions() {
	change_versions 8 &
	fault_pid=$!
	run_ours versions "$half_rate"
	wait "$fault_pid"
	change_versions 1000 &
	fault_pid=$!
	run_naive versions "$half_rate"
	wait "$fault_pid"
	add_read_rows "$deployment/versions-change" versions '' ''
}

case_repartition() {
	for client in run_ours run_naive
	do
		(
			sleep 1
			fleet_control_post "$fleet_control/repartition?service=$service&rotate=1"
			sleep 1
			fleet_control_post "$fleet_control/repartition?service=$service&shift=1000000"
		) &
		fault_pid=$!
		"$client" repartition "$half_rate"
		wait "$fault_pid"
	done
	add_read_rows "$deployment/repartition-twice" repartition '' ''
}

# Replicas that have drained are not used again until they restart, so the next
# case must restart the deployment.
case_drain() {
	fleet_control_post "$fleet_platform/knobs?lag_ms=30000"
	(sleep 1 && fleet_control_post "$fleet_control/knobs?service=$service&replica=0&drain=1") &
	fault_pid=$!
	run_ours drain "$half_rate"
	wait "$fault_pid"
	add_row reads "$deployment/drain-list-lags-30s" last-new-request ms \
		"$(upstream_stats "service=$service&replica=0" '
		num("after_drain_ms") > max { max = num("after_drain_ms") }
		END { print max + 0 }')" '' 2000
	add_read_rows "$deployment/drain-list-lags-30s" drain '' ''
}

case_crossed() {
	run_both crossed 'crossed=0.05&late=0.05&late_ms=1000'
	add_read_rows "$deployment/late-and-crossed-5%" crossed '' ''
}

case_crash() {
	restart_deployment || return
	fleet_control_post "$fleet_control/act?service=$service&crash=poison"
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
	add_row reads "$deployment/crash-request" deaths-a-shard replicas \
		"$(upstream_stats "service=$service" '
		{ deaths[num("shard")] += num("deaths") }
		END { for (s in deaths) if (deaths[s] > max) max = deaths[s]
			print max + 0 }')" '' 2
}

# The highest values of any replica since the statistics were reset.
add_slot_rows() {
	add_row reads "$deployment/slots" running-over-slots requests \
		"$(upstream_stats "service=$service" '
		{ over = num("in_flight_max") - num("slots") }
		NR == 1 || over > max { max = over }
		END { print max + 0 }')"
	add_row reads "$deployment/slots" connections-over-limit connections \
		"$(upstream_stats "service=$service" '
		{ over = num("connections_max") + num("rejected") - num("limit") }
		NR == 1 || over > max { max = over }
		END { print max + 0 }')" '' 0
}

case_rolling_restart() {
	restart_deployment || return
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
			sleep 2
		done
	) &
	restarts_pid=$!
	timeout 120 "$build/medlarload" $fleet_entries -s "$service" \
		-r "$half_rate" -d 20 --seed 7 --resends 0 \
		--json="$work/rolling.ours" >"$work/rolling.ours.log" 2>&1
	wait "$restarts_pid"
	add_row control "$deployment/rolling-restart" requests-cut requests \
		"$(result_metric "$work/rolling.ours" no_answer)" '' 0
	add_row control "$deployment/rolling-restart" unanswered requests \
		"$(count_unanswered "$work/rolling.ours")" '' 0
	for n in 1 2 3 4
	do
		kill -KILL "$(fleet_pid_of "medlard-$n")"
	done
}

case_instance_killed() {
	restart_deployment || return
	rate=$(compute "0.6 * $full_rate")
	(sleep 1 && kill -KILL "$(fleet_pid_of medlard-1)") &
	fault_pid=$!
	run_ours killed "$rate"
	wait "$fault_pid"
	run_ours killed-after "$rate"
	ours=$work/killed.ours
	add_row control "$deployment/instance-killed" error-share share \
		"$(compute "$(count_unanswered "$ours") / $(result_metric "$ours" count)")" '' 0.01
	add_row control "$deployment/instance-killed" p99-after ms \
		"$(result_metric "$work/killed-after.ours" p99_ms)" '' \
		"$(compute "1.3 * $steady_p99")"
}

# Time until a new configuration is in force at all instances.
case_configuration() {
	longest_ms=0
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
		fleet_wait_revision "$revision"
		took=$(($(date +%s%3N) - start))
		test "$took" -le "$longest_ms" || longest_ms=$took
	done
	add_row control "$deployment/configuration" in-force-worst-of-10 ms \
		"$longest_ms" '' 1000
	before=$(store_calls)
	sleep 5
	add_row control "$deployment/idle" store-calls 1/s \
		"$(compute "($(store_calls) - $before) / 5")"
	add_row control "$deployment/idle" resident-memory MB \
		"$(compute "$(awk '/VmRSS/ { print $2 }' \
			"/proc/$(fleet_pid_of medlard-1)/status") / 1024")" \
		'' 24
}

store_calls() {
	curl -s -m 5 "http://$fleet_platform/stats" |
		sed 's/.*"calls":\([0-9]*\).*/\1/'
}

add_write_rows() {
	ours=$work/$2.ours naive=$work/$2.naive
	add_row writes "$1" p50 ms \
		"$(result_metric "$ours" p50_ms)" \
		"$(result_metric "$naive" p50_ms)"
	add_row writes "$1" p99 ms \
		"$(result_metric "$ours" p99_ms)" \
		"$(result_metric "$naive" p99_ms)"
	add_row writes "$1" goodput 1/s \
		"$(result_metric "$ours" goodput)" \
		"$(result_metric "$naive" goodput)"
	add_row writes "$1" doubled writes "$(result_metric "$ours" doubled)" \
		"$(result_metric "$naive" doubled)" 0
	add_row writes "$1" untrue writes \
		"$(compute "$(result_metric "$ours" untrue_not_run) + $(result_metric "$ours" untrue_ran)")" \
		"$(compute "$(result_metric "$naive" untrue_not_run) + $(result_metric "$naive" untrue_ran)")" \
		0
}

# Runs both clients with writes only.
# usage: run_both_writing NAME RATE
run_both_writing() {
	log=http://$fleet_control/executions?service=$write_service
	run_ours "$1" "$2" --mix 0:0:1 --write-service "$write_service" \
		--executions "$log"
	run_naive "$1" "$2" --mix 0:0:1 --write-service "$write_service" \
		--executions "$log"
}

case_writes() {
	run_both_writing writes 50
	add_write_rows "$deployment/steady" writes
	fleet_control_post "$fleet_platform/knobs?lose=0.05"
	fleet_control_post "$fleet_control/knobs?service=$write_service&shed=0.05\
&tail_share=0.05&tail_factor=30"
	run_both_writing writes-faults 50
	add_write_rows "$deployment/replies-lost-sheds-and-tails-5%" writes-faults
	reset_knobs
}

case_store_down() {
	reset_knobs
	run_ours before-down 50 --mix 0:0:1 --write-service "$write_service"
	fleet_control_post "$fleet_platform/knobs?down=1"
	run_ours down 50 --mix 1:0:1 --write-service "$write_service" --resends 0 \
		--executions "http://$fleet_control/executions"
	fleet_control_post "$fleet_platform/knobs?down=0"
	sleep 2
	run_ours up 50 --mix 0:0:1 --write-service "$write_service"
	ours=$work/down.ours
	add_row writes "$deployment/store-down" told-not-run share "$(compute \
		"$(result_metric "$ours" not_run write) / $(result_metric "$ours" count write)")" '' 1
	add_row writes "$deployment/store-down" reads-complete share \
		"$(compute \
		"$(result_metric "$ours" complete search) / $(result_metric "$ours" count search)")" '' 1
	add_row writes "$deployment/store-down" ran-2s-after share "$(compute \
		"$(result_metric "$work/up.ours" ran) / $(result_metric "$work/up.ours" count)")" \
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
	full_rate=$(shard_capacity_rate)
	half_rate=$(compute "$full_rate / 2")
	restart_deployment || return
	for case in ${cases:-steady straggler tail all_slow overload crossed \
		silent repartition replica_lost shard_lost versions \
		drain crash configuration writes store_down zone_lost \
		instance_killed rolling_restart}
	do
		"case_$case"
	done
	fleet_stop
}

# Prints the processor time of a process in milliseconds.
# usage: cpu_ms PID
cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" \
		'{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"
}

# One instance with four threads, with 30 shards that answer at once.
path_cases() {
	service=wide deployment=path base=22000 connect_ms=0
	fleet_prepare "$build" path "$work/fleet" 22000
	fleet_entries=$fleet_entry
	fleet_start_fakes && fleet_start_instance 1 &&
		fleet_wait_searchable wide || return
	pid=$(fleet_pid_of medlard-1)
	add_row path idle resident-memory MB \
		"$(compute "$(awk '/VmRSS/ { print $2 }' \
		"/proc/$pid/status") / 1024")" '' 24
	run_ours tenth 67
	run_naive tenth 67
	add_row path 30-shards-at-2000/s p50 ms \
		"$(result_metric "$work/tenth.ours" p50_ms)" \
		"$(result_metric "$work/tenth.naive" p50_ms)"
	add_row path 30-shards-at-2000/s added-p50 ms \
		"$(compute "$(result_metric "$work/tenth.ours" p50_ms) - \
$(result_metric "$work/tenth.naive" p50_ms)")" '' 3
	best=0
	for rate in 200 400 700
	do
		before=$(cpu_ms "$pid")
		run_ours full "$rate" --resends 0
		goodput=$(result_metric "$work/full.ours" goodput)
		test "$(compute "${goodput:-0} > $best")" = 1 || continue
		best=$goodput
		best_p99=$(result_metric "$work/full.ours" p99_ms)
		cpu=$(compute "($(cpu_ms "$pid") - $before) * 1000 / \
$(result_metric "$work/full.ours" sends)")
	done
	add_row path 30-shards-at-max sub-requests 1/s \
		"$(compute "30 * $best")" \
		'' 20000
	add_row path 30-shards-at-max p99 ms "${best_p99:-}"
	add_row path 30-shards-at-max cpu-a-sub-request us "${cpu:-}"
	add_row path 30-shards-at-21000/s sub-requests 1/s \
		"$(compute "30 * $(result_metric "$work/full.ours" goodput)")"
	add_row path 30-shards-at-21000/s untrue-answers requests \
		"$(count_untrue "$work/full.ours")" '' 0
	fleet_stop
}
