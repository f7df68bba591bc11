/**
 * DOC: requests that seem to crash the replicas that run them
 */
#ifndef LIBROUTE_SUSPECTS_H
#define LIBROUTE_SUSPECTS_H

#include "libmedlar/medlar.h"

#define SUSPECTS_MAX 256
/** Replicas that must break before a request is refused. */
#define SUSPECT_BREAKS 3

/**
 * struct suspect - a request that broke replicas and was never answered
 * @fingerprint: hash of host, path and body; 0 when unused
 * @breaks: replicas that broke while they ran it
 * @replicas: hashes of these, the first ones
 * @seen: when the last one broke, ms
 */
typedef struct suspect {
	uint64_t fingerprint;
	unsigned breaks;
	uint64_t replicas[SUSPECT_BREAKS];
	medlar_time_t seen;
} suspect_t;

/** struct suspects - the table of an instance */
typedef struct suspects {
	suspect_t entries[SUSPECTS_MAX];
} suspects_t;

unsigned suspects_broke(suspects_t *suspects, uint64_t fingerprint,
			uint64_t replica, medlar_time_t now);
void suspects_convict(suspects_t *suspects, uint64_t fingerprint,
		      medlar_time_t now);
void suspects_cleared(suspects_t *suspects, uint64_t fingerprint);
bool suspects_convicted(const suspects_t *suspects, uint64_t fingerprint,
			medlar_time_t now);

#endif /* LIBROUTE_SUSPECTS_H */
