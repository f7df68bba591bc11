/**
 * DOC: limits that replicas name for all instances together
 *
 * A limit holds as long as the replies of a replica name it. All sends count against
 * the part of this instance in it: first attempts, retries and hedges, and those that
 * the replica turns away.
 */
#include <math.h>

#include "libroute/fleet.h"

/* Time without news after which a limit, or its end, is forgotten. */
#define LIMIT_KEPT_MS (15 * MEDLAR_SECOND)
/* News that is hardly newer may be the own news, told by others. */
#define NEWS_MARGIN_MS 100
/* Least limit that counts, requests a second: its end must be noticed. */
#define LIMIT_MIN 0.25

static void report(const replica_t *replica, limit_event_t event, double before)
{
	const fleet_t *fleet = replica->service->fleet;

	if (fleet->on_limit)
		fleet->on_limit(replica, event, before, fleet->limit_data);
}

static rate_share_t own_share(const replica_t *replica)
{
	const fleet_service_t *service = replica->service;
	const fleet_t *fleet = service->fleet;
	const rate_ring_t ring = {
		.instances = fleet->instances ? fleet->instances : 1,
		.instance = fleet->position,
		.replicas = service->replicas_len ? service->replicas_len : 1,
		.replica = replica->position,
	};

	return rate_share(replica->availability.limit, &ring);
}

/* Time that passed under the old limit is not counted at the rate of the new one. */
static void settle_bucket(replica_t *replica, medlar_time_t now)
{
	const rate_share_t share = own_share(replica);

	if (replica->availability.limit > 0)
		replica->limit_bucket.level = rate_bucket_level(
			&replica->limit_bucket, &share, now);
	else
		replica->limit_bucket = (rate_bucket_t){ 0 };
	replica->limit_bucket.filled_at = now;
}

/* News goes to the head of the list: other instances are told of it first. */
static void set_limit(replica_t *replica, double limit, medlar_time_t at,
		      limit_event_t event, medlar_time_t now)
{
	fleet_t *fleet = replica->service->fleet;
	availability_t *said = &replica->availability;
	double before = said->limit;
	bool has_changed = before != limit;
	bool is_listed = said->limit_said_at != 0;

	if (!replica->removed && (has_changed || !is_listed)) {
		if (is_listed)
			TAILQ_REMOVE(&fleet->limited, replica, limited_link);
		TAILQ_INSERT_HEAD(&fleet->limited, replica, limited_link);
	}
	if (has_changed)
		settle_bucket(replica, now);
	said->replica = replica->hash;
	said->limit = limit;
	said->limit_said_at = at;
	if (!has_changed)
		return;
	availability_keep(&fleet->availability, said);
	report(replica, event, before);
}

/*
 * Replies may arrive in another order than they were sent. A lower limit holds at
 * once; a higher one, or none, only if the request was sent after the last news.
 */
static void take_reply(replica_t *replica, double limit, medlar_time_t sent_at,
		       medlar_time_t now)
{
	replica_t *listed = replica_find_listed(replica);
	const availability_t *said = &listed->availability;
	bool is_lower = limit && (!said->limit || limit <= said->limit);

	if (!limit && !said->limit_said_at)
		return;
	if (said->limit_said_at && !is_lower && sent_at <= said->limit_said_at)
		return;
	set_limit(listed, limit, now, LIMIT_FROM_REPLY, now);
}

/**
 * replica_name_limit() - record the limit that a reply names
 * @replica: replica that replied, possibly removed from the fleet
 * @limit: requests a second that it takes from all instances, 0 or more
 * @sent_at: when the request was sent, ms
 * @now: current time, ms
 */
void replica_name_limit(replica_t *replica, double limit, medlar_time_t sent_at,
			medlar_time_t now)
{
	take_reply(replica, limit < LIMIT_MIN ? LIMIT_MIN : limit, sent_at,
		   now);
}

/**
 * replica_name_no_limit() - record that a reply names no limit
 * @replica: replica that replied, possibly removed from the fleet
 * @sent_at: when the request was sent, ms
 * @now: current time, ms
 */
void replica_name_no_limit(replica_t *replica, medlar_time_t sent_at,
			   medlar_time_t now)
{
	take_reply(replica, 0, sent_at, now);
}

/**
 * replica_reject_limit() - record that a reply names a limit that is no number
 * @replica: replica that replied, possibly removed from the fleet
 *
 * What the replica has said before still holds. Reported once for each start of it.
 */
