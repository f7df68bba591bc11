/**
 * DOC: counters, gauges and the latency histogram of the router
 */
#ifndef ROUTER_STATS_H
#define ROUTER_STATS_H

#include "libmedlar/medlar.h"
#include "libroute/exchange.h"

/** Buckets of the latency histogram, without the unbounded one. */
#define STATS_BUCKETS 16

/**
 * enum stat - counters
 * @STAT_REQUESTS: requests received from callers
 * @STAT_BAD_REQUESTS: requests that were malformed or too large
 * @STAT_CALLERS_LEFT: callers that disconnected before the answer
 * @STAT_NO_ROUTE: requests refused because no route matches
 * @STAT_CONVICTED: requests refused because they have crashed replicas
 * @STAT_NOT_READY: requests refused because no configuration is in force
 * @STAT_LEAVING: requests refused because they may outlast this instance, which
 *	is shutting down
 * @STAT_OVERLOAD: requests refused because this process is overloaded
 * @STAT_REPLICAS_BUSY: requests refused because replicas are overloaded
 * @STAT_REPLICAS_LIMITED: requests refused because the limits that replicas name
 *	leave no room
 * @STAT_NO_MEMORY: requests refused for lack of memory
 * @STAT_SENDS: requests sent to replicas
 * @STAT_EXTRA_SENDS: of these, retries and hedges
 * @STAT_CONNS_OPENED: connections to replicas that were opened
 * @STAT_CONNS_REUSED: requests that were sent on an idle connection
 * @STAT_STRAY_REPLIES: replies of replicas to another request
 * @STAT_BAD_STATUSES: replies of replicas, the store and other instances whose status
 *	is none
 * @STAT_REPLICAS_LEAVING: replicas that said in a reply that they are leaving
 * @STAT_REPLICAS_HELD: times at which a replica said that it wants no requests for
 *	some time
 * @STAT_REPLICA_LIMITS: times at which a replica named another limit, or none any
 *	more
 * @STAT_LIMITED_SENDS: requests sent to replicas that name a limit
 * @STAT_MOVED_BY_LIMIT: requests sent to another replica as the limit of the best
 *	one left no room
 * @STAT_STORE_CALLS: calls to the store
 * @STAT_STORE_FAILURES: failed calls to the store
 * @STAT_STORE_EPOCHS: times at which the store came back from an older copy
 * @STAT_BAD_ENTRIES: entries of the store that could not be parsed
 * @STAT_GOSSIP_SENT: gossip messages sent
 * @STAT_GOSSIP_RECEIVED: gossip messages received
 * @STAT_CHANGES_TAKEN: sets of changes applied from other instances
 * @STAT_REPORTS_SENT: late replies reported to the observer of their replica
 * @STAT_ANNOUNCEMENTS: announcements of slow replicas that were new
 * @STAT_LOG_LEFT_OUT: log lines left out by the rate limit
 * @STAT_COUNT: number of counters
 */
typedef enum stat {
	STAT_REQUESTS,
	STAT_BAD_REQUESTS,
	STAT_CALLERS_LEFT,
	STAT_NO_ROUTE,
	STAT_CONVICTED,
	STAT_NOT_READY,
	STAT_LEAVING,
	STAT_OVERLOAD,
	STAT_REPLICAS_BUSY,
	STAT_REPLICAS_LIMITED,
	STAT_NO_MEMORY,
	STAT_SENDS,
	STAT_EXTRA_SENDS,
	STAT_CONNS_OPENED,
	STAT_CONNS_REUSED,
	STAT_STRAY_REPLIES,
	STAT_BAD_STATUSES,
	STAT_REPLICAS_LEAVING,
	STAT_REPLICAS_HELD,
	STAT_REPLICA_LIMITS,
	STAT_LIMITED_SENDS,
	STAT_MOVED_BY_LIMIT,
	STAT_STORE_CALLS,
	STAT_STORE_FAILURES,
	STAT_STORE_EPOCHS,
	STAT_BAD_ENTRIES,
	STAT_GOSSIP_SENT,
	STAT_GOSSIP_RECEIVED,
	STAT_CHANGES_TAKEN,
	STAT_REPORTS_SENT,
	STAT_ANNOUNCEMENTS,
	STAT_LOG_LEFT_OUT,
	STAT_COUNT
} stat_t;

/**
 * enum gauge - gauges
 * @GAUGE_CONFIG_VERSION: configuration version in force
 * @GAUGE_STORE_REVISION: store revision up to which the mirror is complete
 * @GAUGE_STORE_EPOCH: epoch of the store; 0 if it names none
 * @GAUGE_BEYOND_STORE: entries that are known newer than the store lists them
 * @GAUGE_STORE_AGE_MS: time since the last answer of the store, ms; -1 if there
 *	was none
 * @GAUGE_REPLICAS: known replicas
 * @GAUGE_INSTANCES: known instances, including this one
 * @GAUGE_CALLER_CONNECTIONS: open connections of callers
 * @GAUGE_COUNT: number of gauges
 */
typedef enum gauge {
	GAUGE_CONFIG_VERSION,
	GAUGE_STORE_REVISION,
	GAUGE_STORE_EPOCH,
	GAUGE_BEYOND_STORE,
	GAUGE_STORE_AGE_MS,
	GAUGE_REPLICAS,
	GAUGE_INSTANCES,
	GAUGE_CALLER_CONNECTIONS,
	GAUGE_COUNT
} gauge_t;

/**
 * struct stats - metrics of the process
 * @counts: counters, indexed by &enum stat
 * @gauges: gauges, indexed by &enum gauge
 * @answers: number of answers to callers, indexed by &enum answer
 * @outcomes: number of attempts, indexed by &enum outcome
 * @partial_answers: number of merged answers without all parts
 * @late_answers: number of answers later than the target latency of their route
 * @latency_buckets: number of answers by latency; the last bucket is unbounded
 * @latency_sum_ms: sum of the latencies, ms
 */
typedef struct stats {
	uint64_t counts[STAT_COUNT];
	int64_t gauges[GAUGE_COUNT];
	uint64_t answers[ANSWER_TIMEOUT + 1];
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t partial_answers;
	uint64_t late_answers;
	uint64_t latency_buckets[STATS_BUCKETS + 1];
	uint64_t latency_sum_ms;
} stats_t;

void stats_record_latency(stats_t *stats, medlar_time_t took);
void stats_write(const stats_t *stats, medlar_buf_t *out);
const char *stats_counter_name(stat_t stat);
const char *stats_answer_name(answer_t how);

#endif /* ROUTER_STATS_H */
