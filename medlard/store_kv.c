/**
 * DOC: client of the platform: keys and watches
 */
#include <inttypes.h>
#include <json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/store.h"

/* Time for which the service may delay the reply of a watch, s. */
#define WATCH_BLOCK_S 5

/* Pause between two calls of a watch, ms. */
#define WATCH_PAUSE ((medlar_time_t)20)

/* Failures whose backoff is the pause after a reply without an index. */
#define NO_INDEX_FAILURES 6

/**
 * struct key_call - a read or compare-and-swap in progress
 * @done: see &struct medlar_store
 * @data: see &struct medlar_store
 */
typedef struct key_call {
	medlar_store_fn_t done;
	void *data;
} key_call_t;

static bool decode_value(struct json_object *text, medlar_buf_t *out)
{
	size_t len = (size_t)json_object_get_string_len(text);
	size_t decoded_len;

	medlar_buf_reset(out);
	out->ptr = realloc(out->ptr, len + 1);
	if (!out->ptr)
		return false;
	out->cap = len + 1;
	if (sodium_base642bin((unsigned char *)out->ptr, len,
			      json_object_get_string(text), len, "\r\n",
			      &decoded_len, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return false;
	out->ptr[decoded_len] = '\0';
	out->len = decoded_len;
	return true;
}

static void parse_entry(struct json_object *entry, medlar_buf_t *value,
			store_key_fn_t found, void *data)
{
	struct json_object *key = NULL;
	struct json_object *text = NULL;
	struct json_object *index = NULL;

	if (!json_object_is_type(entry, json_type_object) ||
	    !json_object_object_get_ex(entry, "Key", &key) ||
	    !json_object_object_get_ex(entry, "ModifyIndex", &index) ||
	    !json_object_is_type(key, json_type_string) ||
	    !json_object_is_type(index, json_type_int))
		return;
	medlar_buf_reset(value);
	if (json_object_object_get_ex(entry, "Value", &text) &&
	    json_object_is_type(text, json_type_string) &&
	    !decode_value(text, value))
		return;
	found((medlar_str_t){ json_object_get_string(key),
			      (size_t)json_object_get_string_len(key) },
	      medlar_buf_str(value), (uint64_t)json_object_get_int64(index),
	      data);
}

/**
 * store_parse_values() - parse the keys in a reply
 * @body: body of the reply
 * @found: called for each well-formed entry
 * @data: passed to @found
 */
void store_parse_values(medlar_str_t body, store_key_fn_t found, void *data)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *list = NULL;
	medlar_buf_t value;

	medlar_buf_init(&value);
	if (tokener && body.len <= INT32_MAX)
		list = json_tokener_parse_ex(tokener, body.ptr, (int)body.len);
	if (json_object_is_type(list, json_type_array))
		for (size_t i = 0; i < json_object_array_length(list); i++)
			parse_entry(json_object_array_get_idx(list, i), &value,
				    found, data);
	json_object_put(list);
	json_tokener_free(tokener);
	medlar_buf_finish(&value);
}

/**
 * struct first_value - first entry of a reply
 * @reply: reply for libmedlar
 * @value: copy of the value
 * @found: the reply has an entry
 */
typedef struct first_value {
	medlar_store_reply_t reply;
	medlar_buf_t value;
	bool found;
} first_value_t;

static void keep_first_entry(medlar_str_t key, medlar_str_t value,
			     uint64_t index, void *data)
{
	first_value_t *first = data;

	(void)key;
	if (first->found)
		return;
	first->found = true;
	medlar_buf_add(&first->value, value);
	first->reply.index = index;
}

static void on_get(const store_result_t *result, void *data)
{
	key_call_t *call = data;
	first_value_t first = { .reply.status = result->status };

	medlar_buf_init(&first.value);
	if (result->status == MEDLAR_STORE_OK) {
		store_parse_values(result->body, keep_first_entry, &first);
		if (!first.found || first.value.error)
			first.reply.status = MEDLAR_STORE_DOWN;
	}
	first.reply.value = medlar_buf_str(&first.value);
	call->done(&first.reply, call->data);
	medlar_buf_finish(&first.value);
	free(call);
}

static bool has_prefix(medlar_str_t text, const char *prefix)
{
	size_t len = strlen(prefix);

	return text.len >= len && memcmp(text.ptr, prefix, len) == 0;
}

static void on_cas(const store_result_t *result, void *data)
{
	key_call_t *call = data;
	medlar_store_reply_t reply = { .status = result->status };

	if (reply.status == MEDLAR_STORE_OK &&
	    !has_prefix(result->body, "true"))
		reply.status = has_prefix(result->body, "false")
				       ? MEDLAR_STORE_CONFLICT
				       : MEDLAR_STORE_UNKNOWN;
	call->done(&reply, call->data);
	free(call);
}

static int send_key_call(store_t *store, store_request_t *request,
			 medlar_store_fn_t done, void *data)
{
	key_call_t *call = malloc(sizeof(*call));
	int error;

	if (!call)
		return MEDLAR_ERR_NOMEM;
	*call = (key_call_t){ done, data };
	request->data = call;
	error = store_send(store, request);
	if (error)
		free(call);
	return error;
}

/**
 * store_get() - read a key; see &struct medlar_store
 * @store: client
 * @key: key, of characters that are valid in a URL path
 * @done: called once
 * @data: passed to @done
 *
 * Return: %MEDLAR_OK, or an error after which @done is not called.
 */
int store_get(store_t *store, medlar_str_t key, medlar_store_fn_t done,
	      void *data)
{
	char path[STORE_PATH_MAX];
	store_request_t request = {
		.method = "GET",
		.path = path,
		.done = on_get,
	};

	if (key.len > STORE_PATH_MAX / 2)
		return MEDLAR_ERR_TOO_LARGE;
	snprintf(path, sizeof(path), "/v1/kv/%.*s", (int)key.len, key.ptr);
	return send_key_call(store, &request, done, data);
}

/**
 * store_cas() - compare-and-swap a key; see &struct medlar_store
 * @store: client
 * @key: key, of characters that are valid in a URL path
 * @value: new value; copied
 * @index: modification index that the key must have; 0 if it must not exist
 * @done: called once
 * @data: passed to @done
 *
 * Return: %MEDLAR_OK, or an error after which @done is not called.
 */
int store_cas(store_t *store, medlar_str_t key, medlar_str_t value,
	      uint64_t index, medlar_store_fn_t done, void *data)
{
	char path[STORE_PATH_MAX];
	store_request_t request = {
		.method = "PUT",
		.path = path,
		.body = value,
		.is_write = true,
		.done = on_cas,
	};

	if (key.len > STORE_PATH_MAX / 2)
		return MEDLAR_ERR_TOO_LARGE;
	snprintf(path, sizeof(path), "/v1/kv/%.*s?cas=%" PRIu64, (int)key.len,
		 key.ptr, index);
	return send_key_call(store, &request, done, data);
}

static void schedule_watch(store_watch_t *watch, medlar_time_t wait)
{
	const loop_t *loop = watch->store->loop;

	(void)medlar_timer_set(loop->client, &watch->timer, loop->now + wait);
}

static void on_watch(const store_result_t *result, void *data)
{
	store_watch_t *watch = data;
	medlar_client_t *client = watch->store->loop->client;

	if (result->status != MEDLAR_STORE_OK &&
	    result->status != MEDLAR_STORE_MISSING) {
		watch->failures++;
		schedule_watch(watch, store_backoff(client, watch->failures));
		return;
	}
	watch->failures = 0;
	if (result->index != watch->index)
		store_parse_values(result->body, watch->changed, watch->data);
	/* A smaller index means that the service was rebuilt: restart at 0. */
	watch->index = result->index < watch->index ? 0 : result->index;
	schedule_watch(watch, result->index == 0
				      ? store_backoff(client, NO_INDEX_FAILURES)
				      : WATCH_PAUSE);
}

static void send_watch_call(medlar_client_t *client, medlar_timer_t *timer,
			    medlar_time_t now, void *data)
{
	store_watch_t *watch = data;
	/*
	 * While the circuit breaker is open the call must not block, so that
	 * its reply shows at once that the service has recovered.
	 */
	bool is_blocking = watch->index > 0 &&
			   watch->store->breaker_open_until == 0;
	char path[STORE_PATH_MAX];
	const store_request_t request = {
		.method = "GET",
		.path = path,
		.wait = is_blocking ? WATCH_BLOCK_S * MEDLAR_SECOND : 0,
		.done = on_watch,
		.data = watch,
	};
	char separator = strchr(watch->path, '?') ? '&' : '?';

	(void)timer;
	(void)now;
	if (is_blocking)
		snprintf(path, sizeof(path), "%s%cindex=%" PRIu64 "&wait=%ds",
			 watch->path, separator, watch->index, WATCH_BLOCK_S);
	else
		snprintf(path, sizeof(path), "%s", watch->path);
	if (store_send(watch->store, &request))
		schedule_watch(watch, store_backoff(client, ++watch->failures));
}

/**
 * store_watch_start() - watch a key or prefix until store_watch_stop()
 * @watch: memory provided by the caller
 * @store: client
 * @path: path such as ``/v1/kv/KEY`` or ``/v1/kv/PREFIX?recurse``
 * @changed: called for every key found, at first and each time any has changed
 * @data: passed to @changed
 *
 * At most one call of the watch is in progress at any time.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int store_watch_start(store_watch_t *watch, store_t *store, const char *path,
		      store_key_fn_t changed, void *data)
{
	*watch = (store_watch_t){
		.store = store,
		.changed = changed,
		.data = data,
	};
	snprintf(watch->path, sizeof(watch->path), "%s", path);
	medlar_timer_init(&watch->timer, send_watch_call, watch);
	return medlar_timer_set(store->loop->client, &watch->timer,
				store->loop->now);
}

/**
 * store_watch_stop() - start no further call
 * @watch: watch that was started
 */
void store_watch_stop(store_watch_t *watch)
{
	medlar_timer_clear(watch->store->loop->client, &watch->timer);
}
