/**
 * DOC: admission by the work that waits, here and at the replicas
 */
#include "libroute/admission.h"

/* Part of the time of the most urgent request that may go by unread. */
#define DELAY_PART 0.04
/* A shorter delay than this refuses nothing, ms. */
#define DELAY_MIN 8.0
/* What each rank of priority takes off that, and what is left at least. */
#define RANK_PART 0.2
#define RANK_MIN 0.4
/* Times the target latency that a request may be expected to take. */
#define LATE_FACTOR 1.5

/**
 * admission_turn() - note the length of a turn that has ended
 * @admission: state, zero at first
 * @length: time from its first event to its end, ms
 */
void admission_turn(admission_t *admission, medlar_time_t length)
{
	admission->turns[admission->next] = length;
	admission->next = (admission->next + 1) % ADMISSION_TURNS;
}

/**
 * admission_delay() - how long what arrives now waits before it is read
 * @admission: state
 * @elapsed: time since the first event of this turn, ms
 *
 * One long turn is a stall that has passed; only several in a row tell of
 * work that stands.
 *
 * Return: ms.
 */
medlar_time_t admission_delay(const admission_t *admission,
			      medlar_time_t elapsed)
{
	medlar_time_t least = admission->turns[0];

	for (size_t i = 1; i < ADMISSION_TURNS; i++)
		if (admission->turns[i] < least)
			least = admission->turns[i];
	return least > elapsed ? least : elapsed;
}

static double rank_part(int priority)
{
	double part = 1 - RANK_PART * priority;

	return part < RANK_MIN ? RANK_MIN : part;
}

/**
 * admission_allows() - decide whether a request may be started
 * @admission: state
 * @route: its route
 * @elapsed: time since the first event of this turn, ms
 * @wait: how long its caller waits at most, ms
 *
 * Return: false if it is better refused at once.
 */
bool admission_allows(const admission_t *admission, const route_t *route,
		      medlar_time_t elapsed, medlar_time_t wait)
{
	medlar_time_t time = wait < route->target_latency
				     ? wait
				     : route->target_latency;
	double bound = (double)time * DELAY_PART * rank_part(route->priority);

	if (bound < DELAY_MIN)
		bound = DELAY_MIN;
	return (double)admission_delay(admission, elapsed) <= bound;
}

/**
 * admission_is_in_time() - tell whether the replicas have room for a request
 * @exchange: a prepared exchange that has not been started
 * @now: current time
 *
 * Return: false if so many parts are expected late that the answer is.
 */
bool admission_is_in_time(const exchange_t *exchange, medlar_time_t now)
{
	const route_t *route = exchange->route;
	double bound = LATE_FACTOR * (double)(exchange->aim - now);
	size_t needed = route->form == ROUTE_SHARDS
				? route_coverage_parts(route)
				: 1;
	size_t in_time = 0;

	for (size_t i = 0; i < exchange->parts_len; i++)
		in_time += fleet_expected(exchange->parts[i].service, now) <=
			   bound;
	return in_time >= needed;
}
