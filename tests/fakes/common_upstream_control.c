/**
 * DOC: HTTP control interface of fake-upstream
 *
 * ``POST /knobs?SELECT&NAME=N``, ``POST /act?SELECT&ACTION=N``,
 * ``POST /repartition?service=S&rotate=K|shift=KEYS``, ``GET /stats`` and
 * ``GET /executions``. SELECT is any of the arguments
 * ``service``, ``shard``, ``replica``, ``zone`` and ``name`` with their values;
 * it selects the replicas that match all of those given. ACTION is a name in
 * the table of actions.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_upstream.h"

static bool text_matches(const fake_request_t *request, const char *name,
			 const char *text)
{
	const char *wanted = fake_request_arg(request, name);

	return !wanted || !strcmp(wanted, text);
}

static bool number_matches(const fake_request_t *request, const char *name,
			   uint64_t number)
{
	return fake_request_arg_number(request, name, number) == number;
}

static bool is_selected(const fake_request_t *request,
			const fake_replica_t *replica)
{
	return text_matches(request, "service", replica->service->name) &&
	       text_matches(request, "zone", replica->zone) &&
	       text_matches(request, "name", replica->name) &&
	       number_matches(request, "shard", replica->shard) &&
	       number_matches(request, "replica", replica->index);
}

static size_t set_knobs(fake_replica_t *replica, const fake_request_t *request)
{
	size_t set = fake_knobs_from_args(fake_replica_knob_table,
					  &replica->knobs, request);

	fake_replica_apply_knobs(replica);
	return set;
}

/* An action on a replica, called with the value of its argument. */
typedef struct action {
	const char *name;
	void (*act)(fake_replica_t *replica, const char *value);
} action_t;

static void act_die(fake_replica_t *replica, const char *value)
{
	fake_replica_crash(replica, strtod(value, NULL));
}

static void act_silent(fake_replica_t *replica, const char *value)
{
	unsigned every = (unsigned)strtoul(value, NULL, 10);

	fake_port_silence(&replica->port, every ? every : 1);
}

static void act_publish(fake_replica_t *replica, const char *value)
{
	fake_replica_publish(replica, (uint32_t)strtoul(value, NULL, 10));
}

static void act_retire(fake_replica_t *replica, const char *value)
{
	fake_replica_retire(replica, (uint32_t)strtoul(value, NULL, 10));
}

static void act_crash(fake_replica_t *replica, const char *value)
{
	fake_service_t *service = replica->service;

	snprintf(service->crash_text, sizeof(service->crash_text), "%s", value);
}

static const action_t actions[] = {
	{ "die", act_die },	    { "silent", act_silent },
	{ "publish", act_publish }, { "retire", act_retire },
	{ "crash", act_crash },
};

/* Returns how many actions the request named. */
static size_t apply_actions(fake_replica_t *replica,
			    const fake_request_t *request)
{
	size_t done = 0;
	size_t i;

	for (i = 0; i < sizeof(actions) / sizeof(actions[0]); i++) {
		const char *value = fake_request_arg(request, actions[i].name);

		if (!value)
			continue;
		actions[i].act(replica, value);
		done++;
	}
	return done;
}

/* Calls @change for each selected replica; it returns 0 if nothing was set. */
static void change_selected(fake_upstream_t *upstream, fake_request_t *request,
			    size_t (*change)(fake_replica_t *replica,
					     const fake_request_t *request))
{
	medlar_buf_t text;
	size_t changed = 0;
	size_t i;

	fake_upstream_lock(upstream);
	for (i = 0; i < upstream->replicas_len; i++) {
		fake_replica_t *replica = &upstream->replicas[i];

		if (is_selected(request, replica) && change(replica, request))
			changed++;
	}
	fake_upstream_unlock(upstream);
	medlar_buf_init(&text);
	medlar_buf_printf(&text, "{\"changed\":%zu}\n", changed);
	fake_request_answer_json(request, changed ? 200 : 400, &text);
	medlar_buf_finish(&text);
}

static void post_knobs(fake_upstream_t *upstream, fake_request_t *request)
{
	change_selected(upstream, request, set_knobs);
}

static void post_act(fake_upstream_t *upstream, fake_request_t *request)
{
	change_selected(upstream, request, apply_actions);
}

static void post_repartition(fake_upstream_t *upstream, fake_request_t *request)
{
	uint64_t shift = fake_request_arg_number(request, "shift", 0);
	uint64_t rotate = fake_request_arg_number(request, "rotate", 0);
	int err = MEDLAR_OK;
	size_t i;

	fake_upstream_lock(upstream);
	for (i = 0; i < upstream->services_len; i++) {
		fake_service_t *service = &upstream->services[i];

		if (!text_matches(request, "service", service->name))
			continue;
		if (rotate)
			fake_service_rotate_shards(service, (uint32_t)rotate);
		if (shift)
			err = fake_service_shift_bounds(service, shift);
	}
	fake_upstream_unlock(upstream);
	fake_request_answer_text(request, err ? 400 : 200, "{}\n");
}

/* A counter of a replica, written under its own name. */
typedef struct counter {
	const char *name;
	size_t offset;
} counter_t;

