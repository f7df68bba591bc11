/**
 * DOC: medlarctl questionnaire, the commands that change the configuration
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/ctl.h"

#define PATH_BYTES 128

static int run_new(ctl_t *ctl, char **args)
{
	medlar_buf_t out;

	(void)ctl;
	(void)args;
	medlar_buf_init(&out);
	medlar_questionnaire_template(&out);
	fwrite(out.ptr, 1, out.len, stdout);
	medlar_buf_finish(&out);
	return CTL_OK;
}

/* Parses a questionnaire file and passes its answers to a function. */
static int process_answers(ctl_t *ctl, const char *path,
			   int (*fn)(medlar_client_t *client,
				     const medlar_questionnaire_t *answers,
				     medlar_str_t file))
{
	medlar_questionnaire_t answers;
	medlar_client_t client;
	medlar_buf_t text;
	int error;

	medlar_buf_init(&text);
	if (ctl_read_file(path, &text)) {
		medlar_buf_finish(&text);
		return CTL_USAGE;
	}
	ctl_client_init(ctl, &client);
	error = medlar_questionnaire_parse(&client, &answers,
					   medlar_str_from(path),
					   medlar_buf_str(&text));
	if (!error) {
		error = fn(&client, &answers, medlar_str_from(path));
		medlar_questionnaire_finish(&answers);
	}
	medlar_client_finish(&client);
	medlar_buf_finish(&text);
	return error ? CTL_REFUSED : CTL_OK;
}

static int check_answers(medlar_client_t *client,
			 const medlar_questionnaire_t *answers,
			 medlar_str_t file)
{
	medlar_config_t config;
	int error = medlar_config_generate(client, answers, file, 1, &config);

	if (!error)
		medlar_config_finish(&config);
	return error;
}

static int explain_answers(medlar_client_t *client,
			   const medlar_questionnaire_t *answers,
			   medlar_str_t file)
{
	medlar_buf_t out;
	int error;

	(void)file;
	medlar_buf_init(&out);
	error = medlar_config_explain(client, answers, &out);
	if (!error)
		fwrite(out.ptr, 1, out.len, stdout);
	medlar_buf_finish(&out);
	return error;
}

static int print_config(medlar_client_t *client,
			const medlar_questionnaire_t *answers,
			medlar_str_t file)
{
	medlar_config_t config;
	medlar_buf_t out;
	int error = medlar_config_generate(client, answers, file, 1, &config);

	if (error)
		return error;
	medlar_buf_init(&out);
	medlar_config_write(&config, &out);
	puts(out.ptr);
	medlar_buf_finish(&out);
	medlar_config_finish(&config);
	return MEDLAR_OK;
}

static int run_check(ctl_t *ctl, char **args)
{
	int status = process_answers(ctl, args[0], check_answers);

	if (status == CTL_OK && !ctl->json)
		printf("%s: accepted\n", args[0]);
	return status;
}

static int run_explain(ctl_t *ctl, char **args)
{
	return process_answers(ctl, args[0],
			       ctl->json ? print_config : explain_answers);
}

/* Prints the first configuration document of a new deployment. */
static int run_first(ctl_t *ctl, char **args)
{
	medlar_client_t client;
	medlar_buf_t text;
	medlar_buf_t out;
	int error;

	medlar_buf_init(&text);
	medlar_buf_init(&out);
	error = ctl_read_file(args[0], &text);
	if (!error) {
		ctl_client_init(ctl, &client);
		error = medlar_revision_write_first(
			&client, medlar_str_from(args[0]),
			medlar_buf_str(&text), &out);
		medlar_client_finish(&client);
	}
	if (!error)
		puts(out.ptr);
	medlar_buf_finish(&out);
	medlar_buf_finish(&text);
	return error ? CTL_REFUSED : CTL_OK;
}

/* Sends a GET request; the caller finishes the reply in any case. */
static int get_document(ctl_t *ctl, const char *path, ctl_reply_t *reply)
{
	if (ctl_call(ctl, "GET", path, MEDLAR_STR(""), reply))
		return CTL_UNREACHABLE;
	return ctl_reply_check(ctl, reply);
}

/* Submits one section and prints the number of the accepted revision. */
static int put_section(ctl_t *ctl, const char *section, uint64_t base,
		       struct json_object *answers)
{
	char path[PATH_BYTES];
	medlar_buf_t body;
	ctl_reply_t reply;
	int status = CTL_UNREACHABLE;

