/**
 * DOC: requests to the replicas of the upstream stand-in
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_call.h"

#define LOG_CAP_MIN 64

static medlar_time_t from_ms(double ms)
{
	return (medlar_time_t)(ms * (double)FAKE_MILLISECOND);
}

static fake_loop_t *loop_of(const fake_replica_t *replica)
{
	return replica->port.loop;
}

static medlar_rand_t *rand_of(const fake_replica_t *replica)
{
	return &loop_of(replica)->client.rand;
}

static void copy(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static void answer(fake_call_t *call, unsigned status,
		   struct MHD_Response *response)
{
	medlar_timer_clear(&loop_of(call->replica)->client, &call->timer);
	call->state = FAKE_CALL_ANSWERED;
	fake_request_answer(call->request, status, response);
}

static void refuse(fake_call_t *call, unsigned status)
{
	answer(call, status,
	       fake_call_response(call->replica,
				  MEDLAR_STR("{\"error\":\"refused\"}"),
				  call->id, "no"));
}

/* Answers with the previous request's id, range and body if @crossed. */
static void reply(fake_call_t *call, bool crossed)
{
	fake_replica_t *replica = call->replica;
	struct MHD_Response *response;
	medlar_buf_t body;
	char text[64];
	bool swap = crossed && replica->last.body.len > 0;
	medlar_range_t range = swap ? replica->last.range : call->range;
	uint32_t version = swap ? replica->last.version : call->version;

	medlar_buf_init(&body);
	fake_call_result(call, &body);
	response = fake_call_response(
		replica, medlar_buf_str(swap ? &replica->last.body : &body),
		swap ? replica->last.id : call->id, "yes");
	if (!call->write) {
		snprintf(text, sizeof(text), "%llu-%llu",
			 (unsigned long long)range.lo,
			 (unsigned long long)range.hi);
		MHD_add_response_header(response, "Medlar-Range", text);
		snprintf(text, sizeof(text), "%u", version);
		MHD_add_response_header(response, "Medlar-Version", text);
	}
	if (replica->knobs.crossed > 0) {
		copy(replica->last.id, sizeof(replica->last.id), call->id);
		replica->last.range = call->range;
		replica->last.version = call->version;
		medlar_buf_reset(&replica->last.body);
		medlar_buf_add(&replica->last.body, medlar_buf_str(&body));
	}
	medlar_buf_finish(&body);
	answer(call, MHD_HTTP_OK, response);
}

static void set_timer(fake_call_t *call, medlar_time_t delay)
{
	medlar_timer_set(&loop_of(call->replica)->client, &call->timer,
			 fake_now() + delay);
}

static void start_next(fake_replica_t *replica);

static void done(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	const fake_replica_knobs_t *knobs = &replica->knobs;

	replica->running--;
	if (fake_chance(rand_of(replica), knobs->late)) {
		call->state = FAKE_CALL_HELD;
		set_timer(call, from_ms(knobs->late_ms));
	} else {
		reply(call, fake_chance(rand_of(replica), knobs->crossed));
	}
	start_next(replica);
}

static void log_execution(fake_call_t *call, bool crash)
{
	fake_replica_t *replica = call->replica;
	fake_execution_t *entry;

	if (replica->log_len == replica->log_cap) {
		replica->log_cap = replica->log_cap ? 2 * replica->log_cap
						    : LOG_CAP_MIN;
		replica->log = realloc(replica->log,
				       replica->log_cap * sizeof(*entry));
		if (!replica->log)
			abort();
	}
	entry = &replica->log[replica->log_len++];
	entry->ms = fake_wall_ms();
	entry->crash = crash;
	copy(entry->key, sizeof(entry->key),
	     fake_request_header(call->request, "Idempotency-Key"));
	copy(entry->claim, sizeof(entry->claim),
	     fake_request_header(call->request, "Medlar-Claim"));
	copy(entry->id, sizeof(entry->id), call->id);
}

static bool is_crash(const fake_call_t *call)
{
	const char *crash = call->replica->service->crash;
	const char *body = call->request->body.ptr;

	return crash[0] && body && strstr(body, crash);
}

static void run(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	fake_replica_stats_t *stats = &replica->stats;
	medlar_time_t time;

	call->state = FAKE_CALL_RUNNING;
	replica->running++;
	stats->executed++;
	stats->writes += call->write;
	if (replica->running > stats->running_max)
		stats->running_max = replica->running;
	if (is_crash(call)) {
		log_execution(call, true);
		fake_replica_die(replica, replica->knobs.dead_ms);
		return;
	}
	if (call->write)
		log_execution(call, false);
	time = fake_call_time(replica);
	if (time > 0)
		set_timer(call, time);
	else
		done(call);
}

