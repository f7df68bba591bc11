/**
 * DOC: prediction of periodic pauses of replicas
 *
 * A replica that pauses replies to all waiting requests when the pause ends.
 * If pauses end whole periods apart, the time of the next one is known, and
 * requests can be sent to other replicas before it.
 */
#ifndef LIBROUTE_PAUSE_H
#define LIBROUTE_PAUSE_H

#include "libmedlar/medlar.h"

/* Periods in this range are detected. */
#define PAUSE_PERIOD_MIN_MS 500
#define PAUSE_PERIOD_MAX_MS 12000
/* Resolution of the histogram of periods. */
#define PAUSE_BUCKET_MS 20
#define PAUSE_BUCKETS \
	((PAUSE_PERIOD_MAX_MS - PAUSE_PERIOD_MIN_MS) / PAUSE_BUCKET_MS)
/* Ends of pauses kept for each replica. */
#define PAUSE_ENDS_MAX 4

/**
 * struct pause_period - pause period common to the replicas of a fleet
 * @votes: histogram of the distances between ends of pauses
 * @announced: period that other instances have found, ms; 0 if unknown
 * @period: most frequent distance, ms; @announced while there are too few votes
 */
typedef struct pause_period {
	uint8_t votes[PAUSE_BUCKETS + 1];
	medlar_time_t announced;
	medlar_time_t period;
} pause_period_t;

/**
 * struct pause - pauses of one replica
 * @ends: times at which the last pauses ended, latest first, ms
 * @ends_len: number of @ends
 * @anchor: end of a pause from which later ones are predicted, ms
 * @length: longest pause since the prediction began, ms
 * @confirmed: predicted pauses that came, less those that did not; up to 0,
 *	nothing is predicted
 */
typedef struct pause {
	medlar_time_t ends[PAUSE_ENDS_MAX];
	unsigned ends_len;
	medlar_time_t anchor;
	medlar_time_t length;
	int confirmed;
} pause_t;

medlar_time_t pause_deviation(medlar_time_t end, medlar_time_t period,
			      medlar_time_t at);
void pause_accept(pause_t *pause, pause_period_t *shared, medlar_time_t period,
		  medlar_time_t length, medlar_time_t end);
bool pause_add_slow_reply(pause_t *pause, pause_period_t *shared,
			  medlar_time_t length, medlar_time_t now);
void pause_add_usual_reply(pause_t *pause, const pause_period_t *shared,
			   medlar_time_t sent, medlar_time_t now);
medlar_time_t pause_remaining(const pause_t *pause,
			      const pause_period_t *shared,
			      medlar_time_t expected, medlar_time_t now);

#endif /* LIBROUTE_PAUSE_H */