	snprintf(path, sizeof(path), "/v1/questionnaire/%s", section);
	medlar_buf_init(&body);
	medlar_buf_printf(&body, "{\"base\":%llu,\"answers\":%s}",
			  (unsigned long long)base,
			  json_object_to_json_string_ext(
				  answers, JSON_C_TO_STRING_PLAIN));
	if (ctl_call(ctl, "PUT", path, medlar_buf_str(&body), &reply) == 0)
		status = ctl_reply_check(ctl, &reply);
	if (status == CTL_OK && ctl->json)
		ctl_print_json(reply.root);
	else if (status == CTL_OK)
		printf("%s: accepted as revision %lld\n", section,
		       (long long)ctl_member_number(reply.root, "revision"));
	ctl_reply_finish(&reply);
	medlar_buf_finish(&body);
	return status;
}

/* Sets the revision of --base, or else the current one. */
static int get_base_revision(ctl_t *ctl, uint64_t *base)
{
	ctl_reply_t reply;
	int status;

	*base = ctl->base_revision;
	if (ctl->base_revision > 0)
		return CTL_OK;
	status = get_document(ctl, "/v1/questionnaire", &reply);
	if (status == CTL_OK)
		*base = (uint64_t)ctl_member_number(reply.root, "revision");
	ctl_reply_finish(&reply);
	return status;
}

static struct json_object *read_section(const char *path, const char *section)
{
	struct json_object *root = NULL;
	struct json_object *answers = NULL;
	medlar_buf_t text;

	medlar_buf_init(&text);
	if (ctl_read_file(path, &text) == MEDLAR_OK)
		root = json_tokener_parse(text.ptr);
	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, section, &answers))
		ctl_print_error(
			"%s: no section %s; \"medlarctl questionnaire new\" "
			"prints a template",
			path, section);
	json_object_get(answers);
	json_object_put(root);
	medlar_buf_finish(&text);
	return answers;
}

static bool is_section(const char *name)
{
	int section;

	for (section = 0; name && section < MEDLAR_SECTION_COUNT; section++)
		if (strcmp(name,
			   medlar_section_name((medlar_section_t)section)) == 0)
			return true;
	ctl_print_error("--section must be product or operations");
	return false;
}

static int run_submit(ctl_t *ctl, char **args)
{
	struct json_object *answers;
	uint64_t base;
	int status;

	if (!is_section(ctl->section))
		return CTL_USAGE;
	answers = read_section(args[0], ctl->section);
	if (!answers)
		return CTL_USAGE;
	status = get_base_revision(ctl, &base);
	if (status == CTL_OK)
		status = put_section(ctl, ctl->section, base, answers);
	json_object_put(answers);
	return status;
}

static void write_revision_path(const char *revision, char *path, size_t size)
{
	if (revision)
		snprintf(path, size, "/v1/questionnaire/revisions/%llu",
			 strtoull(revision, NULL, 10));
	else
		snprintf(path, size, "/v1/questionnaire");
}

static int run_show(ctl_t *ctl, char **args)
{
	char path[PATH_BYTES];
	struct json_object *answers = NULL;
	ctl_reply_t reply;
	int status;

	write_revision_path(args[0], path, sizeof(path));
	status = get_document(ctl, path, &reply);
	if (status == CTL_OK) {
		json_object_object_get_ex(reply.root, "questionnaire",
					  &answers);
		ctl_print_json(ctl->json ? reply.root : answers);
	}
	ctl_reply_finish(&reply);
	return status;
}

static void print_change(const ctl_t *ctl, const char *path, const char *sign,
			 struct json_object *value)
{
	const char *start = "";

	if (ctl->colour)
		start = sign[0] == '-' ? "\033[31m" : "\033[32m";
	printf("%s%s %s: %s%s\n", start, sign, path,
	       value ? json_object_to_json_string_ext(value,
						      JSON_C_TO_STRING_PLAIN)
		     : "(none)",
	       ctl->colour ? "\033[0m" : "");
}

static bool values_are_equal(struct json_object *a, struct json_object *b)
{
	return a && b && json_object_equal(a, b);
}

static int diff_values(const ctl_t *ctl, const char *path,
		       struct json_object *a, struct json_object *b);

static int diff_members(const ctl_t *ctl, const char *path,
			struct json_object *a, struct json_object *b)
{
	char member_path[PATH_BYTES];
	int changes = 0;

	json_object_object_foreach(a, name, value)
	{
		snprintf(member_path, sizeof(member_path), "%s.%s", path, name);
		changes += diff_values(ctl, member_path, value,
				       json_object_object_get(b, name));
	}
	json_object_object_foreach(b, added, other)
	{
		snprintf(member_path, sizeof(member_path), "%s.%s", path,
			 added);
		if (!json_object_object_get(a, added))
			changes += diff_values(ctl, member_path, NULL, other);
	}
	return changes;
}

static int diff_items(const ctl_t *ctl, const char *path, struct json_object *a,
		      struct json_object *b)
{
	size_t len = json_object_array_length(a);
	size_t other = json_object_array_length(b);
	char member_path[PATH_BYTES];
	int changes = 0;
	size_t i;

