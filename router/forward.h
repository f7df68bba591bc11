/**
 * DOC: forwarding of the requests of callers
 */
#ifndef ROUTER_FORWARD_H
#define ROUTER_FORWARD_H

#include <sys/queue.h>

#include "libroute/admission.h"
#include "libroute/exchange.h"
#include "medlard/h1_server.h"
#include "router/peers.h"
#include "router/trials.h"
#include "router/upstream.h"

TAILQ_HEAD(forward_list, forward_request);

/**
 * struct forward - service that forwards the requests of callers
 * @loop: event loop
 * @log: log for requests
 * @stats: counters
 * @server: listener for callers and its connections
 * @upstream: connections to replicas
 * @peers: other instances, which are told of convicted requests
 * @setup: configuration shared by all exchanges
 * @admission: measures how busy this process is
 * @timeouts: timeouts that callers state
 * @suspects: requests that are suspected of crashing replicas
 * @trials: requests that wait until they may be tried
 * @routes: configuration version in force; NULL before the first one
 * @routes_are_current: checks whether @routes is known to be current
 * @data: passed to @routes_are_current
 * @stop_at: when the last answers have to leave in a graceful shutdown, ms; 0 if
 *	none is in progress
 * @finished: requests to be freed at the end of the loop iteration
 * @log_tokens: token bucket that limits the log: lines that may be written now
 * @log_refilled_at: time at which @log_tokens was last refilled, ms
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
	timeouts_t timeouts;
	suspects_t suspects;
	trials_t trials;
	routes_t *routes;
	bool (*routes_are_current)(void *data);
	void *data;
	medlar_time_t stop_at;
	struct forward_list finished;
	double log_tokens;
	medlar_time_t log_refilled_at;
} forward_t;

int forward_init(forward_t *forward, loop_t *loop, logger_t *log,
		 stats_t *stats, upstream_t *upstream, fleet_t *fleet,
		 peers_t *peers, const router_settings_t *settings,
		 bool (*routes_are_current)(void *), void *data);
void forward_finish(forward_t *forward);
void forward_begin_shutdown(forward_t *forward, medlar_time_t stop_at);
void forward_end_iteration(void *data);
void forward_report_crash(forward_t *forward, uint64_t fingerprint,
			  const replica_t *replica);
void forward_set_routes(forward_t *forward, routes_t *routes);

#endif /* ROUTER_FORWARD_H */
