/* Periodic pauses are learned, predicted and forgotten. */
#include "libroute/pause.h"
#include "route_sim.h"

#define PERIOD_MS ((medlar_time_t)2400)
#define LENGTH_MS 100

static void add_pauses(pause_t *pause, pause_period_t *shared, int pauses)
{
	for (int i = 1; i <= pauses; i++)
		(void)pause_add_slow_reply(pause, shared, LENGTH_MS - i % 7,
					   i * PERIOD_MS);
}

static void a_periodic_pause_is_predicted(void **state)
{
	pause_period_t shared = { 0 };
	pause_t pause = { 0 };

	(void)state;
	add_pauses(&pause, &shared, 8);
	assert_int_equal(shared.period, PERIOD_MS);
	assert_int_equal(
		pause_remaining(&pause, &shared, 8, 9 * PERIOD_MS - 50), 50);
	assert_int_equal(
		pause_remaining(&pause, &shared, 8, 9 * PERIOD_MS - 500), 0);
	assert_int_equal(pause_remaining(&pause, &shared, 8, 9 * PERIOD_MS + 5),
			 0);
}

static void another_replica_learns_from_two_pauses(void **state)
{
	pause_period_t shared = { 0 };
	pause_t first = { 0 };
	pause_t second = { 0 };

	(void)state;
	add_pauses(&first, &shared, 8);
	assert_false(pause_add_slow_reply(&second, &shared, LENGTH_MS, 20700));
	assert_false(pause_add_slow_reply(&second, &shared, LENGTH_MS,
					  20700 + PERIOD_MS));
	assert_true(pause_add_slow_reply(&second, &shared, LENGTH_MS,
					 20700 + 3 * PERIOD_MS));
	assert_int_not_equal(pause_remaining(&second, &shared, 8,
					     20700 + 4 * PERIOD_MS - 30),
			     0);
}

static void a_pause_that_does_not_come_is_forgotten(void **state)
{
	pause_period_t shared = { 0 };
	pause_t pause = { 0 };

	(void)state;
	add_pauses(&pause, &shared, 8);
	for (int i = 9; i < 14; i++)
		pause_add_usual_reply(&pause, &shared, i * PERIOD_MS - 55,
				      i * PERIOD_MS - 40);
	assert_int_equal(
		pause_remaining(&pause, &shared, 8, 14 * PERIOD_MS - 50), 0);
}

static void irregular_delays_predict_nothing(void **state)
{
	pause_period_t shared = { 0 };
	medlar_rand_t rand = { 5 };
	pause_t pause = { 0 };
	medlar_time_t now = 0;
	int predicted = 0;

	(void)state;
	for (int i = 0; i < 200; i++) {
		now += 300 + (medlar_time_t)medlar_rand_below(&rand, 5000);
		predicted += pause_remaining(&pause, &shared, 8, now) != 0;
		(void)pause_add_slow_reply(&pause, &shared, LENGTH_MS, now);
	}
	assert_in_range(predicted, 0, 20);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_periodic_pause_is_predicted),
		cmocka_unit_test(another_replica_learns_from_two_pauses),
		cmocka_unit_test(a_pause_that_does_not_come_is_forgotten),
		cmocka_unit_test(irregular_delays_predict_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
