/**
 * DOC: HTTP interface of a replica of fake-upstream, and its queue of requests
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_call.h"

#define EXECUTIONS_CAP_MIN 64

static medlar_time_t ms_to_us(double ms)
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

static void copy_text(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static void answer_call(fake_call_t *call, unsigned status,
			struct MHD_Response *response)
{
	medlar_timer_clear(&loop_of(call->replica)->client, &call->timer);
	call->state = FAKE_CALL_ANSWERED;
	fake_request_answer(call->request, status, response);
}

static void refuse_call(fake_call_t *call, unsigned status)
{
	answer_call(
		call, status,
		fake_call_make_response(call->replica,
					MEDLAR_STR("{\"error\":\"refused\"}"),
					call->id, "no"));
}

/*
 * Sends the result of a call; with @crossed, the id, range, version and body of
 * the previous reply instead.
 */
static void send_result(fake_call_t *call, bool crossed)
{
	fake_replica_t *replica = call->replica;
	struct MHD_Response *response;
	medlar_buf_t body;
	char text[64];
	bool use_last = crossed && replica->last_reply.body.len > 0;
	medlar_range_t range = use_last ? replica->last_reply.range
					: call->range;
	uint32_t version = use_last ? replica->last_reply.version
				    : call->version;

	medlar_buf_init(&body);
	fake_call_write_result(call, &body);
	response = fake_call_make_response(
		replica,
		medlar_buf_str(use_last ? &replica->last_reply.body : &body),
		use_last ? replica->last_reply.id : call->id, "yes");
	if (!call->is_write) {
		snprintf(text, sizeof(text), "%llu-%llu",
			 (unsigned long long)range.lo,
			 (unsigned long long)range.hi);
		MHD_add_response_header(response, "Medlar-Range", text);
		snprintf(text, sizeof(text), "%u", version);
		MHD_add_response_header(response, "Medlar-Version", text);
	}
	if (replica->knobs.crossed > 0) {
		copy_text(replica->last_reply.id,
			  sizeof(replica->last_reply.id), call->id);
		replica->last_reply.range = call->range;
		replica->last_reply.version = call->version;
		medlar_buf_reset(&replica->last_reply.body);
		medlar_buf_add(&replica->last_reply.body,
			       medlar_buf_str(&body));
	}
	medlar_buf_finish(&body);
	answer_call(call, MHD_HTTP_OK, response);
}

static void set_timer(fake_call_t *call, medlar_time_t delay)
{
	medlar_timer_set(&loop_of(call->replica)->client, &call->timer,
			 fake_now() + delay);
}

static void start_next(fake_replica_t *replica);

static void finish_service(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	const fake_replica_knobs_t *knobs = &replica->knobs;

	replica->running--;
	if (fake_rand_chance(rand_of(replica), knobs->late)) {
		call->state = FAKE_CALL_REPLY_DELAYED;
		set_timer(call, ms_to_us(knobs->late_ms));
	} else {
		send_result(call,
			    fake_rand_chance(rand_of(replica), knobs->crossed));
	}
	start_next(replica);
}

static void log_execution(fake_call_t *call, bool crash)
{
	fake_replica_t *replica = call->replica;
	fake_execution_t *entry;

	if (replica->executions_len == replica->executions_cap) {
		replica->executions_cap = replica->executions_cap
						  ? 2 * replica->executions_cap
						  : EXECUTIONS_CAP_MIN;
		replica->executions = realloc(replica->executions,
					      replica->executions_cap *
						      sizeof(*entry));
		if (!replica->executions)
			abort();
	}
	entry = &replica->executions[replica->executions_len++];
	entry->time_ms = fake_wall_time_ms();
	entry->crash = crash;
	copy_text(entry->key, sizeof(entry->key),
		  fake_request_header(call->request, "Idempotency-Key"));
	copy_text(entry->claim, sizeof(entry->claim),
		  fake_request_header(call->request, "Medlar-Claim"));
	copy_text(entry->id, sizeof(entry->id), call->id);
}

static bool triggers_crash(const fake_call_t *call)
{
	const char *crash = call->replica->service->crash_text;
	const char *body = call->request->body.ptr;

	return crash[0] && body && strstr(body, crash);
}

