/**
 * DOC: use of a limit by all instances, and who may use what is left of it
 */
#include <math.h>

#include "libroute/limit_use.h"
#include "libroute/rate_limit.h"

/* Time over which rates are smoothed. */
#define WINDOW_MS 1000.0
/* Time in which the average returns to the own rates if nothing is heard. */
#define MEAN_WINDOW_MS 500.0
/* Weight of the average that another instance tells. */
#define HEARD_WEIGHT 0.25
/* Without news from others for so long, the own part is all that may be sent. */
#define HEARD_AGE_MAX_MS 1500
/* Share of the limit that is filled up; the averages lag. */
#define FILLED_SHARE 0.8

static void move_towards(double *value, double target, double weight)
{
	*value += weight * (target - *value);
}

/*
 * Share of the requests without room that may be sent all the same; 0 if others have
 * not been heard of.
 */
static double spare_share(const limit_use_t *use, double limit,
			  unsigned instances, medlar_time_t now)
{
	double left = FILLED_SHARE * limit - instances * use->mean.sent;
	double wanted = instances * use->mean.wanted;

	if (!use->heard_at || now - use->heard_at > HEARD_AGE_MAX_MS ||
	    left <= 0)
		return 0;
	return wanted > left ? left / wanted : 1;
}

/**
 * limit_use_update() - let time pass
 * @use: use of the limit of a replica
 * @limit: its limit, requests a second
 * @instances: number of instances
 * @now: current time, ms
 */
void limit_use_update(limit_use_t *use, double limit, unsigned instances,
		      medlar_time_t now)
{
	double passed = (double)(now - use->updated_at);
	double kept = exp(-passed / WINDOW_MS);
	double weight = 1 - exp(-passed / MEAN_WINDOW_MS);

	if (!use->updated_at) {
		use->updated_at = now;
		return;
	}
	if (passed <= 0)
		return;
	use->spare += spare_share(use, limit, instances, now) *
		      use->own.wanted * passed / MEDLAR_SECOND;
	use->spare = fmin(use->spare, rate_spare_burst(limit, instances));
	use->own.sent *= kept;
	use->own.wanted *= kept;
	move_towards(&use->mean.sent, use->own.sent, weight);
	move_towards(&use->mean.wanted, use->own.wanted, weight);
	use->updated_at = now;
}

/**
 * limit_use_add_sent() - count a request that is sent under the own part
 * @use: use of the limit of a replica
 */
void limit_use_add_sent(limit_use_t *use)
{
	use->own.sent += MEDLAR_SECOND / WINDOW_MS;
}

/**
 * limit_use_add_wanted() - count a request for which no replica has room
 * @use: use of the limit of the replica that is most likely to take it
 */
void limit_use_add_wanted(limit_use_t *use)
{
	use->own.wanted += MEDLAR_SECOND / WINDOW_MS;
}

/**
 * limit_use_hear() - take the average that another instance knows
 * @use: use of the limit of a replica
 * @mean: average rates
 * @now: current time, ms
 */
void limit_use_hear(limit_use_t *use, const limit_rates_t *mean,
		    medlar_time_t now)
{
	move_towards(&use->mean.sent, mean->sent, HEARD_WEIGHT);
	move_towards(&use->mean.wanted, mean->wanted, HEARD_WEIGHT);
	use->heard_at = now;
}

/**
 * limit_use_spare() - what is left of a limit for a request without room
 * @use: use of the limit of a replica
 * @limit: its limit, requests a second
 * @instances: number of instances
 * @now: current time, ms
 *
 * Few instances have a bucket each, which bounds what they send when more requests
 * come than before. Of many, each has too few requests for that.
 *
 * Return: probability with which the request may be sent.
 */
double limit_use_spare(const limit_use_t *use, double limit, unsigned instances,
		       medlar_time_t now)
{
	if (rate_is_shared_by_all(limit, instances))
		return use->spare >= 1 ? 1 : 0;
	return spare_share(use, limit, instances, now);
}

/**
 * limit_use_take_spare() - count a request that is sent beyond the own part
 * @use: use of the limit of a replica
 */
void limit_use_take_spare(limit_use_t *use)
{
	use->spare -= 1;
}
