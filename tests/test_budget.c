/* Retry budget: deposits by first sends, and the reserve for silence. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

static void deposit_times(medlar_budget_t *budget, int sends)
{
	while (sends-- > 0)
		medlar_budget_deposit(budget);
}

static int withdraw_all(medlar_budget_t *budget,
			bool (*take)(medlar_budget_t *budget))
{
	int count = 0;

	while (take(budget))
		count++;
	return count;
}

static void first_sends_deposit_a_share(void **state)
{
	medlar_budget_t budget;

	(void)state;
	medlar_budget_init(&budget, 0.25, 100);
	assert_false(medlar_budget_withdraw(&budget));
	deposit_times(&budget, 40);
	assert_int_equal(withdraw_all(&budget, medlar_budget_withdraw), 10);
}

static void reserve_is_used_only_after_silence(void **state)
{
	medlar_budget_t budget;

	(void)state;
	medlar_budget_init(&budget, 0.25, 100);
	medlar_budget_set_reserve(&budget, 6);
	assert_int_equal(withdraw_all(&budget, medlar_budget_withdraw), 0);
	assert_int_equal(withdraw_all(&budget, medlar_budget_withdraw_reserve),
			 6);
}

static void reserve_is_filled_by_surplus_deposits(void **state)
{
	medlar_budget_t budget;

	(void)state;
	medlar_budget_init(&budget, 0.25, 8);
	medlar_budget_set_reserve(&budget, 6);
	withdraw_all(&budget, medlar_budget_withdraw_reserve);
	deposit_times(&budget, 32);
	assert_int_equal((int)budget.reserve, 0);
	deposit_times(&budget, 400);
	assert_int_equal(withdraw_all(&budget, medlar_budget_withdraw), 8);
	assert_int_equal(withdraw_all(&budget, medlar_budget_withdraw_reserve),
			 6);
}

/* With silent connections only, the share is exceeded by one reserve. */
static void lasting_silence_is_limited_to_the_share(void **state)
{
	medlar_budget_t budget;
	int sends;
	int extra = 0;

	(void)state;
	medlar_budget_init(&budget, 0.125, 8);
	medlar_budget_set_reserve(&budget, 6);
	for (sends = 0; sends < 8000; sends++) {
		medlar_budget_deposit(&budget);
		extra += medlar_budget_withdraw_reserve(&budget);
	}
	assert_true(extra <= 1000 + 6);
	assert_true(extra >= 1000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(first_sends_deposit_a_share),
		cmocka_unit_test(reserve_is_used_only_after_silence),
		cmocka_unit_test(reserve_is_filled_by_surplus_deposits),
		cmocka_unit_test(lasting_silence_is_limited_to_the_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
