/**
 * DOC: event loops and HTTP ports of the stand-ins
 *
 * A loop serves any number of ports in one thread. Requests may be answered
 * at once or later; a request that waits costs no thread.
 */
#ifndef FAKES_COMMON_LOOP_H
#define FAKES_COMMON_LOOP_H

#include <microhttpd.h>
#include <pthread.h>

#include "libmedlar/medlar.h"

#define FAKE_MILLISECOND ((medlar_time_t)1000)

typedef struct fake_loop fake_loop_t;
typedef struct fake_port fake_port_t;
typedef struct fake_request fake_request_t;

/**
 * struct fake_connection - an open connection of a port
 * @prev: neighbour in the port's list
 * @next: neighbour in the port's list
 * @port: port that accepted it
 * @request: request in progress, or NULL
 * @fd: socket
 * @requests: requests received on it
 * @silent: nothing is read or answered any more
 */
typedef struct fake_connection {
	struct fake_connection *prev;
	struct fake_connection *next;
	fake_port_t *port;
	fake_request_t *request;
	int fd;
	unsigned requests;
	bool silent;
} fake_connection_t;

/**
 * struct fake_request - a request that has been received whole
 * @port: port that received it
 * @connection: its connection
 * @mhd: handle of the HTTP library
 * @method: HTTP method
 * @url: path without arguments
 * @body: request body
 * @response: the answer, once there is one
 * @status: HTTP status of @response
 * @dispatched: the port's handler has seen it
 * @suspended: the HTTP library waits for an answer
 * @aborted: the connection is to be reset
 * @data: for the port's handler
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
 * struct fake_port_ops - what a port does with requests
 * @handle: a request is complete; answer it now or later
 * @finished: a request is gone, answered or not; may be NULL
 */
typedef struct fake_port_ops {
	void (*handle)(fake_request_t *request, void *data);
	void (*finished)(fake_request_t *request, void *data);
} fake_port_ops_t;

/**
 * struct fake_port - a listening HTTP port
 * @loop: loop that serves it
 * @next: next port of the loop
 * @mhd: daemon of the HTTP library; NULL while closed
 * @port: TCP port
 * @dirty: has work that epoll does not tell of
 * @ops: handlers
 * @data: passed to the handlers
 * @connections: open connections
 * @count: number of open connections that are not silent
 * @count_max: high-water mark of @count
 * @limit: connections accepted at once; 0 for no limit
 * @rejected: connections refused for the limit
 */
struct fake_port {
	fake_loop_t *loop;
	fake_port_t *next;
	struct MHD_Daemon *mhd;
	uint16_t port;
	bool dirty;
	const fake_port_ops_t *ops;
	void *data;
	fake_connection_t *connections;
	unsigned count;
	unsigned count_max;
	unsigned limit;
	uint64_t rejected;
};

/**
 * struct fake_loop - a thread's event loop
 * @client: timers, due in microseconds, and random numbers
 * @lock: held while events are handled
 * @ports: ports served
 * @epoll: epoll descriptor
 * @timer: timer descriptor
 * @wake: event descriptor that interrupts the wait
 * @armed: when @timer fires, microseconds
 * @stop: leave the loop
 */
struct fake_loop {
	medlar_client_t client;
	pthread_mutex_t lock;
	fake_port_t *ports;
	int epoll;
	int timer;
	int wake;
	medlar_time_t armed;
	bool stop;
};

medlar_time_t fake_now(void);
medlar_time_t fake_wall_ms(void);
int fake_loop_init(fake_loop_t *loop, uint64_t seed);
void fake_loop_finish(fake_loop_t *loop);
void fake_loop_run(fake_loop_t *loop);
int fake_loop_watch(const fake_loop_t *loop, int fd, void *data);
void fake_loop_wake(fake_loop_t *loop);
void fake_loop_stop(fake_loop_t *loop);
int fake_stop_on_signal(fake_loop_t *loop, pthread_t *thread);

void fake_port_init(fake_port_t *port, fake_loop_t *loop, uint16_t number,
		    const fake_port_ops_t *ops, void *data);
int fake_port_open(fake_port_t *port);
void fake_port_close(fake_port_t *port);
void fake_port_silence(fake_port_t *port, unsigned every);

void fake_request_answer(fake_request_t *request, unsigned status,
			 struct MHD_Response *response);
void fake_request_text(fake_request_t *request, unsigned status,
		       const medlar_buf_t *text);
void fake_request_plain(fake_request_t *request, unsigned status,
			const char *text);
void fake_request_abort(fake_request_t *request);
const char *fake_request_header(const fake_request_t *request,
				const char *name);
const char *fake_request_arg(const fake_request_t *request, const char *name);
uint64_t fake_request_number(const fake_request_t *request, const char *name,
			     uint64_t otherwise);

#endif
