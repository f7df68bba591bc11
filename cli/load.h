/**
 * DOC: open-loop load generator
 *
 * Requests arrive in a Poisson process whether or not earlier ones have been
 * answered, and latency counts from the planned arrival.
 */
#ifndef CLI_LOAD_H
#define CLI_LOAD_H

#include "cli/load_http.h"

#define LOAD_KEYS_MAX 64
#define LOAD_KEY_LEN 36
#define LOAD_NONCE_MAX 40
#define LOAD_HOST_MAX 63

/** enum load_kind - kinds of requests */
typedef enum load_kind {
	LOAD_SEARCH,
	LOAD_LOOKUP,
	LOAD_WRITE,
	LOAD_KIND_COUNT
} load_kind_t;

/** enum load_outcome - what a caller was told at last */
typedef enum load_outcome {
	LOAD_COMPLETE,
	LOAD_PARTIAL,
	LOAD_RAN,
	LOAD_NOT_RUN,
	LOAD_FAILED,
	LOAD_UNKNOWN,
	LOAD_NO_ANSWER,
	LOAD_OUTCOME_COUNT
} load_outcome_t;

/** enum load_fault - what must never be found in an answer */
typedef enum load_fault {
	LOAD_MIXED, /* parts of more than one index version */
	LOAD_CROSSED, /* a part of another request */
	LOAD_COVERAGE, /* covered and missing ranges are not true */
	LOAD_DUPLICATE, /* a key range answered twice */
	LOAD_MALFORMED, /* no valid answer document */
	LOAD_DOUBLED, /* a write executed more than once */
	LOAD_UNTRUE_NOT_RUN, /* executed although told "not run" */
	LOAD_UNTRUE_RAN, /* not executed although told "ran" */
	LOAD_FAULT_COUNT
} load_fault_t;

/**
 * struct load_options - the command line
 * @entries: ``HOST:PORT`` of instances to ask for addresses
 * @entries_len: how many
 * @service: service of searches and lookups
 * @write_service: service of writes
 * @platform: ``HOST:PORT`` of the platform, for @naive
 * @zone: availability zone of the callers, or NULL
 * @mix: relative frequency of each kind
 * @rate: arrivals a second
 * @duration_s: length of the run, seconds
 * @warmup_s: time at the beginning that is not counted, seconds
 * @seed: seed of all random choices
 * @callers: number of callers
 * @resends: times that a caller sends a failed request again
 * @deadline_ms: deadline of each request; 0: the service's own
 * @keys: keys of each lookup
 * @naive: talk to the upstreams directly
 * @naive_timeout_ms: fixed timeout of each try of the naive client
 * @site: the entries are routers on the users' platform
 * @shards: shards of a search there
 * @target_ms: later answers are no goodput; 0: all answers are
 * @query: text that every request holds
 * @executions: URL of the upstreams' execution log, or NULL
 * @json: file for the result, ``-`` for standard output, or NULL
 * @compare: earlier result to compare with, or NULL
 */
typedef struct load_options {
	const char **entries;
	size_t entries_len;
	const char *service;
	const char *write_service;
	const char *platform;
	const char *zone;
	double mix[LOAD_KIND_COUNT];
	double rate;
	double duration_s;
	double warmup_s;
	uint64_t seed;
	size_t callers;
	unsigned resends;
	unsigned deadline_ms;
	unsigned keys;
	bool naive;
	unsigned naive_timeout_ms;
	bool site;
	unsigned shards;
	unsigned target_ms;
	const char *query;
	const char *executions;
	const char *json;
	const char *compare;
} load_options_t;

/**
 * struct load_series - latencies in milliseconds
 * @values: in order of arrival of the answers
 * @len: how many
 * @cap: room in @values
 */
typedef struct load_series {
	double *values;
	size_t len;
	size_t cap;
} load_series_t;

/**
 * struct load_stats - results of one kind of request
 * @latency: of requests that were answered completely or partially, or ran
 * @refused: latency of requests that were told "not run"
 * @outcomes: number of each outcome
 * @faults: number of each fault
 * @in_time: complete answers, and writes that ran, before the end of arrivals
 * @coverage: sum of the coverage of reads
 * @resent: requests sent again by callers
 * @sends: requests to upstreams
 * @needed: requests to upstreams that the answers needed
 * @replayed: writes answered from a recorded outcome
 */
