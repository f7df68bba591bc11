/**
 * DOC: requests to upstreams
 */
#include <inttypes.h>
#include <json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/upstream.h"

#define NUMBER_TEXT_MAX 24
#define RANGE_TEXT_MAX 48

/* Replies are accepted this long after the deadline of their request. */
#define LATE_REPLY_MAX (5 * MEDLAR_SECOND)

/* Longest duration of a cancellation or of a call that opens a connection. */
#define SHORT_CALL_MAX (1 * MEDLAR_SECOND)

/* Connections opened to a replica ahead of need. */
#define WARM_CONNECTIONS_MAX 2

/* Time for which retries use new connections after one went silent. */
#define NEW_CONNECTION_PERIOD (10 * MEDLAR_SECOND)

/**
 * struct active_attempt - an attempt in progress
 * @context: service it belongs to
 * @attempt: the core's attempt; valid until its end is reported
 * @call: its HTTP call
 * @wire: parsed headers of the reply
 * @cancelled: the core does not need the reply
 */
typedef struct active_attempt {
	upstream_context_t *context;
	medlar_attempt_t *attempt;
	http_call_t *call;
	wire_reply_t wire;
	bool cancelled;
} active_attempt_t;

static const char *const kind_names[] = {
	[MEDLAR_REQUEST_SEARCH] = "search",
	[MEDLAR_REQUEST_LOOKUP] = "lookup",
	[MEDLAR_REQUEST_WRITE] = "write",
};

static const medlar_fault_t faults[] = {
	[HTTP_REPLY] = MEDLAR_FAULT_MALFORMED,
	[HTTP_REFUSED] = MEDLAR_FAULT_REFUSED,
	[HTTP_UNSENT] = MEDLAR_FAULT_UNSENT,
	[HTTP_RESET] = MEDLAR_FAULT_RESET,
	[HTTP_SILENT] = MEDLAR_FAULT_SILENT,
	[HTTP_MALFORMED] = MEDLAR_FAULT_MALFORMED,
	[HTTP_CLIENT_CLOSED] = MEDLAR_FAULT_RESET,
};

/**
 * upstream_pool() - get or create the connection pool of a replica
 * @context: service of the replica
 * @replica: replica
 *
 * Return: the pool with the limits now in force, or NULL if out of memory.
 */
http_pool_t *upstream_pool(upstream_context_t *context,
			   medlar_replica_t *replica)
{
	const medlar_replica_info_t *info = medlar_replica_info(replica);
	uint32_t limit = medlar_replica_share(replica).connections;
	medlar_time_t idle_max = context->policy->idle_max;
	http_pool_t *pool = medlar_replica_data(replica);

	if (!pool) {
		pool = http_pool_new(context->upstream->http, info->host,
				     info->port, limit, idle_max);
		medlar_replica_set_data(replica, pool);
	} else if (pool->connections_max != limit ||
		   pool->idle_max != idle_max) {
		http_pool_set_limits(pool, limit, idle_max);
	}
	return pool;
}

/**
 * upstream_update_limits() - apply the connection limits of a replica
 * @context: service of the replica
 * @replica: replica
 *
 * If the address of the replica has changed, its connections are closed.
 */
void upstream_update_limits(upstream_context_t *context,
			    medlar_replica_t *replica)
{
	const medlar_replica_info_t *info = medlar_replica_info(replica);
	http_pool_t *pool = medlar_replica_data(replica);

	if (pool &&
	    (strcmp(pool->host, info->host) != 0 || pool->port != info->port))
		upstream_remove_replica(replica);
	else if (pool)
		(void)upstream_pool(context, replica);
}

/**
 * upstream_remove_replica() - close the connections of a replica once unused
 * @replica: replica
 */
void upstream_remove_replica(medlar_replica_t *replica)
{
	http_pool_t *pool = medlar_replica_data(replica);

	if (!pool)
		return;
	medlar_replica_set_data(replica, NULL);
	http_pool_release(pool);
}

