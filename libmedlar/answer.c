/**
 * DOC: what a query's caller is told
 *
 * Coverage is worked out from the ranges answered and those asked, and never
 * from the number of shards. A query of which nothing was sent was not run.
 */
#include "query.h"

static medlar_outcome_t choose_outcome(const medlar_query_t *query, int error)
{
	if (error == MEDLAR_ERR_CANCELLED)
		return MEDLAR_OUTCOME_CANCELLED;
	if (query->done == query->width && query->state != MEDLAR_QUERY_QUEUED)
		return MEDLAR_OUTCOME_COMPLETE;
	if (query->answer.sends == 0)
		return MEDLAR_OUTCOME_NOT_RUN;
	return query->done > 0 ? MEDLAR_OUTCOME_PARTIAL : MEDLAR_OUTCOME_FAILED;
}

/* Moves the answered parts to the front; none has a live attempt any more. */
static void keep_answered_parts(medlar_query_t *query)
{
	size_t done = 0;
	size_t i;

	for (i = 0; i < query->len; i++)
		if (query->parts[i].state == MEDLAR_PART_DONE)
			query->parts[done++] = query->parts[i];
	query->len = done;
}

/* Out of memory, less may be stated as covered, but never more. */
static int compute_coverage(medlar_query_t *query)
{
	size_t i;
	int error = MEDLAR_OK;

	query->covered.len = 0;
	for (i = 0; !error && i < query->len; i++)
		error = medlar_ranges_add(&query->covered,
					  query->parts[i].range);
	if (!error)
		error = medlar_ranges_subtract(&query->missing, &query->asked,
					       &query->covered);
	return error;
}

/**
 * medlar_answer_fill() - fill in the answer of a query that has ended
 * @query: a query without live attempts
 * @error: why it ended; %MEDLAR_OK when nothing was left to do
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
		query->done = 0;
		(void)medlar_ranges_subtract(&query->missing, &query->asked,
					     &query->covered);
	}
	answer->outcome = choose_outcome(query, error);
	answer->error = answer->outcome == MEDLAR_OUTCOME_COMPLETE ? MEDLAR_OK
								   : error;
	answer->version = query->version;
	answer->covered = &query->covered;
	answer->missing = &query->missing;
	answer->coverage = query->width
				   ? (double)query->done / (double)query->width
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
 * medlar_query_parts() - number of payloads in the answer
 * @query: a query that has ended
 *
 * Return: how many.
 */
size_t medlar_query_parts(const medlar_query_t *query)
{
	return query->state == MEDLAR_QUERY_ENDED ? query->len : 0;
}

/**
 * medlar_query_part_range() - keys that one payload covers
 * @query: a query that has ended
 * @index: number of the payload, below medlar_query_parts()
 *
 * Return: the range; those of two payloads are disjoint.
 */
medlar_range_t medlar_query_part_range(const medlar_query_t *query,
				       size_t index)
{
	return query->parts[index].range;
}

/**
 * medlar_query_part_body() - one payload
 * @query: a query that has ended
 * @index: number of the payload, below medlar_query_parts()
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
 * medlar_query_params() - what the caller sent
 * @query: a query that was started
 *
 * Return: the parameters, valid until the query is finished.
 */
const medlar_query_params_t *medlar_query_params(const medlar_query_t *query)
{
	return &query->params;
}

/**
 * medlar_query_service() - service that a query asks
 * @query: a query that was started
 *
 * Return: the service.
 */
medlar_service_t *medlar_query_service(const medlar_query_t *query)
{
	return query->queries->service;
}

/**
 * medlar_query_data() - the program's own data of a query
 * @query: a query that was started
 *
 * Return: what was given to medlar_query_start().
 */
void *medlar_query_data(const medlar_query_t *query)
{
	return query->data;
}
