/**
 * DOC: weak stand-ins for functions of query.c
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
