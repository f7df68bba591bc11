/**
 * DOC: callers of the soak of routers, who check what they are told
 *
 * usage: soak_caller SECONDS RATE PORT...
 *
 * Sends searches and orders at a rate over kept connections to the ports, and
 * checks every answer against its request. Prints a line
 * "order ID STATUS" for each order, and "wrong ..." for each answer that
 * cannot be true. Ends with status 1 if there was one.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libroute/records.h"
#include "medlard/clock.h"
#include "router/h1_client.h"

#define PORTS_MAX 8
#define CALLERS_MAX 64
#define SHARDS 4
#define WAIT_MS 2500
#define TICK_MS 5

typedef struct caller {
	h1_client_t client;
	bool open;
	bool waiting;
	bool order;
	uint64_t id;
	medlar_timer_t timer;
	medlar_buf_t head;
	char body[32];
} caller_t;

static loop_t loop;
static medlar_client_t client;
static caller_t callers[CALLERS_MAX];
static uint16_t ports[PORTS_MAX];
static size_t ports_len;
static uint64_t next_id;
static unsigned answered;
static unsigned served;
static unsigned unanswered;
static unsigned wrong;
static medlar_time_t stop_at;
static double credit;
static double rate;
static medlar_timer_t tick;

static void complain(const caller_t *caller, const char *what)
{
	wrong++;
	printf("wrong %" PRIu64 " %s\n", caller->id, what);
}

static void check_order(const caller_t *caller, const h1_message_t *reply)
{
	medlar_str_t body = medlar_buf_str(&reply->body);
	medlar_str_t id = h1_message_find(reply, MEDLAR_STR("x-request-id"));
	char text[32];

	(void)snprintf(text, sizeof(text), "%" PRIu64, caller->id);
	if (!medlar_str_equal(body, medlar_str_from(caller->body)) ||
	    !medlar_str_equal(id, medlar_str_from(text)))
		complain(caller, "an order got another one's answer");
}

/* Proofs look like shard-2-1.ID; each shard may be there once. */
static unsigned check_proofs(const caller_t *caller, medlar_str_t proofs)
{
	bool seen[SHARDS] = { false };
	unsigned count = 0;
	char text[512];
	char *rest = NULL;

	(void)snprintf(text, sizeof(text), "%.*s", (int)proofs.len,
		       proofs.ptr ? proofs.ptr : "");
	for (char *one = strtok_r(text, ", ", &rest); one;
	     one = strtok_r(NULL, ", ", &rest)) {
		unsigned shard = SHARDS;
		unsigned replica;
		uint64_t id = 0;

		if (sscanf(one, "shard-%u-%u.%" SCNu64, &shard, &replica,
			   &id) != 3 ||
		    shard >= SHARDS || seen[shard] || id != caller->id)
			complain(caller, "a proof is not of this request");
		else
			seen[shard] = true;
		count++;
	}
	return count;
}

static void check_search(const caller_t *caller, const h1_message_t *reply)
{
	medlar_str_t missing = h1_message_find(reply,
					       MEDLAR_STR("x-missing-parts"));
	unsigned parts = check_proofs(
		caller, h1_message_find(reply, MEDLAR_STR("x-part-stamps")));
	const medlar_buf_t *body = &reply->body;

	if (!missing.ptr ||
	    parts + (unsigned)(missing.ptr[0] - '0') != SHARDS || parts < 3)
		complain(caller, "parts are miscounted");
	if (body->len != 5 * (size_t)RECORD_LEN)
		complain(caller, "records are missing");
	for (size_t i = RECORD_LEN; i < body->len; i += RECORD_LEN)
		if (memcmp(body->ptr + i - RECORD_LEN, body->ptr + i,
			   RECORD_LEN) < 0)
			complain(caller, "records are out of order");
}

static void note(caller_t *caller, unsigned status)
{
	caller->waiting = false;
	medlar_timer_clear(&client, &caller->timer);
	if (caller->order)
		printf("order %" PRIu64 " %u\n", caller->id, status);
}

static void on_done(h1_client_t *conn, h1_end_t end, void *data)
{
	caller_t *caller = data;
	const h1_message_t *reply = &conn->parser.message;

	if (end != H1_END_REPLY) {
		unanswered++;
		printf("lost %" PRIu64 " at %u\n", caller->id,
		       ports[caller->id % ports_len]);
		note(caller, 0);
		return;
	}
	answered++;
	if (reply->status == 200) {
		served++;
		if (caller->order)
			check_order(caller, reply);
		else
			check_search(caller, reply);
	} else if (reply->status < 500 || reply->status > 504) {
		complain(caller, "refused though it is proper");
	}
	note(caller, reply->status);
}

