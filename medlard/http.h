/**
 * DOC: HTTP calls to upstreams and the platform, on libcurl
 *
 * A peer is one address with a bound on its connections. A call is sent at
 * most once: libcurl's own repetition on a reused connection is suppressed,
 * so that the end of a call tells whether anything can have been run.
 */
#ifndef MEDLARD_HTTP_H
#define MEDLARD_HTTP_H

#include <curl/curl.h>

#include "medlard/loop.h"
#include "medlard/metrics.h"

#define HTTP_HEADERS_MAX 10

typedef struct http http_t;
typedef struct http_peer http_peer_t;
typedef struct http_call http_call_t;
typedef struct http_conn http_conn_t;

/** enum http_end - how a call ended */
typedef enum http_end {
	HTTP_REPLY, /* a whole reply came */
	HTTP_REFUSED, /* no connection: nothing was sent */
	HTTP_UNSENT, /* gave up before sending: nothing was sent */
	HTTP_RESET, /* the connection ended after sending began */
	HTTP_SILENT, /* no byte came for too long */
	HTTP_MALFORMED, /* the reply is not HTTP, or is too long */
	HTTP_DROPPED, /* the client is closed: only memory is to be released */
} http_end_t;

/**
 * struct http_header - a header of a request
 * @name: name
 * @value: value without line ends
 */
typedef struct http_header {
	const char *name;
	medlar_str_t value;
} http_header_t;

/**
 * struct http_reply - the end of a call, valid during the callback
 * @end: how it ended; the rest is set for %HTTP_REPLY only
 * @status: HTTP status code
 * @body: body
 * @duration: time since sending began, ms
 */
typedef struct http_reply {
	http_end_t end;
	int status;
	medlar_str_t body;
	medlar_time_t duration;
} http_reply_t;

typedef void (*http_header_fn_t)(medlar_str_t name, medlar_str_t value,
				 void *data);
typedef void (*http_done_fn_t)(http_call_t *call, const http_reply_t *reply,
			       void *data);

/**
 * struct http_request - a request; copied by http_start()
 * @method: ``GET``, ``POST`` or ``PUT``
 * @path: path with query, terminated
 * @headers: headers beside Host and Content-Length
 * @headers_len: how many, at most %HTTP_HEADERS_MAX
 * @body: body; ignored for GET
 * @until: absolute time at which the call is given up, ms
 * @silence: longest time without a byte once sent, ms
 * @reply_max: longest body accepted, bytes
 * @new_connection: use a new connection
 * @on_header: called for each header of the reply; may be NULL
 * @done: called exactly once, never from within http_start()
 * @data: passed to both
 */
typedef struct http_request {
	const char *method;
	const char *path;
	const http_header_t *headers;
	size_t headers_len;
	medlar_str_t body;
	medlar_time_t until;
	medlar_time_t silence;
	size_t reply_max;
	bool new_connection;
	http_header_fn_t on_header;
	http_done_fn_t done;
	void *data;
} http_request_t;

/**
 * struct http_peer - an address and its connections
 * @http: owner
 * @host: IP address in text form, terminated
 * @port: TCP port
 * @limit: most connections open at once
 * @idle_max: longest time a connection may stay idle, ms
 * @open: connections open
 * @busy: calls under way
 * @waiting_head: calls waiting for a connection, oldest first
 * @waiting_tail: newest of them
 * @next: next peer of @http
 * @released: freed once nothing is open or under way
 */
struct http_peer {
	http_t *http;
	char host[MEDLAR_HOST_MAX + 1];
	uint16_t port;
	uint32_t limit;
	medlar_time_t idle_max;
	uint32_t open;
	uint32_t busy;
	http_call_t *waiting_head;
	http_call_t *waiting_tail;
	http_peer_t *next;
	bool released;
};

/**
 * struct http - the calls of one thread
 * @loop: loop of the thread
 * @metrics: counts connections
 * @multi: libcurl's state
 * @timer: timer of libcurl
 * @idle_timer: closes connections that were idle for too long
 * @conns: by descriptor
 * @conns_len: entries of @conns
 * @pools: all peers
 * @free_calls: calls to be used again
 * @calls: all calls, the newest first
 */
struct http {
	loop_t *loop;
	metrics_t *metrics;
	CURLM *multi;
	medlar_timer_t timer;
	medlar_timer_t idle_timer;
	http_conn_t **conns;
	size_t conns_len;
	http_peer_t *pools;
	http_call_t *free_calls;
	http_call_t *calls;
};

int http_init(http_t *http, loop_t *loop, metrics_t *metrics);
void http_finish(http_t *http);
http_peer_t *http_peer_new(http_t *http, const char *host, uint16_t port,
			   uint32_t limit, medlar_time_t idle_max);
void http_peer_set_limit(http_peer_t *pool, uint32_t limit,
			 medlar_time_t idle_max);
void http_peer_release(http_peer_t *pool);
int http_start(http_peer_t *pool, const http_request_t *request,
	       http_call_t **out);
void http_call_cancel_unsent(http_call_t *call);
bool http_call_is_sent(const http_call_t *call);
void http_call_close_connection(const http_call_t *call);

#endif /* MEDLARD_HTTP_H */
