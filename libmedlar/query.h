/**
 * DOC: structures shared by the files of the query state machine
 *
 * A query is split into parts, one for each entry of the partition map whose
 * keys it reads. Each part is sent to a replica in one or more attempts; the
 * first valid reply completes it. Nothing in this file is part of the public
 * interface.
 */
#ifndef MEDLAR_QUERY_H
#define MEDLAR_QUERY_H

#include "internal.h"

/** Most parts of one query; attempts hold the part index in 16 bits. */
#define MEDLAR_PARTS_MAX 65535

/** Most recently tried replicas that a part keeps, to avoid them. */
#define MEDLAR_TRIED_MAX 3

/** Number of fair queues; a caller's hash selects one. */
#define MEDLAR_LANES 64

/** Slots for fingerprints known not to crash replicas; a power of two. */
#define MEDLAR_KNOWN_SAFE_MAX 1024

/** Value of &struct medlar_part_.due when no hedge or retry is scheduled. */
#define MEDLAR_DUE_NONE UINT32_MAX

/** enum medlar_attempt_state - whether the outcome of an attempt is awaited */
typedef enum medlar_attempt_state {
	MEDLAR_ATTEMPT_FREE, /* unused, in the pool */
	MEDLAR_ATTEMPT_LIVE, /* the part uses its outcome */
	MEDLAR_ATTEMPT_ABANDONED, /* outcome ignored; still holds its slot */
} medlar_attempt_state_t;

/**
 * struct medlar_attempt_ - one request in flight at a replica
 * @id: fresh random request id
 * @query: query that it belongs to; valid in %MEDLAR_ATTEMPT_LIVE
 * @fingerprint: fingerprint of that query; valid in %MEDLAR_ATTEMPT_ABANDONED
 * @replica: replica it was sent to
 * @data: set by medlar_attempt_set_data()
 * @next: next attempt of the same part, or next unused attempt
 * @sent: send time, low 32 bits of the time in ms
 * @version: requested index version
 * @generation: number of times this memory has been reused
 * @part: index of the part
 * @kind: see &enum medlar_attempt_kind
 * @state: see &enum medlar_attempt_state
 * @trial: sent alone to an idle replica, because the request is a suspect
 */
struct medlar_attempt_ {
	uint8_t id[MEDLAR_REQUEST_ID_LEN];
	union {
		medlar_query_t *query;
		uint64_t fingerprint;
	} origin;
	medlar_replica_t *replica;
	void *data;
	medlar_attempt_t *next;
	uint32_t sent;
	uint32_t version;
	uint32_t generation;
	uint16_t part;
	uint8_t kind;
	uint8_t state : 2;
	uint8_t trial : 1;
};

/** enum medlar_part_state - state of a part of a query */
typedef enum medlar_part_state {
	MEDLAR_PART_HELD, /* until the query's canary or trial succeeds */
	MEDLAR_PART_WAITING, /* in the shard's queue for a free replica */
	MEDLAR_PART_IN_FLIGHT, /* sent, no valid reply yet */
	MEDLAR_PART_BACKOFF, /* retried when the back-off ends */
	MEDLAR_PART_DONE, /* answered */
	MEDLAR_PART_FAILED, /* reported as missing */
} medlar_part_state_t;

/**
 * struct medlar_part_ - one range of keys that a query reads
 * @range: keys
 * @attempts: live attempts
 * @tried: replicas tried last, oldest first
 * @shard: shard that holds the range
 * @due: time of the next hedge or retry, ms after the start of the query, or
 *	%MEDLAR_DUE_NONE
 * @body_offset: offset of the reply in the query's buffer
 * @body_len: length of the reply, bytes
 * @queue_entry: index of the entry in the shard's queue plus one; 0 for none
 * @state: see &enum medlar_part_state
 * @kind: kind of the next attempt
 * @sends: attempts made, saturating at 255
 * @failures: attempts that failed after they may have been executed
 * @tried_len: entries of @tried in use
 * @split_off: created when the map split another part, and not sent yet
 * @redirected: a redirect was followed; a second one is not
 * @free_retry: the next attempt is not charged to the retry budget
 * @silent: the last attempt ended with %MEDLAR_FAULT_SILENT
 * @suspect: a replica crashed with it in flight; it is sent in a trial next
 * @no_replica: the last search for a replica found none
 */
