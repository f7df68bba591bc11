/**
 * DOC: HTTP calls to upstreams and the platform, on libcurl
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/h1_status.h"
#include "medlard/http_client_internal.h"

#define URL_MAX 512 /* bytes */

/*
 * Longest time to wait for a connection, unless the silence limit is shorter.
 */
#define CONNECT_TIMEOUT_MAX (2 * MEDLAR_SECOND)

#define RECEIVE_BUFFER_BYTES 4096L
#define HEAD_BYTES_MAX ((size_t)64 * 1024)
/* Replicas that send without end must not use up the memory of the process. */
#define REPLY_MEMORY_BYTES_MAX ((size_t)64 << 20)
/* A reply up to this size is received even if others have used up the memory. */
#define REPLY_BYTES_KEPT ((size_t)64 * 1024)

static void finish_call(http_call_t *call, http_end_t end);

static bool exceeds_memory(const http_call_t *call, size_t len)
{
	const h1_memory_t *memory = &call->pool->http->reply_memory;

	return memory->used + len > memory->max &&
	       call->reply.len + len > REPLY_BYTES_KEPT;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	http_call_t *call = data;
	size_t len = size * count;

	call->last_byte_at = call->pool->http->loop->now;
	if (call->reply.len + len > call->reply_max ||
	    exceeds_memory(call, len)) {
		call->reply_rejected = true;
		return 0;
	}
	medlar_buf_add(&call->reply, (medlar_str_t){ bytes, len });
	if (call->reply.error)
		return 0;
	call->pool->http->reply_memory.used += len;
	return len;
}

static void release_reply(http_call_t *call)
{
	call->pool->http->reply_memory.used -= call->reply.len;
	if (call->reply.len > REPLY_BYTES_KEPT) {
		medlar_buf_finish(&call->reply);
		medlar_buf_init(&call->reply);
	}
	medlar_buf_reset(&call->reply);
}

static medlar_str_t trim(medlar_str_t text)
{
	while (text.len > 0 && strchr(" \t\r\n", text.ptr[text.len - 1]))
		text.len--;
	while (text.len > 0 && strchr(" \t", text.ptr[0])) {
		text.ptr++;
		text.len--;
	}
	return text;
}

/* libcurl takes some statuses that are none for interim, and others for final. */
static bool is_bad_status_line(medlar_str_t line)
{
	static const char start[] = "HTTP/";

	return line.len >= strlen(start) &&
	       memcmp(line.ptr, start, strlen(start)) == 0 &&
	       h1_status_line_kind(line) == H1_STATUS_INVALID;
}

static size_t on_header(char *bytes, size_t size, size_t count, void *data)
{
	http_call_t *call = data;
	size_t len = size * count;
	const char *colon = memchr(bytes, ':', len);
	medlar_str_t name;
	medlar_str_t value;

	call->last_byte_at = call->pool->http->loop->now;
	call->head_len += len;
	if (call->head_len > HEAD_BYTES_MAX ||
	    is_bad_status_line(trim((medlar_str_t){ bytes, len }))) {
		call->reply_rejected = true;
		return 0;
	}
	if (!colon || !call->on_header)
		return len;
	name = (medlar_str_t){ bytes, (size_t)(colon - bytes) };
	value = (medlar_str_t){ colon + 1, len - name.len - 1 };
	call->on_header(name, trim(value), call->data);
	return len;
}

static medlar_time_t get_timeout(const http_call_t *call)
{
	medlar_time_t due = call->last_byte_at + call->silence;

	return due < call->deadline ? due : call->deadline;
}

