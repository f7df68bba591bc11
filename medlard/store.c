/**
 * DOC: client of the platform: rate limit, circuit breaker and calls
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "medlard/store.h"
#include "medlard/wire.h"

/* Limits of the HTTP connections; IDLE_MAX is in ms, REPLY_MAX in bytes. */
#define CONNECTIONS_MAX 16
#define IDLE_MAX (30 * MEDLAR_SECOND)
#define REPLY_MAX ((size_t)64 << 20)

/* Queued calls beyond which store_send() refuses. */
#define WAITING_CALLS_MAX 10000

/* Size of the token bucket, in seconds of the call rate. */
#define BURST_SECONDS 0.5

/* Consecutive failures that open the circuit breaker. */
#define BREAKER_FAILURES 5

/* Bounds of the exponential backoff, ms; the shift cannot overflow. */
#define BACKOFF_MIN ((medlar_time_t)50)
#define BACKOFF_MAX MEDLAR_SECOND
#define BACKOFF_SHIFT_MAX 10

/* Time added to the wait of a blocking call before it times out, ms. */
#define WAIT_SLACK ((medlar_time_t)1500)

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_MANY 429

/**
 * struct store_call - a call in the queue or in progress
 * @store: client
 * @next: next call in the queue
 * @method: HTTP method
 * @path: path with query
 * @body: body
 * @is_write: see &struct store_request
 * @until: when the call fails if it is still in the queue, ms
 * @wait: time that a blocking call adds to the timeout, ms
 * @index: value of the X-Consul-Index header
 * @done: see &struct store_request
 * @data: see &struct store_request
 */
struct store_call {
	store_t *store;
	store_call_t *next;
	const char *method;
	char path[STORE_PATH_MAX];
	medlar_buf_t body;
	bool is_write;
	medlar_time_t until;
	medlar_time_t wait;
	uint64_t index;
	store_done_fn_t done;
	void *data;
};

/**
 * store_backoff() - get the delay after consecutive failures
 * @client: client whose random generator gives the jitter
 * @failures: number of failures, at least 1
 *
 * Return: delay in ms, between half of a bound and the bound, which doubles
 * with each failure up to one second.
 */
medlar_time_t store_backoff(medlar_client_t *client, uint32_t failures)
{
	uint32_t shift = failures > 0 ? failures - 1 : 0;
	medlar_time_t bound;

	if (shift > BACKOFF_SHIFT_MAX)
		shift = BACKOFF_SHIFT_MAX;
	bound = BACKOFF_MIN << shift;
	if (bound > BACKOFF_MAX)
		bound = BACKOFF_MAX;
	return bound / 2 + (medlar_time_t)medlar_rand_below(
				   &client->rand, (uint64_t)bound / 2 + 1);
}

/**
 * store_reply_status() - get the status of a call from the end of its HTTP call
 * @reply: end of the HTTP call
 * @is_write: the call may have changed data
 *
 * Return: %MEDLAR_STORE_OK; %MEDLAR_STORE_MISSING if a read got status 404;
 * %MEDLAR_STORE_DOWN if the call is known to have had no effect;
 * %MEDLAR_STORE_UNKNOWN if @is_write and the effect is not known.
 */
medlar_store_status_t store_reply_status(const http_reply_t *reply,
					 bool is_write)
{
	medlar_store_status_t lost = is_write ? MEDLAR_STORE_UNKNOWN
					      : MEDLAR_STORE_DOWN;

	if (reply->end == HTTP_REFUSED || reply->end == HTTP_UNSENT)
		return MEDLAR_STORE_DOWN;
	if (reply->end != HTTP_REPLY)
		return lost;
	if (reply->status == STATUS_OK)
		return MEDLAR_STORE_OK;
	if (reply->status == STATUS_NOT_FOUND && !is_write)
		return MEDLAR_STORE_MISSING;
	if (reply->status == STATUS_TOO_MANY)
		return MEDLAR_STORE_DOWN;
	return lost;
}

static void free_call(store_call_t *call)
{
	medlar_buf_finish(&call->body);
	free(call);
}

static void update_breaker(store_t *store, medlar_store_status_t status)
{
	medlar_client_t *client = store->loop->client;
	bool failed = status == MEDLAR_STORE_DOWN ||
		      status == MEDLAR_STORE_UNKNOWN;

	store->probing = false;
	if (!failed) {
		if (store->breaker_open_until > 0)
			LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store",
				 MEDLAR_TEXT("state", MEDLAR_STR("up")));
		store->failures = 0;
		store->breaker_open_until = 0;
		return;
	}
	metrics_add(store->metrics,
		    status == MEDLAR_STORE_DOWN ? METRIC_STORE_FAILURES
						: METRIC_STORE_UNKNOWN,
		    1);
	store->failures++;
	if (store->failures < BREAKER_FAILURES)
		return;
	if (store->breaker_open_until == 0)
		LOG_LINE(store->log, LOG_LEVEL_WARNING, "store",
			 MEDLAR_TEXT("state", MEDLAR_STR("down")),
			 MEDLAR_NUM("failures", store->failures));
	store->breaker_open_until = store->loop->now +
				    store_backoff(client,
						  store->failures -
							  BREAKER_FAILURES + 1);
}

static void on_header(medlar_str_t name, medlar_str_t value, void *data)
{
	static const medlar_str_t index = MEDLAR_STR("X-Consul-Index");
	store_call_t *call = data;

	if (name.len == index.len &&
	    strncasecmp(name.ptr, index.ptr, name.len) == 0)
		(void)wire_parse_number(value, INT64_MAX, &call->index);
}

