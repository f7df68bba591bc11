/**
 * DOC: revisions of the configuration document
 *
 * The document holds the answers of both sections and the configuration that
 * was generated from them. The latest revisions are also kept in the history, a
 * ring of %MEDLAR_HISTORY_LEN keys.
 */
#include <json.h>
#include <stdio.h>
#include <string.h>

#include "medlar.h"

#define REVISION_DEPTH_MAX 20

static void copy_member(struct json_object *root, const char *name,
			medlar_buf_t *out)
{
	struct json_object *value;

	if (!json_object_object_get_ex(root, name, &value) || !value)
		return;
	medlar_buf_add(out, medlar_str_from(json_object_to_json_string_ext(
				    value, JSON_C_TO_STRING_PLAIN)));
}

static int parse_members(medlar_revision_t *revision, struct json_object *root)
{
	struct json_object *number;
	struct json_object *id;
	struct json_object *answers;
	int section;

	if (!json_object_object_get_ex(root, "revision", &number) ||
	    !json_object_is_type(number, json_type_int) ||
	    json_object_get_int64(number) < 1)
		return MEDLAR_ERR_PROTOCOL;
	revision->number = (uint64_t)json_object_get_int64(number);
	if (json_object_object_get_ex(root, "submission", &id) &&
	    json_object_is_type(id, json_type_string))
		snprintf(revision->submission, sizeof(revision->submission),
			 "%s", json_object_get_string(id));
	if (json_object_object_get_ex(root, "questionnaire", &answers))
		for (section = 0; section < MEDLAR_SECTION_COUNT; section++)
			copy_member(
				answers,
				medlar_section_name((medlar_section_t)section),
				&revision->answers[section]);
	copy_member(root, "config", &revision->config);
	return MEDLAR_OK;
}

/**
 * medlar_revision_parse() - parse a configuration document
 * @revision: memory of the caller; to be finished also after an error
 * @json: the document
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_PROTOCOL, or %MEDLAR_ERR_NOMEM.
 */
int medlar_revision_parse(medlar_revision_t *revision, medlar_str_t json)
{
	struct json_tokener *tokener = json_tokener_new_ex(REVISION_DEPTH_MAX);
	struct json_object *root = NULL;
	int error = MEDLAR_ERR_PROTOCOL;

	*revision = (medlar_revision_t){ 0 };
	if (!tokener)
		return MEDLAR_ERR_NOMEM;
	if (json.len <= INT32_MAX)
		root = json_tokener_parse_ex(tokener, json.ptr, (int)json.len);
	if (json_object_is_type(root, json_type_object))
		error = parse_members(revision, root);
	json_object_put(root);
	json_tokener_free(tokener);
	return error;
}

/**
 * medlar_revision_finish() - release a revision
 * @revision: revision; empty afterwards
 */
void medlar_revision_finish(medlar_revision_t *revision)
{
	int section;

	for (section = 0; section < MEDLAR_SECTION_COUNT; section++)
		medlar_buf_finish(&revision->answers[section]);
	medlar_buf_finish(&revision->config);
	*revision = (medlar_revision_t){ 0 };
}

/**
 * medlar_revision_history_key() - append the history key of a revision
 * @number: number of the revision
 * @out: buffer; its error member is set on failure
 */
void medlar_revision_history_key(uint64_t number, medlar_buf_t *out)
{
	medlar_buf_printf(out, MEDLAR_HISTORY_PREFIX "%llu",
			  (unsigned long long)(number % MEDLAR_HISTORY_LEN));
}

/**
 * medlar_revision_write_first() - write the document of revision 1
 * @client: its error handler receives a report for every error or contradiction
 * @file: name of the questionnaire for error reports
 * @answers: questionnaire with both sections, NUL-terminated
 * @out: buffer; the document is appended
 *
 * Return: %MEDLAR_OK, or the first error found.
 */
int medlar_revision_write_first(medlar_client_t *client, medlar_str_t file,
				medlar_str_t answers, medlar_buf_t *out)
{
	medlar_questionnaire_t questionnaire;
	medlar_config_t config;
	struct json_object *root;
	int error;

	error = medlar_questionnaire_parse(client, &questionnaire, file,
					   answers);
	if (error)
		return error;
	error = medlar_config_generate(client, &questionnaire, file, 1,
				       &config);
	medlar_questionnaire_finish(&questionnaire);
	if (error)
		return error;
	root = json_tokener_parse(answers.ptr);
	medlar_buf_printf(
		out,
		"{\"revision\":1,\"questionnaire\":%s,"
		"\"config\":",
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	medlar_config_write(&config, out);
	medlar_buf_add(out, MEDLAR_STR("}"));
	json_object_put(root);
	medlar_config_finish(&config);
	return out->error;
}
