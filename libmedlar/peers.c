/**
 * DOC: the instances that a service shares its upstreams with
 *
 * An instance counts from the moment it is heard of, and keeps counting for a
 * hold time after it is gone, since others may not know yet and its requests
 * may still run. The own share is nothing until all others have had the hold
 * time to count this instance. So whoever uses a replica is counted by all who
 * use it, and the shares add up to no more than the limit although views
 * differ. The hold covers the spread of membership and the longest request.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/**
 * struct change - an instance that starts or stops to count
 * @id: hash of its name
 * @by: 1 or -1
 */
typedef struct change {
	uint64_t id;
	int by;
} change_t;

static medlar_time_t hold_of(const medlar_service_t *service)
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
			return service->peers[i].gone == MEDLAR_TIME_NEVER;
	return false;
}

static bool has_share(const medlar_client_t *client,
		      const medlar_service_t *service, medlar_time_t now)
{
	if (service->peers_len == 0)
		return true;
	if (!is_member(client, service))
		return false;
	return service->hold == 0 || now - service->since >= hold_of(service);
}

/**
 * medlar_service_joined() - whether this instance may use the upstreams
 * @client: client
 * @service: service
 * @now: current time, ms
 *
 * Return: false until the other instances are sure to know of this one.
 */
bool medlar_service_joined(const medlar_client_t *client,
			   const medlar_service_t *service, medlar_time_t now)
{
	return has_share(client, service, now);
}

static void share(const medlar_service_t *service, medlar_replica_t *replica,
		  bool any)
{
	const medlar_replica_info_t *info = &replica->cold->info;
	const medlar_policy_t *policy = &service->policy;
	size_t instances = service->peers_len ? service->peers_len : 1;
	medlar_share_t result = { 0 };

	if (any)
		result = medlar_share_ranked(
			instances, replica->rank,
			info->slots ? info->slots : policy->slots,
			info->connections ? info->connections
					  : policy->connections);
	medlar_replica_set_share(replica, result);
}

/**
 * medlar_peers_share() - compute the shares of all replicas again
 * @client: client
 * @service: a service whose policy or peers changed
 * @now: current time, ms
 */
void medlar_peers_share(medlar_client_t *client, medlar_service_t *service,
			medlar_time_t now)
{
	bool any = has_share(client, service, now);
	size_t i;

	for (i = 0; i < service->table.cap; i++)
		if (service->table.slots[i])
			share(service, (void *)service->table.slots[i], any);
	MEDLAR_TRACE(
		client, MEDLAR_EVENT_LIMIT,
		MEDLAR_TEXT("service", medlar_str_from(service->policy.name)),
		MEDLAR_NUM("instances", service->peers_len),
		MEDLAR_NUM("joined", any));
}

/**
 * medlar_peers_rank() - compute rank and share of one replica
 * @client: client
 * @service: service of the replica
 * @replica: a new replica, or one whose capacity changed
 * @now: current time, ms
 */
void medlar_peers_rank(medlar_client_t *client, medlar_service_t *service,
		       medlar_replica_t *replica, medlar_time_t now)
{
	uint64_t own = medlar_share_weight(client->instance, replica->id);
	size_t rank = 0;
	size_t i;

	for (i = 0; i < service->peers_len; i++)
		if (medlar_share_weight(service->peers[i].id, replica->id) <
		    own)
			rank++;
	replica->rank = (uint16_t)rank;
	share(service, replica, has_share(client, service, now));
}

static void rank_again(const medlar_client_t *client, medlar_replica_t *replica,
		       const change_t *changes, size_t len)
{
	uint64_t own = medlar_share_weight(client->instance, replica->id);
	int rank = replica->rank;
	size_t i;

	for (i = 0; i < len; i++)
		if (medlar_share_weight(changes[i].id, replica->id) < own)
			rank += changes[i].by;
	replica->rank = (uint16_t)rank;
}

static void apply(medlar_client_t *client, medlar_service_t *service,
		  const change_t *changes, size_t len, medlar_time_t now)
{
	size_t i;

	for (i = 0; i < service->table.cap; i++)
		if (service->table.slots[i])
			rank_again(client, (void *)service->table.slots[i],
				   changes, len);
	medlar_peers_share(client, service, now);
}

