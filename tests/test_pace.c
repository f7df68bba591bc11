/* Polls of the platform stay within one rate, however many instances. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

#define LISTS 9
#define RATE 400.0

static void the_rate_holds_for_every_fleet(void **state)
{
	static const size_t fleets[] = { 1, 4, 64, 512, 5300, 53000 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
		medlar_time_t period = medlar_pace_period(
			MEDLAR_SECOND, fleets[i], LISTS, RATE);

		assert_true(period >= MEDLAR_SECOND);
		assert_true((double)(fleets[i] * LISTS * MEDLAR_SECOND) /
				    (double)(period + 1) <=
			    RATE);
	}
}

static void a_small_fleet_polls_as_often_as_set(void **state)
{
	(void)state;
	assert_int_equal(medlar_pace_period(500, 4, LISTS, RATE), 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_rate_holds_for_every_fleet),
		cmocka_unit_test(a_small_fleet_polls_as_often_as_set),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
