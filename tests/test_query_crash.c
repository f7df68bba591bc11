/* Requests that crash replicas, and safe requests in flight beside them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 6
#define REPLICAS 3
#define DEADLINE ((medlar_time_t)400)
#define CRASHING_FINGERPRINT 666
#define SAFE_QUERIES 40
#define SEEDS 40

static uint32_t crash_shard; /* SHARDS for any shard */
static unsigned safe_complete;
static unsigned safe_incomplete;
static medlar_answer_t crashing_answer;
static unsigned unsafe_trials;

static void decide_behaviour(world_t *world, world_call_t *call)
{
	world_standard(world, call);
	if (call->fingerprint != CRASHING_FINGERPRINT ||
	    (crash_shard < SHARDS && call->at->shard != crash_shard))
		return;
	call->behaviour = WORLD_CRASH;
	call->took_us = 3 * WORLD_MS;
	if (call->next &&
	    medlar_suspects_verdict(&world->suspects, CRASHING_FINGERPRINT,
				    world_now(world)) == MEDLAR_VERDICT_SUSPECT)
		unsafe_trials++;
}

static void record_answer(world_t *world, medlar_query_t *query)
{
	const medlar_answer_t *answer = medlar_query_answer(query);

	(void)world;
	if (medlar_query_params(query)->fingerprint == CRASHING_FINGERPRINT)
		crashing_answer = *answer;
	else if (answer->outcome == MEDLAR_OUTCOME_COMPLETE)
		safe_complete++;
	else
		safe_incomplete++;
}

static void set_up_world_with_seed(world_t *world, uint32_t shard,
				   uint64_t seed)
{
	medlar_policy_t policy;

	medlar_policy_default(&policy, "agenda");
	policy.shards = SHARDS;
	policy.slots = 3;
	policy.deadline = DEADLINE;
	policy.extra_load = 0.1;
	world_init(world, &policy, REPLICAS, seed);
	world->decide = decide_behaviour;
	world->answered = record_answer;
	crash_shard = shard;
	safe_complete = 0;
	safe_incomplete = 0;
	unsafe_trials = 0;
	crashing_answer = (medlar_answer_t){
		.outcome = MEDLAR_OUTCOME_PENDING
	};
}

static void set_up_world(world_t *world, uint32_t shard)
{
	set_up_world_with_seed(world, shard, 1);
}

static unsigned count_crashes(const world_t *world)
{
	unsigned sum = 0;
	size_t i;

	for (i = 0; i < world->len; i++)
		sum += world->replicas[i].crashes;
	return sum;
}

static void run_ms(world_t *world, int64_t ms)
{
	world_run(world, world->now_us + ms * WORLD_MS);
}

/* Sends the crashing query 50 times, among safe queries. */
static void send_crashing_queries(world_t *world)
{
	int i;

	for (i = 0; i < 50; i++) {
		world_ask(world, CRASHING_FINGERPRINT, DEADLINE, NULL);
		if (i < SAFE_QUERIES)
			assert_int_equal(world_ask(world, 1 + (uint64_t)i,
						   DEADLINE, NULL),
					 MEDLAR_OK);
		run_ms(world, 5);
	}
	run_ms(world, 2 * DEADLINE);
}

/* Two replicas at most may crash, for any seed. */
static void check_crash_limit(uint32_t shard)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t world;

		set_up_world_with_seed(&world, shard, seed);
		send_crashing_queries(&world);
		assert_in_range(count_crashes(&world), 1, 2);
		assert_int_equal(safe_complete, SAFE_QUERIES);
		assert_int_equal(safe_incomplete, 0);
		assert_int_equal(unsafe_trials, 0);
		assert_int_equal(medlar_suspects_verdict(&world.suspects,
							 CRASHING_FINGERPRINT,
							 world_now(&world)),
				 MEDLAR_VERDICT_CONVICTED);
		world_finish(&world);
	}
}

static void at_most_two_replicas_crash(void **state)
{
	(void)state;
	check_crash_limit(SHARDS);
}

static void at_most_two_replicas_of_one_shard_crash(void **state)
{
	(void)state;
	check_crash_limit(4);
}

