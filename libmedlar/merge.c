/**
 * DOC: three-way merge of edited JSON documents
 *
 * Two operators may edit the same revision. Changes to different fields are
 * combined; changes of the same field to different values conflict. Array
 * elements are matched by their ``name`` when all of them have one.
 */
#include <json.h>
#include <stdio.h>
#include <string.h>

#include "medlar.h"

#define MERGE_DEPTH_MAX 16
#define ADVICE_MAX 512

typedef struct merge {
	medlar_client_t *client;
	medlar_str_t file;
	medlar_buf_t path;
	int error;
} merge_t;

static struct json_object *merge_values(merge_t *merge,
					struct json_object *base,
					struct json_object *theirs,
					struct json_object *mine);

static const char *json_text(struct json_object *value)
{
	if (!value)
		return "(removed)";
	return json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);
}

static void report_conflict(merge_t *merge, struct json_object *theirs,
			    struct json_object *mine)
{
	char advice[ADVICE_MAX];
	medlar_error_report_t fault = {
		.error = MEDLAR_ERR_CONFLICT,
		.file = merge->file,
		.field = medlar_buf_str(&merge->path),
	};

	snprintf(advice, sizeof(advice),
		 "yours is %.160s, but %.160s was accepted before; agree on "
		 "one value and submit again",
		 json_text(mine), json_text(theirs));
	fault.advice = medlar_str_from(advice);
	medlar_client_report(merge->client, &fault);
	merge->error = MEDLAR_ERR_CONFLICT;
}

static bool is_object(struct json_object *value)
{
	return json_object_is_type(value, json_type_object);
}

static const char *item_name(struct json_object *item)
{
	struct json_object *name;

	if (!is_object(item) ||
	    !json_object_object_get_ex(item, "name", &name) ||
	    !json_object_is_type(name, json_type_string))
		return NULL;
	return json_object_get_string(name);
}

static bool is_named_array(struct json_object *value)
{
	size_t i;

	if (!json_object_is_type(value, json_type_array))
		return false;
	for (i = 0; i < json_object_array_length(value); i++)
		if (!item_name(json_object_array_get_idx(value, i)))
			return false;
	return true;
}

static struct json_object *find_named(struct json_object *array,
				      const char *name)
{
	size_t i;

	for (i = 0; i < json_object_array_length(array); i++) {
		struct json_object *item = json_object_array_get_idx(array, i);

		if (strcmp(item_name(item), name) == 0)
			return item;
	}
	return NULL;
}

static size_t path_push(merge_t *merge, const char *format, const char *name)
{
	size_t len = merge->path.len;

	if (len > 0 && format[0] == '%')
		medlar_buf_add(&merge->path, MEDLAR_STR("."));
	if (format[0] == '[')
		medlar_buf_printf(&merge->path, "[%s]", name);
	else
		medlar_buf_add(&merge->path, medlar_str_from(name));
	return len;
}

static void path_pop(merge_t *merge, size_t len)
{
	merge->path.len = len;
	if (merge->path.ptr)
		merge->path.ptr[len] = '\0';
}

static void merge_member(merge_t *merge, struct json_object *out,
			 const char *name, struct json_object *base,
			 struct json_object *theirs, struct json_object *mine)
{
	size_t len = path_push(merge, "%s", name);
	struct json_object *value = merge_values(
		merge, json_object_object_get(base, name),
		json_object_object_get(theirs, name),
		json_object_object_get(mine, name));

	path_pop(merge, len);
	if (value)
		json_object_object_add(out, name, value);
}

static struct json_object *merge_objects(merge_t *merge,
					 struct json_object *base,
					 struct json_object *theirs,
					 struct json_object *mine)
{
	struct json_object *out = json_object_new_object();

	json_object_object_foreach(theirs, name, value)
	{
		(void)value;
		merge_member(merge, out, name, base, theirs, mine);
	}
	json_object_object_foreach(mine, added, other)
	{
		(void)other;
		if (!json_object_object_get(theirs, added))
			merge_member(merge, out, added, base, theirs, mine);
	}
	return out;
}

