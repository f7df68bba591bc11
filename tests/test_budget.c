/* Extra sends are earned by first sends; silent connections have a reserve. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

static void earn(medlar_budget_t *budget, int sends)
{
	while (sends-- > 0)
		medlar_budget_deposit(budget);
}

static int spend(medlar_budget_t *budget, bool (*take)(medlar_budget_t *budget))
{
	int count = 0;

	while (take(budget))
		count++;
	return count;
}

static void a_share_of_first_sends_is_earned(void **state)
{
	medlar_budget_t budget;

	(void)state;
	medlar_budget_init(&budget, 0.25, 100);
	assert_false(medlar_budget_withdraw(&budget));
	earn(&budget, 40);
	assert_int_equal(spend(&budget, medlar_budget_withdraw), 10);
}

static void the_reserve_pays_only_for_silence(void **state)
{
	medlar_budget_t budget;

	(void)state;
	medlar_budget_init(&budget, 0.25, 100);
	medlar_budget_set_reserve(&budget, 6);
	assert_int_equal(spend(&budget, medlar_budget_withdraw), 0);
	assert_int_equal(spend(&budget, medlar_budget_withdraw_reserve), 6);
}

static void the_reserve_fills_from_what_is_left_over(void **state)
{
	medlar_budget_t budget;

	(void)state;
	medlar_budget_init(&budget, 0.25, 8);
	medlar_budget_set_reserve(&budget, 6);
	spend(&budget, medlar_budget_withdraw_reserve);
	earn(&budget, 32);
	assert_int_equal((int)budget.reserve, 0);
	earn(&budget, 400);
	assert_int_equal(spend(&budget, medlar_budget_withdraw), 8);
	assert_int_equal(spend(&budget, medlar_budget_withdraw_reserve), 6);
}

/* However long requests fall silent, the share is exceeded once at most. */
static void silence_that_lasts_is_paid_by_the_share(void **state)
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
		cmocka_unit_test(a_share_of_first_sends_is_earned),
		cmocka_unit_test(the_reserve_pays_only_for_silence),
		cmocka_unit_test(the_reserve_fills_from_what_is_left_over),
		cmocka_unit_test(silence_that_lasts_is_paid_by_the_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
