/**
 * DOC: admission by the work that waits, here and at the replicas
 *
 * A process that takes more requests than its processor can serve serves none
 * of them in time. The length of a turn of its loop tells how long whatever
 * arrives now waits before it is read, and its replies likewise. New requests
 * are refused, at a small part of the cost of serving them, while that exceeds
 * a part of the time they have; the least urgent ones first. Likewise a request
 * that would wait at the replicas until it is of no use is refused, so that
 * those before it are in time.
 */
#ifndef LIBROUTE_ADMISSION_H
#define LIBROUTE_ADMISSION_H

#include "libroute/exchange.h"

#define ADMISSION_TURNS 3

/**
 * struct admission - how busy the process is
 * @turns: lengths of the last turns, ms
 * @next: the one to be replaced next
 */
typedef struct admission {
	medlar_time_t turns[ADMISSION_TURNS];
	size_t next;
} admission_t;

void admission_turn(admission_t *admission, medlar_time_t length);
medlar_time_t admission_delay(const admission_t *admission,
			      medlar_time_t elapsed);
bool admission_allows(const admission_t *admission, const route_t *route,
		      medlar_time_t elapsed, medlar_time_t wait);
bool admission_is_in_time(const exchange_t *exchange, medlar_time_t now);

#endif /* LIBROUTE_ADMISSION_H */
