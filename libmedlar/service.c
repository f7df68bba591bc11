/**
 * DOC: shards, replicas, policy and partition map of a service
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Capacity of the retry budget: tokens that so many queries deposit. */
#define BUDGET_CAP_QUERIES 20
#define BUDGET_CAP_MIN 8.0

/* Reserve for retries when many connections fall silent at once. */
#define RESERVE_PER_REPLICA 2.0

static void update_budget_reserve(medlar_service_t *service)
{
	medlar_budget_set_reserve(&service->budget,
				  RESERVE_PER_REPLICA *
					  (double)service->table.len);
}

static double budget_cap(const medlar_policy_t *policy)
{
	double cap = policy->extra_load * policy->shards * BUDGET_CAP_QUERIES;

	return cap > BUDGET_CAP_MIN ? cap : BUDGET_CAP_MIN;
}

static int grow_shards(medlar_service_t *service, size_t len)
{
	medlar_shard_t **shards;

	if (len <= service->shards_len)
		return MEDLAR_OK;
	if (len > MEDLAR_SHARDS_MAX)
		return MEDLAR_ERR_RANGE;
	shards = realloc(service->shards, len * sizeof(medlar_shard_t *));
	if (!shards)
		return MEDLAR_ERR_NOMEM;
	service->shards = shards;
	while (service->shards_len < len) {
		uint32_t index = (uint32_t)service->shards_len;

		shards[index] = medlar_shard_new(service, index);
		if (!shards[index])
			return MEDLAR_ERR_NOMEM;
		service->shards_len++;
	}
	return MEDLAR_OK;
}

/**
 * medlar_service_init() - initialise a service without replicas
 * @client: client of the thread that the service belongs to
 * @service: memory of the caller; must not move until medlar_service_finish()
 * @policy: its configuration; copied
 * @ops: actions; copied
 * @data: passed to the actions
 * @now: current time, ms
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE or %MEDLAR_ERR_NOMEM.
 */
int medlar_service_init(medlar_client_t *client, medlar_service_t *service,
			const medlar_policy_t *policy,
			const medlar_service_ops_t *ops, void *data,
			medlar_time_t now)
{
	int error;

	*service = (medlar_service_t){
		.policy = *policy,
		.ops = *ops,
		.data = data,
		.last_event = now,
	};
	if (policy->shards < 1 || policy->shards > MEDLAR_SHARDS_MAX)
		return MEDLAR_ERR_RANGE;
	medlar_peers_init(service);
	medlar_latency_init(&service->latency, now);
	medlar_budget_init(&service->budget, policy->extra_load,
			   budget_cap(policy));
	error = grow_shards(service, policy->shards);
	if (!error)
		error = medlar_map_init_even(&service->map, 0, policy->shards);
	if (!error)
		error = medlar_queries_init(client, service, now);
	if (error)
		medlar_service_finish(client, service);
	return error;
}

/**
 * medlar_service_finish() - release a service
 * @client: client
 * @service: a service; its queries are released without calling any action
 */
void medlar_service_finish(medlar_client_t *client, medlar_service_t *service)
{
	size_t i;

	medlar_queries_finish(client, service);
	medlar_peers_finish(client, service);
	medlar_map_finish(&service->map);
	while (service->removed) {
		medlar_replica_t *replica = service->removed;

		service->removed = replica->cold->next;
		medlar_replica_free(replica);
	}
	for (i = 0; i < service->shards_len; i++)
		medlar_shard_free(service->shards[i]);
	free(service->shards);
	medlar_table_finish(&service->table);
	service->shards = NULL;
	service->shards_len = 0;
}

/**
 * medlar_service_set_policy() - apply a new configuration
 * @client: client
 * @service: service
 * @policy: configuration; copied
 *
 * The tokens of the retry budget are kept, up to its new capacity.
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE or %MEDLAR_ERR_NOMEM.
 */
