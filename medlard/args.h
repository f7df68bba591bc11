/**
 * DOC: body of a search, lookup or write, see docs/API.md
 */
#ifndef MEDLARD_ARGS_H
#define MEDLARD_ARGS_H

#include "libmedlar/medlar.h"

/** Keys that a lookup may ask for. */
#define ARGS_KEYS_MAX 10000

/**
 * struct args - body of a search, lookup or write
 * @query: text of the query, within the body
 * @deadline: time within which the caller wants the answer, ms; 0 if not given
 * @at_least: lowest index version that may answer; 0 for any
 * @keys: hashes of the keys, allocated; NULL if not given
 * @keys_len: number of @keys
 */
typedef struct args {
	medlar_str_t query;
	medlar_time_t deadline;
	uint32_t at_least;
	uint64_t *keys;
	size_t keys_len;
} args_t;

/**
 * struct args_rejection - reason for rejecting a body
 * @error: negative &enum medlar_error
 * @field: name of the invalid field, NUL-terminated; empty for the whole body
 */
typedef struct args_rejection {
	int error;
	char field[MEDLAR_NAME_MAX + 1];
} args_rejection_t;

int args_parse(args_t *args, medlar_request_kind_t kind, medlar_str_t body,
	       args_rejection_t *rejection);
void args_finish(args_t *args);
medlar_str_t args_member_text(medlar_str_t object, medlar_str_t name);

#endif /* MEDLARD_ARGS_H */
