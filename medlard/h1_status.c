/**
 * DOC: status codes of HTTP replies
 */
#include <string.h>

#include "medlard/h1_status.h"

#define STATUS_SWITCHING 101
#define STATUS_INTERIM_MIN 100
#define STATUS_FINAL_MIN 200
#define STATUS_FINAL_MAX 599
/* Length of "HTTP/1.1", and of a status code. */
#define VERSION_LEN ((size_t)8)
#define CODE_LEN ((size_t)3)

/**
 * h1_status_kind() - get the kind of a status
 * @status: value of the status code
 *
 * Return: its kind.
 */
h1_status_kind_t h1_status_kind(long status)
{
	if (status < STATUS_INTERIM_MIN || status > STATUS_FINAL_MAX ||
	    status == STATUS_SWITCHING)
		return H1_STATUS_INVALID;
	return status < STATUS_FINAL_MIN ? H1_STATUS_INTERIM : H1_STATUS_FINAL;
}

/**
 * h1_status_line_code() - get the status code of a status line
 * @line: first line of a reply, without its end
 *
 * Return: what stands between the first space and the next one, if any.
 */
medlar_str_t h1_status_line_code(medlar_str_t line)
{
	const char *space = line.len ? memchr(line.ptr, ' ', line.len) : NULL;
	medlar_str_t code = { line.ptr, 0 };
	const char *end;

	if (!space)
		return code;
	code.ptr = space + 1;
	code.len = line.len - (size_t)(code.ptr - line.ptr);
	end = code.len ? memchr(code.ptr, ' ', code.len) : NULL;
	if (end)
		code.len = (size_t)(end - code.ptr);
	return code;
}

/**
 * h1_status_line_kind() - get the kind of the status in a status line
 * @line: first line of a reply, without its end; its reason may be cut off
 *
 * The code has exactly three digits (RFC 9112, section 4).
 *
 * Return: its kind.
 */
h1_status_kind_t h1_status_line_kind(medlar_str_t line)
{
	medlar_str_t code = h1_status_line_code(line);
	long status = 0;

	if (line.len < VERSION_LEN || code.len != CODE_LEN ||
	    code.ptr != line.ptr + VERSION_LEN + 1)
		return H1_STATUS_INVALID;
	for (size_t i = 0; i < CODE_LEN; i++) {
		if (code.ptr[i] < '0' || code.ptr[i] > '9')
			return H1_STATUS_INVALID;
		status = 10 * status + (code.ptr[i] - '0');
	}
	return h1_status_kind(status);
}
