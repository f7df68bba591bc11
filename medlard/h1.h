/**
 * DOC: HTTP/1.1 messages, parsed by libhttp-parser
 *
 * A parser buffers one whole message, a request or a reply, and stops after its
 * last byte. It does not consume the bytes that follow.
 */
#ifndef MEDLARD_H1_H
#define MEDLARD_H1_H

#include <http_parser.h>

#include "libmedlar/medlar.h"

/** Bytes of a status line that are kept: up to the code, and more. */
#define H1_STATUS_LINE_MAX 31
/** Most headers of a message. */
#define H1_HEADERS_MAX 96

/**
 * struct h1_header - location of a header in &struct h1_message.text
 * @name_offset: offset of the name
 * @name_len: length of the name, bytes
 * @value_offset: offset of the value
 * @value_len: length of the value, bytes
 */
typedef struct h1_header {
	uint32_t name_offset;
	uint32_t name_len;
	uint32_t value_offset;
	uint32_t value_len;
} h1_header_t;

/**
 * struct h1_message - a request or a reply
 * @text: request target, followed by the names and values of the headers
 * @target_len: length of the request target at the start of @text, bytes
 * @headers: headers in the order received
 * @headers_len: number of headers
 * @body: body after removal of the transfer coding
 * @method: request method, a static string; NULL for a reply
 * @status: status code of a reply
 * @keep_alive: the sender allows reuse of the connection
 * @close_delimited: the body of the reply is delimited by the close of the
 *	connection
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
	bool close_delimited;
} h1_message_t;

/**
 * struct h1_memory - bound on the bodies held by many connections together
 * @used: bytes of all bodies
 * @max: value of @used beyond which large bodies are not received further
 */
typedef struct h1_memory {
	size_t used;
	size_t max;
} h1_memory_t;

/**
 * struct h1_limits - size limits of a message
 * @head_max: most bytes of the request target and the headers
 * @body_max: most bytes of the body
 * @memory: bound that is shared with other connections, or NULL
 */
typedef struct h1_limits {
	size_t head_max;
	size_t body_max;
	h1_memory_t *memory;
} h1_limits_t;

/**
 * enum h1_progress - result of h1_parser_feed() and h1_parser_end()
 * @H1_INCOMPLETE: the message is not complete yet
 * @H1_COMPLETE: the message is complete
 * @H1_MALFORMED: the message violates the protocol, or memory is short
 * @H1_BAD_STATUS: the status of the reply is none, see &enum h1_status_kind
 * @H1_HEAD_TOO_LARGE: the target and the headers exceed the limits
 * @H1_BODY_TOO_LARGE: the body exceeds the limit
 */
typedef enum h1_progress {
	H1_INCOMPLETE,
	H1_COMPLETE,
	H1_MALFORMED,
	H1_BAD_STATUS,
	H1_HEAD_TOO_LARGE,
	H1_BODY_TOO_LARGE,
} h1_progress_t;

/**
 * struct h1_parser - parser of one message at a time
 * @parser: parser of the library
 * @message: the part of the message that was received
 * @limits: size limits
 * @started: the first byte of the message was received
 * @head_lines: number of complete, non-empty lines of the head
 * @line_started: the current line of the head is not empty so far
 * @status_line: begin of the first line of a reply
 * @status_line_len: bytes of it
 * @head_complete: the empty line that ends the head was received
 * @in_value: the last text received was part of a header value
 * @method_is_head: the reply is to a HEAD request and has no body
 * @expects_continue: the client waits for status 100 before it sends the body
 * @interim_replies: interim replies that preceded the message
 * @memory_used: bytes of the body that are counted in &struct h1_limits.memory
 * @error: why the message was rejected, %H1_MALFORMED by default
 * @done: the message is complete
 */
typedef struct h1_parser {
	http_parser parser;
	h1_message_t message;
	h1_limits_t limits;
	bool started;
	unsigned head_lines;
	bool line_started;
	char status_line[H1_STATUS_LINE_MAX];
	size_t status_line_len;
	bool head_complete;
	bool in_value;
	bool method_is_head;
	bool expects_continue;
	unsigned interim_replies;
	size_t memory_used;
	h1_progress_t error;
	bool done;
} h1_parser_t;

void h1_parser_init(h1_parser_t *parser, enum http_parser_type type,
		    h1_limits_t limits);
void h1_parser_finish(h1_parser_t *parser);
void h1_parser_reset(h1_parser_t *parser);
h1_progress_t h1_parser_feed(h1_parser_t *parser, medlar_str_t bytes,
			     size_t *used);
h1_progress_t h1_parser_end(h1_parser_t *parser);
medlar_str_t h1_parser_status_code(const h1_parser_t *parser);
medlar_str_t h1_message_target(const h1_message_t *message);
medlar_str_t h1_header_name(const h1_message_t *message, size_t index);
medlar_str_t h1_header_value(const h1_message_t *message, size_t index);
medlar_str_t h1_message_find_header(const h1_message_t *message,
				    medlar_str_t name);
bool h1_name_equal(medlar_str_t a, medlar_str_t b);
bool h1_list_contains(medlar_str_t list, medlar_str_t token);
bool h1_header_is_hop_by_hop(const h1_message_t *message, medlar_str_t name);

#endif /* MEDLARD_H1_H */
