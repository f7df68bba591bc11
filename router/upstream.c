/**
 * DOC: connections to replicas
 */
#include <stdlib.h>

#include "router/upstream_internal.h"

#define REPLY_HEAD_BYTES_MAX ((size_t)64 * 1024)
/* Replicas that send without end must not use up the memory of the process. */
#define REPLY_MEMORY_BYTES_MAX ((size_t)64 << 20)
/* A replica is unreachable if a connection takes longer to open. */
#define CONNECT_TIMEOUT_MS 250
#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503
/* How long the reply to a cancelled attempt is awaited before the close. */
#define CANCELLED_REPLY_MAX_MS 300
#define CANCELLED_REPLY_NON_IDEMPOTENT_MAX_MS 3000

/**
 * upstream_init() - initialise without connections
 * @upstream: uninitialised memory
 * @loop: event loop
 * @stats: counters
 * @body_max: most bytes of the body of a reply
 * @events: callbacks
 * @data: passed to @events
 */
void upstream_init(upstream_t *upstream, loop_t *loop, stats_t *stats,
		   size_t body_max, const upstream_events_t *events, void *data)
{
	*upstream = (upstream_t){ .loop = loop,
				  .stats = stats,
				  .events = events,
				  .data = data,
				  .body_max = body_max,
				  .reply_memory = {
					  .max = REPLY_MEMORY_BYTES_MAX } };
	TAILQ_INIT(&upstream->open_conns);
	TAILQ_INIT(&upstream->closed_conns);
}

static void end_attempt(upstream_conn_t *conn, const exchange_reply_t *reply,
			inflight_end_t how)
{
	upstream_t *upstream = conn->upstream;
	medlar_time_t now = upstream->loop->now;
	attempt_t *attempt = conn->attempt;

	conn->attempt = NULL;
	if (conn->inflight.replica)
		inflight_end(&conn->inflight, how, now);
	upstream->stats->outcomes[reply->outcome]++;
	if (attempt)
		exchange_end_attempt(attempt, reply, now);
}

static bool is_success_status(unsigned status)
{
	return status >= 200 && status < 300;
}

/* Clients take these statuses to mean that the request was not run. */
static bool is_not_run_status(unsigned status)
{
	return status == 408 || status == STATUS_MISDIRECTED || status == 429 ||
	       status == STATUS_UNAVAILABLE;
}

/* Checks whether the reply repeats the id of the request. */
static bool reply_matches_request(const upstream_conn_t *conn)
{
	return !conn->request_id.error &&
	       medlar_str_equal(conn->reply_head.request_id,
				medlar_buf_str(&conn->request_id));
}

static outcome_t classify_reply(const upstream_conn_t *conn, unsigned status)
{
	const reply_head_t *head = &conn->reply_head;

	if (status == STATUS_MISDIRECTED)
		return OUTCOME_OTHER_REPLICA;
	if (head->not_run)
		return OUTCOME_REFUSED;
	if (!reply_matches_request(conn) || head->encoded ||
	    (is_success_status(status) && !head->signature.len))
		return OUTCOME_LOST;
	if (is_success_status(status))
		return OUTCOME_OK;
	if (conn->attempt &&
	    conn->attempt->exchange->route->form == ROUTE_SHARDS)
		return OUTCOME_FAILED;
	return status < 500 && !is_not_run_status(status) ? OUTCOME_OK
							  : OUTCOME_FAILED;
}

static void handle_reply(upstream_conn_t *conn)
{
	const h1_message_t *message = &conn->client.parser.message;
	medlar_time_t now = conn->upstream->loop->now;
	exchange_reply_t reply = { .body = medlar_buf_str(&message->body),
				   .message = message };
	const reply_head_t *head = &conn->reply_head;

	reply.signature = head->signature;
	reply.outcome = classify_reply(conn, message->status);
	if (reply.outcome == OUTCOME_LOST || is_not_run_status(message->status))
		reply.message = NULL;
	if (head->idle_timeout)
		conn->client.peer_idle_timeout = head->idle_timeout;
	if (head->has_load)
		replica_report_load(conn->replica, head->load, now);
	if (reply.outcome == OUTCOME_OTHER_REPLICA)
		replica_drain(conn->replica);
	end_attempt(conn, &reply, outcome_inflight_end(reply.outcome));
}

