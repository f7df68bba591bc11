/* The HTTP/1.1 parser: framing, limits, and the end of a message. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "medlard/h1.h"
#include "medlard/h1_status.h"

static const h1_limits_t limits = { 1024, 64, NULL };

static h1_progress_t feed_in_steps(h1_parser_t *parser, const char *text,
				   size_t step, size_t *used)
{
	size_t len = strlen(text);
	h1_progress_t progress = H1_INCOMPLETE;

	*used = 0;
	while (*used < len && progress == H1_INCOMPLETE) {
		size_t part = len - *used < step ? len - *used : step;
		size_t got;

		progress = h1_parser_feed(
			parser, (medlar_str_t){ text + *used, part }, &got);
		*used += got;
	}
	return progress;
}

static void only_strict_framing_is_accepted(void **state)
{
	static const struct {
		const char *text;
		h1_progress_t progress;
	} cases[] = {
		{ "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", H1_COMPLETE },
		{ "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
		  H1_COMPLETE },
		{ "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "3\r\nabc\r\n0\r\n\r\n",
		  H1_COMPLETE },
		{ "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Content-Length: 4\r\n\r\nabcd",
		  H1_MALFORMED },
		{ "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		  H1_MALFORMED },
		{ "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nabc",
		  H1_MALFORMED },
		{ "POST /a HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
		  H1_MALFORMED },
		{ "POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
		  H1_MALFORMED },
		{ "POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
		  H1_MALFORMED },
		{ "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "zz\r\nabc\r\n0\r\n\r\n",
		  H1_MALFORMED },
		{ "GET /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n",
		  H1_MALFORMED },
		{ "GET /a b HTTP/1.1\r\n\r\n", H1_MALFORMED },
		{ "GET /a HTTP/1.1\r\nBad Name: x\r\n\r\n", H1_MALFORMED },
		{ "GET /a HTTP/1.1\r\nA: x\r\nConnection: upgrade\r\n"
		  "Upgrade: h2c\r\n\r\n",
		  H1_MALFORMED },
		{ "nonsense\r\n\r\n", H1_MALFORMED },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (size_t step = 1; step < 64; step += 31) {
			h1_parser_t parser;
			size_t used;

			h1_parser_init(&parser, HTTP_REQUEST, limits);
			if (feed_in_steps(&parser, cases[i].text, step,
					  &used) != cases[i].progress)
				fail_msg("case %zu step %zu", i, step);
			h1_parser_finish(&parser);
		}
}

static void messages_above_the_limits_are_rejected(void **state)
{
	char text[4096];
	h1_parser_t parser;
	size_t used;

	(void)state;
	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	memcpy(text, "GET /", 5);
	h1_parser_init(&parser, HTTP_REQUEST, limits);
	assert_int_equal(feed_in_steps(&parser, text, 4096, &used),
			 H1_HEAD_TOO_LARGE);
	h1_parser_finish(&parser);
	memcpy(text, "PUT / HTTP/1.1\r\nContent-Length: 100\r\n\r\n", 39);
	h1_parser_init(&parser, HTTP_REQUEST, limits);
	assert_int_equal(feed_in_steps(&parser, text, 4096, &used),
			 H1_BODY_TOO_LARGE);
	h1_parser_finish(&parser);
}

static void bytes_after_the_end_are_not_consumed(void **state)
{
	static const char first[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				    "X-Request-Id: 1\r\n\r\nok";
	char text[256];
	h1_parser_t parser;
	size_t used;

	(void)state;
	(void)snprintf(text, sizeof(text), "%s%s", first, first);
	h1_parser_init(&parser, HTTP_RESPONSE, limits);
	assert_int_equal(feed_in_steps(&parser, text, 256, &used), H1_COMPLETE);
	assert_int_equal(used, sizeof(first) - 1);
	assert_int_equal(parser.message.body.len, 2);
	h1_parser_reset(&parser);
	assert_int_equal(feed_in_steps(&parser, text + used, 256, &used),
			 H1_COMPLETE);
	h1_parser_finish(&parser);
}

static void an_interim_reply_is_skipped(void **state)
{
	h1_parser_t parser;
	size_t used;

	(void)state;
	h1_parser_init(&parser, HTTP_RESPONSE, limits);
	assert_int_equal(feed_in_steps(&parser,
				       "HTTP/1.1 100 Continue\r\n\r\n"
				       "HTTP/1.1 204 No Content\r\n\r\n",
				       256, &used),
			 H1_COMPLETE);
	assert_int_equal(parser.message.status, 204);
	h1_parser_finish(&parser);
}

/*
 * Guards against MIXED: statuses that are none were passed on, or taken for interim
 * replies, for which the request waited until its deadline.
 */
