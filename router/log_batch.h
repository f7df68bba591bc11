/**
 * DOC: log of events that come in bursts
 *
 * When everything starts or the store returns, hundreds of entries change at
 * once on each instance. The first events of a period are logged one by one, the
 * others together in one line with their number and the first few names.
 */
#ifndef ROUTER_LOG_BATCH_H
#define ROUTER_LOG_BATCH_H

#include "medlard/log.h"

/**
 * struct log_batch - events of one kind
 * @log: log
 * @event: name of the event
 * @period_began: start of the current period, ms
 * @logged: events of the period that were logged one by one
 * @held: events of the period that were not
 * @names: names of the first of those, separated by commas
 * @names_len: number of @names
 */
typedef struct log_batch {
	logger_t *log;
	const char *event;
	medlar_time_t period_began;
	unsigned logged;
	unsigned held;
	medlar_buf_t names;
	unsigned names_len;
} log_batch_t;

void log_batch_init(log_batch_t *batch, logger_t *log, const char *event);
void log_batch_finish(log_batch_t *batch);
bool log_batch_admits(log_batch_t *batch, medlar_str_t name, medlar_time_t now);
void log_batch_flush(log_batch_t *batch, medlar_time_t now);

#endif /* ROUTER_LOG_BATCH_H */