static int open_conn(upstream_t *upstream, replica_t *replica,
		     attempt_t *attempt);

static void report_crash(upstream_conn_t *conn, uint64_t fingerprint)
{
	if (fingerprint)
		conn->upstream->events->crash(fingerprint, conn->replica,
					      conn->upstream->data);
}

/* Checks whether the end of a connection indicates a crash of the replica. */
static void check_for_crash(upstream_conn_t *conn, h1_end_t end)
{
	crash_detector_t *crash = &conn->replica->crash;
	medlar_time_t now = conn->upstream->loop->now;

	if (end == H1_END_BROKEN) {
		report_crash(conn, crash_on_request_broken(
					   crash, conn->fingerprint, now));
		conn->needs_probe = crash->fingerprint != 0;
	} else if (!conn->client.reused) {
		report_crash(conn, crash_on_connect_refused(crash, now));
	}
}

static void report_bad_status(const upstream_conn_t *conn)
{
	const upstream_t *upstream = conn->upstream;

	if (conn->client.parser.error != H1_BAD_STATUS)
		return;
	upstream->stats->counts[STAT_BAD_STATUSES]++;
	upstream->events->bad_status(
		conn->replica, h1_parser_status_code(&conn->client.parser),
		upstream->data);
}

static void on_done(h1_client_t *client, h1_end_t end, void *data)
{
	upstream_conn_t *conn = data;
	exchange_reply_t reply = { .outcome = OUTCOME_LOST };

	if (end == H1_END_REPLY) {
		handle_reply(conn);
		if (client->state == H1_IDLE)
			upstream_conn_release(conn);
		else
			upstream_conn_close(conn);
		return;
	}
	report_bad_status(conn);
	check_for_crash(conn, end);
	if (!client->reused)
		replica_limit_conns(conn->replica, client->loop->now);
	if (end == H1_END_NOT_SENT)
		reply.outcome = OUTCOME_NOT_SENT;
	if (client->reused && end == H1_END_NOT_SENT)
		end_attempt(conn, &reply, INFLIGHT_IGNORED);
	else
		end_attempt(conn, &reply, outcome_inflight_end(reply.outcome));
	if (conn->needs_probe && !conn->replica->removed)
		(void)open_conn(conn->upstream, conn->replica, NULL);
	upstream_conn_close(conn);
}

static void on_idle_closed(h1_client_t *client, void *data)
{
	upstream_conn_t *conn = data;
	const exchange_reply_t reply = { .outcome = OUTCOME_NOT_SENT };

	(void)client;
	report_crash(conn, crash_on_idle_closed(&conn->replica->crash,
						conn->upstream->loop->now));
	if (conn->attempt)
		end_attempt(conn, &reply, INFLIGHT_IGNORED);
	upstream_conn_close(conn);
}

/*
 * Status 421 comes from another replica at the address: what it says of itself is
 * not said of the one that was expected.
 */
static void note_availability(const upstream_conn_t *conn, unsigned status)
{
	const reply_head_t *head = &conn->reply_head;
	medlar_time_t now = conn->upstream->loop->now;

	if (status == STATUS_MISDIRECTED)
		return;
	if (head->leaving)
		replica_announce_leaving(conn->replica, now);
	if (status == STATUS_UNAVAILABLE && head->retry_after)
		replica_hold(conn->replica, head->retry_after, now);
}

/* A stray reply does not tell when it was sent, and status 421 who sent it. */
static void note_limit(const upstream_conn_t *conn, unsigned status)
{
	const reply_head_t *head = &conn->reply_head;
	medlar_time_t sent_at = conn->inflight.sent;
	medlar_time_t now = conn->upstream->loop->now;

	if (status == STATUS_MISDIRECTED)
		return;
	if (head->has_limit)
		replica_name_limit(conn->replica, head->limit, sent_at, now);
	else if (head->limit_malformed)
		replica_reject_limit(conn->replica);
	else if (reply_matches_request(conn))
		replica_name_no_limit(conn->replica, sent_at, now);
}

