/**
 * DOC: HTTP server for callers and operators
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>

#include "medlard/addresses.h"
#include "medlard/answer.h"
#include "medlard/http_server.h"
#include "medlard/operators.h"
#include "medlard/status.h"
#include "medlard/writer.h"

/* Limit for a request's target and headers, bytes. */
#define HEAD_BYTES_MAX ((size_t)16 << 10)

static const route_t caller_routes[] = {
	{ "POST", "/v1/services/", service_handle },
	{ "GET", "/v1/addresses", addresses_handle },
	{ "GET", "/healthz", status_healthz },
	{ "GET", "/readyz", status_readyz },
	{ "GET", "/metrics", status_metrics },
	{ "GET", "/v1/status", status_services },
	{ "GET", "/v1/upstreams", status_upstreams },
	{ "GET", "/v1/instances", status_instances },
	{ "GET", "/v1/suspects", status_suspects },
	{ "GET", "/v1/writes/", writer_handle_show },
};

static const route_t operator_routes[] = {
	{ "GET", "/v1/questionnaire", operators_get_newest },
	{ "GET", "/v1/questionnaire/history", operators_get_history },
	{ "GET", "/v1/questionnaire/revisions/", operators_get_revision },
	{ "PUT", "/v1/questionnaire/", operators_submit },
	{ "DELETE", "/v1/suspects/", operators_pardon },
};

#define ROUTE_TABLE(routes)                                    \
	{                                                      \
		(routes), sizeof(routes) / sizeof((routes)[0]) \
	}

static const struct {
	const route_t *routes;
	size_t len;
} route_tables[] = {
	ROUTE_TABLE(caller_routes),
	ROUTE_TABLE(operator_routes),
};

static bool route_matches(const route_t *route, const char *path)
{
	size_t len = strlen(route->path);

	if (route->path[len - 1] == '/')
		return strncmp(path, route->path, len) == 0;
	return strcmp(path, route->path) == 0;
}

static const route_t *find_route(const char *method, const char *path,
				 bool *known)
{
	const size_t tables = sizeof(route_tables) / sizeof(route_tables[0]);

	*known = false;
	for (size_t i = 0; i < tables; i++) {
		for (size_t j = 0; j < route_tables[i].len; j++) {
			const route_t *route = &route_tables[i].routes[j];

			if (!route_matches(route, path))
				continue;
			*known = true;
			if (strcmp(route->method, method) == 0)
				return route;
		}
	}
	return NULL;
}

static uint64_t hash_address(const struct sockaddr *address)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
	medlar_str_t bytes = { (const char *)&v4->sin_addr,
			       sizeof(v4->sin_addr) };

	if (address->sa_family == AF_INET6)
		bytes = (medlar_str_t){ (const char *)&v6->sin6_addr,
					sizeof(v6->sin6_addr) };
	return medlar_str_hash(bytes, 0);
}

static uint64_t identify_caller(const h1_conn_t *conn)
{
	medlar_str_t name = h1_message_find_header(&conn->parser.message,
						   MEDLAR_STR("medlar-caller"));
	struct sockaddr_storage address = { 0 };
	socklen_t len = sizeof(address);

	if (name.ptr)
		return medlar_str_hash(name, 1);
	(void)getpeername(conn->fd, (struct sockaddr *)&address, &len);
	return hash_address((const struct sockaddr *)&address);
}

/*
 * Appends a part of a URL with its escapes decoded.
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_SYNTAX if it contains a NUL, or
 * %MEDLAR_ERR_NOMEM.
 */
static int decode_escapes(medlar_str_t text, medlar_buf_t *out)
{
	int len = 0;
	char *decoded;
	int error = MEDLAR_OK;

	if (!memchr(text.ptr, '%', text.len)) {
		medlar_buf_add(out, text);
		return out->error;
	}
	decoded = curl_easy_unescape(NULL, text.ptr, (int)text.len, &len);
	if (!decoded)
		return MEDLAR_ERR_NOMEM;
	if (memchr(decoded, '\0', (size_t)len))
		error = MEDLAR_ERR_SYNTAX;
	else
		medlar_buf_add(out, (medlar_str_t){ decoded, (size_t)len });
	curl_free(decoded);
	return error ? error : out->error;
}

/**
 * http_server_decode_argument() - find an argument in the query of a URL
 * @request: request
 * @name: name of the argument
 * @out: buffer that the value of the first such argument is appended to
 */
void http_server_decode_argument(const request_t *request, medlar_str_t name,
				 medlar_buf_t *out)
{
	const char *at = request->arguments;

	while (*at) {
		size_t len = strcspn(at, "&");
		size_t name_len = strcspn(at, "&=");

		if (medlar_str_equal((medlar_str_t){ at, name_len }, name)) {
			if (name_len < len)
				(void)decode_escapes(
					(medlar_str_t){ at + name_len + 1,
							len - name_len - 1 },
					out);
			return;
		}
		at += len + (at[len] == '&');
	}
}

