/**
 * DOC: check of reported write outcomes against the upstreams' execution log
 */
#include <stdlib.h>
#include <string.h>

#include "cli/load.h"

#define READ_TIMEOUT_MS 60000L
#define STATUS_OK 200

typedef struct verify {
	load_t *load;
	int err;
} verify_t;

static int compare_writes(const void *a, const void *b)
{
	const load_write_t *x = a;
	const load_write_t *y = b;

	return strcmp(x->key, y->key);
}

static int find_write(const void *key, const void *item)
{
	const load_write_t *write = item;

	return strcmp(key, write->key);
}

/* Counts the executions of each write and ignores writes of other runs. */
static void count_executions(const load_t *load, struct json_object *list,
			     unsigned *counts)
{
	size_t len = json_object_array_length(list);
	size_t i;

	for (i = 0; i < len; i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);
		const char *key = json_object_get_string(
			json_object_object_get(entry, "key"));
		const load_write_t *write;

		if (!key)
			continue;
		write = bsearch(key, load->writes, load->writes_len,
				sizeof(*write), find_write);
		if (write)
			counts[write - load->writes]++;
	}
}

static void count_violations(load_t *load, const unsigned *counts)
{
	uint64_t *faults = load->stats[LOAD_WRITE].violations;
	size_t i;

	for (i = 0; i < load->writes_len; i++) {
		load_outcome_t outcome = load->writes[i].outcome;

		faults[LOAD_VIOLATION_EXECUTED_TWICE] += counts[i] > 1;
		faults[LOAD_VIOLATION_NOT_RUN_EXECUTED] +=
			outcome == LOAD_NOT_RUN && counts[i] > 0;
		faults[LOAD_VIOLATION_RAN_NOT_EXECUTED] += outcome ==
								   LOAD_RAN &&
							   counts[i] == 0;
	}
}

static void on_log(const load_http_reply_t *reply, void *data)
{
	verify_t *verify = data;
	load_t *load = verify->load;
	struct json_object *list = json_tokener_parse(reply->body.ptr);
	unsigned *counts = calloc(load->writes_len + 1, sizeof(*counts));

	verify->err = MEDLAR_ERR_PROTOCOL;
	if (counts && reply->status == STATUS_OK &&
	    json_object_is_type(list, json_type_array)) {
		qsort(load->writes, load->writes_len, sizeof(load_write_t),
		      compare_writes);
		count_executions(load, list, counts);
		count_violations(load, counts);
		verify->err = MEDLAR_OK;
	}
	free(counts);
	json_object_put(list);
	load->loop.stop = true;
}

/**
 * load_verify_writes() - check the writes of a run against the execution log
 * @load: run that has ended; the violations are added to its statistics
 *
 * Return: %MEDLAR_OK, also without an execution log; %MEDLAR_ERR_PROTOCOL if
 * the log cannot be read; or %MEDLAR_ERR_NOMEM.
 */
int load_verify_writes(load_t *load)
{
	verify_t verify = { .load = load };
	const load_http_request_t http = { .url = load->options->executions_url,
					   .timeout_ms = READ_TIMEOUT_MS };
	int err;

	if (!load->options->executions_url || load->writes_len == 0)
		return MEDLAR_OK;
	err = load_http_send(&load->loop, &http, on_log, &verify);
	if (err)
		return err;
	load->loop.stop = false;
	load_loop_run(&load->loop);
	return verify.err;
}
