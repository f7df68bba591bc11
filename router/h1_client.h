/**
 * DOC: an outgoing HTTP/1.1 connection
 *
 * Carries one request at a time. Used towards replicas, the store and other
 * instances.
 */
#ifndef ROUTER_H1_CLIENT_H
#define ROUTER_H1_CLIENT_H

#include <netinet/in.h>

#include "medlard/loop.h"
#include "router/h1.h"

typedef struct h1_client h1_client_t;

/** enum h1_state - state of an outgoing connection */
typedef enum h1_state {
	H1_CONNECTING,
	H1_IDLE,
	H1_BUSY,
	H1_CLOSED,
} h1_state_t;

/**
 * enum h1_end - how a request on a connection has ended
 * @H1_END_REPLY: a whole reply is in the parser's message
 * @H1_END_NOT_SENT: no byte of the request left this process
 * @H1_END_BROKEN: the connection ended or turned unreadable after bytes of
 *	the request were sent; whether it was run is unknown
 */
typedef enum h1_end {
	H1_END_REPLY,
	H1_END_NOT_SENT,
	H1_END_BROKEN,
} h1_end_t;

/**
 * struct h1_client_events - what the owner of a connection is told
 * @ready: connected and without a request; may send or close
 * @done: the request has ended; the connection is %H1_IDLE if it can be used
 *	again, else %H1_CLOSED
 * @lost: the connection has ended while it carried no request. May be NULL.
 * @wanted: tells whether a whole reply answers the request; one that does not
 *	is skipped, and the connection is closed after the next one. May be
 *	NULL.
 */
typedef struct h1_client_events {
	void (*ready)(h1_client_t *client, void *data);
	void (*done)(h1_client_t *client, h1_end_t end, void *data);
	void (*lost)(h1_client_t *client, void *data);
	bool (*wanted)(h1_client_t *client, void *data);
} h1_client_events_t;

/**
 * struct h1_client - an outgoing connection
 * @loop: loop that serves it
 * @fd: socket, or -1
 * @state: see &enum h1_state
 * @parser: reply being received
 * @out: bytes of the request not yet taken by the kernel
 * @out_done: how many of them were taken
 * @wants: events last asked for
 * @idle_since: end of the last request, or when it was connected
 * @idle_max: how long the peer keeps it open without a request, ms; 0 unknown
 * @reused: it has carried a request before
 * @strayed: a reply came that answers something else
 * @events: told what happens
 * @data: passed to @events
 */
struct h1_client {
	loop_t *loop;
	int fd;
	h1_state_t state;
	h1_parser_t parser;
	medlar_buf_t out;
	size_t out_done;
	uint32_t wants;
	medlar_time_t idle_since;
	medlar_time_t idle_max;
	bool reused;
	bool strayed;
	const h1_client_events_t *events;
	void *data;
};

int h1_client_open(h1_client_t *client, loop_t *loop,
		   const struct sockaddr_in *address, h1_limits_t limits,
		   const h1_client_events_t *events, void *data);
void h1_client_send(h1_client_t *client, medlar_str_t head, medlar_str_t body,
		    bool to_head);
void h1_client_close(h1_client_t *client);
void h1_client_finish(h1_client_t *client);

#endif /* ROUTER_H1_CLIENT_H */
