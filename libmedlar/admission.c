/**
 * DOC: admission control: which queries run, wait, or are refused
 *
 * Queries run while the service has capacity for their parts. Other queries
 * wait in lanes, one for each group of callers, which are served by fair
 * queueing so that no caller starves the others. A query that cannot finish in
 * time is refused before anything is sent. When the queue is full, a query of
 * the longest lane is evicted, searches before lookups. A lane is served first
 * in, first out; last in, first out once its oldest query has waited long.
 */
#include "query.h"

/* Open parts for each slot: one being executed, the rest ready to follow. */
#define CAPACITY_PER_SLOT 1.6
/* Interval at which the capacity is computed again, ms. */
#define CAPACITY_INTERVAL 100
/* Shortest period over which the rate of ended queries is measured, ms. */
#define RATE_PERIOD_MIN ((medlar_time_t)50)
#define RATE_WEIGHT 0.5
/* Interval of admitting a query despite the estimate, to correct it, ms. */
#define ESTIMATE_CHECK_INTERVAL 100
/* Age up to which a measured rate is used, ms. */
#define RATE_AGE_MAX MEDLAR_SECOND
/* Expected wait above which a query is refused instead of queued, ms. */
#define EXPECTED_WAIT_MAX 20
/* Share of the time left that queueing and running may be expected to take. */
#define EXPECTED_TIME_SHARE 0.5
/* Wait after which a lane is served LIFO, share of the policy's deadline. */
#define LIFO_WAIT_SHARE 0.25
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
	    now - admission->capacity_at < CAPACITY_INTERVAL)
		return;
	for (i = 0; i < service->shards_len; i++)
		slots += usable_slots(service->shards[i]);
	admission->capacity = (size_t)(CAPACITY_PER_SLOT * (double)slots);
	admission->capacity_at = now;
}

/**
 * medlar_admission_has_capacity() - whether another query may run now
 * @queries: queries of a service
 * @now: current time
 *
 * Return: true if it may; always if no query is running.
 */
bool medlar_admission_has_capacity(medlar_queries_t *queries, medlar_time_t now)
{
	if (!queries->tuning.admission || queries->running.len == 0)
		return true;
	update_capacity(queries, now);
	return queries->open_parts < queries->admission.capacity;
}

static medlar_time_t median_latency(const medlar_queries_t *queries)
{
	return medlar_latency_quantile(&queries->service->latency, MEDIAN, 0);
}

/* Queued queries that are served before a new one in @lane. */
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

/* Whether a new query is expected to wait or take too long. */
static bool would_wait_too_long(const medlar_queries_t *queries, unsigned lane,
				medlar_time_t left, medlar_time_t now)
{
	const medlar_admission_t *admission = &queries->admission;
	double waiting = (double)queries_ahead(admission, lane) + 1;
	double before = waiting + (double)queries->running.len;

	if (admission->rate <= 0 || now - admission->rate_at > RATE_AGE_MAX)
		return false;
	return waiting / admission->rate > EXPECTED_WAIT_MAX ||
	       before / admission->rate > EXPECTED_TIME_SHARE * (double)left;
}

/**
 * medlar_admission_record_ended() - update the rate at which queries end
 * @queries: queries of a service
 * @count: number of running queries that have just ended
 * @now: current time
 *
 * The rate is measured only while queries wait: then it is the throughput of
 * the service.
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
	if (passed < RATE_PERIOD_MIN)
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
	    now - queries->admission.admitted_at < ESTIMATE_CHECK_INTERVAL)
		return MEDLAR_ERR_DEADLINE;
	return MEDLAR_OK;
}

/* Oldest search of a lane; the oldest query if none and @kind is a lookup. */
static medlar_query_t *eviction_candidate(const medlar_query_list_t *lane,
					  medlar_request_kind_t kind)
{
	medlar_query_t *query = lane->head;

	while (query && query->params.kind != MEDLAR_REQUEST_SEARCH)
		query = query->next;
	if (!query && kind != MEDLAR_REQUEST_SEARCH)
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

/* Evicts a query for a new one; false if the new one should be refused. */
static bool evict_for(medlar_client_t *client, medlar_queries_t *queries,
		      const medlar_query_t *query, medlar_time_t now)
{
	medlar_admission_t *admission = &queries->admission;
	unsigned mine = lane_of(&query->params);
	unsigned longest = longest_lane(admission);
	medlar_query_t *victim;

	if (admission->lanes[longest].len <= admission->lanes[mine].len + 1) {
		if (query->params.kind == MEDLAR_REQUEST_SEARCH)
			return false;
		victim = eviction_candidate(&admission->lanes[longest],
					    MEDLAR_REQUEST_SEARCH);
	} else {
		victim = eviction_candidate(&admission->lanes[longest],
					    MEDLAR_REQUEST_LOOKUP);
	}
	if (!victim)
		return false;
	medlar_admission_remove(victim);
	medlar_query_end(client, victim, MEDLAR_ERR_OVERLOAD, now);
	return true;
}

/**
 * medlar_admission_add() - queue a query
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

	if (would_wait_too_long(queries, lane, query->answer_due - now, now))
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
			       query->answer_due - median_latency(queries));
	medlar_part_queue_arm_timer(client, queries, now);
	return MEDLAR_OK;
}

/**
 * medlar_admission_remove() - remove a query from the queue
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
	double old = LIFO_WAIT_SHARE *
		     (double)queries->service->policy.deadline;
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
 * medlar_admission_dispatch() - run queued queries while there is capacity
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
