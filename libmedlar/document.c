/**
 * DOC: parser of JSON documents that are described by a table of fields
 *
 * All errors of a document are reported in one pass, each with file, line,
 * field and advice. Comments are allowed in documents.
 */
#include <json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define DOC_DEPTH_MAX 16
#define ADVICE_MAX 256

typedef struct doc_reader {
	medlar_client_t *client;
	medlar_str_t file;
	medlar_lines_t lines;
	medlar_buf_t path;
	int error;
} doc_reader_t;

static int read_object(doc_reader_t *reader, const struct json_object *object,
		       const medlar_doc_field_t *fields, char *out);

static void report_error(doc_reader_t *reader, int error, unsigned line,
			 const char *advice)
{
	medlar_error_report_t fault = {
		.error = error,
		.file = reader->file,
		.line = line,
		.field = medlar_buf_str(&reader->path),
		.advice = medlar_str_from(advice),
	};

	medlar_client_report(reader->client, &fault);
	if (!reader->error)
		reader->error = error;
}

static void report_field_error(doc_reader_t *reader, int error,
			       const char *advice)
{
	medlar_str_t path = medlar_buf_str(&reader->path);

	report_error(reader, error, medlar_lines_find(&reader->lines, path),
		     advice);
}

static size_t push_path(doc_reader_t *reader, const char *name)
{
	size_t len = reader->path.len;

	if (len > 0)
		medlar_buf_add(&reader->path, MEDLAR_STR("."));
	medlar_buf_add(&reader->path, medlar_str_from(name));
	return len;
}

static void pop_path(doc_reader_t *reader, size_t len)
{
	reader->path.len = len;
	if (reader->path.ptr)
		reader->path.ptr[len] = '\0';
}

static void report_range_error(doc_reader_t *reader,
			       const medlar_doc_field_t *field,
			       const char *what)
{
	char advice[ADVICE_MAX];

	snprintf(advice, sizeof(advice), "expected %s from %.15g to %.15g",
		 what, field->min, field->max);
	report_field_error(reader, MEDLAR_ERR_RANGE, advice);
}

static void read_int(doc_reader_t *reader, struct json_object *value,
		     const medlar_doc_field_t *field, char *out)
{
	int64_t number;

	if (!json_object_is_type(value, json_type_int)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected an integer");
		return;
	}
	number = json_object_get_int64(value);
	if ((double)number < field->min || (double)number > field->max) {
		report_range_error(reader, field, "an integer");
		return;
	}
	memcpy(out + field->offset, &number, sizeof(number));
}

static void read_real(doc_reader_t *reader, struct json_object *value,
		      const medlar_doc_field_t *field, char *out)
{
	double number;

	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected a number");
		return;
	}
	number = json_object_get_double(value);
	if (!(number >= field->min && number <= field->max)) {
		report_range_error(reader, field, "a number");
		return;
	}
	memcpy(out + field->offset, &number, sizeof(number));
}

static void read_bool(doc_reader_t *reader, struct json_object *value,
		      const medlar_doc_field_t *field, char *out)
{
	bool flag;

	if (!json_object_is_type(value, json_type_boolean)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected true or false");
		return;
	}
	flag = json_object_get_boolean(value);
	memcpy(out + field->offset, &flag, sizeof(flag));
}

static void read_text(doc_reader_t *reader, struct json_object *value,
		      const medlar_doc_field_t *field, char *out)
{
	char advice[ADVICE_MAX];
	const char *text;
	size_t len;

	if (!json_object_is_type(value, json_type_string)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected a string");
		return;
	}
	text = json_object_get_string(value);
	len = (size_t)json_object_get_string_len(value);
	if (len >= field->size || (double)len < field->min ||
	    memchr(text, '\0', len)) {
		snprintf(advice, sizeof(advice),
			 "expected a string of %.0f to %zu bytes", field->min,
			 field->size - 1);
		report_field_error(reader, MEDLAR_ERR_RANGE, advice);
		return;
	}
	memcpy(out + field->offset, text, len + 1);
}