/**
 * upstream_init() - initialize the upstream client of a worker
 * @upstream: upstream client to initialize
 * @http: HTTP client of the worker
 * @client: client of the core
 * @metrics: counters of the worker
 * @reply_max: largest accepted body of a reply, bytes
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int upstream_init(upstream_t *upstream, http_client_t *http,
		  medlar_client_t *client, metrics_t *metrics, size_t reply_max)
{
	*upstream = (upstream_t){
		.http = http,
		.client = client,
		.metrics = metrics,
		.reply_max = reply_max,
		.tokener = json_tokener_new(),
	};
	if (!upstream->tokener)
		return MEDLAR_ERR_NOMEM;
	json_tokener_set_flags(upstream->tokener,
			       JSON_TOKENER_STRICT |
				       JSON_TOKENER_VALIDATE_UTF8);
	return MEDLAR_OK;
}

/**
 * upstream_finish() - release the upstream client of a worker
 * @upstream: upstream client
 */
void upstream_finish(upstream_t *upstream)
{
	json_tokener_free(upstream->tokener);
	upstream->tokener = NULL;
}

/**
 * upstream_is_json() - check that a reply can be embedded in a JSON answer
 * @upstream: upstream client of the calling worker
 * @text: body of the reply
 *
 * Return: true if @text is exactly one valid JSON value.
 */
bool upstream_is_json(upstream_t *upstream, medlar_str_t text)
{
	struct json_tokener *tokener = upstream->tokener;
	struct json_object *value;

	if (text.len == 0 || text.len > INT32_MAX)
		return false;
	json_tokener_reset(tokener);
	value = json_tokener_parse_ex(tokener, text.ptr, (int)text.len);
	/* A top-level number is complete only at the end of the text. */
	if (json_tokener_get_error(tokener) == json_tokener_continue)
		value = json_tokener_parse_ex(tokener, "", 1);
	json_object_put(value);
	return json_tokener_get_error(tokener) == json_tokener_success;
}

static bool is_usable(const active_attempt_t *active, const http_reply_t *reply)
{
	if (reply->end != HTTP_REPLY || active->wire.malformed)
		return false;
	return active->wire.reply.status != MEDLAR_REPLY_OK ||
	       active->cancelled ||
	       upstream_is_json(active->context->upstream, reply->body);
}

/*
 * A reply with another request id means that the connection is out of sync; it
 * must not be reused.
 */
static bool has_own_id(const active_attempt_t *active)
{
	const medlar_reply_t *reply = &active->wire.reply;

	return memcmp(reply->id, medlar_attempt_id(active->attempt),
		      sizeof(reply->id)) == 0;
}

static medlar_fault_t get_fault(const active_attempt_t *active, http_end_t end)
{
	if (end == HTTP_UNSENT && active->cancelled)
		return MEDLAR_FAULT_CANCELLED;
	return faults[end];
}

static void on_header(medlar_str_t name, medlar_str_t value, void *data)
{
	active_attempt_t *active = data;

	wire_reply_add_header(name, value, &active->wire);
}

static void record_silence(upstream_context_t *context)
{
	metrics_add(context->upstream->metrics, METRIC_UPSTREAM_SILENT, 1);
	context->silent_at = context->upstream->http->loop->now;
}

/* Shortly after a connection went silent, retries don't reuse idle ones. */
static bool needs_new_connection(const active_attempt_t *active,
				 medlar_time_t now)
{
	medlar_time_t silent_at = active->context->silent_at;

	return silent_at > 0 && now - silent_at < NEW_CONNECTION_PERIOD &&
	       medlar_attempt_kind(active->attempt) == MEDLAR_ATTEMPT_RETRY;
}

static void on_done(http_call_t *call, const http_reply_t *reply, void *data)
{
	active_attempt_t *active = data;
	upstream_t *upstream;
	medlar_time_t now;

	/* The service has already been freed. */
	if (reply->end == HTTP_CLIENT_CLOSED) {
		free(active);
		return;
	}
	upstream = active->context->upstream;
	now = upstream->http->loop->now;
	if (reply->end == HTTP_REPLY)
		wire_reply_finish(&active->wire, reply->status, reply->body);
	if (is_usable(active, reply)) {
		metrics_add(upstream->metrics, METRIC_UPSTREAM_REPLIES, 1);
		if (!has_own_id(active))
			http_call_close_connection(call);
		if (medlar_attempt_reply(upstream->client, active->attempt,
					 &active->wire.reply, now))
			http_call_close_connection(call);
	} else {
		metrics_add(upstream->metrics, METRIC_UPSTREAM_FAULTS, 1);
		if (reply->end == HTTP_SILENT)
			record_silence(active->context);
		if (reply->end == HTTP_REPLY)
			http_call_close_connection(call);
		medlar_attempt_fail(upstream->client, active->attempt,
				    get_fault(active, reply->end), now);
	}
	free(active);
}

