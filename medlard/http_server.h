/**
 * DOC: HTTP server for callers and operators, see docs/API.md
 */
#ifndef MEDLARD_HTTP_SERVER_H
#define MEDLARD_HTTP_SERVER_H

#include "medlard/request.h"

int http_server_init(worker_t *worker);
void http_server_finish(worker_t *worker);
void http_server_begin_close(worker_t *worker);
size_t http_server_count_busy(const worker_t *worker);
void http_server_answer(request_t *request);
void http_server_decode_argument(const request_t *request, medlar_str_t name,
				 medlar_buf_t *out);

#endif /* MEDLARD_HTTP_SERVER_H */
