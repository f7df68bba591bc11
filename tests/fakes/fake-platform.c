/**
 * DOC: stand-in for the platform's key-value service and instance list
 *
 * Serves the calls of docs/PLATFORM.md in one thread. ``POST /knobs?NAME=N``
 * sets the knobs in knob_table; ``GET /stats`` returns the counters, and with
 * the argument "reset" sets them to 0. Both work while the knob "down" is set.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_platform.h"

#define PORT_DEFAULT 20000

static const fake_knob_t knob_table[] = {
	{ "down", offsetof(fake_platform_knobs_t, down) },
	{ "slow_ms", offsetof(fake_platform_knobs_t, slow_ms) },
	{ "lose", offsetof(fake_platform_knobs_t, lose) },
	{ "hang", offsetof(fake_platform_knobs_t, hang) },
	{ "lag_ms", offsetof(fake_platform_knobs_t, lag_ms) },
	{ "limit", offsetof(fake_platform_knobs_t, limit) },
	{ "write_limit", offsetof(fake_platform_knobs_t, write_limit) },
	{ NULL, 0 },
};

static bool has_prefix(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

/* Counts a call; returns false if it exceeds a rate limit. */
static bool count_and_check_limits(fake_platform_t *platform,
				   const fake_request_t *request)
{
	const fake_platform_knobs_t *knobs = &platform->knobs;
	fake_platform_stats_t *stats = &platform->stats;
	medlar_time_t second = fake_now() / FAKE_SECOND;

	if (second != platform->current_second) {
		platform->current_second = second;
		platform->calls_this_second = 0;
		platform->writes_this_second = 0;
	}
	stats->calls++;
	platform->calls_this_second++;
	if (platform->calls_this_second > stats->calls_per_second_peak)
		stats->calls_per_second_peak = platform->calls_this_second;
	if (fake_platform_is_write(request)) {
		stats->writes++;
		platform->writes_this_second++;
	} else {
		stats->reads++;
	}
	if (platform->writes_this_second > stats->writes_per_second_peak)
		stats->writes_per_second_peak = platform->writes_this_second;
	if (knobs->limit > 0 &&
	    (double)platform->calls_this_second > knobs->limit)
		return false;
	return !fake_platform_is_write(request) || knobs->write_limit <= 0 ||
	       (double)platform->writes_this_second <= knobs->write_limit;
}

/* Time at which a change of the list made now becomes visible. */
static medlar_time_t list_visible_at(const fake_platform_t *platform)
{
	return fake_now() + (medlar_time_t)(platform->knobs.lag_ms *
					    (double)FAKE_MILLISECOND);
}

static void register_service(fake_platform_t *platform,
			     fake_platform_call_t *call, const char *rest)
{
	(void)rest;
	if (fake_list_register(&platform->list,
			       medlar_buf_str(&call->request->body), fake_now(),
			       list_visible_at(platform)) == MEDLAR_OK)
		fake_platform_answer_write(platform, call->request, "");
	else
		fake_request_answer_text(call->request, 400,
					 "Missing ID or Name");
}

static void deregister_service(fake_platform_t *platform,
			       fake_platform_call_t *call, const char *rest)
{
	fake_list_deregister(&platform->list, rest, fake_now(),
			     list_visible_at(platform));
	fake_platform_answer_write(platform, call->request, "");
}

static void get_list(fake_platform_t *platform, fake_platform_call_t *call,
		     const char *rest)
{
	medlar_buf_t text;

	medlar_buf_init(&text);
	fake_list_write_service(&platform->list, rest, fake_now(), &text);
	fake_platform_answer_read(call->request, &text, 200,
				  platform->kv.index + 1);
	medlar_buf_finish(&text);
}

typedef struct route {
	const char *method;
	const char *prefix;
	void (*handle)(fake_platform_t *platform, fake_platform_call_t *call,
		       const char *rest);
} route_t;

static const route_t routes[] = {
	{ "GET", "/v1/kv/", fake_platform_handle_key },
	{ "PUT", "/v1/kv/", fake_platform_handle_key },
	{ "PUT", "/v1/session/create", fake_platform_create_session },
	{ "PUT", "/v1/session/renew/", fake_platform_renew_session },
	{ "PUT", "/v1/session/destroy/", fake_platform_destroy_session },
	{ "GET", "/v1/health/service/", get_list },
	{ "PUT", "/v1/agent/service/register", register_service },
	{ "PUT", "/v1/agent/service/deregister/", deregister_service },
};

static void dispatch_call(fake_platform_t *platform, fake_platform_call_t *call)
{
	const fake_request_t *request = call->request;
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const route_t *entry = &routes[i];

		if (strcmp(entry->method, request->method) != 0 ||
		    !has_prefix(request->url, entry->prefix))
			continue;
		entry->handle(platform, call,
			      request->url + strlen(entry->prefix));
		return;
	}
	fake_request_answer_text(call->request, 404, "Not found");
}

