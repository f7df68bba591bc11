/* Admission control: refusals are immediate, and no caller starves another. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 5
#define DEADLINE ((medlar_time_t)400)
#define CALLERS 2
#define HEAVY_CALLER 0
#define LIGHT_CALLER 1

typedef struct caller_stats {
	unsigned asked;
	unsigned complete;
	unsigned refused;
	medlar_time_t longest_refusal;
	uint32_t sends_of_refused;
} caller_stats_t;

static caller_stats_t callers_stats[CALLERS];

static void record_answer(world_t *world, medlar_query_t *query)
{
	const medlar_answer_t *answer = medlar_query_answer(query);
	caller_stats_t *caller_stats =
		&callers_stats[medlar_query_params(query)->caller];
	medlar_time_t took = world_now(world) - answer->started;

	caller_stats->complete += answer->outcome == MEDLAR_OUTCOME_COMPLETE;
	if (answer->outcome != MEDLAR_OUTCOME_NOT_RUN)
		return;
	caller_stats->refused++;
	caller_stats->sends_of_refused += answer->sends;
	if (took > caller_stats->longest_refusal)
		caller_stats->longest_refusal = took;
}

static void start_query(world_t *world, uint64_t caller)
{
	medlar_query_params_t params = {
		.caller = caller,
		.fingerprint = 1 + caller,
		.deadline = world_now(world) + DEADLINE,
	};
	medlar_query_t *query;

	callers_stats[caller].asked++;
	if (medlar_query_start(&world->client, &world->service, &params, NULL,
			       world_now(world), &query) != MEDLAR_OK)
		callers_stats[caller].refused++;
}

/* Percentages are of one query per ms; capacity is 300 queries per second. */
static void run_load(unsigned heavy_percent, unsigned light_percent)
{
	medlar_policy_t policy;
	world_t world;
	int ms;

	memset(callers_stats, 0, sizeof(callers_stats));
	medlar_policy_default(&policy, "obra-ficha");
	policy.shards = SHARDS;
	policy.slots = 3;
	policy.deadline = DEADLINE;
	world_init(&world, &policy, 1, 1);
	world.answered = record_answer;
	for (ms = 0; ms < 4000; ms++) {
		if (medlar_rand_below(&world.rand, 100) < heavy_percent)
			start_query(&world, HEAVY_CALLER);
		if (medlar_rand_below(&world.rand, 100) < light_percent)
			start_query(&world, LIGHT_CALLER);
		world_run(&world, world.now_us + WORLD_MS);
	}
	world_run(&world, INT64_MAX);
	assert_int_equal(world.live, 0);
	world_finish(&world);
}

static void refusals_are_immediate_and_send_nothing(void **state)
{
	(void)state;
	run_load(60, 0);
	assert_true(callers_stats[HEAVY_CALLER].refused > 0);
	assert_int_equal(callers_stats[HEAVY_CALLER].sends_of_refused, 0);
	assert_in_range(callers_stats[HEAVY_CALLER].longest_refusal, 0, 60);
	assert_true(callers_stats[HEAVY_CALLER].complete * 10 >= 1200 * 9);
}

static void nothing_is_refused_below_capacity(void **state)
{
	(void)state;
	run_load(15, 0);
	assert_int_equal(callers_stats[HEAVY_CALLER].refused, 0);
	assert_int_equal(callers_stats[HEAVY_CALLER].complete,
			 callers_stats[HEAVY_CALLER].asked);
}

static void heavy_caller_does_not_starve_another(void **state)
{
	(void)state;
	run_load(90, 5);
	assert_true(callers_stats[HEAVY_CALLER].refused * 2 >
		    callers_stats[HEAVY_CALLER].asked);
	assert_true(callers_stats[LIGHT_CALLER].complete * 10 >=
		    callers_stats[LIGHT_CALLER].asked * 9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(refusals_are_immediate_and_send_nothing),
		cmocka_unit_test(nothing_is_refused_below_capacity),
		cmocka_unit_test(heavy_caller_does_not_starve_another),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
