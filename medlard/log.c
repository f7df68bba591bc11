/**
 * DOC: structured log lines
 */
#include <inttypes.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "medlard/clock.h"
#include "medlard/log.h"

/* Bytes of unwritten lines beyond which new lines are dropped. */
#define BUFFER_MAX ((size_t)1 << 20)

static const log_level_t event_levels[MEDLAR_EVENT_COUNT] = {
	[MEDLAR_EVENT_PICK] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_HEDGE] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_RETRY] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_REPLY] = LOG_LEVEL_DEBUG,
	[MEDLAR_EVENT_DROP] = LOG_LEVEL_WARNING,
	[MEDLAR_EVENT_ADMIT] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_REFUSE] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_VERSION] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_ANSWER] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_EJECT] = LOG_LEVEL_WARNING,
	[MEDLAR_EVENT_LIMIT] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_LEAVE] = LOG_LEVEL_NOTICE,
	[MEDLAR_EVENT_SUSPECT] = LOG_LEVEL_WARNING,
	[MEDLAR_EVENT_CLAIM] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_WRITE] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_CONFIG] = LOG_LEVEL_NOTICE,
	[MEDLAR_EVENT_MEMBER] = LOG_LEVEL_NOTICE,
	[MEDLAR_EVENT_MAP] = LOG_LEVEL_NOTICE,
	[MEDLAR_EVENT_ADDRESS] = LOG_LEVEL_INFO,
	[MEDLAR_EVENT_STORE] = LOG_LEVEL_NOTICE,
};

/**
 * log_init() - initialise a log
 * @logger: memory provided by the caller
 * @fd: open descriptor, usually standard error
 * @worker: number of the worker thread, or -1
 * @level: highest priority number that is logged
 */
void log_init(logger_t *logger, int fd, int worker, log_level_t level)
{
	*logger = (logger_t){ .fd = fd, .worker = worker, .level = level };
	medlar_buf_init(&logger->lines);
}

/**
 * log_finish() - write the buffered lines and free the buffer
 * @logger: initialised log
 */
void log_finish(logger_t *logger)
{
	log_flush(logger);
	medlar_buf_finish(&logger->lines);
}

static bool needs_no_quotes(medlar_str_t text)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.ptr[i];

		if (c <= ' ' || c == '"' || c == '\\' || c >= 0x7f)
			return false;
	}
	return text.len > 0;
}

static void add_field(medlar_buf_t *buf, const medlar_field_t *field)
{
	medlar_buf_add(buf, MEDLAR_STR(" "));
	medlar_buf_add(buf, medlar_str_from(field->key));
	medlar_buf_add(buf, MEDLAR_STR("="));
	if (field->kind == MEDLAR_FIELD_NUM)
		medlar_buf_printf(buf, "%" PRId64, field->num);
	else if (field->kind == MEDLAR_FIELD_HEX)
		medlar_buf_printf(buf, "%016" PRIx64, (uint64_t)field->num);
	else if (needs_no_quotes(field->text))
		medlar_buf_add(buf, field->text);
	else
		medlar_buf_json_string(buf, field->text);
}

/**
 * log_line() - append a line to the buffer
 * @logger: log of the calling thread
 * @level: priority
 * @event: lower-case identifier of the event
 * @fields: fields of the line
 * @count: number of @fields
 */
void log_line(logger_t *logger, log_level_t level, const char *event,
	      const medlar_field_t *fields, size_t count)
{
	medlar_buf_t *buf = &logger->lines;

	if (level > logger->level)
		return;
	if (buf->len >= BUFFER_MAX || buf->error) {
		logger->dropped++;
		return;
	}
	medlar_buf_printf(buf, "<%d>time=%" PRId64 " worker=%d event=%s",
			  (int)level, clock_wall(), logger->worker, event);
	for (size_t i = 0; i < count; i++)
		add_field(buf, &fields[i]);
	medlar_buf_add(buf, MEDLAR_STR("\n"));
}

/**
 * log_trace() - trace handler of a client; see medlar_client_on_trace()
 * @event: event
 * @fields: fields of the event
 * @count: number of @fields
 * @data: log
 */
void log_trace(medlar_event_t event, const medlar_field_t *fields, size_t count,
	       void *data)
{
	log_line(data, event_levels[event], medlar_event_name(event), fields,
		 count);
}

/**
 * log_report() - error handler of a client; see medlar_client_on_error()
 * @report: error and its position
 * @data: log
 */
void log_report(const medlar_error_report_t *report, void *data)
{
	LOG_LINE(data, LOG_LEVEL_ERROR, "error",
		 MEDLAR_TEXT("code",
			     medlar_str_from(medlar_error_name(report->error))),
		 MEDLAR_TEXT("file", report->file),
		 MEDLAR_NUM("line", report->line),
		 MEDLAR_TEXT("field", report->field),
		 MEDLAR_TEXT("advice", report->advice));
}

/* Limits writes to whole lines of at most PIPE_BUF, which are atomic. */
static size_t atomic_write_len(medlar_str_t lines)
{
	const char *end;

	if (lines.len <= PIPE_BUF)
		return lines.len;
	end = memrchr(lines.ptr, '\n', PIPE_BUF);
	return end ? (size_t)(end - lines.ptr) + 1 : PIPE_BUF;
}

static void discard_written(medlar_buf_t *buf, size_t written)
{
	memmove(buf->ptr, buf->ptr + written, buf->len - written);
	buf->len -= written;
	buf->ptr[buf->len] = '\0';
}

/**
 * log_flush() - write the buffered lines as far as possible without blocking
 * @data: log; the type is that of a loop hook
 */
void log_flush(void *data)
{
	logger_t *logger = data;
	struct pollfd out = { .fd = logger->fd, .events = POLLOUT };
	size_t written = 0;

	if (logger->lines.len == 0)
		return;
	while (written < logger->lines.len && poll(&out, 1, 0) == 1) {
		medlar_str_t rest = { logger->lines.ptr + written,
				      logger->lines.len - written };
		ssize_t done = write(logger->fd, rest.ptr,
				     atomic_write_len(rest));

		if (done <= 0)
			break;
		written += (size_t)done;
	}
	discard_written(&logger->lines, written);
}
