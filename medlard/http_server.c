/**
 * DOC: HTTP server for callers and operators
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "medlard/addresses.h"
#include "medlard/answer.h"
#include "medlard/http_server.h"
#include "medlard/operators.h"
#include "medlard/status.h"
#include "medlard/writer.h"

/* Limits for a request's path and headers, and for a connection's buffers. */
#define HEADERS_BYTES_MAX ((size_t)16 << 10)
#define CONNECTION_MEMORY_BYTES ((size_t)64 << 10)

/* Longest time until an HTTP server checks the timeouts of its connections. */
#define POLL_PERIOD (MEDLAR_SECOND / 4)

/* Runs of an HTTP server before other work of the event loop gets its turn. */
#define RUNS_PER_TURN_MAX 64

/* Characters of a header's name, RFC 9110, section 5.6.2. */
#define TOKEN_BYTES                                           \
	"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz" \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ"

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

/**
 * http_server_abort() - close the connection of a request without answering it
 * @request: request at its home worker
 */
void http_server_abort(request_t *request)
{
	(void)shutdown(request->fd, SHUT_RDWR);
}

static void on_request_timeout(medlar_client_t *client, medlar_timer_t *timer,
			       medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	http_server_abort(data);
}

/* Called when the request line has been read. */
static void *on_request_line(void *data, const char *uri,
			     struct MHD_Connection *connection)
{
	worker_t *worker = data;
	const union MHD_ConnectionInfo *info;
	request_t *request = calloc(1, sizeof(*request));

	(void)uri;
	if (!request)
		return NULL;
	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	request->home = worker;
	request->connection = connection;
	request->fd = info->connect_fd;
	request->arrived = worker->loop.now;
	request->content_type = "application/json";
	medlar_buf_init(&request->body);
	medlar_buf_init(&request->answer);
	medlar_timer_init(&request->timer, on_request_timeout, request);
	(void)medlar_timer_set(&worker->client, &request->timer,
			       worker->loop.now + worker->settings->request_ms);
	return request;
}

static void on_completed(void *data, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	worker_t *worker = data;
	request_t *request = *state;

	(void)connection;
	(void)code;
	*state = NULL;
	if (!request)
		return;
	medlar_timer_clear(&worker->client, &request->timer);
	medlar_buf_finish(&request->body);
	medlar_buf_finish(&request->answer);
	args_finish(&request->args);
	free(request);
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

static uint64_t identify_caller(struct MHD_Connection *connection)
{
	const char *name = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Medlar-Caller");
	const union MHD_ConnectionInfo *info;

	if (name)
		return medlar_str_hash(medlar_str_from(name), 1);
	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	return hash_address(info->client_addr);
}

static int read_idempotency_key(request_t *request)
{
	const char *key = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND, "Idempotency-Key");

	if (!key)
		return MEDLAR_OK;
	if (strlen(key) > REQUEST_KEY_MAX)
		return MEDLAR_ERR_RANGE;
	memcpy(request->key, key, strlen(key) + 1);
	return MEDLAR_OK;
}

/**
 * struct header_summary - properties of the headers of a request
 * @bytes: total length of the path and of all names and values
 * @content_lengths: number of Content-Length headers
 * @transfer_encodings: number of Transfer-Encoding headers
 * @ambiguous: two HTTP implementations may interpret a header differently
 */
typedef struct header_summary {
	size_t bytes;
	unsigned content_lengths;
	unsigned transfer_encodings;
	bool ambiguous;
} header_summary_t;

static bool is_token(const char *name)
{
	return name[0] != '\0' && strspn(name, TOKEN_BYTES) == strlen(name);
}

static enum MHD_Result check_header(void *data, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	header_summary_t *summary = data;

	(void)kind;
	summary->bytes += strlen(name) + (value ? strlen(value) : 0);
	if (strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
		summary->content_lengths++;
	if (strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0) {
		summary->transfer_encodings++;
		if (!value || strcasecmp(value, "chunked") != 0)
			summary->ambiguous = true;
	}
	if (!is_token(name))
		summary->ambiguous = true;
	return MHD_YES;
}

/* See RFC 9112, section 6.3: the end of the request must be unambiguous. */
static bool has_ambiguous_end(const header_summary_t *summary)
{
	return summary->ambiguous ||
	       summary->content_lengths + summary->transfer_encodings > 1;
}

static bool exceeds_body_max(const request_t *request)
{
	const char *text = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND,
		MHD_HTTP_HEADER_CONTENT_LENGTH);

	return text && strtoull(text, NULL, 10) >
			       (uint64_t)request->home->settings->body_max;
}

