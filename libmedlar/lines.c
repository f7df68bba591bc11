/**
 * DOC: index of the line numbers of fields in a JSON document
 *
 * The JSON library keeps no line numbers, which error reports need. The index
 * is built by one scan of a text that the library has already accepted. The
 * path of a field looks like ``services[2].slots``.
 */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define LINES_CAP_MIN 64

typedef struct line_scanner {
	const char *at;
	const char *end;
	unsigned line;
	medlar_buf_t path;
	medlar_lines_t *lines;
} line_scanner_t;

static void scan_value(line_scanner_t *scanner);

static void advance_char(line_scanner_t *scanner)
{
	if (*scanner->at == '\n')
		scanner->line++;
	scanner->at++;
}

static bool starts_with(const line_scanner_t *scanner, const char *text)
{
	size_t len = strlen(text);

	return (size_t)(scanner->end - scanner->at) >= len &&
	       memcmp(scanner->at, text, len) == 0;
}

static void skip_past(line_scanner_t *scanner, const char *text)
{
	size_t len = strlen(text);

	while (scanner->at < scanner->end && !starts_with(scanner, text))
		advance_char(scanner);
	while (len-- > 0 && scanner->at < scanner->end)
		advance_char(scanner);
}

static void skip_space_and_comments(line_scanner_t *scanner)
{
	while (scanner->at < scanner->end) {
		if (starts_with(scanner, "//"))
			skip_past(scanner, "\n");
		else if (starts_with(scanner, "/*"))
			skip_past(scanner, "*/");
		else if (isspace((unsigned char)*scanner->at))
			advance_char(scanner);
		else
			return;
	}
}

static medlar_str_t scan_string(line_scanner_t *scanner)
{
	char quote = *scanner->at;
	const char *start;

	advance_char(scanner);
	start = scanner->at;
	while (scanner->at < scanner->end && *scanner->at != quote) {
		if (*scanner->at == '\\' && scanner->at + 1 < scanner->end)
			advance_char(scanner);
		advance_char(scanner);
	}
	if (scanner->at < scanner->end)
		advance_char(scanner);
	return (medlar_str_t){ start, (size_t)(scanner->at - start - 1) };
}

static void add_line(line_scanner_t *scanner)
{
	medlar_lines_t *lines = scanner->lines;
	medlar_line_t *items;

	if (lines->len == lines->cap) {
		size_t cap = lines->cap ? 2 * lines->cap : LINES_CAP_MIN;

		items = realloc(lines->items, cap * sizeof(*items));
		if (!items) {
			scanner->path.error = MEDLAR_ERR_NOMEM;
			return;
		}
		lines->items = items;
		lines->cap = cap;
	}
	lines->items[lines->len++] = (medlar_line_t){
		.path_hash = medlar_str_hash(medlar_buf_str(&scanner->path), 0),
		.number = scanner->line,
	};
}

static void truncate_path(line_scanner_t *scanner, size_t len)
{
	scanner->path.len = len;
	if (scanner->path.ptr)
		scanner->path.ptr[len] = '\0';
}

static void scan_member(line_scanner_t *scanner)
{
	size_t len = scanner->path.len;
	medlar_str_t key = scan_string(scanner);

	if (len > 0)
		medlar_buf_add(&scanner->path, MEDLAR_STR("."));
	medlar_buf_add(&scanner->path, key);
	add_line(scanner);
	skip_space_and_comments(scanner);
	if (scanner->at < scanner->end && *scanner->at == ':')
		advance_char(scanner);
	scan_value(scanner);
	truncate_path(scanner, len);
}

static void scan_element(line_scanner_t *scanner, size_t index)
{
	size_t len = scanner->path.len;

	medlar_buf_printf(&scanner->path, "[%zu]", index);
	add_line(scanner);
	scan_value(scanner);
	truncate_path(scanner, len);
}

static void scan_items(line_scanner_t *scanner, char close)
{
	size_t index = 0;

	advance_char(scanner);
	for (;;) {
		skip_space_and_comments(scanner);
		if (scanner->at >= scanner->end)
			return;
		if (*scanner->at == close) {
			advance_char(scanner);
			return;
		}
		if (*scanner->at == ',') {
			advance_char(scanner);
			continue;
		}
		if (close == ']')
			scan_element(scanner, index++);
		else if (*scanner->at == '"' || *scanner->at == '\'')
			scan_member(scanner);
		else
			advance_char(scanner);
	}
}

/* The recursion is bounded by the depth limit of the JSON library. */
static void scan_value(line_scanner_t *scanner) /* NOLINT(misc-no-recursion) */
{
	skip_space_and_comments(scanner);
	if (scanner->at >= scanner->end)
		return;
	if (*scanner->at == '{')
		scan_items(scanner, '}');
	else if (*scanner->at == '[')
		scan_items(scanner, ']');
	else if (*scanner->at == '"' || *scanner->at == '\'')
		scan_string(scanner);
	else
		while (scanner->at < scanner->end &&
		       !strchr(",]}", *scanner->at) &&
		       !isspace((unsigned char)*scanner->at))
			advance_char(scanner);
}

static int compare_lines(const void *a, const void *b)
{
	const medlar_line_t *x = a;
	const medlar_line_t *y = b;

	if (x->path_hash != y->path_hash)
		return x->path_hash < y->path_hash ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void find_duplicate(medlar_lines_t *lines)
{
	size_t i;

	for (i = 1; i < lines->len; i++) {
		if (lines->items[i].path_hash ==
		    lines->items[i - 1].path_hash) {
			lines->duplicate_line = lines->items[i].number;
			return;
		}
	}
}

/**
 * medlar_lines_init() - build the line index of a document
 * @lines: memory of the caller
 * @json: valid JSON text; comments are allowed
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_lines_init(medlar_lines_t *lines, medlar_str_t json)
{
	line_scanner_t scanner = {
		json.ptr, json.ptr + json.len, 1, { 0 }, lines
	};
	int error;

	*lines = (medlar_lines_t){ 0 };
	scan_value(&scanner);
	error = scanner.path.error;
	medlar_buf_finish(&scanner.path);
	if (lines->len > 0)
		qsort(lines->items, lines->len, sizeof(*lines->items),
		      compare_lines);
	find_duplicate(lines);
	if (error)
		medlar_lines_finish(lines);
	return error;
}

/**
 * medlar_lines_finish() - release a line index
 * @lines: an initialised index
 */
void medlar_lines_finish(medlar_lines_t *lines)
{
	free(lines->items);
	*lines = (medlar_lines_t){ 0 };
}

/**
 * medlar_lines_find() - find the line of a field
 * @lines: index
 * @path: path of the field
 *
 * Return: line number from 1, or 0 if there is no such field.
 */
unsigned medlar_lines_find(const medlar_lines_t *lines, medlar_str_t path)
{
	uint64_t hash = medlar_str_hash(path, 0);
	size_t lo = 0;
	size_t hi = lines->len;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (lines->items[mid].path_hash < hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == lines->len || lines->items[lo].path_hash != hash)
		return 0;
	return lines->items[lo].number;
}

/**
 * medlar_lines_at() - line number of a byte offset in a text
 * @text: text
 * @offset: offset in @text; clamped to its length
 *
 * Return: line number from 1.
 */
unsigned medlar_lines_at(medlar_str_t text, size_t offset)
{
	unsigned line = 1;
	size_t i;

	for (i = 0; i < offset && i < text.len; i++)
		line += text.ptr[i] == '\n';
	return line;
}