static void merge_item(merge_t *merge, struct json_object *out,
		       const char *name, struct json_object *base,
		       struct json_object *theirs, struct json_object *mine)
{
	size_t len = path_push(merge, "[%s]", name);
	struct json_object *value = merge_values(merge, find_named(base, name),
						 find_named(theirs, name),
						 find_named(mine, name));

	path_pop(merge, len);
	if (value)
		json_object_array_add(out, value);
}

static struct json_object *merge_arrays(merge_t *merge,
					struct json_object *base,
					struct json_object *theirs,
					struct json_object *mine)
{
	struct json_object *out = json_object_new_array();
	size_t i;

	for (i = 0; i < json_object_array_length(theirs); i++)
		merge_item(merge, out,
			   item_name(json_object_array_get_idx(theirs, i)),
			   base, theirs, mine);
	for (i = 0; i < json_object_array_length(mine); i++) {
		const char *name = item_name(
			json_object_array_get_idx(mine, i));

		if (!find_named(theirs, name))
			merge_item(merge, out, name, base, theirs, mine);
	}
	return out;
}

static bool is_equal(struct json_object *a, struct json_object *b)
{
	return (!a && !b) || (a && b && json_object_equal(a, b));
}

/* Returns a new reference. MERGE_DEPTH_MAX bounds the recursion. */
static struct json_object *merge_values(merge_t *merge,
					struct json_object *base,
					struct json_object *theirs,
					struct json_object *mine)
{
	if (is_equal(theirs, mine) || is_equal(base, mine))
		return json_object_get(theirs);
	if (is_equal(base, theirs))
		return json_object_get(mine);
	if (is_object(base) && is_object(theirs) && is_object(mine))
		return merge_objects(merge, base, theirs, mine);
	if (is_named_array(base) && is_named_array(theirs) &&
	    is_named_array(mine))
		return merge_arrays(merge, base, theirs, mine);
	report_conflict(merge, theirs, mine);
	return json_object_get(theirs);
}

static struct json_object *parse_document(medlar_str_t text)
{
	struct json_tokener *tokener = json_tokener_new_ex(MERGE_DEPTH_MAX);
	struct json_object *root = NULL;

	if (!tokener)
		return NULL;
	if (text.len <= INT32_MAX)
		root = json_tokener_parse_ex(tokener, text.ptr, (int)text.len);
	json_tokener_free(tokener);
	return root;
}

/**
 * medlar_merge() - three-way merge of a JSON document
 * @client: its error handler receives each conflict, with both values
 * @file: name of the document for error reports
 * @base: common ancestor of both changes
 * @theirs: document accepted since @base
 * @mine: document being submitted
 * @out: buffer to which the merged document is appended, compact JSON
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_CONFLICT, %MEDLAR_ERR_SYNTAX, or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_merge(medlar_client_t *client, medlar_str_t file, medlar_str_t base,
		 medlar_str_t theirs, medlar_str_t mine, medlar_buf_t *out)
{
	merge_t merge = { .client = client, .file = file };
	struct json_object *trees[] = { parse_document(base),
					parse_document(theirs),
					parse_document(mine) };
	struct json_object *merged = NULL;

	if (!is_object(trees[0]) || !is_object(trees[1]) ||
	    !is_object(trees[2])) {
		merge.error = MEDLAR_ERR_SYNTAX;
		goto done;
	}
	merged = merge_values(&merge, trees[0], trees[1], trees[2]);
	if (!merge.error)
		medlar_buf_add(out, medlar_str_from(json_text(merged)));
	if (!merge.error)
		merge.error = out->error;
done:
	json_object_put(merged);
	json_object_put(trees[0]);
	json_object_put(trees[1]);
	json_object_put(trees[2]);
	medlar_buf_finish(&merge.path);
	return merge.error;
}
