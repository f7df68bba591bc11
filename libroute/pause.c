/**
 * DOC: prediction of periodic pauses of replicas
 */
#include "libroute/pause.h"

/* Largest deviation of the end of a pause from whole periods. */
#define TOLERANCE_MS 14
/* Certainty of pauses that other instances have found. */
#define ANNOUNCED_CONFIRMED 2
/* Replies closer together than this ended the same pause. */
#define SAME_PAUSE_MS 60
/* Votes that a distance needs to become the period. */
#define VOTES_MIN 5
/* Bounds the missed pauses after which a prediction is dropped. */
#define CONFIRMED_MAX 4
/* Delays outside this range are not taken for pauses. */
#define PAUSE_LENGTH_MIN_MS 30
#define PAUSE_LENGTH_MAX_MS 400

static void halve_votes(pause_period_t *shared)
{
	for (size_t i = 0; i <= PAUSE_BUCKETS; i++)
		shared->votes[i] /= 2;
}

static void add_vote(pause_period_t *shared, medlar_time_t distance)
{
	size_t bucket;
	size_t best = 0;

	if (distance < PAUSE_PERIOD_MIN_MS || distance >= PAUSE_PERIOD_MAX_MS)
		return;
	bucket = (size_t)(distance - PAUSE_PERIOD_MIN_MS +
			  PAUSE_BUCKET_MS / 2) /
		 PAUSE_BUCKET_MS;
	if (++shared->votes[bucket] == UINT8_MAX)
		halve_votes(shared);
	for (size_t i = 1; i <= PAUSE_BUCKETS; i++)
		if (shared->votes[i] > shared->votes[best])
			best = i;
	shared->period = shared->votes[best] < VOTES_MIN
				 ? shared->announced
				 : PAUSE_PERIOD_MIN_MS +
					   (medlar_time_t)best *
						   PAUSE_BUCKET_MS;
}

/**
 * pause_deviation() - distance of a time from the nearest expected end of a pause
 * @end: end of a pause, ms
 * @period: period of the pauses, ms
 * @at: time after @end, ms
 *
 * Return: distance in ms, negative if @at is earlier.
 */
medlar_time_t pause_deviation(medlar_time_t end, medlar_time_t period,
			      medlar_time_t at)
{
	medlar_time_t remainder = (at - end) % period;

	return remainder > period / 2 ? remainder - period : remainder;
}

static bool is_on_period(medlar_time_t distance)
{
	return distance >= -TOLERANCE_MS && distance <= TOLERANCE_MS;
}

/* Confirms the prediction, or rebases it on ends whole periods apart. */
static void match_period(pause_t *pause, medlar_time_t period,
			 medlar_time_t length, medlar_time_t now)
{
	medlar_time_t deviation = pause_deviation(pause->anchor, period, now);

	if (is_on_period(deviation)) {
		if (pause->confirmed < CONFIRMED_MAX)
			pause->confirmed++;
		pause->anchor = deviation < 0 ? now : now - deviation / 2;
		if (length > pause->length)
			pause->length = length;
		return;
	}
	for (unsigned i = 0; i < pause->ends_len; i++) {
		if (!is_on_period(pause_deviation(pause->ends[i], period, now)))
			continue;
		if (--pause->confirmed > 0)
			return;
		pause->anchor = now;
		pause->length = length;
		pause->confirmed = 1;
		return;
	}
}

static bool is_length(medlar_time_t length)
{
	return length >= PAUSE_LENGTH_MIN_MS && length <= PAUSE_LENGTH_MAX_MS;
}

/**
 * pause_accept() - take pauses that other instances have found
 * @pause: pauses of the replica
 * @shared: period of the fleet
 * @period: period, ms
 * @length: length of a pause, ms
 * @end: end of a pause, ms
 *
 * A period or later end that this instance has found itself takes precedence.
 */
void pause_accept(pause_t *pause, pause_period_t *shared, medlar_time_t period,
		  medlar_time_t length, medlar_time_t end)
{
	if (period < PAUSE_PERIOD_MIN_MS || period >= PAUSE_PERIOD_MAX_MS ||
	    !is_length(length))
		return;
	shared->announced = period;
	if (!shared->period)
		shared->period = period;
	if (shared->period != period ||
	    (pause->confirmed > 0 && pause->anchor >= end))
		return;
	pause->anchor = end;
	pause->length = length;
	if (pause->confirmed < ANNOUNCED_CONFIRMED)
		pause->confirmed = ANNOUNCED_CONFIRMED;
}

/**
 * pause_add_slow_reply() - learn from a reply that came much later than usual
 * @pause: pauses of the replica
 * @shared: period of the fleet
 * @length: delay beyond the usual latency, ms
 * @now: time of the reply, ms
 *
 * Return: whether a predicted pause explains the delay.
 */
bool pause_add_slow_reply(pause_t *pause, pause_period_t *shared,
			  medlar_time_t length, medlar_time_t now)
{
	bool due = pause->confirmed > 0 && shared->period &&
		   is_on_period(
			   pause_deviation(pause->anchor, shared->period, now));

	if (!is_length(length) ||
	    (pause->ends_len && now - pause->ends[0] < SAME_PAUSE_MS))
		return due;
	for (unsigned i = 0; i < pause->ends_len; i++)
		add_vote(shared, now - pause->ends[i]);
	if (shared->period)
		match_period(pause, shared->period, length, now);
	for (unsigned i = PAUSE_ENDS_MAX - 1; i > 0; i--)
		pause->ends[i] = pause->ends[i - 1];
	pause->ends[0] = now;
	if (pause->ends_len < PAUSE_ENDS_MAX)
		pause->ends_len++;
	return due;
}

/**
 * pause_add_usual_reply() - learn from a reply with the usual latency
 * @pause: pauses of the replica
 * @shared: period of the fleet
 * @sent: when the request was sent, ms
 * @now: time of the reply, ms
 *
 * A pause that was predicted for the time between did not come.
 */
void pause_add_usual_reply(pause_t *pause, const pause_period_t *shared,
			   medlar_time_t sent, medlar_time_t now)
{
	medlar_time_t middle;
	medlar_time_t deviation;

	if (pause->confirmed <= 0 || !shared->period)
		return;
	middle = pause->anchor - pause->length / 2;
	deviation = pause_deviation(middle, shared->period, now);
	if (deviation > 0 && deviation < pause->length / 4 &&
	    deviation <= now - sent)
		pause->confirmed--;
}

/**
 * pause_remaining() - time until a pause ends that a request would run into
 * @pause: pauses of the replica
 * @shared: period of the fleet
 * @expected: expected latency of a request, ms
 * @now: current time, ms
 *
 * Return: time in ms, or 0 if the request is expected to meet no pause.
 */
medlar_time_t pause_remaining(const pause_t *pause,
			      const pause_period_t *shared,
			      medlar_time_t expected, medlar_time_t now)
{
	medlar_time_t left;

	if (pause->confirmed <= 0 || !shared->period)
		return 0;
	left = shared->period - (now - pause->anchor) % shared->period;
	return left <= pause->length + expected ? left : 0;
}
