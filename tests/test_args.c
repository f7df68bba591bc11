/**
 * DOC: tests of parsing and checking request bodies
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "medlard/args.h"

static int parse(args_t *args, medlar_request_kind_t kind, const char *body,
		 args_rejection_t *rejection)
{
	return args_parse(args, kind, medlar_str_from(body), rejection);
}

static void assert_text(medlar_str_t text, const char *expected)
{
	assert_int_equal(text.len, strlen(expected));
	assert_memory_equal(text.ptr, expected, text.len);
}

static void query_text_is_kept_verbatim(void **state)
{
	static const struct {
		const char *body;
		const char *query;
	} rows[] = {
		{ "{\"query\":1}", "1" },
		{ " { \"query\" : 1e400000 , \"deadline_ms\":5}", "1e400000" },
		{ "{\"query\":123456789012345678901234567890}",
		  "123456789012345678901234567890" },
		{ "{\"query\":{\"a\":[1,{\"query\":2}],\"b\":\"}\\\"\"}}",
		  "{\"a\":[1,{\"query\":2}],\"b\":\"}\\\"\"}" },
		{ "{\"query\":\"a,b\",\"query\":[\"]\"]}", "[\"]\"]" },
		{ "{\"deadline_ms\":7,\"query\":null\n}", "null" },
	};
	args_rejection_t rejection;

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		args_t args;

		assert_int_equal(parse(&args, MEDLAR_REQUEST_SEARCH,
				       rows[i].body, &rejection),
				 MEDLAR_OK);
		assert_text(args.query, rows[i].query);
		args_finish(&args);
	}
}

static void rejections_name_the_invalid_field(void **state)
{
	static const struct {
		medlar_request_kind_t kind;
		const char *body;
		int error;
		const char *field;
	} rows[] = {
		{ MEDLAR_REQUEST_SEARCH, "", MEDLAR_ERR_SYNTAX, "" },
		{ MEDLAR_REQUEST_SEARCH, "{\"query\":1", MEDLAR_ERR_SYNTAX,
		  "" },
		{ MEDLAR_REQUEST_SEARCH, "{\"query\":1}x", MEDLAR_ERR_SYNTAX,
		  "" },
		{ MEDLAR_REQUEST_SEARCH, "[]", MEDLAR_ERR_TYPE, "" },
		{ MEDLAR_REQUEST_SEARCH, "{}", MEDLAR_ERR_MISSING, "query" },
		{ MEDLAR_REQUEST_SEARCH, "{\"query\":1,\"keys\":[\"a\"]}",
		  MEDLAR_ERR_FIELD, "keys" },
		{ MEDLAR_REQUEST_LOOKUP, "{\"query\":1,\"keys\":[]}",
		  MEDLAR_ERR_RANGE, "keys" },
		{ MEDLAR_REQUEST_LOOKUP, "{\"query\":1,\"keys\":[1]}",
		  MEDLAR_ERR_TYPE, "keys" },
		{ MEDLAR_REQUEST_WRITE, "{\"query\":1,\"at_least_version\":1}",
		  MEDLAR_ERR_FIELD, "at_least_version" },
		{ MEDLAR_REQUEST_SEARCH, "{\"query\":1,\"deadline_ms\":0}",
		  MEDLAR_ERR_RANGE, "deadline_ms" },
		{ MEDLAR_REQUEST_SEARCH, "{\"query\":1,\"deadline_ms\":1.5}",
		  MEDLAR_ERR_TYPE, "deadline_ms" },
		{ MEDLAR_REQUEST_SEARCH, "{\"query\":\"\xff\"}",
		  MEDLAR_ERR_SYNTAX, "" },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		args_rejection_t rejection;
		args_t args;

		assert_int_equal(
			parse(&args, rows[i].kind, rows[i].body, &rejection),
			rows[i].error);
		assert_int_equal(rejection.error, rows[i].error);
		assert_string_equal(rejection.field, rows[i].field);
		args_finish(&args);
	}
}

static void keys_are_hashed_in_order(void **state)
{
	args_rejection_t rejection;
	args_t args;

	(void)state;
	assert_int_equal(parse(&args, MEDLAR_REQUEST_LOOKUP,
			       "{\"query\":1,\"keys\":[\"a\",\"\\u00e9\"],"
			       "\"at_least_version\":9}",
			       &rejection),
			 MEDLAR_OK);
	assert_int_equal(args.keys_len, 2);
	assert_true(args.keys[0] == medlar_key_hash(MEDLAR_STR("a")));
	assert_true(args.keys[1] == medlar_key_hash(MEDLAR_STR("\xc3\xa9")));
	assert_int_equal(args.at_least, 9);
	args_finish(&args);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(query_text_is_kept_verbatim),
		cmocka_unit_test(rejections_name_the_invalid_field),
		cmocka_unit_test(keys_are_hashed_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
