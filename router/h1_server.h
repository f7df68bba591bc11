/**
 * DOC: listeners and incoming HTTP/1.1 connections
 *
 * A connection hands one request at a time to its handler and reads the next
 * one only after the answer.
 */
#ifndef ROUTER_H1_SERVER_H
#define ROUTER_H1_SERVER_H

#include <netinet/in.h>
#include <sys/queue.h>

#include "medlard/log.h"
#include "medlard/loop.h"
#include "router/h1.h"

typedef struct h1_conn h1_conn_t;
typedef struct h1_server h1_server_t;

/**
 * struct h1_handler - who answers requests
 * @request: a whole request is in the connection's parser; answer it now or
 *	later with h1_conn_answer()
 * @gone: the client of an unanswered request has left; forget the connection.
 *	May be NULL if all requests are answered at once.
 */
typedef struct h1_handler {
	void (*request)(h1_conn_t *conn, void *data);
	void (*gone)(h1_conn_t *conn, void *data);
} h1_handler_t;

/**
 * struct h1_server_limits - bounds on clients
 * @message: bytes of a request
 * @head_ms: from the first byte to the end of the request
 * @idle_ms: without a request
 */
typedef struct h1_server_limits {
	h1_limits_t message;
	medlar_time_t head_ms;
	medlar_time_t idle_ms;
} h1_server_limits_t;

/**
 * struct h1_conn - an incoming connection
 * @link: in the list of the server
 * @server: server that accepted it
 * @fd: socket
 * @parser: request being received or answered
 * @out: bytes of the answer not yet taken by the kernel
 * @pending: bytes received after the request being answered
 * @timer: ends an idle or slow connection
 * @wants: events last asked for
 * @busy: a request waits for its answer
 * @closing: to be closed once the answer is sent
 * @job: of the handler
 */
struct h1_conn {
	TAILQ_ENTRY(h1_conn) link;
	h1_server_t *server;
	int fd;
	h1_parser_t parser;
	medlar_buf_t out;
	size_t out_done;
	medlar_buf_t pending;
	medlar_timer_t timer;
	uint32_t wants;
	bool busy;
	bool closing;
	void *job;
};

TAILQ_HEAD(h1_conn_list, h1_conn);

/**
 * struct h1_server - a listener and its connections
 * @loop: loop that serves it
 * @fd: listening socket
 * @limits: bounds on clients
 * @handler: answers requests
 * @data: passed to @handler
 * @conns: open connections
 * @conns_len: how many
 * @conns_max: connections above it are closed at once
 * @closing: each answer is the last of its connection
 * @bad: requests that broke the protocol or the limits
 */
struct h1_server {
	loop_t *loop;
	int fd;
	h1_server_limits_t limits;
	const h1_handler_t *handler;
	void *data;
	struct h1_conn_list conns;
	size_t conns_len;
	size_t conns_max;
	bool closing;
	uint64_t bad;
};

int h1_server_init(h1_server_t *server, loop_t *loop,
		   const struct sockaddr_in *address,
		   const h1_server_limits_t *limits, size_t conns_max,
		   const h1_handler_t *handler, void *data);
void h1_server_finish(h1_server_t *server);
size_t h1_server_busy(const h1_server_t *server);
void h1_conn_answer(h1_conn_t *conn, unsigned status, medlar_str_t headers,
		    medlar_str_t body);
void h1_conn_answer_status(h1_conn_t *conn, unsigned status);
void h1_conn_close(h1_conn_t *conn);

#endif /* ROUTER_H1_SERVER_H */