struct medlar_part_ {
	medlar_range_t range;
	medlar_attempt_t *attempts;
	medlar_replica_t *tried[MEDLAR_TRIED_MAX];
	uint32_t shard;
	uint32_t due;
	uint32_t body_offset;
	uint32_t body_len;
	uint32_t queue_entry;
	uint8_t state : 4;
	uint8_t kind : 4;
	uint8_t sends;
	uint8_t failures;
	uint8_t tried_len : 2;
	uint8_t split_off : 1;
	uint8_t redirected : 1;
	uint8_t free_retry : 1;
	uint8_t silent : 1;
	uint8_t suspect : 1;
	uint8_t no_replica : 1;
};

_Static_assert(sizeof(medlar_attempt_t) <= 64, "an attempt takes 64 bytes");
_Static_assert(sizeof(medlar_part_t) <= 72, "a part takes 72 bytes");

/** enum medlar_retry_reason - how an attempt failed; sets the retry's cost */
typedef enum medlar_retry_reason {
	MEDLAR_RETRY_UNSENT, /* not executed for sure: free */
	MEDLAR_RETRY_SHED, /* refused under load: one token */
	MEDLAR_RETRY_FAILED, /* may have run: one token, counts as failure */
	MEDLAR_RETRY_SILENT, /* as failed, may use the reserve */
} medlar_retry_reason_t;

/** enum medlar_query_state - life cycle of a query */
typedef enum medlar_query_state {
	MEDLAR_QUERY_QUEUED, /* waits for admission */
	MEDLAR_QUERY_RUNNING, /* its parts are sent */
	MEDLAR_QUERY_ENDED, /* answered or cancelled */
} medlar_query_state_t;

/** enum medlar_gate - which parts of a query may be sent */
typedef enum medlar_gate {
	MEDLAR_GATE_OPEN, /* all */
	MEDLAR_GATE_CANARY, /* canaries only, until one succeeds */
	MEDLAR_GATE_TRIAL, /* one at a time, on an idle replica */
} medlar_gate_t;

/**
 * struct medlar_query_ - a search or lookup
 * @queries: queries of the service
 * @params: request as received from the caller
 * @data: passed to medlar_query_start()
 * @prev: previous query of the list that this one is in
 * @next: next query of that list, or next unused query
 * @parts: parts in the order of their ranges; split-off parts are at the end
 * @len: number of parts
 * @cap: allocated elements of @parts
 * @open_parts: parts neither done nor failed
 * @timer: fires at the next hedge, retry, target or deadline
 * @bodies: payloads of the replies, concatenated
 * @requested: requested keys
 * @covered: keys answered
 * @missing: keys requested and not answered
 * @answer: result for the caller
 * @keys_asked: number of requested keys
 * @keys_answered: number of keys answered
 * @answer_due: latest time to answer, ms
 * @partial_due: time from which a partial answer is returned, ms
 * @gate_due: when the next canary or trial may be sent, ms
 * @version: index version that all parts are read from
 * @last_error: error of the part that failed last
 * @abort_error: error to end the query with at once; %MEDLAR_OK for none
 * @map_epoch: epoch of the map that the open parts were last mapped with
 * @next_canary: index of the part to try next as a canary
 * @restarts: number of restarts with another index version
 * @state: see &enum medlar_query_state
 * @gate: see &enum medlar_gate
 * @trial_in_flight: a trial is in flight
 * @canary_leader: sends canaries while other queries with the same fingerprint
 *	wait for its outcome
 * @version_lost: a shard has no replica left that serves the version
 */