int medlar_service_set_policy(medlar_client_t *client,
			      medlar_service_t *service,
			      const medlar_policy_t *policy)
{
	const medlar_budget_t old_budget = service->budget;
	int error;

	if (policy->shards < 1)
		return MEDLAR_ERR_RANGE;
	error = grow_shards(service, policy->shards);
	if (error)
		return error;
	service->policy = *policy;
	medlar_budget_init(&service->budget, policy->extra_load,
			   budget_cap(policy));
	service->budget.tokens = old_budget.tokens < service->budget.cap
					 ? old_budget.tokens
					 : service->budget.cap;
	service->budget.reserve = old_budget.reserve;
	service->budget.reserve_cap = old_budget.reserve_cap;
	medlar_peers_update_shares(client, service, service->last_event);
	return MEDLAR_OK;
}

/**
 * medlar_service_set_map() - apply a newer partition map
 * @client: client
 * @service: service
 * @map: map; copied. Refused unless its epoch is above that of the current map
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_STALE, %MEDLAR_ERR_RANGE or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_service_set_map(medlar_client_t *client, medlar_service_t *service,
			   const medlar_map_t *map)
{
	medlar_map_t copy;
	int error;

	if (map->epoch <= service->map.epoch)
		return MEDLAR_ERR_STALE;
	error = grow_shards(service, map->shards);
	if (error)
		return error;
	error = medlar_map_copy(&copy, map);
	if (error)
		return error;
	medlar_map_finish(&service->map);
	service->map = copy;
	service->generation++;
	MEDLAR_TRACE(
		client, MEDLAR_EVENT_MAP,
		MEDLAR_TEXT("service", medlar_str_from(service->policy.name)),
		MEDLAR_NUM("epoch", map->epoch),
		MEDLAR_NUM("shards", map->shards));
	return MEDLAR_OK;
}

static bool is_terminated(const char *text, size_t size)
{
	return text[0] != '\0' && memchr(text, '\0', size);
}

static int add_replica(medlar_client_t *client, medlar_service_t *service,
		       const medlar_replica_info_t *info, uint64_t id,
		       medlar_time_t now)
{
	medlar_shard_t *shard = service->shards[info->shard];
	medlar_replica_t *replica = medlar_replica_new(info, id);
	int error = MEDLAR_ERR_NOMEM;

	if (!replica)
		return error;
	error = medlar_table_insert(&service->table, &replica->id);
	if (error)
		goto failed;
	error = medlar_shard_add(shard, replica, now);
	if (error)
		goto failed_in_table;
	if (now - shard->populated_at > service->policy.slow_start)
		medlar_replica_begin_slow_start(replica, now);
	medlar_peers_update_rank(client, service, replica, now);
	return MEDLAR_OK;

failed_in_table:
	medlar_table_remove(&service->table, id);
failed:
	medlar_replica_free(replica);
	return error;
}

static int move_replica(medlar_service_t *service, medlar_replica_t *replica,
			uint32_t shard, medlar_time_t now)
{
	medlar_shard_t *from = replica->shard;
	int error;

	if (from->index == shard)
		return MEDLAR_OK;
	medlar_shard_remove(replica);
	error = medlar_shard_add(service->shards[shard], replica, now);
	if (error)
		medlar_shard_add(from, replica, now);
	return error;
}

/**
 * medlar_service_put_replica() - add or update a replica
 * @client: client
 * @service: service
 * @info: entry of the instance list; copied. With 0 slots or connections, the
 *	values of the policy are used
 * @now: current time, ms
 *
 * An entry with an earlier incarnation than the known one is refused, and
 * a leaving replica keeps that state until a later incarnation is listed.
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_STALE, %MEDLAR_ERR_RANGE, %MEDLAR_ERR_FULL
 * or %MEDLAR_ERR_NOMEM.
 */
