/**
 * DOC: requests of callers, from the socket to the answer
 */
#ifndef ROUTER_FORWARD_H
#define ROUTER_FORWARD_H

#include <sys/queue.h>

#include "libroute/admission.h"
#include "libroute/exchange.h"
#include "router/h1_server.h"
#include "router/peers.h"
#include "router/upstream.h"

TAILQ_HEAD(forward_list, forward_request);

/**
 * struct forward - the service for callers
 * @loop: loop that serves it
 * @log: told of requests
 * @stats: counters
 * @server: connections of callers
 * @upstream: connections to replicas
 * @peers: told of convicted requests
 * @setup: shared by all exchanges
 * @admission: how busy this process is
 * @suspects: requests that seem to crash replicas
 * @routes: version in force; NULL before the first one
 * @is_fresh: tells whether @routes is known to be up to date
 * @data: passed to @is_fresh
 * @finished: requests to be freed at the end of the turn
 * @lines: log lines that may still be written in this second
 * @lines_at: when @lines was last refilled, ms
 */
typedef struct forward {
	loop_t *loop;
	logger_t *log;
	stats_t *stats;
	h1_server_t server;
	upstream_t *upstream;
	peers_t *peers;
	exchange_setup_t setup;
	admission_t admission;
	suspects_t suspects;
	routes_t *routes;
	bool (*is_fresh)(void *data);
	void *data;
	struct forward_list finished;
	double lines;
	medlar_time_t lines_at;
} forward_t;

int forward_init(forward_t *forward, loop_t *loop, logger_t *log,
		 stats_t *stats, upstream_t *upstream, fleet_t *fleet,
		 peers_t *peers, const router_settings_t *settings,
		 bool (*is_fresh)(void *), void *data);
void forward_finish(forward_t *forward);
void forward_turn(void *data);
void forward_crash(forward_t *forward, uint64_t fingerprint,
		   const replica_t *replica);
void forward_use(forward_t *forward, routes_t *routes);

#endif /* ROUTER_FORWARD_H */
