/**
 * DOC: detection of slow and pausing replicas from reports of many instances
 *
 * Load pattern: hundreds of instances share replicas, and each of them sends a
 * replica a request every few seconds. When replicas turn slow or die, each
 * instance would have to find out by itself, at the cost of a late part each
 * time. Instead, each replica has an observer among the instances, to which the
 * others report replies that came late. The observer tells all of them once the
 * reports cannot be explained by a short pause or by the one who reports. Pauses that
 * come at regular times are announced with their period, so that requests can be
 * sent elsewhere before them.
 */
#ifndef LIBROUTE_OBSERVER_H
#define LIBROUTE_OBSERVER_H

#include "libroute/announcements.h"
#include "libroute/pause.h"

/** Replicas that an instance observes at the same time. */
#define OBSERVER_REPLICAS 256

/**
 * struct replica_report - what an instance measured of a replica
 * @replica: &struct replica.hash
 * @reporter: identifies the instance
 * @delay: latency beyond the usual one, ms; 0 for a usual reply of a replica that
 *	was announced as slow
 * @at: when it was measured, ms
 */
typedef struct replica_report {
	uint64_t replica;
	uint32_t reporter;
	medlar_time_t delay;
	medlar_time_t at;
} replica_report_t;

/**
 * struct observed_replica - reports about one replica
 * @replica: &struct replica.hash; 0 if the entry is unused
 * @began_at: first late reply of the current series, ms
 * @last_at: last late reply, ms
 * @reporter: instance that reported the first of the series
 * @is_confirmed: another instance has reported one, too
 * @delay: smoothed delay of the series, ms
 * @usual_replies: usual replies since the last late one
 * @announced: it is announced as slow
 * @announced_at: when it was last announced, ms
 * @pause: its pauses
 * @pause_announced_at: when they were last announced, ms; 0 if never
 * @pause_announced_end: end of a pause that was announced, ms
 */
typedef struct observed_replica {
	uint64_t replica;
	medlar_time_t began_at;
	medlar_time_t last_at;
	uint32_t reporter;
	bool is_confirmed;
	double delay;
	unsigned usual_replies;
	bool announced;
	medlar_time_t announced_at;
	pause_t pause;
	medlar_time_t pause_announced_at;
	medlar_time_t pause_announced_end;
} observed_replica_t;

/**
 * struct observer - replicas that this instance observes
 * @replicas: entries, by the hash of the replica
 * @pauses: period at which replicas pause
 */
typedef struct observer {
	observed_replica_t replicas[OBSERVER_REPLICAS];
	pause_period_t pauses;
} observer_t;

bool observer_add(observer_t *observer, const replica_report_t *report,
		  announcement_t *announcement);
bool observer_add_pause(observer_t *observer, const replica_report_t *report,
			announcement_t *announcement);

#endif /* LIBROUTE_OBSERVER_H */
