/**
 * DOC: peers of the HTTP client and the calls that wait for a connection
 */
#include <stdio.h>
#include <stdlib.h>

#include "medlard/http_internal.h"

static void begin(http_call_t *call)
{
	http_peer_t *peer = call->peer;

	peer->busy++;
	call->started = true;
	if (curl_multi_add_handle(peer->http->multi, call->easy) == CURLM_OK)
		return;
	/* The timer reports it: a call never ends within http_start(). */
	(void)medlar_timer_set(peer->http->loop->client, &call->timer,
			       peer->http->loop->now);
}

static void wait_in_line(http_call_t *call)
{
	http_peer_t *peer = call->peer;

	call->next = NULL;
	if (peer->last)
		peer->last->next = call;
	else
		peer->first = call;
	peer->last = call;
	metrics_add(peer->http->metrics, METRIC_UPSTREAM_WAITS, 1);
}

/**
 * http_peer_leave_line() - take a call out of the line
 * @call: a call that may be waiting
 */
void http_peer_leave_line(http_call_t *call)
{
	http_peer_t *peer = call->peer;
	http_call_t *before = NULL;
	http_call_t *at = peer->first;

	while (at && at != call) {
		before = at;
		at = at->next;
	}
	if (!at)
		return;
	if (before)
		before->next = call->next;
	else
		peer->first = call->next;
	if (peer->last == call)
		peer->last = before;
}

/**
 * http_peer_admit() - begin a call, or let it wait for a connection
 * @call: a prepared call
 */
void http_peer_admit(http_call_t *call)
{
	if (call->peer->busy < call->peer->limit)
		begin(call);
	else
		wait_in_line(call);
}

/**
 * http_peer_pump() - begin waiting calls as far as the limit allows
 * @peer: peer
 */
void http_peer_pump(http_peer_t *peer)
{
	while (peer->first && peer->busy < peer->limit) {
		http_call_t *call = peer->first;

		peer->first = call->next;
		if (!peer->first)
			peer->last = NULL;
		begin(call);
	}
}

/**
 * http_peer_new() - add a peer
 * @http: client
 * @host: IP address in text form
 * @port: TCP port
 * @limit: most connections open at once
 * @idle_max: longest time a connection may stay idle, ms
 *
 * Return: the peer, or NULL without memory.
 */
http_peer_t *http_peer_new(http_t *http, const char *host, uint16_t port,
			   uint32_t limit, medlar_time_t idle_max)
{
	http_peer_t *peer = calloc(1, sizeof(*peer));

	if (!peer)
		return NULL;
	peer->http = http;
	peer->port = port;
	peer->limit = limit;
	peer->idle_max = idle_max;
	snprintf(peer->host, sizeof(peer->host), "%s", host);
	peer->next = http->peers;
	http->peers = peer;
	return peer;
}

/**
 * http_peer_set_limit() - change the bounds of a peer
 * @peer: peer
 * @limit: most connections open at once; surplus idle ones are closed
 * @idle_max: longest time a connection may stay idle, ms
 */
void http_peer_set_limit(http_peer_t *peer, uint32_t limit,
			 medlar_time_t idle_max)
{
	peer->limit = limit;
	peer->idle_max = idle_max;
	http_conns_trim(peer);
	http_peer_pump(peer);
}

/**
 * http_peer_check() - free a released peer that is not in use
 * @peer: peer
 */
void http_peer_check(http_peer_t *peer)
{
	http_peer_t **at = &peer->http->peers;

	if (!peer->released || peer->busy > 0 || peer->first)
		return;
	for (size_t i = 0; i < peer->http->conns_len; i++)
		if (peer->http->conns[i] && peer->http->conns[i]->peer == peer)
			return;
	while (*at != peer)
		at = &(*at)->next;
	*at = peer->next;
	free(peer);
}

/**
 * http_peer_release() - free a peer once its calls have ended
 * @peer: peer; must not be used for new calls
 */
void http_peer_release(http_peer_t *peer)
{
	peer->released = true;
	for (size_t i = 0; i < peer->http->conns_len; i++) {
		http_conn_t *conn = peer->http->conns[i];

		if (conn && conn->peer == peer && !conn->used)
			http_conn_kill(conn);
	}
	http_peer_check(peer);
}
