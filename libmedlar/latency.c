/**
 * DOC: latency quantiles from a decaying histogram
 *
 * Buckets are 1 ms wide up to %LINEAR_MS ms; above, each doubling is divided
 * into %BUCKETS_PER_DOUBLING buckets, which covers up to 131 s. Counts are
 * halved every %HALF_LIFE, so that old observations lose their weight.
 */
#include "medlar.h"

#define LINEAR_MS 8
#define LINEAR_BITS 3
#define BUCKETS_PER_DOUBLING 4
#define BUCKETS_PER_DOUBLING_BITS 2
#define HALF_LIFE (10 * MEDLAR_SECOND)
#define HALVINGS_MAX 40
#define OBSERVATIONS_MIN 16.0F

/* Lower bound of a bucket, ms. */
static medlar_time_t bucket_start(unsigned bucket)
{
	unsigned doubling;
	unsigned part;

	if (bucket < LINEAR_MS)
		return bucket;
	doubling = (bucket - LINEAR_MS) / BUCKETS_PER_DOUBLING;
	part = (bucket - LINEAR_MS) % BUCKETS_PER_DOUBLING;
	return (medlar_time_t)(BUCKETS_PER_DOUBLING + part)
	       << (doubling + LINEAR_BITS - BUCKETS_PER_DOUBLING_BITS);
}

static unsigned bucket_index(medlar_time_t took)
{
	unsigned log;
	unsigned part;
	unsigned bucket;

	if (took < 0)
		return 0;
	if (took < LINEAR_MS)
		return (unsigned)took;
	log = 63U - (unsigned)__builtin_clzll((unsigned long long)took);
	part = (unsigned)(took >> (log - BUCKETS_PER_DOUBLING_BITS)) %
	       BUCKETS_PER_DOUBLING;
	bucket = LINEAR_MS + (log - LINEAR_BITS) * BUCKETS_PER_DOUBLING + part;
	if (bucket >= MEDLAR_LATENCY_BUCKETS)
		return MEDLAR_LATENCY_BUCKETS - 1;
	return bucket;
}

/**
 * medlar_latency_init() - initialise an empty histogram
 * @latency: histogram in memory of the caller
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
 * medlar_latency_quantile() - estimate a quantile of the durations
 * @latency: histogram
 * @quantile: share of durations that are not longer, 0 to 1
 * @otherwise: result if there are too few observations, ms
 *
 * Return: a duration in milliseconds, rounded up.
 */
medlar_time_t medlar_latency_quantile(const medlar_latency_t *latency,
				      double quantile, medlar_time_t otherwise)
{
	double left = quantile * latency->total;
	unsigned i;

	if (latency->total < OBSERVATIONS_MIN)
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
