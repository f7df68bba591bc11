/**
 * DOC: structures shared by the files of the HTTP client
 */
#ifndef MEDLARD_HTTP_INTERNAL_H
#define MEDLARD_HTTP_INTERNAL_H

#include "medlard/http.h"

/** Headers that are added to each request. */
#define HTTP_HEADERS_OWN 2

/**
 * struct http_conn - a connection of the HTTP client
 * @http: owner
 * @pool: address that it leads to; NULL while not open
 * @fd: descriptor of libcurl
 * @dup_fd: duplicate of it that libcurl does not know; negative once closed
 * @in_use: libcurl waits for it
 * @shut_down: shut down, and not yet closed by libcurl
 * @idle_since: when its last call ended, ms
 */
struct http_conn {
	http_t *http;
	http_peer_t *pool;
	int fd;
	int dup_fd;
	bool in_use;
	bool shut_down;
	medlar_time_t idle_since;
};

/**
 * struct http_call - a call
 * @pool: where it goes
 * @next: next waiting or spare call
 * @older: call that was allocated before this one
 * @easy: libcurl's handle
 * @header_lines: header lines of the request, each with a terminator
 * @headers: list of them for libcurl
 * @body: body of the request
 * @reply: body of the reply
 * @timer: fires at the end of the silence bound
 * @deadline: when it is given up, ms
 * @silence: longest time without a byte, ms
 * @sent_at: when sending began, ms
 * @last_byte_at: when the last byte came, ms
 * @reply_max: longest body accepted, bytes
 * @on_header: see &struct http_request
 * @done: likewise
 * @data: likewise
 * @fd: descriptor of its connection, or -1
 * @started: handed to libcurl
 * @sent: sending began
 * @reply_too_long: the reply was longer than @reply_max
 * @abandoned: given up by its owner
 */
struct http_call {
	http_peer_t *pool;
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
	http_header_fn_t on_header;
	http_done_fn_t done;
	void *data;
	int fd;
	bool started;
	bool sent;
	bool reply_too_long;
	bool abandoned;
};

/* http_peer.c */
void http_peer_admit(http_call_t *call);
void http_peer_leave_line(http_call_t *call);
void http_peer_pump(http_peer_t *pool);
void http_peer_check(http_peer_t *pool);

/* http_conn.c */
int http_conns_init(http_t *http);
void http_conns_finish(http_t *http);
void http_conns_attach(http_call_t *call);
http_conn_t *http_conn_at(http_t *http, int fd);
void http_conn_shutdown(http_conn_t *conn);
void http_conns_trim(http_peer_t *pool);
void http_conns_close_older(http_peer_t *pool, medlar_time_t since);

/* http.c */
void http_reap(http_t *http);

#endif /* MEDLARD_HTTP_INTERNAL_H */
