/**
 * DOC: parts of a rate limit that holds for all instances together
 */
#include <math.h>

#include "libroute/rate_limit.h"

/*
 * Requests that all instances together may send at once: what the replica takes in
 * this time, and a few.
 */
#define BURST_S 1.25
#define BURST_MIN 3.0
/* Requests that an instance with a part in a limit may send at once, at least. */
#define SHARE_BURST_MIN 1.25
/* The same as the first two, of what all may send beyond their parts. */
#define SPARE_BURST_S 0.6
#define SPARE_BURST_MIN 1.5
/*
 * What must be left for more urgent requests before another one is sent, and how many
 * of them may go before it.
 */
#define URGENT_RESERVE 0.5
#define URGENT_SENT_MAX 3
/* Rounding errors must not cost a request. */
#define LEVEL_TOLERANCE 1e-6

/* Instances that have a part in a limit. */
static unsigned count_sharing(double limit, unsigned instances)
{
	double burst = limit * BURST_S + BURST_MIN;
	double sharing_max = floor(burst / SHARE_BURST_MIN);

	return sharing_max < instances ? (unsigned)sharing_max : instances;
}

/**
 * rate_share() - part of an instance in the limit of a replica
 * @limit: requests a second from all instances together
 * @ring: positions of the instance and of the replica
 *
 * Return: the part; all parts add up to the limit.
 */
rate_share_t rate_share(double limit, const rate_ring_t *ring)
{
	unsigned sharing = count_sharing(limit, ring->instances);
	uint64_t first = (uint64_t)ring->replica * ring->instances /
			 ring->replicas;
	uint64_t distance = (ring->instance + ring->instances - first) %
			    ring->instances;

	if (distance >= sharing)
		return (rate_share_t){ 0 };
	return (rate_share_t){ limit / sharing,
			       (limit * BURST_S + BURST_MIN) / sharing };
}

/**
 * rate_is_shared_by_all() - check whether all instances have a part in a limit
 * @limit: requests a second from all instances together
 * @instances: number of instances
 *
 * Return: false if they are too many.
 */
bool rate_is_shared_by_all(double limit, unsigned instances)
{
	return count_sharing(limit, instances) == instances;
}

/**
 * rate_spare_burst() - requests that an instance may send at once beyond its part
 * @limit: requests a second from all instances together
 * @instances: number of instances
 *
 * Return: number of requests.
 */
double rate_spare_burst(double limit, unsigned instances)
{
	return (limit * SPARE_BURST_S + SPARE_BURST_MIN) / instances;
}

/**
 * rate_bucket_level() - number of requests that could be sent
 * @bucket: bucket
 * @share: part of this instance in the limit
 * @now: current time, ms
 *
 * The level exceeds the burst by what is kept for urgent requests; it is never
 * spent beyond the burst.
 *
 * Return: number of requests; negative if too many were sent.
 */
double rate_bucket_level(const rate_bucket_t *bucket, const rate_share_t *share,
			 medlar_time_t now)
{
	double passed_s = (double)(now - bucket->filled_at) / MEDLAR_SECOND;

	return fmin(bucket->level + share->rate * passed_s,
		    share->burst + URGENT_RESERVE);
}

/* Others get a turn after a few urgent requests, and do not wait if there are none. */
static double required_level(const rate_bucket_t *bucket, int priority)
{
	bool has_reserve = bucket->urgent_sent > 0 &&
			   bucket->urgent_sent <= URGENT_SENT_MAX &&
			   priority > bucket->urgent_priority;

	return has_reserve ? 1 + URGENT_RESERVE : 1;
}

/**
 * rate_bucket_ready_at() - when the next request may be sent
 * @bucket: bucket
 * @share: part of this instance in the limit
 * @priority: priority of the request, 0 is the highest
 * @now: current time, ms
 *
 * Return: time in ms, @now if at once; %MEDLAR_TIME_NEVER if the part is 0.
 */
medlar_time_t rate_bucket_ready_at(const rate_bucket_t *bucket,
				   const rate_share_t *share, int priority,
				   medlar_time_t now)
{
	double missing = required_level(bucket, priority) -
			 rate_bucket_level(bucket, share, now);

	if (bucket->granted > 0)
		return now;
	if (share->rate <= 0)
		return MEDLAR_TIME_NEVER;
	if (missing <= LEVEL_TOLERANCE)
		return now;
	return now + (medlar_time_t)ceil(missing / share->rate * MEDLAR_SECOND);
}

/**
 * rate_bucket_take() - count a request that is sent
 * @bucket: bucket
 * @share: part of this instance in the limit
 * @priority: priority of the request, 0 is the highest
 * @now: current time, ms
 *
 * Return: whether it is sent under the part of this instance; false if beyond it.
 */
bool rate_bucket_take(rate_bucket_t *bucket, const rate_share_t *share,
		      int priority, medlar_time_t now)
{
	double level = rate_bucket_level(bucket, share, now);

	if (bucket->granted > 0 && level < 1) {
		bucket->granted--;
		return false;
	}
	bucket->level = fmin(level, share->burst) - 1;
	bucket->filled_at = now;
	if (bucket->urgent_sent > 0 && priority > bucket->urgent_priority) {
		bucket->urgent_sent = 0;
		return true;
	}
	bucket->urgent_priority = priority;
	bucket->urgent_sent++;
	return true;
}

/**
 * rate_bucket_return() - take back a request that was counted but not sent
 * @bucket: bucket
 */
void rate_bucket_return(rate_bucket_t *bucket)
{
	bucket->level += 1;
}
