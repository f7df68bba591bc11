/**
 * DOC: the policy of the core against a naive one, on a virtual clock
 *
 * One service, one instance, replicas as queues (tests/fakes/world.h). The
 * naive client sends each part to a random replica that is listed as live, with
 * a fixed timeout, no hedge and three retries. Prints one JSON object a line;
 * the naive value stands in "baseline".
 *
 * usage: bench_policy [--quick] [CASE]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fakes/world.h"

#define SHARDS 10
#define PER_SHARD 3
#define SLOTS 2
#define MEAN_MS 10
#define DEADLINE 400
#define TARGET 200
#define COVERAGE_MIN 0.8
#define EXTRA_LOAD 0.08
#define CAPACITY (PER_SHARD * SLOTS * 1000.0 / MEAN_MS) /* queries a second */
#define WARM_UP_S 5
#define LENGTH_S 60
#define QUICK_LENGTH_S 15
#define NAIVE_TIMEOUT_MS 100
#define NAIVE_ATTEMPTS 4
#define SAMPLES_MAX 200000
#define SECOND_US INT64_C(1000000)
#define REFUSED_SOON_MS 20

typedef struct run run_t;

/** struct scene - a case of the experiment */
typedef struct scene {
	const char *name;
	double load; /* share of the capacity */
	double straggler; /* factor on the first replica's times */
	double slow_share; /* share of requests that take 20 times as long */
	double all_slow; /* factor on all times, from the end of the warm-up */
	bool lose_replica; /* one of each shard, from the end of the warm-up */
	bool lose_shard;
	bool latency_first;
} scene_t;

/** struct run - one run of a scene by one client */
struct run {
	const scene_t *scene;
	world_t world;
	int64_t end_us;
	bool naive;
	uint64_t fingerprints;
	uint64_t asked;
	uint64_t complete;
	uint64_t partial;
	uint64_t refused;
	uint64_t refused_late;
	uint64_t failed;
	uint64_t parts;
	uint64_t sends;
	double covered;
	float *samples;
	size_t samples_len;
};

typedef struct naive_part {
	struct naive_query *query;
	world_call_t *call;
	unsigned tries;
	uint32_t shard;
	bool over;
} naive_part_t;

typedef struct naive_query {
	run_t *run;
	int64_t started;
	unsigned open;
	unsigned done;
	unsigned events;
	bool counted;
	naive_part_t parts[SHARDS];
} naive_query_t;

static bool counts(const run_t *run, int64_t started)
{
	return started >= WARM_UP_S * SECOND_US + SECOND_US &&
	       started < run->end_us;
}

static void sample(run_t *run, int64_t took_us)
{
	if (run->samples_len < SAMPLES_MAX)
		run->samples[run->samples_len++] = (float)took_us / 1000;
}

static void decide(world_t *world, world_call_t *call)
{
	run_t *run = world->data;
	const scene_t *scene = run->scene;

	world_standard(world, call);
	if (scene->slow_share > 0 &&
	    medlar_rand_unit(&world->rand) < scene->slow_share)
		call->took_us *= 20;
	run->sends += counts(run, world->now_us);
}

/* The naive client. */

static void naive_send(naive_part_t *part);

static void naive_settle(naive_query_t *query)
{
	run_t *run = query->run;
	int64_t took = run->world.now_us - query->started;

	if (query->open == 0 && !query->counted) {
		query->counted = true;
		if (counts(run, query->started)) {
			run->complete += query->done == SHARDS;
			run->partial += query->done > 0 && query->done < SHARDS;
			run->failed += query->done == 0;
			run->covered += (double)query->done / SHARDS;
			if (query->done > 0)
				sample(run, took);
		}
	}
	if (query->open == 0 && query->events == 0)
		free(query);
}

static void naive_close(naive_part_t *part, bool done)
{
	part->over = true;
	part->query->open--;
	part->query->done += done;
}

static void naive_again(naive_part_t *part)
{
	if (part->tries < NAIVE_ATTEMPTS)
		naive_send(part);
	else
		naive_close(part, false);
}

