/**
 * DOC: HTTP/1.1 messages, parsed by libhttp-parser
 */
#include <string.h>
#include <strings.h>

#include "medlard/h1.h"
#include "medlard/h1_status.h"

#define INTERIM_REPLIES_MAX 8
/* Memory that a connection keeps for bodies, and may always use. */
#define BODY_BYTES_KEPT ((size_t)64 * 1024)
/* Length of "HTTP/1.1". */
#define VERSION_LEN ((size_t)8)
#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

static int fail_parse(http_parser *raw, h1_progress_t reason)
{
	h1_parser_t *parser = raw->data;

	parser->error = reason;
	return -1;
}

static int append_text(http_parser *raw, const char *at, size_t len)
{
	h1_parser_t *parser = raw->data;
	medlar_buf_t *text = &parser->message.text;

	if (text->len + len > parser->limits.head_max)
		return fail_parse(raw, H1_HEAD_TOO_LARGE);
	medlar_buf_add(text, (medlar_str_t){ at, len });
	return text->error;
}

static int on_message_begin(http_parser *raw)
{
	h1_parser_t *parser = raw->data;

	parser->started = true;
	return 0;
}

static int on_url(http_parser *raw, const char *at, size_t len)
{
	h1_parser_t *parser = raw->data;

	parser->message.target_len += len;
	return append_text(raw, at, len);
}

static int on_header_field(http_parser *raw, const char *at, size_t len)
{
	h1_parser_t *parser = raw->data;
	h1_message_t *message = &parser->message;
	h1_header_t *header;

	if (memchr(at, ' ', len))
		return fail_parse(raw, H1_MALFORMED);
	if (parser->in_value || message->headers_len == 0) {
		if (message->headers_len == H1_HEADERS_MAX)
			return fail_parse(raw, H1_HEAD_TOO_LARGE);
		header = &message->headers[message->headers_len++];
		*header = (h1_header_t){
			.name_offset = (uint32_t)message->text.len,
		};
		parser->in_value = false;
	}
	message->headers[message->headers_len - 1].name_len += (uint32_t)len;
	return append_text(raw, at, len);
}

static int on_header_value(http_parser *raw, const char *at, size_t len)
{
	h1_parser_t *parser = raw->data;
	h1_message_t *message = &parser->message;
	h1_header_t *header;

	if (message->headers_len == 0)
		return fail_parse(raw, H1_MALFORMED);
	header = &message->headers[message->headers_len - 1];
	if (!parser->in_value) {
		header->value_offset = (uint32_t)message->text.len;
		parser->in_value = true;
	}
	header->value_len += (uint32_t)len;
	return append_text(raw, at, len);
}

static bool has_expect_continue(const h1_message_t *message)
{
	return h1_name_equal(
		h1_message_find_header(message, MEDLAR_STR("expect")),
		MEDLAR_STR("100-continue"));
}

/* The close of the connection delimits the body (RFC 9112, section 6.3). */
static bool is_close_delimited(const http_parser *raw)
{
	if (raw->status_code < STATUS_OK ||
	    raw->status_code == STATUS_NO_CONTENT ||
	    raw->status_code == STATUS_NOT_MODIFIED)
		return false;
	return !(raw->flags & F_CHUNKED) && raw->content_length == UINT64_MAX;
}

/* Interim replies have no body (RFC 9110, section 15.2). */
static bool is_interim_with_body(const http_parser *raw)
{
	return h1_status_kind(raw->status_code) == H1_STATUS_INTERIM &&
	       ((raw->flags & F_CHUNKED) ||
		(raw->content_length != UINT64_MAX && raw->content_length > 0));
}

static int on_headers_complete(http_parser *raw)
{
	h1_parser_t *parser = raw->data;
	h1_message_t *message = &parser->message;

	message->status = raw->status_code;
	message->keep_alive = http_should_keep_alive(raw) != 0;
	if (raw->type == HTTP_REQUEST) {
		message->method = http_method_str(
			(enum http_method)raw->method);
		if (raw->upgrade)
			return fail_parse(raw, H1_MALFORMED);
		parser->expects_continue = has_expect_continue(message);
		return 0;
	}
	if (is_interim_with_body(raw))
		return fail_parse(raw, H1_MALFORMED);
	message->close_delimited = !parser->method_is_head &&
				   is_close_delimited(raw);
	return parser->method_is_head ? 1 : 0;
}

