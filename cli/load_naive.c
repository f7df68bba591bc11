/**
 * DOC: naive client of the upstreams, as a baseline for comparison
 *
 * Sends each part of a request to a random live replica of the shard, with a
 * fixed timeout and up to three retries, and without hedging. It asks each
 * replica for the newest index version that the replica serves.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/load.h"
#include "cli/load_directory.h"

#define RETRIES_MAX 3
#define URL_MAX 256
#define HEADER_MAX 96
#define STATUS_OK 200

typedef struct naive_query naive_query_t;

/* Part of a request that one shard answers. */
typedef struct naive_part {
	naive_query_t *query;
	medlar_map_entry_t entry;
	unsigned attempts;
} naive_part_t;

/* A request of the naive client and what has been received for it. */
struct naive_query {
	load_request_t *request;
	load_result_t result;
	const load_directory_t *directory;
	uint64_t version;
	double covered_width;
	size_t parts_pending;
	size_t len;
	naive_part_t parts[];
};

struct load_naive {
	load_t *load;
	load_directory_t reads;
	load_directory_t writes;
};

static void end_query(naive_query_t *query)
{
	load_request_t *request = query->request;
	load_result_t *result = &query->result;
	size_t answered = result->parts;

	result->coverage = query->covered_width / (double)MEDLAR_KEY_END;
	if (answered == 0)
		result->outcome = LOAD_FAILED;
	else if (request->kind == LOAD_WRITE)
		result->outcome = LOAD_RAN;
	else
		result->outcome = answered == query->len ? LOAD_COMPLETE
							 : LOAD_PARTIAL;
	result->parts = query->len;
	load_request_end(request, result);
	free(query);
}

static void check_part(naive_part_t *part, medlar_str_t body)
{
	naive_query_t *query = part->query;
	struct json_object *json = json_tokener_parse(body.ptr);
	uint64_t version = (uint64_t)json_object_get_int64(
		json_object_object_get(json, "version"));
	uint64_t lo = (uint64_t)json_object_get_int64(
		json_object_object_get(json, "lo"));

	if (!load_check_echo(query->request, json))
		query->result.violations[LOAD_VIOLATION_OTHER_REQUEST] = true;
	if (query->result.parts > 0 && version != query->version)
		query->result.violations[LOAD_VIOLATION_MIXED_VERSIONS] = true;
	if (query->request->kind != LOAD_WRITE && lo != part->entry.range.lo)
		query->result.violations[LOAD_VIOLATION_COVERAGE] = true;
	query->version = version;
	query->result.parts++;
	query->covered_width += (double)(part->entry.range.hi -
					 part->entry.range.lo);
	json_object_put(json);
}

static void send_attempt(naive_part_t *part);

static void on_reply(const load_http_reply_t *reply, void *data)
{
	naive_part_t *part = data;
	naive_query_t *query = part->query;

	if (reply->status != STATUS_OK && part->attempts <= RETRIES_MAX &&
	    load_now() < query->request->deadline) {
		send_attempt(part);
		return;
	}
	if (reply->status == STATUS_OK)
		check_part(part, reply->body);
	query->parts_pending--;
	if (query->parts_pending == 0)
		end_query(query);
}

static void write_headers(const naive_part_t *part,
			  const load_upstream_t *upstream,
			  char lines[][HEADER_MAX])
{
	const load_request_t *request = part->query->request;
	const load_directory_t *directory = part->query->directory;
	medlar_rand_t *rand = &request->load->rand;
	bool write = request->kind == LOAD_WRITE;

	snprintf(lines[0], HEADER_MAX, "Medlar-Request-Id: %016llx%016llx",
		 (unsigned long long)medlar_rand_next(rand),
		 (unsigned long long)medlar_rand_next(rand));
	snprintf(lines[1], HEADER_MAX, "Medlar-Kind: %s",
		 write ? "write" : "search");
	snprintf(lines[2], HEADER_MAX, "Medlar-Deadline-Ms: %u",
		 request->load->options->naive_timeout_ms);
	snprintf(lines[3], HEADER_MAX, "Medlar-Version: %u", upstream->version);
	snprintf(lines[4], HEADER_MAX, "Medlar-Epoch: %llu",
		 (unsigned long long)directory->map.epoch);
	snprintf(lines[5], HEADER_MAX, "Medlar-Range: %llu-%llu",
		 (unsigned long long)part->entry.range.lo,
		 (unsigned long long)part->entry.range.hi);
	snprintf(lines[6], HEADER_MAX, "Idempotency-Key: %s", request->key);
}

