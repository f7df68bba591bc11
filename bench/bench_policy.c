/**
 * DOC: queries of the core and of a naive client, on a virtual clock
 *
 * Simulates one service with one instance; each replica is a queue with slots
 * (tests/fakes/world.h). The naive client sends each part to a random replica
 * of the shard, whether that is up or not, with a fixed timeout, three retries
 * and no hedges. Prints one JSON object a line, with the value of the naive
 * client as "baseline".
 *
 * usage: bench_policy [--quick] [CASE]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fakes/world.h"

#define SHARDS 10
#define REPLICAS_PER_SHARD 3
#define SLOTS 2
#define MEAN_MS 10
#define DEADLINE_MS 400
#define TARGET_MS 200
#define COVERAGE_MIN 0.8
#define EXTRA_LOAD 0.08
#define CAPACITY_PER_S \
	(REPLICAS_PER_SHARD * SLOTS * 1000.0 / MEAN_MS) /* queries a second */
#define WARM_UP_S 5
#define LENGTH_S 60
#define QUICK_LENGTH_S 15
#define NAIVE_TIMEOUT_MS 100
#define NAIVE_ATTEMPTS 4
#define SAMPLES_MAX 200000
#define SECOND_US INT64_C(1000000)
#define REFUSE_WITHIN_MS 20

typedef struct run run_t;

/** struct scenario - load and fault of one case */
typedef struct scenario {
	const char *name;
	double load; /* offered load, share of the capacity */
	double straggler; /* factor on the service times of replica 0; 0: none */
	double slow_share; /* share of requests that take 20 times as long, 0 to 1 */
	double all_slow; /* factor on all service times after the warm-up; 0: none */
	bool lose_replica; /* lose one replica of each shard after the warm-up */
	bool lose_shard; /* lose all replicas of shard 3 after the warm-up */
	bool latency_first; /* prefer latency to coverage */
} scenario_t;

/**
 * struct run - one run of a scenario by one client
 * @scenario: load and fault
 * @world: simulated service
 * @end_us: virtual time at which no more queries start, microseconds
 * @naive: run by the naive client
 * @last_fingerprint: fingerprint of the last query; each one gets a new one
 * @queries: queries started in the measured period
 * @complete: queries answered completely
 * @partial: queries answered in part
 * @refused: queries refused without execution
 * @refused_late: queries refused after more than REFUSE_WITHIN_MS
 * @failed: queries without an answer
 * @parts: parts of @queries
 * @sends: requests sent to replicas in the measured period
 * @coverage_sum: sum of the coverage of all answers
 * @samples: latencies of answers, milliseconds
 * @samples_len: number of @samples
 */
struct run {
	const scenario_t *scenario;
	world_t world;
	int64_t end_us;
	bool naive;
	uint64_t last_fingerprint;
	uint64_t queries;
	uint64_t complete;
	uint64_t partial;
	uint64_t refused;
	uint64_t refused_late;
	uint64_t failed;
	uint64_t parts;
	uint64_t sends;
	double coverage_sum;
	float *samples;
	size_t samples_len;
};

typedef struct naive_part {
	struct naive_query *query;
	world_call_t *call;
	unsigned attempts;
	uint32_t shard;
	bool finished;
} naive_part_t;

typedef struct naive_query {
	run_t *run;
	int64_t started;
	unsigned open;
	unsigned done;
	unsigned events_pending;
	bool recorded;
	naive_part_t parts[SHARDS];
} naive_query_t;

/* Whether a query started in the measured period, after the warm-up. */
static bool is_measured(const run_t *run, int64_t started)
{
	return started >= WARM_UP_S * SECOND_US + SECOND_US &&
	       started < run->end_us;
}

static void add_sample(run_t *run, int64_t took_us)
{
	if (run->samples_len < SAMPLES_MAX)
		run->samples[run->samples_len++] = (float)took_us / 1000;
}

static void draw_service_time(world_t *world, world_call_t *call)
{
	run_t *run = world->data;
	const scenario_t *scenario = run->scenario;

	world_standard(world, call);
	if (scenario->slow_share > 0 &&
	    medlar_rand_unit(&world->rand) < scenario->slow_share)
		call->took_us *= 20;
	run->sends += is_measured(run, world->now_us);
}

