/**
 * DOC: internal functions of submissions, shared by submission.c and commit.c
 */
#ifndef MEDLAR_SUBMISSION_H
#define MEDLAR_SUBMISSION_H

#include "medlar.h"

/** typedef medlar_submission_step_t - a step that can be repeated */
typedef void (*medlar_submission_step_t)(medlar_submission_t *submission);

void medlar_submission_end(medlar_submission_t *submission, int error);
void medlar_submission_retry(medlar_submission_t *submission,
			     medlar_submission_step_t step);
bool medlar_submission_call_ended(medlar_submission_t *submission);
void medlar_submission_get(medlar_submission_t *submission, medlar_str_t key,
			   medlar_store_fn_t done,
			   medlar_submission_step_t again);
void medlar_submission_cas(medlar_submission_t *submission, medlar_str_t key,
			   medlar_str_t value, uint64_t index,
			   medlar_store_fn_t done,
			   medlar_submission_step_t again);
int medlar_submission_set_current(medlar_submission_t *submission,
				  const medlar_store_reply_t *reply);
bool medlar_submission_read_failed(const medlar_store_reply_t *reply);
void medlar_submission_read(medlar_submission_t *submission);
void medlar_submission_archive(medlar_submission_t *submission);

#endif