typedef struct load_stats {
	load_series_t latency;
	load_series_t refused;
	uint64_t outcomes[LOAD_OUTCOME_COUNT];
	uint64_t faults[LOAD_FAULT_COUNT];
	uint64_t in_time;
	double coverage;
	uint64_t resent;
	uint64_t sends;
	uint64_t needed;
	uint64_t replayed;
} load_stats_t;

/**
 * struct load_write - a write and what its caller was told
 * @key: idempotency key
 * @outcome: outcome
 */
typedef struct load_write {
	char key[LOAD_KEY_LEN + 1];
	load_outcome_t outcome;
} load_write_t;

/**
 * struct load - a run
 * @loop: event loop
 * @rand: source of all random choices
 * @options: command line
 * @stats: results by kind
 * @parts_max: most parts seen in an answer, by kind
 * @writes: writes that were made
 * @writes_len: how many
 * @sequence: number of requests made
 * @pending: requests without an outcome
 * @arrival: timer of the next arrival
 * @limit: timer that ends a run which does not end by itself
 * @started: begin of the run, microseconds
 * @ends: end of arrivals, microseconds
 * @shown_progress: when progress was last shown, microseconds
 * @drops_until: arrivals before it are not counted, microseconds
 * @callers: callers of the entry instances
 * @naive: state of the naive client
 */
typedef struct load {
	load_loop_t loop;
	medlar_rand_t rand;
	const load_options_t *options;
	load_stats_t stats[LOAD_KIND_COUNT];
	size_t parts_max[LOAD_KIND_COUNT];
	load_write_t *writes;
	size_t writes_len;
	uint64_t sequence;
	uint64_t pending;
	medlar_timer_t arrival;
	medlar_timer_t limit;
	medlar_time_t started;
	medlar_time_t ends;
	medlar_time_t shown_progress;
	medlar_time_t drops_until;
	struct load_caller *callers;
	struct load_naive *naive;
} load_t;

/**
 * struct load_request - a request of a caller
 * @load: run
 * @caller: number of the caller
 * @kind: kind
 * @nonce: text that identifies the request in every answer
 * @key: idempotency key of a write
 * @planned: arrival, microseconds
 * @deadline: when the caller gives up, microseconds
 * @counted: part of the results
 * @body: request body
 */
typedef struct load_request {
	load_t *load;
	size_t caller;
	load_kind_t kind;
	char nonce[LOAD_NONCE_MAX + 1];
	char key[LOAD_KEY_LEN + 1];
	medlar_time_t planned;
	medlar_time_t deadline;
	bool counted;
	medlar_buf_t body;
} load_request_t;

/**
 * struct load_result - the end of a request
 * @outcome: outcome
 * @coverage: coverage of a read, 0 to 1
 * @sends: requests to upstreams
 * @parts: parts of the answer
 * @replayed: answered from a recorded outcome
 * @faults: whether each fault was found
 */
typedef struct load_result {
	load_outcome_t outcome;
	double coverage;
	uint64_t sends;
	size_t parts;
	bool replayed;
	bool faults[LOAD_FAULT_COUNT];
} load_result_t;

/* load_options.c */
int load_options_parse(load_options_t *options, int argc, char **argv);

/* load_run.c */
int load_run(load_t *load, const load_options_t *options);
void load_finish(load_t *load);
load_kind_t load_draw_kind(load_t *load);
double load_draw_gap(load_t *load);
void load_request_count(const load_request_t *request,
			const load_result_t *result);
void load_request_end(load_request_t *request, const load_result_t *result);
const char *load_service(const load_request_t *request);

/* load_caller.c */
int load_callers_init(load_t *load);
void load_callers_finish(load_t *load);
void load_caller_start(load_request_t *request);

/* load_naive.c */
int load_naive_init(load_t *load);
void load_naive_finish(load_t *load);
void load_naive_start(load_request_t *request);

/* load_check.c */
void load_check(const load_request_t *request, medlar_str_t answer,
		load_result_t *result);
bool load_check_echo(const load_request_t *request, struct json_object *result);

/* load_verify.c */
int load_verify(load_t *load);

/* load_report.c */
int load_report(load_t *load);
void load_progress(load_t *load);

/* load_series.c */
void load_series_add(load_series_t *series, double value);
double load_series_quantile(load_series_t *series, double quantile);
void load_series_merge(load_series_t *to, const load_series_t *from);

#endif
