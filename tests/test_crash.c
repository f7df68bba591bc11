/* Detection of crashes, and conviction of requests that cause them. */
#include "libroute/crash.h"
#include "route_sim.h"

/* Replies reset by the network must not convict the request. */
static void a_connection_reset_alone_is_no_crash(void **state)
{
	crash_detector_t crash = { 0 };

	(void)state;
	assert_int_equal(crash_on_request_broken(&crash, 7, 1000), 0);
	crash_on_connected(&crash, 1001);
	assert_int_equal(crash_on_connect_refused(&crash, 1100), 0);
	assert_int_equal(crash_on_idle_closed(&crash, 2000), 0);
}

static void a_refused_connection_confirms_a_crash(void **state)
{
	crash_detector_t crash = { 0 };

	(void)state;
	assert_int_equal(crash_on_request_broken(&crash, 7, 1000), 0);
	assert_int_equal(crash_on_connect_refused(&crash, 1500), 7);
	assert_int_equal(crash_on_connect_refused(&crash, 1501), 0);
}

static void connections_closed_together_confirm_a_crash(void **state)
{
	crash_detector_t crash = { 0 };

	(void)state;
	assert_int_equal(crash_on_idle_closed(&crash, 990), 0);
	assert_int_equal(crash_on_request_broken(&crash, 7, 1000), 7);
	crash = (crash_detector_t){ 0 };
	assert_int_equal(crash_on_request_broken(&crash, 8, 1000), 0);
	assert_int_equal(crash_on_idle_closed(&crash, 1005), 8);
}

/*
 * An exiting replica may still accept a connection after its last one has
 * closed and before its listening socket does.
 */
static void an_accept_by_an_exiting_replica_rules_out_nothing(void **state)
{
	crash_detector_t crash = { 0 };

	(void)state;
	assert_int_equal(crash_on_request_broken(&crash, 7, 1000), 0);
	crash_on_connected(&crash, 1001);
	assert_int_equal(crash_on_idle_closed(&crash, 1002), 7);
	crash = (crash_detector_t){ 0 };
	assert_int_equal(crash_on_request_broken(&crash, 8, 1000), 0);
	crash_on_connected(&crash, 1001);
	assert_int_equal(crash_on_connect_refused(&crash, 1020), 8);
}

static void an_old_break_is_not_blamed(void **state)
{
	crash_detector_t crash = { 0 };

	(void)state;
	(void)crash_on_request_broken(&crash, 7, 1000);
	assert_int_equal(crash_on_connect_refused(&crash, 9000), 0);
}

static void three_crashes_convict_and_an_answer_clears(void **state)
{
	static suspects_t suspects;

	(void)state;
	assert_int_equal(suspects_add_crash(&suspects, 7, 1, 10), 1);
	assert_int_equal(suspects_add_crash(&suspects, 7, 1, 11), 1);
	assert_int_equal(suspects_add_crash(&suspects, 7, 2, 12), 2);
	assert_false(suspects_is_convicted(&suspects, 7, 12));
	assert_int_equal(suspects_add_crash(&suspects, 7, 3, 13), 3);
	assert_true(suspects_is_convicted(&suspects, 7, 14));
	assert_false(suspects_is_convicted(&suspects, 8, 14));
	assert_false(suspects_is_convicted(&suspects, 7, 13 + 61 * 1000));
	suspects_add_answer(&suspects, 7, 14);
	assert_false(suspects_is_convicted(&suspects, 7, 15));
	suspects_convict(&suspects, 9, 20);
	assert_true(suspects_is_convicted(&suspects, 9, 21));
	suspects_convict(&suspects, 9, 50 * MEDLAR_SECOND);
	assert_false(suspects_is_convicted(&suspects, 9, 70 * MEDLAR_SECOND));
}

