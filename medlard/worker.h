/**
 * DOC: worker threads
 *
 * A worker owns a loop, a client of the core, a share of the services, a port
 * for callers and the connections to the upstreams of its services.
 */
#ifndef MEDLARD_WORKER_H
#define MEDLARD_WORKER_H

#include <pthread.h>

#include "medlard/listing.h"
#include "medlard/log.h"
#include "medlard/roles.h"
#include "medlard/service.h"
#include "medlard/settings.h"

#define WORKERS_MAX 16
#define LISTEN_ADDRESSES_MAX 4

typedef struct control control_t;

/**
 * struct worker - a worker thread
 * @control: control thread of the process
 * @settings: settings of the process
 * @index: its number
 * @thread: the thread
 * @client: client of the core
 * @loop: its loop
 * @inbox: calls from other threads
 * @log: its log
 * @metrics: its counters
 * @http: HTTP client towards upstreams
 * @upstream: upstream side
 * @suspects: requests that may crash upstreams
 * @daemons: HTTP servers, one an address
 * @daemons_len: how many
 * @port_ready: the HTTP servers have something to do
 * @poll_timer: timer of the HTTP servers
 * @services: services in the order of their numbers
 * @services_len: how many
 * @store: the platform's key-value service, through the control thread
 * @instances: entry instances, this one among them
 * @instances_len: how many
 * @peers: hashes of the names of all instances, sorted
 * @peers_len: how many
 * @peers_propagation: time within which a change of them is known everywhere, ms
 * @peers_joined: when this instance joined them, ms
 * @peers_hash: tells what the shares were last worked out from
 * @roles: limits guesses at operators' tokens
 * @started: when the process started, ms
 * @config: configuration in force
 * @configured: there is one
 * @in_flight: requests without an answer, newest first
 * @in_flight_len: how many
 * @leaving: the process is shutting down: new callers are sent elsewhere
 * @stopping: connections of callers are closed after their answer
 */
struct worker {
	control_t *control;
	const settings_t *settings;
	unsigned index;
	pthread_t thread;
	medlar_client_t client;
	loop_t loop;
	handoff_t inbox;
	logger_t log;
	metrics_t metrics;
	http_t http;
	upstream_t upstream;
	medlar_suspects_t suspects;
	struct MHD_Daemon *daemons[LISTEN_ADDRESSES_MAX];
	size_t daemons_len;
	bool port_ready;
	medlar_timer_t poll_timer;
	service_t **services;
	size_t services_len;
	medlar_store_t store;
	instance_t *instances;
	size_t instances_len;
	uint64_t *peers;
	size_t peers_len;
	medlar_time_t peers_propagation;
	medlar_time_t peers_joined;
	uint64_t peers_hash;
	roles_t roles;
	medlar_time_t started;
	medlar_config_t config;
	bool configured;
	request_t *in_flight;
	size_t in_flight_len;
	bool leaving;
	bool stopping;
};

int worker_init(worker_t *worker, control_t *control, unsigned index);
int worker_start(worker_t *worker);
void worker_join(worker_t *worker);
void worker_finish(worker_t *worker);
int worker_set_instances(worker_t *worker, const instance_t *instances,
			 size_t len);
int worker_set_peers(worker_t *worker, const medlar_peers_t *peers);
void worker_apply_peers(worker_t *worker);

#endif /* MEDLARD_WORKER_H */
