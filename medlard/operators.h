/**
 * DOC: endpoints for operators: questionnaire and suspect requests
 */
#ifndef MEDLARD_OPERATORS_H
#define MEDLARD_OPERATORS_H

#include "medlard/request.h"

void operators_get_newest(request_t *request);
void operators_get_history(request_t *request);
void operators_get_revision(request_t *request);
void operators_submit(request_t *request);
void operators_pardon(request_t *request);

#endif /* MEDLARD_OPERATORS_H */
