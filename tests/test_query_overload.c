/* Admission: refusals come at once, and no caller crowds out the rest. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 5
#define DEADLINE ((medlar_time_t)400)
#define CALLERS 2
#define GREEDY 0
#define MODEST 1

typedef struct tally {
	unsigned asked;
	unsigned complete;
	unsigned refused;
	medlar_time_t longest_refusal;
	uint32_t sends_of_refused;
} tally_t;

static tally_t tallies[CALLERS];

static void look(world_t *world, medlar_query_t *query)
{
	const medlar_answer_t *answer = medlar_query_answer(query);
	tally_t *tally = &tallies[medlar_query_params(query)->caller];
	medlar_time_t took = world_now(world) - answer->started;

	tally->complete += answer->outcome == MEDLAR_OUTCOME_COMPLETE;
	if (answer->outcome != MEDLAR_OUTCOME_NOT_RUN)
		return;
	tally->refused++;
	tally->sends_of_refused += answer->sends;
	if (took > tally->longest_refusal)
		tally->longest_refusal = took;
}

static void ask(world_t *world, uint64_t caller)
{
	medlar_query_params_t params = {
		.caller = caller,
		.fingerprint = 1 + caller,
		.deadline = world_now(world) + DEADLINE,
	};
	medlar_query_t *query;

	tallies[caller].asked++;
	if (medlar_query_start(&world->client, &world->service, &params, NULL,
			       world_now(world), &query) != MEDLAR_OK)
		tallies[caller].refused++;
}

/* Capacity is 300 queries a second; so many a millisecond are asked. */
static void run(unsigned greedy_percent, unsigned modest_percent)
{
	medlar_policy_t policy;
	world_t world;
	int ms;

	memset(tallies, 0, sizeof(tallies));
	medlar_policy_default(&policy, "obra-ficha");
	policy.shards = SHARDS;
	policy.slots = 3;
	policy.deadline = DEADLINE;
	world_init(&world, &policy, 1, 1);
	world.answered = look;
	for (ms = 0; ms < 4000; ms++) {
		if (medlar_rand_below(&world.rand, 100) < greedy_percent)
			ask(&world, GREEDY);
		if (medlar_rand_below(&world.rand, 100) < modest_percent)
			ask(&world, MODEST);
		world_run(&world, world.now_us + WORLD_MS);
	}
	world_run(&world, INT64_MAX);
	assert_int_equal(world.live, 0);
	world_finish(&world);
}

static void what_is_refused_is_refused_at_once_and_not_run(void **state)
{
	(void)state;
	run(60, 0);
	assert_true(tallies[GREEDY].refused > 0);
	assert_int_equal(tallies[GREEDY].sends_of_refused, 0);
	assert_in_range(tallies[GREEDY].longest_refusal, 0, 60);
	assert_true(tallies[GREEDY].complete * 10 >= 1200 * 9);
}

static void nothing_is_refused_below_capacity(void **state)
{
	(void)state;
	run(15, 0);
	assert_int_equal(tallies[GREEDY].refused, 0);
	assert_int_equal(tallies[GREEDY].complete, tallies[GREEDY].asked);
}

static void a_greedy_caller_does_not_crowd_out_another(void **state)
{
	(void)state;
	run(90, 5);
	assert_true(tallies[GREEDY].refused * 2 > tallies[GREEDY].asked);
	assert_true(tallies[MODEST].complete * 10 >= tallies[MODEST].asked * 9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			what_is_refused_is_refused_at_once_and_not_run),
		cmocka_unit_test(nothing_is_refused_below_capacity),
		cmocka_unit_test(a_greedy_caller_does_not_crowd_out_another),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
