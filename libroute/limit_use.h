/**
 * DOC: use of a limit by all instances, and who may use what is left of it
 *
 * Equal parts of a limit bound what instances send together whatever happens, but
 * leave much of it unused where each instance sends little, or some get most of the
 * callers. So instances tell each other how many requests a second they send under
 * their parts, and how many find no room. Each averages what it hears, which needs no
 * message of its own, and has a part in what is left that grows with the requests for
 * which it finds no room.
 *
 * Load pattern: all replicas of a service name limits. Requests come at hundreds of
 * instances, at each of them too seldom to use its part; others have no part at all.
 */
#ifndef LIBROUTE_LIMIT_USE_H
#define LIBROUTE_LIMIT_USE_H

#include "libmedlar/medlar.h"

/**
 * struct limit_rates - rates of an instance at a replica, requests a second
 * @sent: sent under its part of the limit
 * @wanted: came when no replica of the service had room
 */
typedef struct limit_rates {
	double sent;
	double wanted;
} limit_rates_t;

/**
 * struct limit_use - use of the limit of a replica
 * @own: rates of this instance, smoothed
 * @mean: average of all instances, as far as this one has heard
 * @updated_at: time of @own, @mean and @spare, ms; 0 if not in use
 * @heard_at: when another instance last told its @mean, ms; 0 if none has
 * @spare: requests that may be sent beyond the own part, as a token bucket
 */
typedef struct limit_use {
	limit_rates_t own;
	limit_rates_t mean;
	medlar_time_t updated_at;
	medlar_time_t heard_at;
	double spare;
} limit_use_t;

void limit_use_update(limit_use_t *use, double limit, unsigned instances,
		      medlar_time_t now);
void limit_use_add_sent(limit_use_t *use);
void limit_use_add_wanted(limit_use_t *use);
void limit_use_hear(limit_use_t *use, const limit_rates_t *mean,
		    medlar_time_t now);
double limit_use_spare(const limit_use_t *use, double limit, unsigned instances,
		       medlar_time_t now);
void limit_use_take_spare(limit_use_t *use);

#endif /* LIBROUTE_LIMIT_USE_H */