struct medlar_query_ {
	struct medlar_queries_ *queries;
	medlar_query_params_t params;
	void *data;
	medlar_query_t *prev;
	medlar_query_t *next;
	medlar_part_t *parts;
	size_t len;
	size_t cap;
	size_t open_parts;
	medlar_timer_t timer;
	medlar_buf_t bodies;
	medlar_ranges_t requested;
	medlar_ranges_t covered;
	medlar_ranges_t missing;
	medlar_answer_t answer;
	uint64_t keys_asked;
	uint64_t keys_answered;
	medlar_time_t answer_due;
	medlar_time_t partial_due;
	medlar_time_t gate_due;
	uint32_t version;
	int last_error;
	int abort_error;
	uint64_t map_epoch;
	uint32_t next_canary;
	uint8_t restarts;
	uint8_t state;
	uint8_t gate;
	bool trial_in_flight;
	bool canary_leader;
	bool version_lost;
};

/**
 * struct medlar_query_list - doubly linked list of queries in order of arrival
 * @head: oldest query, or NULL
 * @tail: newest query, or NULL
 * @len: number of queries
 */
typedef struct medlar_query_list {
	medlar_query_t *head;
	medlar_query_t *tail;
	size_t len;
} medlar_query_list_t;

/**
 * struct medlar_part_queue_entry - a part waiting in the queue of its shard
 * @query: query that the part belongs to
 * @since: when it was queued, ms
 * @part: index of the part in the query
 * @prev: index of the next older entry plus one; 0 for none
 * @next: index of the next newer entry, or of the next unused entry, plus one;
 *	0 for none
 */
typedef struct medlar_part_queue_entry {
	medlar_query_t *query;
	medlar_time_t since;
	uint32_t part;
	uint32_t prev;
	uint32_t next;
} medlar_part_queue_entry_t;

/**
 * struct medlar_part_queue - parts that wait for a replica of one shard
 * @head: index of the oldest entry plus one; 0 when empty
 * @tail: index of the newest entry plus one; 0 when empty
 */
typedef struct medlar_part_queue {
	uint32_t head;
	uint32_t tail;
} medlar_part_queue_t;

/**
 * struct medlar_part_queues - queues of parts, one for each shard
 * @items: entries of all queues
 * @len: entries that have been used at least once
 * @cap: allocated elements of @items
 * @free: index of the first unused entry plus one; 0 for none
 * @used: entries in use
 * @queues: queues, indexed by shard
 * @queues_len: number of @queues
 */
typedef struct medlar_part_queues {
	medlar_part_queue_entry_t *items;
	size_t len;
	size_t cap;
	uint32_t free;
	size_t used;
	medlar_part_queue_t *queues;
	size_t queues_len;
} medlar_part_queues_t;

/**
 * struct medlar_admission - admission queue of a service
 * @lanes: one FIFO queue for each group of callers, see %MEDLAR_LANES
 * @served: virtual time of each lane, advanced by one for each query admitted
 * @virtual_time: virtual time of the lane served last
 * @len: queries in all lanes
 * @capacity: most open parts while more queries are admitted
 * @capacity_at: when @capacity was computed, ms
 * @admitted_at: when a query was last admitted, ms
 * @rate: queries ended per ms while others waited, a moving average
 * @rate_at: when @rate was last updated, ms
 * @ended: queries ended since @busy_at
 * @busy_at: start of the period over which the next rate is measured, ms
 */
typedef struct medlar_admission {
	medlar_query_list_t lanes[MEDLAR_LANES];
	uint64_t served[MEDLAR_LANES];
	uint64_t virtual_time;
	size_t len;
	size_t capacity;
	medlar_time_t capacity_at;
	medlar_time_t admitted_at;
	double rate;
	medlar_time_t rate_at;
	size_t ended;
	medlar_time_t busy_at;
} medlar_admission_t;