static void naive_ended(world_t *world, world_call_t *call)
{
	naive_part_t *part = call->owner;
	naive_query_t *query = part->query;
	world_fate_t fate = call->fate;

	(void)world;
	query->events--;
	if (!part->over && fate == WORLD_ANSWER)
		naive_close(part, true);
	else if (!part->over && part->call == call)
		naive_again(part);
	naive_settle(query);
}

typedef struct naive_timeout {
	naive_part_t *part;
	unsigned tries;
} naive_timeout_t;

static void naive_late(world_t *world, void *data)
{
	naive_timeout_t *timeout = data;
	naive_part_t *part = timeout->part;
	naive_query_t *query = part->query;

	(void)world;
	query->events--;
	if (!part->over && part->tries == timeout->tries)
		naive_again(part);
	free(timeout);
	naive_settle(query);
}

static void naive_send(naive_part_t *part)
{
	run_t *run = part->query->run;
	world_t *world = &run->world;
	world_call_t *call = calloc(1, sizeof(*call));
	naive_timeout_t *timeout = calloc(1, sizeof(*timeout));
	uint64_t pick = medlar_rand_below(&world->rand, PER_SHARD);

	if (!call || !timeout)
		abort();
	part->tries++;
	part->call = call;
	part->query->events += 2;
	call->owner = part;
	call->at = &world->replicas[(size_t)part->shard * PER_SHARD + pick];
	call->version = 7;
	timeout->part = part;
	timeout->tries = part->tries;
	world_at(world, world->now_us + NAIVE_TIMEOUT_MS * WORLD_MS, naive_late,
		 timeout);
	world_submit(world, call);
}

static void naive_ask(run_t *run)
{
	naive_query_t *query = calloc(1, sizeof(*query));
	uint32_t i;

	if (!query)
		abort();
	query->run = run;
	query->started = run->world.now_us;
	query->open = SHARDS;
	for (i = 0; i < SHARDS; i++) {
		query->parts[i].query = query;
		query->parts[i].shard = i;
		naive_send(&query->parts[i]);
	}
}

/* The client under test. */

static void answered(world_t *world, medlar_query_t *query)
{
	run_t *run = world->data;
	const medlar_answer_t *answer = medlar_query_answer(query);
	int64_t started = (int64_t)(uintptr_t)medlar_query_data(query);
	int64_t took = world->now_us - started;

	if (!counts(run, started))
		return;
	run->covered += answer->coverage;
	run->complete += answer->outcome == MEDLAR_OUTCOME_COMPLETE;
	run->partial += answer->outcome == MEDLAR_OUTCOME_PARTIAL;
	run->failed += answer->outcome == MEDLAR_OUTCOME_FAILED;
	if (answer->outcome == MEDLAR_OUTCOME_NOT_RUN) {
		run->refused++;
		run->refused_late += took > REFUSED_SOON_MS * WORLD_MS;
	} else if (answer->coverage > 0) {
		sample(run, took);
	}
}

static void ask(run_t *run)
{
	int64_t now = run->world.now_us;
	void *started = (void *)(uintptr_t)now; /* NOLINT(performance*) */

	if (world_ask(&run->world, ++run->fingerprints, DEADLINE, started) &&
	    counts(run, now))
		run->refused++;
}

static void arrive(world_t *world, void *data)
{
	run_t *run = data;
	double rate = run->scene->load * CAPACITY;
	double gap = world_exponential(world) / rate * (double)SECOND_US;

	if (world->now_us >= run->end_us)
		return;
	if (counts(run, world->now_us)) {
		run->asked++;
		run->parts += SHARDS;
	}
	if (run->naive)
		naive_ask(run);
	else
		ask(run);
	world_at(world, world->now_us + (int64_t)gap + 1, arrive, run);
}

static void begin_trouble(world_t *world, void *data)
{
	const run_t *run = data;
	const scene_t *scene = run->scene;
	size_t i;

	if (scene->all_slow > 0)
		world->mean_us *= scene->all_slow;
	for (i = 0; i < world->len; i++) {
		if (scene->lose_replica && i % PER_SHARD == 0)
			world->replicas[i].dead = true;
		if (scene->lose_shard && world->replicas[i].shard == 3)
			world->replicas[i].dead = true;
	}
}

