/**
 * DOC: the clocks of the daemon, in milliseconds
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
 * clock_now() - time for deadlines and durations
 *
 * Return: milliseconds since an arbitrary start; never goes back.
 */
medlar_time_t clock_now(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

/**
 * clock_wall() - time of day
 *
 * Return: milliseconds since 1970.
 */
medlar_time_t clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}
