/**
 * DOC: replies and random service times of the replicas of fake-upstream
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "common_call.h"

/* Draws from the standard normal distribution (Box-Muller transform). */
static double draw_normal(medlar_rand_t *rand)
{
	double radius = sqrt(-2 * log(1 - medlar_rand_unit(rand)));

	return radius * cos(2 * M_PI * medlar_rand_unit(rand));
}

static double cold_factor(const fake_replica_t *replica)
{
	const fake_replica_knobs_t *knobs = &replica->knobs;
	double age = (double)(fake_now() - replica->started_at) /
		     (double)FAKE_MILLISECOND;

	if (knobs->cold_ms <= 0 || age >= knobs->cold_ms)
		return 1;
	return 1 + (knobs->cold_factor - 1) * (1 - age / knobs->cold_ms);
}

/**
 * fake_call_draw_service_time() - draw a random service time from the knobs
 * @replica: replica that executes the request
 *
 * Return: service time in microseconds.
 */
medlar_time_t fake_call_draw_service_time(const fake_replica_t *replica)
{
	const fake_replica_knobs_t *knobs = &replica->knobs;
	medlar_rand_t *rand = &replica->port.loop->client.rand;
	double ms = knobs->mean_ms * knobs->slow;

	if (knobs->sigma > 0)
		ms *= exp(knobs->sigma * draw_normal(rand) -
			  knobs->sigma * knobs->sigma / 2);
	if (fake_rand_chance(rand, knobs->tail_share))
		ms *= knobs->tail_factor;
	return (medlar_time_t)(ms * cold_factor(replica) * FAKE_MILLISECOND);
}

static void add_state_headers(const fake_replica_t *replica,
			      struct MHD_Response *response)
{
	const fake_replica_knobs_t *knobs = &replica->knobs;
	unsigned in_flight = replica->running + replica->queued;
	double load = knobs->load;
	medlar_buf_t versions;
	char text[96];

	medlar_buf_init(&versions);
	fake_replica_write_versions(replica, &versions);
	MHD_add_response_header(response, "Medlar-Versions",
				medlar_buf_str(&versions).ptr);
	medlar_buf_finish(&versions);
	MHD_add_response_header(response, "Medlar-State",
				replica->drain_started_at ? "leaving" : "live");
	snprintf(text, sizeof(text), "%lld", (long long)replica->incarnation);
	MHD_add_response_header(response, "Medlar-Incarnation", text);
	if (load < 0)
		load = in_flight / knobs->slots;
	snprintf(text, sizeof(text),
		 "TEXT application_utilization=%.3f,named_metrics.queue=%u",
		 load, knobs->load < 0 ? replica->queued : 0);
	MHD_add_response_header(response, "endpoint-load-metrics", text);
}

/**
 * fake_call_make_response() - make a reply with the state headers of a replica
 * @replica: replica
 * @body: body, copied
 * @id: request id to echo
 * @executed: whether the request was executed, ``yes`` or ``no``; NULL to
 *            leave the header out
 *
 * Return: the reply, never NULL; the caller owns it.
 */
struct MHD_Response *fake_call_make_response(const fake_replica_t *replica,
					     medlar_str_t body, const char *id,
					     const char *executed)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		body.len, (void *)body.ptr, MHD_RESPMEM_MUST_COPY);

	if (!response)
		abort();
	MHD_add_response_header(response, "Medlar-Request-Id", id);
	if (executed)
		MHD_add_response_header(response, "Medlar-Executed", executed);
	add_state_headers(replica, response);
	return response;
}

/**
 * fake_call_write_result() - write the JSON result of a query or write
 * @call: query or write
 * @out: buffer to append to: replica, version and range that served the call,
 *       and the body of the request
 */
void fake_call_write_result(const fake_call_t *call, medlar_buf_t *out)
{
	const fake_replica_t *replica = call->replica;
	const medlar_buf_t *body = &call->request->body;
	const char *kind = fake_request_header(call->request, "Medlar-Kind");

	medlar_buf_printf(out,
			  "{\"service\":\"%s\",\"shard\":%u,\"replica\":\"%s\","
			  "\"version\":%u,\"lo\":%llu,\"hi\":%llu,"
			  "\"kind\":\"%s\",\"echo\":",
			  replica->service->name, replica->shard, replica->name,
			  call->version, (unsigned long long)call->range.lo,
			  (unsigned long long)call->range.hi, kind ? kind : "");
	medlar_buf_add(out,
		       body->len ? medlar_buf_str(body) : MEDLAR_STR("null"));
	medlar_buf_add(out, MEDLAR_STR("}"));
}
