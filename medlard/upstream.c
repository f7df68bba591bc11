/**
 * DOC: requests to upstreams
 */
#include <inttypes.h>
#include <json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/upstream.h"

#define NUMBER_MAX 24
#define RANGE_TEXT_MAX 48

/* How long a reply may come after the deadline of its request. */
#define DRAIN_MAX (5 * MEDLAR_SECOND)
#define CANCEL_MAX (1 * MEDLAR_SECOND)

/* Idle connections that are kept open to a replica. */
#define WARM_MAX 2

/* How long retries use new connections after one was found silent. */
#define DISTRUST_TIME (10 * MEDLAR_SECOND)

/**
 * struct pending - an attempt under way
 * @link: service that it belongs to
 * @attempt: the attempt; valid until its end is reported
 * @call: its HTTP call
 * @wire: headers of the reply
 * @cancelled: the core does not need the reply
 */
typedef struct pending {
	upstream_link_t *link;
	medlar_attempt_t *attempt;
	http_call_t *call;
	wire_t wire;
	bool cancelled;
} pending_t;

static const char *const kind_names[] = {
	[MEDLAR_KIND_SEARCH] = "search",
	[MEDLAR_KIND_LOOKUP] = "lookup",
	[MEDLAR_KIND_WRITE] = "write",
};

static const medlar_fault_t faults[] = {
	[HTTP_REPLY] = MEDLAR_FAULT_MALFORMED,
	[HTTP_REFUSED] = MEDLAR_FAULT_REFUSED,
	[HTTP_UNSENT] = MEDLAR_FAULT_UNSENT,
	[HTTP_RESET] = MEDLAR_FAULT_RESET,
	[HTTP_SILENT] = MEDLAR_FAULT_SILENT,
	[HTTP_MALFORMED] = MEDLAR_FAULT_MALFORMED,
	[HTTP_DROPPED] = MEDLAR_FAULT_RESET,
};

/**
 * upstream_peer() - the connections of a replica
 * @link: service of the replica
 * @replica: replica
 *
 * Return: the peer with the limit now in force, or NULL without memory.
 */
http_peer_t *upstream_peer(upstream_link_t *link, medlar_replica_t *replica)
{
	const medlar_replica_info_t *info = medlar_replica_info(replica);
	uint32_t limit = medlar_replica_share(replica).connections;
	medlar_time_t idle_max = link->policy->idle_max;
	http_peer_t *peer = medlar_replica_data(replica);

	if (!peer) {
		peer = http_peer_new(link->upstream->http, info->host,
				     info->port, limit, idle_max);
		medlar_replica_set_data(replica, peer);
	} else if (peer->limit != limit || peer->idle_max != idle_max) {
		http_peer_set_limit(peer, limit, idle_max);
	}
	return peer;
}

/**
 * upstream_adjust() - bring the bounds of a replica's connections up to date
 * @link: service of the replica
 * @replica: replica
 */
void upstream_adjust(upstream_link_t *link, medlar_replica_t *replica)
{
	const medlar_replica_info_t *info = medlar_replica_info(replica);
	http_peer_t *peer = medlar_replica_data(replica);

	if (peer &&
	    (strcmp(peer->host, info->host) != 0 || peer->port != info->port))
		upstream_forget(replica);
	else if (peer)
		(void)upstream_peer(link, replica);
}

/**
 * upstream_forget() - close the connections of a replica once unused
 * @replica: replica
 */
void upstream_forget(medlar_replica_t *replica)
{
	http_peer_t *peer = medlar_replica_data(replica);

	if (!peer)
		return;
	medlar_replica_set_data(replica, NULL);
	http_peer_release(peer);
}

/**
 * upstream_init() - prepare the upstream side of a worker
 * @upstream: memory of the caller
 * @http: HTTP client of the worker
 * @client: client of the worker
 * @metrics: counters of the worker
 * @reply_max: longest reply accepted, bytes
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int upstream_init(upstream_t *upstream, http_t *http, medlar_client_t *client,
		  metrics_t *metrics, size_t reply_max)
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
 * upstream_finish() - release the upstream side of a worker
 * @upstream: upstream side
 */
void upstream_finish(upstream_t *upstream)
{
	json_tokener_free(upstream->tokener);
	upstream->tokener = NULL;
}

/**
 * upstream_is_json() - tell whether a reply can be part of an answer
 * @upstream: upstream side of the calling worker
 * @text: body of the reply
 *
 * Return: true for exactly one JSON value.
 */
bool upstream_is_json(upstream_t *upstream, medlar_str_t text)
{
	struct json_tokener *tokener = upstream->tokener;
	struct json_object *value;

	if (text.len == 0 || text.len > INT32_MAX)
		return false;
	json_tokener_reset(tokener);
	value = json_tokener_parse_ex(tokener, text.ptr, (int)text.len);
	/* A number at the top level ends only with the text. */
	if (json_tokener_get_error(tokener) == json_tokener_continue)
		value = json_tokener_parse_ex(tokener, "", 1);
	json_object_put(value);
	return json_tokener_get_error(tokener) == json_tokener_success;
}

