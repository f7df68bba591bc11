/**
 * DOC: time to choose a replica, and memory of its state
 *
 * Prints one JSON object a line. The baseline is a random choice among all
 * replicas of the shard.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "libmedlar/internal.h"

#define PICKS 2000000
#define PICKS_QUICK 200000
#define WARM_UP_PICKS 10000
#define NS_PER_SECOND 1e9
#define FEW_REPLICAS 3
#define FEW_CHOICE_NS_MAX 300
#define MANY_REPLICAS 437
#define MANY_CHOICE_NS_MAX 1000
#define REPLICA_BYTES_MAX 128
#define LATENCY_RANGE_MS 8

/** struct bench - a service with one shard to choose from */
typedef struct bench {
	medlar_client_t client;
	medlar_service_t service;
	medlar_shard_t *shard;
	unsigned replicas;
	unsigned picks;
} bench_t;

static double time_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec * NS_PER_SECOND + (double)time.tv_nsec;
}

static void set_up(bench_t *bench, unsigned replicas, unsigned picks)
{
	const medlar_service_ops_t ops = { 0 };
	medlar_policy_t policy;
	unsigned i;

	medlar_client_init(&bench->client, MEDLAR_STR("bench"), 0, 1);
	medlar_policy_default(&policy, "bench");
	medlar_service_init(&bench->client, &bench->service, &policy, &ops,
			    NULL, 0);
	for (i = 0; i < replicas; i++) {
		medlar_replica_info_t info = { .slots = 3, .connections = 30 };

		snprintf(info.name, sizeof(info.name), "r%u", i);
		snprintf(info.host, sizeof(info.host), "127.0.0.1");
		info.zone = (uint16_t)(i % 3);
		info.versions[0] = 1;
		medlar_service_put_replica(&bench->client, &bench->service,
					   &info, 0);
	}
	bench->shard = medlar_service_shard(&bench->service, 0);
	bench->replicas = replicas;
	bench->picks = picks;
}

static void record_request(bench_t *bench, medlar_replica_t *replica,
			   medlar_time_t now)
{
	medlar_replica_begin_request(&bench->client, replica, now);
	medlar_replica_end_request(&bench->client, replica, MEDLAR_RESULT_OK,
				   now % LATENCY_RANGE_MS, now);
}

/* Nanoseconds of a choice with the bookkeeping of the request that follows. */
static double time_choice_and_record(bench_t *bench, unsigned picks)
{
	const medlar_pick_t pick = { .version = 1 };
	medlar_replica_t *replica;
	double start = time_ns();
	unsigned i;

	for (i = 0; i < picks; i++) {
		medlar_time_t now = i / 64;

		if (medlar_replica_pick(&bench->client, bench->shard, &pick,
					now, &replica) == MEDLAR_OK)
			record_request(bench, replica, now);
	}
	return (time_ns() - start) / picks;
}

static double time_choices(bench_t *bench)
{
	const medlar_pick_t pick = { .version = 1 };
	medlar_replica_t *replica;
	double start = time_ns();
	unsigned i;

	for (i = 0; i < bench->picks; i++)
		medlar_replica_pick(&bench->client, bench->shard, &pick, i / 64,
				    &replica);
	return (time_ns() - start) / bench->picks;
}

static double time_random_choices(bench_t *bench)
{
	const medlar_replica_t *volatile chosen;
	double start = time_ns();
	unsigned i;

	for (i = 0; i < bench->picks; i++) {
		size_t at = medlar_rand_below(&bench->client.rand,
					      bench->replicas);

		chosen = medlar_shard_replica(bench->shard, at);
	}
	(void)chosen;
	return (time_ns() - start) / bench->picks;
}

static void print_row(const char *name, const char *metric, const char *unit,
		      double value, double baseline, double bound)
{
	printf("{\"area\":\"reads\",\"case\":\"%s\",\"metric\":\"%s\","
	       "\"unit\":\"%s\",\"value\":%.1f,\"baseline\":",
	       name, metric, unit, value);
	printf(baseline < 0 ? "null" : "%.1f", baseline);
	printf(bound < 0 ? ",\"bound\":null}\n" : ",\"bound\":%.1f}\n", bound);
}

static void measure(unsigned replicas, unsigned picks, double bound)
{
	bench_t bench;
	char name[64];
	double random;

	snprintf(name, sizeof(name), "pick at %u replicas a shard", replicas);
	set_up(&bench, replicas, picks);
	time_choice_and_record(&bench, WARM_UP_PICKS);
	random = time_random_choices(&bench);
	print_row(name, "choice", "ns", time_choices(&bench), random, bound);
	print_row(name, "choice and bookkeeping", "ns",
		  time_choice_and_record(&bench, picks), -1, -1);
	medlar_service_finish(&bench.client, &bench.service);
	medlar_client_finish(&bench.client);
}

/*
 * With all but one replica at their limit, random draws find none with a free
 * slot and all replicas are compared.
 */
static void measure_all_but_one_busy(unsigned replicas, unsigned picks)
{
	bench_t bench;
	unsigned i;

	set_up(&bench, replicas, picks);
	for (i = 0; i + 1 < replicas; i++)
		while (bench.shard->replicas[i]->in_flight <
		       bench.shard->replicas[i]->slots)
			medlar_replica_begin_request(
				&bench.client, bench.shard->replicas[i], 0);
	print_row("pick at 437 replicas a shard, all but one busy", "choice",
		  "ns", time_choices(&bench), -1, -1);
	medlar_service_finish(&bench.client, &bench.service);
	medlar_client_finish(&bench.client);
}

int main(int argc, char **argv)
{
	unsigned picks = PICKS;

	if (argc > 1 && strcmp(argv[1], "--quick") == 0)
		picks = PICKS_QUICK;
	measure(FEW_REPLICAS, picks, FEW_CHOICE_NS_MAX);
	measure(MANY_REPLICAS, picks, MANY_CHOICE_NS_MAX);
	measure_all_but_one_busy(MANY_REPLICAS, picks / 10);
	print_row("state of a replica", "read by each request", "bytes",
		  sizeof(medlar_replica_t), -1, REPLICA_BYTES_MAX);
	print_row("state of a replica", "all, with its list entry", "bytes",
		  sizeof(medlar_replica_t) + sizeof(medlar_replica_cold_t) +
			  3 * sizeof(medlar_replica_t *),
		  -1, -1);
	return 0;
}
