/**
 * DOC: connections to replicas
 */
#include <stdlib.h>
#include <string.h>

#include "platform/headers.h"
#include "router/upstream.h"

#define REPLY_HEAD_MAX ((size_t)64 * 1024)
/* A connection that takes longer to open leads nowhere, ms. */
#define CONNECT_MAX 250
/* How long an attempt that nobody waits for may still take, ms. */
#define LINGER_MAX 300
#define LINGER_ONCE_MAX 3000
/* A replica that tells no time keeps an idle connection less than a second. */
#define KEEP_UNTOLD 800
/* Time before the end of a kept connection at which it is left alone, ms. */
#define KEEP_MARGIN ((medlar_time_t)300)
/* Idle time after which a request that may run only once needs a new one. */
#define KEEP_ONCE 250

typedef struct upstream_conn upstream_conn_t;

/*
 * A connection to a replica. The attempt is NULL when nobody waits; the
 * flight is under way as long as the replica owes a reply.
 */
struct upstream_conn {
	TAILQ_ENTRY(upstream_conn) link; /* in open or closed */
	TAILQ_ENTRY(upstream_conn) resting; /* in the pool of the replica */
	h1_client_t client;
	upstream_t *upstream;
	replica_t *replica;
	attempt_t *attempt;
	flight_t flight;
	medlar_timer_t timer;
	uint64_t fingerprint;
	reply_head_t head; /* of the last reply, until the next request */
	char id[64];
	size_t id_len;
	bool idle;
	bool broke;
};

/* Idle connections, the most recently used one first. */
typedef struct pool {
	struct upstream_conn_list idle;
} pool_t;

/**
 * upstream_init() - start without connections
 * @upstream: memory of the caller
 * @loop: loop that serves them
 * @stats: counters
 * @body_max: the longest reply that is accepted, bytes
 * @on_crash: told a request that made a replica crash
 * @data: passed to @on_crash
 */
void upstream_init(upstream_t *upstream, loop_t *loop, stats_t *stats,
		   size_t body_max,
		   void (*on_crash)(uint64_t, const replica_t *, void *),
		   void *data)
{
	*upstream = (upstream_t){ .loop = loop,
				  .stats = stats,
				  .on_crash = on_crash,
				  .data = data,
				  .body_max = body_max };
	TAILQ_INIT(&upstream->open);
	TAILQ_INIT(&upstream->closed);
}

/**
 * upstream_turn() - free what was closed in this turn of the loop
 * @data: the upstream; the type fits a loop hook
 */
void upstream_turn(void *data)
{
	upstream_t *upstream = data;
	upstream_conn_t *conn;

	while ((conn = TAILQ_FIRST(&upstream->closed))) {
		TAILQ_REMOVE(&upstream->closed, conn, link);
		h1_client_finish(&conn->client);
		replica_release(conn->replica);
		free(conn);
	}
}

static void leave_pool(upstream_conn_t *conn)
{
	pool_t *pool = conn->replica->pool;

	if (!conn->idle)
		return;
	TAILQ_REMOVE(&pool->idle, conn, resting);
	conn->idle = false;
	conn->replica->conns_idle--;
}

static void enter_pool(upstream_conn_t *conn)
{
	pool_t *pool = conn->replica->pool;

	TAILQ_INSERT_HEAD(&pool->idle, conn, resting);
	conn->idle = true;
	conn->replica->conns_idle++;
}

static void dispose(upstream_conn_t *conn)
{
	upstream_t *upstream = conn->upstream;

	leave_pool(conn);
	if (conn->flight.replica)
		flight_end(&conn->flight, FLIGHT_FORGOTTEN,
			   upstream->loop->now);
	medlar_timer_clear(upstream->loop->client, &conn->timer);
	h1_client_close(&conn->client);
	conn->replica->conns--;
	TAILQ_REMOVE(&upstream->open, conn, link);
	TAILQ_INSERT_TAIL(&upstream->closed, conn, link);
}

static void close_idle(replica_t *replica)
{
	pool_t *pool = replica->pool;

	while (pool && !TAILQ_EMPTY(&pool->idle))
		dispose(TAILQ_FIRST(&pool->idle));
}

