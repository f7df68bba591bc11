# shellcheck shell=sh disable=SC2154
# Cases of bench/run for the router: one process before the stand-in for the
# platform, whose replicas of 30 shards answer at once.

router_shards=30
router_port=24000
router_rate=67

# Starts a stand-in whose replicas answer at once: NAME PORT
router_site() {
	site_run "$1" "$build/fake-site" --port "$2" --shards "$router_shards"
	fleet_wait "http://127.0.0.1:$2/control/runs" &&
		curl -s -m 5 -o /dev/null \
			"http://127.0.0.1:$2/control/replica?replica=all&work=0"
}

# Lets a stand-in of its own serve a third of the shards, so that the replicas
# bear more than the router: NUMBER, 1 or 2
router_spread() {
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

# Starts the stand-ins and a router: LOG_LEVEL OUTPUT
router_begin() {
	site_build=$build site_dir=$work/router
	rm -rf "$site_dir"
	mkdir -p "$site_dir"
	site_store=127.0.0.1:$router_port
	router_site site "$router_port" && router_spread 1 &&
		router_spread 2 || return 1
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

# Reads everything, and counts its bytes.
router_reads() {
	wc -c >"$site_dir/log-bytes"
}

# Holds the pipe open and reads nothing.
router_stands() {
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
	router_cpu=$(calc "($(cpu_ms "$router_pid") - $before) * 1000 / \
$(router_sends)")
}

# Sub-requests since this was asked last.
router_sends() {
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
	calc "$(awk '/VmRSS/ { print $2 }' "/proc/$router_pid/status") / 1024"
}

router_cost_rows() {
	router_begin info router_reads || return
	row router idle resident-memory MB "$(router_memory)" '' 8
	router_load cost "$router_rate"
	row router 30-shards-at-2000/s cpu-a-sub-request us "$router_cpu" '' 60
	row router 30-shards-at-2000/s p50 ms "$(get "$work/cost.ours" p50_ms)"
	row router 30-shards-at-2000/s p99 ms "$(get "$work/cost.ours" p99_ms)"
	row router 30-shards-at-2000/s untrue-answers requests \
		"$(untrue "$work/cost.ours")" '' 0
	row router 30-shards-at-2000/s memory MB "$(router_memory)"
}

# The rate is raised until less than nine tenths are served in time.
router_overload_rows() {
	router_best=0 rate=$router_rate began=$(date +%s)
	while test "$rate" -lt 5000
	do
		router_load best "$rate"
		goodput=$(get "$work/best.ours" goodput)
		test "$(calc "${goodput:-0} > $router_best")" = 1 &&
			router_best=$goodput
		test "$(calc "${goodput:-0} > 0.9 * $rate")" = 1 || break
		rate=$((rate * 3 / 2))
	done
	row router 30-shards-at-most goodput 1/s "$router_best"
	row router 30-shards-at-most sub-requests 1/s "$(calc "30 * $router_best")"
	for times in 2 4
	do
		router_load "x$times" \
			"$(calc "int($times * $router_best)")"
		row router "load-x$times" goodput 1/s \
			"$(get "$work/x$times.ours" goodput)" '' \
			"$(calc "0.9 * $router_best")"
		row router "load-x$times" refused-p99 ms \
			"$(get "$work/x$times.ours" refused_p99_ms)" '' 125
		row router "load-x$times" untrue-answers requests \
			"$(untrue "$work/x$times.ours")" '' 0
	done
	loaded=$(($(date +%s) - began))
	site_stop
	wait "$router_reader"
	row router all-loads log-volume KB/s \
		"$(calc "$(cat "$site_dir/log-bytes") / $loaded / 1000")" '' 300
}

# Runs a part of the load with lines from a level on: LEVEL NAME RATE
router_slice() {
	sed "s/\"log_level\": \"[a-z]*\"/\"log_level\": \"$1\"/" \
		"$site_dir/router-1.json" >"$site_dir/settings.new"
	mv "$site_dir/settings.new" "$site_dir/router-1.json"
	kill -HUP "$router_pid"
	sleep 0.2
	router_load "$2" "$3"
}

# The same process under the same load, by turns with lines and without.
router_log_rows() {
	full=$(calc "int(0.7 * $router_best)")
	router_begin info router_reads || return
	whole=$seconds seconds=$((seconds / 3)) quiet=0 loud=0
	router_slice info log-info "$full"
	for n in 1 2 3
	do
		router_slice error log-error "$full"
		quiet=$(calc "$quiet + $router_cpu")
		router_slice info log-info "$full"
		loud=$(calc "$loud + $router_cpu")
	done
	seconds=$whole
	row router logging share-of-cpu share "$(calc "$loud / $quiet - 1")" \
		'' 0.05
	router_load log-read "$full"
	read_memory=$(router_memory)
	site_stop
	wait "$router_reader"
	router_begin info router_stands || return
	router_load log-stopped "$full"
	row router reader-stopped p99 ms \
		"$(get "$work/log-stopped.ours" p99_ms)" \
		"$(get "$work/log-read.ours" p99_ms)"
	row router reader-stopped memory MB "$(router_memory)" "$read_memory" \
		"$(calc "$read_memory + 1")"
	kill "$router_reader"
	site_stop
}

router_cases() {
	router_cost_rows && router_overload_rows && router_log_rows
}
