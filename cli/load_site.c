/**
 * DOC: load for routers on the users' platform
 *
 * Each caller has one connection and keeps it until the router closes it. A
 * search is merged from the parts of all shards; an order must not be executed
 * twice. Callers never resend a request, so that a request that is executed
 * twice was resent by a router.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/load.h"
#include "cli/load_site.h"
#include "platform/headers.h"
#include "router/settings.h"

#define REPLY_HEAD_MAX 65536
#define REPLY_BODY_MAX 65536
#define DEADLINE_MS_DEFAULT 2000
/* Time after the deadline for which a caller still waits for the answer. */
#define ANSWER_GRACE_MS 500
#define TICK_MS 1
/* Request ids per seed, so that runs with different seeds share no ids. */
#define IDS_PER_SEED ((uint64_t)100000000)

/* A caller: its connection and its current request. */
typedef struct caller {
	load_request_t request;
	site_load_t *site;
	h1_client_t client;
	bool is_open;
	medlar_timer_t timeout;
	medlar_buf_t head;
} caller_t;

/* next_entry: counter of connections, which are spread over the entries. */
struct site_load {
	load_t *load;
	loop_t loop;
	medlar_client_t client;
	struct sockaddr_in *entries;
	caller_t *callers;
	caller_t **idle;
	size_t idle_len;
	size_t next_entry;
	double next_arrival;
	medlar_timer_t tick_timer;
};

static void end_request(caller_t *caller, const load_result_t *result)
{
	caller->site->idle[caller->site->idle_len++] = caller;
	medlar_timer_clear(&caller->site->client, &caller->timeout);
	load_request_count(&caller->request, result);
	caller->site->load->pending--;
}

static void on_done(h1_client_t *client, h1_end_t how, void *data)
{
	caller_t *caller = data;
	load_result_t result = { .outcome = LOAD_NO_ANSWER };

	if (how == H1_END_REPLY)
		load_site_check(&caller->request, &client->parser.message,
				&result);
	end_request(caller, &result);
}

static void on_ready(h1_client_t *client, void *data)
{
	caller_t *caller = data;

	h1_client_send(client, medlar_buf_str(&caller->head),
		       medlar_buf_str(&caller->request.body), false);
}

static const h1_client_events_t events = {
	.ready = on_ready,
	.done = on_done,
};

static void on_timeout(medlar_client_t *client, medlar_timer_t *timer,
		       medlar_time_t now, void *data)
{
	caller_t *caller = data;
	const load_result_t result = { .outcome = LOAD_NO_ANSWER };

	(void)client;
	(void)timer;
	(void)now;
	h1_client_finish(&caller->client);
	caller->is_open = false;
	end_request(caller, &result);
}

static void connect_caller(caller_t *caller)
{
	const h1_limits_t limits = { REPLY_HEAD_MAX, REPLY_BODY_MAX, NULL };
	site_load_t *site = caller->site;
	size_t entry;

	if (caller->is_open)
		h1_client_finish(&caller->client);
	caller->is_open = true;
	entry = site->next_entry++ % site->load->options->entries_len;
	if (h1_client_open(&caller->client, &site->loop, &site->entries[entry],
			   limits, &events, caller))
		on_done(&caller->client, H1_END_NOT_SENT, caller);
}

static unsigned deadline_ms(const load_t *load)
{
	return load->options->deadline_ms ? load->options->deadline_ms
					  : DEADLINE_MS_DEFAULT;
}

static void write_request(caller_t *caller)
{
	load_request_t *request = &caller->request;
	load_t *load = request->load;
	bool order = request->kind == LOAD_WRITE;

	(void)snprintf(request->key, sizeof(request->key), "%" PRIu64,
		       load->options->seed * IDS_PER_SEED +
			       ++load->requests_made);
	medlar_buf_reset(&request->body);
	if (order)
		medlar_buf_printf(&request->body, "body %s", request->key);
	medlar_buf_reset(&caller->head);
	medlar_buf_printf(&caller->head,
			  "%s HTTP/1.1\r\nHost: site.example\r\n",
			  order ? "POST /order/x" : "GET /search/x");
	headers_write_request(medlar_str_from(request->key), deadline_ms(load),
			      &caller->head);
	if (order)
		medlar_buf_printf(&caller->head, "Content-Length: %zu\r\n",
				  request->body.len);
	medlar_buf_add(&caller->head, MEDLAR_STR("\r\n"));
}

