/* A query fans out, collects, and is answered once, by its deadline. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 10
#define REPLICAS 3

typedef struct seen {
	medlar_answer_t answer;
	uint64_t covered;
	uint64_t missing;
	size_t parts;
	medlar_time_t took;
	unsigned count;
} seen_t;

static void look(world_t *world, medlar_query_t *query)
{
	seen_t *seen = medlar_query_data(query);

	seen->answer = *medlar_query_answer(query);
	seen->covered = medlar_ranges_width(seen->answer.covered);
	seen->missing = medlar_ranges_width(seen->answer.missing);
	seen->parts = medlar_query_parts(query);
	seen->took = world_now(world) - seen->answer.started;
	seen->count++;
}

static medlar_policy_t policy_of(medlar_priority_t priority)
{
	medlar_policy_t policy;

	medlar_policy_default(&policy, "reader-portal");
	policy.shards = SHARDS;
	policy.priority = priority;
	policy.slots = 2;
	policy.deadline = 500;
	policy.target = 100;
	policy.coverage_min = 0.5;
	return policy;
}

static void begin(world_t *world, medlar_priority_t priority)
{
	medlar_policy_t policy = policy_of(priority);

	world_init(world, &policy, REPLICAS, 1);
	world->answered = look;
}

static void kill_shard(world_t *world, uint32_t shard)
{
	size_t i;

	for (i = 0; i < world->len; i++)
		if (world->replicas[i].shard == shard)
			world->replicas[i].dead = true;
}

static void answers_completely(void **state)
{
	seen_t seen = { 0 };
	world_t world;

	(void)state;
	begin(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(world_ask(&world, 1, 500, &seen), MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(seen.count, 1);
	assert_int_equal(seen.answer.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(seen.answer.error, MEDLAR_OK);
	assert_int_equal(seen.answer.version, 7);
	assert_int_equal(seen.covered, MEDLAR_KEY_END);
	assert_int_equal(seen.missing, 0);
	assert_int_equal(seen.parts, SHARDS);
	assert_int_equal(world.live, 0);
	world_finish(&world);
}

static void states_the_range_of_a_lost_shard(void **state)
{
	seen_t seen = { 0 };
	world_t world;

	(void)state;
	begin(&world, MEDLAR_COVERAGE_FIRST);
	kill_shard(&world, 3);
	assert_int_equal(world_ask(&world, 1, 500, &seen), MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(seen.count, 1);
	assert_int_equal(seen.answer.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(seen.parts, SHARDS - 1);
	assert_int_equal(seen.missing, MEDLAR_KEY_END * 4 / SHARDS -
					       MEDLAR_KEY_END * 3 / SHARDS);
	assert_int_equal(seen.covered + seen.missing, MEDLAR_KEY_END);
	assert_in_range(seen.took, 400, 500);
	world_finish(&world);
}

static void latency_first_answers_at_the_target(void **state)
{
	seen_t seen = { 0 };
	world_t world;

	(void)state;
	begin(&world, MEDLAR_LATENCY_FIRST);
	kill_shard(&world, 3);
	assert_int_equal(world_ask(&world, 1, 500, &seen), MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(seen.answer.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(seen.took, 100);
	world_finish(&world);
}

static void refuses_what_cannot_be_finished(void **state)
{
	seen_t seen = { 0 };
	world_t world;

	(void)state;
	begin(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(world_ask(&world, 1, 2, &seen), MEDLAR_ERR_DEADLINE);
	assert_int_equal(world.live, 0);
	assert_int_equal(seen.count, 0);
	world_finish(&world);
}

static void a_cancelled_query_releases_its_slots(void **state)
{
	medlar_query_params_t params = { .deadline = 1500, .fingerprint = 1 };
	medlar_query_t *query;
	world_t world;
	size_t i;

	(void)state;
	begin(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(medlar_query_start(&world.client, &world.service,
					    &params, NULL, world_now(&world),
					    &query),
			 MEDLAR_OK);
	medlar_query_cancel(&world.client, query, world_now(&world));
	assert_int_equal(medlar_query_answer(query)->outcome,
			 MEDLAR_OUTCOME_CANCELLED);
	medlar_query_finish(&world.client, query);
	world_run(&world, INT64_MAX);
	for (i = 0; i < world.len; i++)
		assert_int_equal(
			medlar_replica_in_flight(world.replicas[i].handle), 0);
	assert_int_equal(world.answers[MEDLAR_OUTCOME_CANCELLED], 0);
	world_finish(&world);
}

static void a_lookup_asks_only_the_shards_of_its_keys(void **state)
{
	const uint64_t keys[] = { 5, 6, MEDLAR_KEY_END - 1 };
	seen_t seen = { 0 };
	medlar_query_params_t params = {
		.kind = MEDLAR_KIND_LOOKUP,
		.deadline = 1500,
		.fingerprint = 1,
		.keys = keys,
		.keys_len = 3,
	};
	medlar_query_t *query;
	world_t world;

	(void)state;
	begin(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(medlar_query_start(&world.client, &world.service,
					    &params, &seen, world_now(&world),
					    &query),
			 MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(seen.answer.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(seen.parts, 2);
	assert_true(seen.answer.coverage == 1.0);
	world_finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_completely),
		cmocka_unit_test(states_the_range_of_a_lost_shard),
		cmocka_unit_test(latency_first_answers_at_the_target),
		cmocka_unit_test(refuses_what_cannot_be_finished),
		cmocka_unit_test(a_cancelled_query_releases_its_slots),
		cmocka_unit_test(a_lookup_asks_only_the_shards_of_its_keys),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
