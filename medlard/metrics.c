/**
 * DOC: counters and latency histograms in the Prometheus text format
 */
#include <inttypes.h>
#include <stdio.h>

#include <ck_pr.h>

#include "medlard/metrics.h"

/**
 * struct metric_info - name and description of a metric
 * @name: name without the prefix medlard_
 * @help: text of its HELP line
 */
typedef struct metric_info {
	const char *name;
	const char *help;
} metric_info_t;

static const metric_info_t metric_infos[METRIC_COUNT] = {
	[METRIC_CALLER_CONNECTIONS] = { "caller_connections_opened_total",
					"Connections accepted from callers." },
	[METRIC_CALLER_CLOSED] = { "caller_connections_closed_total",
				   "Connections of callers that ended." },
	[METRIC_REQUESTS] = { "requests_total", "Requests of callers." },
	[METRIC_BAD_REQUESTS] = { "bad_requests_total",
				  "Requests refused as malformed." },
	[METRIC_CALLER_CANCELS] = { "caller_cancels_total",
				    "Requests whose caller closed." },
	[METRIC_REQUESTS_FORWARDED] = { "handovers_total",
					"Requests run by another worker." },
	[METRIC_UPSTREAM_SENDS] = { "upstream_sends_total",
				    "Requests sent to upstreams." },
	[METRIC_UPSTREAM_REPLIES] = { "upstream_replies_total",
				      "Replies that parsed." },
	[METRIC_UPSTREAM_FAULTS] = { "upstream_faults_total",
				     "Requests that ended without a reply." },
	[METRIC_UPSTREAM_SILENT] = { "upstream_silent_total",
				     "Connections closed as silent." },
	[METRIC_UPSTREAM_CANCELS] = { "upstream_cancels_total",
				      "Cancel requests sent." },
	[METRIC_UPSTREAM_OPENED] = { "upstream_connections_opened_total",
				     "Connections opened to upstreams." },
	[METRIC_UPSTREAM_CLOSED] = { "upstream_connections_closed_total",
				     "Connections to upstreams closed." },
	[METRIC_UPSTREAM_WAITS] = { "upstream_waits_total",
				    "Requests that waited for a connection." },
	[METRIC_STORE_CALLS] = { "store_calls_total",
				 "Calls of the platform." },
	[METRIC_STORE_FAILURES] = { "store_failures_total",
				    "Calls known to have had no effect." },
	[METRIC_STORE_UNKNOWN] = { "store_unknown_total",
				   "Calls whose reply was lost." },
	[METRIC_LOG_DROPPED] = { "log_dropped_total", "Log lines lost." },
	[METRIC_PEER_SENT] = { "peer_sent_total",
			       "Messages to other instances." },
	[METRIC_PEER_SENT_BYTES] = { "peer_sent_bytes_total",
				     "Bytes of these." },
	[METRIC_PEER_RECEIVED] = { "peer_received_total",
				   "Messages of other instances." },
	[METRIC_PEER_RECEIVED_BYTES] = { "peer_received_bytes_total",
					 "Bytes of these." },
	[METRIC_PEER_UNAUTHENTICATED] = { "peer_unauthenticated_total",
					  "Messages dropped for their key." },
	[METRIC_PEER_MALFORMED] = { "peer_malformed_total",
				    "Messages dropped as malformed." },
};

static const metric_info_t service_metric_infos[SERVICE_METRIC_COUNT] = {
	[SERVICE_METRIC_COMPLETE] = { "answers_complete_total",
				      "Complete answers." },
	[SERVICE_METRIC_PARTIAL] = { "answers_partial_total",
				     "Partial answers." },
	[SERVICE_METRIC_NOT_RUN] = { "answers_not_run_total",
				     "Requests told not to have run." },
	[SERVICE_METRIC_FAILED] = { "answers_failed_total",
				    "Requests that failed." },
	[SERVICE_METRIC_UNKNOWN] = { "answers_unknown_total",
				     "Writes whose outcome is not known." },
	[SERVICE_METRIC_CANCELLED] = { "answers_cancelled_total",
				       "Requests cancelled by the caller." },
	[SERVICE_METRIC_SENDS] = { "service_sends_total",
				   "Sub-requests sent to upstreams." },
	[SERVICE_METRIC_PARTS] = { "service_parts_total",
				   "Sub-requests needed." },
	[SERVICE_METRIC_CLAIMS] = { "write_claims_total",
				    "Write keys claimed." },
	[SERVICE_METRIC_RECORDS] = { "write_records_total",
				     "Outcomes of writes recorded." },
	[SERVICE_METRIC_COMMITS] = { "write_commits_total",
				     "Commits of write journals tried." },
	[SERVICE_METRIC_CONFLICTS] = { "write_conflicts_total",
				       "Commits refused: another was first." },
	[SERVICE_METRIC_LOST] = { "write_lost_total",
				  "Commits whose reply was lost." },
};

/* Upper bounds of the latency buckets, ms. */
static const uint32_t bucket_bounds[METRICS_BUCKETS] = {
	1, 2, 4, 6, 10, 16, 25, 40, 63, 100, 160, 250, 400, 1000, 2500, 10000
};

static void add_to_counter(uint64_t *counter, uint64_t increment)
{
	ck_pr_store_64(counter, *counter + increment);
}

