/**
 * DOC: exchange of facts and membership with the other instances
 */
#include <stdlib.h>
#include <string.h>

#include "medlard/clock.h"
#include "medlard/control.h"
#include "medlard/peering.h"

/* Minimum time between two updates of the workers, ms. */
#define REFRESH_INTERVAL_MIN ((medlar_time_t)50)

/**
 * struct fact_call - a fact posted by a worker to the control thread
 * @call: entry in the inbox of the control thread
 * @worker: worker that observed the fact
 * @fact: fact; never of the kind %MEDLAR_FACT_MEMBER
 */
typedef struct fact_call {
	mailbox_call_t call;
	worker_t *worker;
	medlar_fact_t fact;
} fact_call_t;

static void share_posted_fact(mailbox_call_t *call, void *data)
{
	fact_call_t *fact_call = data;
	control_t *control = fact_call->worker->control;
	peering_t *peering = &control->peering;

	(void)call;
	if (peering->enabled)
		(void)medlar_members_broadcast(
			&control->client, &peering->members, &fact_call->fact,
			control->loop.now);
	free(fact_call);
}

/**
 * peering_post_fact() - share a fact with all other instances
 * @worker: worker that observed it; its thread is the calling thread
 * @fact: fact of any kind but %MEDLAR_FACT_MEMBER; copied
 *
 * The fact is dropped without memory for the call.
 */
void peering_post_fact(worker_t *worker, const medlar_fact_t *fact)
{
	fact_call_t *fact_call = calloc(1, sizeof(*fact_call));

	if (!fact_call)
		return;
	fact_call->worker = worker;
	fact_call->fact = *fact;
	mailbox_post(&worker->control->inbox, &fact_call->call,
		     share_posted_fact, fact_call);
}

static void on_suspect_change(const medlar_suspect_entry_t *entry, void *data)
{
	worker_t *worker = data;
	medlar_fact_t fact = {
		.kind = MEDLAR_FACT_VERDICT,
		.subject = entry->fingerprint,
		.revision = (uint64_t)clock_wall(),
		.value = entry->verdict,
		.replica = entry->replica,
		.shard = entry->shard,
		.ttl = entry->until - worker->loop.now,
	};

	if (entry->verdict == MEDLAR_VERDICT_CLEAR && !entry->pardoned)
		fact.kind = MEDLAR_FACT_SUCCESS;
	peering_post_fact(worker, &fact);
}

/**
 * peering_share_suspects() - share changes of a worker's suspect requests
 * @worker: worker with an initialised table of suspect requests
 */
void peering_share_suspects(worker_t *worker)
{
	medlar_suspects_on_change(&worker->suspects, on_suspect_change, worker);
}

static void apply_drain(worker_t *worker, const medlar_fact_t *fact)
{
	for (size_t i = 0; i < worker->services_len; i++) {
		service_t *service = worker->services[i];
		medlar_replica_t *replica;

		if (service->owner != worker->index)
			continue;
		replica = medlar_service_find_replica(&service->core,
						      fact->subject);
		if (replica)
			medlar_replica_set_leaving(
				&worker->client, replica,
				(medlar_time_t)fact->revision,
				worker->loop.now);
	}
}

static void apply_verdict(worker_t *worker, const medlar_fact_t *fact)
{
	medlar_suspects_t *suspects = &worker->suspects;
	medlar_time_t now = worker->loop.now;
	const medlar_crash_t crash = {
		.fingerprint = fact->subject,
		.replica = fact->replica,
		.shard = fact->shard,
	};

	if (fact->value == MEDLAR_VERDICT_CONVICTED)
		(void)medlar_suspects_convict(suspects, fact->subject,
					      now + fact->ttl);
	else if (fact->value == MEDLAR_VERDICT_SUSPECT)
		(void)medlar_suspects_add_crash(suspects, &crash, now);
	else
		(void)medlar_suspects_pardon(suspects, fact->subject);
}

static void apply_fact(worker_t *worker, void *data)
{
	medlar_fact_t *fact = data;

	/* Facts of other instances must not be shared as if observed here. */
	medlar_suspects_on_change(&worker->suspects, NULL, NULL);
	if (fact->kind == MEDLAR_FACT_DRAIN)
		apply_drain(worker, fact);
	else if (fact->kind == MEDLAR_FACT_VERDICT)
		apply_verdict(worker, fact);
	else
		medlar_suspects_add_success(&worker->suspects, fact->subject);
	peering_share_suspects(worker);
	free(fact);
}

