/**
 * DOC: monotonic and wall clock, in milliseconds
 */
#include <time.h>

#include "medlard/clock.h"

#define NS_PER_MS 1000000

static medlar_time_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * MEDLAR_SECOND + ts.tv_nsec / NS_PER_MS;
}

/**
 * clock_now() - get the monotonic time, for deadlines and durations
 *
 * Return: milliseconds since an arbitrary start.
 */
medlar_time_t clock_now(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

/**
 * clock_wall() - get the wall-clock time
 *
 * Return: milliseconds since 1970-01-01 UTC.
 */
medlar_time_t clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}