/* Called by libcurl before each send; a second send is a retry and aborted. */
static int before_send(void *data, char *remote, char *local, int remote_port,
		       int local_port)
{
	http_call_t *call = data;
	const http_client_t *http = call->pool->http;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	if (call->sent)
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	call->sent_at = http->loop->now;
	call->last_byte_at = http->loop->now;
	if (medlar_timer_set(http->loop->client, &call->timer,
			     get_timeout(call)))
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

static void on_timeout(medlar_client_t *client, medlar_timer_t *timer,
		       medlar_time_t now, void *data)
{
	http_call_t *call = data;

	if (!call->sent)
		finish_call(call, HTTP_UNSENT);
	else if (now >= call->last_byte_at + call->silence)
		finish_call(call, HTTP_SILENT);
	else if (now >= call->deadline ||
		 medlar_timer_set(client, timer, get_timeout(call)))
		finish_call(call, HTTP_RESET);
}

static void set_call_options(http_call_t *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
}

static http_call_t *new_call(http_pool_t *pool)
{
	http_client_t *http = pool->http;
	http_call_t *call = http->free_calls;

	if (call) {
		http->free_calls = call->next;
		call->pool = pool;
		return call;
	}
	call = calloc(1, sizeof(*call));
	if (!call)
		return NULL;
	call->pool = pool;
	call->easy = curl_easy_init();
	if (!call->easy) {
		free(call);
		return NULL;
	}
	set_call_options(call);
	http_conns_attach(call);
	call->older = http->calls;
	http->calls = call;
	return call;
}

static void free_call(http_call_t *call)
{
	curl_easy_cleanup(call->easy);
	medlar_buf_finish(&call->header_lines);
	medlar_buf_finish(&call->body);
	medlar_buf_finish(&call->reply);
	free(call);
}

static void recycle_call(http_call_t *call)
{
	http_client_t *http = call->pool->http;

	call->pool = NULL;
	call->next = http->free_calls;
	http->free_calls = call;
}

static void add_line(medlar_buf_t *lines, const char *name, medlar_str_t value)
{
	medlar_buf_add(lines, medlar_str_from(name));
	medlar_buf_add(lines,
		       value.len > 0 ? MEDLAR_STR(": ") : MEDLAR_STR(":"));
	medlar_buf_add(lines, value);
	medlar_buf_add(lines, (medlar_str_t){ "", 1 });
}

/* libcurl does not take ownership of the list, so no allocation is needed. */
static void link_headers(http_call_t *call, size_t len)
{
	char *line = call->header_lines.ptr;

	for (size_t i = 0; i < len; i++) {
		call->headers[i].data = line;
		call->headers[i].next = i + 1 < len ? &call->headers[i + 1]
						    : NULL;
		line += strlen(line) + 1;
	}
}

static int add_headers(http_call_t *call, const http_request_t *request)
{
	medlar_buf_t *lines = &call->header_lines;

	medlar_buf_reset(lines);
	add_line(lines, "Expect", MEDLAR_STR(""));
	add_line(lines, "Content-Type", MEDLAR_STR("application/json"));
	for (size_t i = 0; i < request->headers_len; i++)
		add_line(lines, request->headers[i].name,
			 request->headers[i].value);
	if (lines->error)
		return MEDLAR_ERR_NOMEM;
	link_headers(call, HTTP_HEADERS_OWN + request->headers_len);
	return MEDLAR_OK;
}

static void set_method(http_call_t *call, const char *method)
{
	bool is_get = strcmp(method, "GET") == 0;
	bool is_post = strcmp(method, "POST") == 0;

	if (is_get) {
		curl_easy_setopt(call->easy, CURLOPT_HTTPGET, 1L);
	} else {
		curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->body.len);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS,
				 call->body.ptr ? call->body.ptr : "");
	}
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST,
			 is_get || is_post ? NULL : method);
}

static int prepare_call(http_call_t *call, const http_request_t *request)
{
	const http_pool_t *pool = call->pool;
	bool is_v6 = strchr(pool->host, ':') != NULL;
	char url[URL_MAX];
	int len;

	len = snprintf(url, sizeof(url), "http://%s%s%s:%u%s", is_v6 ? "[" : "",
		       pool->host, is_v6 ? "]" : "", pool->port, request->path);
	if (len < 0 || (size_t)len >= sizeof(url))
		return MEDLAR_ERR_TOO_LARGE;
	medlar_buf_reset(&call->body);
	medlar_buf_add(&call->body, request->body);
	if (call->body.error || add_headers(call, request))
		return MEDLAR_ERR_NOMEM;
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT,
			 request->new_connection ? 1L : 0L);
	set_method(call, request->method);
	return MEDLAR_OK;
}

/**
 * http_call_start() - start a call
 * @pool: connections to use
 * @request: request; copied
 * @out: receives the call, valid until its callback returns; may be NULL
 *
 * The call waits while all connections of the pool are in use.
 *
 * Return: %MEDLAR_OK, or an error after which the callback is not called.
 */
int http_call_start(http_pool_t *pool, const http_request_t *request,
		    http_call_t **out)
{
	medlar_client_t *client = pool->http->loop->client;
	medlar_time_t wait = request->silence < CONNECT_TIMEOUT_MAX
				     ? request->silence
				     : CONNECT_TIMEOUT_MAX;
	medlar_time_t connect_until = pool->http->loop->now + wait;
	http_call_t *call = new_call(pool);
	int error;

	if (!call)
		return MEDLAR_ERR_NOMEM;
	call->deadline = request->deadline;
	call->silence = request->silence;
	call->reply_max = request->reply_max;
	call->head_len = 0;
	call->on_header = request->on_header;
	call->done = request->done;
	call->data = request->data;
	call->fd = -1;
	call->started = call->sent = call->reply_rejected = call->abandoned =
		false;
	medlar_timer_init(&call->timer, on_timeout, call);
	error = prepare_call(call, request);
	if (!error)
		error = medlar_timer_set(client, &call->timer,
					 connect_until < call->deadline
						 ? connect_until
						 : call->deadline);
	if (error) {
		recycle_call(call);
		return error;
	}
	if (out)
		*out = call;
	http_pool_submit(call);
	return MEDLAR_OK;
}

