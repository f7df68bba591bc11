/**
 * DOC: builds the answer of a query
 *
 * Coverage is computed from the answered and the requested ranges of keys, not
 * from the number of shards. A query without any attempt is reported as not
 * run.
 */
#include "query.h"

static medlar_outcome_t choose_outcome(const medlar_query_t *query, int error)
{
	if (error == MEDLAR_ERR_CANCELLED)
		return MEDLAR_OUTCOME_CANCELLED;
	if (query->keys_answered == query->keys_asked &&
	    query->state != MEDLAR_QUERY_QUEUED)
		return MEDLAR_OUTCOME_COMPLETE;
	if (query->answer.sends == 0)
		return MEDLAR_OUTCOME_NOT_RUN;
	return query->keys_answered > 0 ? MEDLAR_OUTCOME_PARTIAL
					: MEDLAR_OUTCOME_FAILED;
}

/* Removes all parts but the answered ones; no part has a live attempt. */
static void keep_answered_parts(medlar_query_t *query)
{
	size_t done = 0;
	size_t i;

	for (i = 0; i < query->len; i++)
		if (query->parts[i].state == MEDLAR_PART_DONE)
			query->parts[done++] = query->parts[i];
	query->len = done;
}

/* When out of memory, @covered may lack ranges but never has too many. */
static int compute_coverage(medlar_query_t *query)
{
	size_t i;
	int error = MEDLAR_OK;

	query->covered.len = 0;
	for (i = 0; !error && i < query->len; i++)
		error = medlar_ranges_add(&query->covered,
					  query->parts[i].range);
	if (!error)
		error = medlar_ranges_subtract(
			&query->missing, &query->requested, &query->covered);
	return error;
}

/**
 * medlar_answer_fill() - fill in the answer of a query that has ended
 * @query: a query without live attempts
 * @error: why it ended; %MEDLAR_OK when all parts were answered
 */
void medlar_answer_fill(medlar_query_t *query, int error)
{
	medlar_answer_t *answer = &query->answer;
	int failure;

	keep_answered_parts(query);
	failure = compute_coverage(query);
	if (failure || query->bodies.error) {
		error = MEDLAR_ERR_NOMEM;
		query->len = 0;
		query->covered.len = 0;
		query->keys_answered = 0;
		(void)medlar_ranges_subtract(&query->missing, &query->requested,
					     &query->covered);
	}
	answer->outcome = choose_outcome(query, error);
	answer->error = answer->outcome == MEDLAR_OUTCOME_COMPLETE ? MEDLAR_OK
								   : error;
	answer->version = query->version;
	answer->covered = &query->covered;
	answer->missing = &query->missing;
	answer->coverage = query->keys_asked ? (double)query->keys_answered /
						       (double)query->keys_asked
					     : 0;
}

/**
 * medlar_query_answer() - the result of a query
 * @query: a query that has ended
 *
 * Return: the answer, valid until the query is finished.
 */
const medlar_answer_t *medlar_query_answer(const medlar_query_t *query)
{
	return &query->answer;
}

/**
 * medlar_query_parts_count() - number of payloads in the answer
 * @query: a query that has ended
 *
 * Return: the number; 0 before the query has ended.
 */
size_t medlar_query_parts_count(const medlar_query_t *query)
{
	return query->state == MEDLAR_QUERY_ENDED ? query->len : 0;
}

/**
 * medlar_query_part_range() - range of keys that a payload covers
 * @query: a query that has ended
 * @index: number of the payload, below medlar_query_parts_count()
 *
 * Return: the range; the ranges of different payloads are disjoint.
 */
medlar_range_t medlar_query_part_range(const medlar_query_t *query,
				       size_t index)
{
	return query->parts[index].range;
}

/**
 * medlar_query_part_body() - payload of one part of the answer
 * @query: a query that has ended
 * @index: number of the payload, below medlar_query_parts_count()
 *
 * Return: the bytes, valid until the query is finished.
 */
medlar_str_t medlar_query_part_body(const medlar_query_t *query, size_t index)
{
	const medlar_part_t *part = &query->parts[index];

	return (medlar_str_t){ query->bodies.ptr + part->body_offset,
			       part->body_len };
}

/**
 * medlar_query_params() - request of the caller
 * @query: a query that was started
 *
 * Return: the parameters, valid until the query is finished.
 */
const medlar_query_params_t *medlar_query_params(const medlar_query_t *query)
{
	return &query->params;
}

/**
 * medlar_query_service() - service that a query belongs to
 * @query: a query that was started
 *
 * Return: the service.
 */
medlar_service_t *medlar_query_service(const medlar_query_t *query)
{
	return query->queries->service;
}

/**
 * medlar_query_data() - user data of a query
 * @query: a query that was started
 *
 * Return: the pointer passed to medlar_query_start().
 */
void *medlar_query_data(const medlar_query_t *query)
{
	return query->data;
}
