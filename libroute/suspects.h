/**
 * DOC: requests suspected of crashing the replicas that run them
 */
#ifndef LIBROUTE_SUSPECTS_H
#define LIBROUTE_SUSPECTS_H

#include "libmedlar/medlar.h"

/** Suspects that an instance keeps track of. */
#define SUSPECTS_MAX 256
/** Replicas that a request must crash before it is convicted and refused. */
#define SUSPECT_BREAKS 3

/**
 * struct suspect - a request that crashed replicas and was never answered
 * @fingerprint: hash of host, path and body; 0 if the entry is unused
 * @crashes: number of replicas that crashed while they ran it
 * @replicas: hashes of the first replicas that crashed
 * @updated_at: when the last crash or conviction was recorded, ms
 */
typedef struct suspect {
	uint64_t fingerprint;
	unsigned crashes;
	uint64_t replicas[SUSPECT_BREAKS];
	medlar_time_t updated_at;
} suspect_t;

/**
 * struct suspects - table of the suspects known to an instance
 * @entries: entries in no particular order
 */
typedef struct suspects {
	suspect_t entries[SUSPECTS_MAX];
} suspects_t;

unsigned suspects_add_crash(suspects_t *suspects, uint64_t fingerprint,
			    uint64_t replica, medlar_time_t now);
void suspects_convict(suspects_t *suspects, uint64_t fingerprint,
		      medlar_time_t now);
void suspects_clear(suspects_t *suspects, uint64_t fingerprint);
bool suspects_is_convicted(const suspects_t *suspects, uint64_t fingerprint,
			   medlar_time_t now);

#endif /* LIBROUTE_SUSPECTS_H */
