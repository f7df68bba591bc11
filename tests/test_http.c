/**
 * DOC: tests of the HTTP client against a server that fails in given ways, and
 * of the classification of store replies
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "medlard/http_client.h"
#include "medlard/store.h"

#define REPLY_MAX 1000
#define SILENCE ((medlar_time_t)100)
#define UNTIL (10 * MEDLAR_SECOND)
#define REQUEST_BYTES 4096
/* Bytes after which a server gives up, and those that sockets may hold. */
#define FLOOD_BYTES_MAX ((size_t)128 << 20)
#define FLOOD_BYTES_BOUND ((size_t)24 << 20)
#define FLOODED_CALLS 4

/**
 * struct server - a server that handles one connection at a time
 * @fd: listening socket
 * @port: TCP port of @fd
 * @thread: its thread
 * @reply: sent after each request; NULL for none
 * @flood: sent after @reply again and again until the client closes; or NULL
 * @flooded: bytes sent so
 * @serve: number of requests answered per connection if @close is set
 * @close: close the connection on the request after these
 * @requests: number of requests read
 * @accepted: number of connections accepted
 */
typedef struct server {
	int fd;
	uint16_t port;
	pthread_t thread;
	const char *reply;
	const char *flood;
	size_t flooded;
	unsigned serve;
	bool close;
	unsigned requests;
	unsigned accepted;
} server_t;

/**
 * struct fixture - an HTTP client and the result of its last call
 * @client: client of the core
 * @loop: event loop
 * @metrics: counters
 * @http: HTTP client
 * @reply: result of the last call
 * @sent: sending of the last call had begun
 */
typedef struct fixture {
	medlar_client_t client;
	loop_t loop;
	metrics_t metrics;
	http_client_t http;
	http_reply_t reply;
	bool sent;
} fixture_t;

static void send_flood(server_t *server, int fd)
{
	char bytes[REQUEST_BYTES];
	size_t unit = strlen(server->flood);
	size_t len = 0;
	ssize_t done = 0;

	for (; len + unit <= sizeof(bytes); len += unit)
		memcpy(bytes + len, server->flood, unit);
	for (; done >= 0 && server->flooded < FLOOD_BYTES_MAX;
	     done = send(fd, bytes, len, MSG_NOSIGNAL))
		server->flooded += (size_t)done;
}

static void serve_connection(server_t *server, int fd)
{
	char request[REQUEST_BYTES];

	for (unsigned served = 0;; served++) {
		/* Assumes that each request arrives in one segment. */
		if (recv(fd, request, sizeof(request), 0) <= 0)
			return;
		server->requests++;
		if (server->close && served >= server->serve)
			return;
		if (server->reply &&
		    send(fd, server->reply, strlen(server->reply),
			 MSG_NOSIGNAL) < 0)
			return;
		if (server->flood) {
			send_flood(server, fd);
			return;
		}
	}
}

static void *serve(void *data)
{
	server_t *server = data;
	int fd;

	while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
		server->accepted++;
		serve_connection(server, fd);
		close(fd);
	}
	return NULL;
}

static void server_start(server_t *server)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(server->fd >= 0);
	assert_int_equal(bind(server->fd, (struct sockaddr *)&address, len), 0);
	assert_int_equal(listen(server->fd, 8), 0);
	assert_int_equal(
		getsockname(server->fd, (struct sockaddr *)&address, &len), 0);
	server->port = ntohs(address.sin_port);
	assert_int_equal(pthread_create(&server->thread, NULL, serve, server),
			 0);
}

