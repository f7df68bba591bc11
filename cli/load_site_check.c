/**
 * DOC: checks of a router's answers against what tests/fakes/fake-site replies
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/load_site.h"
#include "libroute/records.h"
#include "platform/headers.h"

/* The configuration of fake-site: records of a merged answer, least coverage. */
#define TOP_RECORDS ((size_t)5)
#define COVERAGE_MIN 0.75
#define SHARDS_MAX 64
#define PROOFS_MAX 4096
#define STATUS_OK 200
#define STATUS_REFUSED 503

/* Tells the fault at once, for the logs of a soak. */
static void find(const load_request_t *request, load_result_t *result,
		 load_fault_t fault, const char *what)
{
	result->faults[fault] = true;
	fprintf(stderr, "wrong %s: %s\n", request->key, what);
}

static void check_order(const load_request_t *request,
			const h1_message_t *reply, load_result_t *result)
{
	answer_head_t head;

	headers_read_answer(reply, &head);
	result->outcome = LOAD_RAN;
	if (!medlar_str_equal(medlar_buf_str(&reply->body),
			      medlar_buf_str(&request->body)) ||
	    !medlar_str_equal(head.request_id, medlar_str_from(request->key)))
		find(request, result, LOAD_CROSSED,
		     "an order got another one's answer");
}

/* Proofs look like shard-2-1.ID; each shard may be there once. */
static size_t check_proofs(const load_request_t *request, medlar_str_t proofs,
			   load_result_t *result)
{
	bool seen[SHARDS_MAX] = { false };
	char text[PROOFS_MAX];
	char *rest = NULL;
	size_t count = 0;

	(void)snprintf(text, sizeof(text), "%.*s", (int)proofs.len,
		       proofs.ptr ? proofs.ptr : "");
	for (char *one = strtok_r(text, ", ", &rest); one;
	     one = strtok_r(NULL, ", ", &rest), count++) {
		unsigned shard = SHARDS_MAX;
		unsigned replica;
		int at = 0;

		if (sscanf(one, "shard-%u-%u.%n", &shard, &replica, &at) != 2 ||
		    shard >= SHARDS_MAX || strcmp(one + at, request->key) != 0)
			find(request, result, LOAD_CROSSED,
			     "a proof is not of this request");
		else if (seen[shard])
			find(request, result, LOAD_DUPLICATE,
			     "a shard is there twice");
		else
			seen[shard] = true;
	}
	return count;
}

static void check_records(const load_request_t *request,
			  const medlar_buf_t *body, load_result_t *result)
{
	if (body->len != TOP_RECORDS * RECORD_LEN)
		find(request, result, LOAD_MALFORMED, "records are missing");
	for (size_t i = RECORD_LEN; i < body->len; i += RECORD_LEN)
		if (memcmp(body->ptr + i - RECORD_LEN, body->ptr + i,
			   RECORD_LEN) < 0)
			find(request, result, LOAD_MALFORMED,
			     "records are out of order");
}

static void check_search(const load_request_t *request,
			 const h1_message_t *reply, load_result_t *result)
{
	size_t shards = request->load->options->shards;
	answer_head_t head;

	headers_read_answer(reply, &head);
	result->outcome = head.missing ? LOAD_PARTIAL : LOAD_COMPLETE;
	result->parts = check_proofs(request, head.proofs, result);
	result->sends = result->parts;
	result->coverage = (double)result->parts / (double)shards;
	if (head.missing < 0 ||
	    result->parts + (size_t)head.missing != shards ||
	    result->coverage < COVERAGE_MIN)
		find(request, result, LOAD_COVERAGE, "parts are miscounted");
	check_records(request, &reply->body, result);
}

/**
 * load_site_check() - tell what an answer says and whether it can be true
 * @request: request
 * @reply: a whole answer to it
 * @result: receives the outcome and the faults
 */
void load_site_check(const load_request_t *request, const h1_message_t *reply,
		     load_result_t *result)
{
	if (reply->status == STATUS_OK && request->kind == LOAD_WRITE) {
		check_order(request, reply, result);
	} else if (reply->status == STATUS_OK) {
		check_search(request, reply, result);
	} else if (reply->status == STATUS_REFUSED) {
		result->outcome = LOAD_NOT_RUN;
	} else {
		result->outcome = LOAD_UNKNOWN;
		if (reply->status < 500)
			find(request, result, LOAD_MALFORMED,
			     "refused though it is proper");
	}
}
