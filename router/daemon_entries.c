/**
 * DOC: applies entries of the store to routes, replicas and other instances
 */
#include "platform/entries.h"
#include "router/daemon_internal.h"

/*
 * How long after an outage of the store a replica without an entry is kept, as
 * its lease may have expired only because it could not be renewed. An outage is a
 * time in which the store answers no instance.
 */
#define EXPIRY_GRACE_MS 2200

static void apply_services(daemon_state_t *state, const routes_t *routes)
{
	for (size_t i = 0; i < routes->services_len; i++) {
		const route_service_t *route_service = &routes->services[i];
		fleet_service_t *service = fleet_service(
			&state->fleet, medlar_str_from(route_service->name),
			state->loop.now);

		if (service)
			service->connections_max =
				route_service->connections_max;
	}
}

static void log_bad_entry(daemon_state_t *state, medlar_str_t key, int error)
{
	state->stats.counts[STAT_BAD_ENTRIES]++;
	LOG_LINE(&state->log, LOG_LEVEL_WARNING, "bad_entry",
		 MEDLAR_TEXT("key", key),
		 MEDLAR_TEXT("why", medlar_str_from(medlar_error_name(error))));
}

static void apply_routes(daemon_state_t *state, const store_item_t *item)
{
	uint64_t known_version = state->forward.routes
					 ? state->forward.routes->version
					 : 0;
	routes_t *routes = NULL;
	int error;

	if (item->deleted)
		return;
	error = entries_parse_routes(item->value, &routes);
	if (error) {
		log_bad_entry(state, item->key, error);
		return;
	}
	if (!state->forward.routes || routes->version > known_version) {
		apply_services(state, routes);
		forward_set_routes(&state->forward, routes);
		LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "config",
			 MEDLAR_NUM("version", routes->version),
			 MEDLAR_NUM("known", known_version),
			 MEDLAR_NUM("routes", routes->routes_len),
			 MEDLAR_NUM("services", routes->services_len),
			 MEDLAR_NUM("revision", item->position.revision));
	}
	routes_unref(routes);
}

static void log_replica_state(daemon_state_t *state, medlar_str_t id,
			      const char *state_name)
{
	if (!log_batch_admits(&state->replica_log, id, state->loop.now))
		return;
	LOG_LINE(&state->log, LOG_LEVEL_INFO, "replica", MEDLAR_TEXT("id", id),
		 MEDLAR_TEXT("state", medlar_str_from(state_name)));
}

/**
 * daemon_on_unavailable() - log that a replica says that it takes no requests
 * @replica: replica
 * @until: until when, ms; %MEDLAR_TIME_NEVER if it is leaving
 * @data: the router process, a &struct daemon_state
 */
void daemon_on_unavailable(const replica_t *replica, medlar_time_t until,
			   void *data)
{
	daemon_state_t *state = data;
	medlar_str_t id = medlar_str_from(replica->id);
	medlar_time_t now = state->loop.now;
	bool is_leaving = until == MEDLAR_TIME_NEVER;

	state->stats.counts[is_leaving ? STAT_REPLICAS_LEAVING
				       : STAT_REPLICAS_HELD]++;
	if (!log_batch_admits(&state->replica_log, id, now))
		return;
	LOG_LINE(&state->log, LOG_LEVEL_INFO, "replica", MEDLAR_TEXT("id", id),
		 MEDLAR_TEXT("state", is_leaving ? MEDLAR_STR("leaving")
						 : MEDLAR_STR("held")),
		 MEDLAR_TEXT("source", MEDLAR_STR("reply")),
		 MEDLAR_NUM("for_ms", is_leaving ? -1 : until - now));
}

static const char *limit_state(const replica_t *replica, limit_event_t event)
{
	if (event == LIMIT_MALFORMED)
		return "malformed";
	if (event == LIMIT_FORGOTTEN)
		return "forgotten";
	return replica->availability.limit > 0 ? "named" : "ended";
}

/**
 * daemon_on_limit() - log news of the limit that a replica names
 * @replica: replica
 * @event: what is new
 * @before: its limit before, requests a second; 0 if it named none
 * @data: the router process, a &struct daemon_state
 *
 * Others are told at once of a first limit; of further news with the next messages.
 */
void daemon_on_limit(const replica_t *replica, limit_event_t event,
		     double before, void *data)
{
	daemon_state_t *state = data;
	medlar_str_t id = medlar_str_from(replica->id);
	medlar_time_t now = state->loop.now;
	char limit[32];

	if (event == LIMIT_FROM_REPLY)
		state->stats.counts[STAT_REPLICA_LIMITS]++;
	if (event == LIMIT_FROM_REPLY && before <= 0)
		state->has_limit_news = true;
	if (!log_batch_admits(&state->replica_log, id, now))
		return;
	(void)snprintf(limit, sizeof(limit), "%.3f",
		       replica->availability.limit);
	LOG_LINE(
		&state->log, LOG_LEVEL_INFO, "limit", MEDLAR_TEXT("id", id),
		MEDLAR_TEXT("service", medlar_str_from(replica->service->name)),
		MEDLAR_TEXT("state",
			    medlar_str_from(limit_state(replica, event))),
		MEDLAR_TEXT("per_s", medlar_str_from(limit)),
		MEDLAR_TEXT("source", event == LIMIT_FROM_PEER
					      ? MEDLAR_STR("peer")
					      : MEDLAR_STR("reply")),
		MEDLAR_NUM("age_ms", now - replica->availability.limit_said_at),
		MEDLAR_NUM("instances", state->fleet.instances));
}

