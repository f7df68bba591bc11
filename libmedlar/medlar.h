/**
 * DOC: libmedlar, the core library of the query tier
 *
 * Implements routing, limits, retries, write claims, configuration and
 * membership. The library performs no I/O and reads no clock: events, the
 * current time and random seeds are passed in, and actions are requested
 * through callbacks. Each section corresponds to the source file named above
 * it.
 *
 * No function is thread safe. Each object belongs to the client it is used
 * with, and each client belongs to one thread.
 */
#ifndef MEDLAR_H
#define MEDLAR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Version of the product. */
#define MEDLAR_VERSION "0.1.0"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct medlar_client_ medlar_client_t;
typedef struct medlar_service_ medlar_service_t;
typedef struct medlar_shard_ medlar_shard_t;
typedef struct medlar_replica_ medlar_replica_t;
typedef struct medlar_query_ medlar_query_t;
typedef struct medlar_part_ medlar_part_t;
typedef struct medlar_attempt_ medlar_attempt_t;
typedef struct medlar_suspects medlar_suspects_t;

/*
 * error.c
 */

/**
 * enum medlar_error - errors of all functions of the library
 *
 * A function that can fail returns %MEDLAR_OK or one of the negative values.
 * medlar_error_text() describes each of them.
 */
typedef enum medlar_error {
	MEDLAR_OK = 0,
	MEDLAR_ERR_NOMEM = -1,
	MEDLAR_ERR_SYNTAX = -2,
	MEDLAR_ERR_FIELD = -3,
	MEDLAR_ERR_TYPE = -4,
	MEDLAR_ERR_RANGE = -5,
	MEDLAR_ERR_MISSING = -6,
	MEDLAR_ERR_NOT_FOUND = -7,
	MEDLAR_ERR_CONFLICT = -8,
	MEDLAR_ERR_FULL = -9,
	MEDLAR_ERR_DEADLINE = -10,
	MEDLAR_ERR_OVERLOAD = -11,
	MEDLAR_ERR_NO_REPLICA = -12,
	MEDLAR_ERR_NO_VERSION = -13,
	MEDLAR_ERR_CONVICTED = -14,
	MEDLAR_ERR_LEAVING = -15,
	MEDLAR_ERR_STORE_DOWN = -16,
	MEDLAR_ERR_STORE_UNKNOWN = -17,
	MEDLAR_ERR_AUTH = -18,
	MEDLAR_ERR_EXPIRED = -19,
	MEDLAR_ERR_IO = -20,
	MEDLAR_ERR_PROTOCOL = -21,
	MEDLAR_ERR_CANCELLED = -22,
	MEDLAR_ERR_TOO_LARGE = -23,
	MEDLAR_ERR_CLASH = -24,
	MEDLAR_ERR_STALE = -25,
	MEDLAR_ERR_UNAVAILABLE = -26,
} medlar_error_t;

const char *medlar_error_name(int error);
const char *medlar_error_text(int error);

/*
 * str.c
 */

/**
 * struct medlar_str - string with a length, whose bytes it does not own
 * @ptr: first byte; not necessarily terminated
 * @len: length in bytes
 */
typedef struct medlar_str {
	const char *ptr;
	size_t len;
} medlar_str_t;

/** MEDLAR_STR() - &struct medlar_str of a string literal */
#define MEDLAR_STR(literal) ((medlar_str_t){ (literal), sizeof(literal) - 1 })

medlar_str_t medlar_str_from(const char *text);
bool medlar_str_equal(medlar_str_t a, medlar_str_t b);
uint64_t medlar_str_hash(medlar_str_t str, uint64_t seed);

/*
 * buf.c
 */

/**
 * struct medlar_buf - byte buffer that grows as needed
 * @ptr: bytes, terminated by a zero byte that @len does not count
 * @len: bytes in use
 * @cap: bytes allocated
 * @error: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM after an append has failed; later
 *	appends have no effect
 */
typedef struct medlar_buf {
	char *ptr;
	size_t len;
	size_t cap;
	int error;
} medlar_buf_t;