static void format_choices(const medlar_doc_field_t *field, char *advice,
			   size_t size)
{
	size_t used = (size_t)snprintf(advice, size, "expected one of:");
	size_t i;

	for (i = 0; field->choices[i] && used < size; i++)
		used += (size_t)snprintf(advice + used, size - used, " %s",
					 field->choices[i]);
}

static void read_choice(doc_reader_t *reader, struct json_object *value,
			const medlar_doc_field_t *field, char *out)
{
	char advice[ADVICE_MAX];
	const char *text;
	int i;

	if (!json_object_is_type(value, json_type_string)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected a string");
		return;
	}
	text = json_object_get_string(value);
	for (i = 0; field->choices[i]; i++) {
		if (strcmp(text, field->choices[i]) != 0)
			continue;
		memcpy(out + field->offset, &i, sizeof(i));
		return;
	}
	format_choices(field, advice, sizeof(advice));
	report_field_error(reader, MEDLAR_ERR_RANGE, advice);
}

static void read_struct(doc_reader_t *reader, struct json_object *value,
			const medlar_doc_field_t *field, char *out)
{
	if (!json_object_is_type(value, json_type_object)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected an object");
		return;
	}
	read_object(reader, value, field->fields, out + field->offset);
}

static void read_item(doc_reader_t *reader, struct json_object *value,
		      const medlar_doc_field_t *field, size_t index, char *item)
{
	size_t len = reader->path.len;

	medlar_buf_printf(&reader->path, "[%zu]", index);
	if (field->defaults)
		field->defaults(item);
	if (json_object_is_type(value, json_type_object))
		read_object(reader, value, field->fields, item);
	else
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected an object");
	pop_path(reader, len);
}

static void read_array(doc_reader_t *reader, struct json_object *value,
		       const medlar_doc_field_t *field, char *out)
{
	medlar_doc_array_t *array = (void *)(out + field->offset);
	size_t len;
	size_t i;

	if (!json_object_is_type(value, json_type_array)) {
		report_field_error(reader, MEDLAR_ERR_TYPE,
				   "expected an array");
		return;
	}
	len = json_object_array_length(value);
	if ((double)len < field->min || (double)len > field->max) {
		report_range_error(reader, field, "a number of elements");
		return;
	}
	array->items = calloc(len + 1, field->size);
	if (!array->items) {
		report_field_error(reader, MEDLAR_ERR_NOMEM,
				   "free some memory");
		return;
	}
	array->len = len;
	for (i = 0; i < len; i++)
		read_item(reader, json_object_array_get_idx(value, i), field, i,
			  (char *)array->items + i * field->size);
}

static void ignore_value(doc_reader_t *reader, struct json_object *value,
			 const medlar_doc_field_t *field, char *out)
{
	(void)reader;
	(void)value;
	(void)field;
	(void)out;
}

typedef void (*read_fn_t)(doc_reader_t *reader, struct json_object *value,
			  const medlar_doc_field_t *field, char *out);

static const read_fn_t read_fns[] = {
	[MEDLAR_DOC_INT] = read_int,	   [MEDLAR_DOC_REAL] = read_real,
	[MEDLAR_DOC_BOOL] = read_bool,	   [MEDLAR_DOC_TEXT] = read_text,
	[MEDLAR_DOC_CHOICE] = read_choice, [MEDLAR_DOC_OBJECT] = read_struct,
	[MEDLAR_DOC_ARRAY] = read_array,   [MEDLAR_DOC_ANY] = ignore_value,
};

static void read_field(doc_reader_t *reader, const struct json_object *object,
		       const medlar_doc_field_t *field, char *out)
{
	size_t len = push_path(reader, field->name);
	struct json_object *value;

	if (json_object_object_get_ex(object, field->name, &value))
		read_fns[field->type](reader, value, field, out);
	else if (field->required)
		report_field_error(reader, MEDLAR_ERR_MISSING,
				   "add this field");
	pop_path(reader, len);
}

