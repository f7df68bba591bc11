/* The HTTP/1.1 server: pipelining, rejections and closed connections. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "medlard/h1_server.h"

#define REQUEST "GET /a HTTP/1.1\r\n\r\n"
#define PIPELINED ((size_t)2000)
/* Stack that requests handled one after the other may differ by, bytes. */
#define STACK_MAX 4096
#define ANSWER_SIZE 512

/*
 * A server and a client on one thread. The loop ends once @wanted requests,
 * rejections or disconnections were seen.
 */
typedef struct fixture {
	medlar_client_t client;
	loop_t loop;
	h1_server_t server;
	struct sockaddr_in address;
	int fd;
	bool answers_later;
	h1_conn_t *waiting;
	size_t wanted;
	size_t requests;
	size_t disconnected;
	size_t opened;
	size_t closed;
	unsigned rejected_status;
	uintptr_t stack_lowest;
	uintptr_t stack_highest;
} fixture_t;

static void count_event(fixture_t *fixture, size_t *counter)
{
	++*counter;
	if (--fixture->wanted == 0)
		loop_stop(&fixture->loop);
}

static void on_request(h1_conn_t *conn, void *data)
{
	fixture_t *fixture = data;
	uintptr_t here = (uintptr_t)__builtin_frame_address(0);

	if (here < fixture->stack_lowest)
		fixture->stack_lowest = here;
	if (here > fixture->stack_highest)
		fixture->stack_highest = here;
	count_event(fixture, &fixture->requests);
	if (fixture->answers_later)
		fixture->waiting = conn;
	else
		h1_conn_answer_status(conn, 204);
}

static void on_disconnected(h1_conn_t *conn, void *data)
{
	fixture_t *fixture = data;

	assert_ptr_equal(conn, fixture->waiting);
	fixture->waiting = NULL;
	count_event(fixture, &fixture->disconnected);
}

static void on_rejected(h1_conn_t *conn, unsigned status, void *data)
{
	fixture_t *fixture = data;
	size_t rejected = 0;

	fixture->rejected_status = status;
	h1_conn_answer(conn, status, MEDLAR_STR("A: b\r\n"), MEDLAR_STR("no"));
	count_event(fixture, &rejected);
}

static void on_opened(void *data)
{
	((fixture_t *)data)->opened++;
}

static void on_closed(void *data)
{
	((fixture_t *)data)->closed++;
}

static const h1_handler_t handler = {
	.request = on_request,
	.disconnected = on_disconnected,
	.rejected = on_rejected,
	.opened = on_opened,
	.closed = on_closed,
};

static const h1_server_options_t options = {
	.message = { 1024, 16 },
	.receive_ms = 20,
	.idle_ms = MEDLAR_MINUTE,
};

static int setup(void **state)
{
	static fixture_t fixture;
	socklen_t len = sizeof(fixture.address);

	fixture = (fixture_t){ .stack_lowest = UINTPTR_MAX };
	*state = &fixture;
	medlar_client_init(&fixture.client, MEDLAR_STR("test"), 0, 1);
	fixture.address = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr = { htonl(INADDR_LOOPBACK) },
	};
	fixture.fd = socket(AF_INET, SOCK_STREAM, 0);
	if (loop_init(&fixture.loop, &fixture.client) ||
	    h1_server_init(&fixture.server, &fixture.loop,
			   (const struct sockaddr *)&fixture.address, &options,
			   4, &handler, &fixture) ||
	    getsockname(fixture.server.fd, (struct sockaddr *)&fixture.address,
			&len))
		return -1;
	return connect(fixture.fd, (const struct sockaddr *)&fixture.address,
		       len);
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	h1_server_finish(&fixture->server);
	close(fixture->fd);
	loop_finish(&fixture->loop);
	medlar_client_finish(&fixture->client);
	return 0;
}

static void run_until(fixture_t *fixture, size_t events)
{
	fixture->wanted = events;
	fixture->loop.stopped = false;
	loop_run(&fixture->loop);
}

static void send_text(const fixture_t *fixture, const char *text)
{
	assert_int_equal(send(fixture->fd, text, strlen(text), 0),
			 (ssize_t)strlen(text));
}

static void assert_answer_begins(const fixture_t *fixture, const char *text)
{
	char answer[ANSWER_SIZE] = { 0 };

	assert_true(recv(fixture->fd, answer, sizeof(answer) - 1, 0) > 0);
	assert_memory_equal(answer, text, strlen(text));
}