static void set_timer(medlar_client_t *client, medlar_service_t *service,
		      medlar_time_t now)
{
	medlar_time_t hold = hold_of(service);
	medlar_time_t due = MEDLAR_TIME_NEVER;
	size_t i;

	for (i = 0; i < service->peers_len; i++)
		if (service->peers[i].gone != MEDLAR_TIME_NEVER &&
		    service->peers[i].gone + hold < due)
			due = service->peers[i].gone + hold;
	if (service->hold > 0 && service->since + hold > now &&
	    service->since + hold < due)
		due = service->since + hold;
	medlar_timer_clear(client, &service->raise);
	if (due != MEDLAR_TIME_NEVER)
		medlar_timer_set(client, &service->raise, due);
}

/* Drops the instances whose hold has passed; @changes has room for all. */
static size_t expire(medlar_service_t *service, change_t *changes,
		     medlar_time_t now)
{
	medlar_time_t hold = hold_of(service);
	size_t len = 0;
	size_t kept = 0;
	size_t i;

	for (i = 0; i < service->peers_len; i++) {
		medlar_peer_t *peer = &service->peers[i];

		if (peer->gone == MEDLAR_TIME_NEVER || now - peer->gone < hold)
			service->peers[kept++] = *peer;
		else
			changes[len++] = (change_t){ peer->id, -1 };
	}
	service->peers_len = kept;
	return len;
}

static void on_raise(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	medlar_service_t *service = data;
	change_t *changes = calloc(service->peers_len + 1, sizeof(*changes));
	size_t len;

	(void)timer;
	if (!changes) {
		medlar_timer_set(client, timer, now + MEDLAR_SECOND);
		return;
	}
	len = expire(service, changes, now);
	apply(client, service, changes, len, now);
	set_timer(client, service, now);
	free(changes);
}

/* Merges the sorted old and new lists into @out; returns the changes. */
static size_t merge(const medlar_service_t *service,
		    const medlar_peers_t *peers, medlar_peer_t *out,
		    size_t *out_len, change_t *changes, medlar_time_t now)
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
			if (peer->gone == MEDLAR_TIME_NEVER)
				peer->gone = now;
			continue;
		}
		*peer = (medlar_peer_t){ peers->ids[i], MEDLAR_TIME_NEVER };
		if (old < end && old->id == peers->ids[i])
			old++;
		else
			changes[added++] = (change_t){ peer->id, 1 };
		i++;
	}
	*out_len = len;
	return added;
}

/**
 * medlar_service_set_peers() - tell which instances share the upstreams
 * @client: client
 * @service: service
 * @peers: instances known now; copied
 * @now: current time, ms
 *
 * Shares that shrink do so at once. Until the first call the service takes
 * itself for the only instance. When memory is short the old view is kept and
 * the shares are withdrawn.
 */
void medlar_service_set_peers(medlar_client_t *client,
			      medlar_service_t *service,
			      const medlar_peers_t *peers, medlar_time_t now)
{
	size_t most = service->peers_len + peers->len + 1;
	medlar_peer_t *merged = calloc(most, sizeof(*merged));
	change_t *changes = calloc(2 * most, sizeof(*changes));
	size_t len;
	size_t count;

	if (!merged || !changes)
		goto out;
	count = merge(service, peers, merged, &len, changes, now);
	free(service->peers);
	service->peers = merged;
	merged = NULL;
	service->peers_len = len;
	service->hold = peers->hold;
	service->since = peers->since;
	count += expire(service, changes + count, now);
	apply(client, service, changes, count, now);
	set_timer(client, service, now);
out:
	free(merged);
	free(changes);
}

/**
 * medlar_peers_init() - start as the only instance
 * @service: service that is being initialised
 */
void medlar_peers_init(medlar_service_t *service)
{
	medlar_timer_init(&service->raise, on_raise, service);
}

/**
 * medlar_peers_finish() - release what is known of peers
 * @client: client
 * @service: service that is being finished
 */
void medlar_peers_finish(medlar_client_t *client, medlar_service_t *service)
{
	medlar_timer_clear(client, &service->raise);
	free(service->peers);
	service->peers = NULL;
	service->peers_len = 0;
}
