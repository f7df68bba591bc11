/* Settings of the router: errors are detected and report the faulty field. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "router/settings.h"

#define VALID_SETTINGS                                                 \
	"{ \"instance\": \"a\", \"zone\": \"z\", // comment\n"         \
	"\"callers\": \"127.0.0.1:1\", \"readiness\": "                \
	"\"127.0.0.1:2\", \"directory\": \"127.0.0.1:3\", \"peers\": " \
	"\"127.0.0.1:4\", \"store\": \"127.0.0.1:5\""

static char faulty_field[128];

static void record_fault(const medlar_error_report_t *report, void *data)
{
	(void)data;
	memset(faulty_field, 0, sizeof(faulty_field));
	memcpy(faulty_field, report->field.ptr,
	       report->field.len < sizeof(faulty_field) ? report->field.len
							: 0);
}

static int parse(const char *text)
{
	router_settings_t settings;
	medlar_client_t client;
	int error;

	faulty_field[0] = '\0';
	medlar_client_init(&client, MEDLAR_STR("t"), 0, 1);
	medlar_client_on_error(&client, record_fault, NULL);
	error = router_settings_parse(&settings, &client, MEDLAR_STR("f"),
				      medlar_str_from(text));
	medlar_client_finish(&client);
	return error;
}

static void valid_settings_are_accepted(void **state)
{
	(void)state;
	assert_int_equal(parse(VALID_SETTINGS "}"), MEDLAR_OK);
	assert_int_equal(parse(VALID_SETTINGS ", \"retry_ratio\": 0.2,"
					      "\"metrics\": \"127.0.0.1:9\"}"),
			 MEDLAR_OK);
}

static void the_faulty_field_is_reported(void **state)
{
	static const struct {
		const char *text;
		const char *field;
	} cases[] = {
		{ VALID_SETTINGS ", \"metrics\": \"localhost:9\"}", "metrics" },
		{ VALID_SETTINGS ", \"metrics\": \"127.0.0.1:99999\"}",
		  "metrics" },
		{ VALID_SETTINGS ", \"retry_ratio\": -1}", "retry_ratio" },
		{ VALID_SETTINGS ", \"grace_ms\": \"6\"}", "grace_ms" },
		{ VALID_SETTINGS ", \"surprise\": 1}", "surprise" },
		{ "{}", NULL },
		{ "{", NULL },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_not_equal(parse(cases[i].text), MEDLAR_OK);
		if (cases[i].field)
			assert_string_equal(faulty_field, cases[i].field);
	}
}

static void mutated_settings_do_not_crash(void **state)
{
	medlar_rand_t rand = { 5 };

	(void)state;
	for (int i = 0; i < 20000; i++) {
		char text[] = VALID_SETTINGS
			", \"retry_ratio\": 0.2, \"seeds\": "
			"\"127.0.0.1 127.0.0.2\"}";
		size_t len = sizeof(text) - 1;

		for (int j = 0; j < 3; j++)
			text[medlar_rand_below(&rand, len)] = (char)
				medlar_rand_below(&rand, 256);
		text[len - medlar_rand_below(&rand, 20)] = '\0';
		(void)parse(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(valid_settings_are_accepted),
		cmocka_unit_test(the_faulty_field_is_reported),
		cmocka_unit_test(mutated_settings_do_not_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
