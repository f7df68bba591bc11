/**
 * DOC: sends a part of a query, with retries, until it is answered or fails
 */
#include <string.h>

#include "query.h"

/* Failed attempts after which a part fails. */
#define PART_FAILURES_MAX 6
/* Attempts after which even unsent ones are retried with a back-off. */
#define IMMEDIATE_SENDS_MAX 2

/**
 * medlar_query_part_index() - index of a part in its query
 * @query: query
 * @part: one of its parts
 *
 * Return: 0 to the number of parts - 1.
 */
size_t medlar_query_part_index(const medlar_query_t *query,
			       const medlar_part_t *part)
{
	return (size_t)(part - query->parts);
}

static void remember_tried(medlar_part_t *part, medlar_replica_t *replica)
{
	if (part->tried_len == MEDLAR_TRIED_MAX) {
		memmove(&part->tried[0], &part->tried[1],
			(MEDLAR_TRIED_MAX - 1) * sizeof(part->tried[0]));
		part->tried_len--;
	}
	part->tried[part->tried_len++] = replica;
}

static void fill_request_id(medlar_client_t *client, medlar_attempt_t *attempt)
{
	uint64_t bits[2] = { medlar_rand_next(&client->rand),
			     medlar_rand_next(&client->rand) };

	_Static_assert(sizeof(bits) == MEDLAR_REQUEST_ID_LEN, "id length");
	memcpy(attempt->id, bits, sizeof(bits));
}

static void trace_send(medlar_client_t *client, const medlar_query_t *query,
		       const medlar_part_t *part,
		       const medlar_attempt_t *attempt)
{
	static const medlar_event_t events[MEDLAR_ATTEMPT_KINDS] = {
		[MEDLAR_ATTEMPT_FIRST] = MEDLAR_EVENT_PICK,
		[MEDLAR_ATTEMPT_HEDGE] = MEDLAR_EVENT_HEDGE,
		[MEDLAR_ATTEMPT_RETRY] = MEDLAR_EVENT_RETRY,
		[MEDLAR_ATTEMPT_REDIRECT] = MEDLAR_EVENT_RETRY,
	};
	const medlar_replica_info_t *info = medlar_replica_info(
		attempt->replica);

	MEDLAR_QUERY_TRACE(
		client, events[attempt->kind],
		MEDLAR_HEX("query", query->params.fingerprint),
		MEDLAR_NUM("shard", part->shard),
		MEDLAR_TEXT("replica", medlar_str_from(info->name)),
		MEDLAR_NUM("kind", attempt->kind),
		MEDLAR_NUM("trial", attempt->trial),
		MEDLAR_NUM("version", attempt->version),
		MEDLAR_NUM("tokens", query->queries->service->budget.tokens));
}

/**
 * medlar_part_send_to() - send a part to a given replica
 * @client: client
 * @query: a running query
 * @part: an open part of it
 * @replica: replica to send it to
 * @now: current time
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_part_send_to(medlar_client_t *client, medlar_query_t *query,
			medlar_part_t *part, medlar_replica_t *replica,
			medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_service_t *service = queries->service;
	medlar_attempt_t *attempt = medlar_pool_get_attempt(queries);

	if (!attempt)
		return MEDLAR_ERR_NOMEM;
	medlar_part_queue_remove(queries, part);
	fill_request_id(client, attempt);
	attempt->origin.query = query;
	attempt->replica = replica;
	attempt->next = part->attempts;
	attempt->sent = (uint32_t)now;
	attempt->version = query->version;
	attempt->part = (uint16_t)medlar_query_part_index(query, part);
	attempt->kind = part->kind;
	attempt->state = MEDLAR_ATTEMPT_LIVE;
	attempt->trial = query->gate == MEDLAR_GATE_TRIAL;
	part->attempts = attempt;
	part->state = MEDLAR_PART_IN_FLIGHT;
	part->no_replica = false;
	part->split_off = false;
	part->sends += part->sends < UINT8_MAX;
	remember_tried(part, replica);
	medlar_part_set_due(client, query, part,
			    now + medlar_hedge_delay(queries));
	medlar_replica_begin_request(client, replica, now);
	if (part->kind == MEDLAR_ATTEMPT_FIRST)
		medlar_budget_deposit(&service->budget);
	queries->stats.sends[part->kind]++;
	query->answer.sends++;
	trace_send(client, query, part, attempt);
	service->ops.send(attempt, service->data);
	return MEDLAR_OK;
}

/**
 * medlar_part_send() - send a part to the best replica, if one is free
 * @client: client
 * @query: a running query
 * @part: an open part of it
 * @now: current time
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_OVERLOAD when the retry budget is exhausted;
 * %MEDLAR_ERR_FULL, %MEDLAR_ERR_NO_VERSION or %MEDLAR_ERR_NO_REPLICA as
 * returned by medlar_replica_pick(); or %MEDLAR_ERR_NOMEM.
 */
