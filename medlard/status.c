/**
 * DOC: HTTP endpoints for health, metrics and state
 */
#include <inttypes.h>
#include <string.h>

#include "medlard/answer.h"
#include "medlard/control.h"
#include "medlard/status.h"

typedef void (*replica_fn_t)(const service_t *service,
			     medlar_replica_t *replica, void *data);

/**
 * status_healthz() - handle GET /healthz; see &struct route
 * @request: request
 */
void status_healthz(request_t *request)
{
	request->content_type = "text/plain";
	medlar_buf_add(&request->answer, MEDLAR_STR("ok\n"));
	request_reply(request, HTTP_STATUS_OK);
}

static bool owns(const worker_t *worker, const service_t *service)
{
	return service->owner == worker->index && service->enabled;
}

static void write_service_not_ready(const worker_t *worker,
				    const service_t *service, medlar_buf_t *out)
{
	if (!service->listed)
		medlar_buf_printf(out, "not ready: no instance list of %s\n",
				  service->name);
	if (!medlar_service_joined(&worker->client, &service->core,
				   worker->loop.now))
		medlar_buf_printf(out, "not ready: no share of %s yet\n",
				  service->name);
}

static void visit_ready(worker_t *worker, request_t *request)
{
	medlar_buf_t *out = &request->answer;

	if (!worker && out->len == 0) {
		medlar_buf_add(out, MEDLAR_STR("ready\n"));
		request_reply(request, HTTP_STATUS_OK);
		return;
	}
	if (!worker) {
		request_reply(request, HTTP_STATUS_SERVICE_UNAVAILABLE);
		return;
	}
	if (worker->leaving)
		medlar_buf_add(out, MEDLAR_STR("not ready: leaving\n"));
	if (!worker->configured)
		medlar_buf_add(out,
			       MEDLAR_STR("not ready: no configuration\n"));
	for (size_t i = 0; i < worker->services_len; i++)
		if (owns(worker, worker->services[i]))
			write_service_not_ready(worker, worker->services[i],
						out);
}

/**
 * status_readyz() - handle GET /readyz; see &struct route
 * @request: request
 */
void status_readyz(request_t *request)
{
	request->content_type = "text/plain";
	request_visit_workers(request, visit_ready);
}

/**
 * status_metrics() - handle GET /metrics; see &struct route
 * @request: request
 */
void status_metrics(request_t *request)
{
	control_t *control = request->home->control;
	const metrics_t *sets[WORKERS_MAX + 1];

	for (size_t i = 0; i < control->workers_len; i++)
		sets[i] = &control->workers[i].metrics;
	sets[control->workers_len] = &control->metrics;
	request->content_type = "text/plain; version=0.0.4";
	metrics_write(sets, control->workers_len + 1, &request->answer);
	request_reply(request, HTTP_STATUS_OK);
}

static void add_separator(medlar_buf_t *out)
{
	if (out->len > 0 && out->ptr[out->len - 1] != '[')
		medlar_buf_add(out, MEDLAR_STR(","));
}

static void reply_with_list(request_t *request)
{
	medlar_buf_add(&request->answer, MEDLAR_STR("]}\n"));
	request_reply(request, HTTP_STATUS_OK);
}

static void for_each_replica(service_t *service, replica_fn_t fn, void *data)
{
	for (size_t i = 0; i < medlar_service_shards_count(&service->core);
	     i++) {
		const medlar_shard_t *shard = medlar_service_shard(
			&service->core, (uint32_t)i);

		for (size_t j = 0; j < medlar_shard_replicas_count(shard); j++)
			fn(service, medlar_shard_replica(shard, j), data);
	}
}

/**
 * struct service_totals - totals over the replicas of a service
 * @replicas: number of replicas
 * @usable: number of replicas that may get requests
 * @in_flight: requests in flight
 * @slots: slots in this instance's share of the replicas
 * @open: open connections
 */
typedef struct service_totals {
	size_t replicas;
	size_t usable;
	uint64_t in_flight;
	uint64_t slots;
	uint64_t open;
} service_totals_t;

static void add_replica_to_totals(const service_t *service,
				  medlar_replica_t *replica, void *data)
{
	const http_pool_t *pool = medlar_replica_data(replica);
	service_totals_t *totals = data;

	totals->replicas++;
	totals->usable += medlar_replica_usable(replica,
						service->worker->loop.now);
	totals->in_flight += medlar_replica_in_flight(replica);
	totals->slots += medlar_replica_share(replica).slots;
	totals->open += pool ? pool->connections_open : 0;
}

static void write_service(service_t *service, medlar_buf_t *out)
{
	const medlar_map_t *map = medlar_service_map(&service->core);
	service_totals_t totals = { 0 };

	for_each_replica(service, add_replica_to_totals, &totals);
	add_separator(out);
	medlar_buf_printf(out,
			  "{\"name\":\"%s\",\"worker\":%u,\"epoch\":%" PRIu64
			  ",\"shards\":%zu,\"replicas\":%zu,\"usable\":%zu,"
			  "\"in_flight\":%" PRIu64 ",\"slots\":%" PRIu64
			  ",\"connections\":%" PRIu64 "}",
			  service->name, service->owner, map->epoch,
			  medlar_service_shards_count(&service->core),
			  totals.replicas, totals.usable, totals.in_flight,
			  totals.slots, totals.open);
}

