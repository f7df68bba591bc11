/**
 * DOC: what operators may ask for and change, see docs/API.md
 */
#include <json.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/answer.h"
#include "medlard/clock.h"
#include "medlard/operators.h"
#include "medlard/worker.h"

#define SUBMIT_TIMEOUT (10 * MEDLAR_SECOND)
#define BODY_DEPTH_MAX 20
#define RADIX_DECIMAL 10
#define RADIX_HEX 16

/**
 * struct look - a request that reads the store
 * @request: request
 * @number: revision that is wanted; 0 for the newest
 * @key: key that is read next in the list of earlier revisions
 */
typedef struct look {
	request_t *request;
	uint64_t number;
	uint64_t key;
} look_t;

/**
 * struct edit - a request that submits answers
 * @request: request
 * @submission: submission of the core
 * @faults: what is wrong with the answers, JSON objects
 */
typedef struct edit {
	request_t *request;
	medlar_submission_t submission;
	medlar_buf_t faults;
} edit_t;

/* Statuses that differ from those that callers get. */
static const struct {
	int error;
	unsigned status;
} statuses[] = {
	{ MEDLAR_OK, MHD_HTTP_OK },
	{ MEDLAR_ERR_SYNTAX, MHD_HTTP_UNPROCESSABLE_CONTENT },
	{ MEDLAR_ERR_PROTOCOL, MHD_HTTP_UNPROCESSABLE_CONTENT },
	{ MEDLAR_ERR_CLASH, MHD_HTTP_UNPROCESSABLE_CONTENT },
	{ MEDLAR_ERR_EXPIRED, MHD_HTTP_GONE },
	{ MEDLAR_ERR_STORE_UNKNOWN, MHD_HTTP_BAD_GATEWAY },
};

static unsigned status_of(int error)
{
	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		if (statuses[i].error == error)
			return statuses[i].status;
	return answer_error_status(error);
}

static void refuse(request_t *request, int error, const char *field)
{
	request_refuse(request, status_of(error), error, field);
}

static int store_error(const medlar_store_reply_t *reply)
{
	if (reply->status == MEDLAR_STORE_OK)
		return MEDLAR_OK;
	if (reply->status == MEDLAR_STORE_MISSING)
		return MEDLAR_ERR_NOT_FOUND;
	return MEDLAR_ERR_STORE_DOWN;
}

static void read_key(look_t *look, medlar_str_t key, medlar_store_fn_t done)
{
	medlar_store_t *store = &look->request->home->store;

	if (store->get(store->data, key, done, look) == MEDLAR_OK)
		return;
	refuse(look->request, MEDLAR_ERR_STORE_DOWN, "");
	free(look);
}

static void read_history(look_t *look, uint64_t number, medlar_store_fn_t done)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_history_key(number, &key);
	read_key(look, medlar_buf_str(&key), done);
	medlar_buf_finish(&key);
}

static void on_document(const medlar_store_reply_t *reply, void *data)
{
	look_t *look = data;
	request_t *request = look->request;
	medlar_revision_t revision;
	int error = store_error(reply);

	if (!error) {
		error = medlar_revision_parse(&revision, reply->value);
		if (!error && look->number && look->number != revision.number)
			error = MEDLAR_ERR_NOT_FOUND;
		medlar_revision_finish(&revision);
	}
	free(look);
	if (error) {
		refuse(request, error, "revision");
		return;
	}
	medlar_buf_add(&request->answer, reply->value);
	request_reply(request, MHD_HTTP_OK);
}

static look_t *look_new(request_t *request)
{
	look_t *look = calloc(1, sizeof(*look));

	if (!look)
		refuse(request, MEDLAR_ERR_NOMEM, "");
	else
		look->request = request;
	return look;
}

/**
 * operators_show() - answer with the newest revision; see &struct route
 * @request: request
 */
void operators_show(request_t *request)
{
	look_t *look = look_new(request);

	if (look)
		read_key(look, MEDLAR_STR(MEDLAR_CONFIG_KEY), on_document);
}

static void on_newest(const medlar_store_reply_t *reply, void *data)
{
	look_t *look = data;
	medlar_revision_t revision;
	bool newest;

	if (store_error(reply)) {
		on_document(reply, data);
		return;
	}
	newest = medlar_revision_parse(&revision, reply->value) == MEDLAR_OK &&
		 revision.number == look->number;
	medlar_revision_finish(&revision);
	if (newest)
		on_document(reply, data);
	else
		read_history(look, look->number, on_document);
}

/**
 * operators_revision() - answer with an earlier revision; see &struct route
 * @request: request whose path ends in the number
 */
void operators_revision(request_t *request)
{
	const char *number = strrchr(request->path, '/') + 1;
	look_t *look = look_new(request);

	if (!look)
		return;
	look->number = strtoull(number, NULL, RADIX_DECIMAL);
	read_key(look, MEDLAR_STR(MEDLAR_CONFIG_KEY), on_newest);
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
		medlar_str_t value = args_member(document,
						 medlar_str_from(members[i]));

		if (value.len == 0)
			continue;
		medlar_buf_printf(out, "%s\"%s\":%.*s", comma, members[i],
				  (int)value.len, value.ptr);
		comma = ",";
	}
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static void on_earlier(const medlar_store_reply_t *reply, void *data);

