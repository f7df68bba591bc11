/**
 * DOC: processing of a caller's request by the workers
 */
#include <stdlib.h>

#include "medlard/answer.h"
#include "medlard/http_server.h"
#include "medlard/control.h"
#include "medlard/worker.h"

/**
 * request_start() - call the handler of a request
 * @request: request at its home worker, allocated with calloc(); freed once it
 *	has been answered
 */
void request_start(request_t *request)
{
	worker_t *worker = request->home;

	request->current = request->owner = worker;
	request->next = worker->in_flight;
	if (request->next)
		request->next->prev = request;
	worker->in_flight = request;
	worker->in_flight_len++;
	request->route->handle(request);
}

static void remove_in_flight(request_t *request)
{
	worker_t *worker = request->home;

	if (request->prev)
		request->prev->next = request->next;
	else
		worker->in_flight = request->next;
	if (request->next)
		request->next->prev = request->prev;
	worker->in_flight_len--;
}

/**
 * request_free() - free a request
 * @request: request that no worker uses any more
 */
void request_free(request_t *request)
{
	medlar_buf_finish(&request->text);
	medlar_buf_finish(&request->body);
	medlar_buf_finish(&request->answer);
	args_finish(&request->args);
	free(request);
}

/* Runs in the home worker, once answered and unused by other workers. */
static void complete_request(request_t *request)
{
	remove_in_flight(request);
	if (request->conn)
		http_server_answer(request);
	request_free(request);
}

static void on_returned(mailbox_call_t *call, void *data)
{
	request_t *request = data;

	(void)call;
	request->current = request->home;
	request->answered = true;
	if (!request->cancelling)
		complete_request(request);
}

/**
 * request_reply() - complete a request whose answer has been written
 * @request: request at the calling worker; must not be used afterwards
 * @status: HTTP status; 503 is sent instead if writing ran out of memory
 */
void request_reply(request_t *request, unsigned status)
{
	if (request->answer.error) {
		medlar_buf_reset(&request->answer);
		status = HTTP_STATUS_SERVICE_UNAVAILABLE;
	}
	request->status = status;
	if (request->current == request->home)
		on_returned(&request->call, request);
	else
		mailbox_post(&request->home->inbox, &request->call, on_returned,
			     request);
}

/**
 * request_refuse() - complete a request that was not executed
 * @request: request at the calling worker; must not be used afterwards
 * @status: HTTP status
 * @error: reason, a %MEDLAR_ERR_ code
 * @field: name of the invalid field, or an empty string
 */
void request_refuse(request_t *request, unsigned status, int error,
		    const char *field)
{
	medlar_buf_reset(&request->answer);
	answer_refusal(&request->answer, error, field);
	request_reply(request, status);
}

/**
 * request_forward() - continue a request in another worker
 * @request: request at its home worker
 * @to: worker; may be the home worker itself
 * @run: function that @to runs, with the request as its data
 */
void request_forward(request_t *request, worker_t *to, mailbox_fn_t run)
{
	request->current = to;
	request->owner = to;
	if (to == request->home) {
		run(&request->call, request);
		return;
	}
	metrics_add(&request->home->metrics, METRIC_REQUESTS_FORWARDED, 1);
	mailbox_post(&to->inbox, &request->call, run, request);
}

static void visit_worker(mailbox_call_t *call, void *data)
{
	request_t *request = data;
	worker_t *here = request->current;
	worker_t *next;

	(void)call;
	request->visit(here, request);
	request->visit_index++;
	next = control_get_worker(here->control, request->visit_index);
	if (!next) {
		request->visit(NULL, request);
		return;
	}
	request->current = next;
	mailbox_post(&next->inbox, &request->call, visit_worker, request);
}

/**
 * request_visit_workers() - build an answer from data of all workers
 * @request: request at its home worker
 * @visit: called in the thread of each worker, in the order of their numbers,
 *	and once more with NULL as the worker; it must then call
 *	request_reply()
 */
void request_visit_workers(request_t *request,
			   void (*visit)(worker_t *worker, request_t *request))
{
	request->visit_index = 0;
	request->visit = visit;
	request_forward(request, control_get_worker(request->home->control, 0),
			visit_worker);
}

static void on_cancel_done(mailbox_call_t *call, void *data)
{
	request_t *request = data;

	(void)call;
	request->cancelling = false;
	if (request->answered)
		complete_request(request);
}

static void on_cancel_posted(mailbox_call_t *call, void *data)
{
	request_t *request = data;
	worker_t *home = request->home;

	service_cancel(request);
	mailbox_post(&home->inbox, call, on_cancel_done, request);
}

/**
 * request_on_disconnect() - cancel a request whose caller has disconnected
 * @request: request in flight; called by its home worker
 */
void request_on_disconnect(request_t *request)
{
	worker_t *worker = request->home;

	request->conn = NULL;
	metrics_add(&worker->metrics, METRIC_CALLER_CANCELS, 1);
	if (request->visit)
		return;
	if (request->owner == worker) {
		service_cancel(request);
		return;
	}
	request->cancelling = true;
	mailbox_post(&request->owner->inbox, &request->cancel, on_cancel_posted,
		     request);
}
