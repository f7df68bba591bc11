/* Admission by the length of the loop's turns, priority and time left. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libroute/admission.h"

static const route_t urgent = { .target_latency = 500 };
static const route_t common = { .target_latency = 500, .priority = 2 };

static admission_t after(medlar_time_t length, unsigned turns)
{
	admission_t admission = { 0 };

	for (unsigned i = 0; i < turns; i++)
		admission_turn(&admission, length);
	return admission;
}

static void an_idle_process_takes_everything(void **state)
{
	admission_t admission = after(1, 10);

	(void)state;
	assert_true(admission_allows(&admission, &common, 0, 2000));
	assert_true(admission_allows(&admission, &urgent, 5, 200));
}

static void one_long_turn_refuses_nothing_later(void **state)
{
	admission_t admission = after(1, 10);

	(void)state;
	admission_turn(&admission, 900);
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
	admission_turn(&admission, 900);
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
	admission_turn(&admission, 900);
	assert_false(admission_allows(&admission, &urgent, 0, 2000));
}

static void work_that_stands_refuses_until_it_is_done(void **state)
{
	admission_t admission = after(200, 10);

	(void)state;
	assert_false(admission_allows(&admission, &urgent, 0, 2000));
	admission_turn(&admission, 2);
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
}

static void a_long_turn_refuses_its_own_rest(void **state)
{
	admission_t admission = after(1, 10);

	(void)state;
	assert_false(admission_allows(&admission, &urgent, 100, 2000));
}

static void the_least_urgent_are_refused_first(void **state)
{
	admission_t admission = after(15, 10);

	(void)state;
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
	assert_false(admission_allows(&admission, &common, 0, 2000));
}

static void little_time_left_is_refused_first(void **state)
{
	admission_t admission = after(15, 10);

	(void)state;
	assert_false(admission_allows(&admission, &urgent, 0, 100));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_idle_process_takes_everything),
		cmocka_unit_test(one_long_turn_refuses_nothing_later),
		cmocka_unit_test(work_that_stands_refuses_until_it_is_done),
		cmocka_unit_test(a_long_turn_refuses_its_own_rest),
		cmocka_unit_test(the_least_urgent_are_refused_first),
		cmocka_unit_test(little_time_left_is_refused_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
