/**
 * DOC: state and handlers shared by the objects of one thread
 */
#include <stdlib.h>

#include "medlar.h"

static const char *const event_names[MEDLAR_EVENT_COUNT] = {
	[MEDLAR_EVENT_PICK] = "pick",	    [MEDLAR_EVENT_HEDGE] = "hedge",
	[MEDLAR_EVENT_RETRY] = "retry",	    [MEDLAR_EVENT_REPLY] = "reply",
	[MEDLAR_EVENT_DROP] = "drop",	    [MEDLAR_EVENT_ADMIT] = "admit",
	[MEDLAR_EVENT_REFUSE] = "refuse",   [MEDLAR_EVENT_VERSION] = "version",
	[MEDLAR_EVENT_ANSWER] = "answer",   [MEDLAR_EVENT_EJECT] = "eject",
	[MEDLAR_EVENT_LIMIT] = "limit",	    [MEDLAR_EVENT_LEAVE] = "leave",
	[MEDLAR_EVENT_SUSPECT] = "suspect", [MEDLAR_EVENT_CLAIM] = "claim",
	[MEDLAR_EVENT_WRITE] = "write",	    [MEDLAR_EVENT_CONFIG] = "config",
	[MEDLAR_EVENT_MEMBER] = "member",   [MEDLAR_EVENT_MAP] = "map",
	[MEDLAR_EVENT_ADDRESS] = "address", [MEDLAR_EVENT_STORE] = "store",
};

/**
 * medlar_client_init() - initialise a client without handlers and timers
 * @client: client in memory of the caller
 * @instance: unique name of this instance
 * @zone: number of its availability zone
 * @seed: seed of the random generator
 */
void medlar_client_init(medlar_client_t *client, medlar_str_t instance,
			uint16_t zone, uint64_t seed)
{
	uint64_t hash = medlar_str_hash(instance, 0);

	*client = (medlar_client_t){
		.instance = hash ? hash : 1,
		.zone = zone,
		.rand = { seed },
	};
}

/**
 * medlar_client_finish() - free the timer heap of a client
 * @client: an initialised client whose objects are finished
 */
void medlar_client_finish(medlar_client_t *client)
{
	free(client->timers.heap);
	client->timers = (medlar_timers_t){ 0 };
}

/**
 * medlar_client_on_trace() - set the handler of trace events
 * @client: client
 * @fn: handler, or NULL for none
 * @data: passed to @fn
 */
void medlar_client_on_trace(medlar_client_t *client, medlar_trace_fn_t fn,
			    void *data)
{
	client->trace = fn;
	client->trace_data = data;
}

/**
 * medlar_client_on_error() - set the handler of error reports
 * @client: client
 * @fn: handler, or NULL for none
 * @data: passed to @fn
 */
void medlar_client_on_error(medlar_client_t *client, medlar_error_fn_t fn,
			    void *data)
{
	client->error = fn;
	client->error_data = data;
}

/**
 * medlar_client_due() - time of the next timer
 * @client: client
 *
 * Return: when to call medlar_client_run() next, in milliseconds;
 * %MEDLAR_TIME_NEVER if no timer is set.
 */
medlar_time_t medlar_client_due(const medlar_client_t *client)
{
	if (client->timers.len == 0)
		return MEDLAR_TIME_NEVER;
	return client->timers.heap[0]->due;
}

/**
 * medlar_client_run() - fire the timers that are due
 * @client: client
 * @now: current time, ms
 *
 * At most as many timers fire as were set at the call, so a handler that sets
 * its timer to @now again does not keep the call from returning.
 */
void medlar_client_run(medlar_client_t *client, medlar_time_t now)
{
	size_t left = client->timers.len;

	while (left-- > 0 && medlar_client_due(client) <= now) {
		medlar_timer_t *timer = client->timers.heap[0];

		medlar_timer_clear(client, timer);
		timer->fn(client, timer, now, timer->data);
	}
}

/**
 * medlar_client_trace() - pass an event to the trace handler, if there is one
 * @client: client
 * @event: event
 * @fields: fields of the event; valid during the call only
 * @count: number of @fields
 */
void medlar_client_trace(medlar_client_t *client, medlar_event_t event,
			 const medlar_field_t *fields, size_t count)
{
	if (client->trace)
		client->trace(event, fields, count, client->trace_data);
}

/**
 * medlar_client_report() - pass an error to the error handler, if there is one
 * @client: client
 * @report: error with its location; valid during the call only
 */
void medlar_client_report(medlar_client_t *client,
			  const medlar_error_report_t *report)
{
	if (client->error)
		client->error(report, client->error_data);
}

/**
 * medlar_event_name() - name of a trace event for logs
 * @event: event
 *
 * Return: a constant identifier, ``unknown`` for other values.
 */
const char *medlar_event_name(medlar_event_t event)
{
	if (event < 0 || event >= MEDLAR_EVENT_COUNT)
		return "unknown";
	return event_names[event];
}