/* The naive client. */

static void naive_send(naive_part_t *part);

static void naive_finish_query(naive_query_t *query)
{
	run_t *run = query->run;
	int64_t took = run->world.now_us - query->started;

	if (query->open == 0 && !query->recorded) {
		query->recorded = true;
		if (is_measured(run, query->started)) {
			run->complete += query->done == SHARDS;
			run->partial += query->done > 0 && query->done < SHARDS;
			run->failed += query->done == 0;
			run->coverage_sum += (double)query->done / SHARDS;
			if (query->done > 0)
				add_sample(run, took);
		}
	}
	if (query->open == 0 && query->events_pending == 0)
		free(query);
}

static void naive_finish_part(naive_part_t *part, bool done)
{
	part->finished = true;
	part->query->open--;
	part->query->done += done;
}

static void naive_retry(naive_part_t *part)
{
	if (part->attempts < NAIVE_ATTEMPTS)
		naive_send(part);
	else
		naive_finish_part(part, false);
}

static void naive_on_call_end(world_t *world, world_call_t *call)
{
	naive_part_t *part = call->owner;
	naive_query_t *query = part->query;
	world_behaviour_t behaviour = call->behaviour;

	(void)world;
	query->events_pending--;
	if (!part->finished && behaviour == WORLD_ANSWER)
		naive_finish_part(part, true);
	else if (!part->finished && part->call == call)
		naive_retry(part);
	naive_finish_query(query);
}

typedef struct naive_timeout {
	naive_part_t *part;
	unsigned attempts;
} naive_timeout_t;

static void naive_on_timeout(world_t *world, void *data)
{
	naive_timeout_t *timeout = data;
	naive_part_t *part = timeout->part;
	naive_query_t *query = part->query;

	(void)world;
	query->events_pending--;
	if (!part->finished && part->attempts == timeout->attempts)
		naive_retry(part);
	free(timeout);
	naive_finish_query(query);
}

static void naive_send(naive_part_t *part)
{
	run_t *run = part->query->run;
	world_t *world = &run->world;
	world_call_t *call = calloc(1, sizeof(*call));
	naive_timeout_t *timeout = calloc(1, sizeof(*timeout));
	uint64_t pick = medlar_rand_below(&world->rand, REPLICAS_PER_SHARD);

	if (!call || !timeout)
		abort();
	part->attempts++;
	part->call = call;
	part->query->events_pending += 2;
	call->owner = part;
	call->at = &world->replicas[(size_t)part->shard * REPLICAS_PER_SHARD +
				    pick];
	call->version = 7;
	timeout->part = part;
	timeout->attempts = part->attempts;
	world_at(world, world->now_us + NAIVE_TIMEOUT_MS * WORLD_MS,
		 naive_on_timeout, timeout);
	world_submit(world, call);
}

static void naive_start_query(run_t *run)
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

static void on_answer(world_t *world, medlar_query_t *query)
{
	run_t *run = world->data;
	const medlar_answer_t *answer = medlar_query_answer(query);
	int64_t started = (int64_t)(uintptr_t)medlar_query_data(query);
	int64_t took = world->now_us - started;

	if (!is_measured(run, started))
		return;
	run->coverage_sum += answer->coverage;
	run->complete += answer->outcome == MEDLAR_OUTCOME_COMPLETE;
	run->partial += answer->outcome == MEDLAR_OUTCOME_PARTIAL;
	run->failed += answer->outcome == MEDLAR_OUTCOME_FAILED;
	if (answer->outcome == MEDLAR_OUTCOME_NOT_RUN) {
		run->refused++;
		run->refused_late += took > REFUSE_WITHIN_MS * WORLD_MS;
	} else if (answer->coverage > 0) {
		add_sample(run, took);
	}
}

