/**
 * DOC: array of the replicas of a shard, active replicas first
 */
#include <stdlib.h>

#include "internal.h"

#define SHARD_CAP_MIN 4

/**
 * medlar_shard_new() - allocate a shard without replicas
 * @service: service that it belongs to
 * @index: number of the shard
 *
 * Return: a shard, released by medlar_shard_free(); NULL when out of memory.
 */
medlar_shard_t *medlar_shard_new(medlar_service_t *service, uint32_t index)
{
	medlar_shard_t *shard = calloc(1, sizeof(*shard));

	if (!shard)
		return NULL;
	shard->service = service;
	shard->index = index;
	return shard;
}

/**
 * medlar_shard_free() - release a shard and its replicas
 * @shard: shard
 */
void medlar_shard_free(medlar_shard_t *shard)
{
	size_t i;

	for (i = 0; i < shard->len; i++)
		medlar_replica_free(shard->replicas[i]);
	free(shard->replicas);
	free(shard);
}

static bool grow_replicas(medlar_shard_t *shard)
{
	size_t cap = shard->cap ? 2 * shard->cap : SHARD_CAP_MIN;
	medlar_replica_t **replicas;

	if (shard->len < shard->cap)
		return true;
	replicas = realloc(shard->replicas, cap * sizeof(medlar_replica_t *));
	if (!replicas)
		return false;
	shard->replicas = replicas;
	shard->cap = cap;
	return true;
}

/**
 * medlar_shard_add() - add a replica to a shard
 * @shard: shard
 * @replica: a replica that is in no shard
 * @now: current time, ms
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_shard_add(medlar_shard_t *shard, medlar_replica_t *replica,
		     medlar_time_t now)
{
	if (!grow_replicas(shard))
		return MEDLAR_ERR_NOMEM;
	if (shard->len == 0)
		shard->populated_at = now;
	replica->shard = shard;
	replica->index = (uint32_t)shard->len;
	shard->replicas[shard->len++] = replica;
	medlar_shard_update_active(replica);
	return MEDLAR_OK;
}

static void swap_replicas(medlar_shard_t *shard, size_t a, size_t b)
{
	medlar_replica_t *first = shard->replicas[a];
	medlar_replica_t *second = shard->replicas[b];

	shard->replicas[a] = second;
	second->index = (uint32_t)a;
	shard->replicas[b] = first;
	first->index = (uint32_t)b;
}

/**
 * medlar_shard_update_active() - move a replica in or out of the active ones
 * @replica: a replica whose share or leaving state has changed
 */
void medlar_shard_update_active(medlar_replica_t *replica)
{
	medlar_shard_t *shard = replica->shard;
	bool active = replica->index < shard->active;
	bool wanted = !replica->leaving && replica->slots > 0;

	if (wanted && !active)
		swap_replicas(shard, replica->index, shard->active++);
	if (!wanted && active)
		swap_replicas(shard, replica->index, --shard->active);
}

/**
 * medlar_shard_remove() - remove a replica from its shard
 * @replica: a replica; keeps its pointer to the shard
 */
void medlar_shard_remove(medlar_replica_t *replica)
{
	medlar_shard_t *shard = replica->shard;

	if (replica->index < shard->active)
		swap_replicas(shard, replica->index, --shard->active);
	swap_replicas(shard, replica->index, --shard->len);
}

/**
 * medlar_shard_replicas_count() - number of replicas of a shard, in any state
 * @shard: shard
 *
 * Return: the number; upper bound of the index of medlar_shard_replica().
 */
size_t medlar_shard_replicas_count(const medlar_shard_t *shard)
{
	return shard->len;
}

/**
 * medlar_shard_replica() - replica of a shard by index
 * @shard: shard
 * @index: 0 to medlar_shard_replicas_count() - 1; changes with the state
 *
 * Return: the replica.
 */
medlar_replica_t *medlar_shard_replica(const medlar_shard_t *shard,
				       size_t index)
{
	return shard->replicas[index];
}
