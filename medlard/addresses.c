/**
 * DOC: the answer to callers that ask which instances to use
 *
 * A caller gets a few instances, drawn at random so that callers spread. The
 * ones in its zone come first, and one place is kept for another zone.
 */
#include <inttypes.h>

#include "medlard/addresses.h"
#include "medlard/worker.h"

#define WEIGHT_NEAR 100
#define WEIGHT_FAR 25
#define TTL_DEFAULT (5 * MEDLAR_SECOND)

static bool in_zone(const instance_t *instance, medlar_str_t zone)
{
	return medlar_str_equal(medlar_str_from(instance->zone), zone);
}

static bool is_chosen(const addresses_choice_t *choice,
		      const instance_t *instance)
{
	for (size_t i = 0; i < choice->len; i++)
		if (choice->items[i] == instance)
			return true;
	return false;
}

/* Draws one instance that is near, or far, and has not been chosen. */
static bool draw(addresses_choice_t *choice, const instance_t *instances,
		 size_t len, medlar_str_t zone, bool near, medlar_rand_t *rand)
{
	const instance_t *drawn = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < len; i++) {
		if (instances[i].leaving ||
		    in_zone(&instances[i], zone) != near ||
		    is_chosen(choice, &instances[i]))
			continue;
		if (medlar_rand_below(rand, ++seen) == 0)
			drawn = &instances[i];
	}
	if (!drawn)
		return false;
	choice->items[choice->len] = drawn;
	choice->weights[choice->len++] = near ? WEIGHT_NEAR : WEIGHT_FAR;
	return true;
}

static void even_out(addresses_choice_t *choice)
{
	for (size_t i = 0; i < choice->len; i++)
		choice->weights[i] = WEIGHT_NEAR;
}

/**
 * addresses_choose() - draw instances for a caller
 * @choice: filled in
 * @instances: instances; those that are leaving are passed over
 * @len: how many
 * @zone: availability zone of the caller, or an empty string
 * @rand: generator
 */
void addresses_choose(addresses_choice_t *choice, const instance_t *instances,
		      size_t len, medlar_str_t zone, medlar_rand_t *rand)
{
	bool has_near;

	*choice = (addresses_choice_t){ 0 };
	while (choice->len < ADDRESSES_MAX - 1 &&
	       draw(choice, instances, len, zone, true, rand))
		;
	has_near = choice->len > 0;
	while (choice->len < ADDRESSES_MAX &&
	       draw(choice, instances, len, zone, false, rand))
		;
	if (choice->len < ADDRESSES_MAX)
		(void)draw(choice, instances, len, zone, true, rand);
	if (!has_near)
		even_out(choice);
}

static void add_item(medlar_buf_t *out, const instance_t *instance,
		     unsigned weight)
{
	medlar_buf_add(out, MEDLAR_STR("{\"name\":"));
	medlar_buf_json_string(out, medlar_str_from(instance->name));
	medlar_buf_printf(out, ",\"host\":\"%s\",\"port\":%u,\"zone\":",
			  instance->host, instance->port);
	medlar_buf_json_string(out, medlar_str_from(instance->zone));
	medlar_buf_printf(out, ",\"weight\":%u}", weight);
}

static void trace(worker_t *worker, medlar_str_t zone,
		  const addresses_choice_t *choice)
{
	for (size_t i = 0; i < choice->len; i++)
		MEDLAR_TRACE(
			&worker->client, MEDLAR_EVENT_ADDRESS,
			MEDLAR_TEXT("zone", zone),
			MEDLAR_TEXT("instance",
				    medlar_str_from(choice->items[i]->name)),
			MEDLAR_NUM("weight", choice->weights[i]));
}

/**
 * addresses_handle() - answer /v1/addresses; see &struct route
 * @request: request
 */
void addresses_handle(request_t *request)
{
	worker_t *worker = request->home;
	const char *asked = MHD_lookup_connection_value(
		request->connection, MHD_GET_ARGUMENT_KIND, "zone");
	medlar_str_t zone = medlar_str_from(asked ? asked : "");
	medlar_buf_t *out = &request->answer;
	addresses_choice_t choice;

	addresses_choose(&choice, worker->instances, worker->instances_len,
			 zone, &worker->client.rand);
	trace(worker, zone, &choice);
	medlar_buf_printf(out, "{\"ttl_ms\":%" PRId64 ",\"addresses\":[",
			  worker->configured ? worker->config.address_ttl
					     : TTL_DEFAULT);
	for (size_t i = 0; i < choice.len; i++) {
		if (i > 0)
			medlar_buf_add(out, MEDLAR_STR(","));
		add_item(out, choice.items[i], choice.weights[i]);
	}
	medlar_buf_add(out, MEDLAR_STR("]}\n"));
	request_reply(request, MHD_HTTP_OK);
}
