/**
 * DOC: graceful shutdown
 *
 * The instance announces that it leaves and is no longer given out. It serves
 * on until the answers that named it have expired and nothing is in flight,
 * then closes each connection after its answer, removes itself from the
 * instance list and ends. A second signal, or the bound in the settings, ends
 * the wait; each request that is cut leaves a log line.
 */
#include <stdlib.h>

#include "medlard/control.h"
#include "medlard/stop.h"
#include "medlard/writer.h"

#define CHECK_PERIOD ((medlar_time_t)50)

/* Readings of the list after which every instance knows of a change. */
#define LIST_PERIODS 3

/* Time for callers with an idle connection to see its close. */
#define DRAIN_MIN MEDLAR_SECOND

/**
 * struct count_note - the number of requests in flight of a worker
 * @control: control thread
 * @worker: worker
 * @call: for handing it over
 * @count: how many
 */
typedef struct count_note {
	control_t *control;
	worker_t *worker;
	handoff_call_t call;
	size_t count;
} count_note_t;

static void step(control_t *control);

static void trace(control_t *control, const char *state)
{
	LOG_LINE(&control->log, LOG_LEVEL_NOTICE, "stop",
		 MEDLAR_TEXT("state", medlar_str_from(state)),
		 MEDLAR_NUM("in_flight", control->counted));
}

static void set_leaving(worker_t *worker, void *data)
{
	(void)data;
	worker->leaving = true;
}

static void set_stopping(worker_t *worker, void *data)
{
	(void)data;
	worker->stopping = true;
}

static void end_worker(worker_t *worker, void *data)
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

static void post_all(control_t *control,
		     void (*fn)(worker_t *worker, void *data))
{
	for (size_t i = 0; i < control->workers_len; i++)
		control_post(control, i, fn, NULL);
}

static void on_deregistered(const store_result_t *result, void *data)
{
	control_t *control = data;

	(void)result;
	trace(control, "end");
	post_all(control, end_worker);
	loop_stop(&control->loop);
}

static void finish(control_t *control)
{
	if (control->stop == STOP_CUT)
		return;
	control->stop = STOP_CUT;
	medlar_timer_clear(&control->client, &control->stop_timer);
	instances_deregister(&control->directory, on_deregistered, control);
}

static void on_counted(handoff_call_t *call, void *data)
{
	count_note_t *note = data;
	control_t *control = note->control;

	(void)call;
	control->counted += note->count;
	free(note);
	if (--control->counting == 0)
		step(control);
}

static void count(handoff_call_t *call, void *data)
{
	count_note_t *note = data;

	(void)call;
	note->count = note->worker->in_flight_len +
		      writer_pending(note->worker);
	handoff_post(&note->control->inbox, &note->call, on_counted, note);
}

static void ask_workers(control_t *control)
{
	control->counted = 0;
	for (size_t i = 0; i < control->workers_len; i++) {
		count_note_t *note = calloc(1, sizeof(*note));

		if (!note)
			continue;
		note->control = control;
		note->worker = &control->workers[i];
		control->counting++;
		handoff_post(&note->worker->inbox, &note->call, count, note);
	}
}

static void check(medlar_client_t *client, medlar_timer_t *timer,
		  medlar_time_t now, void *data)
{
	control_t *control = data;

	if (control->stop == STOP_CUT)
		return;
	if (now >= control->stop_until) {
		finish(control);
		return;
	}
	if (control->counting == 0)
		ask_workers(control);
	(void)medlar_timer_set(client, timer, now + CHECK_PERIOD);
}

/* Runs whenever all workers have told what is in flight. */
static void step(control_t *control)
{
	medlar_time_t now = control->loop.now;

	if (now < control->stop_at)
		return;
	if (control->stop == STOP_LEAVING) {
		control->stop = STOP_DRAINING;
		control->stop_at = now + DRAIN_MIN;
		post_all(control, set_stopping);
		trace(control, "draining");
	} else if (control->stop == STOP_DRAINING && control->counted == 0) {
		finish(control);
	}
}

/* How long callers may still be given, and then keep, this address. */
static medlar_time_t last_use(const control_t *control)
{
	return control->directory.address_ttl +
	       LIST_PERIODS * control->settings.platform.list_ms;
}

/**
 * stop_begin() - start a graceful shutdown
 * @control: control thread
 */
void stop_begin(control_t *control)
{
	medlar_time_t now = control->loop.now;

	if (control->stop != STOP_NONE)
		return;
	control->stop = STOP_LEAVING;
	control->stop_at = now + last_use(control);
	control->stop_until = now + control->settings.stop_ms;
	trace(control, "leaving");
	instances_leave(&control->directory);
	post_all(control, set_leaving);
	medlar_timer_init(&control->stop_timer, check, control);
	(void)medlar_timer_set(&control->client, &control->stop_timer, now);
}

/**
 * stop_hasten() - end the wait of a graceful shutdown
 * @control: control thread
 */
void stop_hasten(control_t *control)
{
	trace(control, "hastened");
	finish(control);
}