static void visit_services(worker_t *worker, request_t *request)
{
	if (!worker) {
		reply_with_list(request);
		return;
	}
	for (size_t i = 0; i < worker->services_len; i++)
		if (owns(worker, worker->services[i]))
			write_service(worker->services[i], &request->answer);
}

/**
 * status_services() - handle GET /v1/status; see &struct route
 * @request: request
 */
void status_services(request_t *request)
{
	const worker_t *worker = request->home;
	medlar_buf_t *out = &request->answer;

	medlar_buf_printf(
		out,
		"{\"instance\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"" MEDLAR_VERSION "\",\"revision\":%" PRIu64
		",\"leaving\":%s,\"instances\":%zu,\"uptime_ms\":%" PRId64
		",\"services\":[",
		worker->settings->name, worker->settings->zone,
		worker->config.revision, worker->leaving ? "true" : "false",
		worker->peers_len, worker->loop.now - worker->started);
	request_visit_workers(request, visit_services);
}

static const char *replica_state(const service_t *service,
				 const medlar_replica_t *replica)
{
	if (medlar_replica_info(replica)->leaving)
		return "leaving";
	return medlar_replica_usable(replica, service->worker->loop.now)
		       ? "live"
		       : "unused";
}

static void write_replica(const service_t *service, medlar_replica_t *replica,
			  void *data)
{
	const medlar_replica_info_t *info = medlar_replica_info(replica);
	medlar_share_t share = medlar_replica_share(replica);
	const http_pool_t *pool = medlar_replica_data(replica);
	medlar_buf_t *out = data;

	add_separator(out);
	medlar_buf_printf(out, "{\"service\":\"%s\",\"name\":", service->name);
	medlar_buf_json_string(out, medlar_str_from(info->name));
	medlar_buf_printf(out,
			  ",\"host\":\"%s\",\"port\":%u,\"shard\":%" PRIu32
			  ",\"state\":\"%s\",\"in_flight\":%" PRIu32
			  ",\"share\":%u,\"connections\":%u,\"open\":%" PRIu32
			  ",\"versions\":[",
			  info->host, info->port, info->shard,
			  replica_state(service, replica),
			  medlar_replica_in_flight(replica), share.slots,
			  share.connections, pool ? pool->connections_open : 0);
	for (size_t i = 0; i < MEDLAR_VERSIONS_MAX && info->versions[i]; i++) {
		add_separator(out);
		medlar_buf_printf(out, "%" PRIu32, info->versions[i]);
	}
	medlar_buf_add(out, MEDLAR_STR("]}"));
}

static void visit_upstreams(worker_t *worker, request_t *request)
{
	if (!worker) {
		reply_with_list(request);
		return;
	}
	for (size_t i = 0; i < worker->services_len; i++)
		if (owns(worker, worker->services[i]))
			for_each_replica(worker->services[i], write_replica,
					 &request->answer);
}

/**
 * status_upstreams() - handle GET /v1/upstreams; see &struct route
 * @request: request
 */
void status_upstreams(request_t *request)
{
	medlar_buf_add(&request->answer, MEDLAR_STR("{\"upstreams\":["));
	request_visit_workers(request, visit_upstreams);
}

static void visit_suspects(worker_t *worker, request_t *request)
{
	static const char *const verdicts[] = {
		[MEDLAR_VERDICT_CLEAR] = "clear",
		[MEDLAR_VERDICT_SUSPECT] = "suspect",
		[MEDLAR_VERDICT_CONVICTED] = "convicted",
	};
	medlar_buf_t *out = &request->answer;
	medlar_suspect_entry_t entry;
	size_t cursor = 0;

	if (!worker) {
		reply_with_list(request);
		return;
	}
	while (medlar_suspects_next(&worker->suspects, &cursor,
				    worker->loop.now, &entry)) {
		add_separator(out);
		medlar_buf_printf(out,
				  "{\"fingerprint\":\"%016" PRIx64
				  "\",\"verdict\":\"%s\",\"deaths\":%" PRIu32
				  ",\"expires_ms\":%" PRId64 "}",
				  entry.fingerprint, verdicts[entry.verdict],
				  entry.crashes,
				  entry.until - worker->loop.now);
	}
}

/**
 * status_suspects() - handle GET /v1/suspects; see &struct route
 * @request: request
 */
void status_suspects(request_t *request)
{
	medlar_buf_add(&request->answer, MEDLAR_STR("{\"suspects\":["));
	request_visit_workers(request, visit_suspects);
}

/**
 * status_instances() - handle GET /v1/instances; see &struct route
 * @request: request
 */
void status_instances(request_t *request)
{
	const worker_t *worker = request->home;
	medlar_buf_t *out = &request->answer;

	medlar_buf_add(out, MEDLAR_STR("{\"instances\":["));
	for (size_t i = 0; i < worker->instances_len; i++) {
		const instance_t *instance = &worker->instances[i];

		add_separator(out);
		medlar_buf_add(out, MEDLAR_STR("{\"name\":"));
		medlar_buf_json_string(out, medlar_str_from(instance->name));
		medlar_buf_printf(out, ",\"host\":\"%s\",\"port\":%u,\"zone\":",
				  instance->host, instance->port);
		medlar_buf_json_string(out, medlar_str_from(instance->zone));
		medlar_buf_printf(
			out, ",\"state\":\"%s\",\"incarnation\":%" PRId64 "}",
			instance->leaving ? "leaving" : "live",
			instance->incarnation);
	}
	reply_with_list(request);
}
