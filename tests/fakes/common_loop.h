/**
 * DOC: event loops and HTTP servers of the stand-ins
 *
 * A loop serves any number of ports in one thread. A handler may answer a
 * request at once or later; the connection is suspended until then.
 */
#ifndef FAKES_COMMON_LOOP_H
#define FAKES_COMMON_LOOP_H

#include <microhttpd.h>
#include <pthread.h>

#include "libmedlar/medlar.h"

/* A millisecond in the time unit of the stand-ins, microseconds. */
#define FAKE_MILLISECOND ((medlar_time_t)1000)

typedef struct fake_loop fake_loop_t;
typedef struct fake_port fake_port_t;
typedef struct fake_request fake_request_t;

/**
 * struct fake_connection - an open connection of a port
 * @prev: previous connection of the port
 * @next: next connection of the port
 * @port: port that accepted it
 * @request: request in progress, or NULL
 * @fd: socket of the connection
 * @requests_received: number of requests received on it
 * @silent: no request on it is answered any more
 */
typedef struct fake_connection {
	struct fake_connection *prev;
	struct fake_connection *next;
	fake_port_t *port;
	fake_request_t *request;
	int fd;
	unsigned requests_received;
	bool silent;
} fake_connection_t;

/**
 * struct fake_request - an HTTP request
 * @port: port that received it
 * @connection: connection that it came on
 * @mhd: connection handle of libmicrohttpd
 * @method: HTTP method
 * @url: path without arguments
 * @body: request body
 * @response: the answer, or NULL while there is none
 * @status: HTTP status of @response
 * @dispatched: it was passed to @handle of the port
 * @suspended: its connection is suspended until there is an answer
 * @aborted: the connection is to be reset
 * @data: data of the handlers of the port; NULL at first
 */
struct fake_request {
	fake_port_t *port;
	fake_connection_t *connection;
	struct MHD_Connection *mhd;
	char *method;
	char *url;
	medlar_buf_t body;
	struct MHD_Response *response;
	unsigned status;
	bool dispatched;
	bool suspended;
	bool aborted;
	void *data;
};

/**
 * struct fake_port_ops - request handlers of a port
 * @handle: called when a request is complete; answers it at once or later
 * @finished: called before a request is freed, answered or not; may be NULL
 */
typedef struct fake_port_ops {
	void (*handle)(fake_request_t *request, void *data);
	void (*finished)(fake_request_t *request, void *data);
} fake_port_ops_t;

/**
 * struct fake_port - an HTTP server on one TCP port
 * @loop: loop that serves it
 * @next: next port of the loop
 * @mhd: daemon of libmicrohttpd; NULL while closed
 * @port: TCP port number
 * @has_work: the daemon is to run in this iteration of the loop
 * @ops: request handlers
 * @data: passed to the handlers
 * @connections: open connections
 * @connections_open: number of open connections that are not silent
 * @connections_open_max: highest value of @connections_open
 * @connections_max: limit of @connections_open; 0 for none
 * @connections_rejected: connections refused because of @connections_max
 */
struct fake_port {
	fake_loop_t *loop;
	fake_port_t *next;
	struct MHD_Daemon *mhd;
	uint16_t port;
	bool has_work;
	const fake_port_ops_t *ops;
	void *data;
	fake_connection_t *connections;
	unsigned connections_open;
	unsigned connections_open_max;
	unsigned connections_max;
	uint64_t connections_rejected;
};

/**
 * struct fake_loop - event loop of one thread
 * @client: timers, in microseconds of fake_now(), and random generator
 * @lock: held while events are handled
 * @ports: ports served
 * @epoll: epoll descriptor
 * @timer: timerfd descriptor
 * @wake_event: eventfd descriptor that wakes the loop
 * @timer_due: time that @timer is set to, microseconds
 * @stop: fake_loop_run() is to return
 */
struct fake_loop {
	medlar_client_t client;
	pthread_mutex_t lock;
	fake_port_t *ports;
	int epoll;
	int timer;
	int wake_event;
	medlar_time_t timer_due;
	bool stop;
};

medlar_time_t fake_now(void);
medlar_time_t fake_wall_time_ms(void);
int fake_loop_init(fake_loop_t *loop, uint64_t seed);
void fake_loop_finish(fake_loop_t *loop);
void fake_loop_run(fake_loop_t *loop);
int fake_loop_watch(const fake_loop_t *loop, int fd, void *data);
void fake_loop_wake(fake_loop_t *loop);
void fake_loop_stop(fake_loop_t *loop);
int fake_loop_stop_on_signal(fake_loop_t *loop, pthread_t *thread);

void fake_port_init(fake_port_t *port, fake_loop_t *loop, uint16_t number,
		    const fake_port_ops_t *ops, void *data);
int fake_port_open(fake_port_t *port);
void fake_port_close(fake_port_t *port);
void fake_port_silence(fake_port_t *port, unsigned every);

void fake_request_answer(fake_request_t *request, unsigned status,
			 struct MHD_Response *response);
void fake_request_answer_json(fake_request_t *request, unsigned status,
			      const medlar_buf_t *text);
void fake_request_answer_text(fake_request_t *request, unsigned status,
			      const char *text);
void fake_request_abort(fake_request_t *request);
const char *fake_request_header(const fake_request_t *request,
				const char *name);
const char *fake_request_arg(const fake_request_t *request, const char *name);
uint64_t fake_request_arg_number(const fake_request_t *request,
				 const char *name, uint64_t fallback);

#endif