/**
 * struct medlar_queries_ - the queries of one service
 * @service: service
 * @free_attempts: pool of unused attempts
 * @chunks: memory blocks that hold the attempts
 * @chunks_len: number of @chunks
 * @free_queries: pool of unused queries
 * @running: admitted queries
 * @ended: queries that have been answered and not yet finished
 * @open_parts: parts of the running queries that are neither done nor failed
 * @part_queues: parts that wait for a free replica
 * @map_epoch: epoch of the map that the waiting parts were mapped with
 * @queue_timer: serves the queues while anything waits
 * @admission: queries that wait for admission
 * @entry_marks: scratch space, one byte for each entry of the map
 * @entry_marks_cap: allocated bytes of @entry_marks
 * @version: cached choice of the index version for all keys; 0 for none
 * @version_coverage: share of the keys that @version covers, 0 to 1
 * @version_generation: generation of the service that @version was chosen for
 * @version_at: when @version was chosen, ms
 * @known_safe: fingerprints of queries that completed, indexed by hash
 * @hedge_delay: time after which a part is hedged, ms
 * @hedge_delay_at: when @hedge_delay was computed, ms
 * @tuning: mechanisms that are switched on
 * @stats: counters
 */
typedef struct medlar_queries_ {
	medlar_service_t *service;
	medlar_attempt_t *free_attempts;
	medlar_attempt_t **chunks;
	size_t chunks_len;
	medlar_query_t *free_queries;
	medlar_query_list_t running;
	medlar_query_list_t ended;
	size_t open_parts;
	medlar_part_queues_t part_queues;
	uint64_t map_epoch;
	medlar_timer_t queue_timer;
	medlar_admission_t admission;
	uint8_t *entry_marks;
	size_t entry_marks_cap;
	uint32_t version;
	double version_coverage;
	uint64_t version_generation;
	medlar_time_t version_at;
	uint64_t known_safe[MEDLAR_KNOWN_SAFE_MAX];
	medlar_time_t hedge_delay;
	medlar_time_t hedge_delay_at;
	medlar_query_tuning_t tuning;
	medlar_query_stats_t stats;
} medlar_queries_t;

/** Skips building the fields when no trace handler is registered. */
#define MEDLAR_QUERY_TRACE(client, event, ...)                        \
	do {                                                          \
		if ((client)->trace)                                  \
			MEDLAR_TRACE((client), (event), __VA_ARGS__); \
	} while (0)

/* pool.c */
medlar_attempt_t *medlar_pool_get_attempt(medlar_queries_t *queries);
void medlar_pool_put_attempt(medlar_queries_t *queries,
			     medlar_attempt_t *attempt);
medlar_query_t *medlar_pool_get_query(medlar_queries_t *queries);
void medlar_pool_put_query(medlar_query_t *query);
void medlar_pool_finish(medlar_queries_t *queries);
void medlar_query_list_add(medlar_query_list_t *list, medlar_query_t *query);
void medlar_query_list_remove(medlar_query_list_t *list, medlar_query_t *query);

/* part_queue.c */
int medlar_part_queue_add(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, medlar_time_t now);
void medlar_part_queue_remove(medlar_queries_t *queries, medlar_part_t *part);
void medlar_part_queue_dispatch(medlar_client_t *client,
				medlar_queries_t *queries, uint32_t shard,
				medlar_time_t now);
void medlar_part_queue_arm_timer(medlar_client_t *client,
				 medlar_queries_t *queries, medlar_time_t now);
void medlar_part_queue_on_timer(medlar_client_t *client, medlar_timer_t *timer,
				medlar_time_t now, void *data);
void medlar_part_queues_finish(medlar_queries_t *queries);

/* plan.c */
int medlar_plan_query(medlar_query_t *query);
int medlar_plan_remap_part(medlar_query_t *query, size_t part);
bool medlar_plan_follow_redirect(medlar_query_t *query, size_t part,
				 uint32_t shard);

/* part.c */
int medlar_part_send_to(medlar_client_t *client, medlar_query_t *query,
			medlar_part_t *part, medlar_replica_t *replica,
			medlar_time_t now);
