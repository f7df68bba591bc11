/**
 * DOC: idle connections to replicas
 */
#include <stdlib.h>

#include "router/upstream_internal.h"

/* A replica that announces no idle limit keeps a connection less than 1 s. */
#define IDLE_TIMEOUT_DEFAULT_MS 800
/* A connection is not reused this close to the announced idle limit. */
#define IDLE_TIMEOUT_MARGIN_MS ((medlar_time_t)300)
/*
 * Idle time after which a connection is not reused for a request that is not
 * idempotent, since the replica may be about to close it.
 */
#define IDLE_NON_IDEMPOTENT_MAX_MS 250

/**
 * upstream_free_closed() - free the connections closed in this loop iteration
 * @data: the connections, a &struct upstream; this is a loop hook
 */
void upstream_free_closed(void *data)
{
	upstream_t *upstream = data;
	upstream_conn_t *conn;

	while ((conn = TAILQ_FIRST(&upstream->closed_conns))) {
		TAILQ_REMOVE(&upstream->closed_conns, conn, link);
		h1_client_finish(&conn->client);
		medlar_buf_finish(&conn->request_id);
		replica_unref(conn->replica);
		free(conn);
	}
}

static void remove_from_pool(upstream_conn_t *conn)
{
	pool_t *pool = conn->replica->pool;

	if (!conn->in_pool)
		return;
	TAILQ_REMOVE(&pool->idle, conn, pool_link);
	conn->in_pool = false;
	conn->replica->conns_idle--;
}

static void add_to_pool(upstream_conn_t *conn)
{
	pool_t *pool = conn->replica->pool;

	TAILQ_INSERT_HEAD(&pool->idle, conn, pool_link);
	conn->in_pool = true;
	conn->replica->conns_idle++;
}

/**
 * upstream_conn_close() - close a connection
 * @conn: connection, in any state; freed at the end of the loop iteration
 */
void upstream_conn_close(upstream_conn_t *conn)
{
	upstream_t *upstream = conn->upstream;

	remove_from_pool(conn);
	if (conn->inflight.replica)
		inflight_end(&conn->inflight, INFLIGHT_IGNORED,
			     upstream->loop->now);
	medlar_timer_clear(upstream->loop->client, &conn->timer);
	h1_client_close(&conn->client);
	conn->replica->conns--;
	TAILQ_REMOVE(&upstream->open_conns, conn, link);
	TAILQ_INSERT_TAIL(&upstream->closed_conns, conn, link);
}

/**
 * upstream_pool_clear() - close the idle connections of a replica
 * @replica: replica
 */
void upstream_pool_clear(replica_t *replica)
{
	pool_t *pool = replica->pool;

	while (pool && !TAILQ_EMPTY(&pool->idle))
		upstream_conn_close(TAILQ_FIRST(&pool->idle));
}

static medlar_time_t idle_timeout(const upstream_conn_t *conn)
{
	medlar_time_t timeout = conn->client.peer_idle_timeout;

	if (timeout == 0)
		return IDLE_TIMEOUT_DEFAULT_MS;
	return timeout > 2 * IDLE_TIMEOUT_MARGIN_MS
		       ? timeout - IDLE_TIMEOUT_MARGIN_MS
		       : timeout / 2;
}

/**
 * upstream_conn_release() - make a connection available to other attempts
 * @conn: idle connection; closed if its replica was removed
 */
void upstream_conn_release(upstream_conn_t *conn)
{
	medlar_timer_clear(conn->upstream->loop->client, &conn->timer);
	if (conn->replica->removed)
		upstream_conn_close(conn);
	else
		add_to_pool(conn);
}

/**
 * upstream_pool_create() - get the pool of a replica, creating it if necessary
 * @replica: replica
 *
 * Return: the pool, or NULL if memory is short.
 */
pool_t *upstream_pool_create(replica_t *replica)
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

/*
 * A reply is told from those to other requests by the id that it repeats. A second
 * copy of the reply to an earlier attempt bears the same id, so no connection
 * carries two attempts of a request.
 */
static bool has_carried_request(const upstream_conn_t *conn,
				const exchange_part_t *part)
{
	for (unsigned i = 0; i < part->attempts_len; i++)
		if (part->attempts[i].connection == conn->number)
			return true;
	return false;
}

/* Returns the last used idle connection that may carry an attempt, or NULL. */
static upstream_conn_t *find_idle_conn(const pool_t *pool,
				       const attempt_t *attempt)
{
	upstream_conn_t *conn;

	TAILQ_FOREACH(conn, &pool->idle, pool_link)
		if (!has_carried_request(conn, attempt->part))
			return conn;
	return NULL;
}

/*
 * Idle connections that cannot carry an attempt count towards the limit of the
 * replica, so a new one takes the place of one of them.
 */
static void make_room(pool_t *pool)
{
	if (!TAILQ_EMPTY(&pool->idle))
		upstream_conn_close(
			TAILQ_LAST(&pool->idle, upstream_conn_list));
}

/**
 * upstream_pool_take() - take an idle connection for an attempt
 * @attempt: attempt; its replica has a pool
 * @now: current time, ms
 *
 * Return: a connection that is no longer idle, or NULL if a new one is needed.
 */
upstream_conn_t *upstream_pool_take(const attempt_t *attempt, medlar_time_t now)
{
	replica_t *replica = attempt->replica;
	bool is_non_idempotent = !attempt->exchange->route->idempotent;
	upstream_conn_t *conn = find_idle_conn(replica->pool, attempt);
	medlar_time_t idle;

	if (!conn) {
		make_room(replica->pool);
		return NULL;
	}
	idle = now - conn->client.idle_since;
	if (idle >= idle_timeout(conn)) {
		upstream_pool_clear(replica);
		return NULL;
	}
	if (is_non_idempotent && idle > IDLE_NON_IDEMPOTENT_MAX_MS) {
		upstream_conn_close(conn);
		return NULL;
	}
	remove_from_pool(conn);
	return conn;
}

/**
 * upstream_remove_replica() - close the idle connections of a removed replica
 * @replica: replica; connections in use are closed after their reply
 */
void upstream_remove_replica(replica_t *replica)
{
	upstream_pool_clear(replica);
	free(replica->pool);
	replica->pool = NULL;
}

/**
 * upstream_close_expired() - close connections that have been idle for too long
 * @upstream: connections
 * @fleet: replicas whose connections are checked
 */
void upstream_close_expired(upstream_t *upstream, fleet_t *fleet)
{
	replica_t *replica;

	TAILQ_FOREACH(replica, &fleet->replicas, fleet_link) {
		pool_t *pool = replica->pool;
		upstream_conn_t *conn;

		while (pool &&
		       (conn = TAILQ_LAST(&pool->idle, upstream_conn_list)) &&
		       upstream->loop->now - conn->client.idle_since >=
			       idle_timeout(conn))
			upstream_conn_close(conn);
	}
}
