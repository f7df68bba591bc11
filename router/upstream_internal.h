/**
 * DOC: what the files of the connections to replicas share
 */
#ifndef ROUTER_UPSTREAM_INTERNAL_H
#define ROUTER_UPSTREAM_INTERNAL_H

#include "platform/headers.h"
#include "router/upstream.h"

typedef struct upstream_conn upstream_conn_t;

/**
 * struct upstream_conn - a connection to a replica
 * @link: entry in the list of open or closed connections
 * @pool_link: entry in &struct pool.idle
 * @number: differs from that of any other connection
 * @client: HTTP connection
 * @upstream: connections that it belongs to
 * @replica: replica
 * @attempt: attempt that it carries; NULL if it is idle or the attempt was
 *	cancelled
 * @inflight: the request, until the replica has replied
 * @timer: start of an attempt, or timeout
 * @fingerprint: fingerprint of the last request
 * @reply_head: head of the last reply, until the next request
 * @request_id: id of the last request
 * @in_pool: it is idle, and in the pool of the replica
 * @needs_probe: reconnect to find out whether the replica is up
 */
struct upstream_conn {
	TAILQ_ENTRY(upstream_conn) link;
	TAILQ_ENTRY(upstream_conn) pool_link;
	uint64_t number;
	h1_client_t client;
	upstream_t *upstream;
	replica_t *replica;
	attempt_t *attempt;
	inflight_t inflight;
	medlar_timer_t timer;
	uint64_t fingerprint;
	reply_head_t reply_head;
	medlar_buf_t request_id;
	bool in_pool;
	bool needs_probe;
};

/**
 * struct pool - idle connections of a replica
 * @idle: connections, the most recently used one first
 */
typedef struct pool {
	struct upstream_conn_list idle;
} pool_t;

/* upstream_pool.c */
void upstream_conn_close(upstream_conn_t *conn);
void upstream_conn_release(upstream_conn_t *conn);
pool_t *upstream_pool_create(replica_t *replica);
void upstream_pool_clear(replica_t *replica);
upstream_conn_t *upstream_pool_take(const attempt_t *attempt,
				    medlar_time_t now);

#endif /* ROUTER_UPSTREAM_INTERNAL_H */
