/**
 * DOC: choice of a query's index version, and restart at another version
 *
 * All parts of a query are answered from the same index version. If a shard has
 * no replica left that serves this version, the query either goes on without
 * that shard, or restarts at another version if that version covers more keys
 * and enough time is left. A restart discards the replies so far: versions are
 * never mixed. The sends of a restart are charged to the budget afterwards, so
 * that restarts, hedges and retries together stay within the extra load that
 * the policy allows.
 */
#include "query.h"

#define RESTARTS_MAX 2
/*
 * Ejections change the coverage of a version without a new generation, so a
 * cached choice expires, ms.
 */
#define VERSION_CACHE_TIME 100
#define FULL_COVERAGE 1.0

static uint32_t choose_version(medlar_queries_t *queries,
			       const medlar_query_t *query, uint32_t avoid,
			       medlar_time_t now, double *coverage)
{
	const medlar_service_t *service = queries->service;

	return medlar_version_choose(
		service, &service->map, query->requested.items,
		query->requested.len, query->params.at_least, avoid, now,
		coverage);
}

static void refresh_cached_version(medlar_queries_t *queries, medlar_time_t now)
{
	const medlar_service_t *service = queries->service;
	const medlar_range_t all = { 0, MEDLAR_KEY_END };

	if (queries->version_generation == service->generation &&
	    queries->version_at != 0 &&
	    now - queries->version_at < VERSION_CACHE_TIME)
		return;
	queries->version = medlar_version_choose(service, &service->map, &all,
						 1, 0, 0, now,
						 &queries->version_coverage);
	queries->version_generation = service->generation;
	queries->version_at = now;
}

/**
 * medlar_restart_version() - choose the index version of a new query
 * @queries: queries of the service
 * @query: query whose key ranges are set
 * @now: current time
 *
 * The choice for the whole key space is cached for a short time. It is used if
 * it covers all keys, because then it also covers the keys of the query.
 *
 * Return: the version, or 0 if no version can be used.
 */
uint32_t medlar_restart_version(medlar_queries_t *queries,
				const medlar_query_t *query, medlar_time_t now)
{
	double coverage;

	refresh_cached_version(queries, now);
	if (queries->version_coverage >= FULL_COVERAGE &&
	    queries->version >= query->params.at_least)
		return queries->version;
	return choose_version(queries, query, 0, now, &coverage);
}

/* Share of the query's keys that its version can still cover, 0 to 1. */
static double reachable_coverage(const medlar_query_t *query)
{
	uint64_t lost = 0;
	size_t i;

	for (i = 0; i < query->len; i++)
		if (query->parts[i].state == MEDLAR_PART_FAILED)
			lost += query->parts[i].range.hi -
				query->parts[i].range.lo;
	return 1 - (double)lost / (double)query->keys_asked;
}

static size_t count_done_parts(const medlar_query_t *query)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < query->len; i++)
		count += query->parts[i].state == MEDLAR_PART_DONE;
	return count;
}

static void clear_parts(medlar_client_t *client, medlar_query_t *query)
{
	size_t i;

	for (i = 0; i < query->len; i++) {
		medlar_part_queue_remove(query->queries, &query->parts[i]);
		medlar_part_cancel_attempts(client, query, &query->parts[i]);
	}
	query->queries->open_parts -= query->open_parts;
	query->open_parts = 0;
	query->len = 0;
	query->keys_answered = 0;
	medlar_buf_reset(&query->bodies);
}

static void trace_version_choice(medlar_client_t *client,
				 const medlar_query_t *query, uint32_t version,
				 double coverage, bool restarted)
{
	MEDLAR_QUERY_TRACE(client, MEDLAR_EVENT_VERSION,
			   MEDLAR_HEX("query", query->params.fingerprint),
			   MEDLAR_NUM("from", query->version),
			   MEDLAR_NUM("to", version),
			   MEDLAR_NUM("coverage_percent", coverage * 100),
			   MEDLAR_NUM("restarted", restarted));
}

/**
 * medlar_restart() - restart a query at another version if that covers more
 * @client: client
 * @query: running query; some shard has no replica left for its version
 * @now: current time
 *
 * Return: true if the query was restarted, false if it goes on unchanged.
 */
bool medlar_restart(medlar_client_t *client, medlar_query_t *query,
		    medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_budget_t *budget = &queries->service->budget;
	double coverage = 0;
	uint32_t version = choose_version(queries, query, query->version, now,
					  &coverage);
	bool better = version != 0 && coverage > reachable_coverage(query);

	query->version_lost = false;
	if (!better || query->restarts >= RESTARTS_MAX ||
	    query->answer_due - now < medlar_hedge_delay(queries) ||
	    (queries->tuning.budget && budget->tokens < 0)) {
		trace_version_choice(client, query, version, coverage, false);
		return false;
	}
	trace_version_choice(client, query, version, coverage, true);
	budget->tokens -= (double)count_done_parts(query);
	queries->stats.restarts++;
	query->restarts++;
	query->version = version;
	clear_parts(client, query);
	if (medlar_plan_query(query))
		query->abort_error = MEDLAR_ERR_NOMEM;
	else
		medlar_gate_begin(client, query, now);
	return true;
}