/**
 * metrics_add() - increase a counter
 * @metrics: counters of the calling thread
 * @metric: counter
 * @increment: amount to add
 */
void metrics_add(metrics_t *metrics, metric_t metric, uint64_t increment)
{
	add_to_counter(&metrics->counts[metric], increment);
}

/**
 * metrics_new_service() - add the counters of a service
 * @metrics: counters of the calling thread
 * @name: name of the service
 *
 * Return: the counters, all zero, or NULL if there are %METRICS_SERVICES_MAX.
 */
service_metrics_t *metrics_new_service(metrics_t *metrics, const char *name)
{
	service_metrics_t *service;

	if (metrics->services_len == METRICS_SERVICES_MAX)
		return NULL;
	service = &metrics->services[metrics->services_len];
	(void)snprintf(service->name, sizeof(service->name), "%s", name);
	ck_pr_fence_store();
	ck_pr_store_32(&metrics->services_len, metrics->services_len + 1);
	return service;
}

/**
 * metrics_service_add() - increase a counter of a service
 * @service: counters that the calling thread owns, or NULL
 * @metric: counter
 * @increment: amount to add
 */
void metrics_service_add(service_metrics_t *service, service_metric_t metric,
			 uint64_t increment)
{
	if (service)
		add_to_counter(&service->counts[metric], increment);
}

/**
 * metrics_record_latency() - count an answer by its latency
 * @service: counters that the calling thread owns, or NULL
 * @latency: time from request to answer, ms; negative adds 0 to the sum
 */
void metrics_record_latency(service_metrics_t *service, medlar_time_t latency)
{
	size_t bucket = 0;

	if (!service)
		return;
	while (bucket < METRICS_BUCKETS && latency > bucket_bounds[bucket])
		bucket++;
	add_to_counter(&service->latency_buckets[bucket], 1);
	add_to_counter(&service->latency_sum_ms,
		       latency < 0 ? 0 : (uint64_t)latency);
}

static void write_metric_header(medlar_buf_t *out, const metric_info_t *info,
				const char *type)
{
	medlar_buf_printf(out, "# HELP medlard_%s %s\n# TYPE medlard_%s %s\n",
			  info->name, info->help, info->name, type);
}

static void write_counter(const metrics_t *const *sets, size_t len,
			  metric_t metric, medlar_buf_t *out)
{
	uint64_t total = 0;

	for (size_t i = 0; i < len; i++)
		total += ck_pr_load_64(&sets[i]->counts[metric]);
	write_metric_header(out, &metric_infos[metric], "counter");
	medlar_buf_printf(out, "medlard_%s %" PRIu64 "\n",
			  metric_infos[metric].name, total);
}

static void write_service(const service_metrics_t *service, size_t metric,
			  medlar_buf_t *out)
{
	medlar_buf_printf(out, "medlard_%s{service=\"%s\"} %" PRIu64 "\n",
			  service_metric_infos[metric].name, service->name,
			  ck_pr_load_64(&service->counts[metric]));
}

static void write_histogram(const service_metrics_t *service, size_t metric,
			    medlar_buf_t *out)
{
	const char *name = service->name;
	uint64_t sum = 0;

	(void)metric;
	for (size_t i = 0; i < METRICS_BUCKETS; i++) {
		sum += ck_pr_load_64(&service->latency_buckets[i]);
		medlar_buf_printf(out,
				  "medlard_answer_ms_bucket{service=\"%s\","
				  "le=\"%u\"} %" PRIu64 "\n",
				  name, bucket_bounds[i], sum);
	}
	sum += ck_pr_load_64(&service->latency_buckets[METRICS_BUCKETS]);
	medlar_buf_printf(out,
			  "medlard_answer_ms_bucket{service=\"%s\","
			  "le=\"+Inf\"} %" PRIu64 "\n"
			  "medlard_answer_ms_sum{service=\"%s\"} %" PRIu64 "\n"
			  "medlard_answer_ms_count{service=\"%s\"} %" PRIu64
			  "\n",
			  name, sum, name,
			  ck_pr_load_64(&service->latency_sum_ms), name, sum);
}

static void for_each_service(const metrics_t *const *sets, size_t len,
			     size_t metric, medlar_buf_t *out,
			     void (*write)(const service_metrics_t *, size_t,
					   medlar_buf_t *))
{
	for (size_t i = 0; i < len; i++) {
		uint32_t count = ck_pr_load_32(&sets[i]->services_len);

		ck_pr_fence_load();
		for (uint32_t j = 0; j < count; j++)
			write(&sets[i]->services[j], metric, out);
	}
}

/**
 * metrics_write() - write the sum of several sets of counters
 * @sets: sets of counters, one for each thread
 * @len: number of sets
 * @out: buffer to which Prometheus text is appended
 */
void metrics_write(const metrics_t *const *sets, size_t len, medlar_buf_t *out)
{
	static const metric_info_t latency = {
		"answer_ms", "Time from request to answer, milliseconds."
	};

	for (size_t i = 0; i < METRIC_COUNT; i++)
		write_counter(sets, len, (metric_t)i, out);
	for (size_t i = 0; i < SERVICE_METRIC_COUNT; i++) {
		write_metric_header(out, &service_metric_infos[i], "counter");
		for_each_service(sets, len, i, out, write_service);
	}
	write_metric_header(out, &latency, "histogram");
	for_each_service(sets, len, 0, out, write_histogram);
}
