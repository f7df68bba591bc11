/**
 * DOC: time by which an answer must leave to reach its caller in time
 *
 * A target latency counts from the caller's first attempt to the arrival of the
 * answer. This instance only sees the part in between: the caller may have spent
 * time on earlier attempts and on connecting, the request was on its way, and
 * the answer has yet to be written and to travel. Callers at different distances
 * therefore need their answers at different times. Load pattern: shards that
 * pause or queue, so that answers wait for their last parts up to the target.
 */
#ifndef LIBROUTE_ANSWER_TIME_H
#define LIBROUTE_ANSWER_TIME_H

#include "libroute/routes.h"

/** Timeouts of a route that are remembered. */
#define TIMEOUTS_RECENT 8
/** Routes whose timeouts are remembered; further ones replace them. */
#define TIMEOUTS_ROUTES 256

/**
 * struct caller_timing - what is known about the time that a caller has
 * @timeout: how long the caller waits, from when it sent the request, ms
 * @elapsed: time from its first attempt to when it sent the request, ms
 * @round_trip: round trip time of its connection, ms
 */
typedef struct caller_timing {
	medlar_time_t timeout;
	medlar_time_t elapsed;
	medlar_time_t round_trip;
} caller_timing_t;

/**
 * struct delay_estimate - smoothed delay and its mean deviation
 * @mean: smoothed delay, ms
 * @deviation: smoothed absolute deviation from @mean, ms
 */
typedef struct delay_estimate {
	double mean;
	double deviation;
} delay_estimate_t;

/**
 * struct route_timeouts - timeouts that callers of a route state
 * @key: hash of the route
 * @recent: last timeouts, ms
 * @next: index of the oldest of @recent, which is replaced next
 * @initial: timeout that callers state in their first attempt, ms; 0 if unknown
 * @unseen: requests since @initial was last seen
 */
typedef struct route_timeouts {
	uint64_t key;
	medlar_time_t recent[TIMEOUTS_RECENT];
	unsigned next;
	medlar_time_t initial;
	unsigned unseen;
} route_timeouts_t;

/**
 * struct timeouts - timeouts that callers state, by route
 * @routes: routes, indexed by their hash
 */
typedef struct timeouts {
	route_timeouts_t routes[TIMEOUTS_ROUTES];
} timeouts_t;

medlar_time_t timeouts_add(timeouts_t *timeouts, const route_t *route,
			   medlar_time_t timeout);
void delay_add(delay_estimate_t *estimate, medlar_time_t delay);
medlar_time_t delay_bound(const delay_estimate_t *estimate);
medlar_time_t answer_time_for_target(const caller_timing_t *timing,
				     medlar_time_t target, medlar_time_t delay);
medlar_time_t answer_time_for_timeout(const caller_timing_t *timing,
				      medlar_time_t delay);

#endif /* LIBROUTE_ANSWER_TIME_H */