static bool is_usable(const pending_t *pending, const http_reply_t *reply)
{
	if (reply->end != HTTP_REPLY || pending->wire.bad)
		return false;
	return pending->wire.reply.status != MEDLAR_REPLY_OK ||
	       pending->cancelled ||
	       upstream_is_json(pending->link->upstream, reply->body);
}

/* A connection that carries replies to something else is out of step. */
static bool is_echo(const pending_t *pending)
{
	const medlar_reply_t *reply = &pending->wire.reply;

	return memcmp(reply->id, medlar_attempt_id(pending->attempt),
		      sizeof(reply->id)) == 0;
}

static medlar_fault_t fault_of(const pending_t *pending, http_end_t end)
{
	if (end == HTTP_UNSENT && pending->cancelled)
		return MEDLAR_FAULT_CANCELLED;
	return faults[end];
}

static void on_header(medlar_str_t name, medlar_str_t value, void *data)
{
	pending_t *pending = data;

	wire_header(name, value, &pending->wire);
}

static void note_silent(upstream_link_t *link)
{
	metrics_add(link->upstream->metrics, METRIC_UPSTREAM_SILENT, 1);
	link->silent_at = link->upstream->http->loop->now;
}

/* After a silent connection, a retry does not trust an idle one. */
static bool needs_fresh(const pending_t *pending, medlar_time_t now)
{
	medlar_time_t silent_at = pending->link->silent_at;

	return silent_at > 0 && now - silent_at < DISTRUST_TIME &&
	       medlar_attempt_kind(pending->attempt) == MEDLAR_ATTEMPT_RETRY;
}

static void on_done(http_call_t *call, const http_reply_t *reply, void *data)
{
	pending_t *pending = data;
	upstream_t *upstream;
	medlar_time_t now;

	/* The service is gone by then. */
	if (reply->end == HTTP_DROPPED) {
		free(pending);
		return;
	}
	upstream = pending->link->upstream;
	now = upstream->http->loop->now;
	if (reply->end == HTTP_REPLY)
		wire_finish(&pending->wire, reply->status, reply->body);
	if (is_usable(pending, reply)) {
		metrics_add(upstream->metrics, METRIC_UPSTREAM_REPLIES, 1);
		if (!is_echo(pending))
			http_close_connection(call);
		if (medlar_attempt_reply(upstream->client, pending->attempt,
					 &pending->wire.reply, now))
			http_close_connection(call);
	} else {
		metrics_add(upstream->metrics, METRIC_UPSTREAM_FAULTS, 1);
		if (reply->end == HTTP_SILENT)
			note_silent(pending->link);
		if (reply->end == HTTP_REPLY)
			http_close_connection(call);
		medlar_attempt_fail(upstream->client, pending->attempt,
				    fault_of(pending, reply->end), now);
	}
	free(pending);
}

/**
 * struct head - the headers of a query with room for their values
 * @items: the headers
 * @id: text of the request id
 * @deadline: text of the time left
 * @version: text of the version
 * @epoch: text of the epoch
 * @range: text of the range
 */
typedef struct head {
	http_header_t items[HTTP_HEADERS_MAX];
	char id[WIRE_ID_TEXT_LEN + 1];
	char deadline[NUMBER_MAX];
	char version[NUMBER_MAX];
	char epoch[NUMBER_MAX];
	char range[RANGE_TEXT_MAX];
} head_t;

static size_t write_head(head_t *head, const medlar_attempt_t *attempt,
			 medlar_time_t now)
{
	const medlar_query_t *query = medlar_attempt_query(attempt);
	medlar_range_t range = medlar_attempt_range(attempt);
	medlar_time_t left = medlar_attempt_deadline(attempt) - now;
	const char *kind = kind_names[medlar_query_params(query)->kind];

	wire_id_text(medlar_attempt_id(attempt), head->id);
	snprintf(head->deadline, sizeof(head->deadline), "%" PRId64,
		 left > 0 ? left : 0);
	snprintf(head->version, sizeof(head->version), "%" PRIu32,
		 medlar_attempt_version(attempt));
	snprintf(head->epoch, sizeof(head->epoch), "%" PRIu64,
		 medlar_query_answer(query)->epoch);
	snprintf(head->range, sizeof(head->range), "%" PRIu64 "-%" PRIu64,
		 range.lo, range.hi);
	head->items[0] = (http_header_t){ "Medlar-Request-Id",
					  medlar_str_from(head->id) };
	head->items[1] = (http_header_t){ "Medlar-Kind",
					  medlar_str_from(kind) };
	head->items[2] = (http_header_t){ "Medlar-Deadline-Ms",
					  medlar_str_from(head->deadline) };
	head->items[3] = (http_header_t){ "Medlar-Version",
					  medlar_str_from(head->version) };
	head->items[4] = (http_header_t){ "Medlar-Epoch",
					  medlar_str_from(head->epoch) };
	head->items[5] = (http_header_t){ "Medlar-Range",
					  medlar_str_from(head->range) };
	return 6;
}

