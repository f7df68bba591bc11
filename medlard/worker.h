/**
 * DOC: worker threads
 *
 * Each worker has an event loop, a client of the core, HTTP servers for
 * callers, some of the services, and the connections to their upstreams.
 */
#ifndef MEDLARD_WORKER_H
#define MEDLARD_WORKER_H

#include <pthread.h>

#include "medlard/listing.h"
#include "medlard/log.h"
#include "medlard/auth.h"
#include "medlard/service.h"
#include "medlard/settings.h"

/** Largest number of worker threads. */
#define WORKERS_MAX 16

/** Largest number of addresses to listen on. */
#define LISTEN_ADDRESSES_MAX 4

typedef struct control control_t;

/**
 * struct worker - a worker thread
 * @control: control thread of the process
 * @settings: settings of the process
 * @index: number of the worker, from 0
 * @thread: its thread
 * @client: client of the core
 * @loop: event loop
 * @inbox: mailbox for calls from other threads
 * @log: logger
 * @metrics: counters
 * @http: HTTP client for upstreams
 * @upstream: upstream client
 * @suspects: requests that may crash upstreams
 * @servers: HTTP servers, one per address
 * @servers_len: number of HTTP servers
 * @services: services, indexed by their numbers
 * @services_len: number of services
 * @store: the platform's key-value service, through the control thread
 * @instances: entry instances, including this one
 * @instances_len: number of entry instances
 * @peers: hashes of the names of the instances that share the upstreams, sorted
 * @peers_len: number of these instances
 * @peers_propagation: time until all instances know of a change of @peers, ms
 * @peers_joined: when this instance joined @peers, ms
 * @peers_hash: hash of the inputs of the last computation of shares
 * @auth: limits guesses at operators' tokens
 * @started: when the process started, ms
 * @config: configuration in force
 * @configured: @config is valid
 * @in_flight: requests without an answer, newest first
 * @in_flight_len: number of these requests
 * @leaving: the process is shutting down and no longer given to callers
 */
struct worker {
	control_t *control;
	const settings_t *settings;
	unsigned index;
	pthread_t thread;
	medlar_client_t client;
	loop_t loop;
	mailbox_t inbox;
	logger_t log;
	metrics_t metrics;
	http_client_t http;
	upstream_t upstream;
	medlar_suspects_t suspects;
	h1_server_t servers[LISTEN_ADDRESSES_MAX];
	size_t servers_len;
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
	auth_t auth;
	medlar_time_t started;
	medlar_config_t config;
	bool configured;
	request_t *in_flight;
	size_t in_flight_len;
	bool leaving;
};

int worker_init(worker_t *worker, control_t *control, unsigned index);
int worker_start(worker_t *worker);
void worker_join(worker_t *worker);
void worker_finish(worker_t *worker);
int worker_set_instances(worker_t *worker, const instance_t *instances,
			 size_t len);
int worker_set_peers(worker_t *worker, const medlar_peers_t *peers);
void worker_update_shares(worker_t *worker);

#endif /* MEDLARD_WORKER_H */
