/**
 * DOC: listeners and incoming HTTP/1.1 connections
 *
 * A connection passes one request at a time to its handler and parses the next
 * one only after the answer.
 */
#ifndef MEDLARD_H1_SERVER_H
#define MEDLARD_H1_SERVER_H

#include <netinet/in.h>
#include <sys/queue.h>

#include "medlard/log.h"
#include "medlard/loop.h"
#include "medlard/h1.h"

typedef struct h1_conn h1_conn_t;
typedef struct h1_server h1_server_t;

/**
 * struct h1_handler - callbacks that answer requests
 * @request: a complete request is in the connection's parser; answer it now or
 *	later with h1_conn_answer()
 * @disconnected: the connection of an unanswered request is about to be closed;
 *	do not use it any more. May be NULL if @request always answers before it
 *	returns.
 * @rejected: answer a request that is malformed, too large or incomplete for too
 *	long with @status, by h1_conn_answer(). NULL sends the status alone.
 * @opened: a connection was accepted. May be NULL.
 * @closed: a connection was closed. May be NULL.
 */
typedef struct h1_handler {
	void (*request)(h1_conn_t *conn, void *data);
	void (*disconnected)(h1_conn_t *conn, void *data);
	void (*rejected)(h1_conn_t *conn, unsigned status, void *data);
	void (*opened)(void *data);
	void (*closed)(void *data);
} h1_handler_t;

/**
 * struct h1_server_options - limits for clients, and use of the address
 * @message: size limits of a request
 * @receive_ms: longest time from the first to the last byte of a request, ms
 * @idle_ms: longest time without a request, ms
 * @shares_port: other servers of the process listen on the same address, and
 *	the kernel spreads the connections over them
 */
typedef struct h1_server_options {
	h1_limits_t message;
	medlar_time_t receive_ms;
	medlar_time_t idle_ms;
	bool shares_port;
} h1_server_options_t;

/**
 * struct h1_conn - an incoming connection
 * @link: links &struct h1_server.conns
 * @server: server that accepted the connection
 * @fd: socket
 * @parser: parser of the request being received or answered
 * @out: answer being sent
 * @out_sent: bytes of @out that were handed to the kernel
 * @pending: bytes received after the request being answered
 * @round_trip: round trip time, ms; 0 until it is known
 * @request_began: when the first byte of the request was received, ms
 * @timer: timeout of an idle connection or a slow request
 * @watched_events: epoll events that are being watched
 * @busy: the handler has a request that it has not answered
 * @closing: close the connection once the answer is sent
 * @parsing: parse_bytes() is running; it frees a connection that is closed
 * @closed: the connection was closed and is about to be freed
 * @handler_data: data of the handler about the request; NULL between requests
 */
struct h1_conn {
	TAILQ_ENTRY(h1_conn) link;
	h1_server_t *server;
	int fd;
	h1_parser_t parser;
	medlar_buf_t out;
	size_t out_sent;
	medlar_buf_t pending;
	medlar_time_t round_trip;
	medlar_time_t request_began;
	medlar_timer_t timer;
	uint32_t watched_events;
	bool busy;
	bool closing;
	bool parsing;
	bool closed;
	void *handler_data;
};

TAILQ_HEAD(h1_conn_list, h1_conn);

/**
 * struct h1_server - a listener and its connections
 * @loop: event loop
 * @fd: listening socket, or -1
 * @options: limits for clients
 * @handler: callbacks that answer requests
 * @data: passed to @handler
 * @conns: open connections
 * @conns_len: number of open connections
 * @conns_max: most open connections; further ones are closed on accept
 * @closing: close each connection after its next answer
 * @bad_requests: number of requests that were malformed or too large
 */
struct h1_server {
	loop_t *loop;
	int fd;
	h1_server_options_t options;
	const h1_handler_t *handler;
	void *data;
	struct h1_conn_list conns;
	size_t conns_len;
	size_t conns_max;
	bool closing;
	uint64_t bad_requests;
};

int h1_server_init(h1_server_t *server, loop_t *loop,
		   const struct sockaddr *address,
		   const h1_server_options_t *options, size_t conns_max,
		   const h1_handler_t *handler, void *data);
void h1_server_stop_accepting(h1_server_t *server);
void h1_server_finish(h1_server_t *server);
size_t h1_server_count_busy(const h1_server_t *server);
void h1_conn_answer(h1_conn_t *conn, unsigned status, medlar_str_t headers,
		    medlar_str_t body);
void h1_conn_answer_status(h1_conn_t *conn, unsigned status);
medlar_time_t h1_conn_round_trip(h1_conn_t *conn);
void h1_conn_close(h1_conn_t *conn);

#endif /* MEDLARD_H1_SERVER_H */