static enum MHD_Result refuse_early(request_t *request, unsigned status,
				    int error, const char *field)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	metrics_add(&request->home->metrics, METRIC_BAD_REQUESTS, 1);
	answer_refusal(&request->answer, error, field);
	request->dispatched = true;
	response = MHD_create_response_from_buffer(request->answer.len,
						   request->answer.ptr,
						   MHD_RESPMEM_MUST_COPY);
	if (!response)
		return MHD_NO;
	(void)MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				      request->content_type);
	/* The start of a request after a malformed one is unknown. */
	if (status == MHD_HTTP_BAD_REQUEST)
		(void)MHD_add_response_header(
			response, MHD_HTTP_HEADER_CONNECTION, "close");
	result = MHD_queue_response(request->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

/* Called when the headers of a request have been read. */
static enum MHD_Result on_headers(request_t *request, const char *method,
				  const char *path)
{
	header_summary_t summary = { .bytes = strlen(path) };
	bool known;

	metrics_add(&request->home->metrics, METRIC_REQUESTS, 1);
	MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
				  check_header, &summary);
	if (has_ambiguous_end(&summary))
		return refuse_early(request, MHD_HTTP_BAD_REQUEST,
				    MEDLAR_ERR_SYNTAX, "framing");
	if (summary.bytes > HEADERS_BYTES_MAX)
		return refuse_early(request,
				    MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
				    MEDLAR_ERR_TOO_LARGE, "headers");
	request->route = find_route(method, path, &known);
	if (!request->route && known)
		return refuse_early(request, MHD_HTTP_METHOD_NOT_ALLOWED,
				    MEDLAR_ERR_NOT_FOUND, "method");
	if (!request->route)
		return refuse_early(request, MHD_HTTP_NOT_FOUND,
				    MEDLAR_ERR_NOT_FOUND, "path");
	if (exceeds_body_max(request))
		return refuse_early(request, MHD_HTTP_CONTENT_TOO_LARGE,
				    MEDLAR_ERR_TOO_LARGE, "body");
	if (read_idempotency_key(request))
		return refuse_early(request, MHD_HTTP_BAD_REQUEST,
				    MEDLAR_ERR_RANGE, "Idempotency-Key");
	request->path = path;
	request->caller = identify_caller(request->connection);
	request->authorization = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND,
		MHD_HTTP_HEADER_AUTHORIZATION);
	return MHD_YES;
}

static enum MHD_Result on_body(request_t *request, const char *bytes,
			       size_t *len)
{
	size_t most = (size_t)request->home->settings->body_max;

	if (request->body.len + *len > most)
		request->too_large = true;
	else
		medlar_buf_add(&request->body, (medlar_str_t){ bytes, *len });
	*len = 0;
	return request->body.error ? MHD_NO : MHD_YES;
}

static enum MHD_Result on_access(void *data, struct MHD_Connection *connection,
				 const char *path, const char *method,
				 const char *version, const char *bytes,
				 size_t *len, void **state)
{
	request_t *request = *state;

	(void)data;
	(void)connection;
	(void)version;
	if (!request)
		return MHD_NO;
	if (!request->route && !request->dispatched)
		return on_headers(request, method, path);
	if (*len > 0)
		return on_body(request, bytes, len);
	if (request->dispatched)
		return MHD_YES;
	medlar_timer_clear(&request->home->client, &request->timer);
	if (request->too_large)
		return refuse_early(request, MHD_HTTP_CONTENT_TOO_LARGE,
				    MEDLAR_ERR_TOO_LARGE, "body");
	request_start(request);
	return MHD_YES;
}

static void on_connection(void *data, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	worker_t *worker = data;

	(void)connection;
	(void)state;
	metrics_add(&worker->metrics,
		    code == MHD_CONNECTION_NOTIFY_STARTED
			    ? METRIC_CALLER_CONNECTIONS
			    : METRIC_CALLER_CLOSED,
		    1);
}

