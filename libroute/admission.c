/**
 * DOC: admission control by queueing delay, in this process and at replicas
 */
#include "libroute/admission.h"

/* Share of a request's time that it may wait unread, at top priority. */
#define QUEUE_DELAY_SHARE 0.04
/* Shorter delays refuse nothing: normal iterations must fit short targets. */
#define QUEUE_DELAY_MIN_MS 8.0
/* Each lower priority reduces the share by this much, down to a minimum. */
#define PRIORITY_STEP 0.2
#define PRIORITY_FACTOR_MIN 0.4
/* Multiple of the target latency that an admitted request may take. */
#define EXPECTED_LATENCY_FACTOR 1.5

/**
 * admission_add_iteration() - record the duration of a finished loop iteration
 * @admission: state, initially zero
 * @length: time from the first event of the iteration to its end, ms
 */
void admission_add_iteration(admission_t *admission, medlar_time_t length)
{
	admission->iterations[admission->next] = length;
	admission->next = (admission->next + 1) % ADMISSION_ITERATIONS;
}

/**
 * admission_delay() - estimate how long a new request waits to be read
 * @admission: state
 * @elapsed: time since the first event of this iteration, ms
 *
 * The shortest of the last iterations counts: a single long one is a stall
 * that is over, and only several in a row show a backlog.
 *
 * Return: delay in ms.
 */
medlar_time_t admission_delay(const admission_t *admission,
			      medlar_time_t elapsed)
{
	medlar_time_t shortest = admission->iterations[0];

	for (size_t i = 1; i < ADMISSION_ITERATIONS; i++)
		if (admission->iterations[i] < shortest)
			shortest = admission->iterations[i];
	return shortest > elapsed ? shortest : elapsed;
}

static double priority_factor(int priority)
{
	double factor = 1 - PRIORITY_STEP * priority;

	return factor < PRIORITY_FACTOR_MIN ? PRIORITY_FACTOR_MIN : factor;
}

/**
 * admission_allows() - decide whether this process can serve a request in time
 * @admission: state
 * @route: route of the request
 * @elapsed: time since the first event of this iteration, ms
 * @timeout: longest time that the caller waits, ms
 *
 * Return: false if the request should be refused at once.
 */
bool admission_allows(const admission_t *admission, const route_t *route,
		      medlar_time_t elapsed, medlar_time_t timeout)
{
	medlar_time_t time = timeout < route->target_latency
				     ? timeout
				     : route->target_latency;
	double limit = (double)time * QUEUE_DELAY_SHARE *
		       priority_factor(route->priority);

	if (limit < QUEUE_DELAY_MIN_MS)
		limit = QUEUE_DELAY_MIN_MS;
	return (double)admission_delay(admission, elapsed) <= limit;
}

/**
 * admission_meets_target() - decide whether replicas can answer in time
 * @exchange: an initialised exchange that has not been started
 * @now: current time, ms
 *
 * Return: false if too few parts are expected in time for an answer.
 */
bool admission_meets_target(const exchange_t *exchange, medlar_time_t now)
{
	const route_t *route = exchange->route;
	double limit = EXPECTED_LATENCY_FACTOR *
		       (double)(exchange->soft_deadline - now);
	size_t needed = route->form == ROUTE_SHARDS
				? route_required_parts(route)
				: 1;
	size_t in_time = 0;

	for (size_t i = 0; i < exchange->parts_len; i++)
		in_time += fleet_overload_latency(exchange->parts[i].service,
						  now) <= limit;
	return in_time >= needed;
}
