/**
 * DOC: the answer to callers that ask which instances to use
 *
 * The choice is the core's. Each answer is drawn anew, so that callers that
 * ask again spread over instances that have come since.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "medlard/addresses.h"
#include "medlard/worker.h"

#define TTL_DEFAULT (5 * MEDLAR_SECOND)

static uint64_t hash_of(const char *text)
{
	return medlar_str_hash(medlar_str_from(text), 0);
}

static size_t choose(worker_t *worker, const char *zone,
		     medlar_address_t out[MEDLAR_ADDRESSES_MAX])
{
	medlar_address_t *from = calloc(worker->instances_len + 1,
					sizeof(*from));
	size_t len = 0;
	size_t chosen;

	if (!from)
		return 0;
	for (size_t i = 0; i < worker->instances_len; i++) {
		const instance_t *instance = &worker->instances[i];

		if (!instance->leaving)
			from[len++] = (medlar_address_t){
				.id = hash_of(instance->name),
				.zone = hash_of(instance->zone),
				.data = instance,
			};
	}
	chosen = medlar_address_choose(
		&worker->client, from, len, hash_of(zone),
		medlar_rand_next(&worker->client.rand), out);
	free(from);
	return chosen;
}

static void add_item(medlar_buf_t *out, const medlar_address_t *address)
{
	const instance_t *instance = address->data;

	medlar_buf_add(out, MEDLAR_STR("{\"name\":"));
	medlar_buf_json_string(out, medlar_str_from(instance->name));
	medlar_buf_printf(out, ",\"host\":\"%s\",\"port\":%u,\"zone\":",
			  instance->host, instance->port);
	medlar_buf_json_string(out, medlar_str_from(instance->zone));
	medlar_buf_printf(out, ",\"weight\":%" PRIu32 "}", address->weight);
}

/**
 * addresses_handle() - answer /v1/addresses; see &struct route
 * @request: request
 */
void addresses_handle(request_t *request)
{
	worker_t *worker = request->home;
	const char *zone = MHD_lookup_connection_value(
		request->connection, MHD_GET_ARGUMENT_KIND, "zone");
	medlar_buf_t *out = &request->answer;
	medlar_address_t chosen[MEDLAR_ADDRESSES_MAX];
	medlar_time_t ttl = TTL_DEFAULT;
	size_t len = choose(worker, zone ? zone : "", chosen);

	if (worker->configured)
		ttl = worker->config.address_ttl;
	medlar_buf_printf(out, "{\"ttl_ms\":%" PRId64 ",\"addresses\":[",
			  medlar_address_ttl(&worker->client, ttl));
	for (size_t i = 0; i < len; i++) {
		if (i > 0)
			medlar_buf_add(out, MEDLAR_STR(","));
		add_item(out, &chosen[i]);
	}
	medlar_buf_add(out, MEDLAR_STR("]}\n"));
	request_reply(request, MHD_HTTP_OK);
}
