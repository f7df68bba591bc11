/**
 * DOC: the body of a caller's request, see docs/API.md
 */
#ifndef MEDLARD_ARGS_H
#define MEDLARD_ARGS_H

#include "libmedlar/medlar.h"

#define ARGS_KEYS_MAX 10000

/**
 * struct args - a search, lookup or write as the caller asked for it
 * @query: text of the query, within the body
 * @deadline: time that the caller gives, ms; 0 when not told
 * @at_least: oldest index version accepted; 0 for any
 * @keys: hashed keys, allocated; NULL when not told
 * @keys_len: how many
 */
typedef struct args {
	medlar_str_t query;
	medlar_time_t deadline;
	uint32_t at_least;
	uint64_t *keys;
	size_t keys_len;
} args_t;

/**
 * struct args_fault - why a body was refused
 * @error: negative &enum medlar_error
 * @field: name of the field at fault, terminated, or an empty string
 */
typedef struct args_fault {
	int error;
	char field[MEDLAR_NAME_MAX + 1];
} args_fault_t;

int args_parse(args_t *args, medlar_kind_t kind, medlar_str_t body,
	       args_fault_t *fault);
void args_finish(args_t *args);
medlar_str_t args_member(medlar_str_t object, medlar_str_t name);

#endif /* MEDLARD_ARGS_H */