static medlar_time_t kept_for(const upstream_conn_t *conn)
{
	medlar_time_t keep = conn->client.idle_max;

	if (keep == 0)
		return KEEP_UNTOLD;
	return keep > 2 * KEEP_MARGIN ? keep - KEEP_MARGIN : keep / 2;
}

static void rest(upstream_conn_t *conn)
{
	medlar_timer_clear(conn->upstream->loop->client, &conn->timer);
	if (conn->replica->removed)
		dispose(conn);
	else
		enter_pool(conn);
}

static void report(upstream_conn_t *conn, const exchange_reply_t *reply,
		   flight_end_t how)
{
	upstream_t *upstream = conn->upstream;
	medlar_time_t now = upstream->loop->now;
	attempt_t *attempt = conn->attempt;

	conn->attempt = NULL;
	if (conn->flight.replica)
		flight_end(&conn->flight, how, now);
	upstream->stats->outcomes[reply->outcome]++;
	if (attempt)
		exchange_end(attempt, reply, now);
}

static bool is_success(unsigned status)
{
	return status >= 200 && status < 300;
}

/* A caller takes these for a promise that the request has not run. */
static bool promises_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Tells whether a reply names the request of its connection. */
static bool is_mine(const upstream_conn_t *conn)
{
	return medlar_str_equal(conn->head.request_id,
				(medlar_str_t){ conn->id, conn->id_len });
}

static outcome_t judge(const upstream_conn_t *conn, unsigned status)
{
	const reply_head_t *head = &conn->head;

	if (status == 421)
		return OUTCOME_ELSEWHERE;
	if (head->not_run)
		return OUTCOME_REFUSED;
	if (!is_mine(conn) || head->encoded ||
	    (is_success(status) && !head->proof.len))
		return OUTCOME_LOST;
	if (is_success(status))
		return OUTCOME_OK;
	if (conn->attempt &&
	    conn->attempt->exchange->route->form == ROUTE_SHARDS)
		return OUTCOME_FAILED;
	return status < 500 && !promises_not_run(status) ? OUTCOME_OK
							 : OUTCOME_FAILED;
}

static void take_reply(upstream_conn_t *conn)
{
	const h1_message_t *message = &conn->client.parser.message;
	medlar_time_t now = conn->upstream->loop->now;
	exchange_reply_t reply = { .body = medlar_buf_str(&message->body),
				   .message = message };
	const reply_head_t *head = &conn->head;

	reply.proof = head->proof;
	reply.outcome = judge(conn, message->status);
	if (reply.outcome == OUTCOME_LOST || promises_not_run(message->status))
		reply.message = NULL;
	if (head->keep_for)
		conn->client.idle_max = head->keep_for;
	if (head->has_load)
		replica_report_load(conn->replica, head->load, now);
	if (reply.outcome == OUTCOME_ELSEWHERE)
		replica_drain(conn->replica);
	report(conn, &reply, outcome_flight(reply.outcome));
}

static int open_conn(upstream_t *upstream, replica_t *replica,
		     attempt_t *attempt);

static void blame(upstream_conn_t *conn, uint64_t fingerprint)
{
	if (fingerprint)
		conn->upstream->on_crash(fingerprint, conn->replica,
					 conn->upstream->data);
}

/* Looks for the signs of a crash in the end of a connection. */
static void examine(upstream_conn_t *conn, h1_end_t end)
{
	crash_t *crash = &conn->replica->crash;
	medlar_time_t now = conn->upstream->loop->now;

	if (end == H1_END_BROKEN) {
		blame(conn, crash_broke(crash, conn->fingerprint, now));
		conn->broke = crash->fingerprint != 0;
	} else if (!conn->client.reused) {
		blame(conn, crash_refused(crash, now));
	}
}

static void on_done(h1_client_t *client, h1_end_t end, void *data)
{
	upstream_conn_t *conn = data;
	exchange_reply_t reply = { .outcome = OUTCOME_LOST };

	if (end == H1_END_REPLY) {
		take_reply(conn);
		if (client->state == H1_IDLE)
			rest(conn);
		else
			dispose(conn);
		return;
	}
	examine(conn, end);
	if (end == H1_END_NOT_SENT)
		reply.outcome = OUTCOME_NOT_SENT;
	if (client->reused && end == H1_END_NOT_SENT)
		report(conn, &reply, FLIGHT_FORGOTTEN);
	else
		report(conn, &reply, outcome_flight(reply.outcome));
	if (conn->broke && !conn->replica->removed)
		(void)open_conn(conn->upstream, conn->replica, NULL);
	dispose(conn);
}

