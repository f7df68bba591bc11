/**
 * DOC: tests of the settings of the daemon
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "medlard/log.h"
#include "medlard/settings.h"

#define VALID_SETTINGS                                           \
	"{\"name\":\"e1\", // a comment\n\"zone\":\"z1\",\n"     \
	"\"listen\":[{\"host\":\"127.0.0.1\",\"port\":7400}],\n" \
	"\"platform\":{\"host\":\"::1\",\"port\":8500}"

/**
 * struct reports - errors that were reported
 * @text: the errors, one per line
 * @count: number of errors
 */
typedef struct reports {
	medlar_buf_t text;
	size_t count;
} reports_t;

static void record_report(const medlar_error_report_t *report, void *data)
{
	reports_t *reports = data;

	reports->count++;
	medlar_buf_printf(&reports->text, "%.*s:%u:%.*s\n",
			  (int)report->file.len, report->file.ptr, report->line,
			  (int)report->field.len, report->field.ptr);
}

static int parse(settings_t *settings, const char *text, reports_t *reports)
{
	medlar_client_t client;
	int error;

	medlar_client_init(&client, MEDLAR_STR("test"), 0, 1);
	medlar_client_on_error(&client, record_report, reports);
	medlar_buf_init(&reports->text);
	reports->count = 0;
	error = settings_parse(settings, &client, MEDLAR_STR("s.json"),
			       medlar_str_from(text));
	medlar_client_finish(&client);
	return error;
}

static void absent_fields_have_defaults(void **state)
{
	settings_t settings;
	reports_t reports;

	(void)state;
	assert_int_equal(parse(&settings, VALID_SETTINGS "}", &reports),
			 MEDLAR_OK);
	assert_string_equal(settings.name, "e1");
	assert_int_equal(settings_public_address(&settings)->port, 7400);
	assert_int_equal(settings.threads, 2);
	assert_int_equal(settings.log_level, LOG_LEVEL_INFO);
	assert_int_equal(settings.platform.rate, 100);
	settings_finish(&settings);
	medlar_buf_finish(&reports.text);
}

static void every_error_is_reported_with_its_line(void **state)
{
	static const char *const text =
		"{\n\"name\":\"e1\",\n\"zone\":5,\n"
		"\"listen\":[{\"host\":\"127.0.0.1\",\n\"port\":70000}],\n"
		"\"platform\":{\"host\":\"::1\",\"port\":1},\n"
		"\"thread\":2,\n\"log_level\":\"loud\"}";
	settings_t settings;
	reports_t reports;

	(void)state;
	assert_true(parse(&settings, text, &reports) < 0);
	assert_int_equal(reports.count, 4);
	assert_non_null(strstr(reports.text.ptr, "s.json:3:zone\n"));
	assert_non_null(strstr(reports.text.ptr, "s.json:5:listen[0].port\n"));
	assert_non_null(strstr(reports.text.ptr, "s.json:7:thread\n"));
	assert_non_null(strstr(reports.text.ptr, "s.json:8:log_level\n"));
	medlar_buf_finish(&reports.text);
}

static void host_names_are_rejected(void **state)
{
	settings_t settings;
	reports_t reports;

	(void)state;
	assert_int_equal(parse(&settings,
			       VALID_SETTINGS
			       ",\"peers\":[{\"name\":\"e2\",\"host\":"
			       "\"localhost\",\"port\":1,\"zone\":\"z\"}]}",
			       &reports),
			 MEDLAR_ERR_RANGE);
	assert_int_equal(reports.count, 1);
	medlar_buf_finish(&reports.text);
}

static void changed_restart_field_is_found(void **state)
{
	settings_t before;
	settings_t after;
	reports_t reports;

	(void)state;
	assert_int_equal(parse(&before, VALID_SETTINGS "}", &reports),
			 MEDLAR_OK);
	assert_int_equal(parse(&after,
			       VALID_SETTINGS
			       ",\"log_level\":\"debug\",\"stop_ms\":1}",
			       &reports),
			 MEDLAR_OK);
	assert_null(settings_find_restart_field(&before, &after));
	settings_finish(&after);
	assert_int_equal(
		parse(&after, VALID_SETTINGS ",\"threads\":3}", &reports),
		MEDLAR_OK);
	assert_string_equal(settings_find_restart_field(&before, &after),
			    "threads");
	settings_finish(&after);
	settings_finish(&before);
	medlar_buf_finish(&reports.text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(absent_fields_have_defaults),
		cmocka_unit_test(every_error_is_reported_with_its_line),
		cmocka_unit_test(host_names_are_rejected),
		cmocka_unit_test(changed_restart_field_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
