/**
 * DOC: idempotency keys in the form of a UUID of version 7 (RFC 9562)
 */
#include <string.h>

#include "medlar.h"

#define UUID_VERSION 7
#define UUID_VARIANT 2 /* the two highest bits of byte 8 */
#define UUID_TIME_LEN 6 /* bytes of Unix time in milliseconds */
#define UUID_RANDOM_LEN (MEDLAR_UUID_LEN - UUID_TIME_LEN)

static int digit_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	if (digit >= 'A' && digit <= 'F')
		return digit - 'A' + 10;
	return -1;
}

static bool is_dash_position(size_t at)
{
	return at == 8 || at == 13 || at == 18 || at == 23;
}

/**
 * medlar_uuid_parse() - parse a UUID of version 7
 * @text: 36 characters, hexadecimal digits of either case and dashes
 * @out: set to the UUID on success
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_SYNTAX for any other text, version or
 * variant.
 */
int medlar_uuid_parse(medlar_str_t text, medlar_uuid_t *out)
{
	medlar_uuid_t uuid = { { 0 } };
	size_t digits = 0;
	size_t i;

	if (text.len != MEDLAR_UUID_TEXT_LEN)
		return MEDLAR_ERR_SYNTAX;
	for (i = 0; i < text.len; i++) {
		int value = digit_value(text.ptr[i]);

		if (is_dash_position(i) && text.ptr[i] == '-')
			continue;
		if (is_dash_position(i) || value < 0)
			return MEDLAR_ERR_SYNTAX;
		uuid.bytes[digits / 2] |= value << (digits % 2 ? 0 : 4);
		digits++;
	}
	if (uuid.bytes[6] >> 4 != UUID_VERSION)
		return MEDLAR_ERR_SYNTAX;
	if (uuid.bytes[8] >> 6 != UUID_VARIANT)
		return MEDLAR_ERR_SYNTAX;
	*out = uuid;
	return MEDLAR_OK;
}

/**
 * medlar_uuid_format() - format a UUID as text with lower-case digits
 * @uuid: UUID
 * @out: set to the text, terminated
 */
void medlar_uuid_format(const medlar_uuid_t *uuid,
			char out[MEDLAR_UUID_TEXT_LEN + 1])
{
	static const char digits[] = "0123456789abcdef";
	size_t at = 0;
	size_t i;

	for (i = 0; i < MEDLAR_UUID_LEN; i++) {
		if (is_dash_position(at))
			out[at++] = '-';
		out[at++] = digits[uuid->bytes[i] >> 4];
		out[at++] = digits[uuid->bytes[i] & 0xf];
	}
	out[at] = '\0';
}

/**
 * medlar_uuid_time() - creation time of a UUID
 * @uuid: a UUID of version 7
 *
 * Return: Unix time in milliseconds.
 */
medlar_time_t medlar_uuid_time(const medlar_uuid_t *uuid)
{
	medlar_time_t time = 0;
	size_t i;

	for (i = 0; i < UUID_TIME_LEN; i++)
		time = time << 8 | uuid->bytes[i];
	return time;
}

/**
 * medlar_uuid_make() - create a UUID of version 7
 * @out: set to the UUID
 * @time: Unix time in milliseconds
 * @random: 10 random bytes, of which version and variant overwrite 6 bits
 */
void medlar_uuid_make(medlar_uuid_t *out, medlar_time_t time,
		      const uint8_t *random)
{
	size_t i;

	for (i = 0; i < UUID_TIME_LEN; i++)
		out->bytes[i] = time >> (8 * (UUID_TIME_LEN - 1 - i));
	memcpy(out->bytes + UUID_TIME_LEN, random, UUID_RANDOM_LEN);
	out->bytes[6] = UUID_VERSION << 4 | (out->bytes[6] & 0xf);
	out->bytes[8] = UUID_VARIANT << 6 | (out->bytes[8] & 0x3f);
}