static void read_next(look_t *look)
{
	request_t *request = look->request;

	if (look->key < MEDLAR_HISTORY_LEN && look->number > 1) {
		look->key++;
		read_history(look, --look->number, on_earlier);
		return;
	}
	medlar_buf_add(&request->answer, MEDLAR_STR("]}"));
	free(look);
	request_reply(request, MHD_HTTP_OK);
}

static void on_earlier(const medlar_store_reply_t *reply, void *data)
{
	look_t *look = data;
	int error = store_error(reply);

	if (error == MEDLAR_ERR_STORE_DOWN) {
		refuse(look->request, error, "");
		free(look);
		return;
	}
	if (!error)
		add_summary(&look->request->answer, reply->value);
	read_next(look);
}

static void on_first(const medlar_store_reply_t *reply, void *data)
{
	look_t *look = data;
	request_t *request = look->request;
	medlar_revision_t revision;

	if (store_error(reply)) {
		on_document(reply, data);
		return;
	}
	(void)medlar_revision_parse(&revision, reply->value);
	look->number = revision.number;
	medlar_revision_finish(&revision);
	medlar_buf_add(&request->answer, MEDLAR_STR("{\"revisions\":["));
	add_summary(&request->answer, reply->value);
	read_next(look);
}

/**
 * operators_history() - answer with the revisions kept; see &struct route
 * @request: request
 */
void operators_history(request_t *request)
{
	look_t *look = look_new(request);

	if (look)
		read_key(look, MEDLAR_STR(MEDLAR_CONFIG_KEY), on_first);
}

static const operator_setting_t *authorize(request_t *request)
{
	worker_t *worker = request->home;
	const operator_setting_t *operator;
	int error;

	operator= roles_find(&worker->roles, worker->settings,
			     request->authorization, worker->loop.now, &error);
	if (!operator)
		refuse(request, error, "Authorization");
	return operator;
}

static void add_fault(const medlar_fault_report_t *report, void *data)
{
	edit_t *edit = data;
	medlar_buf_t *out = &edit->faults;

	if (out->len > 0)
		medlar_buf_add(out, MEDLAR_STR(","));
	medlar_buf_printf(out, "{\"error\":\"%s\",\"field\":",
			  medlar_error_name(report->error));
	medlar_buf_json_string(out, report->field);
	medlar_buf_add(out, MEDLAR_STR(",\"advice\":"));
	medlar_buf_json_string(out, report->advice);
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static void edit_free(edit_t *edit)
{
	medlar_buf_finish(&edit->faults);
	free(edit);
}

static void write_result(const edit_t *edit, int error, uint64_t revision)
{
	medlar_buf_t *out = &edit->request->answer;

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
	medlar_buf_add(out, medlar_buf_str(&edit->faults));
	medlar_buf_add(out, MEDLAR_STR("]}"));
}

static void on_submitted(medlar_submission_t *submission, int error,
			 uint64_t revision, void *data)
{
	edit_t *edit = data;

	(void)submission;
	write_result(edit, error, revision);
	request_reply(edit->request, status_of(error));
	edit->request = NULL;
}

static void on_released(medlar_submission_t *submission, void *data)
{
	medlar_submission_finish(submission);
	edit_free(data);
}

/* The value of "base" and the text of "answers", within the body. */
static int read_edit(const request_t *request, uint64_t *base,
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
		*answers = args_member(body, MEDLAR_STR("answers"));
		if (answers->len > 0 && answers->ptr[0] == '{')
			error = MEDLAR_OK;
	}
	json_object_put(root);
	return error;
}

static void start_edit(request_t *request, const operator_setting_t *operator,
		       uint64_t base, medlar_str_t answers)
{
	worker_t *worker = request->home;
	edit_t *edit = calloc(1, sizeof(*edit));
	const medlar_submission_params_t params = {
		.section = (medlar_section_t) operator->role,
		.author = medlar_str_from(operator->name),
		.base = base,
		.answers = answers,
		.time = clock_wall(),
		.timeout = SUBMIT_TIMEOUT,
		.done = on_submitted,
		.release = on_released,
		.error = add_fault,
		.data = edit,
	};

	if (!edit) {
		refuse(request, MEDLAR_ERR_NOMEM, "");
		return;
	}
	edit->request = request;
	if (medlar_submission_start(&worker->client, &edit->submission,
				    &worker->store, &params,
				    worker->loop.now)) {
		edit_free(edit);
		refuse(request, MEDLAR_ERR_NOMEM, "");
	}
}

/**
 * operators_submit() - submit a section's answers; see &struct route
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
		refuse(request, MEDLAR_ERR_AUTH, "section");
		return;
	}
	error = read_edit(request, &base, &answers);
	if (error)
		request_refuse(request, MHD_HTTP_BAD_REQUEST, error, "answers");
	else
		start_edit(request, operator, base, answers);
}

static void visit_pardon(worker_t *worker, request_t *request)
{
	const char *text = strrchr(request->path, '/') + 1;
	uint64_t fingerprint = strtoull(text, NULL, RADIX_HEX);

	if (!worker) {
		request_reply(request, MHD_HTTP_OK);
		return;
	}
	(void)medlar_suspects_pardon(&worker->suspects, fingerprint);
}

/**
 * operators_pardon() - let a convicted request run again; see &struct route
 * @request: request whose path ends in the fingerprint
 */
void operators_pardon(request_t *request)
{
	if (!authorize(request))
		return;
	medlar_buf_add(&request->answer, MEDLAR_STR("{\"pardoned\":true}"));
	request_tour(request, visit_pardon);
}
