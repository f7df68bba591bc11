/**
 * DOC: the life of one forwarded request
 */
#include <stdlib.h>

#include "libroute/exchange.h"

/* Part of the target latency after which a second replica is asked. */
#define HEDGE_SHARDS 0.34
#define HEDGE_SINGLE 0.45
/* Extra sends that a hedge leaves to retries of failed requests. */
#define HEDGE_RESERVE 2.0
/* Extra sends that a request past its target leaves to others. */
#define LATE_RESERVE 3.0
/* Wait before a replica that refused a request is asked again, ms. */
#define REFUSED_REST 15
/* Wait for a free replica or for the budget before the next try, ms. */
#define WAIT_STEP 5
/* A request that has broken this many attempts unanswered is held back. */
#define BREAKS_SENT_MAX 2

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data);

static medlar_time_t least(medlar_time_t a, medlar_time_t b)
{
	return a < b ? a : b;
}

static bool is_merged(const exchange_t *exchange)
{
	return exchange->route->form == ROUTE_SHARDS;
}

static int add_part(exchange_t *exchange, size_t target, medlar_time_t now)
{
	const route_target_t *to = &exchange->route->targets[target];
	exchange_part_t *part = &exchange->parts[exchange->parts_len];

	part->service = fleet_service(exchange->setup->fleet,
				      medlar_str_from(to->service), now);
	if (!part->service)
		return MEDLAR_ERR_NOMEM;
	medlar_buf_init(&part->proof);
	medlar_buf_init(&part->body);
	exchange->parts_len++;
	return MEDLAR_OK;
}

static int add_parts(exchange_t *exchange, medlar_time_t now)
{
	const route_t *route = exchange->route;
	medlar_client_t *client = exchange->setup->client;

	if (!is_merged(exchange))
		return add_part(
			exchange,
			route_draw(route, medlar_rand_unit(&client->rand)),
			now);
	for (size_t i = 0; i < route->targets_len; i++)
		if (add_part(exchange, i, now))
			return MEDLAR_ERR_NOMEM;
	return MEDLAR_OK;
}

/**
 * exchange_init() - prepare a request
 * @exchange: memory of the caller; needs exchange_finish() in any case
 * @setup: shared by the exchanges of the instance
 * @routes: version in force
 * @route: route of the request
 * @limit: how long the caller waits, ms
 * @now: current time
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int exchange_init(exchange_t *exchange, const exchange_setup_t *setup,
		  routes_t *routes, const route_t *route, medlar_time_t limit,
		  medlar_time_t now)
{
	double part = route->form == ROUTE_SHARDS ? HEDGE_SHARDS : HEDGE_SINGLE;
	size_t parts = route->form == ROUTE_SHARDS ? route->targets_len : 1;

	*exchange = (exchange_t){ .setup = setup,
				  .routes = routes_hold(routes),
				  .route = route,
				  .began = now };
	exchange->deadline = now +
			     least(limit - setup->margin / 2, route->timeout);
	exchange->aim = now + route->target_latency - setup->margin;
	exchange->hedge_at = now +
			     (medlar_time_t)(part *
					     (double)route->target_latency);
	medlar_timer_init(&exchange->timer, on_timer, exchange);
	exchange->parts = calloc(parts, sizeof(*exchange->parts));
	if (!exchange->parts)
		return MEDLAR_ERR_NOMEM;
	return add_parts(exchange, now);
}

/**
 * exchange_finish() - release what an exchange holds
 * @exchange: an exchange that was answered or cancelled
 */
void exchange_finish(exchange_t *exchange)
{
	medlar_timer_clear(exchange->setup->client, &exchange->timer);
	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		for (unsigned j = 0; j < part->attempts_len; j++)
			replica_release(part->attempts[j].replica);
		medlar_buf_finish(&part->proof);
		medlar_buf_finish(&part->body);
	}
	free(exchange->parts);
	exchange->parts = NULL;
	exchange->parts_len = 0;
	routes_release(exchange->routes);
	exchange->routes = NULL;
}

