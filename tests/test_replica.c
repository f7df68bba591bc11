/* Choice of the replica for a request. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/common_service.h"

#define ROUNDS 1000

static unsigned times_chosen(fixture_t *fixture, unsigned number,
			     medlar_time_t now)
{
	const medlar_replica_t *wanted = replica_of(fixture, number);
	unsigned chosen = 0;
	unsigned i;

	for (i = 0; i < ROUNDS; i++)
		chosen += pick_replica(fixture, now) == wanted;
	return chosen;
}

static void end_requests_everywhere(fixture_t *fixture, unsigned replicas,
				    unsigned times, medlar_time_t took,
				    medlar_time_t now)
{
	unsigned i;

	for (i = 0; i < replicas * times; i++)
		end_request(fixture, replica_of(fixture, i % replicas),
			    MEDLAR_RESULT_OK, took, now);
}

static void replica_in_the_own_zone_is_preferred(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(0);

	(void)state;
	set_up(&fixture, 3, 1);
	info.zone = 1;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 0);
	assert_int_equal(times_chosen(&fixture, 0, 1), 0);
	medlar_replica_begin_request(&fixture.client, replica_of(&fixture, 1),
				     1);
	medlar_replica_begin_request(&fixture.client, replica_of(&fixture, 1),
				     1);
	medlar_replica_begin_request(&fixture.client, replica_of(&fixture, 2),
				     1);
	medlar_replica_begin_request(&fixture.client, replica_of(&fixture, 2),
				     1);
	assert_int_equal(times_chosen(&fixture, 0, 1), ROUNDS);
	tear_down(&fixture);
}

static void equal_replicas_get_equal_load(void **state)
{
	fixture_t fixture;
	unsigned chosen;

	(void)state;
	set_up(&fixture, 3, 1);
	chosen = times_chosen(&fixture, 0, 1);
	assert_in_range(chosen, ROUNDS / 4, ROUNDS / 2);
	tear_down(&fixture);
}

static void slower_replica_is_avoided(void **state)
{
	fixture_t fixture;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests_everywhere(&fixture, 3, 4, 4, 1);
	end_request(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_OK, 80, 1);
	assert_int_equal(times_chosen(&fixture, 0, 2), 0);
	tear_down(&fixture);
}

static void cancelled_requests_count_as_latency_samples(void **state)
{
	fixture_t fixture;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests_everywhere(&fixture, 3, 4, 4, 1);
	end_request(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_CANCELLED,
		    80, 1);
	assert_int_equal(times_chosen(&fixture, 0, 2), 0);
	tear_down(&fixture);
}

static void fast_shed_does_not_attract_requests(void **state)
{
	fixture_t fixture;
	const medlar_load_t idle = { 0, 0 };
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests_everywhere(&fixture, 3, 4, 20, 1);
	for (i = 0; i < 3; i++)
		end_request(&fixture, replica_of(&fixture, 0),
			    MEDLAR_RESULT_SHED, 0,
			    100 * (medlar_time_t)(i + 1));
	medlar_replica_report_load(&fixture.client, replica_of(&fixture, 0),
				   &idle, 300);
	assert_int_equal(times_chosen(&fixture, 0, 301), 0);
	tear_down(&fixture);
}

static void sheds_lower_the_concurrency_limit(void **state)
{
	fixture_t fixture;
	medlar_replica_t *replica;
	unsigned i;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_begin_request(&fixture.client, replica, 1);
	medlar_replica_begin_request(&fixture.client, replica, 1);
	assert_ptr_equal(pick_replica(&fixture, 1), replica);
	for (i = 0; i < 3; i++)
		end_request(&fixture, replica, MEDLAR_RESULT_SHED, 0,
			    10 * (medlar_time_t)(i + 1));
	assert_null(pick_replica(&fixture, 31));
	for (i = 0; i < 100; i++)
		end_request(&fixture, replica, MEDLAR_RESULT_OK, 1, 40);
	assert_ptr_equal(pick_replica(&fixture, 41), replica);
	tear_down(&fixture);
}

static void only_recent_load_reports_count(void **state)
{
	fixture_t fixture;
	const medlar_load_t busy = { 1.0F, -1 };

	(void)state;
	set_up(&fixture, 3, 1);
	end_requests_everywhere(&fixture, 3, 4, 4, 1);
	medlar_replica_report_load(&fixture.client, replica_of(&fixture, 0),
				   &busy, 10);
	assert_int_equal(times_chosen(&fixture, 0, 20), 0);
	assert_in_range(times_chosen(&fixture, 0, 3000), ROUNDS / 4,
			ROUNDS / 2);
	tear_down(&fixture);
}

static void new_replica_gets_load_gradually(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(2);
	const medlar_time_t late = 20 * MEDLAR_SECOND;
	unsigned first;
	unsigned half;

	(void)state;
	set_up(&fixture, 2, 1);
	medlar_service_put_replica(&fixture.client, &fixture.service, &info,
				   late);
	first = times_chosen(&fixture, 2, late);
	half = times_chosen(&fixture, 2, late + 5 * MEDLAR_SECOND);
	assert_in_range(first, 5, ROUNDS / 10);
	assert_in_range(half, ROUNDS / 10, ROUNDS / 4);
	assert_in_range(times_chosen(&fixture, 2, late + 10 * MEDLAR_SECOND),
			ROUNDS / 4, ROUNDS / 2);
	tear_down(&fixture);
}

static void replicas_all_in_slow_start_still_serve(void **state)
{
	fixture_t fixture;
	const medlar_time_t late = 20 * MEDLAR_SECOND;
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	for (i = 0; i < 3; i++) {
		medlar_replica_info_t info = make_replica_info(i);

		info.incarnation += 1;
		medlar_service_put_replica(&fixture.client, &fixture.service,
					   &info, late);
	}
	for (i = 0; i < 12; i++) {
		medlar_replica_t *replica = pick_replica(&fixture, late);

		assert_non_null(replica);
		medlar_replica_begin_request(&fixture.client, replica, late);
	}
	tear_down(&fixture);
}

static void hedge_avoids_a_replica_in_slow_start(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(1);
	medlar_pick_t pick = { .for_hedge = true };
	medlar_replica_t *tried = NULL;
	medlar_replica_t *out;
	const medlar_time_t late = 20 * MEDLAR_SECOND;
	unsigned i;

	(void)state;
	set_up(&fixture, 1, 1);
	medlar_service_put_replica(&fixture.client, &fixture.service, &info,
				   late);
	tried = replica_of(&fixture, 0);
	pick.tried = &tried;
	pick.tried_len = 1;
	for (i = 0; i < ROUNDS; i++)
		assert_int_equal(
			medlar_replica_pick(
				&fixture.client,
				medlar_service_shard(&fixture.service, 0),
				&pick, late, &out),
			MEDLAR_ERR_FULL);
	tear_down(&fixture);
}

static void leaving_replica_gets_no_requests(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(0);
	medlar_replica_t *replica;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_set_leaving(&fixture.client, replica, 0, 5);
	assert_null(pick_replica(&fixture, 5));
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 6);
	assert_null(pick_replica(&fixture, 6));
	info.incarnation += 1;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 7);
	assert_ptr_equal(pick_replica(&fixture, 7), replica);
	medlar_replica_set_leaving(&fixture.client, replica,
				   info.incarnation - 1, 8);
	assert_ptr_equal(pick_replica(&fixture, 8), replica);
	tear_down(&fixture);
}

static void leaving_of_a_later_incarnation_is_kept(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(0);

	(void)state;
	set_up(&fixture, 1, 1);
	medlar_replica_set_leaving(&fixture.client, replica_of(&fixture, 0),
				   2000, 5);
	info.incarnation = 2000;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 6);
	assert_null(pick_replica(&fixture, 6));
	tear_down(&fixture);
}

static void removed_replica_is_valid_until_its_requests_end(void **state)
{
	fixture_t fixture;
	medlar_replica_t *replica;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_begin_request(&fixture.client, replica, 1);
	medlar_replica_begin_request(&fixture.client, replica, 1);
	medlar_service_remove_replica(&fixture.client, &fixture.service,
				      id_of(0), 2);
	assert_null(replica_of(&fixture, 0));
	assert_null(pick_replica(&fixture, 2));
	medlar_replica_end_request(&fixture.client, replica, MEDLAR_RESULT_OK,
				   1, 2);
	assert_int_equal(medlar_replica_in_flight(replica), 1);
	tear_down(&fixture);
}

static void reported_versions_override_the_list(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(0);
	const uint32_t versions[] = { 8 };

	(void)state;
	set_up(&fixture, 1, 1);
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 5);
	medlar_replica_set_versions(&fixture.client, replica_of(&fixture, 0),
				    versions, 1);
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 6);
	assert_true(medlar_replica_serves(replica_of(&fixture, 0), 8));
	assert_false(medlar_replica_serves(replica_of(&fixture, 0), 7));
	medlar_service_put_replica(&fixture.client, &fixture.service, &info,
				   2 * MEDLAR_MINUTE);
	assert_true(medlar_replica_serves(replica_of(&fixture, 0), 7));
	tear_down(&fixture);
}

/* A changed entry of the list is newer than the versions reported before. */
static void changed_list_entry_overrides_reported_versions(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = make_replica_info(0);
	const uint32_t versions[] = { 8 };

	(void)state;
	set_up(&fixture, 1, 1);
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 5);
	medlar_replica_set_versions(&fixture.client, replica_of(&fixture, 0),
				    versions, 1);
	info.versions[0] = 9;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 6);
	assert_true(medlar_replica_serves(replica_of(&fixture, 0), 9));
	tear_down(&fixture);
}