/**
 * struct query_headers - headers of a query and buffers for their values
 * @items: headers
 * @id: text of the request id
 * @deadline: text of the remaining time
 * @version: text of the version
 * @epoch: text of the partition map's epoch
 * @range: text of the key range
 */
typedef struct query_headers {
	http_header_t items[HTTP_HEADERS_MAX];
	char id[WIRE_ID_TEXT_LEN + 1];
	char deadline[NUMBER_TEXT_MAX];
	char version[NUMBER_TEXT_MAX];
	char epoch[NUMBER_TEXT_MAX];
	char range[RANGE_TEXT_MAX];
} query_headers_t;

static size_t fill_headers(query_headers_t *headers,
			   const medlar_attempt_t *attempt, medlar_time_t now)
{
	const medlar_query_t *query = medlar_attempt_query(attempt);
	medlar_range_t range = medlar_attempt_range(attempt);
	medlar_time_t left = medlar_attempt_deadline(attempt) - now;
	const char *kind = kind_names[medlar_query_params(query)->kind];

	wire_format_id(medlar_attempt_id(attempt), headers->id);
	snprintf(headers->deadline, sizeof(headers->deadline), "%" PRId64,
		 left > 0 ? left : 0);
	snprintf(headers->version, sizeof(headers->version), "%" PRIu32,
		 medlar_attempt_version(attempt));
	snprintf(headers->epoch, sizeof(headers->epoch), "%" PRIu64,
		 medlar_query_answer(query)->epoch);
	snprintf(headers->range, sizeof(headers->range), "%" PRIu64 "-%" PRIu64,
		 range.lo, range.hi);
	headers->items[0] = (http_header_t){ "Medlar-Request-Id",
					     medlar_str_from(headers->id) };
	headers->items[1] = (http_header_t){ "Medlar-Kind",
					     medlar_str_from(kind) };
	headers->items[2] = (http_header_t){
		"Medlar-Deadline-Ms", medlar_str_from(headers->deadline)
	};
	headers->items[3] = (http_header_t){
		"Medlar-Version", medlar_str_from(headers->version)
	};
	headers->items[4] = (http_header_t){ "Medlar-Epoch",
					     medlar_str_from(headers->epoch) };
	headers->items[5] = (http_header_t){ "Medlar-Range",
					     medlar_str_from(headers->range) };
	return 6;
}

static void on_fail_timer(medlar_client_t *client, medlar_timer_t *timer,
			  medlar_time_t now, void *data)
{
	medlar_attempt_t *attempt = data;

	free(timer);
	medlar_attempt_fail(client, attempt, MEDLAR_FAULT_UNSENT, now);
}

/*
 * Reports from a timer that an attempt was not sent, as the end of an attempt
 * must not be reported from within upstream_send_attempt().
 */
static void fail_later(upstream_t *upstream, medlar_attempt_t *attempt)
{
	medlar_time_t now = upstream->http->loop->now;
	medlar_timer_t *timer = malloc(sizeof(*timer));

	medlar_attempt_set_data(attempt, NULL);
	if (!timer) {
		medlar_attempt_fail(upstream->client, attempt,
				    MEDLAR_FAULT_UNSENT, now);
		return;
	}
	medlar_timer_init(timer, on_fail_timer, attempt);
	if (medlar_timer_set(upstream->client, timer, now))
		on_fail_timer(upstream->client, timer, now, attempt);
}

static int start_attempt(active_attempt_t *active, http_pool_t *pool,
			 medlar_time_t now)
{
	medlar_attempt_t *attempt = active->attempt;
	const medlar_query_t *query = medlar_attempt_query(attempt);
	query_headers_t headers;
	const http_request_t request = {
		.method = "POST",
		.path = "/v1/query",
		.headers = headers.items,
		.headers_len = fill_headers(&headers, attempt, now),
		.body = medlar_query_params(query)->body,
		.deadline = medlar_attempt_deadline(attempt) + LATE_REPLY_MAX,
		.silence = active->context->policy->silence,
		.reply_max = active->context->upstream->reply_max,
		.new_connection = needs_new_connection(active, now),
		.on_header = on_header,
		.done = on_done,
		.data = active,
	};

	return http_call_start(pool, &request, &active->call);
}

