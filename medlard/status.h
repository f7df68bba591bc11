/**
 * DOC: HTTP endpoints for health, metrics and state
 */
#ifndef MEDLARD_STATUS_H
#define MEDLARD_STATUS_H

#include "medlard/request.h"

void status_healthz(request_t *request);
void status_readyz(request_t *request);
void status_metrics(request_t *request);
void status_services(request_t *request);
void status_upstreams(request_t *request);
void status_instances(request_t *request);
void status_suspects(request_t *request);

#endif /* MEDLARD_STATUS_H */