static void on_delay_end(medlar_client_t *client, medlar_timer_t *timer,
			 medlar_time_t now, void *data)
{
	fake_platform_call_t *call = data;

	(void)client;
	(void)timer;
	(void)now;
	dispatch_call(call->platform, call);
}

static void get_stats(fake_platform_t *platform, fake_request_t *request)
{
	const fake_platform_stats_t *stats = &platform->stats;
	medlar_buf_t text;

	medlar_buf_init(&text);
	medlar_buf_printf(
		&text,
		"{\"calls\":%llu,\"reads\":%llu,\"writes\":%llu,"
		"\"watches\":%llu,\"conflicts\":%llu,\"limited\":%llu,"
		"\"lost\":%llu,\"peak\":%llu,\"write_peak\":%llu,"
		"\"keys\":%zu}\n",
		(unsigned long long)stats->calls,
		(unsigned long long)stats->reads,
		(unsigned long long)stats->writes,
		(unsigned long long)stats->watches,
		(unsigned long long)stats->conflicts,
		(unsigned long long)stats->rate_limited,
		(unsigned long long)stats->replies_lost,
		(unsigned long long)stats->calls_per_second_peak,
		(unsigned long long)stats->writes_per_second_peak,
		platform->kv.len);
	fake_request_answer_json(request, 200, &text);
	medlar_buf_finish(&text);
}

static bool handle_control(fake_platform_t *platform, fake_request_t *request)
{
	if (!strcmp(request->url, "/stats")) {
		get_stats(platform, request);
		if (fake_request_arg(request, "reset"))
			platform->stats = (fake_platform_stats_t){ 0 };
		return true;
	}
	if (strcmp(request->url, "/knobs") != 0)
		return false;
	if (fake_knobs_from_args(knob_table, &platform->knobs, request))
		fake_request_answer_text(request, 200, "{}\n");
	else
		fake_request_answer_text(request, 400, "unknown knob\n");
	return true;
}

static void handle_request(fake_request_t *request, void *data)
{
	fake_platform_t *platform = data;
	const fake_platform_knobs_t *knobs = &platform->knobs;
	fake_platform_call_t *call;

	if (handle_control(platform, request))
		return;
	if (knobs->down == 1) {
		fake_request_abort(request);
		return;
	}
	if (knobs->down > 1)
		return;
	if (!count_and_check_limits(platform, request)) {
		platform->stats.rate_limited++;
		fake_request_answer_text(request, 429, "Too many requests");
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->platform = platform;
	call->request = request;
	request->data = call;
	if (knobs->slow_ms <= 0) {
		dispatch_call(platform, call);
		return;
	}
	medlar_timer_init(&call->timer, on_delay_end, call);
	medlar_timer_set(&platform->loop.client, &call->timer,
			 fake_now() + (medlar_time_t)(knobs->slow_ms *
						      FAKE_MILLISECOND));
}

static void on_request_finished(fake_request_t *request, void *data)
{
	fake_platform_t *platform = data;
	fake_platform_call_t *call = request->data;

	if (!call)
		return;
	fake_platform_end_watch(call);
	medlar_timer_clear(&platform->loop.client, &call->timer);
	free(call);
}

static const fake_port_ops_t port_ops = { handle_request, on_request_finished };

typedef struct options {
	uint16_t port;
	fake_platform_t *platform;
} options_t;

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	if (key == 'p')
		options->port = (uint16_t)strtoul(arg, NULL, 10);
	else if (key != 'k')
		return ARGP_ERR_UNKNOWN;
	else if (fake_knobs_from_text(knob_table, &options->platform->knobs,
				      arg))
		argp_error(state, "unknown knob in '%s'", arg);
	return 0;
}

static const struct argp_option option_table[] = {
	{ "port", 'p', "PORT", 0, "TCP port on the loopback address", 0 },
	{ "knob", 'k', "NAME=N[,...]", 0, "set a knob at the start", 0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	const struct argp argp = {
		option_table,
		parse_option,
		NULL,
		"Stand-in for the platform's key-value service and instance "
		"list.",
		NULL,
		NULL,
		NULL
	};
	fake_platform_t platform = { .kv.index = 1 };
	options_t options = { PORT_DEFAULT, &platform };
	pthread_t signal_thread;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (fake_loop_init(&platform.loop, 1) != MEDLAR_OK)
		return EXIT_FAILURE;
	fake_port_init(&platform.port, &platform.loop, options.port, &port_ops,
		       &platform);
	if (fake_port_open(&platform.port) != MEDLAR_OK ||
	    fake_loop_stop_on_signal(&platform.loop, &signal_thread)) {
		fprintf(stderr, "fake-platform: cannot listen on port %u\n",
			options.port);
		return EXIT_FAILURE;
	}
	fake_loop_run(&platform.loop);
	pthread_join(signal_thread, NULL);
	fake_port_close(&platform.port);
	fake_loop_finish(&platform.loop);
	fake_kv_finish(&platform.kv);
	fake_list_finish(&platform.list);
	return EXIT_SUCCESS;
}
