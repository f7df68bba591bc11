/**
 * DOC: announcements of slow or pausing replicas that are to be passed on
 *
 * An instance that learns of one passes it on once, to a few others.
 */
#ifndef LIBROUTE_ANNOUNCEMENTS_H
#define LIBROUTE_ANNOUNCEMENTS_H

#include "libmedlar/medlar.h"

/** Announcements that wait to be passed on; more are left out. */
#define ANNOUNCEMENTS_MAX ((size_t)64)

/**
 * struct announcement - delay or pauses of a replica, as measured by others
 * @replica: &struct replica.hash
 * @delay: latency beyond the usual one, ms; 0 if it is as usual again
 * @at: when it was measured, ms
 * @period: 0; else the replica pauses for @delay once in this time, ms, and a pause
 *	ended at @at
 */
typedef struct announcement {
	uint64_t replica;
	medlar_time_t delay;
	medlar_time_t at;
	medlar_time_t period;
} announcement_t;

/**
 * struct announcements - announcements to be passed on
 * @waiting: one of each kind for each replica, in the order of their arrival
 * @len: number of @waiting
 */
typedef struct announcements {
	announcement_t waiting[ANNOUNCEMENTS_MAX];
	size_t len;
} announcements_t;

void announcements_add(announcements_t *announcements,
		       const announcement_t *announcement);

#endif /* LIBROUTE_ANNOUNCEMENTS_H */
