/**
 * DOC: key-value and session calls of fake-platform
 */
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_platform.h"

#define WATCH_WAIT_DEFAULT (300 * FAKE_SECOND)
#define SESSION_TTL_DEFAULT (10 * FAKE_SECOND)
#define SESSION_TTL_MIN (500 * FAKE_MILLISECOND)

/**
 * fake_platform_is_write() - check whether a call is a write
 * @request: request
 *
 * Return: true for a PUT.
 */
bool fake_platform_is_write(const fake_request_t *request)
{
	return !strcmp(request->method, "PUT");
}

static void add_item(medlar_buf_t *out, const fake_kv_item_t *item)
{
	medlar_str_t value = medlar_buf_str(&item->value);
	size_t size = sodium_base64_encoded_len(value.len,
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);

	if (!text)
		abort();
	sodium_bin2base64(text, size, (const unsigned char *)value.ptr,
			  value.len, sodium_base64_VARIANT_ORIGINAL);
	medlar_buf_add(out, MEDLAR_STR("{\"Key\":"));
	medlar_buf_json_string(out, medlar_str_from(item->key));
	medlar_buf_add(out, MEDLAR_STR(",\"Value\":\""));
	medlar_buf_add(out, medlar_str_from(text));
	medlar_buf_printf(out, "\",\"CreateIndex\":%llu,\"ModifyIndex\":%llu",
			  (unsigned long long)item->create_index,
			  (unsigned long long)item->modify_index);
	if (item->session[0])
		medlar_buf_printf(out, ",\"Session\":\"%s\"", item->session);
	medlar_buf_add(out, MEDLAR_STR("}"));
	free(text);
}

/**
 * fake_platform_answer_read() - answer a read with its modification index
 * @request: request
 * @text: JSON body
 * @status: HTTP status
 * @index: modification index of what was read
 */
void fake_platform_answer_read(fake_request_t *request,
			       const medlar_buf_t *text, unsigned status,
			       uint64_t index)
{
	medlar_str_t str = medlar_buf_str(text);
	struct MHD_Response *response;
	char number[24];

	response = MHD_create_response_from_buffer(str.len, (void *)str.ptr,
						   MHD_RESPMEM_MUST_COPY);
	snprintf(number, sizeof(number), "%llu", (unsigned long long)index);
	MHD_add_response_header(response, "X-Consul-Index", number);
	MHD_add_response_header(response, "Content-Type", "application/json");
	fake_request_answer(request, status, response);
}

static void answer_key(fake_platform_t *platform, fake_request_t *request,
		       const char *key, bool recurse)
{
	const fake_kv_t *kv = &platform->kv;
	medlar_buf_t text;
	size_t found = 0;
	size_t i;

	medlar_buf_init(&text);
	for (i = 0; i < kv->len; i++) {
		if (!fake_kv_matches(&kv->items[i], key, recurse))
			continue;
		medlar_buf_add(&text,
			       found++ ? MEDLAR_STR(",") : MEDLAR_STR("["));
		add_item(&text, &kv->items[i]);
	}
	if (found)
		medlar_buf_add(&text, MEDLAR_STR("]"));
	fake_platform_answer_read(request, &text, found ? 200 : 404,
				  fake_kv_index(kv, key, recurse));
	medlar_buf_finish(&text);
}

/**
 * fake_platform_end_watch() - end a watch without answering
 * @call: call; nothing is done if it is not a watch
 */
void fake_platform_end_watch(fake_platform_call_t *call)
{
	fake_platform_t *platform = call->platform;

	if (!call->watching)
		return;
	call->watching = false;
	if (call->next)
		call->next->prev = call->prev;
	if (call->prev)
		call->prev->next = call->next;
	else
		platform->watches = call->next;
	medlar_timer_clear(&platform->loop.client, &call->timer);
}

static void on_watch_timeout(medlar_client_t *client, medlar_timer_t *timer,
			     medlar_time_t now, void *data)
{
	fake_platform_call_t *call = data;

	(void)client;
	(void)timer;
	(void)now;
	fake_platform_end_watch(call);
	answer_key(call->platform, call->request, call->key, call->recurse);
}

static void start_watch(fake_platform_t *platform, fake_platform_call_t *call,
			const char *wait)
{
	medlar_time_t delay = WATCH_WAIT_DEFAULT;

	if (wait)
		delay = (medlar_time_t)(strtod(wait, NULL) *
					(double)(strstr(wait, "ms")
							 ? FAKE_MILLISECOND
							 : FAKE_SECOND));
	call->watching = true;
	call->next = platform->watches;
	if (call->next)
		call->next->prev = call;
	platform->watches = call;
	platform->stats.watches++;
	medlar_timer_init(&call->timer, on_watch_timeout, call);
	medlar_timer_set(&platform->loop.client, &call->timer,
			 fake_now() + delay);
}

static void answer_changed_watches(fake_platform_t *platform)
{
	fake_platform_call_t *call = platform->watches;

	while (call) {
		fake_platform_call_t *next = call->next;

		if (fake_kv_index(&platform->kv, call->key, call->recurse) >
		    call->index) {
			fake_platform_end_watch(call);
			answer_key(platform, call->request, call->key,
				   call->recurse);
		}
		call = next;
	}
}

