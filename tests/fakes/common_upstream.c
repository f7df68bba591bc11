/**
 * DOC: loads the services and replicas of fake-upstream from a JSON file
 */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_upstream.h"

#define QUEUE_DEFAULT 64
#define DEAD_MS_DEFAULT 2000
#define VERSION_DEFAULT 1

static const char *get_text(struct json_object *object, const char *name,
			    const char *fallback)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value))
		return fallback;
	return json_object_get_string(value);
}

static int64_t get_number(struct json_object *object, const char *name,
			  int64_t fallback)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value))
		return fallback;
	return json_object_get_int64(value);
}

/**
 * fake_service_split_evenly() - make a map with an equal range for each shard
 * @service: service that has no map yet
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_NOMEM.
 */
int fake_service_split_evenly(fake_service_t *service)
{
	uint32_t i;

	service->map = calloc(service->shards, sizeof(*service->map));
	if (!service->map)
		return MEDLAR_ERR_NOMEM;
	service->map_len = service->shards;
	for (i = 0; i < service->shards; i++) {
		service->map[i].range.lo = MEDLAR_KEY_END * i / service->shards;
		service->map[i].range.hi = MEDLAR_KEY_END * (i + 1) /
					   service->shards;
		service->map[i].shard = i;
	}
	service->map_changed = true;
	return MEDLAR_OK;
}

/**
 * fake_service_rotate_shards() - move every range to another shard
 * @service: service; its epoch is incremented
 * @by: added to the shard number of every range, modulo the number of shards
 */
void fake_service_rotate_shards(fake_service_t *service, uint32_t by)
{
	size_t i;

	for (i = 0; i < service->map_len; i++)
		service->map[i].shard = (service->map[i].shard + by) %
					service->shards;
	service->epoch++;
	service->map_changed = true;
}

/**
 * fake_service_shift_bounds() - move the bounds between all ranges up
 * @service: service; its epoch is incremented
 * @keys: number of keys by which each bound moves
 *
 * The keys between the old and the new bound pass to the range before.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_RANGE if a range would become empty; then
 * nothing is changed.
 */
int fake_service_shift_bounds(fake_service_t *service, uint64_t keys)
{
	size_t i;

	for (i = 1; i < service->map_len; i++) {
		const medlar_range_t *range = &service->map[i].range;

		if (range->hi - range->lo <= keys)
			return MEDLAR_ERR_RANGE;
	}
	for (i = 1; i < service->map_len; i++) {
		service->map[i].range.lo += keys;
		service->map[i - 1].range.hi += keys;
	}
	service->epoch++;
	service->map_changed = true;
	return MEDLAR_OK;
}

static void load_knobs(fake_replica_knobs_t *knobs, struct json_object *json)
{
	const fake_knob_t *knob;

	*knobs = (fake_replica_knobs_t){
		.slow = 1,
		.tail_factor = 1,
		.slots = 1,
		.queue = QUEUE_DEFAULT,
		.cold_factor = 1,
		.load = -1,
		.dead_ms = DEAD_MS_DEFAULT,
	};
	for (knob = fake_replica_knob_table; knob->name; knob++) {
		const char *value = get_text(json, knob->name, NULL);

		if (value)
			fake_knob_set(fake_replica_knob_table, knobs,
				      knob->name, value);
	}
}

static int load_service(fake_service_t *service, struct json_object *json)
{
	snprintf(service->name, sizeof(service->name), "%s",
		 get_text(json, "name", ""));
	service->shards = (uint32_t)get_number(json, "shards", 1);
	service->replicas = (uint32_t)get_number(json, "replicas", 1);
	service->port = (uint16_t)get_number(json, "port", 0);
	service->epoch = 1;
	service->versions[0] = (uint32_t)get_number(json, "version",
						    VERSION_DEFAULT);
	load_knobs(&service->knobs, json);
	if (!service->name[0] || service->port == 0 || service->shards == 0 ||
	    service->replicas == 0)
		return MEDLAR_ERR_MISSING;
	return fake_service_split_evenly(service);
}

static int load_services(fake_upstream_t *upstream, struct json_object *json)
{
	size_t len = json_object_array_length(json);
	size_t i;

	upstream->services = calloc(len, sizeof(*upstream->services));
	if (!upstream->services)
		return MEDLAR_ERR_NOMEM;
	upstream->services_len = len;
	for (i = 0; i < len; i++) {
		fake_service_t *service = &upstream->services[i];
		int err;

		err = load_service(service, json_object_array_get_idx(json, i));
		if (err)
			return err;
		upstream->replicas_len += (size_t)service->shards *
					  service->replicas;
	}
	return MEDLAR_OK;
}

