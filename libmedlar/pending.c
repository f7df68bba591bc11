/**
 * DOC: weak stand-ins for functions of query.c and map.c
 */
#include "internal.h"

__attribute__((weak)) int medlar_queries_init(medlar_client_t *client,
					      medlar_service_t *service,
					      medlar_time_t now)
{
	(void)client;
	(void)service;
	(void)now;
	return MEDLAR_OK;
}

__attribute__((weak)) void medlar_queries_finish(medlar_client_t *client,
						 medlar_service_t *service)
{
	(void)client;
	(void)service;
}

__attribute__((weak)) int medlar_map_init_even(medlar_map_t *map,
					       uint64_t epoch, uint32_t shards)
{
	*map = (medlar_map_t){ .epoch = epoch, .shards = shards };
	return MEDLAR_OK;
}

__attribute__((weak)) int medlar_map_copy(medlar_map_t *to,
					  const medlar_map_t *from)
{
	*to = *from;
	return MEDLAR_OK;
}

__attribute__((weak)) void medlar_map_finish(medlar_map_t *map)
{
	*map = (medlar_map_t){ 0 };
}
