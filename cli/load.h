/**
 * DOC: open-loop load generator
 *
 * Requests arrive in a Poisson process whether or not earlier ones have been
 * answered. Latency is measured from the scheduled arrival, so that a delay of
 * the generator itself counts as latency.
 */
#ifndef CLI_LOAD_H
#define CLI_LOAD_H

#include "cli/load_http.h"

#define LOAD_KEYS_MAX 64 /* keys of a lookup */
#define LOAD_KEY_LEN 36 /* bytes of an idempotency key, a UUID */
#define LOAD_NONCE_MAX 40
#define LOAD_HOST_MAX 63

/**
 * enum load_kind - kind of a request
 * @LOAD_SEARCH: read of all key ranges; a search with the site option
 * @LOAD_LOOKUP: read of given keys
 * @LOAD_WRITE: write; an order with the site option
 * @LOAD_KIND_COUNT: number of kinds
 */
typedef enum load_kind {
	LOAD_SEARCH,
	LOAD_LOOKUP,
	LOAD_WRITE,
	LOAD_KIND_COUNT
} load_kind_t;

/**
 * enum load_outcome - final outcome of a request, as its caller sees it
 * @LOAD_COMPLETE: a read answered for all requested key ranges
 * @LOAD_PARTIAL: a read answered for some of them
 * @LOAD_RAN: a write was executed
 * @LOAD_NOT_RUN: the request was refused and not executed
 * @LOAD_FAILED: the request failed
 * @LOAD_UNKNOWN: whether the request was executed is not known
 * @LOAD_NO_ANSWER: no answer, or a malformed one
 * @LOAD_OUTCOME_COUNT: number of outcomes
 *
 * The order matters: latency is recorded for the values up to %LOAD_RAN.
 */
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

/**
 * enum load_violation - guarantee that an answer violates
 * @LOAD_VIOLATION_MIXED_VERSIONS: parts of more than one index version
 * @LOAD_VIOLATION_OTHER_REQUEST: a part that belongs to another request
 * @LOAD_VIOLATION_COVERAGE: wrong covered or missing key ranges
 * @LOAD_VIOLATION_DUPLICATE: a key range or a shard answered twice
 * @LOAD_VIOLATION_MALFORMED: not a valid answer
 * @LOAD_VIOLATION_EXECUTED_TWICE: a write executed more than once
 * @LOAD_VIOLATION_NOT_RUN_EXECUTED: a write executed, but reported "not run"
 * @LOAD_VIOLATION_RAN_NOT_EXECUTED: a write reported "ran", but not executed
 * @LOAD_VIOLATION_COUNT: number of kinds
 */
typedef enum load_violation {
	LOAD_VIOLATION_MIXED_VERSIONS,
	LOAD_VIOLATION_OTHER_REQUEST,
	LOAD_VIOLATION_COVERAGE,
	LOAD_VIOLATION_DUPLICATE,
	LOAD_VIOLATION_MALFORMED,
	LOAD_VIOLATION_EXECUTED_TWICE,
	LOAD_VIOLATION_NOT_RUN_EXECUTED,
	LOAD_VIOLATION_RAN_NOT_EXECUTED,
	LOAD_VIOLATION_COUNT
} load_violation_t;

/**
 * struct load_options - command-line options
 * @entries: ``HOST:PORT`` of the instances that serve the address list
 * @entries_len: number of @entries
 * @service: service of searches and lookups
 * @write_service: service of writes
 * @platform: ``HOST:PORT`` of the platform; used with @naive only
 * @zone: availability zone of the callers, or NULL
 * @mix: relative frequency of each kind of request
 * @rate: mean arrival rate, requests per second
 * @duration_s: length of the measured period, seconds
 * @warmup_s: length of the warm-up before it, which is not measured, seconds
 * @seed: seed of the random number generator
 * @callers: number of callers
 * @resends_max: maximum number of times that a caller resends a request
 * @deadline_ms: deadline of each request, ms; 0 for the service's default
 * @keys_per_lookup: number of keys of each lookup, at most %LOAD_KEYS_MAX; 0
 *   for a lookup of all keys
 * @naive: whether to use the naive client, which sends requests to the
 *   upstreams directly
 * @naive_timeout_ms: timeout of each attempt of the naive client, ms
 * @site: whether the entries are routers on the users' platform
 * @shards: number of shards of a search; used with @site only
 * @target_ms: latency up to which an answer counts as goodput, ms; 0 for no
 *   limit
 * @query_text: query text of every request
 * @executions_url: URL of the upstreams' execution log, or NULL
 * @json_file: file for the results as JSON, ``-`` for standard output, or NULL
 * @compare_file: JSON results of an earlier run to compare with, or NULL
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
	unsigned resends_max;
	unsigned deadline_ms;
	unsigned keys_per_lookup;
	bool naive;
	unsigned naive_timeout_ms;
	bool site;
	unsigned shards;
	unsigned target_ms;
	const char *query_text;
	const char *executions_url;
	const char *json_file;
	const char *compare_file;
} load_options_t;

/**
 * struct load_series - latency samples
 * @values: samples, milliseconds
 * @len: number of samples
 * @cap: allocated length of @values
 */
typedef struct load_series {
	double *values;
	size_t len;
	size_t cap;
} load_series_t;