int medlar_part_send(medlar_client_t *client, medlar_query_t *query,
		     medlar_part_t *part, medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_shard_t *shard = medlar_service_shard(queries->service,
						     part->shard);
	medlar_pick_t pick = {
		.version = query->version,
		.tried = part->tried,
		.tried_len = part->tried_len,
		.for_hedge = part->kind == MEDLAR_ATTEMPT_HEDGE,
	};
	medlar_replica_t *replica;
	int error;

	if (!shard)
		return MEDLAR_ERR_NO_REPLICA;
	if (!medlar_hedge_budget_allows(queries, part))
		return MEDLAR_ERR_OVERLOAD;
	error = medlar_replica_pick(client, shard, &pick, now, &replica);
	if (error)
		return error;
	error = medlar_part_send_to(client, query, part, replica, now);
	if (!error)
		medlar_hedge_budget_charge(queries, part);
	return error;
}

/* Whether any replica of the shard has the query's version and stays. */
static bool is_served_by_any(const medlar_query_t *query,
			     const medlar_part_t *part)
{
	const medlar_shard_t *shard = medlar_service_shard(
		query->queries->service, part->shard);
	size_t i;

	for (i = 0; shard && i < medlar_shard_replicas_count(shard); i++) {
		const medlar_replica_t *replica = medlar_shard_replica(shard,
								       i);

		if (!replica->leaving &&
		    medlar_replica_serves(replica, query->version))
			return true;
	}
	return false;
}

static void back_off(medlar_client_t *client, medlar_query_t *query,
		     medlar_part_t *part, medlar_time_t now)
{
	medlar_time_t pause = medlar_hedge_backoff(client, query->queries,
						   part->sends);

	part->state = MEDLAR_PART_BACKOFF;
	medlar_part_set_due(client, query, part, now + pause);
}

/* All replicas were tried: after the back-off each may be tried again. */
static void back_off_untried(medlar_client_t *client, medlar_query_t *query,
			     medlar_part_t *part, medlar_time_t now)
{
	part->tried_len = 0;
	back_off(client, query, part, now);
}

static void enqueue_part(medlar_client_t *client, medlar_query_t *query,
			 medlar_part_t *part, medlar_time_t now)
{
	int error = medlar_part_queue_add(client, query, part, now);

	if (error)
		medlar_part_fail(client, query, part, error, now);
}

/**
 * medlar_part_start() - send a part now, or queue it, back off, or fail it
 * @client: client
 * @query: a running query
 * @part: an open part of it, in no queue and without live attempt
 * @now: current time
 */
void medlar_part_start(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_time_t now)
{
	int error;

	part->split_off = false;
	error = medlar_part_send(client, query, part, now);
	part->no_replica = error == MEDLAR_ERR_NO_REPLICA;
	if (error == MEDLAR_OK)
		return;
	if (error == MEDLAR_ERR_OVERLOAD) {
		back_off(client, query, part, now);
	} else if (error == MEDLAR_ERR_FULL) {
		enqueue_part(client, query, part, now);
	} else if (error == MEDLAR_ERR_NO_REPLICA && part->tried_len == 0) {
		enqueue_part(client, query, part, now);
	} else if (error == MEDLAR_ERR_NO_REPLICA ||
		   is_served_by_any(query, part)) {
		back_off_untried(client, query, part, now);
	} else {
		query->version_lost = error == MEDLAR_ERR_NO_VERSION;
		medlar_part_fail(client, query, part, error, now);
	}
}

/* Sends a part and the parts split off from it, unless a trial holds them. */
static void start_split_parts(medlar_client_t *client, medlar_query_t *query,
			      size_t index, medlar_time_t now)
{
	bool trial = query->gate == MEDLAR_GATE_TRIAL;
	size_t i;

	query->parts[index].state = MEDLAR_PART_HELD;
	if (trial)
		return;
	medlar_part_start(client, query, &query->parts[index], now);
	for (i = index + 1; i < query->len; i++)
		if (query->parts[i].split_off &&
		    query->parts[i].state == MEDLAR_PART_HELD)
			medlar_part_start(client, query, &query->parts[i], now);
}

/**
 * medlar_part_remap() - map a part by the newest partition map, and send it
 * @client: client
 * @query: a running query
 * @index: index of an open part of it, in no queue and without live attempt
 * @now: current time
 *
 * The map may split the part. The array of parts may be reallocated, so
 * pointers to parts are invalid afterwards.
 */
void medlar_part_remap(medlar_client_t *client, medlar_query_t *query,
		       size_t index, medlar_time_t now)
{
	/* On failure the part goes to its old shard, which may redirect it. */
	(void)medlar_plan_remap_part(query, index);
	start_split_parts(client, query, index, now);
}

/**
 * medlar_part_resume() - send a part after a back-off
 * @client: client
 * @query: a running query
 * @index: index of an open part of it, in no queue and without live attempt
 * @now: current time
 *
 * Maps the part again if the partition map is newer than the query. The array
 * of parts may be reallocated.
 */
void medlar_part_resume(medlar_client_t *client, medlar_query_t *query,
			size_t index, medlar_time_t now)
{
	if (query->map_epoch != query->queries->service->map.epoch)
		medlar_part_remap(client, query, index, now);
	else
		medlar_part_start(client, query, &query->parts[index], now);
}

