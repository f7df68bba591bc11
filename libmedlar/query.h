/**
 * DOC: structures shared by the files of the query state machine
 *
 * A query is split into parts, one for each range of the partition map that it
 * asks. A part is sent as one or more attempts, and is done with the first
 * good reply. Nothing in this file is part of the public interface.
 */
#ifndef MEDLAR_QUERY_H
#define MEDLAR_QUERY_H

#include "internal.h"

/** Parts of one query at most; attempts keep the part in 16 bits. */
#define MEDLAR_PARTS_MAX 65535

/** Replicas that a part remembers having tried. */
#define MEDLAR_TRIED_MAX 3

/** Callers are spread over this many fair queues. */
#define MEDLAR_LANES 64

/** Fingerprints remembered as harmless; a power of two. */
#define MEDLAR_KNOWN_SAFE_MAX 1024

/** A part has no event due. */
#define MEDLAR_DUE_NONE UINT32_MAX

/** enum medlar_attempt_state - what the outcome of an attempt is worth */
typedef enum medlar_attempt_state {
	MEDLAR_ATTEMPT_FREE, /* in the pool */
	MEDLAR_ATTEMPT_LIVE, /* its part waits for it */
	MEDLAR_ATTEMPT_ABANDONED, /* its part is done; only the slot is held */
} medlar_attempt_state_t;

/**
 * struct medlar_attempt_ - one request in flight at a replica
 * @id: fresh random request id
 * @query: query that it belongs to, while live
 * @fingerprint: fingerprint of that query, once late
 * @replica: where it was sent
 * @data: the program's own
 * @next: next attempt of the same part, or of the pool
 * @sent: when it was sent, the low 32 bits of the time in ms
 * @version: index version that it asks for
 * @generation: how often this memory has been used
 * @part: index of the part
 * @kind: see &enum medlar_attempt_kind
 * @state: see &enum medlar_attempt_state
 * @trial: sent alone, as a suspect
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

/** enum medlar_part_state - what a part waits for */
typedef enum medlar_part_state {
	MEDLAR_PART_HELD, /* the query's probe must succeed first */
	MEDLAR_PART_WAITING, /* a replica with room, in the shard's queue */
	MEDLAR_PART_IN_FLIGHT, /* a reply */
	MEDLAR_PART_BACKOFF, /* its next retry is due later */
	MEDLAR_PART_DONE, /* answered */
	MEDLAR_PART_FAILED, /* given up */
} medlar_part_state_t;

/**
 * struct medlar_part_ - one range that a query asks
 * @range: keys
 * @attempts: attempts whose outcome matters
 * @tried: replicas used, the oldest overwritten first
 * @shard: shard that holds the range
 * @due: next hedge or retry, ms after the start of the query
 * @body_offset: offset of the reply in the query's buffer
 * @body_len: length of the reply, bytes
 * @queue_entry: index of the entry in the shard's queue plus one; 0 for none
 * @state: see &enum medlar_part_state
 * @kind: kind of the next attempt
 * @sends: attempts made, at most 255
 * @failures: attempts that ended with nothing gained, at most 255
 * @tried_len: replicas used since the last reset
 * @split_off: it was divided from another part and is to be sent now
 * @redirected: it has followed a redirect
 * @free_retry: its next attempt costs nothing from the budget
 * @silent: the connection of its last attempt fell silent
 * @suspect: a replica died with it in flight; it must be sent alone
 * @no_replica: no replica could be found for it when last tried
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

/** enum medlar_retry_reason - what another attempt costs */
typedef enum medlar_retry_reason {
	MEDLAR_RETRY_UNSENT, /* nothing: the last one was not taken in */
	MEDLAR_RETRY_SHED, /* a token: the last one was refused by load */
	MEDLAR_RETRY_FAILED, /* a token, and few are made */
	MEDLAR_RETRY_SILENT, /* the same, but the reserve may pay */
} medlar_retry_reason_t;

/** enum medlar_query_state - life of a query */
typedef enum medlar_query_state {
	MEDLAR_QUERY_QUEUED,
	MEDLAR_QUERY_RUNNING,
	MEDLAR_QUERY_ENDED,
} medlar_query_state_t;

/** enum medlar_gate - which parts of a query may be sent */
typedef enum medlar_gate {
	MEDLAR_GATE_OPEN, /* all */
	MEDLAR_GATE_CANARY, /* few, until one has succeeded */
	MEDLAR_GATE_TRIAL, /* one, alone on a replica */
} medlar_gate_t;

