/* Pauses at a steady period are learned, foreseen and forgotten. */
#include "libroute/pause.h"
#include "route_world.h"

#define PERIOD ((medlar_time_t)2400)
#define LENGTH 100

static void learn(pause_t *pause, pause_period_t *shared, int pauses)
{
	for (int i = 1; i <= pauses; i++)
		(void)pause_add_slow_reply(pause, shared, LENGTH - i % 7,
					   i * PERIOD);
}

static void a_steady_pause_is_foreseen(void **state)
{
	pause_period_t shared = { 0 };
	pause_t pause = { 0 };

	(void)state;
	learn(&pause, &shared, 8);
	assert_int_equal(shared.period, PERIOD);
	assert_int_equal(pause_remaining(&pause, &shared, 8, 9 * PERIOD - 50),
			 50);
	assert_int_equal(pause_remaining(&pause, &shared, 8, 9 * PERIOD - 500),
			 0);
	assert_int_equal(pause_remaining(&pause, &shared, 8, 9 * PERIOD + 5),
			 0);
}

static void another_replica_learns_from_two_pauses(void **state)
{
	pause_period_t shared = { 0 };
	pause_t first = { 0 };
	pause_t second = { 0 };

	(void)state;
	learn(&first, &shared, 8);
	assert_false(pause_add_slow_reply(&second, &shared, LENGTH, 20700));
	assert_false(
		pause_add_slow_reply(&second, &shared, LENGTH, 20700 + PERIOD));
	assert_true(pause_add_slow_reply(&second, &shared, LENGTH,
					 20700 + 3 * PERIOD));
	assert_int_not_equal(
		pause_remaining(&second, &shared, 8, 20700 + 4 * PERIOD - 30),
		0);
}

static void a_pause_that_does_not_come_is_forgotten(void **state)
{
	pause_period_t shared = { 0 };
	pause_t pause = { 0 };

	(void)state;
	learn(&pause, &shared, 8);
	for (int i = 9; i < 14; i++)
		pause_add_usual_reply(&pause, &shared, i * PERIOD - 55,
				      i * PERIOD - 40);
	assert_int_equal(pause_remaining(&pause, &shared, 8, 14 * PERIOD - 50),
			 0);
}

static void irregular_delays_foretell_nothing(void **state)
{
	pause_period_t shared = { 0 };
	medlar_rand_t rand = { 5 };
	pause_t pause = { 0 };
	medlar_time_t now = 0;
	int foreseen = 0;

	(void)state;
	for (int i = 0; i < 200; i++) {
		now += 300 + (medlar_time_t)medlar_rand_below(&rand, 5000);
		foreseen += pause_remaining(&pause, &shared, 8, now) != 0;
		(void)pause_add_slow_reply(&pause, &shared, LENGTH, now);
	}
	assert_in_range(foreseen, 0, 20);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_steady_pause_is_foreseen),
		cmocka_unit_test(another_replica_learns_from_two_pauses),
		cmocka_unit_test(a_pause_that_does_not_come_is_forgotten),
		cmocka_unit_test(irregular_delays_foretell_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
