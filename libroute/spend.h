/**
 * DOC: budget for retries and hedges to a service
 *
 * All instances together may retry and hedge a service only for a share of its
 * requests, plus a fixed number of attempts in each window. Each instance earns
 * the share from its own requests and owns an equal part of the fixed number,
 * so that the total holds without coordination.
 */
#ifndef LIBROUTE_SPEND_H
#define LIBROUTE_SPEND_H

#include "libmedlar/medlar.h"

/**
 * struct spend_limits - limits for all instances together
 * @ratio: retries and hedges allowed for each request
 * @slack: further retries and hedges allowed in each window
 * @window: length of the window, ms
 */
typedef struct spend_limits {
	double ratio;
	double slack;
	medlar_time_t window;
} spend_limits_t;

/**
 * struct spend - retries and hedges that this instance may still make
 * @earned: earned from requests
 * @fixed: left of this instance's part of the fixed number
 * @refilled: when @fixed was last refilled, ms
 */
typedef struct spend {
	double earned;
	double fixed;
	medlar_time_t refilled;
} spend_t;

void spend_init(spend_t *spend, const spend_limits_t *limits, double share,
		medlar_time_t now);
void spend_request(spend_t *spend, const spend_limits_t *limits);
bool spend_try(spend_t *spend, const spend_limits_t *limits, double share,
	       double reserve, medlar_time_t now);

#endif /* LIBROUTE_SPEND_H */
