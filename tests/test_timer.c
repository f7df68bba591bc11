/* Timers fire in order, once, and can be moved and cleared. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

#define TIMERS 200

static int fired;
static medlar_time_t last;

static void count(medlar_client_t *client, medlar_timer_t *timer,
		  medlar_time_t now, void *data)
{
	(void)client;
	(void)now;
	(void)data;
	assert_true(timer->due >= last);
	last = timer->due;
	fired++;
}

static void fires_in_order_of_due_time(void **state)
{
	medlar_client_t client;
	medlar_timer_t timers[TIMERS];
	medlar_rand_t rand = { 7 };
	int i;

	(void)state;
	fired = 0;
	last = 0;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	for (i = 0; i < TIMERS; i++) {
		medlar_timer_init(&timers[i], count, NULL);
		medlar_timer_set(&client, &timers[i],
				 (medlar_time_t)medlar_rand_below(&rand, 99));
	}
	for (i = 0; i < TIMERS; i += 4)
		medlar_timer_clear(&client, &timers[i]);
	for (i = 1; i < TIMERS; i += 4)
		medlar_timer_set(&client, &timers[i], 50);
	medlar_client_run(&client, 98);
	assert_int_equal(fired, TIMERS - TIMERS / 4);
	assert_true(medlar_client_due(&client) == MEDLAR_TIME_NEVER);
	medlar_client_finish(&client);
}

static void does_not_fire_early(void **state)
{
	medlar_client_t client;
	medlar_timer_t timer;

	(void)state;
	fired = 0;
	last = 0;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	medlar_timer_init(&timer, count, NULL);
	medlar_timer_set(&client, &timer, 10);
	medlar_client_run(&client, 9);
	assert_int_equal(fired, 0);
	medlar_client_run(&client, 10);
	medlar_client_run(&client, 11);
	assert_int_equal(fired, 1);
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
