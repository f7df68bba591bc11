/* All instances together stay within the budget of extra sends. */
#include "route_world.h"

#define WINDOW 10000
#define INSTANCES 4

static const spend_limits_t limits = { 0.2, 56, WINDOW };

static void requests_earn_less_than_the_ratio(void **state)
{
	spend_t spend;
	int extra = 0;

	(void)state;
	spend_init(&spend, &(spend_limits_t){ 0.2, 0, WINDOW }, 1, 0);
	for (int i = 0; i < 1000; i++) {
		spend_request(&spend, &(spend_limits_t){ 0.2, 0, WINDOW });
		extra += spend_try(&spend, &(spend_limits_t){ 0.2, 0, WINDOW },
				   1, 0, i);
	}
	assert_in_range(extra, 150, 200);
}

/* Spends whatever can be had; one instance restarts once a window. */
static void no_window_exceeds_the_fixed_number(void **state)
{
	spend_t spends[INSTANCES];
	static int spent[6 * WINDOW];

	(void)state;
	memset(spent, 0, sizeof(spent));
	for (int i = 0; i < INSTANCES; i++)
		spend_init(&spends[i], &limits, 1.0 / INSTANCES, 0);
	for (int now = 0; now < 6 * WINDOW; now++) {
		for (int i = 0; i < INSTANCES; i++) {
			if (now == i * 2500 + WINDOW)
				spend_init(&spends[i], &limits, 1.0 / INSTANCES,
					   now);
			while (spend_try(&spends[i], &limits, 1.0 / INSTANCES,
					 0, now))
				spent[now]++;
		}
	}
	for (int from = 0; from + WINDOW <= 6 * WINDOW; from += 100) {
		int sum = 0;

		for (int i = from; i < from + WINDOW; i++)
			sum += spent[i];
		assert_true(sum <= 56);
	}
}

static void a_reserve_is_left_for_urgent_sends(void **state)
{
	spend_t spend = { .earned = 2 };

	(void)state;
	assert_false(spend_try(&spend, &limits, 0, 2, 0));
	assert_true(spend_try(&spend, &limits, 0, 1, 0));
	assert_false(spend_try(&spend, &limits, 0, 1, 0));
	assert_true(spend_try(&spend, &limits, 0, 0, 0));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_earn_less_than_the_ratio),
		cmocka_unit_test(no_window_exceeds_the_fixed_number),
		cmocka_unit_test(a_reserve_is_left_for_urgent_sends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
