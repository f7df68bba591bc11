/**
 * DOC: listeners and incoming HTTP/1.1 connections
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "medlard/h1_server.h"

#define READ_BYTES_MAX 65536
#define LISTEN_BACKLOG 1024
#define PENDING_BYTES_MAX ((size_t)64 * 1024)
#define ACCEPTS_PER_EVENT 64
#define US_PER_MS 1000

static const struct {
	unsigned status;
	const char *reason;
} reason_phrases[] = {
	{ 200, "OK" },
	{ 400, "Bad Request" },
	{ 404, "Not Found" },
	{ 408, "Request Timeout" },
	{ 413, "Content Too Large" },
	{ 422, "Unprocessable Content" },
	{ 431, "Request Header Fields Too Large" },
	{ 500, "Internal Server Error" },
	{ 502, "Bad Gateway" },
	{ 503, "Service Unavailable" },
	{ 504, "Gateway Timeout" },
};

static const char *reason_phrase(unsigned status)
{
	for (size_t i = 0;
	     i < sizeof(reason_phrases) / sizeof(reason_phrases[0]); i++)
		if (reason_phrases[i].status == status)
			return reason_phrases[i].reason;
	return http_status_str((enum http_status)status);
}

/**
 * h1_conn_close() - close a connection immediately and free it
 * @conn: a connection; invalid afterwards
 */
void h1_conn_close(h1_conn_t *conn)
{
	h1_server_t *server = conn->server;

	if (conn->busy && server->handler->disconnected)
		server->handler->disconnected(conn, server->data);
	medlar_timer_clear(server->loop->client, &conn->timer);
	loop_unwatch(server->loop, conn->fd);
	close(conn->fd);
	TAILQ_REMOVE(&server->conns, conn, link);
	server->conns_len--;
	h1_parser_finish(&conn->parser);
	medlar_buf_finish(&conn->out);
	medlar_buf_finish(&conn->pending);
	conn->closed = true;
	if (!conn->parsing)
		free(conn);
	if (server->handler->closed)
		server->handler->closed(server->data);
}

/**
 * h1_conn_round_trip() - get the round trip time of a connection
 * @conn: a connection
 *
 * It is the kernel's estimate when this is first called. Later estimates would
 * include the time by which clients delay acknowledgements of answers.
 *
 * Return: time in ms, rounded up; -1 if it is unknown.
 */
medlar_time_t h1_conn_round_trip(h1_conn_t *conn)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (conn->round_trip)
		return conn->round_trip;
	if (getsockopt(conn->fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    info.tcpi_rtt == 0)
		return -1;
	conn->round_trip = (info.tcpi_rtt + US_PER_MS - 1) / US_PER_MS;
	return conn->round_trip;
}

static void on_events(uint32_t events, void *data);

static void set_events(h1_conn_t *conn, uint32_t events)
{
	if (conn->watched_events == events)
		return;
	conn->watched_events = events;
	/* After a failure no events arrive; the timer closes the connection. */
	(void)loop_watch(conn->server->loop, conn->fd, events, on_events, conn);
}

static void set_timer(h1_conn_t *conn, medlar_time_t after)
{
	loop_t *loop = conn->server->loop;

	(void)medlar_timer_set(loop->client, &conn->timer, loop->now + after);
}

/* Return: false if the connection was closed and freed. */
static bool send_pending(h1_conn_t *conn)
{
	while (conn->out_sent < conn->out.len) {
		ssize_t done = send(conn->fd, conn->out.ptr + conn->out_sent,
				    conn->out.len - conn->out_sent,
				    MSG_NOSIGNAL);

		if (done > 0) {
			conn->out_sent += (size_t)done;
		} else if (errno == EAGAIN || errno == EINTR) {
			set_events(conn, EPOLLIN | EPOLLOUT);
			return true;
		} else {
			h1_conn_close(conn);
			return false;
		}
	}
	medlar_buf_reset(&conn->out);
	conn->out_sent = 0;
	set_events(conn, EPOLLIN);
	if (conn->closing && !conn->busy) {
		/*
		 * Let the client close first: closing a socket with unread
		 * data would reset the connection and could lose the answer.
		 */
		(void)shutdown(conn->fd, SHUT_WR);
		set_timer(conn, MEDLAR_SECOND);
	}
	return true;
}

static void append_head(h1_conn_t *conn, unsigned status, medlar_str_t headers,
			size_t body_len, bool with_length)
{
	medlar_buf_t *out = &conn->out;

	medlar_buf_printf(out, "HTTP/1.1 %u %s\r\n", status,
			  reason_phrase(status));
	medlar_buf_add(out, headers);
	if (with_length)
		medlar_buf_printf(out, "Content-Length: %zu\r\n", body_len);
	if (conn->closing)
		medlar_buf_add(out, MEDLAR_STR("Connection: close\r\n"));
	medlar_buf_add(out, MEDLAR_STR("\r\n"));
}

