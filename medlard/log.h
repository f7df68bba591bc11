/**
 * DOC: structured log lines
 *
 * A line is ``<priority>time=MS worker=N event=NAME key=value...`` with the
 * priority numbers of syslog. Lines are buffered and written once in each
 * iteration of the loop.
 */
#ifndef MEDLARD_LOG_H
#define MEDLARD_LOG_H

#include "libmedlar/medlar.h"

/** enum log_level - the syslog priorities that are used */
typedef enum log_level {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
} log_level_t;

/**
 * struct logger - log of one thread
 * @fd: descriptor to which lines are written
 * @worker: worker number in each line; -1 in the control thread
 * @level: highest priority number that is logged
 * @lines: lines that have not been written yet
 * @dropped: lines discarded because the reader of @fd was too slow
 */
typedef struct logger {
	int fd;
	int worker;
	log_level_t level;
	medlar_buf_t lines;
	uint64_t dropped;
} logger_t;

#define LOG_LINE(logger, level, event, ...)                        \
	log_line((logger), (level), (event),                       \
		 (const medlar_field_t[]){ __VA_ARGS__ },          \
		 sizeof((const medlar_field_t[]){ __VA_ARGS__ }) / \
			 sizeof(medlar_field_t))

void log_init(logger_t *logger, int fd, int worker, log_level_t level);
void log_finish(logger_t *logger);
void log_line(logger_t *logger, log_level_t level, const char *event,
	      const medlar_field_t *fields, size_t count);
void log_trace(medlar_event_t event, const medlar_field_t *fields, size_t count,
	       void *data);
void log_report(const medlar_error_report_t *report, void *data);
void log_flush(void *data);

#endif /* MEDLARD_LOG_H */
