# shellcheck shell=sh disable=SC2154
# Cases of bench/run for the router: one router process with the stand-in for
# store and replicas; the replicas of 30 shards answer at once.

router_shards=30
router_port=24000
router_rate=67

# Starts a stand-in whose replicas answer at once.
# usage: router_site NAME PORT
router_site() {
	site_run "$1" "$build/fake-site" --port "$2" --shards "$router_shards"
	fleet_wait "http://127.0.0.1:$2/control/runs" &&
		curl -s -m 5 -o /dev/null \
			"http://127.0.0.1:$2/control/replica?replica=all&work=0"
}

# Starts another stand-in for a third of the shards. One process could not serve
# as many requests as the router sends.
# usage: router_add_site NUMBER; 1 or 2
router_add_site() {
	base=$((router_port + 1000 * $1))
	router_site "site-$1" "$base" || return 1
	shard=$((router_shards * $1 / 3))
	while test "$shard" -lt $((router_shards * ($1 + 1) / 3))
	do
		for n in 0 1 2
		do
			curl -s -m 5 -o /dev/null --data-binary "{
				\"service\":\"shard-$shard\",
				\"address\":\"127.0.0.1:$((base + 3 * shard + n + 1))\",
				\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,
				\"state\":\"ready\",\"warmupLeftMs\":0,
				\"seq\":2,\"born\":1}" \
				"http://$site_store/control/item?key=servers%2Fshard-$shard-$n"
		done
		shard=$((shard + 1))
	done
}

# Starts the stand-ins and a router. READER is a function that gets its log.
# usage: router_start LOG_LEVEL READER
router_start() {
	site_build=$build site_dir=$work/router
	rm -rf "$site_dir"
	mkdir -p "$site_dir"
	site_store=127.0.0.1:$router_port
	router_site site "$router_port" && router_add_site 1 &&
		router_add_site 2 || return 1
	site_settings 1 $((router_port + 500)) |
		sed "s/\"store\":/\"log_level\": \"$1\", &/" \
			>"$site_dir/router-1.json"
	mkfifo "$site_dir/router-1.log"
	"$2" <"$site_dir/router-1.log" &
	router_reader=$!
	site_run router-1 "$build/medlarrouter" \
		--config "$site_dir/router-1.json"
	fleet_wait "http://127.0.0.1:$((router_port + 501))/api/ready" || return 1
	router_pid=$(cat "$site_dir/router-1.pid")
}

# Reads the whole log and counts its bytes.
router_read_log() {
	wc -c >"$site_dir/log-bytes"
}

# Keeps the pipe of the log open without reading from it.
router_ignore_log() {
	exec sleep 600
}

# usage: router_load NAME RATE
router_load() {
	before=$(cpu_ms "$router_pid")
	timeout 120 "$build/medlarload" --site -r "$2" -d "$seconds" \
		--callers 4000 --deadline 500 \
		--shards "$router_shards" --seed 7 --target 500 \
		--json="$work/$1.ours" "127.0.0.1:$((router_port + 500))" \
		>"$work/$1.ours.log" 2>&1
	router_cpu=$(compute "($(cpu_ms "$router_pid") - $before) * 1000 / \
$(router_new_sends)")
}

# Prints how many sub-requests the router has sent since the previous call.
router_new_sends() {
	curl -s -m 5 "http://127.0.0.1:$((router_port + 503))/metrics" |
		awk -v file="$site_dir/sends" '
		/^medlarrouter_upstream_sends_total/ {
			getline before <file
			close(file)
			print $2 - before
			print $2 >file
		}'
}

router_memory() {
	compute "$(awk '/VmRSS/ { print $2 }' "/proc/$router_pid/status") / 1024"
}