/* Each crash is heard of again and again, also after the request was answered. */
static void a_crash_that_is_told_again_counts_once(void **state)
{
	static suspects_t suspects;
	crash_report_t recent[SUSPECTS_RECENT_MAX];

	(void)state;
	assert_int_equal(suspects_add_crash(&suspects, 7, 1, 10), 1);
	assert_int_equal(suspects_add_crash(&suspects, 7, 2, 12), 2);
	assert_int_equal(suspects_add_crash(&suspects, 7, 1, 10), 2);
	assert_int_equal(suspects_list_recent(&suspects, 20, recent), 2);
	suspects_add_answer(&suspects, 7, 20);
	assert_int_equal(suspects_add_crash(&suspects, 7, 3, 19), 0);
	assert_int_equal(suspects_add_crash(&suspects, 7, 3, 21), 1);
	assert_int_equal(suspects_list_recent(&suspects, 30, recent), 3);
	assert_int_equal(recent[2].replica, 3);
	assert_int_equal(recent[2].at, 21);
	assert_int_equal(
		suspects_list_recent(&suspects, 2 * MEDLAR_MINUTE, recent), 0);
}

/* The first crash after the end of a conviction is enough to renew it. */
static void a_conviction_is_renewed_by_one_crash(void **state)
{
	static suspects_t suspects;
	medlar_time_t later = 2 * MEDLAR_MINUTE;

	(void)state;
	for (unsigned i = 1; i <= SUSPECT_BREAKS; i++)
		(void)suspects_add_crash(&suspects, 7, i, 10 + i);
	assert_false(suspects_is_convicted(&suspects, 7, later));
	(void)suspects_add_crash(&suspects, 7, 9, later);
	assert_true(suspects_is_convicted(&suspects, 7, later + 1));
}

/*
 * Guards against BUDGET: at the end of a conviction callers that repeat at once made
 * all instances try the request in the same moment. test_trials plays the instances.
 */
static void one_trial_is_granted_after_the_end_of_a_conviction(void **state)
{
	static suspects_t suspects;
	medlar_time_t end = 13 + SUSPECT_CONVICTION_MS;
	int granted = 0;

	(void)state;
	for (unsigned i = 1; i <= SUSPECT_BREAKS; i++)
		(void)suspects_add_crash(&suspects, 7, i, 10 + i);
	assert_true(suspect_is_refused(suspects_find_convicted(&suspects, 7),
				       end - 1));
	assert_false(suspects_grant_trial(&suspects, 7, end - 1));
	for (int i = 0; i < 20; i++)
		granted += suspects_grant_trial(&suspects, 7, end + i);
	assert_int_equal(granted, 1);
	(void)suspects_add_crash(&suspects, 7, 99, end + 50);
	assert_false(suspects_grant_trial(&suspects, 7,
					  end + SUSPECT_CONVICTION_MS));
}

/* Long after the end, too, and at an instance that has started since. */
static void one_trial_is_granted_long_after_a_conviction(void **state)
{
	static suspects_t suspects;
	static suspects_t started;
	medlar_time_t later = 100 * SUSPECT_CONVICTION_MS;
	int granted = 0;

	(void)state;
	suspects_convict(&suspects, 7, 10);
	for (int i = 0; i < 20; i++) {
		granted += suspects_grant_trial(&suspects, 7, later + i);
		granted += suspects_grant_trial(&started, 7, later + i);
	}
	assert_int_equal(granted, 2);
}

/* A trial may end without an outcome, and an answer ends the conviction. */
static void a_conviction_ends_in_time(void **state)
{
	static suspects_t suspects;
	medlar_time_t end = 10 + SUSPECT_CONVICTION_MS;

	(void)state;
	suspects_convict(&suspects, 7, 10);
	assert_non_null(suspects_find_convicted(&suspects, 7));
	assert_true(suspects_grant_trial(&suspects, 7, end));
	assert_false(suspects_grant_trial(&suspects, 7, end + 1));
	assert_true(suspects_grant_trial(&suspects, 7, end + 10000));
	suspects_add_answer(&suspects, 7, end + 10001);
	assert_null(suspects_find_convicted(&suspects, 7));
	assert_true(suspects_grant_trial(&suspects, 7, end + 10002));
	assert_true(suspects_grant_trial(&suspects, 7, end + 10003));
}

/*
 * Guards against CONFIG: all replicas of a service went down at once, and a popular
 * request that they were running was refused for a minute.
 */