void medlar_buf_init(medlar_buf_t *buf);
void medlar_buf_finish(medlar_buf_t *buf);
void medlar_buf_reset(medlar_buf_t *buf);
void medlar_buf_add(medlar_buf_t *buf, medlar_str_t str);
void medlar_buf_printf(medlar_buf_t *buf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void medlar_buf_json_string(medlar_buf_t *buf, medlar_str_t str);
medlar_str_t medlar_buf_str(const medlar_buf_t *buf);

/*
 * clock.c
 */

/** typedef medlar_time_t - a point in time or a duration in milliseconds */
typedef int64_t medlar_time_t;

#define MEDLAR_TIME_NEVER INT64_MAX
#define MEDLAR_SECOND ((medlar_time_t)1000)
#define MEDLAR_MINUTE (60 * MEDLAR_SECOND)
#define MEDLAR_HOUR (60 * MEDLAR_MINUTE)

/*
 * table.c
 */

/**
 * struct medlar_table - hash table of items whose first member is a 64-bit id
 * @slots: pointers to the ids; NULL for a free slot
 * @len: number of items
 * @cap: number of @slots
 */
typedef struct medlar_table {
	uint64_t **slots;
	size_t len;
	size_t cap;
} medlar_table_t;

/*
 * rand.c
 */

/**
 * struct medlar_rand - pseudo-random number generator
 * @state: seed at first, any value; equal seeds give equal sequences
 */
typedef struct medlar_rand {
	uint64_t state;
} medlar_rand_t;

uint64_t medlar_rand_next(medlar_rand_t *rand);
uint64_t medlar_rand_below(medlar_rand_t *rand, uint64_t bound);
double medlar_rand_unit(medlar_rand_t *rand);

/*
 * timer.c
 */

typedef struct medlar_timer_ medlar_timer_t;
typedef void (*medlar_timer_fn_t)(medlar_client_t *client,
				  medlar_timer_t *timer, medlar_time_t now,
				  void *data);

/**
 * struct medlar_timer_ - one-shot timer in memory of the caller
 * @due: absolute time at which it fires, ms
 * @slot: index in the heap plus one; 0 while the timer is not set
 * @fn: called when the timer fires, after it was cleared; may set it again
 * @data: passed to @fn
 */
struct medlar_timer_ {
	medlar_time_t due;
	size_t slot;
	medlar_timer_fn_t fn;
	void *data;
};

/**
 * struct medlar_timers - binary heap of the timers that are set
 * @heap: timers; the first one is due first
 * @len: number of timers
 * @cap: capacity of @heap
 */
typedef struct medlar_timers {
	medlar_timer_t **heap;
	size_t len;
	size_t cap;
} medlar_timers_t;

void medlar_timer_init(medlar_timer_t *timer, medlar_timer_fn_t fn, void *data);
int medlar_timer_set(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t due);
void medlar_timer_clear(medlar_client_t *client, medlar_timer_t *timer);

/*
 * client.c
 */

/** enum medlar_event - kind of a trace event */
typedef enum medlar_event {
	MEDLAR_EVENT_PICK,
	MEDLAR_EVENT_HEDGE,
	MEDLAR_EVENT_RETRY,
	MEDLAR_EVENT_REPLY,
	MEDLAR_EVENT_DROP,
	MEDLAR_EVENT_ADMIT,
	MEDLAR_EVENT_REFUSE,
	MEDLAR_EVENT_VERSION,
	MEDLAR_EVENT_ANSWER,
	MEDLAR_EVENT_EJECT,
	MEDLAR_EVENT_LIMIT,
	MEDLAR_EVENT_LEAVE,
	MEDLAR_EVENT_SUSPECT,
	MEDLAR_EVENT_CLAIM,
	MEDLAR_EVENT_WRITE,
	MEDLAR_EVENT_CONFIG,
	MEDLAR_EVENT_MEMBER,
	MEDLAR_EVENT_MAP,
	MEDLAR_EVENT_ADDRESS,
	MEDLAR_EVENT_STORE,
	MEDLAR_EVENT_COUNT
} medlar_event_t;

/** enum medlar_field_kind - type of the value of a trace field */
typedef enum medlar_field_kind {
	MEDLAR_FIELD_NUM, /* signed decimal number */
	MEDLAR_FIELD_HEX, /* hexadecimal number */
	MEDLAR_FIELD_TEXT, /* string */
} medlar_field_kind_t;

/**
 * struct medlar_field - key and value of a trace event
 * @key: name, a lower-case identifier
 * @kind: type of the value
 * @num: value of %MEDLAR_FIELD_NUM and %MEDLAR_FIELD_HEX
 * @text: value of %MEDLAR_FIELD_TEXT
 */
typedef struct medlar_field {
	const char *key;
	medlar_field_kind_t kind;
	int64_t num;
	medlar_str_t text;
} medlar_field_t;

/** MEDLAR_NUM() - trace field with a decimal number */
#define MEDLAR_NUM(key, value) \
	((medlar_field_t){ (key), MEDLAR_FIELD_NUM, (int64_t)(value), { 0 } })
/** MEDLAR_HEX() - trace field with a hexadecimal number */
#define MEDLAR_HEX(key, value) \
	((medlar_field_t){ (key), MEDLAR_FIELD_HEX, (int64_t)(value), { 0 } })
/** MEDLAR_TEXT() - trace field with a &struct medlar_str */
#define MEDLAR_TEXT(key, value) \
	((medlar_field_t){ (key), MEDLAR_FIELD_TEXT, 0, (value) })
/** MEDLAR_TRACE() - emit a trace event with the given fields */
#define MEDLAR_TRACE(client, event, ...)                                      \
	medlar_client_trace((client), (event),                                \
			    (const medlar_field_t[]){ __VA_ARGS__ },          \
			    sizeof((const medlar_field_t[]){ __VA_ARGS__ }) / \
				    sizeof(medlar_field_t))

typedef void (*medlar_trace_fn_t)(medlar_event_t event,
				  const medlar_field_t *fields, size_t count,
				  void *data);

/**
 * struct medlar_error_report - error with its location in a document
 * @error: negative &enum medlar_error
 * @file: name of the invalid document, or an empty string
 * @line: line in @file, counted from 1; 0 if unknown
 * @field: path of the invalid field, such as ``services[2].slots``
 * @advice: how to correct it
 */
typedef struct medlar_error_report {
	int error;
	medlar_str_t file;
	unsigned line;
	medlar_str_t field;
	medlar_str_t advice;
} medlar_error_report_t;

typedef void (*medlar_error_fn_t)(const medlar_error_report_t *report,
				  void *data);

/**
 * struct medlar_client_ - state shared by all objects of one thread
 * @instance: hash of the name of this instance; never 0
 * @zone: number of the availability zone of this instance
 * @rand: random generator of all objects of this client
 * @timers: timers of all objects of this client
 * @trace: handler of trace events; may be NULL
 * @trace_data: passed to @trace
 * @error: handler of error reports; may be NULL
 * @error_data: passed to @error
 */
struct medlar_client_ {
	uint64_t instance;
	uint16_t zone;
	medlar_rand_t rand;
	medlar_timers_t timers;
	medlar_trace_fn_t trace;
	void *trace_data;
	medlar_error_fn_t error;
	void *error_data;
};

void medlar_client_init(medlar_client_t *client, medlar_str_t instance,
			uint16_t zone, uint64_t seed);
void medlar_client_finish(medlar_client_t *client);
void medlar_client_on_trace(medlar_client_t *client, medlar_trace_fn_t fn,
			    void *data);
void medlar_client_on_error(medlar_client_t *client, medlar_error_fn_t fn,
			    void *data);
medlar_time_t medlar_client_due(const medlar_client_t *client);
void medlar_client_run(medlar_client_t *client, medlar_time_t now);
void medlar_client_trace(medlar_client_t *client, medlar_event_t event,
			 const medlar_field_t *fields, size_t count);
void medlar_client_report(medlar_client_t *client,
			  const medlar_error_report_t *report);
const char *medlar_event_name(medlar_event_t event);

/*
 * range.c
 */

/** The key space is 0 (included) to MEDLAR_KEY_END (excluded). */
#define MEDLAR_KEY_END ((uint64_t)1 << 32)

/**
 * struct medlar_range - a half-open range of catalogue keys
 * @lo: first key
 * @hi: one past the last key, at most %MEDLAR_KEY_END
 */
typedef struct medlar_range {
	uint64_t lo;
	uint64_t hi;
} medlar_range_t;

/**
 * struct medlar_ranges - a sorted set of disjoint ranges that do not touch
 * @items: ranges in ascending order
 * @len: number of ranges
 * @cap: allocated elements of @items
 */
typedef struct medlar_ranges {
	medlar_range_t *items;
	size_t len;
	size_t cap;
} medlar_ranges_t;

void medlar_ranges_init(medlar_ranges_t *set);
void medlar_ranges_finish(medlar_ranges_t *set);
int medlar_ranges_add(medlar_ranges_t *set, medlar_range_t range);
bool medlar_ranges_overlap(const medlar_ranges_t *set, medlar_range_t range);
int medlar_ranges_subtract(medlar_ranges_t *out, const medlar_ranges_t *from,
			   const medlar_ranges_t *what);
uint64_t medlar_ranges_width(const medlar_ranges_t *set);
uint64_t medlar_key_hash(medlar_str_t key);

/*
 * map.c
 */

/**
 * struct medlar_map_entry - range of keys and the shard that holds it
 * @range: range of keys
 * @shard: number of the shard, an index into the shards of the service
 */
typedef struct medlar_map_entry {
	medlar_range_t range;
	uint32_t shard;
} medlar_map_entry_t;

/**
 * struct medlar_map - partition map of a service at one epoch
 * @epoch: version of the map; increases with every repartition
 * @shards: number of shards; those of @entries are below it
 * @entries: sorted, disjoint, covering the whole key space
 * @len: number of entries
 */
typedef struct medlar_map {
	uint64_t epoch;
	uint32_t shards;
	medlar_map_entry_t *entries;
	size_t len;
} medlar_map_t;

int medlar_map_init_even(medlar_map_t *map, uint64_t epoch, uint32_t shards);
int medlar_map_parse(medlar_map_t *map, medlar_str_t json);
int medlar_map_copy(medlar_map_t *to, const medlar_map_t *from);
void medlar_map_finish(medlar_map_t *map);
const medlar_map_entry_t *medlar_map_find(const medlar_map_t *map,
					  uint64_t key);

/*
 * latency.c
 */

#define MEDLAR_LATENCY_BUCKETS 64

/**
 * struct medlar_latency - a decaying histogram of durations
 * @counts: decayed number of observations in each bucket
 * @total: sum of @counts
 * @decayed: when @counts were last halved, ms
 */
typedef struct medlar_latency {
	float counts[MEDLAR_LATENCY_BUCKETS];
	float total;
	medlar_time_t decayed;
} medlar_latency_t;

void medlar_latency_init(medlar_latency_t *latency, medlar_time_t now);
void medlar_latency_add(medlar_latency_t *latency, medlar_time_t took,
			medlar_time_t now);
medlar_time_t medlar_latency_quantile(const medlar_latency_t *latency,
				      double quantile, medlar_time_t otherwise);

/*
 * budget.c
 */

/**
 * struct medlar_budget - retry budget, a token bucket filled by first sends
 * @tokens: extra sends allowed now
 * @share: tokens deposited by each first send, 0 to 1
 * @cap: most tokens held
 * @reserve: tokens reserved for retries after %MEDLAR_FAULT_SILENT; filled by
 *	deposits beyond @cap
 * @reserve_cap: most tokens held in @reserve
 */
typedef struct medlar_budget {
	double tokens;
	double share;
	double cap;
	double reserve;
	double reserve_cap;
} medlar_budget_t;

void medlar_budget_init(medlar_budget_t *budget, double share, double cap);
void medlar_budget_set_reserve(medlar_budget_t *budget, double cap);
void medlar_budget_deposit(medlar_budget_t *budget);
bool medlar_budget_withdraw_reserve(medlar_budget_t *budget);
bool medlar_budget_withdraw(medlar_budget_t *budget);

/*
 * share.c
 */

/**
 * struct medlar_share - share of an instance at one replica
 * @slots: most requests in flight
 * @connections: most open connections
 */
typedef struct medlar_share {
	uint16_t slots;
	uint16_t connections;
} medlar_share_t;

/**
 * struct medlar_peers - the instances that share the upstreams
 * @ids: sorted hashes of their names, including this instance
 * @len: number of @ids
 * @hold: time in which a change of membership reaches all instances, ms. After
 *	such a change, shares grow only once it has passed; 0 for at once
 * @since: when this instance joined, ms; its share is zero until @hold has
 *	passed
 */
typedef struct medlar_peers {
	const uint64_t *ids;
	size_t len;
	medlar_time_t hold;
	medlar_time_t since;
} medlar_peers_t;

uint32_t medlar_share_total_requests(uint32_t slots);
medlar_share_t medlar_share_compute(const medlar_peers_t *peers, uint64_t self,
				    uint64_t replica, uint32_t slots,
				    uint32_t connections);

/*
 * replica.c
 */

#define MEDLAR_NAME_MAX 63
#define MEDLAR_HOST_MAX 45
#define MEDLAR_VERSIONS_MAX 4

/**
 * struct medlar_replica_info - entry of the instance list for a replica
 * @name: unique name, null-terminated
 * @host: IP address in text form, null-terminated
 * @port: TCP port
 * @shard: shard that it serves
 * @zone: number of its availability zone
 * @slots: requests that it executes concurrently
 * @connections: connections that it accepts in total
 * @incarnation: start time, ms; a later start has a higher value
 * @leaving: it is draining and must get no new requests
 * @versions: index versions that it serves; unused entries are 0
 */
typedef struct medlar_replica_info {
	char name[MEDLAR_NAME_MAX + 1];
	char host[MEDLAR_HOST_MAX + 1];
	uint16_t port;
	uint32_t shard;
	uint16_t zone;
	uint16_t slots;
	uint16_t connections;
	medlar_time_t incarnation;
	bool leaving;
	uint32_t versions[MEDLAR_VERSIONS_MAX];
} medlar_replica_info_t;

/**
 * struct medlar_load - load report of a replica
 * @utilization: 0 for idle, 1 for all slots busy, above 1 for queueing;
 *	negative if not reported
 * @queue: queued requests; negative if not reported
 */
typedef struct medlar_load {
	float utilization;
	float queue;
} medlar_load_t;

/** enum medlar_request_result - how a request to a replica ended */
typedef enum medlar_request_result {
	MEDLAR_RESULT_OK, /* valid reply */
	MEDLAR_RESULT_SHED, /* refused under load, not executed */
	MEDLAR_RESULT_ERROR, /* error reply or malformed reply */
	MEDLAR_RESULT_REFUSED, /* connection refused */
	MEDLAR_RESULT_RESET, /* connection closed or reset */
	MEDLAR_RESULT_SILENT, /* no byte within the silence limit */
	MEDLAR_RESULT_CANCELLED, /* says nothing about the replica's health */
	MEDLAR_RESULT_COUNT
} medlar_request_result_t;

/**
 * struct medlar_pick - requirements on the replica for a request
 * @version: index version that it must serve; 0 for any
 * @tried: replicas to avoid, already tried for this part
 * @tried_len: number of @tried
 * @for_hedge: a hedge: prefer a replica that is idle, never one in slow start
 */
typedef struct medlar_pick {
	uint32_t version;
	medlar_replica_t *const *tried;
	size_t tried_len;
	bool for_hedge;
} medlar_pick_t;

/*
 * The members of &struct medlar_replica_ are private to the library; programs
 * use these functions.
 */
int medlar_replica_pick(medlar_client_t *client, medlar_shard_t *shard,
			const medlar_pick_t *pick, medlar_time_t now,
			medlar_replica_t **out);
void medlar_replica_begin_request(medlar_client_t *client,
				  medlar_replica_t *replica, medlar_time_t now);
void medlar_replica_end_request(medlar_client_t *client,
				medlar_replica_t *replica,
				medlar_request_result_t result,
				medlar_time_t took, medlar_time_t now);
void medlar_replica_report_load(medlar_client_t *client,
				medlar_replica_t *replica,
				const medlar_load_t *load, medlar_time_t now);
void medlar_replica_set_versions(medlar_client_t *client,
				 medlar_replica_t *replica,
				 const uint32_t *versions, size_t len);
void medlar_replica_set_leaving(medlar_client_t *client,
				medlar_replica_t *replica,
				medlar_time_t incarnation, medlar_time_t now);
void medlar_replica_set_incarnation(medlar_client_t *client,
				    medlar_replica_t *replica,
				    medlar_time_t incarnation,
				    medlar_time_t now);
const medlar_replica_info_t *
medlar_replica_info(const medlar_replica_t *replica);
uint64_t medlar_replica_id(const medlar_replica_t *replica);
uint32_t medlar_replica_in_flight(const medlar_replica_t *replica);
medlar_share_t medlar_replica_share(const medlar_replica_t *replica);
bool medlar_replica_serves(const medlar_replica_t *replica, uint32_t version);
bool medlar_replica_usable(const medlar_replica_t *replica, medlar_time_t now);
void *medlar_replica_data(const medlar_replica_t *replica);
void medlar_replica_set_data(medlar_replica_t *replica, void *data);

/*
 * policy.c
 */

/** enum medlar_priority - what a query favours when parts are late */
typedef enum medlar_priority {
	MEDLAR_COVERAGE_FIRST, /* waits for all parts up to the deadline */
	MEDLAR_LATENCY_FIRST, /* answers with the parts there at the target */
} medlar_priority_t;

/**
 * struct medlar_policy - the configuration of one service
 * @name: name of the service, null-terminated
 * @writes: true when its requests are not idempotent
 * @shards: number of shards at the first epoch
 * @priority: coverage or latency first
 * @deadline: longest deadline that a caller may set, ms
 * @target: time after which a latency-first query returns a partial answer, ms
 * @target_quantile: share of queries that should meet @target, 0 to 1
 * @coverage_min: least coverage of a partial answer at @target, 0 to 1
 * @extra_load: hedges and retries allowed, as a share of first sends, 0 to 1
 * @hedge_quantile: latency quantile after which a hedge is sent, 0 to 1
 * @slots: slots of each replica that the instance list gives none for
 * @connections: connection limit of each replica, used likewise
 * @connect_cost: time to open a connection, ms
 * @queue_max: queries that may wait for admission
 * @eject_max: largest share of a shard's replicas that may be ejected, 0 to 1
 * @slow_start: time over which a new replica's load is ramped up, ms; 0 for
 *	none
 * @idle_max: longest time a connection may stay idle, ms
 * @silence: time without bytes after which a connection counts as silent, ms
 * @window: how long an idempotency key of a write is kept, ms
 * @partitions: number of journals over which write keys are distributed
 */
typedef struct medlar_policy {
	char name[MEDLAR_NAME_MAX + 1];
	bool writes;
	uint32_t shards;
	medlar_priority_t priority;
	medlar_time_t deadline;
	medlar_time_t target;
	double target_quantile;
	double coverage_min;
	double extra_load;
	double hedge_quantile;
	uint32_t slots;
	uint32_t connections;
	medlar_time_t connect_cost;
	uint32_t queue_max;
	double eject_max;
	medlar_time_t slow_start;
	medlar_time_t idle_max;
	medlar_time_t silence;
	medlar_time_t window;
	uint32_t partitions;
} medlar_policy_t;

/** Names of &enum medlar_priority in documents, NULL-terminated. */
extern const char *const medlar_priority_names[];

void medlar_policy_default(medlar_policy_t *policy, const char *name);

/*
 * lines.c
 */

/**
 * struct medlar_line - line number of a field of a JSON document
 * @path_hash: hash of the path of the field
 * @number: line number from 1
 */
typedef struct medlar_line {
	uint64_t path_hash;
	unsigned number;
} medlar_line_t;

/**
 * struct medlar_lines - index of the line numbers of a document's fields
 * @items: fields, sorted by the hash of the path
 * @len: number of items
 * @cap: allocated items
 * @duplicate_line: line of a duplicate field of an object; 0 for none
 */
typedef struct medlar_lines {
	medlar_line_t *items;
	size_t len;
	size_t cap;
	unsigned duplicate_line;
} medlar_lines_t;

int medlar_lines_init(medlar_lines_t *lines, medlar_str_t json);
void medlar_lines_finish(medlar_lines_t *lines);
unsigned medlar_lines_find(const medlar_lines_t *lines, medlar_str_t path);
unsigned medlar_lines_at(medlar_str_t text, size_t offset);

/*
 * document.c
 */

/** enum medlar_doc_type - type of a field of a JSON document */
typedef enum medlar_doc_type {
	MEDLAR_DOC_INT, /* int64_t */
	MEDLAR_DOC_REAL, /* double */
	MEDLAR_DOC_BOOL, /* bool */
	MEDLAR_DOC_TEXT, /* char array of @size bytes, terminated */
	MEDLAR_DOC_CHOICE, /* int: index into @choices */
	MEDLAR_DOC_OBJECT, /* struct described by @fields */
	MEDLAR_DOC_ARRAY, /* medlar_doc_array_t of such structs */
	MEDLAR_DOC_ANY, /* any value; not stored */
} medlar_doc_type_t;

/**
 * struct medlar_doc_array - an array of structs read from a document
 * @items: the structs; freed by medlar_doc_free()
 * @len: number of structs
 */
typedef struct medlar_doc_array {
	void *items;
	size_t len;
} medlar_doc_array_t;

/**
 * struct medlar_doc_field - description of a field of a JSON document
 * @name: name of the field; NULL ends a table
 * @type: type of the value
 * @offset: offset of the value in the struct
 * @size: size of a text with its terminator, or of a struct of an array, bytes
 * @min: smallest number, or least length of a text or array
 * @max: largest number, or largest length of an array
 * @choices: allowed texts, terminated by NULL; the index is stored
 * @fields: fields of the object, or of each object of the array
 * @required: absence is an error; otherwise the struct keeps its value
 * @defaults: initialises a struct of an array before it is parsed, or NULL
 */
typedef struct medlar_doc_field {
	const char *name;
	medlar_doc_type_t type;
	size_t offset;
	size_t size;
	double min;
	double max;
	const char *const *choices;
	const struct medlar_doc_field *fields;
	bool required;
	void (*defaults)(void *item);
} medlar_doc_field_t;

int medlar_doc_read(medlar_client_t *client, medlar_str_t file,
		    medlar_str_t text, const medlar_doc_field_t *fields,
		    void *out);
void medlar_doc_free(const medlar_doc_field_t *fields, void *out);

/*
 * config.c
 */

/**
 * struct medlar_config - configuration generated from a questionnaire
 * @revision: number of the revision, from 1
 * @instances: number of entry instances that share the limits of upstreams
 * @address_ttl: how long callers may cache addresses, ms
 * @services: policy of each service
 * @len: number of services
 */
typedef struct medlar_config {
	uint64_t revision;
	uint32_t instances;
	medlar_time_t address_ttl;
	medlar_policy_t *services;
	size_t len;
} medlar_config_t;

int medlar_config_parse(medlar_client_t *client, medlar_config_t *config,
			medlar_str_t file, medlar_str_t json);
void medlar_config_write(const medlar_config_t *config, medlar_buf_t *out);
void medlar_config_finish(medlar_config_t *config);
const medlar_policy_t *medlar_config_find(const medlar_config_t *config,
					  medlar_str_t name);

/*
 * questionnaire.c
 */

/** enum medlar_section - section of the questionnaire */
typedef enum medlar_section {
	MEDLAR_SECTION_PRODUCT,
	MEDLAR_SECTION_OPERATIONS,
	MEDLAR_SECTION_COUNT
} medlar_section_t;

/**
 * struct medlar_product - product answers: the requirements of a service
 * @name: name of the service
 * @writes: true when its requests are not idempotent
 * @priority: &enum medlar_priority
 * @deadline: longest deadline of a caller, ms
 * @target: target latency, ms
 * @percentile: share of answers that must meet @target, percent
 * @coverage: least coverage worth answering, percent
 * @peak_rate: peak load of all instances together, requests per second
 * @window: how long a repeated write is recognised, hours
 */
typedef struct medlar_product {
	char name[MEDLAR_NAME_MAX + 1];
	bool writes;
	int priority;
	int64_t deadline;
	int64_t target;
	double percentile;
	double coverage;
	double peak_rate;
	int64_t window;
} medlar_product_t;

/**
 * struct medlar_operations - operations answers: the upstreams of a service
 * @name: name of the service
 * @shards: number of shards of the first partition map
 * @replicas: replicas of each shard
 * @replicas_lost: replicas of a shard that may be lost at peak load
 * @slots: requests that a replica runs at the same time
 * @connections: connections that a replica accepts from all instances
 * @connect_cost: time to open a connection, ms
 * @service_median: median service time of a replica, ms
 * @service_p99: 99th percentile of the service time of a replica, ms
 * @extra_load: budget for hedges and retries, percent of first sends
 */
typedef struct medlar_operations {
	char name[MEDLAR_NAME_MAX + 1];
	int64_t shards;
	int64_t replicas;
	int64_t replicas_lost;
	int64_t slots;
	int64_t connections;
	int64_t connect_cost;
	double service_median;
	double service_p99;
	double extra_load;
} medlar_operations_t;

/**
 * struct medlar_questionnaire - the answers of both sections
 * @products: array of &struct medlar_product
 * @operations: array of &struct medlar_operations
 * @instances: number of entry instances
 * @address_ttl: how long callers may cache addresses, seconds
 */
typedef struct medlar_questionnaire {
	medlar_doc_array_t products;
	medlar_doc_array_t operations;
	int64_t instances;
	int64_t address_ttl;
} medlar_questionnaire_t;

/**
 * struct medlar_question - a question of the questionnaire
 * @section: section that the question belongs to
 * @per_service: asked for each service, otherwise once
 * @field: name, type, range and offset of the answer
 * @unit: unit of the answer, or an empty string
 * @initial_answer: answer in a new questionnaire, JSON
 * @why: reason for the question, as operators see it
 */
typedef struct medlar_question {
	medlar_section_t section;
	bool per_service;
	medlar_doc_field_t field;
	const char *unit;
	const char *initial_answer;
	const char *why;
} medlar_question_t;

const medlar_question_t *medlar_questions(size_t *len);
const char *medlar_section_name(medlar_section_t section);
int medlar_questionnaire_parse(medlar_client_t *client,
			       medlar_questionnaire_t *questionnaire,
			       medlar_str_t file, medlar_str_t json);
void medlar_questionnaire_finish(medlar_questionnaire_t *questionnaire);
void medlar_questionnaire_template(medlar_buf_t *out);

/*
 * estimate.c
 */

/**
 * struct medlar_estimate - predictions of a queueing model for a service
 * @utilization: busy share of the slots at peak; above 1 when overloaded
 * @utilization_lost: the same after losing as many replicas as the
 *	questionnaire allows for
 * @latency: latency at the required percentile with full coverage, ms
 * @hedge_delay: time after which a hedge is sent, ms; 0 for never
 * @coverage: expected coverage at the target, 0 to 1
 * @extra_load: expected extra sends, as a share of first sends
 */
typedef struct medlar_estimate {
	double utilization;
	double utilization_lost;
	double latency;
	double hedge_delay;
	double coverage;
	double extra_load;
} medlar_estimate_t;

void medlar_estimate_service(const medlar_product_t *product,
			     const medlar_operations_t *operations,
			     medlar_estimate_t *estimate);
double medlar_estimate_hedge_quantile(double extra_load);

/*
 * generate.c
 */

int medlar_config_generate(medlar_client_t *client,
			   const medlar_questionnaire_t *questionnaire,
			   medlar_str_t file, uint64_t revision,
			   medlar_config_t *config);
int medlar_config_explain(medlar_client_t *client,
			  const medlar_questionnaire_t *questionnaire,
			  medlar_buf_t *out);

/*
 * service.c
 */

/**
 * struct medlar_service_ops - callbacks through which a service acts
 * @send: send @attempt to its replica. Its outcome must be reported later by
 *	medlar_attempt_reply() or medlar_attempt_fail(), even after @cancel
 * @cancel: cancel @attempt, whose reply is no longer needed. Its slot stays in
 *	use until its outcome is reported
 * @answer: @query has ended; the query may be finished in this call. Not called
 *	after medlar_query_cancel()
 * @leaving: a replica has started to leave; may be NULL
 */
typedef struct medlar_service_ops {
	void (*send)(medlar_attempt_t *attempt, void *data);
	void (*cancel)(medlar_attempt_t *attempt, void *data);
	void (*answer)(medlar_query_t *query, void *data);
	void (*leaving)(const medlar_replica_t *replica, void *data);
} medlar_service_ops_t;

/**
 * struct medlar_service_ - the replicas and queries of one service
 *
 * The members are private to the library. The memory belongs to the caller and
 * must not move while the service is in use.
 */
struct medlar_service_ {
	medlar_policy_t policy;
	medlar_service_ops_t ops;
	void *data;
	medlar_map_t map;
	medlar_shard_t **shards;
	size_t shards_len;
	medlar_table_t table;
	struct medlar_peer_ *peers;
	size_t peers_len;
	medlar_replica_t *removed;
	medlar_time_t hold;
	medlar_time_t joined_at;
	medlar_timer_t share_timer;
	uint64_t generation;
	medlar_time_t last_event;
	medlar_latency_t latency;
	medlar_budget_t budget;
	struct medlar_queries_ *queries;
	medlar_suspects_t *suspects;
};

int medlar_service_init(medlar_client_t *client, medlar_service_t *service,
			const medlar_policy_t *policy,
			const medlar_service_ops_t *ops, void *data,
			medlar_time_t now);
void medlar_service_finish(medlar_client_t *client, medlar_service_t *service);
int medlar_service_set_policy(medlar_client_t *client,
			      medlar_service_t *service,
			      const medlar_policy_t *policy);
int medlar_service_set_map(medlar_client_t *client, medlar_service_t *service,
			   const medlar_map_t *map);
int medlar_service_put_replica(medlar_client_t *client,
			       medlar_service_t *service,
			       const medlar_replica_info_t *info,
			       medlar_time_t now);
int medlar_service_remove_replica(medlar_client_t *client,
				  medlar_service_t *service, uint64_t id,
				  medlar_time_t now);
medlar_replica_t *medlar_service_find_replica(medlar_service_t *service,
					      uint64_t id);
bool medlar_service_joined(const medlar_client_t *client,
			   const medlar_service_t *service, medlar_time_t now);
void medlar_service_set_peers(medlar_client_t *client,
			      medlar_service_t *service,
			      const medlar_peers_t *peers, medlar_time_t now);
void medlar_service_set_suspects(medlar_service_t *service,
				 medlar_suspects_t *suspects);
const medlar_policy_t *medlar_service_policy(const medlar_service_t *service);
const medlar_map_t *medlar_service_map(const medlar_service_t *service);
uint64_t medlar_service_generation(const medlar_service_t *service);
size_t medlar_service_shards_count(const medlar_service_t *service);
medlar_shard_t *medlar_service_shard(medlar_service_t *service, uint32_t index);
size_t medlar_shard_replicas_count(const medlar_shard_t *shard);
medlar_replica_t *medlar_shard_replica(const medlar_shard_t *shard,
				       size_t index);

/*
 * version.c
 */

uint32_t medlar_version_choose(const medlar_service_t *service,
			       const medlar_map_t *map,
			       const medlar_range_t *ranges, size_t len,
			       uint32_t at_least, uint32_t avoid,
			       medlar_time_t now, double *coverage);

/*
 * suspect.c
 */

/** enum medlar_verdict - whether a request is believed to crash upstreams */
typedef enum medlar_verdict {
	MEDLAR_VERDICT_CLEAR, /* not suspected */
	MEDLAR_VERDICT_SUSPECT, /* in flight at a crash; sent in trials only */
	MEDLAR_VERDICT_CONVICTED, /* caused a crash in a trial; refused */
} medlar_verdict_t;

/**
 * struct medlar_suspect_entry - entry of the table for one fingerprint
 * @fingerprint: fingerprint of the request
 * @verdict: verdict; %MEDLAR_VERDICT_CLEAR if pardoned or cleared
 * @crashes: crashes that count: 1 for a suspect, 2 once convicted
 * @replica: id of the replica that crashed last; 0 if reported by a peer
 * @shard: shard of @replica
 * @local: the crash was detected by this instance
 * @pardoned: an operator cleared the verdict
 * @crashed_at: when the crash was detected, ms
 * @until: when the entry expires, ms
 */
typedef struct medlar_suspect_entry {
	uint64_t fingerprint;
	medlar_verdict_t verdict;
	uint32_t crashes;
	uint64_t replica;
	uint32_t shard;
	bool local;
	bool pardoned;
	medlar_time_t crashed_at;
	medlar_time_t until;
} medlar_suspect_entry_t;

typedef void (*medlar_suspect_fn_t)(const medlar_suspect_entry_t *entry,
				    void *data);

/**
 * struct medlar_suspects - table of requests that may crash upstreams
 * @items: entries, unordered
 * @len: number of entries
 * @cap: most entries kept
 * @expiry: time after its last crash until an entry expires, ms
 * @changed: called when this instance changes a verdict; may be NULL
 * @data: passed to @changed
 */
struct medlar_suspects {
	struct medlar_suspect_ *items;
	size_t len;
	size_t cap;
	medlar_time_t expiry;
	medlar_suspect_fn_t changed;
	void *data;
};

/**
 * struct medlar_crash - possible crash of a replica with a request in flight
 * @fingerprint: fingerprint of the request
 * @replica: id of the replica
 * @shard: shard of the replica
 * @trial: the request was a suspect already and was sent alone
 * @local: detected by this instance, not reported by a peer
 */
typedef struct medlar_crash {
	uint64_t fingerprint;
	uint64_t replica;
	uint32_t shard;
	bool trial;
	bool local;
} medlar_crash_t;

int medlar_suspects_init(medlar_suspects_t *suspects, size_t cap,
			 medlar_time_t expiry);
void medlar_suspects_finish(medlar_suspects_t *suspects);
void medlar_suspects_on_change(medlar_suspects_t *suspects,
			       medlar_suspect_fn_t fn, void *data);
medlar_verdict_t medlar_suspects_verdict(const medlar_suspects_t *suspects,
					 uint64_t fingerprint,
					 medlar_time_t now);
bool medlar_suspects_get(const medlar_suspects_t *suspects,
			 uint64_t fingerprint, medlar_time_t now,
			 medlar_suspect_entry_t *out);
bool medlar_suspects_next(const medlar_suspects_t *suspects, size_t *cursor,
			  medlar_time_t now, medlar_suspect_entry_t *out);
medlar_verdict_t medlar_suspects_add_crash(medlar_suspects_t *suspects,
					   const medlar_crash_t *crash,
					   medlar_time_t now);
void medlar_suspects_add_success(medlar_suspects_t *suspects,
				 uint64_t fingerprint);
int medlar_suspects_convict(medlar_suspects_t *suspects, uint64_t fingerprint,
			    medlar_time_t until);
int medlar_suspects_pardon(medlar_suspects_t *suspects, uint64_t fingerprint);
uint64_t medlar_fingerprint(medlar_str_t service, medlar_str_t method,
			    medlar_str_t body);

/*
 * query.c
 */

/** enum medlar_request_kind - kind of a caller's request */
typedef enum medlar_request_kind {
	MEDLAR_REQUEST_SEARCH,
	MEDLAR_REQUEST_LOOKUP,
	MEDLAR_REQUEST_WRITE,
} medlar_request_kind_t;

/** enum medlar_outcome - outcome of a query or write */
typedef enum medlar_outcome {
	MEDLAR_OUTCOME_PENDING, /* not answered yet */
	MEDLAR_OUTCOME_COMPLETE, /* all requested keys answered */
	MEDLAR_OUTCOME_PARTIAL, /* some requested keys answered */
	MEDLAR_OUTCOME_NOT_RUN, /* certainly not executed */
	MEDLAR_OUTCOME_FAILED, /* sent, but no key answered */
	MEDLAR_OUTCOME_UNKNOWN, /* a write that may have been executed */
	MEDLAR_OUTCOME_CANCELLED, /* cancelled by the caller */
} medlar_outcome_t;

/**
 * struct medlar_query_params - a caller's search or lookup
 * @kind: search or lookup
 * @body: request body; must stay valid until the query is finished
 * @caller: hash of the caller's name, for fair queueing
 * @fingerprint: from medlar_fingerprint()
 * @deadline: absolute time by which the caller needs the answer, ms
 * @target: absolute time after which a partial answer is returned, ms; used
 *	with %MEDLAR_LATENCY_FIRST only; 0 for none
 * @at_least: oldest index version that the caller accepts; 0 for any
 * @keys: hashed keys of a lookup, or NULL for all keys; must stay valid until
 *	the query is finished
 * @keys_len: number of @keys
 */
typedef struct medlar_query_params {
	medlar_request_kind_t kind;
	medlar_str_t body;
	uint64_t caller;
	uint64_t fingerprint;
	medlar_time_t deadline;
	medlar_time_t target;
	uint32_t at_least;
	const uint64_t *keys;
	size_t keys_len;
} medlar_query_params_t;

#define MEDLAR_REQUEST_ID_LEN 16

/** enum medlar_attempt_kind - why an attempt was made */
typedef enum medlar_attempt_kind {
	MEDLAR_ATTEMPT_FIRST, /* first send of a part */
	MEDLAR_ATTEMPT_HEDGE, /* another attempt is late */
	MEDLAR_ATTEMPT_RETRY, /* an earlier attempt failed */
	MEDLAR_ATTEMPT_REDIRECT, /* an upstream named another shard */
	MEDLAR_ATTEMPT_KINDS
} medlar_attempt_kind_t;

/** enum medlar_reply_status - status in the reply of an upstream */
typedef enum medlar_reply_status {
	MEDLAR_REPLY_OK, /* executed */
	MEDLAR_REPLY_NOT_EXECUTED, /* refused under load */
	MEDLAR_REPLY_WRONG_VERSION, /* does not serve the index version */
	MEDLAR_REPLY_MOVED, /* another shard holds the range */
	MEDLAR_REPLY_CANCELLED, /* cancelled on request */
	MEDLAR_REPLY_ERROR, /* failed, may have been executed */
} medlar_reply_status_t;

/**
 * struct medlar_reply - reply of an upstream
 * @id: request id that the reply echoes
 * @version: index version that the reply is from
 * @range: range of keys that the reply covers
 * @status: see &enum medlar_reply_status
 * @moved_to: shard that holds the range now; %MEDLAR_REPLY_MOVED only
 * @load: load report; members are negative if not reported
 * @leaving: the replica is draining
 * @incarnation: start time of the replica, ms; 0 if not reported
 * @versions: index versions that the replica serves; unused entries are 0
 * @body: payload; valid during the call only
 */
typedef struct medlar_reply {
	uint8_t id[MEDLAR_REQUEST_ID_LEN];
	uint32_t version;
	medlar_range_t range;
	medlar_reply_status_t status;
	uint32_t moved_to;
	medlar_load_t load;
	bool leaving;
	medlar_time_t incarnation;
	uint32_t versions[MEDLAR_VERSIONS_MAX];
	medlar_str_t body;
} medlar_reply_t;

/** enum medlar_fault - why an attempt ended without a valid reply */
typedef enum medlar_fault {
	MEDLAR_FAULT_REFUSED, /* connection refused, nothing was sent */
	MEDLAR_FAULT_UNSENT, /* abandoned before the first byte was sent */
	MEDLAR_FAULT_RESET, /* connection closed or reset after a send */
	MEDLAR_FAULT_SILENT, /* no byte within the policy's silence limit */
	MEDLAR_FAULT_MALFORMED, /* the reply cannot be parsed */
	MEDLAR_FAULT_CANCELLED, /* ended by the cancel action */
} medlar_fault_t;

/**
 * struct medlar_answer - the result of a query, valid until it is finished
 * @outcome: outcome of the query
 * @error: %MEDLAR_OK if the outcome is complete, else the reason
 * @version: index version of all parts
 * @epoch: epoch of the partition map that the query was split by
 * @covered: ranges of keys answered
 * @missing: ranges of keys requested and not answered
 * @coverage: number of keys answered divided by keys requested, 0 to 1
 * @sends: number of attempts
 * @started: when the query arrived, ms
 */
typedef struct medlar_answer {
	medlar_outcome_t outcome;
	int error;
	uint32_t version;
	uint64_t epoch;
	const medlar_ranges_t *covered;
	const medlar_ranges_t *missing;
	double coverage;
	uint32_t sends;
	medlar_time_t started;
} medlar_answer_t;

/*
 * Queries are allocated by the library: medlar_query_start() returns an object
 * that medlar_query_finish() returns to the service's pool. The data of
 * a query or attempt is user data, which the library does not use.
 */
int medlar_query_start(medlar_client_t *client, medlar_service_t *service,
		       const medlar_query_params_t *params, void *data,
		       medlar_time_t now, medlar_query_t **out);
void medlar_query_cancel(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now);
void medlar_query_finish(medlar_client_t *client, medlar_query_t *query);
const medlar_answer_t *medlar_query_answer(const medlar_query_t *query);
const medlar_query_params_t *medlar_query_params(const medlar_query_t *query);
medlar_service_t *medlar_query_service(const medlar_query_t *query);
void *medlar_query_data(const medlar_query_t *query);
size_t medlar_query_parts_count(const medlar_query_t *query);
medlar_range_t medlar_query_part_range(const medlar_query_t *query,
				       size_t index);
medlar_str_t medlar_query_part_body(const medlar_query_t *query, size_t index);

int medlar_attempt_reply(medlar_client_t *client, medlar_attempt_t *attempt,
			 const medlar_reply_t *reply, medlar_time_t now);
void medlar_attempt_fail(medlar_client_t *client, medlar_attempt_t *attempt,
			 medlar_fault_t fault, medlar_time_t now);
medlar_query_t *medlar_attempt_query(const medlar_attempt_t *attempt);
medlar_replica_t *medlar_attempt_replica(const medlar_attempt_t *attempt);
medlar_range_t medlar_attempt_range(const medlar_attempt_t *attempt);
medlar_attempt_kind_t medlar_attempt_kind(const medlar_attempt_t *attempt);
const uint8_t *medlar_attempt_id(const medlar_attempt_t *attempt);
uint32_t medlar_attempt_version(const medlar_attempt_t *attempt);
uint32_t medlar_attempt_generation(const medlar_attempt_t *attempt);
medlar_time_t medlar_attempt_deadline(const medlar_attempt_t *attempt);
void *medlar_attempt_data(const medlar_attempt_t *attempt);
void medlar_attempt_set_data(medlar_attempt_t *attempt, void *data);

/**
 * struct medlar_query_tuning - mechanisms that can be switched off, to measure
 * the effect of each
 * @hedges: send a second attempt when the first one is late
 * @budget: charge hedges and retries to the retry budget
 * @canaries: send an unknown request to one shard first
 * @trials: send a suspect alone to an idle replica
 * @admission: queue or refuse queries when the service is at capacity
 */
typedef struct medlar_query_tuning {
	bool hedges;
	bool budget;
	bool canaries;
	bool trials;
	bool admission;
} medlar_query_tuning_t;

/**
 * struct medlar_query_stats - counters of a service since its initialisation
 * @started: queries admitted or queued by medlar_query_start()
 * @refused: queries refused by medlar_query_start()
 * @answered: queries that ended, with any outcome
 * @sends: attempts of each &enum medlar_attempt_kind
 * @canaries: canaries sent
 * @trials: trials sent
 * @restarts: queries restarted with another index version
 * @late: outcomes reported for abandoned attempts
 * @dropped: replies whose id, status, version or range was wrong
 */
typedef struct medlar_query_stats {
	uint64_t started;
	uint64_t refused;
	uint64_t answered;
	uint64_t sends[MEDLAR_ATTEMPT_KINDS];
	uint64_t canaries;
	uint64_t trials;
	uint64_t restarts;
	uint64_t late;
	uint64_t dropped;
} medlar_query_stats_t;

void medlar_service_set_tuning(medlar_service_t *service,
			       const medlar_query_tuning_t *tuning);
const medlar_query_stats_t *
medlar_service_stats(const medlar_service_t *service);

/*
 * fact.c
 */

/** enum medlar_fact_kind - what a fact is about, and its subject */
typedef enum medlar_fact_kind {
	MEDLAR_FACT_MEMBER, /* state of an instance, by instance id */
	MEDLAR_FACT_DRAIN, /* a replica that is leaving, by replica id */
	MEDLAR_FACT_VERDICT, /* verdict on a request, by fingerprint */
	MEDLAR_FACT_SUCCESS, /* success of a suspect, by fingerprint */
	MEDLAR_FACT_KINDS
} medlar_fact_kind_t;

/**
 * struct medlar_member_info - name and address of an instance
 * @name: unique name, terminated
 * @host: IP address in text form, terminated
 * @port: TCP port for callers
 * @peer_port: port of the peer protocol
 * @zone: name of its availability zone, terminated; the part before the last
 *	hyphen is the name of the region
 */
typedef struct medlar_member_info {
	char name[MEDLAR_NAME_MAX + 1];
	char host[MEDLAR_HOST_MAX + 1];
	uint16_t port;
	uint16_t peer_port;
	char zone[MEDLAR_NAME_MAX + 1];
} medlar_member_info_t;

/**
 * struct medlar_fact - versioned statement that the instances replicate
 * @kind: see &enum medlar_fact_kind
 * @subject: id of what the fact is about, by @kind
 * @revision: version; the fact with the highest one is kept. For a member, see
 *	&enum medlar_member_state; for a drain, the replica's incarnation; for
 *	a verdict, its time
 * @value: for a verdict, &enum medlar_verdict, where clear means pardoned; for
 *	a dead member, 1 if it announced that it left; else 0
 * @replica: for a verdict, id of the replica that crashed; else 0
 * @shard: for a verdict, shard of that replica; else 0
 * @ttl: time until it expires, ms; %MEDLAR_TIME_NEVER if it does not
 * @member: for a member, its name and address, or NULL if not included
 */
typedef struct medlar_fact {
	medlar_fact_kind_t kind;
	uint64_t subject;
	uint64_t revision;
	uint64_t value;
	uint64_t replica;
	uint32_t shard;
	medlar_time_t ttl;
	const medlar_member_info_t *member;
} medlar_fact_t;

/**
 * struct medlar_fact_key - identifies a fact and its revision
 * @kind: &enum medlar_fact_kind
 * @subject: as in &struct medlar_fact
 * @revision: as in &struct medlar_fact
 */
typedef struct medlar_fact_key {
	uint32_t kind;
	uint64_t subject;
	uint64_t revision;
} medlar_fact_key_t;

/** Buckets that facts are divided into for the comparison of digests. */
#define MEDLAR_FACT_BUCKETS 256

/**
 * struct medlar_facts - facts that an instance holds
 * @table: entries of the facts
 * @bucket_digests: digest of each bucket
 * @send_queue: ids of the facts that are queued to be sent
 * @send_queue_len: number of ids in @send_queue
 */
typedef struct medlar_facts {
	medlar_table_t table;
	uint32_t bucket_digests[MEDLAR_FACT_BUCKETS];
	uint64_t *send_queue;
	size_t send_queue_len;
} medlar_facts_t;

/** enum medlar_message_kind - kind of a message between instances */
typedef enum medlar_message_kind {
	MEDLAR_MESSAGE_PING, /* probe, answered by an ack */
	MEDLAR_MESSAGE_ACK, /* answer to a ping or relay */
	MEDLAR_MESSAGE_RELAY, /* request to ping a third instance */
	MEDLAR_MESSAGE_PUSH, /* facts only */
	MEDLAR_MESSAGE_SYNC, /* digests of all buckets */
	MEDLAR_MESSAGE_LIST, /* keys of the facts of one bucket */
	MEDLAR_MESSAGE_WANT, /* keys of requested facts */
	MEDLAR_MESSAGE_SYNC_FACTS, /* facts that the receiver lacks */
	MEDLAR_MESSAGE_FETCH, /* request for the configuration document */
	MEDLAR_MESSAGE_CHUNK, /* part of the configuration document */
	MEDLAR_MESSAGE_KINDS
} medlar_message_kind_t;

/** Most facts and keys in a message. */
#define MEDLAR_MESSAGE_FACTS_MAX 16
#define MEDLAR_MESSAGE_KEYS_MAX 56

/** Size limits of a chunk and of a configuration document, bytes. */
#define MEDLAR_CHUNK_MAX 1024
#define MEDLAR_DOCUMENT_MAX ((size_t)1 << 20)

/**
 * struct medlar_chunk - part of a document, in full or as a delta
 * @base: revision that the delta applies to; 0 for a full document
 * @prefix: bytes that the new document has in common with the start of the base
 * @suffix: bytes that it has in common with the end of the base
 * @total: bytes of the new document between prefix and suffix
 * @offset: offset of @bytes within these; a multiple of %MEDLAR_CHUNK_MAX
 * @hash: hash of the complete new document
 * @bytes: contents of the chunk, at most %MEDLAR_CHUNK_MAX bytes
 */
typedef struct medlar_chunk {
	uint64_t base;
	uint32_t prefix;
	uint32_t suffix;
	uint32_t total;
	uint32_t offset;
	uint64_t hash;
	medlar_str_t bytes;
} medlar_chunk_t;

/**
 * struct medlar_message - message between two instances
 * @kind: see &enum medlar_message_kind
 * @from: id of the sender
 * @about: ping, ack and relay: id of the probed instance; list: number of the
 *	bucket; else 0
 * @seq: ping, ack and relay: sequence number of the probe
 * @digest: digest of all facts that the sender holds
 * @revision: configuration revision that the sender holds; 0 for none
 * @facts: facts, in a message of any kind
 * @facts_len: number of @facts, at most %MEDLAR_MESSAGE_FACTS_MAX
 * @keys: list and want: keys of facts
 * @keys_len: number of @keys, at most %MEDLAR_MESSAGE_KEYS_MAX
 * @digests: sync: digests of the %MEDLAR_FACT_BUCKETS buckets; else NULL
 * @chunk: chunk: the chunk; fetch: only the offset is used
 */
typedef struct medlar_message {
	medlar_message_kind_t kind;
	uint64_t from;
	uint64_t about;
	uint32_t seq;
	uint32_t digest;
	uint64_t revision;
	const medlar_fact_t *facts;
	size_t facts_len;
	const medlar_fact_key_t *keys;
	size_t keys_len;
	const uint32_t *digests;
	medlar_chunk_t chunk;
} medlar_message_t;

/*
 * member.c, member_list.c, probe.c, sync.c, config_sync.c
 */

/**
 * enum medlar_member_state - state of an instance
 *
 * The revision of a member's fact is its incarnation times
 * %MEDLAR_MEMBER_STATES plus the state. A state thus replaces those before it
 * in this list, until the instance refutes it with a higher incarnation.
 */
typedef enum medlar_member_state {
	MEDLAR_MEMBER_ALIVE, /* answers probes */
	MEDLAR_MEMBER_SUSPECT, /* did not answer a probe */
	MEDLAR_MEMBER_LEAVING, /* announced that it is shutting down */
	MEDLAR_MEMBER_DEAD, /* stopped, or a suspect for too long */
	MEDLAR_MEMBER_STATES
} medlar_member_state_t;

/**
 * struct medlar_member - member of the fleet
 * @info: name and address
 * @incarnation: start time, ms since 1970; higher once it has refuted a state
 * @state: its state as known to this instance
 */
typedef struct medlar_member {
	const medlar_member_info_t *info;
	uint64_t incarnation;
	medlar_member_state_t state;
} medlar_member_t;

/**
 * struct medlar_members_ops - callbacks of the membership
 * @send: sends @message to the address in @to; messages may be lost
 * @fact: called for each new fact, or newer revision; may be NULL
 * @document: called for each configuration document fetched from another
 *	instance; revisions increase; may be NULL
 * @data: passed to all callbacks
 *
 * Callbacks must not call functions of the membership.
 */
typedef struct medlar_members_ops {
	void (*send)(const medlar_member_info_t *to,
		     const medlar_message_t *message, void *data);
	void (*fact)(const medlar_fact_t *fact, void *data);
	void (*document)(uint64_t revision, medlar_str_t document, void *data);
	void *data;
} medlar_members_ops_t;

/**
 * struct medlar_members - membership: instances, facts and configuration
 *
 * The fields are private to the library. The memory is owned by the caller and
 * must not move while it is in use.
 */
typedef struct medlar_members {
	medlar_members_ops_t ops;
	medlar_member_info_t self;
	uint64_t id;
	uint64_t incarnation;
	medlar_member_state_t state;
	medlar_facts_t facts;
	struct medlar_fact_entry_ **entries;
	size_t len;
	size_t cap;
	size_t live_count;
	uint64_t generation;
	uint64_t *peer_ids;
	size_t peer_ids_cap;
	medlar_time_t started_at;
	medlar_time_t joined_at;
	medlar_time_t last_period_at;
	medlar_timer_t period_timer;
	medlar_timer_t relay_timer;
	medlar_timer_t round_timer;
	uint32_t reach_step;
	uint32_t seq;
	struct {
		uint64_t target;
		uint32_t seq;
		bool acked;
	} probe;
	struct {
		uint64_t asker;
		uint64_t target;
		uint32_t asker_seq;
		uint32_t seq;
	} relays[4];
	uint32_t relays_next;
	medlar_time_t synced_at;
	struct {
		uint64_t revision;
		uint64_t hash;
		uint64_t base;
		uint32_t prefix;
		uint32_t suffix;
		uint32_t sends;
		medlar_buf_t text;
	} document;
	struct {
		uint64_t revision;
		uint64_t from;
		uint64_t head_revision;
		medlar_chunk_t head;
		char *bytes;
		uint64_t got[MEDLAR_DOCUMENT_MAX / MEDLAR_CHUNK_MAX / 64];
		uint32_t asked;
		medlar_time_t progress;
	} fetch;
} medlar_members_t;

int medlar_members_init(medlar_client_t *client, medlar_members_t *members,
			const medlar_member_info_t *self, uint64_t incarnation,
			const medlar_members_ops_t *ops, medlar_time_t now);
void medlar_members_finish(medlar_client_t *client, medlar_members_t *members);
int medlar_members_add_seed(medlar_client_t *client, medlar_members_t *members,
			    const medlar_member_info_t *info,
			    medlar_time_t now);
void medlar_members_receive(medlar_client_t *client, medlar_members_t *members,
			    const medlar_message_t *message, medlar_time_t now);
int medlar_members_broadcast(medlar_client_t *client, medlar_members_t *members,
			     const medlar_fact_t *fact, medlar_time_t now);
void medlar_members_leave(medlar_client_t *client, medlar_members_t *members,
			  medlar_time_t now);
void medlar_members_stop(medlar_client_t *client, medlar_members_t *members,
			 medlar_time_t now);
size_t medlar_members_count(const medlar_members_t *members);
bool medlar_members_get(const medlar_members_t *members, size_t index,
			medlar_member_t *out);
uint64_t medlar_members_fact_revision(const medlar_members_t *members,
				      medlar_fact_kind_t kind,
				      uint64_t subject);
uint64_t medlar_members_generation(const medlar_members_t *members);
medlar_peers_t medlar_members_peers(medlar_client_t *client,
				    medlar_members_t *members,
				    medlar_time_t now);
medlar_time_t medlar_members_probe_period(size_t instances);
medlar_time_t medlar_members_hold_time(size_t instances);
int medlar_members_set_document(medlar_client_t *client,
				medlar_members_t *members, uint64_t revision,
				medlar_str_t document, medlar_time_t now);
uint64_t medlar_members_revision(const medlar_members_t *members);
medlar_str_t medlar_members_document(const medlar_members_t *members);

/*
 * address.c
 */

/** Most addresses that a caller gets. */
#define MEDLAR_ADDRESSES_MAX 4

/**
 * struct medlar_address - instance that a caller may send requests to
 * @id: hash of the name of the instance
 * @zone: hash of the name of its availability zone
 * @weight: share of the caller's requests, relative to the other addresses
 * @data: user data, not used by the library
 */
typedef struct medlar_address {
	uint64_t id;
	uint64_t zone;
	uint32_t weight;
	const void *data;
} medlar_address_t;

size_t medlar_address_choose(medlar_client_t *client,
			     const medlar_address_t *from, size_t len,
			     uint64_t zone, uint64_t caller,
			     medlar_address_t out[MEDLAR_ADDRESSES_MAX]);
medlar_time_t medlar_address_ttl(medlar_client_t *client, medlar_time_t ttl);

/*
 * store.c
 */

/** enum medlar_store_status - how a call of the key-value service ended */
typedef enum medlar_store_status {
	MEDLAR_STORE_OK,
	MEDLAR_STORE_CONFLICT, /* compare-and-swap refused: not applied */
	MEDLAR_STORE_MISSING, /* no such key */
	MEDLAR_STORE_DOWN, /* not reached: known not applied */
	MEDLAR_STORE_UNKNOWN, /* no reply: may have been applied */
} medlar_store_status_t;

/**
 * struct medlar_store_reply - the end of a store call
 * @status: how it ended
 * @value: value read; valid during the callback only
 * @index: modification index of the value, for compare-and-swap
 */
typedef struct medlar_store_reply {
	medlar_store_status_t status;
	medlar_str_t value;
	uint64_t index;
} medlar_store_reply_t;

typedef void (*medlar_store_fn_t)(const medlar_store_reply_t *reply,
				  void *data);

/**
 * struct medlar_store - the key-value service as the core sees it
 * @get: read @key
 * @cas: write @value if the index of @key is still @index (0: no such key)
 * @data: passed to both
 *
 * Both calls are asynchronous: @done is called exactly once, never from
 * within the call itself. A call that returns an error never calls @done.
 */
typedef struct medlar_store {
	int (*get)(void *data, medlar_str_t key, medlar_store_fn_t done,
		   void *done_data);
	int (*cas)(void *data, medlar_str_t key, medlar_str_t value,
		   uint64_t index, medlar_store_fn_t done, void *done_data);
	void *data;
} medlar_store_t;

/*
 * merge.c
 */

int medlar_merge(medlar_client_t *client, medlar_str_t file, medlar_str_t base,
		 medlar_str_t theirs, medlar_str_t mine, medlar_buf_t *out);

/*
 * revision.c
 */

/** Store key of the configuration document. */
#define MEDLAR_CONFIG_KEY "medlar/config"
/** Prefix of the store keys of the history, and the number of these keys. */
#define MEDLAR_HISTORY_PREFIX "medlar/history/"
#define MEDLAR_HISTORY_LEN 64
/** Length of a submission id without its terminator, bytes. */
#define MEDLAR_SUBMISSION_ID_LEN 32

/**
 * struct medlar_revision - a parsed configuration document
 * @number: number of the revision; 0 for no document
 * @submission: id of the submission that wrote it, NUL-terminated
 * @answers: answers of each section, JSON; empty until submitted
 * @config: configuration, JSON; empty until both sections are submitted
 */
typedef struct medlar_revision {
	uint64_t number;
	char submission[MEDLAR_SUBMISSION_ID_LEN + 1];
	medlar_buf_t answers[MEDLAR_SECTION_COUNT];
	medlar_buf_t config;
} medlar_revision_t;

int medlar_revision_parse(medlar_revision_t *revision, medlar_str_t json);
void medlar_revision_finish(medlar_revision_t *revision);
void medlar_revision_history_key(uint64_t number, medlar_buf_t *out);
int medlar_revision_write_first(medlar_client_t *client, medlar_str_t file,
				medlar_str_t answers, medlar_buf_t *out);

/*
 * submission.c
 */

typedef struct medlar_submission_ medlar_submission_t;

/**
 * typedef medlar_submission_fn_t - receives the result of a submission
 * @submission: submission; must not be finished before the release callback
 * @error: %MEDLAR_OK: accepted as @revision. %MEDLAR_ERR_STORE_UNKNOWN: the
 *	commit may have taken effect or may still do so. Any other error: not
 *	accepted
 * @revision: the accepted revision, otherwise the newest one read
 * @data: from medlar_submission_start()
 */
typedef void (*medlar_submission_fn_t)(medlar_submission_t *submission,
				       int error, uint64_t revision,
				       void *data);

/**
 * typedef medlar_submission_release_fn_t - a submission is no longer used
 * @submission: submission; may be finished and freed in this call
 * @data: from medlar_submission_start()
 */
typedef void (*medlar_submission_release_fn_t)(medlar_submission_t *submission,
					       void *data);

/**
 * struct medlar_submission_params - a change of the answers of a section
 * @section: section that is changed
 * @author: name of the operator
 * @base: revision from which @answers were edited; 0 for none
 * @answers: new answers of the section, JSON
 * @time: current Unix time, ms
 * @timeout: time after which the submission is abandoned, ms
 * @done: called once with the result
 * @release: called once, after @done
 * @error: receives error reports about the answers; NULL for the client's error
 *	handler
 * @data: user data of @done, @release and @error
 */
typedef struct medlar_submission_params {
	medlar_section_t section;
	medlar_str_t author;
	uint64_t base;
	medlar_str_t answers;
	medlar_time_t time;
	medlar_time_t timeout;
	medlar_submission_fn_t done;
	medlar_submission_release_fn_t release;
	medlar_error_fn_t error;
	void *data;
} medlar_submission_params_t;

/* The fields of struct medlar_submission_ are private. */
struct medlar_submission_ {
	medlar_client_t *client;
	medlar_client_t reporter;
	const medlar_store_t *store;
	medlar_submission_fn_t done;
	medlar_submission_release_fn_t release;
	void *data;
	medlar_section_t section;
	medlar_buf_t author;
	medlar_buf_t answers;
	medlar_buf_t base_answers;
	medlar_buf_t new_document;
	medlar_buf_t current_document;
	medlar_revision_t current_revision;
	uint64_t base;
	uint64_t index;
	uint64_t archive_index;
	uint64_t new_number;
	char id[MEDLAR_SUBMISSION_ID_LEN + 1];
	medlar_time_t time;
	medlar_timer_t deadline_timer;
	medlar_timer_t retry_timer;
	medlar_time_t backoff;
	medlar_time_t now;
	void (*retry_step)(medlar_submission_t *submission);
	bool base_known;
	bool call_in_flight;
	bool in_doubt;
	bool ended;
};

int medlar_submission_start(medlar_client_t *client,
			    medlar_submission_t *submission,
			    const medlar_store_t *store,
			    const medlar_submission_params_t *params,
			    medlar_time_t now);
void medlar_submission_finish(medlar_submission_t *submission);

/*
 * uuid.c
 */

#define MEDLAR_UUID_LEN 16
#define MEDLAR_UUID_TEXT_LEN 36

/**
 * struct medlar_uuid - UUID
 * @bytes: its bytes in network byte order
 */
typedef struct medlar_uuid {
	uint8_t bytes[MEDLAR_UUID_LEN];
} medlar_uuid_t;

int medlar_uuid_parse(medlar_str_t text, medlar_uuid_t *out);
void medlar_uuid_format(const medlar_uuid_t *uuid,
			char out[MEDLAR_UUID_TEXT_LEN + 1]);
medlar_time_t medlar_uuid_time(const medlar_uuid_t *uuid);
void medlar_uuid_make(medlar_uuid_t *out, medlar_time_t time,
		      const uint8_t *random);

/*
 * journal.c and journal_codec.c
 */

#define MEDLAR_TOKEN_LEN 16
#define MEDLAR_JOURNAL_SIZE_MAX 900000 /* bytes of an encoded journal */
#define MEDLAR_WRITE_RESULT_MAX 2048 /* bytes of a result kept for replay */
#define MEDLAR_CLOCK_SKEW_MAX MEDLAR_MINUTE /* tolerated clock skew, ms */

/** struct medlar_token - random bytes that identify a claim */
typedef struct medlar_token {
	uint8_t bytes[MEDLAR_TOKEN_LEN];
} medlar_token_t;

/** enum medlar_claim_state - recorded outcome of a claim */
typedef enum medlar_claim_state {
	MEDLAR_CLAIM_CLAIMED, /* may be running or have run: outcome unknown */
	MEDLAR_CLAIM_RAN,
	MEDLAR_CLAIM_NOT_RUN,
	MEDLAR_CLAIM_STATE_COUNT
} medlar_claim_state_t;

/**
 * struct medlar_journal_entry - journal entry of a key
 * @key: idempotency key
 * @token: token of the claim
 * @instance: hash of the name of the claiming instance
 * @time: Unix time of the last change of the entry, ms
 * @state: outcome of the claim
 * @digest: hash of the whole result; 0 unless @state is %MEDLAR_CLAIM_RAN
 * @result_offset: offset of the stored result in the result buffer of the
 *	journal
 * @result_len: length of the stored result, bytes; 0 for none
 */
typedef struct medlar_journal_entry {
	medlar_uuid_t key;
	medlar_token_t token;
	uint64_t instance;
	medlar_time_t time;
	medlar_claim_state_t state;
	uint64_t digest;
	size_t result_offset;
	uint32_t result_len;
} medlar_journal_entry_t;

/**
 * struct medlar_journal - claims of a partition
 * @entries: entries sorted by key
 * @len: number of entries
 * @cap: allocated entries
 * @results: buffer of the stored results
 * @size: length of the encoded journal, bytes
 * @low_watermark: latest key time of all dropped entries, Unix time, ms; a
 *	write whose key is not newer and has no entry may have run
 * @sequence: number of commits; makes every commit change the value
 * @sealed: no new claims are accepted; they go to a later layout
 */
typedef struct medlar_journal {
	medlar_journal_entry_t *entries;
	size_t len;
	size_t cap;
	medlar_buf_t results;
	size_t size;
	medlar_time_t low_watermark;
	uint64_t sequence;
	bool sealed;
} medlar_journal_t;

void medlar_journal_init(medlar_journal_t *journal);
void medlar_journal_finish(medlar_journal_t *journal);
medlar_journal_entry_t *medlar_journal_find(const medlar_journal_t *journal,
					    const medlar_uuid_t *key);
int medlar_journal_append(medlar_journal_t *journal,
			  const medlar_journal_entry_t *entry);
int medlar_journal_claim(medlar_journal_t *journal,
			 const medlar_journal_entry_t *claim, size_t limit);
int medlar_journal_record(medlar_journal_t *journal,
			  medlar_journal_entry_t *entry,
			  medlar_claim_state_t state, medlar_str_t result,
			  size_t limit);
medlar_str_t medlar_journal_result(const medlar_journal_t *journal,
				   const medlar_journal_entry_t *entry);
void medlar_journal_expire(medlar_journal_t *journal, medlar_time_t oldest);
bool medlar_journal_shrink(medlar_journal_t *journal, size_t limit);
void medlar_journal_encode(const medlar_journal_t *journal, medlar_buf_t *out);
int medlar_journal_decode(medlar_journal_t *journal, medlar_str_t value);
size_t medlar_journal_entry_size(const medlar_journal_entry_t *entry);
size_t medlar_journal_header_size(void);

/*
 * layout.c
 */

#define MEDLAR_LAYOUTS_MAX 64
#define MEDLAR_PARTITIONS_MAX 65536

/**
 * struct medlar_layout - assignment of keys to journals
 * @revision: revision of the configuration that it was created for
 * @partitions: number of journals
 * @groups: number of groups of journals, rotated by the time in the key; 1 for
 *	no rotation
 * @group_period: how long a group receives claims before the next one, ms
 */
typedef struct medlar_layout {
	uint64_t revision;
	uint32_t partitions;
	uint32_t groups;
	medlar_time_t group_period;
} medlar_layout_t;

/**
 * struct medlar_layouts - every layout a service has used, oldest first
 * @items: layouts; the generation of a layout is its index
 * @len: number of layouts
 */
typedef struct medlar_layouts {
	medlar_layout_t items[MEDLAR_LAYOUTS_MAX];
	uint32_t len;
} medlar_layouts_t;

medlar_layout_t medlar_layout_make(uint32_t partitions, medlar_time_t window,
				   uint64_t revision);
uint32_t medlar_layout_locate(const medlar_layout_t *layout,
			      const medlar_uuid_t *key);
bool medlar_layouts_add(medlar_layouts_t *layouts,
			const medlar_layout_t *layout);
int medlar_layouts_parse(medlar_layouts_t *layouts, medlar_str_t text);
void medlar_layouts_write(const medlar_layouts_t *layouts, medlar_buf_t *out);

/*
 * claim.c and partition.c
 */

typedef struct medlar_writes_ medlar_writes_t;
typedef struct medlar_write_ medlar_write_t;
typedef struct medlar_claim_ medlar_claim_t;
typedef struct medlar_partition_ medlar_partition_t;

/** enum medlar_claim_op - operation of a claim on its journal */
typedef enum medlar_claim_op {
	MEDLAR_CLAIM_OP_CLAIM, /* add the entry of the key */
	MEDLAR_CLAIM_OP_RECORD, /* record an outcome, or undo a claim */
	MEDLAR_CLAIM_OP_LOOKUP, /* read the entry of the key */
} medlar_claim_op_t;

/** enum medlar_commit_role - role of a claim in the commit in flight */
typedef enum medlar_commit_role {
	MEDLAR_COMMIT_ROLE_NONE, /* not part of the commit */
	MEDLAR_COMMIT_ROLE_CLAIM, /* adds its entry */
	MEDLAR_COMMIT_ROLE_RECORD, /* records its outcome */
	MEDLAR_COMMIT_ROLE_SEAL, /* seals the journal of an older layout */
} medlar_commit_role_t;

/** enum medlar_claim_resolution - resolution of a claim */
typedef enum medlar_claim_resolution {
	MEDLAR_RESOLUTION_COMMITTED, /* the claim is known to be in the journal */
	MEDLAR_RESOLUTION_DUPLICATE, /* another claim holds the key */
	MEDLAR_RESOLUTION_EXPIRED, /* the entry of the key may have been dropped */
	MEDLAR_RESOLUTION_FULL, /* the journal has reached its largest size */
	MEDLAR_RESOLUTION_RECORDED, /* the outcome is recorded, or needs no record */
	MEDLAR_RESOLUTION_NOT_FOUND, /* a lookup found no entry */
	MEDLAR_RESOLUTION_COUNT
} medlar_claim_resolution_t;

/**
 * struct medlar_claims - a list of claims
 * @head: first claim, or NULL
 * @tail: last claim, or NULL
 */
typedef struct medlar_claims {
	medlar_claim_t *head;
	medlar_claim_t *tail;
} medlar_claims_t;

/**
 * struct medlar_claim_ - operation on the journal entry of a key; private
 * @next: next claim of the list
 * @prev: previous claim of the list
 * @list: list that holds it, or NULL
 * @key: idempotency key
 * @token: token of the claim
 * @op: operation
 * @state: outcome to record
 * @result: result to record, or result of @found
 * @found: entry found by a lookup, or entry of another claim
 * @generation: generation of the layout that is visited
 * @commit_role: role in the commit in flight
 * @in_doubt: a commit that adds the claim had no reply and may have been
 *	applied, or may still be
 * @in_doubt_index: modification index that this commit expects
 * @resolution: resolution; valid once resolved
 * @write: write that owns the claim
 */
struct medlar_claim_ {
	medlar_claim_t *next;
	medlar_claim_t *prev;
	medlar_claims_t *list;
	medlar_uuid_t key;
	medlar_token_t token;
	medlar_claim_op_t op;
	medlar_claim_state_t state;
	medlar_buf_t result;
	medlar_journal_entry_t found;
	uint32_t generation;
	medlar_commit_role_t commit_role;
	bool in_doubt;
	uint64_t in_doubt_index;
	medlar_claim_resolution_t resolution;
	medlar_write_t *write;
};

/**
 * struct medlar_partition_ - pending claims of a journal; private
 * @writes: writes of the service
 * @generation: generation of the layout
 * @index: number of the journal within the layout
 * @claims: claims that wait for a commit or are part of one
 * @resolved: resolved claims whose writes have not been notified
 * @busy: a store call is in flight
 * @sealed: the journal was sealed when last read
 * @retired: the journal was sealed and empty when last read
 * @low_watermark: low watermark of the journal when last read, Unix time, ms
 * @commit_reserved: the next commit is reserved at the commit rate
 * @read_index: modification index of the value last read
 * @failures: reads or commits that failed in a row
 * @timer: starts the next commit
 */
struct medlar_partition_ {
	medlar_writes_t *writes;
	uint32_t generation;
	uint32_t index;
	medlar_claims_t claims;
	medlar_claims_t resolved;
	bool busy;
	bool sealed;
	bool retired;
	bool commit_reserved;
	medlar_time_t low_watermark;
	uint64_t read_index;
	uint32_t failures;
	medlar_timer_t timer;
};

void medlar_claims_append(medlar_claims_t *claims, medlar_claim_t *claim);
void medlar_claims_remove(medlar_claim_t *claim);
bool medlar_claim_apply(medlar_claim_t *claim, medlar_partition_t *partition,
			medlar_journal_t *journal, medlar_time_t wall);
void medlar_claim_finish_commit(medlar_claim_t *claim,
				medlar_partition_t *partition,
				medlar_store_status_t status);
void medlar_claim_resolve(medlar_claim_t *claim, medlar_partition_t *partition,
			  medlar_claim_resolution_t resolution);
bool medlar_claim_abandon(medlar_claim_t *claim);

void medlar_partition_init(medlar_partition_t *partition,
			   medlar_writes_t *writes, uint32_t generation,
			   uint32_t index);
void medlar_partition_finish(medlar_partition_t *partition);
void medlar_partition_add(medlar_partition_t *partition, medlar_claim_t *claim,
			  medlar_time_t now);

/*
 * writes.c
 */

/** enum medlar_write_outcome - outcome of a write as its caller sees it */
typedef enum medlar_write_outcome {
	MEDLAR_WRITE_UNKNOWN,
	MEDLAR_WRITE_RAN,
	MEDLAR_WRITE_NOT_RUN,
} medlar_write_outcome_t;

/**
 * struct medlar_write_answer - answer to the caller of a write
 * @outcome: outcome of the write
 * @error: %MEDLAR_OK, or why the write did not run or its outcome is unknown
 * @result: result of the upstream; empty if none is stored
 * @replayed: the result was recorded by an earlier request with the same key
 */
typedef struct medlar_write_answer {
	medlar_write_outcome_t outcome;
	int error;
	medlar_str_t result;
	bool replayed;
} medlar_write_answer_t;

/**
 * struct medlar_writes_ops - callbacks that the program provides
 * @dispatch: send the write to an upstream that has not been tried; ended by
 *	exactly one call of medlar_write_reply() or medlar_write_fail(), which
 *	may come from within this call and may come after @answer
 * @answer: answer the caller; called once. The program may use the write
 *	afterwards only while a dispatch has not ended
 * @lookup_done: receives the result of a lookup; @entry is NULL if @error is
 *	set; %MEDLAR_ERR_NOT_FOUND if no journal has the key
 * @random: fill @out with @len unpredictable bytes
 * @now: return the current time on the clock of the timers, ms
 */
typedef struct medlar_writes_ops {
	void (*dispatch)(medlar_write_t *write, void *data);
	void (*answer)(medlar_write_t *write,
		       const medlar_write_answer_t *answer, void *data);
	void (*lookup_done)(medlar_write_t *write, int error,
			    const medlar_journal_entry_t *entry,
			    medlar_str_t result, void *data);
	void (*random)(uint8_t *out, size_t len, void *data);
	medlar_time_t (*now)(void *data);
} medlar_writes_ops_t;

/**
 * struct medlar_writes_params - parameters of medlar_writes_init()
 * @policy: configuration; name, window, partitions and queue_max are used
 * @revision: revision of the configuration that @policy is from
 * @store: key-value service
 * @ops: callbacks
 * @data: user data of @ops
 * @epoch: Unix time at which the clock of the timers is 0, ms
 * @commit_rate: maximum of commits per second by this instance; 0 for no limit
 */
typedef struct medlar_writes_params {
	const medlar_policy_t *policy;
	uint64_t revision;
	const medlar_store_t *store;
	const medlar_writes_ops_t *ops;
	void *data;
	medlar_time_t epoch;
	double commit_rate;
} medlar_writes_params_t;

/**
 * struct medlar_writes_stats - counters since initialisation
 * @reads: journal reads started
 * @commits: commits started
 * @conflicts: commits that the store refused because of another one
 * @lost: commits without a reply
 * @claims: claims committed
 * @records: outcomes recorded
 */
typedef struct medlar_writes_stats {
	uint64_t reads;
	uint64_t commits;
	uint64_t conflicts;
	uint64_t lost;
	uint64_t claims;
	uint64_t records;
} medlar_writes_stats_t;

/**
 * struct medlar_writes_ - writes of a service; fields are private
 * @client: client of the thread
 * @policy: current configuration
 * @revision: revision of the configuration
 * @store: key-value service
 * @ops: callbacks
 * @data: user data of @ops
 * @epoch: Unix time at which the clock of the timers is 0, ms
 * @commit_interval: mean time between commits at the commit rate, ms; 0 for no
 *	limit
 * @next_commit: when the commit rate allows the next commit without burst, ms
 * @commit_load: share of the commit rate in use at @commit_load_time, 0 to 1
 * @commit_load_time: when @commit_load was updated, ms
 * @layouts: layouts last read from the store
 * @layouts_known: @layouts is current as far as known
 * @layouts_busy: a store call for the layouts is in flight
 * @layouts_time: when the layouts were last read, ms
 * @layouts_failures: store calls for the layouts that failed in a row
 * @layouts_index: not used
 * @layouts_timer: loads the layouts again
 * @waiting: claims that wait for newer layouts
 * @generations: partitions of each layout; allocated on first use
 * @writes_head: list of all writes
 * @writes_len: number of writes
 * @stats: counters
 */
struct medlar_writes_ {
	medlar_client_t *client;
	medlar_policy_t policy;
	uint64_t revision;
	medlar_store_t store;
	medlar_writes_ops_t ops;
	void *data;
	medlar_time_t epoch;
	double commit_interval;
	double next_commit;
	double commit_load;
	medlar_time_t commit_load_time;
	medlar_layouts_t layouts;
	bool layouts_known;
	bool layouts_busy;
	medlar_time_t layouts_time;
	uint32_t layouts_failures;
	uint64_t layouts_index;
	medlar_timer_t layouts_timer;
	medlar_claims_t waiting;
	medlar_partition_t **generations[MEDLAR_LAYOUTS_MAX];
	medlar_write_t *writes_head;
	size_t writes_len;
	medlar_writes_stats_t stats;
};

void medlar_writes_init(medlar_client_t *client, medlar_writes_t *writes,
			const medlar_writes_params_t *params);
void medlar_writes_finish(medlar_writes_t *writes);
void medlar_writes_set_policy(medlar_writes_t *writes,
			      const medlar_policy_t *policy, uint64_t revision);
void medlar_writes_set_commit_rate(medlar_writes_t *writes, double commits);
void medlar_writes_set_epoch(medlar_writes_t *writes, medlar_time_t epoch);
void medlar_writes_enqueue(medlar_writes_t *writes, medlar_claim_t *claim,
			   medlar_time_t now);
void medlar_writes_reload_layouts(medlar_writes_t *writes,
				  medlar_claim_t *claim);
medlar_time_t medlar_writes_now(const medlar_writes_t *writes);
medlar_time_t medlar_writes_wall_time(const medlar_writes_t *writes);
medlar_time_t medlar_writes_backoff(medlar_client_t *client, uint32_t failures);
void medlar_writes_store_key(const medlar_writes_t *writes, medlar_buf_t *out,
			     const char *format, ...)
	__attribute__((format(printf, 3, 4)));
bool medlar_writes_store_failed(const medlar_writes_t *writes,
				const medlar_claim_t *claim);

/*
 * write.c
 */

/** enum medlar_executed - whether an upstream executed a request */
typedef enum medlar_executed {
	MEDLAR_EXECUTED_UNKNOWN,
	MEDLAR_EXECUTED_YES,
	MEDLAR_EXECUTED_NO,
} medlar_executed_t;

/**
 * struct medlar_write_params - parameters of a write or a lookup
 * @key: idempotency key
 * @deadline: when the caller needs the answer, on the clock of the timers, ms
 * @data: user data, returned by medlar_write_data()
 */
typedef struct medlar_write_params {
	medlar_uuid_t key;
	medlar_time_t deadline;
	void *data;
} medlar_write_params_t;

/**
 * struct medlar_write_ - a write or a lookup; fields are private
 * @writes: writes of the service
 * @next: next write of the service
 * @prev: previous write of the service
 * @claim: claim on the key
 * @deadline: when the caller needs the answer, on the clock of the timers, ms
 * @data: user data
 * @timer: fires shortly before the deadline, or for the next poll
 * @polls: number of polls of the journal
 * @polling: the timer is set for the next poll
 * @duplicate: another claim holds the key
 * @attempts: number of dispatches
 * @is_lookup: lookup: the entry is only read
 * @in_flight: a dispatch has not ended
 * @answered: the caller was answered
 * @claimed: the claim is known to have been committed
 * @closed: no further operation on the journal is needed
 * @outcome: not used
 */
struct medlar_write_ {
	medlar_writes_t *writes;
	medlar_write_t *next;
	medlar_write_t *prev;
	medlar_claim_t claim;
	medlar_time_t deadline;
	void *data;
	medlar_timer_t timer;
	uint32_t attempts;
	uint32_t polls;
	bool polling;
	bool duplicate;
	bool is_lookup;
	bool in_flight;
	bool answered;
	bool claimed;
	bool closed;
	medlar_write_outcome_t outcome;
};

medlar_write_outcome_t medlar_write_refusal_outcome(int error);
int medlar_write_start(medlar_writes_t *writes,
		       const medlar_write_params_t *params,
		       medlar_write_t **out);
int medlar_writes_lookup(medlar_writes_t *writes,
			 const medlar_write_params_t *params,
			 medlar_write_t **out);
void medlar_write_reply(medlar_write_t *write, medlar_executed_t executed,
			medlar_str_t result);
void medlar_write_fail(medlar_write_t *write, medlar_fault_t fault);
void medlar_write_resolved(medlar_write_t *write);
void medlar_write_free(medlar_write_t *write);
const medlar_uuid_t *medlar_write_key(const medlar_write_t *write);
const medlar_token_t *medlar_write_token(const medlar_write_t *write);
medlar_time_t medlar_write_deadline(const medlar_write_t *write);
void *medlar_write_data(const medlar_write_t *write);
const char *medlar_claim_state_name(medlar_claim_state_t state);

/*
 * poll.c
 */

medlar_time_t medlar_poll_interval(medlar_time_t least, size_t instances,
				   size_t polls, double rate);

#ifdef __cplusplus
}
#endif

#endif /* MEDLAR_H */
