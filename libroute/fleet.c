/**
 * DOC: services and replicas listed in the directory
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libroute/fleet.h"

/* Assumed latency of a service before the first reply. */
#define INITIAL_LATENCY_MS 5.0
/* Share of a replica's connections that all instances together may use. */
#define CONNS_SHARE 0.95

/**
 * fleet_init() - initialise a fleet without services
 * @fleet: fleet to initialise
 * @zone: availability zone of this instance
 * @limits: limits of the retry budgets
 * @on_remove: called when a replica leaves the directory; may be NULL
 * @data: passed to @on_remove
 */
void fleet_init(fleet_t *fleet, medlar_str_t zone, const retry_limits_t *limits,
		void (*on_remove)(replica_t *, void *), void *data)
{
	*fleet = (fleet_t){ .instances = 1,
			    .retry_limits = *limits,
			    .on_remove = on_remove,
			    .data = data };
	(void)snprintf(fleet->zone, sizeof(fleet->zone), "%.*s", (int)zone.len,
		       zone.ptr);
	TAILQ_INIT(&fleet->services);
	TAILQ_INIT(&fleet->replicas);
	TAILQ_INIT(&fleet->limited);
}

/**
 * fleet_finish() - remove all replicas and services
 * @fleet: fleet; no request may be in flight
 */
void fleet_finish(fleet_t *fleet)
{
	fleet_service_t *service;

	while (!TAILQ_EMPTY(&fleet->replicas))
		fleet_remove(fleet, TAILQ_FIRST(&fleet->replicas));
	while ((service = TAILQ_FIRST(&fleet->services))) {
		TAILQ_REMOVE(&fleet->services, service, link);
		free(service);
	}
	hash_index_finish(&fleet->services_by_name);
	hash_index_finish(&fleet->replicas_by_id);
	hash_index_finish(&fleet->replicas_by_hash);
	availability_finish(&fleet->availability);
}

static fleet_service_t *add_service(fleet_t *fleet, medlar_str_t name,
				    uint64_t key, medlar_time_t now)
{
	fleet_service_t *service;

	if (name.len > FLEET_NAME_MAX)
		return NULL;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	if (hash_index_put(&fleet->services_by_name, key, (uintptr_t)service)) {
		free(service);
		return NULL;
	}
	memcpy(service->name, name.ptr, name.len);
	service->latency_estimate = INITIAL_LATENCY_MS;
	service->fleet = fleet;
	TAILQ_INIT(&service->replicas);
	retry_budget_init(&service->retry_budget, &fleet->retry_limits,
			  fleet_share(fleet), now);
	TAILQ_INSERT_TAIL(&fleet->services, service, link);
	return service;
}

/**
 * fleet_service() - find a service, or add it
 * @fleet: fleet
 * @name: name of the service
 * @now: current time, ms
 *
 * Return: the service, or NULL if memory is exhausted or the name too long.
 */
fleet_service_t *fleet_service(fleet_t *fleet, medlar_str_t name,
			       medlar_time_t now)
{
	uint64_t key = medlar_str_hash(name, 0);
	uintptr_t found = hash_index_find(&fleet->services_by_name, key);

	return found ? (fleet_service_t *)found
		     : add_service(fleet, name, key, now);
}

/**
 * fleet_find() - find a replica by name
 * @fleet: fleet
 * @id: name of the replica
 *
 * Return: the replica, or NULL if it is not in the directory.
 */
replica_t *fleet_find(fleet_t *fleet, medlar_str_t id)
{
	return (replica_t *)hash_index_find(&fleet->replicas_by_id,
					    medlar_str_hash(id, 0));
}

/**
 * fleet_find_by_hash() - find a replica by the hash of its name and start
 * @fleet: fleet
 * @hash: hash, as in &struct replica.hash
 *
 * Return: the replica, or NULL if it is not in the directory.
 */
replica_t *fleet_find_by_hash(fleet_t *fleet, uint64_t hash)
{
	return (replica_t *)hash_index_find(&fleet->replicas_by_hash, hash);
}