static void on_fact(const medlar_fact_t *fact, void *data)
{
	const peering_t *peering = data;
	control_t *control = peering->control;

	if (fact->kind == MEDLAR_FACT_MEMBER)
		return;
	LOG_LINE(&control->log, LOG_LEVEL_NOTICE, "fact",
		 MEDLAR_NUM("kind", fact->kind),
		 MEDLAR_HEX("subject", fact->subject),
		 MEDLAR_NUM("revision", fact->revision),
		 MEDLAR_NUM("value", fact->value));
	for (size_t i = 0; i < control->workers_len; i++) {
		medlar_fact_t *copy = malloc(sizeof(*copy));

		if (!copy)
			return;
		*copy = *fact;
		control_post(control, i, apply_fact, copy);
	}
}

static void on_config(uint64_t revision, medlar_str_t document, void *data)
{
	const peering_t *peering = data;

	(void)directory_offer_config(&peering->control->directory, revision,
				     document, MEDLAR_STR("peer"));
}

static void on_send(const medlar_member_info_t *to,
		    const medlar_message_t *message, void *data)
{
	peering_t *peering = data;

	/* A failure to send is handled like a lost datagram. */
	(void)peer_send(&peering->transport, to, message);
}

static void on_receive(const medlar_message_t *message, void *data)
{
	peering_t *peering = data;
	control_t *control = peering->control;

	medlar_members_receive(&control->client, &peering->members, message,
			       control->loop.now);
}

/* Updates the workers after a change of the membership, at a limited rate. */
static void refresh_after_change(void *data)
{
	peering_t *peering = data;
	uint64_t generation = medlar_members_generation(&peering->members);
	medlar_time_t now = peering->control->loop.now;

	if (!peering->enabled || generation == peering->generation ||
	    now - peering->refreshed_at < REFRESH_INTERVAL_MIN)
		return;
	peering->generation = generation;
	peering->refreshed_at = now;
	instances_refresh(&peering->control->directory);
}

static medlar_member_info_t member_info_from(const instance_t *instance)
{
	medlar_member_info_t info = {
		.port = instance->port,
		.peer_port = instance->peer_port,
	};

	memcpy(info.name, instance->name, sizeof(info.name));
	memcpy(info.host, instance->host, sizeof(info.host));
	memcpy(info.zone, instance->zone, sizeof(info.zone));
	return info;
}

/**
 * peering_init() - start the exchange with the other instances
 * @peering: memory provided by the caller
 * @control: control thread with its settings and its loop
 *
 * Return: %MEDLAR_OK, also if the settings have no peer_port; an error of
 * peer_init(); %MEDLAR_ERR_NOMEM or %MEDLAR_ERR_FULL.
 */
int peering_init(peering_t *peering, control_t *control)
{
	const settings_t *settings = &control->settings;
	const endpoint_t *address = settings_public_address(settings);
	const peer_params_t params = {
		.host = address->host,
		.port = (uint16_t)settings->peer_port,
		.key = medlar_str_from(settings->peer_key),
		.metrics = &control->metrics,
	};
	const medlar_members_ops_t ops = { on_send, on_fact, on_config,
					   peering };
	medlar_member_info_t self = {
		.port = (uint16_t)address->port,
		.peer_port = (uint16_t)settings->peer_port,
	};
	int error;

	*peering = (peering_t){
		.control = control,
		.incarnation = clock_wall(),
	};
	if (settings->peer_port == 0)
		return MEDLAR_OK;
	memcpy(self.name, settings->name, sizeof(self.name));
	memcpy(self.host, address->host, sizeof(self.host));
	memcpy(self.zone, settings->zone, sizeof(self.zone));
	error = peer_init(&peering->transport, &control->loop, &control->log,
			  &params, on_receive, peering);
	if (error)
		return error;
	error = medlar_members_init(&control->client, &peering->members, &self,
				    (uint64_t)peering->incarnation, &ops,
				    control->loop.now);
	if (!error)
		error = loop_add_hook(&control->loop, refresh_after_change,
				      peering);
	if (error) {
		peer_finish(&peering->transport);
		return error;
	}
	peering->enabled = true;
	return MEDLAR_OK;
}

/**
 * peering_finish() - stop the exchange
 * @peering: initialised by peering_init()
 */
void peering_finish(peering_t *peering)
{
	if (!peering->enabled)
		return;
	peering->enabled = false;
	medlar_members_finish(&peering->control->client, &peering->members);
	peer_finish(&peering->transport);
}

/**
 * peering_seed() - add a listed instance to the membership
 * @peering: peering
 * @instance: instance from the settings or the instance list
 */
