/* Since when a service is known to have been up, from what several callers saw. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libroute/uptime.h"

static void expect(const uptime_t *uptime, medlar_time_t since,
		   medlar_time_t until)
{
	assert_int_equal(uptime->since, since);
	assert_int_equal(uptime->until, until);
}

static void add(uptime_t *uptime, medlar_time_t since, medlar_time_t until)
{
	const uptime_t seen = { since, until };

	uptime_add(uptime, &seen);
}

static void callers_that_were_answered_in_turn_leave_no_gap(void **state)
{
	uptime_t uptime = { 0 };

	(void)state;
	add(&uptime, 100, 200);
	add(&uptime, 150, 400);
	add(&uptime, 300, 350);
	add(&uptime, 390, 900);
	expect(&uptime, 100, 900);
}

/* Nobody was answered in between, so it may have been away. */
static void a_gap_begins_a_new_time(void **state)
{
	uptime_t uptime = { 0 };

	(void)state;
	add(&uptime, 100, 200);
	add(&uptime, 201, 300);
	expect(&uptime, 201, 300);
	add(&uptime, 50, 199);
	expect(&uptime, 201, 300);
}

/* The caller that was answered all along is heard from last. */
static void a_gap_may_be_closed_later(void **state)
{
	uptime_t uptime = { 0 };

	(void)state;
	add(&uptime, 100, 200);
	add(&uptime, 900, 900);
	add(&uptime, 50, 1000);
	expect(&uptime, 50, 1000);
}

/* A caller that is not answered tells no start, or one after its last answer. */
static void a_caller_that_is_not_answered_tells_nothing(void **state)
{
	uptime_t uptime = { 0 };

	(void)state;
	add(&uptime, 0, 500);
	add(&uptime, 600, 500);
	expect(&uptime, 0, 0);
	assert_false(uptime_is_steady(&uptime, 0, 1000));
}

static void it_is_steady_after_some_time(void **state)
{
	uptime_t uptime = { 0 };

	(void)state;
	add(&uptime, 100, 200);
	assert_false(uptime_is_steady(&uptime, 2200, 2299));
	assert_true(uptime_is_steady(&uptime, 2200, 2300));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			callers_that_were_answered_in_turn_leave_no_gap),
		cmocka_unit_test(a_gap_begins_a_new_time),
		cmocka_unit_test(a_gap_may_be_closed_later),
		cmocka_unit_test(a_caller_that_is_not_answered_tells_nothing),
		cmocka_unit_test(it_is_steady_after_some_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