static void on_reply(http_call_t *http_call, const http_reply_t *reply,
		     void *data)
{
	store_call_t *call = data;
	const store_result_t result = {
		.status = store_reply_status(reply, call->is_write),
		.http_status = reply->status,
		.index = call->index,
		.body = reply->body,
	};

	(void)http_call;
	if (reply->end == HTTP_CLIENT_CLOSED) {
		free_call(call);
		return;
	}
	update_breaker(call->store, result.status);
	call->done(&result, call->data);
	free_call(call);
}

static void fail_unsent_call(store_call_t *call)
{
	const store_result_t result = { .status = MEDLAR_STORE_DOWN };

	metrics_add(call->store->metrics, METRIC_STORE_FAILURES, 1);
	call->done(&result, call->data);
	free_call(call);
}

static void send_call(store_call_t *call)
{
	store_t *store = call->store;
	const http_request_t request = {
		.method = call->method,
		.path = call->path,
		.body = medlar_buf_str(&call->body),
		.deadline = store->loop->now + store->timeout + call->wait,
		.silence = store->timeout + call->wait,
		.reply_max = REPLY_MAX,
		.on_header = on_header,
		.done = on_reply,
		.data = call,
	};

	metrics_add(store->metrics, METRIC_STORE_CALLS, 1);
	if (http_call_start(store->pool, &request, NULL)) {
		store->probing = false;
		fail_unsent_call(call);
	}
}

static void refill_tokens(store_t *store)
{
	medlar_time_t now = store->loop->now;
	double burst = store->rate * BURST_SECONDS + 1;

	store->tokens += (double)(now - store->refilled_at) * store->rate /
			 (double)MEDLAR_SECOND;
	if (store->tokens > burst)
		store->tokens = burst;
	store->refilled_at = now;
}

static store_call_t *dequeue_call(store_t *store)
{
	store_call_t *call = store->first;

	store->first = call->next;
	if (!store->first)
		store->last = NULL;
	store->waiting--;
	return call;
}

static bool is_breaker_open(const store_t *store)
{
	return store->breaker_open_until > 0 &&
	       (store->probing || store->loop->now < store->breaker_open_until);
}

static void start_waiting_calls(store_t *store);

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	start_waiting_calls(data);
}

static void start_waiting_calls(store_t *store)
{
	double wait;

	refill_tokens(store);
	while (store->first) {
		if (is_breaker_open(store) ||
		    store->loop->now >= store->first->until) {
			fail_unsent_call(dequeue_call(store));
			continue;
		}
		if (store->tokens < 1)
			break;
		store->tokens -= 1;
		store->probing = store->breaker_open_until > 0;
		send_call(dequeue_call(store));
	}
	if (!store->first)
		return;
	wait = (1 - store->tokens) * (double)MEDLAR_SECOND / store->rate;
	(void)medlar_timer_set(store->loop->client, &store->timer,
			       store->loop->now + (medlar_time_t)wait + 1);
}

/**
 * store_send() - queue a call, to be started within the rate limit
 * @store: client
 * @request: parameters of the call
 *
 * Return: %MEDLAR_OK; or %MEDLAR_ERR_OVERLOAD, %MEDLAR_ERR_TOO_LARGE or
 * %MEDLAR_ERR_NOMEM, after which the callback is not called.
 */
int store_send(store_t *store, const store_request_t *request)
{
	store_call_t *call;

	if (store->waiting >= WAITING_CALLS_MAX)
		return MEDLAR_ERR_OVERLOAD;
	if (strlen(request->path) >= STORE_PATH_MAX)
		return MEDLAR_ERR_TOO_LARGE;
	call = calloc(1, sizeof(*call));
	if (!call)
		return MEDLAR_ERR_NOMEM;
	medlar_buf_init(&call->body);
	medlar_buf_add(&call->body, request->body);
	if (call->body.error) {
		free_call(call);
		return MEDLAR_ERR_NOMEM;
	}
	call->store = store;
	call->method = request->method;
	snprintf(call->path, sizeof(call->path), "%s", request->path);
	call->is_write = request->is_write;
	call->wait = request->wait > 0 ? request->wait + WAIT_SLACK : 0;
	call->until = store->loop->now + store->timeout;
	call->done = request->done;
	call->data = request->data;
	if (store->last)
		store->last->next = call;
	else
		store->first = call;
	store->last = call;
	store->waiting++;
	return medlar_timer_set(store->loop->client, &store->timer,
				store->loop->now);
}

/**
 * store_init() - initialise a client
 * @store: memory provided by the caller
 * @http: HTTP client of the control thread
 * @log: log of the control thread
 * @settings: address, rate and timeout of the platform
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int store_init(store_t *store, http_client_t *http, logger_t *log,
	       const platform_settings_t *settings)
{
	*store = (store_t){
		.loop = http->loop,
		.log = log,
		.metrics = http->metrics,
		.timeout = settings->timeout_ms,
		.rate = (double)settings->rate,
		.tokens = 1,
		.refilled_at = http->loop->now,
	};
	medlar_timer_init(&store->timer, on_timer, store);
	store->pool = http_pool_new(http, settings->host,
				    (uint16_t)settings->port, CONNECTIONS_MAX,
				    IDLE_MAX);
	return store->pool ? MEDLAR_OK : MEDLAR_ERR_NOMEM;
}

/**
 * store_finish() - stop a client; queued calls end with %MEDLAR_STORE_DOWN
 * @store: client
 */
void store_finish(store_t *store)
{
	medlar_timer_clear(store->loop->client, &store->timer);
	while (store->first)
		fail_unsent_call(dequeue_call(store));
}
