/**
 * DOC: connections to replicas
 *
 * Each replica has a pool of connections. An attempt takes an idle one or
 * opens a new one. An attempt that nobody waits for any more is left to end
 * for a while, so that its connection stays of use.
 */
#ifndef ROUTER_UPSTREAM_H
#define ROUTER_UPSTREAM_H

#include "libroute/exchange.h"
#include "router/h1_client.h"
#include "router/stats.h"

/**
 * struct upstream_request - what attempts of an exchange send
 * @head: request line and headers that all attempts share
 * @body: body
 * @id: id that replies repeat
 * @has_body: the request has a body, possibly an empty one
 * @to_head: the method is HEAD
 *
 * The owner of an exchange is such a request.
 */
typedef struct upstream_request {
	medlar_buf_t head;
	medlar_buf_t body;
	medlar_str_t id;
	bool has_body;
	bool to_head;
} upstream_request_t;

TAILQ_HEAD(upstream_conn_list, upstream_conn);

/**
 * struct upstream - all connections to replicas
 * @loop: loop that serves them
 * @stats: counters
 * @on_crash: told a request that made a replica crash
 * @data: passed to @on_crash
 * @open: all connections
 * @closed: connections to be freed at the end of the turn
 * @body_max: the longest reply that is accepted, bytes
 */
typedef struct upstream {
	loop_t *loop;
	stats_t *stats;
	void (*on_crash)(uint64_t fingerprint, const replica_t *replica,
			 void *data);
	void *data;
	struct upstream_conn_list open;
	struct upstream_conn_list closed;
	size_t body_max;
} upstream_t;

void upstream_init(upstream_t *upstream, loop_t *loop, stats_t *stats,
		   size_t body_max,
		   void (*on_crash)(uint64_t, const replica_t *, void *),
		   void *data);
void upstream_turn(void *data);
int upstream_send(upstream_t *upstream, attempt_t *attempt);
bool upstream_drop(upstream_t *upstream, attempt_t *attempt);
void upstream_forget(replica_t *replica);
void upstream_sweep(upstream_t *upstream, fleet_t *fleet);
void upstream_finish(upstream_t *upstream);

#endif /* ROUTER_UPSTREAM_H */
