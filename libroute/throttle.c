/**
 * DOC: adaptive throttling by what the replicas of a service accept
 */
#include <math.h>

#include "libroute/throttle.h"

/* Time after which a request counts half. */
#define HALF_LIFE_MS 500.0
/* Fewer recent requests than this show nothing. */
#define REQUESTS_MIN 8.0
/* Requests that are sent for each one that is accepted, to notice free room. */
#define SENT_FACTOR 1.05

static double weight_since(const throttle_t *throttle, medlar_time_t now)
{
	return exp2(-(double)(now - throttle->counted_at) / HALF_LIFE_MS);
}

static void decay(throttle_t *throttle, medlar_time_t now)
{
	double weight = weight_since(throttle, now);

	throttle->requests *= weight;
	throttle->accepted *= weight;
	throttle->counted_at = now;
}

/**
 * throttle_add() - count a request
 * @throttle: requests for a service, initially zero
 * @admitted: it is sent, and taken for accepted until it is refused
 * @now: current time, ms
 */
void throttle_add(throttle_t *throttle, bool admitted, medlar_time_t now)
{
	decay(throttle, now);
	throttle->requests += 1;
	throttle->accepted += admitted ? 1 : 0;
}

/**
 * throttle_add_refusal() - record that a replica refused a request
 * @throttle: requests for a service
 * @now: current time, ms
 */
void throttle_add_refusal(throttle_t *throttle, medlar_time_t now)
{
	decay(throttle, now);
	throttle->accepted = fmax(0, throttle->accepted - 1);
}

/**
 * throttle_excess() - share of requests beyond what replicas accept
 * @throttle: requests for a service
 * @now: current time, ms
 *
 * Return: share of further requests that should not be sent, 0 to 1.
 */
double throttle_excess(const throttle_t *throttle, medlar_time_t now)
{
	if (throttle->requests * weight_since(throttle, now) < REQUESTS_MIN)
		return 0;
	return fmax(0,
		    1 - SENT_FACTOR * throttle->accepted / throttle->requests);
}
