/**
 * DOC: checks of answers against the guarantees of medlard
 */
#include <math.h>
#include <string.h>

#include "cli/load.h"

#define COVERAGE_TOLERANCE 1e-6

typedef struct outcome_name {
	const char *name;
	load_outcome_t outcome;
} outcome_name_t;

static const outcome_name_t outcome_names[] = {
	{ "complete", LOAD_COMPLETE }, { "partial", LOAD_PARTIAL },
	{ "ran", LOAD_RAN },	       { "not_run", LOAD_NOT_RUN },
	{ "failed", LOAD_FAILED },     { "unknown", LOAD_UNKNOWN },
};

static const char *member_text(struct json_object *object, const char *name)
{
	const char *text = json_object_get_string(
		json_object_object_get(object, name));

	return text ? text : "";
}

static uint64_t member_number(struct json_object *object, const char *name)
{
	return (uint64_t)json_object_get_int64(
		json_object_object_get(object, name));
}

static bool parse_range(struct json_object *json, medlar_range_t *range)
{
	if (!json_object_is_type(json, json_type_array) ||
	    json_object_array_length(json) != 2)
		return false;
	range->lo = (uint64_t)json_object_get_int64(
		json_object_array_get_idx(json, 0));
	range->hi = (uint64_t)json_object_get_int64(
		json_object_array_get_idx(json, 1));
	return range->lo < range->hi && range->hi <= MEDLAR_KEY_END;
}

static bool parse_ranges(struct json_object *list, medlar_ranges_t *set)
{
	medlar_range_t range;
	size_t count;
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		return false;
	count = json_object_array_length(list);
	for (i = 0; i < count; i++) {
		if (!parse_range(json_object_array_get_idx(list, i), &range) ||
		    medlar_ranges_add(set, range) != MEDLAR_OK)
			return false;
	}
	return true;
}

static bool ranges_are_equal(const medlar_ranges_t *a, const medlar_ranges_t *b)
{
	return a->len == b->len &&
	       (a->len == 0 ||
		!memcmp(a->items, b->items, a->len * sizeof(*a->items)));
}

/**
 * load_check_echo() - check that an upstream's result belongs to a request
 * @request: request
 * @result: JSON result of an upstream
 *
 * Return: true if it names the service and echoes the nonce of the request.
 */
bool load_check_echo(const load_request_t *request, struct json_object *result)
{
	struct json_object *echo = json_object_object_get(result, "echo");

	return !strcmp(member_text(result, "service"),
		       load_request_service(request)) &&
	       !strcmp(member_text(echo, "nonce"), request->nonce);
}

static void check_part(const load_request_t *request, struct json_object *part,
		       uint64_t version, medlar_ranges_t *seen,
		       load_result_t *result)
{
	struct json_object *upstream_result = json_object_object_get(part,
								     "result");
	medlar_range_t range = { 0 };

	if (!parse_range(json_object_object_get(part, "range"), &range)) {
		result->violations[LOAD_VIOLATION_MALFORMED] = true;
		return;
	}
	if (!load_check_echo(request, upstream_result))
		result->violations[LOAD_VIOLATION_OTHER_REQUEST] = true;
	if (member_number(upstream_result, "version") != version)
		result->violations[LOAD_VIOLATION_MIXED_VERSIONS] = true;
	if (member_number(upstream_result, "lo") != range.lo ||
	    member_number(upstream_result, "hi") != range.hi)
		result->violations[LOAD_VIOLATION_COVERAGE] = true;
	if (medlar_ranges_overlap(seen, range))
		result->violations[LOAD_VIOLATION_DUPLICATE] = true;
	if (medlar_ranges_add(seen, range) != MEDLAR_OK)
		result->violations[LOAD_VIOLATION_MALFORMED] = true;
}

