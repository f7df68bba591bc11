/* Who watches the store, in calm times and in an outage. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libroute/watchers.h"

#define INSTANCES ((size_t)118)
#define DECISIONS_PER_SECOND ((size_t)10)

static watch_role_t decide(size_t fresh_before, size_t index, bool in_contact)
{
	const watch_view_t view = { .fresh_before = fresh_before,
				    .live_before = index,
				    .live = INSTANCES,
				    .in_contact = in_contact };
	medlar_rand_t rand = { index };

	return watchers_decide(&view, &rand);
}

static void a_few_watch_while_the_store_answers(void **state)
{
	(void)state;
	assert_true(decide(0, 0, true).watches);
	assert_true(decide(0, 0, true).leads);
	assert_true(decide(3, 3, true).watches);
	assert_false(decide(3, 3, true).leads);
	assert_false(decide(4, 4, true).watches);
	assert_false(decide(4, 117, true).watches);
}

/* While changes never end, each watcher would make a call for each of them. */
static void later_watchers_look_less_often(void **state)
{
	(void)state;
	for (size_t i = 1; i < WATCHERS_MAX; i++)
		assert_true(decide(i, i, true).pause >
			    decide(i - 1, i - 1, true).pause);
	assert_true(decide(0, 0, true).pause <= 200);
	assert_true(decide(WATCHERS_MAX - 1, 3, true).pause <= 2000);
}

/*
 * The store answers nobody: without a bound each of 118 instances called it
 * about once a second.
 */
static void an_outage_is_probed_by_a_bounded_number(void **state)
{
	medlar_rand_t rand = { 1 };
	size_t probes = 0;

	(void)state;
	for (int second = 0; second < 10; second++)
		for (size_t i = 0; i < INSTANCES * DECISIONS_PER_SECOND; i++) {
			const watch_view_t view = {
				.live_before = i % INSTANCES,
				.live = INSTANCES,
			};

			if (view.live_before >= WATCHERS_MAX)
				probes += watchers_decide(&view, &rand).watches;
		}
	assert_true(probes > 50);
	assert_true(probes < 150);
}

/* The store turns the usual watchers away: another one has to find out. */
static void others_try_if_the_usual_watchers_are_turned_away(void **state)
{
	bool found = false;
	medlar_rand_t rand = { 7 };

	(void)state;
	for (size_t i = 0; i < 5 * DECISIONS_PER_SECOND && !found; i++)
		for (size_t j = WATCHERS_MAX; j < INSTANCES; j++) {
			const watch_view_t view = { .live_before = j,
						    .live = INSTANCES };

			found |= watchers_decide(&view, &rand).watches;
		}
	assert_true(found);
	assert_true(decide(0, 90, true).watches);
}

/* It reaches the store, but none of those that watch it for all. */
static void an_instance_without_others_watches_for_itself(void **state)
{
	const watch_view_t view = { .fresh_before = WATCHERS_MAX,
				    .live_before = INSTANCES - 1,
				    .live = INSTANCES,
				    .is_isolated = true };
	medlar_rand_t rand = { 1 };
	watch_role_t role = watchers_decide(&view, &rand);

	(void)state;
	assert_true(role.watches);
	assert_true(role.leads);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_few_watch_while_the_store_answers),
		cmocka_unit_test(later_watchers_look_less_often),
		cmocka_unit_test(an_outage_is_probed_by_a_bounded_number),
		cmocka_unit_test(
			others_try_if_the_usual_watchers_are_turned_away),
		cmocka_unit_test(an_instance_without_others_watches_for_itself),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
