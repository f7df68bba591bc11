/**
 * DOC: counters and latency histograms of the router, as Prometheus text
 */
#ifndef ROUTER_STATS_H
#define ROUTER_STATS_H

#include "libmedlar/medlar.h"
#include "libroute/exchange.h"

#define STATS_BUCKETS 16

/** enum stat - counters */
typedef enum stat {
	STAT_REQUESTS,
	STAT_BAD_REQUESTS,
	STAT_CALLERS_LEFT,
	STAT_NO_ROUTE,
	STAT_CONVICTED,
	STAT_NOT_READY,
	STAT_OVERLOAD,
	STAT_REPLICAS_BUSY,
	STAT_NO_MEMORY,
	STAT_SENDS,
	STAT_EXTRA_SENDS,
	STAT_CONNS_OPENED,
	STAT_CONNS_REUSED,
	STAT_STRAY_REPLIES,
	STAT_STORE_CALLS,
	STAT_STORE_FAILURES,
	STAT_BAD_ENTRIES,
	STAT_GOSSIP_SENT,
	STAT_GOSSIP_RECEIVED,
	STAT_CHANGES_TAKEN,
	STAT_LOG_LEFT_OUT,
	STAT_COUNT
} stat_t;

/** enum gauge - values that rise and fall */
typedef enum gauge {
	GAUGE_CONFIG_VERSION,
	GAUGE_STORE_REVISION,
	GAUGE_STORE_AGE_MS,
	GAUGE_REPLICAS,
	GAUGE_INSTANCES,
	GAUGE_CALLER_CONNECTIONS,
	GAUGE_COUNT
} gauge_t;

/**
 * struct stats - what one process counts
 * @counts: indexed by &enum stat
 * @gauges: indexed by &enum gauge
 * @answers: indexed by &enum answer
 * @outcomes: attempts, indexed by &enum outcome
 * @partial: merged answers that lack a part
 * @late: answers after the target latency
 * @buckets: answers by time taken; the last one has no bound
 * @total_ms: sum of the times taken
 */
typedef struct stats {
	uint64_t counts[STAT_COUNT];
	int64_t gauges[GAUGE_COUNT];
	uint64_t answers[ANSWER_TIMEOUT + 1];
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t partial;
	uint64_t late;
	uint64_t buckets[STATS_BUCKETS + 1];
	uint64_t total_ms;
} stats_t;

void stats_took(stats_t *stats, medlar_time_t took);
void stats_write(const stats_t *stats, medlar_buf_t *out);
const char *stats_name(stat_t stat);
const char *stats_answer_name(answer_t how);

#endif /* ROUTER_STATS_H */
