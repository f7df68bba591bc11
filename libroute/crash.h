/**
 * DOC: distinguishing a crash of a replica from a broken connection
 *
 * A request is held responsible for a crash only if its connection broke and
 * the replica proves to be down: another connection closed at the same moment,
 * or a new one was refused soon after.
 */
#ifndef LIBROUTE_CRASH_H
#define LIBROUTE_CRASH_H

#include "libmedlar/medlar.h"

/**
 * struct crash_detector - evidence that a replica has crashed
 * @fingerprint: request whose connection broke last; 0 if there is none, or if
 *	its crash has been reported or ruled out
 * @request_broken_at: when that connection broke, ms
 * @connected_at: when the replica last accepted a connection after that, ms;
 *	0 if it has not
 * @idle_closed_at: when the replica last closed an idle connection, ms
 */
typedef struct crash_detector {
	uint64_t fingerprint;
	medlar_time_t request_broken_at;
	medlar_time_t connected_at;
	medlar_time_t idle_closed_at;
} crash_detector_t;

uint64_t crash_on_request_broken(crash_detector_t *detector,
				 uint64_t fingerprint, medlar_time_t now);
uint64_t crash_on_idle_closed(crash_detector_t *detector, medlar_time_t now);
uint64_t crash_on_connect_refused(crash_detector_t *detector,
				  medlar_time_t now);
void crash_on_connected(crash_detector_t *detector, medlar_time_t now);

#endif /* LIBROUTE_CRASH_H */