static void on_lost(h1_client_t *client, void *data)
{
	upstream_conn_t *conn = data;
	const exchange_reply_t reply = { .outcome = OUTCOME_NOT_SENT };

	(void)client;
	blame(conn,
	      crash_lost(&conn->replica->crash, conn->upstream->loop->now));
	if (conn->attempt)
		report(conn, &reply, FLIGHT_FORGOTTEN);
	dispose(conn);
}

static bool on_wanted(h1_client_t *client, void *data)
{
	upstream_conn_t *conn = data;

	headers_read_reply(&client->parser.message, &conn->head);
	if (conn->head.request_id.len == 0 || is_mine(conn))
		return true;
	conn->upstream->stats->counts[STAT_STRAY_REPLIES]++;
	return false;
}

static medlar_time_t time_left(const exchange_t *exchange, medlar_time_t now)
{
	medlar_time_t left = exchange->deadline - now;

	return left < 1 ? 1 : left;
}

static void transmit(upstream_conn_t *conn)
{
	attempt_t *attempt = conn->attempt;
	exchange_t *exchange = attempt->exchange;
	upstream_request_t *request = exchange->owner;
	medlar_time_t now = conn->upstream->loop->now;
	size_t shared = request->head.len;

	conn->fingerprint = exchange->fingerprint;
	conn->id_len = request->id.len < sizeof(conn->id) ? request->id.len
							  : sizeof(conn->id);
	if (conn->id_len)
		memcpy(conn->id, request->id.ptr, conn->id_len);
	headers_write_attempt(&request->head, time_left(exchange, now),
			      conn->replica->id, request->body.len,
			      request->has_body);
	conn->upstream->stats->counts[STAT_SENDS]++;
	if (attempt->extra)
		conn->upstream->stats->counts[STAT_EXTRA_SENDS]++;
	h1_client_send(&conn->client, medlar_buf_str(&request->head),
		       medlar_buf_str(&request->body), request->to_head);
	request->head.len = shared;
}

static void on_ready(h1_client_t *client, void *data)
{
	upstream_conn_t *conn = data;

	(void)client;
	crash_connected(&conn->replica->crash, conn->upstream->loop->now);
	medlar_timer_clear(conn->upstream->loop->client, &conn->timer);
	if (conn->attempt) {
		transmit(conn);
		return;
	}
	flight_end(&conn->flight, FLIGHT_FORGOTTEN, conn->upstream->loop->now);
	rest(conn);
}

static const h1_client_events_t events = {
	.ready = on_ready,
	.done = on_done,
	.lost = on_lost,
	.wanted = on_wanted,
};

/*
 * A kept connection starts to send, a connection did not open, or an
 * abandoned attempt takes too long.
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
		transmit(conn);
		return;
	}
	if (conn->client.state == H1_CONNECTING) {
		report(conn, &reply, FLIGHT_UNREACHABLE);
	} else {
		flight_end(&conn->flight, FLIGHT_SILENT, now);
		replica_hold(replica);
		close_idle(replica);
		replica_release(replica);
	}
	dispose(conn);
}

static pool_t *pool_of(replica_t *replica)
{
	pool_t *pool = replica->pool;

	if (pool)
		return pool;
	pool = calloc(1, sizeof(*pool));
	if (pool) {
		TAILQ_INIT(&pool->idle);
		replica->pool = pool;
	}
	return pool;
}

/* Without an attempt the connection is opened to see whether it can be. */
static int open_conn(upstream_t *upstream, replica_t *replica,
		     attempt_t *attempt)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { replica->info.ip },
		.sin_port = htons(replica->info.port),
	};
	const h1_limits_t limits = { REPLY_HEAD_MAX, upstream->body_max };
	upstream_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return MEDLAR_ERR_NOMEM;
	if (h1_client_open(&conn->client, upstream->loop, &address, limits,
			   &events, conn)) {
		h1_client_finish(&conn->client);
		free(conn);
		return MEDLAR_ERR_IO;
	}
	conn->upstream = upstream;
	conn->replica = replica;
	conn->attempt = attempt;
	if (attempt)
		attempt->io = conn;
	TAILQ_INSERT_TAIL(&upstream->open, conn, link);
	replica_hold(replica);
	replica->conns++;
	medlar_timer_init(&conn->timer, on_timer, conn);
	flight_begin(&conn->flight, replica, upstream->loop->now);
	upstream->stats->counts[STAT_CONNS_OPENED]++;
	return medlar_timer_set(upstream->loop->client, &conn->timer,
				upstream->loop->now + CONNECT_MAX);
}

