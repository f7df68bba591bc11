/**
 * DOC: parsing and formatting of the upstream protocol's headers
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "medlard/wire.h"

#define NUMBER_TEXT_MAX 32
#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_MISDIRECTED 421
#define STATUS_CANCELLED 499

typedef void (*parse_fn_t)(wire_reply_t *wire, medlar_str_t value);

/**
 * wire_parse_number() - parse an unsigned decimal integer
 * @text: text; digits only
 * @max: largest accepted value
 * @out: receives the number; unchanged on failure
 *
 * Return: false if @text is not a number from 0 to @max.
 */
bool wire_parse_number(medlar_str_t text, uint64_t max, uint64_t *out)
{
	uint64_t value = 0;

	if (text.len == 0)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		unsigned digit = (unsigned char)text.ptr[i] - '0';

		if (digit > 9 || value > (max - digit) / 10)
			return false;
		value = value * 10 + digit;
	}
	*out = value;
	return true;
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/**
 * wire_parse_id() - parse a request id
 * @text: 32 hexadecimal digits
 * @id: receives %MEDLAR_REQUEST_ID_LEN bytes
 *
 * Return: false if @text is not a request id; @id is then undefined.
 */
bool wire_parse_id(medlar_str_t text, uint8_t *id)
{
	if (text.len != WIRE_ID_TEXT_LEN)
		return false;
	for (size_t i = 0; i < MEDLAR_REQUEST_ID_LEN; i++) {
		int high = hex_value(text.ptr[2 * i]);
		int low = hex_value(text.ptr[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		id[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

/**
 * wire_format_id() - format a request id in hexadecimal
 * @id: %MEDLAR_REQUEST_ID_LEN bytes
 * @text: buffer of %WIRE_ID_TEXT_LEN + 1 bytes; receives a terminated string
 */
void wire_format_id(const uint8_t *id, char *text)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < MEDLAR_REQUEST_ID_LEN; i++) {
		text[2 * i] = digits[id[i] >> 4];
		text[2 * i + 1] = digits[id[i] & 0xf];
	}
	text[WIRE_ID_TEXT_LEN] = '\0';
}

static void parse_id(wire_reply_t *wire, medlar_str_t value)
{
	if (!wire_parse_id(value, wire->reply.id))
		wire->malformed = true;
}

static uint64_t parse_number(wire_reply_t *wire, medlar_str_t value,
			     uint64_t max)
{
	uint64_t number = 0;

	if (!wire_parse_number(value, max, &number))
		wire->malformed = true;
	return number;
}

static void parse_version(wire_reply_t *wire, medlar_str_t value)
{
	wire->reply.version = (uint32_t)parse_number(wire, value, UINT32_MAX);
}

static void parse_range(wire_reply_t *wire, medlar_str_t value)
{
	const char *dash = memchr(value.ptr, '-', value.len);
	medlar_range_t *range = &wire->reply.range;
	medlar_str_t lo;
	medlar_str_t hi;

	if (!dash) {
		wire->malformed = true;
		return;
	}
	lo = (medlar_str_t){ value.ptr, (size_t)(dash - value.ptr) };
	hi = (medlar_str_t){ dash + 1, value.len - lo.len - 1 };
	range->lo = parse_number(wire, lo, MEDLAR_KEY_END);
	range->hi = parse_number(wire, hi, MEDLAR_KEY_END);
	if (range->lo >= range->hi)
		wire->malformed = true;
}

static void parse_executed(wire_reply_t *wire, medlar_str_t value)
{
	if (medlar_str_equal(value, MEDLAR_STR("no")))
		wire->executed = WIRE_EXECUTED_NO;
	else if (medlar_str_equal(value, MEDLAR_STR("yes")))
		wire->executed = WIRE_EXECUTED_YES;
	else
		wire->malformed = true;
}

static void parse_moved_to(wire_reply_t *wire, medlar_str_t value)
{
	wire->reply.moved_to = (uint32_t)parse_number(wire, value, UINT32_MAX);
	wire->moved = true;
}

static void parse_state(wire_reply_t *wire, medlar_str_t value)
{
	wire->reply.leaving = medlar_str_equal(value, MEDLAR_STR("leaving"));
}

static void parse_incarnation(wire_reply_t *wire, medlar_str_t value)
{
	wire->reply.incarnation = (medlar_time_t)parse_number(wire, value,
							      INT64_MAX);
}

static medlar_str_t next_list_item(medlar_str_t *list)
{
	const char *comma = memchr(list->ptr, ',', list->len);
	size_t len = comma ? (size_t)(comma - list->ptr) : list->len;
	medlar_str_t item = { list->ptr, len };

	list->ptr += len + (comma != NULL);
	list->len -= len + (comma != NULL);
	while (item.len > 0 && item.ptr[0] == ' ') {
		item.ptr++;
		item.len--;
	}
	return item;
}

static void parse_versions(wire_reply_t *wire, medlar_str_t value)
{
	size_t len = 0;

	while (value.len > 0 && len < MEDLAR_VERSIONS_MAX)
		wire->reply.versions[len++] = (uint32_t)parse_number(
			wire, next_list_item(&value), UINT32_MAX);
}

static bool parse_float(medlar_str_t text, float *out)
{
	char copy[NUMBER_TEXT_MAX];
	char *end;
	double value;

	if (text.len == 0 || text.len >= sizeof(copy))
		return false;
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	value = strtod(copy, &end);
	if (*end != '\0' || !(value >= 0) || value > INT32_MAX)
		return false;
	*out = (float)value;
	return true;
}

static bool strip_prefix(medlar_str_t *text, medlar_str_t prefix)
{
	if (text->len < prefix.len ||
	    memcmp(text->ptr, prefix.ptr, prefix.len) != 0)
		return false;
	text->ptr += prefix.len;
	text->len -= prefix.len;
	return true;
}

/* The load report is advisory: an invalid one is ignored. */
static void parse_load(wire_reply_t *wire, medlar_str_t value)
{
	medlar_load_t *load = &wire->reply.load;

	if (!strip_prefix(&value, MEDLAR_STR("TEXT ")))
		return;
	while (value.len > 0) {
		medlar_str_t item = next_list_item(&value);

		if (strip_prefix(&item, MEDLAR_STR("application_utilization=")))
			(void)parse_float(item, &load->utilization);
		else if (strip_prefix(&item,
				      MEDLAR_STR("named_metrics.queue=")))
			(void)parse_float(item, &load->queue);
	}
}

static const struct {
	const char *name;
	parse_fn_t parse;
} headers[] = {
	{ "Medlar-Request-Id", parse_id },
	{ "Medlar-Version", parse_version },
	{ "Medlar-Range", parse_range },
	{ "Medlar-Executed", parse_executed },
	{ "Medlar-Moved-To", parse_moved_to },
	{ "Medlar-State", parse_state },
	{ "Medlar-Incarnation", parse_incarnation },
	{ "Medlar-Versions", parse_versions },
	{ "endpoint-load-metrics", parse_load },
};

/**
 * wire_reply_init() - prepare to parse a reply
 * @wire: object to initialize
 */
void wire_reply_init(wire_reply_t *wire)
{
	*wire = (wire_reply_t){ .reply.load = { -1, -1 } };
}

/**
 * wire_reply_add_header() - parse one header of a reply
 * @name: header name, case-insensitive; unknown headers are ignored
 * @value: header value
 * @data: the &struct wire_reply; untyped to match &http_header_fn_t
 */
void wire_reply_add_header(medlar_str_t name, medlar_str_t value, void *data)
{
	for (size_t i = 0; i < sizeof(headers) / sizeof(headers[0]); i++) {
		if (strlen(headers[i].name) == name.len &&
		    strncasecmp(headers[i].name, name.ptr, name.len) == 0) {
			headers[i].parse(data, value);
			return;
		}
	}
}

static medlar_reply_status_t reply_status(const wire_reply_t *wire, int status)
{
	if (status == STATUS_OK)
		return MEDLAR_REPLY_OK;
	if (status == STATUS_CANCELLED)
		return MEDLAR_REPLY_CANCELLED;
	if (wire->executed != WIRE_EXECUTED_NO)
		return MEDLAR_REPLY_ERROR;
	if (status == STATUS_CONFLICT)
		return MEDLAR_REPLY_WRONG_VERSION;
	if (status == STATUS_MISDIRECTED && wire->moved)
		return MEDLAR_REPLY_MOVED;
	return MEDLAR_REPLY_NOT_EXECUTED;
}

/**
 * wire_reply_finish() - complete a reply after its last header
 * @wire: reply
 * @status: HTTP status code
 * @body: body; not copied
 */
void wire_reply_finish(wire_reply_t *wire, int status, medlar_str_t body)
{
	wire->reply.status = reply_status(wire, status);
	wire->reply.body = body;
}
