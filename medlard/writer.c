/**
 * DOC: writes of one service: requests and answers
 */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "medlard/answer.h"
#include "medlard/clock.h"
#include "medlard/writer.h"

/*
 * Fraction of this instance's call rate to the key-value service that commits
 * may use; the rest is needed for the reads that each commit also makes.
 */
#define COMMIT_SHARE 0.3

static const service_metric_t outcome_metrics[] = {
	[MEDLAR_WRITE_UNKNOWN] = SERVICE_METRIC_UNKNOWN,
	[MEDLAR_WRITE_RAN] = SERVICE_METRIC_COMPLETE,
	[MEDLAR_WRITE_NOT_RUN] = SERVICE_METRIC_NOT_RUN,
};

static void fill_random(uint8_t *out, size_t len, void *data)
{
	(void)data;
	randombytes_buf(out, len);
}

static medlar_time_t get_now(void *data)
{
	const writer_t *writer = data;

	return writer->service->worker->loop.now;
}

/**
 * writer_unref_write() - drop a reference to a write
 * @pending: write; freed with the last reference
 */
void writer_unref_write(pending_write_t *pending)
{
	writer_t *writer = pending->writer;

	if (--pending->refs > 0)
		return;
	if (pending->prev)
		pending->prev->next = pending->next;
	else
		writer->writes = pending->next;
	if (pending->next)
		pending->next->prev = pending->prev;
	medlar_buf_finish(&pending->body);
	free(pending);
}

static unsigned write_status(medlar_write_outcome_t outcome, int error)
{
	if (outcome == MEDLAR_WRITE_RAN)
		return HTTP_STATUS_OK;
	if (outcome == MEDLAR_WRITE_UNKNOWN)
		return HTTP_STATUS_BAD_GATEWAY;
	if (error == MEDLAR_ERR_DEADLINE)
		return HTTP_STATUS_SERVICE_UNAVAILABLE;
	return answer_error_status(error);
}

static void export_stats(writer_t *writer)
{
	service_metrics_t *metrics = writer->service->metrics;
	const medlar_writes_stats_t *old = &writer->exported;
	const medlar_writes_stats_t *stats = &writer->core.stats;

	metrics_service_add(metrics, SERVICE_METRIC_CLAIMS,
			    stats->claims - old->claims);
	metrics_service_add(metrics, SERVICE_METRIC_RECORDS,
			    stats->records - old->records);
	metrics_service_add(metrics, SERVICE_METRIC_COMMITS,
			    stats->commits - old->commits);
	metrics_service_add(metrics, SERVICE_METRIC_CONFLICTS,
			    stats->conflicts - old->conflicts);
	metrics_service_add(metrics, SERVICE_METRIC_LOST,
			    stats->lost - old->lost);
	writer->exported = *stats;
}

/* Answers the caller; @request must not be used afterwards. */
static void answer_caller(writer_t *writer, request_t *request,
			  const medlar_write_answer_t *answer)
{
	const worker_t *worker = writer->service->worker;
	service_metrics_t *metrics = writer->service->metrics;

	export_stats(writer);
	metrics_service_add(metrics, outcome_metrics[answer->outcome], 1);
	metrics_record_latency(metrics, worker->loop.now - request->arrived);
	answer_write(&request->answer, answer);
	request_reply(request, write_status(answer->outcome, answer->error));
}

static void on_answer(medlar_write_t *write,
		      const medlar_write_answer_t *answer, void *data)
{
	pending_write_t *pending = medlar_write_data(write);
	request_t *request = pending->request;

	pending->request = NULL;
	answer_caller(data, request, answer);
	writer_unref_write(pending);
}

static const medlar_writes_ops_t ops = {
	.dispatch = writer_dispatch,
	.answer = on_answer,
	.lookup_done = writer_on_lookup,
	.random = fill_random,
	.now = get_now,
};

static int create_writer(service_t *service, uint64_t revision)
{
	worker_t *worker = service->worker;
	writer_t *writer = calloc(1, sizeof(*writer));
	const medlar_writes_params_t params = {
		.policy = &service->policy,
		.revision = revision,
		.store = &worker->store,
		.ops = &ops,
		.data = writer,
		.epoch = clock_wall() - worker->loop.now,
	};

	if (!writer)
		return MEDLAR_ERR_NOMEM;
	writer->service = service;
	medlar_writes_init(&worker->client, &writer->core, &params);
	writer_queue_init(writer);
	service->writer = writer;
	return MEDLAR_OK;
}

