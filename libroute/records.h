/**
 * DOC: merging the largest records of several parts
 */
#ifndef LIBROUTE_RECORDS_H
#define LIBROUTE_RECORDS_H

#include "libmedlar/medlar.h"

/** Size of a record in bytes; records compare as unsigned bytes. */
#define RECORD_LEN 16

int records_merge(const medlar_str_t *parts, size_t parts_len, size_t top_k,
		  medlar_buf_t *out);

#endif /* LIBROUTE_RECORDS_H */
