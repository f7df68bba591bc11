/**
 * DOC: what replicas say in their replies about taking requests
 */
#include "libroute/availability.h"
#include "libroute/fleet.h"

/*
 * A hold begins with the iteration of the loop in which the reply is read, which
 * may have begun shortly before the replica sent it.
 */
#define HOLD_MARGIN_MS 50
/* Time after a hold in which a replica gets no more requests than it can run. */
#define RETURN_RAMP_MS 500

/**
 * availability_finish() - release all memory
 * @log: log
 */
void availability_finish(availability_log_t *log)
{
	hash_index_finish(&log->by_replica);
}

static availability_t *find_kept(availability_log_t *log, uint64_t replica)
{
	uintptr_t position = hash_index_find(&log->by_replica, replica);

	return position ? &log->kept[position - 1] : NULL;
}

/**
 * availability_find() - find what a start of a replica has said
 * @log: log
 * @replica: &struct replica.hash
 *
 * Return: its word, valid until the next call of availability_keep(); NULL if it
 * has said nothing, or too long ago.
 */
const availability_t *availability_find(availability_log_t *log,
					uint64_t replica)
{
	return find_kept(log, replica);
}

/**
 * availability_keep() - keep what a start of a replica has said
 * @log: log
 * @availability: replaces what it has said before, or the oldest entry; if memory
 *	is short, nothing is kept
 */
void availability_keep(availability_log_t *log,
		       const availability_t *availability)
{
	availability_t *kept = find_kept(log, availability->replica);
	size_t position = log->kept_added % AVAILABILITY_KEPT_MAX;

	if (!kept) {
		kept = &log->kept[position];
		if (kept->replica)
			hash_index_remove(&log->by_replica, kept->replica);
		kept->replica = 0;
		if (hash_index_put(&log->by_replica, availability->replica,
				   position + 1))
			return;
		log->kept_added++;
	}
	*kept = *availability;
}

/* Keeps the word of a replica that takes no requests until @until. */
static void keep_and_report(replica_t *replica, medlar_time_t until)
{
	fleet_t *fleet = replica->service->fleet;

	replica->availability.replica = replica->hash;
	availability_keep(&fleet->availability, &replica->availability);
	if (fleet->on_unavailable)
		fleet->on_unavailable(replica, until, fleet->unavailable_data);
}

/**
 * replica_announce_leaving() - record that a replica says that it is leaving
 * @replica: replica that replied, possibly removed from the fleet
 * @now: current time, ms
 *
 * This start of it gets no more requests.
 */
void replica_announce_leaving(replica_t *replica, medlar_time_t now)
{
	replica_t *listed = replica_find_listed(replica);

	if (listed->availability.leaving_since)
		return;
	listed->availability.leaving_since = now;
	keep_and_report(listed, MEDLAR_TIME_NEVER);
}

/**
 * replica_hold() - record that a replica wants no requests for some time
 * @replica: replica that replied, possibly removed from the fleet
 * @duration: how long, ms; a longer hold that was recorded before is kept
 * @now: current time, ms
 */
void replica_hold(replica_t *replica, medlar_time_t duration, medlar_time_t now)
{
	replica_t *listed = replica_find_listed(replica);
	medlar_time_t until = now + duration + HOLD_MARGIN_MS;

	if (until <= listed->availability.held_until)
		return;
	listed->availability.held_until = until;
	keep_and_report(listed, until);
}

/**
 * replica_is_leaving() - check whether a replica shuts down
 * @replica: replica
 *
 * Return: whether its directory entry or one of its replies says so.
 */
bool replica_is_leaving(const replica_t *replica)
{
	return replica->info.draining || replica->availability.leaving_since;
}

/* What waited for the end of the hold is not sent all at once. */
static bool is_returning_full(const replica_t *replica, medlar_time_t now)
{
	medlar_time_t held_until = replica->availability.held_until;

	return held_until && now < held_until + RETURN_RAMP_MS &&
	       replica->inflight_len >= replica->info.slots;
}

/**
 * replica_is_unavailable() - check whether a replica said that it takes no requests
 * @replica: replica
 * @now: current time, ms
 *
 * Return: whether it is leaving, or wants no requests for some time.
 */
bool replica_is_unavailable(const replica_t *replica, medlar_time_t now)
{
	return replica_is_leaving(replica) ||
	       now < replica->availability.held_until;
}

/**
 * replica_takes_requests() - check whether a replica may be sent a request now
 * @replica: replica
 * @now: current time, ms
 *
 * Return: false if it is leaving, wants no requests, or has just begun to take
 * them again and has enough.
 */
bool replica_takes_requests(const replica_t *replica, medlar_time_t now)
{
	return !replica_is_unavailable(replica, now) &&
	       !is_returning_full(replica, now);
}

/**
 * fleet_available_at() - find out when a service takes requests
 * @service: service
 * @now: current time, ms
 *
 * Return: @now if a replica takes requests or soon will, else the earliest end of a
 * hold in ms; %MEDLAR_TIME_NEVER if all replicas are leaving.
 */
medlar_time_t fleet_available_at(const fleet_service_t *service,
				 medlar_time_t now)
{
	medlar_time_t earliest = MEDLAR_TIME_NEVER;
	const replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link) {
		medlar_time_t held_until = replica->availability.held_until;

		if (replica_is_leaving(replica))
			continue;
		if (held_until <= now)
			return now;
		if (held_until < earliest)
			earliest = held_until;
	}
	return earliest;
}
