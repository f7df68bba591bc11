/**
 * DOC: the services of a worker
 */
#include <stdlib.h>
#include <string.h>

#include "medlard/answer.h"
#include "medlard/control.h"
#include "medlard/writer.h"

/*
 * Time for which other instances are told that a replica is leaving. A newer
 * incarnation of the replica cancels it.
 */
#define DRAIN_TTL (10 * MEDLAR_MINUTE)

static void on_send(medlar_attempt_t *attempt, void *data)
{
	upstream_send_attempt(attempt, data);
}

static void on_cancel(medlar_attempt_t *attempt, void *data)
{
	upstream_attempt_cancel(attempt, data);
}

static void on_answer(medlar_query_t *query, void *data);

static void on_leaving(const medlar_replica_t *replica, void *data)
{
	const upstream_context_t *context = data;
	const medlar_fact_t fact = {
		.kind = MEDLAR_FACT_DRAIN,
		.subject = medlar_replica_id(replica),
		.revision = (uint64_t)medlar_replica_info(replica)->incarnation,
		.ttl = DRAIN_TTL,
	};

	if (fact.revision > 0)
		peering_post_fact(context->worker, &fact);
}

static const medlar_service_ops_t ops = {
	.send = on_send,
	.cancel = on_cancel,
	.answer = on_answer,
	.leaving = on_leaving,
};

static bool is_owner(const service_t *service)
{
	return service->owner == service->worker->index;
}

/**
 * service_find() - find a service by its name
 * @worker: calling worker
 * @name: name
 *
 * Return: a service of the configuration in force, or NULL if there is none.
 */
service_t *service_find(worker_t *worker, medlar_str_t name)
{
	for (size_t i = 0; i < worker->services_len; i++) {
		service_t *service = worker->services[i];

		if (service->enabled &&
		    medlar_str_equal(name, medlar_str_from(service->name)))
			return service;
	}
	return NULL;
}

static service_t *find_by_name(const worker_t *worker, const char *name)
{
	for (size_t i = 0; i < worker->services_len; i++)
		if (strcmp(worker->services[i]->name, name) == 0)
			return worker->services[i];
	return NULL;
}

static int init_core(worker_t *worker, service_t *service)
{
	int error;

	error = medlar_service_init(&worker->client, &service->core,
				    &service->policy, &ops, &service->context,
				    worker->loop.now);
	if (error)
		return error;
	medlar_service_set_suspects(&service->core, &worker->suspects);
	service->metrics = metrics_new_service(&worker->metrics, service->name);
	return MEDLAR_OK;
}

static service_t *add_service(worker_t *worker, const medlar_policy_t *policy)
{
	service_t *service = calloc(1, sizeof(*service));
	service_t **services;

	if (!service)
		return NULL;
	services = realloc(worker->services,
			   (worker->services_len + 1) * sizeof(service_t *));
	if (!services) {
		free(service);
		return NULL;
	}
	worker->services = services;
	service->worker = worker;
	service->owner = (unsigned)worker->services_len %
			 worker->settings->threads;
	service->policy = *policy;
	memcpy(service->name, policy->name, sizeof(service->name));
	service->context = (upstream_context_t){
		.upstream = &worker->upstream,
		.service = &service->core,
		.policy = &service->policy,
		.worker = worker,
	};
	service->number = worker->services_len;
	if (is_owner(service) && init_core(worker, service)) {
		free(service);
		return NULL;
	}
	services[worker->services_len++] = service;
	return service;
}

static size_t count_writers(const medlar_config_t *config)
{
	size_t count = 0;

	for (size_t i = 0; i < config->len; i++)
		count += config->services[i].writes;
	return count;
}

static int configure_service(worker_t *worker, const medlar_config_t *config,
			     const medlar_policy_t *policy)
{
	service_t *service = find_by_name(worker, policy->name);
	int error;

	if (!service)
		service = add_service(worker, policy);
	if (!service)
		return MEDLAR_ERR_NOMEM;
	service->enabled = true;
	service->policy = *policy;
	if (!is_owner(service))
		return MEDLAR_OK;
	error = medlar_service_set_policy(&worker->client, &service->core,
					  policy);
	if (error)
		return error;
	return writer_configure(service, config->revision,
				count_writers(config));
}

/**
 * service_configure() - apply a configuration to the services of a worker
 * @worker: worker
 * @config: configuration now in force
 *
 * All workers must be given the same configurations in the same order, so that
 * they agree on the numbers and owners of the services.
 *
 * Return: %MEDLAR_OK, or the last error; the services without an error are
 * configured.
 */
int service_configure(worker_t *worker, const medlar_config_t *config)
{
	int error = MEDLAR_OK;

	for (size_t i = 0; i < worker->services_len; i++)
		worker->services[i]->enabled = false;
	for (size_t i = 0; i < config->len; i++) {
		int failed = configure_service(worker, config,
					       &config->services[i]);

		if (failed)
			error = failed;
	}
	return error;
}

