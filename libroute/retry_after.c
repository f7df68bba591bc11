/**
 * DOC: time after which a caller whose request was refused should return
 */
#include "libroute/retry_after.h"

/* Callers that wait for replicas return within this time and share of it. */
#define WAIT_SPREAD_MS 50.0
#define WAIT_SPREAD_SHARE 0.25

/* Timeout of callers that state none. */
#define TIMEOUT_DEFAULT_MS 1000
/* Delays are at most this share of the timeout. */
#define TIMEOUT_SHARE_MAX 0.33

/*
 * Range of the delays for a reason: from @fixed to @fixed + @spread, plus this
 * share of the timeout.
 */
typedef struct retry_range {
	medlar_time_t fixed;
	medlar_time_t spread;
	double timeout_share;
} retry_range_t;

static const retry_range_t ranges[] = {
	/* Another instance can be tried at once. */
	[RETRY_NOT_RUN] = { 15, 10, 0 },
	/* Queues of a few targets have drained. */
	[RETRY_OVERLOADED] = { 150, 100, 0 },
	/* A start takes under a second, an outage of the store longer. */
	[RETRY_NOT_READY] = { 150, 100, 0.25 },
};

/**
 * retry_after_delay() - choose when a caller should return
 * @reason: why the request was refused
 * @timeout: how long the caller waits, ms; 0 if unknown
 * @rand: random numbers, which spread the callers
 *
 * Return: delay in ms, at least 1 and at most about a third of @timeout.
 */
medlar_time_t retry_after_delay(retry_reason_t reason, medlar_time_t timeout,
				medlar_rand_t *rand)
{
	const retry_range_t *range = &ranges[reason];
	double time = (double)(timeout > 0 ? timeout : TIMEOUT_DEFAULT_MS);
	double max = TIMEOUT_SHARE_MAX * time;
	double delay = (double)range->fixed + range->timeout_share * time +
		       (double)range->spread * medlar_rand_unit(rand);

	if (delay > max)
		delay = max * (1 + medlar_rand_unit(rand)) / 2;
	return delay < 1 ? 1 : (medlar_time_t)delay;
}

/**
 * retry_after_wait() - choose when a caller should return to replicas that are
 *	known to be away
 * @wait: time until the first of them takes requests, ms
 * @rand: random numbers, which spread the callers
 *
 * Return: delay in ms, at least @wait.
 */
medlar_time_t retry_after_wait(medlar_time_t wait, medlar_rand_t *rand)
{
	double spread = WAIT_SPREAD_MS + WAIT_SPREAD_SHARE * (double)wait;

	return wait + 1 + (medlar_time_t)(spread * medlar_rand_unit(rand));
}
