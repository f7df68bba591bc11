/**
 * DOC: connections of the HTTP client
 *
 * libcurl keeps idle connections itself and reports only when it opens or
 * closes a socket. This file counts the open connections of each pool, watches
 * idle ones for a close by the server, and shuts down those that exceed the
 * limit or were idle for too long. libcurl detects that they are closed when it
 * looks for a connection to reuse.
 *
 * When libcurl abandons a connection attempt it closes the socket without a
 * callback, and another thread may be given the same descriptor at once. So
 * this file doesn't touch libcurl's descriptor once the socket is set up: each
 * connection has a duplicate, which is watched and shut down instead.
 */
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "medlard/http_client_internal.h"

/* Time between checks for connections that were idle for too long. */
#define SWEEP_PERIOD (1 * MEDLAR_SECOND)
#define CONN_TABLE_MIN 64 /* entries */

/* TCP keepalive, and the limit for unacknowledged data. */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_PERIOD_S 2
#define KEEPALIVE_COUNT 3
#define USER_TIMEOUT_MS 5000

/* Connections that libcurl may keep; each pool has a limit of its own. */
#define CONN_CACHE_MAX 65536L

static http_conn_t *reserve_conn(http_client_t *http, int fd)
{
	size_t len = http->conns_len ? http->conns_len : CONN_TABLE_MIN;
	http_conn_t **conns = http->conns;

	while (len <= (size_t)fd)
		len *= 2;
	if (len != http->conns_len) {
		conns = realloc(conns, len * sizeof(*conns));
		if (!conns)
			return NULL;
		for (size_t i = http->conns_len; i < len; i++)
			conns[i] = NULL;
		http->conns = conns;
		http->conns_len = len;
	}
	if (!conns[fd])
		conns[fd] = calloc(1, sizeof(*conns[fd]));
	return conns[fd];
}

/**
 * http_conn_at() - find a connection by its descriptor
 * @http: client
 * @fd: descriptor that libcurl uses, or a negative number
 *
 * Return: the open connection, or NULL.
 */
http_conn_t *http_conn_at(http_client_t *http, int fd)
{
	http_conn_t *conn;

	if (fd < 0 || (size_t)fd >= http->conns_len)
		return NULL;
	conn = http->conns[fd];
	return conn && conn->pool ? conn : NULL;
}

static void set_socket_options(int fd)
{
	const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_PERIOD_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS },
	};

	for (size_t i = 0; i < sizeof(options) / sizeof(options[0]); i++)
		(void)setsockopt(fd, options[i].level, options[i].name,
				 &options[i].value, sizeof(options[i].value));
}

static void close_dup(http_conn_t *conn)
{
	if (conn->dup_fd < 0)
		return;
	loop_unwatch(conn->http->loop, conn->dup_fd);
	close(conn->dup_fd);
	conn->dup_fd = -1;
}

/**
 * http_conn_shutdown() - shut a connection down, whether idle or in use
 * @conn: open connection; libcurl closes its descriptor later
 */
void http_conn_shutdown(http_conn_t *conn)
{
	if (conn->shut_down)
		return;
	conn->shut_down = true;
	conn->pool->connections_open--;
	metrics_add(conn->http->metrics, METRIC_UPSTREAM_CLOSED, 1);
	(void)shutdown(conn->dup_fd, SHUT_RDWR);
	if (!conn->in_use)
		close_dup(conn);
}

static bool is_idle(const http_conn_t *conn, const http_pool_t *pool)
{
	return conn && conn->pool == pool && !conn->in_use && !conn->shut_down;
}

static void close_idle(http_pool_t *pool, uint32_t most)
{
	http_client_t *http = pool->http;

	for (size_t i = 0; i < http->conns_len && pool->connections_open > most;
	     i++)
		if (is_idle(http->conns[i], pool))
			http_conn_shutdown(http->conns[i]);
}

/**
 * http_conns_trim() - close idle connections above the limit of a pool
 * @pool: pool
 */
void http_conns_trim(http_pool_t *pool)
{
	if (pool->connections_open > pool->connections_max)
		close_idle(pool, pool->connections_max);
}

/**
 * http_conns_close_older() - close connections that have been idle for longer
 * @pool: pool with a connection that went silent
 * @since: when the unanswered request was sent, ms; connections idle since
 *	before that are closed
 *
 * If one connection lost its state in the network or the server, others opened
 * before have probably lost theirs.
 */
void http_conns_close_older(http_pool_t *pool, medlar_time_t since)
{
	http_client_t *http = pool->http;

	for (size_t i = 0; i < http->conns_len; i++)
		if (is_idle(http->conns[i], pool) &&
		    http->conns[i]->idle_since < since)
			http_conn_shutdown(http->conns[i]);
}

/* libcurl has closed the descriptor without calling close_socket(). */
static void forget_conn(http_conn_t *conn)
{
	http_conn_shutdown(conn);
	close_dup(conn);
	conn->pool = NULL;
}