static void fail_soon(medlar_client_t *client, medlar_timer_t *timer,
		      medlar_time_t now, void *data)
{
	medlar_attempt_t *attempt = data;

	free(timer);
	medlar_attempt_fail(client, attempt, MEDLAR_FAULT_UNSENT, now);
}

/* Reports that an attempt was not sent, but not from within the action. */
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
	medlar_timer_init(timer, fail_soon, attempt);
	if (medlar_timer_set(upstream->client, timer, now))
		fail_soon(upstream->client, timer, now, attempt);
}

static int start(pending_t *pending, http_peer_t *peer, medlar_time_t now)
{
	medlar_attempt_t *attempt = pending->attempt;
	const medlar_query_t *query = medlar_attempt_query(attempt);
	head_t head;
	const http_request_t request = {
		.method = "POST",
		.path = "/v1/query",
		.headers = head.items,
		.headers_len = write_head(&head, attempt, now),
		.body = medlar_query_params(query)->body,
		.until = medlar_attempt_deadline(attempt) + DRAIN_MAX,
		.silence = pending->link->policy->silence,
		.reply_max = pending->link->upstream->reply_max,
		.fresh = needs_fresh(pending, now),
		.on_header = on_header,
		.done = on_done,
		.data = pending,
	};

	return http_start(peer, &request, &pending->call);
}

/**
 * upstream_send() - send an attempt; see &medlar_service_ops_t
 * @attempt: attempt
 * @link: its service
 */
void upstream_send(medlar_attempt_t *attempt, upstream_link_t *link)
{
	upstream_t *upstream = link->upstream;
	medlar_replica_t *replica = medlar_attempt_replica(attempt);
	http_peer_t *peer = upstream_peer(link, replica);
	pending_t *pending = calloc(1, sizeof(*pending));

	metrics_add(upstream->metrics, METRIC_UPSTREAM_SENDS, 1);
	if (!pending || !peer) {
		free(pending);
		fail_later(upstream, attempt);
		return;
	}
	pending->link = link;
	pending->attempt = attempt;
	wire_init(&pending->wire);
	medlar_attempt_set_data(attempt, pending);
	if (start(pending, peer, upstream->http->loop->now)) {
		free(pending);
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

static void send_cancel(upstream_link_t *link, medlar_attempt_t *attempt)
{
	upstream_t *upstream = link->upstream;
	char id[WIRE_ID_TEXT_LEN + 1];
	const http_header_t header = { "Medlar-Request-Id",
				       { id, WIRE_ID_TEXT_LEN } };
	const http_request_t request = {
		.method = "POST",
		.path = "/v1/cancel",
		.headers = &header,
		.headers_len = 1,
		.until = upstream->http->loop->now + CANCEL_MAX,
		.silence = link->policy->silence,
		.reply_max = upstream->reply_max,
		.done = ignore_reply,
	};
	http_peer_t *peer = upstream_peer(link,
					  medlar_attempt_replica(attempt));

	wire_id_text(medlar_attempt_id(attempt), id);
	if (!peer || http_start(peer, &request, NULL))
		return;
	metrics_add(upstream->metrics, METRIC_UPSTREAM_CANCELS, 1);
}

/**
 * upstream_cancel() - cancel an attempt; see &medlar_service_ops_t
 * @attempt: attempt; its end is still reported
 * @link: its service
 *
 * The reply is awaited, so that the connection can be used again. An attempt
 * that has not been sent ends at once.
 */
void upstream_cancel(medlar_attempt_t *attempt, upstream_link_t *link)
{
	pending_t *pending = medlar_attempt_data(attempt);

	if (!pending || pending->cancelled)
		return;
	pending->cancelled = true;
	if (http_is_sent(pending->call))
		send_cancel(link, attempt);
	else
		http_give_up(pending->call);
}

static uint32_t warm_wanted(const medlar_replica_t *replica)
{
	medlar_share_t share = medlar_replica_share(replica);
	uint32_t wanted = share.slots < share.connections ? share.slots
							  : share.connections;

	return wanted < WARM_MAX ? wanted : WARM_MAX;
}

/**
 * upstream_warm() - open a connection ahead of need
 * @link: service of the replica
 * @replica: replica
 *
 * Asks for the health of the replica on a new connection, which then stays
 * open for requests. Does nothing while the replica is busy, is not used, or
 * has enough open connections.
 */
void upstream_warm(upstream_link_t *link, medlar_replica_t *replica)
{
	medlar_time_t now = link->upstream->http->loop->now;
	http_peer_t *peer = upstream_peer(link, replica);
	const http_request_t request = {
		.method = "GET",
		.path = "/v1/health",
		.until = now + CANCEL_MAX,
		.silence = link->policy->silence,
		.reply_max = link->upstream->reply_max,
		.fresh = true,
		.done = ignore_reply,
	};

	if (!peer || peer->busy > 0 || peer->open >= warm_wanted(replica) ||
	    !medlar_replica_usable(replica, now))
		return;
	(void)http_start(peer, &request, NULL);
}