static fake_call_t *dequeue(fake_replica_t *replica)
{
	fake_call_t *call = replica->waiting;

	replica->waiting = call->after;
	if (!replica->waiting)
		replica->waiting_end = NULL;
	replica->queued--;
	return call;
}

static void start_next(fake_replica_t *replica)
{
	while (replica->waiting && replica->running < replica->knobs.slots) {
		fake_call_t *call = dequeue(replica);

		if (call->deadline > fake_now()) {
			run(call);
			continue;
		}
		replica->stats.expired++;
		refuse(call, MHD_HTTP_SERVICE_UNAVAILABLE);
	}
}

static void enqueue(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	fake_replica_stats_t *stats = &replica->stats;
	unsigned in_flight;

	if (replica->running >= replica->knobs.slots &&
	    replica->queued >= replica->knobs.queue) {
		stats->shed++;
		refuse(call, MHD_HTTP_SERVICE_UNAVAILABLE);
		return;
	}
	call->state = FAKE_CALL_WAITING;
	if (replica->waiting_end)
		replica->waiting_end->after = call;
	else
		replica->waiting = call;
	replica->waiting_end = call;
	replica->queued++;
	in_flight = replica->running + replica->queued;
	if (in_flight > stats->in_flight_max)
		stats->in_flight_max = in_flight;
	start_next(replica);
}

static void call_due(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	fake_call_t *call = data;

	(void)client;
	(void)timer;
	(void)now;
	if (call->state == FAKE_CALL_CONNECTING)
		enqueue(call);
	else if (call->state == FAKE_CALL_RUNNING)
		done(call);
	else if (call->state == FAKE_CALL_HELD)
		reply(call, false);
}

static void forget_waiting(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	fake_call_t **link = &replica->waiting;
	fake_call_t *before = NULL;

	while (*link != call) {
		before = *link;
		link = &before->after;
	}
	*link = call->after;
	if (replica->waiting_end == call)
		replica->waiting_end = before;
	replica->queued--;
}

/* Takes a call out of the queue or its slot. */
static void leave(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;

	if (call->state == FAKE_CALL_WAITING)
		forget_waiting(call);
	else if (call->state == FAKE_CALL_RUNNING)
		replica->running--;
}

static void cancel_call(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	bool ran = call->state >= FAKE_CALL_RUNNING;

	leave(call);
	replica->stats.cancelled++;
	answer(call, FAKE_STATUS_CANCELLED,
	       fake_call_response(replica,
				  MEDLAR_STR("{\"error\":\"cancelled\"}"),
				  call->id, ran ? NULL : "no"));
	if (!replica->dead)
		start_next(replica);
}

static void handle_cancel(fake_request_t *request, fake_replica_t *replica)
{
	const char *id = fake_request_header(request, "Medlar-Request-Id");
	fake_call_t *call;

	for (call = replica->calls; call; call = call->next) {
		if (id && call->state != FAKE_CALL_ANSWERED &&
		    !strcmp(call->id, id)) {
			cancel_call(call);
			break;
		}
	}
	fake_request_answer(request, MHD_HTTP_OK,
			    fake_call_response(replica, MEDLAR_STR("{}"),
					       id ? id : "", NULL));
}

static void handle_health(fake_request_t *request, fake_replica_t *replica)
{
	const fake_replica_knobs_t *knobs = &replica->knobs;
	medlar_buf_t text;

	medlar_buf_init(&text);
	medlar_buf_printf(&text, "{\"state\":\"%s\",\"incarnation\":%lld,",
			  replica->drained ? "leaving" : "live",
			  (long long)replica->incarnation);
	medlar_buf_add(&text, MEDLAR_STR("\"versions\":["));
	fake_replica_versions(replica, &text);
	medlar_buf_printf(&text,
			  "],\"shard\":%u,\"slots\":%.0f,\"connections\":%.0f}",
			  replica->shard, knobs->slots, knobs->connections);
	fake_request_text(request, MHD_HTTP_OK, &text);
	medlar_buf_finish(&text);
}

