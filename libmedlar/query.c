/**
 * DOC: life cycle of searches and lookups, from start to answer
 *
 * A query advances through medlar_query_start(), the outcomes of its attempts,
 * its timer and changes of the service. Each of these events ends with
 * medlar_query_end_if_due(), the only place where a running query is answered.
 */
#include "query.h"

/* Time reserved to merge and send the answer: share of the time left; ms. */
#define ANSWER_MARGIN_SHARE 0.02
#define ANSWER_MARGIN_MIN 2

/**
 * medlar_query_answer_margin() - time reserved for merging and answering
 * @left: time left to the deadline, ms
 *
 * Return: duration in ms.
 */
medlar_time_t medlar_query_answer_margin(medlar_time_t left)
{
	medlar_time_t share = (medlar_time_t)(ANSWER_MARGIN_SHARE *
					      (double)left);

	return share > ANSWER_MARGIN_MIN ? share : ANSWER_MARGIN_MIN;
}

/**
 * medlar_query_arm_timer() - have the timer of a query fire by a given time
 * @client: client
 * @query: a query that has not ended
 * @due: absolute time, ms; ignored if the timer fires earlier anyway
 */
void medlar_query_arm_timer(medlar_client_t *client, medlar_query_t *query,
			    medlar_time_t due)
{
	if (query->timer.slot == 0 || due < query->timer.due)
		medlar_timer_set(client, &query->timer, due);
}

static void set_deadlines(medlar_query_t *query, medlar_time_t now)
{
	const medlar_query_params_t *params = &query->params;
	const medlar_policy_t *policy = &query->queries->service->policy;

	query->answer.started = now;
	query->answer_due = params->deadline -
			    medlar_query_answer_margin(params->deadline - now);
	query->partial_due = MEDLAR_TIME_NEVER;
	query->gate_due = MEDLAR_TIME_NEVER;
	if (policy->priority != MEDLAR_LATENCY_FIRST || params->target <= 0)
		return;
	query->partial_due = params->target < query->answer_due
				     ? params->target
				     : query->answer_due;
}

static int missing_version_error(const medlar_queries_t *queries)
{
	const medlar_service_t *service = queries->service;
	size_t i;

	for (i = 0; i < service->shards_len; i++)
		if (service->shards[i]->active > 0)
			return MEDLAR_ERR_NO_VERSION;
	return MEDLAR_ERR_NO_REPLICA;
}

/* Undoes medlar_plan_query() after an error. */
static void discard_plan(medlar_query_t *query)
{
	query->queries->open_parts -= query->open_parts;
	query->open_parts = 0;
	query->len = 0;
}

static int plan_and_choose_version(medlar_query_t *query, medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	const medlar_suspects_t *suspects = queries->service->suspects;
	uint64_t fingerprint = query->params.fingerprint;
	int error;

	if (suspects && medlar_suspects_verdict(suspects, fingerprint, now) ==
				MEDLAR_VERDICT_CONVICTED)
		return MEDLAR_ERR_CONVICTED;
	error = medlar_plan_query(query);
	if (error)
		return error;
	query->map_epoch = query->answer.epoch;
	query->version = medlar_restart_version(queries, query, now);
	if (query->version == 0 && query->len > 0)
		return missing_version_error(queries);
	return MEDLAR_OK;
}

/**
 * medlar_query_run() - start to send the parts of a query
 * @client: client
 * @query: a query that is in no list
 * @now: current time
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_CONVICTED, %MEDLAR_ERR_NO_VERSION,
 * %MEDLAR_ERR_NO_REPLICA, %MEDLAR_ERR_RANGE, %MEDLAR_ERR_TOO_LARGE or
 * %MEDLAR_ERR_NOMEM. On error nothing was sent.
 */
int medlar_query_run(medlar_client_t *client, medlar_query_t *query,
		     medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	int error = plan_and_choose_version(query, now);

	if (error) {
		discard_plan(query);
		return error;
	}
	query->state = MEDLAR_QUERY_RUNNING;
	queries->admission.admitted_at = now;
	medlar_query_list_add(&queries->running, query);
	MEDLAR_QUERY_TRACE(client, MEDLAR_EVENT_ADMIT,
			   MEDLAR_HEX("query", query->params.fingerprint),
			   MEDLAR_NUM("waited_ms", now - query->answer.started),
			   MEDLAR_NUM("parts", query->len),
			   MEDLAR_NUM("version", query->version),
			   MEDLAR_NUM("epoch", query->answer.epoch));
	medlar_query_arm_timer(client, query, query->answer_due);
	if (query->partial_due > now)
		medlar_query_arm_timer(client, query, query->partial_due);
	if (query->open_parts == 0)
		medlar_query_arm_timer(client, query, now);
	medlar_gate_begin(client, query, now);
	return MEDLAR_OK;
}

