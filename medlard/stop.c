/**
 * DOC: graceful shutdown
 *
 * The instance announces that it is leaving, and its address is no longer given
 * to callers. It keeps serving until the address lists that contain it have
 * expired and no request is in flight, then closes each connection after its
 * answer, removes itself from the instance list and exits. A second signal, or
 * stop_ms in the settings, ends the wait; each request that is interrupted is
 * logged.
 */
#include <stdlib.h>

#include "medlard/control.h"
#include "medlard/http_server.h"
#include "medlard/stop.h"
#include "medlard/writer.h"

/* Time between two counts of the requests in flight, ms. */
#define CHECK_INTERVAL ((medlar_time_t)50)

/* Polls of the instance list after which every instance has seen a change. */
#define LIST_PERIODS 3

/* Time for callers to notice that their idle connection was closed, ms. */
#define DRAIN_MIN MEDLAR_SECOND

/**
 * struct count_call - a request to a worker for its requests in flight
 * @control: control thread
 * @worker: worker
 * @call: entry in the inbox of the worker, then of the control thread
 * @in_flight: number of requests in flight, set by the worker
 */
typedef struct count_call {
	control_t *control;
	worker_t *worker;
	mailbox_call_t call;
	size_t in_flight;
} count_call_t;

static void advance_stop(control_t *control);

static void log_state(control_t *control, const char *state)
{
	LOG_LINE(&control->log, LOG_LEVEL_NOTICE, "stop",
		 MEDLAR_TEXT("state", medlar_str_from(state)),
		 MEDLAR_NUM("in_flight", control->requests_counted));
}

static void set_worker_leaving(worker_t *worker, void *data)
{
	(void)data;
	worker->leaving = true;
}

static void set_worker_stopping(worker_t *worker, void *data)
{
	(void)data;
	http_server_begin_close(worker);
}

static void stop_worker(worker_t *worker, void *data)
{
	const request_t *request;

	(void)data;
	for (request = worker->in_flight; request; request = request->next)
		LOG_LINE(&worker->log, LOG_LEVEL_WARNING, "cut",
			 MEDLAR_TEXT("path", medlar_str_from(request->path)),
			 MEDLAR_NUM("age_ms",
				    worker->loop.now - request->arrived));
	loop_stop(&worker->loop);
}

static void post_to_workers(control_t *control,
			    void (*fn)(worker_t *worker, void *data))
{
	for (size_t i = 0; i < control->workers_len; i++)
		control_post(control, i, fn, NULL);
}

static void on_deregistered(const store_result_t *result, void *data)
{
	control_t *control = data;

	(void)result;
	log_state(control, "end");
	post_to_workers(control, stop_worker);
	loop_stop(&control->loop);
}

static void finish_stop(control_t *control)
{
	if (control->stop_state == STOP_FINISHING)
		return;
	control->stop_state = STOP_FINISHING;
	medlar_timer_clear(&control->client, &control->stop_timer);
	instances_deregister(&control->directory, on_deregistered, control);
}

static void on_counted(mailbox_call_t *call, void *data)
{
	count_call_t *counter = data;
	control_t *control = counter->control;

	(void)call;
	control->requests_counted += counter->in_flight;
	free(counter);
	if (--control->counts_pending == 0)
		advance_stop(control);
}

static void count_in_flight(mailbox_call_t *call, void *data)
{
	count_call_t *counter = data;

	(void)call;
	counter->in_flight = http_server_count_busy(counter->worker) +
			     writer_pending_count(counter->worker);
	mailbox_post(&counter->control->inbox, &counter->call, on_counted,
		     counter);
}

static void request_counts(control_t *control)
{
	control->requests_counted = 0;
	for (size_t i = 0; i < control->workers_len; i++) {
		count_call_t *counter = calloc(1, sizeof(*counter));

		if (!counter)
			continue;
		counter->control = control;
		counter->worker = &control->workers[i];
		control->counts_pending++;
		mailbox_post(&counter->worker->inbox, &counter->call,
			     count_in_flight, counter);
	}
}

static void on_stop_timer(medlar_client_t *client, medlar_timer_t *timer,
			  medlar_time_t now, void *data)
{
	control_t *control = data;

	if (control->stop_state == STOP_FINISHING)
		return;
	if (now >= control->stop_forced_at) {
		finish_stop(control);
		return;
	}
	if (control->counts_pending == 0)
		request_counts(control);
	(void)medlar_timer_set(client, timer, now + CHECK_INTERVAL);
}

/* Called each time all workers have reported their requests in flight. */
static void advance_stop(control_t *control)
{
	medlar_time_t now = control->loop.now;

	if (now < control->stop_earliest_at)
		return;
	if (control->stop_state == STOP_LEAVING) {
		control->stop_state = STOP_DRAINING;
		control->stop_earliest_at = now + DRAIN_MIN;
		post_to_workers(control, set_worker_stopping);
		log_state(control, "draining");
	} else if (control->stop_state == STOP_DRAINING &&
		   control->requests_counted == 0) {
		finish_stop(control);
	}
}

/* Time for which callers may still be given this address and then keep it. */
static medlar_time_t address_lifetime(const control_t *control)
{
	return control->directory.address_ttl +
	       LIST_PERIODS * control->settings.platform.list_ms;
}

/**
 * stop_begin() - start a graceful shutdown
 * @control: control thread
 *
 * Has no effect if a shutdown has already started.
 */
void stop_begin(control_t *control)
{
	medlar_time_t now = control->loop.now;

	if (control->stop_state != STOP_NONE)
		return;
	control->stop_state = STOP_LEAVING;
	control->stop_earliest_at = now + address_lifetime(control);
	control->stop_forced_at = now + control->settings.stop_ms;
	log_state(control, "leaving");
	instances_announce_leaving(&control->directory);
	post_to_workers(control, set_worker_leaving);
	medlar_timer_init(&control->stop_timer, on_stop_timer, control);
	(void)medlar_timer_set(&control->client, &control->stop_timer, now);
}

/**
 * stop_force() - shut down without waiting for requests in flight
 * @control: control thread, after stop_begin()
 */
void stop_force(control_t *control)
{
	log_state(control, "hastened");
	finish_stop(control);
}