static void parse_bytes(h1_conn_t *conn, medlar_str_t bytes);

static void resume_pending(h1_conn_t *conn)
{
	medlar_buf_t pending = conn->pending;

	/* While a request is being parsed, its caller parses the next one. */
	if (conn->parsing || conn->closing || pending.len == 0)
		return;
	medlar_buf_init(&conn->pending);
	parse_bytes(conn, medlar_buf_str(&pending));
	medlar_buf_finish(&pending);
}

/**
 * h1_conn_answer() - answer the request of a connection
 * @conn: a connection with a request; may be invalid afterwards
 * @status: HTTP status
 * @headers: header lines, each ending with CR LF. Must not contain Connection,
 *	nor Content-Length unless the method is HEAD.
 * @body: body; not sent if the method is HEAD
 */
void h1_conn_answer(h1_conn_t *conn, unsigned status, medlar_str_t headers,
		    medlar_str_t body)
{
	h1_server_t *server = conn->server;
	const char *method = conn->parser.message.method;
	bool method_is_head = method && strcmp(method, "HEAD") == 0;

	conn->busy = false;
	conn->handler_data = NULL;
	if (server->closing || !conn->parser.message.keep_alive)
		conn->closing = true;
	append_head(conn, status, headers, body.len,
		    !method_is_head && status != 204 && status != 304);
	if (!method_is_head)
		medlar_buf_add(&conn->out, body);
	h1_parser_reset(&conn->parser);
	if (conn->out.error) {
		h1_conn_close(conn);
		return;
	}
	set_timer(conn, server->options.idle_ms);
	if (send_pending(conn))
		resume_pending(conn);
}

/**
 * h1_conn_answer_status() - answer without headers and body
 * @conn: a connection with a request; may be invalid afterwards
 * @status: HTTP status
 */
void h1_conn_answer_status(h1_conn_t *conn, unsigned status)
{
	h1_conn_answer(conn, status, (medlar_str_t){ 0 }, (medlar_str_t){ 0 });
}

/* The start of a request after a malformed one is unknown. */
static void reject_request(h1_conn_t *conn, unsigned status)
{
	h1_server_t *server = conn->server;

	conn->closing = true;
	conn->parser.message.method = NULL;
	if (server->handler->rejected)
		server->handler->rejected(conn, status, server->data);
	else
		h1_conn_answer_status(conn, status);
}

static unsigned status_of_error(h1_progress_t error)
{
	if (error == H1_HEAD_TOO_LARGE)
		return 431;
	return error == H1_BODY_TOO_LARGE ? 413 : 400;
}

static void note_request_start(h1_conn_t *conn)
{
	conn->request_began = conn->server->loop->now;
	set_timer(conn, conn->server->options.receive_ms);
}

static void send_continue(h1_conn_t *conn)
{
	conn->parser.expects_continue = false;
	medlar_buf_add(&conn->out, MEDLAR_STR("HTTP/1.1 100 Continue\r\n\r\n"));
	(void)send_pending(conn);
}

/*
 * Parses bytes up to the end of one request and handles that request. May close
 * the connection.
 *
 * Return: number of bytes parsed.
 */
static size_t parse_request(h1_conn_t *conn, medlar_str_t bytes)
{
	h1_server_t *server = conn->server;
	size_t used = 0;
	h1_progress_t progress;

	if (!conn->parser.started)
		note_request_start(conn);
	progress = h1_parser_feed(&conn->parser, bytes, &used);
	if (progress == H1_COMPLETE) {
		conn->busy = true;
		medlar_timer_clear(server->loop->client, &conn->timer);
		server->handler->request(conn, server->data);
	} else if (progress != H1_INCOMPLETE) {
		server->bad_requests++;
		reject_request(conn, status_of_error(progress));
	} else if (conn->parser.expects_continue) {
		send_continue(conn);
	}
	return used;
}

/* Bytes after a request that is not answered yet are kept until it is. */
static void parse_bytes(h1_conn_t *conn, medlar_str_t bytes)
{
	conn->parsing = true;
	while (bytes.len > 0 && !conn->busy && !conn->closing &&
	       !conn->closed) {
		size_t used = parse_request(conn, bytes);

		bytes.ptr += used;
		bytes.len -= used;
	}
	conn->parsing = false;
	if (conn->closed) {
		free(conn);
		return;
	}
	if (!conn->busy)
		return;
	medlar_buf_add(&conn->pending, bytes);
	if (conn->pending.error)
		h1_conn_close(conn);
}

static void receive_bytes(h1_conn_t *conn)
{
	char bytes[READ_BYTES_MAX];
	ssize_t got = recv(conn->fd, bytes, sizeof(bytes), 0);
	medlar_str_t str = { bytes, got > 0 ? (size_t)got : 0 };

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		h1_conn_close(conn);
		return;
	}
	if (conn->closing && !conn->busy)
		return;
	if (!conn->busy) {
		parse_bytes(conn, str);
		return;
	}
	medlar_buf_add(&conn->pending, str);
	if (conn->pending.len > PENDING_BYTES_MAX || conn->pending.error)
		h1_conn_close(conn);
}

