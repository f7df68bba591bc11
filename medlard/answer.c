/**
 * DOC: JSON bodies and HTTP statuses of answers
 */
#include <inttypes.h>

#include <http_parser.h>

#include "medlard/answer.h"

static const char *const outcome_names[] = {
	[MEDLAR_OUTCOME_PENDING] = "pending",
	[MEDLAR_OUTCOME_COMPLETE] = "complete",
	[MEDLAR_OUTCOME_PARTIAL] = "partial",
	[MEDLAR_OUTCOME_NOT_RUN] = "not_run",
	[MEDLAR_OUTCOME_FAILED] = "failed",
	[MEDLAR_OUTCOME_UNKNOWN] = "unknown",
	[MEDLAR_OUTCOME_CANCELLED] = "cancelled",
};

static const struct {
	int error;
	unsigned status;
} statuses[] = {
	{ MEDLAR_ERR_SYNTAX, HTTP_STATUS_BAD_REQUEST },
	{ MEDLAR_ERR_FIELD, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_TYPE, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_RANGE, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_MISSING, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_EXPIRED, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_CONVICTED, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_CONFLICT, HTTP_STATUS_CONFLICT },
	{ MEDLAR_ERR_AUTH, HTTP_STATUS_UNAUTHORIZED },
	{ MEDLAR_ERR_NOT_FOUND, HTTP_STATUS_NOT_FOUND },
	{ MEDLAR_ERR_TOO_LARGE, HTTP_STATUS_PAYLOAD_TOO_LARGE },
	{ MEDLAR_ERR_OVERLOAD, HTTP_STATUS_TOO_MANY_REQUESTS },
	{ MEDLAR_ERR_FULL, HTTP_STATUS_TOO_MANY_REQUESTS },
};

/**
 * answer_outcome_name() - get the name of an outcome in answers and logs
 * @outcome: outcome
 *
 * Return: constant string.
 */
const char *answer_outcome_name(medlar_outcome_t outcome)
{
	return outcome_names[outcome];
}

/**
 * answer_error_status() - get the HTTP status for a request that was not run
 * @error: reason, a %MEDLAR_ERR_ code
 *
 * Return: HTTP status; 503 for errors that have no specific one.
 */
unsigned answer_error_status(int error)
{
	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		if (statuses[i].error == error)
			return statuses[i].status;
	return HTTP_STATUS_SERVICE_UNAVAILABLE;
}

/**
 * answer_status() - get the HTTP status of the answer to a query
 * @answer: answer
 *
 * Return: HTTP status.
 */
unsigned answer_status(const medlar_answer_t *answer)
{
	if (answer->outcome == MEDLAR_OUTCOME_COMPLETE ||
	    answer->outcome == MEDLAR_OUTCOME_PARTIAL)
		return HTTP_STATUS_OK;
	if (answer->outcome == MEDLAR_OUTCOME_FAILED)
		return answer->error == MEDLAR_ERR_DEADLINE
			       ? HTTP_STATUS_GATEWAY_TIMEOUT
			       : HTTP_STATUS_BAD_GATEWAY;
	return answer_error_status(answer->error);
}

static void add_error(medlar_buf_t *out, int error, const char *field)
{
	medlar_buf_add(out, MEDLAR_STR("{\"code\":"));
	medlar_buf_json_string(out, medlar_str_from(medlar_error_name(error)));
	medlar_buf_add(out, MEDLAR_STR(",\"text\":"));
	medlar_buf_json_string(out, medlar_str_from(medlar_error_text(error)));
	if (field) {
		medlar_buf_add(out, MEDLAR_STR(",\"field\":"));
		medlar_buf_json_string(out, medlar_str_from(field));
	}
	medlar_buf_add(out, MEDLAR_STR("}"));
}

/**
 * answer_refusal() - append the body for a request that was not executed
 * @out: buffer
 * @error: reason, a %MEDLAR_ERR_ code
 * @field: name of the invalid field, or an empty string
 */
void answer_refusal(medlar_buf_t *out, int error, const char *field)
{
	medlar_buf_add(out, MEDLAR_STR("{\"outcome\":\"not_run\",\"error\":"));
	add_error(out, error, field);
	medlar_buf_add(out, MEDLAR_STR("}\n"));
}

