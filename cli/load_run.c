/**
 * DOC: request arrivals and collection of results
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/load_site.h"

#define GIVE_UP_DEFAULT (10 * LOAD_SECOND)
#define GIVE_UP_MARGIN LOAD_SECOND
#define LOOKUP_KEY_COUNT 1000000

/**
 * load_request_service() - get the service that a request is sent to
 * @request: request
 *
 * Return: name of the service.
 */
const char *load_request_service(const load_request_t *request)
{
	const load_options_t *options = request->load->options;

	return request->kind == LOAD_WRITE ? options->write_service
					   : options->service;
}

/**
 * load_draw_kind() - draw the kind of the next request at random
 * @load: run
 *
 * Return: a kind, with the relative frequencies of the options.
 */
load_kind_t load_draw_kind(load_t *load)
{
	const double *mix = load->options->mix;
	double sum = mix[LOAD_SEARCH] + mix[LOAD_LOOKUP] + mix[LOAD_WRITE];
	double point = medlar_rand_unit(&load->rand) * sum;
	int kind;

	for (kind = 0; kind < LOAD_KIND_COUNT - 1; kind++) {
		point -= mix[kind];
		if (point < 0)
			break;
	}
	return (load_kind_t)kind;
}

/**
 * load_draw_interval() - draw the time until the next arrival
 * @load: run
 *
 * Return: time between two arrivals of a Poisson process, microseconds.
 */
double load_draw_interval(load_t *load)
{
	return -log(1 - medlar_rand_unit(&load->rand)) / load->options->rate *
	       (double)LOAD_SECOND;
}

/* Writes a random UUID of version 7. */
static void make_idempotency_key(load_t *load, char *out, size_t size)
{
	uint64_t a = medlar_rand_next(&load->rand);
	uint64_t b = medlar_rand_next(&load->rand);
	struct timespec ts;
	uint64_t ms;

	clock_gettime(CLOCK_REALTIME, &ts);
	ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	snprintf(out, size, "%08llx-%04llx-7%03llx-%04llx-%04llx%08llx",
		 (unsigned long long)(ms >> 16 & 0xffffffff),
		 (unsigned long long)(ms & 0xffff),
		 (unsigned long long)(a & 0xfff),
		 (unsigned long long)(0x8000 | b >> 50),
		 (unsigned long long)(b >> 32 & 0xffff),
		 (unsigned long long)(b & 0xffffffff));
}

static void add_query(load_request_t *request)
{
	const load_options_t *options = request->load->options;
	medlar_buf_t *body = &request->body;

	medlar_buf_add(body, MEDLAR_STR("{\"text\":"));
	medlar_buf_json_string(body, medlar_str_from(options->query_text));
	medlar_buf_printf(body, ",\"nonce\":\"%s\"}", request->nonce);
}

static void add_keys(load_request_t *request)
{
	load_t *load = request->load;
	unsigned i;

	if (request->kind != LOAD_LOOKUP || load->options->keys_per_lookup == 0)
		return;
	medlar_buf_add(&request->body, MEDLAR_STR(",\"keys\":["));
	for (i = 0; i < load->options->keys_per_lookup; i++)
		medlar_buf_printf(&request->body, "%s\"key-%llu\"",
				  i ? "," : "",
				  (unsigned long long)medlar_rand_below(
					  &load->rand, LOOKUP_KEY_COUNT));
	medlar_buf_add(&request->body, MEDLAR_STR("]"));
}

static void make_body(load_request_t *request)
{
	const load_options_t *options = request->load->options;

	medlar_buf_init(&request->body);
	if (options->naive) {
		add_query(request);
		return;
	}
	medlar_buf_add(&request->body, MEDLAR_STR("{\"query\":"));
	add_query(request);
	if (options->deadline_ms)
		medlar_buf_printf(&request->body, ",\"deadline_ms\":%u",
				  options->deadline_ms);
	add_keys(request);
	medlar_buf_add(&request->body, MEDLAR_STR("}"));
}

static load_request_t *request_new(load_t *load, medlar_time_t scheduled_at)
{
	const load_options_t *options = load->options;
	load_request_t *request = calloc(1, sizeof(*request));
	medlar_time_t timeout = options->deadline_ms * LOAD_MS;

	if (!request)
		abort();
	request->load = load;
	request->kind = load_draw_kind(load);
	request->caller = medlar_rand_below(&load->rand, options->callers);
	request->scheduled_at = scheduled_at;
	request->is_counted = scheduled_at >= load->warmup_end;
	request->deadline = scheduled_at + (timeout ? timeout + GIVE_UP_MARGIN
						    : GIVE_UP_DEFAULT);
	snprintf(request->nonce, sizeof(request->nonce), "%llu-%llu",
		 (unsigned long long)options->seed,
		 (unsigned long long)load->requests_made++);
	if (request->kind == LOAD_WRITE)
		make_idempotency_key(load, request->key, sizeof(request->key));
	make_body(request);
	load->pending++;
	return request;
}

static void record_write(load_t *load, const load_request_t *request,
			 load_outcome_t outcome)
{
	size_t len = load->writes_len;
	load_write_t *write;

	if ((len & (len - 1)) == 0) {
		load->writes = realloc(load->writes,
				       (len ? 2 * len : 1) * sizeof(*write));
		if (!load->writes)
			abort();
	}
	write = &load->writes[load->writes_len++];
	memcpy(write->key, request->key, sizeof(write->key));
	write->outcome = outcome;
}