/**
 * upstream_send_attempt() - send an attempt; see &medlar_service_ops_t
 * @attempt: attempt
 * @context: service of the attempt
 */
void upstream_send_attempt(medlar_attempt_t *attempt,
			   upstream_context_t *context)
{
	upstream_t *upstream = context->upstream;
	medlar_replica_t *replica = medlar_attempt_replica(attempt);
	http_pool_t *pool = upstream_pool(context, replica);
	active_attempt_t *active = calloc(1, sizeof(*active));

	metrics_add(upstream->metrics, METRIC_UPSTREAM_SENDS, 1);
	if (!active || !pool) {
		free(active);
		fail_later(upstream, attempt);
		return;
	}
	active->context = context;
	active->attempt = attempt;
	wire_reply_init(&active->wire);
	medlar_attempt_set_data(attempt, active);
	if (start_attempt(active, pool, upstream->http->loop->now)) {
		free(active);
		fail_later(upstream, attempt);
	}
}

static void ignore_reply(http_call_t *call, const http_reply_t *reply,
			 void *data)
{
	(void)call;
	(void)reply;
	(void)data;
}

static void send_cancel(upstream_context_t *context, medlar_attempt_t *attempt)
{
	upstream_t *upstream = context->upstream;
	char id[WIRE_ID_TEXT_LEN + 1];
	const http_header_t header = { "Medlar-Request-Id",
				       { id, WIRE_ID_TEXT_LEN } };
	const http_request_t request = {
		.method = "POST",
		.path = "/v1/cancel",
		.headers = &header,
		.headers_len = 1,
		.deadline = upstream->http->loop->now + SHORT_CALL_MAX,
		.silence = context->policy->silence,
		.reply_max = upstream->reply_max,
		.done = ignore_reply,
	};
	http_pool_t *pool = upstream_pool(context,
					  medlar_attempt_replica(attempt));

	wire_format_id(medlar_attempt_id(attempt), id);
	if (!pool || http_call_start(pool, &request, NULL))
		return;
	metrics_add(upstream->metrics, METRIC_UPSTREAM_CANCELS, 1);
}

/**
 * upstream_attempt_cancel() - cancel an attempt; see &medlar_service_ops_t
 * @attempt: attempt; its end is still reported
 * @context: service of the attempt
 *
 * Still waits for the reply of an attempt that was sent, so that its connection
 * can be reused. An attempt that has not been sent ends at once.
 */
void upstream_attempt_cancel(medlar_attempt_t *attempt,
			     upstream_context_t *context)
{
	active_attempt_t *active = medlar_attempt_data(attempt);

	if (!active || active->cancelled)
		return;
	active->cancelled = true;
	if (http_call_is_sent(active->call))
		send_cancel(context, attempt);
	else
		http_call_cancel_unsent(active->call);
}

static uint32_t warm_connections(const medlar_replica_t *replica)
{
	medlar_share_t share = medlar_replica_share(replica);
	uint32_t wanted = share.slots < share.connections ? share.slots
							  : share.connections;

	return wanted < WARM_CONNECTIONS_MAX ? wanted : WARM_CONNECTIONS_MAX;
}

/**
 * upstream_warm_connection() - open a connection to a replica ahead of need
 * @context: service of the replica
 * @replica: replica
 *
 * Sends a health request on a new connection, which then stays open for later
 * requests. Does nothing while the replica has calls in progress, is not usable
 * or has enough open connections.
 */
void upstream_warm_connection(upstream_context_t *context,
			      medlar_replica_t *replica)
{
	medlar_time_t now = context->upstream->http->loop->now;
	http_pool_t *pool = upstream_pool(context, replica);
	const http_request_t request = {
		.method = "GET",
		.path = "/v1/health",
		.deadline = now + SHORT_CALL_MAX,
		.silence = context->policy->silence,
		.reply_max = context->upstream->reply_max,
		.new_connection = true,
		.done = ignore_reply,
	};

	if (!pool || pool->calls_active > 0 ||
	    pool->connections_open >= warm_connections(replica) ||
	    !medlar_replica_usable(replica, now))
		return;
	(void)http_call_start(pool, &request, NULL);
}