void replica_reject_limit(replica_t *replica)
{
	replica_t *listed = replica_find_listed(replica);

	if (listed->availability.malformed_limit)
		return;
	listed->availability.replica = listed->hash;
	listed->availability.malformed_limit = true;
	availability_keep(&listed->service->fleet->availability,
			  &listed->availability);
	report(listed, LIMIT_MALFORMED, listed->availability.limit);
}

static medlar_time_t room_at(const replica_t *replica, int priority,
			     medlar_time_t now)
{
	rate_share_t share;

	if (replica->availability.limit <= 0)
		return now;
	share = own_share(replica);
	return rate_bucket_ready_at(&replica->limit_bucket, &share, priority,
				    now);
}

/**
 * replica_has_room() - check whether the limit of a replica allows a request now
 * @replica: replica
 * @priority: priority of the request, 0 is the highest
 * @now: current time, ms
 *
 * Return: true also if it names no limit.
 */
bool replica_has_room(const replica_t *replica, int priority, medlar_time_t now)
{
	return room_at(replica, priority, now) <= now;
}

/**
 * replica_room_left() - share of a burst that the limit of a replica allows now
 * @replica: replica
 * @now: current time, ms
 *
 * Return: 0 to 1; 1 if it names no limit.
 */
double replica_room_left(const replica_t *replica, medlar_time_t now)
{
	rate_share_t share;
	double level;

	if (replica->availability.limit <= 0)
		return 1;
	share = own_share(replica);
	if (share.burst <= 0)
		return 0;
	level = rate_bucket_level(&replica->limit_bucket, &share, now);
	return fmin(fmax(level / share.burst, 0), 1);
}

static void update_use(replica_t *replica, medlar_time_t now)
{
	limit_use_update(&replica->limit_use, replica->availability.limit,
			 replica->service->fleet->instances, now);
}

/**
 * replica_take_room() - count a request against the limit of a replica
 * @replica: replica that it is sent to
 * @priority: priority of the request, 0 is the highest
 * @now: current time, ms
 *
 * Return: whether it was counted; false if the replica names no limit.
 */
bool replica_take_room(replica_t *replica, int priority, medlar_time_t now)
{
	rate_share_t share;

	if (replica->availability.limit <= 0)
		return false;
	share = own_share(replica);
	if (rate_bucket_take(&replica->limit_bucket, &share, priority, now))
		limit_use_add_sent(&replica->limit_use);
	return true;
}

/**
 * replica_return_room() - take back a request that was counted but not sent
 * @replica: replica
 */
void replica_return_room(replica_t *replica)
{
	rate_bucket_return(&replica->limit_bucket);
}

/**
 * fleet_room_at() - when the limits of a service allow a request
 * @service: service
 * @priority: priority of the request, 0 is the highest
 * @now: current time, ms
 *
 * Return: @now if a replica that takes requests has room, or none takes any; else
 * the earliest time in ms; %MEDLAR_TIME_NEVER if this instance has no part in any
 * of the limits.
 */
medlar_time_t fleet_room_at(const fleet_service_t *service, int priority,
			    medlar_time_t now)
{
	medlar_time_t earliest = MEDLAR_TIME_NEVER;
	bool is_limited = false;
	const replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link) {
		medlar_time_t at;

		if (replica_is_unavailable(replica, now))
			continue;
		at = room_at(replica, priority, now);
		if (at <= now)
			return now;
		is_limited = true;
		if (at < earliest)
			earliest = at;
	}
	return is_limited ? earliest : now;
}

static bool may_have_spare(const replica_t *replica, medlar_time_t now)
{
	return replica->availability.limit > 0 &&
	       replica->limit_bucket.granted == 0 &&
	       !replica_is_unavailable(replica, now);
}

/*
 * Draws a replica by its limit. The draw that is left decides on the request: were
 * the one with the most spare preferred, errors of the averages would add up.
 */
static replica_t *draw_replica(fleet_service_t *service, double *draw,
			       medlar_time_t now)
{
	replica_t *drawn = NULL;
	replica_t *replica;
	double sum = 0;

	TAILQ_FOREACH(replica, &service->replicas, link)
		if (may_have_spare(replica, now))
			sum += replica->availability.limit;
	*draw *= sum;
	TAILQ_FOREACH(replica, &service->replicas, link) {
		if (!may_have_spare(replica, now))
			continue;
		drawn = replica;
		if (*draw < replica->availability.limit)
			break;
		*draw -= replica->availability.limit;
	}
	if (drawn)
		*draw /= drawn->availability.limit;
	return drawn;
}