static void run_daemon(worker_t *worker, struct MHD_Daemon *daemon)
{
	MHD_UNSIGNED_LONG_LONG wait = 0;

	for (int i = 0; i < RUNS_PER_TURN_MAX; i++) {
		MHD_run(daemon);
		if (MHD_get_timeout(daemon, &wait) != MHD_YES || wait > 0)
			return;
	}
	/* More work is ready: continue in the next iteration of the loop. */
	(void)medlar_timer_set(&worker->client, &worker->poll_timer,
			       worker->loop.now);
}

static void run_daemons(void *data)
{
	worker_t *worker = data;

	if (!worker->port_ready)
		return;
	worker->port_ready = false;
	for (size_t i = 0; i < worker->daemons_len; i++)
		run_daemon(worker, worker->daemons[i]);
}

static void on_port_ready(uint32_t events, void *data)
{
	worker_t *worker = data;

	(void)events;
	worker->port_ready = true;
}

static void on_poll_timer(medlar_client_t *client, medlar_timer_t *timer,
			  medlar_time_t now, void *data)
{
	worker_t *worker = data;

	worker->port_ready = true;
	(void)medlar_timer_set(client, timer, now + POLL_PERIOD);
}

static int fill_address(const endpoint_t *endpoint,
			struct sockaddr_storage *address)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)address;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;

	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, endpoint->host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)endpoint->port);
		return 0;
	}
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons((uint16_t)endpoint->port);
	if (inet_pton(AF_INET6, endpoint->host, &v6->sin6_addr) != 1)
		return -1;
	return MHD_USE_IPv6;
}

static struct MHD_Daemon *listen_on(worker_t *worker,
				    const endpoint_t *endpoint)
{
	const settings_t *settings = worker->settings;
	struct sockaddr_storage address;
	int flags = fill_address(endpoint, &address);
	unsigned connections = (unsigned)(settings->connections_max /
					  settings->threads) +
			       1;

	if (flags < 0)
		return NULL;
	return MHD_start_daemon(
		(unsigned)flags | MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
		(uint16_t)endpoint->port, NULL, NULL, on_access, worker,
		MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, connections,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)(settings->idle_ms / MEDLAR_SECOND),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, worker,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, worker,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_line, worker,
		MHD_OPTION_END);
}

static int watch_daemon(worker_t *worker, struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		daemon, MHD_DAEMON_INFO_EPOLL_FD);

	if (!info)
		return MEDLAR_ERR_IO;
	return loop_watch(&worker->loop, info->epoll_fd, EPOLLIN, on_port_ready,
			  worker);
}

/**
 * http_server_init() - start to listen for callers
 * @worker: worker whose loop is initialized
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_IO if an address cannot be used, or
 * %MEDLAR_ERR_NOMEM.
 */
int http_server_init(worker_t *worker)
{
	const endpoint_t *endpoints = worker->settings->listen.items;

	for (size_t i = 0; i < worker->settings->listen.len; i++) {
		struct MHD_Daemon *daemon = listen_on(worker, &endpoints[i]);

		if (!daemon)
			return MEDLAR_ERR_IO;
		worker->daemons[worker->daemons_len++] = daemon;
		if (watch_daemon(worker, daemon))
			return MEDLAR_ERR_IO;
	}
	medlar_timer_init(&worker->poll_timer, on_poll_timer, worker);
	if (medlar_timer_set(&worker->client, &worker->poll_timer,
			     worker->loop.now + POLL_PERIOD))
		return MEDLAR_ERR_NOMEM;
	return loop_add_hook(&worker->loop, run_daemons, worker);
}

/**
 * http_server_finish() - stop listening and close all connections of callers
 * @worker: worker whose thread has ended
 */
void http_server_finish(worker_t *worker)
{
	request_t *request;

	for (request = worker->in_flight; request; request = request->next)
		if (request->suspended)
			MHD_resume_connection(request->connection);
	for (size_t i = 0; i < worker->daemons_len; i++)
		MHD_stop_daemon(worker->daemons[i]);
	worker->daemons_len = 0;
	medlar_timer_clear(&worker->client, &worker->poll_timer);
}