add_router_cost_rows() {
	router_start info router_read_log || return
	add_row router idle resident-memory MB "$(router_memory)" '' 8
	router_load cost "$router_rate"
	add_row router 30-shards-at-2000/s cpu-a-sub-request us "$router_cpu" '' 60
	add_row router 30-shards-at-2000/s p50 ms \
		"$(result_metric "$work/cost.ours" p50_ms)"
	add_row router 30-shards-at-2000/s p99 ms \
		"$(result_metric "$work/cost.ours" p99_ms)"
	add_row router 30-shards-at-2000/s untrue-answers requests \
		"$(count_untrue "$work/cost.ours")" '' 0
	add_row router 30-shards-at-2000/s memory MB "$(router_memory)"
}

# Raises the rate until less than 90% of the requests are served in time.
add_router_overload_rows() {
	router_goodput_max=0 rate=$router_rate started_at=$(date +%s)
	while test "$rate" -lt 5000
	do
		router_load best "$rate"
		goodput=$(result_metric "$work/best.ours" goodput)
		test "$(compute "${goodput:-0} > $router_goodput_max")" = 1 &&
			router_goodput_max=$goodput
		test "$(compute "${goodput:-0} > 0.9 * $rate")" = 1 || break
		rate=$((rate * 3 / 2))
	done
	add_row router 30-shards-at-most goodput 1/s "$router_goodput_max"
	add_row router 30-shards-at-most sub-requests 1/s \
		"$(compute "30 * $router_goodput_max")"
	for times in 2 4
	do
		router_load "x$times" \
			"$(compute "int($times * $router_goodput_max)")"
		add_row router "load-x$times" goodput 1/s \
			"$(result_metric "$work/x$times.ours" goodput)" '' \
			"$(compute "0.9 * $router_goodput_max")"
		add_row router "load-x$times" refused-p99 ms \
			"$(result_metric "$work/x$times.ours" refused_p99_ms)" '' 125
		add_row router "load-x$times" untrue-answers requests \
			"$(count_untrue "$work/x$times.ours")" '' 0
	done
	load_seconds=$(($(date +%s) - started_at))
	site_stop
	wait "$router_reader"
	add_row router all-loads log-volume KB/s \
		"$(compute "$(cat "$site_dir/log-bytes") / $load_seconds / 1000")" '' 300
}

# Sets the log level of the running router and runs a load.
# usage: router_load_at_level LEVEL NAME RATE
router_load_at_level() {
	sed "s/\"log_level\": \"[a-z]*\"/\"log_level\": \"$1\"/" \
		"$site_dir/router-1.json" >"$site_dir/settings.new"
	mv "$site_dir/settings.new" "$site_dir/router-1.json"
	kill -HUP "$router_pid"
	sleep 0.2
	router_load "$2" "$3"
}

# Runs the same load on one process, alternating between two log levels.
add_router_log_rows() {
	high_rate=$(compute "int(0.7 * $router_goodput_max)")
	router_start info router_read_log || return
	all_seconds=$seconds seconds=$((seconds / 3)) cpu_at_error=0 cpu_at_info=0
	router_load_at_level info log-info "$high_rate"
	for n in 1 2 3
	do
		router_load_at_level error log-error "$high_rate"
		cpu_at_error=$(compute "$cpu_at_error + $router_cpu")
		router_load_at_level info log-info "$high_rate"
		cpu_at_info=$(compute "$cpu_at_info + $router_cpu")
	done
	seconds=$all_seconds
	add_row router logging share-of-cpu share \
		"$(compute "$cpu_at_info / $cpu_at_error - 1")" \
		'' 0.05
	router_load log-read "$high_rate"
	read_memory=$(router_memory)
	site_stop
	wait "$router_reader"
	router_start info router_ignore_log || return
	router_load log-stopped "$high_rate"
	add_row router reader-stopped p99 ms \
		"$(result_metric "$work/log-stopped.ours" p99_ms)" \
		"$(result_metric "$work/log-read.ours" p99_ms)"
	add_row router reader-stopped memory MB "$(router_memory)" "$read_memory" \
		"$(compute "$read_memory + 1")"
	kill "$router_reader"
	site_stop
}

router_cases() {
	add_router_cost_rows && add_router_overload_rows && add_router_log_rows
}
