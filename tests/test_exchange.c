/* The life of a forwarded request: answers, repeats, and what is promised. */
#include "route_world.h"

static void all_parts_in_make_a_merged_answer(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0.2, 50);
	world_replicas(&world, 10);
	world_route(&world, ROUTE_SHARDS, true, 10);
	world_start(&world);
	assert_int_equal(world.sends_len, 10);
	for (size_t i = 0; i < 10; i++)
		world_end(&world, i, OUTCOME_OK);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_MERGED);
	assert_int_equal(world.ok, 10);
	world_finish(&world);
}

static void a_part_that_is_out_is_left_out_at_the_aim(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0, 0);
	world_replicas(&world, 10);
	world_route(&world, ROUTE_SHARDS, true, 10);
	world_start(&world);
	for (size_t i = 0; i < 9; i++)
		world_end(&world, i, OUTCOME_OK);
	world_run(&world, WORLD_START + 71);
	assert_false(world.answered);
	world_run(&world, WORLD_START + 74);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_MERGED);
	assert_int_equal(world.ok, 9);
	world_finish(&world);
}

static void too_few_parts_are_no_success(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0, 0);
	world_replicas(&world, 10);
	world_route(&world, ROUTE_SHARDS, true, 10);
	world_start(&world);
	for (size_t i = 0; i < 8; i++)
		world_end(&world, i, OUTCOME_OK);
	world_run(&world, WORLD_START + 500);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_TIMEOUT);
	world_finish(&world);
}

static void a_stalled_part_is_sent_to_another_replica(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0.2, 200);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SHARDS, true, 1);
	world_start(&world);
	world_run(&world, WORLD_START + 40);
	assert_int_equal(world.hedges, 1);
	assert_int_equal(world.sends_len, 2);
	assert_ptr_not_equal(world.sends[0].attempt->replica,
			     world.sends[1].attempt->replica);
	world_end(&world, 1, OUTCOME_OK);
	assert_true(world.answered);
	assert_int_equal(world.dropped, 1);
	world_finish(&world);
}

static void no_budget_no_hedge(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0, 0);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SHARDS, true, 1);
	world_start(&world);
	world_run(&world, WORLD_START + 390);
	assert_int_equal(world.hedges, 0);
	assert_int_equal(world.sends_len, 1);
	world_finish(&world);
}

/* Found by es scale-1: replicas that shed made whole requests fail. */
static void a_refused_part_waits_for_the_budget(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0, 100);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SHARDS, true, 1);
	world.fleet.services.tqh_first->spend.fixed = 0;
	world.fleet.services.tqh_first->spend.refilled = WORLD_START;
	world_start(&world);
	world_end(&world, 0, OUTCOME_REFUSED);
	assert_false(world.answered);
	assert_int_equal(world.sends_len, 1);
	world_run(&world, WORLD_START + 390);
	assert_false(world.answered);
	world.fleet.services.tqh_first->spend.fixed = 10;
	world.now = WORLD_START + 60;
	world_finish(&world);

	world_init(&world, 0, 100);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SHARDS, true, 1);
	world.fleet.services.tqh_first->spend.fixed = 0;
	world_start(&world);
	world_end(&world, 0, OUTCOME_REFUSED);
	world.fleet.services.tqh_first->spend.fixed = 10;
	world_run(&world, WORLD_START + 20);
	assert_int_equal(world.sends_len, 2);
	world_end(&world, 1, OUTCOME_OK);
	assert_int_equal(world.how, ANSWER_MERGED);
	world_finish(&world);
}

static void what_may_run_once_is_not_sent_again_after_a_break(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 1, 1000);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SINGLE, false, 1);
	world_start(&world);
	world_end(&world, 0, OUTCOME_LOST);
	assert_int_equal(world.sends_len, 1);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_FAILED);
	world_finish(&world);
}

static void what_may_run_once_is_never_hedged(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 1, 1000);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SINGLE, false, 1);
	world_start(&world);
	world_run(&world, WORLD_START + 500);
	assert_int_equal(world.sends_len, 1);
	assert_int_equal(world.how, ANSWER_TIMEOUT);
	world_finish(&world);
}

static void a_refused_request_is_sent_elsewhere(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 1, 1000);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SINGLE, false, 1);
	world_start(&world);
	world_end(&world, 0, OUTCOME_REFUSED);
	assert_int_equal(world.sends_len, 2);
	world_end(&world, 1, OUTCOME_OK);
	assert_int_equal(world.how, ANSWER_RELAY);
	world_finish(&world);
}

static void replicas_that_all_refuse_are_given_a_rest(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 10, 1000);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SHARDS, true, 1);
	world_start(&world);
	for (size_t i = 0; i < 3; i++)
		world_end(&world, i, OUTCOME_REFUSED);
	assert_int_equal(world.sends_len, 3);
	world_run(&world, WORLD_START + 20);
	assert_int_equal(world.sends_len, 4);
	world_end(&world, 3, OUTCOME_OK);
	assert_int_equal(world.how, ANSWER_MERGED);
	world_finish(&world);
}