static int run_or_enqueue(medlar_client_t *client, medlar_query_t *query,
			  medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;

	if (queries->admission.len == 0 &&
	    medlar_admission_has_capacity(queries, now))
		return medlar_query_run(client, query, now);
	return medlar_admission_add(client, query, now);
}

static void trace_refusal(medlar_client_t *client,
			  const medlar_query_params_t *params, int error)
{
	MEDLAR_QUERY_TRACE(
		client, MEDLAR_EVENT_REFUSE,
		MEDLAR_HEX("query", params->fingerprint),
		MEDLAR_HEX("caller", params->caller),
		MEDLAR_TEXT("error",
			    medlar_str_from(medlar_error_name(error))));
}

/**
 * medlar_query_start() - start or queue a search or lookup
 * @client: client
 * @service: service
 * @params: request of the caller; copied, but not what its members point to
 * @data: user data, returned by medlar_query_data()
 * @now: current time
 * @out: set to the query on success, before any action is called; else NULL
 *
 * On success, the answer action is called exactly once after this call has
 * returned, unless the query is cancelled. On failure nothing was sent and no
 * query exists.
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_DEADLINE, %MEDLAR_ERR_OVERLOAD or
 * %MEDLAR_ERR_CONVICTED when the query is refused; or an error returned by
 * medlar_query_run().
 */
int medlar_query_start(medlar_client_t *client, medlar_service_t *service,
		       const medlar_query_params_t *params, void *data,
		       medlar_time_t now, medlar_query_t **out)
{
	medlar_queries_t *queries = service->queries;
	medlar_query_t *query = NULL;
	int error = medlar_admission_check(queries, params, now);

	if (error)
		goto refused;
	error = MEDLAR_ERR_NOMEM;
	query = medlar_pool_get_query(queries);
	if (!query)
		goto refused;
	query->params = *params;
	query->data = data;
	*out = query;
	set_deadlines(query, now);
	error = run_or_enqueue(client, query, now);
	if (error)
		goto refused;
	queries->stats.started++;
	return MEDLAR_OK;

refused:
	queries->stats.refused++;
	trace_refusal(client, params, error);
	if (query)
		medlar_pool_put_query(query);
	*out = NULL;
	return error;
}

/* Removes a query from all queues and lists and cancels its attempts. */
static void release_resources(medlar_client_t *client, medlar_query_t *query,
			      medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	size_t i;

	medlar_timer_clear(client, &query->timer);
	for (i = 0; i < query->len; i++) {
		medlar_part_queue_remove(queries, &query->parts[i]);
		medlar_part_cancel_attempts(client, query, &query->parts[i]);
	}
	queries->open_parts -= query->open_parts;
	query->open_parts = 0;
	if (query->state != MEDLAR_QUERY_RUNNING)
		return;
	medlar_query_list_remove(&queries->running, query);
	medlar_admission_record_ended(queries, 1, now);
}

static void trace_answer(medlar_client_t *client, const medlar_query_t *query,
			 medlar_time_t now)
{
	const medlar_answer_t *answer = &query->answer;

	MEDLAR_QUERY_TRACE(
		client, MEDLAR_EVENT_ANSWER,
		MEDLAR_HEX("query", query->params.fingerprint),
		MEDLAR_NUM("outcome", answer->outcome),
		MEDLAR_TEXT("error",
			    medlar_str_from(medlar_error_name(answer->error))),
		MEDLAR_NUM("coverage_percent", answer->coverage * 100),
		MEDLAR_NUM("version", answer->version),
		MEDLAR_NUM("epoch", answer->epoch),
		MEDLAR_NUM("sends", answer->sends),
		MEDLAR_NUM("took_ms", now - answer->started));
}

/* Stops a query, fills in its answer, and moves it to the ended queries. */
static void close_query(medlar_client_t *client, medlar_query_t *query,
			int error, medlar_time_t now)
{
	release_resources(client, query, now);
	medlar_answer_fill(query, error);
	query->state = MEDLAR_QUERY_ENDED;
	medlar_query_list_add(&query->queries->ended, query);
	query->queries->stats.answered++;
	trace_answer(client, query, now);
}

/**
 * medlar_query_end() - end a query and call the answer action
 * @client: client
 * @query: a running query, or one just removed from the admission queue; may be
 *	invalid afterwards
 * @error: why it ends; %MEDLAR_OK when all parts were answered
 * @now: current time
 */
void medlar_query_end(medlar_client_t *client, medlar_query_t *query, int error,
		      medlar_time_t now)
{
	medlar_service_t *service = query->queries->service;

	close_query(client, query, error, now);
	service->ops.answer(query, service->data);
}