void peering_seed(peering_t *peering, const instance_t *instance)
{
	medlar_member_info_t info = member_info_from(instance);

	if (peering->enabled && instance->peer_port != 0)
		(void)medlar_members_add_seed(&peering->control->client,
					      &peering->members, &info,
					      peering->control->loop.now);
}

/**
 * peering_offer_config() - make a configuration available to others
 * @peering: peering
 * @revision: revision of the configuration
 * @config: text of the configuration
 */
void peering_offer_config(peering_t *peering, uint64_t revision,
			  medlar_str_t config)
{
	if (peering->enabled)
		(void)medlar_members_set_document(
			&peering->control->client, &peering->members, revision,
			config, peering->control->loop.now);
}

static void apply_member_state(instance_t *item, const medlar_member_t *member)
{
	bool is_leaving = member->state == MEDLAR_MEMBER_LEAVING ||
			  member->state == MEDLAR_MEMBER_DEAD;
	medlar_time_t incarnation = (medlar_time_t)member->incarnation;

	if (incarnation < item->incarnation)
		return;
	item->leaving = is_leaving;
	item->incarnation = incarnation;
}

static instance_t instance_from_member(const medlar_member_t *member)
{
	instance_t item = {
		.port = member->info->port,
		.peer_port = member->info->peer_port,
		.incarnation = (medlar_time_t)member->incarnation,
		.leaving = member->state == MEDLAR_MEMBER_LEAVING,
	};

	memcpy(item.name, member->info->name, sizeof(item.name));
	memcpy(item.host, member->info->host, sizeof(item.host));
	memcpy(item.zone, member->info->zone, sizeof(item.zone));
	return item;
}

/**
 * peering_merge_members() - merge the membership into a list of instances
 * @peering: peering
 * @items: allocated list, sorted by name; reallocated with room for one more
 *	than @len
 * @len: number of instances; increased by those added at the end
 *
 * For an instance in both, the state of the later incarnation is kept.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int peering_merge_members(const peering_t *peering, instance_t **items,
			  size_t *len)
{
	size_t sorted = *len;
	size_t count;
	instance_t *grown;

	if (!peering->enabled)
		return MEDLAR_OK;
	count = medlar_members_count(&peering->members);
	grown = realloc(*items, (*len + count + 1) * sizeof(**items));
	if (!grown)
		return MEDLAR_ERR_NOMEM;
	*items = grown;
	for (size_t i = 0; i < count; i++) {
		medlar_member_t member;
		instance_t *item;

		if (!medlar_members_get(&peering->members, i, &member))
			continue;
		item = instances_find(grown, sorted, member.info->name);
		if (item)
			apply_member_state(item, &member);
		else if (member.state != MEDLAR_MEMBER_DEAD)
			grown[(*len)++] = instance_from_member(&member);
	}
	return MEDLAR_OK;
}

/**
 * peering_mark_draining_replicas() - mark the listed replicas that are known to
 *	drain
 * @peering: peering
 * @infos: replicas of an instance list
 * @len: number of replicas
 */
void peering_mark_draining_replicas(const peering_t *peering,
				    medlar_replica_info_t *infos, size_t len)
{
	for (size_t i = 0; peering->enabled && i < len; i++) {
		uint64_t id = medlar_str_hash(medlar_str_from(infos[i].name),
					      0);
		uint64_t drained_incarnation = medlar_members_fact_revision(
			&peering->members, MEDLAR_FACT_DRAIN, id);

		if (drained_incarnation > 0 &&
		    (medlar_time_t)drained_incarnation >= infos[i].incarnation)
			infos[i].leaving = true;
	}
}

/**
 * peering_get_peers() - get the instances that share the upstreams
 * @peering: peering
 * @out: set to the instances; valid until the next call
 *
 * Return: false if the membership is not known, so that only the list is.
 */
bool peering_get_peers(peering_t *peering, medlar_peers_t *out)
{
	if (!peering->enabled)
		return false;
	*out = medlar_members_peers(&peering->control->client,
				    &peering->members,
				    peering->control->loop.now);
	return out->len > 0;
}

/**
 * peering_announce_leaving() - announce that this instance is shutting down
 * @peering: peering
 */
void peering_announce_leaving(peering_t *peering)
{
	if (peering->enabled)
		medlar_members_leave(&peering->control->client,
				     &peering->members,
				     peering->control->loop.now);
}

/**
 * peering_announce_stopped() - announce that this instance has stopped
 * @peering: peering
 */
void peering_announce_stopped(peering_t *peering)
{
	if (peering->enabled)
		medlar_members_stop(&peering->control->client,
				    &peering->members,
				    peering->control->loop.now);
}
