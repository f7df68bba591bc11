/**
 * DOC: cost of choosing a replica, and its size
 *
 * Prints one JSON object a line. The baseline of a choice is a choice at
 * random among all replicas of the shard.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "libmedlar/internal.h"

#define PICKS 2000000
#define PICKS_QUICK 200000
#define WARM_UP 10000
#define NS_PER_SECOND 1e9
#define PICK_FEW 3
#define PICK_FEW_MAX 300
#define PICK_MANY 437
#define PICK_MANY_MAX 1000
#define BYTES_MAX 128
#define LATENCY_SPAN 8

/** struct run - one case */
typedef struct run {
	medlar_client_t client;
	medlar_service_t service;
	medlar_shard_t *shard;
	unsigned replicas;
	unsigned picks;
} run_t;

static double now_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec * NS_PER_SECOND + (double)time.tv_nsec;
}

static void set_up(run_t *run, unsigned replicas, unsigned picks)
{
	const medlar_service_ops_t ops = { 0 };
	medlar_policy_t policy;
	unsigned i;

	medlar_client_init(&run->client, MEDLAR_STR("bench"), 0, 1);
	medlar_policy_default(&policy, "bench");
	medlar_service_init(&run->client, &run->service, &policy, &ops, NULL,
			    0);
	for (i = 0; i < replicas; i++) {
		medlar_replica_info_t info = { .slots = 3, .connections = 30 };

		snprintf(info.name, sizeof(info.name), "r%u", i);
		snprintf(info.host, sizeof(info.host), "127.0.0.1");
		info.zone = (uint16_t)(i % 3);
		info.versions[0] = 1;
		medlar_service_put_replica(&run->client, &run->service, &info,
					   0);
	}
	run->shard = medlar_service_shard(&run->service, 0);
	run->replicas = replicas;
	run->picks = picks;
}

static void serve(run_t *run, medlar_replica_t *replica, medlar_time_t now)
{
	medlar_replica_sent(&run->client, replica, now);
	medlar_replica_done(&run->client, replica, MEDLAR_RESULT_OK,
			    now % LATENCY_SPAN, now);
}

/* Choices, each followed by the bookkeeping of a request. */
static double time_ours(run_t *run, unsigned picks)
{
	const medlar_pick_t pick = { .version = 1 };
	medlar_replica_t *replica;
	double start = now_ns();
	unsigned i;

	for (i = 0; i < picks; i++) {
		medlar_time_t now = i / 64;

		if (medlar_replica_pick(&run->client, run->shard, &pick, now,
					&replica) == MEDLAR_OK)
			serve(run, replica, now);
	}
	return (now_ns() - start) / picks;
}

static double time_choice(run_t *run)
{
	const medlar_pick_t pick = { .version = 1 };
	medlar_replica_t *replica;
	double start = now_ns();
	unsigned i;

	for (i = 0; i < run->picks; i++)
		medlar_replica_pick(&run->client, run->shard, &pick, i / 64,
				    &replica);
	return (now_ns() - start) / run->picks;
}

static double time_random(run_t *run)
{
	const medlar_replica_t *volatile chosen;
	double start = now_ns();
	unsigned i;

	for (i = 0; i < run->picks; i++) {
		size_t at = medlar_rand_below(&run->client.rand, run->replicas);

		chosen = medlar_shard_replica(run->shard, at);
	}
	(void)chosen;
	return (now_ns() - start) / run->picks;
}

static void print(const char *name, const char *metric, const char *unit,
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
	run_t run;
	char name[64];
	double random;

	snprintf(name, sizeof(name), "pick at %u replicas a shard", replicas);
	set_up(&run, replicas, picks);
	time_ours(&run, WARM_UP);
	random = time_random(&run);
	print(name, "choice", "ns", time_choice(&run), random, bound);
	print(name, "choice and bookkeeping", "ns", time_ours(&run, picks), -1,
	      -1);
	medlar_service_finish(&run.client, &run.service);
	medlar_client_finish(&run.client);
}

/* All but one replica at their limit: the draws fail and all are weighed. */
static void measure_worst(unsigned replicas, unsigned picks)
{
	run_t run;
	unsigned i;

	set_up(&run, replicas, picks);
	for (i = 0; i + 1 < replicas; i++)
		while (run.shard->replicas[i]->in_flight <
		       run.shard->replicas[i]->slots)
			medlar_replica_sent(&run.client, run.shard->replicas[i],
					    0);
	print("pick at 437 replicas a shard, all but one busy", "choice", "ns",
	      time_choice(&run), -1, -1);
	medlar_service_finish(&run.client, &run.service);
	medlar_client_finish(&run.client);
}

int main(int argc, char **argv)
{
	unsigned picks = PICKS;

	if (argc > 1 && strcmp(argv[1], "--quick") == 0)
		picks = PICKS_QUICK;
	measure(PICK_FEW, picks, PICK_FEW_MAX);
	measure(PICK_MANY, picks, PICK_MANY_MAX);
	measure_worst(PICK_MANY, picks / 10);
	print("state of a replica", "read by each request", "bytes",
	      sizeof(medlar_replica_t), -1, BYTES_MAX);
	print("state of a replica", "all, with its list entry", "bytes",
	      sizeof(medlar_replica_t) + sizeof(medlar_replica_cold_t) +
		      3 * sizeof(medlar_replica_t *),
	      -1, -1);
	return 0;
}
