/**
 * DOC: recorded state of a write, for operators
 *
 * An idempotency key does not identify a service, so the journals of all
 * services with writes are read, one service after the other.
 */
#include <inttypes.h>
#include <string.h>

#include "medlard/answer.h"
#include "medlard/control.h"
#include "medlard/writer.h"

/* Longest time to read the journal of one service, ms. */
#define LOOKUP_TIMEOUT (2 * MEDLAR_SECOND)

static void start_lookup(mailbox_call_t *call, void *data);

/* A request with a visit function is not cancelled on disconnection. */
static void ignore_visit(worker_t *worker, request_t *request)
{
	(void)worker;
	(void)request;
}

static service_t *next_service(request_t *request)
{
	const worker_t *worker = request->current;

	for (; request->visit_index < worker->services_len;
	     request->visit_index++) {
		service_t *service = worker->services[request->visit_index];

		if (service->enabled && service->policy.writes)
			return service;
	}
	return NULL;
}

static void visit_next_service(request_t *request)
{
	const service_t *service = next_service(request);
	worker_t *to;

	if (!service) {
		medlar_buf_add(&request->answer, MEDLAR_STR("]}\n"));
		request_reply(request, HTTP_STATUS_OK);
		return;
	}
	to = control_get_worker(request->current->control, service->owner);
	request->current = to;
	mailbox_post(&to->inbox, &request->call, start_lookup, request);
}

static void add_hex(medlar_buf_t *out, const char *name, const uint8_t *bytes)
{
	char text[WIRE_ID_TEXT_LEN + 1];

	wire_format_id(bytes, text);
	medlar_buf_printf(out, ",\"%s\":\"%s\"", name, text);
}

static void add_entry(medlar_buf_t *out, const medlar_journal_entry_t *entry,
		      medlar_str_t result)
{
	medlar_buf_printf(out, ",\"state\":\"%s\"",
			  medlar_claim_state_name(entry->state));
	add_hex(out, "claim", entry->token.bytes);
	medlar_buf_printf(out,
			  ",\"instance\":\"%016" PRIx64
			  "\",\"time_ms\":%" PRId64 ",\"digest\":\"%016" PRIx64
			  "\",\"result\":",
			  entry->instance, entry->time, entry->digest);
	medlar_buf_add(out, result.len > 0 ? result : MEDLAR_STR("null"));
}

static void add_service(request_t *request, const char *name, int error,
			const medlar_journal_entry_t *entry,
			medlar_str_t result)
{
	medlar_buf_t *out = &request->answer;

	if (out->ptr[out->len - 1] != '[')
		medlar_buf_add(out, MEDLAR_STR(","));
	medlar_buf_printf(out, "{\"service\":\"%s\"", name);
	if (entry)
		add_entry(out, entry, result);
	else if (error == MEDLAR_ERR_NOT_FOUND)
		medlar_buf_add(out, MEDLAR_STR(",\"state\":\"absent\""));
	else
		medlar_buf_printf(out, ",\"error\":\"%s\"",
				  medlar_error_name(error));
	medlar_buf_add(out, MEDLAR_STR("}"));
	request->visit_index++;
	visit_next_service(request);
}

/**
 * writer_on_lookup() - report a journal entry; see &medlar_writes_ops_t
 * @write: the lookup
 * @error: %MEDLAR_OK, or why there is no entry
 * @entry: journal entry, or NULL
 * @result: recorded result; empty if there is none
 * @data: the &struct writer
 */
void writer_on_lookup(medlar_write_t *write, int error,
		      const medlar_journal_entry_t *entry, medlar_str_t result,
		      void *data)
{
	const writer_t *writer = data;

	add_service(medlar_write_data(write), writer->service->name, error,
		    entry, result);
}

static void start_lookup(mailbox_call_t *call, void *data)
{
	request_t *request = data;
	worker_t *worker = request->current;
	medlar_write_params_t params = {
		.deadline = worker->loop.now + LOOKUP_TIMEOUT,
		.data = request,
	};
	medlar_write_t *write;
	service_t *service;
	int error;

	(void)call;
	service = worker->services[request->visit_index];
	error = medlar_uuid_parse(medlar_str_from(request->key), &params.key);
	if (!error && !service->writer)
		error = MEDLAR_ERR_UNAVAILABLE;
	if (!error)
		error = medlar_writes_lookup(&service->writer->core, &params,
					     &write);
	if (error)
		add_service(request, service->name, error, NULL,
			    MEDLAR_STR(""));
}

/**
 * writer_handle_show() - answer GET /v1/writes/KEY; see &struct route
 * @request: request
 */
void writer_handle_show(request_t *request)
{
	const char *key = request->path + strlen(request->route->path);
	medlar_uuid_t uuid;
	int error = medlar_uuid_parse(medlar_str_from(key), &uuid);

	if (error) {
		request_refuse(request, answer_error_status(error), error,
			       "key");
		return;
	}
	memcpy(request->key, key, MEDLAR_UUID_TEXT_LEN + 1);
	medlar_buf_printf(&request->answer,
			  "{\"key\":\"%s\",\"made_ms\":%" PRId64
			  ",\"services\":[",
			  key, medlar_uuid_time(&uuid));
	request->visit = ignore_visit;
	request->visit_index = 0;
	visit_next_service(request);
}
