/* Late, shed, mismatched and redirected replies, and versions that are lost. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 4
#define REPLICAS 3
#define DEADLINE ((medlar_time_t)400)

static medlar_answer_t last_answer;
static unsigned answers_count;
static world_behaviour_t behaviour;
static unsigned behaviours_left;
static int64_t behaviour_us;
static uint32_t last_moved_to;

static void record_answer(world_t *world, medlar_query_t *query)
{
	(void)world;
	last_answer = *medlar_query_answer(query);
	answers_count++;
}

/* The first behaviours_left calls for the first range get the set behaviour. */
static void decide_behaviour(world_t *world, world_call_t *call)
{
	call->took_us = 10 * WORLD_MS;
	call->behaviour = WORLD_ANSWER;
	if (call->range.lo != 0 || behaviours_left == 0)
		return;
	behaviours_left--;
	if (behaviours_left == 0)
		world->moved_to = last_moved_to;
	call->behaviour = behaviour;
	call->took_us = behaviour_us;
}

static void set_up_world(world_t *world, world_behaviour_t with, unsigned times,
			 double extra_load)
{
	medlar_policy_t policy;
	int i;

	medlar_policy_default(&policy, "cotiza");
	policy.shards = SHARDS;
	policy.slots = 2;
	policy.deadline = DEADLINE;
	policy.extra_load = extra_load;
	answers_count = 0;
	behaviours_left = 0;
	world_init(world, &policy, REPLICAS, 1);
	world->decide = decide_behaviour;
	world->answered = record_answer;
	for (i = 0; i < 40; i++) {
		world_ask(world, 100 + (uint64_t)i, DEADLINE, NULL);
		world_run(world, world->now_us + 30 * WORLD_MS);
	}
	answers_count = 0;
	behaviour = with;
	behaviours_left = times;
	behaviour_us = 10 * WORLD_MS;
}

static const medlar_query_stats_t *query_stats(const world_t *world)
{
	return medlar_service_stats(&world->service);
}

static void finish_and_check_slots(world_t *world)
{
	size_t i;

	world_run(world, INT64_MAX);
	assert_int_equal(world->live, 0);
	for (i = 0; i < world->len; i++)
		assert_int_equal(
			medlar_replica_in_flight(world->replicas[i].handle), 0);
	world_finish(world);
}

static void run_one_query(world_t *world)
{
	assert_int_equal(world_ask(world, 1, DEADLINE, NULL), MEDLAR_OK);
	world_run(world, world->now_us + DEADLINE * WORLD_MS);
	assert_int_equal(answers_count, 1);
}

static void late_part_is_hedged(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_ANSWER, 1, 0.2);
	behaviour_us = 1000 * WORLD_MS;
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(query_stats(&world)->sends[MEDLAR_ATTEMPT_HEDGE], 1);
	finish_and_check_slots(&world);
}

static void hedges_stay_within_the_budget_when_all_are_slow(void **state)
{
	const medlar_query_stats_t *now;
	uint64_t extra;
	world_t world;
	int i;

	(void)state;
	set_up_world(&world, WORLD_ANSWER, UINT32_MAX, 0.1);
	behaviour_us = 100 * WORLD_MS;
	for (i = 0; i < 200; i++) {
		world_ask(&world, 1000 + (uint64_t)i, DEADLINE, NULL);
		world_run(&world, world.now_us + 50 * WORLD_MS);
	}
	now = query_stats(&world);
	extra = now->sends[MEDLAR_ATTEMPT_HEDGE] +
		now->sends[MEDLAR_ATTEMPT_RETRY];
	assert_true((double)extra <=
		    0.1 * (double)now->sends[MEDLAR_ATTEMPT_FIRST]);
	assert_true(extra > 0);
	finish_and_check_slots(&world);
}

static void shed_request_is_retried_at_another_replica(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_SHED, 1, 0.2);
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(query_stats(&world)->sends[MEDLAR_ATTEMPT_RETRY], 1);
	finish_and_check_slots(&world);
}

static void nothing_is_retried_without_budget(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_SHED, 1, 0);
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(query_stats(&world)->sends[MEDLAR_ATTEMPT_RETRY], 0);
	finish_and_check_slots(&world);
}

static void mismatched_reply_is_dropped_and_retried(void **state)
{
	const world_behaviour_t wrong[] = { WORLD_BAD_ID, WORLD_BAD_VERSION,
					    WORLD_BAD_RANGE };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		world_t world;

		set_up_world(&world, wrong[i], 1, 0.2);
		run_one_query(&world);
		assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_COMPLETE);
		assert_int_equal(query_stats(&world)->dropped, 1);
		finish_and_check_slots(&world);
	}
}

