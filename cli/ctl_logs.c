/**
 * DOC: commands that read router logs
 *
 * A log line is ``<priority>time=MS worker=N event=NAME key=value...``. The
 * events and their fields are documented in docs/OPERATIONS.md.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/ctl.h"

#define LINE_SIZE 4096

/* Fields that a line of each event must have. */
typedef struct event_fields {
	const char *event;
	const char *fields[8];
} event_fields_t;

static const event_fields_t events[] = {
	{ "start", { "instance", "result" } },
	{ "stop", { "state" } },
	{ "reload", { "result" } },
	{ "store", { "state" } },
	{ "relist", { "revision" } },
	{ "config", { "version", "known", "routes", "revision" } },
	{ "replica", { "id", "state" } },
	{ "peer", { "name", "state", "silent_ms" } },
	{ "changes", { "revision", "known", "entries" } },
	{ "bad_entry", { "key", "why" } },
	{ "error", { "code", "field", "advice" } },
	{ "refuse", { "id", "status", "why", "config", "delay_ms" } },
	{ "limit", { "id", "service", "state", "per_s" } },
	{ "hedge", { "id", "service", "replica", "after_ms" } },
	{ "attempt_end", { "id", "service", "replica", "outcome" } },
	{ "crash", { "request", "replica", "crashes", "refused" } },
	{ "convict", { "request", "crashes", "age_ms" } },
	{ "answer",
	  { "id", "how", "status", "took_ms", "target_ms", "lacks" } },
};

#define EVENT_COUNT (sizeof(events) / sizeof(events[0]))

/* Events that come in bursts, of which some are only counted. */
static const event_fields_t summaries[] = {
	{ "replica", { "more", "in_ms", "first" } },
	{ "peer", { "more", "in_ms", "first" } },
};

#define SUMMARY_COUNT (sizeof(summaries) / sizeof(summaries[0]))

/* A log line of the request; time_ms is its time= field. */
typedef struct log_line {
	int64_t time_ms;
	char *text;
} log_line_t;

/* All log lines of one request. */
typedef struct request_log {
	log_line_t *lines;
	size_t len;
} request_log_t;

/* Copies the value of a field; an empty string if the line lacks it. */
static void copy_field(const char *line, const char *name, char *out,
		       size_t size)
{
	char key[64];
	const char *value;
	size_t len;

	(void)snprintf(key, sizeof(key), "%s=", name);
	out[0] = '\0';
	for (value = strstr(line, key); value; value = strstr(value + 1, key)) {
		if (value > line && value[-1] != ' ' && value[-1] != '>')
			continue;
		value += strlen(key);
		len = strcspn(value, " \n");
		(void)snprintf(out, size, "%.*s", (int)len, value);
		return;
	}
}

static bool field_equals(const char *line, const char *name, const char *value)
{
	char text[256];

	copy_field(line, name, text, sizeof(text));
	return strcmp(text, value) == 0;
}

static int compare_times(const void *left, const void *right)
{
	const log_line_t *a = left;
	const log_line_t *b = right;

	return a->time_ms < b->time_ms ? -1 : a->time_ms > b->time_ms;
}

static void append_line(request_log_t *log, const char *line)
{
	char time[32];
	log_line_t *grown = realloc(log->lines,
				    (log->len + 1) * sizeof(*grown));

	if (!grown)
		return;
	copy_field(line, "time", time, sizeof(time));
	log->lines = grown;
	log->lines[log->len].time_ms = strtoll(time, NULL, 10);
	log->lines[log->len].text = strdup(line);
	if (log->lines[log->len].text)
		log->len++;
}

static int read_request_lines(const char *path, const char *id,
			      request_log_t *log)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char line[LINE_SIZE];

	if (!file) {
		ctl_print_error("%s: cannot open the file", path);
		return CTL_USAGE;
	}
	while (fgets(line, sizeof(line), file))
		if (field_equals(line, "id", id))
			append_line(log, line);
	if (file != stdin)
		(void)fclose(file);
	return CTL_OK;
}

/*
 * Lists the replicas at which an attempt ended with an outcome, separated by
 * commas. Returns their number.
 */
static size_t list_replicas(const request_log_t *log, const char *outcome,
			    medlar_buf_t *out)
{
	size_t count = 0;
	char replica[256];

	for (size_t i = 0; i < log->len; i++) {
		const char *line = log->lines[i].text;

		if (!field_equals(line, "event", "attempt_end") ||
		    !field_equals(line, "outcome", outcome))
			continue;
		copy_field(line, "replica", replica, sizeof(replica));
		if (count && strstr(out->ptr, replica))
			continue;
		medlar_buf_printf(out, "%s%s", count++ ? ", " : "", replica);
	}
	return count;
}

static void print_outcomes(const request_log_t *log)
{
	static const struct {
		const char *outcome;
		const char *text;
	} causes[] = {
		{ "refused", "refused it and did not run it" },
		{ "not_sent", "could not be connected to" },
		{ "other_replica",
		  "no longer has this address; another replica answered" },
		{ "lost", "took it and broke the connection or sent an invalid "
			  "answer" },
		{ "failed", "ran it and answered with an error" },
	};

	for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
		medlar_buf_t names = { 0 };

		if (list_replicas(log, causes[i].outcome, &names))
			printf("cause: %s %s\n", names.ptr, causes[i].text);
		medlar_buf_finish(&names);
	}
}

