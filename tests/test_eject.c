/* Ejection of replicas: reasons, bounds, and return. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/common_service.h"

static void end_requests(fixture_t *fixture, unsigned number,
			 medlar_request_result_t result, unsigned times,
			 medlar_time_t now)
{
	unsigned i;

	for (i = 0; i < times; i++)
		end_request(fixture, replica_of(fixture, number), result, 1,
			    now);
}

static bool is_usable(fixture_t *fixture, unsigned number, medlar_time_t now)
{
	return medlar_replica_usable(replica_of(fixture, number), now);
}

static void consecutive_failures_eject(void **state)
{
	const medlar_request_result_t results[] = { MEDLAR_RESULT_ERROR,
						    MEDLAR_RESULT_RESET,
						    MEDLAR_RESULT_REFUSED };
	fixture_t fixture;
	unsigned i;

	(void)state;
	for (i = 0; i < 3; i++) {
		set_up(&fixture, 3, 1);
		end_requests(&fixture, 0, results[i], 5, 10);
		assert_false(is_usable(&fixture, 0, 10));
		assert_true(is_usable(&fixture, 1, 10));
		tear_down(&fixture);
	}
}

static void sheds_do_not_eject(void **state)
{
	fixture_t fixture;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests(&fixture, 0, MEDLAR_RESULT_SHED, 100, 10);
	assert_true(is_usable(&fixture, 0, 10));
	tear_down(&fixture);
}

static void silence_counts_only_with_refused_connections(void **state)
{
	fixture_t fixture;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests(&fixture, 0, MEDLAR_RESULT_SILENT, 100, 10);
	assert_true(is_usable(&fixture, 0, 10));
	end_requests(&fixture, 0, MEDLAR_RESULT_REFUSED, 1, 10);
	end_requests(&fixture, 0, MEDLAR_RESULT_SILENT, 3, 10);
	assert_false(is_usable(&fixture, 0, 10));
	tear_down(&fixture);
}

static void half_open_request_decides_the_return(void **state)
{
	fixture_t fixture;
	medlar_replica_t *replica;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests(&fixture, 0, MEDLAR_RESULT_ERROR, 5, 0);
	replica = replica_of(&fixture, 0);
	assert_false(is_usable(&fixture, 0, 999));
	assert_true(is_usable(&fixture, 0, 1000));
	end_request(&fixture, replica, MEDLAR_RESULT_RESET, 1, 1000);
	assert_false(is_usable(&fixture, 0, 2999));
	assert_true(is_usable(&fixture, 0, 3000));
	end_request(&fixture, replica, MEDLAR_RESULT_OK, 1, 3000);
	end_requests(&fixture, 0, MEDLAR_RESULT_ERROR, 4, 3000);
	assert_true(is_usable(&fixture, 0, 3000));
	tear_down(&fixture);
}

static void half_open_replica_gets_one_request(void **state)
{
	fixture_t fixture;
	const medlar_time_t due = MEDLAR_SECOND;
	medlar_replica_t *replica;
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests(&fixture, 0, MEDLAR_RESULT_ERROR, 5, 0);
	replica = replica_of(&fixture, 0);
	medlar_replica_begin_request(&fixture.client, replica, due);
	for (i = 0; i < 100; i++)
		assert_ptr_not_equal(pick_replica(&fixture, due), replica);
	tear_down(&fixture);
}

static void slow_replica_is_ejected(void **state)
{
	fixture_t fixture;
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	for (i = 0; i < 32; i++) {
		end_request(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_OK,
			    60, i);
		end_request(&fixture, replica_of(&fixture, 1), MEDLAR_RESULT_OK,
			    6, i);
		end_request(&fixture, replica_of(&fixture, 2), MEDLAR_RESULT_OK,
			    6, i);
	}
	assert_false(is_usable(&fixture, 0, 32));
	end_request(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_OK, 60,
		    2000);
	assert_false(is_usable(&fixture, 0, 2000));
	tear_down(&fixture);
}

static void shard_wide_slowness_ejects_none(void **state)
{
	fixture_t fixture;
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	for (i = 0; i < 300; i++)
		end_request(&fixture, replica_of(&fixture, i % 3),
			    MEDLAR_RESULT_OK, i < 150 ? 10 : 500, i);
	for (i = 0; i < 3; i++)
		assert_true(is_usable(&fixture, i, 300));
	tear_down(&fixture);
}

static void fully_ejected_shard_is_still_used(void **state)
{
	fixture_t fixture;
	medlar_policy_t policy;
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	policy = *medlar_service_policy(&fixture.service);
	policy.eject_max = 1;
	medlar_service_set_policy(&fixture.client, &fixture.service, &policy);
	for (i = 0; i < 3; i++)
		end_requests(&fixture, i, MEDLAR_RESULT_ERROR, 5, 0);
	for (i = 0; i < 3; i++)
		assert_false(is_usable(&fixture, i, 1));
	assert_non_null(pick_replica(&fixture, 1));
	tear_down(&fixture);
}

static void restart_clears_the_ejection(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(0);

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests(&fixture, 0, MEDLAR_RESULT_ERROR, 5, 0);
	info.incarnation += 1;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 1);
	assert_true(is_usable(&fixture, 0, 1));
	tear_down(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(consecutive_failures_eject),
		cmocka_unit_test(sheds_do_not_eject),
		cmocka_unit_test(silence_counts_only_with_refused_connections),
		cmocka_unit_test(half_open_request_decides_the_return),
		cmocka_unit_test(half_open_replica_gets_one_request),
		cmocka_unit_test(slow_replica_is_ejected),
		cmocka_unit_test(shard_wide_slowness_ejects_none),
		cmocka_unit_test(fully_ejected_shard_is_still_used),
		cmocka_unit_test(restart_clears_the_ejection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
