/**
 * DOC: processing of a caller's request by the workers
 *
 * A request belongs to the worker that accepted its connection, its home
 * worker. That worker may forward it to another one, which returns it with an
 * answer.
 */
#ifndef MEDLARD_REQUEST_H
#define MEDLARD_REQUEST_H

#include "medlard/args.h"
#include "medlard/h1_server.h"
#include "medlard/mailbox.h"

/** Longest idempotency key, bytes. */
#define REQUEST_KEY_MAX 64

typedef struct worker worker_t;
typedef struct request request_t;
typedef struct service service_t;

/**
 * struct route - handler of requests with a given method and path
 * @method: HTTP method
 * @path: path to match; a prefix if it ends in a slash
 * @handle: called by the home worker once the body has been received. It must
 *	call request_reply() or request_refuse(), at once or later
 */
typedef struct route {
	const char *method;
	const char *path;
	void (*handle)(request_t *request);
} route_t;

/**
 * struct request - a request of a caller
 * @home: worker that accepted its connection
 * @current: worker that processes it now
 * @owner: worker it was forwarded to, which runs its query; @home if none
 * @conn: connection of the caller; NULL once it was closed
 * @text: memory of @path, @arguments and @authorization
 * @path: decoded path of the URL
 * @arguments: query of the URL, as received; empty for none
 * @route: route it matched; NULL for none
 * @body: body
 * @caller: hash that identifies the caller
 * @key: idempotency key, NUL-terminated; empty for none
 * @authorization: value of the Authorization header, or NULL
 * @arrived: when its first byte was received, ms
 * @kind: search, lookup or write
 * @service_number: number of the service it addresses
 * @args: parsed body
 * @query: core query that answers it, or NULL; used by @owner only
 * @answer: body of the answer
 * @status: HTTP status of the answer; 0 until there is one
 * @content_type: content type of the answer
 * @answered: the answer has been returned to @home
 * @visit_index: index of the worker or service to visit next
 * @visit: called for each visited worker; see request_visit_workers()
 * @call: posts the request to another worker
 * @cancel: posts a cancellation to @owner
 * @cancelling: @cancel is posted and not acknowledged
 * @prev: previous request in flight of @home
 * @next: next request in flight of @home
 */
struct request {
	worker_t *home;
	worker_t *current;
	worker_t *owner;
	h1_conn_t *conn;
	medlar_buf_t text;
	const char *path;
	const char *arguments;
	const route_t *route;
	medlar_buf_t body;
	uint64_t caller;
	char key[REQUEST_KEY_MAX + 1];
	const char *authorization;
	medlar_time_t arrived;
	medlar_request_kind_t kind;
	size_t service_number;
	args_t args;
	medlar_query_t *query;
	medlar_buf_t answer;
	unsigned status;
	const char *content_type;
	bool answered;
	size_t visit_index;
	void (*visit)(worker_t *worker, request_t *request);
	mailbox_call_t call;
	mailbox_call_t cancel;
	bool cancelling;
	request_t *prev;
	request_t *next;
};

void request_start(request_t *request);
void request_free(request_t *request);
void request_on_disconnect(request_t *request);
void request_reply(request_t *request, unsigned status);
void request_refuse(request_t *request, unsigned status, int error,
		    const char *field);
void request_forward(request_t *request, worker_t *to, mailbox_fn_t run);
void request_visit_workers(request_t *request,
			   void (*visit)(worker_t *worker, request_t *request));

#endif /* MEDLARD_REQUEST_H */
