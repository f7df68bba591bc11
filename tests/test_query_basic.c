/* A query is sent to all shards and answered exactly once, by its deadline. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 10
#define REPLICAS 3

typedef struct recorded_answer {
	medlar_answer_t answer;
	uint64_t covered;
	uint64_t missing;
	size_t parts;
	medlar_time_t took;
	unsigned count;
} recorded_answer_t;

static void record_answer(world_t *world, medlar_query_t *query)
{
	recorded_answer_t *recorded_answer = medlar_query_data(query);

	recorded_answer->answer = *medlar_query_answer(query);
	recorded_answer->covered = medlar_ranges_width(
		recorded_answer->answer.covered);
	recorded_answer->missing = medlar_ranges_width(
		recorded_answer->answer.missing);
	recorded_answer->parts = medlar_query_parts_count(query);
	recorded_answer->took = world_now(world) -
				recorded_answer->answer.started;
	recorded_answer->count++;
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

static void set_up_world(world_t *world, medlar_priority_t priority)
{
	medlar_policy_t policy = policy_of(priority);

	world_init(world, &policy, REPLICAS, 1);
	world->answered = record_answer;
}

static void kill_shard(world_t *world, uint32_t shard)
{
	size_t i;

	for (i = 0; i < world->len; i++)
		if (world->replicas[i].shard == shard)
			world->replicas[i].dead = true;
}

static void all_shards_give_a_complete_answer(void **state)
{
	recorded_answer_t recorded_answer = { 0 };
	world_t world;

	(void)state;
	set_up_world(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(world_ask(&world, 1, 500, &recorded_answer),
			 MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(recorded_answer.count, 1);
	assert_int_equal(recorded_answer.answer.outcome,
			 MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(recorded_answer.answer.error, MEDLAR_OK);
	assert_int_equal(recorded_answer.answer.version, 7);
	assert_int_equal(recorded_answer.covered, MEDLAR_KEY_END);
	assert_int_equal(recorded_answer.missing, 0);
	assert_int_equal(recorded_answer.parts, SHARDS);
	assert_int_equal(world.live, 0);
	world_finish(&world);
}

static void lost_shard_is_reported_as_missing(void **state)
{
	recorded_answer_t recorded_answer = { 0 };
	world_t world;

	(void)state;
	set_up_world(&world, MEDLAR_COVERAGE_FIRST);
	kill_shard(&world, 3);
	assert_int_equal(world_ask(&world, 1, 500, &recorded_answer),
			 MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(recorded_answer.count, 1);
	assert_int_equal(recorded_answer.answer.outcome,
			 MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(recorded_answer.parts, SHARDS - 1);
	assert_int_equal(recorded_answer.missing,
			 MEDLAR_KEY_END * 4 / SHARDS -
				 MEDLAR_KEY_END * 3 / SHARDS);
	assert_int_equal(recorded_answer.covered + recorded_answer.missing,
			 MEDLAR_KEY_END);
	assert_in_range(recorded_answer.took, 400, 500);
	world_finish(&world);
}

static void latency_first_query_answers_at_the_target(void **state)
{
	recorded_answer_t recorded_answer = { 0 };
	world_t world;

	(void)state;
	set_up_world(&world, MEDLAR_LATENCY_FIRST);
	kill_shard(&world, 3);
	assert_int_equal(world_ask(&world, 1, 500, &recorded_answer),
			 MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(recorded_answer.answer.outcome,
			 MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(recorded_answer.took, 100);
	world_finish(&world);
}

static void query_without_time_to_finish_is_refused(void **state)
{
	recorded_answer_t recorded_answer = { 0 };
	world_t world;

	(void)state;
	set_up_world(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(world_ask(&world, 1, 2, &recorded_answer),
			 MEDLAR_ERR_DEADLINE);
	assert_int_equal(world.live, 0);
	assert_int_equal(recorded_answer.count, 0);
	world_finish(&world);
}

static void cancelled_query_releases_its_slots(void **state)
{
	medlar_query_params_t params = { .deadline = 1500, .fingerprint = 1 };
	medlar_query_t *query;
	world_t world;
	size_t i;

	(void)state;
	set_up_world(&world, MEDLAR_COVERAGE_FIRST);
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

static void lookup_is_sent_only_to_the_shards_of_its_keys(void **state)
{
	const uint64_t keys[] = { 5, 6, MEDLAR_KEY_END - 1 };
	recorded_answer_t recorded_answer = { 0 };
	medlar_query_params_t params = {
		.kind = MEDLAR_REQUEST_LOOKUP,
		.deadline = 1500,
		.fingerprint = 1,
		.keys = keys,
		.keys_len = 3,
	};
	medlar_query_t *query;
	world_t world;

	(void)state;
	set_up_world(&world, MEDLAR_COVERAGE_FIRST);
	assert_int_equal(medlar_query_start(&world.client, &world.service,
					    &params, &recorded_answer,
					    world_now(&world), &query),
			 MEDLAR_OK);
	world_run(&world, INT64_MAX);
	assert_int_equal(recorded_answer.answer.outcome,
			 MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(recorded_answer.parts, 2);
	assert_true(recorded_answer.answer.coverage == 1.0);
	world_finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_shards_give_a_complete_answer),
		cmocka_unit_test(lost_shard_is_reported_as_missing),
		cmocka_unit_test(latency_first_query_answers_at_the_target),
		cmocka_unit_test(query_without_time_to_finish_is_refused),
		cmocka_unit_test(cancelled_query_releases_its_slots),
		cmocka_unit_test(lookup_is_sent_only_to_the_shards_of_its_keys),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