static void for_each_replica(service_t *service,
			     void (*fn)(service_t *service,
					medlar_replica_t *replica))
{
	for (size_t i = 0; i < medlar_service_shards_count(&service->core);
	     i++) {
		medlar_shard_t *shard = medlar_service_shard(&service->core,
							     (uint32_t)i);

		for (size_t j = medlar_shard_replicas_count(shard); j > 0; j--)
			fn(service, medlar_shard_replica(shard, j - 1));
	}
}

static void adjust_replica(service_t *service, medlar_replica_t *replica)
{
	upstream_update_limits(&service->context, replica);
}

/**
 * service_update_limits() - apply new shares of the replicas to the connections
 * @service: service that the calling worker owns
 */
void service_update_limits(service_t *service)
{
	for_each_replica(service, adjust_replica);
}

static void forget_replica(service_t *service, medlar_replica_t *replica)
{
	(void)service;
	upstream_remove_replica(replica);
}

/**
 * service_finish_all() - release the services of a worker
 * @worker: worker that has no requests in flight
 */
void service_finish_all(worker_t *worker)
{
	for (size_t i = 0; i < worker->services_len; i++) {
		service_t *service = worker->services[i];

		if (is_owner(service)) {
			writer_free(service->writer);
			for_each_replica(service, forget_replica);
			medlar_service_finish(&worker->client, &service->core);
		}
		free(service);
	}
	free(worker->services);
	worker->services = NULL;
	worker->services_len = 0;
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static bool has_id(const uint64_t *ids, size_t len, uint64_t id)
{
	return bsearch(&id, ids, len, sizeof(*ids), compare_ids) != NULL;
}

static void drop_unlisted(service_t *service, const uint64_t *ids, size_t len)
{
	worker_t *worker = service->worker;

	for (size_t i = 0; i < medlar_service_shards_count(&service->core);
	     i++) {
		medlar_shard_t *shard = medlar_service_shard(&service->core,
							     (uint32_t)i);

		for (size_t j = medlar_shard_replicas_count(shard); j > 0;
		     j--) {
			medlar_replica_t *replica = medlar_shard_replica(shard,
									 j - 1);
			uint64_t id = medlar_replica_id(replica);

			if (has_id(ids, len, id))
				continue;
			upstream_remove_replica(replica);
			(void)medlar_service_remove_replica(&worker->client,
							    &service->core, id,
							    worker->loop.now);
		}
	}
}

static void put_replica(service_t *service, const medlar_replica_info_t *info)
{
	worker_t *worker = service->worker;
	medlar_str_t name = medlar_str_from(info->name);
	medlar_replica_t *replica;
	int error;

	error = medlar_service_put_replica(&worker->client, &service->core,
					   info, worker->loop.now);
	if (error) {
		LOG_LINE(&worker->log, LOG_LEVEL_WARNING, "replica",
			 MEDLAR_TEXT("replica", name),
			 MEDLAR_TEXT("error", medlar_str_from(medlar_error_name(
						      error))));
		return;
	}
	replica = medlar_service_find_replica(&service->core,
					      medlar_str_hash(name, 0));
	if (!replica)
		return;
	upstream_update_limits(&service->context, replica);
	upstream_warm_connection(&service->context, replica);
}

/**
 * service_set_replicas() - replace the list of replicas
 * @service: service that the calling worker owns
 * @infos: replicas on the platform's instance list
 * @len: number of replicas; must not be 0
 */
void service_set_replicas(service_t *service,
			  const medlar_replica_info_t *infos, size_t len)
{
	uint64_t *ids = calloc(len, sizeof(*ids));

	if (!ids)
		return;
	for (size_t i = 0; i < len; i++) {
		ids[i] = medlar_str_hash(medlar_str_from(infos[i].name), 0);
		put_replica(service, &infos[i]);
	}
	qsort(ids, len, sizeof(*ids), compare_ids);
	drop_unlisted(service, ids, len);
	service->listed = true;
	free(ids);
}

static const service_metric_t outcome_metrics[] = {
	[MEDLAR_OUTCOME_PENDING] = SERVICE_METRIC_FAILED,
	[MEDLAR_OUTCOME_COMPLETE] = SERVICE_METRIC_COMPLETE,
	[MEDLAR_OUTCOME_PARTIAL] = SERVICE_METRIC_PARTIAL,
	[MEDLAR_OUTCOME_NOT_RUN] = SERVICE_METRIC_NOT_RUN,
	[MEDLAR_OUTCOME_FAILED] = SERVICE_METRIC_FAILED,
	[MEDLAR_OUTCOME_UNKNOWN] = SERVICE_METRIC_UNKNOWN,
	[MEDLAR_OUTCOME_CANCELLED] = SERVICE_METRIC_CANCELLED,
};

static void count_answer(const service_t *service, const medlar_query_t *query,
			 medlar_time_t now)
{
	const medlar_answer_t *answer = medlar_query_answer(query);
	service_metrics_t *metrics = service->metrics;

	metrics_service_add(metrics, outcome_metrics[answer->outcome], 1);
	metrics_service_add(metrics, SERVICE_METRIC_SENDS, answer->sends);
	metrics_service_add(metrics, SERVICE_METRIC_PARTS,
			    medlar_query_parts_count(query));
	metrics_record_latency(metrics, now - answer->started);
}

static void on_answer(medlar_query_t *query, void *data)
{
	upstream_context_t *context = data;
	request_t *request = medlar_query_data(query);
	worker_t *worker = request->current;
	medlar_time_t now = worker->loop.now;
	unsigned status = answer_status(medlar_query_answer(query));

	count_answer(find_by_name(worker, context->policy->name), query, now);
	answer_query(&request->answer, query, now);
	request->query = NULL;
	medlar_query_finish(&worker->client, query);
	request_reply(request, status);
}

/**
 * service_deadline() - get the time at which a caller's answer is due
 * @request: request whose body has been parsed
 * @policy: policy of the service
 *
 * Return: absolute time, ms, no later than the policy's deadline allows.
 */
medlar_time_t service_deadline(const request_t *request,
			       const medlar_policy_t *policy)
{
	medlar_time_t asked = request->args.deadline;

	if (asked == 0 || asked > policy->deadline)
		asked = policy->deadline;
	return request->arrived + asked;
}

static medlar_str_t get_kind_name(medlar_request_kind_t kind)
{
	return kind == MEDLAR_REQUEST_SEARCH ? MEDLAR_STR("search")
					     : MEDLAR_STR("lookup");
}

static void start_query(request_t *request, service_t *service)
{
	worker_t *worker = request->current;
	const args_t *args = &request->args;
	const medlar_query_params_t params = {
		.kind = request->kind,
		.body = args->query,
		.caller = request->caller,
		.fingerprint = medlar_fingerprint(
			medlar_str_from(service->name),
			get_kind_name(request->kind), args->query),
		.deadline = service_deadline(request, &service->policy),
		.target = request->arrived + service->policy.target,
		.at_least = args->at_least,
		.keys = args->keys,
		.keys_len = args->keys_len,
	};
	int error;

	error = medlar_query_start(&worker->client, &service->core, &params,
				   request, worker->loop.now, &request->query);
	if (!error)
		return;
	request->query = NULL;
	metrics_service_add(service->metrics, SERVICE_METRIC_NOT_RUN, 1);
	request_refuse(request, answer_error_status(error), error, "");
}

static void run_request(mailbox_call_t *call, void *data)
{
	request_t *request = data;
	worker_t *worker = request->current;
	service_t *service;

	(void)call;
	if (request->service_number >= worker->services_len) {
		request_refuse(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
			       MEDLAR_ERR_UNAVAILABLE, "");
		return;
	}
	service = worker->services[request->service_number];
	if (request->kind == MEDLAR_REQUEST_WRITE)
		writer_handle(service, request);
	else
		start_query(request, service);
}

/**
 * service_cancel() - cancel the query of a request
 * @request: request owned by the calling worker
 */
void service_cancel(request_t *request)
{
	worker_t *worker = request->owner;
	medlar_query_t *query = request->query;

	if (!query)
		return;
	medlar_query_cancel(&worker->client, query, worker->loop.now);
	count_answer(worker->services[request->service_number], query,
		     worker->loop.now);
	request->query = NULL;
	medlar_query_finish(&worker->client, query);
	request_refuse(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       MEDLAR_ERR_CANCELLED, "");
}

static bool parse_args(request_t *request)
{
	args_rejection_t fault;

	if (!args_parse(&request->args, request->kind,
			medlar_buf_str(&request->body), &fault))
		return true;
	request_refuse(request, answer_error_status(fault.error), fault.error,
		       fault.field);
	return false;
}

static bool split_path(const request_t *request, medlar_str_t *name,
		       medlar_request_kind_t *kind)
{
	static const char *const kinds[] = {
		[MEDLAR_REQUEST_SEARCH] = "search",
		[MEDLAR_REQUEST_LOOKUP] = "lookup",
		[MEDLAR_REQUEST_WRITE] = "write",
	};
	const char *rest = request->path + strlen(request->route->path);
	const char *slash = strchr(rest, '/');

	if (!slash)
		return false;
	*name = (medlar_str_t){ rest, (size_t)(slash - rest) };
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strcmp(slash + 1, kinds[i]) == 0) {
			*kind = (medlar_request_kind_t)i;
			return true;
		}
	}
	return false;
}

/**
 * service_handle() - handle a search, lookup or write; see &struct route
 * @request: request with its whole body, at its home worker
 */
void service_handle(request_t *request)
{
	worker_t *worker = request->home;
	const service_t *service = NULL;
	medlar_str_t name;

	if (!worker->configured) {
		request_refuse(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
			       MEDLAR_ERR_UNAVAILABLE, "");
		return;
	}
	if (split_path(request, &name, &request->kind))
		service = service_find(worker, name);
	if (!service ||
	    (request->kind == MEDLAR_REQUEST_WRITE) != service->policy.writes) {
		request_refuse(request, HTTP_STATUS_NOT_FOUND,
			       MEDLAR_ERR_NOT_FOUND, "");
		return;
	}
	if (!parse_args(request))
		return;
	request->service_number = service->number;
	request_forward(request,
			control_get_worker(worker->control, service->owner),
			run_request);
}