static void start_request(caller_t *caller, medlar_time_t scheduled_at)
{
	site_load_t *site = caller->site;
	load_t *load = site->load;

	caller->request.kind = load_draw_kind(load);
	caller->request.scheduled_at = scheduled_at;
	caller->request.is_counted = scheduled_at >= load->warmup_end;
	load->pending++;
	write_request(caller);
	(void)medlar_timer_set(&site->client, &caller->timeout,
			       site->loop.now + deadline_ms(load) +
				       ANSWER_GRACE_MS);
	if (caller->is_open && caller->client.state == H1_IDLE)
		on_ready(&caller->client, caller);
	else
		connect_caller(caller);
}

/*
 * Starts the requests that are due. While all callers are busy, arrivals wait;
 * the wait counts as latency.
 */
static void on_tick(medlar_client_t *client, medlar_timer_t *timer,
		    medlar_time_t now, void *data)
{
	site_load_t *site = data;
	load_t *load = site->load;
	medlar_time_t load_time = load_now();

	while (site->next_arrival < (double)load_time &&
	       site->next_arrival < (double)load->arrivals_end &&
	       site->idle_len > 0) {
		start_request(site->idle[--site->idle_len],
			      (medlar_time_t)site->next_arrival);
		site->next_arrival += load_draw_interval(load);
	}
	load_progress(load);
	if (load_time >= load->arrivals_end && load->pending == 0)
		loop_stop(&site->loop);
	else
		(void)medlar_timer_set(client, timer, now + TICK_MS);
}

static int site_init(site_load_t *site, load_t *load)
{
	const load_options_t *options = load->options;
	int error;

	*site = (site_load_t){ .load = load };
	medlar_client_init(&site->client, MEDLAR_STR("callers"), 0,
			   options->seed);
	site->entries = calloc(options->entries_len, sizeof(*site->entries));
	site->callers = calloc(options->callers, sizeof(*site->callers));
	site->idle = calloc(options->callers, sizeof(caller_t *));
	if (!site->entries || !site->callers || !site->idle)
		return MEDLAR_ERR_NOMEM;
	error = loop_init(&site->loop, &site->client);
	for (size_t i = 0; !error && i < options->entries_len; i++)
		error = router_address_parse(
			medlar_str_from(options->entries[i]),
			&site->entries[i]);
	for (size_t i = 0; i < options->callers; i++) {
		caller_t *caller = &site->callers[i];

		site->idle[site->idle_len++] = caller;
		caller->site = site;
		caller->request.load = load;
		medlar_timer_init(&caller->timeout, on_timeout, caller);
		medlar_buf_init(&caller->head);
		medlar_buf_init(&caller->request.body);
	}
	return error;
}

static void site_finish(site_load_t *site)
{
	for (size_t i = 0; site->callers && i < site->load->options->callers;
	     i++) {
		if (site->callers[i].is_open)
			h1_client_finish(&site->callers[i].client);
		medlar_buf_finish(&site->callers[i].head);
		medlar_buf_finish(&site->callers[i].request.body);
	}
	loop_finish(&site->loop);
	medlar_client_finish(&site->client);
	free(site->callers);
	free(site->idle);
	free(site->entries);
}

/**
 * load_site_run() - generate the load for routers and wait for all answers
 * @load: run that load_run() has initialised
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_SYNTAX for an entry that is not an address;
 * %MEDLAR_ERR_NOMEM or %MEDLAR_ERR_IO.
 */
int load_site_run(load_t *load)
{
	site_load_t site;
	int error = site_init(&site, load);

	if (!error) {
		site.next_arrival = (double)load->started_at;
		medlar_timer_init(&site.tick_timer, on_tick, &site);
		(void)medlar_timer_set(&site.client, &site.tick_timer,
				       site.loop.now);
		loop_run(&site.loop);
	}
	site_finish(&site);
	return error;
}
