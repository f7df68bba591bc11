/**
 * DOC: interval of polling the platform
 *
 * The platform limits the rate of calls by all instances together, so each
 * instance polls less often the more instances and lists there are.
 */
#include "medlar.h"

/**
 * medlar_poll_interval() - interval between polls of one list
 * @interval_min: shortest interval, ms
 * @instances: number of instances that poll, at least 1
 * @polls: number of lists that each instance polls
 * @rate: most calls per second by all instances together, above 0
 *
 * Return: interval in ms, at least @interval_min.
 */
medlar_time_t medlar_poll_interval(medlar_time_t interval_min, size_t instances,
				   size_t polls, double rate)
{
	double interval = (double)instances * (double)polls * MEDLAR_SECOND /
			  rate;

	return interval > (double)interval_min ? (medlar_time_t)interval
					       : interval_min;
}
