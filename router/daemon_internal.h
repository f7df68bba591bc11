/**
 * DOC: state of the router process, shared by the files that implement it
 */
#ifndef ROUTER_DAEMON_INTERNAL_H
#define ROUTER_DAEMON_INTERNAL_H

#include "libroute/fleet.h"
#include "router/convictions.h"
#include "router/forward.h"
#include "router/log_batch.h"
#include "router/observations.h"
#include "router/peers.h"
#include "router/settings.h"
#include "router/store.h"

/**
 * struct daemon_state - components of the router process
 * @settings: settings as read at startup; a reload updates the log level only
 * @client: timers and random numbers
 * @loop: event loop that drives all components
 * @log: log written to standard output
 * @stats: counters, gauges and histograms
 * @fleet: services and replicas
 * @upstream: connections to replicas
 * @mirror: local copy of the store
 * @store: client of the store
 * @peers: other instances
 * @observations: exchange of measurements of replicas
 * @convictions: requests that crash replicas, as the store holds them
 * @forward: service that forwards the requests of callers
 * @readiness: listener for readiness checks
 * @directory: listener that gives callers the addresses of instances
 * @metrics: listener for metrics
 * @tick_timer: timer of the periodic work
 * @exit_forced_at: time at which the loop stops even if requests are in flight,
 *	ms
 * @exit_earliest_at: earliest time at which the loop stops, ms; 0 unless the
 *	instance is shutting down
 * @replica_log: log of changes of replicas
 * @status_log: log of replies of replicas whose status is none
 * @has_limit_news: a replica has named its first limit, of which others are not told
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
	observations_t observations;
	convictions_t convictions;
	forward_t forward;
	h1_server_t readiness;
	h1_server_t directory;
	h1_server_t metrics;
	medlar_timer_t tick_timer;
	medlar_time_t exit_forced_at;
	medlar_time_t exit_earliest_at;
	log_batch_t replica_log;
	log_batch_t status_log;
	bool has_limit_news;
	const char *path;
} daemon_state_t;

/* State of the process. */
int daemon_start(daemon_state_t *state);
void daemon_stop(daemon_state_t *state);
bool daemon_is_ready(const daemon_state_t *state);
medlar_time_t daemon_address_ttl(const daemon_state_t *state);

/* Entries and status of the store. */
void daemon_on_limit(const replica_t *replica, limit_event_t event,
		     double before, void *data);
void daemon_on_unavailable(const replica_t *replica, medlar_time_t until,
			   void *data);
void daemon_apply_entry(const store_item_t *item, void *data);
void daemon_remove_expired(daemon_state_t *state);
void daemon_update_store_status(daemon_state_t *state);

/* Listeners for readiness checks, addresses and metrics. */
int listeners_open(daemon_state_t *state);
void listeners_close(daemon_state_t *state);

#endif /* ROUTER_DAEMON_INTERNAL_H */
