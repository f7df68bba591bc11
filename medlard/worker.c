/**
 * DOC: worker threads
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "medlard/http_server.h"
#include "medlard/control.h"
#include "medlard/store_proxy.h"

/* Requests tracked as possible causes of crashes, and for how long. */
#define SUSPECTS_MAX 1024
#define SUSPECTS_EXPIRY MEDLAR_HOUR

/* Polling periods until all instances know of a change of the instance list. */
#define LIST_PROPAGATION_PERIODS 3

static void flush_log(void *data)
{
	worker_t *worker = data;

	log_flush(&worker->log);
	if (worker->log.dropped == 0)
		return;
	metrics_add(&worker->metrics, METRIC_LOG_DROPPED, worker->log.dropped);
	worker->log.dropped = 0;
}

/**
 * worker_init() - initialize a worker before its thread starts
 * @worker: worker to initialize
 * @control: control thread
 * @index: number of the worker, from 0
 *
 * Return: %MEDLAR_OK, or an error after which worker_finish() is not called.
 */
int worker_init(worker_t *worker, control_t *control, unsigned index)
{
	const settings_t *settings = &control->settings;
	uint64_t seed;
	int error;

	randombytes_buf(&seed, sizeof(seed));
	memset(worker, 0, sizeof(*worker));
	worker->control = control;
	worker->settings = settings;
	worker->index = index;
	worker->started = control->loop.now;
	auth_init(&worker->auth, control->loop.now);
	medlar_client_init(&worker->client, medlar_str_from(settings->name), 1,
			   seed);
	log_init(&worker->log, STDERR_FILENO, (int)index,
		 (log_level_t)settings->log_level);
	medlar_client_on_trace(&worker->client, log_trace, &worker->log);
	medlar_client_on_error(&worker->client, log_report, &worker->log);
	error = loop_init(&worker->loop, &worker->client);
	if (!error)
		error = mailbox_init(&worker->inbox, &worker->loop);
	if (!error)
		error = http_client_init(&worker->http, &worker->loop,
					 &worker->metrics);
	if (!error)
		error = medlar_suspects_init(&worker->suspects, SUSPECTS_MAX,
					     SUSPECTS_EXPIRY);
	if (!error)
		error = upstream_init(&worker->upstream, &worker->http,
				      &worker->client, &worker->metrics,
				      (size_t)settings->reply_max);
	if (error)
		return error;
	peering_share_suspects(worker);
	store_proxy_init(&worker->store, worker);
	error = http_server_init(worker);
	if (!error)
		error = loop_add_hook(&worker->loop, flush_log, worker);
	return error;
}

static void *thread_main(void *data)
{
	worker_t *worker = data;

	loop_run(&worker->loop);
	return NULL;
}

/**
 * worker_start() - start the thread of a worker
 * @worker: initialized worker
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM if the thread cannot be created.
 */
int worker_start(worker_t *worker)
{
	if (pthread_create(&worker->thread, NULL, thread_main, worker) != 0)
		return MEDLAR_ERR_NOMEM;
	return MEDLAR_OK;
}

/**
 * worker_join() - wait for the end of the thread of a worker
 * @worker: worker whose loop has been told to stop
 */
void worker_join(worker_t *worker)
{
	pthread_join(worker->thread, NULL);
}

/**
 * worker_finish() - release the resources of a worker
 * @worker: worker whose thread has ended
 */
void worker_finish(worker_t *worker)
{
	http_server_finish(worker);
	service_finish_all(worker);
	http_client_finish(&worker->http);
	upstream_finish(&worker->upstream);
	medlar_suspects_finish(&worker->suspects);
	medlar_config_finish(&worker->config);
	mailbox_finish(&worker->inbox);
	loop_finish(&worker->loop);
	medlar_client_finish(&worker->client);
	log_finish(&worker->log);
	free(worker->instances);
	free(worker->peers);
}

static int compare_hashes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/**
 * worker_set_instances() - replace the list of entry instances
 * @worker: worker
 * @instances: new list; copied
 * @len: number of instances
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM with the list as before.
 */
int worker_set_instances(worker_t *worker, const instance_t *instances,
			 size_t len)
{
	instance_t *kept = calloc(len + 1, sizeof(*kept));
	uint64_t *hashes = calloc(len + 1, sizeof(*hashes));

	if (!kept || !hashes) {
		free(kept);
		free(hashes);
		return MEDLAR_ERR_NOMEM;
	}
	free(worker->instances);
	free(worker->peers);
	worker->instances = kept;
	worker->instances_len = len;
	worker->peers = hashes;
	worker->peers_len = len;
	worker->peers_propagation = LIST_PROPAGATION_PERIODS *
				    worker->settings->platform.list_ms;
	worker->peers_joined = worker->started;
	for (size_t i = 0; i < len; i++) {
		kept[i] = instances[i];
		hashes[i] = medlar_str_hash(medlar_str_from(instances[i].name),
					    0);
	}
	qsort(hashes, len, sizeof(*hashes), compare_hashes);
	return MEDLAR_OK;
}

/**
 * worker_set_peers() - replace the instances that share the upstreams
 * @worker: worker
 * @peers: instances that share the upstreams; copied
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM with the peers as before.
 */
int worker_set_peers(worker_t *worker, const medlar_peers_t *peers)
{
	uint64_t *hashes = calloc(peers->len + 1, sizeof(*hashes));

	if (!hashes)
		return MEDLAR_ERR_NOMEM;
	memcpy(hashes, peers->ids, peers->len * sizeof(*hashes));
	free(worker->peers);
	worker->peers = hashes;
	worker->peers_len = peers->len;
	worker->peers_propagation = peers->hold;
	worker->peers_joined = peers->since;
	return MEDLAR_OK;
}

/* Hashes all inputs of the shares, to skip computing them without a change. */
static uint64_t hash_peers(const worker_t *worker)
{
	const uint64_t parts[] = {
		medlar_str_hash(
			(medlar_str_t){ (const char *)worker->peers,
					worker->peers_len *
						sizeof(*worker->peers) },
			0),
		(uint64_t)worker->peers_propagation,
		(uint64_t)worker->peers_joined,
		worker->config.revision,
		worker->services_len,
	};

	return medlar_str_hash(
		(medlar_str_t){ (const char *)parts, sizeof(parts) }, 0);
}

/**
 * worker_update_shares() - recompute this instance's share of the upstreams
 * @worker: worker
 *
 * An instance that is leaving still has requests in flight, so it counts until
 * it is no longer listed.
 */
void worker_update_shares(worker_t *worker)
{
	const medlar_peers_t peers = {
		.ids = worker->peers,
		.len = worker->peers_len,
		.hold = worker->peers_propagation,
		.since = worker->peers_joined,
	};
	uint64_t hash;

	if (!worker->peers)
		return;
	hash = hash_peers(worker);
	if (hash == worker->peers_hash)
		return;
	worker->peers_hash = hash;
	for (size_t i = 0; i < worker->services_len; i++) {
		service_t *service = worker->services[i];

		if (service->owner != worker->index)
			continue;
		medlar_service_set_peers(&worker->client, &service->core,
					 &peers, worker->loop.now);
		service_update_limits(service);
	}
}
