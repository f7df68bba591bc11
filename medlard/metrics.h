/**
 * DOC: counters and latency histograms in the Prometheus text format
 *
 * Each set of metrics is written by one thread and may be read by any.
 */
#ifndef MEDLARD_METRICS_H
#define MEDLARD_METRICS_H

#include "libmedlar/medlar.h"

/** Services that one thread can count for. */
#define METRICS_SERVICES_MAX 64

/** Latency buckets that have an upper bound. */
#define METRICS_BUCKETS 16

/** enum metric - counters of a thread */
typedef enum metric {
	METRIC_CALLER_CONNECTIONS,
	METRIC_CALLER_CLOSED,
	METRIC_REQUESTS,
	METRIC_BAD_REQUESTS,
	METRIC_CALLER_CANCELS,
	METRIC_REQUESTS_FORWARDED,
	METRIC_UPSTREAM_SENDS,
	METRIC_UPSTREAM_REPLIES,
	METRIC_UPSTREAM_FAULTS,
	METRIC_UPSTREAM_SILENT,
	METRIC_UPSTREAM_CANCELS,
	METRIC_UPSTREAM_OPENED,
	METRIC_UPSTREAM_CLOSED,
	METRIC_UPSTREAM_WAITS,
	METRIC_STORE_CALLS,
	METRIC_STORE_FAILURES,
	METRIC_STORE_UNKNOWN,
	METRIC_LOG_DROPPED,
	METRIC_PEER_SENT,
	METRIC_PEER_SENT_BYTES,
	METRIC_PEER_RECEIVED,
	METRIC_PEER_RECEIVED_BYTES,
	METRIC_PEER_UNAUTHENTICATED,
	METRIC_PEER_MALFORMED,
	METRIC_COUNT
} metric_t;

/** enum service_metric - counters of a service */
typedef enum service_metric {
	SERVICE_METRIC_COMPLETE,
	SERVICE_METRIC_PARTIAL,
	SERVICE_METRIC_NOT_RUN,
	SERVICE_METRIC_FAILED,
	SERVICE_METRIC_UNKNOWN,
	SERVICE_METRIC_CANCELLED,
	SERVICE_METRIC_SENDS,
	SERVICE_METRIC_PARTS,
	SERVICE_METRIC_CLAIMS,
	SERVICE_METRIC_RECORDS,
	SERVICE_METRIC_COMMITS,
	SERVICE_METRIC_CONFLICTS,
	SERVICE_METRIC_LOST,
	SERVICE_METRIC_COUNT
} service_metric_t;

/**
 * struct service_metrics - counters of one service in one thread
 * @name: name of the service, NUL-terminated; empty if unused
 * @counts: indexed by &enum service_metric
 * @latency_buckets: number of answers by latency; the last bucket is unbounded
 * @latency_sum_ms: sum of the latencies, ms
 */
typedef struct service_metrics {
	char name[MEDLAR_NAME_MAX + 1];
	uint64_t counts[SERVICE_METRIC_COUNT];
	uint64_t latency_buckets[METRICS_BUCKETS + 1];
	uint64_t latency_sum_ms;
} service_metrics_t;

/**
 * struct metrics - counters of one thread
 * @counts: indexed by &enum metric
 * @services: one entry for each service that the thread owns
 * @services_len: entries in use; never decreases
 */
typedef struct metrics {
	uint64_t counts[METRIC_COUNT];
	service_metrics_t services[METRICS_SERVICES_MAX];
	uint32_t services_len;
} metrics_t;

void metrics_add(metrics_t *metrics, metric_t metric, uint64_t increment);
service_metrics_t *metrics_new_service(metrics_t *metrics, const char *name);
void metrics_service_add(service_metrics_t *service, service_metric_t metric,
			 uint64_t increment);
void metrics_record_latency(service_metrics_t *service, medlar_time_t latency);
void metrics_write(const metrics_t *const *sets, size_t len, medlar_buf_t *out);

#endif /* MEDLARD_METRICS_H */