/**
 * replica_find_listed() - find the entry that is listed for a start of a replica
 * @replica: replica, possibly removed from the fleet
 *
 * Return: @replica, or the entry with which it was listed again.
 */
replica_t *replica_find_listed(replica_t *replica)
{
	replica_t *listed = fleet_find_by_hash(replica->service->fleet,
					       replica->hash);

	return listed ? listed : replica;
}

/**
 * replica_ref() - take a reference
 * @replica: replica
 */
void replica_ref(replica_t *replica)
{
	replica->refs++;
}

/**
 * replica_unref() - drop a reference
 * @replica: replica; freed with the last reference
 */
void replica_unref(replica_t *replica)
{
	if (--replica->refs == 0)
		free(replica);
}

static uint64_t id_key(const replica_t *replica)
{
	return medlar_str_hash(medlar_str_from(replica->id), 0);
}

static int add_to_indexes(fleet_t *fleet, replica_t *replica)
{
	if (hash_index_put(&fleet->replicas_by_id, id_key(replica),
			   (uintptr_t)replica))
		return MEDLAR_ERR_NOMEM;
	if (hash_index_put(&fleet->replicas_by_hash, replica->hash,
			   (uintptr_t)replica)) {
		hash_index_remove(&fleet->replicas_by_id, id_key(replica));
		return MEDLAR_ERR_NOMEM;
	}
	return MEDLAR_OK;
}

/* Keeps the order by hash after @replica has left its service. */
static void give_up_position(const replica_t *replica)
{
	replica_t *other;

	TAILQ_FOREACH(other, &replica->service->replicas, link)
		if (other->position > replica->position)
			other->position--;
}

/**
 * fleet_remove() - remove a replica at once
 * @fleet: fleet
 * @replica: replica in the directory; freed with the last reference
 */
void fleet_remove(fleet_t *fleet, replica_t *replica)
{
	replica->removed = true;
	replica->info.draining = true;
	hash_index_remove(&fleet->replicas_by_id, id_key(replica));
	hash_index_remove(&fleet->replicas_by_hash, replica->hash);
	TAILQ_REMOVE(&fleet->replicas, replica, fleet_link);
	if (replica->availability.limit_said_at) {
		TAILQ_REMOVE(&fleet->limited, replica, limited_link);
		availability_keep(&fleet->availability, &replica->availability);
	}
	TAILQ_REMOVE(&replica->service->replicas, replica, link);
	give_up_position(replica);
	replica->service->replicas_len--;
	fleet->replicas_len--;
	if (fleet->on_remove)
		fleet->on_remove(replica, fleet->data);
	replica_unref(replica);
}

static bool is_same_start(const replica_t *replica, const replica_info_t *info)
{
	return replica->info.ip == info->ip &&
	       replica->info.port == info->port &&
	       replica->info.started == info->started &&
	       medlar_str_equal(medlar_str_from(replica->service->name),
				info->service);
}

static void restore_availability(fleet_t *fleet, replica_t *replica)
{
	const availability_t *kept = availability_find(&fleet->availability,
						       replica->hash);

	if (kept)
		replica->availability = *kept;
	if (replica->availability.limit_said_at)
		TAILQ_INSERT_TAIL(&fleet->limited, replica, limited_link);
}

/* Keeps the order by hash as @replica joins its service. */
static void take_position(replica_t *replica)
{
	replica_t *other;

	TAILQ_FOREACH(other, &replica->service->replicas, link) {
		if (other->hash > replica->hash)
			other->position++;
		else
			replica->position++;
	}
}