static void on_failure_timer(medlar_client_t *client, medlar_timer_t *timer,
			     medlar_time_t now, void *data)
{
	const load_http_reply_t reply = { 0 };

	(void)client;
	(void)now;
	free(timer);
	on_reply(&reply, data);
}

/* Fails an attempt from the event loop, as a failed transfer would. */
static void schedule_failure(naive_part_t *part)
{
	medlar_timer_t *timer = malloc(sizeof(*timer));

	if (!timer)
		abort();
	medlar_timer_init(timer, on_failure_timer, part);
	medlar_timer_set(&part->query->request->load->loop.client, timer,
			 load_now());
}

static void send_attempt(naive_part_t *part)
{
	naive_query_t *query = part->query;
	load_request_t *request = query->request;
	load_t *load = request->load;
	const load_upstream_t *upstream;
	char lines[7][HEADER_MAX];
	const char *headers[] = { lines[0], lines[1], lines[2], lines[3],
				  lines[4], lines[5], lines[6], NULL };
	char url[URL_MAX];
	const load_http_request_t http = {
		.url = url,
		.headers = headers,
		.body = medlar_buf_str(&request->body),
		.timeout_ms = (long)load->options->naive_timeout_ms,
	};

	part->attempts++;
	upstream = load_directory_pick_random(query->directory,
					      part->entry.shard, &load->rand);
	if (!upstream) {
		schedule_failure(part);
		return;
	}
	write_headers(part, upstream, lines);
	snprintf(url, sizeof(url), "http://%s:%u/v1/%s", upstream->host,
		 upstream->port,
		 request->kind == LOAD_WRITE ? "write" : "query");
	query->result.sends++;
	if (load_http_send(&load->loop, &http, on_reply, part) != MEDLAR_OK)
		abort();
}

/**
 * load_naive_start() - send a request to all shards
 * @request: request; load_request_end() is called with its result
 */
void load_naive_start(load_request_t *request)
{
	struct load_naive *naive = request->load->naive;
	const load_directory_t *directory = request->kind == LOAD_WRITE
						    ? &naive->writes
						    : &naive->reads;
	size_t count = directory->map.len;
	naive_query_t *query;
	size_t i;

	query = calloc(1, sizeof(*query) + count * sizeof(naive_part_t));
	if (!query)
		abort();
	query->request = request;
	query->directory = directory;
	query->len = count;
	query->parts_pending = count;
	for (i = 0; i < count; i++) {
		query->parts[i].query = query;
		query->parts[i].entry = directory->map.entries[i];
	}
	for (i = 0; i < count; i++)
		send_attempt(&query->parts[i]);
	if (count == 0)
		end_query(query);
}

static void on_directory_refreshed(void *data)
{
	struct load_naive *naive = data;

	if (naive->reads.has_map && naive->reads.len > 0 &&
	    naive->writes.has_map && naive->writes.len > 0 &&
	    naive->load->started_at == 0)
		naive->load->loop.stop = true;
}

static void init_directory(struct load_naive *naive,
			   load_directory_t *directory, const char *service)
{
	directory->loop = &naive->load->loop;
	directory->platform = naive->load->options->platform;
	directory->service = service;
	directory->on_refreshed = on_directory_refreshed;
	directory->data = naive;
	load_directory_init(directory);
}

/**
 * load_naive_init() - create the naive client
 * @load: run; load_naive_finish() releases its naive client
 *
 * Runs the event loop until the partition map and the replicas of both services
 * have been fetched from the platform.
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_NOMEM.
 */
int load_naive_init(load_t *load)
{
	struct load_naive *naive = calloc(1, sizeof(*naive));

	if (!naive)
		return MEDLAR_ERR_NOMEM;
	load->naive = naive;
	naive->load = load;
	init_directory(naive, &naive->reads, load->options->service);
	init_directory(naive, &naive->writes, load->options->write_service);
	load_loop_run(&load->loop);
	load->loop.stop = false;
	return MEDLAR_OK;
}

/**
 * load_naive_finish() - release the naive client
 * @load: run without pending requests
 */
void load_naive_finish(load_t *load)
{
	if (!load->naive)
		return;
	load_directory_finish(&load->naive->reads);
	load_directory_finish(&load->naive->writes);
	free(load->naive);
	load->naive = NULL;
}