static void a_popular_request_is_not_blamed_for_an_outage(void **state)
{
	static suspects_t suspects;
	crash_report_t recent[SUSPECTS_RECENT_MAX];

	(void)state;
	suspects_add_answer(&suspects, 7, 1000);
	for (unsigned i = 1; i <= 5; i++)
		(void)suspects_add_crash(&suspects, 7, i, 1000 + 10 * i);
	assert_false(suspects_is_convicted(&suspects, 7, 1100));
	assert_int_equal(suspects_list_recent(&suspects, 1100, recent), 1);
	suspects_convict(&suspects, 7, 1200);
	assert_false(suspects_is_convicted(&suspects, 7, 1200));
	suspects_add_stored(&suspects, 7, 1200);
	assert_false(suspects_is_convicted(&suspects, 7, 1200));
}

/* A request that was answered once may begin to crash replicas all the same. */
static void crashes_after_each_return_convict_a_popular_request(void **state)
{
	static suspects_t suspects;
	medlar_time_t now = 0;

	(void)state;
	suspects_add_answer(&suspects, 7, 1000);
	for (unsigned i = 0; i < SUSPECT_BREAKS; i++) {
		now = 1000 + 2500 * (medlar_time_t)i;
		assert_false(suspects_is_convicted(&suspects, 7, now));
		(void)suspects_add_crash(&suspects, 7, 2 * i + 1, now + 10);
		(void)suspects_add_crash(&suspects, 7, 2 * i + 2, now + 20);
	}
	assert_true(suspects_is_convicted(&suspects, 7, now + 20));
}

/* Guards against BUDGET: a kill of all instances made them forget what crashes. */
static void a_conviction_read_from_the_store_holds(void **state)
{
	static suspects_t suspects;
	size_t position = 0;

	(void)state;
	suspects_add_stored(&suspects, 7, 10);
	assert_true(suspects_is_convicted(&suspects, 7, 11));
	assert_null(suspects_next_unstored(&suspects, &position, 11));
	assert_false(suspects_is_convicted(&suspects, 7,
					   10 + SUSPECT_CONVICTION_MS));
}

static void a_conviction_is_stored_once_and_again_when_prolonged(void **state)
{
	static suspects_t suspects;
	medlar_time_t later = SUSPECT_CONVICTION_MS - 1;
	size_t position = 0;
	suspect_t *found;

	(void)state;
	for (unsigned i = 1; i < SUSPECT_BREAKS; i++)
		(void)suspects_add_crash(&suspects, 7, i, 10 + i);
	assert_null(suspects_next_unstored(&suspects, &position, 20));
	(void)suspects_add_crash(&suspects, 7, SUSPECT_BREAKS, 20);
	position = 0;
	found = suspects_next_unstored(&suspects, &position, 20);
	assert_non_null(found);
	assert_int_equal(found->fingerprint, 7);
	assert_null(suspects_next_unstored(&suspects, &position, 20));
	found->written_at = 20;
	position = 0;
	assert_null(suspects_next_unstored(&suspects, &position, 2000));
	position = 0;
	assert_ptr_equal(suspects_next_unstored(&suspects, &position, 5000),
			 found);
	suspects_add_stored(&suspects, 7, 25);
	(void)suspects_add_crash(&suspects, 7, 8, 30);
	position = 0;
	assert_null(suspects_next_unstored(&suspects, &position, 30));
	(void)suspects_add_crash(&suspects, 7, 9, later);
	position = 0;
	assert_non_null(suspects_next_unstored(&suspects, &position, later));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_connection_reset_alone_is_no_crash),
		cmocka_unit_test(a_refused_connection_confirms_a_crash),
		cmocka_unit_test(connections_closed_together_confirm_a_crash),
		cmocka_unit_test(
			an_accept_by_an_exiting_replica_rules_out_nothing),
		cmocka_unit_test(an_old_break_is_not_blamed),
		cmocka_unit_test(three_crashes_convict_and_an_answer_clears),
		cmocka_unit_test(a_crash_that_is_told_again_counts_once),
		cmocka_unit_test(a_conviction_is_renewed_by_one_crash),
		cmocka_unit_test(
			one_trial_is_granted_after_the_end_of_a_conviction),
		cmocka_unit_test(one_trial_is_granted_long_after_a_conviction),
		cmocka_unit_test(a_conviction_ends_in_time),
		cmocka_unit_test(a_popular_request_is_not_blamed_for_an_outage),
		cmocka_unit_test(
			crashes_after_each_return_convict_a_popular_request),
		cmocka_unit_test(a_conviction_read_from_the_store_holds),
		cmocka_unit_test(
			a_conviction_is_stored_once_and_again_when_prolonged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
