/**
 * DOC: outgoing HTTP/1.1 connections
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "medlard/h1_client.h"

#define READ_BYTES_MAX 65536
/* Replies to other requests that may come before the expected one. */
#define STRAY_REPLIES_MAX 4

static void set_events(h1_client_t *client, uint32_t events);

/**
 * h1_client_close() - close a connection without calling back
 * @client: a connection, in any state
 */
void h1_client_close(h1_client_t *client)
{
	if (client->fd >= 0) {
		loop_unwatch(client->loop, client->fd);
		close(client->fd);
	}
	client->fd = -1;
	client->state = H1_CLOSED;
}

/**
 * h1_client_finish() - close a connection and release its memory
 * @client: a connection, also after a failed h1_client_open()
 */
void h1_client_finish(h1_client_t *client)
{
	h1_client_close(client);
	h1_parser_finish(&client->parser);
	medlar_buf_finish(&client->out);
}

static void end_connection(h1_client_t *client)
{
	bool has_request = client->state == H1_BUSY ||
			   client->state == H1_CONNECTING;
	h1_end_t how = client->out_sent ? H1_END_BROKEN : H1_END_NOT_SENT;

	h1_client_close(client);
	if (has_request)
		client->events->done(client, how, client->data);
	else if (client->events->idle_closed)
		client->events->idle_closed(client, client->data);
}

static void complete_reply(h1_client_t *client, bool more_bytes)
{
	const h1_message_t *reply = &client->parser.message;
	bool is_sent = client->out_sent == client->out.len;

	client->idle_since = client->loop->now;
	client->reused = true;
	if (more_bytes || !is_sent || client->stray_replies > 0 ||
	    !reply->keep_alive || reply->close_delimited)
		h1_client_close(client);
	else
		client->state = H1_IDLE;
	client->events->done(client, H1_END_REPLY, client->data);
}

/* Return: true if the reply in the parser was to another request. */
static bool skip_stray_reply(h1_client_t *client)
{
	bool method_is_head = client->parser.method_is_head;

	if (!client->events->accepts_reply ||
	    client->events->accepts_reply(client, client->data))
		return false;
	client->stray_replies++;
	h1_parser_reset(&client->parser);
	client->parser.method_is_head = method_is_head;
	return true;
}

static void parse_reply(h1_client_t *client, medlar_str_t bytes)
{
	size_t used;

	if (client->state != H1_BUSY || client->out_sent == 0) {
		end_connection(client);
		return;
	}
	while (bytes.len > 0) {
		switch (h1_parser_feed(&client->parser, bytes, &used)) {
		case H1_INCOMPLETE:
			return;
		case H1_COMPLETE:
			bytes.ptr += used;
			bytes.len -= used;
			if (skip_stray_reply(client))
				break;
			complete_reply(client, bytes.len > 0);
			return;
		default:
			end_connection(client);
			return;
		}
		if (client->stray_replies > STRAY_REPLIES_MAX) {
			end_connection(client);
			return;
		}
	}
}

/*
 * After a failed send the end of the stream may be a reset, which the kernel reports
 * only once.
 */
static void handle_eof(h1_client_t *client)
{
	if (client->state == H1_BUSY && !client->send_failed &&
	    h1_parser_end(&client->parser) == H1_COMPLETE &&
	    !skip_stray_reply(client))
		complete_reply(client, true);
	else
		end_connection(client);
}

static void receive_bytes(h1_client_t *client)
{
	static char bytes[READ_BYTES_MAX];
	ssize_t got = recv(client->fd, bytes, sizeof(bytes), 0);

	if (got > 0)
		parse_reply(client, (medlar_str_t){ bytes, (size_t)got });
	else if (got == 0)
		handle_eof(client);
	else if (errno != EAGAIN && errno != EINTR)
		end_connection(client);
}