static void check_parts(const load_request_t *request, struct json_object *json,
			medlar_ranges_t *seen, load_result_t *result)
{
	struct json_object *parts = json_object_object_get(json, "parts");
	uint64_t version = member_number(json, "version");
	size_t i;

	if (!json_object_is_type(parts, json_type_array)) {
		result->violations[LOAD_VIOLATION_MALFORMED] = true;
		return;
	}
	result->parts = json_object_array_length(parts);
	for (i = 0; i < result->parts; i++)
		check_part(request, json_object_array_get_idx(parts, i),
			   version, seen, result);
}

static void check_coverage(const load_request_t *request,
			   struct json_object *json,
			   const medlar_ranges_t *seen, load_result_t *result)
{
	medlar_ranges_t covered;
	medlar_ranges_t missing;
	double requested_width;
	double covered_width;
	size_t i;

	medlar_ranges_init(&covered);
	medlar_ranges_init(&missing);
	if (!parse_ranges(json_object_object_get(json, "covered"), &covered) ||
	    !parse_ranges(json_object_object_get(json, "missing"), &missing))
		result->violations[LOAD_VIOLATION_MALFORMED] = true;
	covered_width = (double)medlar_ranges_width(&covered);
	requested_width = covered_width + (double)medlar_ranges_width(&missing);
	for (i = 0; i < missing.len; i++) {
		if (medlar_ranges_overlap(&covered, missing.items[i]))
			result->violations[LOAD_VIOLATION_COVERAGE] = true;
	}
	if (!ranges_are_equal(&covered, seen) || requested_width == 0 ||
	    fabs(covered_width / requested_width - result->coverage) >
		    COVERAGE_TOLERANCE ||
	    (result->outcome == LOAD_COMPLETE) != (missing.len == 0) ||
	    (request->kind == LOAD_SEARCH &&
	     requested_width != (double)MEDLAR_KEY_END))
		result->violations[LOAD_VIOLATION_COVERAGE] = true;
	medlar_ranges_finish(&covered);
	medlar_ranges_finish(&missing);
}

static void check_read(const load_request_t *request, struct json_object *json,
		       load_result_t *result)
{
	medlar_ranges_t seen;

	result->coverage = json_object_get_double(
		json_object_object_get(json, "coverage"));
	result->sends = member_number(json, "sends");
	if (result->outcome != LOAD_COMPLETE && result->outcome != LOAD_PARTIAL)
		return;
	medlar_ranges_init(&seen);
	check_parts(request, json, &seen, result);
	check_coverage(request, json, &seen, result);
	medlar_ranges_finish(&seen);
}

static void check_write(const load_request_t *request, struct json_object *json,
			load_result_t *result)
{
	struct json_object *upstream_result = json_object_object_get(json,
								     "result");

	result->replayed = json_object_get_boolean(
		json_object_object_get(json, "replayed"));
	result->parts = 1;
	result->sends = result->outcome != LOAD_NOT_RUN;
	if (result->outcome == LOAD_RAN &&
	    !load_check_echo(request, upstream_result))
		result->violations[LOAD_VIOLATION_OTHER_REQUEST] = true;
}

/**
 * load_check_answer() - parse an answer and check it against its request
 * @request: request
 * @answer: body of the answer, NUL-terminated
 * @result: receives the outcome, the figures and the violations found
 */
void load_check_answer(const load_request_t *request, medlar_str_t answer,
		       load_result_t *result)
{
	struct json_object *json = json_tokener_parse(answer.ptr);
	const char *outcome = member_text(json, "outcome");
	size_t i;

	*result = (load_result_t){ .outcome = LOAD_OUTCOME_COUNT };
	for (i = 0; i < sizeof(outcome_names) / sizeof(outcome_names[0]); i++) {
		if (!strcmp(outcome_names[i].name, outcome))
			result->outcome = outcome_names[i].outcome;
	}
	if (result->outcome == LOAD_OUTCOME_COUNT) {
		result->outcome = LOAD_NO_ANSWER;
		result->violations[LOAD_VIOLATION_MALFORMED] = true;
	} else if (request->kind == LOAD_WRITE) {
		check_write(request, json, result);
	} else {
		check_read(request, json, result);
	}
	json_object_put(json);
}
