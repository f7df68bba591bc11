/**
 * DOC: sending of the parts of an exchange
 *
 * Decides for each part whether it is sent, sent again, hedged, or asked for
 * although it was deferred.
 */
#include <math.h>

#include "libroute/exchange_internal.h"

/*
 * Budget that a hedge leaves for retries of failed requests, and a request past
 * its target for others, in attempts.
 */
#define HEDGE_RESERVE 2.0
#define LATE_RESERVE 3.0
/* The same at most, as a share of the slack that an instance can hold. */
#define HEDGE_RESERVE_SHARE 0.4
#define LATE_RESERVE_SHARE 0.6
/* Unanswered requests with this many broken attempts are sent no further. */
#define BROKEN_ATTEMPTS_MAX 2
/* Share of the target latency for which a part waits for the limit of a replica. */
#define ROOM_WAIT_SHARE 0.25

/**
 * exchange_is_merged() - check whether the answer is made of several parts
 * @exchange: exchange
 *
 * Return: whether its route names shards.
 */
bool exchange_is_merged(const exchange_t *exchange)
{
	return exchange->route->form == ROUTE_SHARDS;
}

/**
 * exchange_room_wait_end() - how long a part waits for the limits of its replicas
 * @exchange: exchange
 * @part: part of it
 *
 * A part that was not sent waits only so long that its caller, once refused, could
 * still be answered in time elsewhere.
 *
 * Return: time in ms.
 */
medlar_time_t exchange_room_wait_end(const exchange_t *exchange,
				     const exchange_part_t *part)
{
	medlar_time_t wait =
		(medlar_time_t)(ROOM_WAIT_SHARE *
				(double)exchange->route->target_latency);
	medlar_time_t end = exchange->started_at + wait;

	if (part->attempts_len > 0 || end > exchange->soft_deadline)
		return exchange->soft_deadline;
	return end;
}

/**
 * exchange_return_room() - take back an attempt that was not sent
 * @attempt: attempt
 */
void exchange_return_room(attempt_t *attempt)
{
	if (attempt->counts_against_limit)
		replica_return_room(attempt->replica);
	attempt->counts_against_limit = false;
}

/**
 * exchange_recall_time() - when deferred parts are asked for without an answer
 * @exchange: exchange
 *
 * Return: time in ms.
 */
medlar_time_t exchange_recall_time(const exchange_t *exchange)
{
	return exchange->soft_deadline + exchange->route->target_latency;
}

/**
 * exchange_has_coverage() - check whether the parts that are in suffice
 * @exchange: exchange
 *
 * Return: whether they make up a merged answer.
 */
bool exchange_has_coverage(const exchange_t *exchange)
{
	return exchange_is_merged(exchange) &&
	       exchange->parts_ok >= route_required_parts(exchange->route);
}

/**
 * exchange_settle_part() - record that no more attempts are made for a part
 * @part: part of @exchange
 * @exchange: exchange
 * @ok: the part was answered
 */
void exchange_settle_part(exchange_part_t *part, exchange_t *exchange, bool ok)
{
	part->settled = true;
	part->ok = ok;
	exchange->parts_settled++;
	exchange->parts_ok += ok ? 1 : 0;
}

/*
 * Prefers replicas that were not asked yet. If there are none, asks those again
 * that refused the part, once their backoff is over.
 */
static replica_t *pick_replica(exchange_part_t *part, exchange_t *exchange,
			       medlar_time_t now)
{
	replica_t *tried[EXCHANGE_ATTEMPTS_MAX];
	replica_t *replica;
	size_t len = 0;

	for (unsigned i = 0; i < part->attempts_len; i++)
		tried[len++] = part->attempts[i].replica;
	replica = fleet_pick(exchange->setup->fleet, part->service, tried, len,
			     exchange->route->priority, now);
	if (replica || now < part->backoff_until)
		return replica;
	len = 0;
	for (unsigned i = 0; i < part->attempts_len; i++)
		if (!part->attempts[i].refused ||
		    now < part->attempts[i].replica->avoid_until)
			tried[len++] = part->attempts[i].replica;
	return fleet_pick(exchange->setup->fleet, part->service, tried, len,
			  exchange->route->priority, now);
}

static bool may_send_again(const exchange_part_t *part,
			   const exchange_t *exchange)
{
	const route_t *route = exchange->route;
	unsigned runs_max = route->idempotent ? route->attempts_max : 1;

	return part->attempts_len < EXCHANGE_ATTEMPTS_MAX &&
	       part->possible_runs < runs_max;
}

/*
 * A request whose attempts break, with no part answered, may crash replicas; no
 * further attempts are sent until one of its parts is answered.
 */
static bool is_suspected(const exchange_t *exchange)
{
	return exchange->parts_ok == 0 &&
	       exchange->broken_attempts >= BROKEN_ATTEMPTS_MAX;
}

/*
 * One of hundreds of instances holds a few attempts at most. A reserve of a fixed
 * number would leave it none to spend.
 */
static double scaled_reserve(const exchange_t *exchange, double attempts,
			     double share)
{
	const fleet_t *fleet = exchange->setup->fleet;
	double held = retry_budget_slack_max(&fleet->retry_limits,
					     fleet_share(fleet));

	return fmin(attempts, share * held);
}

/* Attempts that must be left in the budget for more urgent requests. */
static double late_reserve(const exchange_t *exchange, medlar_time_t now)
{
	if (now < exchange->soft_deadline)
		return 0;
	return scaled_reserve(exchange, LATE_RESERVE, LATE_RESERVE_SHARE);
}

