/**
 * DOC: the state of the router as a process
 */
#ifndef ROUTER_DAEMON_INTERNAL_H
#define ROUTER_DAEMON_INTERNAL_H

#include "libroute/fleet.h"
#include "router/forward.h"
#include "router/peers.h"
#include "router/settings.h"
#include "router/store.h"

/**
 * struct daemon_state - all parts of the process
 * @settings: read at the start
 * @client: timers and randomness
 * @loop: serves everything
 * @log: lines on standard output
 * @stats: counters
 * @fleet: services and replicas
 * @upstream: connections to replicas
 * @mirror: copy of the store
 * @store: client of the store
 * @peers: other instances
 * @forward: service for callers
 * @readiness: listener of the readiness check
 * @directory: listener that tells callers where to connect
 * @metrics: listener of the metrics
 * @tick: periodic work
 * @stop_at: forced end, ms
 * @leave_at: earliest end, ms; 0 while the instance does not leave
 * @news: the store has changed since the other instances were told
 * @path: name of the settings file
 */
typedef struct daemon_state {
	router_settings_t settings;
	medlar_client_t client;
	loop_t loop;
	logger_t log;
	stats_t stats;
	fleet_t fleet;
	upstream_t upstream;
	mirror_t mirror;
	store_t store;
	peers_t peers;
	forward_t forward;
	h1_server_t readiness;
	h1_server_t directory;
	h1_server_t metrics;
	medlar_timer_t tick;
	medlar_time_t stop_at;
	medlar_time_t leave_at;
	bool news;
	const char *path;
} daemon_state_t;

/* daemon.c */
bool daemon_is_ready(const daemon_state_t *state);
medlar_time_t daemon_address_ttl(const daemon_state_t *state);

/* directory.c */
void directory_change(const store_item_t *item, void *data);
void directory_tell(daemon_state_t *state);

/* listeners.c */
int listeners_open(daemon_state_t *state);
void listeners_close(daemon_state_t *state);

#endif /* ROUTER_DAEMON_INTERNAL_H */