static void finish_call(http_call_t *call, http_end_t end)
{
	http_pool_t *pool = call->pool;
	http_client_t *http = pool->http;
	http_reply_t reply = { .end = end };
	long status = 0;

	medlar_timer_clear(http->loop->client, &call->timer);
	if (call->started) {
		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_multi_remove_handle(http->multi, call->easy);
		pool->calls_active--;
	} else {
		http_pool_dequeue(call);
	}
	if (end == HTTP_REPLY) {
		reply.status = (int)status;
		reply.body = medlar_buf_str(&call->reply);
	}
	if (end == HTTP_SILENT)
		http_conns_close_older(pool, call->sent_at);
	if (call->sent)
		reply.duration = http->loop->now - call->sent_at;
	call->done(call, &reply, call->data);
	release_reply(call);
	recycle_call(call);
	http_pool_start_waiting(pool);
	http_conns_trim(pool);
	http_pool_free_if_unused(pool);
}

static http_end_t classify_end(const http_call_t *call, CURLcode code)
{
	if (code == CURLE_OK)
		return HTTP_REPLY;
	if (!call->sent)
		return code == CURLE_COULDNT_CONNECT ? HTTP_REFUSED
						     : HTTP_UNSENT;
	if (call->reply_rejected || code == CURLE_WEIRD_SERVER_REPLY ||
	    code == CURLE_UNSUPPORTED_PROTOCOL ||
	    code == CURLE_BAD_CONTENT_ENCODING || code == CURLE_WRITE_ERROR)
		return HTTP_MALFORMED;
	return HTTP_RESET;
}

/**
 * http_client_reap() - complete the calls that libcurl has finished
 * @http: client
 */
void http_client_reap(http_client_t *http)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(http->multi, &left))) {
		http_call_t *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		finish_call(call, classify_end(call, message->data.result));
	}
}

/**
 * http_call_cancel_unsent() - cancel a call unless sending has begun
 * @call: call in progress
 *
 * The call ends as %HTTP_UNSENT from the event loop, not within this function.
 */
void http_call_cancel_unsent(http_call_t *call)
{
	loop_t *loop = call->pool->http->loop;

	if (!call->sent)
		(void)medlar_timer_set(loop->client, &call->timer, loop->now);
}

/**
 * http_call_is_sent() - tell whether sending has begun
 * @call: call in progress or in its callback
 *
 * Return: false only if no byte has been sent.
 */
bool http_call_is_sent(const http_call_t *call)
{
	return call->sent;
}

/**
 * http_call_close_connection() - close the connection that a call used
 * @call: a call in its callback
 */
void http_call_close_connection(const http_call_t *call)
{
	http_conn_t *conn = http_conn_at(call->pool->http, call->fd);

	if (conn && conn->pool == call->pool)
		http_conn_shutdown(conn);
}

/**
 * http_client_init() - initialize an HTTP client
 * @http: client to initialize
 * @loop: event loop of the calling thread
 * @metrics: counters of the thread
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int http_client_init(http_client_t *http, loop_t *loop, metrics_t *metrics)
{
	*http = (http_client_t){ .loop = loop,
				 .metrics = metrics,
				 .reply_memory = {
					 .max = REPLY_MEMORY_BYTES_MAX } };
	http->multi = curl_multi_init();
	if (!http->multi)
		return MEDLAR_ERR_NOMEM;
	return http_conns_init(http);
}

/**
 * http_client_finish() - close an HTTP client
 * @http: client
 *
 * Calls in progress end as %HTTP_CLIENT_CLOSED.
 */
void http_client_finish(http_client_t *http)
{
	const http_reply_t dropped = { .end = HTTP_CLIENT_CLOSED };
	http_pool_t *pool;
	http_call_t *call;

	while ((call = http->calls)) {
		http->calls = call->older;
		if (call->pool)
			call->done(call, &dropped, call->data);
		medlar_timer_clear(http->loop->client, &call->timer);
		curl_multi_remove_handle(http->multi, call->easy);
		medlar_timer_clear(http->loop->client, &call->timer);
		free_call(call);
	}
	curl_multi_cleanup(http->multi);
	http_conns_finish(http);
	while ((pool = http->pools)) {
		http->pools = pool->next;
		free(pool);
	}
}