static int apply_replica(const replica_info_t *info, void *data)
{
	daemon_state_t *state = data;

	log_replica_state(state, info->id,
			  info->draining ? "draining" : "ready");
	return fleet_update(&state->fleet, info, state->loop.now);
}

/* Whether entries that expired in an outage have been written again by now. */
static bool is_after_grace(const daemon_state_t *state)
{
	return uptime_is_steady(&state->peers.store_uptime, EXPIRY_GRACE_MS,
				state->loop.now);
}

/**
 * daemon_update_store_status() - update the store status that is sent to other
 *	instances
 * @state: the router process
 */
void daemon_update_store_status(daemon_state_t *state)
{
	const store_t *store = &state->store;

	state->peers.store = (peers_store_t){
		.watching = store->watching,
		.last_contact = store->last_contact,
		.answered_since = store->answered.since,
	};
	uptime_add(&state->peers.store_uptime, &store->answered);
}

static void log_removal(daemon_state_t *state, medlar_str_t id,
			const char *state_name)
{
	const uptime_t *uptime = &state->peers.store_uptime;
	medlar_time_t now = state->loop.now;

	if (!log_batch_admits(&state->replica_log, id, now))
		return;
	LOG_LINE(&state->log, LOG_LEVEL_INFO, "replica", MEDLAR_TEXT("id", id),
		 MEDLAR_TEXT("state", medlar_str_from(state_name)),
		 MEDLAR_NUM("store_up_ms",
			    uptime->since ? now - uptime->since : -1));
}

static void set_expiry(daemon_state_t *state, replica_t *replica)
{
	const uptime_t *uptime = &state->peers.store_uptime;
	medlar_time_t grace_began = uptime->since ? uptime->since
						  : state->loop.now;

	log_removal(state, medlar_str_from(replica->id), "lapsed");
	fleet_set_expiry(replica, grace_began + EXPIRY_GRACE_MS);
}

/**
 * daemon_remove_expired() - remove replicas whose entries were not written again
 * @state: the router process
 *
 * Other instances may tell later that there was no outage.
 */
void daemon_remove_expired(daemon_state_t *state)
{
	fleet_remove_expired(&state->fleet, is_after_grace(state)
						    ? MEDLAR_TIME_NEVER
						    : state->loop.now);
}

static void remove_replica(daemon_state_t *state, medlar_str_t id)
{
	replica_t *replica = fleet_find(&state->fleet, id);

	if (!replica)
		return;
	if (!is_after_grace(state) && !replica_is_leaving(replica)) {
		set_expiry(state, replica);
		return;
	}
	log_removal(state, id, "gone");
	fleet_remove(&state->fleet, replica);
}

static void apply_replica_entry(daemon_state_t *state, const store_item_t *item,
				medlar_str_t id)
{
	int error;

	if (item->deleted) {
		remove_replica(state, id);
		return;
	}
	error = entries_parse_replica(id, item->value, apply_replica, state);
	if (!error)
		return;
	log_bad_entry(state, item->key, error);
	remove_replica(state, id);
}

static void apply_instance_entry(daemon_state_t *state,
				 const store_item_t *item, medlar_str_t name)
{
	bool own = medlar_str_equal(name,
				    medlar_str_from(state->settings.instance));

	if (own && item->deleted)
		store_entry_lost(&state->store);
	else if (item->deleted)
		peers_unregister(&state->peers, name);
	else if (!own)
		peers_register(&state->peers, name, item->value);
	state->fleet.instances = peers_count_instances(&state->peers);
}

/**
 * daemon_apply_entry() - apply a new, changed or deleted entry of the store
 * @item: the entry
 * @data: the router process, a &struct daemon_state
 *
 * An entry that cannot be parsed is logged and counted. A route configuration
 * is then kept as it is; a replica is removed.
 */
void daemon_apply_entry(const store_item_t *item, void *data)
{
	daemon_state_t *state = data;
	medlar_str_t name;

	daemon_update_store_status(state);
	switch (entries_key_kind(item->key, &name)) {
	case ENTRY_ROUTES:
		apply_routes(state, item);
		break;
	case ENTRY_REPLICA:
		apply_replica_entry(state, item, name);
		break;
	case ENTRY_INSTANCE:
		apply_instance_entry(state, item, name);
		break;
	case ENTRY_CONVICTION:
		convictions_apply(&state->convictions, item, name);
		break;
	default:
		break;
	}
}
