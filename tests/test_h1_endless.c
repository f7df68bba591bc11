/*
 * Bytes without end, in a head or a body, from a replica that keeps sending until
 * the connection is closed: the memory stays bounded, the connection is given up
 * after a bounded number of bytes, and other connections are served meanwhile.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "medlard/h1_client.h"

#define HEAD_MAX ((size_t)16 * 1024)
#define BODY_MAX ((size_t)1024 * 1024)
#define CHUNK ((size_t)16 * 1024)
/* Bytes that sockets and one read may hold beyond the limits. */
#define SLACK ((size_t)16 * 1024 * 1024)

/* A server that sends @start once and then @repeated until it is closed. */
typedef struct flood {
	loop_t *loop;
	medlar_client_t core;
	int listener;
	int fd;
	const char *start;
	const char *repeated;
	size_t sent;
	bool started;
	h1_client_t client;
	bool done;
	h1_end_t end;
} flood_t;

static bool send_all(flood_t *flood, const char *text, size_t len)
{
	ssize_t done = send(flood->fd, text, len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (done > 0)
		flood->sent += (size_t)done;
	return done == (ssize_t)len;
}

static void on_writable(uint32_t events, void *data)
{
	flood_t *flood = data;
	char chunk[CHUNK];
	size_t unit = strlen(flood->repeated);
	size_t len = 0;

	(void)events;
	if (!flood->started) {
		flood->started = true;
		(void)send_all(flood, flood->start, strlen(flood->start));
	}
	while (len + unit <= sizeof(chunk)) {
		memcpy(chunk + len, flood->repeated, unit);
		len += unit;
	}
	(void)send_all(flood, chunk, len);
}

static void on_accept(uint32_t events, void *data)
{
	flood_t *flood = data;

	(void)events;
	flood->fd = accept4(flood->listener, NULL, NULL, SOCK_NONBLOCK);
	assert_true(flood->fd >= 0);
	assert_int_equal(loop_watch(flood->loop, flood->fd, EPOLLOUT,
				    on_writable, flood),
			 MEDLAR_OK);
}

static void on_ready(h1_client_t *client, void *data)
{
	(void)data;
	h1_client_send(client, MEDLAR_STR("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		       (medlar_str_t){ 0 }, false);
}

static void on_done(h1_client_t *client, h1_end_t end, void *data)
{
	flood_t *flood = data;

	(void)client;
	flood->done = true;
	flood->end = end;
	loop_stop(flood->loop);
}

/* No reply of the flood is the one to our request. */
static bool rejects_reply(h1_client_t *client, void *data)
{
	(void)client;
	(void)data;
	return false;
}

static const h1_client_events_t plain_events = { .ready = on_ready,
						 .done = on_done };
static const h1_client_events_t checked_events = {
	.ready = on_ready, .done = on_done, .accepts_reply = rejects_reply
};

static void run_flood(const char *start, const char *repeated,
		      const h1_client_events_t *events, h1_memory_t *memory)
{
	const h1_limits_t limits = { HEAD_MAX, BODY_MAX, memory };
	struct sockaddr_in address = {
		.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)
	};
	socklen_t len = sizeof(address);
	flood_t flood = { .start = start, .repeated = repeated, .fd = -1 };
	loop_t loop;

	medlar_client_init(&flood.core, MEDLAR_STR("test"), 0, 1);
	assert_int_equal(loop_init(&loop, &flood.core), MEDLAR_OK);
	flood.loop = &loop;
	flood.listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(flood.listener, (struct sockaddr *)&address, len),
			 0);
	assert_int_equal(listen(flood.listener, 1), 0);
	assert_int_equal(
		getsockname(flood.listener, (struct sockaddr *)&address, &len),
		0);
	assert_int_equal(
		loop_watch(&loop, flood.listener, EPOLLIN, on_accept, &flood),
		MEDLAR_OK);
	assert_int_equal(h1_client_open(&flood.client, &loop, &address, limits,
					events, &flood),
			 MEDLAR_OK);
	loop_run(&loop);
	assert_true(flood.done);
	assert_int_equal(flood.end, H1_END_BROKEN);
	assert_true(flood.sent < BODY_MAX + SLACK);
	h1_client_finish(&flood.client);
	if (memory)
		assert_int_equal(memory->used, 0);
	close(flood.fd);
	close(flood.listener);
	loop_finish(&loop);
	medlar_client_finish(&flood.core);
}

static void a_head_line_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa", &plain_events, NULL);
}

