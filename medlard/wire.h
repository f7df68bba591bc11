/**
 * DOC: parsing and formatting of the upstream protocol's headers
 *
 * The protocol is described in docs/UPSTREAM.md.
 */
#ifndef MEDLARD_WIRE_H
#define MEDLARD_WIRE_H

#include "libmedlar/medlar.h"

/** Length of a request id in hexadecimal, without terminator. */
#define WIRE_ID_TEXT_LEN ((size_t)2 * MEDLAR_REQUEST_ID_LEN)

/** enum wire_executed - value of the Medlar-Executed header of a reply */
typedef enum wire_executed {
	WIRE_EXECUTED_UNSTATED,
	WIRE_EXECUTED_NO,
	WIRE_EXECUTED_YES,
} wire_executed_t;

/**
 * struct wire_reply - a reply of an upstream while it is parsed
 * @reply: reply as the core takes it; wire_reply_finish() sets status and body
 * @executed: whether the upstream executed the request
 * @moved: the Medlar-Moved-To header was present
 * @malformed: a known header has an invalid value
 */
typedef struct wire_reply {
	medlar_reply_t reply;
	wire_executed_t executed;
	bool moved;
	bool malformed;
} wire_reply_t;

void wire_reply_init(wire_reply_t *wire);
void wire_reply_add_header(medlar_str_t name, medlar_str_t value, void *data);
void wire_reply_finish(wire_reply_t *wire, int status, medlar_str_t body);
void wire_format_id(const uint8_t *id, char *text);
bool wire_parse_id(medlar_str_t text, uint8_t *id);
bool wire_parse_number(medlar_str_t text, uint64_t max, uint64_t *out);

#endif /* MEDLARD_WIRE_H */