static void run_call(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	fake_replica_stats_t *stats = &replica->stats;
	medlar_time_t time;

	call->state = FAKE_CALL_RUNNING;
	replica->running++;
	stats->executed++;
	stats->writes += call->is_write;
	if (replica->running > stats->running_max)
		stats->running_max = replica->running;
	if (triggers_crash(call)) {
		log_execution(call, true);
		fake_replica_crash(replica, replica->knobs.dead_ms);
		return;
	}
	if (call->is_write)
		log_execution(call, false);
	time = fake_call_draw_service_time(replica);
	if (time > 0)
		set_timer(call, time);
	else
		finish_service(call);
}

static fake_call_t *dequeue(fake_replica_t *replica)
{
	fake_call_t *call = replica->queue_head;

	replica->queue_head = call->queue_next;
	if (!replica->queue_head)
		replica->queue_tail = NULL;
	replica->queued--;
	return call;
}

static void start_next(fake_replica_t *replica)
{
	while (replica->queue_head && replica->running < replica->knobs.slots) {
		fake_call_t *call = dequeue(replica);

		if (call->deadline > fake_now()) {
			run_call(call);
			continue;
		}
		replica->stats.expired++;
		refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE);
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
		refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE);
		return;
	}
	call->state = FAKE_CALL_QUEUED;
	if (replica->queue_tail)
		replica->queue_tail->queue_next = call;
	else
		replica->queue_head = call;
	replica->queue_tail = call;
	replica->queued++;
	in_flight = replica->running + replica->queued;
	if (in_flight > stats->in_flight_max)
		stats->in_flight_max = in_flight;
	start_next(replica);
}

static void on_call_timer(medlar_client_t *client, medlar_timer_t *timer,
			  medlar_time_t now, void *data)
{
	fake_call_t *call = data;

	(void)client;
	(void)timer;
	(void)now;
	if (call->state == FAKE_CALL_CONNECTING)
		enqueue(call);
	else if (call->state == FAKE_CALL_RUNNING)
		finish_service(call);
	else if (call->state == FAKE_CALL_REPLY_DELAYED)
		send_result(call, false);
}

static void remove_from_queue(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	fake_call_t **link = &replica->queue_head;
	fake_call_t *before = NULL;

	while (*link != call) {
		before = *link;
		link = &before->queue_next;
	}
	*link = call->queue_next;
	if (replica->queue_tail == call)
		replica->queue_tail = before;
	replica->queued--;
}

/* Removes a call from the queue or frees its slot. */
static void leave_queue_or_slot(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;

	if (call->state == FAKE_CALL_QUEUED)
		remove_from_queue(call);
	else if (call->state == FAKE_CALL_RUNNING)
		replica->running--;
}

static void cancel_call(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	bool ran = call->state >= FAKE_CALL_RUNNING;

	leave_queue_or_slot(call);
	replica->stats.cancelled++;
	answer_call(call, FAKE_STATUS_CANCELLED,
		    fake_call_make_response(
			    replica, MEDLAR_STR("{\"error\":\"cancelled\"}"),
			    call->id, ran ? NULL : "no"));
	if (!replica->down)
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
			    fake_call_make_response(replica, MEDLAR_STR("{}"),
						    id ? id : "", NULL));
}

static void handle_health(fake_request_t *request, fake_replica_t *replica)
{
	const fake_replica_knobs_t *knobs = &replica->knobs;
	medlar_buf_t text;

	medlar_buf_init(&text);
	medlar_buf_printf(&text, "{\"state\":\"%s\",\"incarnation\":%lld,",
			  replica->drain_started_at ? "leaving" : "live",
			  (long long)replica->incarnation);
	medlar_buf_add(&text, MEDLAR_STR("\"versions\":["));
	fake_replica_write_versions(replica, &text);
	medlar_buf_printf(&text,
			  "],\"shard\":%u,\"slots\":%.0f,\"connections\":%.0f}",
			  replica->shard, knobs->slots, knobs->connections);
	fake_request_answer_json(request, MHD_HTTP_OK, &text);
	medlar_buf_finish(&text);
}