static void convicted_request_is_refused_until_pardoned(void **state)
{
	medlar_suspect_entry_t entry;
	size_t cursor = 0;
	unsigned before;
	world_t world;

	(void)state;
	set_up_world(&world, SHARDS);
	send_crashing_queries(&world);
	before = count_crashes(&world);
	assert_int_equal(
		world_ask(&world, CRASHING_FINGERPRINT, DEADLINE, NULL),
		MEDLAR_ERR_CONVICTED);
	assert_true(medlar_suspects_next(&world.suspects, &cursor,
					 world_now(&world), &entry));
	assert_int_equal(entry.fingerprint, CRASHING_FINGERPRINT);
	assert_int_equal(entry.verdict, MEDLAR_VERDICT_CONVICTED);
	assert_int_equal(
		medlar_suspects_pardon(&world.suspects, CRASHING_FINGERPRINT),
		MEDLAR_OK);
	assert_int_equal(medlar_suspects_convict(&world.suspects,
						 CRASHING_FINGERPRINT,
						 entry.until),
			 MEDLAR_ERR_STALE);
	assert_int_equal(
		world_ask(&world, CRASHING_FINGERPRINT, DEADLINE, NULL),
		MEDLAR_OK);
	run_ms(&world, DEADLINE);
	assert_true(count_crashes(&world) > before);
	world_finish(&world);
}

static void conviction_expires(void **state)
{
	world_t world;

	(void)state;
	set_up_world(&world, SHARDS);
	send_crashing_queries(&world);
	world.now_us += MEDLAR_MINUTE * WORLD_MS;
	assert_int_equal(medlar_suspects_verdict(&world.suspects,
						 CRASHING_FINGERPRINT,
						 world_now(&world)),
			 MEDLAR_VERDICT_CLEAR);
	world_finish(&world);
}

static void conviction_by_a_peer_ends_a_held_query(void **state)
{
	const medlar_crash_t crash = { .fingerprint = CRASHING_FINGERPRINT,
				       .shard = 1 };
	world_t world;

	(void)state;
	set_up_world(&world, SHARDS);
	medlar_suspects_add_crash(&world.suspects, &crash, world_now(&world));
	assert_int_equal(
		world_ask(&world, CRASHING_FINGERPRINT, DEADLINE, NULL),
		MEDLAR_OK);
	run_ms(&world, 50);
	assert_int_equal(crashing_answer.outcome, MEDLAR_OUTCOME_PENDING);
	medlar_suspects_convict(&world.suspects, CRASHING_FINGERPRINT,
				world_now(&world) + MEDLAR_MINUTE);
	run_ms(&world, 50);
	assert_int_equal(crashing_answer.outcome, MEDLAR_OUTCOME_NOT_RUN);
	assert_int_equal(crashing_answer.error, MEDLAR_ERR_CONVICTED);
	assert_int_equal(count_crashes(&world), 0);
	world_finish(&world);
}

/* One replica of each shard fails at once, with the same requests in flight. */
static void rack_failure_convicts_no_request(void **state)
{
	world_t world;
	size_t i;

	(void)state;
	set_up_world(&world, SHARDS);
	for (i = 0; i < SAFE_QUERIES / 4; i++)
		world_ask(&world, 1 + i, DEADLINE, NULL);
	run_ms(&world, 12);
	for (i = 0; i < world.len; i += REPLICAS) {
		world_crash(&world, &world.replicas[i]);
		world.replicas[i].dead = true;
	}
	run_ms(&world, 2 * DEADLINE);
	assert_int_equal(safe_complete, SAFE_QUERIES / 4);
	assert_int_equal(safe_incomplete, 0);
	for (i = 0; i < SAFE_QUERIES / 4; i++)
		assert_int_not_equal(medlar_suspects_verdict(&world.suspects,
							     1 + i,
							     world_now(&world)),
				     MEDLAR_VERDICT_CONVICTED);
	world_finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(at_most_two_replicas_crash),
		cmocka_unit_test(at_most_two_replicas_of_one_shard_crash),
		cmocka_unit_test(convicted_request_is_refused_until_pardoned),
		cmocka_unit_test(conviction_expires),
		cmocka_unit_test(conviction_by_a_peer_ends_a_held_query),
		cmocka_unit_test(rack_failure_convicts_no_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