/* Return: false if the connection has ended and the owner was told. */
static bool send_pending(h1_client_t *client)
{
	while (client->out_sent < client->out.len) {
		ssize_t done = send(
			client->fd, client->out.ptr + client->out_sent,
			client->out.len - client->out_sent, MSG_NOSIGNAL);

		if (done > 0) {
			client->out_sent += (size_t)done;
			continue;
		}
		if (errno == EAGAIN || errno == EINTR)
			break;
		if (client->out_sent == 0) {
			end_connection(client);
			return false;
		}
		/* The peer may have replied to the part that it has read. */
		client->send_failed = true;
		set_events(client, EPOLLIN);
		return true;
	}
	set_events(client, client->out_sent < client->out.len
				   ? EPOLLIN | EPOLLOUT
				   : EPOLLIN);
	return true;
}

static void handle_connected(h1_client_t *client)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(client->fd, SOL_SOCKET, SO_ERROR, &error, &len) ||
	    error) {
		end_connection(client);
		return;
	}
	client->state = H1_IDLE;
	client->idle_since = client->loop->now;
	set_events(client, EPOLLIN);
	client->events->ready(client, client->data);
}

static void on_events(uint32_t events, void *data)
{
	h1_client_t *client = data;

	if (client->state == H1_CONNECTING) {
		handle_connected(client);
		return;
	}
	if ((events & EPOLLOUT) && !(events & (EPOLLERR | EPOLLHUP)) &&
	    !send_pending(client))
		return;
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		receive_bytes(client);
}

static void set_events(h1_client_t *client, uint32_t events)
{
	if (client->watched_events == events)
		return;
	client->watched_events = events;
	/* After a failure no events arrive; the owner sets a timeout. */
	(void)loop_watch(client->loop, client->fd, events, on_events, client);
}

static int start_connect(h1_client_t *client, const struct sockaddr_in *address)
{
	int one = 1;

	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			    0);
	if (client->fd < 0)
		return MEDLAR_ERR_IO;
	(void)setsockopt(client->fd, IPPROTO_TCP, TCP_NODELAY, &one,
			 sizeof(one));
	if (connect(client->fd, (const struct sockaddr *)address,
		    sizeof(*address)) &&
	    errno != EINPROGRESS)
		return MEDLAR_ERR_IO;
	client->watched_events = EPOLLOUT;
	return loop_watch(client->loop, client->fd, EPOLLOUT, on_events,
			  client);
}

/**
 * h1_client_open() - start to connect
 * @client: uninitialised memory; needs h1_client_finish() even after an error
 * @loop: event loop
 * @address: address of the peer
 * @limits: size limits of a reply
 * @events: callbacks, never called before this function returns
 * @data: passed to @events
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int h1_client_open(h1_client_t *client, loop_t *loop,
		   const struct sockaddr_in *address, h1_limits_t limits,
		   const h1_client_events_t *events, void *data)
{
	int error;

	*client = (h1_client_t){ .loop = loop,
				 .fd = -1,
				 .state = H1_CONNECTING,
				 .events = events,
				 .data = data };
	h1_parser_init(&client->parser, HTTP_RESPONSE, limits);
	medlar_buf_init(&client->out);
	error = start_connect(client, address);
	if (error)
		h1_client_close(client);
	return error;
}

/**
 * h1_client_send() - send a request
 * @client: an idle connection
 * @head: request line and headers, including the empty line
 * @body: body, may be empty
 * @method_is_head: the method is HEAD
 *
 * The end of the request is reported by &struct h1_client_events.done, which
 * may be called before this function returns.
 */
void h1_client_send(h1_client_t *client, medlar_str_t head, medlar_str_t body,
		    bool method_is_head)
{
	h1_parser_reset(&client->parser);
	client->parser.method_is_head = method_is_head;
	medlar_buf_reset(&client->out);
	medlar_buf_add(&client->out, head);
	medlar_buf_add(&client->out, body);
	client->out_sent = 0;
	client->send_failed = false;
	client->state = H1_BUSY;
	if (client->out.error)
		end_connection(client);
	else
		(void)send_pending(client);
}