/**
 * writer_configure() - apply a configuration to the writes of a service
 * @service: service that this worker owns
 * @revision: revision of the configuration
 * @writers: number of services with writes; they share the commit rate
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int writer_configure(service_t *service, uint64_t revision, size_t writers)
{
	const platform_settings_t *platform =
		&service->worker->settings->platform;
	int error = MEDLAR_OK;

	if (!service->policy.writes)
		return MEDLAR_OK;
	if (!service->writer)
		error = create_writer(service, revision);
	if (error)
		return error;
	medlar_writes_set_policy(&service->writer->core, &service->policy,
				 revision);
	medlar_writes_set_commit_rate(&service->writer->core,
				      COMMIT_SHARE * (double)platform->rate /
					      (double)writers);
	return MEDLAR_OK;
}

/**
 * writer_free() - release the writes of a service
 * @writer: writer of a worker whose thread has ended, or NULL
 *
 * A write with an HTTP call in progress is freed when that call is dropped.
 */
void writer_free(writer_t *writer)
{
	pending_write_t *next;

	if (!writer)
		return;
	medlar_writes_finish(&writer->core);
	medlar_timer_clear(&writer->service->worker->client,
			   &writer->queue_timer);
	for (pending_write_t *at = writer->writes; at; at = next) {
		next = at->next;
		at->writer = NULL;
		medlar_buf_finish(&at->body);
		if (!at->call)
			free(at);
	}
	free(writer);
}

/**
 * writer_pending_count() - count the writes a worker has yet to complete
 * @worker: worker
 *
 * Return: number of writes in progress or whose outcome is not recorded yet.
 */
size_t writer_pending_count(const worker_t *worker)
{
	size_t pending = 0;

	for (size_t i = 0; i < worker->services_len; i++) {
		const writer_t *writer = worker->services[i]->writer;

		if (writer)
			pending += writer->core.writes_len;
	}
	return pending;
}

static pending_write_t *add_write(writer_t *writer, request_t *request)
{
	pending_write_t *pending = calloc(1, sizeof(*pending));

	if (!pending)
		return NULL;
	medlar_buf_init(&pending->body);
	medlar_buf_add(&pending->body, request->args.query);
	if (pending->body.error) {
		free(pending);
		return NULL;
	}
	pending->writer = writer;
	pending->request = request;
	pending->refs = 1;
	memcpy(pending->key, request->key, sizeof(pending->key));
	pending->fingerprint = medlar_fingerprint(
		medlar_str_from(writer->service->name), MEDLAR_STR("write"),
		request->args.query);
	pending->next = writer->writes;
	if (pending->next)
		pending->next->prev = pending;
	writer->writes = pending;
	return pending;
}

static int start_write(writer_t *writer, request_t *request,
		       medlar_write_params_t *params)
{
	worker_t *worker = writer->service->worker;
	pending_write_t *pending;
	int error;

	if (writer->queue_len >= writer->service->policy.queue_max)
		return MEDLAR_ERR_OVERLOAD;
	pending = add_write(writer, request);
	if (!pending)
		return MEDLAR_ERR_NOMEM;
	params->data = pending;
	pending->deadline = params->deadline;
	error = MEDLAR_ERR_CONVICTED;
	if (medlar_suspects_verdict(&worker->suspects, pending->fingerprint,
				    worker->loop.now) !=
	    MEDLAR_VERDICT_CONVICTED)
		error = medlar_write_start(&writer->core, params,
					   &pending->write);
	if (error)
		writer_unref_write(pending);
	else
		metrics_service_add(writer->service->metrics,
				    SERVICE_METRIC_PARTS, 1);
	return error;
}

static void refuse_write(writer_t *writer, request_t *request, int error)
{
	const medlar_write_answer_t answer = {
		.outcome = medlar_write_refusal_outcome(error),
		.error = error,
	};

	answer_caller(writer, request, &answer);
}

/**
 * writer_handle() - process a write request
 * @service: service that this worker owns
 * @request: request forwarded to this worker
 */
void writer_handle(service_t *service, request_t *request)
{
	writer_t *writer = service->writer;
	medlar_write_params_t params = {
		.deadline = service_deadline(request, &service->policy),
	};
	int error;

	if (!writer) {
		request_refuse(request, HTTP_STATUS_SERVICE_UNAVAILABLE,
			       MEDLAR_ERR_UNAVAILABLE, "");
		return;
	}
	error = medlar_uuid_parse(medlar_str_from(request->key), &params.key);
	if (request->key[0] == '\0')
		error = MEDLAR_ERR_MISSING;
	if (error) {
		request_refuse(request, answer_error_status(error), error,
			       "Idempotency-Key");
		return;
	}
	medlar_writes_set_epoch(&writer->core,
				clock_wall() - service->worker->loop.now);
	error = start_write(writer, request, &params);
	if (error)
		refuse_write(writer, request, error);
}
