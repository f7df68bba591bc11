/**
 * DOC: HTTP calls to upstreams and the platform, on libcurl
 *
 * A pool holds the connections to one address and limits their number. A call
 * is sent at most once: libcurl's own retry on a reused connection is
 * suppressed, so that the end of a call tells whether the server may have
 * executed the request.
 */
#ifndef MEDLARD_HTTP_CLIENT_H
#define MEDLARD_HTTP_CLIENT_H

#include <curl/curl.h>

#include "medlard/h1.h"
#include "medlard/loop.h"
#include "medlard/metrics.h"

/** Largest number of headers that a request may add. */
#define HTTP_HEADERS_MAX 10

typedef struct http_client http_client_t;
typedef struct http_pool http_pool_t;
typedef struct http_call http_call_t;
typedef struct http_conn http_conn_t;

/** enum http_end - how a call ended */
typedef enum http_end {
	HTTP_REPLY, /* a complete reply was received */
	HTTP_REFUSED, /* could not connect: nothing was sent */
	HTTP_UNSENT, /* timed out or cancelled: nothing was sent */
	HTTP_RESET, /* connection lost or call timed out after sending */
	HTTP_SILENT, /* no byte was received within the silence limit */
	HTTP_MALFORMED, /* the reply is not valid HTTP, or is too long */
	HTTP_CLIENT_CLOSED, /* the client was closed: only free memory */
} http_end_t;

/**
 * struct http_header - a header of a request
 * @name: name, NUL-terminated
 * @value: value without line breaks
 */
typedef struct http_header {
	const char *name;
	medlar_str_t value;
} http_header_t;

/**
 * struct http_reply - result of a call, valid during the callback
 * @end: how the call ended
 * @status: HTTP status code; 0 unless @end is %HTTP_REPLY
 * @body: body; empty unless @end is %HTTP_REPLY
 * @duration: time since sending began, ms; 0 if nothing was sent
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
 * struct http_request - a request; copied by http_call_start()
 * @method: ``GET``, ``POST`` or ``PUT``
 * @path: path with query string, NUL-terminated
 * @headers: headers other than Host, Content-Type and Content-Length
 * @headers_len: number of headers, at most %HTTP_HEADERS_MAX
 * @body: body; ignored for GET
 * @deadline: absolute time at which the call times out, ms
 * @silence: longest time without receiving a byte after sending, ms
 * @reply_max: largest accepted body of the reply, bytes
 * @new_connection: do not reuse an open connection
 * @on_header: called for each header of the reply; may be NULL
 * @done: called exactly once, never from within http_call_start()
 * @data: passed to both callbacks
 */
typedef struct http_request {
	const char *method;
	const char *path;
	const http_header_t *headers;
	size_t headers_len;
	medlar_str_t body;
	medlar_time_t deadline;
	medlar_time_t silence;
	size_t reply_max;
	bool new_connection;
	http_header_fn_t on_header;
	http_done_fn_t done;
	void *data;
} http_request_t;

/**
 * struct http_pool - connections to one address, and the calls waiting for one
 * @http: client it belongs to
 * @host: IP address as text, NUL-terminated
 * @port: TCP port
 * @connections_max: largest number of open connections
 * @idle_max: longest time a connection may stay idle, ms
 * @connections_open: number of open connections
 * @calls_active: number of calls in progress
 * @waiting_head: oldest call waiting for a connection, or NULL
 * @waiting_tail: newest call waiting for a connection
 * @next: next pool of @http
 * @released: to be freed once it has no connections and no calls
 */
struct http_pool {
	http_client_t *http;
	char host[MEDLAR_HOST_MAX + 1];
	uint16_t port;
	uint32_t connections_max;
	medlar_time_t idle_max;
	uint32_t connections_open;
	uint32_t calls_active;
	http_call_t *waiting_head;
	http_call_t *waiting_tail;
	http_pool_t *next;
	bool released;
};

/**
 * struct http_client - HTTP client of one thread
 * @loop: event loop of the thread
 * @metrics: counters of the thread
 * @multi: libcurl's multi handle
 * @timer: timer that libcurl asks for
 * @idle_timer: periodically closes connections idle for too long
 * @conns: connections, indexed by descriptor
 * @conns_len: number of entries of @conns
 * @pools: list of all pools
 * @free_calls: list of calls available for reuse
 * @calls: list of all calls, newest first
 * @reply_memory: bytes of the bodies of all replies being received
 */
struct http_client {
	loop_t *loop;
	metrics_t *metrics;
	CURLM *multi;
	medlar_timer_t timer;
	medlar_timer_t idle_timer;
	http_conn_t **conns;
	size_t conns_len;
	http_pool_t *pools;
	http_call_t *free_calls;
	http_call_t *calls;
	h1_memory_t reply_memory;
};

int http_client_init(http_client_t *http, loop_t *loop, metrics_t *metrics);
void http_client_finish(http_client_t *http);
http_pool_t *http_pool_new(http_client_t *http, const char *host, uint16_t port,
			   uint32_t limit, medlar_time_t idle_max);
void http_pool_set_limits(http_pool_t *pool, uint32_t limit,
			  medlar_time_t idle_max);
void http_pool_release(http_pool_t *pool);
int http_call_start(http_pool_t *pool, const http_request_t *request,
		    http_call_t **out);
void http_call_cancel_unsent(http_call_t *call);
bool http_call_is_sent(const http_call_t *call);
void http_call_close_connection(const http_call_t *call);

#endif /* MEDLARD_HTTP_CLIENT_H */
