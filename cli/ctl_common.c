/**
 * DOC: file input, error messages and JSON output of medlarctl
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "cli/ctl.h"

#define FILE_MAX_BYTES ((size_t)1 << 20)
#define READ_CHUNK_BYTES 4096

/**
 * ctl_print_error() - print an error message to standard error
 * @format: format string of printf(), without the newline
 */
void ctl_print_error(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fputs("medlarctl: ", stderr);
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
}

/**
 * ctl_read_file() - append the contents of a file to a buffer
 * @path: path of the file, or ``-`` for standard input
 * @out: receives the contents; the caller releases it, also after an error
 *
 * Prints a message if the file cannot be read.
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_IO; %MEDLAR_ERR_TOO_LARGE for a file of more
 * than 1 MiB; or %MEDLAR_ERR_NOMEM.
 */
int ctl_read_file(const char *path, medlar_buf_t *out)
{
	bool is_input = strcmp(path, "-") == 0;
	FILE *file = is_input ? stdin : fopen(path, "re");
	char bytes[READ_CHUNK_BYTES];
	size_t len;
	int error = MEDLAR_OK;

	if (!file) {
		ctl_print_error("%s: %s", path, strerror(errno));
		return MEDLAR_ERR_IO;
	}
	do {
		len = fread(bytes, 1, sizeof(bytes), file);
		medlar_buf_add(out, (medlar_str_t){ bytes, len });
	} while (len > 0 && out->len <= FILE_MAX_BYTES);
	if (ferror(file))
		error = MEDLAR_ERR_IO;
	else if (out->len > FILE_MAX_BYTES)
		error = MEDLAR_ERR_TOO_LARGE;
	else
		error = out->error;
	if (error)
		ctl_print_error("%s: %s", path, medlar_error_text(error));
	if (!is_input)
		fclose(file);
	return error;
}

static void print_error_report(const medlar_error_report_t *report, void *data)
{
	ctl_t *ctl = data;

	ctl->failed = true;
	fprintf(stderr, "%.*s:", (int)report->file.len, report->file.ptr);
	if (report->line > 0)
		fprintf(stderr, "%u:", report->line);
	fprintf(stderr, " %.*s: %s; %.*s\n", (int)report->field.len,
		report->field.ptr, medlar_error_text(report->error),
		(int)report->advice.len, report->advice.ptr);
}

/**
 * ctl_client_init() - initialise a client that prints its error reports
 * @ctl: options; its failed member is set when an error is reported
 * @client: client to initialise; medlar_client_finish() releases it
 */
void ctl_client_init(ctl_t *ctl, medlar_client_t *client)
{
	medlar_client_init(client, MEDLAR_STR("medlarctl"), 0, 1);
	medlar_client_on_error(client, print_error_report, ctl);
}

/**
 * ctl_print_json() - print a JSON value, indented, to standard output
 * @value: value to print
 */
void ctl_print_json(struct json_object *value)
{
	puts(json_object_to_json_string_ext(
		value, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
			       JSON_C_TO_STRING_PRETTY_TAB |
			       JSON_C_TO_STRING_NOSLASHESCAPE));
}

/**
 * ctl_member_text() - get a member of a JSON object as text
 * @object: object, or NULL
 * @name: name of the member
 *
 * Return: its value as text, or ``-`` if it is absent or null; valid as long as
 * @object is.
 */
const char *ctl_member_text(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!object || !json_object_object_get_ex(object, name, &value) ||
	    !value)
		return "-";
	return json_object_get_string(value);
}

/**
 * ctl_member_number() - get a member of a JSON object as an integer
 * @object: object, or NULL
 * @name: name of the member
 *
 * Return: its value, or 0 if it is absent.
 */
int64_t ctl_member_number(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!object || !json_object_object_get_ex(object, name, &value))
		return 0;
	return json_object_get_int64(value);
}

static void print_error_details(struct json_object *root)
{
	struct json_object *faults;
	size_t i;

	if (!json_object_object_get_ex(root, "faults", &faults) ||
	    !json_object_is_type(faults, json_type_array))
		return;
	for (i = 0; i < json_object_array_length(faults); i++) {
		struct json_object *fault = json_object_array_get_idx(faults,
								      i);

		ctl_print_error("%s: %s", ctl_member_text(fault, "field"),
				ctl_member_text(fault, "advice"));
	}
}

/**
 * ctl_reply_check() - print the error of a reply and return its exit code
 * @ctl: options
 * @reply: reply of an instance
 *
 * Return: %CTL_OK for a 2xx status; %CTL_CONFLICT for 409; %CTL_UNKNOWN for 502
 * and 504, after which the request may have been executed; else %CTL_REFUSED.
 */
int ctl_reply_check(ctl_t *ctl, ctl_reply_t *reply)
{
	struct json_object *error = NULL;

	if (reply->status >= 200 && reply->status < 300)
		return CTL_OK;
	if (reply->root)
		json_object_object_get_ex(reply->root, "error", &error);
	if (ctl->json && reply->root)
		ctl_print_json(reply->root);
	ctl_print_error("%s: %s (HTTP %ld)", ctl_member_text(error, "code"),
			ctl_member_text(error, "text"), reply->status);
	if (reply->root)
		print_error_details(reply->root);
	if (reply->status == 409)
		return CTL_CONFLICT;
	if (reply->status == 502 || reply->status == 504)
		return CTL_UNKNOWN;
	return CTL_REFUSED;
}
