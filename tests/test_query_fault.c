/* Faults of upstreams: late, shed, crossed, moved, and versions that vanish. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 4
#define REPLICAS 3
#define DEADLINE ((medlar_time_t)400)

static medlar_answer_t last;
static unsigned answers;
static world_fate_t fate;
static unsigned fates_left;
static int64_t fate_us;
static uint32_t last_moved_to;

static void look(world_t *world, medlar_query_t *query)
{
	(void)world;
	last = *medlar_query_answer(query);
	answers++;
}

/* The first calls for shard 0's keys meet their fate; others are answered. */
static void decide(world_t *world, world_call_t *call)
{
	call->took_us = 10 * WORLD_MS;
	call->fate = WORLD_ANSWER;
	if (call->range.lo != 0 || fates_left == 0)
		return;
	fates_left--;
	if (fates_left == 0)
		world->moved_to = last_moved_to;
	call->fate = fate;
	call->took_us = fate_us;
}

static void begin_with(world_t *world, world_fate_t with, unsigned times,
		       double extra_load)
{
	medlar_policy_t policy;
	int i;

	medlar_policy_default(&policy, "cotiza");
	policy.shards = SHARDS;
	policy.slots = 2;
	policy.deadline = DEADLINE;
	policy.extra_load = extra_load;
	answers = 0;
	fates_left = 0;
	world_init(world, &policy, REPLICAS, 1);
	world->decide = decide;
	world->answered = look;
	for (i = 0; i < 40; i++) {
		world_ask(world, 100 + (uint64_t)i, DEADLINE, NULL);
		world_run(world, world->now_us + 30 * WORLD_MS);
	}
	answers = 0;
	fate = with;
	fates_left = times;
	fate_us = 10 * WORLD_MS;
}

static const medlar_query_stats_t *stats(const world_t *world)
{
	return medlar_service_stats(&world->service);
}

static void finish(world_t *world)
{
	size_t i;

	world_run(world, INT64_MAX);
	assert_int_equal(world->live, 0);
	for (i = 0; i < world->len; i++)
		assert_int_equal(
			medlar_replica_in_flight(world->replicas[i].handle), 0);
	world_finish(world);
}

static void ask_once(world_t *world)
{
	assert_int_equal(world_ask(world, 1, DEADLINE, NULL), MEDLAR_OK);
	world_run(world, world->now_us + DEADLINE * WORLD_MS);
	assert_int_equal(answers, 1);
}

static void a_late_part_is_hedged(void **state)
{
	world_t world;

	(void)state;
	begin_with(&world, WORLD_ANSWER, 1, 0.2);
	fate_us = 1000 * WORLD_MS;
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(stats(&world)->sends[MEDLAR_ATTEMPT_HEDGE], 1);
	finish(&world);
}

static void hedges_stay_within_the_budget_when_all_is_slow(void **state)
{
	const medlar_query_stats_t *now;
	uint64_t extra;
	world_t world;
	int i;

	(void)state;
	begin_with(&world, WORLD_ANSWER, UINT32_MAX, 0.1);
	fate_us = 100 * WORLD_MS;
	for (i = 0; i < 200; i++) {
		world_ask(&world, 1000 + (uint64_t)i, DEADLINE, NULL);
		world_run(&world, world.now_us + 50 * WORLD_MS);
	}
	now = stats(&world);
	extra = now->sends[MEDLAR_ATTEMPT_HEDGE] +
		now->sends[MEDLAR_ATTEMPT_RETRY];
	assert_true((double)extra <=
		    0.1 * (double)now->sends[MEDLAR_ATTEMPT_FIRST]);
	assert_true(extra > 0);
	finish(&world);
}

static void a_shed_is_retried_elsewhere(void **state)
{
	world_t world;

	(void)state;
	begin_with(&world, WORLD_SHED, 1, 0.2);
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(stats(&world)->sends[MEDLAR_ATTEMPT_RETRY], 1);
	finish(&world);
}

static void nothing_is_retried_without_budget(void **state)
{
	world_t world;

	(void)state;
	begin_with(&world, WORLD_SHED, 1, 0);
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(stats(&world)->sends[MEDLAR_ATTEMPT_RETRY], 0);
	finish(&world);
}