static void mismatched_reply_closes_its_connection(void **state)
{
	medlar_query_params_t params = { .deadline = 100000, .fingerprint = 1 };
	medlar_reply_t reply = { .status = MEDLAR_REPLY_OK };
	medlar_attempt_t *attempt;
	medlar_query_t *query;
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_ANSWER, 0, 0);
	assert_int_equal(medlar_query_start(&world.client, &world.service,
					    &params, NULL, world_now(&world),
					    &query),
			 MEDLAR_OK);
	attempt = NULL;
	for (size_t i = 0; i < world.len && !attempt; i++)
		if (world.replicas[i].calls)
			attempt = world.replicas[i].calls->attempt;
	assert_non_null(attempt);
	assert_int_equal(medlar_attempt_reply(&world.client, attempt, &reply,
					      world_now(&world)),
			 MEDLAR_ERR_PROTOCOL);
	assert_int_equal(medlar_attempt_reply(&world.client, attempt, &reply,
					      world_now(&world)),
			 MEDLAR_ERR_STALE);
	world_finish(&world);
}

static void redirect_is_followed_once(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_MOVED, 1, 0.2);
	last_moved_to = 2;
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(query_stats(&world)->sends[MEDLAR_ATTEMPT_REDIRECT],
			 1);
	finish_and_check_slots(&world);
}

static void range_is_missing_after_a_second_redirect(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_MOVED, 2, 0.2);
	world.moved_to = 2;
	last_moved_to = 3;
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_true(last_answer.coverage == 1 - 1.0 / SHARDS);
	finish_and_check_slots(&world);
}

/* Replaces the version that the replicas of a shard serve. */
static void replace_version(world_t *world, uint32_t shard, uint32_t version,
			    bool listed)
{
	size_t i;

	for (i = 0; i < world->len; i++) {
		world_replica_t *replica = &world->replicas[i];

		if (replica->shard != shard)
			continue;
		if (listed) {
			replica->info.versions[1] = version;
			world_put(world, replica);
		}
		replica->info.versions[0] = version;
		replica->info.versions[1] = 0;
	}
}

static void lost_version_restarts_the_query(void **state)
{
	world_t world;
	uint32_t shard;

	(void)state;
	set_up_world(&world, WORLD_ANSWER, 0, 0.2);
	for (shard = 1; shard < SHARDS; shard++) {
		size_t i;

		for (i = 0; i < world.len; i++)
			if (world.replicas[i].shard == shard)
				world.replicas[i].info.versions[1] = 8;
	}
	for (size_t i = 0; i < world.len; i++)
		world_put(&world, &world.replicas[i]);
	replace_version(&world, 0, 8, false);
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(last_answer.version, 8);
	assert_int_equal(query_stats(&world)->restarts, 1);
	finish_and_check_slots(&world);
}

static void range_is_missing_when_no_version_covers_more(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_ANSWER, 0, 0.2);
	replace_version(&world, 0, 8, false);
	run_one_query(&world);
	assert_int_equal(last_answer.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(last_answer.version, 7);
	assert_true(last_answer.coverage == 1 - 1.0 / SHARDS);
	finish_and_check_slots(&world);
}

static void version_older_than_the_caller_accepts_is_refused(void **state)
{
	medlar_query_params_t params = {
		.deadline = 100000,
		.fingerprint = 1,
		.at_least = 8,
	};
	medlar_query_t *query;
	world_t world;

	(void)state;
	set_up_world(&world, WORLD_ANSWER, 0, 0.2);
	assert_int_equal(medlar_query_start(&world.client, &world.service,
					    &params, NULL, world_now(&world),
					    &query),
			 MEDLAR_ERR_NO_VERSION);
	finish_and_check_slots(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(late_part_is_hedged),
		cmocka_unit_test(
			hedges_stay_within_the_budget_when_all_are_slow),
		cmocka_unit_test(shed_request_is_retried_at_another_replica),
		cmocka_unit_test(nothing_is_retried_without_budget),
		cmocka_unit_test(mismatched_reply_is_dropped_and_retried),
		cmocka_unit_test(mismatched_reply_closes_its_connection),
		cmocka_unit_test(redirect_is_followed_once),
		cmocka_unit_test(range_is_missing_after_a_second_redirect),
		cmocka_unit_test(lost_version_restarts_the_query),
		cmocka_unit_test(range_is_missing_when_no_version_covers_more),
		cmocka_unit_test(
			version_older_than_the_caller_accepts_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
