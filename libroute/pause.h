/**
 * DOC: replicas that pause at a steady period
 *
 * A replica that stops for a moment answers what it owes when the pause is
 * over. Ends of pauses that lie whole periods apart tell when the next one is
 * due, so that requests can go elsewhere in time.
 */
#ifndef LIBROUTE_PAUSE_H
#define LIBROUTE_PAUSE_H

#include "libmedlar/medlar.h"

#define PAUSE_PERIOD_MIN 500
#define PAUSE_PERIOD_MAX 12000
#define PAUSE_BUCKET 20
#define PAUSE_BUCKETS ((PAUSE_PERIOD_MAX - PAUSE_PERIOD_MIN) / PAUSE_BUCKET)
#define PAUSE_ENDS 4

/**
 * struct pause_period - the period that many replicas share
 * @votes: how often ends of pauses lay so far apart
 * @period: the most frequent distance, ms; 0 while there is none
 */
typedef struct pause_period {
	uint8_t votes[PAUSE_BUCKETS + 1];
	medlar_time_t period;
} pause_period_t;

/**
 * struct pause - pauses of one replica
 * @ends: last ends of pauses, the latest first
 * @ends_len: how many
 * @end: end of a pause from which the next ones are counted
 * @length: how long it pauses, ms
 * @confirmed: pauses that came when they were due, less those that did not
 */
typedef struct pause {
	medlar_time_t ends[PAUSE_ENDS];
	unsigned ends_len;
	medlar_time_t end;
	medlar_time_t length;
	int confirmed;
} pause_t;

bool pause_ended(pause_t *pause, pause_period_t *shared, medlar_time_t length,
		 medlar_time_t now);
void pause_absent(pause_t *pause, const pause_period_t *shared,
		  medlar_time_t sent, medlar_time_t now);
medlar_time_t pause_left(const pause_t *pause, const pause_period_t *shared,
			 medlar_time_t expected, medlar_time_t now);

#endif /* LIBROUTE_PAUSE_H */
