/**
 * DOC: state of one replica, from its replies and from the instance list
 *
 * Load reports lag and may be wrong, so they are used only where observed
 * latency does not contradict them. Any source may mark an incarnation of
 * a replica as leaving; only a later incarnation undoes it.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define LEAVING_NONE (-1)

#define LATENCY_WEIGHT 0.1F
#define SHARD_LATENCY_WEIGHT 0.05F
#define LOAD_MAX 2.0F
#define QUEUE_WEIGHT 0.25F

/* Concurrency limit (AIMD): multiplied on a shed, raised by each reply. */
#define LIMIT_MIN 0.1F
#define LIMIT_DECREASE 0.7F
#define LIMIT_INCREASE 0.1F

/* Time for which versions reported by a replica override the list. */
#define REPORTED_VERSIONS_AGE_MAX MEDLAR_MINUTE

_Static_assert(sizeof(medlar_replica_t) <= 128, "a replica takes 128 bytes");

/**
 * medlar_replica_new() - allocate a replica that is in no shard yet
 * @info: entry of the instance list; copied
 * @id: hash of the name
 *
 * Return: a replica, released by medlar_replica_free(); NULL when out of
 * memory.
 */
medlar_replica_t *medlar_replica_new(const medlar_replica_info_t *info,
				     uint64_t id)
{
	medlar_replica_t *replica = calloc(1, sizeof(*replica));
	medlar_replica_cold_t *cold = calloc(1, sizeof(*cold));

	if (!replica || !cold) {
		free(replica);
		free(cold);
		return NULL;
	}
	cold->info = *info;
	cold->leaving_incarnation = info->leaving ? info->incarnation
						  : LEAVING_NONE;
	replica->id = id;
	replica->cold = cold;
	replica->zone = info->zone;
	replica->slow_start_since = MEDLAR_TIME_NEVER;
	replica->leaving = info->leaving;
	memcpy(replica->versions, info->versions, sizeof(replica->versions));
	return replica;
}

/**
 * medlar_replica_free() - release a replica
 * @replica: a replica that is in no shard
 */
void medlar_replica_free(medlar_replica_t *replica)
{
	free(replica->cold);
	free(replica);
}

/**
 * medlar_replica_begin_slow_start() - start the slow start of a replica
 * @replica: a replica that is new or was restarted
 * @now: current time, ms
 */
void medlar_replica_begin_slow_start(medlar_replica_t *replica,
				     medlar_time_t now)
{
	if (replica->shard->service->policy.slow_start > 0)
		replica->slow_start_since = now;
}

/**
 * medlar_replica_set_share() - set this instance's share of a replica
 * @replica: replica
 * @share: slots and connections that this instance may use
 */
void medlar_replica_set_share(medlar_replica_t *replica, medlar_share_t share)
{
	bool limited = replica->limit < (float)replica->slots;

	replica->slots = share.slots;
	replica->connections = share.connections;
	if (!limited || replica->limit > (float)share.slots)
		replica->limit = share.slots;
	medlar_shard_update_active(replica);
}

static void trace_leaving(medlar_client_t *client,
			  const medlar_replica_t *replica)
{
	const medlar_replica_info_t *info = &replica->cold->info;

	MEDLAR_TRACE(client, MEDLAR_EVENT_LEAVE,
		     MEDLAR_TEXT("replica", medlar_str_from(info->name)),
		     MEDLAR_NUM("incarnation", info->incarnation),
		     MEDLAR_NUM("leaving", replica->leaving),
		     MEDLAR_NUM("in_flight", replica->in_flight));
}

static void update_leaving(medlar_client_t *client, medlar_replica_t *replica)
{
	const medlar_replica_cold_t *cold = replica->cold;
	medlar_service_t *service = replica->shard->service;
	bool leaving = cold->leaving_incarnation >= cold->info.incarnation;

	if (replica->leaving == leaving)
		return;
	replica->leaving = leaving;
	service->generation++;
	medlar_shard_update_active(replica);
	trace_leaving(client, replica);
	if (leaving && service->ops.leaving)
		service->ops.leaving(replica, service->data);
}

/**
 * medlar_replica_set_leaving() - mark a replica as leaving
 * @client: client
 * @replica: replica
 * @incarnation: incarnation that leaves, start time in ms; 0 for the known one
 * @now: current time, ms
 *
 * Has no effect if a later incarnation is known.
 */
void medlar_replica_set_leaving(medlar_client_t *client,
				medlar_replica_t *replica,
				medlar_time_t incarnation, medlar_time_t now)
{
	medlar_replica_cold_t *cold = replica->cold;

	replica->shard->service->last_event = now;
	if (incarnation == 0)
		incarnation = cold->info.incarnation;
	if (incarnation > cold->leaving_incarnation)
		cold->leaving_incarnation = incarnation;
	update_leaving(client, replica);
}