static void get_key(fake_platform_t *platform, fake_platform_call_t *call,
		    const char *key)
{
	fake_request_t *request = call->request;

	call->key = key;
	call->recurse = MHD_lookup_connection_value_n(
				request->mhd, MHD_GET_ARGUMENT_KIND, "recurse",
				strlen("recurse"), NULL, NULL) == MHD_YES;
	call->index = fake_request_arg_number(request, "index", 0);
	if (call->index > 0 &&
	    fake_kv_index(&platform->kv, key, call->recurse) <= call->index) {
		start_watch(platform, call, fake_request_arg(request, "wait"));
		return;
	}
	answer_key(platform, request, key, call->recurse);
}

/**
 * fake_platform_answer_write() - answer a write, or lose its reply at random
 * @platform: platform
 * @request: request
 * @text: body; not copied, must stay valid
 */
void fake_platform_answer_write(fake_platform_t *platform,
				fake_request_t *request, const char *text)
{
	if (!fake_rand_chance(&platform->loop.client.rand,
			      platform->knobs.lose)) {
		fake_request_answer_text(request, 200, text);
		return;
	}
	platform->stats.replies_lost++;
	if (platform->knobs.hang <= 0)
		fake_request_abort(request);
}

static void put_key(fake_platform_t *platform, fake_platform_call_t *call,
		    const char *key)
{
	fake_request_t *request = call->request;
	const fake_kv_write_t write = {
		.key = key,
		.value = medlar_buf_str(&request->body),
		.has_cas = fake_request_arg(request, "cas") != NULL,
		.cas = fake_request_arg_number(request, "cas", 0),
		.acquire = fake_request_arg(request, "acquire"),
	};
	bool done;

	if (write.value.len > FAKE_KV_VALUE_MAX) {
		fake_request_answer_text(request, 413, "Value exceeds limit");
		return;
	}
	done = fake_kv_put(&platform->kv, &write);
	if (!done)
		platform->stats.conflicts++;
	fake_platform_answer_write(platform, request, done ? "true" : "false");
	if (done)
		answer_changed_watches(platform);
}

/**
 * fake_platform_handle_key() - read, watch or write a key
 * @platform: platform
 * @call: call; a PUT writes
 * @rest: key or prefix, the rest of the path
 */
void fake_platform_handle_key(fake_platform_t *platform,
			      fake_platform_call_t *call, const char *rest)
{
	fake_session_expire(&platform->kv, fake_now());
	if (fake_platform_is_write(call->request))
		put_key(platform, call, rest);
	else
		get_key(platform, call, rest);
}

static void answer_session(fake_request_t *request,
			   const fake_session_t *session)
{
	medlar_buf_t text;

	medlar_buf_init(&text);
	medlar_buf_printf(&text, "{\"ID\":\"%s\"}", session->id);
	fake_request_answer_json(request, 200, &text);
	medlar_buf_finish(&text);
}

/**
 * fake_platform_create_session() - create a session
 * @platform: platform
 * @call: call
 * @rest: unused
 */
void fake_platform_create_session(fake_platform_t *platform,
				  fake_platform_call_t *call, const char *rest)
{
	struct json_object *body = json_tokener_parse(
		call->request->body.ptr ? call->request->body.ptr : "{}");
	struct json_object *ttl = json_object_object_get(body, "TTL");
	medlar_time_t lifetime = SESSION_TTL_DEFAULT;

	(void)rest;
	if (ttl)
		lifetime = (medlar_time_t)(strtod(json_object_get_string(ttl),
						  NULL) *
					   (double)FAKE_SECOND);
	if (lifetime < SESSION_TTL_MIN)
		lifetime = SESSION_TTL_MIN;
	json_object_put(body);
	answer_session(call->request,
		       fake_session_create(&platform->kv,
					   &platform->loop.client.rand,
					   lifetime, fake_now()));
}

/**
 * fake_platform_renew_session() - extend the lifetime of a session
 * @platform: platform
 * @call: call
 * @rest: id of the session, the rest of the path
 */
void fake_platform_renew_session(fake_platform_t *platform,
				 fake_platform_call_t *call, const char *rest)
{
	medlar_time_t now = fake_now();
	fake_session_t *session;

	fake_session_expire(&platform->kv, now);
	session = fake_session_find(&platform->kv, rest);
	if (!session) {
		fake_request_answer_text(call->request, 404,
					 "Session not found");
		return;
	}
	session->expires_at = now + session->ttl;
	answer_session(call->request, session);
}

/**
 * fake_platform_destroy_session() - end a session
 * @platform: platform
 * @call: call
 * @rest: id of the session, the rest of the path
 */
void fake_platform_destroy_session(fake_platform_t *platform,
				   fake_platform_call_t *call, const char *rest)
{
	fake_session_destroy(&platform->kv, rest);
	fake_request_answer_text(call->request, 200, "true");
	answer_changed_watches(platform);
}
