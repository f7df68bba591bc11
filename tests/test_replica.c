/* What decides which replica gets a request. */
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
		chosen += choose(fixture, now) == wanted;
	return chosen;
}

static void serve_all(fixture_t *fixture, unsigned replicas, unsigned times,
		      medlar_time_t took, medlar_time_t now)
{
	unsigned i;

	for (i = 0; i < replicas * times; i++)
		serve(fixture, replica_of(fixture, i % replicas),
		      MEDLAR_RESULT_OK, took, now);
}

static void prefers_its_own_zone(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(0);

	(void)state;
	set_up(&fixture, 3, 1);
	info.zone = 1;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 0);
	assert_int_equal(times_chosen(&fixture, 0, 1), 0);
	medlar_replica_sent(&fixture.client, replica_of(&fixture, 1), 1);
	medlar_replica_sent(&fixture.client, replica_of(&fixture, 1), 1);
	medlar_replica_sent(&fixture.client, replica_of(&fixture, 2), 1);
	medlar_replica_sent(&fixture.client, replica_of(&fixture, 2), 1);
	assert_int_equal(times_chosen(&fixture, 0, 1), ROUNDS);
	tear_down(&fixture);
}

static void spreads_equal_replicas_evenly(void **state)
{
	fixture_t fixture;
	unsigned chosen;

	(void)state;
	set_up(&fixture, 3, 1);
	chosen = times_chosen(&fixture, 0, 1);
	assert_in_range(chosen, ROUNDS / 4, ROUNDS / 2);
	tear_down(&fixture);
}

static void avoids_a_replica_that_is_slower(void **state)
{
	fixture_t fixture;

	(void)state;
	set_up(&fixture, 3, 1);
	serve_all(&fixture, 3, 4, 4, 1);
	serve(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_OK, 80, 1);
	assert_int_equal(times_chosen(&fixture, 0, 2), 0);
	tear_down(&fixture);
}

static void learns_slowness_from_cancelled_requests(void **state)
{
	fixture_t fixture;

	(void)state;
	set_up(&fixture, 3, 1);
	serve_all(&fixture, 3, 4, 4, 1);
	serve(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_CANCELLED, 80,
	      1);
	assert_int_equal(times_chosen(&fixture, 0, 2), 0);
	tear_down(&fixture);
}

static void a_quick_shed_does_not_attract_requests(void **state)
{
	fixture_t fixture;
	const medlar_load_t idle = { 0, 0 };
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	serve_all(&fixture, 3, 4, 20, 1);
	for (i = 0; i < 3; i++)
		serve(&fixture, replica_of(&fixture, 0), MEDLAR_RESULT_SHED, 0,
		      100 * (medlar_time_t)(i + 1));
	medlar_replica_report(&fixture.client, replica_of(&fixture, 0), &idle,
			      300);
	assert_int_equal(times_chosen(&fixture, 0, 301), 0);
	tear_down(&fixture);
}

static void sheds_lower_what_may_be_in_flight(void **state)
{
	fixture_t fixture;
	medlar_replica_t *replica;
	unsigned i;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_sent(&fixture.client, replica, 1);
	medlar_replica_sent(&fixture.client, replica, 1);
	assert_ptr_equal(choose(&fixture, 1), replica);
	for (i = 0; i < 3; i++)
		serve(&fixture, replica, MEDLAR_RESULT_SHED, 0,
		      10 * (medlar_time_t)(i + 1));
	assert_null(choose(&fixture, 31));
	for (i = 0; i < 100; i++)
		serve(&fixture, replica, MEDLAR_RESULT_OK, 1, 40);
	assert_ptr_equal(choose(&fixture, 41), replica);
	tear_down(&fixture);
}

static void a_fresh_report_of_load_deters_and_an_old_one_does_not(void **state)
{
	fixture_t fixture;
	const medlar_load_t busy = { 1.0F, -1 };

	(void)state;
	set_up(&fixture, 3, 1);
	serve_all(&fixture, 3, 4, 4, 1);
	medlar_replica_report(&fixture.client, replica_of(&fixture, 0), &busy,
			      10);
	assert_int_equal(times_chosen(&fixture, 0, 20), 0);
	assert_in_range(times_chosen(&fixture, 0, 3000), ROUNDS / 4,
			ROUNDS / 2);
	tear_down(&fixture);
}

