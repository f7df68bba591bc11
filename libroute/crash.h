/**
 * DOC: telling a crash of a replica from a broken connection
 *
 * A request is blamed for a crash only if its connection broke and the
 * replica is seen to be down: another connection ended at the same moment, or
 * a new one was refused soon after.
 */
#ifndef LIBROUTE_CRASH_H
#define LIBROUTE_CRASH_H

#include "libmedlar/medlar.h"

/**
 * struct crash - signs that a replica has crashed
 * @fingerprint: request whose connection broke last; 0 if none is open to
 *	blame
 * @broke_at: when it broke, ms
 * @connected_at: when a connection was last accepted after that, ms; or 0
 * @lost_at: when an idle connection ended last, ms
 */
typedef struct crash {
	uint64_t fingerprint;
	medlar_time_t broke_at;
	medlar_time_t connected_at;
	medlar_time_t lost_at;
} crash_t;

uint64_t crash_broke(crash_t *crash, uint64_t fingerprint, medlar_time_t now);
uint64_t crash_lost(crash_t *crash, medlar_time_t now);
uint64_t crash_refused(crash_t *crash, medlar_time_t now);
void crash_connected(crash_t *crash, medlar_time_t now);

#endif /* LIBROUTE_CRASH_H */
