/**
 * DOC: the lines on which the fields of a JSON document stand
 *
 * The JSON library keeps no line numbers. This index is built by one scan of
 * a text that the library has already accepted, and is used in error reports.
 * Paths look like ``services[2].slots``.
 */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define LINES_CAP_MIN 64

typedef struct scan {
	const char *at;
	const char *end;
	unsigned line;
	medlar_buf_t path;
	medlar_lines_t *lines;
} scan_t;

static void scan_value(scan_t *scan);

static void step(scan_t *scan)
{
	if (*scan->at == '\n')
		scan->line++;
	scan->at++;
}

static bool looking_at(const scan_t *scan, const char *text)
{
	size_t len = strlen(text);

	return (size_t)(scan->end - scan->at) >= len &&
	       memcmp(scan->at, text, len) == 0;
}

static void skip_until(scan_t *scan, const char *text)
{
	size_t len = strlen(text);

	while (scan->at < scan->end && !looking_at(scan, text))
		step(scan);
	while (len-- > 0 && scan->at < scan->end)
		step(scan);
}

static void skip_space(scan_t *scan)
{
	while (scan->at < scan->end) {
		if (looking_at(scan, "//"))
			skip_until(scan, "\n");
		else if (looking_at(scan, "/*"))
			skip_until(scan, "*/");
		else if (isspace((unsigned char)*scan->at))
			step(scan);
		else
			return;
	}
}

static medlar_str_t scan_string(scan_t *scan)
{
	char quote = *scan->at;
	const char *start;

	step(scan);
	start = scan->at;
	while (scan->at < scan->end && *scan->at != quote) {
		if (*scan->at == '\\' && scan->at + 1 < scan->end)
			step(scan);
		step(scan);
	}
	if (scan->at < scan->end)
		step(scan);
	return (medlar_str_t){ start, (size_t)(scan->at - start - 1) };
}

static void add_line(scan_t *scan)
{
	medlar_lines_t *lines = scan->lines;
	medlar_line_t *items;

	if (lines->len == lines->cap) {
		size_t cap = lines->cap ? 2 * lines->cap : LINES_CAP_MIN;

		items = realloc(lines->items, cap * sizeof(*items));
		if (!items) {
			scan->path.error = MEDLAR_ERR_NOMEM;
			return;
		}
		lines->items = items;
		lines->cap = cap;
	}
	lines->items[lines->len++] = (medlar_line_t){
		.path = medlar_str_hash(medlar_buf_str(&scan->path), 0),
		.number = scan->line,
	};
}

static void cut_path(scan_t *scan, size_t len)
{
	scan->path.len = len;
	if (scan->path.ptr)
		scan->path.ptr[len] = '\0';
}

static void scan_member(scan_t *scan)
{
	size_t len = scan->path.len;
	medlar_str_t key = scan_string(scan);

	if (len > 0)
		medlar_buf_add(&scan->path, MEDLAR_STR("."));
	medlar_buf_add(&scan->path, key);
	add_line(scan);
	skip_space(scan);
	if (scan->at < scan->end && *scan->at == ':')
		step(scan);
	scan_value(scan);
	cut_path(scan, len);
}

static void scan_element(scan_t *scan, size_t index)
{
	size_t len = scan->path.len;

	medlar_buf_printf(&scan->path, "[%zu]", index);
	add_line(scan);
	scan_value(scan);
	cut_path(scan, len);
}

static void scan_items(scan_t *scan, char close)
{
	size_t index = 0;

	step(scan);
	for (;;) {
		skip_space(scan);
		if (scan->at >= scan->end)
			return;
		if (*scan->at == close) {
			step(scan);
			return;
		}
		if (*scan->at == ',') {
			step(scan);
			continue;
		}
		if (close == ']')
			scan_element(scan, index++);
		else if (*scan->at == '"' || *scan->at == '\'')
			scan_member(scan);
		else
			step(scan);
	}
}

/* The JSON library bounds the depth of what reaches this recursion. */
static void scan_value(scan_t *scan) /* NOLINT(misc-no-recursion) */
{
	skip_space(scan);
	if (scan->at >= scan->end)
		return;
	if (*scan->at == '{')
		scan_items(scan, '}');
	else if (*scan->at == '[')
		scan_items(scan, ']');
	else if (*scan->at == '"' || *scan->at == '\'')
		scan_string(scan);
	else
		while (scan->at < scan->end && !strchr(",]}", *scan->at) &&
		       !isspace((unsigned char)*scan->at))
			step(scan);
}

static int by_path(const void *a, const void *b)
{
	const medlar_line_t *x = a;
	const medlar_line_t *y = b;

	if (x->path != y->path)
		return x->path < y->path ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void find_twice(medlar_lines_t *lines)
{
	size_t i;

	for (i = 1; i < lines->len; i++) {
		if (lines->items[i].path == lines->items[i - 1].path) {
			lines->twice = lines->items[i].number;
			return;
		}
	}
}

/**
 * medlar_lines_init() - index the fields of a document
 * @lines: memory of the caller
 * @json: text that parses as JSON, comments allowed
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_lines_init(medlar_lines_t *lines, medlar_str_t json)
{
	scan_t scan = { json.ptr, json.ptr + json.len, 1, { 0 }, lines };
	int error;

	*lines = (medlar_lines_t){ 0 };
	scan_value(&scan);
	error = scan.path.error;
	medlar_buf_finish(&scan.path);
	if (lines->len > 0)
		qsort(lines->items, lines->len, sizeof(*lines->items), by_path);
	find_twice(lines);
	if (error)
		medlar_lines_finish(lines);
	return error;
}

/**
 * medlar_lines_finish() - release an index
 * @lines: an initialised index
 */
void medlar_lines_finish(medlar_lines_t *lines)
{
	free(lines->items);
	*lines = (medlar_lines_t){ 0 };
}

/**
 * medlar_lines_find() - line of a field
 * @lines: index
 * @path: path of the field
 *
 * Return: the line counted from 1, or 0 when there is no such field.
 */
unsigned medlar_lines_find(const medlar_lines_t *lines, medlar_str_t path)
{
	uint64_t hash = medlar_str_hash(path, 0);
	size_t lo = 0;
	size_t hi = lines->len;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (lines->items[mid].path < hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == lines->len || lines->items[lo].path != hash)
		return 0;
	return lines->items[lo].number;
}

/**
 * medlar_lines_at() - line of a byte
 * @text: text
 * @offset: position in @text; a later one counts as the last byte
 *
 * Return: the line counted from 1.
 */
unsigned medlar_lines_at(medlar_str_t text, size_t offset)
{
	unsigned line = 1;
	size_t i;

	for (i = 0; i < offset && i < text.len; i++)
		line += text.ptr[i] == '\n';
	return line;
}
