/**
 * DOC: since when a service that many instances call has been up
 */
#include "libroute/uptime.h"

static medlar_time_t min_time(medlar_time_t a, medlar_time_t b)
{
	return a < b ? a : b;
}

static medlar_time_t max_time(medlar_time_t a, medlar_time_t b)
{
	return a > b ? a : b;
}

/**
 * uptime_add() - add the time in which an instance had its calls answered
 * @uptime: uptime; zero while nothing is known
 * @seen: time without an unanswered call; ignored if its start is not known
 *
 * If there is a gap between the two, the later one counts.
 */
void uptime_add(uptime_t *uptime, const uptime_t *seen)
{
	if (!seen->since || seen->until < seen->since ||
	    seen->until < uptime->since)
		return;
	if (!uptime->since || seen->since > uptime->until) {
		*uptime = *seen;
		return;
	}
	uptime->since = min_time(uptime->since, seen->since);
	uptime->until = max_time(uptime->until, seen->until);
}

/**
 * uptime_is_steady() - check whether a service has been up for some time
 * @uptime: uptime
 * @span: time, ms
 * @now: current time, ms
 *
 * Return: whether it began to answer @span ago or earlier.
 */
bool uptime_is_steady(const uptime_t *uptime, medlar_time_t span,
		      medlar_time_t now)
{
	return uptime->since && now - uptime->since >= span;
}
