/**
 * DOC: commands that read the logs of routers
 *
 * A line is ``<priority>time=MS worker=N event=NAME key=value...``. The events
 * and their fields are documented in docs/OPERATIONS.md.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/ctl.h"

#define LINE_SIZE 4096
#define FIELDS_MAX 20

/* What a line of an event must hold. */
static const struct {
	const char *event;
	const char *fields[8];
} events[] = {
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
	{ "hedge", { "id", "service", "replica", "after_ms" } },
	{ "attempt_end", { "id", "service", "replica", "outcome" } },
	{ "crash", { "request", "replica", "crashes", "refused" } },
	{ "answer",
	  { "id", "how", "status", "took_ms", "target_ms", "lacks" } },
};

#define EVENT_COUNT (sizeof(events) / sizeof(events[0]))

/* A line that concerns the request. */
typedef struct entry {
	int64_t time;
	char *text;
} entry_t;

typedef struct story {
	entry_t *entries;
	size_t len;
} story_t;

/* Copies the value of a field; an empty string without it. */
static void get(const char *line, const char *name, char *out, size_t size)
{
	char key[64];
	const char *at;
	size_t len;

	(void)snprintf(key, sizeof(key), "%s=", name);
	out[0] = '\0';
	for (at = strstr(line, key); at; at = strstr(at + 1, key)) {
		if (at > line && at[-1] != ' ' && at[-1] != '>')
			continue;
		at += strlen(key);
		len = strcspn(at, " \n");
		(void)snprintf(out, size, "%.*s", (int)len, at);
		return;
	}
}

static bool has(const char *line, const char *name, const char *value)
{
	char text[256];

	get(line, name, text, sizeof(text));
	return strcmp(text, value) == 0;
}

static int compare(const void *left, const void *right)
{
	const entry_t *a = left;
	const entry_t *b = right;

	return a->time < b->time ? -1 : a->time > b->time;
}

static void add(story_t *story, const char *line)
{
	char time[32];
	entry_t *grown = realloc(story->entries,
				 (story->len + 1) * sizeof(*grown));

	if (!grown)
		return;
	get(line, "time", time, sizeof(time));
	story->entries = grown;
	story->entries[story->len].time = strtoll(time, NULL, 10);
	story->entries[story->len].text = strdup(line);
	if (story->entries[story->len].text)
		story->len++;
}

static int read_story(const char *path, const char *id, story_t *story)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char line[LINE_SIZE];

	if (!file) {
		ctl_complain("%s: cannot be read", path);
		return CTL_USAGE;
	}
	while (fgets(line, sizeof(line), file))
		if (has(line, "id", id))
			add(story, line);
	if (file != stdin)
		(void)fclose(file);
	return CTL_OK;
}

/* Replicas at which attempts ended in a way, separated by commas. */
static size_t replicas_of(const story_t *story, const char *outcome,
			  medlar_buf_t *out)
{
	size_t count = 0;
	char replica[256];

	for (size_t i = 0; i < story->len; i++) {
		const char *line = story->entries[i].text;

		if (!has(line, "event", "attempt_end") ||
		    !has(line, "outcome", outcome))
			continue;
		get(line, "replica", replica, sizeof(replica));
		if (count && strstr(out->ptr, replica))
			continue;
		medlar_buf_printf(out, "%s%s", count++ ? ", " : "", replica);
	}
	return count;
}

static void print_outcomes(const story_t *story)
{
	static const struct {
		const char *outcome;
		const char *text;
	} rows[] = {
		{ "refused", "refused it and did not run it" },
		{ "not_sent", "could not be connected to" },
		{ "other_replica", "had given its address to another one" },
		{ "lost", "took it and broke the connection or sent what is "
			  "no answer" },
		{ "failed", "ran it and answered with a failure" },
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		medlar_buf_t names = { 0 };

		if (replicas_of(story, rows[i].outcome, &names))
			printf("cause: %s %s\n", names.ptr, rows[i].text);
		medlar_buf_finish(&names);
	}
}