static void on_ready(h1_client_t *conn, void *data)
{
	caller_t *caller = data;
	medlar_str_t body = { caller->body,
			      caller->order ? strlen(caller->body) : 0 };

	h1_client_send(conn, medlar_buf_str(&caller->head), body, false);
}

static void on_lost(h1_client_t *conn, void *data)
{
	(void)conn;
	(void)data;
}

static const h1_client_events_t events = {
	.ready = on_ready,
	.done = on_done,
	.lost = on_lost,
};

static void on_late(medlar_client_t *owner, medlar_timer_t *timer,
		    medlar_time_t now, void *data)
{
	caller_t *caller = data;

	(void)owner;
	(void)timer;
	(void)now;
	h1_client_finish(&caller->client);
	caller->open = false;
	unanswered++;
	printf("late %" PRIu64 " at %u\n", caller->id,
	       ports[caller->id % ports_len]);
	note(caller, 0);
}

static void reopen(caller_t *caller)
{
	const h1_limits_t limits = { 65536, 65536 };
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { htonl(INADDR_LOOPBACK) },
		.sin_port = htons(ports[caller->id % ports_len]),
	};

	if (caller->open)
		h1_client_finish(&caller->client);
	caller->open = true;
	if (h1_client_open(&caller->client, &loop, &address, limits, &events,
			   caller))
		on_done(&caller->client, H1_END_NOT_SENT, caller);
}

static void begin(caller_t *caller)
{
	caller->id = ++next_id;
	caller->order = caller->id % 3 == 0;
	caller->waiting = true;
	(void)snprintf(caller->body, sizeof(caller->body), "body %" PRIu64,
		       caller->id);
	medlar_buf_reset(&caller->head);
	medlar_buf_printf(
		&caller->head,
		"%s HTTP/1.1\r\nHost: site.example\r\n"
		"X-Request-Id: %" PRIu64 "\r\nX-Deadline-Ms: 2000\r\n",
		caller->order ? "POST /order/x" : "GET /search/x", caller->id);
	if (caller->order)
		medlar_buf_printf(&caller->head, "Content-Length: %zu\r\n",
				  strlen(caller->body));
	medlar_buf_add(&caller->head, MEDLAR_STR("\r\n"));
	(void)medlar_timer_set(&client, &caller->timer, loop.now + WAIT_MS);
	if (caller->open && caller->client.state == H1_IDLE)
		on_ready(&caller->client, caller);
	else
		reopen(caller);
}

static bool any_waiting(void)
{
	for (size_t i = 0; i < CALLERS_MAX; i++)
		if (callers[i].waiting)
			return true;
	return false;
}

static void on_tick(medlar_client_t *owner, medlar_timer_t *timer,
		    medlar_time_t now, void *data)
{
	(void)data;
	if (now >= stop_at && !any_waiting()) {
		loop_stop(&loop);
		return;
	}
	credit += now < stop_at ? rate * TICK_MS / 1000 : 0;
	for (size_t i = 0; i < CALLERS_MAX && credit >= 1; i++) {
		if (callers[i].waiting)
			continue;
		credit -= 1;
		begin(&callers[i]);
	}
	if (credit > CALLERS_MAX)
		credit = CALLERS_MAX;
	(void)medlar_timer_set(owner, timer, now + TICK_MS);
}

int main(int argc, char **argv)
{
	if (argc < 4 || argc - 3 > PORTS_MAX)
		return EXIT_FAILURE;
	(void)signal(SIGPIPE, SIG_IGN);
	next_id = 1000;
	rate = strtod(argv[2], NULL);
	for (int i = 3; i < argc; i++)
		ports[ports_len++] = (uint16_t)strtoul(argv[i], NULL, 10);
	medlar_client_init(&client, MEDLAR_STR("callers"), 0, 1);
	if (loop_init(&loop, &client))
		return EXIT_FAILURE;
	for (size_t i = 0; i < CALLERS_MAX; i++) {
		medlar_timer_init(&callers[i].timer, on_late, &callers[i]);
		medlar_buf_init(&callers[i].head);
	}
	stop_at = loop.now + strtol(argv[1], NULL, 10) * MEDLAR_SECOND;
	medlar_timer_init(&tick, on_tick, NULL);
	(void)medlar_timer_set(&client, &tick, loop.now);
	loop_run(&loop);
	for (size_t i = 0; i < CALLERS_MAX; i++) {
		if (callers[i].open)
			h1_client_finish(&callers[i].client);
		medlar_buf_finish(&callers[i].head);
	}
	loop_finish(&loop);
	medlar_client_finish(&client);
	printf("answered %u served %u unanswered %u wrong %u\n", answered,
	       served, unanswered, wrong);
	return wrong ? EXIT_FAILURE : EXIT_SUCCESS;
}
