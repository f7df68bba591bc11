/**
 * DOC: control interface of the upstream stand-in
 *
 * ``POST /knobs?SELECT&NAME=N``, ``POST /act?SELECT&ACTION=N``,
 * ``POST /repartition?service=S&rotate=K|shift=KEYS``, ``GET /stats`` and
 * ``GET /executions``. SELECT is any of ``service``, ``shard``, ``replica``,
 * ``zone`` and ``name``; what it leaves out matches all.
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
	return fake_request_number(request, name, number) == number;
}

static bool selected(const fake_request_t *request,
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

	fake_replica_apply(replica);
	return set;
}

typedef struct action {
	const char *name;
	void (*act)(fake_replica_t *replica, const char *value);
} action_t;

static void act_die(fake_replica_t *replica, const char *value)
{
	fake_replica_die(replica, strtod(value, NULL));
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

	snprintf(service->crash, sizeof(service->crash), "%s", value);
}

static const action_t actions[] = {
	{ "die", act_die },	    { "silent", act_silent },
	{ "publish", act_publish }, { "retire", act_retire },
	{ "crash", act_crash },
};

static size_t act(fake_replica_t *replica, const fake_request_t *request)
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

static void each(fake_upstream_t *upstream, fake_request_t *request,
		 size_t (*change)(fake_replica_t *replica,
				  const fake_request_t *request))
{
	medlar_buf_t text;
	size_t changed = 0;
	size_t i;

	fake_upstream_lock(upstream);
	for (i = 0; i < upstream->replicas_len; i++) {
		fake_replica_t *replica = &upstream->replicas[i];

		if (selected(request, replica) && change(replica, request))
			changed++;
	}
	fake_upstream_unlock(upstream);
	medlar_buf_init(&text);
	medlar_buf_printf(&text, "{\"changed\":%zu}\n", changed);
	fake_request_text(request, changed ? 200 : 400, &text);
	medlar_buf_finish(&text);
}

static void post_knobs(fake_upstream_t *upstream, fake_request_t *request)
{
	each(upstream, request, set_knobs);
}

static void post_act(fake_upstream_t *upstream, fake_request_t *request)
{
	each(upstream, request, act);
}

static void post_repartition(fake_upstream_t *upstream, fake_request_t *request)
{
	uint64_t shift = fake_request_number(request, "shift", 0);
	uint64_t rotate = fake_request_number(request, "rotate", 0);
	int err = MEDLAR_OK;
	size_t i;

	fake_upstream_lock(upstream);
	for (i = 0; i < upstream->services_len; i++) {
		fake_service_t *service = &upstream->services[i];

		if (!text_matches(request, "service", service->name))
			continue;
		if (rotate)
			fake_service_rotate(service, (uint32_t)rotate);
		if (shift)
			err = fake_service_shift(service, shift);
	}
	fake_upstream_unlock(upstream);
	fake_request_plain(request, err ? 400 : 200, "{}\n");
}

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

static void add_stats(const fake_replica_t *replica, medlar_buf_t *out)
{
	size_t i;

	medlar_buf_printf(out,
			  "{\"name\":\"%s\",\"service\":\"%s\",\"shard\":%u,"
			  "\"replica\":%u,\"zone\":\"%s\",\"slots\":%.0f,"
			  "\"limit\":%.0f,\"connections\":%u,"
			  "\"connections_max\":%u,\"rejected\":%llu",
			  replica->name, replica->service->name, replica->shard,
			  replica->index, replica->zone, replica->knobs.slots,
			  replica->knobs.connections, replica->port.count,
			  replica->port.count_max,
			  (unsigned long long)replica->port.rejected);
	for (i = 0; i < sizeof(counters) / sizeof(counters[0]); i++) {
		const uint64_t *place =
			(const uint64_t *)((const char *)&replica->stats +
					   counters[i].offset);

		medlar_buf_printf(out, ",\"%s\":%llu", counters[i].name,
				  (unsigned long long)*place);
	}
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static void reset_stats(fake_replica_t *replica)
{
	replica->stats = (fake_replica_stats_t){ 0 };
	replica->port.count_max = replica->port.count;
	replica->port.rejected = 0;
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

		if (!selected(request, replica))
			continue;
		medlar_buf_add(&text, medlar_str_from(separator));
		separator = ",\n";
		add_stats(replica, &text);
		if (fake_request_arg(request, "reset"))
			reset_stats(replica);
	}
	fake_upstream_unlock(upstream);
	if (text.len == 0)
		medlar_buf_add(&text, MEDLAR_STR("["));
	medlar_buf_add(&text, MEDLAR_STR("]\n"));
	fake_request_text(request, 200, &text);
	medlar_buf_finish(&text);
}

static void add_log(const fake_replica_t *replica, medlar_buf_t *out)
{
	size_t i;

	for (i = 0; i < replica->log_len; i++) {
		const fake_execution_t *entry = &replica->log[i];

		medlar_buf_printf(out, "%s{\"ms\":%lld,\"replica\":\"%s\",",
				  out->len > 1 ? ",\n" : "",
				  (long long)entry->ms, replica->name);
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
		if (selected(request, &upstream->replicas[i]))
			add_log(&upstream->replicas[i], &text);
	}
	fake_upstream_unlock(upstream);
	medlar_buf_add(&text, MEDLAR_STR("]\n"));
	fake_request_text(request, 200, &text);
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

static void handle(fake_request_t *request, void *data)
{
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].url, request->url) != 0 ||
		    strcmp(routes[i].method, request->method) != 0)
			continue;
		routes[i].handle(data, request);
		return;
	}
	fake_request_plain(request, 404, "{}\n");
}

/** fake_control_ops - handlers of the control port */
const fake_port_ops_t fake_control_ops = { handle, NULL };