static curl_socket_t open_socket(void *data, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	http_call_t *call = data;
	http_pool_t *pool = call->pool;
	http_conn_t *conn;
	int fd;
	int dup_fd;

	(void)purpose;
	if (pool->connections_open >= pool->connections_max &&
	    pool->connections_max > 0)
		close_idle(pool, pool->connections_max - 1);
	if (pool->connections_open >= pool->connections_max)
		return CURL_SOCKET_BAD;
	fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
		    address->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	dup_fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	conn = reserve_conn(pool->http, fd);
	if (dup_fd < 0 || !conn) {
		close(fd);
		if (dup_fd >= 0)
			close(dup_fd);
		return CURL_SOCKET_BAD;
	}
	set_socket_options(fd);
	if (conn->pool)
		forget_conn(conn);
	*conn = (http_conn_t){
		.http = pool->http, .pool = pool, .fd = fd, .dup_fd = dup_fd
	};
	pool->connections_open++;
	metrics_add(pool->http->metrics, METRIC_UPSTREAM_OPENED, 1);
	return fd;
}

static int close_socket(void *data, curl_socket_t fd)
{
	http_client_t *http = data;
	http_conn_t *conn = http_conn_at(http, fd);

	close(fd);
	if (!conn)
		return 0;
	close_dup(conn);
	if (!conn->shut_down) {
		conn->pool->connections_open--;
		metrics_add(http->metrics, METRIC_UPSTREAM_CLOSED, 1);
	}
	conn->pool = NULL;
	return 0;
}

static void on_conn_ready(uint32_t events, void *data)
{
	http_conn_t *conn = data;
	http_client_t *http = conn->http;
	int running;
	int mask = 0;

	if (!conn->in_use) {
		http_conn_shutdown(conn);
		return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLRDHUP))
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & EPOLLERR)
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(http->multi, conn->fd, mask, &running);
	http_client_reap(http);
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *data,
			void *socket_data)
{
	http_client_t *http = data;
	http_conn_t *conn = http_conn_at(http, fd);
	http_call_t *call = NULL;
	uint32_t events = 0;

	(void)socket_data;
	if (!conn)
		return 0;
	if (what == CURL_POLL_REMOVE) {
		conn->in_use = false;
		conn->idle_since = http->loop->now;
		if (conn->shut_down)
			close_dup(conn);
		else
			(void)loop_watch(http->loop, conn->dup_fd, EPOLLIN,
					 on_conn_ready, conn);
		return 0;
	}
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	if (call)
		call->fd = fd;
	conn->in_use = true;
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	if (conn->dup_fd < 0)
		return 0;
	return loop_watch(http->loop, conn->dup_fd, events, on_conn_ready, conn)
		       ? -1
		       : 0;
}

static int on_timer_request(CURLM *multi, long wait_ms, void *data)
{
	http_client_t *http = data;

	(void)multi;
	if (wait_ms < 0)
		medlar_timer_clear(http->loop->client, &http->timer);
	else if (medlar_timer_set(http->loop->client, &http->timer,
				  http->loop->now + wait_ms))
		return -1;
	return 0;
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	http_client_t *http = data;
	int running;

	(void)client;
	(void)timer;
	(void)now;
	curl_multi_socket_action(http->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	http_client_reap(http);
}

static void close_expired(medlar_client_t *client, medlar_timer_t *timer,
			  medlar_time_t now, void *data)
{
	http_client_t *http = data;

	for (size_t i = 0; i < http->conns_len; i++) {
		http_conn_t *conn = http->conns[i];

		if (conn && is_idle(conn, conn->pool) && conn->pool &&
		    now - conn->idle_since > conn->pool->idle_max)
			http_conn_shutdown(conn);
	}
	for (http_pool_t *next, *pool = http->pools; pool; pool = next) {
		next = pool->next;
		http_pool_free_if_unused(pool);
	}
	(void)medlar_timer_set(client, timer, now + SWEEP_PERIOD);
}

/**
 * http_conns_init() - connect libcurl with the event loop
 * @http: client whose loop and multi handle are set
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int http_conns_init(http_client_t *http)
{
	CURLM *multi = http->multi;

	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, http);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer_request);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, http);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, CONN_CACHE_MAX);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	medlar_timer_init(&http->timer, on_timer, http);
	medlar_timer_init(&http->idle_timer, close_expired, http);
	return medlar_timer_set(http->loop->client, &http->idle_timer,
				http->loop->now + SWEEP_PERIOD);
}

/**
 * http_conns_finish() - release the table of connections
 * @http: client whose multi handle is closed
 */
void http_conns_finish(http_client_t *http)
{
	medlar_timer_clear(http->loop->client, &http->timer);
	medlar_timer_clear(http->loop->client, &http->idle_timer);
	for (size_t i = 0; i < http->conns_len; i++) {
		if (http->conns[i] && http->conns[i]->pool)
			close_dup(http->conns[i]);
		free(http->conns[i]);
	}
	free(http->conns);
}

/**
 * http_conns_attach() - track the connections that a call opens
 * @call: call with a new easy handle
 */
void http_conns_attach(http_call_t *call)
{
	curl_easy_setopt(call->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(call->easy, CURLOPT_OPENSOCKETDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETDATA, call->pool->http);
}
