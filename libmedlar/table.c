/**
 * DOC: the replicas of a service by their id
 *
 * A hash table with linear probing, at most half full. Ids are hashes already.
 */
#include <stdlib.h>

#include "internal.h"

#define TABLE_CAP_MIN 16

static size_t home(size_t cap, uint64_t id)
{
	return id & (cap - 1);
}

static void put(medlar_replica_t **table, size_t cap, medlar_replica_t *replica)
{
	size_t at = home(cap, replica->id);

	while (table[at])
		at = (at + 1) & (cap - 1);
	table[at] = replica;
}

static int grow(medlar_service_t *service)
{
	size_t cap = service->table_cap ? 2 * service->table_cap
					: TABLE_CAP_MIN;
	medlar_replica_t **table = calloc(cap, sizeof(medlar_replica_t *));
	size_t i;

	if (!table)
		return MEDLAR_ERR_NOMEM;
	for (i = 0; i < service->table_cap; i++)
		if (service->table[i])
			put(table, cap, service->table[i]);
	free(service->table);
	service->table = table;
	service->table_cap = cap;
	return MEDLAR_OK;
}

/**
 * medlar_table_insert() - add a replica that is not in the table
 * @service: service
 * @replica: replica
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_FULL or %MEDLAR_ERR_NOMEM.
 */
int medlar_table_insert(medlar_service_t *service, medlar_replica_t *replica)
{
	if (service->table_len >= MEDLAR_REPLICAS_MAX)
		return MEDLAR_ERR_FULL;
	if (2 * service->table_len >= service->table_cap && grow(service))
		return MEDLAR_ERR_NOMEM;
	put(service->table, service->table_cap, replica);
	service->table_len++;
	return MEDLAR_OK;
}

/* Position of an id, or of the free place that ends its search. */
static size_t locate(const medlar_service_t *service, uint64_t id)
{
	size_t cap = service->table_cap;
	size_t at = home(cap, id);

	while (service->table[at] && service->table[at]->id != id)
		at = (at + 1) & (cap - 1);
	return at;
}

/**
 * medlar_table_remove() - take a replica out of the table
 * @service: service
 * @id: id of the replica; unknown ones are ignored
 */
void medlar_table_remove(medlar_service_t *service, uint64_t id)
{
	size_t cap = service->table_cap;
	size_t at;

	if (cap == 0)
		return;
	at = locate(service, id);
	if (!service->table[at])
		return;
	service->table[at] = NULL;
	service->table_len--;
	for (at = (at + 1) & (cap - 1); service->table[at];
	     at = (at + 1) & (cap - 1)) {
		medlar_replica_t *moved = service->table[at];

		service->table[at] = NULL;
		put(service->table, cap, moved);
	}
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
	if (service->table_cap == 0)
		return NULL;
	return service->table[locate(service, id)];
}
