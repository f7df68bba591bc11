/**
 * DOC: state shared by all queries of one service
 */
#include <stdlib.h>

#include "query.h"

/**
 * medlar_queries_init() - allocate the query state of a service
 * @client: client
 * @service: service; its queries member is set to the new state
 * @now: current time
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_queries_init(medlar_client_t *client, medlar_service_t *service,
			medlar_time_t now)
{
	medlar_queries_t *queries = calloc(1, sizeof(*queries));

	(void)client;
	if (!queries)
		return MEDLAR_ERR_NOMEM;
	queries->service = service;
	queries->map_epoch = service->map.epoch;
	(void)now;
	queries->tuning = (medlar_query_tuning_t){
		.hedges = true,
		.budget = true,
		.canaries = true,
		.trials = true,
		.admission = true,
	};
	medlar_hedge_reset(queries);
	medlar_timer_init(&queries->queue_timer, medlar_part_queue_on_timer,
			  queries);
	service->queries = queries;
	return MEDLAR_OK;
}

static void finish_queries(medlar_client_t *client, medlar_query_list_t *list)
{
	while (list->head) {
		medlar_query_t *query = list->head;

		medlar_timer_clear(client, &query->timer);
		medlar_query_list_remove(list, query);
		medlar_pool_put_query(query);
	}
}

/**
 * medlar_queries_finish() - release all queries without calling any action
 * @client: client
 * @service: service
 */
void medlar_queries_finish(medlar_client_t *client, medlar_service_t *service)
{
	medlar_queries_t *queries = service->queries;
	unsigned i;

	if (!queries)
		return;
	medlar_timer_clear(client, &queries->queue_timer);
	finish_queries(client, &queries->running);
	finish_queries(client, &queries->ended);
	for (i = 0; i < MEDLAR_LANES; i++)
		finish_queries(client, &queries->admission.lanes[i]);
	medlar_part_queues_finish(queries);
	medlar_pool_finish(queries);
	free(queries->entry_marks);
	free(queries);
	service->queries = NULL;
}

/**
 * medlar_service_set_tuning() - switch mechanisms of queries on and off
 * @service: service
 * @tuning: mechanisms to be switched on; copied
 */
void medlar_service_set_tuning(medlar_service_t *service,
			       const medlar_query_tuning_t *tuning)
{
	service->queries->tuning = *tuning;
}

/**
 * medlar_service_stats() - query counters of a service
 * @service: service
 *
 * Return: the counters, valid as long as the service.
 */
const medlar_query_stats_t *
medlar_service_stats(const medlar_service_t *service)
{
	return &service->queries->stats;
}
