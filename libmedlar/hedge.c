/**
 * DOC: second requests for late parts, and the budget that pays them
 *
 * A hedge is sent when a part is later than a quantile of the service's reply
 * times. Hedges and retries are paid from one budget of the service, which
 * only first sends fill: when everything is slow, hedges stay at the policy's
 * share and cannot make it slower.
 */
#include "query.h"

/* Delay while too few reply times are known, ms. */
#define DELAY_UNKNOWN 50
#define DELAY_MIN 2
#define PAUSE_MIN 2
#define PAUSE_MAX 200
#define PAUSE_DOUBLINGS_MAX 6
/* Share of a full budget that hedges leave to retries. */
#define RETRY_RESERVE 0.1

/**
 * medlar_hedge_reset() - begin without knowledge of reply times
 * @queries: queries of a service
 */
void medlar_hedge_reset(medlar_queries_t *queries)
{
	queries->hedge_delay = DELAY_UNKNOWN;
	queries->hedge_delay_at = 0;
}

/**
 * medlar_hedge_delay() - time after which a part counts as late
 * @queries: queries of a service
 *
 * Return: duration in ms.
 */
medlar_time_t medlar_hedge_delay(const medlar_queries_t *queries)
{
	return queries->hedge_delay;
}

/**
 * medlar_hedge_record_latency() - take a reply time into account
 * @queries: queries of a service
 * @took: reply time, ms
 * @now: current time
 */
void medlar_hedge_record_latency(medlar_queries_t *queries, medlar_time_t took,
				 medlar_time_t now)
{
	medlar_service_t *service = queries->service;

	medlar_latency_add(&service->latency, took, now);
	if (queries->hedge_delay_at == now)
		return;
	queries->hedge_delay_at = now;
	queries->hedge_delay = medlar_latency_quantile(
		&service->latency, service->policy.hedge_quantile,
		DELAY_UNKNOWN);
	if (queries->hedge_delay < DELAY_MIN)
		queries->hedge_delay = DELAY_MIN;
}

/**
 * medlar_hedge_backoff() - time to wait before a part is tried again
 * @client: client
 * @queries: queries of a service
 * @tries: attempts made so far
 *
 * Return: duration in ms, doubled with each attempt, and random within half
 * of it so that instances do not retry in step.
 */
medlar_time_t medlar_hedge_backoff(medlar_client_t *client,
				   const medlar_queries_t *queries,
				   unsigned tries)
{
	medlar_time_t pause = queries->hedge_delay / 4 + PAUSE_MIN;

	if (tries > PAUSE_DOUBLINGS_MAX)
		tries = PAUSE_DOUBLINGS_MAX;
	pause <<= tries;
	if (pause > PAUSE_MAX)
		pause = PAUSE_MAX;
	return pause / 2 + (medlar_time_t)medlar_rand_below(
				   &client->rand, (uint64_t)pause / 2 + 1);
}

static bool is_charged(const medlar_queries_t *queries,
		       const medlar_part_t *part)
{
	if (!queries->tuning.budget)
		return false;
	if (part->kind == MEDLAR_ATTEMPT_RETRY)
		return !part->free_retry;
	return part->kind == MEDLAR_ATTEMPT_HEDGE;
}

/**
 * medlar_hedge_budget_allows() - whether the next attempt of a part can be paid
 * @queries: queries of a service
 * @part: a part; its kind says what the attempt is
 *
 * Return: true when it can, or costs nothing.
 */
bool medlar_hedge_budget_allows(const medlar_queries_t *queries,
				const medlar_part_t *part)
{
	const medlar_budget_t *budget = &queries->service->budget;
	double reserve = 0;

	if (!is_charged(queries, part))
		return true;
	if (part->silent && budget->reserve >= 1)
		return true;
	if (part->kind == MEDLAR_ATTEMPT_HEDGE)
		reserve = RETRY_RESERVE * budget->cap;
	return budget->tokens >= 1 + reserve;
}

/**
 * medlar_hedge_budget_charge() - pay for an attempt that was sent
 * @queries: queries of a service
 * @part: the part; its kind says what the attempt is
 */
void medlar_hedge_budget_charge(medlar_queries_t *queries,
				const medlar_part_t *part)
{
	medlar_budget_t *budget = &queries->service->budget;

	if (!is_charged(queries, part))
		return;
	if (part->silent)
		medlar_budget_withdraw_reserve(budget);
	else
		medlar_budget_withdraw(budget);
}

static bool may_hedge(const medlar_query_t *query, const medlar_part_t *part)
{
	const medlar_queries_t *queries = query->queries;

	return queries->tuning.hedges && part->attempts &&
	       !part->attempts->next;
}

/**
 * medlar_hedge_send() - send a second request for a late part
 * @client: client
 * @query: a running query
 * @part: a part of it that is due
 * @now: current time
 *
 * When no replica is idle, the budget has nothing left, or the request is not
 * known to be harmless yet, it is tried again later, so that the latest parts
 * get what the budget earns.
 */
void medlar_hedge_send(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_time_t now)
{
	uint8_t kind = part->kind;
	medlar_time_t again;

	part->due = MEDLAR_DUE_NONE;
	if (!may_hedge(query, part))
		return;
	part->kind = MEDLAR_ATTEMPT_HEDGE;
	if (query->gate == MEDLAR_GATE_OPEN &&
	    medlar_part_send(client, query, part, now) == MEDLAR_OK) {
		part->due = MEDLAR_DUE_NONE;
		return;
	}
	part->kind = kind;
	again = medlar_hedge_backoff(client, query->queries, 0);
	medlar_part_set_due(client, query, part, now + again);
}