/**
 * medlar_replica_set_incarnation() - update the incarnation of a replica
 * @client: client
 * @replica: replica
 * @incarnation: its start time, ms; ignored unless later than the known one
 * @now: current time, ms
 */
void medlar_replica_set_incarnation(medlar_client_t *client,
				    medlar_replica_t *replica,
				    medlar_time_t incarnation,
				    medlar_time_t now)
{
	medlar_replica_cold_t *cold = replica->cold;
	bool known = cold->info.incarnation != 0;

	if (incarnation <= cold->info.incarnation)
		return;
	cold->info.incarnation = incarnation;
	if (known) {
		cold->versions_reported_at = 0;
		replica->latency = 0;
		medlar_eject_reset(replica);
		medlar_replica_begin_slow_start(replica, now);
	}
	update_leaving(client, replica);
}

/**
 * medlar_replica_update() - update a replica from the instance list
 * @client: client
 * @replica: replica
 * @info: entry with an incarnation not earlier than the one known
 * @now: current time, ms
 */
void medlar_replica_update(medlar_client_t *client, medlar_replica_t *replica,
			   const medlar_replica_info_t *info, medlar_time_t now)
{
	medlar_replica_cold_t *cold = replica->cold;
	bool changed = memcmp(cold->info.versions, info->versions,
			      sizeof(info->versions)) != 0;

	medlar_replica_set_incarnation(client, replica, info->incarnation, now);
	cold->info = *info;
	replica->zone = info->zone;
	if (changed || cold->versions_reported_at == 0 ||
	    now - cold->versions_reported_at > REPORTED_VERSIONS_AGE_MAX)
		memcpy(replica->versions, info->versions,
		       sizeof(replica->versions));
	if (info->leaving)
		medlar_replica_set_leaving(client, replica, info->incarnation,
					   now);
}

/**
 * medlar_replica_set_versions() - set the index versions a replica reported
 * @client: client
 * @replica: replica
 * @versions: versions that it serves; those beyond %MEDLAR_VERSIONS_MAX are
 *	ignored
 * @len: number of @versions
 */
void medlar_replica_set_versions(medlar_client_t *client,
				 medlar_replica_t *replica,
				 const uint32_t *versions, size_t len)
{
	medlar_service_t *service = replica->shard->service;
	uint32_t reported[MEDLAR_VERSIONS_MAX] = { 0 };

	(void)client;
	if (len > MEDLAR_VERSIONS_MAX)
		len = MEDLAR_VERSIONS_MAX;
	if (len > 0)
		memcpy(reported, versions, len * sizeof(*reported));
	replica->cold->versions_reported_at = service->last_event;
	if (memcmp(replica->versions, reported, sizeof(reported)) == 0)
		return;
	memcpy(replica->versions, reported, sizeof(reported));
	service->generation++;
}

/**
 * medlar_replica_report_load() - record a load report of a replica
 * @client: client
 * @replica: replica that sent it
 * @load: report; negative members are ignored
 * @now: current time, ms
 */
void medlar_replica_report_load(medlar_client_t *client,
				medlar_replica_t *replica,
				const medlar_load_t *load, medlar_time_t now)
{
	float sum = 0;

	(void)client;
	if (!(load->utilization >= 0) && !(load->queue >= 0))
		return;
	if (load->utilization >= 0)
		sum += load->utilization;
	if (load->queue >= 0)
		sum += load->queue * QUEUE_WEIGHT;
	replica->load = sum < LOAD_MAX ? sum : LOAD_MAX;
	replica->reported_at = now;
}

/**
 * medlar_replica_begin_request() - record the start of a request to a replica
 * @client: client
 * @replica: replica
 * @now: current time, ms
 */
void medlar_replica_begin_request(medlar_client_t *client,
				  medlar_replica_t *replica, medlar_time_t now)
{
	(void)client;
	replica->shard->service->last_event = now;
	replica->in_flight++;
	if (replica->health == MEDLAR_HEALTH_EJECTED &&
	    now >= replica->ejected_until)
		replica->health = MEDLAR_HEALTH_HALF_OPEN;
}

static void update_latency(medlar_replica_t *replica, float took, bool finished)
{
	medlar_shard_t *shard = replica->shard;

	if (!finished && took <= replica->latency)
		return;
	if (replica->latency == 0)
		replica->latency = took;
	else
		replica->latency += LATENCY_WEIGHT * (took - replica->latency);
	if (!finished)
		return;
	if (shard->latency == 0)
		shard->latency = took;
	else
		shard->latency += SHARD_LATENCY_WEIGHT *
				  (took - shard->latency);
}

