/**
 * DOC: requests suspected of crashing the replicas that run them
 */
#include "libroute/suspects.h"

/* A conviction ends after this time without a further crash. */
#define CONVICTION_MS (60 * MEDLAR_SECOND)
/* Time for which each message tells of a crash; most instances need one of them. */
#define TELL_MS (5 * MEDLAR_SECOND)

static suspect_t *find_suspect(suspects_t *suspects, uint64_t fingerprint)
{
	for (size_t i = 0; i < SUSPECTS_MAX; i++)
		if (suspects->entries[i].fingerprint == fingerprint)
			return &suspects->entries[i];
	return NULL;
}

/* Returns the entry of a request, reusing the oldest one if it has none. */
static suspect_t *find_or_replace_oldest(suspects_t *suspects,
					 uint64_t fingerprint)
{
	suspect_t *found = find_suspect(suspects, fingerprint);
	suspect_t *oldest = &suspects->entries[0];

	if (found)
		return found;
	for (size_t i = 1; i < SUSPECTS_MAX; i++)
		if (suspects->entries[i].updated_at < oldest->updated_at)
			oldest = &suspects->entries[i];
	*oldest = (suspect_t){ .fingerprint = fingerprint };
	return oldest;
}

static bool is_known_crash(const suspect_t *suspect, uint64_t replica)
{
	for (unsigned i = 0; i < suspect->crashes && i < SUSPECT_BREAKS; i++)
		if (suspect->replicas[i] == replica)
			return true;
	return false;
}

static void add_recent(suspects_t *suspects, uint64_t fingerprint,
		       uint64_t replica, medlar_time_t at)
{
	suspects->recent[suspects->recent_added++ % SUSPECTS_RECENT_MAX] =
		(crash_report_t){ fingerprint, replica, at };
}

/**
 * suspects_add_crash() - record that a replica crashed while it ran a request
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @replica: hash that identifies the replica; repeated crashes count once
 * @at: when it crashed, ms; ignored if the request was answered since
 *
 * Return: number of replicas that the request has crashed.
 */
unsigned suspects_add_crash(suspects_t *suspects, uint64_t fingerprint,
			    uint64_t replica, medlar_time_t at)
{
	suspect_t *suspect = find_or_replace_oldest(suspects, fingerprint);

	if (is_known_crash(suspect, replica) ||
	    (suspect->answered_at && at <= suspect->answered_at))
		return suspect->crashes;
	add_recent(suspects, fingerprint, replica, at);
	if (at > suspect->updated_at)
		suspect->updated_at = at;
	if (suspect->crashes < SUSPECT_BREAKS)
		suspect->replicas[suspect->crashes] = replica;
	return ++suspect->crashes;
}

/**
 * suspects_list_recent() - list the crashes that other instances should know of
 * @suspects: table
 * @now: current time, ms
 * @out: %SUSPECTS_RECENT_MAX places
 *
 * Return: number of crashes listed.
 */
size_t suspects_list_recent(const suspects_t *suspects, medlar_time_t now,
			    crash_report_t *out)
{
	size_t len = 0;

	for (size_t i = 0; i < SUSPECTS_RECENT_MAX; i++) {
		const crash_report_t *report = &suspects->recent[i];

		if (report->fingerprint && now - report->at < TELL_MS)
			out[len++] = *report;
	}
	return len;
}

/**
 * suspects_convict() - record that another instance has convicted a request
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @now: current time, ms
 *
 * Does not prolong a conviction that is already recorded.
 */
void suspects_convict(suspects_t *suspects, uint64_t fingerprint,
		      medlar_time_t now)
{
	suspect_t *suspect = find_or_replace_oldest(suspects, fingerprint);

	if (suspect->crashes >= SUSPECT_BREAKS)
		return;
	suspect->updated_at = now;
	suspect->crashes = SUSPECT_BREAKS;
}

/**
 * suspects_clear() - clear a request that was answered
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @now: current time, ms; earlier crashes count no more
 */
void suspects_clear(suspects_t *suspects, uint64_t fingerprint,
		    medlar_time_t now)
{
	suspect_t *suspect = find_suspect(suspects, fingerprint);

	if (suspect)
		*suspect = (suspect_t){ .fingerprint = fingerprint,
					.updated_at = now,
					.answered_at = now };
}

/**
 * suspects_is_convicted() - decide whether a request must be refused
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @now: current time, ms
 *
 * Return: whether it recently crashed too many replicas.
 */
bool suspects_is_convicted(const suspects_t *suspects, uint64_t fingerprint,
			   medlar_time_t now)
{
	for (size_t i = 0; i < SUSPECTS_MAX; i++) {
		const suspect_t *suspect = &suspects->entries[i];

		if (suspect->fingerprint == fingerprint)
			return suspect->crashes >= SUSPECT_BREAKS &&
			       now - suspect->updated_at < CONVICTION_MS;
	}
	return false;
}
