/**
 * DOC: HTTP servers and requests of the stand-ins
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common_loop.h"

#define BACKLOG_MAX 1024

static void reset_on_close(const fake_connection_t *connection)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

static void resume_request(fake_request_t *request)
{
	if (!request || !request->suspended)
		return;
	request->suspended = false;
	request->port->has_work = true;
	MHD_resume_connection(request->mhd);
}

/* Closes the silent connections that the peer has closed. */
static void close_abandoned_connections(fake_port_t *port)
{
	fake_connection_t *connection;
	char byte;

	for (connection = port->connections; connection;
	     connection = connection->next) {
		if (!connection->silent || !connection->request)
			continue;
		if (recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) !=
		    0)
			continue;
		connection->request->aborted = true;
		resume_request(connection->request);
	}
}

static enum MHD_Result on_accept(void *cls, const struct sockaddr *addr,
				 socklen_t len)
{
	fake_port_t *port = cls;

	(void)addr;
	(void)len;
	close_abandoned_connections(port);
	if (port->connections_max == 0 ||
	    port->connections_open < port->connections_max)
		return MHD_YES;
	port->connections_rejected++;
	return MHD_NO;
}

static void connection_started(fake_port_t *port, struct MHD_Connection *mhd,
			       void **context)
{
	fake_connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		abort();
	connection->port = port;
	connection->fd = MHD_get_connection_info(
				 mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
				 ->connect_fd;
	connection->next = port->connections;
	if (connection->next)
		connection->next->prev = connection;
	port->connections = connection;
	port->connections_open++;
	if (port->connections_open > port->connections_open_max)
		port->connections_open_max = port->connections_open;
	*context = connection;
}

static void connection_closed(fake_port_t *port, fake_connection_t *connection)
{
	if (!connection->silent)
		port->connections_open--;
	if (connection->next)
		connection->next->prev = connection->prev;
	if (connection->prev)
		connection->prev->next = connection->next;
	else
		port->connections = connection->next;
	free(connection);
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		connection_started(cls, mhd, context);
	else if (*context)
		connection_closed(cls, *context);
}

static fake_request_t *request_new(fake_port_t *port,
				   struct MHD_Connection *mhd, const char *url,
				   const char *method)
{
	fake_request_t *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->port = port;
	request->mhd = mhd;
	request->url = strdup(url);
	request->method = strdup(method);
	request->connection = MHD_get_connection_info(
				      mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				      ->socket_context;
	request->connection->request = request;
	request->connection->requests_received++;
	medlar_buf_init(&request->body);
	return request;
}

static enum MHD_Result wait_for_answer(fake_request_t *request)
{
	request->suspended = true;
	MHD_suspend_connection(request->mhd);
	return MHD_YES;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_size, void **context)
{
	fake_port_t *port = cls;
	fake_request_t *request = *context;

	(void)version;
	if (!request) {
		*context = request_new(port, mhd, url, method);
		return MHD_YES;
	}
	if (*data_size > 0) {
		medlar_buf_add(&request->body,
			       (medlar_str_t){ data, *data_size });
		*data_size = 0;
		return MHD_YES;
	}
	if (request->aborted)
		return MHD_NO;
	if (request->connection->silent)
		return wait_for_answer(request);
	if (!request->dispatched) {
		request->dispatched = true;
		port->ops->handle(request, port->data);
	}
	if (request->aborted)
		return MHD_NO;
	if (!request->response)
		return wait_for_answer(request);
	return MHD_queue_response(mhd, request->status, request->response);
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **context,
			 enum MHD_RequestTerminationCode code)
{
	fake_port_t *port = cls;
	fake_request_t *request = *context;

	(void)mhd;
	(void)code;
	if (!request)
		return;
	request->connection->request = NULL;
	if (request->dispatched && port->ops->finished)
		port->ops->finished(request, port->data);
	if (request->response)
		MHD_destroy_response(request->response);
	medlar_buf_finish(&request->body);
	free(request->url);
	free(request->method);
	free(request);
	*context = NULL;
}

/**
 * fake_port_init() - initialise a port without opening it
 * @port: memory of the caller, which outlives the loop
 * @loop: loop that is to serve it
 * @number: TCP port on the loopback address
 * @ops: request handlers
 * @data: passed to the handlers
 */
void fake_port_init(fake_port_t *port, fake_loop_t *loop, uint16_t number,
		    const fake_port_ops_t *ops, void *data)
{
	*port = (fake_port_t){ .loop = loop,
			       .next = loop->ports,
			       .port = number,
			       .ops = ops,
			       .data = data };
	loop->ports = port;
}

/**
 * fake_port_open() - start to listen on a port
 * @port: a closed port
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_IO.
 */
int fake_port_open(fake_port_t *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port->port) };
	const union MHD_DaemonInfo *info;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	port->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO |
			MHD_USE_ERROR_LOG,
		port->port, on_accept, port, on_request, port,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)BACKLOG_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, port,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, port,
		MHD_OPTION_END);
	if (!port->mhd)
		return MEDLAR_ERR_IO;
	info = MHD_get_daemon_info(port->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info || fake_loop_watch(port->loop, info->epoll_fd, port))
		return MEDLAR_ERR_IO;
	return MEDLAR_OK;
}