static void start_query(run_t *run)
{
	int64_t now = run->world.now_us;
	void *started = (void *)(uintptr_t)now; /* NOLINT(performance*) */

	if (world_ask(&run->world, ++run->last_fingerprint, DEADLINE_MS,
		      started) &&
	    is_measured(run, now))
		run->refused++;
}

static void on_arrival(world_t *world, void *data)
{
	run_t *run = data;
	double rate = run->scenario->load * CAPACITY_PER_S;
	double gap = world_exponential(world) / rate * (double)SECOND_US;

	if (world->now_us >= run->end_us)
		return;
	if (is_measured(run, world->now_us)) {
		run->queries++;
		run->parts += SHARDS;
	}
	if (run->naive)
		naive_start_query(run);
	else
		start_query(run);
	world_at(world, world->now_us + (int64_t)gap + 1, on_arrival, run);
}

static void begin_fault(world_t *world, void *data)
{
	const run_t *run = data;
	const scenario_t *scenario = run->scenario;
	size_t i;

	if (scenario->all_slow > 0)
		world->mean_us *= scenario->all_slow;
	for (i = 0; i < world->len; i++) {
		if (scenario->lose_replica && i % REPLICAS_PER_SHARD == 0)
			world->replicas[i].dead = true;
		if (scenario->lose_shard && world->replicas[i].shard == 3)
			world->replicas[i].dead = true;
	}
}

static void run_scenario(run_t *run, const scenario_t *scenario, bool naive,
			 const medlar_query_tuning_t *tuning, int length_s)
{
	medlar_policy_t policy;

	memset(run, 0, sizeof(*run));
	medlar_policy_default(&policy, "perfil-busca");
	policy.shards = SHARDS;
	policy.slots = SLOTS;
	policy.deadline = DEADLINE_MS;
	policy.target = TARGET_MS;
	policy.coverage_min = COVERAGE_MIN;
	policy.extra_load = EXTRA_LOAD;
	policy.priority = scenario->latency_first ? MEDLAR_LATENCY_FIRST
						  : MEDLAR_COVERAGE_FIRST;
	world_init(&run->world, &policy, REPLICAS_PER_SHARD, 1);
	if (tuning)
		medlar_service_set_tuning(&run->world.service, tuning);
	run->scenario = scenario;
	run->naive = naive;
	run->end_us = (1 + WARM_UP_S + length_s) * SECOND_US;
	run->samples = calloc(SAMPLES_MAX, sizeof(*run->samples));
	if (!run->samples)
		abort();
	run->world.data = run;
	run->world.decide = draw_service_time;
	run->world.answered = on_answer;
	run->world.ended = naive_on_call_end;
	if (scenario->straggler > 0)
		run->world.replicas[0].slow = scenario->straggler;
	world_at(&run->world, (1 + WARM_UP_S) * SECOND_US, begin_fault, run);
	world_at(&run->world, run->world.now_us, on_arrival, run);
	world_run(&run->world, INT64_MAX);
}

static void free_run(run_t *run)
{
	world_finish(&run->world);
	free(run->samples);
}

