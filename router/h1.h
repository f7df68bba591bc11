/**
 * DOC: HTTP/1.1 messages, parsed by libhttp-parser
 *
 * A parser collects one whole message, a request or a reply, and stops at its
 * last byte. Bytes after that stay with the caller.
 */
#ifndef ROUTER_H1_H
#define ROUTER_H1_H

#include <http_parser.h>

#include "libmedlar/medlar.h"

#define H1_HEADERS_MAX 96

/** struct h1_header - place of a header in the text of its message */
typedef struct h1_header {
	uint32_t name;
	uint32_t name_len;
	uint32_t value;
	uint32_t value_len;
} h1_header_t;

/**
 * struct h1_message - a request or a reply
 * @text: request target, then the headers
 * @target_len: length of the request target at the start of @text
 * @headers: in the order received
 * @headers_len: how many
 * @body: body without transfer coding
 * @method: request method, a static string
 * @status: status of a reply
 * @keep_alive: the sender lets the connection be used again
 * @ends_with_close: a reply whose length only the end of the connection told
 */
typedef struct h1_message {
	medlar_buf_t text;
	size_t target_len;
	h1_header_t headers[H1_HEADERS_MAX];
	size_t headers_len;
	medlar_buf_t body;
	const char *method;
	unsigned status;
	bool keep_alive;
	bool ends_with_close;
} h1_message_t;

/**
 * struct h1_limits - the most that is accepted
 * @head_max: bytes of the target and the headers
 * @body_max: bytes of the body
 */
typedef struct h1_limits {
	size_t head_max;
	size_t body_max;
} h1_limits_t;

/** enum h1_progress - what h1_parser_feed() and h1_parser_end() report */
typedef enum h1_progress {
	H1_MORE,
	H1_COMPLETE,
	H1_BAD,
	H1_HEAD_TOO_LARGE,
	H1_BODY_TOO_LARGE,
} h1_progress_t;

/**
 * struct h1_parser - collects one message
 * @parser: state of the library
 * @message: what was received so far
 * @limits: the most that is accepted
 * @started: a first byte was received
 * @lines: lines of the head that were seen
 * @in_line: the line being received is not empty
 * @head_seen: the head is over
 * @in_value: the last piece of text was a header's value
 * @to_head: the reply answers a HEAD request and has no body
 * @expects_continue: the client waits for 100 before it sends the body
 * @failed: what to report instead of %H1_BAD
 * @done: the message is complete
 */
typedef struct h1_parser {
	http_parser parser;
	h1_message_t message;
	h1_limits_t limits;
	bool started;
	unsigned lines;
	bool in_line;
	bool head_seen;
	bool in_value;
	bool to_head;
	bool expects_continue;
	h1_progress_t failed;
	bool done;
} h1_parser_t;

void h1_parser_init(h1_parser_t *parser, enum http_parser_type type,
		    h1_limits_t limits);
void h1_parser_finish(h1_parser_t *parser);
void h1_parser_reset(h1_parser_t *parser);
h1_progress_t h1_parser_feed(h1_parser_t *parser, medlar_str_t bytes,
			     size_t *used);
h1_progress_t h1_parser_end(h1_parser_t *parser);
medlar_str_t h1_message_target(const h1_message_t *message);
medlar_str_t h1_header_name(const h1_message_t *message, size_t index);
medlar_str_t h1_header_value(const h1_message_t *message, size_t index);
medlar_str_t h1_message_find(const h1_message_t *message, medlar_str_t name);
bool h1_name_equal(medlar_str_t a, medlar_str_t b);
bool h1_list_has(medlar_str_t list, medlar_str_t token);
bool h1_header_is_hop(const h1_message_t *message, medlar_str_t name);

#endif /* ROUTER_H1_H */