static void add_range(medlar_buf_t *out, medlar_range_t range)
{
	medlar_buf_printf(out, "[%" PRIu64 ",%" PRIu64 "]", range.lo, range.hi);
}

static void add_ranges(medlar_buf_t *out, const char *name,
		       const medlar_ranges_t *ranges)
{
	medlar_buf_printf(out, ",\"%s\":[", name);
	for (size_t i = 0; ranges && i < ranges->len; i++) {
		if (i > 0)
			medlar_buf_add(out, MEDLAR_STR(","));
		add_range(out, ranges->items[i]);
	}
	medlar_buf_add(out, MEDLAR_STR("]"));
}

static void add_parts(medlar_buf_t *out, const medlar_query_t *query)
{
	size_t len = medlar_query_parts_count(query);
	const char *separator = "";

	medlar_buf_add(out, MEDLAR_STR(",\"parts\":["));
	for (size_t i = 0; i < len; i++) {
		medlar_str_t body = medlar_query_part_body(query, i);

		if (body.len == 0)
			continue;
		medlar_buf_printf(out, "%s{\"range\":", separator);
		add_range(out, medlar_query_part_range(query, i));
		medlar_buf_add(out, MEDLAR_STR(",\"result\":"));
		medlar_buf_add(out, body);
		medlar_buf_add(out, MEDLAR_STR("}"));
		separator = ",";
	}
	medlar_buf_add(out, MEDLAR_STR("]"));
}

static bool has_parts(const medlar_answer_t *answer)
{
	return answer->outcome == MEDLAR_OUTCOME_COMPLETE ||
	       answer->outcome == MEDLAR_OUTCOME_PARTIAL;
}

/**
 * answer_query() - append the body of the answer to a query
 * @out: buffer
 * @query: query that has ended
 * @now: current time, ms
 */
void answer_query(medlar_buf_t *out, const medlar_query_t *query,
		  medlar_time_t now)
{
	const medlar_answer_t *answer = medlar_query_answer(query);
	medlar_time_t left = medlar_query_params(query)->deadline - now;

	medlar_buf_printf(out,
			  "{\"outcome\":\"%s\",\"version\":%" PRIu32
			  ",\"epoch\":%" PRIu64 ",\"coverage\":%.9g",
			  answer_outcome_name(answer->outcome), answer->version,
			  answer->epoch, answer->coverage);
	add_ranges(out, "covered", answer->covered);
	add_ranges(out, "missing", answer->missing);
	medlar_buf_printf(out,
			  ",\"elapsed_ms\":%" PRId64
			  ",\"remaining_ms\":%" PRId64 ",\"sends\":%" PRIu32,
			  now - answer->started, left > 0 ? left : 0,
			  answer->sends);
	if (has_parts(answer))
		add_parts(out, query);
	else
		medlar_buf_add(out, MEDLAR_STR(",\"parts\":[]"));
	medlar_buf_add(out, MEDLAR_STR(",\"error\":"));
	if (answer->error)
		add_error(out, answer->error, NULL);
	else
		medlar_buf_add(out, MEDLAR_STR("null"));
	medlar_buf_add(out, MEDLAR_STR("}\n"));
}

/**
 * answer_write() - append the body of the answer to a write
 * @out: buffer
 * @answer: answer
 */
void answer_write(medlar_buf_t *out, const medlar_write_answer_t *answer)
{
	static const char *const names[] = {
		[MEDLAR_WRITE_UNKNOWN] = "unknown",
		[MEDLAR_WRITE_RAN] = "ran",
		[MEDLAR_WRITE_NOT_RUN] = "not_run",
	};

	medlar_buf_printf(
		out, "{\"outcome\":\"%s\",\"result\":", names[answer->outcome]);
	medlar_buf_add(out, answer->result.len > 0 ? answer->result
						   : MEDLAR_STR("null"));
	medlar_buf_printf(out, ",\"replayed\":%s,\"error\":",
			  answer->replayed ? "true" : "false");
	if (answer->error)
		add_error(out, answer->error, NULL);
	else
		medlar_buf_add(out, MEDLAR_STR("null"));
	medlar_buf_add(out, MEDLAR_STR("}\n"));
}
