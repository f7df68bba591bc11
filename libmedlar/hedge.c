/**
 * DOC: hedged requests, and charging hedges and retries to the retry budget
 *
 * A hedge is sent when a part takes longer than a quantile of the service's
 * reply times. Hedges and retries are charged to the retry budget of the
 * service, which only first sends fill. When the whole service is slow, extra
 * load therefore stays at the share that the policy allows.
 */
#include "query.h"

/* Hedge delay until enough reply times are known, ms. */
#define HEDGE_DELAY_INITIAL 50
#define HEDGE_DELAY_MIN 2
#define BACKOFF_MIN 2
#define BACKOFF_MAX 200
#define BACKOFF_DOUBLINGS_MAX 6
/* Share of a full budget that hedges may not use, kept for retries. */
#define RETRY_RESERVE 0.1

/**
 * medlar_hedge_reset() - set the hedge delay to its initial value
 * @queries: queries of a service
 */
void medlar_hedge_reset(medlar_queries_t *queries)
{
	queries->hedge_delay = HEDGE_DELAY_INITIAL;
	queries->hedge_delay_at = 0;
}

/**
 * medlar_hedge_delay() - time after which a hedge is sent for a part
 * @queries: queries of a service
 *
 * Return: duration in ms.
 */
medlar_time_t medlar_hedge_delay(const medlar_queries_t *queries)
{
	return queries->hedge_delay;
}

/**
 * medlar_hedge_record_latency() - record a reply time, update the hedge delay
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
		HEDGE_DELAY_INITIAL);
	if (queries->hedge_delay < HEDGE_DELAY_MIN)
		queries->hedge_delay = HEDGE_DELAY_MIN;
}

/**
 * medlar_hedge_backoff() - time to wait before the next attempt of a part
 * @client: client
 * @queries: queries of a service
 * @tries: attempts made so far
 *
 * Return: duration in ms: exponential back-off with jitter over its upper half,
 * so that instances do not retry at the same time.
 */
medlar_time_t medlar_hedge_backoff(medlar_client_t *client,
				   const medlar_queries_t *queries,
				   unsigned tries)
{
	medlar_time_t backoff = queries->hedge_delay / 4 + BACKOFF_MIN;

	if (tries > BACKOFF_DOUBLINGS_MAX)
		tries = BACKOFF_DOUBLINGS_MAX;
	backoff <<= tries;
	if (backoff > BACKOFF_MAX)
		backoff = BACKOFF_MAX;
	return backoff / 2 + (medlar_time_t)medlar_rand_below(
				     &client->rand, (uint64_t)backoff / 2 + 1);
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
 * medlar_hedge_budget_allows() - whether the budget allows the next attempt
 * @queries: queries of a service
 * @part: a part; its kind is the kind of the next attempt
 *
 * Return: true if a token is available or the attempt is not charged.
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
 * medlar_hedge_budget_charge() - charge an attempt that was sent
 * @queries: queries of a service
 * @part: the part; its kind is the kind of the attempt
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
 * medlar_hedge_send() - send a hedge for a part whose hedge delay has passed
 * @client: client
 * @query: a running query
 * @part: a part of it in %MEDLAR_PART_IN_FLIGHT
 * @now: current time
 *
 * Tries again later when no replica is idle, the budget is exhausted, or the
 * query's parts are still held, so that tokens earned meanwhile go to the
 * parts that are late by then.
 */
void medlar_hedge_send(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, medlar_time_t now)
{
	uint8_t kind = part->kind;
	medlar_time_t delay;

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
	delay = medlar_hedge_backoff(client, query->queries, 0);
	medlar_part_set_due(client, query, part, now + delay);
}
