/**
 * DOC: choice of the entry instances that a caller should use
 *
 * The core makes the choice, at random for each answer, so that callers that
 * ask again also use instances that were added in the meantime.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "medlard/addresses.h"
#include "medlard/http_server.h"
#include "medlard/worker.h"

/* TTL of an answer while there is no configuration. */
#define TTL_DEFAULT (5 * MEDLAR_SECOND)

static uint64_t hash_text(medlar_str_t text)
{
	return medlar_str_hash(text, 0);
}

static size_t collect_candidates(medlar_address_t *candidates,
				 const instance_t *instances, size_t len)
{
	size_t count = 0;

	for (size_t i = 0; i < len; i++)
		if (!instances[i].leaving)
			candidates[count++] = (medlar_address_t){
				.id = hash_text(
					medlar_str_from(instances[i].name)),
				.zone = hash_text(
					medlar_str_from(instances[i].zone)),
				.data = &instances[i],
			};
	return count;
}

/**
 * addresses_choose() - choose instances for a caller at random
 * @choice: receives the choice; empty if out of memory
 * @instances: all instances; those that are leaving are skipped
 * @len: number of instances
 * @zone: availability zone of the caller, or an empty string
 * @client: client of the core; provides the random numbers
 */
void addresses_choose(addresses_choice_t *choice, const instance_t *instances,
		      size_t len, medlar_str_t zone, medlar_client_t *client)
{
	medlar_address_t *candidates = calloc(len + 1, sizeof(*candidates));
	medlar_address_t out[MEDLAR_ADDRESSES_MAX];

	*choice = (addresses_choice_t){ 0 };
	if (!candidates)
		return;
	len = collect_candidates(candidates, instances, len);
	choice->len = medlar_address_choose(
		client, candidates, len, hash_text(zone),
		medlar_rand_next(&client->rand), out);
	for (size_t i = 0; i < choice->len; i++) {
		choice->items[i] = out[i].data;
		choice->weights[i] = out[i].weight;
	}
	free(candidates);
}

static void add_address(medlar_buf_t *out, const instance_t *instance,
			unsigned weight)
{
	medlar_buf_add(out, MEDLAR_STR("{\"name\":"));
	medlar_buf_json_string(out, medlar_str_from(instance->name));
	medlar_buf_printf(out, ",\"host\":\"%s\",\"port\":%u,\"zone\":",
			  instance->host, instance->port);
	medlar_buf_json_string(out, medlar_str_from(instance->zone));
	medlar_buf_printf(out, ",\"weight\":%u}", weight);
}

/**
 * addresses_handle() - answer GET /v1/addresses; see &struct route
 * @request: request at its home worker
 */
void addresses_handle(request_t *request)
{
	worker_t *worker = request->home;
	medlar_buf_t zone;
	medlar_buf_t *out = &request->answer;
	addresses_choice_t choice;
	medlar_time_t ttl = worker->configured ? worker->config.address_ttl
					       : TTL_DEFAULT;

	medlar_buf_init(&zone);
	http_server_decode_argument(request, MEDLAR_STR("zone"), &zone);
	addresses_choose(&choice, worker->instances, worker->instances_len,
			 medlar_buf_str(&zone), &worker->client);
	medlar_buf_finish(&zone);
	medlar_buf_printf(out, "{\"ttl_ms\":%" PRId64 ",\"addresses\":[",
			  medlar_address_ttl(&worker->client, ttl));
	for (size_t i = 0; i < choice.len; i++) {
		if (i > 0)
			medlar_buf_add(out, MEDLAR_STR(","));
		add_address(out, choice.items[i], choice.weights[i]);
	}
	medlar_buf_add(out, MEDLAR_STR("]}\n"));
	request_reply(request, HTTP_STATUS_OK);
}