/**
 * struct load_stats - statistics of one kind of request
 * @latency: latency of complete and partial answers and of writes that ran
 * @refused_latency: latency of requests that were refused ("not run")
 * @outcomes: number of requests by outcome
 * @violations: number of violations by kind
 * @goodput_count: complete answers, and writes that ran, that came within the
 *   latency target and before the end of arrivals
 * @coverage_sum: sum of the coverage of all reads, each 0 to 1
 * @resent: requests resent by callers
 * @sends: requests sent to upstreams
 * @sends_needed: least number of such requests that the answers required
 * @replayed: writes answered from the recorded outcome of an earlier one
 */
typedef struct load_stats {
	load_series_t latency;
	load_series_t refused_latency;
	uint64_t outcomes[LOAD_OUTCOME_COUNT];
	uint64_t violations[LOAD_VIOLATION_COUNT];
	uint64_t goodput_count;
	double coverage_sum;
	uint64_t resent;
	uint64_t sends;
	uint64_t sends_needed;
	uint64_t replayed;
} load_stats_t;

/**
 * struct load_write - a write and the outcome reported to its caller
 * @key: idempotency key
 * @outcome: reported outcome
 */
typedef struct load_write {
	char key[LOAD_KEY_LEN + 1];
	load_outcome_t outcome;
} load_write_t;

/**
 * struct load - state of a load run
 * @loop: event loop
 * @rand: random number generator
 * @options: command-line options
 * @stats: statistics by kind of request
 * @parts_max: largest number of parts of an answer, by kind of request
 * @writes: finished writes
 * @writes_len: number of @writes
 * @requests_made: number of requests started
 * @pending: number of requests without an outcome
 * @arrival_timer: timer of the next arrival
 * @limit_timer: timer that ends the run if some requests never end
 * @started_at: start of the run; times are in microseconds, see load_now()
 * @arrivals_end: end of arrivals
 * @progress_shown_at: when progress was last printed
 * @warmup_end: end of the warm-up; earlier arrivals are not measured
 * @callers: callers of the entry instances, or NULL
 * @naive: state of the naive client, or NULL
 */
typedef struct load {
	load_loop_t loop;
	medlar_rand_t rand;
	const load_options_t *options;
	load_stats_t stats[LOAD_KIND_COUNT];
	size_t parts_max[LOAD_KIND_COUNT];
	load_write_t *writes;
	size_t writes_len;
	uint64_t requests_made;
	uint64_t pending;
	medlar_timer_t arrival_timer;
	medlar_timer_t limit_timer;
	medlar_time_t started_at;
	medlar_time_t arrivals_end;
	medlar_time_t progress_shown_at;
	medlar_time_t warmup_end;
	struct load_caller *callers;
	struct load_naive *naive;
} load_t;

/**
 * struct load_request - request of a caller
 * @load: run that the request belongs to
 * @caller: index of the caller
 * @kind: kind of request
 * @nonce: unique text that upstreams echo in every answer to the request
 * @key: idempotency key of a write; request id with the site option
 * @scheduled_at: scheduled arrival, microseconds
 * @deadline: when the caller gives up, microseconds
 * @is_counted: whether the request is measured, as it arrived after the warm-up
 * @body: request body
 */
typedef struct load_request {
	load_t *load;
	size_t caller;
	load_kind_t kind;
	char nonce[LOAD_NONCE_MAX + 1];
	char key[LOAD_KEY_LEN + 1];
	medlar_time_t scheduled_at;
	medlar_time_t deadline;
	bool is_counted;
	medlar_buf_t body;
} load_request_t;

/**
 * struct load_result - result of a request
 * @outcome: final outcome
 * @coverage: coverage of a read, 0 to 1
 * @sends: requests sent to upstreams
 * @parts: number of parts of the answer
 * @replayed: whether a write was answered from a recorded outcome
 * @violations: whether each kind of violation was found
 */
typedef struct load_result {
	load_outcome_t outcome;
	double coverage;
	uint64_t sends;
	size_t parts;
	bool replayed;
	bool violations[LOAD_VIOLATION_COUNT];
} load_result_t;

/* load_options.c */
int load_options_parse(load_options_t *options, int argc, char **argv);

/* load_run.c */
int load_run(load_t *load, const load_options_t *options);
void load_finish(load_t *load);
load_kind_t load_draw_kind(load_t *load);
double load_draw_interval(load_t *load);
void load_request_count(const load_request_t *request,
			const load_result_t *result);
void load_request_end(load_request_t *request, const load_result_t *result);
const char *load_request_service(const load_request_t *request);

/* load_caller.c */
int load_callers_init(load_t *load);
void load_callers_finish(load_t *load);
void load_caller_start(load_request_t *request);

/* load_naive.c */
int load_naive_init(load_t *load);
void load_naive_finish(load_t *load);
void load_naive_start(load_request_t *request);

/* load_check.c */
void load_check_answer(const load_request_t *request, medlar_str_t answer,
		       load_result_t *result);
bool load_check_echo(const load_request_t *request, struct json_object *result);

/* load_verify.c */
int load_verify_writes(load_t *load);

/* load_report.c */
int load_report(load_t *load);
void load_progress(load_t *load);

/* load_series.c */
void load_series_add(load_series_t *series, double value);
double load_series_quantile(load_series_t *series, double quantile);
void load_series_merge(load_series_t *to, const load_series_t *from);

#endif