static void send_retry(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_time_t now)
{
	if (query->gate == MEDLAR_GATE_TRIAL)
		part->state = MEDLAR_PART_HELD;
	else if (part->free_retry && part->sends > IMMEDIATE_SENDS_MAX)
		back_off(client, query, part, now);
	else
		medlar_part_resume(client, query,
				   medlar_query_part_index(query, part), now);
}

/**
 * medlar_part_retry() - retry a part after a failed attempt
 * @client: client
 * @query: a running query
 * @part: an open part of it; the failed attempt has been unlinked from it
 * @why: how the attempt failed
 * @now: current time
 *
 * Does nothing while the part has another live attempt. The array of parts may
 * be reallocated.
 */
void medlar_part_retry(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_retry_reason_t why,
		       medlar_time_t now)
{
	if (part->attempts)
		return;
	part->due = MEDLAR_DUE_NONE;
	part->failures += why >= MEDLAR_RETRY_FAILED;
	part->silent = why == MEDLAR_RETRY_SILENT;
	if (part->failures >= PART_FAILURES_MAX) {
		medlar_part_fail(client, query, part, MEDLAR_ERR_NO_REPLICA,
				 now);
		return;
	}
	part->free_retry = why == MEDLAR_RETRY_UNSENT;
	part->kind = MEDLAR_ATTEMPT_RETRY;
	medlar_gate_canary_failed(client, query, now);
	send_retry(client, query, part, now);
}

/**
 * medlar_part_redirect() - follow the redirect of an upstream
 * @client: client
 * @query: a running query
 * @part: an open part of it without live attempt
 * @shard: shard that holds the range according to the upstream
 * @now: current time
 *
 * If the service has a newer map than the query, the map overrides the
 * redirect, unless it names the shard that sent the redirect. The array of
 * parts may be reallocated.
 */
void medlar_part_redirect(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, uint32_t shard,
			  medlar_time_t now)
{
	size_t index = medlar_query_part_index(query, part);
	uint32_t from = part->shard;

	part->due = MEDLAR_DUE_NONE;
	if (!medlar_plan_follow_redirect(query, index, shard)) {
		medlar_part_fail(client, query, part, MEDLAR_ERR_NO_REPLICA,
				 now);
		return;
	}
	part->kind = MEDLAR_ATTEMPT_REDIRECT;
	if (query->map_epoch != query->queries->service->map.epoch)
		(void)medlar_plan_remap_part(query, index);
	if (query->parts[index].shard == from)
		query->parts[index].shard = shard;
	start_split_parts(client, query, index, now);
}

static void close_part(medlar_query_t *query, medlar_part_t *part)
{
	medlar_part_queue_remove(query->queries, part);
	part->due = MEDLAR_DUE_NONE;
	query->open_parts--;
	query->queries->open_parts--;
}

/**
 * medlar_part_cancel_attempts() - cancel the attempts of a part
 * @client: client
 * @query: query
 * @part: a part of it; its attempts keep their slots until they end
 */
void medlar_part_cancel_attempts(medlar_client_t *client, medlar_query_t *query,
				 medlar_part_t *part)
{
	medlar_service_t *service = query->queries->service;

	(void)client;
	while (part->attempts) {
		medlar_attempt_t *attempt = part->attempts;

		part->attempts = attempt->next;
		attempt->next = NULL;
		attempt->state = MEDLAR_ATTEMPT_ABANDONED;
		attempt->origin.fingerprint = query->params.fingerprint;
		service->ops.cancel(attempt, service->data);
	}
}

/**
 * medlar_part_complete() - complete a part with the reply to it
 * @client: client
 * @query: a running query
 * @part: an open part of it; the attempt has been unlinked from it
 * @body: payload; copied
 */
void medlar_part_complete(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, medlar_str_t body)
{
	part->body_offset = (uint32_t)query->bodies.len;
	part->body_len = (uint32_t)body.len;
	medlar_buf_add(&query->bodies, body);
	part->state = MEDLAR_PART_DONE;
	query->keys_answered += part->range.hi - part->range.lo;
	close_part(query, part);
	medlar_part_cancel_attempts(client, query, part);
}

/**
 * medlar_part_fail() - fail a part; its range is reported as missing
 * @client: client
 * @query: a running query
 * @part: an open part of it without live attempt
 * @reason: error code
 * @now: current time
 */
void medlar_part_fail(medlar_client_t *client, medlar_query_t *query,
		      medlar_part_t *part, int reason, medlar_time_t now)
{
	part->state = MEDLAR_PART_FAILED;
	query->last_error = reason;
	close_part(query, part);
	medlar_gate_canary_failed(client, query, now);
	medlar_query_arm_timer(client, query, now);
}

/**
 * medlar_part_set_due() - schedule the next hedge or retry of a part
 * @client: client
 * @query: a running query
 * @part: an open part of it
 * @due: absolute time, ms
 */
void medlar_part_set_due(medlar_client_t *client, medlar_query_t *query,
			 medlar_part_t *part, medlar_time_t due)
{
	part->due = (uint32_t)(due - query->answer.started);
	medlar_query_arm_timer(client, query, due);
}