/* Forgets what is under way for a part; what was sent may have run. */
static void drop_part(exchange_part_t *part, exchange_t *exchange)
{
	const exchange_setup_t *setup = exchange->setup;

	for (unsigned i = 0; i < part->attempts_len; i++)
		if (part->attempts[i].io &&
		    !setup->events->drop(&part->attempts[i], setup->data))
			exchange->ran = true;
	exchange->flying -= part->flying;
	part->flying = 0;
}

static void drop_attempts(exchange_t *exchange)
{
	for (size_t i = 0; i < exchange->parts_len; i++)
		drop_part(&exchange->parts[i], exchange);
}

/**
 * exchange_cancel() - the caller has left
 * @exchange: an exchange that was not answered
 */
void exchange_cancel(exchange_t *exchange)
{
	exchange->answered = true;
	medlar_timer_clear(exchange->setup->client, &exchange->timer);
	drop_attempts(exchange);
}

static void answer(exchange_t *exchange, answer_t how,
		   const exchange_reply_t *reply)
{
	const exchange_setup_t *setup = exchange->setup;

	exchange->answered = true;
	medlar_timer_clear(setup->client, &exchange->timer);
	drop_attempts(exchange);
	if (how >= ANSWER_NOT_RUN && !exchange->ran)
		how = ANSWER_NOT_RUN;
	setup->events->answer(exchange, how, reply, setup->data);
}

static bool is_covered(const exchange_t *exchange)
{
	return is_merged(exchange) &&
	       exchange->ok >= route_coverage_parts(exchange->route);
}

static void give_up(exchange_t *exchange, answer_t how)
{
	if (is_covered(exchange))
		answer(exchange, ANSWER_MERGED, NULL);
	else
		answer(exchange, how, NULL);
}

static void settle(exchange_part_t *part, exchange_t *exchange, bool ok)
{
	part->settled = true;
	part->ok = ok;
	exchange->settled++;
	exchange->ok += ok ? 1 : 0;
}

/* Nothing has run: the caller may do better with another instance. */
static bool is_hopeless(const exchange_t *exchange, medlar_time_t now)
{
	return now >= exchange->aim && exchange->flying == 0 && !exchange->ran;
}

/* Ends the exchange if more waiting cannot better it. */
static void check(exchange_t *exchange, medlar_time_t now)
{
	size_t open = exchange->parts_len - exchange->settled;

	if (exchange->answered)
		return;
	if (!is_merged(exchange)) {
		if (open == 0 || is_hopeless(exchange, now))
			answer(exchange, ANSWER_FAILED, NULL);
		return;
	}
	if (open == 0 || (is_covered(exchange) && now >= exchange->aim) ||
	    exchange->ok + open < route_coverage_parts(exchange->route))
		give_up(exchange, ANSWER_FAILED);
}

/* Replicas that ran the part or are asked for it now; refusals may repeat. */
static replica_t *pick(exchange_part_t *part, exchange_t *exchange,
		       medlar_time_t now)
{
	replica_t *tried[EXCHANGE_SENDS_MAX];
	replica_t *replica;
	size_t len = 0;

	for (unsigned i = 0; i < part->attempts_len; i++)
		tried[len++] = part->attempts[i].replica;
	replica = fleet_pick(exchange->setup->fleet, part->service, tried, len,
			     now);
	if (replica || now < part->rest_until)
		return replica;
	len = 0;
	for (unsigned i = 0; i < part->attempts_len; i++)
		if (!part->attempts[i].refused ||
		    now < part->attempts[i].replica->avoid_until)
			tried[len++] = part->attempts[i].replica;
	return fleet_pick(exchange->setup->fleet, part->service, tried, len,
			  now);
}

