/**
 * DOC: requests to upstreams
 *
 * Sends the core's attempts to replicas and reports how they ended. Each
 * replica has one connection pool, limited to the connections that this
 * instance may open.
 */
#ifndef MEDLARD_UPSTREAM_H
#define MEDLARD_UPSTREAM_H

#include "medlard/http_client.h"
#include "medlard/wire.h"

/**
 * struct upstream - upstream client of a worker
 * @http: HTTP client of the worker
 * @client: client of the core
 * @metrics: counters of the worker
 * @reply_max: largest accepted body of a reply, bytes
 * @tokener: JSON parser that validates the bodies of replies
 */
typedef struct upstream {
	http_client_t *http;
	medlar_client_t *client;
	metrics_t *metrics;
	size_t reply_max;
	struct json_tokener *tokener;
} upstream_t;

typedef struct worker worker_t;

/**
 * struct upstream_context - per-service state of the upstream client
 * @upstream: upstream client of its worker
 * @service: the core's service
 * @policy: its policy in force
 * @silent_at: when a connection last went silent, ms; 0 for never
 * @worker: worker that owns the service
 */
typedef struct upstream_context {
	upstream_t *upstream;
	medlar_service_t *service;
	const medlar_policy_t *policy;
	medlar_time_t silent_at;
	worker_t *worker;
} upstream_context_t;

int upstream_init(upstream_t *upstream, http_client_t *http,
		  medlar_client_t *client, metrics_t *metrics,
		  size_t reply_max);
void upstream_finish(upstream_t *upstream);
void upstream_send_attempt(medlar_attempt_t *attempt,
			   upstream_context_t *context);
void upstream_attempt_cancel(medlar_attempt_t *attempt,
			     upstream_context_t *context);
http_pool_t *upstream_pool(upstream_context_t *context,
			   medlar_replica_t *replica);
void upstream_update_limits(upstream_context_t *context,
			    medlar_replica_t *replica);
void upstream_warm_connection(upstream_context_t *context,
			      medlar_replica_t *replica);
void upstream_remove_replica(medlar_replica_t *replica);
bool upstream_is_json(upstream_t *upstream, medlar_str_t text);

#endif /* MEDLARD_UPSTREAM_H */