static bool only_unservable_left(const medlar_query_t *query)
{
	size_t i;

	for (i = 0; i < query->len; i++) {
		const medlar_part_t *part = &query->parts[i];

		if (part->state != MEDLAR_PART_DONE &&
		    part->state != MEDLAR_PART_FAILED && !part->no_replica)
			return false;
	}
	return true;
}

/* Whether a partial answer is due and covers enough. */
static bool is_good_enough(const medlar_query_t *query, medlar_time_t now)
{
	double least = query->queries->service->policy.coverage_min;

	if (now < query->partial_due || query->keys_answered == 0)
		return false;
	return (double)query->keys_answered >=
		       least * (double)query->keys_asked ||
	       only_unservable_left(query);
}

static bool is_due_to_end(const medlar_query_t *query, medlar_time_t now,
			  int *error)
{
	*error = query->abort_error;
	if (query->abort_error)
		return true;
	*error = query->last_error;
	if (query->open_parts == 0)
		return true;
	*error = MEDLAR_ERR_DEADLINE;
	return now >= query->answer_due || is_good_enough(query, now);
}

/**
 * medlar_query_end_if_due() - end a query if it is complete, failed or due
 * @client: client
 * @query: a running query; may be invalid afterwards
 * @now: current time
 *
 * Also restarts the query first if a shard has lost its index version.
 *
 * Return: true if the query was answered.
 */
bool medlar_query_end_if_due(medlar_client_t *client, medlar_query_t *query,
			     medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	int error;

	if (query->version_lost && !query->abort_error &&
	    now < query->answer_due)
		medlar_restart(client, query, now);
	if (!is_due_to_end(query, now, &error))
		return false;
	medlar_query_end(client, query, error, now);
	medlar_admission_dispatch(client, queries, now);
	return true;
}

static void handle_due_parts(medlar_client_t *client, medlar_query_t *query,
			     medlar_time_t now)
{
	uint32_t passed = (uint32_t)(now - query->answer.started);
	size_t i;

	for (i = 0; i < query->len; i++) {
		medlar_part_t *part = &query->parts[i];

		if (part->due > passed)
			continue;
		part->due = MEDLAR_DUE_NONE;
		if (part->state == MEDLAR_PART_IN_FLIGHT)
			medlar_hedge_send(client, query, part, now);
		else if (part->state == MEDLAR_PART_BACKOFF)
			medlar_part_resume(client, query, i, now);
	}
}

static medlar_time_t next_timer_due(const medlar_query_t *query,
				    medlar_time_t now)
{
	medlar_time_t due = query->answer_due;
	uint32_t first = MEDLAR_DUE_NONE;
	size_t i;

	if (query->partial_due > now && query->partial_due < due)
		due = query->partial_due;
	if (query->gate_due < due)
		due = query->gate_due;
	for (i = 0; i < query->len; i++)
		if (query->parts[i].due < first)
			first = query->parts[i].due;
	if (first != MEDLAR_DUE_NONE && query->answer.started + first < due)
		due = query->answer.started + first;
	return due;
}

/**
 * medlar_query_on_timer() - timer of a query: hedges, retries and deadlines
 * @client: client
 * @timer: timer of the query
 * @now: current time
 * @data: the query
 */
void medlar_query_on_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	medlar_query_t *query = data;

	(void)timer;
	if (query->state == MEDLAR_QUERY_QUEUED) {
		medlar_admission_remove(query);
		medlar_query_end(client, query, MEDLAR_ERR_OVERLOAD, now);
		return;
	}
	if (now < query->answer_due) {
		medlar_gate_advance(client, query, now);
		handle_due_parts(client, query, now);
	}
	if (medlar_query_end_if_due(client, query, now))
		return;
	medlar_query_arm_timer(client, query, next_timer_due(query, now));
}

/**
 * medlar_query_cancel() - cancel a query without calling the answer action
 * @client: client
 * @query: a query that was started; to be released by medlar_query_finish().
 *	Ignored if it has ended
 * @now: current time
 */
void medlar_query_cancel(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;

	if (query->state == MEDLAR_QUERY_ENDED)
		return;
	if (query->state == MEDLAR_QUERY_QUEUED)
		medlar_admission_remove(query);
	close_query(client, query, MEDLAR_ERR_CANCELLED, now);
	medlar_admission_dispatch(client, queries, now);
}

/**
 * medlar_query_finish() - release a query
 * @client: client
 * @query: a query that was answered or cancelled; invalid afterwards
 */
void medlar_query_finish(medlar_client_t *client, medlar_query_t *query)
{
	(void)client;
	medlar_query_list_remove(&query->queries->ended, query);
	medlar_pool_put_query(query);
}
