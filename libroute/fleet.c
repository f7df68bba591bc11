/**
 * DOC: services and their replicas, as the directory has them
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libroute/fleet.h"

/* Latency of a service of which nothing is known yet, ms. */
#define FIRST_ESTIMATE 5.0
/* Part of a replica's connections that instances use. */
#define CONNS_USED 0.95

/**
 * fleet_init() - start without services
 * @fleet: memory of the caller
 * @zone: availability zone of this instance
 * @spend_limits: budget of extra sends
 * @on_remove: told when a replica leaves the directory
 * @data: passed to @on_remove
 */
void fleet_init(fleet_t *fleet, medlar_str_t zone,
		const spend_limits_t *spend_limits,
		void (*on_remove)(replica_t *, void *), void *data)
{
	*fleet = (fleet_t){ .instances = 1,
			    .spend_limits = *spend_limits,
			    .on_remove = on_remove,
			    .data = data };
	(void)snprintf(fleet->zone, sizeof(fleet->zone), "%.*s", (int)zone.len,
		       zone.ptr);
	TAILQ_INIT(&fleet->services);
	TAILQ_INIT(&fleet->replicas);
}

/**
 * fleet_finish() - remove all replicas and services
 * @fleet: fleet; no flight may be under way
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
}

/**
 * fleet_service() - find a service, or add it
 * @fleet: fleet
 * @name: its name
 * @now: current time
 *
 * Return: the service, or NULL for want of memory or for a name that is too
 * long.
 */
fleet_service_t *fleet_service(fleet_t *fleet, medlar_str_t name,
			       medlar_time_t now)
{
	fleet_service_t *service;

	TAILQ_FOREACH(service, &fleet->services, link)
		if (medlar_str_equal(medlar_str_from(service->name), name))
			return service;
	if (name.len > FLEET_NAME_MAX)
		return NULL;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	memcpy(service->name, name.ptr, name.len);
	service->estimate = FIRST_ESTIMATE;
	service->pauses = &fleet->pauses;
	TAILQ_INIT(&service->replicas);
	spend_init(&service->spend, &fleet->spend_limits, fleet_share(fleet),
		   now);
	TAILQ_INSERT_TAIL(&fleet->services, service, link);
	return service;
}

/**
 * fleet_find() - find a replica of the directory
 * @fleet: fleet
 * @id: its name
 *
 * Return: the replica, or NULL.
 */
replica_t *fleet_find(fleet_t *fleet, medlar_str_t id)
{
	replica_t *replica;

	TAILQ_FOREACH(replica, &fleet->replicas, by_id)
		if (medlar_str_equal(medlar_str_from(replica->id), id))
			return replica;
	return NULL;
}

/**
 * replica_hold() - keep a replica's memory
 * @replica: replica
 */
void replica_hold(replica_t *replica)
{
	replica->refs++;
}

/**
 * replica_release() - give up a hold
 * @replica: replica
 */
void replica_release(replica_t *replica)
{
	if (--replica->refs == 0)
		free(replica);
}

/**
 * fleet_remove() - take a replica out at once
 * @fleet: fleet
 * @replica: a replica of the directory; freed once nobody holds it
 */
void fleet_remove(fleet_t *fleet, replica_t *replica)
{
	replica->removed = true;
	replica->info.draining = true;
	TAILQ_REMOVE(&fleet->replicas, replica, by_id);
	TAILQ_REMOVE(&replica->service->replicas, replica, link);
	replica->service->replicas_len--;
	fleet->replicas_len--;
	if (fleet->on_remove)
		fleet->on_remove(replica, fleet->data);
	replica_release(replica);
}

static bool same_start(const replica_t *replica, const replica_info_t *info)
{
	return replica->info.ip == info->ip &&
	       replica->info.port == info->port &&
	       replica->info.started == info->started &&
	       medlar_str_equal(medlar_str_from(replica->service->name),
				info->service);
}

static int add(fleet_t *fleet, const replica_info_t *info, medlar_time_t now)
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
	replica->service = service;
	replica->refs = 1;
	replica->info = *info;
	replica->info.id = replica->info.service = replica->info.zone =
		(medlar_str_t){ 0 };
	replica->near = medlar_str_equal(medlar_str_from(fleet->zone),
					 info->zone);
	replica->warm_until = now + info->warmup_left;
	replica->estimate = service->estimate;
	replica->estimated = now;
	TAILQ_INIT(&replica->flights);
	TAILQ_INSERT_TAIL(&service->replicas, replica, link);
	TAILQ_INSERT_TAIL(&fleet->replicas, replica, by_id);
	service->replicas_len++;
	fleet->replicas_len++;
	return MEDLAR_OK;
}

/**
 * fleet_update() - take over an entry of the directory
 * @fleet: fleet
 * @info: the entry
 * @now: current time
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE or %MEDLAR_ERR_NOMEM.
 */
int fleet_update(fleet_t *fleet, const replica_info_t *info, medlar_time_t now)
{
	replica_t *replica = fleet_find(fleet, info->id);

	if (replica && !same_start(replica, info)) {
		fleet_remove(fleet, replica);
		replica = NULL;
	}
	if (!replica)
		return add(fleet, info, now);
	replica->lapsed_until = 0;
	replica->info.draining = info->draining;
	replica->info.slots = info->slots;
	replica->warm_until = now + info->warmup_left;
	return MEDLAR_OK;
}

/**
 * fleet_lapse() - remove a replica later, unless it is back by then
 * @replica: replica whose entry vanished while the directory was away
 * @until: when it counts as gone
 */
void fleet_lapse(replica_t *replica, medlar_time_t until)
{
	if (!replica->lapsed_until)
		replica->lapsed_until = until;
}

/**
 * fleet_sweep() - remove the replicas that did not come back
 * @fleet: fleet
 * @now: current time
 */
void fleet_sweep(fleet_t *fleet, medlar_time_t now)
{
	replica_t *replica = TAILQ_FIRST(&fleet->replicas);

	while (replica) {
		replica_t *next = TAILQ_NEXT(replica, by_id);

		if (replica->lapsed_until && replica->lapsed_until <= now)
			fleet_remove(fleet, replica);
		replica = next;
	}
}

/**
 * fleet_conns_max() - connections this instance may open to a replica
 * @fleet: fleet
 * @service: service of the replica
 *
 * Return: an equal part of what the replica accepts, at least 1.
 */
unsigned fleet_conns_max(const fleet_t *fleet, const fleet_service_t *service)
{
	unsigned instances = fleet->instances ? fleet->instances : 1;
	double part = CONNS_USED * service->connections_max / instances;

	return part < 1 ? 1 : (unsigned)part;
}

/**
 * fleet_share() - part of what instances share that is this one's
 * @fleet: fleet
 *
 * Return: 0 to 1.
 */
double fleet_share(const fleet_t *fleet)
{
	return 1.0 / (fleet->instances ? fleet->instances : 1);
}

static bool has_near(const fleet_service_t *service)
{
	const replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link)
		if (replica->near && !replica->info.draining)
			return true;
	return false;
}

/**
 * fleet_near() - how much of the fleet is in this availability zone
 * @fleet: fleet
 *
 * Return: services with a replica in the zone, in percent of those with any.
 */
unsigned fleet_near(const fleet_t *fleet)
{
	const fleet_service_t *service;
	unsigned served = 0;
	unsigned near = 0;

	TAILQ_FOREACH(service, &fleet->services, link) {
		if (service->replicas_len == 0)
			continue;
		served++;
		near += has_near(service);
	}
	return served ? 100 * near / served : 0;
}
