/**
 * DOC: a caller's request on its way through the daemon
 *
 * A request belongs to the worker that accepted its connection, its home. It
 * may be lent to another worker, which gives it back with an answer.
 */
#ifndef MEDLARD_REQUEST_H
#define MEDLARD_REQUEST_H

#include <microhttpd.h>

#include "medlard/args.h"
#include "medlard/handoff.h"

#define REQUEST_KEY_MAX 64

typedef struct worker worker_t;
typedef struct request request_t;
typedef struct service service_t;

/**
 * struct route - what is done for a method and path
 * @method: HTTP method
 * @path: the whole path, or how it begins when it ends in a slash
 * @handle: called by the home worker once the body is there. It ends in
 *	request_reply() or request_refuse(), at once or later
 */
typedef struct route {
	const char *method;
	const char *path;
	void (*handle)(request_t *request);
} route_t;

/**
 * struct request - a request
 * @home: worker that holds its connection
 * @current: worker where it is now
 * @owner: worker that runs its query
 * @connection: connection of the caller
 * @fd: its descriptor
 * @path: path of the URL, terminated
 * @route: what is done for it
 * @body: body
 * @caller: hash of the caller's name
 * @key: idempotency key, terminated; empty when not told
 * @authorization: value of the Authorization header or NULL
 * @arrived: when its headers were read, ms
 * @kind: search, lookup or write
 * @service_number: number of the service that it asks
 * @args: what it asks for
 * @query: query that answers it; used by the worker it is lent to
 * @answer: body of the answer
 * @status: HTTP status of the answer; 0 until there is one
 * @type: content type of the answer
 * @answered: the answer is at home
 * @suspended: its connection waits for the answer
 * @disconnected: the caller has closed
 * @too_large: the body is longer than allowed
 * @dispatched: its route has been followed
 * @visit_index: next worker of a tour; see request_tour()
 * @visit: function of the tour
 * @call: for handing the request over
 * @cancel: for telling the other worker that the caller has closed
 * @cancelling: @cancel is under way
 * @timer: bounds the time for sending the request
 * @prev: previous request in flight of @home
 * @next: next one
 */
struct request {
	worker_t *home;
	worker_t *current;
	worker_t *owner;
	struct MHD_Connection *connection;
	int fd;
	const char *path;
	const route_t *route;
	medlar_buf_t body;
	uint64_t caller;
	char key[REQUEST_KEY_MAX + 1];
	const char *authorization;
	medlar_time_t arrived;
	medlar_kind_t kind;
	size_t service_number;
	args_t args;
	medlar_query_t *query;
	medlar_buf_t answer;
	unsigned status;
	const char *type;
	bool answered;
	bool suspended;
	bool disconnected;
	bool too_large;
	bool dispatched;
	size_t visit_index;
	void (*visit)(worker_t *worker, request_t *request);
	handoff_call_t call;
	handoff_call_t cancel;
	bool cancelling;
	medlar_timer_t timer;
	request_t *prev;
	request_t *next;
};

void request_start(request_t *request);
void request_on_disconnect(request_t *request);
void request_reply(request_t *request, unsigned status);
void request_refuse(request_t *request, unsigned status, int error,
		    const char *field);
void request_forward(request_t *request, worker_t *to, handoff_fn_t run);
void request_tour(request_t *request,
		  void (*visit)(worker_t *worker, request_t *request));

#endif /* MEDLARD_REQUEST_H */
