/**
 * DOC: detection of slow and pausing replicas from reports of many instances
 */
#include "libroute/observer.h"

/* Late replies further apart belong to different series. */
#define SERIES_GAP_MAX_MS 300
/* A series that lasts longer than this is no pause. */
#define SERIES_MIN_MS 400
/* Weight of a new delay in the estimate. */
#define DELAY_GAIN 0.25
/* Interval at which a slow replica is announced again. */
#define REPEAT_INTERVAL_MS MEDLAR_SECOND
/* Time after which an announcement has lost its effect. */
#define ANNOUNCED_MAX_MS (4 * MEDLAR_SECOND)
/* Usual replies in a row after which a replica is no longer slow. */
#define USUAL_REPLIES_MIN 2

/* Longer delays are no pauses. */
#define PAUSE_DELAY_MAX_MS 250
/* Pauses in a row that came as predicted before they are announced. */
#define PAUSE_CONFIRMED_MIN 2
/* Pauses are announced again after this time, or if they are off by so much. */
#define PAUSE_REPEAT_MS (15 * MEDLAR_SECOND)
#define PAUSE_DEVIATION_MAX_MS 8

/* An entry that is in use by another replica is taken over once it is old. */
static observed_replica_t *find_entry(observer_t *observer,
				      const replica_report_t *report)
{
	observed_replica_t *entry =
		&observer->replicas[report->replica % OBSERVER_REPLICAS];

	if (entry->replica == report->replica)
		return entry;
	if (entry->replica && report->at - entry->last_at <= ANNOUNCED_MAX_MS)
		return NULL;
	*entry = (observed_replica_t){ .replica = report->replica };
	return entry;
}

static bool is_announced(const observed_replica_t *entry, medlar_time_t now)
{
	return entry->announced && now - entry->announced_at < ANNOUNCED_MAX_MS;
}

static bool add_usual_reply(observed_replica_t *entry,
			    const replica_report_t *report)
{
	if (!is_announced(entry, report->at) ||
	    ++entry->usual_replies < USUAL_REPLIES_MIN)
		return false;
	entry->announced = false;
	entry->last_at = 0;
	entry->delay = 0;
	return true;
}

static void add_to_series(observed_replica_t *entry,
			  const replica_report_t *report)
{
	double delay = (double)report->delay;

	if (report->at - entry->last_at > SERIES_GAP_MAX_MS) {
		entry->began_at = report->at;
		entry->reporter = report->reporter;
		entry->is_confirmed = false;
		entry->delay = delay;
	}
	entry->last_at = report->at;
	entry->usual_replies = 0;
	entry->is_confirmed |= report->reporter != entry->reporter;
	entry->delay += DELAY_GAIN * (delay - entry->delay);
}

static bool add_late_reply(observed_replica_t *entry,
			   const replica_report_t *report)
{
	add_to_series(entry, report);
	if (is_announced(entry, report->at)) {
		if (report->at - entry->announced_at < REPEAT_INTERVAL_MS)
			return false;
	} else if (!entry->is_confirmed ||
		   entry->last_at - entry->began_at < SERIES_MIN_MS) {
		return false;
	}
	entry->announced = true;
	entry->announced_at = report->at;
	return true;
}

/**
 * observer_add() - add a report
 * @observer: observer, initially zero
 * @report: report about a replica that this instance observes
 * @announcement: what to announce; a delay of 0 if the replica is no longer slow
 *
 * One instance alone, whose own network may be at fault, is not believed; nor is
 * a series of late replies that is no longer than a pause of the replica.
 *
 * Return: whether all instances are to be told.
 */
bool observer_add(observer_t *observer, const replica_report_t *report,
		  announcement_t *announcement)
{
	observed_replica_t *entry = find_entry(observer, report);
	bool is_news;

	if (!entry)
		return false;
	is_news = report->delay > 0 ? add_late_reply(entry, report)
				    : add_usual_reply(entry, report);
	*announcement = (announcement_t){ .replica = report->replica,
					  .delay = (medlar_time_t)entry->delay,
					  .at = report->at };
	return is_news;
}

static bool is_pause_news(const observed_replica_t *entry, medlar_time_t period,
			  medlar_time_t now)
{
	medlar_time_t deviation;

	if (!entry->pause_announced_at ||
	    now - entry->pause_announced_at >= PAUSE_REPEAT_MS)
		return true;
	deviation = pause_deviation(entry->pause_announced_end, period,
				    entry->pause.anchor);
	return deviation < -PAUSE_DEVIATION_MAX_MS ||
	       deviation > PAUSE_DEVIATION_MAX_MS;
}

/**
 * observer_add_pause() - learn the pauses of a replica from a report
 * @observer: observer
 * @report: report about a replica that this instance observes
 * @announcement: what to announce
 *
 * Return: whether all instances are to be told when the replica pauses.
 */
bool observer_add_pause(observer_t *observer, const replica_report_t *report,
			announcement_t *announcement)
{
	observed_replica_t *entry = find_entry(observer, report);
	medlar_time_t period;

	if (!entry || report->delay == 0 || report->delay > PAUSE_DELAY_MAX_MS)
		return false;
	(void)pause_add_slow_reply(&entry->pause, &observer->pauses,
				   report->delay, report->at);
	period = observer->pauses.period;
	if (!period || entry->pause.confirmed < PAUSE_CONFIRMED_MIN ||
	    !is_pause_news(entry, period, report->at))
		return false;
	entry->pause_announced_at = report->at;
	entry->pause_announced_end = entry->pause.anchor;
	*announcement = (announcement_t){ .replica = report->replica,
					  .delay = entry->pause.length,
					  .at = entry->pause.anchor,
					  .period = period };
	return true;
}
