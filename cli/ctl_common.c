/**
 * DOC: files, errors and output of medlarctl
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "cli/ctl.h"

#define FILE_MAX_BYTES ((size_t)1 << 20)
#define READ_BYTES 4096

/**
 * ctl_complain() - print an error message
 * @format: as for printf(), without a newline
 */
void ctl_complain(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fputs("medlarctl: ", stderr);
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
}

/**
 * ctl_read_file() - read a whole file
 * @path: file, or ``-`` for standard input
 * @out: buffer
 *
 * Return: %MEDLAR_OK, or an error that was reported.
 */
int ctl_read_file(const char *path, medlar_buf_t *out)
{
	bool is_input = strcmp(path, "-") == 0;
	FILE *file = is_input ? stdin : fopen(path, "re");
	char bytes[READ_BYTES];
	size_t len;
	int error = MEDLAR_OK;

	if (!file) {
		ctl_complain("%s: %s", path, strerror(errno));
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
		ctl_complain("%s: %s", path, medlar_error_text(error));
	if (!is_input)
		fclose(file);
	return error;
}

static void print_fault(const medlar_fault_report_t *report, void *data)
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
 * ctl_client_init() - a client that prints the errors it reports
 * @ctl: options; remembers whether an error was reported
 * @client: memory of the caller
 */
void ctl_client_init(ctl_t *ctl, medlar_client_t *client)
{
	medlar_client_init(client, MEDLAR_STR("medlarctl"), 0, 1);
	medlar_client_on_error(client, print_fault, ctl);
}

/**
 * ctl_print_json() - print a value on standard output
 * @value: value
 */
void ctl_print_json(struct json_object *value)
{
	puts(json_object_to_json_string_ext(
		value, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
			       JSON_C_TO_STRING_PRETTY_TAB |
			       JSON_C_TO_STRING_NOSLASHESCAPE));
}

/**
 * ctl_text() - text of a member
 * @object: object, or NULL
 * @name: name of the member
 *
 * Return: its text, ``-`` when there is none; valid as long as @object is.
 */
const char *ctl_text(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!object || !json_object_object_get_ex(object, name, &value) ||
	    !value)
		return "-";
	return json_object_get_string(value);
}

/**
 * ctl_number() - integer of a member
 * @object: object, or NULL
 * @name: name of the member
 *
 * Return: its value, 0 when there is none.
 */
int64_t ctl_number(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!object || !json_object_object_get_ex(object, name, &value))
		return 0;
	return json_object_get_int64(value);
}

static void print_faults(struct json_object *root)
{
	struct json_object *faults;
	size_t i;

	if (!json_object_object_get_ex(root, "faults", &faults) ||
	    !json_object_is_type(faults, json_type_array))
		return;
	for (i = 0; i < json_object_array_length(faults); i++) {
		struct json_object *fault = json_object_array_get_idx(faults,
								      i);

		ctl_complain("%s: %s", ctl_text(fault, "field"),
			     ctl_text(fault, "advice"));
	}
}

/**
 * ctl_finish() - turn a reply into an exit code and print what it refuses
 * @ctl: options
 * @reply: reply
 *
 * Return: an exit code.
 */
int ctl_finish(ctl_t *ctl, ctl_reply_t *reply)
{
	struct json_object *error = NULL;

	if (reply->status >= 200 && reply->status < 300)
		return CTL_OK;
	if (reply->root)
		json_object_object_get_ex(reply->root, "error", &error);
	if (ctl->json && reply->root)
		ctl_print_json(reply->root);
	ctl_complain("%s: %s (HTTP %ld)", ctl_text(error, "code"),
		     ctl_text(error, "text"), reply->status);
	if (reply->root)
		print_faults(reply->root);
	if (reply->status == 409)
		return CTL_CONFLICT;
	if (reply->status == 502 || reply->status == 504)
		return CTL_UNKNOWN;
	return CTL_REFUSED;
}
