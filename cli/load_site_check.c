/**
 * DOC: checks of routers' answers, for the replies of tests/fakes/fake-site
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/load_site.h"
#include "libroute/records.h"
#include "platform/headers.h"

/* Merge size and minimum coverage in the configuration of fake-site. */
#define MERGED_RECORDS ((size_t)5)
#define COVERAGE_MIN 0.75
#define SHARDS_MAX 64
#define SIGNATURES_SIZE 4096
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/* Records a violation and prints it at once, for the log of a soak test. */
static void report_violation(const load_request_t *request,
			     load_result_t *result, load_violation_t violation,
			     const char *text)
{
	result->violations[violation] = true;
	fprintf(stderr, "wrong %s: %s\n", request->key, text);
}

static void check_order(const load_request_t *request,
			const h1_message_t *reply, load_result_t *result)
{
	answer_head_t head;

	headers_parse_answer(reply, &head);
	result->outcome = LOAD_RAN;
	if (!medlar_str_equal(medlar_buf_str(&reply->body),
			      medlar_buf_str(&request->body)) ||
	    !medlar_str_equal(head.request_id, medlar_str_from(request->key)))
		report_violation(
			request, result, LOAD_VIOLATION_OTHER_REQUEST,
			"the answer to an order belongs to another request");
}

/*
 * Checks the signatures of the parts, such as shard-2-1.ID (shard, replica,
 * request id); each shard may occur once. Returns their number.
 */
static size_t check_signatures(const load_request_t *request,
			       medlar_str_t signatures, load_result_t *result)
{
	bool seen[SHARDS_MAX] = { false };
	char text[SIGNATURES_SIZE];
	char *rest = NULL;
	size_t count = 0;

	(void)snprintf(text, sizeof(text), "%.*s", (int)signatures.len,
		       signatures.ptr ? signatures.ptr : "");
	for (char *signature = strtok_r(text, ", ", &rest); signature;
	     signature = strtok_r(NULL, ", ", &rest), count++) {
		unsigned shard = SHARDS_MAX;
		unsigned replica;
		int id_offset = 0;

		if (sscanf(signature, "shard-%u-%u.%n", &shard, &replica,
			   &id_offset) != 2 ||
		    shard >= SHARDS_MAX ||
		    strcmp(signature + id_offset, request->key) != 0)
			report_violation(
				request, result, LOAD_VIOLATION_OTHER_REQUEST,
				"a part stamp belongs to another request");
		else if (seen[shard])
			report_violation(request, result,
					 LOAD_VIOLATION_DUPLICATE,
					 "two parts come from the same shard");
		else
			seen[shard] = true;
	}
	return count;
}

static void check_records(const load_request_t *request,
			  const medlar_buf_t *body, load_result_t *result)
{
	if (body->len != MERGED_RECORDS * RECORD_LEN)
		report_violation(request, result, LOAD_VIOLATION_MALFORMED,
				 "the number of records is wrong");
	for (size_t i = RECORD_LEN; i < body->len; i += RECORD_LEN)
		if (memcmp(body->ptr + i - RECORD_LEN, body->ptr + i,
			   RECORD_LEN) < 0)
			report_violation(request, result,
					 LOAD_VIOLATION_MALFORMED,
					 "records are out of order");
}

static void check_search(const load_request_t *request,
			 const h1_message_t *reply, load_result_t *result)
{
	size_t shards = request->load->options->shards;
	answer_head_t head;

	headers_parse_answer(reply, &head);
	result->outcome = head.missing ? LOAD_PARTIAL : LOAD_COMPLETE;
	result->parts = check_signatures(request, head.signatures, result);
	result->sends = result->parts;
	result->coverage = (double)result->parts / (double)shards;
	if (head.missing < 0 ||
	    result->parts + (size_t)head.missing != shards ||
	    result->coverage < COVERAGE_MIN)
		report_violation(
			request, result, LOAD_VIOLATION_COVERAGE,
			"the coverage is too low or the number of missing "
			"parts is wrong");
	check_records(request, &reply->body, result);
}

/**
 * load_site_check() - parse a router's answer and check it against its request
 * @request: request
 * @reply: complete answer to the request
 * @result: receives the outcome, the figures and the violations found
 */
void load_site_check(const load_request_t *request, const h1_message_t *reply,
		     load_result_t *result)
{
	if (reply->status == STATUS_OK && request->kind == LOAD_WRITE) {
		check_order(request, reply, result);
	} else if (reply->status == STATUS_OK) {
		check_search(request, reply, result);
	} else if (reply->status == STATUS_UNAVAILABLE) {
		result->outcome = LOAD_NOT_RUN;
	} else {
		result->outcome = LOAD_UNKNOWN;
		if (reply->status < 500)
			report_violation(request, result,
					 LOAD_VIOLATION_MALFORMED,
					 "a valid request was rejected");
	}
}