static void answer_conn(h1_conn_t *conn, unsigned status,
			const char *content_type, medlar_str_t body)
{
	medlar_buf_t headers;

	medlar_buf_init(&headers);
	medlar_buf_printf(&headers, "Content-Type: %s\r\n", content_type);
	h1_conn_answer(conn, status, medlar_buf_str(&headers), body);
	medlar_buf_finish(&headers);
}

/**
 * http_server_answer() - send the answer to a request
 * @request: answered request whose connection is open, at its home worker
 */
void http_server_answer(request_t *request)
{
	answer_conn(request->conn, request->status, request->content_type,
		    medlar_buf_str(&request->answer));
}

static void refuse_conn(worker_t *worker, h1_conn_t *conn, unsigned status,
			int error, const char *field)
{
	medlar_buf_t body;

	metrics_add(&worker->metrics, METRIC_BAD_REQUESTS, 1);
	medlar_buf_init(&body);
	answer_refusal(&body, error, field);
	answer_conn(conn, status, "application/json", medlar_buf_str(&body));
	medlar_buf_finish(&body);
}

static void on_rejected(h1_conn_t *conn, unsigned status, void *data)
{
	worker_t *worker = data;
	int error = MEDLAR_ERR_SYNTAX;
	const char *field = "framing";

	if (status == HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE) {
		error = MEDLAR_ERR_TOO_LARGE;
		field = "headers";
	} else if (status == HTTP_STATUS_PAYLOAD_TOO_LARGE) {
		error = MEDLAR_ERR_TOO_LARGE;
		field = "body";
	} else if (status == HTTP_STATUS_REQUEST_TIMEOUT) {
		error = MEDLAR_ERR_DEADLINE;
		field = "";
	}
	metrics_add(&worker->metrics, METRIC_REQUESTS, 1);
	refuse_conn(worker, conn, status, error, field);
}

static request_t *create_request(worker_t *worker, h1_conn_t *conn)
{
	request_t *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->home = worker;
	request->conn = conn;
	request->arrived = conn->request_began;
	request->caller = identify_caller(conn);
	request->content_type = "application/json";
	medlar_buf_init(&request->text);
	medlar_buf_init(&request->answer);
	medlar_buf_init(&request->body);
	return request;
}

/* Copies what outlives the connection: the target and the credentials. */
static int copy_head(request_t *request, const h1_message_t *message)
{
	const medlar_str_t terminator = { "", 1 };
	const medlar_str_t target = h1_message_target(message);
	const char *mark = memchr(target.ptr, '?', target.len);
	size_t path_len = mark ? (size_t)(mark - target.ptr) : target.len;
	medlar_str_t authorization = h1_message_find_header(
		message, MEDLAR_STR("authorization"));
	medlar_buf_t *text = &request->text;
	size_t arguments_at;
	size_t authorization_at;
	int error = decode_escapes((medlar_str_t){ target.ptr, path_len },
				   text);

	if (error)
		return error;
	medlar_buf_add(text, terminator);
	arguments_at = text->len;
	if (mark)
		medlar_buf_add(
			text,
			(medlar_str_t){ mark + 1, target.len - path_len - 1 });
	medlar_buf_add(text, terminator);
	authorization_at = text->len;
	medlar_buf_add(text, authorization);
	medlar_buf_add(text, terminator);
	if (text->error)
		return text->error;
	request->path = text->ptr;
	request->arguments = text->ptr + arguments_at;
	if (authorization.ptr)
		request->authorization = text->ptr + authorization_at;
	return MEDLAR_OK;
}

static int copy_idempotency_key(request_t *request, const h1_message_t *message)
{
	medlar_str_t key = h1_message_find_header(
		message, MEDLAR_STR("idempotency-key"));

	if (key.len > REQUEST_KEY_MAX)
		return MEDLAR_ERR_RANGE;
	if (key.ptr)
		memcpy(request->key, key.ptr, key.len);
	return MEDLAR_OK;
}

/* Finds the route of a request. Return: false if the request was refused. */
static bool route_request(request_t *request, h1_conn_t *conn)
{
	const h1_message_t *message = &conn->parser.message;
	worker_t *worker = request->home;
	int error = copy_head(request, message);
	bool known = false;

	if (error == MEDLAR_ERR_NOMEM) {
		refuse_conn(worker, conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
			    error, "");
		return false;
	}
	if (!error)
		request->route = find_route(message->method, request->path,
					    &known);
	if (!request->route) {
		refuse_conn(worker, conn,
			    known ? HTTP_STATUS_METHOD_NOT_ALLOWED
				  : HTTP_STATUS_NOT_FOUND,
			    MEDLAR_ERR_NOT_FOUND, known ? "method" : "path");
		return false;
	}
	if (copy_idempotency_key(request, message)) {
		refuse_conn(worker, conn, HTTP_STATUS_BAD_REQUEST,
			    MEDLAR_ERR_RANGE, "Idempotency-Key");
		return false;
	}
	return true;
}