static void not_run_is_told_only_if_nothing_ran(void **state)
{
	static const struct {
		outcome_t outcome;
		answer_t how;
	} cases[] = {
		{ OUTCOME_REFUSED, ANSWER_NOT_RUN },
		{ OUTCOME_ELSEWHERE, ANSWER_NOT_RUN },
		{ OUTCOME_NOT_SENT, ANSWER_NOT_RUN },
		{ OUTCOME_LOST, ANSWER_FAILED },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		world_t world;

		world_init(&world, 0, 0);
		world_replica(&world, "s0", "only", "a");
		world_route(&world, ROUTE_SINGLE, false, 1);
		world_start(&world);
		while (!world.answered && world.now < WORLD_START + 500) {
			size_t last = world.sends_len - 1;

			if (world.sends[last].attempt)
				world_end(&world, last, cases[i].outcome);
			world_run(&world, world.now + 1);
		}
		assert_true(world.answered);
		assert_int_equal(world.how, cases[i].how);
		world_finish(&world);
	}
}

static void no_connection_costs_no_budget(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 0, 0);
	world_replicas(&world, 1);
	world_route(&world, ROUTE_SHARDS, true, 1);
	world_start(&world);
	world_end(&world, 0, OUTCOME_NOT_SENT);
	assert_int_equal(world.sends_len, 2);
	assert_int_equal(world.exchange.extra, 0);
	world_finish(&world);
}

static void attempts_that_may_have_run_are_bounded(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 10, 1000);
	world_replicas(&world, 2);
	world_route(&world, ROUTE_SHARDS, true, 2);
	world_start(&world);
	world_end(&world, 0, OUTCOME_OK);
	world_end(&world, 1, OUTCOME_LOST);
	assert_int_equal(world.sends_len, 3);
	world_end(&world, 2, OUTCOME_LOST);
	assert_int_equal(world.sends_len, 3);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_FAILED);
	world_finish(&world);
}

static void a_request_that_breaks_replicas_is_held_back(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 10, 1000);
	world_replicas(&world, 4);
	world_route(&world, ROUTE_SHARDS, true, 4);
	world_start(&world);
	world_end(&world, 0, OUTCOME_LOST);
	assert_int_equal(world.sends_len, 5);
	world_end(&world, 1, OUTCOME_LOST);
	world_end(&world, 2, OUTCOME_LOST);
	world_end(&world, 3, OUTCOME_LOST);
	assert_int_equal(world.sends_len, 5);
	world_end(&world, 4, OUTCOME_LOST);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_FAILED);
	world_finish(&world);
}

static void a_caller_that_leaves_ends_all_attempts(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 10, 1000);
	world_replicas(&world, 4);
	world_route(&world, ROUTE_SHARDS, true, 4);
	world_start(&world);
	exchange_cancel(&world.exchange);
	assert_int_equal(world.dropped, 4);
	world_run(&world, WORLD_START + 500);
	assert_int_equal(world.sends_len, 4);
	assert_false(world.answered);
	world.answered = true;
	world_finish(&world);
}

static void a_service_without_replicas_is_refused_at_once(void **state)
{
	world_t world;

	(void)state;
	world_init(&world, 1, 10);
	world_route(&world, ROUTE_SINGLE, true, 1);
	world_start(&world);
	assert_true(world.answered);
	assert_int_equal(world.how, ANSWER_NOT_RUN);
	world_finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_parts_in_make_a_merged_answer),
		cmocka_unit_test(a_part_that_is_out_is_left_out_at_the_aim),
		cmocka_unit_test(too_few_parts_are_no_success),
		cmocka_unit_test(a_stalled_part_is_sent_to_another_replica),
		cmocka_unit_test(no_budget_no_hedge),
		cmocka_unit_test(a_refused_part_waits_for_the_budget),
		cmocka_unit_test(
			what_may_run_once_is_not_sent_again_after_a_break),
		cmocka_unit_test(what_may_run_once_is_never_hedged),
		cmocka_unit_test(a_refused_request_is_sent_elsewhere),
		cmocka_unit_test(replicas_that_all_refuse_are_given_a_rest),
		cmocka_unit_test(not_run_is_told_only_if_nothing_ran),
		cmocka_unit_test(no_connection_costs_no_budget),
		cmocka_unit_test(attempts_that_may_have_run_are_bounded),
		cmocka_unit_test(a_request_that_breaks_replicas_is_held_back),
		cmocka_unit_test(a_caller_that_leaves_ends_all_attempts),
		cmocka_unit_test(a_service_without_replicas_is_refused_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
