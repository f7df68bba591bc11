/* Parsing, error reports and canonical output of configurations. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

#define REPORTS_MAX 16

typedef struct reports {
	size_t len;
	int errors[REPORTS_MAX];
	unsigned lines[REPORTS_MAX];
	char fields[REPORTS_MAX][64];
} reports_t;

static void record_report(const medlar_error_report_t *report, void *data)
{
	reports_t *reports = data;

	assert_true(reports->len < REPORTS_MAX);
	assert_true(report->advice.len > 0);
	reports->errors[reports->len] = report->error;
	reports->lines[reports->len] = report->line;
	snprintf(reports->fields[reports->len], 64, "%.*s",
		 (int)report->field.len, report->field.ptr);
	reports->len++;
}

static bool has_report(const reports_t *reports, int error, unsigned line,
		       const char *field)
{
	size_t i;

	for (i = 0; i < reports->len; i++)
		if (reports->errors[i] == error && reports->lines[i] == line &&
		    strcmp(reports->fields[i], field) == 0)
			return true;
	return false;
}

static int parse_config(reports_t *reports, medlar_config_t *config,
			medlar_str_t text)
{
	medlar_client_t client;
	int error;

	*reports = (reports_t){ 0 };
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	medlar_client_on_error(&client, record_report, reports);
	error = medlar_config_parse(&client, config, MEDLAR_STR("c.json"),
				    text);
	medlar_client_finish(&client);
	return error;
}

static void reports_every_error_with_line_and_field(void **state)
{
	static char text[4096];
	FILE *file = fopen("tests/data/config-faulty.json", "r");
	medlar_config_t config;
	reports_t reports;
	size_t len;

	(void)state;
	assert_non_null(file);
	len = fread(text, 1, sizeof(text), file);
	fclose(file);
	assert_int_not_equal(
		parse_config(&reports, &config, (medlar_str_t){ text, len }),
		0);
	assert_int_equal(reports.len, 4);
	assert_true(has_report(&reports, MEDLAR_ERR_TYPE, 4, "instances"));
	assert_true(has_report(&reports, MEDLAR_ERR_RANGE, 9,
			       "services[0].priority"));
	assert_true(has_report(&reports, MEDLAR_ERR_RANGE, 10,
			       "services[0].deadline_ms"));
	assert_true(has_report(&reports, MEDLAR_ERR_FIELD, 17,
			       "services[0].colour"));
}

static void reports_a_field_given_twice(void **state)
{
	medlar_config_t config;
	reports_t reports;

	(void)state;
	assert_int_not_equal(
		parse_config(
			&reports, &config,
			MEDLAR_STR("{\"revision\":1,\"instances\":1,\n"
				   "\"address_ttl_ms\":1000,\"services\":[],\n"
				   "\"instances\":2}")),
		0);
	assert_int_equal(reports.len, 1);
	assert_int_equal(reports.errors[0], MEDLAR_ERR_CONFLICT);
	assert_int_equal(reports.lines[0], 3);
}

static void refuses_text_that_is_not_json(void **state)
{
	static const char *const texts[] = {
		"", "{", "[]", "nonsense", "{\"revision\":", "\n\n{]"
	};
	medlar_config_t config;
	reports_t reports;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		assert_int_equal(parse_config(&reports, &config,
					      medlar_str_from(texts[i])),
				 MEDLAR_ERR_SYNTAX);
		assert_int_equal(reports.len, 1);
	}
}

static void reads_back_what_it_writes(void **state)
{
	medlar_policy_t policy;
	medlar_config_t config = { 7, 4, 5000, &policy, 1 };
	medlar_config_t again;
	medlar_buf_t first;
	medlar_buf_t second;
	reports_t reports;

	(void)state;
	policy = (medlar_policy_t){
		.name = "billing-ledger",
		.writes = true,
		.shards = 1,
		.priority = MEDLAR_LATENCY_FIRST,
		.deadline = 2000,
		.target = 300,
		.target_quantile = 0.99,
		.coverage_min = 0.5,
		.extra_load = 0.05,
		.hedge_quantile = 0.96,
		.slots = 3,
		.connections = 110,
		.connect_cost = 1,
		.queue_max = 64,
		.eject_max = 0.3,
		.slow_start = 1000,
		.idle_max = 30000,
		.silence = 500,
		.window = 86400000,
		.partitions = 4,
	};
	medlar_buf_init(&first);
	medlar_buf_init(&second);
	medlar_config_write(&config, &first);
	assert_int_equal(parse_config(&reports, &again, medlar_buf_str(&first)),
			 0);
	medlar_config_write(&again, &second);
	assert_string_equal(first.ptr, second.ptr);
	assert_non_null(
		medlar_config_find(&again, MEDLAR_STR("billing-ledger")));
	medlar_config_finish(&again);
	medlar_buf_finish(&first);
	medlar_buf_finish(&second);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reports_every_error_with_line_and_field),
		cmocka_unit_test(reports_a_field_given_twice),
		cmocka_unit_test(refuses_text_that_is_not_json),
		cmocka_unit_test(reads_back_what_it_writes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
