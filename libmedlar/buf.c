/**
 * DOC: growing byte buffers
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define BUF_CAP_MIN 256

/**
 * medlar_buf_init() - initialise an empty buffer
 * @buf: buffer in memory of the caller
 */
void medlar_buf_init(medlar_buf_t *buf)
{
	*buf = (medlar_buf_t){ 0 };
}

/**
 * medlar_buf_finish() - free the memory of a buffer
 * @buf: an initialised buffer; empty and usable afterwards
 */
void medlar_buf_finish(medlar_buf_t *buf)
{
	free(buf->ptr);
	medlar_buf_init(buf);
}

/**
 * medlar_buf_reset() - empty a buffer, keep its memory and clear its error
 * @buf: an initialised buffer
 */
void medlar_buf_reset(medlar_buf_t *buf)
{
	buf->len = 0;
	buf->error = MEDLAR_OK;
	if (buf->ptr)
		buf->ptr[0] = '\0';
}

static bool reserve_bytes(medlar_buf_t *buf, size_t more)
{
	size_t need = buf->len + more + 1;
	size_t cap = buf->cap ? buf->cap : BUF_CAP_MIN;
	char *ptr;

	if (buf->error)
		return false;
	if (need <= buf->cap)
		return true;
	while (cap < need)
		cap *= 2;
	ptr = realloc(buf->ptr, cap);
	if (!ptr) {
		buf->error = MEDLAR_ERR_NOMEM;
		return false;
	}
	buf->ptr = ptr;
	buf->cap = cap;
	return true;
}

/**
 * medlar_buf_add() - append bytes
 * @buf: buffer; its error member is set on failure
 * @str: bytes to copy
 */
void medlar_buf_add(medlar_buf_t *buf, medlar_str_t str)
{
	if (!reserve_bytes(buf, str.len))
		return;
	if (str.len > 0)
		memcpy(buf->ptr + buf->len, str.ptr, str.len);
	buf->len += str.len;
	buf->ptr[buf->len] = '\0';
}

/**
 * medlar_buf_printf() - append formatted text
 * @buf: buffer; its error member is set when out of memory
 * @format: as for printf()
 */
void medlar_buf_printf(medlar_buf_t *buf, const char *format, ...)
{
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (len < 0 || !reserve_bytes(buf, (size_t)len))
		return;
	va_start(args, format);
	vsnprintf(buf->ptr + buf->len, (size_t)len + 1, format, args);
	va_end(args);
	buf->len += (size_t)len;
}

static void add_json_byte(medlar_buf_t *buf, char byte)
{
	if (byte == '"' || byte == '\\')
		medlar_buf_printf(buf, "\\%c", byte);
	else if ((unsigned char)byte < 0x20)
		medlar_buf_printf(buf, "\\u%04x", (unsigned)byte);
	else
		medlar_buf_add(buf, (medlar_str_t){ &byte, 1 });
}

/**
 * medlar_buf_json_string() - append text as a quoted and escaped JSON string
 * @buf: buffer; its error member is set on failure
 * @str: UTF-8 text
 */
void medlar_buf_json_string(medlar_buf_t *buf, medlar_str_t str)
{
	size_t i;

	medlar_buf_add(buf, MEDLAR_STR("\""));
	for (i = 0; i < str.len; i++)
		add_json_byte(buf, str.ptr[i]);
	medlar_buf_add(buf, MEDLAR_STR("\""));
}

/**
 * medlar_buf_str() - contents of a buffer as a borrowed string
 * @buf: buffer
 *
 * Return: the string, valid until the buffer changes.
 */
medlar_str_t medlar_buf_str(const medlar_buf_t *buf)
{
	return (medlar_str_t){ buf->ptr ? buf->ptr : "", buf->len };
}
