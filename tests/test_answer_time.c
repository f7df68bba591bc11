/* Time by which answers must leave, by caller and connection. */
#include "libroute/answer_time.h"
#include "route_sim.h"

static const route_t route_1 = { .host = (char *)"h",
				 .prefix = (char *)"/a/",
				 .timeout = 5000 };
static const route_t route_2 = { .host = (char *)"h",
				 .prefix = (char *)"/b/",
				 .timeout = 5000 };

static void distance_shortens_the_time(void **state)
{
	const caller_timing_t near = { 400, 0, 1 };
	const caller_timing_t far = { 400, 0, 20 };

	(void)state;
	assert_int_equal(answer_time_for_target(&near, 80, 2), 77);
	assert_int_equal(answer_time_for_target(&far, 80, 2), 58);
	assert_int_equal(answer_time_for_timeout(&near, 2), 397);
	assert_int_equal(answer_time_for_timeout(&far, 2), 378);
}

static void time_spent_before_counts(void **state)
{
	const caller_timing_t connected = { 386, 14, 6 };
	const caller_timing_t late = { 200, 200, 6 };
	const caller_timing_t distant = { 400, 0, 200 };

	(void)state;
	assert_int_equal(answer_time_for_target(&connected, 80, 2), 58);
	assert_int_equal(answer_time_for_target(&late, 80, 2), 72);
	assert_int_equal(answer_time_for_target(&distant, 80, 2), 1);
	assert_int_equal(answer_time_for_timeout(&distant, 2), 200);
}

/* A stalled processor must not leave callers without any time for parts. */
static void own_delay_takes_a_quarter_at_most(void **state)
{
	const caller_timing_t timing = { 400, 0, 6 };

	(void)state;
	assert_int_equal(answer_time_for_target(&timing, 80, 500), 54);
}

static void the_initial_timeout_is_learned(void **state)
{
	static timeouts_t timeouts;

	(void)state;
	memset(&timeouts, 0, sizeof(timeouts));
	assert_int_equal(timeouts_add(&timeouts, &route_1, 386), 0);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 400), 0);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 400), 0);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 386), 14);
	assert_int_equal(timeouts_add(&timeouts, &route_2, 386), 0);
}

static void one_greater_timeout_is_ignored(void **state)
{
	static timeouts_t timeouts;

	(void)state;
	memset(&timeouts, 0, sizeof(timeouts));
	(void)timeouts_add(&timeouts, &route_1, 400);
	(void)timeouts_add(&timeouts, &route_1, 400);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 3000), 0);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 395), 5);
}

/*
 * After a start of all instances everybody connects anew, and no instance has
 * seen enough requests to learn what callers begin with.
 */
static void the_timeout_of_the_route_is_assumed_at_first(void **state)
{
	static timeouts_t timeouts;
	route_t route = route_1;

	(void)state;
	memset(&timeouts, 0, sizeof(timeouts));
	route.timeout = 400;
	route.target_latency = 80;
	assert_int_equal(timeouts_add(&timeouts, &route, 394), 6);
	assert_int_equal(timeouts_add(&timeouts, &route, 300), 0);
	assert_int_equal(timeouts_add(&timeouts, &route, 3000), 0);
	(void)timeouts_add(&timeouts, &route, 390);
	(void)timeouts_add(&timeouts, &route, 390);
	assert_int_equal(timeouts_add(&timeouts, &route, 388), 2);
}

/* In a burst all callers connect anew and none states the initial timeout. */
static void a_burst_of_new_connections_keeps_the_initial_timeout(void **state)
{
	static timeouts_t timeouts;

	(void)state;
	memset(&timeouts, 0, sizeof(timeouts));
	(void)timeouts_add(&timeouts, &route_1, 400);
	(void)timeouts_add(&timeouts, &route_1, 400);
	for (int i = 0; i < 100; i++)
		assert_int_equal(timeouts_add(&timeouts, &route_1, 386), 14);
	for (int i = 0; i < 300; i++)
		(void)timeouts_add(&timeouts, &route_1, 300);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 300), 0);
	assert_int_equal(timeouts_add(&timeouts, &route_1, 290), 10);
}

static void delays_raise_the_bound_and_fade(void **state)
{
	delay_estimate_t estimate = { 0 };
	medlar_time_t busy;

	(void)state;
	assert_int_equal(delay_bound(&estimate), 1);
	for (int i = 0; i < 50; i++)
		delay_add(&estimate, i % 2 ? 2 : 6);
	busy = delay_bound(&estimate);
	assert_true(busy >= 6);
	for (int i = 0; i < 100; i++)
		delay_add(&estimate, 0);
	assert_true(delay_bound(&estimate) <= 2);
}

/*
 * Shards that pause: the answer waits for the last part, and must still reach a
 * caller who is 10 ms away, or 0.2 ms, or had to connect first.
 */
static void a_partial_answer_reaches_callers_at_any_distance(void **state)
{
	const struct {
		caller_timing_t timing;
		medlar_time_t leaves;
	} cases[] = {
		{ { 400, 0, 1 }, 77 },
		{ { 400, 0, 20 }, 58 },
		{ { 360, 40, 20 }, 18 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		sim_t sim;

		sim_init(&sim, 0, 0);
		sim_add_replicas(&sim, 10);
		sim_add_route(&sim, ROUTE_SHARDS, true, 10);
		sim.timing = cases[i].timing;
		sim_start(&sim);
		for (size_t j = 0; j < 9; j++)
			sim_end_attempt(&sim, j, OUTCOME_OK);
		sim_run_until(&sim, SIM_START_MS + cases[i].leaves);
		assert_false(sim.answered);
		sim_run_until(&sim, SIM_START_MS + cases[i].leaves + 2);
		assert_true(sim.answered);
		assert_int_equal(sim.parts_ok, 9);
		sim_finish(&sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(distance_shortens_the_time),
		cmocka_unit_test(time_spent_before_counts),
		cmocka_unit_test(own_delay_takes_a_quarter_at_most),
		cmocka_unit_test(the_initial_timeout_is_learned),
		cmocka_unit_test(the_timeout_of_the_route_is_assumed_at_first),
		cmocka_unit_test(one_greater_timeout_is_ignored),
		cmocka_unit_test(
			a_burst_of_new_connections_keeps_the_initial_timeout),
		cmocka_unit_test(delays_raise_the_bound_and_fade),
		cmocka_unit_test(
			a_partial_answer_reaches_callers_at_any_distance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
