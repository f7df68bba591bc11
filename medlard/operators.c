/**
 * DOC: endpoints for operators: questionnaire and suspect requests
 */
#include <json.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/answer.h"
#include "medlard/clock.h"
#include "medlard/operators.h"
#include "medlard/worker.h"

/* Time within which a submission must be stored, ms. */
#define SUBMIT_TIMEOUT (10 * MEDLAR_SECOND)
#define BODY_DEPTH_MAX 20
#define RADIX_DECIMAL 10
#define RADIX_HEX 16

/**
 * struct revision_read - a request that reads revisions from the store
 * @request: request
 * @wanted: number of the revision to read next; 0 for the newest
 * @entries_read: number of history entries requested so far
 */
typedef struct revision_read {
	request_t *request;
	uint64_t wanted;
	uint64_t entries_read;
} revision_read_t;

/**
 * struct submit_call - a request that submits answers to the questionnaire
 * @request: request; NULL once it has been answered
 * @submission: submission in libmedlar
 * @answer_errors: errors in the answers, JSON objects separated by commas
 */
typedef struct submit_call {
	request_t *request;
	medlar_submission_t submission;
	medlar_buf_t answer_errors;
} submit_call_t;

/* HTTP statuses that differ from those of answer_error_status(). */
static const struct {
	int error;
	unsigned status;
} statuses[] = {
	{ MEDLAR_OK, HTTP_STATUS_OK },
	{ MEDLAR_ERR_SYNTAX, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_PROTOCOL, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_CLASH, HTTP_STATUS_UNPROCESSABLE_ENTITY },
	{ MEDLAR_ERR_EXPIRED, HTTP_STATUS_GONE },
	{ MEDLAR_ERR_STORE_UNKNOWN, HTTP_STATUS_BAD_GATEWAY },
};

static unsigned http_status(int error)
{
	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		if (statuses[i].error == error)
			return statuses[i].status;
	return answer_error_status(error);
}

static void reply_error(request_t *request, int error, const char *field)
{
	request_refuse(request, http_status(error), error, field);
}

static int store_error(const medlar_store_reply_t *reply)
{
	if (reply->status == MEDLAR_STORE_OK)
		return MEDLAR_OK;
	if (reply->status == MEDLAR_STORE_MISSING)
		return MEDLAR_ERR_NOT_FOUND;
	return MEDLAR_ERR_STORE_DOWN;
}

static void read_key(revision_read_t *op, medlar_str_t key,
		     medlar_store_fn_t done)
{
	medlar_store_t *store = &op->request->home->store;

	if (store->get(store->data, key, done, op) == MEDLAR_OK)
		return;
	reply_error(op->request, MEDLAR_ERR_STORE_DOWN, "");
	free(op);
}

static void read_history_entry(revision_read_t *op, uint64_t number,
			       medlar_store_fn_t done)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_revision_history_key(number, &key);
	read_key(op, medlar_buf_str(&key), done);
	medlar_buf_finish(&key);
}

static void on_revision(const medlar_store_reply_t *reply, void *data)
{
	revision_read_t *op = data;
	request_t *request = op->request;
	medlar_revision_t revision;
	int error = store_error(reply);

	if (!error) {
		error = medlar_revision_parse(&revision, reply->value);
		if (!error && op->wanted && op->wanted != revision.number)
			error = MEDLAR_ERR_NOT_FOUND;
		medlar_revision_finish(&revision);
	}
	free(op);
	if (error) {
		reply_error(request, error, "revision");
		return;
	}
	medlar_buf_add(&request->answer, reply->value);
	request_reply(request, HTTP_STATUS_OK);
}

static revision_read_t *revision_read_new(request_t *request)
{
	revision_read_t *op = calloc(1, sizeof(*op));

	if (!op)
		reply_error(request, MEDLAR_ERR_NOMEM, "");
	else
		op->request = request;
	return op;
}

/**
 * operators_get_newest() - answer with the newest revision; see &struct route
 * @request: request
 */
void operators_get_newest(request_t *request)
{
	revision_read_t *op = revision_read_new(request);

	if (op)
		read_key(op, MEDLAR_STR(MEDLAR_CONFIG_KEY), on_revision);
}

static void on_newest_revision(const medlar_store_reply_t *reply, void *data)
{
	revision_read_t *op = data;
	medlar_revision_t revision;
	bool newest;

	if (store_error(reply)) {
		on_revision(reply, data);
		return;
	}
	newest = medlar_revision_parse(&revision, reply->value) == MEDLAR_OK &&
		 revision.number == op->wanted;
	medlar_revision_finish(&revision);
	if (newest)
		on_revision(reply, data);
	else
		read_history_entry(op, op->wanted, on_revision);
}

