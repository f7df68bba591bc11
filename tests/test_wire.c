/**
 * DOC: tests of parsing and formatting the upstream protocol's headers
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "medlard/wire.h"

static void add_header(wire_reply_t *wire, const char *name, const char *value)
{
	wire_reply_add_header(medlar_str_from(name), medlar_str_from(value),
			      wire);
}

static void a_full_reply_is_read(void **state)
{
	uint8_t id[MEDLAR_REQUEST_ID_LEN] = { 0x01, 0xfe };
	char text[WIRE_ID_TEXT_LEN + 1];
	wire_reply_t wire;

	(void)state;
	wire_format_id(id, text);
	assert_string_equal(text, "01fe0000000000000000000000000000");
	wire_reply_init(&wire);
	add_header(&wire, "medlar-request-id", text);
	add_header(&wire, "Medlar-Version", "7");
	add_header(&wire, "Medlar-Range", "0-4294967296");
	add_header(&wire, "Medlar-Executed", "yes");
	add_header(&wire, "Medlar-State", "leaving");
	add_header(&wire, "Medlar-Incarnation", "1700000000000");
	add_header(&wire, "Medlar-Versions", "7, 8");
	add_header(&wire, "endpoint-load-metrics",
		   "TEXT application_utilization=0.5,named_metrics.queue=3");
	add_header(&wire, "Date", "today");
	wire_reply_finish(&wire, 200, MEDLAR_STR("{}"));
	assert_false(wire.malformed);
	assert_memory_equal(wire.reply.id, id, sizeof(id));
	assert_int_equal(wire.reply.status, MEDLAR_REPLY_OK);
	assert_int_equal(wire.reply.version, 7);
	assert_true(wire.reply.range.lo == 0);
	assert_true(wire.reply.range.hi == MEDLAR_KEY_END);
	assert_true(wire.reply.leaving);
	assert_true(wire.reply.incarnation == 1700000000000);
	assert_int_equal(wire.reply.versions[1], 8);
	assert_true(wire.reply.load.utilization == 0.5F);
	assert_true(wire.reply.load.queue == 3.0F);
}

static void status_depends_on_executed(void **state)
{
	static const struct {
		int status;
		const char *executed;
		const char *moved;
		medlar_reply_status_t expected;
	} rows[] = {
		{ 200, "yes", NULL, MEDLAR_REPLY_OK },
		{ 503, "no", NULL, MEDLAR_REPLY_NOT_EXECUTED },
		{ 503, NULL, NULL, MEDLAR_REPLY_ERROR },
		{ 503, "yes", NULL, MEDLAR_REPLY_ERROR },
		{ 409, "no", NULL, MEDLAR_REPLY_WRONG_VERSION },
		{ 409, NULL, NULL, MEDLAR_REPLY_ERROR },
		{ 421, "no", "3", MEDLAR_REPLY_MOVED },
		{ 421, "no", NULL, MEDLAR_REPLY_NOT_EXECUTED },
		{ 421, NULL, "3", MEDLAR_REPLY_ERROR },
		{ 499, NULL, NULL, MEDLAR_REPLY_CANCELLED },
		{ 500, NULL, NULL, MEDLAR_REPLY_ERROR },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		wire_reply_t wire;

		wire_reply_init(&wire);
		if (rows[i].executed)
			add_header(&wire, "Medlar-Executed", rows[i].executed);
		if (rows[i].moved)
			add_header(&wire, "Medlar-Moved-To", rows[i].moved);
		wire_reply_finish(&wire, rows[i].status, MEDLAR_STR(""));
		assert_int_equal(wire.reply.status, rows[i].expected);
	}
}

static void malformed_values_are_noticed(void **state)
{
	static const char *const rows[][2] = {
		{ "Medlar-Request-Id", "0123" },
		{ "Medlar-Request-Id", "zz000000000000000000000000000000" },
		{ "Medlar-Version", "-1" },
		{ "Medlar-Version", "4294967296" },
		{ "Medlar-Range", "5" },
		{ "Medlar-Range", "5-5" },
		{ "Medlar-Range", "5-4294967297" },
		{ "Medlar-Executed", "maybe" },
		{ "Medlar-Moved-To", "" },
		{ "Medlar-Incarnation", "99999999999999999999" },
		{ "Medlar-Versions", "7,x" },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		wire_reply_t wire;

		wire_reply_init(&wire);
		add_header(&wire, rows[i][0], rows[i][1]);
		assert_true(wire.malformed);
	}
}

static void malformed_load_is_left_out(void **state)
{
	static const char *const values[] = {
		"JSON {}",
		"TEXT application_utilization=nan",
		"TEXT application_utilization=-1",
		"TEXT ,,=,",
		"",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		wire_reply_t wire;

		wire_reply_init(&wire);
		add_header(&wire, "endpoint-load-metrics", values[i]);
		assert_false(wire.malformed);
		assert_true(wire.reply.load.utilization < 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_full_reply_is_read),
		cmocka_unit_test(status_depends_on_executed),
		cmocka_unit_test(malformed_values_are_noticed),
		cmocka_unit_test(malformed_load_is_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
