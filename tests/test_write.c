/* Writes of two instances against a simulated store and upstream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "bench/write_model.h"

#define MS ((medlar_time_t)MODEL_US_PER_MS)
#define REQUEST_TIMEOUT ((medlar_time_t)1000)
#define WRITES 20000

static medlar_policy_t make_policy(uint32_t partitions)
{
	return (medlar_policy_t){
		.name = "ledger",
		.window = MEDLAR_HOUR,
		.deadline = REQUEST_TIMEOUT,
		.partitions = partitions,
	};
}

static void init_model(model_t *model, uint32_t partitions)
{
	medlar_policy_t policy = make_policy(partitions);
	int i;

	model_init(model, 1);
	for (i = 0; i < 2; i++)
		model_add_instance(model, &policy, 0);
}

static model_request_t send_and_wait(model_t *model, medlar_uuid_t key,
				     int instance)
{
	model_request_t request = { .key = key, .instance = instance };

	model_start_write(model, &request, REQUEST_TIMEOUT);
	model_run(model, model->now + 2 * REQUEST_TIMEOUT * MS);
	assert_true(request.answered_at > 0);
	return request;
}

static void assert_answer(const model_request_t *request,
			  medlar_write_outcome_t outcome, int error)
{
	assert_int_equal(request->answer.outcome, outcome);
	assert_int_equal(request->answer.error, error);
}

static void replays_the_result_through_another_instance(void **state)
{
	model_t model;
	model_request_t first;
	model_request_t again;
	medlar_uuid_t key;

	(void)state;
	init_model(&model, 1);
	key = model_make_key(&model, 0);
	first = send_and_wait(&model, key, 0);
	assert_answer(&first, MEDLAR_WRITE_RAN, MEDLAR_OK);
	again = send_and_wait(&model, key, 1);
	assert_answer(&again, MEDLAR_WRITE_RAN, MEDLAR_OK);
	assert_true(again.answer.replayed);
	assert_int_equal(again.dispatches, 0);
	model_finish(&model);
}

static void answers_unknown_while_another_instance_runs_it(void **state)
{
	model_t model;
	model_request_t first = { .instance = 0 };
	model_request_t again;

	(void)state;
	init_model(&model, 1);
	model.upstream_time = 3 * REQUEST_TIMEOUT * MS;
	first.key = model_make_key(&model, 0);
	model_start_write(&model, &first, REQUEST_TIMEOUT);
	model_run(&model, 100 * MS);
	again = send_and_wait(&model, first.key, 1);
	assert_answer(&again, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_CONFLICT);
	assert_answer(&first, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_DEADLINE);
	model_finish(&model);
}

static void replays_to_a_duplicate_of_a_running_write(void **state)
{
	model_request_t first = { .instance = 0 };
	model_request_t again;
	model_t model;

	(void)state;
	init_model(&model, 1);
	model.upstream_time = 200 * MS;
	first.key = model_make_key(&model, 0);
	model_start_write(&model, &first, REQUEST_TIMEOUT);
	model_run(&model, 50 * MS);
	again = send_and_wait(&model, first.key, 1);
	assert_answer(&again, MEDLAR_WRITE_RAN, MEDLAR_OK);
	assert_true(again.answer.replayed);
	assert_int_equal(first.executions, 1);
	model_finish(&model);
}

static void answers_at_once_when_a_claim_has_no_outcome(void **state)
{
	model_request_t again;
	medlar_uuid_t key;
	model_t model;

	(void)state;
	init_model(&model, 1);
	key = model_make_key(&model, 0);
	model.reset = 1;
	send_and_wait(&model, key, 0);
	again = send_and_wait(&model, key, 1);
	assert_answer(&again, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_CONFLICT);
	assert_true(again.answered_at - again.sent_at < 50 * MS);
	model_finish(&model);
}

static void records_a_result_that_comes_after_the_answer(void **state)
{
	model_t model;
	model_request_t first;
	model_request_t again;
	medlar_uuid_t key;

	(void)state;
	init_model(&model, 1);
	model.upstream_time = 3 * REQUEST_TIMEOUT / 2 * MS;
	key = model_make_key(&model, 0);
	first = send_and_wait(&model, key, 0);
	assert_answer(&first, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_DEADLINE);
	again = send_and_wait(&model, key, 1);
	assert_answer(&again, MEDLAR_WRITE_RAN, MEDLAR_OK);
	model_finish(&model);
}

static void refuses_within_the_deadline_while_the_store_is_down(void **state)
{
	model_t model;
	model_request_t request;

	(void)state;
	init_model(&model, 1);
	model.down = true;
	request = send_and_wait(&model, model_make_key(&model, 0), 0);
	assert_answer(&request, MEDLAR_WRITE_NOT_RUN, MEDLAR_ERR_STORE_DOWN);
	assert_true(request.answered_at - request.sent_at <
		    REQUEST_TIMEOUT * MS);
	assert_int_equal(request.dispatches, 0);
	model_finish(&model);
}

static void retries_under_the_same_claim_if_not_executed(void **state)
{
	model_t model;
	model_request_t request;

	(void)state;
	init_model(&model, 1);
	model.refused = 1;
	request = send_and_wait(&model, model_make_key(&model, 0), 0);
	assert_answer(&request, MEDLAR_WRITE_NOT_RUN, MEDLAR_ERR_UNAVAILABLE);
	assert_in_range(request.dispatches, 2, 16);
	assert_int_equal(model.instances[0].writes.stats.claims, 1);
	model_finish(&model);
}

static void runs_a_key_again_that_was_recorded_as_not_run(void **state)
{
	model_t model;
	model_request_t request;
	medlar_uuid_t key;

	(void)state;
	init_model(&model, 1);
	key = model_make_key(&model, 0);
	model.refused = 1;
	send_and_wait(&model, key, 0);
	model.refused = 0;
	request = send_and_wait(&model, key, 1);
	assert_answer(&request, MEDLAR_WRITE_RAN, MEDLAR_OK);
	assert_false(request.answer.replayed);
	model_finish(&model);
}

static void never_runs_a_key_again_after_a_reset(void **state)
{
	model_t model;
	model_request_t request;
	medlar_uuid_t key;

	(void)state;
	init_model(&model, 1);
	key = model_make_key(&model, 0);
	model.reset = 1;
	request = send_and_wait(&model, key, 0);
	assert_answer(&request, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_IO);
	assert_int_equal(request.dispatches, 1);
	request = send_and_wait(&model, key, 0);
	assert_answer(&request, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_CONFLICT);
	assert_int_equal(request.dispatches, 0);
	model_finish(&model);
}

static void refuses_keys_outside_the_window(void **state)
{
	model_t model;
	model_request_t old;
	model_request_t early;

	(void)state;
	init_model(&model, 1);
	old = send_and_wait(&model, model_make_key(&model, MEDLAR_HOUR + 1), 0);
	assert_answer(&old, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_EXPIRED);
	early = send_and_wait(
		&model, model_make_key(&model, -2 * MEDLAR_CLOCK_SKEW_MAX), 0);
	assert_answer(&early, MEDLAR_WRITE_NOT_RUN, MEDLAR_ERR_RANGE);
	model_finish(&model);
}

/*
 * An instance whose clock is 3 hours ahead drops the entry while the key is
 * still within the window. The key must not run again.
 */
