/* Concurrent submissions, and submissions whose store calls fail. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "tests/fake_store.h"

#define RANDOM_RUNS 400
#define EDITORS 3
#define EDITS 12

#define PRODUCT(target, coverage)                                       \
	"{\"services\":[{\"name\":\"s\",\"writes\":false,\"priority\":" \
	"\"coverage\",\"deadline_ms\":9000,\"target_ms\":" target       \
	",\"target_percentile\":99,\"coverage_percent\":" coverage      \
	",\"peak_rate\":10,\"write_window_hours\":24}]}"
#define OPERATIONS(extra)                                               \
	"{\"instances\":4,\"address_ttl_s\":5,\"services\":[{\"name\":" \
	"\"s\",\"shards\":10,\"replicas\":3,\"replicas_lost\":1,"       \
	"\"slots\":2,\"connections\":25,\"connect_cost_ms\":6,"         \
	"\"service_median_ms\":20,\"service_p99_ms\":60,"               \
	"\"extra_load_percent\":" extra "}]}"

typedef struct submission_world {
	medlar_client_t client;
	fake_store_t store;
	medlar_store_t ops;
	medlar_time_t now;
	char report[512];
} submission_world_t;

typedef struct result {
	int calls;
	int releases;
	int error;
	uint64_t revision;
} result_t;

static void record_report(const medlar_error_report_t *report, void *data)
{
	submission_world_t *world = data;

	snprintf(world->report, sizeof(world->report), "%.*s: %.*s",
		 (int)report->field.len, report->field.ptr,
		 (int)report->advice.len, report->advice.ptr);
}

static void world_init(submission_world_t *world, uint64_t seed)
{
	*world = (submission_world_t){ .now = 1000 };
	medlar_client_init(&world->client, MEDLAR_STR("a"), 0, seed);
	medlar_client_on_error(&world->client, record_report, world);
	world->store.rand.state = seed;
	world->ops = fake_store_ops(&world->store);
}

static void world_finish(submission_world_t *world)
{
	fake_store_finish(&world->store);
	medlar_client_finish(&world->client);
}

static void on_done(medlar_submission_t *submission, int error,
		    uint64_t revision, void *data)
{
	result_t *result = data;

	(void)submission;
	result->calls++;
	result->error = error;
	result->revision = revision;
}

static void on_released(medlar_submission_t *submission, void *data)
{
	result_t *result = data;

	(void)submission;
	assert_int_equal(result->calls, 1);
	result->releases++;
}

/* Runs timers and store calls until none is left. */
static void run_until_idle(submission_world_t *world)
{
	medlar_time_t due;

	for (;;) {
		while (fake_store_end_call(&world->store))
			;
		due = medlar_client_due(&world->client);
		if (due == MEDLAR_TIME_NEVER)
			return;
		if (due > world->now)
			world->now = due;
		medlar_client_run(&world->client, world->now);
	}
}

static void start_submission(submission_world_t *world,
			     medlar_submission_t *submission, result_t *result,
			     medlar_section_t section, uint64_t base,
			     const char *answers)
{
	const medlar_submission_params_t params = {
		.section = section,
		.author = MEDLAR_STR("kanda"),
		.base = base,
		.answers = medlar_str_from(answers),
		.time = world->now,
		.timeout = MEDLAR_MINUTE,
		.done = on_done,
		.release = on_released,
		.data = result,
	};

	*result = (result_t){ 0 };
	assert_int_equal(medlar_submission_start(&world->client, submission,
						 &world->ops, &params,
						 world->now),
			 MEDLAR_OK);
}

static result_t submit(submission_world_t *world, medlar_section_t section,
		       uint64_t base, const char *answers)
{
	medlar_submission_t submission;
	result_t result;

	start_submission(world, &submission, &result, section, base, answers);
	run_until_idle(world);
	assert_int_equal(result.calls, 1);
	assert_int_equal(result.releases, 1);
	medlar_submission_finish(&submission);
	return result;
}

static void store_first_answers(submission_world_t *world, uint64_t seed)
{
	world_init(world, seed);
	assert_int_equal(
		submit(world, MEDLAR_SECTION_PRODUCT, 0, PRODUCT("500", "90"))
			.error,
		MEDLAR_OK);
	assert_int_equal(
		submit(world, MEDLAR_SECTION_OPERATIONS, 1, OPERATIONS("5"))
			.revision,
		2);
}

static void read_stored_revision(submission_world_t *world,
				 medlar_revision_t *revision)
{
	medlar_store_reply_t reply = { 0 };

	fake_store_read(&world->store, MEDLAR_CONFIG_KEY, &reply);
	assert_int_equal(medlar_revision_parse(revision, reply.value),
			 MEDLAR_OK);
}

static void edits_of_different_sections_are_both_accepted(void **state)
{
	submission_world_t world;
	medlar_submission_t submissions[2];
	result_t results[2];
	medlar_revision_t revision;

	(void)state;
	store_first_answers(&world, 1);
	start_submission(&world, &submissions[0], &results[0],
			 MEDLAR_SECTION_PRODUCT, 2, PRODUCT("600", "90"));
	start_submission(&world, &submissions[1], &results[1],
			 MEDLAR_SECTION_OPERATIONS, 2, OPERATIONS("7"));
	run_until_idle(&world);
	assert_int_equal(results[0].error, MEDLAR_OK);
	assert_int_equal(results[1].error, MEDLAR_OK);
	read_stored_revision(&world, &revision);
	assert_int_equal(revision.number, 4);
	assert_non_null(strstr(revision.answers[0].ptr, "\"target_ms\":600"));
	assert_non_null(
		strstr(revision.answers[1].ptr, "\"extra_load_percent\":7"));
	medlar_revision_finish(&revision);
	medlar_submission_finish(&submissions[0]);
	medlar_submission_finish(&submissions[1]);
	world_finish(&world);
}