static bool on_reply_received(h1_client_t *client, void *data)
{
	upstream_conn_t *conn = data;
	unsigned status = client->parser.message.status;

	headers_parse_reply(&client->parser.message, &conn->reply_head);
	note_availability(conn, status);
	if (conn->reply_head.request_id.len == 0 ||
	    reply_matches_request(conn)) {
		note_limit(conn, status);
		return true;
	}
	conn->upstream->stats->counts[STAT_STRAY_REPLIES]++;
	return false;
}

static medlar_time_t remaining_time(const exchange_t *exchange,
				    medlar_time_t now)
{
	medlar_time_t left = exchange->deadline - now;

	return left < 1 ? 1 : left;
}

/* The replica may have announced since that it takes no requests. */
static bool give_back_unsent(upstream_conn_t *conn)
{
	const exchange_reply_t reply = { .outcome = OUTCOME_NOT_SENT };

	if (!replica_is_unavailable(conn->replica, conn->upstream->loop->now))
		return false;
	end_attempt(conn, &reply, INFLIGHT_IGNORED);
	upstream_conn_release(conn);
	return true;
}

static void send_attempt(upstream_conn_t *conn)
{
	attempt_t *attempt = conn->attempt;
	exchange_t *exchange = attempt->exchange;
	upstream_request_t *request = exchange->owner;
	medlar_time_t now = conn->upstream->loop->now;
	size_t shared_len = request->head.len;

	if (give_back_unsent(conn))
		return;
	attempt->connection = conn->number;
	conn->fingerprint = exchange->fingerprint;
	medlar_buf_reset(&conn->request_id);
	medlar_buf_add(&conn->request_id, request->id);
	headers_write_attempt(&request->head, remaining_time(exchange, now),
			      conn->replica->id, request->body.len,
			      request->has_body);
	conn->upstream->stats->counts[STAT_SENDS]++;
	if (attempt->is_extra)
		conn->upstream->stats->counts[STAT_EXTRA_SENDS]++;
	if (conn->replica->availability.limit > 0)
		conn->upstream->stats->counts[STAT_LIMITED_SENDS]++;
	h1_client_send(&conn->client, medlar_buf_str(&request->head),
		       medlar_buf_str(&request->body), request->method_is_head);
	request->head.len = shared_len;
}

static void on_ready(h1_client_t *client, void *data)
{
	upstream_conn_t *conn = data;

	(void)client;
	crash_on_connected(&conn->replica->crash, conn->upstream->loop->now);
	medlar_timer_clear(conn->upstream->loop->client, &conn->timer);
	if (conn->attempt) {
		send_attempt(conn);
		return;
	}
	inflight_end(&conn->inflight, INFLIGHT_IGNORED,
		     conn->upstream->loop->now);
	upstream_conn_release(conn);
}

static const h1_client_events_t client_events = {
	.ready = on_ready,
	.done = on_done,
	.idle_closed = on_idle_closed,
	.accepts_reply = on_reply_received,
};

/*
 * Sends an attempt on a reused connection, ends a connection attempt that took
 * too long, or stops waiting for the reply to a cancelled attempt.
 */
static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	upstream_conn_t *conn = data;
	const exchange_reply_t reply = { .outcome = OUTCOME_NOT_SENT };
	replica_t *replica = conn->replica;

	(void)client;
	(void)timer;
	if (conn->client.state == H1_IDLE && conn->attempt) {
		send_attempt(conn);
		return;
	}
	if (conn->client.state == H1_CONNECTING) {
		end_attempt(conn, &reply, INFLIGHT_UNREACHABLE);
	} else {
		inflight_end(&conn->inflight, INFLIGHT_SILENT, now);
		replica_ref(replica);
		upstream_pool_clear(replica);
		replica_unref(replica);
	}
	upstream_conn_close(conn);
}