int medlar_service_put_replica(medlar_client_t *client,
			       medlar_service_t *service,
			       const medlar_replica_info_t *info,
			       medlar_time_t now)
{
	medlar_replica_t *replica;
	uint64_t id;
	int error;

	service->last_event = now;
	if (info->shard >= MEDLAR_SHARDS_MAX ||
	    !is_terminated(info->name, sizeof(info->name)) ||
	    !is_terminated(info->host, sizeof(info->host)))
		return MEDLAR_ERR_RANGE;
	error = grow_shards(service, (size_t)info->shard + 1);
	if (error)
		return error;
	id = medlar_str_hash(medlar_str_from(info->name), 0);
	replica = medlar_service_find_replica(service, id);
	service->generation++;
	if (!replica && service->table.len >= MEDLAR_REPLICAS_MAX)
		return MEDLAR_ERR_FULL;
	if (!replica) {
		error = add_replica(client, service, info, id, now);
		update_budget_reserve(service);
		return error;
	}
	if (info->incarnation < replica->cold->info.incarnation)
		return MEDLAR_ERR_STALE;
	error = move_replica(service, replica, info->shard, now);
	if (error)
		return error;
	medlar_replica_update(client, replica, info, now);
	medlar_peers_update_rank(client, service, replica, now);
	return MEDLAR_OK;
}

/**
 * medlar_service_remove_replica() - remove a replica
 * @client: client
 * @service: service
 * @id: id of the replica
 * @now: current time, ms
 *
 * A replica with requests in flight stays valid until the last one has ended.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOT_FOUND.
 */
int medlar_service_remove_replica(medlar_client_t *client,
				  medlar_service_t *service, uint64_t id,
				  medlar_time_t now)
{
	medlar_replica_t *replica = medlar_service_find_replica(service, id);

	if (!replica)
		return MEDLAR_ERR_NOT_FOUND;
	(void)client;
	service->last_event = now;
	replica->leaving = true;
	medlar_shard_update_active(replica);
	medlar_table_remove(&service->table, id);
	update_budget_reserve(service);
	medlar_shard_remove(replica);
	service->generation++;
	if (replica->in_flight == 0) {
		medlar_replica_free(replica);
		return MEDLAR_OK;
	}
	replica->cold->removed = true;
	replica->cold->next = service->removed;
	service->removed = replica;
	return MEDLAR_OK;
}

/**
 * medlar_service_find_replica() - look up a replica
 * @service: service
 * @id: hash of its name
 *
 * Return: the replica, or NULL.
 */
medlar_replica_t *medlar_service_find_replica(medlar_service_t *service,
					      uint64_t id)
{
	return medlar_table_find(&service->table, id);
}

/**
 * medlar_service_set_suspects() - set the table of suspect fingerprints
 * @service: service
 * @suspects: table that outlives the service, or NULL for none
 */
void medlar_service_set_suspects(medlar_service_t *service,
				 medlar_suspects_t *suspects)
{
	service->suspects = suspects;
}

/**
 * medlar_service_policy() - current configuration of a service
 * @service: service
 *
 * Return: the policy, valid until the next one is set.
 */
const medlar_policy_t *medlar_service_policy(const medlar_service_t *service)
{
	return &service->policy;
}

/**
 * medlar_service_map() - current partition map of a service
 * @service: service
 *
 * Return: the map, valid until the next one is set.
 */
const medlar_map_t *medlar_service_map(const medlar_service_t *service)
{
	return &service->map;
}

/**
 * medlar_service_generation() - number of changes to replicas and map
 * @service: service
 *
 * Return: a number that grows whenever the map changes, or a replica is listed,
 * removed, starts or stops leaving, or serves other versions. Data derived at
 * an equal generation is still valid.
 */
uint64_t medlar_service_generation(const medlar_service_t *service)
{
	return service->generation;
}

/**
 * medlar_service_shards_count() - number of shards
 * @service: service
 *
 * Return: the number; it never decreases.
 */
size_t medlar_service_shards_count(const medlar_service_t *service)
{
	return service->shards_len;
}

/**
 * medlar_service_shard() - look up a shard by its number
 * @service: service
 * @index: number of the shard
 *
 * Return: the shard, or NULL if it does not exist.
 */
medlar_shard_t *medlar_service_shard(medlar_service_t *service, uint32_t index)
{
	return index < service->shards_len ? service->shards[index] : NULL;
}
