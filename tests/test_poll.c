/* Polls of the platform stay within a total rate in fleets of any size. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

#define LISTS 9
#define RATE 400.0

static void rate_limit_holds_for_every_fleet_size(void **state)
{
	static const size_t fleets[] = { 1, 4, 64, 512, 5300, 53000 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
		medlar_time_t period = medlar_poll_interval(
			MEDLAR_SECOND, fleets[i], LISTS, RATE);

		assert_true(period >= MEDLAR_SECOND);
		assert_true((double)(fleets[i] * LISTS * MEDLAR_SECOND) /
				    (double)(period + 1) <=
			    RATE);
	}
}

static void small_fleet_polls_at_the_shortest_interval(void **state)
{
	(void)state;
	assert_int_equal(medlar_poll_interval(500, 4, LISTS, RATE), 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(rate_limit_holds_for_every_fleet_size),
		cmocka_unit_test(small_fleet_polls_at_the_shortest_interval),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