static void refuses_a_key_whose_entry_was_dropped_early(void **state)
{
	model_t model;
	model_request_t request;
	medlar_uuid_t key;

	(void)state;
	init_model(&model, 1);
	key = model_make_key(&model, 0);
	send_and_wait(&model, key, 0);
	model.instances[1].writes.epoch += 3 * MEDLAR_HOUR;
	send_and_wait(&model, model_make_key(&model, -3 * MEDLAR_HOUR), 1);
	request = send_and_wait(&model, key, 0);
	assert_answer(&request, MEDLAR_WRITE_UNKNOWN, MEDLAR_ERR_EXPIRED);
	assert_int_equal(request.dispatches, 0);
	model_finish(&model);
}

static void commits_many_claims_together(void **state)
{
	model_request_t requests[100] = { 0 };
	model_t model;
	size_t i;

	(void)state;
	init_model(&model, 1);
	send_and_wait(&model, model_make_key(&model, 0), 0);
	for (i = 0; i < 100; i++) {
		requests[i].key = model_make_key(&model, 0);
		model_start_write(&model, &requests[i], REQUEST_TIMEOUT);
	}
	model_run(&model, model.now + 100 * MS);
	for (i = 0; i < 100; i++)
		assert_answer(&requests[i], MEDLAR_WRITE_RAN, MEDLAR_OK);
	/* A claim and an outcome for the first write, the same for the 100. */
	assert_int_equal(model.instances[0].writes.stats.commits, 4);
	model_finish(&model);
}

static void refuses_claims_when_the_journal_is_full(void **state)
{
	medlar_journal_entry_t entry = { .state = MEDLAR_CLAIM_RAN };
	uint8_t random[10] = { 0 };
	medlar_journal_t journal;
	uint32_t added = 0;
	int error;

	(void)state;
	medlar_journal_init(&journal);
	do {
		memcpy(random + 6, &added, sizeof(added));
		medlar_uuid_make(&entry.key, 1, random);
		error = medlar_journal_claim(&journal, &entry,
					     MEDLAR_JOURNAL_SIZE_MAX);
		added++;
	} while (!error);
	assert_int_equal(error, MEDLAR_ERR_FULL);
	assert_true(journal.size <= MEDLAR_JOURNAL_SIZE_MAX);
	assert_in_range(journal.len, 14000, 16000);
	medlar_journal_finish(&journal);
}

