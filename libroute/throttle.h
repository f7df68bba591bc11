/**
 * DOC: adaptive throttling by what the replicas of a service accept
 *
 * Load pattern: more requests come than the replicas can run, and their queues are
 * full. Each refuses part of what it gets, retries use up their budget, and then
 * every request that needs many parts lacks a few: all of them run almost to the
 * end, and few are answered. If only little more is sent than is accepted, the
 * replicas have room for what is sent.
 */
#ifndef LIBROUTE_THROTTLE_H
#define LIBROUTE_THROTTLE_H

#include "libmedlar/medlar.h"

/**
 * struct throttle - recent requests for a service; they count half after a while
 * @requests: requests that came, including those that were refused here
 * @accepted: requests that replicas have not refused
 * @counted_at: when they were last counted, ms
 */
typedef struct throttle {
	double requests;
	double accepted;
	medlar_time_t counted_at;
} throttle_t;

void throttle_add(throttle_t *throttle, bool admitted, medlar_time_t now);
void throttle_add_refusal(throttle_t *throttle, medlar_time_t now);
double throttle_excess(const throttle_t *throttle, medlar_time_t now);

#endif /* LIBROUTE_THROTTLE_H */
