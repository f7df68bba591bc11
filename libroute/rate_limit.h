/**
 * DOC: parts of a rate limit that holds for all instances together
 *
 * A replica names one limit for all instances, which send without asking each
 * other. Each instance has an equal part of the rate, and of the requests that may
 * be sent at once. An instance that may send at all may send one request at any
 * time, so that no more instances than that have a part. Instances and the replicas
 * of a service are put on a ring in the order of their hashes; the instances that
 * follow a replica use it, so that each of them has as many replicas as others. A
 * replica that takes few requests is used by few instances, each often enough to
 * notice when its limit changes.
 *
 * Load pattern: the replicas of a service are loaded evenly, and one of them
 * suddenly takes half of what it got. What does not fit goes to the others at once;
 * after a calm time, or when the others fail, no burst reaches the limited one.
 */
#ifndef LIBROUTE_RATE_LIMIT_H
#define LIBROUTE_RATE_LIMIT_H

#include "libmedlar/medlar.h"

/**
 * struct rate_share - part of this instance in a limit
 * @rate: requests a second; 0 if it has none
 * @burst: requests that it may send at once, 1 or more if @rate is not 0
 */
typedef struct rate_share {
	double rate;
	double burst;
} rate_share_t;

/**
 * struct rate_bucket - requests that may be sent now, as a token bucket
 * @level: requests that could be sent at @filled_at
 * @filled_at: time of @level, ms
 * @granted: requests that may be sent beyond the part of this instance
 * @urgent_priority: most urgent priority of the last requests sent, 0 is the highest
 * @urgent_sent: number of these requests, since the last one that was less urgent
 */
typedef struct rate_bucket {
	double level;
	medlar_time_t filled_at;
	unsigned granted;
	int urgent_priority;
	unsigned urgent_sent;
} rate_bucket_t;

/**
 * struct rate_ring - positions of this instance and of a replica
 * @instances: number of instances, 1 or more
 * @instance: number of them that come before this one in the order of their hashes
 * @replicas: number of replicas of the service, 1 or more
 * @replica: number of them that come before the replica
 */
typedef struct rate_ring {
	unsigned instances;
	unsigned instance;
	unsigned replicas;
	unsigned replica;
} rate_ring_t;

rate_share_t rate_share(double limit, const rate_ring_t *ring);
bool rate_is_shared_by_all(double limit, unsigned instances);
double rate_spare_burst(double limit, unsigned instances);
double rate_bucket_level(const rate_bucket_t *bucket, const rate_share_t *share,
			 medlar_time_t now);
medlar_time_t rate_bucket_ready_at(const rate_bucket_t *bucket,
				   const rate_share_t *share, int priority,
				   medlar_time_t now);
bool rate_bucket_take(rate_bucket_t *bucket, const rate_share_t *share,
		      int priority, medlar_time_t now);
void rate_bucket_return(rate_bucket_t *bucket);

#endif /* LIBROUTE_RATE_LIMIT_H */
