/**
 * DOC: exchange of measurements of replicas between instances
 */
#include "router/observations.h"

/* Bounds the messages of an instance whose replicas are all slow. */
#define REPORTS_PER_TICK_MAX 16

/* Identifies this instance as a reporter; no address of another one is 0. */
#define REPORTER_SELF 0

static void on_report(const replica_t *replica, medlar_time_t delay, void *data)
{
	observations_t *observations = data;
	const replica_report_t report = { .replica = replica->hash,
					  .reporter = REPORTER_SELF,
					  .delay = delay,
					  .at = observations->loop->now };
	const peer_instance_t *observer;

	if (observations->reports_left == 0)
		return;
	observations->reports_left--;
	observer = peers_owner_of(observations->peers, replica->hash);
	if (!observer) {
		observations_add_report(observations, &report);
		return;
	}
	observations->stats->counts[STAT_REPORTS_SENT]++;
	peers_send_report(observations->peers, observer, &report);
}

/**
 * observations_init() - start to report late replies of the fleet
 * @observations: uninitialised memory
 * @loop: event loop
 * @log: log of replicas that are announced by this instance
 * @stats: counters
 * @fleet: replicas; must not be used after @observations is gone
 * @peers: other instances
 */
void observations_init(observations_t *observations, loop_t *loop,
		       log_batch_t *log, stats_t *stats, fleet_t *fleet,
		       peers_t *peers)
{
	*observations = (observations_t){ .loop = loop,
					  .log = log,
					  .stats = stats,
					  .fleet = fleet,
					  .peers = peers };
	fleet->on_report = on_report;
	fleet->report_data = observations;
}

static medlar_str_t announced_state(const announcement_t *announcement)
{
	if (announcement->period)
		return MEDLAR_STR("pausing");
	return announcement->delay ? MEDLAR_STR("slow") : MEDLAR_STR("usual");
}

static void log_announcement(observations_t *observations,
			     const announcement_t *announcement)
{
	const replica_t *replica = fleet_find_by_hash(observations->fleet,
						      announcement->replica);
	medlar_str_t id;

	if (!replica)
		return;
	id = medlar_str_from(replica->id);
	if (!log_batch_admits(observations->log, id, observations->loop->now))
		return;
	LOG_LINE(observations->log->log, LOG_LEVEL_INFO, "replica",
		 MEDLAR_TEXT("id", id),
		 MEDLAR_TEXT("state", announced_state(announcement)),
		 MEDLAR_NUM("delay_ms", announcement->delay),
		 MEDLAR_NUM("period_ms", announcement->period));
}

static void announce(observations_t *observations,
		     const announcement_t *announcement)
{
	log_announcement(observations, announcement);
	observations_add_announcement(observations, announcement);
}

/**
 * observations_add_report() - take a report about a replica that is observed
 * @observations: exchange of measurements
 * @report: report of this or another instance
 */
void observations_add_report(observations_t *observations,
			     const replica_report_t *report)
{
	observer_t *observer = &observations->observer;
	announcement_t announcement;

	if (observer_add(observer, report, &announcement))
		announce(observations, &announcement);
	if (observer_add_pause(observer, report, &announcement))
		announce(observations, &announcement);
}

/**
 * observations_add_announcement() - take an announcement, and pass it on if new
 * @observations: exchange of measurements
 * @announcement: announcement of this or another instance; ignored if the replica
 *	is unknown
 */
void observations_add_announcement(observations_t *observations,
				   const announcement_t *announcement)
{
	replica_t *replica = fleet_find_by_hash(observations->fleet,
						announcement->replica);

	if (!replica || !replica_accept_announcement(replica, announcement,
						     observations->loop->now))
		return;
	observations->stats->counts[STAT_ANNOUNCEMENTS]++;
	announcements_add(&observations->announcements, announcement);
}

/**
 * observations_tick() - pass on the announcements that were new since the last
 *	call
 * @observations: exchange of measurements
 */
void observations_tick(observations_t *observations)
{
	observations->reports_left = REPORTS_PER_TICK_MAX;
	peers_send_announcements(observations->peers,
				 &observations->announcements);
	observations->announcements.len = 0;
}