static bool meets_target(const load_t *load, double ms)
{
	return load->options->target_ms == 0 || ms <= load->options->target_ms;
}

static void count_result(load_t *load, const load_request_t *request,
			 const load_result_t *result)
{
	load_stats_t *stats = &load->stats[request->kind];
	double ms = (double)(load_now() - request->scheduled_at) /
		    (double)LOAD_MS;
	size_t *parts_max = &load->parts_max[request->kind];
	int i;

	stats->outcomes[result->outcome]++;
	stats->goodput_count += load_now() <= load->arrivals_end &&
				meets_target(load, ms) &&
				(result->outcome == LOAD_COMPLETE ||
				 result->outcome == LOAD_RAN);
	if (result->outcome == LOAD_NOT_RUN)
		load_series_add(&stats->refused_latency, ms);
	else if (result->outcome <= LOAD_RAN)
		load_series_add(&stats->latency, ms);
	if (request->kind != LOAD_WRITE)
		stats->coverage_sum += result->coverage;
	stats->sends += result->sends;
	stats->replayed += result->replayed;
	if (result->parts > *parts_max)
		*parts_max = result->parts;
	if (result->outcome == LOAD_COMPLETE || result->outcome == LOAD_RAN)
		stats->sends_needed += result->parts;
	else if (result->sends > 0)
		stats->sends_needed += *parts_max > result->parts
					       ? *parts_max
					       : result->parts;
	for (i = 0; i < LOAD_VIOLATION_COUNT; i++)
		stats->violations[i] += result->violations[i];
}

/**
 * load_request_count() - add the result of a request to the statistics
 * @request: request that has ended
 * @result: its result
 */
void load_request_count(const load_request_t *request,
			const load_result_t *result)
{
	if (request->is_counted)
		count_result(request->load, request, result);
	if (request->kind == LOAD_WRITE)
		record_write(request->load, request, result->outcome);
}

/**
 * load_request_end() - count the result of a request and release the request
 * @request: request that has ended
 * @result: its result
 */
void load_request_end(load_request_t *request, const load_result_t *result)
{
	load_t *load = request->load;

	load_request_count(request, result);
	medlar_buf_finish(&request->body);
	free(request);
	load->pending--;
	if (load->pending == 0 && load->arrival_timer.slot == 0)
		load->loop.stop = true;
}

static void on_arrival(medlar_client_t *client, medlar_timer_t *timer,
		       medlar_time_t now, void *data)
{
	load_t *load = data;
	medlar_time_t scheduled_at = timer->due;

	while (scheduled_at <= now && scheduled_at < load->arrivals_end) {
		load_request_t *request = request_new(load, scheduled_at);

		if (load->options->naive)
			load_naive_start(request);
		else
			load_caller_start(request);
		scheduled_at += (medlar_time_t)load_draw_interval(load);
	}
	load_progress(load);
	if (scheduled_at < load->arrivals_end)
		medlar_timer_set(client, timer, scheduled_at);
	else if (load->pending == 0)
		load->loop.stop = true;
}

/* Ends a run whose requests do not end, and counts them as unanswered. */
static void on_limit(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	load_t *load = data;

	(void)client;
	(void)timer;
	(void)now;
	load->stats[LOAD_SEARCH].outcomes[LOAD_NO_ANSWER] += load->pending;
	load->loop.stop = true;
}

static void run_requests(load_t *load)
{
	medlar_timer_init(&load->arrival_timer, on_arrival, load);
	medlar_timer_set(&load->loop.client, &load->arrival_timer,
			 load->started_at);
	medlar_timer_init(&load->limit_timer, on_limit, load);
	medlar_timer_set(&load->loop.client, &load->limit_timer,
			 load->arrivals_end + GIVE_UP_DEFAULT + GIVE_UP_MARGIN);
	load_loop_run(&load->loop);
}

static int init_clients(load_t *load)
{
	if (load->options->site)
		return MEDLAR_OK;
	return load->options->naive ? load_naive_init(load)
				    : load_callers_init(load);
}

/**
 * load_run() - generate the load and wait for all answers
 * @load: run to initialise; load_finish() releases it, also after an error
 * @options: command-line options; they stay valid until load_finish()
 *
 * Return: %MEDLAR_OK or a negative error.
 */
int load_run(load_t *load, const load_options_t *options)
{
	int err;

	*load = (load_t){ .rand = { options->seed }, .options = options };
	err = load_loop_init(&load->loop);
	if (!err)
		err = init_clients(load);
	if (err)
		return err;
	load->started_at = load_now();
	load->warmup_end = load->started_at +
			   (medlar_time_t)(options->warmup_s *
					   (double)LOAD_SECOND);
	load->arrivals_end = load->warmup_end +
			     (medlar_time_t)(options->duration_s *
					     (double)LOAD_SECOND);
	if (options->site)
		return load_site_run(load);
	run_requests(load);
	return MEDLAR_OK;
}

/**
 * load_finish() - release the memory of a run
 * @load: run, also one whose load_run() has failed
 */
void load_finish(load_t *load)
{
	int i;

	load_naive_finish(load);
	load_callers_finish(load);
	load_loop_finish(&load->loop);
	for (i = 0; i < LOAD_KIND_COUNT; i++) {
		free(load->stats[i].latency.values);
		free(load->stats[i].refused_latency.values);
	}
	free(load->writes);
}
