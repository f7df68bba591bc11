/**
 * DOC: callers, which cache the address list and resend failed requests
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/load.h"

#define ADDRESSES_MAX 64
#define URL_MAX 256
#define ADDRESSES_TIMEOUT_MS 1000L
#define ADDRESSES_RETRY_PERIOD (50 * LOAD_MS)
#define STATUS_OK 200
#define STATUS_FAILED 502
#define STATUS_UNAVAILABLE 503
#define US_ROUND_UP (LOAD_MS - 1)

/* Names of the kinds of requests in URLs. */
static const char *const kind_names[LOAD_KIND_COUNT] = {
	[LOAD_SEARCH] = "search",
	[LOAD_LOOKUP] = "lookup",
	[LOAD_WRITE] = "write",
};

typedef struct address {
	char host[LOAD_HOST_MAX + 1];
	unsigned port;
	unsigned weight;
} address_t;

/* A request and the state of sending it. */
typedef struct attempt {
	struct attempt *next;
	load_request_t *request;
	struct load_caller *caller;
	address_t target;
	address_t failed_target;
	unsigned resends;
} attempt_t;

/* queue: requests that wait for the address list. */
struct load_caller {
	load_t *load;
	address_t addresses[ADDRESSES_MAX];
	size_t len;
	medlar_time_t expires_at;
	bool request_in_flight;
	attempt_t *queue;
	medlar_timer_t retry_timer;
};

typedef struct load_caller load_caller_t;

static void request_addresses(load_caller_t *caller);
static void dispatch(attempt_t *attempt);

static bool addresses_are_equal(const address_t *a, const address_t *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

/*
 * Picks a random address with a probability proportional to its weight, other
 * than @avoid if there is another one.
 */
static const address_t *pick_address(load_caller_t *caller,
				     const address_t *avoid)
{
	uint64_t sum = 0;
	uint64_t point;
	size_t i;

	for (i = 0; i < caller->len; i++) {
		if (!addresses_are_equal(&caller->addresses[i], avoid))
			sum += caller->addresses[i].weight;
	}
	if (sum == 0)
		return &caller->addresses[0];
	point = medlar_rand_below(&caller->load->rand, sum);
	for (i = 0; i < caller->len; i++) {
		const address_t *address = &caller->addresses[i];

		if (addresses_are_equal(address, avoid))
			continue;
		if (point < address->weight)
			return address;
		point -= address->weight;
	}
	return &caller->addresses[0];
}

static void end_attempt(attempt_t *attempt, const load_result_t *result)
{
	load_request_t *request = attempt->request;

	free(attempt);
	load_request_end(request, result);
}

static bool may_resend(const attempt_t *attempt, long status)
{
	const load_request_t *request = attempt->request;

	if (status != 0 && status != STATUS_UNAVAILABLE &&
	    status != STATUS_FAILED)
		return false;
	return attempt->resends < request->load->options->resends_max &&
	       load_now() < request->deadline;
}

static void on_reply(const load_http_reply_t *reply, void *data)
{
	attempt_t *attempt = data;
	load_request_t *request = attempt->request;
	load_result_t result = { .outcome = LOAD_NO_ANSWER };

	if (may_resend(attempt, reply->status)) {
		attempt->resends++;
		attempt->failed_target = attempt->target;
		if (request->is_counted)
			request->load->stats[request->kind].resent++;
		dispatch(attempt);
		return;
	}
	if (reply->status != 0)
		load_check_answer(request, reply->body, &result);
	end_attempt(attempt, &result);
}

static void send_attempt(attempt_t *attempt, const address_t *address)
{
	load_request_t *request = attempt->request;
	medlar_time_t left = request->deadline - load_now();
	char caller[32];
	char key[LOAD_KEY_LEN + 32];
	char url[URL_MAX];
	const char *headers[] = { "Content-Type: application/json", caller,
				  NULL, NULL };
	const load_http_request_t http = {
		.url = url,
		.headers = headers,
		.body = medlar_buf_str(&request->body),
		.timeout_ms = (long)((left + US_ROUND_UP) / LOAD_MS),
	};

	attempt->target = *address;
	snprintf(url, sizeof(url), "http://%s:%u/v1/services/%s/%s",
		 address->host, address->port, load_request_service(request),
		 kind_names[request->kind]);
	snprintf(caller, sizeof(caller), "Medlar-Caller: caller-%zu",
		 request->caller);
	snprintf(key, sizeof(key), "Idempotency-Key: %s", request->key);
	if (request->kind == LOAD_WRITE)
		headers[2] = key;
	if (left <= 0 || load_http_send(&request->load->loop, &http, on_reply,
					attempt) != MEDLAR_OK) {
		const load_result_t result = { .outcome = LOAD_NO_ANSWER };

		end_attempt(attempt, &result);
	}
}

/* Sends a request; if the address list has expired, requests it first. */
static void dispatch(attempt_t *attempt)
{
	load_caller_t *caller = attempt->caller;

	if (caller->len > 0 && load_now() < caller->expires_at) {
		send_attempt(attempt,
			     pick_address(caller, &attempt->failed_target));
		return;
	}
	attempt->next = caller->queue;
	caller->queue = attempt;
	request_addresses(caller);
}

static void parse_address(load_caller_t *caller, struct json_object *json)
{
	struct json_object *host = json_object_object_get(json, "host");
	struct json_object *port = json_object_object_get(json, "port");
	struct json_object *weight = json_object_object_get(json, "weight");
	address_t *address = &caller->addresses[caller->len];

	if (!host || !port || caller->len == ADDRESSES_MAX)
		return;
	snprintf(address->host, sizeof(address->host), "%s",
		 json_object_get_string(host));
	address->port = (unsigned)json_object_get_int(port);
	address->weight = weight ? (unsigned)json_object_get_int(weight) : 1;
	caller->len++;
}

static bool parse_addresses(load_caller_t *caller, medlar_str_t body)
{
	struct json_object *json = json_tokener_parse(body.ptr);
	struct json_object *list = NULL;
	struct json_object *ttl = NULL;
	size_t count;
	size_t i;

	if (!json_object_object_get_ex(json, "addresses", &list) ||
	    !json_object_object_get_ex(json, "ttl_ms", &ttl) ||
	    json_object_array_length(list) == 0) {
		json_object_put(json);
		return false;
	}
	count = json_object_array_length(list);
	caller->len = 0;
	for (i = 0; i < count; i++)
		parse_address(caller, json_object_array_get_idx(list, i));
	caller->expires_at = load_now() + json_object_get_int64(ttl) * LOAD_MS;
	json_object_put(json);
	return caller->len > 0;
}

static void send_queue(load_caller_t *caller)
{
	attempt_t *attempt = caller->queue;

	caller->queue = NULL;
	while (attempt) {
		attempt_t *next = attempt->next;

		send_attempt(attempt,
			     pick_address(caller, &attempt->failed_target));
		attempt = next;
	}
}

/* Ends the queued requests whose deadline has passed. */
static void end_expired_attempts(load_caller_t *caller)
{
	const load_result_t result = { .outcome = LOAD_NO_ANSWER };
	attempt_t **link = &caller->queue;

	while (*link) {
		attempt_t *attempt = *link;

		if (attempt->request->deadline > load_now()) {
			link = &attempt->next;
			continue;
		}
		*link = attempt->next;
		end_attempt(attempt, &result);
	}
}

static void on_addresses(const load_http_reply_t *reply, void *data)
{
	load_caller_t *caller = data;

	caller->request_in_flight = false;
	if (reply->status == STATUS_OK &&
	    parse_addresses(caller, reply->body)) {
		send_queue(caller);
		return;
	}
	end_expired_attempts(caller);
	if (caller->queue)
		medlar_timer_set(&caller->load->loop.client,
				 &caller->retry_timer,
				 load_now() + ADDRESSES_RETRY_PERIOD);
}

static void on_retry_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	request_addresses(data);
}

