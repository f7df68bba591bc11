/**
 * DOC: start, crash, drain and versions of the replicas of fake-upstream
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_call.h"

#define KNOB(name)                                          \
	{                                                   \
#name, offsetof(fake_replica_knobs_t, name) \
	}

/** fake_replica_knob_table - names of the knobs of a replica */
const fake_knob_t fake_replica_knob_table[] = {
	KNOB(mean_ms),	   KNOB(sigma),	  KNOB(slow),	 KNOB(tail_share),
	KNOB(tail_factor), KNOB(slots),	  KNOB(queue),	 KNOB(connections),
	KNOB(connect_ms),  KNOB(shed),	  KNOB(drain),	 KNOB(cold_ms),
	KNOB(cold_factor), KNOB(load),	  KNOB(crossed), KNOB(late),
	KNOB(late_ms),	   KNOB(dead_ms), KNOB(fence),	 { NULL, 0 },
};

/**
 * fake_service_find_shard() - find the shard that holds a key
 * @service: service
 * @key: key
 *
 * Return: shard number.
 */
uint32_t fake_service_find_shard(const fake_service_t *service, uint64_t key)
{
	size_t i;

	for (i = 0; i < service->map_len; i++) {
		if (key < service->map[i].range.hi)
			return service->map[i].shard;
	}
	return 0;
}

/**
 * fake_service_shard_holds() - check whether a shard holds a whole range
 * @service: service
 * @shard: shard number
 * @range: range of keys
 *
 * Return: true if it does.
 */
bool fake_service_shard_holds(const fake_service_t *service, uint32_t shard,
			      medlar_range_t range)
{
	size_t i;

	for (i = 0; i < service->map_len; i++) {
		const medlar_map_entry_t *entry = &service->map[i];

		if (entry->range.lo < range.hi && range.lo < entry->range.hi &&
		    entry->shard != shard)
			return false;
	}
	return true;
}

/**
 * fake_replica_write_versions() - write the index versions that are served
 * @replica: replica
 * @out: buffer to append decimal numbers to, separated by commas
 */
void fake_replica_write_versions(const fake_replica_t *replica,
				 medlar_buf_t *out)
{
	const char *separator = "";
	size_t i;

	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++) {
		if (replica->versions[i] == 0)
			continue;
		medlar_buf_printf(out, "%s%u", separator, replica->versions[i]);
		separator = ",";
	}
}

static void restart_replica(fake_replica_t *replica)
{
	replica->down = false;
	replica->registered = false;
	replica->incarnation = fake_wall_time_ms();
	replica->started_at = fake_now();
	if (fake_port_open(&replica->port) != MEDLAR_OK)
		fprintf(stderr, "fake-upstream: cannot listen on port %u\n",
			replica->port.port);
}

static void on_crash_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	fake_replica_t *replica = data;

	if (replica->down) {
		restart_replica(replica);
		return;
	}
	replica->down = true;
	replica->registered = false;
	replica->stats.deaths++;
	fake_port_close(&replica->port);
	medlar_timer_set(client, timer,
			 now + (medlar_time_t)(replica->knobs.dead_ms *
					       FAKE_MILLISECOND));
}

/**
 * fake_replica_crash() - reset all connections and stop listening for a while
 * @replica: replica; crashes in the next iteration of its loop
 * @dead_ms: time until it starts again, milliseconds
 */
void fake_replica_crash(fake_replica_t *replica, double dead_ms)
{
	if (replica->down)
		return;
	replica->knobs.dead_ms = dead_ms;
	medlar_timer_set(&replica->port.loop->client, &replica->crash_timer,
			 fake_now());
}

/**
 * fake_replica_publish() - serve another index version
 * @replica: replica
 * @version: version; replaces the oldest one if %MEDLAR_VERSIONS_MAX are served
 */
void fake_replica_publish(fake_replica_t *replica, uint32_t version)
{
	uint32_t *versions = replica->versions;
	size_t oldest = 0;
	size_t i;

	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++) {
		if (versions[i] == version)
			return;
		if (versions[i] < versions[oldest])
			oldest = i;
	}
	versions[oldest] = version;
	replica->registered = false;
}

/**
 * fake_replica_retire() - stop serving an index version
 * @replica: replica
 * @version: version
 */
void fake_replica_retire(fake_replica_t *replica, uint32_t version)
{
	size_t i;

	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++) {
		if (replica->versions[i] == version)
			replica->versions[i] = 0;
	}
	replica->registered = false;
}

/**
 * fake_replica_apply_knobs() - apply changed knobs for connections and drain
 * @replica: replica
 */
void fake_replica_apply_knobs(fake_replica_t *replica)
{
	bool draining = replica->knobs.drain > 0;

	replica->port.connections_max = (unsigned)replica->knobs.connections;
	if (draining == (replica->drain_started_at > 0))
		return;
	replica->drain_started_at = draining ? fake_now() : 0;
	replica->registered = false;
}

/**
 * fake_replica_init() - initialise a replica without starting it
 * @replica: memory of the caller
 * @service: service that it belongs to
 * @loop: event loop that is to run it
 * @shard: number of the shard that it serves
 * @index: number of the replica in its shard
 *
 * Return: %MEDLAR_OK.
 */
int fake_replica_init(fake_replica_t *replica, fake_service_t *service,
		      fake_loop_t *loop, uint32_t shard, uint32_t index)
{
	uint32_t number = shard * service->replicas + index;

	*replica = (fake_replica_t){ .service = service,
				     .shard = shard,
				     .index = index,
				     .knobs = service->knobs };
	snprintf(replica->name, sizeof(replica->name), "%.40s-%u-%u",
		 service->name, shard, index);
	memcpy(replica->versions, service->versions, sizeof(replica->versions));
	medlar_buf_init(&replica->last_reply.body);
	medlar_timer_init(&replica->crash_timer, on_crash_timer, replica);
	fake_port_init(&replica->port, loop, (uint16_t)(service->port + number),
		       &fake_call_ops, replica);
	fake_replica_apply_knobs(replica);
	return MEDLAR_OK;
}

/**
 * fake_replica_start() - start to listen for requests
 * @replica: an initialised replica
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_IO.
 */
int fake_replica_start(fake_replica_t *replica)
{
	replica->incarnation = fake_wall_time_ms();
	replica->started_at = fake_now();
	return fake_port_open(&replica->port);
}

/**
 * fake_replica_finish() - close and free a replica
 * @replica: replica; the thread of its loop has ended
 */
void fake_replica_finish(fake_replica_t *replica)
{
	fake_port_close(&replica->port);
	medlar_buf_finish(&replica->last_reply.body);
	free(replica->executions);
	replica->executions = NULL;
}