static void explain_refusal(const char *line)
{
	static const struct {
		const char *why;
		const char *text;
	} causes[] = {
		{ "convicted_total", "the request has crashed three replicas "
				     "and is refused; see event=crash" },
		{ "no_route_total",
		  "no route of the current configuration matches this host "
		  "and path" },
		{ "leaving_total", "the instance was shutting down and the "
				   "request might have outlasted it; callers "
				   "may send it to another at once" },
		{ "not_ready_total", "the instance had no configuration yet; "
				     "see event=store" },
		{ "overload_total",
		  "the CPU of this instance was overloaded; see delay_ms" },
		{ "replicas_busy_total",
		  "the queues of the replicas were so long that the answer "
		  "would have been too late" },
		{ "replicas_limited_total",
		  "the limits that the replicas of a shard or service name "
		  "left no room; see event=limit of the service in lacks" },
		{ "no_memory_total", "the instance was out of memory" },
		{ "bad_requests_total",
		  "a header that the router needs is missing, repeated or "
		  "malformed" },
	};
	char config[64];

	copy_field(line, "config", config, sizeof(config));
	for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++)
		if (field_equals(line, "why", causes[i].why))
			printf("cause: %s (configuration %s)\n", causes[i].text,
			       config);
}

static void explain_answer(const request_log_t *log, const char *line)
{
	char lacks[256];
	char took[32];
	char target[32];

	copy_field(line, "lacks", lacks, sizeof(lacks));
	copy_field(line, "took_ms", took, sizeof(took));
	copy_field(line, "target_ms", target, sizeof(target));
	if (field_equals(line, "how", "merged") &&
	    !field_equals(line, "missing", "0"))
		printf("cause: partial; %s had not answered after %s ms "
		       "(target %s ms)\n",
		       lacks, took, target);
	else if (field_equals(line, "how", "timeout"))
		printf("cause: deadline exceeded after %s ms; no answer from "
		       "%s\n",
		       took, lacks);
	else if (strtoll(took, NULL, 10) > strtoll(target, NULL, 10))
		printf("cause: late; took %s ms (target %s ms)\n", took,
		       target);
	print_outcomes(log);
}

static int run_explain(ctl_t *ctl, char **args)
{
	static char stdin_path[] = "-";
	char *default_files[] = { stdin_path, NULL };
	char **files = args[1] ? args + 1 : default_files;
	request_log_t log = { 0 };
	int status = CTL_OK;

	(void)ctl;
	for (; *files && !status; files++)
		status = read_request_lines(*files, args[0], &log);
	if (log.len)
		qsort(log.lines, log.len, sizeof(log_line_t), compare_times);
	for (size_t i = 0; i < log.len; i++)
		fputs(log.lines[i].text, stdout);
	for (size_t i = 0; i < log.len; i++) {
		const char *line = log.lines[i].text;

		if (field_equals(line, "event", "refuse"))
			explain_refusal(line);
		else if (field_equals(line, "event", "answer"))
			explain_answer(&log, line);
	}
	if (!status && log.len == 0) {
		puts("no line: answered in time and whole, or left out under "
		     "load (medlarrouter_log_left_out_total)");
		status = CTL_UNKNOWN;
	}
	for (size_t i = 0; i < log.len; i++)
		free(log.lines[i].text);
	free(log.lines);
	return status;
}

static bool has_field(const char *line, const char *name)
{
	char key[64];

	(void)snprintf(key, sizeof(key), " %s=", name);
	return strstr(line, key) != NULL;
}

static const event_fields_t *find_event(const event_fields_t *table, size_t len,
					const char *line)
{
	for (size_t i = 0; i < len; i++)
		if (field_equals(line, "event", table[i].event))
			return &table[i];
	return NULL;
}

/* Returns what is wrong with a line, or NULL. */
static const char *find_line_error(const char *line)
{
	static char problem[128];
	const event_fields_t *event = has_field(line, "more")
					      ? find_event(summaries,
							   SUMMARY_COUNT, line)
					      : find_event(events, EVENT_COUNT,
							   line);

	if (!event)
		return "has no documented event name";
	for (size_t i = 0; event->fields[i]; i++) {
		if (has_field(line, event->fields[i]))
			continue;
		(void)snprintf(problem, sizeof(problem), "has no field %s",
			       event->fields[i]);
		return problem;
	}
	return NULL;
}

static int run_check(ctl_t *ctl, char **args)
{
	FILE *file = fopen(args[0], "r");
	char line[LINE_SIZE];
	unsigned number = 0;
	int status = CTL_OK;

	(void)ctl;
	if (!file) {
		ctl_print_error("%s: cannot open the file", args[0]);
		return CTL_USAGE;
	}
	while (fgets(line, sizeof(line), file)) {
		const char *problem = find_line_error(line);

		number++;
		if (!problem)
			continue;
		printf("%s:%u: %s\n", args[0], number, problem);
		status = CTL_REFUSED;
	}
	(void)fclose(file);
	return status;
}

const ctl_command_t ctl_log_commands[] = {
	{ "explain", "REQUEST-ID [LOG...]", 1, 6, run_explain,
	  "explain the outcome of one request from router logs" },
	{ "logs check", "LOG", 1, 1, run_check,
	  "check that the lines of a log have the documented events and "
	  "fields" },
	{ 0 },
};