static upstream_conn_t *take_idle(replica_t *replica, bool once,
				  medlar_time_t now)
{
	pool_t *pool = replica->pool;
	upstream_conn_t *conn = TAILQ_FIRST(&pool->idle);
	medlar_time_t idle;

	if (!conn)
		return NULL;
	idle = now - conn->client.idle_since;
	if (idle >= kept_for(conn)) {
		close_idle(replica);
		return NULL;
	}
	if (once && idle > KEEP_ONCE) {
		dispose(conn);
		return NULL;
	}
	leave_pool(conn);
	return conn;
}

/**
 * upstream_send() - send an attempt
 * @upstream: connections
 * @attempt: its io is set; bytes leave at the end of the turn, and the end is
 *	told by exchange_end() after this function has returned
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_IO or %MEDLAR_ERR_NOMEM.
 */
int upstream_send(upstream_t *upstream, attempt_t *attempt)
{
	replica_t *replica = attempt->replica;
	medlar_time_t now = upstream->loop->now;
	bool once = !attempt->exchange->route->idempotent;
	upstream_conn_t *conn;

	if (!pool_of(replica))
		return MEDLAR_ERR_NOMEM;
	conn = take_idle(replica, once, now);
	if (!conn)
		return open_conn(upstream, replica, attempt);
	conn->attempt = attempt;
	attempt->io = conn;
	flight_begin(&conn->flight, replica, now);
	upstream->stats->counts[STAT_CONNS_REUSED]++;
	(void)medlar_timer_set(upstream->loop->client, &conn->timer, now);
	return MEDLAR_OK;
}

/**
 * upstream_drop() - nobody waits for an attempt any more
 * @upstream: connections
 * @attempt: an attempt under way; its io is cleared
 *
 * Return: whether no byte of it was sent, nor will be.
 */
bool upstream_drop(upstream_t *upstream, attempt_t *attempt)
{
	upstream_conn_t *conn = attempt->io;
	bool once = !attempt->exchange->route->idempotent;

	attempt->io = NULL;
	conn->attempt = NULL;
	if (conn->client.state == H1_CONNECTING)
		return true;
	if (conn->client.state == H1_IDLE) {
		flight_end(&conn->flight, FLIGHT_FORGOTTEN,
			   upstream->loop->now);
		rest(conn);
		return true;
	}
	(void)medlar_timer_set(upstream->loop->client, &conn->timer,
			       upstream->loop->now +
				       (once ? LINGER_ONCE_MAX : LINGER_MAX));
	return false;
}

/**
 * upstream_forget() - a replica has left the directory
 * @replica: its idle connections are closed
 */
void upstream_forget(replica_t *replica)
{
	close_idle(replica);
	free(replica->pool);
	replica->pool = NULL;
}

/**
 * upstream_sweep() - close connections that have been idle for too long
 * @upstream: connections
 * @fleet: replicas
 */
void upstream_sweep(upstream_t *upstream, fleet_t *fleet)
{
	replica_t *replica;

	TAILQ_FOREACH(replica, &fleet->replicas, by_id) {
		pool_t *pool = replica->pool;
		upstream_conn_t *conn;

		while (pool &&
		       (conn = TAILQ_LAST(&pool->idle, upstream_conn_list)) &&
		       upstream->loop->now - conn->client.idle_since >=
			       kept_for(conn))
			dispose(conn);
	}
}

/**
 * upstream_finish() - close all connections
 * @upstream: connections; no exchange may be under way
 */
void upstream_finish(upstream_t *upstream)
{
	upstream_conn_t *conn;
	upstream_conn_t *next;

	for (conn = TAILQ_FIRST(&upstream->open); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		dispose(conn);
	}
	upstream_turn(upstream);
}
