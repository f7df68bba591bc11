/**
 * DOC: processing of a caller's request by the workers
 */
#include <sys/epoll.h>

#include "medlard/answer.h"
#include "medlard/http_server.h"
#include "medlard/control.h"
#include "medlard/worker.h"

static void send_answer(request_t *request)
{
	worker_t *worker = request->home;
	struct MHD_Response *response;

	response = MHD_create_response_from_buffer(request->answer.len,
						   request->answer.ptr,
						   MHD_RESPMEM_MUST_FREE);
	if (!response) {
		http_server_abort(request);
		return;
	}
	medlar_buf_init(&request->answer);
	(void)MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				      request->content_type);
	if (worker->stopping)
		(void)MHD_add_response_header(
			response, MHD_HTTP_HEADER_CONNECTION, "close");
	(void)MHD_queue_response(request->connection, request->status,
				 response);
	MHD_destroy_response(response);
}

static void on_caller_close(uint32_t events, void *data)
{
	(void)events;
	request_on_disconnect(data);
}

/**
 * request_start() - call the handler of a request
 * @request: request with its whole body, at its home worker
 */
void request_start(request_t *request)
{
	worker_t *worker = request->home;

	request->dispatched = true;
	request->current = request->owner = worker;
	request->next = worker->in_flight;
	if (request->next)
		request->next->prev = request;
	worker->in_flight = request;
	worker->in_flight_len++;
	MHD_suspend_connection(request->connection);
	request->suspended = true;
	(void)loop_watch(&worker->loop, request->fd, EPOLLRDHUP,
			 on_caller_close, request);
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

/* Runs in the home worker, once answered and unused by other workers. */
static void complete_request(request_t *request)
{
	worker_t *worker = request->home;

	remove_in_flight(request);
	send_answer(request);
	if (!request->suspended)
		return;
	loop_unwatch(&worker->loop, request->fd);
	request->suspended = false;
	worker->port_ready = true;
	MHD_resume_connection(request->connection);
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
		status = MHD_HTTP_SERVICE_UNAVAILABLE;
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

	loop_unwatch(&worker->loop, request->fd);
	if (request->disconnected)
		return;
	request->disconnected = true;
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