/* Charges an attempt to the retry budget, unless less than @reserve is left. */
static bool take_from_budget(exchange_part_t *part, exchange_t *exchange,
			     double reserve, medlar_time_t now)
{
	const fleet_t *fleet = exchange->setup->fleet;

	if (!retry_budget_withdraw(&part->service->retry_budget,
				   &fleet->retry_limits, fleet_share(fleet),
				   reserve, now))
		return false;
	exchange->extra_attempts++;
	return true;
}

static bool send_attempt(exchange_part_t *part, exchange_t *exchange,
			 replica_t *replica, medlar_time_t now)
{
	const exchange_setup_t *setup = exchange->setup;
	attempt_t *attempt = &part->attempts[part->attempts_len++];

	*attempt = (attempt_t){ .exchange = exchange,
				.part = part,
				.replica = replica,
				.is_extra = part->next_is_extra };
	replica_ref(replica);
	attempt->counts_against_limit = replica_take_room(
		replica, exchange->route->priority, now);
	if (setup->events->send(attempt, setup->data) != MEDLAR_OK) {
		exchange_return_room(attempt);
		return false;
	}
	part->in_flight++;
	part->possible_runs++;
	part->next_is_extra = true;
	exchange->in_flight++;
	exchange->attempts_made++;
	return true;
}

static void give_up_until(exchange_part_t *part, exchange_t *exchange,
			  medlar_time_t at)
{
	if (at != MEDLAR_TIME_NEVER && at > exchange->available_at)
		exchange->available_at = at;
	exchange_settle_part(part, exchange, false);
}

/*
 * Gives up a part whose replicas are all leaving, want no requests before the answer
 * would be late, or have no room for it soon: waiting for them helps nobody.
 */
static void give_up_if_unavailable(exchange_part_t *part, exchange_t *exchange,
				   medlar_time_t now)
{
	medlar_time_t at = fleet_available_at(part->service, now);

	if (at > now && at >= exchange->soft_deadline) {
		give_up_until(part, exchange, at);
		return;
	}
	at = fleet_room_at(part->service, exchange->route->priority, now);
	if (at > now && at > exchange_room_wait_end(exchange, part))
		give_up_until(part, exchange, at);
}

/**
 * exchange_send_if_idle() - send a part that has no attempt in flight
 * @part: part of @exchange
 * @exchange: exchange
 * @now: current time, ms
 *
 * The part may be given up instead, or wait for a replica or for the budget.
 */
void exchange_send_if_idle(exchange_part_t *part, exchange_t *exchange,
			   medlar_time_t now)
{
	replica_t *replica;

	if (part->settled || part->deferred || part->in_flight > 0)
		return;
	if (part->service->replicas_len == 0 ||
	    !may_send_again(part, exchange) ||
	    (is_suspected(exchange) && exchange->in_flight == 0)) {
		exchange_settle_part(part, exchange, false);
		return;
	}
	if (is_suspected(exchange))
		return;
	replica = pick_replica(part, exchange, now);
	if (!replica) {
		give_up_if_unavailable(part, exchange, now);
		return;
	}
	if (part->next_is_extra &&
	    !take_from_budget(part, exchange, late_reserve(exchange, now), now))
		return;
	(void)send_attempt(part, exchange, replica, now);
}

/**
 * exchange_recall_deferred() - ask for deferred parts if the others do not suffice
 * @exchange: exchange
 * @now: current time, ms
 *
 * Parts that are merely late are waited for first: those deferred would be later
 * yet, and their replicas have no room for requests that miss the target anyway.
 */
void exchange_recall_deferred(exchange_t *exchange, medlar_time_t now)
{
	size_t given_up = exchange->parts_settled - exchange->parts_ok;
	size_t obtainable = exchange->parts_len - exchange->parts_deferred -
			    given_up;

	if (exchange->parts_deferred == 0 || exchange_has_coverage(exchange) ||
	    (obtainable >= route_required_parts(exchange->route) &&
	     now < exchange_recall_time(exchange)))
		return;
	exchange->parts_deferred = 0;
	for (size_t i = 0; i < exchange->parts_len; i++) {
		if (!exchange->parts[i].deferred)
			continue;
		exchange->parts[i].deferred = false;
		exchange_send_if_idle(&exchange->parts[i], exchange, now);
	}
}

/**
 * exchange_hedge_part() - ask a second replica if the only attempt is slow
 * @part: part of @exchange
 * @exchange: exchange
 * @now: current time, ms
 */
void exchange_hedge_part(exchange_part_t *part, exchange_t *exchange,
			 medlar_time_t now)
{
	const exchange_setup_t *setup = exchange->setup;
	replica_t *replica;
	double reserve;

	if (part->settled || part->hedged || part->in_flight != 1 ||
	    !exchange->route->idempotent || !may_send_again(part, exchange) ||
	    is_suspected(exchange))
		return;
	replica = pick_replica(part, exchange, now);
	if (!replica)
		return;
	reserve = late_reserve(exchange, now) +
		  scaled_reserve(exchange, HEDGE_RESERVE, HEDGE_RESERVE_SHARE);
	if (!take_from_budget(part, exchange, reserve, now))
		return;
	part->hedged = true;
	if (send_attempt(part, exchange, replica, now))
		setup->events->log(&part->attempts[part->attempts_len - 1],
				   "hedge", OUTCOME_COUNT, setup->data);
}
