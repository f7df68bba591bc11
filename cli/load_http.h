/**
 * DOC: event loop and HTTP client of the load generator
 */
#ifndef CLI_LOAD_HTTP_H
#define CLI_LOAD_HTTP_H

#include <curl/curl.h>
#include <json-c/json.h>

#include "libmedlar/medlar.h"

/* One millisecond and one second in microseconds, the unit of load_now(). */
#define LOAD_MS ((medlar_time_t)1000)
#define LOAD_SECOND (1000 * LOAD_MS)

typedef struct load_transfer load_transfer_t;

/**
 * struct load_loop - event loop of one thread
 * @client: timers, due in microseconds
 * @multi: curl handle of all transfers
 * @idle: list of transfers that can be reused
 * @allocated: list of all allocated transfers
 * @epoll_fd: epoll file descriptor
 * @timer_fd: timerfd file descriptor
 * @curl_due: time at which curl asked to be called, microseconds
 * @stop: set to leave load_loop_run()
 */
typedef struct load_loop {
	medlar_client_t client;
	CURLM *multi;
	load_transfer_t *idle;
	load_transfer_t *allocated;
	int epoll_fd;
	int timer_fd;
	medlar_time_t curl_due;
	bool stop;
} load_loop_t;

/**
 * struct load_http_request - HTTP request to send
 * @url: URL
 * @headers: header lines, ended by NULL; or NULL for none
 * @body: body of a POST request; a GET request is sent if its pointer is NULL
 * @timeout_ms: time limit of the whole transfer, ms
 */
typedef struct load_http_request {
	const char *url;
	const char *const *headers;
	medlar_str_t body;
	long timeout_ms;
} load_http_request_t;

/**
 * struct load_http_reply - result of a transfer
 * @status: HTTP status; 0 if there was no complete reply
 * @body: response body; valid during the callback only
 * @not_sent: whether no byte of the request was sent
 */
typedef struct load_http_reply {
	long status;
	medlar_str_t body;
	bool not_sent;
} load_http_reply_t;

typedef void (*load_http_fn_t)(const load_http_reply_t *reply, void *data);

medlar_time_t load_now(void);
int load_loop_init(load_loop_t *loop);
void load_loop_finish(load_loop_t *loop);
void load_loop_run(load_loop_t *loop);
int load_http_send(load_loop_t *loop, const load_http_request_t *request,
		   load_http_fn_t done, void *data);

#endif