static void keeps_claims_when_the_layout_changes(void **state)
{
	medlar_policy_t policy = make_policy(3);
	medlar_uuid_t keys[8];
	model_t model;
	size_t i;

	(void)state;
	init_model(&model, 1);
	for (i = 0; i < 8; i++) {
		keys[i] = model_make_key(&model, 0);
		send_and_wait(&model, keys[i], 0);
	}
	medlar_writes_set_policy(&model.instances[1].writes, &policy, 2);
	for (i = 0; i < 8; i++) {
		model_request_t again = send_and_wait(&model, keys[i], 1);
		model_request_t fresh = send_and_wait(
			&model, model_make_key(&model, 0), i % 2 ? 0 : 1);

		assert_true(again.answer.replayed);
		assert_answer(&fresh, MEDLAR_WRITE_RAN, MEDLAR_OK);
		assert_false(fresh.answer.replayed);
	}
	/* The other instance learnt of the layout from the sealed journal. */
	assert_int_equal(model.instances[0].writes.layouts.len, 2);
	model_finish(&model);
}

static void look_up(model_t *model, medlar_uuid_t key)
{
	medlar_write_params_t params = {
		.key = key,
		.deadline = model->now / MS + REQUEST_TIMEOUT,
	};
	medlar_write_t *write;

	assert_int_equal(medlar_writes_lookup(&model->instances[1].writes,
					      &params, &write),
			 MEDLAR_OK);
	model_run(model, model->now + 2 * REQUEST_TIMEOUT * MS);
}

static void looks_up_the_entry_of_a_key(void **state)
{
	model_t model;
	medlar_uuid_t key;

	(void)state;
	init_model(&model, 1);
	key = model_make_key(&model, 0);
	look_up(&model, key);
	assert_int_equal(model.found_error, MEDLAR_ERR_NOT_FOUND);
	send_and_wait(&model, key, 0);
	look_up(&model, key);
	assert_int_equal(model.found_error, MEDLAR_OK);
	assert_int_equal(model.found.state, MEDLAR_CLAIM_RAN);
	model_finish(&model);
}

static uint32_t pair_executions(const model_request_t *pair)
{
	return pair[0].executions + pair[1].executions;
}

/* The answers to both requests with a key agree with its executions. */
static void assert_consistent_answers(const model_request_t *pair)
{
	size_t i;

	assert_in_range(pair_executions(pair), 0, 1);
	for (i = 0; i < 2; i++) {
		assert_true(pair[i].answered_at > 0);
		if (pair[i].answer.outcome == MEDLAR_WRITE_RAN)
			assert_int_equal(pair_executions(pair), 1);
		if (pair[i].answer.outcome == MEDLAR_WRITE_NOT_RUN)
			assert_int_equal(pair[i].executions, 0);
	}
}

/* Each key is sent through both instances, with all faults enabled. */
static void answers_match_executions_under_faults(void **state)
{
	model_request_t *requests = calloc(WRITES, sizeof(*requests));
	medlar_policy_t policy = make_policy(64);
	size_t outcomes[3] = { 0 };
	model_t model;
	size_t i;

	(void)state;
	assert_non_null(requests);
	policy.window = 20 * MEDLAR_SECOND;
	model_init(&model, 1);
	model_add_instance(&model, &policy, 0);
	model_add_instance(&model, &policy, 0);
	model.reply_loss = 0.1;
	model.refused = 0.2;
	model.reset = 0.1;
	for (i = 0; i < WRITES; i++) {
		model.down = i / 500 % 4 == 3;
		requests[i].instance = (int)(i % 2);
		requests[i].key = i % 2 ? requests[i - 1].key
					: model_make_key(&model, 0);
		model_start_write(&model, &requests[i], 200);
		model_run(&model, model.now + (int64_t)medlar_rand_below(
						      &model.rand, 20 * MS));
	}
	model.down = false;
	model_run(&model, model.now + 10 * REQUEST_TIMEOUT * MS);
	for (i = 0; i < WRITES; i += 2)
		assert_consistent_answers(&requests[i]);
	for (i = 0; i < WRITES; i++)
		outcomes[requests[i].answer.outcome]++;
	for (i = 0; i < 3; i++)
		assert_true(outcomes[i] > 100);
	assert_int_equal(model.instances[0].writes.writes_len, 0);
	model_finish(&model);
	free(requests);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(replays_the_result_through_another_instance),
		cmocka_unit_test(
			answers_unknown_while_another_instance_runs_it),
		cmocka_unit_test(replays_to_a_duplicate_of_a_running_write),
		cmocka_unit_test(answers_at_once_when_a_claim_has_no_outcome),
		cmocka_unit_test(records_a_result_that_comes_after_the_answer),
		cmocka_unit_test(
			refuses_within_the_deadline_while_the_store_is_down),
		cmocka_unit_test(retries_under_the_same_claim_if_not_executed),
		cmocka_unit_test(runs_a_key_again_that_was_recorded_as_not_run),
		cmocka_unit_test(never_runs_a_key_again_after_a_reset),
		cmocka_unit_test(refuses_keys_outside_the_window),
		cmocka_unit_test(refuses_a_key_whose_entry_was_dropped_early),
		cmocka_unit_test(commits_many_claims_together),
		cmocka_unit_test(refuses_claims_when_the_journal_is_full),
		cmocka_unit_test(keeps_claims_when_the_layout_changes),
		cmocka_unit_test(looks_up_the_entry_of_a_key),
		cmocka_unit_test(answers_match_executions_under_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
