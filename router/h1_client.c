/**
 * DOC: an outgoing HTTP/1.1 connection
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "router/h1_client.h"

#define READ_SIZE 65536

static void watch(h1_client_t *client, uint32_t events);

/**
 * h1_client_close() - close the connection without telling the owner
 * @client: an opened connection
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
 * h1_client_finish() - close the connection and release its memory
 * @client: an opened connection
 */
void h1_client_finish(h1_client_t *client)
{
	h1_client_close(client);
	h1_parser_finish(&client->parser);
	medlar_buf_finish(&client->out);
}

static void end(h1_client_t *client)
{
	bool busy = client->state == H1_BUSY || client->state == H1_CONNECTING;
	h1_end_t how = client->out_done ? H1_END_BROKEN : H1_END_NOT_SENT;

	h1_client_close(client);
	if (busy)
		client->events->done(client, how, client->data);
	else if (client->events->lost)
		client->events->lost(client, client->data);
}

static void complete(h1_client_t *client, bool more_bytes)
{
	const h1_message_t *reply = &client->parser.message;
	bool sent = client->out_done == client->out.len;

	client->idle_since = client->loop->now;
	client->reused = true;
	if (more_bytes || !sent || client->strayed || !reply->keep_alive ||
	    reply->ends_with_close)
		h1_client_close(client);
	else
		client->state = H1_IDLE;
	client->events->done(client, H1_END_REPLY, client->data);
}

/* Return: whether the reply in the parser answers something else. */
static bool skip_stray(h1_client_t *client)
{
	bool to_head = client->parser.to_head;

	if (!client->events->wanted ||
	    client->events->wanted(client, client->data))
		return false;
	client->strayed = true;
	h1_parser_reset(&client->parser);
	client->parser.to_head = to_head;
	return true;
}

static void take(h1_client_t *client, medlar_str_t bytes)
{
	size_t used;

	if (client->state != H1_BUSY || client->out_done == 0) {
		end(client);
		return;
	}
	while (bytes.len > 0) {
		switch (h1_parser_feed(&client->parser, bytes, &used)) {
		case H1_MORE:
			return;
		case H1_COMPLETE:
			bytes.ptr += used;
			bytes.len -= used;
			if (skip_stray(client))
				continue;
			complete(client, bytes.len > 0);
			return;
		default:
			end(client);
			return;
		}
	}
}

static void receive_end(h1_client_t *client)
{
	if (client->state == H1_BUSY &&
	    h1_parser_end(&client->parser) == H1_COMPLETE &&
	    !skip_stray(client))
		complete(client, true);
	else
		end(client);
}

static void receive(h1_client_t *client)
{
	static char bytes[READ_SIZE];
	ssize_t got = recv(client->fd, bytes, sizeof(bytes), 0);

	if (got > 0)
		take(client, (medlar_str_t){ bytes, (size_t)got });
	else if (got == 0)
		receive_end(client);
	else if (errno != EAGAIN && errno != EINTR)
		end(client);
}

/* Return: false once the connection has ended. */
static bool transmit(h1_client_t *client)
{
	while (client->out_done < client->out.len) {
		ssize_t done = send(
			client->fd, client->out.ptr + client->out_done,
			client->out.len - client->out_done, MSG_NOSIGNAL);

		if (done > 0) {
			client->out_done += (size_t)done;
			continue;
		}
		if (errno == EAGAIN || errno == EINTR)
			break;
		if (client->out_done == 0) {
			end(client);
			return false;
		}
		/* The reply may be there although the rest is not wanted. */
		watch(client, EPOLLIN);
		return true;
	}
	watch(client, client->out_done < client->out.len ? EPOLLIN | EPOLLOUT
							 : EPOLLIN);
	return true;
}

static void connected(h1_client_t *client)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(client->fd, SOL_SOCKET, SO_ERROR, &error, &len) ||
	    error) {
		end(client);
		return;
	}
	client->state = H1_IDLE;
	client->idle_since = client->loop->now;
	watch(client, EPOLLIN);
	client->events->ready(client, client->data);
}

static void on_events(uint32_t events, void *data)
{
	h1_client_t *client = data;

	if (client->state == H1_CONNECTING) {
		connected(client);
		return;
	}
	if ((events & EPOLLOUT) && !(events & (EPOLLERR | EPOLLHUP)) &&
	    !transmit(client))
		return;
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		receive(client);
}

static void watch(h1_client_t *client, uint32_t events)
{
	if (client->wants == events)
		return;
	client->wants = events;
	/* A failure shows as a silent connection, which its owner bounds. */
	(void)loop_watch(client->loop, client->fd, events, on_events, client);
}

static int start(h1_client_t *client, const struct sockaddr_in *address)
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
	client->wants = EPOLLOUT;
	return loop_watch(client->loop, client->fd, EPOLLOUT, on_events,
			  client);
}

/**
 * h1_client_open() - connect
 * @client: memory of the caller; needs h1_client_finish() in any case
 * @loop: loop that serves it
 * @address: of the peer
 * @limits: the most that a reply may hold
 * @events: told what happens, never before this function returns
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
	error = start(client, address);
	if (error)
		h1_client_close(client);
	return error;
}

/**
 * h1_client_send() - send a request
 * @client: an idle connection; its end is told by the event done, which may
 *	come before this function returns
 * @head: request line and headers with the empty line
 * @body: body, may be empty
 * @to_head: the method is HEAD
 */
void h1_client_send(h1_client_t *client, medlar_str_t head, medlar_str_t body,
		    bool to_head)
{
	h1_parser_reset(&client->parser);
	client->parser.to_head = to_head;
	medlar_buf_reset(&client->out);
	medlar_buf_add(&client->out, head);
	medlar_buf_add(&client->out, body);
	client->out_done = 0;
	client->state = H1_BUSY;
	if (client->out.error)
		end(client);
	else
		(void)transmit(client);
}