static uint64_t header_number(const fake_request_t *request, const char *name,
			      uint64_t otherwise)
{
	const char *text = fake_request_header(request, name);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static fake_call_t *call_new(fake_request_t *request, fake_replica_t *replica)
{
	const char *range = fake_request_header(request, "Medlar-Range");
	uint64_t left = header_number(request, "Medlar-Deadline-Ms", 0);
	fake_call_t *call = calloc(1, sizeof(*call));
	char *dash = NULL;

	if (!call)
		abort();
	call->replica = replica;
	call->request = request;
	call->write = !strcmp(request->url, "/v1/write");
	copy(call->id, sizeof(call->id),
	     fake_request_header(request, "Medlar-Request-Id"));
	call->version = (uint32_t)header_number(request, "Medlar-Version", 0);
	call->deadline = left ? fake_now() +
					 (medlar_time_t)left * FAKE_MILLISECOND
			      : MEDLAR_TIME_NEVER;
	if (range)
		call->range.lo = strtoull(range, &dash, 10);
	if (dash && *dash == '-')
		call->range.hi = strtoull(dash + 1, NULL, 10);
	medlar_timer_init(&call->timer, call_due, call);
	call->next = replica->calls;
	if (call->next)
		call->next->prev = call;
	replica->calls = call;
	request->data = call;
	return call;
}

static bool serves(const fake_replica_t *replica, uint32_t version)
{
	size_t i;

	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++) {
		if (replica->versions[i] == version)
			return version != 0;
	}
	return false;
}

static void refuse_moved(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	struct MHD_Response *response;
	char text[16];

	replica->stats.moved++;
	response = fake_call_response(
		replica, MEDLAR_STR("{\"error\":\"moved\"}"), call->id, "no");
	snprintf(text, sizeof(text), "%u",
		 fake_service_owner(replica->service, call->range.lo));
	MHD_add_response_header(response, "Medlar-Moved-To", text);
	answer(call, MHD_HTTP_MISDIRECTED_REQUEST, response);
}

/* Refuses what this replica cannot answer. */
static bool check(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	const fake_replica_knobs_t *knobs = &replica->knobs;

	if (knobs->drain > 1 || fake_chance(rand_of(replica), knobs->shed)) {
		replica->stats.shed++;
		refuse(call, MHD_HTTP_SERVICE_UNAVAILABLE);
		return false;
	}
	if (call->write)
		return true;
	if (!serves(replica, call->version)) {
		replica->stats.wrong_version++;
		refuse(call, MHD_HTTP_CONFLICT);
		return false;
	}
	if (!fake_service_holds(replica->service, replica->shard,
				call->range)) {
		refuse_moved(call);
		return false;
	}
	return true;
}

static bool fenced(const fake_call_t *call)
{
	const fake_replica_t *replica = call->replica;
	const char *key = fake_request_header(call->request, "Idempotency-Key");
	const char *claim = fake_request_header(call->request, "Medlar-Claim");
	size_t i;

	if (!call->write || replica->knobs.fence <= 0 || !key || !claim)
		return false;
	for (i = 0; i < replica->log_len; i++) {
		if (!strcmp(replica->log[i].key, key) &&
		    strcmp(replica->log[i].claim, claim) != 0)
			return true;
	}
	return false;
}

static void handle_call(fake_request_t *request, fake_replica_t *replica)
{
	fake_replica_stats_t *stats = &replica->stats;
	fake_call_t *call = call_new(request, replica);

	stats->requests++;
	if (replica->drained) {
		stats->after_drain++;
		stats->after_drain_ms = (uint64_t)((fake_now() -
						    replica->drained) /
						   FAKE_MILLISECOND);
	}
	if (!check(call))
		return;
	if (fenced(call)) {
		refuse(call, MHD_HTTP_CONFLICT);
		return;
	}
	if (request->connection->requests > 1 ||
	    replica->knobs.connect_ms <= 0) {
		enqueue(call);
		return;
	}
	call->state = FAKE_CALL_CONNECTING;
	set_timer(call, from_ms(replica->knobs.connect_ms));
}

static void handle(fake_request_t *request, void *data)
{
	fake_replica_t *replica = data;

	if (!strcmp(request->url, "/v1/query") ||
	    !strcmp(request->url, "/v1/write"))
		handle_call(request, replica);
	else if (!strcmp(request->url, "/v1/cancel"))
		handle_cancel(request, replica);
	else if (!strcmp(request->url, "/v1/health"))
		handle_health(request, replica);
	else
		fake_request_plain(request, MHD_HTTP_NOT_FOUND, "{}");
}

static void finished(fake_request_t *request, void *data)
{
	fake_replica_t *replica = data;
	fake_call_t *call = request->data;

	if (!call)
		return;
	leave(call);
	medlar_timer_clear(&loop_of(replica)->client, &call->timer);
	if (call->next)
		call->next->prev = call->prev;
	if (call->prev)
		call->prev->next = call->next;
	else
		replica->calls = call->next;
	free(call);
	if (!replica->dead)
		start_next(replica);
}

/** fake_call_ops - handlers of a replica's port */
const fake_port_ops_t fake_call_ops = { handle, finished };
