/**
 * DOC: latency quantiles from a decaying histogram
 *
 * Buckets are exact up to %LINEAR milliseconds and then divide each doubling
 * into %PER_OCTAVE parts, which reaches 131 s. Weights are halved every
 * %HALF_LIFE so that old observations fade.
 */
#include "medlar.h"

#define LINEAR 8
#define LINEAR_BITS 3
#define PER_OCTAVE 4
#define PER_OCTAVE_BITS 2
#define HALF_LIFE (10 * MEDLAR_SECOND)
#define HALVINGS_MAX 40
#define TOTAL_MIN 16.0F

/* The first millisecond that belongs to a bucket. */
static medlar_time_t bucket_start(unsigned bucket)
{
	unsigned octave;
	unsigned part;

	if (bucket < LINEAR)
		return bucket;
	octave = (bucket - LINEAR) / PER_OCTAVE;
	part = (bucket - LINEAR) % PER_OCTAVE;
	return (medlar_time_t)(PER_OCTAVE + part)
	       << (octave + LINEAR_BITS - PER_OCTAVE_BITS);
}

static unsigned bucket_index(medlar_time_t took)
{
	unsigned log;
	unsigned part;
	unsigned bucket;

	if (took < 0)
		return 0;
	if (took < LINEAR)
		return (unsigned)took;
	log = 63U - (unsigned)__builtin_clzll((unsigned long long)took);
	part = (unsigned)(took >> (log - PER_OCTAVE_BITS)) % PER_OCTAVE;
	bucket = LINEAR + (log - LINEAR_BITS) * PER_OCTAVE + part;
	if (bucket >= MEDLAR_LATENCY_BUCKETS)
		return MEDLAR_LATENCY_BUCKETS - 1;
	return bucket;
}

/**
 * medlar_latency_init() - start without observations
 * @latency: memory of the caller
 * @now: current time, ms
 */
void medlar_latency_init(medlar_latency_t *latency, medlar_time_t now)
{
	*latency = (medlar_latency_t){ .decayed = now };
}

static void decay(medlar_latency_t *latency, medlar_time_t now)
{
	medlar_time_t halvings = (now - latency->decayed) / HALF_LIFE;
	float factor = 1.0F;
	unsigned i;

	if (halvings <= 0)
		return;
	latency->decayed += halvings * HALF_LIFE;
	if (halvings > HALVINGS_MAX)
		halvings = HALVINGS_MAX;
	while (halvings-- > 0)
		factor /= 2;
	latency->total = 0;
	for (i = 0; i < MEDLAR_LATENCY_BUCKETS; i++) {
		latency->counts[i] *= factor;
		latency->total += latency->counts[i];
	}
}

/**
 * medlar_latency_add() - record a duration
 * @latency: histogram
 * @took: duration, ms; a negative one counts as 0
 * @now: current time, ms
 */
void medlar_latency_add(medlar_latency_t *latency, medlar_time_t took,
			medlar_time_t now)
{
	decay(latency, now);
	latency->counts[bucket_index(took)] += 1;
	latency->total += 1;
}

/**
 * medlar_latency_quantile() - estimate a quantile
 * @latency: histogram
 * @quantile: share of durations that are not longer, 0 to 1
 * @otherwise: result when there are too few observations, ms
 *
 * Return: a duration in milliseconds, rounded up.
 */
medlar_time_t medlar_latency_quantile(const medlar_latency_t *latency,
				      double quantile, medlar_time_t otherwise)
{
	double left = quantile * latency->total;
	unsigned i;

	if (latency->total < TOTAL_MIN)
		return otherwise;
	for (i = 0; i + 1 < MEDLAR_LATENCY_BUCKETS; i++) {
		double count = latency->counts[i];
		medlar_time_t lo = bucket_start(i);
		medlar_time_t width = bucket_start(i + 1) - lo;

		if (count > 0 && left <= count)
			return lo + (medlar_time_t)((double)(width - 1) *
							    (left / count) +
						    0.999);
		left -= count;
	}
	return bucket_start(MEDLAR_LATENCY_BUCKETS - 1);
}
