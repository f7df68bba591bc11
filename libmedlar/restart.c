/**
 * DOC: the index version of a query, and beginning again at another
 *
 * A query is answered from one version. When a shard has no replica left that
 * serves it, the query goes on with a hole, or begins again at another version
 * if that covers more and there is time. What was answered is thrown away then,
 * never mixed. The sends of a restart are charged to the budget afterwards, so
 * that restarts, hedges and retries together keep to the policy's share.
 */
#include "query.h"

#define RESTARTS_MAX 2
/* Ejections change what a version covers without a new generation, ms. */
#define CHOICE_TIME 100
#define FULL_COVERAGE 1.0

static uint32_t choose_exactly(medlar_queries_t *queries,
			       const medlar_query_t *query, uint32_t avoid,
			       medlar_time_t now, double *coverage)
{
	const medlar_service_t *service = queries->service;

	return medlar_version_choose(service, &service->map, query->asked.items,
				     query->asked.len, query->params.at_least,
				     avoid, now, coverage);
}

static void refresh(medlar_queries_t *queries, medlar_time_t now)
{
	const medlar_service_t *service = queries->service;
	const medlar_range_t all = { 0, MEDLAR_KEY_END };

	if (queries->version_of == service->generation &&
	    queries->version_at != 0 && now - queries->version_at < CHOICE_TIME)
		return;
	queries->version = medlar_version_choose(service, &service->map, &all,
						 1, 0, 0, now,
						 &queries->version_coverage);
	queries->version_of = service->generation;
	queries->version_at = now;
}

/**
 * medlar_restart_version() - choose the index version of a new query
 * @queries: queries of the service
 * @query: query whose asked keys are known
 * @now: current time
 *
 * The choice for the whole catalogue is kept for a while; it is good for any
 * keys when it covers all of them.
 *
 * Return: the version, or 0 when there is none.
 */
uint32_t medlar_restart_version(medlar_queries_t *queries,
				const medlar_query_t *query, medlar_time_t now)
{
	double coverage;

	refresh(queries, now);
	if (queries->version_coverage >= FULL_COVERAGE &&
	    queries->version >= query->params.at_least)
		return queries->version;
	return choose_exactly(queries, query, 0, now, &coverage);
}

/* Share of the keys that the query can still reach at its version. */
static double still_reachable(const medlar_query_t *query)
{
	uint64_t lost = 0;
	size_t i;

	for (i = 0; i < query->len; i++)
		if (query->parts[i].state == MEDLAR_PART_FAILED)
			lost += query->parts[i].range.hi -
				query->parts[i].range.lo;
	return 1 - (double)lost / (double)query->width;
}

static size_t answered(const medlar_query_t *query)
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
		medlar_wait_remove(query->queries, &query->parts[i]);
		medlar_part_drop(client, query, &query->parts[i]);
	}
	query->queries->open -= query->open;
	query->open = 0;
	query->len = 0;
	query->done = 0;
	medlar_buf_reset(&query->bodies);
}

static void trace(medlar_client_t *client, const medlar_query_t *query,
		  uint32_t version, double coverage, bool restarted)
{
	MEDLAR_QUERY_TRACE(client, MEDLAR_EVENT_VERSION,
			   MEDLAR_HEX("query", query->params.fingerprint),
			   MEDLAR_NUM("from", query->version),
			   MEDLAR_NUM("to", version),
			   MEDLAR_NUM("coverage_percent", coverage * 100),
			   MEDLAR_NUM("restarted", restarted));
}

/**
 * medlar_restart() - begin again at another version, if that is better
 * @client: client
 * @query: a running query that has lost its version in some shard
 * @now: current time
 *
 * Return: true when it has begun again; false when it goes on as it is.
 */
bool medlar_restart(medlar_client_t *client, medlar_query_t *query,
		    medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_budget_t *budget = &queries->service->budget;
	double coverage = 0;
	uint32_t version = choose_exactly(queries, query, query->version, now,
					  &coverage);
	bool better = version != 0 && coverage > still_reachable(query);

	query->lost = false;
	if (!better || query->restarts >= RESTARTS_MAX ||
	    query->finish_by - now < medlar_hedge_delay(queries) ||
	    (queries->tuning.budget && budget->tokens < 0)) {
		trace(client, query, version, coverage, false);
		return false;
	}
	trace(client, query, version, coverage, true);
	budget->tokens -= (double)answered(query);
	queries->stats.restarts++;
	query->restarts++;
	query->version = version;
	clear_parts(client, query);
	if (medlar_plan(query))
		query->doom = MEDLAR_ERR_NOMEM;
	else
		medlar_gate_begin(client, query, now);
	return true;
}
