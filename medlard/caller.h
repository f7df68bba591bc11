/**
 * DOC: HTTP server for callers and operators, see docs/API.md
 */
#ifndef MEDLARD_CALLER_H
#define MEDLARD_CALLER_H

#include "medlard/request.h"

int caller_init(worker_t *worker);
void caller_finish(worker_t *worker);
void caller_abort(request_t *request);

#endif /* MEDLARD_CALLER_H */