#define COUNTER(name)                                       \
	{                                                   \
#name, offsetof(fake_replica_stats_t, name) \
	}

static const counter_t counters[] = {
	COUNTER(requests),	COUNTER(executed),    COUNTER(writes),
	COUNTER(in_flight_max), COUNTER(running_max), COUNTER(cancelled),
	COUNTER(shed),		COUNTER(expired),     COUNTER(moved),
	COUNTER(wrong_version), COUNTER(after_drain), COUNTER(after_drain_ms),
	COUNTER(deaths),
};

static void write_stats(const fake_replica_t *replica, medlar_buf_t *out)
{
	size_t i;

	medlar_buf_printf(
		out,
		"{\"name\":\"%s\",\"service\":\"%s\",\"shard\":%u,"
		"\"replica\":%u,\"zone\":\"%s\",\"slots\":%.0f,"
		"\"limit\":%.0f,\"connections\":%u,"
		"\"connections_max\":%u,\"rejected\":%llu",
		replica->name, replica->service->name, replica->shard,
		replica->index, replica->zone, replica->knobs.slots,
		replica->knobs.connections, replica->port.connections_open,
		replica->port.connections_open_max,
		(unsigned long long)replica->port.connections_rejected);
	for (i = 0; i < sizeof(counters) / sizeof(counters[0]); i++) {
		const uint64_t *value =
			(const uint64_t *)((const char *)&replica->stats +
					   counters[i].offset);

		medlar_buf_printf(out, ",\"%s\":%llu", counters[i].name,
				  (unsigned long long)*value);
	}
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static void reset_stats(fake_replica_t *replica)
{
	replica->stats = (fake_replica_stats_t){ 0 };
	replica->port.connections_open_max = replica->port.connections_open;
	replica->port.connections_rejected = 0;
}

static void get_stats(fake_upstream_t *upstream, fake_request_t *request)
{
	const char *separator = "[";
	medlar_buf_t text;
	size_t i;

	medlar_buf_init(&text);
	fake_upstream_lock(upstream);
	for (i = 0; i < upstream->replicas_len; i++) {
		fake_replica_t *replica = &upstream->replicas[i];

		if (!is_selected(request, replica))
			continue;
		medlar_buf_add(&text, medlar_str_from(separator));
		separator = ",\n";
		write_stats(replica, &text);
		if (fake_request_arg(request, "reset"))
			reset_stats(replica);
	}
	fake_upstream_unlock(upstream);
	if (text.len == 0)
		medlar_buf_add(&text, MEDLAR_STR("["));
	medlar_buf_add(&text, MEDLAR_STR("]\n"));
	fake_request_answer_json(request, 200, &text);
	medlar_buf_finish(&text);
}

static void write_executions(const fake_replica_t *replica, medlar_buf_t *out)
{
	size_t i;

	for (i = 0; i < replica->executions_len; i++) {
		const fake_execution_t *entry = &replica->executions[i];

		medlar_buf_printf(out, "%s{\"ms\":%lld,\"replica\":\"%s\",",
				  out->len > 1 ? ",\n" : "",
				  (long long)entry->time_ms, replica->name);
		medlar_buf_add(out, MEDLAR_STR("\"key\":"));
		medlar_buf_json_string(out, medlar_str_from(entry->key));
		medlar_buf_add(out, MEDLAR_STR(",\"claim\":"));
		medlar_buf_json_string(out, medlar_str_from(entry->claim));
		medlar_buf_add(out, MEDLAR_STR(",\"id\":"));
		medlar_buf_json_string(out, medlar_str_from(entry->id));
		medlar_buf_printf(out, ",\"crash\":%s}",
				  entry->crash ? "true" : "false");
	}
}

static void get_executions(fake_upstream_t *upstream, fake_request_t *request)
{
	medlar_buf_t text;
	size_t i;

	medlar_buf_init(&text);
	medlar_buf_add(&text, MEDLAR_STR("["));
	fake_upstream_lock(upstream);
	for (i = 0; i < upstream->replicas_len; i++) {
		if (is_selected(request, &upstream->replicas[i]))
			write_executions(&upstream->replicas[i], &text);
	}
	fake_upstream_unlock(upstream);
	medlar_buf_add(&text, MEDLAR_STR("]\n"));
	fake_request_answer_json(request, 200, &text);
	medlar_buf_finish(&text);
}

typedef struct route {
	const char *method;
	const char *url;
	void (*handle)(fake_upstream_t *upstream, fake_request_t *request);
} route_t;

static const route_t routes[] = {
	{ "POST", "/knobs", post_knobs },
	{ "POST", "/act", post_act },
	{ "POST", "/repartition", post_repartition },
	{ "GET", "/stats", get_stats },
	{ "GET", "/executions", get_executions },
};

static void handle_request(fake_request_t *request, void *data)
{
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].url, request->url) != 0 ||
		    strcmp(routes[i].method, request->method) != 0)
			continue;
		routes[i].handle(data, request);
		return;
	}
	fake_request_answer_text(request, 404, "{}\n");
}

/** fake_control_ops - handlers of the control port */
const fake_port_ops_t fake_control_ops = { handle_request, NULL };