static void lower_limit(medlar_client_t *client, medlar_replica_t *replica,
			medlar_time_t now)
{
	float used = (float)replica->in_flight + 1;

	if (replica->shed_at != 0 &&
	    now - replica->shed_at <= (medlar_time_t)replica->latency)
		return;
	replica->shed_at = now;
	if (replica->limit > used)
		replica->limit = used;
	replica->limit *= LIMIT_DECREASE;
	if (replica->limit < LIMIT_MIN)
		replica->limit = LIMIT_MIN;
	MEDLAR_TRACE(client, MEDLAR_EVENT_LIMIT,
		     MEDLAR_TEXT("replica",
				 medlar_str_from(replica->cold->info.name)),
		     MEDLAR_NUM("limit_percent", replica->limit * 100),
		     MEDLAR_NUM("slots", replica->slots));
}

static void raise_limit(medlar_replica_t *replica)
{
	float step = LIMIT_INCREASE;

	if (replica->limit > 1)
		step /= replica->limit;
	replica->limit += step;
	if (replica->limit > (float)replica->slots)
		replica->limit = replica->slots;
}

static void free_removed(medlar_replica_t *replica)
{
	medlar_replica_t **at = &replica->shard->service->removed;

	while (*at != replica)
		at = &(*at)->cold->next;
	*at = replica->cold->next;
	medlar_replica_free(replica);
}

/**
 * medlar_replica_end_request() - record the end of a request to a replica
 * @client: client
 * @replica: replica; invalid afterwards if it was removed and this was its
 *	last request
 * @result: how the request ended
 * @took: time since it was sent, ms
 * @now: current time, ms
 *
 * A shed is not a latency sample, however fast it was. For a cancelled request
 * @took is a lower bound, used as a sample only if it is above the average.
 */
void medlar_replica_end_request(medlar_client_t *client,
				medlar_replica_t *replica,
				medlar_request_result_t result,
				medlar_time_t took, medlar_time_t now)
{
	replica->shard->service->last_event = now;
	if (replica->in_flight > 0)
		replica->in_flight--;
	if (replica->cold->removed) {
		if (replica->in_flight == 0)
			free_removed(replica);
		return;
	}
	replica->ended_at = now;
	if (result == MEDLAR_RESULT_OK)
		raise_limit(replica);
	if (result == MEDLAR_RESULT_SHED)
		lower_limit(client, replica, now);
	if (result == MEDLAR_RESULT_OK || result == MEDLAR_RESULT_CANCELLED)
		update_latency(replica, (float)took,
			       result == MEDLAR_RESULT_OK);
	medlar_eject_update(client, replica, result, took, now);
}

/**
 * medlar_replica_info() - newest entry of the instance list for a replica
 * @replica: replica
 *
 * Return: the entry, valid as long as the replica.
 */
const medlar_replica_info_t *
medlar_replica_info(const medlar_replica_t *replica)
{
	return &replica->cold->info;
}

/**
 * medlar_replica_id() - id of a replica
 * @replica: replica
 *
 * Return: hash of its name.
 */
uint64_t medlar_replica_id(const medlar_replica_t *replica)
{
	return replica->id;
}

/**
 * medlar_replica_in_flight() - requests of this instance in flight
 * @replica: replica
 *
 * Return: number of requests sent and not ended.
 */
uint32_t medlar_replica_in_flight(const medlar_replica_t *replica)
{
	return replica->in_flight;
}

/**
 * medlar_replica_share() - this instance's share of a replica
 * @replica: replica
 *
 * Return: the current share; surplus connections must be closed.
 */
medlar_share_t medlar_replica_share(const medlar_replica_t *replica)
{
	return (medlar_share_t){ replica->slots, replica->connections };
}

/**
 * medlar_replica_serves() - whether a replica serves an index version
 * @replica: replica
 * @version: version, or 0 for any
 *
 * Return: true if it does, or if @version is 0.
 */
bool medlar_replica_serves(const medlar_replica_t *replica, uint32_t version)
{
	unsigned i;

	if (version == 0)
		return true;
	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++)
		if (replica->versions[i] == version)
			return true;
	return false;
}

/**
 * medlar_replica_usable() - whether a replica may get new requests
 * @replica: replica
 * @now: current time, ms
 *
 * Return: true if it is neither leaving nor ejected and this instance has
 * a share of it; it may still be at its concurrency limit.
 */
bool medlar_replica_usable(const medlar_replica_t *replica, medlar_time_t now)
{
	if (replica->leaving || replica->slots == 0)
		return false;
	return replica->health == MEDLAR_HEALTH_GOOD ||
	       now >= replica->ejected_until;
}

/**
 * medlar_replica_data() - user data of a replica
 * @replica: replica
 *
 * Return: the pointer set last; NULL at first.
 */
void *medlar_replica_data(const medlar_replica_t *replica)
{
	return replica->cold->data;
}

/**
 * medlar_replica_set_data() - attach user data to a replica
 * @replica: replica
 * @data: any pointer; not freed with the replica
 */
void medlar_replica_set_data(medlar_replica_t *replica, void *data)
{
	replica->cold->data = data;
}
