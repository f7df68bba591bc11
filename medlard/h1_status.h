/**
 * DOC: status codes of HTTP replies
 */
#ifndef MEDLARD_H1_STATUS_H
#define MEDLARD_H1_STATUS_H

#include "libmedlar/medlar.h"

/**
 * enum h1_status_kind - what a status says of its reply
 * @H1_STATUS_FINAL: the reply answers the request
 * @H1_STATUS_INTERIM: a final reply follows
 * @H1_STATUS_INVALID: it is no status, or switches to a protocol that nobody asked
 *	for; whether the request was run is unknown
 */
typedef enum h1_status_kind {
	H1_STATUS_FINAL,
	H1_STATUS_INTERIM,
	H1_STATUS_INVALID,
} h1_status_kind_t;

h1_status_kind_t h1_status_kind(long status);
h1_status_kind_t h1_status_line_kind(medlar_str_t line);
medlar_str_t h1_status_line_code(medlar_str_t line);

#endif /* MEDLARD_H1_STATUS_H */