/* A small body is received even if others have used up the memory. */
static bool exceeds_memory(const h1_parser_t *parser, size_t len)
{
	const h1_memory_t *memory = parser->limits.memory;

	return memory && memory->used + len > memory->max &&
	       parser->message.body.len + len > BODY_BYTES_KEPT;
}

static void count_memory(h1_parser_t *parser, size_t len)
{
	if (!parser->limits.memory)
		return;
	parser->limits.memory->used += len;
	parser->memory_used += len;
}

static void release_memory(h1_parser_t *parser)
{
	if (parser->limits.memory)
		parser->limits.memory->used -= parser->memory_used;
	parser->memory_used = 0;
}

static int on_body(http_parser *raw, const char *at, size_t len)
{
	h1_parser_t *parser = raw->data;
	medlar_buf_t *body = &parser->message.body;

	if (body->len + len > parser->limits.body_max ||
	    exceeds_memory(parser, len))
		return fail_parse(raw, H1_BODY_TOO_LARGE);
	count_memory(parser, len);
	medlar_buf_add(body, (medlar_str_t){ at, len });
	return body->error;
}

static int on_message_complete(http_parser *raw)
{
	h1_parser_t *parser = raw->data;

	parser->done = true;
	http_parser_pause(raw, 1);
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void clear_message(h1_parser_t *parser)
{
	h1_message_t *message = &parser->message;

	release_memory(parser);
	medlar_buf_reset(&message->text);
	if (message->body.len > BODY_BYTES_KEPT) {
		medlar_buf_finish(&message->body);
		medlar_buf_init(&message->body);
	}
	medlar_buf_reset(&message->body);
	message->target_len = 0;
	message->headers_len = 0;
	message->method = NULL;
	message->status = 0;
	message->keep_alive = false;
	message->close_delimited = false;
	parser->started = false;
	parser->head_lines = 0;
	parser->line_started = false;
	parser->status_line_len = 0;
	parser->head_complete = false;
	parser->in_value = false;
	parser->expects_continue = false;
	parser->error = H1_MALFORMED;
	parser->done = false;
}

/**
 * h1_parser_init() - initialise a parser
 * @parser: uninitialised memory
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 * @limits: size limits of a message
 */
void h1_parser_init(h1_parser_t *parser, enum http_parser_type type,
		    h1_limits_t limits)
{
	*parser = (h1_parser_t){ .limits = limits };
	medlar_buf_init(&parser->message.text);
	medlar_buf_init(&parser->message.body);
	http_parser_init(&parser->parser, type);
	parser->parser.data = parser;
	clear_message(parser);
}

/**
 * h1_parser_finish() - release the memory of a parser
 * @parser: an initialised parser
 */
void h1_parser_finish(h1_parser_t *parser)
{
	release_memory(parser);
	medlar_buf_finish(&parser->message.text);
	medlar_buf_finish(&parser->message.body);
}

/**
 * h1_parser_reset() - prepare for the next message of the connection
 * @parser: an initialised parser
 */
void h1_parser_reset(h1_parser_t *parser)
{
	enum http_parser_type type = (enum http_parser_type)parser->parser.type;

	clear_message(parser);
	parser->method_is_head = false;
	parser->interim_replies = 0;
	http_parser_init(&parser->parser, type);
	parser->parser.data = parser;
}

static bool is_interim_reply(const h1_parser_t *parser)
{
	return parser->parser.type == HTTP_RESPONSE &&
	       h1_status_kind(parser->message.status) == H1_STATUS_INTERIM;
}

static medlar_str_t status_line(const h1_parser_t *parser)
{
	return (medlar_str_t){ parser->status_line, parser->status_line_len };
}

/**
 * h1_parser_status_code() - get the status code of a reply as received
 * @parser: a parser that has received the first line of a reply
 *
 * Return: the code, possibly cut off, if it is none.
 */
medlar_str_t h1_parser_status_code(const h1_parser_t *parser)
{
	return h1_status_line_code(status_line(parser));
}

static void keep_status_line(h1_parser_t *parser, char c)
{
	if (parser->parser.type == HTTP_RESPONSE && parser->head_lines == 0 &&
	    parser->status_line_len < H1_STATUS_LINE_MAX)
		parser->status_line[parser->status_line_len++] = c;
}

/* A line without a version and a space is left to the library. */
static bool has_bad_status(const h1_parser_t *parser)
{
	medlar_str_t line = status_line(parser);

	return parser->parser.type == HTTP_RESPONSE &&
	       parser->head_lines == 0 && line.len > VERSION_LEN &&
	       line.ptr[VERSION_LEN] == ' ' &&
	       h1_status_line_kind(line) == H1_STATUS_INVALID;
}

/*
 * Rejects what the library would accept: header lines that are folded (RFC 9112,
 * section 5.2), which it joins, and statuses that are none.
 *
 * Return: %H1_INCOMPLETE, or the error.
 */
static h1_progress_t check_head(h1_parser_t *parser, medlar_str_t bytes)
{
	for (size_t i = 0; i < bytes.len && !parser->head_complete; i++) {
		char c = bytes.ptr[i];

		if (c == '\n') {
			if (has_bad_status(parser))
				return H1_BAD_STATUS;
			parser->head_complete = parser->head_lines &&
						!parser->line_started;
			parser->head_lines += parser->line_started;
			parser->line_started = false;
		} else if (c != '\r') {
			if (parser->head_lines && !parser->line_started &&
			    (c == ' ' || c == '\t'))
				return H1_MALFORMED;
			keep_status_line(parser, c);
			parser->line_started = true;
		}
	}
	return H1_INCOMPLETE;
}

/* Return: false if more of them precede the reply than any server sends. */
static bool skip_interim_reply(h1_parser_t *parser)
{
	bool method_is_head = parser->method_is_head;
	unsigned count = parser->interim_replies + 1;

	h1_parser_reset(parser);
	parser->method_is_head = method_is_head;
	parser->interim_replies = count;
	return count <= INTERIM_REPLIES_MAX;
}

/**
 * h1_parser_feed() - parse received bytes
 * @parser: a parser whose message is not complete
 * @bytes: received bytes, at least one
 * @used: set to the number of bytes that were consumed
 *
 * Interim replies are skipped, up to a number.
 *
 * Return: %H1_COMPLETE at the end of the message, %H1_INCOMPLETE before it, or
 * the error.
 */
h1_progress_t h1_parser_feed(h1_parser_t *parser, medlar_str_t bytes,
			     size_t *used)
{
	h1_progress_t progress;
	size_t got;

	*used = 0;
	do {
		if (parser->done && !skip_interim_reply(parser))
			return H1_MALFORMED;
		if (*used == bytes.len)
			return H1_INCOMPLETE;
		progress = check_head(
			parser,
			(medlar_str_t){ bytes.ptr + *used, bytes.len - *used });
		if (progress != H1_INCOMPLETE) {
			parser->error = progress;
			return progress;
		}
		got = http_parser_execute(&parser->parser, &parser_callbacks,
					  bytes.ptr + *used, bytes.len - *used);
		*used += got;
	} while (parser->done && is_interim_reply(parser));
	if (parser->done)
		return H1_COMPLETE;
	if (HTTP_PARSER_ERRNO(&parser->parser) == HPE_INVALID_STATUS)
		parser->error = H1_BAD_STATUS;
	if (HTTP_PARSER_ERRNO(&parser->parser) != HPE_OK ||
	    parser->parser.upgrade)
		return parser->error;
	return H1_INCOMPLETE;
}

/**
 * h1_parser_end() - handle the end of the byte stream
 * @parser: a parser whose message is not complete
 *
 * Return: %H1_COMPLETE if the message is a reply that is delimited by the close
 * of the connection, else %H1_MALFORMED.
 */
h1_progress_t h1_parser_end(h1_parser_t *parser)
{
	if (!parser->started || !parser->message.close_delimited)
		return H1_MALFORMED;
	(void)http_parser_execute(&parser->parser, &parser_callbacks, NULL, 0);
	return parser->done ? H1_COMPLETE : H1_MALFORMED;
}

/**
 * h1_message_target() - get the request target
 * @message: a request
 *
 * Return: path and query as received.
 */
medlar_str_t h1_message_target(const h1_message_t *message)
{
	return (medlar_str_t){ message->text.ptr, message->target_len };
}

/**
 * h1_header_name() - get the name of a header
 * @message: a message
 * @index: index of the header, below &struct h1_message.headers_len
 *
 * Return: the name as received.
 */
medlar_str_t h1_header_name(const h1_message_t *message, size_t index)
{
	const h1_header_t *header = &message->headers[index];

	return (medlar_str_t){ message->text.ptr + header->name_offset,
			       header->name_len };
}

/**
 * h1_header_value() - get the value of a header
 * @message: a message
 * @index: index of the header, below &struct h1_message.headers_len
 *
 * Return: the value without surrounding whitespace.
 */
medlar_str_t h1_header_value(const h1_message_t *message, size_t index)
{
	const h1_header_t *header = &message->headers[index];
	medlar_str_t value = { message->text.ptr + header->value_offset,
			       header->value_len };

	while (value.len && (value.ptr[value.len - 1] == ' ' ||
			     value.ptr[value.len - 1] == '\t'))
		value.len--;
	return value;
}

/**
 * h1_name_equal() - compare two header names or tokens, ignoring case
 * @a: first name
 * @b: second name
 *
 * Return: true if they are equal.
 */
bool h1_name_equal(medlar_str_t a, medlar_str_t b)
{
	return a.len == b.len && strncasecmp(a.ptr, b.ptr, a.len) == 0;
}

/**
 * h1_message_find_header() - find the first header with a name
 * @message: a message
 * @name: name of the header, in any case
 *
 * Return: the value of the header, or a string with a NULL pointer if there is
 * none.
 */
medlar_str_t h1_message_find_header(const h1_message_t *message,
				    medlar_str_t name)
{
	for (size_t i = 0; i < message->headers_len; i++)
		if (h1_name_equal(h1_header_name(message, i), name))
			return h1_header_value(message, i);
	return (medlar_str_t){ 0 };
}

/**
 * h1_list_contains() - check whether a header value lists a token
 * @list: header value, tokens separated by commas
 * @token: token to look for, in any case
 *
 * Return: true if @list contains @token.
 */
bool h1_list_contains(medlar_str_t list, medlar_str_t token)
{
	const char *at = list.ptr;
	const char *end = list.ptr ? list.ptr + list.len : NULL;

	while (at && at < end) {
		const char *comma = memchr(at, ',', (size_t)(end - at));
		const char *stop = comma ? comma : end;
		const char *next = stop + 1;

		while (at < stop && (*at == ' ' || *at == '\t'))
			at++;
		while (stop > at && (stop[-1] == ' ' || stop[-1] == '\t'))
			stop--;
		if (h1_name_equal((medlar_str_t){ at, (size_t)(stop - at) },
				  token))
			return true;
		at = next;
	}
	return false;
}

/**
 * h1_header_is_hop_by_hop() - check whether a header is hop-by-hop
 * @message: message that holds the header
 * @name: name of the header
 *
 * Content-Length and Expect count as hop-by-hop too, since the router sets the
 * length itself and answers expectations itself.
 *
 * Return: true if the header must not be forwarded.
 */
bool h1_header_is_hop_by_hop(const h1_message_t *message, medlar_str_t name)
{
	static const char *const names[] = {
		"connection", "keep-alive",	   "proxy-connection",
		"te",	      "transfer-encoding", "trailer",
		"upgrade",    "content-length",	   "expect",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (h1_name_equal(name, medlar_str_from(names[i])))
			return true;
	for (size_t i = 0; i < message->headers_len; i++)
		if (h1_name_equal(h1_header_name(message, i),
				  MEDLAR_STR("connection")) &&
		    h1_list_contains(h1_header_value(message, i), name))
			return true;
	return false;
}