static void a_new_replica_gets_some_but_not_its_full_load(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(2);
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

static void all_cold_replicas_still_serve(void **state)
{
	fixture_t fixture;
	const medlar_time_t late = 20 * MEDLAR_SECOND;
	unsigned i;

	(void)state;
	set_up(&fixture, 3, 1);
	for (i = 0; i < 3; i++) {
		medlar_replica_info_t info = listed(i);

		info.incarnation += 1;
		medlar_service_put_replica(&fixture.client, &fixture.service,
					   &info, late);
	}
	for (i = 0; i < 12; i++) {
		medlar_replica_t *replica = choose(&fixture, late);

		assert_non_null(replica);
		medlar_replica_sent(&fixture.client, replica, late);
	}
	tear_down(&fixture);
}

static void a_hedge_never_goes_to_a_cold_replica(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(1);
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

static void a_leaving_replica_gets_nothing_more(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(0);
	medlar_replica_t *replica;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_leave(&fixture.client, replica, 0, 5);
	assert_null(choose(&fixture, 5));
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 6);
	assert_null(choose(&fixture, 6));
	info.incarnation += 1;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 7);
	assert_ptr_equal(choose(&fixture, 7), replica);
	medlar_replica_leave(&fixture.client, replica, info.incarnation - 1, 8);
	assert_ptr_equal(choose(&fixture, 8), replica);
	tear_down(&fixture);
}

static void news_of_a_later_incarnation_leaving_counts(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(0);

	(void)state;
	set_up(&fixture, 1, 1);
	medlar_replica_leave(&fixture.client, replica_of(&fixture, 0), 2000, 5);
	info.incarnation = 2000;
	medlar_service_put_replica(&fixture.client, &fixture.service, &info, 6);
	assert_null(choose(&fixture, 6));
	tear_down(&fixture);
}

static void a_removed_replica_lives_until_its_requests_end(void **state)
{
	fixture_t fixture;
	medlar_replica_t *replica;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_sent(&fixture.client, replica, 1);
	medlar_replica_sent(&fixture.client, replica, 1);
	medlar_service_remove_replica(&fixture.client, &fixture.service,
				      id_of(0), 2);
	assert_null(replica_of(&fixture, 0));
	assert_null(choose(&fixture, 2));
	medlar_replica_done(&fixture.client, replica, MEDLAR_RESULT_OK, 1, 2);
	assert_int_equal(medlar_replica_in_flight(replica), 1);
	tear_down(&fixture);
}

static void own_news_of_versions_outweighs_the_list(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(0);
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

/* A list that lags is corrected by a reply, one that is ignored by nothing. */
static void a_change_in_the_list_is_news(void **state)
{
	fixture_t fixture;
	medlar_replica_info_t info = listed(0);
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

static void a_replica_not_heard_of_lately_is_asked_for_a_version(void **state)
{
	const medlar_pick_t pick = { .version = 99 };
	const uint32_t versions[] = { 98 };
	fixture_t fixture;
	medlar_replica_t *replica;
	medlar_time_t now = MEDLAR_MINUTE;

	(void)state;
	set_up(&fixture, 1, 1);
	replica = replica_of(&fixture, 0);
	medlar_replica_sent(&fixture.client, replica, now);
	medlar_replica_done(&fixture.client, replica, MEDLAR_RESULT_OK, 1, now);
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
		cmocka_unit_test(prefers_its_own_zone),
		cmocka_unit_test(spreads_equal_replicas_evenly),
		cmocka_unit_test(avoids_a_replica_that_is_slower),
		cmocka_unit_test(learns_slowness_from_cancelled_requests),
		cmocka_unit_test(a_quick_shed_does_not_attract_requests),
		cmocka_unit_test(sheds_lower_what_may_be_in_flight),
		cmocka_unit_test(
			a_fresh_report_of_load_deters_and_an_old_one_does_not),
		cmocka_unit_test(a_new_replica_gets_some_but_not_its_full_load),
		cmocka_unit_test(all_cold_replicas_still_serve),
		cmocka_unit_test(a_hedge_never_goes_to_a_cold_replica),
		cmocka_unit_test(a_leaving_replica_gets_nothing_more),
		cmocka_unit_test(news_of_a_later_incarnation_leaving_counts),
		cmocka_unit_test(
			a_removed_replica_lives_until_its_requests_end),
		cmocka_unit_test(own_news_of_versions_outweighs_the_list),
		cmocka_unit_test(a_change_in_the_list_is_news),
		cmocka_unit_test(
			a_replica_not_heard_of_lately_is_asked_for_a_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