static void explain_refusal(const char *line)
{
	static const struct {
		const char *why;
		const char *text;
	} rows[] = {
		{ "convicted_total", "the request has crashed three replicas "
				     "and is refused; see event=crash" },
		{ "no_route_total", "no route of the configuration in force "
				    "has this host and path" },
		{ "not_ready_total", "the instance had no configuration yet; "
				     "see event=store" },
		{ "overload_total", "more requests came than this instance's "
				    "processor serves in time; see delay_ms" },
		{ "replicas_busy_total",
		  "so much waits at the replicas that "
		  "the answer would have come too late" },
		{ "no_memory_total", "the instance was out of memory" },
		{ "bad_requests_total", "a header that matters is missing, "
					"doubled or does not parse" },
	};
	char config[64];

	get(line, "config", config, sizeof(config));
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		if (has(line, "why", rows[i].why))
			printf("cause: %s (configuration %s)\n", rows[i].text,
			       config);
}

static void explain_answer(const story_t *story, const char *line)
{
	char lacks[256];
	char took[32];
	char target[32];

	get(line, "lacks", lacks, sizeof(lacks));
	get(line, "took_ms", took, sizeof(took));
	get(line, "target_ms", target, sizeof(target));
	if (has(line, "how", "merged") && !has(line, "missing", "0"))
		printf("cause: partial; %s had not answered after %s ms "
		       "(target %s ms)\n",
		       lacks, took, target);
	else if (has(line, "how", "timeout"))
		printf("cause: the time was over after %s ms; no answer of "
		       "%s\n",
		       took, lacks);
	else if (strtoll(took, NULL, 10) > strtoll(target, NULL, 10))
		printf("cause: late; took %s ms of %s ms\n", took, target);
	print_outcomes(story);
}

static int run_explain(ctl_t *ctl, char **args)
{
	static char standard_input[] = "-";
	char *none[] = { standard_input, NULL };
	char **files = args[1] ? args + 1 : none;
	story_t story = { 0 };
	int status = CTL_OK;

	(void)ctl;
	for (; *files && !status; files++)
		status = read_story(*files, args[0], &story);
	if (story.len)
		qsort(story.entries, story.len, sizeof(entry_t), compare);
	for (size_t i = 0; i < story.len; i++)
		fputs(story.entries[i].text, stdout);
	for (size_t i = 0; i < story.len; i++) {
		const char *line = story.entries[i].text;

		if (has(line, "event", "refuse"))
			explain_refusal(line);
		else if (has(line, "event", "answer"))
			explain_answer(&story, line);
	}
	if (!status && story.len == 0) {
		puts("no line: answered in time and whole, or left out under "
		     "load (medlarrouter_log_left_out_total)");
		status = CTL_UNKNOWN;
	}
	for (size_t i = 0; i < story.len; i++)
		free(story.entries[i].text);
	free(story.entries);
	return status;
}

static const char *check_line(const char *line)
{
	static char fault[128];

	for (size_t i = 0; i < EVENT_COUNT; i++) {
		if (!has(line, "event", events[i].event))
			continue;
		for (size_t j = 0; events[i].fields[j]; j++) {
			char key[64];

			(void)snprintf(key, sizeof(key),
				       " %s=", events[i].fields[j]);
			if (strstr(line, key))
				continue;
			(void)snprintf(fault, sizeof(fault), "lacks %s",
				       events[i].fields[j]);
			return fault;
		}
		return NULL;
	}
	return "has no documented event";
}

static int run_check(ctl_t *ctl, char **args)
{
	FILE *file = fopen(args[0], "r");
	char line[LINE_SIZE];
	unsigned number = 0;
	int status = CTL_OK;

	(void)ctl;
	if (!file) {
		ctl_complain("%s: cannot be read", args[0]);
		return CTL_USAGE;
	}
	while (fgets(line, sizeof(line), file)) {
		const char *fault = check_line(line);

		number++;
		if (!fault)
			continue;
		printf("%s:%u: %s\n", args[0], number, fault);
		status = CTL_REFUSED;
	}
	(void)fclose(file);
	return status;
}

const ctl_command_t ctl_log_commands[] = {
	{ "explain", "REQUEST-ID [LOG...]", 1, 6, run_explain,
	  "Tell the story of one request from logs of routers" },
	{ "logs check", "LOG", 1, 1, run_check,
	  "Check the lines of a log against the documented events" },
	{ 0 },
};