static void only_final_statuses_end_a_reply(void **state)
{
	static const struct {
		const char *line;
		h1_progress_t progress;
	} cases[] = {
		{ "HTTP/1.1 200 OK", H1_COMPLETE },
		{ "HTTP/1.1 200", H1_COMPLETE },
		{ "HTTP/1.0 404 ", H1_COMPLETE },
		{ "HTTP/1.1 599 x", H1_COMPLETE },
		{ "HTTP/1.1 000 x", H1_BAD_STATUS },
		{ "HTTP/1.1 001 x", H1_BAD_STATUS },
		{ "HTTP/1.1 099 x", H1_BAD_STATUS },
		{ "HTTP/1.1 101 x", H1_BAD_STATUS },
		{ "HTTP/1.1 600 x", H1_BAD_STATUS },
		{ "HTTP/1.1 999 x", H1_BAD_STATUS },
		{ "HTTP/1.1 0 x", H1_BAD_STATUS },
		{ "HTTP/1.1 00 x", H1_BAD_STATUS },
		{ "HTTP/1.1 20 x", H1_BAD_STATUS },
		{ "HTTP/1.1 2 0 x", H1_BAD_STATUS },
		{ "HTTP/1.1 0200 x", H1_BAD_STATUS },
		{ "HTTP/1.1 2000 x", H1_BAD_STATUS },
		{ "HTTP/1.1 -20 x", H1_BAD_STATUS },
		{ "HTTP/1.1 +200 x", H1_BAD_STATUS },
		{ "HTTP/1.1 abc x", H1_BAD_STATUS },
		{ "HTTP/1.1 2\t0 x", H1_BAD_STATUS },
		{ "HTTP/1.1  200 x", H1_BAD_STATUS },
		{ "HTTP/1.1 ", H1_BAD_STATUS },
		{ "HTTP/1.1", H1_MALFORMED },
		{ "200", H1_MALFORMED },
		{ "HTTP/1.1 199 x", H1_MALFORMED },
	};
	char text[128];

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (size_t step = 1; step < 130; step += 64) {
			h1_parser_t parser;
			size_t used;

			(void)snprintf(text, sizeof(text),
				       "%s\r\nContent-Length: 2\r\n\r\nab",
				       cases[i].line);
			h1_parser_init(&parser, HTTP_RESPONSE, limits);
			if (feed_in_steps(&parser, text, step, &used) !=
			    cases[i].progress)
				fail_msg("%s, step %zu", cases[i].line, step);
			h1_parser_finish(&parser);
		}
}

/* Random status lines; the reference reads them with the C library. */
static void random_status_lines_are_told_apart(void **state)
{
	static const char alphabet[] = "0123459 9HTP/.1-+a\t";
	medlar_rand_t rand = { 1 };

	(void)state;
	for (int i = 0; i < 200000; i++) {
		char line[24] = "HTTP/1.1 ";
		size_t len = strlen(line);
		size_t end = len + medlar_rand_below(&rand, 8);
		h1_status_kind_t kind = H1_STATUS_INVALID;
		int digits = 0;
		unsigned code = 0;

		for (; len < end; len++)
			line[len] = alphabet[medlar_rand_below(
				&rand, sizeof(alphabet) - 1)];
		line[len] = '\0';
		digits = (int)strspn(line + 9, "0123456789");
		if (digits == 3 && (line[12] == ' ' || line[12] == '\0') &&
		    sscanf(line + 9, "%u", &code) == 1 && code >= 100 &&
		    code <= 599 && code != 101)
			kind = code >= 200 ? H1_STATUS_FINAL
					   : H1_STATUS_INTERIM;
		if (h1_status_line_kind(medlar_str_from(line)) != kind)
			fail_msg("%s", line);
	}
}

