/**
 * DOC: processor time, memory and allocations of a query in the core
 *
 * Prints one JSON object a line. Each request is answered at once, in the order
 * of sending, so that only the core is measured.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "libmedlar/query.h"

#define SHARDS 190
#define REPLICAS 3
#define WARM_UP_QUERIES 2000
#define QUERIES 20000
#define QUICK_QUERIES 2000
#define NS_PER_SECOND 1e9

/* The allocator is wrapped to count the allocations after the warm-up. */
void *__libc_malloc(size_t size);
void *__libc_calloc(size_t count, size_t size);
void *__libc_realloc(void *ptr, size_t size);

typedef struct bench {
	medlar_client_t client;
	medlar_service_t service;
	medlar_suspects_t suspects;
	medlar_attempt_t *sent[4 * SHARDS];
	size_t sent_len;
	medlar_time_t now;
	uint64_t complete_answers;
} bench_t;

static void on_send(medlar_attempt_t *attempt, void *data)
{
	bench_t *bench = data;

	bench->sent[bench->sent_len++] = attempt;
}

static void on_cancel(medlar_attempt_t *attempt, void *data)
{
	(void)attempt;
	(void)data;
}

static void on_answer(medlar_query_t *query, void *data)
{
	bench_t *bench = data;

	bench->complete_answers += medlar_query_answer(query)->outcome ==
				   MEDLAR_OUTCOME_COMPLETE;
	medlar_query_finish(&bench->client, query);
}

static void add_replicas(bench_t *bench)
{
	medlar_replica_info_t info = {
		.host = "127.0.0.1",
		.slots = 100,
		.connections = 100,
		.incarnation = 1,
		.versions = { 6, 7 },
	};
	uint32_t shard;
	int r;

	for (shard = 0; shard < SHARDS; shard++) {
		for (r = 0; r < REPLICAS; r++) {
			snprintf(info.name, sizeof(info.name), "r%u-%d", shard,
				 r);
			info.shard = shard;
			info.zone = (uint16_t)r;
			medlar_service_put_replica(&bench->client,
						   &bench->service, &info,
						   bench->now);
		}
	}
}

static void set_up_bench(bench_t *bench)
{
	const medlar_service_ops_t ops = { .send = on_send,
					   .cancel = on_cancel,
					   .answer = on_answer };
	medlar_policy_t policy;

	memset(bench, 0, sizeof(*bench));
	bench->now = MEDLAR_SECOND;
	medlar_policy_default(&policy, "perfil-busca");
	policy.shards = SHARDS;
	medlar_client_init(&bench->client, MEDLAR_STR("one"), 0, 1);
	if (medlar_suspects_init(&bench->suspects, 64, MEDLAR_MINUTE) ||
	    medlar_service_init(&bench->client, &bench->service, &policy, &ops,
				bench, bench->now))
		exit(1);
	medlar_service_set_suspects(&bench->service, &bench->suspects);
	add_replicas(bench);
}

static void reply_all(bench_t *bench)
{
	medlar_reply_t reply = {
		.load = { -1, -1 },
		.versions = { 6, 7 },
		.body = MEDLAR_STR("{\"hits\":[1,2,3]}"),
	};
	size_t i;

	for (i = 0; i < bench->sent_len; i++) {
		medlar_attempt_t *attempt = bench->sent[i];

		memcpy(reply.id, medlar_attempt_id(attempt), sizeof(reply.id));
		reply.version = medlar_attempt_version(attempt);
		reply.range = medlar_attempt_range(attempt);
		medlar_attempt_reply(&bench->client, attempt, &reply,
				     bench->now);
	}
	bench->sent_len = 0;
}

static void run_query(bench_t *bench, uint64_t fingerprint)
{
	medlar_query_params_t params = {
		.fingerprint = fingerprint,
		.caller = fingerprint,
		.deadline = bench->now + MEDLAR_SECOND,
	};
	medlar_query_t *query;

	if (medlar_query_start(&bench->client, &bench->service, &params, NULL,
			       bench->now, &query))
		exit(1);
	bench->now++;
	reply_all(bench);
	medlar_client_run(&bench->client, bench->now);
}

static double cpu_time_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * NS_PER_SECOND + (double)ts.tv_nsec;
}

static void print_row(const char *name, const char *metric, const char *unit,
		      double value, const char *bound)
{
	printf("{\"area\":\"reads\",\"case\":\"%s\",\"metric\":\"%s\","
	       "\"unit\":\"%s\",\"value\":%.6g,\"baseline\":null,"
	       "\"bound\":%s}\n",
	       name, metric, unit, value, bound);
}

static size_t allocations;

void *malloc(size_t size)
{
	allocations++;
	return __libc_malloc(size);
}

void *calloc(size_t count, size_t size)
{
	allocations++;
	return __libc_calloc(count, size);
}

void *realloc(void *ptr, size_t size)
{
	allocations++;
	return __libc_realloc(ptr, size);
}

static void measure(bench_t *bench, const char *name, uint64_t fingerprints,
		    int queries)
{
	size_t before;
	uint64_t complete_answers;
	double start;
	double spent;
	int i;

	for (i = 0; i < WARM_UP_QUERIES; i++)
		run_query(bench, 1 + (uint64_t)i % fingerprints);
	before = allocations;
	complete_answers = bench->complete_answers;
	start = cpu_time_ns();
	for (i = 0; i < queries; i++)
		run_query(bench,
			  1 + (uint64_t)(WARM_UP_QUERIES + i) % fingerprints);
	spent = cpu_time_ns() - start;
	if (bench->complete_answers - complete_answers != (uint64_t)queries)
		exit(1);
	print_row(name, "core_cpu_per_query", "us", spent / queries / 1000,
		  "100");
	print_row(name, "core_cpu_per_subrequest", "ns",
		  spent / queries / SHARDS, "null");
	print_row(name, "allocations_per_subrequest", "count",
		  (double)(allocations - before) / queries / SHARDS, "0");
}

int main(int argc, char **argv)
{
	bool quick = argc > 1 && strcmp(argv[1], "--quick") == 0;
	int queries = quick ? QUICK_QUERIES : QUERIES;
	bench_t bench;

	set_up_bench(&bench);
	measure(&bench, "query_190_shards_repeated", 100, queries);
	measure(&bench, "query_190_shards_new", UINT64_MAX, queries);
	print_row("query_190_shards", "bytes_per_subrequest_in_flight", "bytes",
		  sizeof(medlar_attempt_t), "64");
	print_row("query_190_shards", "bytes_per_part_of_a_query", "bytes",
		  sizeof(medlar_part_t), "null");
	medlar_service_finish(&bench.client, &bench.service);
	medlar_suspects_finish(&bench.suspects);
	medlar_client_finish(&bench.client);
	return 0;
}
