/* A fleet and an exchange on a virtual clock, for tests of libroute. */
#ifndef TESTS_ROUTE_WORLD_H
#define TESTS_ROUTE_WORLD_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "libroute/exchange.h"

#define WORLD_SENDS_MAX 64
#define WORLD_START 100000

/* An attempt that was sent and has not ended. */
typedef struct world_send {
	attempt_t *attempt;
	flight_t flight;
} world_send_t;

typedef struct world {
	medlar_client_t client;
	fleet_t fleet;
	suspects_t suspects;
	exchange_setup_t setup;
	exchange_t exchange;
	routes_t *routes;
	medlar_time_t now;
	world_send_t sends[WORLD_SENDS_MAX];
	size_t sends_len;
	size_t hedges;
	size_t dropped;
	bool answered;
	answer_t how;
	size_t ok;
} world_t;

static int world_on_send(attempt_t *attempt, void *data)
{
	world_t *world = data;
	world_send_t *send = &world->sends[world->sends_len++];

	assert_true(world->sends_len <= WORLD_SENDS_MAX);
	send->attempt = attempt;
	attempt->io = send;
	flight_begin(&send->flight, attempt->replica, world->now);
	return MEDLAR_OK;
}

static bool world_on_drop(attempt_t *attempt, void *data)
{
	world_t *world = data;
	world_send_t *send = attempt->io;

	flight_end(&send->flight, FLIGHT_FORGOTTEN, world->now);
	attempt->io = NULL;
	send->attempt = NULL;
	world->dropped++;
	return false;
}

static void world_on_answer(exchange_t *exchange, answer_t how,
			    const exchange_reply_t *reply, void *data)
{
	world_t *world = data;

	(void)reply;
	assert_false(world->answered);
	world->answered = true;
	world->how = how;
	world->ok = exchange->ok;
}

static void world_on_note(const attempt_t *attempt, const char *event,
			  outcome_t outcome, void *data)
{
	world_t *world = data;

	(void)attempt;
	(void)outcome;
	if (strcmp(event, "hedge") == 0)
		world->hedges++;
}

static const exchange_events_t world_events = {
	.send = world_on_send,
	.drop = world_on_drop,
	.answer = world_on_answer,
	.note = world_on_note,
};

static inline void world_init(world_t *world, double ratio, double slack)
{
	const spend_limits_t limits = { ratio, slack, 10000 };

	memset(world, 0, sizeof(*world));
	world->now = WORLD_START;
	medlar_client_init(&world->client, MEDLAR_STR("test"), 0, 1);
	fleet_init(&world->fleet, MEDLAR_STR("a"), &limits, NULL, NULL);
	world->setup = (exchange_setup_t){
		.client = &world->client,
		.fleet = &world->fleet,
		.suspects = &world->suspects,
		.margin = 8,
		.events = &world_events,
		.data = world,
	};
	world->routes = routes_new(1);
}

/* Adds a replica; those of zone "a" are near. */
static inline replica_t *world_replica(world_t *world, const char *service,
				       const char *id, const char *zone)
{
	const replica_info_t info = {
		.id = medlar_str_from(id),
		.service = medlar_str_from(service),
		.zone = medlar_str_from(zone),
		.ip = 1,
		.port = 1,
		.slots = 2,
	};
	fleet_service_t *found;

	assert_int_equal(fleet_update(&world->fleet, &info, world->now), 0);
	found = fleet_service(&world->fleet, info.service, world->now);
	found->connections_max = 100;
	return fleet_find(&world->fleet, info.id);
}

static inline route_t *world_route(world_t *world, route_form_t form,
				   bool idempotent, size_t services)
{
	route_t *route = routes_add(world->routes);

	route->name = strdup("r");
	route->host = strdup("h");
	route->prefix = strdup("/");
	route->form = form;
	route->idempotent = idempotent;
	route->timeout = 400;
	route->target_latency = 80;
	route->attempts_max = 2;
	route->top_k = 5;
	route->coverage_min = 0.89;
	for (size_t i = 0; i < services; i++) {
		char name[32];

		(void)snprintf(name, sizeof(name), "s%zu", i);
		*route_add_target(route) = (route_target_t){ strdup(name), 1 };
	}
	assert_int_equal(routes_finalize(world->routes), MEDLAR_OK);
	return route;
}

/* Three replicas for each of the services s0, s1 and so on. */
static inline void world_replicas(world_t *world, size_t services)
{
	for (size_t i = 0; i < services; i++)
		for (int j = 0; j < 3; j++) {
			char name[32];
			char id[32];
			const char *const zones[] = { "a", "b", "c" };

			(void)snprintf(name, sizeof(name), "s%zu", i);
			(void)snprintf(id, sizeof(id), "s%zu-%d", i, j);
			world_replica(world, name, id, zones[j]);
		}
}

static inline void world_start(world_t *world)
{
	const route_t *route = &world->routes->routes[0];

	world->sends_len = 0;
	world->answered = false;
	assert_int_equal(exchange_init(&world->exchange, &world->setup,
				       world->routes, route, 400, world->now),
			 MEDLAR_OK);
	world->exchange.fingerprint = 7;
	exchange_start(&world->exchange, world->now);
}

static inline void world_run(world_t *world, medlar_time_t until)
{
	for (; world->now < until; world->now++)
		medlar_client_run(&world->client, world->now);
}

static inline void world_end(world_t *world, size_t index, outcome_t outcome)
{
	world_send_t *send = &world->sends[index];
	const exchange_reply_t reply = { .outcome = outcome,
					 .proof = MEDLAR_STR("proof"),
					 .body = MEDLAR_STR("0123456789abcdef"),
					 .message = world };

	assert_non_null(send->attempt);
	flight_end(&send->flight, outcome_flight(outcome), world->now);
	exchange_end(send->attempt, &reply, world->now);
	send->attempt = NULL;
}

static inline void world_finish(world_t *world)
{
	if (!world->answered)
		exchange_cancel(&world->exchange);
	exchange_finish(&world->exchange);
	routes_release(world->routes);
	fleet_finish(&world->fleet);
	medlar_client_finish(&world->client);
}

#endif
