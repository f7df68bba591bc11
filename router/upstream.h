/**
 * DOC: connections to replicas
 *
 * Each replica has a pool of idle connections. An attempt takes one of them or
 * opens a new one. The reply to a cancelled attempt is awaited for a while, so
 * that its connection can be reused.
 */
#ifndef ROUTER_UPSTREAM_H
#define ROUTER_UPSTREAM_H

#include "libroute/exchange.h"
#include "medlard/h1_client.h"
#include "router/stats.h"

/**
 * struct upstream_request - the request that the attempts of an exchange send
 * @head: request line and headers that all attempts share
 * @body: body
 * @id: request id, which replies repeat
 * @has_body: the request has a body, possibly an empty one
 * @method_is_head: the method is HEAD
 *
 * &struct exchange.owner must point to one.
 */
typedef struct upstream_request {
	medlar_buf_t head;
	medlar_buf_t body;
	medlar_str_t id;
	bool has_body;
	bool method_is_head;
} upstream_request_t;

TAILQ_HEAD(upstream_conn_list, upstream_conn);

/**
 * struct upstream_events - callbacks of the connections to replicas
 * @crash: a request, with this fingerprint, crashed a replica
 * @bad_status: a reply of a replica had a status that is none; @code is what it was
 */
typedef struct upstream_events {
	void (*crash)(uint64_t fingerprint, const replica_t *replica,
		      void *data);
	void (*bad_status)(const replica_t *replica, medlar_str_t code,
			   void *data);
} upstream_events_t;

/**
 * struct upstream - all connections to replicas
 * @loop: event loop
 * @stats: counters
 * @events: callbacks
 * @data: passed to @events
 * @conns_opened: number of connections ever opened
 * @open_conns: open connections
 * @closed_conns: closed connections, freed at the end of the loop iteration
 * @body_max: most bytes of the body of a reply
 * @reply_memory: bytes of the bodies of all replies being received
 */
typedef struct upstream {
	loop_t *loop;
	stats_t *stats;
	const upstream_events_t *events;
	void *data;
	uint64_t conns_opened;
	struct upstream_conn_list open_conns;
	struct upstream_conn_list closed_conns;
	size_t body_max;
	h1_memory_t reply_memory;
} upstream_t;

void upstream_init(upstream_t *upstream, loop_t *loop, stats_t *stats,
		   size_t body_max, const upstream_events_t *events,
		   void *data);
void upstream_free_closed(void *data);
int upstream_send_attempt(upstream_t *upstream, attempt_t *attempt);
bool upstream_cancel_attempt(upstream_t *upstream, attempt_t *attempt);
void upstream_remove_replica(replica_t *replica);
void upstream_close_expired(upstream_t *upstream, fleet_t *fleet);
void upstream_finish(upstream_t *upstream);

#endif /* ROUTER_UPSTREAM_H */
