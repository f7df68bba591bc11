/**
 * DOC: the instances that share the upstreams of a service
 *
 * An instance counts as a peer as soon as it is known, and for a hold time
 * after it has left, since other instances may not know yet and its requests
 * may still run. This instance has no share until the hold time has passed
 * since it joined, so that all others count it by then. Thus every instance
 * that uses a replica is counted by all others that use it, and the shares add
 * up to no more than the limit although the views of the membership differ. The
 * hold time is the time in which a membership change reaches all instances
 * plus the longest duration of a request.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/**
 * struct peer_change - a peer that was added or removed
 * @id: hash of its name
 * @rank_delta: 1 if it was added, -1 if it was removed
 */
typedef struct peer_change {
	uint64_t id;
	int rank_delta;
} peer_change_t;

static medlar_time_t hold_time(const medlar_service_t *service)
{
	if (service->hold == 0)
		return 0;
	return service->hold + service->policy.deadline;
}

static bool is_member(const medlar_client_t *client,
		      const medlar_service_t *service)
{
	size_t i;

	for (i = 0; i < service->peers_len; i++)
		if (service->peers[i].id == client->instance)
			return service->peers[i].left_at == MEDLAR_TIME_NEVER;
	return false;
}

static bool has_share(const medlar_client_t *client,
		      const medlar_service_t *service, medlar_time_t now)
{
	if (service->peers_len == 0)
		return true;
	if (!is_member(client, service))
		return false;
	return service->hold == 0 ||
	       now - service->joined_at >= hold_time(service);
}

/**
 * medlar_service_joined() - whether this instance has a share of the upstreams
 * @client: client
 * @service: service
 * @now: current time, ms
 *
 * Return: false while other instances may not count this one yet, and if it is
 * not among the peers.
 */
bool medlar_service_joined(const medlar_client_t *client,
			   const medlar_service_t *service, medlar_time_t now)
{
	return has_share(client, service, now);
}

static void update_share(const medlar_service_t *service,
			 medlar_replica_t *replica, bool joined)
{
	const medlar_replica_info_t *info = &replica->cold->info;
	const medlar_policy_t *policy = &service->policy;
	size_t instances = service->peers_len ? service->peers_len : 1;
	medlar_share_t result = { 0 };

	if (joined)
		result = medlar_share_for_rank(
			instances, replica->rank,
			info->slots ? info->slots : policy->slots,
			info->connections ? info->connections
					  : policy->connections);
	medlar_replica_set_share(replica, result);
}

/**
 * medlar_peers_update_shares() - recompute the shares of all replicas of a
 *	service
 * @client: client
 * @service: a service whose policy or peers changed
 * @now: current time, ms
 */
void medlar_peers_update_shares(medlar_client_t *client,
				medlar_service_t *service, medlar_time_t now)
{
	bool joined = has_share(client, service, now);
	size_t i;

	for (i = 0; i < service->table.cap; i++)
		if (service->table.slots[i])
			update_share(service, (void *)service->table.slots[i],
				     joined);
	MEDLAR_TRACE(
		client, MEDLAR_EVENT_LIMIT,
		MEDLAR_TEXT("service", medlar_str_from(service->policy.name)),
		MEDLAR_NUM("instances", service->peers_len),
		MEDLAR_NUM("joined", joined));
}

/**
 * medlar_peers_update_rank() - compute the own rank and share at a replica
 * @client: client
 * @service: service of the replica
 * @replica: a new replica, or one whose capacity changed
 * @now: current time, ms
 */
void medlar_peers_update_rank(medlar_client_t *client,
			      medlar_service_t *service,
			      medlar_replica_t *replica, medlar_time_t now)
{
	uint64_t own = medlar_share_hash(client->instance, replica->id);
	size_t rank = 0;
	size_t i;

	for (i = 0; i < service->peers_len; i++)
		if (medlar_share_hash(service->peers[i].id, replica->id) < own)
			rank++;
	replica->rank = (uint16_t)rank;
	update_share(service, replica, has_share(client, service, now));
}

static void adjust_rank(const medlar_client_t *client,
			medlar_replica_t *replica, const peer_change_t *changes,
			size_t len)
{
	uint64_t own = medlar_share_hash(client->instance, replica->id);
	int rank = replica->rank;
	size_t i;

	for (i = 0; i < len; i++)
		if (medlar_share_hash(changes[i].id, replica->id) < own)
			rank += changes[i].rank_delta;
	replica->rank = (uint16_t)rank;
}

static void apply_changes(medlar_client_t *client, medlar_service_t *service,
			  const peer_change_t *changes, size_t len,
			  medlar_time_t now)
{
	size_t i;

	for (i = 0; i < service->table.cap; i++)
		if (service->table.slots[i])
			adjust_rank(client, (void *)service->table.slots[i],
				    changes, len);
	medlar_peers_update_shares(client, service, now);
}