static void run_scene(run_t *run, const scene_t *scene, bool naive,
		      const medlar_query_tuning_t *tuning, int length_s)
{
	medlar_policy_t policy;

	memset(run, 0, sizeof(*run));
	medlar_policy_default(&policy, "perfil-busca");
	policy.shards = SHARDS;
	policy.slots = SLOTS;
	policy.deadline = DEADLINE;
	policy.target = TARGET;
	policy.coverage_min = COVERAGE_MIN;
	policy.extra_load = EXTRA_LOAD;
	policy.priority = scene->latency_first ? MEDLAR_LATENCY_FIRST
					       : MEDLAR_COVERAGE_FIRST;
	world_init(&run->world, &policy, PER_SHARD, 1);
	if (tuning)
		medlar_service_tune(&run->world.service, tuning);
	run->scene = scene;
	run->naive = naive;
	run->end_us = (1 + WARM_UP_S + length_s) * SECOND_US;
	run->samples = calloc(SAMPLES_MAX, sizeof(*run->samples));
	if (!run->samples)
		abort();
	run->world.data = run;
	run->world.decide = decide;
	run->world.answered = answered;
	run->world.ended = naive_ended;
	if (scene->straggler > 0)
		run->world.replicas[0].slow = scene->straggler;
	world_at(&run->world, (1 + WARM_UP_S) * SECOND_US, begin_trouble, run);
	world_at(&run->world, run->world.now_us, arrive, run);
	world_run(&run->world, INT64_MAX);
}

static void end_run(run_t *run)
{
	world_finish(&run->world);
	free(run->samples);
}