static bool may_repeat(const exchange_part_t *part, const exchange_t *exchange)
{
	const route_t *route = exchange->route;
	unsigned most = route->idempotent ? route->attempts_max : 1;

	return part->attempts_len < EXCHANGE_SENDS_MAX &&
	       part->may_have_run < most;
}

/*
 * A request that breaks the replicas it reaches, with no answer from any, is
 * held back until one of its parts is in.
 */
static bool is_suspect(const exchange_t *exchange)
{
	return exchange->ok == 0 && exchange->breaks >= BREAKS_SENT_MAX;
}

/* What must be left in the budget for more urgent sends. */
static double reserve_of(const exchange_t *exchange, medlar_time_t now)
{
	return now < exchange->aim ? 0 : LATE_RESERVE;
}

static bool pay(exchange_part_t *part, exchange_t *exchange, double reserve,
		medlar_time_t now)
{
	const fleet_t *fleet = exchange->setup->fleet;

	if (!spend_try(&part->service->spend, &fleet->spend_limits,
		       fleet_share(fleet), reserve, now))
		return false;
	exchange->extra++;
	return true;
}

static bool launch(exchange_part_t *part, exchange_t *exchange,
		   replica_t *replica)
{
	const exchange_setup_t *setup = exchange->setup;
	attempt_t *attempt = &part->attempts[part->attempts_len++];

	*attempt = (attempt_t){ .exchange = exchange,
				.part = part,
				.replica = replica,
				.extra = part->repeats };
	replica_hold(replica);
	if (setup->events->send(attempt, setup->data) != MEDLAR_OK)
		return false;
	part->flying++;
	part->may_have_run++;
	part->repeats = true;
	exchange->flying++;
	exchange->sends++;
	return true;
}

/* Sends a part of which nothing is under way, gives it up, or lets it wait. */
static void advance(exchange_part_t *part, exchange_t *exchange,
		    medlar_time_t now)
{
	replica_t *replica;

	if (part->settled || part->flying > 0)
		return;
	if (part->service->replicas_len == 0 || !may_repeat(part, exchange) ||
	    (is_suspect(exchange) && exchange->flying == 0)) {
		settle(part, exchange, false);
		return;
	}
	if (is_suspect(exchange))
		return;
	replica = pick(part, exchange, now);
	if (!replica)
		return;
	if (part->repeats &&
	    !pay(part, exchange, reserve_of(exchange, now), now))
		return;
	(void)launch(part, exchange, replica);
}

static void hedge(exchange_part_t *part, exchange_t *exchange,
		  medlar_time_t now)
{
	const exchange_setup_t *setup = exchange->setup;
	replica_t *replica;

	if (part->settled || part->hedged || part->flying != 1 ||
	    !exchange->route->idempotent || !may_repeat(part, exchange) ||
	    is_suspect(exchange))
		return;
	replica = pick(part, exchange, now);
	if (!replica || !pay(part, exchange,
			     HEDGE_RESERVE + reserve_of(exchange, now), now))
		return;
	part->hedged = true;
	if (launch(part, exchange, replica))
		setup->events->note(&part->attempts[part->attempts_len - 1],
				    "hedge", OUTCOME_COUNT, setup->data);
}

static void set_timer(exchange_t *exchange, medlar_time_t now)
{
	medlar_time_t due = exchange->deadline;

	if (exchange->answered)
		return;
	if (now < exchange->aim)
		due = least(due, exchange->aim);
	if (now < exchange->hedge_at)
		due = least(due, exchange->hedge_at);
	for (size_t i = 0; i < exchange->parts_len; i++)
		if (!exchange->parts[i].settled &&
		    exchange->parts[i].flying == 0)
			due = least(due, now + WAIT_STEP);
	(void)medlar_timer_set(exchange->setup->client, &exchange->timer, due);
}

/**
 * exchange_start() - send the request
 * @exchange: a prepared exchange; may be answered when this returns
 * @now: current time
 */
