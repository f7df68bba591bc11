/**
 * DOC: admission control by queueing delay, in this process and at replicas
 *
 * A process that accepts more requests than its CPU can serve answers none of
 * them in time. The duration of an event loop iteration estimates how long a
 * request that arrives now waits before it is read, and how long replies wait.
 * While this delay exceeds a share of the time that a request has, the request
 * is refused, which costs far less than serving it; requests of low priority
 * are refused first. A request that would queue at the replicas until its
 * answer is useless is refused too, so that those ahead of it stay in time. If
 * only some shards have such queues and the answer may lack them, it is sent to
 * the others alone: one overloaded shard must not delay or fail whole answers,
 * nor spend its slots on parts that arrive too late. The same holds of shards whose
 * replicas name limits that leave no room soon.
 */
#ifndef LIBROUTE_ADMISSION_H
#define LIBROUTE_ADMISSION_H

#include "libroute/exchange.h"

/** Iterations of the event loop whose durations are kept. */
#define ADMISSION_ITERATIONS 3

/**
 * struct admission - recent load of the event loop
 * @iterations: durations of the last iterations, ms
 * @next: index of the oldest duration, which is replaced next
 */
typedef struct admission {
	medlar_time_t iterations[ADMISSION_ITERATIONS];
	size_t next;
} admission_t;

void admission_add_iteration(admission_t *admission, medlar_time_t length);
medlar_time_t admission_delay(const admission_t *admission,
			      medlar_time_t elapsed);
bool admission_allows(const admission_t *admission, const route_t *route,
		      medlar_time_t elapsed, medlar_time_t timeout);
bool admission_within_capacity(exchange_t *exchange, medlar_time_t now);
bool admission_fits_limits(exchange_t *exchange, medlar_time_t now);
bool admission_meets_target(exchange_t *exchange, medlar_time_t now);

#endif /* LIBROUTE_ADMISSION_H */