static void on_events(uint32_t events, void *data)
{
	h1_conn_t *conn = data;

	if ((events & EPOLLOUT) && !send_pending(conn))
		return;
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		receive_bytes(conn);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	h1_conn_t *conn = data;

	(void)client;
	(void)timer;
	(void)now;
	if (!conn->parser.started || conn->closing) {
		h1_conn_close(conn);
		return;
	}
	reject_request(conn, 408);
}

static void accept_conn(h1_server_t *server, int fd)
{
	h1_conn_t *conn = calloc(1, sizeof(*conn));
	int one = 1;

	if (!conn) {
		close(fd);
		return;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->server = server;
	conn->fd = fd;
	h1_parser_init(&conn->parser, HTTP_REQUEST, server->options.message);
	medlar_buf_init(&conn->out);
	medlar_buf_init(&conn->pending);
	medlar_timer_init(&conn->timer, on_timer, conn);
	TAILQ_INSERT_TAIL(&server->conns, conn, link);
	server->conns_len++;
	set_timer(conn, server->options.idle_ms);
	set_events(conn, EPOLLIN);
	if (server->handler->opened)
		server->handler->opened(server->data);
}

/* Return: whether a connection was waiting. */
static bool accept_next(h1_server_t *server)
{
	int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return false;
	if (server->conns_len >= server->conns_max)
		close(fd);
	else
		accept_conn(server, fd);
	return true;
}

static void on_accept(uint32_t events, void *data)
{
	h1_server_t *server = data;

	(void)events;
	for (int i = 0; i < ACCEPTS_PER_EVENT && accept_next(server); i++)
		;
}

/**
 * h1_server_stop_accepting() - serve the open connections, but no further ones
 * @server: a server; nothing is done if it has stopped already
 *
 * Connections that wait to be accepted are accepted first, as their callers may
 * have sent requests. Later ones are refused by the kernel.
 */
void h1_server_stop_accepting(h1_server_t *server)
{
	if (server->fd < 0)
		return;
	while (accept_next(server))
		;
	loop_unwatch(server->loop, server->fd);
	close(server->fd);
	server->fd = -1;
}

static int bind_socket(int fd, const struct sockaddr *address, bool shares_port)
{
	const socklen_t len = address->sa_family == AF_INET6
				      ? sizeof(struct sockaddr_in6)
				      : sizeof(struct sockaddr_in);
	int one = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (shares_port &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one)))
		return MEDLAR_ERR_IO;
	return bind(fd, address, len) ? MEDLAR_ERR_IO : MEDLAR_OK;
}

/**
 * h1_server_init() - start to listen
 * @server: uninitialised memory
 * @loop: event loop
 * @address: IPv4 or IPv6 address to listen on
 * @options: limits for clients, and use of the address
 * @conns_max: most open connections
 * @handler: callbacks that answer requests
 * @data: passed to @handler
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int h1_server_init(h1_server_t *server, loop_t *loop,
		   const struct sockaddr *address,
		   const h1_server_options_t *options, size_t conns_max,
		   const h1_handler_t *handler, void *data)
{
	*server = (h1_server_t){ .loop = loop,
				 .options = *options,
				 .conns_max = conns_max,
				 .handler = handler,
				 .data = data };
	TAILQ_INIT(&server->conns);
	server->fd = socket(address->sa_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (server->fd < 0)
		return MEDLAR_ERR_IO;
	if (bind_socket(server->fd, address, options->shares_port) ||
	    listen(server->fd, LISTEN_BACKLOG) ||
	    loop_watch(loop, server->fd, EPOLLIN, on_accept, server)) {
		close(server->fd);
		server->fd = -1;
		return MEDLAR_ERR_IO;
	}
	return MEDLAR_OK;
}

/**
 * h1_server_finish() - close the listener and all connections
 * @server: a server, also after a failed h1_server_init(), or all zero
 */
void h1_server_finish(h1_server_t *server)
{
	h1_conn_t *conn;
	h1_conn_t *next;

	if (!server->loop)
		return;
	for (conn = TAILQ_FIRST(&server->conns); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		h1_conn_close(conn);
	}
	if (server->fd >= 0) {
		loop_unwatch(server->loop, server->fd);
		close(server->fd);
	}
	server->fd = -1;
}

/**
 * h1_server_count_busy() - count the connections in use
 * @server: a server
 *
 * Return: number of connections with a request that is being received or
 * answered, or with an answer that is not completely sent.
 */
size_t h1_server_count_busy(const h1_server_t *server)
{
	const h1_conn_t *conn;
	size_t busy = 0;

	TAILQ_FOREACH(conn, &server->conns, link)
		if (conn->busy || conn->parser.started || conn->out.len > 0)
			busy++;
	return busy;
}
