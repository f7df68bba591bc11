/**
 * DOC: HTTP server for callers and operators, see docs/API.md
 */
#ifndef MEDLARD_HTTP_SERVER_H
#define MEDLARD_HTTP_SERVER_H

#include "medlard/request.h"

int http_server_init(worker_t *worker);
void http_server_finish(worker_t *worker);
void http_server_abort(request_t *request);

#endif /* MEDLARD_HTTP_SERVER_H */