/**
 * operators_get_revision() - answer with a numbered revision; see &struct route
 * @request: request whose path ends in the number
 */
void operators_get_revision(request_t *request)
{
	const char *number = strrchr(request->path, '/') + 1;
	revision_read_t *op = revision_read_new(request);

	if (!op)
		return;
	op->wanted = strtoull(number, NULL, RADIX_DECIMAL);
	read_key(op, MEDLAR_STR(MEDLAR_CONFIG_KEY), on_newest_revision);
}

static void add_summary(medlar_buf_t *out, medlar_str_t document)
{
	static const char *const members[] = { "revision", "section", "author",
					       "time" };
	const char *comma = "";

	if (out->ptr[out->len - 1] == '}')
		medlar_buf_add(out, MEDLAR_STR(","));
	medlar_buf_add(out, MEDLAR_STR("{"));
	for (size_t i = 0; i < sizeof(members) / sizeof(members[0]); i++) {
		medlar_str_t value = args_member_text(
			document, medlar_str_from(members[i]));

		if (value.len == 0)
			continue;
		medlar_buf_printf(out, "%s\"%s\":%.*s", comma, members[i],
				  (int)value.len, value.ptr);
		comma = ",";
	}
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static void on_history_entry(const medlar_store_reply_t *reply, void *data);

static void read_next_entry(revision_read_t *op)
{
	request_t *request = op->request;

	if (op->entries_read < MEDLAR_HISTORY_LEN && op->wanted > 1) {
		op->entries_read++;
		read_history_entry(op, --op->wanted, on_history_entry);
		return;
	}
	medlar_buf_add(&request->answer, MEDLAR_STR("]}"));
	free(op);
	request_reply(request, HTTP_STATUS_OK);
}

static void on_history_entry(const medlar_store_reply_t *reply, void *data)
{
	revision_read_t *op = data;
	int error = store_error(reply);

	if (error == MEDLAR_ERR_STORE_DOWN) {
		reply_error(op->request, error, "");
		free(op);
		return;
	}
	if (!error)
		add_summary(&op->request->answer, reply->value);
	read_next_entry(op);
}

static void on_history_newest(const medlar_store_reply_t *reply, void *data)
{
	revision_read_t *op = data;
	request_t *request = op->request;
	medlar_revision_t revision;

	if (store_error(reply)) {
		on_revision(reply, data);
		return;
	}
	(void)medlar_revision_parse(&revision, reply->value);
	op->wanted = revision.number;
	medlar_revision_finish(&revision);
	medlar_buf_add(&request->answer, MEDLAR_STR("{\"revisions\":["));
	add_summary(&request->answer, reply->value);
	read_next_entry(op);
}

/**
 * operators_get_history() - answer with a list of the revisions; see &struct
 *	route
 * @request: request
 */
void operators_get_history(request_t *request)
{
	revision_read_t *op = revision_read_new(request);

	if (op)
		read_key(op, MEDLAR_STR(MEDLAR_CONFIG_KEY), on_history_newest);
}

static const operator_setting_t *authorize(request_t *request)
{
	worker_t *worker = request->home;
	const operator_setting_t *operator;
	int error;

	operator= auth_find_operator(&worker->auth, worker->settings,
				     request->authorization, worker->loop.now,
				     &error);
	if (!operator)
		reply_error(request, error, "Authorization");
	return operator;
}

static void add_answer_error(const medlar_error_report_t *report, void *data)
{
	submit_call_t *op = data;
	medlar_buf_t *out = &op->answer_errors;

	if (out->len > 0)
		medlar_buf_add(out, MEDLAR_STR(","));
	medlar_buf_printf(out, "{\"error\":\"%s\",\"field\":",
			  medlar_error_name(report->error));
	medlar_buf_json_string(out, report->field);
	medlar_buf_add(out, MEDLAR_STR(",\"advice\":"));
	medlar_buf_json_string(out, report->advice);
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static void submit_call_free(submit_call_t *op)
{
	medlar_buf_finish(&op->answer_errors);
	free(op);
}

static void write_submission_result(const submit_call_t *op, int error,
				    uint64_t revision)
{
	medlar_buf_t *out = &op->request->answer;

	medlar_buf_printf(out, "{\"accepted\":%s,\"revision\":%llu",
			  error ? "false" : "true",
			  (unsigned long long)revision);
	if (error) {
		medlar_buf_printf(out, ",\"error\":{\"code\":\"%s\",\"text\":",
				  medlar_error_name(error));
		medlar_buf_json_string(
			out, medlar_str_from(medlar_error_text(error)));
		medlar_buf_add(out, MEDLAR_STR("}"));
	}
	medlar_buf_add(out, MEDLAR_STR(",\"faults\":["));
	medlar_buf_add(out, medlar_buf_str(&op->answer_errors));
	medlar_buf_add(out, MEDLAR_STR("]}"));
}

static void on_submitted(medlar_submission_t *submission, int error,
			 uint64_t revision, void *data)
{
	submit_call_t *op = data;

	(void)submission;
	write_submission_result(op, error, revision);
	request_reply(op->request, http_status(error));
	op->request = NULL;
}

static void on_released(medlar_submission_t *submission, void *data)
{
	medlar_submission_finish(submission);
	submit_call_free(data);
}

/* Reads "base" and finds the text of "answers" in the body. */
static int parse_submission(const request_t *request, uint64_t *base,
			    medlar_str_t *answers)
{
	medlar_str_t body = medlar_buf_str(&request->body);
	struct json_tokener *tokener = json_tokener_new_ex(BODY_DEPTH_MAX);
	struct json_object *root;
	struct json_object *number;
	int error = MEDLAR_ERR_SYNTAX;

	if (!tokener)
		return MEDLAR_ERR_NOMEM;
	root = json_tokener_parse_ex(tokener, body.ptr, (int)body.len);
	json_tokener_free(tokener);
	if (json_object_is_type(root, json_type_object) &&
	    json_object_object_get_ex(root, "base", &number)) {
		error = MEDLAR_ERR_MISSING;
		*base = (uint64_t)json_object_get_int64(number);
		*answers = args_member_text(body, MEDLAR_STR("answers"));
		if (answers->len > 0 && answers->ptr[0] == '{')
			error = MEDLAR_OK;
	}
	json_object_put(root);
	return error;
}

static void start_submission(request_t *request,
			     const operator_setting_t *operator, uint64_t base,
			     medlar_str_t answers)
{
	worker_t *worker = request->home;
	submit_call_t *op = calloc(1, sizeof(*op));
	const medlar_submission_params_t params = {
		.section = (medlar_section_t) operator->role,
		.author = medlar_str_from(operator->name),
		.base = base,
		.answers = answers,
		.time = clock_wall(),
		.timeout = SUBMIT_TIMEOUT,
		.done = on_submitted,
		.release = on_released,
		.error = add_answer_error,
		.data = op,
	};

	if (!op) {
		reply_error(request, MEDLAR_ERR_NOMEM, "");
		return;
	}
	op->request = request;
	if (medlar_submission_start(&worker->client, &op->submission,
				    &worker->store, &params,
				    worker->loop.now)) {
		submit_call_free(op);
		reply_error(request, MEDLAR_ERR_NOMEM, "");
	}
}

/**
 * operators_submit() - submit the answers of a section; see &struct route
 * @request: request whose path ends in the section
 */
void operators_submit(request_t *request)
{
	const char *section = strrchr(request->path, '/') + 1;
	const operator_setting_t *operator= authorize(request);
	medlar_str_t answers = { 0 };
	uint64_t base = 0;
	int error;

	if (!operator)
		return;
	if (strcmp(section, medlar_section_name(
				    (medlar_section_t) operator->role)) != 0) {
		reply_error(request, MEDLAR_ERR_AUTH, "section");
		return;
	}
	error = parse_submission(request, &base, &answers);
	if (error)
		request_refuse(request, HTTP_STATUS_BAD_REQUEST, error,
			       "answers");
	else
		start_submission(request, operator, base, answers);
}

static void visit_pardon(worker_t *worker, request_t *request)
{
	const char *text = strrchr(request->path, '/') + 1;
	uint64_t fingerprint = strtoull(text, NULL, RADIX_HEX);

	if (!worker) {
		request_reply(request, HTTP_STATUS_OK);
		return;
	}
	(void)medlar_suspects_pardon(&worker->suspects, fingerprint);
}

/**
 * operators_pardon() - clear a verdict on a request; see &struct route
 * @request: request whose path ends in the fingerprint in hexadecimal
 */
void operators_pardon(request_t *request)
{
	if (!authorize(request))
		return;
	medlar_buf_add(&request->answer, MEDLAR_STR("{\"pardoned\":true}"));
	request_visit_workers(request, visit_pardon);
}