void exchange_start(exchange_t *exchange, medlar_time_t now)
{
	const fleet_t *fleet = exchange->setup->fleet;

	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		spend_request(&part->service->spend, &fleet->spend_limits);
		advance(part, exchange, now);
	}
	set_timer(exchange, now);
	check(exchange, now);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	exchange_t *exchange = data;

	(void)client;
	(void)timer;
	if (now >= exchange->deadline) {
		give_up(exchange, ANSWER_TIMEOUT);
		return;
	}
	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		advance(part, exchange, now);
		if (now >= exchange->hedge_at)
			hedge(part, exchange, now);
	}
	set_timer(exchange, now);
	check(exchange, now);
}

static void take_part(exchange_part_t *part, exchange_t *exchange,
		      const exchange_reply_t *reply)
{
	medlar_buf_add(&part->proof, reply->proof);
	medlar_buf_add(&part->body, reply->body);
	settle(part, exchange, !part->proof.error && !part->body.error);
	drop_part(part, exchange);
}

static void end_ok(attempt_t *attempt, const exchange_reply_t *reply)
{
	exchange_t *exchange = attempt->exchange;

	exchange->ran = true;
	suspects_cleared(exchange->setup->suspects, exchange->fingerprint);
	if (is_merged(exchange))
		take_part(attempt->part, exchange, reply);
	else
		answer(exchange, ANSWER_RELAY, reply);
}

/* A failure of the only replica that may run it is passed on. */
static void end_failed(attempt_t *attempt, const exchange_reply_t *reply,
		       medlar_time_t now)
{
	exchange_t *exchange = attempt->exchange;
	exchange_part_t *part = attempt->part;

	exchange->ran = true;
	advance(part, exchange, now);
	if (part->flying == 0 && !is_merged(exchange) && reply->message)
		answer(exchange, ANSWER_RELAY, reply);
}

static void end_refused(attempt_t *attempt, medlar_time_t now)
{
	attempt->refused = true;
	attempt->part->may_have_run--;
	attempt->part->rest_until = now + REFUSED_REST;
	advance(attempt->part, attempt->exchange, now);
}

static void end_unsent(attempt_t *attempt, medlar_time_t now)
{
	attempt->refused = true;
	attempt->part->may_have_run--;
	attempt->part->repeats = attempt->extra;
	if (attempt->extra)
		attempt->exchange->extra--;
	advance(attempt->part, attempt->exchange, now);
}

static void end_lost(attempt_t *attempt, medlar_time_t now)
{
	attempt->exchange->ran = true;
	attempt->exchange->breaks++;
	advance(attempt->part, attempt->exchange, now);
}

/**
 * exchange_end() - tell how an attempt has ended
 * @attempt: an attempt that is under way; its exchange may be answered when
 *	this returns
 * @reply: outcome and reply
 * @now: current time
 */
void exchange_end(attempt_t *attempt, const exchange_reply_t *reply,
		  medlar_time_t now)
{
	exchange_t *exchange = attempt->exchange;
	const exchange_setup_t *setup = exchange->setup;
	exchange_part_t *part = attempt->part;

	attempt->io = NULL;
	part->flying--;
	exchange->flying--;
	if (reply->outcome != OUTCOME_OK)
		setup->events->note(attempt, "attempt_end", reply->outcome,
				    setup->data);
	switch (reply->outcome) {
	case OUTCOME_OK:
		end_ok(attempt, reply);
		break;
	case OUTCOME_FAILED:
		end_failed(attempt, reply, now);
		break;
	case OUTCOME_NOT_SENT:
		end_unsent(attempt, now);
		break;
	case OUTCOME_REFUSED:
	case OUTCOME_ELSEWHERE:
		end_refused(attempt, now);
		break;
	default:
		end_lost(attempt, now);
	}
	if (exchange->answered)
		return;
	set_timer(exchange, now);
	check(exchange, now);
}