	for (i = 0; i < len || i < other; i++) {
		snprintf(member_path, sizeof(member_path), "%s[%zu]", path, i);
		changes += diff_values(ctl, member_path,
				       json_object_array_get_idx(a, i),
				       json_object_array_get_idx(b, i));
	}
	return changes;
}

/*
 * Prints the differences of two values and returns their number. The recursion
 * is bounded by the nesting depth of the documents.
 */
static int diff_values(const ctl_t *ctl, const char *path,
		       struct json_object *a, struct json_object *b)
{
	if (values_are_equal(a, b))
		return 0;
	if (json_object_is_type(a, json_type_object) &&
	    json_object_is_type(b, json_type_object))
		return diff_members(ctl, path, a, b);
	if (json_object_is_type(a, json_type_array) &&
	    json_object_is_type(b, json_type_array))
		return diff_items(ctl, path, a, b);
	print_change(ctl, path, "-", a);
	print_change(ctl, path, "+", b);
	return 1;
}

static int run_diff(ctl_t *ctl, char **args)
{
	struct json_object *current = NULL;
	struct json_object *edited = NULL;
	ctl_reply_t reply;
	medlar_buf_t text;
	int status;

	medlar_buf_init(&text);
	if (ctl_read_file(args[0], &text) == MEDLAR_OK)
		edited = json_tokener_parse(text.ptr);
	medlar_buf_finish(&text);
	if (!json_object_is_type(edited, json_type_object)) {
		ctl_print_error("%s: not a JSON object", args[0]);
		json_object_put(edited);
		return CTL_USAGE;
	}
	status = get_document(ctl, "/v1/questionnaire", &reply);
	if (status == CTL_OK) {
		json_object_object_get_ex(reply.root, "questionnaire",
					  &current);
		diff_values(ctl, "", current, edited);
	}
	ctl_reply_finish(&reply);
	json_object_put(edited);
	return status;
}

static int run_history(ctl_t *ctl, char **args)
{
	struct json_object *revisions;
	ctl_reply_t reply;
	int status;
	size_t i;

	(void)args;
	status = get_document(ctl, "/v1/questionnaire/history", &reply);
	if (status == CTL_OK && ctl->json)
		ctl_print_json(reply.root);
	else if (status == CTL_OK &&
		 json_object_object_get_ex(reply.root, "revisions", &revisions))
		for (i = 0; i < json_object_array_length(revisions); i++) {
			struct json_object *revision =
				json_object_array_get_idx(revisions, i);

			printf("%6lld  %-12s %s\n",
			       (long long)ctl_member_number(revision,
							    "revision"),
			       ctl_member_text(revision, "section"),
			       ctl_member_text(revision, "author"));
		}
	ctl_reply_finish(&reply);
	return status;
}

/* Submits a section of an earlier revision as a new revision. */
static int run_revert(ctl_t *ctl, char **args)
{
	char path[PATH_BYTES];
	struct json_object *answers = NULL;
	ctl_reply_t reply;
	uint64_t base;
	int status;

	if (!is_section(ctl->section))
		return CTL_USAGE;
	write_revision_path(args[0], path, sizeof(path));
	status = get_document(ctl, path, &reply);
	if (status == CTL_OK)
		status = get_base_revision(ctl, &base);
	if (status == CTL_OK) {
		json_object_object_get_ex(reply.root, "questionnaire",
					  &answers);
		answers = json_object_object_get(answers, ctl->section);
		status = put_section(ctl, ctl->section, base, answers);
	}
	ctl_reply_finish(&reply);
	return status;
}

const ctl_command_t ctl_questionnaire_commands[] = {
	{ "questionnaire new", "", 0, 0, run_new,
	  "print a questionnaire template that explains every question" },
	{ "questionnaire check", "FILE", 1, 1, run_check,
	  "check a questionnaire file, without a server" },
	{ "questionnaire explain", "FILE", 1, 1, run_explain,
	  "print the configuration that the answers give and its expected "
	  "effects" },
	{ "questionnaire first", "FILE", 1, 1, run_first,
	  "print the first configuration document of a deployment, for the "
	  "store" },
	{ "questionnaire submit", "FILE", 1, 1, run_submit,
	  "submit one section (--section, --base, --token-file)" },
	{ "questionnaire show", "[REVISION]", 0, 1, run_show,
	  "print the current answers or those of an earlier revision" },
	{ "questionnaire diff", "FILE", 1, 1, run_diff,
	  "compare the current answers with a file" },
	{ "questionnaire history", "", 0, 0, run_history,
	  "list the stored revisions" },
	{ "questionnaire revert", "REVISION", 1, 1, run_revert,
	  "submit one section of an earlier revision as a new revision" },
	{ 0 },
};