static void edits_of_different_answers_of_a_section_merge(void **state)
{
	submission_world_t world;
	medlar_revision_t revision;

	(void)state;
	store_first_answers(&world, 1);
	assert_int_equal(
		submit(&world, MEDLAR_SECTION_PRODUCT, 2, PRODUCT("600", "90"))
			.error,
		MEDLAR_OK);
	assert_int_equal(
		submit(&world, MEDLAR_SECTION_PRODUCT, 2, PRODUCT("500", "80"))
			.error,
		MEDLAR_OK);
	read_stored_revision(&world, &revision);
	assert_non_null(strstr(revision.answers[0].ptr, "\"target_ms\":600"));
	assert_non_null(
		strstr(revision.answers[0].ptr, "\"coverage_percent\":80"));
	medlar_revision_finish(&revision);
	world_finish(&world);
}

static void edits_of_one_answer_conflict_with_both_values(void **state)
{
	submission_world_t world;

	(void)state;
	store_first_answers(&world, 1);
	submit(&world, MEDLAR_SECTION_PRODUCT, 2, PRODUCT("600", "90"));
	assert_int_equal(
		submit(&world, MEDLAR_SECTION_PRODUCT, 2, PRODUCT("700", "90"))
			.error,
		MEDLAR_ERR_CONFLICT);
	assert_non_null(strstr(world.report, "services[s].target_ms"));
	assert_non_null(strstr(world.report, "700"));
	assert_non_null(strstr(world.report, "600"));
	world_finish(&world);
}

static void incompatible_answers_are_refused(void **state)
{
	submission_world_t world;
	medlar_revision_t revision;

	(void)state;
	store_first_answers(&world, 1);
	assert_int_equal(
		submit(&world, MEDLAR_SECTION_PRODUCT, 2, PRODUCT("10", "90"))
			.error,
		MEDLAR_ERR_CLASH);
	assert_non_null(strstr(world.report, "target_ms"));
	read_stored_revision(&world, &revision);
	assert_int_equal(revision.number, 2);
	medlar_revision_finish(&revision);
	world_finish(&world);
}

static void a_store_that_is_down_accepts_nothing(void **state)
{
	submission_world_t world;
	medlar_revision_t revision;

	(void)state;
	store_first_answers(&world, 1);
	world.store.down = true;
	assert_int_equal(
		submit(&world, MEDLAR_SECTION_PRODUCT, 2, PRODUCT("600", "90"))
			.error,
		MEDLAR_ERR_STORE_DOWN);
	read_stored_revision(&world, &revision);
	assert_int_equal(revision.number, 2);
	medlar_revision_finish(&revision);
	world_finish(&world);
}

static bool is_stored(submission_world_t *world, uint64_t number,
		      const char *id)
{
	size_t i;

	for (i = 0; i < world->store.keys_len; i++) {
		medlar_revision_t revision;
		bool found;

		if (medlar_revision_parse(
			    &revision,
			    medlar_buf_str(&world->store.keys[i].value)))
			continue;
		found = revision.number == number &&
			strcmp(revision.submission, id) == 0;
		medlar_revision_finish(&revision);
		if (found)
			return true;
	}
	return false;
}

/*
 * Runs concurrent submissions with lost and delayed calls. Those reported as
 * accepted must be stored, those reported as refused must not.
 */
static void check_history(uint64_t seed)
{
	medlar_submission_t submissions[EDITORS];
	result_t results[EDITORS];
	submission_world_t world;
	uint64_t base = 2;
	int edit;
	int i;

	store_first_answers(&world, seed);
	world.store.reply_loss = 0.2;
	world.store.request_loss = 0.2;
	world.store.delays_writes = true;
	for (edit = 0; edit < EDITS / EDITORS; edit++) {
		for (i = 0; i < EDITORS; i++)
			start_submission(&world, &submissions[i], &results[i],
					 i == 0 ? MEDLAR_SECTION_OPERATIONS
						: MEDLAR_SECTION_PRODUCT,
					 base,
					 i == 0 ? OPERATIONS("6")
						: PRODUCT("510", "90"));
		run_until_idle(&world);
		fake_store_apply_delayed(&world.store);
		for (i = 0; i < EDITORS; i++) {
			uint64_t number;

			assert_int_equal(results[i].calls, 1);
			assert_int_equal(results[i].releases, 1);
			if (results[i].error == MEDLAR_OK)
				assert_true(is_stored(&world,
						      results[i].revision,
						      submissions[i].id));
			for (number = 1; number <= 20; number++)
				if (results[i].error != MEDLAR_OK &&
				    results[i].error !=
					    MEDLAR_ERR_STORE_UNKNOWN)
					assert_false(
						is_stored(&world, number,
							  submissions[i].id));
			if (results[i].revision > base)
				base = results[i].revision;
			medlar_submission_finish(&submissions[i]);
		}
	}
	world_finish(&world);
}

static void reported_outcomes_hold_when_calls_are_lost_or_delayed(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= RANDOM_RUNS; seed++)
		check_history(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(edits_of_different_sections_are_both_accepted),
		cmocka_unit_test(edits_of_different_answers_of_a_section_merge),
		cmocka_unit_test(edits_of_one_answer_conflict_with_both_values),
		cmocka_unit_test(incompatible_answers_are_refused),
		cmocka_unit_test(a_store_that_is_down_accepts_nothing),
		cmocka_unit_test(
			reported_outcomes_hold_when_calls_are_lost_or_delayed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
