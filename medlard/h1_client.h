/**
 * DOC: outgoing HTTP/1.1 connections
 *
 * A connection carries one request at a time. Used for replicas, the store and
 * other instances.
 */
#ifndef MEDLARD_H1_CLIENT_H
#define MEDLARD_H1_CLIENT_H

#include <netinet/in.h>

#include "medlard/loop.h"
#include "medlard/h1.h"

typedef struct h1_client h1_client_t;

/**
 * enum h1_state - state of an outgoing connection
 * @H1_CONNECTING: the connection is being established
 * @H1_IDLE: connected, no request is in progress
 * @H1_BUSY: a request is being sent or its reply received
 * @H1_CLOSED: closed
 */
typedef enum h1_state {
	H1_CONNECTING,
	H1_IDLE,
	H1_BUSY,
	H1_CLOSED,
} h1_state_t;

/**
 * enum h1_end - how a request on a connection has ended
 * @H1_END_REPLY: a complete reply is in the parser's message
 * @H1_END_NOT_SENT: no byte of the request was sent
 * @H1_END_BROKEN: the connection was closed, or the reply was malformed, after
 *	bytes of the request were sent; the peer may have run it
 */
typedef enum h1_end {
	H1_END_REPLY,
	H1_END_NOT_SENT,
	H1_END_BROKEN,
} h1_end_t;

/**
 * struct h1_client_events - callbacks of the owner of a connection
 * @ready: the connection is established; the owner may send a request or close
 * @done: the request, or the attempt to connect, has ended; the connection is
 *	%H1_IDLE if it can be reused, else %H1_CLOSED
 * @idle_closed: an idle connection was closed by the peer or has failed. May be
 *	NULL.
 * @accepts_reply: checks whether the complete reply in the parser belongs to
 *	the request. If not, it is skipped, and the connection is closed after
 *	the next reply. May be NULL.
 */
typedef struct h1_client_events {
	void (*ready)(h1_client_t *client, void *data);
	void (*done)(h1_client_t *client, h1_end_t end, void *data);
	void (*idle_closed)(h1_client_t *client, void *data);
	bool (*accepts_reply)(h1_client_t *client, void *data);
} h1_client_events_t;

/**
 * struct h1_client - an outgoing connection
 * @loop: event loop
 * @fd: socket, or -1
 * @state: see &enum h1_state
 * @parser: parser of the reply
 * @out: request being sent
 * @out_sent: bytes of @out that were handed to the kernel
 * @send_failed: the connection broke while @out was being sent
 * @watched_events: epoll events that are being watched
 * @idle_since: time at which the last request ended or the connection was
 *	established, ms
 * @peer_idle_timeout: time for which the peer keeps an idle connection open,
 *	ms; 0 if unknown
 * @reused: the connection has carried a request before
 * @stray_replies: replies to other requests that were received
 * @events: callbacks
 * @data: passed to @events
 */
struct h1_client {
	loop_t *loop;
	int fd;
	h1_state_t state;
	h1_parser_t parser;
	medlar_buf_t out;
	size_t out_sent;
	bool send_failed;
	uint32_t watched_events;
	medlar_time_t idle_since;
	medlar_time_t peer_idle_timeout;
	bool reused;
	unsigned stray_replies;
	const h1_client_events_t *events;
	void *data;
};

int h1_client_open(h1_client_t *client, loop_t *loop,
		   const struct sockaddr_in *address, h1_limits_t limits,
		   const h1_client_events_t *events, void *data);
void h1_client_send(h1_client_t *client, medlar_str_t head, medlar_str_t body,
		    bool method_is_head);
void h1_client_close(h1_client_t *client);
void h1_client_finish(h1_client_t *client);

#endif /* MEDLARD_H1_CLIENT_H */
