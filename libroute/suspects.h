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

/** A conviction ends after this time without a further crash. */
#define SUSPECT_CONVICTION_MS (60 * MEDLAR_SECOND)

/** Answered requests that an instance remembers; a later one takes a place. */
#define SUSPECTS_ANSWERS 1024

/** Crashes that an instance passes on to others. */
#define SUSPECTS_RECENT_MAX 16

/**
 * struct suspect - a request that crashed replicas
 * @fingerprint: hash of host, path and body; 0 if the entry is unused
 * @crashes: number of replicas that crashed while they ran it, since it was last
 *	answered; less those that an outage explains
 * @replicas: hashes of the first replicas that crashed
 * @updated_at: time of the last crash or conviction, ms
 * @answered_at: when it was last answered after a crash, ms; 0 if it was not
 * @tried_at: when it was last tried after the end of its conviction, ms; 0 if it
 *	was not
 * @stored_at: when the store was first seen to hold its conviction, ms; 0 if it
 *	was not, or if the conviction was prolonged much since
 * @written_at: when this instance last wrote its conviction to the store, ms; 0 if
 *	it did not
 */
typedef struct suspect {
	uint64_t fingerprint;
	unsigned crashes;
	uint64_t replicas[SUSPECT_BREAKS];
	medlar_time_t updated_at;
	medlar_time_t answered_at;
	medlar_time_t tried_at;
	medlar_time_t stored_at;
	medlar_time_t written_at;
} suspect_t;

/**
 * struct crash_report - a crash of a replica, seen by this or another instance
 * @fingerprint: fingerprint of the request that it ran
 * @replica: hash that identifies the replica and its start
 * @at: when it crashed, ms
 */
typedef struct crash_report {
	uint64_t fingerprint;
	uint64_t replica;
	medlar_time_t at;
} crash_report_t;

/**
 * struct answered_request - a request that was answered
 * @fingerprint: fingerprint of the request; 0 if the place is free
 * @at: when it was last answered, ms
 */
typedef struct answered_request {
	uint64_t fingerprint;
	medlar_time_t at;
} answered_request_t;

/**
 * struct suspects - table of the suspects known to an instance
 * @entries: entries in no particular order
 * @answered: requests that were answered, by fingerprint
 * @recent: the last crashes that were new, as a ring
 * @recent_added: number of crashes ever added to @recent
 *
 * Load pattern: callers send a request that crashes its replica to another
 * instance each time. No instance sees enough of the crashes to refuse it, so
 * all of them tell each other of each crash. All instances are killed meanwhile: the
 * store holds the convictions, and those that start read them there. Or all replicas
 * of a service go down at once while they run the same popular request: as it has
 * just been answered, they count as one crash. Callers return long after the end of a
 * conviction and repeat at once, at all instances: one of them decides for all, and
 * lets one request through at a time.
 */
typedef struct suspects {
	suspect_t entries[SUSPECTS_MAX];
	answered_request_t answered[SUSPECTS_ANSWERS];
	crash_report_t recent[SUSPECTS_RECENT_MAX];
	size_t recent_added;
} suspects_t;

unsigned suspects_add_crash(suspects_t *suspects, uint64_t fingerprint,
			    uint64_t replica, medlar_time_t at);
size_t suspects_list_recent(const suspects_t *suspects, medlar_time_t now,
			    crash_report_t *out);
void suspects_convict(suspects_t *suspects, uint64_t fingerprint,
		      medlar_time_t now);
void suspects_add_stored(suspects_t *suspects, uint64_t fingerprint,
			 medlar_time_t now);
void suspects_forget_stored(suspects_t *suspects);
suspect_t *suspects_next_unstored(suspects_t *suspects, size_t *position,
				  medlar_time_t now);
void suspects_add_answer(suspects_t *suspects, uint64_t fingerprint,
			 medlar_time_t now);
suspect_t *suspects_find_convicted(suspects_t *suspects, uint64_t fingerprint);
bool suspect_is_refused(const suspect_t *suspect, medlar_time_t now);
bool suspects_grant_trial(suspects_t *suspects, uint64_t fingerprint,
			  medlar_time_t now);
bool suspects_is_convicted(const suspects_t *suspects, uint64_t fingerprint,
			   medlar_time_t now);

#endif /* LIBROUTE_SUSPECTS_H */
