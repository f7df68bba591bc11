/**
 * DOC: tests of the HTTP client and of the store's outcomes against a server
 * that breaks in chosen ways
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

#include "medlard/http.h"
#include "medlard/store.h"

#define REPLY_MAX 1000
#define SILENCE ((medlar_time_t)100)
#define UNTIL (10 * MEDLAR_SECOND)
#define REQUEST_BYTES 4096

/**
 * struct server - accepts one connection after another
 * @fd: listening socket
 * @port: its port
 * @thread: the thread
 * @reply: sent after each request; NULL for none
 * @serve: requests answered on a connection before @close takes effect
 * @close: close the connection once the request after those has been read
 * @requests: requests read
 * @accepted: connections accepted
 */
typedef struct server {
	int fd;
	uint16_t port;
	pthread_t thread;
	const char *reply;
	unsigned serve;
	bool close;
	unsigned requests;
	unsigned accepted;
} server_t;

/**
 * struct rig - a client and the end of its last call
 * @client: client of the core
 * @loop: its loop
 * @metrics: its counters
 * @http: HTTP client
 * @reply: end of the last call
 * @sent: sending had begun
 */
typedef struct rig {
	medlar_client_t client;
	loop_t loop;
	metrics_t metrics;
	http_t http;
	http_reply_t reply;
	bool sent;
} rig_t;

static void serve_connection(server_t *server, int fd)
{
	char request[REQUEST_BYTES];

	for (unsigned served = 0;; served++) {
		/* Requests of the tests arrive in one piece. */
		if (recv(fd, request, sizeof(request), 0) <= 0)
			return;
		server->requests++;
		if (server->close && served >= server->serve)
			return;
		if (server->reply &&
		    send(fd, server->reply, strlen(server->reply),
			 MSG_NOSIGNAL) < 0)
			return;
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

/* The client must have closed its connections. */
static void server_stop(server_t *server)
{
	shutdown(server->fd, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	close(server->fd);
}

static void rig_init(rig_t *rig)
{
	memset(rig, 0, sizeof(*rig));
	medlar_client_init(&rig->client, MEDLAR_STR("test"), 0, 1);
	assert_int_equal(loop_init(&rig->loop, &rig->client), MEDLAR_OK);
	assert_int_equal(http_init(&rig->http, &rig->loop, &rig->metrics),
			 MEDLAR_OK);
}

static void rig_finish(rig_t *rig)
{
	http_finish(&rig->http);
	loop_finish(&rig->loop);
	medlar_client_finish(&rig->client);
}

static void on_done(http_call_t *call, const http_reply_t *reply, void *data)
{
	rig_t *rig = data;

	if (reply->end == HTTP_DROPPED)
		return;
	rig->reply = *reply;
	rig->sent = http_is_sent(call);
	loop_stop(&rig->loop);
}

static http_end_t call_once(rig_t *rig, http_peer_t *peer)
{
	const http_request_t request = {
		.method = "POST",
		.path = "/x",
		.body = MEDLAR_STR("{}"),
		.until = rig->loop.now + UNTIL,
		.silence = SILENCE,
		.reply_max = REPLY_MAX,
		.done = on_done,
		.data = rig,
	};

	assert_int_equal(http_start(peer, &request, NULL), MEDLAR_OK);
	rig->loop.stopped = false;
	loop_run(&rig->loop);
	return rig->reply.end;
}

static http_peer_t *peer_of(rig_t *rig, uint16_t port, uint32_t limit)
{
	return http_peer_new(&rig->http, "127.0.0.1", port, limit,
			     MEDLAR_MINUTE);
}

static void each_failure_has_its_end(void **state)
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
		rig_t rig;

		server_start(&server);
		rig_init(&rig);
		assert_int_equal(call_once(&rig, peer_of(&rig, server.port, 4)),
				 rows[i].end);
		assert_true(rig.sent);
		rig_finish(&rig);
		server_stop(&server);
		assert_int_equal(server.requests, 1);
	}
}

static void a_refused_connection_sends_nothing(void **state)
{
	server_t server = { 0 };
	rig_t rig;

	(void)state;
	server_start(&server);
	server_stop(&server);
	rig_init(&rig);
	assert_int_equal(call_once(&rig, peer_of(&rig, server.port, 4)),
			 HTTP_REFUSED);
	assert_false(rig.sent);
	rig_finish(&rig);
}

static void without_a_connection_nothing_is_sent(void **state)
{
	server_t server = { 0 };
	rig_t rig;

	(void)state;
	server_start(&server);
	rig_init(&rig);
	assert_int_equal(call_once(&rig, peer_of(&rig, server.port, 0)),
			 HTTP_UNSENT);
	assert_false(rig.sent);
	rig_finish(&rig);
	server_stop(&server);
	assert_int_equal(server.accepted, 0);
}

/* libcurl would send a second time when a reused connection breaks. */
static void a_request_is_never_sent_twice(void **state)
{
	server_t server = {
		.reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		.serve = 1,
		.close = true,
	};
	http_peer_t *peer;
	rig_t rig;

	(void)state;
	server_start(&server);
	rig_init(&rig);
	peer = peer_of(&rig, server.port, 4);
	assert_int_equal(call_once(&rig, peer), HTTP_REPLY);
	assert_int_equal(call_once(&rig, peer), HTTP_RESET);
	rig_finish(&rig);
	server_stop(&server);
	assert_int_equal(server.requests, 2);
}

static void a_connection_is_used_again(void **state)
{
	server_t server = {
		.reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	};
	http_peer_t *peer;
	rig_t rig;

	(void)state;
	server_start(&server);
	rig_init(&rig);
	peer = peer_of(&rig, server.port, 4);
	for (int i = 0; i < 5; i++)
		assert_int_equal(call_once(&rig, peer), HTTP_REPLY);
	assert_int_equal(peer->open, 1);
	http_peer_set_limit(peer, 0, MEDLAR_MINUTE);
	assert_int_equal(peer->open, 0);
	rig_finish(&rig);
	server_stop(&server);
	assert_int_equal(server.accepted, 1);
}

static void a_lost_reply_is_no_refusal(void **state)
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

		assert_int_equal(store_classify(&reply, false), rows[i].reads);
		assert_int_equal(store_classify(&reply, true), rows[i].writes);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_failure_has_its_end),
		cmocka_unit_test(a_refused_connection_sends_nothing),
		cmocka_unit_test(without_a_connection_nothing_is_sent),
		cmocka_unit_test(a_request_is_never_sent_twice),
		cmocka_unit_test(a_connection_is_used_again),
		cmocka_unit_test(a_lost_reply_is_no_refusal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