static void set_share_timer(medlar_client_t *client, medlar_service_t *service,
			    medlar_time_t now)
{
	medlar_time_t hold = hold_time(service);
	medlar_time_t due = MEDLAR_TIME_NEVER;
	size_t i;

	for (i = 0; i < service->peers_len; i++)
		if (service->peers[i].left_at != MEDLAR_TIME_NEVER &&
		    service->peers[i].left_at + hold < due)
			due = service->peers[i].left_at + hold;
	if (service->hold > 0 && service->joined_at + hold > now &&
	    service->joined_at + hold < due)
		due = service->joined_at + hold;
	medlar_timer_clear(client, &service->share_timer);
	if (due != MEDLAR_TIME_NEVER)
		medlar_timer_set(client, &service->share_timer, due);
}

/* Removes peers whose hold time has passed; @changes has room for all. */
static size_t remove_expired(medlar_service_t *service, peer_change_t *changes,
			     medlar_time_t now)
{
	medlar_time_t hold = hold_time(service);
	size_t len = 0;
	size_t kept = 0;
	size_t i;

	for (i = 0; i < service->peers_len; i++) {
		medlar_peer_t *peer = &service->peers[i];

		if (peer->left_at == MEDLAR_TIME_NEVER ||
		    now - peer->left_at < hold)
			service->peers[kept++] = *peer;
		else
			changes[len++] = (peer_change_t){ peer->id, -1 };
	}
	service->peers_len = kept;
	return len;
}

static void on_share_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	medlar_service_t *service = data;
	peer_change_t *changes = calloc(service->peers_len + 1,
					sizeof(*changes));
	size_t len;

	(void)timer;
	if (!changes) {
		medlar_timer_set(client, timer, now + MEDLAR_SECOND);
		return;
	}
	len = remove_expired(service, changes, now);
	apply_changes(client, service, changes, len, now);
	set_share_timer(client, service, now);
	free(changes);
}

/* Merges the sorted old and new peers; returns the number of @changes. */
static size_t merge_peers(const medlar_service_t *service,
			  const medlar_peers_t *peers, medlar_peer_t *out,
			  size_t *out_len, peer_change_t *changes,
			  medlar_time_t now)
{
	const medlar_peer_t *old = service->peers;
	const medlar_peer_t *end = old + service->peers_len;
	size_t added = 0;
	size_t len = 0;
	size_t i = 0;

	while (old < end || i < peers->len) {
		medlar_peer_t *peer = &out[len++];

		if (i == peers->len || (old < end && old->id < peers->ids[i])) {
			*peer = *old++;
			if (peer->left_at == MEDLAR_TIME_NEVER)
				peer->left_at = now;
			continue;
		}
		*peer = (medlar_peer_t){ peers->ids[i], MEDLAR_TIME_NEVER };
		if (old < end && old->id == peers->ids[i])
			old++;
		else
			changes[added++] = (peer_change_t){ peer->id, 1 };
		i++;
	}
	*out_len = len;
	return added;
}

/**
 * medlar_service_set_peers() - set the instances that share the upstreams
 * @client: client
 * @service: service
 * @peers: current peers; copied
 * @now: current time, ms
 *
 * Shares shrink at once and grow after the hold time. Until the first call, the
 * service assumes that this instance is the only one. When out of memory, the
 * call has no effect.
 */
void medlar_service_set_peers(medlar_client_t *client,
			      medlar_service_t *service,
			      const medlar_peers_t *peers, medlar_time_t now)
{
	size_t cap = service->peers_len + peers->len + 1;
	medlar_peer_t *merged = calloc(cap, sizeof(*merged));
	peer_change_t *changes = calloc(2 * cap, sizeof(*changes));
	size_t len;
	size_t count;

	if (!merged || !changes)
		goto out;
	count = merge_peers(service, peers, merged, &len, changes, now);
	free(service->peers);
	service->peers = merged;
	merged = NULL;
	service->peers_len = len;
	service->hold = peers->hold;
	service->joined_at = peers->since;
	count += remove_expired(service, changes + count, now);
	apply_changes(client, service, changes, count, now);
	set_share_timer(client, service, now);
out:
	free(merged);
	free(changes);
}

/**
 * medlar_peers_init() - initialise a service with this instance only
 * @service: service that is being initialised
 */
void medlar_peers_init(medlar_service_t *service)
{
	medlar_timer_init(&service->share_timer, on_share_timer, service);
}

/**
 * medlar_peers_finish() - free the peers and clear the share timer
 * @client: client
 * @service: service that is being finished
 */
void medlar_peers_finish(medlar_client_t *client, medlar_service_t *service)
{
	medlar_timer_clear(client, &service->share_timer);
	free(service->peers);
	service->peers = NULL;
	service->peers_len = 0;
}
