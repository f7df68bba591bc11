/**
 * DOC: replicas that pause at a steady period
 */
#include "libroute/pause.h"

/* How far from whole periods an end may lie, ms. */
#define TOLERANCE 14
/* Ends closer than this belong to one pause, ms. */
#define SAME_PAUSE 60
#define VOTES_MIN 5
#define CONFIRMED_MAX 4
#define LENGTH_MIN 30
#define LENGTH_MAX 400

static void halve(pause_period_t *shared)
{
	for (size_t i = 0; i <= PAUSE_BUCKETS; i++)
		shared->votes[i] /= 2;
}

static void vote(pause_period_t *shared, medlar_time_t distance)
{
	size_t bucket;
	size_t best = 0;

	if (distance < PAUSE_PERIOD_MIN || distance >= PAUSE_PERIOD_MAX)
		return;
	bucket = (size_t)(distance - PAUSE_PERIOD_MIN + PAUSE_BUCKET / 2) /
		 PAUSE_BUCKET;
	if (++shared->votes[bucket] == UINT8_MAX)
		halve(shared);
	for (size_t i = 1; i <= PAUSE_BUCKETS; i++)
		if (shared->votes[i] > shared->votes[best])
			best = i;
	shared->period = shared->votes[best] < VOTES_MIN
				 ? 0
				 : PAUSE_PERIOD_MIN +
					   (medlar_time_t)best * PAUSE_BUCKET;
}

/* Distance of a time from the nearest whole number of periods after @end. */
static medlar_time_t offset(medlar_time_t end, medlar_time_t period,
			    medlar_time_t at)
{
	medlar_time_t rest = (at - end) % period;

	return rest > period / 2 ? rest - period : rest;
}

static bool is_near(medlar_time_t distance)
{
	return distance >= -TOLERANCE && distance <= TOLERANCE;
}

static void match(pause_t *pause, medlar_time_t period, medlar_time_t length,
		  medlar_time_t now)
{
	medlar_time_t off = offset(pause->end, period, now);

	if (is_near(off)) {
		if (pause->confirmed < CONFIRMED_MAX)
			pause->confirmed++;
		pause->end = off < 0 ? now : now - off / 2;
		if (length > pause->length)
			pause->length = length;
		return;
	}
	for (unsigned i = 0; i < pause->ends_len; i++) {
		if (!is_near(offset(pause->ends[i], period, now)))
			continue;
		if (--pause->confirmed > 0)
			return;
		pause->end = now;
		pause->length = length;
		pause->confirmed = 1;
		return;
	}
}

/**
 * pause_ended() - a request took much longer than usual and was answered
 * @pause: pauses of the replica
 * @shared: period of all replicas
 * @length: how much longer it took, ms
 * @now: when it was answered
 *
 * Return: whether a pause was due that explains it.
 */
bool pause_ended(pause_t *pause, pause_period_t *shared, medlar_time_t length,
		 medlar_time_t now)
{
	bool due = pause->confirmed > 0 && shared->period &&
		   is_near(offset(pause->end, shared->period, now));

	if (length < LENGTH_MIN || length > LENGTH_MAX ||
	    (pause->ends_len && now - pause->ends[0] < SAME_PAUSE))
		return due;
	for (unsigned i = 0; i < pause->ends_len; i++)
		vote(shared, now - pause->ends[i]);
	if (shared->period)
		match(pause, shared->period, length, now);
	for (unsigned i = PAUSE_ENDS - 1; i > 0; i--)
		pause->ends[i] = pause->ends[i - 1];
	pause->ends[0] = now;
	if (pause->ends_len < PAUSE_ENDS)
		pause->ends_len++;
	return due;
}

/**
 * pause_absent() - a request was answered in the usual time
 * @pause: pauses of the replica
 * @shared: period of all replicas
 * @sent: when it was sent
 * @now: when it was answered
 *
 * If a pause was due meanwhile, it did not come.
 */
void pause_absent(pause_t *pause, const pause_period_t *shared,
		  medlar_time_t sent, medlar_time_t now)
{
	medlar_time_t middle;
	medlar_time_t off;

	if (pause->confirmed <= 0 || !shared->period)
		return;
	middle = pause->end - pause->length / 2;
	off = offset(middle, shared->period, now);
	if (off > 0 && off < pause->length / 4 && off <= now - sent)
		pause->confirmed--;
}

/**
 * pause_left() - how long a request sent now would wait for a pause to end
 * @pause: pauses of the replica
 * @shared: period of all replicas
 * @expected: how long a request takes, ms
 * @now: current time
 *
 * Return: the time, or 0 when no pause is due.
 */
medlar_time_t pause_left(const pause_t *pause, const pause_period_t *shared,
			 medlar_time_t expected, medlar_time_t now)
{
	medlar_time_t left;

	if (pause->confirmed <= 0 || !shared->period)
		return 0;
	left = shared->period - (now - pause->end) % shared->period;
	return left <= pause->length + expected ? left : 0;
}
