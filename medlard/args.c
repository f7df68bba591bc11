/**
 * DOC: body of a search, lookup or write, see docs/API.md
 */
#include <json.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/args.h"

#define DEPTH_MAX 32

typedef int (*member_parse_fn_t)(args_t *args, struct json_object *value);

static int accept_query(args_t *args, struct json_object *value)
{
	(void)args;
	(void)value;
	return MEDLAR_OK;
}

static int parse_int(struct json_object *value, int64_t min, int64_t max,
		     int64_t *out)
{
	int64_t number;

	if (!json_object_is_type(value, json_type_int))
		return MEDLAR_ERR_TYPE;
	number = json_object_get_int64(value);
	if (number < min || number > max)
		return MEDLAR_ERR_RANGE;
	*out = number;
	return MEDLAR_OK;
}

static int parse_deadline(args_t *args, struct json_object *value)
{
	return parse_int(value, 1, MEDLAR_HOUR, &args->deadline);
}

static int parse_at_least(args_t *args, struct json_object *value)
{
	int64_t version = 0;
	int error;

	error = parse_int(value, 0, UINT32_MAX, &version);
	args->at_least = (uint32_t)version;
	return error;
}

static int parse_keys(args_t *args, struct json_object *value)
{
	size_t len;

	if (!json_object_is_type(value, json_type_array))
		return MEDLAR_ERR_TYPE;
	len = json_object_array_length(value);
	if (len == 0 || len > ARGS_KEYS_MAX)
		return MEDLAR_ERR_RANGE;
	free(args->keys);
	args->keys = calloc(len, sizeof(*args->keys));
	if (!args->keys)
		return MEDLAR_ERR_NOMEM;
	args->keys_len = len;
	for (size_t i = 0; i < len; i++) {
		struct json_object *key = json_object_array_get_idx(value, i);

		if (!json_object_is_type(key, json_type_string))
			return MEDLAR_ERR_TYPE;
		args->keys[i] = medlar_key_hash((medlar_str_t){
			json_object_get_string(key),
			(size_t)json_object_get_string_len(key) });
	}
	return MEDLAR_OK;
}

#define KIND_BIT(kind) (1U << (kind))
#define READ_KINDS \
	(KIND_BIT(MEDLAR_REQUEST_SEARCH) | KIND_BIT(MEDLAR_REQUEST_LOOKUP))

static const struct {
	const char *name;
	unsigned kinds;
	member_parse_fn_t read;
} members[] = {
	{ "query", READ_KINDS | KIND_BIT(MEDLAR_REQUEST_WRITE), accept_query },
	{ "deadline_ms", READ_KINDS | KIND_BIT(MEDLAR_REQUEST_WRITE),
	  parse_deadline },
	{ "at_least_version", READ_KINDS, parse_at_least },
	{ "keys", KIND_BIT(MEDLAR_REQUEST_LOOKUP), parse_keys },
};

static int parse_member(args_t *args, medlar_request_kind_t kind,
			const char *name, struct json_object *value)
{
	for (size_t i = 0; i < sizeof(members) / sizeof(members[0]); i++)
		if ((members[i].kinds & KIND_BIT(kind)) &&
		    strcmp(members[i].name, name) == 0)
			return members[i].read(args, value);
	return MEDLAR_ERR_FIELD;
}

static int set_rejection(args_rejection_t *rejection, int error,
			 const char *field)
{
	rejection->error = error;
	snprintf(rejection->field, sizeof(rejection->field), "%s", field);
	return error;
}

static int parse_members(args_t *args, medlar_request_kind_t kind,
			 struct json_object *object,
			 args_rejection_t *rejection)
{
	json_object_object_foreach(object, name, value)
	{
		int error = parse_member(args, kind, name, value);

		if (error)
			return set_rejection(rejection, error, name);
	}
	return MEDLAR_OK;
}

static struct json_object *parse_json(medlar_str_t body)
{
	struct json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX);
	struct json_object *object = NULL;

	if (tokener && body.len <= INT_MAX) {
		json_tokener_set_flags(tokener,
				       JSON_TOKENER_STRICT |
					       JSON_TOKENER_VALIDATE_UTF8);
		object = json_tokener_parse_ex(tokener, body.ptr,
					       (int)body.len);
	}
	json_tokener_free(tokener);
	return object;
}

static const char *skip_string(const char *at, const char *end)
{
	at++;
	while (at < end && *at != '"')
		at += *at == '\\' ? 2 : 1;
	return at < end ? at + 1 : end;
}

static const char *skip_value(const char *at, const char *end)
{
	int depth = 0;

	while (at < end) {
		if (*at == '"') {
			at = skip_string(at, end);
			continue;
		}
		if (*at == '{' || *at == '[')
			depth++;
		if (depth == 0 && (*at == ',' || *at == '}'))
			break;
		if (*at == '}' || *at == ']')
			depth--;
		at++;
	}
	return at;
}

static const char *skip_space(const char *at, const char *end)
{
	while (at < end && strchr(" \t\r\n", *at) && *at)
		at++;
	return at;
}

static medlar_str_t trim_end(const char *from, const char *to)
{
	while (to > from && strchr(" \t\r\n", to[-1]))
		to--;
	return (medlar_str_t){ from, (size_t)(to - from) };
}

/**
 * args_member_text() - find the text of a member of a JSON object as it was
 *	written
 * @object: text of a valid JSON object
 * @name: name of the member, written without escapes
 *
 * Unlike a parsed value, the text keeps all digits of numbers.
 *
 * Return: text of the last member of that name; empty if there is none.
 */
medlar_str_t args_member_text(medlar_str_t object, medlar_str_t name)
{
	const char *end = object.ptr + object.len;
	const char *at = skip_space(object.ptr, end);
	medlar_str_t found = { 0 };

	while (at < end && (*at == '{' || *at == ',')) {
		const char *key = skip_space(at + 1, end);
		const char *value;
		medlar_str_t text;

		if (key >= end || *key != '"')
			break;
		at = skip_string(key, end);
		text = (medlar_str_t){ key + 1, (size_t)(at - key) - 2 };
		at = skip_space(at, end);
		value = skip_space(at < end ? at + 1 : end, end);
		at = skip_value(value, end);
		if (medlar_str_equal(text, name))
			found = trim_end(value, at);
	}
	return found;
}

/**
 * args_parse() - parse and check the body of a request
 * @args: memory provided by the caller; needs args_finish() also on an error
 * @kind: kind of the request
 * @body: body; @args->query points into it
 * @rejection: set on an error
 *
 * Return: %MEDLAR_OK, or the error in @rejection.
 */
int args_parse(args_t *args, medlar_request_kind_t kind, medlar_str_t body,
	       args_rejection_t *rejection)
{
	struct json_object *object = parse_json(body);
	int error;

	*args = (args_t){ 0 };
	if (!object)
		return set_rejection(rejection, MEDLAR_ERR_SYNTAX, "");
	if (!json_object_is_type(object, json_type_object)) {
		json_object_put(object);
		return set_rejection(rejection, MEDLAR_ERR_TYPE, "");
	}
	error = parse_members(args, kind, object, rejection);
	json_object_put(object);
	if (error)
		return error;
	args->query = args_member_text(body, MEDLAR_STR("query"));
	if (args->query.len == 0)
		return set_rejection(rejection, MEDLAR_ERR_MISSING, "query");
	return MEDLAR_OK;
}

/**
 * args_finish() - free what the parsed body holds
 * @args: result of args_parse(), successful or not
 */
void args_finish(args_t *args)
{
	free(args->keys);
	*args = (args_t){ 0 };
}