/* Stops the server; the client must have closed its connections. */
static void server_stop(server_t *server)
{
	shutdown(server->fd, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	close(server->fd);
}

static void fixture_init(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	medlar_client_init(&fixture->client, MEDLAR_STR("test"), 0, 1);
	assert_int_equal(loop_init(&fixture->loop, &fixture->client),
			 MEDLAR_OK);
	assert_int_equal(http_client_init(&fixture->http, &fixture->loop,
					  &fixture->metrics),
			 MEDLAR_OK);
}

static void fixture_finish(fixture_t *fixture)
{
	http_client_finish(&fixture->http);
	loop_finish(&fixture->loop);
	medlar_client_finish(&fixture->client);
}

static void on_done(http_call_t *call, const http_reply_t *reply, void *data)
{
	fixture_t *fixture = data;

	if (reply->end == HTTP_CLIENT_CLOSED)
		return;
	fixture->reply = *reply;
	fixture->sent = http_call_is_sent(call);
	loop_stop(&fixture->loop);
}

static http_end_t call_once(fixture_t *fixture, http_pool_t *pool)
{
	const http_request_t request = {
		.method = "POST",
		.path = "/x",
		.body = MEDLAR_STR("{}"),
		.deadline = fixture->loop.now + UNTIL,
		.silence = SILENCE,
		.reply_max = REPLY_MAX,
		.done = on_done,
		.data = fixture,
	};

	assert_int_equal(http_call_start(pool, &request, NULL), MEDLAR_OK);
	fixture->loop.stopped = false;
	loop_run(&fixture->loop);
	return fixture->reply.end;
}

static http_pool_t *new_peer(fixture_t *fixture, uint16_t port, uint32_t limit)
{
	return http_pool_new(&fixture->http, "127.0.0.1", port, limit,
			     MEDLAR_MINUTE);
}

static void each_failure_ends_the_call_accordingly(void **state)
{
	static const struct {
		server_t server;
		http_end_t end;
	} rows[] = {
		{ { .reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" },
		  HTTP_REPLY },
		{ { .close = true }, HTTP_RESET },
		{ { .reply = NULL }, HTTP_SILENT },
		{ { .reply = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}" },
		  HTTP_SILENT },
		{ { .reply = "garbage\r\n\r\n" }, HTTP_MALFORMED },
		{ { .reply = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
			     "                                              "
			     "                                              " },
		  HTTP_SILENT },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		server_t server = rows[i].server;
		fixture_t fixture;

		server_start(&server);
		fixture_init(&fixture);
		assert_int_equal(
			call_once(&fixture, new_peer(&fixture, server.port, 4)),
			rows[i].end);
		assert_true(fixture.sent);
		fixture_finish(&fixture);
		server_stop(&server);
		assert_int_equal(server.requests, 1);
	}
}

/* Guards against MIXED: a status that is none was taken for the reply's. */
static void a_status_that_is_none_is_no_reply(void **state)
{
	static const char *const statuses[] = { "000", "099", "101",  "600",
						"999", "20",  "2000", "abc" };
	char reply[128];

	(void)state;
	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		server_t server = { .reply = reply };
		http_end_t end;
		fixture_t fixture;

		(void)snprintf(reply, sizeof(reply),
			       "HTTP/1.1 %s x\r\nContent-Length: 2\r\n\r\n{}",
			       statuses[i]);
		server_start(&server);
		fixture_init(&fixture);
		end = call_once(&fixture, new_peer(&fixture, server.port, 4));
		if (end != HTTP_MALFORMED)
			fail_msg("status %s: end %d", statuses[i], (int)end);
		fixture_finish(&fixture);
		server_stop(&server);
	}
}

static void a_refused_connection_sends_nothing(void **state)
{
	server_t server = { 0 };
	fixture_t fixture;

	(void)state;
	server_start(&server);
	server_stop(&server);
	fixture_init(&fixture);
	assert_int_equal(
		call_once(&fixture, new_peer(&fixture, server.port, 4)),
		HTTP_REFUSED);
	assert_false(fixture.sent);
	fixture_finish(&fixture);
}

static void without_a_connection_nothing_is_sent(void **state)
{
	server_t server = { 0 };
	fixture_t fixture;

	(void)state;
	server_start(&server);
	fixture_init(&fixture);
	assert_int_equal(
		call_once(&fixture, new_peer(&fixture, server.port, 0)),
		HTTP_UNSENT);
	assert_false(fixture.sent);
	fixture_finish(&fixture);
	server_stop(&server);
	assert_int_equal(server.accepted, 0);
}

/* By default libcurl retries when a reused connection breaks. */
static void a_request_is_never_sent_twice(void **state)
{
	server_t server = {
		.reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		.serve = 1,
		.close = true,
	};
	http_pool_t *pool;
	fixture_t fixture;

	(void)state;
	server_start(&server);
	fixture_init(&fixture);
	pool = new_peer(&fixture, server.port, 4);
	assert_int_equal(call_once(&fixture, pool), HTTP_REPLY);
	assert_int_equal(call_once(&fixture, pool), HTTP_RESET);
	fixture_finish(&fixture);
	server_stop(&server);
	assert_int_equal(server.requests, 2);
}

static void a_connection_is_used_again(void **state)
{
	server_t server = {
		.reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	};
	http_pool_t *pool;
	fixture_t fixture;

	(void)state;
	server_start(&server);
	fixture_init(&fixture);
	pool = new_peer(&fixture, server.port, 4);
	for (int i = 0; i < 5; i++)
		assert_int_equal(call_once(&fixture, pool), HTTP_REPLY);
	assert_int_equal(pool->connections_open, 1);
	http_pool_set_limits(pool, 0, MEDLAR_MINUTE);
	assert_int_equal(pool->connections_open, 0);
	fixture_finish(&fixture);
	server_stop(&server);
	assert_int_equal(server.accepted, 1);
}

/* Guards against running out of memory: replies without end in a head. */
static void heads_without_end_are_given_up(void **state)
{
	static const server_t servers[] = {
		{ .reply = "HTTP/1.1 200 OK\r\n", .flood = "A: b\r\n" },
		{ .reply = "HTTP/1.1 200 OK\r\nX: ", .flood = "aaaaaaaa" },
		{ .reply = "HTTP/1.1 100 Continue\r\n\r\n",
		  .flood = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" },
		{ .reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n0\r\n",
		  .flood = "A: b\r\n" },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
		server_t server = servers[i];
		fixture_t fixture;

		server_start(&server);
		fixture_init(&fixture);
		assert_int_not_equal(
			call_once(&fixture, new_peer(&fixture, server.port, 4)),
			HTTP_REPLY);
		fixture_finish(&fixture);
		server_stop(&server);
		assert_true(server.flooded < FLOOD_BYTES_BOUND);
	}
}

/* Stops the loop when the last of several calls has ended. */
typedef struct countdown {
	loop_t *loop;
	unsigned left;
} countdown_t;

static void count_down(http_call_t *call, const http_reply_t *reply, void *data)
{
	countdown_t *countdown = data;

	(void)call;
	(void)reply;
	if (--countdown->left == 0)
		loop_stop(countdown->loop);
}

/* Many replicas flood at once: what one may use depends on all others. */
static void bodies_without_end_share_a_bound(void **state)
{
	server_t servers[FLOODED_CALLS];
	countdown_t countdown = { .left = FLOODED_CALLS };
	size_t flooded = 0;
	fixture_t fixture;

	(void)state;
	fixture_init(&fixture);
	countdown.loop = &fixture.loop;
	fixture.http.reply_memory.max = (size_t)2 << 20;
	for (size_t i = 0; i < FLOODED_CALLS; i++) {
		const http_request_t request = {
			.method = "GET",
			.path = "/x",
			.deadline = fixture.loop.now + UNTIL,
			.silence = SILENCE,
			.reply_max = FLOOD_BYTES_MAX,
			.done = count_down,
			.data = &countdown,
		};

		servers[i] = (server_t){ .reply = "HTTP/1.1 200 OK\r\n\r\n",
					 .flood = "x" };
		server_start(&servers[i]);
		assert_int_equal(
			http_call_start(new_peer(&fixture, servers[i].port, 4),
					&request, NULL),
			MEDLAR_OK);
	}
	loop_run(&fixture.loop);
	assert_int_equal(fixture.http.reply_memory.used, 0);
	fixture_finish(&fixture);
	for (size_t i = 0; i < FLOODED_CALLS; i++) {
		server_stop(&servers[i]);
		flooded += servers[i].flooded;
	}
	assert_true(flooded < FLOODED_CALLS * FLOOD_BYTES_BOUND);
}

static void a_lost_reply_to_a_write_has_an_unknown_outcome(void **state)
{
	static const struct {
		http_end_t end;
		int status;
		medlar_store_status_t reads;
		medlar_store_status_t writes;
	} rows[] = {
		{ HTTP_REPLY, 200, MEDLAR_STORE_OK, MEDLAR_STORE_OK },
		{ HTTP_REPLY, 404, MEDLAR_STORE_MISSING, MEDLAR_STORE_UNKNOWN },
		{ HTTP_REPLY, 429, MEDLAR_STORE_DOWN, MEDLAR_STORE_DOWN },
		{ HTTP_REPLY, 500, MEDLAR_STORE_DOWN, MEDLAR_STORE_UNKNOWN },
		{ HTTP_REFUSED, 0, MEDLAR_STORE_DOWN, MEDLAR_STORE_DOWN },
		{ HTTP_UNSENT, 0, MEDLAR_STORE_DOWN, MEDLAR_STORE_DOWN },
		{ HTTP_RESET, 0, MEDLAR_STORE_DOWN, MEDLAR_STORE_UNKNOWN },
		{ HTTP_SILENT, 0, MEDLAR_STORE_DOWN, MEDLAR_STORE_UNKNOWN },
		{ HTTP_MALFORMED, 0, MEDLAR_STORE_DOWN, MEDLAR_STORE_UNKNOWN },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const http_reply_t reply = { .end = rows[i].end,
					     .status = rows[i].status };

		assert_int_equal(store_reply_status(&reply, false),
				 rows[i].reads);
		assert_int_equal(store_reply_status(&reply, true),
				 rows[i].writes);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_failure_ends_the_call_accordingly),
		cmocka_unit_test(a_status_that_is_none_is_no_reply),
		cmocka_unit_test(a_refused_connection_sends_nothing),
		cmocka_unit_test(without_a_connection_nothing_is_sent),
		cmocka_unit_test(a_request_is_never_sent_twice),
		cmocka_unit_test(a_connection_is_used_again),
		cmocka_unit_test(heads_without_end_are_given_up),
		cmocka_unit_test(bodies_without_end_share_a_bound),
		cmocka_unit_test(
			a_lost_reply_to_a_write_has_an_unknown_outcome),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
