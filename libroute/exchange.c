/**
 * DOC: processing of one forwarded request
 */
#include <stdlib.h>

#include "libroute/exchange_internal.h"

/* Share of the target latency after which a second replica is asked. */
#define HEDGE_DELAY_SHARDS 0.34
#define HEDGE_DELAY_SINGLE 0.45
/* Wait before a replica that refused a request is asked again. */
#define REFUSED_BACKOFF_MS 15
/* Interval at which to look for a free replica or budget again. */
#define RETRY_INTERVAL_MS 5

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data);

static medlar_time_t earlier_of(medlar_time_t a, medlar_time_t b)
{
	return a < b ? a : b;
}

static int add_part(exchange_t *exchange, size_t target_index,
		    medlar_time_t now)
{
	const route_target_t *target = &exchange->route->targets[target_index];
	exchange_part_t *part = &exchange->parts[exchange->parts_len];

	part->service = fleet_service(exchange->setup->fleet,
				      medlar_str_from(target->service), now);
	if (!part->service)
		return MEDLAR_ERR_NOMEM;
	medlar_buf_init(&part->signature);
	medlar_buf_init(&part->body);
	exchange->parts_len++;
	return MEDLAR_OK;
}

static int add_parts(exchange_t *exchange, medlar_time_t now)
{
	const route_t *route = exchange->route;
	medlar_client_t *client = exchange->setup->client;

	if (!exchange_is_merged(exchange))
		return add_part(exchange,
				route_pick_target(
					route, medlar_rand_unit(&client->rand)),
				now);
	for (size_t i = 0; i < route->targets_len; i++)
		if (add_part(exchange, i, now))
			return MEDLAR_ERR_NOMEM;
	return MEDLAR_OK;
}

/**
 * exchange_init() - initialise an exchange without sending anything
 * @exchange: exchange to initialise; needs exchange_finish() even on error
 * @setup: environment shared by the exchanges of the instance
 * @routes: configuration version in force
 * @route: route of the request, in @routes
 * @timing: time that the caller has
 * @now: current time, ms
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int exchange_init(exchange_t *exchange, exchange_setup_t *setup,
		  routes_t *routes, const route_t *route,
		  const caller_timing_t *timing, medlar_time_t now)
{
	medlar_time_t delay = delay_bound(&setup->timer_delay) +
			      delay_bound(&setup->write_delay);
	double share = route->form == ROUTE_SHARDS ? HEDGE_DELAY_SHARDS
						   : HEDGE_DELAY_SINGLE;
	size_t parts = route->form == ROUTE_SHARDS ? route->targets_len : 1;

	*exchange = (exchange_t){ .setup = setup,
				  .routes = routes_ref(routes),
				  .route = route,
				  .timing = *timing,
				  .started_at = now };
	exchange->deadline = now +
			     earlier_of(answer_time_for_timeout(timing, delay),
					route->timeout);
	exchange->soft_deadline = now +
				  answer_time_for_target(
					  timing, route->target_latency, delay);
	exchange->hedge_at = now +
			     (medlar_time_t)(share *
					     (double)route->target_latency);
	medlar_timer_init(&exchange->timer, on_timer, exchange);
	exchange->parts = calloc(parts, sizeof(*exchange->parts));
	if (!exchange->parts)
		return MEDLAR_ERR_NOMEM;
	return add_parts(exchange, now);
}

/**
 * exchange_finish() - release the resources of an exchange
 * @exchange: exchange that was answered or cancelled, or has not been started
 */
void exchange_finish(exchange_t *exchange)
{
	medlar_timer_clear(exchange->setup->client, &exchange->timer);
	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		for (unsigned j = 0; j < part->attempts_len; j++)
			replica_unref(part->attempts[j].replica);
		medlar_buf_finish(&part->signature);
		medlar_buf_finish(&part->body);
	}
	free(exchange->parts);
	exchange->parts = NULL;
	exchange->parts_len = 0;
	routes_unref(exchange->routes);
	exchange->routes = NULL;
}

/* Cancels attempts in flight; those that were partly sent may have run. */
static void cancel_part_attempts(exchange_part_t *part, exchange_t *exchange)
{
	const exchange_setup_t *setup = exchange->setup;

	for (unsigned i = 0; i < part->attempts_len; i++) {
		attempt_t *attempt = &part->attempts[i];

		if (!attempt->transport)
			continue;
		if (setup->events->cancel(attempt, setup->data))
			exchange_return_room(attempt);
		else
			exchange->may_have_run = true;
	}
	exchange->in_flight -= part->in_flight;
	part->in_flight = 0;
}

