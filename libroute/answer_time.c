/**
 * DOC: time by which an answer must leave to reach its caller in time
 */
#include <math.h>

#include "libroute/answer_time.h"

/* Weight of a new delay in the estimate. */
#define DELAY_GAIN 0.125
/* Deviations above the mean that cover almost all delays. */
#define DELAY_DEVIATIONS 4.0
/* Requests without the initial timeout after which it is taken as changed. */
#define TIMEOUT_FORGET_REQUESTS 256
/* Measured delays are shorter than the true ones by up to a clock tick. */
#define CLOCK_TICK_MS 1.0
/* Largest share of a target that is kept back for our own delay. */
#define DELAY_SHARE_MAX 0.25

/* Greatest of the recent timeouts that occurs at least twice; 0 if none does. */
static medlar_time_t greatest_repeated(const route_timeouts_t *known)
{
	medlar_time_t greatest = 0;

	for (size_t i = 0; i < TIMEOUTS_RECENT; i++)
		for (size_t j = i + 1; j < TIMEOUTS_RECENT; j++)
			if (known->recent[i] == known->recent[j] &&
			    known->recent[i] > greatest)
				greatest = known->recent[i];
	return greatest;
}

static void update_initial(route_timeouts_t *known, medlar_time_t timeout)
{
	medlar_time_t repeated = greatest_repeated(known);

	if (timeout == known->initial) {
		known->unseen = 0;
		return;
	}
	known->unseen++;
	if (repeated <= known->initial &&
	    known->unseen < TIMEOUT_FORGET_REQUESTS)
		return;
	known->initial = repeated;
	known->unseen = 0;
}

static uint64_t hash_route(const route_t *route)
{
	return medlar_str_hash(
		medlar_str_from(route->prefix),
		medlar_str_hash(medlar_str_from(route->host), 0));
}

/*
 * Until callers have shown their initial timeout, it is assumed to be that of
 * the route if this makes their attempt one that can still meet the target.
 */
static medlar_time_t assumed_elapsed(const route_t *route,
				     medlar_time_t timeout)
{
	medlar_time_t elapsed = route->timeout - timeout;

	return elapsed > 0 && elapsed < route->target_latency ? elapsed : 0;
}

/**
 * timeouts_add() - record the timeout of a request
 * @timeouts: timeouts by route, initially zero
 * @route: route of the request
 * @timeout: how long the caller waits, ms
 *
 * Callers count their timeout down from a fixed value, which first attempts on
 * open connections state unchanged. Values that repeat are taken for it; a
 * single greater one is not.
 *
 * Return: time from the first attempt of the caller to this one, ms; 0 if it is
 * unknown.
 */
medlar_time_t timeouts_add(timeouts_t *timeouts, const route_t *route,
			   medlar_time_t timeout)
{
	uint64_t key = hash_route(route);
	route_timeouts_t *known = &timeouts->routes[key % TIMEOUTS_ROUTES];

	if (known->key != key)
		*known = (route_timeouts_t){ .key = key };
	known->recent[known->next] = timeout;
	known->next = (known->next + 1) % TIMEOUTS_RECENT;
	update_initial(known, timeout);
	if (!known->initial)
		return assumed_elapsed(route, timeout);
	return known->initial > timeout ? known->initial - timeout : 0;
}

/**
 * delay_add() - add a delay to the estimate
 * @estimate: estimate
 * @delay: delay, ms
 */
void delay_add(delay_estimate_t *estimate, medlar_time_t delay)
{
	double error = (double)delay - estimate->mean;

	estimate->mean += DELAY_GAIN * error;
	estimate->deviation += DELAY_GAIN * (fabs(error) - estimate->deviation);
}

/**
 * delay_bound() - get a delay that is rarely exceeded
 * @estimate: estimate
 *
 * Return: delay in ms, rounded up.
 */
medlar_time_t delay_bound(const delay_estimate_t *estimate)
{
	return (medlar_time_t)ceil(CLOCK_TICK_MS + estimate->mean +
				   DELAY_DEVIATIONS * estimate->deviation);
}

/**
 * answer_time_for_target() - time in which an answer must leave for the target
 * @timing: time that the caller has
 * @target: target latency, from the caller's first attempt, ms
 * @delay: time that this instance needs to send an answer, ms
 *
 * A caller that is past the target already gets the target once more: its answer
 * is late in any case, and a complete one serves it better than a hasty one.
 *
 * Return: time from the arrival of the request, at least 1 ms.
 */
medlar_time_t answer_time_for_target(const caller_timing_t *timing,
				     medlar_time_t target, medlar_time_t delay)
{
	medlar_time_t delay_max = (medlar_time_t)(DELAY_SHARE_MAX *
						  (double)target);
	medlar_time_t full = target - timing->round_trip -
			     (delay < delay_max ? delay : delay_max);
	medlar_time_t left = full - timing->elapsed;

	if (left < 1)
		left = full;
	return left < 1 ? 1 : left;
}

/**
 * answer_time_for_timeout() - time in which an answer must leave for the timeout
 * @timing: time that the caller has
 * @delay: time that this instance needs to send an answer, ms
 *
 * Return: time from the arrival of the request, at least half of the timeout.
 */
medlar_time_t answer_time_for_timeout(const caller_timing_t *timing,
				      medlar_time_t delay)
{
	medlar_time_t half = timing->timeout / 2;
	medlar_time_t left = timing->timeout - timing->round_trip - delay;

	return left > half ? left : half;
}
