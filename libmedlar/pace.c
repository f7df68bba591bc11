/**
 * DOC: polls of the platform that do not grow with the fleet
 *
 * Every call of the platform counts, so the more instances and lists there
 * are, the less often each instance reads a list.
 */
#include "medlar.h"

/**
 * medlar_pace_period() - period of one poll
 * @least: shortest period, ms
 * @instances: instances that poll, at least 1
 * @polls: polls that each of them makes
 * @rate: calls a second that all of them may make together, above 0
 *
 * Return: a period in ms, at least @least.
 */
medlar_time_t medlar_pace_period(medlar_time_t least, size_t instances,
				 size_t polls, double rate)
{
	double needed = (double)instances * (double)polls * MEDLAR_SECOND /
			rate;

	return needed > (double)least ? (medlar_time_t)needed : least;
}
