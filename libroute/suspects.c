/**
 * DOC: requests that seem to crash the replicas that run them
 */
#include "libroute/suspects.h"

/* A conviction ends after this time without a further break. */
#define FORGET_AFTER (60 * MEDLAR_SECOND)

static suspect_t *find(suspects_t *suspects, uint64_t fingerprint)
{
	for (size_t i = 0; i < SUSPECTS_MAX; i++)
		if (suspects->entries[i].fingerprint == fingerprint)
			return &suspects->entries[i];
	return NULL;
}

/* The entry, or the one that has not been of use for the longest time. */
static suspect_t *claim(suspects_t *suspects, uint64_t fingerprint)
{
	suspect_t *found = find(suspects, fingerprint);
	suspect_t *oldest = &suspects->entries[0];

	if (found)
		return found;
	for (size_t i = 1; i < SUSPECTS_MAX; i++)
		if (suspects->entries[i].seen < oldest->seen)
			oldest = &suspects->entries[i];
	*oldest = (suspect_t){ .fingerprint = fingerprint };
	return oldest;
}

/**
 * suspects_broke() - a replica broke while it ran a request
 * @suspects: table
 * @fingerprint: of the request
 * @replica: hash that tells replicas apart
 * @now: current time
 *
 * Return: how many replicas the request has broken.
 */
unsigned suspects_broke(suspects_t *suspects, uint64_t fingerprint,
			uint64_t replica, medlar_time_t now)
{
	suspect_t *suspect = claim(suspects, fingerprint);

	suspect->seen = now;
	for (unsigned i = 0; i < suspect->breaks && i < SUSPECT_BREAKS; i++)
		if (suspect->replicas[i] == replica)
			return suspect->breaks;
	if (suspect->breaks < SUSPECT_BREAKS)
		suspect->replicas[suspect->breaks] = replica;
	return ++suspect->breaks;
}

/**
 * suspects_convict() - take over the conviction of another instance
 * @suspects: table
 * @fingerprint: of the request
 * @now: current time
 */
void suspects_convict(suspects_t *suspects, uint64_t fingerprint,
		      medlar_time_t now)
{
	suspect_t *suspect = claim(suspects, fingerprint);

	if (suspect->breaks >= SUSPECT_BREAKS)
		return;
	suspect->seen = now;
	suspect->breaks = SUSPECT_BREAKS;
}

/**
 * suspects_cleared() - the request was answered
 * @suspects: table
 * @fingerprint: of the request
 */
void suspects_cleared(suspects_t *suspects, uint64_t fingerprint)
{
	suspect_t *suspect = find(suspects, fingerprint);

	if (suspect)
		*suspect = (suspect_t){ 0 };
}

/**
 * suspects_convicted() - tell whether to refuse a request
 * @suspects: table
 * @fingerprint: of the request
 * @now: current time
 *
 * Return: whether it has broken too many replicas lately.
 */
bool suspects_convicted(const suspects_t *suspects, uint64_t fingerprint,
			medlar_time_t now)
{
	for (size_t i = 0; i < SUSPECTS_MAX; i++) {
		const suspect_t *suspect = &suspects->entries[i];

		if (suspect->fingerprint == fingerprint)
			return suspect->breaks >= SUSPECT_BREAKS &&
			       now - suspect->seen < FORGET_AFTER;
	}
	return false;
}