static void request_addresses(load_caller_t *caller)
{
	load_t *load = caller->load;
	const load_options_t *options = load->options;
	uint64_t entry = medlar_rand_below(&load->rand, options->entries_len);
	char url[URL_MAX];
	const load_http_request_t http = { .url = url,
					   .timeout_ms = ADDRESSES_TIMEOUT_MS };

	if (caller->request_in_flight || caller->retry_timer.slot)
		return;
	snprintf(url, sizeof(url), "http://%s/v1/addresses%s%s",
		 options->entries[entry], options->zone ? "?zone=" : "",
		 options->zone ? options->zone : "");
	caller->request_in_flight = load_http_send(&load->loop, &http,
						   on_addresses,
						   caller) == MEDLAR_OK;
}

/**
 * load_callers_init() - create the callers of a run
 * @load: run; load_callers_finish() releases its callers
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_NOMEM.
 */
int load_callers_init(load_t *load)
{
	size_t i;

	load->callers = calloc(load->options->callers, sizeof(load_caller_t));
	if (!load->callers)
		return MEDLAR_ERR_NOMEM;
	for (i = 0; i < load->options->callers; i++) {
		load->callers[i].load = load;
		medlar_timer_init(&load->callers[i].retry_timer, on_retry_timer,
				  &load->callers[i]);
	}
	return MEDLAR_OK;
}

/**
 * load_callers_finish() - release the callers of a run
 * @load: run without pending requests
 */
void load_callers_finish(load_t *load)
{
	free(load->callers);
	load->callers = NULL;
}

/**
 * load_caller_start() - send a request from its caller
 * @request: request; load_request_end() is called with its result
 */
void load_caller_start(load_request_t *request)
{
	attempt_t *attempt = calloc(1, sizeof(*attempt));

	if (!attempt)
		abort();
	attempt->request = request;
	attempt->caller = &request->load->callers[request->caller];
	dispatch(attempt);
}
