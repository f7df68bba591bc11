/**
 * DOC: requests suspected of crashing the replicas that run them
 */
#include "libroute/suspects.h"

/* Time for which each message tells of a crash; most instances need one of them. */
#define TELL_MS (5 * MEDLAR_SECOND)
/* Time in which the outcome of a trial shows. */
#define TRIAL_MS (2 * MEDLAR_SECOND)
/* A request that was answered this recently is no likely cause of crashes. */
#define ANSWER_COUNTS_MS (10 * MEDLAR_SECOND)
/* Crashes within this time of each other have one cause, if it is an outage. */
#define OUTAGE_SPREAD_MS (2 * MEDLAR_SECOND)
/* Time in which what was written to the store comes back with its changes. */
#define WRITTEN_SEEN_MS (3 * MEDLAR_SECOND)
/* A conviction is stored anew if it is prolonged by this time or more. */
#define STORE_AGAIN_MS (SUSPECT_CONVICTION_MS / 2)

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

static bool was_answered_lately(const suspects_t *suspects,
				uint64_t fingerprint, medlar_time_t at)
{
	const answered_request_t *answered =
		&suspects->answered[fingerprint % SUSPECTS_ANSWERS];

	return answered->fingerprint == fingerprint &&
	       at - answered->at < ANSWER_COUNTS_MS;
}

/* Whether an outage, of which one crash was counted, may explain this one too. */
static bool is_same_outage(const suspects_t *suspects, const suspect_t *suspect,
			   medlar_time_t at)
{
	return suspect->crashes > 0 &&
	       at - suspect->updated_at < OUTAGE_SPREAD_MS &&
	       was_answered_lately(suspects, suspect->fingerprint, at);
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
	    (suspect->answered_at && at <= suspect->answered_at) ||
	    is_same_outage(suspects, suspect, at))
		return suspect->crashes;
	add_recent(suspects, fingerprint, replica, at);
	if (at > suspect->updated_at)
		suspect->updated_at = at;
	if (at - suspect->stored_at >= STORE_AGAIN_MS)
		suspect->stored_at = 0;
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
 * Does not prolong a conviction that is already recorded. Ignored if the request
 * was answered here lately; others tell of a conviction more than once.
 */
void suspects_convict(suspects_t *suspects, uint64_t fingerprint,
		      medlar_time_t now)
{
	suspect_t *suspect;

	if (was_answered_lately(suspects, fingerprint, now))
		return;
	suspect = find_or_replace_oldest(suspects, fingerprint);
	if (suspect->crashes >= SUSPECT_BREAKS)
		return;
	suspect->updated_at = now;
	suspect->crashes = SUSPECT_BREAKS;
}

static bool is_convicted(const suspect_t *suspect, medlar_time_t now)
{
	return suspect->crashes >= SUSPECT_BREAKS &&
	       now - suspect->updated_at < SUSPECT_CONVICTION_MS;
}

/**
 * suspects_add_stored() - record that the store holds a conviction
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @now: current time, ms
 *
 * Convicts the request if this instance did not know of it.
 */
void suspects_add_stored(suspects_t *suspects, uint64_t fingerprint,
			 medlar_time_t now)
{
	suspect_t *suspect;

	suspects_convict(suspects, fingerprint, now);
	suspect = find_suspect(suspects, fingerprint);
	if (suspect)
		suspect->stored_at = now;
}

/**
 * suspects_forget_stored() - forget which convictions the store holds
 * @suspects: table
 *
 * To be called when the store has come back from an older copy.
 */
void suspects_forget_stored(suspects_t *suspects)
{
	for (size_t i = 0; i < SUSPECTS_MAX; i++) {
		suspects->entries[i].stored_at = 0;
		suspects->entries[i].written_at = 0;
	}
}

/**
 * suspects_next_unstored() - find a conviction that the store should hold
 * @suspects: table
 * @position: where to go on in the table, initially 0; moved on
 * @now: current time, ms
 *
 * One that was written a short while ago is left out.
 *
 * Return: a convicted request, or NULL if there are no more.
 */
suspect_t *suspects_next_unstored(suspects_t *suspects, size_t *position,
				  medlar_time_t now)
{
	while (*position < SUSPECTS_MAX) {
		suspect_t *suspect = &suspects->entries[(*position)++];

		if (suspect->fingerprint && !suspect->stored_at &&
		    !(suspect->written_at &&
		      now - suspect->written_at < WRITTEN_SEEN_MS) &&
		    is_convicted(suspect, now))
			return suspect;
	}
	return NULL;
}

/**
 * suspects_add_answer() - record that a request was answered
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @now: current time, ms; earlier crashes count no more
 */
void suspects_add_answer(suspects_t *suspects, uint64_t fingerprint,
			 medlar_time_t now)
{
	suspect_t *suspect = find_suspect(suspects, fingerprint);

	suspects->answered[fingerprint % SUSPECTS_ANSWERS] =
		(answered_request_t){ fingerprint, now };
	if (suspect)
		*suspect = (suspect_t){ .fingerprint = fingerprint,
					.updated_at = now,
					.answered_at = now };
}

/**
 * suspects_find_convicted() - find a request that was convicted
 * @suspects: table
 * @fingerprint: fingerprint of the request
 *
 * Return: the request, also if its conviction has ended without an answer since, or
 * NULL.
 */
suspect_t *suspects_find_convicted(suspects_t *suspects, uint64_t fingerprint)
{
	suspect_t *suspect = find_suspect(suspects, fingerprint);

	return suspect && suspect->crashes >= SUSPECT_BREAKS ? suspect : NULL;
}

/**
 * suspect_is_refused() - check whether the conviction of a request still holds
 * @suspect: a request that was convicted
 * @now: current time, ms
 *
 * Return: true until a time without a crash has passed.
 */
bool suspect_is_refused(const suspect_t *suspect, medlar_time_t now)
{
	return is_convicted(suspect, now);
}

/* An instance that has started since knows nothing of the conviction. */
static suspect_t *find_or_add_ended(suspects_t *suspects, uint64_t fingerprint,
				    medlar_time_t now)
{
	suspect_t *suspect = find_suspect(suspects, fingerprint);

	if (suspect)
		return suspect;
	suspect = find_or_replace_oldest(suspects, fingerprint);
	suspect->crashes = SUSPECT_BREAKS;
	suspect->updated_at = now - SUSPECT_CONVICTION_MS;
	return suspect;
}

/**
 * suspects_grant_trial() - decide whether a request that was convicted may be sent to
 *	a replica again
 * @suspects: table of the instance that decides for all
 * @fingerprint: fingerprint of the request
 * @now: current time, ms
 *
 * After the end of a conviction one request is let through at a time: an answer
 * clears it, and a crash convicts it again.
 *
 * Return: whether one may be sent, by this or another instance; if so, this counts as
 * a trial.
 */
bool suspects_grant_trial(suspects_t *suspects, uint64_t fingerprint,
			  medlar_time_t now)
{
	suspect_t *suspect = find_or_add_ended(suspects, fingerprint, now);

	if (suspect->crashes < SUSPECT_BREAKS)
		return true;
	if (is_convicted(suspect, now) ||
	    (suspect->tried_at && now - suspect->tried_at < TRIAL_MS))
		return false;
	suspect->tried_at = now;
	return true;
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
	for (size_t i = 0; i < SUSPECTS_MAX; i++)
		if (suspects->entries[i].fingerprint == fingerprint)
			return is_convicted(&suspects->entries[i], now);
	return false;
}
