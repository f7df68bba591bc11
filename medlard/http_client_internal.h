/**
 * DOC: declarations shared by the source files of the HTTP client
 */
#ifndef MEDLARD_HTTP_CLIENT_INTERNAL_H
#define MEDLARD_HTTP_CLIENT_INTERNAL_H

#include "medlard/http_client.h"

/** Number of headers that the client itself adds to each request. */
#define HTTP_HEADERS_OWN 2

/**
 * struct http_conn - a connection of the HTTP client
 * @http: client it belongs to
 * @pool: pool it belongs to; NULL while not open
 * @fd: descriptor that libcurl uses
 * @dup_fd: duplicate of @fd, unknown to libcurl; negative once closed
 * @in_use: libcurl is waiting for events on it
 * @shut_down: shut down here, but not closed by libcurl yet
 * @idle_since: when its last call ended, ms
 */
struct http_conn {
	http_client_t *http;
	http_pool_t *pool;
	int fd;
	int dup_fd;
	bool in_use;
	bool shut_down;
	medlar_time_t idle_since;
};

/**
 * struct http_call - one HTTP request and its reply
 * @pool: pool it uses; NULL while the call is available for reuse
 * @next: next waiting call of the pool, or next available call of the client
 * @older: call allocated before this one
 * @easy: libcurl's easy handle
 * @header_lines: header lines of the request, each NUL-terminated
 * @headers: list of these lines for libcurl
 * @body: body of the request
 * @reply: body of the reply
 * @timer: times the call out
 * @deadline: when the call times out, ms
 * @silence: longest time without receiving a byte, ms
 * @sent_at: when sending began, ms
 * @last_byte_at: when sending began or the last byte was received, ms
 * @reply_max: largest accepted body of the reply, bytes
 * @head_len: bytes of the head received, with interim replies and trailers
 * @on_header: see &struct http_request
 * @done: see &struct http_request
 * @data: see &struct http_request
 * @fd: descriptor of its connection, or -1
 * @started: passed to libcurl
 * @sent: sending has begun
 * @reply_rejected: the reply is too long, or its status is none
 * @abandoned: the owner does not need the reply
 */
struct http_call {
	http_pool_t *pool;
	http_call_t *next;
	http_call_t *older;
	CURL *easy;
	medlar_buf_t header_lines;
	struct curl_slist headers[HTTP_HEADERS_MAX + HTTP_HEADERS_OWN];
	medlar_buf_t body;
	medlar_buf_t reply;
	medlar_timer_t timer;
	medlar_time_t deadline;
	medlar_time_t silence;
	medlar_time_t sent_at;
	medlar_time_t last_byte_at;
	size_t reply_max;
	size_t head_len;
	http_header_fn_t on_header;
	http_done_fn_t done;
	void *data;
	int fd;
	bool started;
	bool sent;
	bool reply_rejected;
	bool abandoned;
};

/* http_pool.c */
void http_pool_submit(http_call_t *call);
void http_pool_dequeue(http_call_t *call);
void http_pool_start_waiting(http_pool_t *pool);
void http_pool_free_if_unused(http_pool_t *pool);

/* http_conn.c */
int http_conns_init(http_client_t *http);
void http_conns_finish(http_client_t *http);
void http_conns_attach(http_call_t *call);
http_conn_t *http_conn_at(http_client_t *http, int fd);
void http_conn_shutdown(http_conn_t *conn);
void http_conns_trim(http_pool_t *pool);
void http_conns_close_older(http_pool_t *pool, medlar_time_t since);

/* http_client.c */
void http_client_reap(http_client_t *http);

#endif /* MEDLARD_HTTP_CLIENT_INTERNAL_H */
