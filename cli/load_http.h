/**
 * DOC: event loop and HTTP client of the load generator
 */
#ifndef CLI_LOAD_HTTP_H
#define CLI_LOAD_HTTP_H

#include <curl/curl.h>
#include <json-c/json.h>

#include "libmedlar/medlar.h"

#define LOAD_MS ((medlar_time_t)1000)
#define LOAD_SECOND (1000 * LOAD_MS)

typedef struct load_transfer load_transfer_t;

/**
 * struct load_loop - event loop of one thread
 * @client: timers, due in microseconds
 * @multi: transfers
 * @idle: handles that can be used again
 * @newest: the handle made last; each links to an older one
 * @epoll: epoll descriptor
 * @timer: timer descriptor
 * @curl_due: timeout that the HTTP library asked for, microseconds
 * @stop: leave the loop
 */
typedef struct load_loop {
	medlar_client_t client;
	CURLM *multi;
	load_transfer_t *idle;
	load_transfer_t *newest;
	int epoll;
	int timer;
	medlar_time_t curl_due;
	bool stop;
} load_loop_t;

/**
 * struct load_http_request - a request to send
 * @url: URL, terminated
 * @headers: header lines, ended by NULL; or NULL
 * @body: body of a POST; a GET is sent if its pointer is NULL
 * @timeout_ms: bound of the whole transfer
 */
typedef struct load_http_request {
	const char *url;
	const char *const *headers;
	medlar_str_t body;
	long timeout_ms;
} load_http_request_t;

/**
 * struct load_http_reply - the end of a transfer
 * @status: HTTP status; 0 if there was no reply
 * @body: body; valid during the callback only
 * @unsent: no byte of the request was sent
 */
typedef struct load_http_reply {
	long status;
	medlar_str_t body;
	bool unsent;
} load_http_reply_t;

typedef void (*load_http_fn_t)(const load_http_reply_t *reply, void *data);

medlar_time_t load_now(void);
int load_loop_init(load_loop_t *loop);
void load_loop_finish(load_loop_t *loop);
void load_loop_run(load_loop_t *loop);
int load_http_send(load_loop_t *loop, const load_http_request_t *request,
		   load_http_fn_t done, void *data);

#endif