static int compare_samples(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

static double quantile(run_t *run, double q)
{
	if (run->samples_len == 0)
		return 0;
	qsort(run->samples, run->samples_len, sizeof(float), compare_samples);
	return (double)
		run->samples[(size_t)(q * (double)(run->samples_len - 1))];
}

static void print_row(const char *scenario, const char *metric,
		      const char *unit, double value, double baseline,
		      const char *bound)
{
	printf("{\"area\":\"reads\",\"case\":\"%s\",\"metric\":\"%s\","
	       "\"unit\":\"%s\",\"value\":%.4g,\"baseline\":%.4g,"
	       "\"bound\":%s}\n",
	       scenario, metric, unit, value, baseline, bound);
	fflush(stdout);
}

static double extra_load(const run_t *run)
{
	double needed = (double)run->parts;

	if (!run->naive)
		needed -= (double)run->refused * SHARDS;
	return needed > 0 ? (double)run->sends / needed - 1 : 0;
}

static double scenario_capacity(const scenario_t *scenario)
{
	return scenario->all_slow > 0 ? CAPACITY_PER_S / scenario->all_slow
				      : CAPACITY_PER_S;
}

static void report(const scenario_t *scenario, run_t *ours, run_t *naive,
		   int length_s)
{
	double possible_queries = scenario_capacity(scenario) * length_s;
	const char *name = scenario->name;

	print_row(name, "p50", "ms", quantile(ours, 0.5), quantile(naive, 0.5),
		  "null");
	print_row(name, "p99", "ms", quantile(ours, 0.99),
		  quantile(naive, 0.99), "null");
	print_row(name, "coverage_of_answers", "share",
		  ours->coverage_sum / (double)(ours->queries - ours->refused),
		  naive->coverage_sum / (double)naive->queries, "null");
	print_row(name, "complete", "share",
		  (double)ours->complete / (double)ours->queries,
		  (double)naive->complete / (double)naive->queries, "null");
	print_row(name, "extra_load", "share", extra_load(ours),
		  extra_load(naive), "null");
	if (scenario->load > 1 || scenario->all_slow > 0) {
		print_row(name, "goodput_of_capacity", "share",
			  (double)ours->complete / possible_queries,
			  (double)naive->complete / possible_queries, "0.9");
		print_row(name, "refused", "share",
			  (double)ours->refused / (double)ours->queries, 0,
			  "null");
		print_row(name, "refused_after_20_ms", "share",
			  (double)ours->refused_late / (double)ours->queries, 0,
			  "0");
	}
}

static const scenario_t scenarios[] = {
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

#define SCENARIOS (sizeof(scenarios) / sizeof(scenarios[0]))

/* Mechanisms of the core that are on: all, or all but one. */
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

static void run_ablations(const scenario_t *scenario, int length_s)
{
	char name[64];
	size_t i;

	for (i = 0; i < ABLATIONS; i++) {
		run_t run;

		run_scenario(&run, scenario, false, &ablations[i].tuning,
			     length_s);
		snprintf(name, sizeof(name), "%s/%s", scenario->name,
			 ablations[i].name);
		print_row(name, "p99", "ms", quantile(&run, 0.99), 0, "null");
		print_row(name, "complete", "share",
			  (double)run.complete / (double)run.queries, 0,
			  "null");
		print_row(name, "extra_load", "share", extra_load(&run), 0,
			  "null");
		free_run(&run);
	}
}

/* Compares a scenario with the undisturbed one. */
static void report_against_undisturbed(const scenario_t *scenario, run_t *ours,
				       run_t *naive,
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
		if (strcmp(bounds[i].name, scenario->name) != 0)
			continue;
		print_row(scenario->name, "p99_to_undisturbed", "ratio",
			  quantile(ours, 0.99) / undisturbed[0],
			  quantile(naive, 0.99) / undisturbed[1],
			  bounds[i].p99);
		print_row(scenario->name, "extra_load_bounded", "share",
			  extra_load(ours), extra_load(naive), bounds[i].load);
	}
}

int main(int argc, char **argv)
{
	bool quick = argc > 1 && strcmp(argv[1], "--quick") == 0;
	const char *name_filter = argc > 1 + quick ? argv[1 + quick] : NULL;
	int length_s = quick ? QUICK_LENGTH_S : LENGTH_S;
	double undisturbed[2] = { 1, 1 };
	size_t i;

	for (i = 0; i < SCENARIOS; i++) {
		run_t ours;
		run_t naive;

		if (name_filter && i > 0 &&
		    !strstr(scenarios[i].name, name_filter))
			continue;
		run_scenario(&ours, &scenarios[i], false, NULL, length_s);
		run_scenario(&naive, &scenarios[i], true, NULL, length_s);
		if (i == 0) {
			undisturbed[0] = quantile(&ours, 0.99);
			undisturbed[1] = quantile(&naive, 0.99);
		}
		report(&scenarios[i], &ours, &naive, length_s);
		report_against_undisturbed(&scenarios[i], &ours, &naive,
					   undisturbed);
		free_run(&ours);
		free_run(&naive);
	}
	for (i = 0; !name_filter && i < 5; i++)
		run_ablations(&scenarios[i], QUICK_LENGTH_S);
	return 0;
}
