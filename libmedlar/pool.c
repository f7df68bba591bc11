/**
 * DOC: pools of attempts and queries
 *
 * Memory is allocated in chunks and kept until the service is released, so
 * that queries allocate nothing in steady state. A query keeps its arrays when
 * it returns to the pool, except for an unusually large buffer of replies.
 */
#include <stdlib.h>

#include "query.h"

#define CHUNK_ATTEMPTS 256
#define CHUNKS_GROWTH 16
#define BODIES_KEPT_BYTES_MAX ((size_t)1 << 20)

static int add_attempt_chunk(medlar_queries_t *queries)
{
	medlar_attempt_t *chunk;
	medlar_attempt_t **chunks = queries->chunks;
	size_t i;

	if (queries->chunks_len % CHUNKS_GROWTH == 0) {
		size_t cap = queries->chunks_len + CHUNKS_GROWTH;

		chunks = realloc(chunks, cap * sizeof(medlar_attempt_t *));
		if (!chunks)
			return MEDLAR_ERR_NOMEM;
		queries->chunks = chunks;
	}
	chunk = calloc(CHUNK_ATTEMPTS, sizeof(*chunk));
	if (!chunk)
		return MEDLAR_ERR_NOMEM;
	chunks[queries->chunks_len++] = chunk;
	for (i = CHUNK_ATTEMPTS; i-- > 0;)
		medlar_pool_put_attempt(queries, &chunk[i]);
	return MEDLAR_OK;
}

/**
 * medlar_pool_get_attempt() - take an attempt from the pool
 * @queries: queries of a service
 *
 * Return: an attempt with undefined members except for its generation, or NULL
 * when out of memory.
 */
medlar_attempt_t *medlar_pool_get_attempt(medlar_queries_t *queries)
{
	medlar_attempt_t *attempt;

	if (!queries->free_attempts && add_attempt_chunk(queries))
		return NULL;
	attempt = queries->free_attempts;
	queries->free_attempts = attempt->next;
	attempt->next = NULL;
	return attempt;
}

/**
 * medlar_pool_put_attempt() - return an attempt to the pool
 * @queries: queries of the service
 * @attempt: an attempt whose outcome was reported
 */
void medlar_pool_put_attempt(medlar_queries_t *queries,
			     medlar_attempt_t *attempt)
{
	attempt->state = MEDLAR_ATTEMPT_FREE;
	attempt->generation++;
	attempt->data = NULL;
	attempt->next = queries->free_attempts;
	queries->free_attempts = attempt;
}

/**
 * medlar_pool_get_query() - take a query from the pool
 * @queries: queries of a service
 *
 * Return: a query without parts, or NULL when out of memory.
 */
medlar_query_t *medlar_pool_get_query(medlar_queries_t *queries)
{
	medlar_query_t *query = queries->free_queries;

	if (query) {
		queries->free_queries = query->next;
		query->next = NULL;
		return query;
	}
	query = calloc(1, sizeof(*query));
	if (!query)
		return NULL;
	query->queries = queries;
	medlar_buf_init(&query->bodies);
	medlar_ranges_init(&query->requested);
	medlar_ranges_init(&query->covered);
	medlar_ranges_init(&query->missing);
	medlar_timer_init(&query->timer, medlar_query_on_timer, query);
	return query;
}

static void reset_query(medlar_query_t *query)
{
	medlar_query_t old = *query;

	*query = (medlar_query_t){
		.queries = old.queries,
		.parts = old.parts,
		.cap = old.cap,
		.timer = old.timer,
		.bodies = old.bodies,
		.requested = old.requested,
		.covered = old.covered,
		.missing = old.missing,
	};
	query->requested.len = 0;
	query->covered.len = 0;
	query->missing.len = 0;
	if (query->bodies.cap > BODIES_KEPT_BYTES_MAX)
		medlar_buf_finish(&query->bodies);
	else
		medlar_buf_reset(&query->bodies);
}

/**
 * medlar_pool_put_query() - return a query to the pool
 * @query: a query that is in no list and has no live attempt
 */
void medlar_pool_put_query(medlar_query_t *query)
{
	medlar_queries_t *queries = query->queries;

	reset_query(query);
	query->next = queries->free_queries;
	queries->free_queries = query;
}

static void free_query(medlar_query_t *query)
{
	free(query->parts);
	medlar_buf_finish(&query->bodies);
	medlar_ranges_finish(&query->requested);
	medlar_ranges_finish(&query->covered);
	medlar_ranges_finish(&query->missing);
	free(query);
}

/**
 * medlar_pool_finish() - release the pools of a service
 * @queries: queries of a service, all returned to the pool
 */
void medlar_pool_finish(medlar_queries_t *queries)
{
	size_t i;

	while (queries->free_queries) {
		medlar_query_t *query = queries->free_queries;

		queries->free_queries = query->next;
		free_query(query);
	}
	for (i = 0; i < queries->chunks_len; i++)
		free(queries->chunks[i]);
	free(queries->chunks);
	queries->chunks = NULL;
	queries->chunks_len = 0;
	queries->free_attempts = NULL;
}

/**
 * medlar_query_list_add() - append a query to a list
 * @list: list
 * @query: a query that is in no list
 */
void medlar_query_list_add(medlar_query_list_t *list, medlar_query_t *query)
{
	query->next = NULL;
	query->prev = list->tail;
	if (list->tail)
		list->tail->next = query;
	else
		list->head = query;
	list->tail = query;
	list->len++;
}

/**
 * medlar_query_list_remove() - remove a query from a list
 * @list: list
 * @query: a query that is in @list
 */
void medlar_query_list_remove(medlar_query_list_t *list, medlar_query_t *query)
{
	if (query->prev)
		query->prev->next = query->next;
	else
		list->head = query->next;
	if (query->next)
		query->next->prev = query->prev;
	else
		list->tail = query->prev;
	query->prev = NULL;
	query->next = NULL;
	list->len--;
}