static int load_zones(fake_upstream_t *upstream, struct json_object *json)
{
	size_t len = json_object_array_length(json);
	size_t i;

	upstream->zones = calloc(len, sizeof(*upstream->zones));
	if (!upstream->zones)
		return MEDLAR_ERR_NOMEM;
	upstream->zones_len = len;
	for (i = 0; i < len; i++)
		snprintf(upstream->zones[i], sizeof(upstream->zones[i]), "%s",
			 json_object_get_string(
				 json_object_array_get_idx(json, i)));
	return MEDLAR_OK;
}

static int make_loops(fake_upstream_t *upstream, uint64_t seed)
{
	size_t i;

	upstream->loops = calloc(upstream->loops_len, sizeof(*upstream->loops));
	if (!upstream->loops)
		return MEDLAR_ERR_NOMEM;
	for (i = 0; i < upstream->loops_len; i++) {
		int err = fake_loop_init(&upstream->loops[i], seed + i);

		if (err)
			return err;
	}
	return MEDLAR_OK;
}

static int make_replicas(fake_upstream_t *upstream)
{
	size_t i;
	size_t n = 0;

	upstream->replicas = calloc(upstream->replicas_len,
				    sizeof(*upstream->replicas));
	if (!upstream->replicas)
		return MEDLAR_ERR_NOMEM;
	for (i = 0; i < upstream->services_len; i++) {
		fake_service_t *service = &upstream->services[i];
		uint32_t count = service->shards * service->replicas;
		uint32_t k;

		for (k = 0; k < count; k++, n++) {
			fake_replica_t *replica = &upstream->replicas[n];
			fake_loop_t *loop =
				&upstream->loops[n % upstream->loops_len];
			uint32_t index = k % service->replicas;

			fake_replica_init(replica, service, loop,
					  k / service->replicas, index);
			memcpy(replica->zone,
			       upstream->zones[index % upstream->zones_len],
			       sizeof(replica->zone));
		}
	}
	return MEDLAR_OK;
}

static int load_json(fake_upstream_t *upstream, struct json_object *json)
{
	struct json_object *services;
	struct json_object *zones;
	int err;

	snprintf(upstream->platform, sizeof(upstream->platform), "%s",
		 get_text(json, "platform", ""));
	upstream->control_port = (uint16_t)get_number(json, "control_port", 0);
	upstream->loops_len = (size_t)get_number(json, "threads", 1);
	if (!json_object_object_get_ex(json, "services", &services) ||
	    !json_object_object_get_ex(json, "zones", &zones) ||
	    json_object_array_length(zones) == 0)
		return MEDLAR_ERR_MISSING;
	err = load_zones(upstream, zones);
	if (err)
		return err;
	return load_services(upstream, services);
}

/**
 * fake_upstream_load() - read a file and create the loops and replicas
 * @upstream: memory of the caller
 * @file: name of the JSON file
 * @seed: seed of the random generators
 *
 * Return: %MEDLAR_OK or a negative error. Call fake_upstream_finish() in both
 * cases.
 */
int fake_upstream_load(fake_upstream_t *upstream, const char *file,
		       uint64_t seed)
{
	struct json_object *json = json_object_from_file(file);
	int err;

	*upstream = (fake_upstream_t){ 0 };
	if (!json)
		return MEDLAR_ERR_SYNTAX;
	err = load_json(upstream, json);
	json_object_put(json);
	if (!err)
		err = make_loops(upstream, seed);
	if (!err)
		err = make_replicas(upstream);
	return err;
}

/**
 * fake_upstream_finish() - close and free everything
 * @upstream: upstream; the threads of its loops have ended
 */
void fake_upstream_finish(fake_upstream_t *upstream)
{
	size_t i;

	for (i = 0; upstream->replicas && i < upstream->replicas_len; i++)
		fake_replica_finish(&upstream->replicas[i]);
	for (i = 0; upstream->loops && i < upstream->loops_len; i++)
		fake_loop_finish(&upstream->loops[i]);
	for (i = 0; i < upstream->services_len; i++)
		free(upstream->services[i].map);
	free(upstream->replicas);
	free(upstream->loops);
	free(upstream->services);
	free(upstream->zones);
}

/**
 * fake_upstream_lock() - lock all loops, between two of their iterations
 * @upstream: upstream
 */
void fake_upstream_lock(fake_upstream_t *upstream)
{
	size_t i;

	for (i = 0; i < upstream->loops_len; i++)
		pthread_mutex_lock(&upstream->loops[i].lock);
}

/**
 * fake_upstream_unlock() - unlock and wake all loops
 * @upstream: upstream
 */
void fake_upstream_unlock(fake_upstream_t *upstream)
{
	size_t i;

	for (i = 0; i < upstream->loops_len; i++) {
		pthread_mutex_unlock(&upstream->loops[i].lock);
		fake_loop_wake(&upstream->loops[i]);
	}
}
