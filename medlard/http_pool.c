/**
 * DOC: connection pools of the HTTP client, and calls waiting for a connection
 */
#include <stdio.h>
#include <stdlib.h>

#include "medlard/http_client_internal.h"

static void start_call(http_call_t *call)
{
	http_pool_t *pool = call->pool;

	pool->calls_active++;
	call->started = true;
	if (curl_multi_add_handle(pool->http->multi, call->easy) == CURLM_OK)
		return;
	/*
	 * Fail from the timer, as a call must not end within http_call_start().
	 */
	(void)medlar_timer_set(pool->http->loop->client, &call->timer,
			       pool->http->loop->now);
}

static void enqueue_call(http_call_t *call)
{
	http_pool_t *pool = call->pool;

	call->next = NULL;
	if (pool->waiting_tail)
		pool->waiting_tail->next = call;
	else
		pool->waiting_head = call;
	pool->waiting_tail = call;
	metrics_add(pool->http->metrics, METRIC_UPSTREAM_WAITS, 1);
}

/**
 * http_pool_dequeue() - remove a call from the queue of its pool
 * @call: call; nothing happens if it is not queued
 */
void http_pool_dequeue(http_call_t *call)
{
	http_pool_t *pool = call->pool;
	http_call_t *before = NULL;
	http_call_t *at = pool->waiting_head;

	while (at && at != call) {
		before = at;
		at = at->next;
	}
	if (!at)
		return;
	if (before)
		before->next = call->next;
	else
		pool->waiting_head = call->next;
	if (pool->waiting_tail == call)
		pool->waiting_tail = before;
}

/**
 * http_pool_submit() - start a call, or queue it until a connection is free
 * @call: prepared call
 */
void http_pool_submit(http_call_t *call)
{
	if (call->pool->calls_active < call->pool->connections_max)
		start_call(call);
	else
		enqueue_call(call);
}

/**
 * http_pool_start_waiting() - start queued calls, as many as the limit allows
 * @pool: pool
 */
void http_pool_start_waiting(http_pool_t *pool)
{
	while (pool->waiting_head &&
	       pool->calls_active < pool->connections_max) {
		http_call_t *call = pool->waiting_head;

		pool->waiting_head = call->next;
		if (!pool->waiting_head)
			pool->waiting_tail = NULL;
		start_call(call);
	}
}

/**
 * http_pool_new() - create a connection pool
 * @http: client
 * @host: IP address as text
 * @port: TCP port
 * @limit: largest number of open connections
 * @idle_max: longest time a connection may stay idle, ms
 *
 * Return: the pool, or NULL if out of memory.
 */
http_pool_t *http_pool_new(http_client_t *http, const char *host, uint16_t port,
			   uint32_t limit, medlar_time_t idle_max)
{
	http_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->http = http;
	pool->port = port;
	pool->connections_max = limit;
	pool->idle_max = idle_max;
	snprintf(pool->host, sizeof(pool->host), "%s", host);
	pool->next = http->pools;
	http->pools = pool;
	return pool;
}

/**
 * http_pool_set_limits() - change the limits of a pool
 * @pool: pool
 * @limit: largest number of open connections; surplus idle ones are closed
 * @idle_max: longest time a connection may stay idle, ms
 */
void http_pool_set_limits(http_pool_t *pool, uint32_t limit,
			  medlar_time_t idle_max)
{
	pool->connections_max = limit;
	pool->idle_max = idle_max;
	http_conns_trim(pool);
	http_pool_start_waiting(pool);
}

/**
 * http_pool_free_if_unused() - free a pool if it is released and no longer in
 *	use
 * @pool: pool
 */
void http_pool_free_if_unused(http_pool_t *pool)
{
	http_pool_t **at = &pool->http->pools;

	if (!pool->released || pool->calls_active > 0 || pool->waiting_head)
		return;
	for (size_t i = 0; i < pool->http->conns_len; i++)
		if (pool->http->conns[i] && pool->http->conns[i]->pool == pool)
			return;
	while (*at != pool)
		at = &(*at)->next;
	*at = pool->next;
	free(pool);
}

/**
 * http_pool_release() - free a pool once its calls have ended
 * @pool: pool; must not be used for new calls
 */
void http_pool_release(http_pool_t *pool)
{
	pool->released = true;
	for (size_t i = 0; i < pool->http->conns_len; i++) {
		http_conn_t *conn = pool->http->conns[i];

		if (conn && conn->pool == pool && !conn->in_use)
			http_conn_shutdown(conn);
	}
	http_pool_free_if_unused(pool);
}