static void on_request(h1_conn_t *conn, void *data)
{
	worker_t *worker = data;
	request_t *request = create_request(worker, conn);

	metrics_add(&worker->metrics, METRIC_REQUESTS, 1);
	if (!request) {
		refuse_conn(worker, conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
			    MEDLAR_ERR_NOMEM, "");
		return;
	}
	if (!route_request(request, conn)) {
		request_free(request);
		return;
	}
	request->body = conn->parser.message.body;
	medlar_buf_init(&conn->parser.message.body);
	conn->handler_data = request;
	request_start(request);
}

static void on_disconnected(h1_conn_t *conn, void *data)
{
	(void)data;
	if (conn->handler_data)
		request_on_disconnect(conn->handler_data);
}

static void on_opened(void *data)
{
	worker_t *worker = data;

	metrics_add(&worker->metrics, METRIC_CALLER_CONNECTIONS, 1);
}

static void on_closed(void *data)
{
	worker_t *worker = data;

	metrics_add(&worker->metrics, METRIC_CALLER_CLOSED, 1);
}

static const h1_handler_t handler = {
	.request = on_request,
	.disconnected = on_disconnected,
	.rejected = on_rejected,
	.opened = on_opened,
	.closed = on_closed,
};

static int fill_address(const endpoint_t *endpoint,
			struct sockaddr_storage *address)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)address;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;

	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, endpoint->host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)endpoint->port);
		return MEDLAR_OK;
	}
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons((uint16_t)endpoint->port);
	if (inet_pton(AF_INET6, endpoint->host, &v6->sin6_addr) != 1)
		return MEDLAR_ERR_SYNTAX;
	return MEDLAR_OK;
}

static int listen_on(worker_t *worker, const endpoint_t *endpoint)
{
	const settings_t *settings = worker->settings;
	const h1_server_options_t options = {
		.message = { HEAD_BYTES_MAX, (size_t)settings->body_max },
		.receive_ms = settings->request_ms,
		.idle_ms = settings->idle_ms,
		.shares_port = true,
	};
	size_t conns_max = (size_t)(settings->connections_max /
				    settings->threads) +
			   1;
	struct sockaddr_storage address;

	if (fill_address(endpoint, &address))
		return MEDLAR_ERR_IO;
	return h1_server_init(&worker->servers[worker->servers_len++],
			      &worker->loop, (const struct sockaddr *)&address,
			      &options, conns_max, &handler, worker);
}

/**
 * http_server_init() - start to listen for callers
 * @worker: worker whose loop is initialized
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO if an address cannot be used.
 */
int http_server_init(worker_t *worker)
{
	const endpoint_t *endpoints = worker->settings->listen.items;

	for (size_t i = 0; i < worker->settings->listen.len; i++) {
		int error = listen_on(worker, &endpoints[i]);

		if (error)
			return error;
	}
	return MEDLAR_OK;
}

/**
 * http_server_begin_close() - close each connection after its next answer
 * @worker: worker
 */
void http_server_begin_close(worker_t *worker)
{
	for (size_t i = 0; i < worker->servers_len; i++)
		worker->servers[i].closing = true;
}

/**
 * http_server_count_busy() - count the requests that a stop must wait for
 * @worker: worker
 *
 * Return: number of requests that are being received, executed or answered.
 */
size_t http_server_count_busy(const worker_t *worker)
{
	size_t busy = 0;

	for (size_t i = 0; i < worker->servers_len; i++)
		busy += h1_server_count_busy(&worker->servers[i]);
	/* Those whose caller has left have no connection any more. */
	return busy > worker->in_flight_len ? busy : worker->in_flight_len;
}

/**
 * http_server_finish() - stop listening, close all connections of callers and
 *	free their requests
 * @worker: worker whose thread has ended
 */
void http_server_finish(worker_t *worker)
{
	request_t *request = worker->in_flight;

	while (request) {
		request_t *next = request->next;

		if (request->conn)
			request->conn->handler_data = NULL;
		request_free(request);
		request = next;
	}
	worker->in_flight = NULL;
	worker->in_flight_len = 0;
	for (size_t i = 0; i < worker->servers_len; i++)
		h1_server_finish(&worker->servers[i]);
	worker->servers_len = 0;
}