static int add_replica(fleet_t *fleet, const replica_info_t *info,
		       medlar_time_t now)
{
	fleet_service_t *service = fleet_service(fleet, info->service, now);
	replica_t *replica;

	if (!service || info->id.len > FLEET_NAME_MAX)
		return MEDLAR_ERR_RANGE;
	replica = calloc(1, sizeof(*replica));
	if (!replica)
		return MEDLAR_ERR_NOMEM;
	memcpy(replica->id, info->id.ptr, info->id.len);
	replica->hash = medlar_str_hash(info->id, (uint64_t)info->started);
	if (add_to_indexes(fleet, replica)) {
		free(replica);
		return MEDLAR_ERR_NOMEM;
	}
	restore_availability(fleet, replica);
	replica->service = service;
	replica->refs = 1;
	replica->info = *info;
	replica->info.id = replica->info.service = replica->info.zone =
		(medlar_str_t){ 0 };
	replica->is_local = medlar_str_equal(medlar_str_from(fleet->zone),
					     info->zone);
	replica->warmup_until = now + info->warmup_left;
	replica->latency_estimate = service->latency_estimate;
	replica->estimated_at = now;
	TAILQ_INIT(&replica->inflight);
	take_position(replica);
	TAILQ_INSERT_TAIL(&service->replicas, replica, link);
	TAILQ_INSERT_TAIL(&fleet->replicas, replica, fleet_link);
	service->replicas_len++;
	fleet->replicas_len++;
	return MEDLAR_OK;
}

/**
 * fleet_update() - add a replica, or update it from its directory entry
 * @fleet: fleet
 * @info: directory entry; a changed address, service or start time makes it a
 *	new replica
 * @now: current time, ms
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE if a name is too long or the service
 * cannot be added, or %MEDLAR_ERR_NOMEM.
 */
int fleet_update(fleet_t *fleet, const replica_info_t *info, medlar_time_t now)
{
	replica_t *replica = fleet_find(fleet, info->id);

	if (replica && !is_same_start(replica, info)) {
		fleet_remove(fleet, replica);
		replica = NULL;
	}
	if (!replica)
		return add_replica(fleet, info, now);
	replica->expires_at = 0;
	replica->info.draining = info->draining;
	replica->info.slots = info->slots;
	replica->warmup_until = now + info->warmup_left;
	return MEDLAR_OK;
}

/**
 * fleet_set_expiry() - schedule the removal of a replica
 * @replica: replica whose entry vanished while the directory was unavailable;
 *	fleet_update() revokes its removal
 * @until: when to remove it, ms; an earlier call takes precedence
 */
void fleet_set_expiry(replica_t *replica, medlar_time_t until)
{
	if (!replica->expires_at)
		replica->expires_at = until;
}

/**
 * fleet_remove_expired() - remove replicas whose removal is due
 * @fleet: fleet
 * @now: current time, ms
 */
void fleet_remove_expired(fleet_t *fleet, medlar_time_t now)
{
	replica_t *replica = TAILQ_FIRST(&fleet->replicas);

	while (replica) {
		replica_t *next = TAILQ_NEXT(replica, fleet_link);

		if (replica->expires_at && replica->expires_at <= now)
			fleet_remove(fleet, replica);
		replica = next;
	}
}

/**
 * fleet_conns_max() - connections that this instance may open to a replica
 * @fleet: fleet
 * @service: service of the replica
 *
 * Return: an equal share of what the replica accepts, at least 1.
 */
unsigned fleet_conns_max(const fleet_t *fleet, const fleet_service_t *service)
{
	unsigned instances = fleet->instances ? fleet->instances : 1;
	double share = CONNS_SHARE * service->connections_max / instances;

	return share < 1 ? 1 : (unsigned)share;
}

/**
 * fleet_share() - share of this instance in limits common to all instances
 * @fleet: fleet
 *
 * Return: share, above 0 up to 1.
 */
double fleet_share(const fleet_t *fleet)
{
	return 1.0 / (fleet->instances ? fleet->instances : 1);
}

static bool has_local_replica(const fleet_service_t *service)
{
	const replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link)
		if (replica->is_local && !replica_is_leaving(replica))
			return true;
	return false;
}

/**
 * fleet_local_percent() - share of services with a replica in this availability
 *	zone
 * @fleet: fleet
 *
 * Return: percentage of the services that have replicas; 0 if none has.
 */
unsigned fleet_local_percent(const fleet_t *fleet)
{
	const fleet_service_t *service;
	unsigned served = 0;
	unsigned near = 0;

	TAILQ_FOREACH(service, &fleet->services, link) {
		if (service->replicas_len == 0)
			continue;
		served++;
		near += has_local_replica(service);
	}
	return served ? 100 * near / served : 0;
}
