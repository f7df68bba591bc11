/**
 * DOC: log of events that come in bursts
 */
#include "router/log_batch.h"

#define PERIOD_MS MEDLAR_SECOND
#define LOGGED_MAX 8
#define NAMES_MAX 4

/**
 * log_batch_init() - initialise without events
 * @batch: uninitialised memory; needs log_batch_finish()
 * @log: log that outlives @batch
 * @event: name of the event, a static string
 */
void log_batch_init(log_batch_t *batch, logger_t *log, const char *event)
{
	*batch = (log_batch_t){ .log = log, .event = event };
	medlar_buf_init(&batch->names);
}

static void begin_period(log_batch_t *batch, medlar_time_t now)
{
	batch->period_began = now;
	batch->logged = 0;
	batch->held = 0;
	batch->names_len = 0;
	medlar_buf_reset(&batch->names);
}

static void write_held(const log_batch_t *batch, medlar_time_t now)
{
	LOG_LINE(batch->log, LOG_LEVEL_NOTICE, batch->event,
		 MEDLAR_NUM("more", batch->held),
		 MEDLAR_NUM("in_ms", now - batch->period_began),
		 MEDLAR_TEXT("first", medlar_buf_str(&batch->names)));
}

static bool is_over(const log_batch_t *batch, medlar_time_t now)
{
	return now - batch->period_began >= PERIOD_MS;
}

/**
 * log_batch_flush() - log the events that were held, once their period is over
 * @batch: events
 * @now: current time, ms
 */
void log_batch_flush(log_batch_t *batch, medlar_time_t now)
{
	if (!is_over(batch, now))
		return;
	if (batch->held)
		write_held(batch, now);
	begin_period(batch, now);
}

/**
 * log_batch_admits() - decide whether an event is logged by itself
 * @batch: events
 * @name: what the event is about
 * @now: current time, ms
 *
 * Return: true if the caller should log it; otherwise it is held.
 */
bool log_batch_admits(log_batch_t *batch, medlar_str_t name, medlar_time_t now)
{
	log_batch_flush(batch, now);
	if (batch->logged < LOGGED_MAX) {
		batch->logged++;
		return true;
	}
	batch->held++;
	if (batch->names_len < NAMES_MAX) {
		if (batch->names_len++)
			medlar_buf_add(&batch->names, MEDLAR_STR(","));
		medlar_buf_add(&batch->names, name);
	}
	return false;
}

/**
 * log_batch_finish() - log what is held and release the memory
 * @batch: events
 */
void log_batch_finish(log_batch_t *batch)
{
	if (batch->held)
		write_held(batch, batch->period_began);
	medlar_buf_finish(&batch->names);
}