static int compare(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

static double quantile(run_t *run, double q)
{
	if (run->samples_len == 0)
		return 0;
	qsort(run->samples, run->samples_len, sizeof(float), compare);
	return (double)
		run->samples[(size_t)(q * (double)(run->samples_len - 1))];
}

static void row(const char *scene, const char *metric, const char *unit,
		double value, double baseline, const char *bound)
{
	printf("{\"area\":\"reads\",\"case\":\"%s\",\"metric\":\"%s\","
	       "\"unit\":\"%s\",\"value\":%.4g,\"baseline\":%.4g,"
	       "\"bound\":%s}\n",
	       scene, metric, unit, value, baseline, bound);
	fflush(stdout);
}

static double extra(const run_t *run)
{
	double needed = (double)run->parts;

	if (!run->naive)
		needed -= (double)run->refused * SHARDS;
	return needed > 0 ? (double)run->sends / needed - 1 : 0;
}

static double capacity_of(const scene_t *scene)
{
	return scene->all_slow > 0 ? CAPACITY / scene->all_slow : CAPACITY;
}

static void report(const scene_t *scene, run_t *ours, run_t *naive,
		   int length_s)
{
	double possible = capacity_of(scene) * length_s;
	const char *name = scene->name;

	row(name, "p50", "ms", quantile(ours, 0.5), quantile(naive, 0.5),
	    "null");
	row(name, "p99", "ms", quantile(ours, 0.99), quantile(naive, 0.99),
	    "null");
	row(name, "coverage_of_answers", "share",
	    ours->covered / (double)(ours->asked - ours->refused),
	    naive->covered / (double)naive->asked, "null");
	row(name, "complete", "share",
	    (double)ours->complete / (double)ours->asked,
	    (double)naive->complete / (double)naive->asked, "null");
	row(name, "extra_load", "share", extra(ours), extra(naive), "null");
	if (scene->load > 1 || scene->all_slow > 0) {
		row(name, "goodput_of_capacity", "share",
		    (double)ours->complete / possible,
		    (double)naive->complete / possible, "0.9");
		row(name, "refused", "share",
		    (double)ours->refused / (double)ours->asked, 0, "null");
		row(name, "refused_after_20_ms", "share",
		    (double)ours->refused_late / (double)ours->asked, 0, "0");
	}
}

static const scene_t scenes[] = {
	{ .name = "undisturbed", .load = 0.5 },
	{ .name = "straggler_1_in_30", .load = 0.5, .straggler = 10 },
	{ .name = "slow_replies_2_percent", .load = 0.5, .slow_share = 0.02 },
	{ .name = "all_5_times_slower", .load = 0.5, .all_slow = 5 },
	{ .name = "load_2_times_capacity", .load = 2 },
	{ .name = "one_replica_a_shard_lost", .load = 0.5, .lose_replica = 1 },
	{ .name = "one_shard_lost", .load = 0.5, .lose_shard = 1 },
	{ .name = "one_shard_lost_latency_first",
	  .load = 0.5,
	  .lose_shard = 1,
	  .latency_first = 1 },
};

#define SCENES (sizeof(scenes) / sizeof(scenes[0]))

typedef struct ablation {
	const char *name;
	medlar_query_tuning_t tuning;
} ablation_t;

static const ablation_t ablations[] = {
	{ "all", { true, true, true, true, true } },
	{ "no_hedges", { false, true, true, true, true } },
	{ "no_budget", { true, false, true, true, true } },
	{ "no_canaries", { true, true, false, true, true } },
	{ "no_trials", { true, true, true, false, true } },
	{ "no_admission", { true, true, true, true, false } },
};

#define ABLATIONS (sizeof(ablations) / sizeof(ablations[0]))

static void ablate(const scene_t *scene, int length_s)
{
	char name[64];
	size_t i;

	for (i = 0; i < ABLATIONS; i++) {
		run_t run;

		run_scene(&run, scene, false, &ablations[i].tuning, length_s);
		snprintf(name, sizeof(name), "%s/%s", scene->name,
			 ablations[i].name);
		row(name, "p99", "ms", quantile(&run, 0.99), 0, "null");
		row(name, "complete", "share",
		    (double)run.complete / (double)run.asked, 0, "null");
		row(name, "extra_load", "share", extra(&run), 0, "null");
		end_run(&run);
	}
}

/* Rows that relate a scene to the undisturbed one. */
static void relate(const scene_t *scene, run_t *ours, run_t *naive,
		   const double undisturbed[2])
{
	static const struct {
		const char *name;
		const char *p99;
		const char *load;
	} bounds[] = {
		{ "straggler_1_in_30", "1.3", "0.05" },
		{ "slow_replies_2_percent", "1.5", "0.08" },
	};
	size_t i;

	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		if (strcmp(bounds[i].name, scene->name) != 0)
			continue;
		row(scene->name, "p99_to_undisturbed", "ratio",
		    quantile(ours, 0.99) / undisturbed[0],
		    quantile(naive, 0.99) / undisturbed[1], bounds[i].p99);
		row(scene->name, "extra_load_bounded", "share", extra(ours),
		    extra(naive), bounds[i].load);
	}
}

int main(int argc, char **argv)
{
	bool quick = argc > 1 && strcmp(argv[1], "--quick") == 0;
	const char *only = argc > 1 + quick ? argv[1 + quick] : NULL;
	int length_s = quick ? QUICK_LENGTH_S : LENGTH_S;
	double undisturbed[2] = { 1, 1 };
	size_t i;

	for (i = 0; i < SCENES; i++) {
		run_t ours;
		run_t naive;

		if (only && i > 0 && !strstr(scenes[i].name, only))
			continue;
		run_scene(&ours, &scenes[i], false, NULL, length_s);
		run_scene(&naive, &scenes[i], true, NULL, length_s);
		if (i == 0) {
			undisturbed[0] = quantile(&ours, 0.99);
			undisturbed[1] = quantile(&naive, 0.99);
		}
		report(&scenes[i], &ours, &naive, length_s);
		relate(&scenes[i], &ours, &naive, undisturbed);
		end_run(&ours);
		end_run(&naive);
	}
	for (i = 0; !only && i < 5; i++)
		ablate(&scenes[i], QUICK_LENGTH_S);
	return 0;
}
