/**
 * DOC: JSON bodies and HTTP statuses of answers, see docs/API.md
 */
#ifndef MEDLARD_ANSWER_H
#define MEDLARD_ANSWER_H

#include "libmedlar/medlar.h"

void answer_query(medlar_buf_t *out, const medlar_query_t *query,
		  medlar_time_t now);
void answer_refusal(medlar_buf_t *out, int error, const char *field);
void answer_write(medlar_buf_t *out, const medlar_write_answer_t *answer);
unsigned answer_status(const medlar_answer_t *answer);
unsigned answer_error_status(int error);
const char *answer_outcome_name(medlar_outcome_t outcome);

#endif /* MEDLARD_ANSWER_H */