/* Handling each request inside the previous one would exhaust the stack. */
static void pipelined_requests_use_constant_stack(void **state)
{
	fixture_t *fixture = *state;
	medlar_buf_t text;

	medlar_buf_init(&text);
	for (size_t i = 0; i < PIPELINED; i++)
		medlar_buf_add(&text, MEDLAR_STR(REQUEST));
	send_text(fixture, text.ptr);
	medlar_buf_finish(&text);
	run_until(fixture, PIPELINED);
	assert_int_equal(fixture->requests, PIPELINED);
	assert_true(fixture->stack_highest - fixture->stack_lowest <=
		    STACK_MAX);
	assert_answer_begins(fixture, "HTTP/1.1 204 No Content\r\n\r\n"
				      "HTTP/1.1 204 No Content\r\n\r\n");
}

static void next_request_waits_for_the_answer(void **state)
{
	fixture_t *fixture = *state;

	fixture->answers_later = true;
	send_text(fixture, REQUEST REQUEST REQUEST);
	run_until(fixture, 1);
	assert_int_equal(fixture->requests, 1);
	fixture->wanted = PIPELINED;
	h1_conn_answer_status(fixture->waiting, 200);
	assert_int_equal(fixture->requests, 2);
	h1_conn_answer_status(fixture->waiting, 404);
	assert_int_equal(fixture->requests, 3);
	assert_answer_begins(fixture,
			     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			     "HTTP/1.1 404 Not Found\r\n");
	h1_conn_answer_status(fixture->waiting, 200);
	assert_int_equal(h1_server_count_busy(&fixture->server), 0);
}

static void rejections_are_written_by_the_handler(void **state)
{
	static const struct {
		const char *text;
		unsigned status;
		const char *answer;
	} cases[] = {
		{ "nonsense\r\n\r\n", 400,
		  "HTTP/1.1 400 Bad Request\r\nA: b\r\nContent-Length: 2\r\n"
		  "Connection: close\r\n\r\nno" },
		{ "POST /a HTTP/1.1\r\nContent-Length: 17\r\n\r\n"
		  "12345678901234567",
		  413, "HTTP/1.1 413 Content Too Large\r\nA: b\r\n" },
		{ "GET /a HTTP/1.1\r\nA: b", 408,
		  "HTTP/1.1 408 Request Timeout\r\nA: b\r\n" },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		void *own = NULL;
		fixture_t *fixture;

		assert_int_equal(setup(&own), 0);
		fixture = own;
		send_text(fixture, cases[i].text);
		run_until(fixture, 1);
		assert_int_equal(fixture->rejected_status, cases[i].status);
		assert_int_equal(fixture->requests, 0);
		assert_answer_begins(fixture, cases[i].answer);
		teardown(&own);
	}
}

static void closing_tells_the_handler(void **state)
{
	fixture_t *fixture = *state;

	fixture->answers_later = true;
	send_text(fixture, REQUEST);
	run_until(fixture, 1);
	assert_int_equal(h1_server_count_busy(&fixture->server), 1);
	assert_int_equal(shutdown(fixture->fd, SHUT_WR), 0);
	run_until(fixture, 1);
	assert_int_equal(fixture->disconnected, 1);
	assert_int_equal(fixture->opened, 1);
	assert_int_equal(fixture->closed, 1);
	assert_int_equal(fixture->server.conns_len, 0);
}

static void port_is_shared_only_on_request(void **state)
{
	fixture_t *fixture = *state;
	h1_server_options_t shared = options;
	struct sockaddr_in any = { .sin_family = AF_INET,
				   .sin_addr = { htonl(INADDR_LOOPBACK) } };
	socklen_t len = sizeof(any);
	h1_server_t first;
	h1_server_t second;

	assert_int_equal(
		h1_server_init(&first, &fixture->loop,
			       (const struct sockaddr *)&fixture->address,
			       &options, 4, &handler, fixture),
		MEDLAR_ERR_IO);
	shared.shares_port = true;
	assert_int_equal(h1_server_init(&first, &fixture->loop,
					(const struct sockaddr *)&any, &shared,
					4, &handler, fixture),
			 MEDLAR_OK);
	assert_int_equal(getsockname(first.fd, (struct sockaddr *)&any, &len),
			 0);
	assert_int_equal(h1_server_init(&second, &fixture->loop,
					(const struct sockaddr *)&any, &shared,
					4, &handler, fixture),
			 MEDLAR_OK);
	h1_server_finish(&second);
	h1_server_finish(&first);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			pipelined_requests_use_constant_stack, setup, teardown),
		cmocka_unit_test_setup_teardown(
			next_request_waits_for_the_answer, setup, teardown),
		cmocka_unit_test(rejections_are_written_by_the_handler),
		cmocka_unit_test_setup_teardown(closing_tells_the_handler,
						setup, teardown),
		cmocka_unit_test_setup_teardown(port_is_shared_only_on_request,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