static void cancel_attempts(exchange_t *exchange)
{
	for (size_t i = 0; i < exchange->parts_len; i++)
		cancel_part_attempts(&exchange->parts[i], exchange);
}

/**
 * exchange_cancel() - end an exchange whose caller has left
 * @exchange: exchange that was not answered
 */
void exchange_cancel(exchange_t *exchange)
{
	exchange->answered = true;
	medlar_timer_clear(exchange->setup->client, &exchange->timer);
	cancel_attempts(exchange);
}

static void answer_caller(exchange_t *exchange, answer_t how,
			  const exchange_reply_t *reply)
{
	const exchange_setup_t *setup = exchange->setup;

	exchange->answered = true;
	medlar_timer_clear(setup->client, &exchange->timer);
	cancel_attempts(exchange);
	if (how >= ANSWER_NOT_RUN && !exchange->may_have_run)
		how = ANSWER_NOT_RUN;
	setup->events->answer(exchange, how, reply, setup->data);
}

/* Answers with the merged parts if they suffice, otherwise with @how. */
static void answer_with_parts_or(exchange_t *exchange, answer_t how)
{
	if (exchange_has_coverage(exchange))
		answer_caller(exchange, ANSWER_MERGED, NULL);
	else
		answer_caller(exchange, how, NULL);
}

/* Nothing ran before the target: another instance may still succeed. */
static bool should_return_unrun(const exchange_t *exchange, medlar_time_t now)
{
	return now >= exchange->soft_deadline && exchange->in_flight == 0 &&
	       !exchange->may_have_run;
}

/* Answers once waiting longer cannot improve the answer. */
static void answer_if_decided(exchange_t *exchange, medlar_time_t now)
{
	size_t unsettled = exchange->parts_len - exchange->parts_settled;

	if (exchange->answered)
		return;
	if (!exchange_is_merged(exchange)) {
		if (unsettled == 0 || should_return_unrun(exchange, now))
			answer_caller(exchange, ANSWER_FAILED, NULL);
		return;
	}
	if (unsettled == 0 ||
	    (exchange_has_coverage(exchange) &&
	     (unsettled == exchange->parts_deferred ||
	      now >= exchange->soft_deadline)) ||
	    exchange->parts_ok + unsettled <
		    route_required_parts(exchange->route))
		answer_with_parts_or(exchange, ANSWER_FAILED);
}

static void set_timer(exchange_t *exchange, medlar_time_t now)
{
	medlar_time_t due = exchange->deadline;

	if (exchange->answered)
		return;
	if (now < exchange->soft_deadline)
		due = earlier_of(due, exchange->soft_deadline);
	if (exchange->parts_deferred > 0)
		due = earlier_of(due, exchange_recall_time(exchange));
	if (now < exchange->hedge_at)
		due = earlier_of(due, exchange->hedge_at);
	for (size_t i = 0; i < exchange->parts_len; i++)
		if (!exchange->parts[i].settled &&
		    !exchange->parts[i].deferred &&
		    exchange->parts[i].in_flight == 0)
			due = earlier_of(due, now + RETRY_INTERVAL_MS);
	(void)medlar_timer_set(exchange->setup->client, &exchange->timer, due);
}

/**
 * exchange_limit_deadline() - answer an exchange by a given time at the latest
 * @exchange: initialised exchange that was not answered
 * @until: latest time of the answer, ms; a deadline before it is kept
 * @now: current time, ms
 */
void exchange_limit_deadline(exchange_t *exchange, medlar_time_t until,
			     medlar_time_t now)
{
	if (until >= exchange->deadline)
		return;
	exchange->deadline = until;
	set_timer(exchange, now);
}

/**
 * exchange_defer_part() - answer without a part unless it is needed
 * @exchange: an initialised exchange that has not been started
 * @part: part of it that is asked for only if too few others can be obtained,
 *	or have been obtained long after the target latency
 */
void exchange_defer_part(exchange_t *exchange, exchange_part_t *part)
{
	exchange->parts_deferred++;
	part->deferred = true;
}

/**
 * exchange_start() - send the first attempts
 * @exchange: initialised exchange; may already be answered on return
 * @now: current time, ms
 */