static void a_reply_without_length_is_delimited_by_close(void **state)
{
	h1_parser_t parser;
	size_t used;

	(void)state;
	h1_parser_init(&parser, HTTP_RESPONSE, limits);
	assert_int_equal(
		feed_in_steps(&parser, "HTTP/1.1 200 OK\r\n\r\nab", 5, &used),
		H1_INCOMPLETE);
	assert_int_equal(h1_parser_end(&parser), H1_COMPLETE);
	assert_int_equal(parser.message.body.len, 2);
	assert_true(parser.message.close_delimited);
	h1_parser_finish(&parser);
}

static void a_truncated_reply_is_not_complete(void **state)
{
	static const char *const texts[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"H",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		h1_parser_t parser;
		size_t used;

		h1_parser_init(&parser, HTTP_RESPONSE, limits);
		assert_int_equal(feed_in_steps(&parser, texts[i], 256, &used),
				 H1_INCOMPLETE);
		assert_int_equal(h1_parser_end(&parser), H1_MALFORMED);
		h1_parser_finish(&parser);
	}
}

static void a_reply_to_head_has_no_body(void **state)
{
	h1_parser_t parser;
	size_t used;

	(void)state;
	h1_parser_init(&parser, HTTP_RESPONSE, limits);
	parser.method_is_head = true;
	assert_int_equal(
		feed_in_steps(&parser,
			      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
			      256, &used),
		H1_COMPLETE);
	h1_parser_finish(&parser);
}

static void hop_by_hop_headers_are_recognised(void **state)
{
	h1_parser_t parser;
	size_t used;

	(void)state;
	h1_parser_init(&parser, HTTP_REQUEST, limits);
	assert_int_equal(
		feed_in_steps(&parser,
			      "GET /a%2F../b//?q=%00&x HTTP/1.1\r\nHost: h\r\n"
			      "Connection: X-Own , close\r\nX-Own: 1\r\n"
			      "X-Other:  2 \r\n\r\n",
			      256, &used),
		H1_COMPLETE);
	assert_true(medlar_str_equal(h1_message_target(&parser.message),
				     MEDLAR_STR("/a%2F../b//?q=%00&x")));
	assert_true(
		h1_header_is_hop_by_hop(&parser.message, MEDLAR_STR("x-own")));
	assert_true(h1_header_is_hop_by_hop(&parser.message, MEDLAR_STR("TE")));
	assert_false(h1_header_is_hop_by_hop(&parser.message,
					     MEDLAR_STR("X-Other")));
	assert_true(medlar_str_equal(
		h1_message_find_header(&parser.message, MEDLAR_STR("x-other")),
		MEDLAR_STR("2")));
	h1_parser_finish(&parser);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_strict_framing_is_accepted),
		cmocka_unit_test(messages_above_the_limits_are_rejected),
		cmocka_unit_test(bytes_after_the_end_are_not_consumed),
		cmocka_unit_test(an_interim_reply_is_skipped),
		cmocka_unit_test(only_final_statuses_end_a_reply),
		cmocka_unit_test(random_status_lines_are_told_apart),
		cmocka_unit_test(a_reply_without_length_is_delimited_by_close),
		cmocka_unit_test(a_truncated_reply_is_not_complete),
		cmocka_unit_test(a_reply_to_head_has_no_body),
		cmocka_unit_test(hop_by_hop_headers_are_recognised),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
