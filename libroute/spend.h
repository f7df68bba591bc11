/**
 * DOC: budget of extra sends to a service
 *
 * All instances together may send a service only a share of its requests
 * again, plus a fixed number in each window. Each instance earns the share
 * from its own requests and owns an equal part of the fixed number, so the
 * sum holds without any message between them.
 */
#ifndef LIBROUTE_SPEND_H
#define LIBROUTE_SPEND_H

#include "libmedlar/medlar.h"

/**
 * struct spend_limits - what all instances may spend together
 * @ratio: extra sends for each request
 * @slack: extra sends in each window besides
 * @window: its length, ms
 */
typedef struct spend_limits {
	double ratio;
	double slack;
	medlar_time_t window;
} spend_limits_t;

/**
 * struct spend - extra sends that this instance may still make
 * @earned: from requests
 * @fixed: from this instance's part of the fixed number
 * @refilled: when @fixed was last brought up to date, ms
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
