/**
 * DOC: which queries are run, wait, or are refused at once
 *
 * Queries run while the service has room for their parts. Others wait in one
 * queue for each group of callers; the queues are served in turn, so that no
 * caller crowds out the rest. What cannot be finished in time is refused
 * before anything is sent. A full queue gives up from its longest lane,
 * searches before lookups, and an old queue serves the newest first.
 */
#include "query.h"

/* Parts that may be open for each slot: one at work and some to follow. */
#define ROOM_PER_SLOT 1.6
/* How often the room is worked out again, ms. */
#define ROOM_TIME 100
/* Shortest time over which the rate of ended queries is measured, ms. */
#define RATE_TIME ((medlar_time_t)50)
#define RATE_WEIGHT 0.5
/* A query is let in against the estimates this often, to correct them, ms. */
#define PROBE_TIME 100
/* How long a measured rate is believed, ms. */
#define RATE_FRESH MEDLAR_SECOND
/* Longest expected wait in the queue, so that refusals come at once, ms. */
#define WAIT_MAX 20
/* Share of the time left that a query may be expected to take. */
#define TIME_SHARE 0.5
/* Share of the policy's deadline after which a queue counts as old. */
#define OLD_SHARE 0.25
#define MEDIAN 0.5

static unsigned lane_of(const medlar_query_params_t *params)
{
	return (unsigned)(params->caller % MEDLAR_LANES);
}

static size_t usable_slots(const medlar_shard_t *shard)
{
	size_t slots = 0;
	size_t i;

	for (i = 0; i < shard->active; i++) {
		const medlar_replica_t *replica = shard->replicas[i];
		float limit = replica->limit;

		slots += (float)replica->slots < limit ? replica->slots
						       : (size_t)limit;
	}
	return slots;
}

static void update_capacity(medlar_queries_t *queries, medlar_time_t now)
{
	const medlar_service_t *service = queries->service;
	medlar_admission_t *admission = &queries->admission;
	size_t slots = 0;
	size_t i;

	if (admission->capacity_at != 0 &&
	    now - admission->capacity_at < ROOM_TIME)
		return;
	for (i = 0; i < service->shards_len; i++)
		slots += usable_slots(service->shards[i]);
	admission->capacity = (size_t)(ROOM_PER_SLOT * (double)slots);
	admission->capacity_at = now;
}

/**
 * medlar_admission_has_capacity() - whether one more query may be run
 * @queries: queries of a service
 * @now: current time
 *
 * Return: true when it may.
 */
bool medlar_admission_has_capacity(medlar_queries_t *queries, medlar_time_t now)
{
	if (!queries->tuning.admission || queries->running.len == 0)
		return true;
	update_capacity(queries, now);
	return queries->open < queries->admission.capacity;
}

static medlar_time_t median_latency(const medlar_queries_t *queries)
{
	return medlar_latency_quantile(&queries->service->latency, MEDIAN, 0);
}

/* Queries that run before a new one of a lane, the lanes being served in turn. */
static size_t queries_ahead(const medlar_admission_t *admission, unsigned lane)
{
	size_t turns = admission->lanes[lane].len + 1;
	size_t ahead = turns - 1;
	unsigned i;

	for (i = 0; i < MEDLAR_LANES; i++) {
		size_t len = admission->lanes[i].len;

		if (i != lane)
			ahead += len < turns ? len : turns;
	}
	return ahead;
}

/* Whether a query that comes now would wait or take too long. */
static bool would_wait_too_long(const medlar_queries_t *queries, unsigned lane,
				medlar_time_t left, medlar_time_t now)
{
	const medlar_admission_t *admission = &queries->admission;
	double waiting = (double)queries_ahead(admission, lane) + 1;
	double before = waiting + (double)queries->running.len;

	if (admission->rate <= 0 || now - admission->rate_at > RATE_FRESH)
		return false;
	return waiting / admission->rate > WAIT_MAX ||
	       before / admission->rate > TIME_SHARE * (double)left;
}

/**
 * medlar_admission_record_ended() - queries that were run have ended
 * @queries: queries of a service
 * @count: how many
 * @now: current time
 *
 * While queries wait, the rate of endings is what the service can do.
 */
void medlar_admission_record_ended(medlar_queries_t *queries, size_t count,
				   medlar_time_t now)
{
	medlar_admission_t *admission = &queries->admission;
	medlar_time_t passed = now - admission->busy_at;
	double weight = admission->rate > 0 ? RATE_WEIGHT : 1;
	double rate;

	if (admission->len == 0)
		return;
	admission->ended += count;
	if (passed < RATE_TIME)
		return;
	rate = (double)admission->ended / (double)passed;
	admission->rate += weight * (rate - admission->rate);
	admission->rate_at = now;
	admission->ended = 0;
	admission->busy_at = now;
}

/**
 * medlar_admission_check() - whether a query can be finished in time
 * @queries: queries of a service
 * @params: the query
 * @now: current time
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_DEADLINE.
 */