/**
 * struct medlar_query_ - a search or lookup
 * @queries: state of the service
 * @params: what the caller sent
 * @data: the program's own
 * @prev: previous query of the list that this one is in
 * @next: next query of that list, or of the pool
 * @parts: parts in the order of their ranges
 * @len: number of parts
 * @cap: room in @parts
 * @open: parts neither done nor failed
 * @timer: next hedge, retry, target or deadline
 * @bodies: payloads of the replies
 * @asked: keys asked
 * @covered: keys answered
 * @missing: keys asked and not answered
 * @answer: what the caller is told
 * @width: number of keys asked
 * @done: number of keys answered
 * @finish_by: latest time to answer, ms
 * @partial_due: time from which a partial answer is good enough, ms
 * @gate_due: when a further canary may be sent, ms
 * @version: index version asked for
 * @last_error: why the last part failed
 * @doom: error to end with at once; %MEDLAR_OK for none
 * @map_epoch: epoch of the map that the open parts were placed by
 * @next_canary: part that the next canary goes to
 * @restarts: times that another version was begun
 * @state: see &enum medlar_query_state
 * @gate: see &enum medlar_gate
 * @trial_in_flight: a trial is in flight
 * @canary_leader: it goes ahead of others with the same fingerprint
 * @lost: a shard has no replica left that serves the version
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
	size_t open;
	medlar_timer_t timer;
	medlar_buf_t bodies;
	medlar_ranges_t asked;
	medlar_ranges_t covered;
	medlar_ranges_t missing;
	medlar_answer_t answer;
	uint64_t width;
	uint64_t done;
	medlar_time_t finish_by;
	medlar_time_t partial_due;
	medlar_time_t gate_due;
	uint32_t version;
	int last_error;
	int doom;
	uint64_t map_epoch;
	uint32_t next_canary;
	uint8_t restarts;
	uint8_t state;
	uint8_t gate;
	bool trial_in_flight;
	bool canary_leader;
	bool lost;
};

/**
 * struct medlar_query_list - queries in the order of arrival
 * @head: oldest
 * @tail: newest
 * @len: how many
 */
typedef struct medlar_query_list {
	medlar_query_t *head;
	medlar_query_t *tail;
	size_t len;
} medlar_query_list_t;

/**
 * struct medlar_part_queue_entry - a part in the queue of its shard
 * @query: query
 * @since: when it began to wait, ms
 * @part: index of the part
 * @prev: older entry plus one; 0 for none
 * @next: newer entry plus one, or next of the pool; 0 for none
 */
typedef struct medlar_part_queue_entry {
	medlar_query_t *query;
	medlar_time_t since;
	uint32_t part;
	uint32_t prev;
	uint32_t next;
} medlar_part_queue_entry_t;

/**
 * struct medlar_part_queue - queue of one shard
 * @head: oldest entry plus one
 * @tail: newest entry plus one
 */
typedef struct medlar_part_queue {
	uint32_t head;
	uint32_t tail;
} medlar_part_queue_t;

/**
 * struct medlar_part_queues - parts that wait for a replica with room
 * @items: entries of all shards
 * @len: entries ever used
 * @cap: room in @items
 * @free: first unused entry plus one
 * @used: entries in use
 * @queues: one queue for each shard
 * @queues_len: how many
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
 * struct medlar_admission - queries that wait to be run
 * @lanes: one queue for each group of callers
 * @served: queries run from each lane, in virtual time
 * @virtual_time: virtual time of the lane served last
 * @len: queries waiting
 * @capacity: parts that may be open at once
 * @capacity_at: when @capacity was worked out, ms
 * @admitted_at: when a query was last let in, ms
 * @rate: queries ended per ms while others waited, a moving average
 * @rate_at: when @rate was last updated, ms
 * @ended: queries ended since @busy_at
 * @busy_at: since when queries have waited, or @rate was updated, ms
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
 * @free_attempts: unused attempts
 * @chunks: memory of the attempts
 * @chunks_len: how many
 * @free_queries: unused queries
 * @running: queries that have been let in
 * @ended: queries that have been answered and not yet finished
 * @open: parts of the running queries that are neither done nor failed
 * @part_queues: parts that wait for a replica
 * @map_epoch: epoch of the map that waiting parts were placed by
 * @queue_timer: looks after what waits
 * @admission: queries that wait
 * @entry_marks: scratch space, one byte for each entry of the map
 * @entry_marks_cap: room in @entry_marks
 * @version: index version chosen last for the whole catalogue; 0 for none
 * @version_coverage: coverage that it reaches
 * @version_of: generation of the service that it was chosen for
 * @version_at: when it was chosen, ms
 * @known_safe: fingerprints that have succeeded
 * @hedge_delay: time after which a part is late, ms
 * @hedge_delay_at: when it was worked out, ms
 * @tuning: mechanisms in force
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
	size_t open;
	medlar_part_queues_t part_queues;
	uint64_t map_epoch;
	medlar_timer_t queue_timer;
	medlar_admission_t admission;
	uint8_t *entry_marks;
	size_t entry_marks_cap;
	uint32_t version;
	double version_coverage;
	uint64_t version_of;
	medlar_time_t version_at;
	uint64_t known_safe[MEDLAR_KNOWN_SAFE_MAX];
	medlar_time_t hedge_delay;
	medlar_time_t hedge_delay_at;
	medlar_query_tuning_t tuning;
	medlar_query_stats_t stats;
} medlar_queries_t;

/** Traces only when someone listens, to save building the fields. */
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

/* wait.c */
int medlar_part_queue_add(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, medlar_time_t now);
void medlar_wait_remove(medlar_queries_t *queries, medlar_part_t *part);
void medlar_part_queue_dispatch(medlar_client_t *client,
				medlar_queries_t *queries, uint32_t shard,
				medlar_time_t now);
void medlar_part_queue_arm_timer(medlar_client_t *client,
				 medlar_queries_t *queries, medlar_time_t now);
void medlar_part_queue_on_timer(medlar_client_t *client, medlar_timer_t *timer,
				medlar_time_t now, void *data);
void medlar_part_queues_finish(medlar_queries_t *queries);

/* plan.c */
int medlar_plan(medlar_query_t *query);
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
void medlar_part_drop(medlar_client_t *client, medlar_query_t *query,
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
			  const medlar_death_t *death, medlar_time_t now);

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