/* If attempt is NULL, the connection only probes whether the replica is up. */
static int open_conn(upstream_t *upstream, replica_t *replica,
		     attempt_t *attempt)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { replica->info.ip },
		.sin_port = htons(replica->info.port),
	};
	const h1_limits_t limits = { REPLY_HEAD_BYTES_MAX, upstream->body_max,
				     &upstream->reply_memory };
	upstream_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return MEDLAR_ERR_NOMEM;
	if (h1_client_open(&conn->client, upstream->loop, &address, limits,
			   &client_events, conn)) {
		h1_client_finish(&conn->client);
		free(conn);
		return MEDLAR_ERR_IO;
	}
	medlar_buf_init(&conn->request_id);
	conn->number = ++upstream->conns_opened;
	conn->upstream = upstream;
	conn->replica = replica;
	conn->attempt = attempt;
	if (attempt)
		attempt->transport = conn;
	TAILQ_INSERT_TAIL(&upstream->open_conns, conn, link);
	replica_ref(replica);
	replica->conns++;
	medlar_timer_init(&conn->timer, on_timer, conn);
	inflight_begin(&conn->inflight, replica, upstream->loop->now);
	upstream->stats->counts[STAT_CONNS_OPENED]++;
	return medlar_timer_set(upstream->loop->client, &conn->timer,
				upstream->loop->now + CONNECT_TIMEOUT_MS);
}

/**
 * upstream_send_attempt() - send an attempt to its replica
 * @upstream: connections
 * @attempt: attempt to send; its transport is set
 *
 * Nothing is sent before this function returns. The end of the attempt is
 * reported by exchange_end_attempt().
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_IO or %MEDLAR_ERR_NOMEM.
 */
int upstream_send_attempt(upstream_t *upstream, attempt_t *attempt)
{
	replica_t *replica = attempt->replica;
	medlar_time_t now = upstream->loop->now;
	upstream_conn_t *conn;

	if (!upstream_pool_create(replica))
		return MEDLAR_ERR_NOMEM;
	conn = upstream_pool_take(attempt, now);
	if (!conn)
		return open_conn(upstream, replica, attempt);
	conn->attempt = attempt;
	attempt->transport = conn;
	inflight_begin(&conn->inflight, replica, now);
	upstream->stats->counts[STAT_CONNS_REUSED]++;
	(void)medlar_timer_set(upstream->loop->client, &conn->timer, now);
	return MEDLAR_OK;
}

/**
 * upstream_cancel_attempt() - cancel an attempt
 * @upstream: connections
 * @attempt: an attempt in progress; its transport is cleared
 *
 * If bytes of the request were sent, its reply is still awaited for a while.
 *
 * Return: true if no byte of the attempt was sent or will be.
 */
bool upstream_cancel_attempt(upstream_t *upstream, attempt_t *attempt)
{
	upstream_conn_t *conn = attempt->transport;
	bool is_non_idempotent = !attempt->exchange->route->idempotent;

	attempt->transport = NULL;
	conn->attempt = NULL;
	if (conn->client.state == H1_CONNECTING)
		return true;
	if (conn->client.state == H1_IDLE) {
		inflight_end(&conn->inflight, INFLIGHT_IGNORED,
			     upstream->loop->now);
		upstream_conn_release(conn);
		return true;
	}
	(void)medlar_timer_set(
		upstream->loop->client, &conn->timer,
		upstream->loop->now +
			(is_non_idempotent
				 ? CANCELLED_REPLY_NON_IDEMPOTENT_MAX_MS
				 : CANCELLED_REPLY_MAX_MS));
	return false;
}

/**
 * upstream_finish() - close and free all connections
 * @upstream: connections; no exchange may be in progress
 */
void upstream_finish(upstream_t *upstream)
{
	upstream_conn_t *conn;
	upstream_conn_t *next;

	for (conn = TAILQ_FIRST(&upstream->open_conns); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		upstream_conn_close(conn);
	}
	upstream_free_closed(upstream);
}