int medlar_admission_check(medlar_queries_t *queries,
			   const medlar_query_params_t *params,
			   medlar_time_t now)
{
	medlar_time_t left = params->deadline - now;

	left -= medlar_query_answer_margin(left);
	if (left <= 0)
		return MEDLAR_ERR_DEADLINE;
	if (queries->tuning.admission && left < median_latency(queries) &&
	    now - queries->admission.admitted_at < PROBE_TIME)
		return MEDLAR_ERR_DEADLINE;
	return MEDLAR_OK;
}

/* The query to give up for a new one: searches first, the oldest first. */
static medlar_query_t *eviction_candidate(const medlar_query_list_t *lane,
					  medlar_kind_t kind)
{
	medlar_query_t *query = lane->head;

	while (query && query->params.kind != MEDLAR_KIND_SEARCH)
		query = query->next;
	if (!query && kind != MEDLAR_KIND_SEARCH)
		return lane->head;
	return query;
}

static unsigned longest_lane(const medlar_admission_t *admission)
{
	unsigned longest = 0;
	unsigned i;

	for (i = 1; i < MEDLAR_LANES; i++)
		if (admission->lanes[i].len > admission->lanes[longest].len)
			longest = i;
	return longest;
}

/* Makes place in a full queue, or tells that the new query is the one to go. */
static bool evict_for(medlar_client_t *client, medlar_queries_t *queries,
		      const medlar_query_t *query, medlar_time_t now)
{
	medlar_admission_t *admission = &queries->admission;
	unsigned mine = lane_of(&query->params);
	unsigned longest = longest_lane(admission);
	medlar_query_t *victim;

	if (admission->lanes[longest].len <= admission->lanes[mine].len + 1) {
		if (query->params.kind == MEDLAR_KIND_SEARCH)
			return false;
		victim = eviction_candidate(&admission->lanes[longest],
					    MEDLAR_KIND_SEARCH);
	} else {
		victim = eviction_candidate(&admission->lanes[longest],
					    MEDLAR_KIND_LOOKUP);
	}
	if (!victim)
		return false;
	medlar_admission_remove(victim);
	medlar_query_end(client, victim, MEDLAR_ERR_OVERLOAD, now);
	return true;
}

/**
 * medlar_admission_add() - let a query wait
 * @client: client
 * @query: a query that is in no list
 * @now: current time
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_OVERLOAD when it would wait too long.
 */
int medlar_admission_add(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_admission_t *admission = &queries->admission;
	unsigned lane = lane_of(&query->params);

	if (would_wait_too_long(queries, lane, query->finish_by - now, now))
		return MEDLAR_ERR_OVERLOAD;
	if (admission->len >= queries->service->policy.queue_max &&
	    !evict_for(client, queries, query, now))
		return MEDLAR_ERR_OVERLOAD;
	if (admission->lanes[lane].len == 0 &&
	    admission->served[lane] < admission->virtual_time)
		admission->served[lane] = admission->virtual_time;
	medlar_query_list_add(&admission->lanes[lane], query);
	if (admission->len++ == 0) {
		admission->busy_at = now;
		admission->ended = 0;
	}
	query->state = MEDLAR_QUERY_QUEUED;
	medlar_query_arm_timer(client, query,
			       query->finish_by - median_latency(queries));
	medlar_part_queue_arm_timer(client, queries, now);
	return MEDLAR_OK;
}

/**
 * medlar_admission_remove() - take a query out of the queue
 * @query: a queued query
 */
void medlar_admission_remove(medlar_query_t *query)
{
	medlar_admission_t *admission = &query->queries->admission;

	medlar_query_list_remove(&admission->lanes[lane_of(&query->params)],
				 query);
	admission->len--;
}

static medlar_query_t *next_query(medlar_queries_t *queries, medlar_time_t now)
{
	medlar_admission_t *admission = &queries->admission;
	double old = OLD_SHARE * (double)queries->service->policy.deadline;
	unsigned best = MEDLAR_LANES;
	medlar_query_t *query;
	unsigned i;

	for (i = 0; i < MEDLAR_LANES; i++)
		if (admission->lanes[i].len > 0 &&
		    (best == MEDLAR_LANES ||
		     admission->served[i] < admission->served[best]))
			best = i;
	if (best == MEDLAR_LANES)
		return NULL;
	admission->virtual_time = admission->served[best]++;
	query = admission->lanes[best].head;
	if ((double)(now - query->answer.started) > old)
		query = admission->lanes[best].tail;
	return query;
}

/**
 * medlar_admission_dispatch() - run queries that wait, as far as there is room
 * @client: client
 * @queries: queries of a service
 * @now: current time
 */
void medlar_admission_dispatch(medlar_client_t *client,
			       medlar_queries_t *queries, medlar_time_t now)
{
	while (queries->admission.len > 0 &&
	       medlar_admission_has_capacity(queries, now)) {
		medlar_query_t *query = next_query(queries, now);
		int error;

		medlar_admission_remove(query);
		error = medlar_query_run(client, query, now);
		if (error)
			medlar_query_end(client, query, error, now);
	}
}
