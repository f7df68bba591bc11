/* Settings of the router: checked, with the field at fault named. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "router/settings.h"

#define GOOD                                                           \
	"{ \"instance\": \"a\", \"zone\": \"z\", // comment\n"         \
	"\"callers\": \"127.0.0.1:1\", \"readiness\": "                \
	"\"127.0.0.1:2\", \"directory\": \"127.0.0.1:3\", \"peers\": " \
	"\"127.0.0.1:4\", \"store\": \"127.0.0.1:5\""

static char fault[128];

static void on_error(const medlar_fault_report_t *report, void *data)
{
	(void)data;
	memset(fault, 0, sizeof(fault));
	memcpy(fault, report->field.ptr,
	       report->field.len < sizeof(fault) ? report->field.len : 0);
}

static int parse(const char *text)
{
	router_settings_t settings;
	medlar_client_t client;
	int error;

	fault[0] = '\0';
	medlar_client_init(&client, MEDLAR_STR("t"), 0, 1);
	medlar_client_on_error(&client, on_error, NULL);
	error = router_settings_parse(&settings, &client, MEDLAR_STR("f"),
				      medlar_str_from(text));
	medlar_client_finish(&client);
	return error;
}

static void good_settings_are_read(void **state)
{
	(void)state;
	assert_int_equal(parse(GOOD "}"), MEDLAR_OK);
	assert_int_equal(parse(GOOD ", \"retry_ratio\": 0.2,"
				    "\"metrics\": \"127.0.0.1:9\"}"),
			 MEDLAR_OK);
}

static void the_field_at_fault_is_named(void **state)
{
	static const struct {
		const char *text;
		const char *field;
	} cases[] = {
		{ GOOD ", \"metrics\": \"localhost:9\"}", "metrics" },
		{ GOOD ", \"metrics\": \"127.0.0.1:99999\"}", "metrics" },
		{ GOOD ", \"retry_ratio\": -1}", "retry_ratio" },
		{ GOOD ", \"grace_ms\": \"6\"}", "grace_ms" },
		{ GOOD ", \"surprise\": 1}", "surprise" },
		{ "{}", NULL },
		{ "{", NULL },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_not_equal(parse(cases[i].text), MEDLAR_OK);
		if (cases[i].field)
			assert_string_equal(fault, cases[i].field);
	}
}

static void mutated_settings_do_not_crash(void **state)
{
	medlar_rand_t rand = { 5 };

	(void)state;
	for (int i = 0; i < 20000; i++) {
		char text[] = GOOD ", \"retry_ratio\": 0.2, \"seeds\": "
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
		cmocka_unit_test(good_settings_are_read),
		cmocka_unit_test(the_field_at_fault_is_named),
		cmocka_unit_test(mutated_settings_do_not_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
