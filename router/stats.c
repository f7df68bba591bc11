/**
 * DOC: metrics of the router in the Prometheus text format
 */
#include <inttypes.h>

#include "router/stats.h"

static const char *const counter_names[STAT_COUNT] = {
	[STAT_REQUESTS] = "requests_total",
	[STAT_BAD_REQUESTS] = "bad_requests_total",
	[STAT_CALLERS_LEFT] = "callers_left_total",
	[STAT_NO_ROUTE] = "no_route_total",
	[STAT_CONVICTED] = "convicted_total",
	[STAT_NOT_READY] = "not_ready_total",
	[STAT_LEAVING] = "leaving_total",
	[STAT_OVERLOAD] = "overload_total",
	[STAT_REPLICAS_BUSY] = "replicas_busy_total",
	[STAT_REPLICAS_LIMITED] = "replicas_limited_total",
	[STAT_NO_MEMORY] = "no_memory_total",
	[STAT_SENDS] = "upstream_sends_total",
	[STAT_EXTRA_SENDS] = "upstream_extra_sends_total",
	[STAT_CONNS_OPENED] = "upstream_connections_opened_total",
	[STAT_CONNS_REUSED] = "upstream_connections_reused_total",
	[STAT_STRAY_REPLIES] = "upstream_stray_replies_total",
	[STAT_BAD_STATUSES] = "bad_status_replies_total",
	[STAT_REPLICAS_LEAVING] = "replicas_leaving_total",
	[STAT_REPLICAS_HELD] = "replicas_held_total",
	[STAT_REPLICA_LIMITS] = "replica_limits_total",
	[STAT_LIMITED_SENDS] = "upstream_limited_sends_total",
	[STAT_MOVED_BY_LIMIT] = "upstream_moved_by_limit_total",
	[STAT_STORE_CALLS] = "store_calls_total",
	[STAT_STORE_FAILURES] = "store_failures_total",
	[STAT_STORE_EPOCHS] = "store_epochs_total",
	[STAT_BAD_ENTRIES] = "store_bad_entries_total",
	[STAT_GOSSIP_SENT] = "gossip_sent_total",
	[STAT_GOSSIP_RECEIVED] = "gossip_received_total",
	[STAT_CHANGES_TAKEN] = "peer_changes_taken_total",
	[STAT_REPORTS_SENT] = "replica_reports_sent_total",
	[STAT_ANNOUNCEMENTS] = "replica_announcements_total",
	[STAT_LOG_LEFT_OUT] = "log_left_out_total",
};

static const char *const gauge_names[GAUGE_COUNT] = {
	[GAUGE_CONFIG_VERSION] = "config_version",
	[GAUGE_STORE_REVISION] = "store_revision",
	[GAUGE_STORE_EPOCH] = "store_epoch",
	[GAUGE_BEYOND_STORE] = "entries_beyond_store",
	[GAUGE_STORE_AGE_MS] = "store_age_ms",
	[GAUGE_REPLICAS] = "replicas",
	[GAUGE_INSTANCES] = "instances",
	[GAUGE_CALLER_CONNECTIONS] = "caller_connections",
};

static const char *const answer_names[] = {
	[ANSWER_RELAY] = "relayed",   [ANSWER_MERGED] = "merged",
	[ANSWER_NOT_RUN] = "not_run", [ANSWER_FAILED] = "failed",
	[ANSWER_TIMEOUT] = "timeout",
};

static const unsigned bucket_bounds_ms[STATS_BUCKETS] = {
	2, 5, 10, 15, 20, 30, 40, 60, 80, 120, 180, 250, 400, 800, 1500, 3000
};

/**
 * stats_counter_name() - get the name of a counter in logs and metrics
 * @stat: counter
 *
 * Return: a static string.
 */
const char *stats_counter_name(stat_t stat)
{
	return counter_names[stat];
}

/**
 * stats_answer_name() - get the name of a kind of answer in logs and metrics
 * @how: kind of answer
 *
 * Return: a static string.
 */
const char *stats_answer_name(answer_t how)
{
	return answer_names[how];
}

/**
 * stats_record_latency() - add an answer to the latency histogram
 * @stats: metrics
 * @latency: time from the request to the answer, ms
 */
void stats_record_latency(stats_t *stats, medlar_time_t latency)
{
	size_t bucket = 0;

	while (bucket < STATS_BUCKETS && latency > bucket_bounds_ms[bucket])
		bucket++;
	stats->latency_buckets[bucket]++;
	stats->latency_sum_ms += (uint64_t)(latency < 0 ? 0 : latency);
}

static void write_histogram(const stats_t *stats, medlar_buf_t *out)
{
	uint64_t cumulative = 0;

	medlar_buf_add(out,
		       MEDLAR_STR("# TYPE medlarrouter_answer_ms histogram\n"));
	for (size_t i = 0; i < STATS_BUCKETS; i++) {
		cumulative += stats->latency_buckets[i];
		medlar_buf_printf(out,
				  "medlarrouter_answer_ms_bucket{le=\"%u\"} "
				  "%" PRIu64 "\n",
				  bucket_bounds_ms[i], cumulative);
	}
	cumulative += stats->latency_buckets[STATS_BUCKETS];
	medlar_buf_printf(out,
			  "medlarrouter_answer_ms_bucket{le=\"+Inf\"} %" PRIu64
			  "\nmedlarrouter_answer_ms_sum %" PRIu64
			  "\nmedlarrouter_answer_ms_count %" PRIu64 "\n",
			  cumulative, stats->latency_sum_ms, cumulative);
}

/**
 * stats_write() - write all metrics
 * @stats: metrics
 * @out: the metrics are appended to it in the Prometheus text format
 */
void stats_write(const stats_t *stats, medlar_buf_t *out)
{
	for (size_t i = 0; i < STAT_COUNT; i++)
		medlar_buf_printf(out,
				  "# TYPE medlarrouter_%s counter\n"
				  "medlarrouter_%s %" PRIu64 "\n",
				  counter_names[i], counter_names[i],
				  stats->counts[i]);
	for (size_t i = 0; i < GAUGE_COUNT; i++)
		medlar_buf_printf(out,
				  "# TYPE medlarrouter_%s gauge\n"
				  "medlarrouter_%s %" PRId64 "\n",
				  gauge_names[i], gauge_names[i],
				  stats->gauges[i]);
	for (size_t i = 0; i <= ANSWER_TIMEOUT; i++)
		medlar_buf_printf(out,
				  "medlarrouter_answers_total{how=\"%s\"} "
				  "%" PRIu64 "\n",
				  answer_names[i], stats->answers[i]);
	for (size_t i = 0; i < OUTCOME_COUNT; i++)
		medlar_buf_printf(out,
				  "medlarrouter_attempts_total{outcome=\"%s\"} "
				  "%" PRIu64 "\n",
				  outcome_name((outcome_t)i),
				  stats->outcomes[i]);
	medlar_buf_printf(out,
			  "medlarrouter_answers_partial_total %" PRIu64
			  "\nmedlarrouter_answers_late_total %" PRIu64 "\n",
			  stats->partial_answers, stats->late_answers);
	write_histogram(stats, out);
}
