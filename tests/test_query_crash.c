/* Requests that crash upstreams, and the innocent ones that share them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fakes/world.h"

#define SHARDS 6
#define REPLICAS 3
#define DEADLINE ((medlar_time_t)400)
#define CRASHER 666
#define INNOCENTS 40
#define SEEDS 40

static uint32_t crash_shard; /* SHARDS: any */
static unsigned complete;
static unsigned others;
static medlar_answer_t crasher;
static unsigned shared_trials;

static void decide(world_t *world, world_call_t *call)
{
	world_standard(world, call);
	if (call->fingerprint != CRASHER ||
	    (crash_shard < SHARDS && call->at->shard != crash_shard))
		return;
	call->fate = WORLD_CRASH;
	call->took_us = 3 * WORLD_MS;
	if (call->next &&
	    medlar_suspects_look(&world->suspects, CRASHER, world_now(world)) ==
		    MEDLAR_VERDICT_SUSPECT)
		shared_trials++;
}

static void look(world_t *world, medlar_query_t *query)
{
	const medlar_answer_t *answer = medlar_query_answer(query);

	(void)world;
	if (medlar_query_params(query)->fingerprint == CRASHER)
		crasher = *answer;
	else if (answer->outcome == MEDLAR_OUTCOME_COMPLETE)
		complete++;
	else
		others++;
}

static void begin_seeded(world_t *world, uint32_t shard, uint64_t seed)
{
	medlar_policy_t policy;

	medlar_policy_default(&policy, "agenda");
	policy.shards = SHARDS;
	policy.slots = 3;
	policy.deadline = DEADLINE;
	policy.extra_load = 0.1;
	world_init(world, &policy, REPLICAS, seed);
	world->decide = decide;
	world->answered = look;
	crash_shard = shard;
	complete = 0;
	others = 0;
	shared_trials = 0;
	crasher = (medlar_answer_t){ .outcome = MEDLAR_OUTCOME_PENDING };
}

static void begin(world_t *world, uint32_t shard)
{
	begin_seeded(world, shard, 1);
}

static unsigned deaths(const world_t *world)
{
	unsigned sum = 0;
	size_t i;

	for (i = 0; i < world->len; i++)
		sum += world->replicas[i].deaths;
	return sum;
}

static void run_ms(world_t *world, int64_t ms)
{
	world_run(world, world->now_us + ms * WORLD_MS);
}

/* The caller sends it 50 times while others ask. */
static void storm(world_t *world)
{
	int i;

	for (i = 0; i < 50; i++) {
		world_ask(world, CRASHER, DEADLINE, NULL);
		if (i < INNOCENTS)
			assert_int_equal(world_ask(world, 1 + (uint64_t)i,
						   DEADLINE, NULL),
					 MEDLAR_OK);
		run_ms(world, 5);
	}
	run_ms(world, 2 * DEADLINE);
}

/* The caller sends it from many starting points; none may cost more. */
static void storms(uint32_t shard)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t world;

		begin_seeded(&world, shard, seed);
		storm(&world);
		assert_in_range(deaths(&world), 1, 2);
		assert_int_equal(complete, INNOCENTS);
		assert_int_equal(others, 0);
		assert_int_equal(shared_trials, 0);
		assert_int_equal(medlar_suspects_look(&world.suspects, CRASHER,
						      world_now(&world)),
				 MEDLAR_VERDICT_CONVICTED);
		world_finish(&world);
	}
}

static void two_replicas_die_and_innocents_are_answered(void **state)
{
	(void)state;
	storms(SHARDS);
}

static void so_they_do_when_one_shard_only_is_crashed(void **state)
{
	(void)state;
	storms(4);
}

static void a_convicted_request_is_refused_until_pardoned(void **state)
{
	medlar_suspect_entry_t entry;
	size_t cursor = 0;
	unsigned before;
	world_t world;

	(void)state;
	begin(&world, SHARDS);
	storm(&world);
	before = deaths(&world);
	assert_int_equal(world_ask(&world, CRASHER, DEADLINE, NULL),
			 MEDLAR_ERR_CONVICTED);
	assert_true(medlar_suspects_next(&world.suspects, &cursor,
					 world_now(&world), &entry));
	assert_int_equal(entry.fingerprint, CRASHER);
	assert_int_equal(entry.verdict, MEDLAR_VERDICT_CONVICTED);
	assert_int_equal(medlar_suspects_pardon(&world.suspects, CRASHER),
			 MEDLAR_OK);
	assert_int_equal(
		medlar_suspects_convict(&world.suspects, CRASHER, entry.until),
		MEDLAR_ERR_STALE);
	assert_int_equal(world_ask(&world, CRASHER, DEADLINE, NULL), MEDLAR_OK);
	run_ms(&world, DEADLINE);
	assert_true(deaths(&world) > before);
	world_finish(&world);
}

static void a_conviction_expires(void **state)
{
	world_t world;

	(void)state;
	begin(&world, SHARDS);
	storm(&world);
	world.now_us += MEDLAR_MINUTE * WORLD_MS;
	assert_int_equal(medlar_suspects_look(&world.suspects, CRASHER,
					      world_now(&world)),
			 MEDLAR_VERDICT_CLEAR);
	world_finish(&world);
}

static void a_conviction_by_a_peer_ends_a_held_query(void **state)
{
	const medlar_death_t death = { .fingerprint = CRASHER, .shard = 1 };
	world_t world;

	(void)state;
	begin(&world, SHARDS);
	medlar_suspects_death(&world.suspects, &death, world_now(&world));
	assert_int_equal(world_ask(&world, CRASHER, DEADLINE, NULL), MEDLAR_OK);
	run_ms(&world, 50);
	assert_int_equal(crasher.outcome, MEDLAR_OUTCOME_PENDING);
	medlar_suspects_convict(&world.suspects, CRASHER,
				world_now(&world) + MEDLAR_MINUTE);
	run_ms(&world, 50);
	assert_int_equal(crasher.outcome, MEDLAR_OUTCOME_NOT_RUN);
	assert_int_equal(crasher.error, MEDLAR_ERR_CONVICTED);
	assert_int_equal(deaths(&world), 0);
	world_finish(&world);
}

/* A rack fails: the same requests lose several replicas at once. */
static void a_rack_that_fails_convicts_nobody(void **state)
{
	world_t world;
	size_t i;

	(void)state;
	begin(&world, SHARDS);
	for (i = 0; i < INNOCENTS / 4; i++)
		world_ask(&world, 1 + i, DEADLINE, NULL);
	run_ms(&world, 12);
	for (i = 0; i < world.len; i += REPLICAS) {
		world_crash(&world, &world.replicas[i]);
		world.replicas[i].dead = true;
	}
	run_ms(&world, 2 * DEADLINE);
	assert_int_equal(complete, INNOCENTS / 4);
	assert_int_equal(others, 0);
	for (i = 0; i < INNOCENTS / 4; i++)
		assert_int_not_equal(medlar_suspects_look(&world.suspects,
							  1 + i,
							  world_now(&world)),
				     MEDLAR_VERDICT_CONVICTED);
	world_finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(two_replicas_die_and_innocents_are_answered),
		cmocka_unit_test(so_they_do_when_one_shard_only_is_crashed),
		cmocka_unit_test(a_convicted_request_is_refused_until_pardoned),
		cmocka_unit_test(a_conviction_expires),
		cmocka_unit_test(a_conviction_by_a_peer_ends_a_held_query),
		cmocka_unit_test(a_rack_that_fails_convicts_nobody),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
