/* Test fixture: a service with one shard and a few replicas. */
#ifndef TESTS_COMMON_SERVICE_H
#define TESTS_COMMON_SERVICE_H

#include <stdio.h>

#include "libmedlar/medlar.h"

typedef struct fixture {
	medlar_client_t client;
	medlar_service_t service;
} fixture_t;

static inline medlar_replica_info_t make_replica_info(unsigned number)
{
	medlar_replica_info_t info = {};

	snprintf(info.name, sizeof(info.name), "r%u", number);
	snprintf(info.host, sizeof(info.host), "127.0.0.1");
	info.slots = 4;
	info.connections = 25;
	info.incarnation = 1000;
	info.versions[0] = 7;
	return info;
}

static inline uint64_t id_of(unsigned number)
{
	medlar_replica_info_t info = make_replica_info(number);

	return medlar_str_hash(medlar_str_from(info.name), 0);
}

static inline medlar_replica_t *replica_of(fixture_t *fixture, unsigned number)
{
	return medlar_service_find_replica(&fixture->service, id_of(number));
}

static inline void set_up(fixture_t *fixture, unsigned replicas, uint64_t seed)
{
	const medlar_service_ops_t ops = {};
	medlar_policy_t policy;
	unsigned i;

	medlar_client_init(&fixture->client, MEDLAR_STR("a"), 0, seed);
	medlar_policy_default(&policy, "search");
	medlar_service_init(&fixture->client, &fixture->service, &policy, &ops,
			    NULL, 0);
	for (i = 0; i < replicas; i++) {
		medlar_replica_info_t info = make_replica_info(i);

		medlar_service_put_replica(&fixture->client, &fixture->service,
					   &info, 0);
	}
}

static inline void tear_down(fixture_t *fixture)
{
	medlar_service_finish(&fixture->client, &fixture->service);
	medlar_client_finish(&fixture->client);
}

static inline medlar_replica_t *pick_replica(fixture_t *fixture,
					     medlar_time_t now)
{
	const medlar_pick_t pick = {};
	medlar_replica_t *replica = NULL;

	medlar_replica_pick(&fixture->client,
			    medlar_service_shard(&fixture->service, 0), &pick,
			    now, &replica);
	return replica;
}

/* Records one request to a replica, from start to end. */
static inline void end_request(fixture_t *fixture, medlar_replica_t *replica,
			       medlar_request_result_t result,
			       medlar_time_t took, medlar_time_t now)
{
	medlar_replica_begin_request(&fixture->client, replica, now);
	medlar_replica_end_request(&fixture->client, replica, result, took,
				   now);
}

#endif