static void a_crossed_reply_is_dropped_and_retried(void **state)
{
	const world_fate_t wrong[] = { WORLD_BAD_ID, WORLD_BAD_VERSION,
				       WORLD_BAD_RANGE };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		world_t world;

		begin_with(&world, wrong[i], 1, 0.2);
		ask_once(&world);
		assert_int_equal(last.outcome, MEDLAR_OUTCOME_COMPLETE);
		assert_int_equal(stats(&world)->dropped, 1);
		finish(&world);
	}
}

static void a_wrong_reply_closes_its_connection(void **state)
{
	medlar_query_params_t params = { .deadline = 100000, .fingerprint = 1 };
	medlar_reply_t reply = { .status = MEDLAR_REPLY_OK };
	medlar_attempt_t *attempt;
	medlar_query_t *query;
	world_t world;

	(void)state;
	begin_with(&world, WORLD_ANSWER, 0, 0);
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

static void a_redirect_is_followed_once(void **state)
{
	world_t world;

	(void)state;
	begin_with(&world, WORLD_MOVED, 1, 0.2);
	last_moved_to = 2;
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(stats(&world)->sends[MEDLAR_ATTEMPT_REDIRECT], 1);
	finish(&world);
}

static void a_second_redirect_leaves_a_stated_hole(void **state)
{
	world_t world;

	(void)state;
	begin_with(&world, WORLD_MOVED, 2, 0.2);
	world.moved_to = 2;
	last_moved_to = 3;
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_true(last.coverage == 1 - 1.0 / SHARDS);
	finish(&world);
}

/* From now on the replicas of a shard serve another version. */
static void republish(world_t *world, uint32_t shard, uint32_t version,
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

static void a_version_that_vanishes_restarts_the_query(void **state)
{
	world_t world;
	uint32_t shard;

	(void)state;
	begin_with(&world, WORLD_ANSWER, 0, 0.2);
	for (shard = 1; shard < SHARDS; shard++) {
		size_t i;

		for (i = 0; i < world.len; i++)
			if (world.replicas[i].shard == shard)
				world.replicas[i].info.versions[1] = 8;
	}
	for (size_t i = 0; i < world.len; i++)
		world_put(&world, &world.replicas[i]);
	republish(&world, 0, 8, false);
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_COMPLETE);
	assert_int_equal(last.version, 8);
	assert_int_equal(stats(&world)->restarts, 1);
	finish(&world);
}

static void a_hole_is_stated_when_no_version_covers_more(void **state)
{
	world_t world;

	(void)state;
	begin_with(&world, WORLD_ANSWER, 0, 0.2);
	republish(&world, 0, 8, false);
	ask_once(&world);
	assert_int_equal(last.outcome, MEDLAR_OUTCOME_PARTIAL);
	assert_int_equal(last.version, 7);
	assert_true(last.coverage == 1 - 1.0 / SHARDS);
	finish(&world);
}

static void an_older_version_than_the_caller_saw_is_refused(void **state)
{
	medlar_query_params_t params = {
		.deadline = 100000,
		.fingerprint = 1,
		.at_least = 8,
	};
	medlar_query_t *query;
	world_t world;

	(void)state;
	begin_with(&world, WORLD_ANSWER, 0, 0.2);
	assert_int_equal(medlar_query_start(&world.client, &world.service,
					    &params, NULL, world_now(&world),
					    &query),
			 MEDLAR_ERR_NO_VERSION);
	finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_late_part_is_hedged),
		cmocka_unit_test(
			hedges_stay_within_the_budget_when_all_is_slow),
		cmocka_unit_test(a_shed_is_retried_elsewhere),
		cmocka_unit_test(nothing_is_retried_without_budget),
		cmocka_unit_test(a_crossed_reply_is_dropped_and_retried),
		cmocka_unit_test(a_wrong_reply_closes_its_connection),
		cmocka_unit_test(a_redirect_is_followed_once),
		cmocka_unit_test(a_second_redirect_leaves_a_stated_hole),
		cmocka_unit_test(a_version_that_vanishes_restarts_the_query),
		cmocka_unit_test(a_hole_is_stated_when_no_version_covers_more),
		cmocka_unit_test(
			an_older_version_than_the_caller_saw_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
