/* When callers whose request was refused are told to return. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "libroute/retry_after.h"

#define CALLERS 200

typedef struct delays {
	medlar_time_t least;
	medlar_time_t most;
} delays_t;

static delays_t delays_of(retry_reason_t reason, medlar_time_t timeout)
{
	delays_t delays = { INT64_MAX, 0 };
	medlar_rand_t rand = { 1 };

	for (int i = 0; i < CALLERS; i++) {
		medlar_time_t delay = retry_after_delay(reason, timeout, &rand);

		delays.least = delay < delays.least ? delay : delays.least;
		delays.most = delay > delays.most ? delay : delays.most;
	}
	return delays;
}

/* Callers honour a third of their timeout; beyond it they return together. */
static void callers_keep_two_thirds_of_their_timeout(void **state)
{
	const medlar_time_t timeouts[] = { 30, 250, 400, 2500, 10000 };

	(void)state;
	for (retry_reason_t reason = RETRY_NOT_RUN; reason <= RETRY_NOT_READY;
	     reason++)
		for (size_t i = 0; i < sizeof(timeouts) / sizeof(timeouts[0]);
		     i++) {
			delays_t delays = delays_of(reason, timeouts[i]);

			assert_true(delays.least >= 1);
			assert_true(delays.most * 3 <= timeouts[i]);
		}
}

static void callers_refused_together_return_apart(void **state)
{
	delays_t busy = delays_of(RETRY_OVERLOADED, 2500);
	delays_t hurried = delays_of(RETRY_OVERLOADED, 250);

	(void)state;
	assert_true(busy.most - busy.least >= 80);
	assert_true(hurried.most - hurried.least >= 30);
}

/*
 * The store is away while all instances start: a caller that has 10 s must not
 * use its last attempt 200 ms later.
 */
static void callers_wait_longer_for_an_instance_that_is_not_ready(void **state)
{
	delays_t patient = delays_of(RETRY_NOT_READY, 10000);
	delays_t hurried = delays_of(RETRY_NOT_READY, 250);

	(void)state;
	assert_true(patient.least >= 2000);
	assert_true(hurried.most <= 83);
}

static void callers_return_after_the_replicas_and_spread(void **state)
{
	medlar_rand_t rand = { 1 };
	medlar_time_t least = MEDLAR_HOUR;
	medlar_time_t most = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		medlar_time_t delay = retry_after_wait(2000, &rand);

		least = delay < least ? delay : least;
		most = delay > most ? delay : most;
	}
	assert_true(least > 2000);
	assert_true(most - least > 400);
	assert_true(most < 3000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(callers_keep_two_thirds_of_their_timeout),
		cmocka_unit_test(callers_refused_together_return_apart),
		cmocka_unit_test(
			callers_wait_longer_for_an_instance_that_is_not_ready),
		cmocka_unit_test(callers_return_after_the_replicas_and_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