/**
 * fake_port_close() - stop listening and reset all connections
 * @port: port, open or closed; must not be called from its handlers
 */
void fake_port_close(fake_port_t *port)
{
	fake_connection_t *connection;
	struct MHD_Daemon *mhd = port->mhd;

	if (!mhd)
		return;
	for (connection = port->connections; connection;
	     connection = connection->next) {
		reset_on_close(connection);
		if (!connection->request)
			continue;
		connection->request->aborted = true;
		resume_request(connection->request);
	}
	port->mhd = NULL;
	MHD_stop_daemon(mhd);
}

/**
 * fake_port_silence() - stop answering on open connections
 * @port: port; later connections are answered as before
 * @every: 1 for all connections open now, 2 for every second one, and so on
 */
void fake_port_silence(fake_port_t *port, unsigned every)
{
	fake_connection_t *connection;
	unsigned seen = 0;

	for (connection = port->connections; connection;
	     connection = connection->next) {
		if (connection->silent || ++seen % every != 0)
			continue;
		connection->silent = true;
		port->connections_open--;
	}
}

/**
 * fake_request_answer() - answer a request
 * @request: a request without an answer
 * @status: HTTP status
 * @response: answer; the request takes ownership
 */
void fake_request_answer(fake_request_t *request, unsigned status,
			 struct MHD_Response *response)
{
	request->response = response;
	request->status = status;
	if (!request->connection->silent)
		resume_request(request);
}

/**
 * fake_request_answer_json() - answer a request with JSON
 * @request: a request without an answer
 * @status: HTTP status
 * @text: body, copied
 */
void fake_request_answer_json(fake_request_t *request, unsigned status,
			      const medlar_buf_t *text)
{
	medlar_str_t str = medlar_buf_str(text);
	struct MHD_Response *response;

	response = MHD_create_response_from_buffer(str.len, (void *)str.ptr,
						   MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", "application/json");
	fake_request_answer(request, status, response);
}

/**
 * fake_request_answer_text() - answer a request with a constant string
 * @request: a request without an answer
 * @status: HTTP status
 * @text: body; not copied, must stay valid
 */
void fake_request_answer_text(fake_request_t *request, unsigned status,
			      const char *text)
{
	fake_request_answer(
		request, status,
		MHD_create_response_from_buffer(strlen(text), (void *)text,
						MHD_RESPMEM_PERSISTENT));
}

/**
 * fake_request_abort() - reset the connection of a request instead of answering
 * @request: a request without an answer
 */
void fake_request_abort(fake_request_t *request)
{
	reset_on_close(request->connection);
	request->aborted = true;
	resume_request(request);
}

/**
 * fake_request_header() - look up a request header
 * @request: request
 * @name: name, in upper or lower case
 *
 * Return: the value, or NULL without the header.
 */
const char *fake_request_header(const fake_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_HEADER_KIND, name);
}

/**
 * fake_request_arg() - look up an argument of the URL
 * @request: request
 * @name: name of the argument
 *
 * Return: the value, or NULL if the argument is absent or has no value.
 */
const char *fake_request_arg(const fake_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_GET_ARGUMENT_KIND,
					   name);
}

/**
 * fake_request_arg_number() - read a numeric argument of the URL
 * @request: request
 * @name: name of the argument
 * @fallback: result if it is absent
 *
 * Return: the value.
 */
uint64_t fake_request_arg_number(const fake_request_t *request,
				 const char *name, uint64_t fallback)
{
	const char *text = fake_request_arg(request, name);

	return text ? strtoull(text, NULL, 10) : fallback;
}