static void headers_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\n", "A: b\r\n", &plain_events, NULL);
}

static void empty_lines_without_end(void **state)
{
	(void)state;
	run_flood("\r\n", "\r\n", &plain_events, NULL);
}

static void a_body_without_length_or_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\n\r\n", "x", &plain_events, NULL);
}

static void chunks_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "8\r\naaaaaaaa\r\n", &plain_events, NULL);
}

static void a_chunk_extension_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;",
		  "aaaaaaaa", &plain_events, NULL);
}

static void trailers_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		  "A: b\r\n", &plain_events, NULL);
}

static void a_trailer_line_without_end(void **state)
{
	(void)state;
	run_flood(
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
		"aaaaaaaa", &plain_events, NULL);
}

static void a_chunk_size_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "00000000", &plain_events, NULL);
}

static void a_status_line_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 200 ", "aaaaaaaa", &plain_events, NULL);
}

static void bytes_that_are_no_reply_without_end(void **state)
{
	(void)state;
	run_flood("", "aaaaaaaa", &plain_events, NULL);
}

static void interim_replies_without_end(void **state)
{
	(void)state;
	run_flood("HTTP/1.1 100 Continue\r\n\r\n",
		  "HTTP/1.1 100 Continue\r\n\r\n", &plain_events, NULL);
}

static void replies_to_other_requests_without_end(void **state)
{
	(void)state;
	run_flood("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		  &checked_events, NULL);
}

/* Many replicas flood at once: what one may use depends on all others. */
static void bodies_share_a_bound(void **state)
{
	h1_memory_t memory = { .max = BODY_MAX / 4 };
	const h1_limits_t limits = { HEAD_MAX, BODY_MAX, &memory };
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
	static char bytes[BODY_MAX / 8];
	h1_parser_t parsers[3];
	size_t used;

	(void)state;
	memset(bytes, 'x', sizeof(bytes));
	for (size_t i = 0; i < 3; i++) {
		h1_parser_init(&parsers[i], HTTP_RESPONSE, limits);
		assert_int_equal(h1_parser_feed(&parsers[i],
						medlar_str_from(head), &used),
				 H1_INCOMPLETE);
		assert_int_equal(
			h1_parser_feed(&parsers[i],
				       (medlar_str_t){ bytes, sizeof(bytes) },
				       &used),
			i < 2 ? H1_INCOMPLETE : H1_BODY_TOO_LARGE);
	}
	h1_parser_finish(&parsers[2]);
	h1_parser_init(&parsers[2], HTTP_RESPONSE, limits);
	(void)h1_parser_feed(&parsers[2], medlar_str_from(head), &used);
	assert_int_equal(h1_parser_feed(&parsers[2],
					(medlar_str_t){ bytes, 1000 }, &used),
			 H1_INCOMPLETE);
	for (size_t i = 0; i < 3; i++)
		h1_parser_finish(&parsers[i]);
	assert_int_equal(memory.used, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_head_line_without_end),
		cmocka_unit_test(headers_without_end),
		cmocka_unit_test(empty_lines_without_end),
		cmocka_unit_test(a_body_without_length_or_end),
		cmocka_unit_test(chunks_without_end),
		cmocka_unit_test(a_chunk_extension_without_end),
		cmocka_unit_test(trailers_without_end),
		cmocka_unit_test(a_trailer_line_without_end),
		cmocka_unit_test(a_chunk_size_without_end),
		cmocka_unit_test(a_status_line_without_end),
		cmocka_unit_test(bytes_that_are_no_reply_without_end),
		cmocka_unit_test(interim_replies_without_end),
		cmocka_unit_test(replies_to_other_requests_without_end),
		cmocka_unit_test(bodies_share_a_bound),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