static uint64_t header_number(const fake_request_t *request, const char *name,
			      uint64_t fallback)
{
	const char *text = fake_request_header(request, name);

	return text ? strtoull(text, NULL, 10) : fallback;
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
	call->is_write = !strcmp(request->url, "/v1/write");
	copy_text(call->id, sizeof(call->id),
		  fake_request_header(request, "Medlar-Request-Id"));
	call->version = (uint32_t)header_number(request, "Medlar-Version", 0);
	call->deadline = left ? fake_now() +
					 (medlar_time_t)left * FAKE_MILLISECOND
			      : MEDLAR_TIME_NEVER;
	if (range)
		call->range.lo = strtoull(range, &dash, 10);
	if (dash && *dash == '-')
		call->range.hi = strtoull(dash + 1, NULL, 10);
	medlar_timer_init(&call->timer, on_call_timer, call);
	call->next = replica->calls;
	if (call->next)
		call->next->prev = call;
	replica->calls = call;
	request->data = call;
	return call;
}

static bool serves_version(const fake_replica_t *replica, uint32_t version)
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
	response = fake_call_make_response(
		replica, MEDLAR_STR("{\"error\":\"moved\"}"), call->id, "no");
	snprintf(text, sizeof(text), "%u",
		 fake_service_find_shard(replica->service, call->range.lo));
	MHD_add_response_header(response, "Medlar-Moved-To", text);
	answer_call(call, MHD_HTTP_MISDIRECTED_REQUEST, response);
}

/* Refuses a call that the replica cannot execute; returns false if it did. */
static bool check_call(fake_call_t *call)
{
	fake_replica_t *replica = call->replica;
	const fake_replica_knobs_t *knobs = &replica->knobs;

	if (knobs->drain > 1 ||
	    fake_rand_chance(rand_of(replica), knobs->shed)) {
		replica->stats.shed++;
		refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE);
		return false;
	}
	if (call->is_write)
		return true;
	if (!serves_version(replica, call->version)) {
		replica->stats.wrong_version++;
		refuse_call(call, MHD_HTTP_CONFLICT);
		return false;
	}
	if (!fake_service_shard_holds(replica->service, replica->shard,
				      call->range)) {
		refuse_moved(call);
		return false;
	}
	return true;
}

static bool is_fenced(const fake_call_t *call)
{
	const fake_replica_t *replica = call->replica;
	const char *key = fake_request_header(call->request, "Idempotency-Key");
	const char *claim = fake_request_header(call->request, "Medlar-Claim");
	size_t i;

	if (!call->is_write || replica->knobs.fence <= 0 || !key || !claim)
		return false;
	for (i = 0; i < replica->executions_len; i++) {
		if (!strcmp(replica->executions[i].key, key) &&
		    strcmp(replica->executions[i].claim, claim) != 0)
			return true;
	}
	return false;
}

static void handle_call(fake_request_t *request, fake_replica_t *replica)
{
	fake_replica_stats_t *stats = &replica->stats;
	fake_call_t *call = call_new(request, replica);

	stats->requests++;
	if (replica->drain_started_at) {
		stats->after_drain++;
		stats->after_drain_ms = (uint64_t)((fake_now() -
						    replica->drain_started_at) /
						   FAKE_MILLISECOND);
	}
	if (!check_call(call))
		return;
	if (is_fenced(call)) {
		refuse_call(call, MHD_HTTP_CONFLICT);
		return;
	}
	if (request->connection->requests_received > 1 ||
	    replica->knobs.connect_ms <= 0) {
		enqueue(call);
		return;
	}
	call->state = FAKE_CALL_CONNECTING;
	set_timer(call, ms_to_us(replica->knobs.connect_ms));
}

static void handle_request(fake_request_t *request, void *data)
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
		fake_request_answer_text(request, MHD_HTTP_NOT_FOUND, "{}");
}

static void on_request_finished(fake_request_t *request, void *data)
{
	fake_replica_t *replica = data;
	fake_call_t *call = request->data;

	if (!call)
		return;
	leave_queue_or_slot(call);
	medlar_timer_clear(&loop_of(replica)->client, &call->timer);
	if (call->next)
		call->next->prev = call->prev;
	if (call->prev)
		call->prev->next = call->next;
	else
		replica->calls = call->next;
	free(call);
	if (!replica->down)
		start_next(replica);
}

/** fake_call_ops - HTTP handlers of the port of a replica */
const fake_port_ops_t fake_call_ops = { handle_request, on_request_finished };
