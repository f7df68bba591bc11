/**
 * DOC: what is known of one upstream, from its replies and from others
 *
 * Load reports lag and mislead, so they only weigh where own observations do
 * not contradict them. Whether a replica leaves is decided by incarnations:
 * the first to tell is believed, and only a later incarnation undoes it.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define LEFT_NONE (-1)

#define LATENCY_WEIGHT 0.1F
#define SHARD_LATENCY_WEIGHT 0.05F
#define LOAD_MAX 2.0F
#define QUEUE_WEIGHT 0.25F

/* Limit on requests in flight: multiplied on sheds, raised by replies. */
#define LIMIT_MIN 0.1F
#define LIMIT_DECREASE 0.7F
#define LIMIT_INCREASE 0.1F

/* Versions that a replica told itself outweigh the list for this time. */
#define ANNOUNCED_FRESH MEDLAR_MINUTE

_Static_assert(sizeof(medlar_replica_t) <= 128, "a replica takes 128 bytes");

/**
 * medlar_replica_new() - a replica that is in no shard yet
 * @info: entry of the instance list
 * @id: hash of the name
 *
 * Return: a replica for medlar_replica_free(), or NULL when out of memory.
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
						  : LEFT_NONE;
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
 * medlar_replica_begin_slow_start() - begin the slow start of a replica
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
 * medlar_replica_set_share() - put a share into force
 * @replica: replica
 * @share: what this instance may use of it
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
 * medlar_replica_leave() - learn that a replica is leaving
 * @client: client
 * @replica: replica
 * @incarnation: its start time as told with the news, ms; 0 when not told
 * @now: current time, ms
 *
 * News of an earlier incarnation than the one known is ignored.
 */
void medlar_replica_leave(medlar_client_t *client, medlar_replica_t *replica,
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
 * medlar_replica_started() - learn the incarnation of a replica
 * @client: client
 * @replica: replica
 * @incarnation: its start time, ms; one not later than known is ignored
 * @now: current time, ms
 */
void medlar_replica_started(medlar_client_t *client, medlar_replica_t *replica,
			    medlar_time_t incarnation, medlar_time_t now)
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
 * medlar_replica_update() - take over an entry of the instance list
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

	medlar_replica_started(client, replica, info->incarnation, now);
	cold->info = *info;
	replica->zone = info->zone;
	if (changed || cold->versions_reported_at == 0 ||
	    now - cold->versions_reported_at > ANNOUNCED_FRESH)
		memcpy(replica->versions, info->versions,
		       sizeof(replica->versions));
	if (info->leaving)
		medlar_replica_leave(client, replica, info->incarnation, now);
}

/**
 * medlar_replica_set_versions() - learn the index versions from the replica itself
 * @client: client
 * @replica: replica
 * @versions: versions that it serves; those beyond %MEDLAR_VERSIONS_MAX are
 *	ignored
 * @len: how many
 */
void medlar_replica_set_versions(medlar_client_t *client,
				 medlar_replica_t *replica,
				 const uint32_t *versions, size_t len)
{
	medlar_service_t *service = replica->shard->service;
	uint32_t told[MEDLAR_VERSIONS_MAX] = { 0 };

	(void)client;
	if (len > MEDLAR_VERSIONS_MAX)
		len = MEDLAR_VERSIONS_MAX;
	if (len > 0)
		memcpy(told, versions, len * sizeof(*told));
	replica->cold->versions_reported_at = service->last_event;
	if (memcmp(replica->versions, told, sizeof(told)) == 0)
		return;
	memcpy(replica->versions, told, sizeof(told));
	service->generation++;
}

/**
 * medlar_replica_report() - take in a load report
 * @client: client
 * @replica: replica that sent it
 * @load: report; negative members are ignored
 * @now: current time, ms
 */
void medlar_replica_report(medlar_client_t *client, medlar_replica_t *replica,
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
 * medlar_replica_sent() - a request was sent to a replica
 * @client: client
 * @replica: replica
 * @now: current time, ms
 */
void medlar_replica_sent(medlar_client_t *client, medlar_replica_t *replica,
			 medlar_time_t now)
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
 * medlar_replica_done() - a request to a replica has ended
 * @client: client
 * @replica: replica; invalid afterwards if it was removed and this was its
 *	last request
 * @result: how it ended
 * @took: time since it was sent, ms
 * @now: current time, ms
 *
 * A shed says nothing of latency, however fast it came. A request that was
 * cancelled took at least @took, which counts when it is more than expected.
 */
void medlar_replica_done(medlar_client_t *client, medlar_replica_t *replica,
			 medlar_result_t result, medlar_time_t took,
			 medlar_time_t now)
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
 * medlar_replica_info() - what the instance list says
 * @replica: replica
 *
 * Return: the newest entry, valid as long as the replica.
 */
const medlar_replica_info_t *
medlar_replica_info(const medlar_replica_t *replica)
{
	return &replica->cold->info;
}

/**
 * medlar_replica_id() - hash of the name
 * @replica: replica
 *
 * Return: its id.
 */
uint64_t medlar_replica_id(const medlar_replica_t *replica)
{
	return replica->id;
}

/**
 * medlar_replica_in_flight() - requests sent and not done
 * @replica: replica
 *
 * Return: how many.
 */
uint32_t medlar_replica_in_flight(const medlar_replica_t *replica)
{
	return replica->in_flight;
}

/**
 * medlar_replica_share() - what this instance may use of a replica
 * @replica: replica
 *
 * Return: its share now; surplus connections have to be closed.
 */
medlar_share_t medlar_replica_share(const medlar_replica_t *replica)
{
	return (medlar_share_t){ replica->slots, replica->connections };
}

/**
 * medlar_replica_serves() - whether a replica has an index version
 * @replica: replica
 * @version: version, or 0 for any
 *
 * Return: true when it has.
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
 * Return: true when it is neither leaving nor ejected and has a share for
 * this instance; it may still be at its limit.
 */
bool medlar_replica_usable(const medlar_replica_t *replica, medlar_time_t now)
{
	if (replica->leaving || replica->slots == 0)
		return false;
	return replica->health == MEDLAR_HEALTH_GOOD ||
	       now >= replica->ejected_until;
}

/**
 * medlar_replica_data() - the program's own data of a replica
 * @replica: replica
 *
 * Return: what was set last; NULL at first.
 */
void *medlar_replica_data(const medlar_replica_t *replica)
{
	return replica->cold->data;
}

/**
 * medlar_replica_set_data() - attach the program's own data
 * @replica: replica
 * @data: anything; not freed with the replica
 */
void medlar_replica_set_data(medlar_replica_t *replica, void *data)
{
	replica->cold->data = data;
}