int medlar_part_send(medlar_client_t *client, medlar_query_t *query,
		     medlar_part_t *part, medlar_time_t now);
void medlar_part_start(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_time_t now);
void medlar_part_retry(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_retry_reason_t why,
		       medlar_time_t now);
void medlar_part_redirect(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, uint32_t shard,
			  medlar_time_t now);
void medlar_part_remap(medlar_client_t *client, medlar_query_t *query,
		       size_t index, medlar_time_t now);
void medlar_part_resume(medlar_client_t *client, medlar_query_t *query,
			size_t index, medlar_time_t now);
void medlar_part_complete(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, medlar_str_t body);
void medlar_part_fail(medlar_client_t *client, medlar_query_t *query,
		      medlar_part_t *part, int reason, medlar_time_t now);
void medlar_part_cancel_attempts(medlar_client_t *client, medlar_query_t *query,
				 medlar_part_t *part);
void medlar_part_set_due(medlar_client_t *client, medlar_query_t *query,
			 medlar_part_t *part, medlar_time_t now);

/* hedge.c */
void medlar_hedge_reset(medlar_queries_t *queries);
medlar_time_t medlar_hedge_delay(const medlar_queries_t *queries);
medlar_time_t medlar_hedge_backoff(medlar_client_t *client,
				   const medlar_queries_t *queries,
				   unsigned tries);
void medlar_hedge_send(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_time_t now);
void medlar_hedge_record_latency(medlar_queries_t *queries, medlar_time_t took,
				 medlar_time_t now);
bool medlar_hedge_budget_allows(const medlar_queries_t *queries,
				const medlar_part_t *part);
void medlar_hedge_budget_charge(medlar_queries_t *queries,
				const medlar_part_t *part);

/* gate.c */
void medlar_gate_begin(medlar_client_t *client, medlar_query_t *query,
		       medlar_time_t now);
void medlar_gate_advance(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now);
void medlar_gate_on_success(medlar_client_t *client, medlar_query_t *query,
			    medlar_part_t *part, bool trial, medlar_time_t now);
void medlar_gate_canary_failed(medlar_client_t *client, medlar_query_t *query,
			       medlar_time_t now);
void medlar_gate_on_crash(medlar_client_t *client, medlar_queries_t *queries,
			  const medlar_crash_t *crash, medlar_time_t now);

/* admission.c */
int medlar_admission_check(medlar_queries_t *queries,
			   const medlar_query_params_t *params,
			   medlar_time_t now);
bool medlar_admission_has_capacity(medlar_queries_t *queries,
				   medlar_time_t now);
int medlar_admission_add(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now);
void medlar_admission_remove(medlar_query_t *query);
void medlar_admission_dispatch(medlar_client_t *client,
			       medlar_queries_t *queries, medlar_time_t now);
void medlar_admission_record_ended(medlar_queries_t *queries, size_t parts,
				   medlar_time_t now);

/* answer.c */
void medlar_answer_fill(medlar_query_t *query, int error);

/* restart.c */
uint32_t medlar_restart_version(medlar_queries_t *queries,
				const medlar_query_t *query, medlar_time_t now);
bool medlar_restart(medlar_client_t *client, medlar_query_t *query,
		    medlar_time_t now);

/* query.c */
medlar_time_t medlar_query_answer_margin(medlar_time_t left);
int medlar_query_run(medlar_client_t *client, medlar_query_t *query,
		     medlar_time_t now);
void medlar_query_end(medlar_client_t *client, medlar_query_t *query, int error,
		      medlar_time_t now);
bool medlar_query_end_if_due(medlar_client_t *client, medlar_query_t *query,
			     medlar_time_t now);
void medlar_query_arm_timer(medlar_client_t *client, medlar_query_t *query,
			    medlar_time_t due);
void medlar_query_on_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data);
size_t medlar_query_part_index(const medlar_query_t *query,
			       const medlar_part_t *part);

#endif /* MEDLAR_QUERY_H */