void exchange_start(exchange_t *exchange, medlar_time_t now)
{
	const fleet_t *fleet = exchange->setup->fleet;

	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		retry_budget_deposit(&part->service->retry_budget,
				     &fleet->retry_limits, now);
		exchange_send_if_idle(part, exchange, now);
	}
	exchange_recall_deferred(exchange, now);
	set_timer(exchange, now);
	answer_if_decided(exchange, now);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	exchange_t *exchange = data;

	(void)client;
	delay_add(&exchange->setup->timer_delay, now - timer->due);
	if (now >= exchange->deadline) {
		answer_with_parts_or(exchange, ANSWER_TIMEOUT);
		return;
	}
	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		exchange_send_if_idle(part, exchange, now);
		if (now >= exchange->hedge_at)
			exchange_hedge_part(part, exchange, now);
	}
	exchange_recall_deferred(exchange, now);
	set_timer(exchange, now);
	answer_if_decided(exchange, now);
}

static void store_part(exchange_part_t *part, exchange_t *exchange,
		       const exchange_reply_t *reply)
{
	medlar_buf_add(&part->signature, reply->signature);
	medlar_buf_add(&part->body, reply->body);
	exchange_settle_part(part, exchange,
			     !part->signature.error && !part->body.error);
	cancel_part_attempts(part, exchange);
}

static void on_attempt_ok(attempt_t *attempt, const exchange_reply_t *reply,
			  medlar_time_t now)
{
	exchange_t *exchange = attempt->exchange;

	exchange->may_have_run = true;
	suspects_add_answer(exchange->setup->suspects, exchange->fingerprint,
			    now);
	if (exchange_is_merged(exchange))
		store_part(attempt->part, exchange, reply);
	else
		answer_caller(exchange, ANSWER_RELAY, reply);
}

/* The failure is passed on if no other replica may run the request. */
static void on_attempt_failed(attempt_t *attempt, const exchange_reply_t *reply,
			      medlar_time_t now)
{
	exchange_t *exchange = attempt->exchange;
	exchange_part_t *part = attempt->part;

	exchange->may_have_run = true;
	exchange_send_if_idle(part, exchange, now);
	if (part->in_flight == 0 && !exchange_is_merged(exchange) &&
	    reply->message)
		answer_caller(exchange, ANSWER_RELAY, reply);
}

static void on_attempt_refused(attempt_t *attempt, medlar_time_t now)
{
	attempt->refused = true;
	attempt->part->possible_runs--;
	attempt->part->backoff_until = now + REFUSED_BACKOFF_MS;
	if (!attempt->is_extra)
		throttle_add_refusal(&attempt->part->service->throttle, now);
	exchange_send_if_idle(attempt->part, attempt->exchange, now);
}

static void on_attempt_not_sent(attempt_t *attempt, medlar_time_t now)
{
	attempt->refused = true;
	attempt->part->possible_runs--;
	attempt->part->next_is_extra = attempt->is_extra;
	exchange_return_room(attempt);
	if (attempt->is_extra)
		attempt->exchange->extra_attempts--;
	exchange_send_if_idle(attempt->part, attempt->exchange, now);
}

static void on_attempt_lost(attempt_t *attempt, medlar_time_t now)
{
	attempt->exchange->may_have_run = true;
	attempt->exchange->broken_attempts++;
	exchange_send_if_idle(attempt->part, attempt->exchange, now);
}

/**
 * exchange_end_attempt() - report the end of an attempt
 * @attempt: attempt in flight; its exchange may be answered on return
 * @reply: outcome, and the reply if there is one
 * @now: current time, ms
 */
void exchange_end_attempt(attempt_t *attempt, const exchange_reply_t *reply,
			  medlar_time_t now)
{
	exchange_t *exchange = attempt->exchange;
	const exchange_setup_t *setup = exchange->setup;
	exchange_part_t *part = attempt->part;

	attempt->transport = NULL;
	part->in_flight--;
	exchange->in_flight--;
	if (reply->outcome != OUTCOME_OK)
		setup->events->log(attempt, "attempt_end", reply->outcome,
				   setup->data);
	switch (reply->outcome) {
	case OUTCOME_OK:
		on_attempt_ok(attempt, reply, now);
		break;
	case OUTCOME_FAILED:
		on_attempt_failed(attempt, reply, now);
		break;
	case OUTCOME_NOT_SENT:
		on_attempt_not_sent(attempt, now);
		break;
	case OUTCOME_REFUSED:
	case OUTCOME_OTHER_REPLICA:
		on_attempt_refused(attempt, now);
		break;
	default:
		on_attempt_lost(attempt, now);
	}
	if (exchange->answered)
		return;
	exchange_recall_deferred(exchange, now);
	set_timer(exchange, now);
	answer_if_decided(exchange, now);
}
