/**
 * DOC: what replicas say in their replies about taking requests
 *
 * A replica says that it is leaving, that it wants no requests from this instance
 * for some time, or how many it takes from all instances together. Its word counts
 * beside its directory entry, and stays with this start of the replica: an older
 * entry, a list that is read again, or an entry that lapses and returns does not
 * revoke it.
 *
 * Load pattern: all replicas of a shard turn requests away for a few seconds, while
 * callers go on. Requests that cannot be served before their target go nowhere,
 * and when the replicas return they get no more than they can run.
 */
#ifndef LIBROUTE_AVAILABILITY_H
#define LIBROUTE_AVAILABILITY_H

#include "libmedlar/medlar.h"
#include "libroute/hash_index.h"

/** Starts of replicas whose word is kept, also after they left the directory. */
#define AVAILABILITY_KEPT_MAX 1024

/**
 * struct availability - what one start of a replica has said
 * @replica: &struct replica.hash; 0 if the entry is unused
 * @leaving_since: when it said that it is leaving, ms; 0 if it has not
 * @held_until: time before which it wants no requests, ms; 0 if it never said so
 * @limit: requests a second that it takes from all instances together; 0 if it
 *	names no limit
 * @limit_said_at: when it last said whether it names one, ms; 0 if it never named
 *	one, or that is forgotten
 * @malformed_limit: it has named a limit that is no number
 */
typedef struct availability {
	uint64_t replica;
	medlar_time_t leaving_since;
	medlar_time_t held_until;
	double limit;
	medlar_time_t limit_said_at;
	bool malformed_limit;
} availability_t;

/**
 * struct availability_log - the last replicas that said something
 * @kept: their word, as a ring
 * @kept_added: entries ever added to @kept
 * @by_replica: position in @kept plus 1, by &struct availability.replica
 */
typedef struct availability_log {
	availability_t kept[AVAILABILITY_KEPT_MAX];
	size_t kept_added;
	hash_index_t by_replica;
} availability_log_t;

void availability_finish(availability_log_t *log);
const availability_t *availability_find(availability_log_t *log,
					uint64_t replica);
void availability_keep(availability_log_t *log,
		       const availability_t *availability);

#endif /* LIBROUTE_AVAILABILITY_H */
