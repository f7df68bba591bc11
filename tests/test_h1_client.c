/* Outgoing connections that are reset while a request is being sent. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "medlard/h1_client.h"

#define REQUEST_BYTES ((size_t)16 << 20)
#define PASSES_MAX 1000

typedef struct fixture {
	medlar_client_t core;
	loop_t loop;
	h1_client_t client;
	int listener;
	int server; /* the server's side of the connection */
	char *body;
	bool done;
	h1_end_t end;
} fixture_t;

static void on_ready(h1_client_t *client, void *data)
{
	const fixture_t *fixture = data;

	h1_client_send(client, MEDLAR_STR("POST / HTTP/1.1\r\n\r\n"),
		       (medlar_str_t){ fixture->body, REQUEST_BYTES }, false);
}

static void on_done(h1_client_t *client, h1_end_t end, void *data)
{
	fixture_t *fixture = data;

	(void)client;
	fixture->done = true;
	fixture->end = end;
}

static const h1_client_events_t events = { .ready = on_ready, .done = on_done };

static int set_up(void **state)
{
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	const h1_limits_t limits = { 4096, 4096, NULL };
	struct sockaddr_in address = {
		.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)
	};
	socklen_t len = sizeof(address);

	fixture->body = calloc(1, REQUEST_BYTES);
	medlar_client_init(&fixture->core, MEDLAR_STR("t"), 0, 1);
	assert_int_equal(loop_init(&fixture->loop, &fixture->core), MEDLAR_OK);
	fixture->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
		bind(fixture->listener, (struct sockaddr *)&address, len), 0);
	assert_int_equal(listen(fixture->listener, 1), 0);
	assert_int_equal(getsockname(fixture->listener,
				     (struct sockaddr *)&address, &len),
			 0);
	assert_int_equal(h1_client_open(&fixture->client, &fixture->loop,
					&address, limits, &events, fixture),
			 MEDLAR_OK);
	fixture->server = accept(fixture->listener, NULL, NULL);
	assert_true(fixture->server >= 0);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	h1_client_finish(&fixture->client);
	close(fixture->listener);
	loop_finish(&fixture->loop);
	medlar_client_finish(&fixture->core);
	free(fixture->body);
	free(fixture);
	return 0;
}

/* Sends the begin of a reply and polls until the client has received it. */
static void receive(fixture_t *fixture, const char *text)
{
	const h1_message_t *reply = &fixture->client.parser.message;

	assert_int_equal(send(fixture->server, text, strlen(text), 0),
			 strlen(text));
	for (int i = 0; i < PASSES_MAX && reply->body.len == 0; i++)
		(void)loop_poll(&fixture->loop, 0);
	assert_true(reply->body.len > 0);
}

/*
 * Resets the connection after the loop has found it writable, so that a send is the
 * first call that meets the reset.
 */
static void reset_before_send(fixture_t *fixture)
{
	const struct linger at_once = { .l_onoff = 1 };
	const loop_watch_t *watch = &fixture->loop.watches[fixture->client.fd];

	assert_int_equal(setsockopt(fixture->server, SOL_SOCKET, SO_LINGER,
				    &at_once, sizeof(at_once)),
			 0);
	close(fixture->server);
	watch->fn(EPOLLOUT, watch->data);
	for (int i = 0; i < PASSES_MAX && !fixture->done; i++)
		(void)loop_poll(&fixture->loop, 0);
	assert_true(fixture->done);
}

/*
 * Guards against MIXED: send() reported the reset and cleared it, and the next
 * recv() took it for the end of a reply that has no length.
 */
static void a_reset_while_sending_completes_no_reply(void **state)
{
	fixture_t *fixture = *state;

	receive(fixture, "HTTP/1.1 200 OK\r\n\r\nhalf of the body");
	reset_before_send(fixture);
	assert_int_equal(fixture->end, H1_END_BROKEN);
}

static void a_reply_with_a_length_is_broken_by_it_as_well(void **state)
{
	fixture_t *fixture = *state;

	receive(fixture, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
	reset_before_send(fixture);
	assert_int_equal(fixture->end, H1_END_BROKEN);
}

/* The server has answered early, and the rest of the request is not wanted. */
static void a_whole_reply_before_it_is_taken(void **state)
{
	static const char reply[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
	fixture_t *fixture = *state;

	for (int i = 0; i < PASSES_MAX && fixture->client.out_sent == 0; i++)
		(void)loop_poll(&fixture->loop, 0);
	assert_int_equal(send(fixture->server, reply, strlen(reply), 0),
			 strlen(reply));
	for (int i = 0; i < PASSES_MAX && !fixture->done; i++)
		(void)loop_poll(&fixture->loop, 0);
	assert_true(fixture->done);
	assert_int_equal(fixture->end, H1_END_REPLY);
	close(fixture->server);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_reset_while_sending_completes_no_reply, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_reply_with_a_length_is_broken_by_it_as_well, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_whole_reply_before_it_is_taken, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
