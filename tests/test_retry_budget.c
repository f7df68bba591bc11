/* All instances together stay within the budget for retries and hedges. */
#include "route_sim.h"

#define WINDOW_MS 10000
#define INSTANCES 4
#define INSTANCES_MAX 118
#define RUN_MS (5 * WINDOW_MS)
#define FAILURES_AT_MS (2 * WINDOW_MS)

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
				     &(retry_limits_t){ 0.2, 0, WINDOW_MS }, i);
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
	retry_budget_t budget = { .earned = 2, .periods = { { 100, 0 } } };

	(void)state;
	assert_false(retry_budget_withdraw(&budget, &limits, 0, 2, 0));
	assert_true(retry_budget_withdraw(&budget, &limits, 0, 1, 0));
	assert_false(retry_budget_withdraw(&budget, &limits, 0, 1, 0));
	assert_true(retry_budget_withdraw(&budget, &limits, 0, 0, 0));
}

/* Instances with requests and spending of their own, on one clock. */
typedef struct crowd {
	retry_limits_t limits;
	int instances;
	retry_budget_t budgets[INSTANCES_MAX];
	int requests[RUN_MS];
	int spent[RUN_MS];
} crowd_t;

static int sum_of_window(const int *counts, int from)
{
	int sum = 0;

	for (int i = from < 0 ? 0 : from; i < from + WINDOW_MS; i++)
		sum += counts[i];
	return sum;
}

/* The window counts that has most requests: this, or one that begins earlier. */
static int requests_that_count(const crowd_t *crowd, int from)
{
	static const int earlier[] = { 0, WINDOW_MS / 2, WINDOW_MS };
	int most = 0;

	for (int i = 0; i < 3; i++) {
		int sum = sum_of_window(crowd->requests, from - earlier[i]);

		most = sum > most ? sum : most;
	}
	return most;
}

static void assert_within_budget(const crowd_t *crowd)
{
	for (int from = 0; from + WINDOW_MS <= RUN_MS; from += 100) {
		double allowed = crowd->limits.ratio *
					 requests_that_count(crowd, from) +
				 crowd->limits.slack;

		assert_true(sum_of_window(crowd->spent, from) <= allowed);
	}
}

/* Spends nothing before FAILURES_AT_MS, and then all that the budgets allow. */
static void run_crowd(crowd_t *crowd, int instances, double slack,
		      int requests_per_s)
{
	*crowd = (crowd_t){ .limits = { 0.2, slack, WINDOW_MS },
			    .instances = instances };
	for (int i = 0; i < instances; i++)
		retry_budget_init(&crowd->budgets[i], &crowd->limits,
				  1.0 / instances, 0);
	for (int now = 0, sent = 0; now < RUN_MS; now++) {
		for (; sent < now * requests_per_s / 1000; sent++) {
			crowd->requests[now]++;
			retry_budget_deposit(&crowd->budgets[sent % instances],
					     &crowd->limits, now);
		}
		for (int i = 0; now >= FAILURES_AT_MS && i < instances; i++)
			while (retry_budget_withdraw(&crowd->budgets[i],
						     &crowd->limits,
						     1.0 / instances, 0, now))
				crowd->spent[now]++;
	}
}

/* Guards against BUDGET: retries saved up in a calm time exceeded the limit. */
static void retries_saved_up_in_a_calm_stay_within_the_limit(void **state)
{
	static crowd_t crowd;

	(void)state;
	run_crowd(&crowd, 4, 56, 180);
	assert_within_budget(&crowd);
	run_crowd(&crowd, 24, 160, 123);
	assert_within_budget(&crowd);
	run_crowd(&crowd, 118, 630, 96);
	assert_within_budget(&crowd);
}

/* What was earned can be spent: the limit is no reason to give up early. */
static void most_of_the_limit_can_be_spent(void **state)
{
	static crowd_t crowd;
	int spent;

	(void)state;
	run_crowd(&crowd, 24, 160, 123);
	spent = sum_of_window(crowd.spent, FAILURES_AT_MS);
	assert_true(spent >= 0.75 * (0.2 * 1230 + 160));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_earn_less_than_the_ratio),
		cmocka_unit_test(no_window_exceeds_the_slack),
		cmocka_unit_test(a_reserve_is_left_for_urgent_attempts),
		cmocka_unit_test(
			retries_saved_up_in_a_calm_stay_within_the_limit),
		cmocka_unit_test(most_of_the_limit_can_be_spent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
