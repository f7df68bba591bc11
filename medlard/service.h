/**
 * DOC: the services of a worker
 *
 * Each service of the configuration has a number, the same in all workers, that
 * never changes. One worker owns the service and runs its requests.
 */
#ifndef MEDLARD_SERVICE_H
#define MEDLARD_SERVICE_H

#include "medlard/request.h"
#include "medlard/upstream.h"

typedef struct writer writer_t;

/**
 * struct service - state that one worker keeps of a service
 * @worker: worker that this state belongs to
 * @name: name, NUL-terminated
 * @number: index into the services of each worker
 * @owner: number of the worker that runs its requests
 * @enabled: it is part of the configuration in force
 * @listed: its instance list has been received
 * @policy: policy in force
 * @context: data for the core's callbacks
 * @metrics: counters, or NULL
 * @core: the core's service; initialized in the owner only
 * @writer: writes of the service; NULL unless it accepts writes and this worker
 *	owns it
 */
struct service {
	worker_t *worker;
	char name[MEDLAR_NAME_MAX + 1];
	size_t number;
	unsigned owner;
	bool enabled;
	bool listed;
	medlar_policy_t policy;
	upstream_context_t context;
	service_metrics_t *metrics;
	medlar_service_t core;
	writer_t *writer;
};

int service_configure(worker_t *worker, const medlar_config_t *config);
service_t *service_find(worker_t *worker, medlar_str_t name);
void service_update_limits(service_t *service);
void service_finish_all(worker_t *worker);
void service_handle(request_t *request);
void service_cancel(request_t *request);
medlar_time_t service_deadline(const request_t *request,
			       const medlar_policy_t *policy);
void service_set_replicas(service_t *service,
			  const medlar_replica_info_t *infos, size_t len);

#endif /* MEDLARD_SERVICE_H */
