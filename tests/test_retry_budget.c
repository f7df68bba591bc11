/* All instances together stay within the budget for retries and hedges. */
#include "route_sim.h"

#define WINDOW_MS 10000
#define INSTANCES 4

static const retry_limits_t limits = { 0.2, 56, WINDOW_MS };

static void requests_earn_less_than_the_ratio(void **state)
{
	retry_budget_t budget;
	int extra = 0;

	(void)state;
	retry_budget_init(&budget, &(retry_limits_t){ 0.2, 0, WINDOW_MS }, 1,
			  0);
	for (int i = 0; i < 1000; i++) {
		retry_budget_deposit(&budget,
				     &(retry_limits_t){ 0.2, 0, WINDOW_MS });
		extra += retry_budget_withdraw(
			&budget, &(retry_limits_t){ 0.2, 0, WINDOW_MS }, 1, 0,
			i);
	}
	assert_in_range(extra, 150, 200);
}

/* All instances spend as much as they can; each restarts once. */
static void no_window_exceeds_the_slack(void **state)
{
	retry_budget_t budgets[INSTANCES];
	static int spent[6 * WINDOW_MS];

	(void)state;
	memset(spent, 0, sizeof(spent));
	for (int i = 0; i < INSTANCES; i++)
		retry_budget_init(&budgets[i], &limits, 1.0 / INSTANCES, 0);
	for (int now = 0; now < 6 * WINDOW_MS; now++) {
		for (int i = 0; i < INSTANCES; i++) {
			if (now == i * 2500 + WINDOW_MS)
				retry_budget_init(&budgets[i], &limits,
						  1.0 / INSTANCES, now);
			while (retry_budget_withdraw(&budgets[i], &limits,
						     1.0 / INSTANCES, 0, now))
				spent[now]++;
		}
	}
	for (int from = 0; from + WINDOW_MS <= 6 * WINDOW_MS; from += 100) {
		int sum = 0;

		for (int i = from; i < from + WINDOW_MS; i++)
			sum += spent[i];
		assert_true(sum <= 56);
	}
}

static void a_reserve_is_left_for_urgent_attempts(void **state)
{
	retry_budget_t budget = { .earned = 2 };

	(void)state;
	assert_false(retry_budget_withdraw(&budget, &limits, 0, 2, 0));
	assert_true(retry_budget_withdraw(&budget, &limits, 0, 1, 0));
	assert_false(retry_budget_withdraw(&budget, &limits, 0, 1, 0));
	assert_true(retry_budget_withdraw(&budget, &limits, 0, 0, 0));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_earn_less_than_the_ratio),
		cmocka_unit_test(no_window_exceeds_the_slack),
		cmocka_unit_test(a_reserve_is_left_for_urgent_attempts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