static void replica_with_old_versions_is_tried(void **state)
{
	const medlar_pick_t pick = { .version = 99 };
	const uint32_t versions[] = { 98 };
	fixture_t fixture;
	medlar_replica_t *replica;
	medlar_time_t now = MEDLAR_MINUTE;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_begin_request(&fixture.client, replica, now);
	medlar_replica_end_request(&fixture.client, replica, MEDLAR_RESULT_OK,
				   1, now);
	medlar_replica_set_versions(&fixture.client, replica, versions, 1);
	assert_int_equal(
		medlar_replica_pick(&fixture.client,
				    medlar_service_shard(&fixture.service, 0),
				    &pick, now + 10, &replica),
		MEDLAR_ERR_NO_VERSION);
	assert_int_equal(
		medlar_replica_pick(&fixture.client,
				    medlar_service_shard(&fixture.service, 0),
				    &pick, now + 2 * MEDLAR_SECOND, &replica),
		MEDLAR_OK);
	tear_down(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(replica_in_the_own_zone_is_preferred),
		cmocka_unit_test(equal_replicas_get_equal_load),
		cmocka_unit_test(slower_replica_is_avoided),
		cmocka_unit_test(cancelled_requests_count_as_latency_samples),
		cmocka_unit_test(fast_shed_does_not_attract_requests),
		cmocka_unit_test(sheds_lower_the_concurrency_limit),
		cmocka_unit_test(only_recent_load_reports_count),
		cmocka_unit_test(new_replica_gets_load_gradually),
		cmocka_unit_test(replicas_all_in_slow_start_still_serve),
		cmocka_unit_test(hedge_avoids_a_replica_in_slow_start),
		cmocka_unit_test(leaving_replica_gets_no_requests),
		cmocka_unit_test(leaving_of_a_later_incarnation_is_kept),
		cmocka_unit_test(
			removed_replica_is_valid_until_its_requests_end),
		cmocka_unit_test(reported_versions_override_the_list),
		cmocka_unit_test(
			changed_list_entry_overrides_reported_versions),
		cmocka_unit_test(replica_with_old_versions_is_tried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