static double spare_of(replica_t *replica, medlar_time_t now)
{
	update_use(replica, now);
	return limit_use_spare(&replica->limit_use, replica->availability.limit,
			       replica->service->fleet->instances, now);
}

/* Replica that is certain to take the request, or else one that is drawn. */
static replica_t *find_spare(fleet_service_t *service, double *draw,
			     medlar_time_t now)
{
	replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link)
		if (may_have_spare(replica, now) &&
		    replica->limit_use.spare >= 1 &&
		    spare_of(replica, now) >= 1)
			return replica;
	return draw_replica(service, draw, now);
}

/**
 * fleet_use_spare() - decide on a request for which no replica has room
 * @service: service, all of whose replicas that take requests name limits
 * @draw: random number, 0 to 1
 * @now: current time, ms
 *
 * Other instances may not use their parts in the limits. To be called once for each
 * request and service.
 *
 * Return: whether a replica has room now for this request.
 */
bool fleet_use_spare(fleet_service_t *service, double draw, medlar_time_t now)
{
	replica_t *replica = find_spare(service, &draw, now);
	bool is_granted;

	if (!replica)
		return false;
	is_granted = draw < spare_of(replica, now);
	limit_use_add_wanted(&replica->limit_use);
	if (!is_granted)
		return false;
	limit_use_take_spare(&replica->limit_use);
	replica->limit_bucket.granted++;
	return true;
}

/**
 * fleet_list_limits() - list what other instances should know of limits
 * @fleet: fleet
 * @out: set to the news that was told longest ago, or is new
 * @max: length of @out
 *
 * Return: number of entries in @out. They go to the end of the list, so that the
 * next call lists others.
 */
size_t fleet_list_limits(fleet_t *fleet, limit_news_t *out, size_t max)
{
	replica_t *last = TAILQ_LAST(&fleet->limited, replica_list);
	replica_t *replica;
	size_t len = 0;

	while (len < max && (replica = TAILQ_FIRST(&fleet->limited))) {
		out[len++] = (limit_news_t){
			replica->hash,
			replica->availability.limit,
			replica->availability.limit_said_at,
			replica->limit_use.mean,
		};
		TAILQ_REMOVE(&fleet->limited, replica, limited_link);
		TAILQ_INSERT_TAIL(&fleet->limited, replica, limited_link);
		if (replica == last)
			break;
	}
	return len;
}

/**
 * fleet_accept_limit() - take what another instance knows of the limit of a replica
 * @fleet: fleet
 * @news: news; ignored if it is old, or if the replica is unknown
 * @now: current time, ms
 */
void fleet_accept_limit(fleet_t *fleet, const limit_news_t *news,
			medlar_time_t now)
{
	replica_t *replica = fleet_find_by_hash(fleet, news->replica);
	medlar_time_t known_at;

	if (!replica || news->said_at > now ||
	    now - news->said_at > LIMIT_KEPT_MS)
		return;
	limit_use_hear(&replica->limit_use, &news->use, now);
	known_at = replica->availability.limit_said_at;
	if (known_at ? news->said_at < known_at + NEWS_MARGIN_MS
		     : news->limit <= 0)
		return;
	set_limit(replica, news->limit, news->said_at, LIMIT_FROM_PEER, now);
}

static void forget_limit(replica_t *replica)
{
	fleet_t *fleet = replica->service->fleet;

	if (replica->availability.limit > 0)
		report(replica, LIMIT_FORGOTTEN, replica->availability.limit);
	TAILQ_REMOVE(&fleet->limited, replica, limited_link);
	replica->availability.limit = 0;
	replica->availability.limit_said_at = 0;
	availability_keep(&fleet->availability, &replica->availability);
}

/**
 * fleet_update_limits() - count the time that has passed, and forget limits of which
 *	nobody has heard for long
 * @fleet: fleet
 * @now: current time, ms
 *
 * To be called often: an instance that gains a part in a limit, as instances or
 * replicas come or leave, has earned nothing in the time before.
 */
void fleet_update_limits(fleet_t *fleet, medlar_time_t now)
{
	replica_t *replica = TAILQ_FIRST(&fleet->limited);

	while (replica) {
		replica_t *next = TAILQ_NEXT(replica, limited_link);

		settle_bucket(replica, now);
		update_use(replica, now);
		if (now - replica->availability.limit_said_at > LIMIT_KEPT_MS)
			forget_limit(replica);
		replica = next;
	}
}
