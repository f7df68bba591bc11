/* Timers fire once, in order of due time, and can be reset and cleared. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

#define TIMERS 200

static int fired_count;
static medlar_time_t last_due;

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	(void)client;
	(void)now;
	(void)data;
	assert_true(timer->due >= last_due);
	last_due = timer->due;
	fired_count++;
}

static void fires_in_order_of_due_time(void **state)
{
	medlar_client_t client;
	medlar_timer_t timers[TIMERS];
	medlar_rand_t rand = { 7 };
	int i;

	(void)state;
	fired_count = 0;
	last_due = 0;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	for (i = 0; i < TIMERS; i++) {
		medlar_timer_init(&timers[i], on_timer, NULL);
		medlar_timer_set(&client, &timers[i],
				 (medlar_time_t)medlar_rand_below(&rand, 99));
	}
	for (i = 0; i < TIMERS; i += 4)
		medlar_timer_clear(&client, &timers[i]);
	for (i = 1; i < TIMERS; i += 4)
		medlar_timer_set(&client, &timers[i], 50);
	medlar_client_run(&client, 98);
	assert_int_equal(fired_count, TIMERS - TIMERS / 4);
	assert_true(medlar_client_due(&client) == MEDLAR_TIME_NEVER);
	medlar_client_finish(&client);
}

static void does_not_fire_early(void **state)
{
	medlar_client_t client;
	medlar_timer_t timer;

	(void)state;
	fired_count = 0;
	last_due = 0;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	medlar_timer_init(&timer, on_timer, NULL);
	medlar_timer_set(&client, &timer, 10);
	medlar_client_run(&client, 9);
	assert_int_equal(fired_count, 0);
	medlar_client_run(&client, 10);
	medlar_client_run(&client, 11);
	assert_int_equal(fired_count, 1);
	medlar_client_finish(&client);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(fires_in_order_of_due_time),
		cmocka_unit_test(does_not_fire_early),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
