/**
 * DOC: client of the platform's key-value service and instance list
 *
 * All calls of the process go through one client, which limits their rate and
 * has a circuit breaker. See docs/PLATFORM.md for the calls.
 */
#ifndef MEDLARD_STORE_H
#define MEDLARD_STORE_H

#include "medlard/http_client.h"
#include "medlard/log.h"
#include "medlard/settings.h"

/** Size of a path with query and NUL, bytes. */
#define STORE_PATH_MAX 256

typedef struct store_call store_call_t;
typedef struct store_watch store_watch_t;

/**
 * struct store - client of the platform
 * @loop: loop of the control thread
 * @log: log of the control thread
 * @metrics: counters of the control thread
 * @pool: connections to the platform
 * @timeout: time limit of a call that is not a blocking watch, ms
 * @rate: calls allowed per second
 * @tokens: token bucket: calls that may start now
 * @refilled_at: when @tokens was last updated, ms
 * @failures: consecutive calls that failed
 * @breaker_open_until: no call starts before this time, ms; 0 while the circuit
 *	breaker is closed
 * @probing: one call is in progress to test whether the service has recovered
 * @first: oldest call in the queue
 * @last: newest call in the queue
 * @waiting: number of calls in the queue
 * @timer: starts queued calls
 */
typedef struct store {
	loop_t *loop;
	logger_t *log;
	metrics_t *metrics;
	http_pool_t *pool;
	medlar_time_t timeout;
	double rate;
	double tokens;
	medlar_time_t refilled_at;
	uint32_t failures;
	medlar_time_t breaker_open_until;
	bool probing;
	store_call_t *first;
	store_call_t *last;
	size_t waiting;
	medlar_timer_t timer;
} store_t;

/**
 * struct store_result - result of a call
 * @status: status; %MEDLAR_STORE_MISSING for HTTP status 404
 * @http_status: HTTP status code; 0 without a reply
 * @index: value of the X-Consul-Index header; 0 if absent
 * @body: body of the reply, valid during the callback
 */
typedef struct store_result {
	medlar_store_status_t status;
	int http_status;
	uint64_t index;
	medlar_str_t body;
} store_result_t;

typedef void (*store_done_fn_t)(const store_result_t *result, void *data);

/**
 * struct store_request - parameters of a call
 * @method: HTTP method
 * @path: path with query, NUL-terminated
 * @body: body; copied
 * @is_write: the call may change data, so that its effect is unknown if the
 *	reply is lost
 * @wait: longest time for which the service may delay the reply, ms
 * @done: called once, never from within store_send()
 * @data: passed to @done
 */
typedef struct store_request {
	const char *method;
	const char *path;
	medlar_str_t body;
	bool is_write;
	medlar_time_t wait;
	store_done_fn_t done;
	void *data;
} store_request_t;

typedef void (*store_key_fn_t)(medlar_str_t key, medlar_str_t value,
			       uint64_t index, void *data);

/**
 * struct store_watch - a watch on a key or prefix
 * @store: client of the platform
 * @path: path of the call, without index
 * @index: last value of X-Consul-Index
 * @failures: consecutive calls that failed
 * @timer: starts the next call
 * @changed: called for every key found, each time any of them has changed
 * @data: passed to @changed
 */
struct store_watch {
	store_t *store;
	char path[STORE_PATH_MAX / 2];
	uint64_t index;
	uint32_t failures;
	medlar_timer_t timer;
	store_key_fn_t changed;
	void *data;
};

int store_init(store_t *store, http_client_t *http, logger_t *log,
	       const platform_settings_t *settings);
void store_finish(store_t *store);
int store_send(store_t *store, const store_request_t *request);
medlar_store_status_t store_reply_status(const http_reply_t *reply,
					 bool is_write);
int store_get(store_t *store, medlar_str_t key, medlar_store_fn_t done,
	      void *data);
int store_cas(store_t *store, medlar_str_t key, medlar_str_t value,
	      uint64_t index, medlar_store_fn_t done, void *data);
int store_watch_start(store_watch_t *watch, store_t *store, const char *path,
		      store_key_fn_t changed, void *data);
void store_watch_stop(store_watch_t *watch);
void store_parse_values(medlar_str_t body, store_key_fn_t found, void *data);
medlar_time_t store_backoff(medlar_client_t *client, uint32_t failures);

#endif /* MEDLARD_STORE_H */