static bool is_known_field(const medlar_doc_field_t *fields, const char *name)
{
	for (; fields->name; fields++)
		if (strcmp(fields->name, name) == 0)
			return true;
	return false;
}

static int read_object(doc_reader_t *reader, const struct json_object *object,
		       const medlar_doc_field_t *fields, char *out)
{
	const medlar_doc_field_t *field;

	json_object_object_foreach(object, name, value)
	{
		size_t len = push_path(reader, name);

		(void)value;
		if (!is_known_field(fields, name))
			report_field_error(reader, MEDLAR_ERR_FIELD,
					   "remove it or correct its name");
		pop_path(reader, len);
	}
	for (field = fields; field->name; field++)
		read_field(reader, object, field, out);
	return reader->error;
}

static struct json_object *parse_json(doc_reader_t *reader, medlar_str_t text)
{
	struct json_tokener *tokener = json_tokener_new_ex(DOC_DEPTH_MAX);
	struct json_object *root;
	enum json_tokener_error error;

	if (!tokener) {
		report_error(reader, MEDLAR_ERR_NOMEM, 0, "free some memory");
		return NULL;
	}
	json_tokener_set_flags(tokener, JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tokener, text.ptr, (int)text.len);
	error = json_tokener_get_error(tokener);
	if (error != json_tokener_success ||
	    !json_object_is_type(root, json_type_object)) {
		report_error(reader, MEDLAR_ERR_SYNTAX,
			     medlar_lines_at(
				     text, json_tokener_get_parse_end(tokener)),
			     error == json_tokener_success ||
					     error == json_tokener_continue
				     ? "expected one complete JSON object"
				     : json_tokener_error_desc(error));
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tokener);
	return root;
}

/**
 * medlar_doc_read() - parse a JSON document into a struct
 * @client: its error handler receives a report for every error
 * @file: name of the document for error reports
 * @text: the document; comments are allowed
 * @fields: table of the allowed fields
 * @out: struct that the offsets of @fields refer to; optional fields that the
 *	document omits keep their value. To be released by medlar_doc_free(),
 *	also after an error
 *
 * Return: %MEDLAR_OK, or the first error found.
 */
int medlar_doc_read(medlar_client_t *client, medlar_str_t file,
		    medlar_str_t text, const medlar_doc_field_t *fields,
		    void *out)
{
	doc_reader_t reader = { .client = client, .file = file };
	struct json_object *root = NULL;

	if (text.len > INT32_MAX) {
		report_error(&reader, MEDLAR_ERR_TOO_LARGE, 0,
			     "shorten the document");
		goto done;
	}
	root = parse_json(&reader, text);
	if (!root)
		goto done;
	reader.error = medlar_lines_init(&reader.lines, text);
	if (reader.error)
		goto done;
	if (reader.lines.duplicate_line)
		report_error(&reader, MEDLAR_ERR_CONFLICT,
			     reader.lines.duplicate_line,
			     "duplicate field in an object; remove one");
	read_object(&reader, root, fields, out);
done:
	json_object_put(root);
	medlar_lines_finish(&reader.lines);
	medlar_buf_finish(&reader.path);
	return reader.error;
}

static void free_array(const medlar_doc_field_t *field, char *out)
{
	medlar_doc_array_t *array = (void *)(out + field->offset);
	size_t i;

	for (i = 0; i < array->len; i++)
		medlar_doc_free(field->fields,
				(char *)array->items + i * field->size);
	free(array->items);
	*array = (medlar_doc_array_t){ 0 };
}

/**
 * medlar_doc_free() - free the arrays allocated by medlar_doc_read()
 * @fields: table of fields that was given to medlar_doc_read()
 * @out: struct that was filled by it
 */
void medlar_doc_free(const medlar_doc_field_t *fields, void *out)
{
	for (; fields->name; fields++) {
		if (fields->type == MEDLAR_DOC_ARRAY)
			free_array(fields, out);
		else if (fields->type == MEDLAR_DOC_OBJECT)
			medlar_doc_free(fields->fields,
					(char *)out + fields->offset);
	}
}
