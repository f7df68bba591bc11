/**
 * DOC: what the store says becomes routes, replicas and other instances
 */
#include "platform/entries.h"
#include "router/daemon_internal.h"

/* After an outage of the store, vanished replicas may come back this long. */
#define LAPSE_GRACE 2200

static void apply_services(daemon_state_t *state, const routes_t *routes)
{
	for (size_t i = 0; i < routes->services_len; i++) {
		const route_service_t *from = &routes->services[i];
		fleet_service_t *service = fleet_service(
			&state->fleet, medlar_str_from(from->name),
			state->loop.now);

		if (service)
			service->connections_max = from->connections_max;
	}
}

static void log_bad_entry(daemon_state_t *state, medlar_str_t key, int error)
{
	state->stats.counts[STAT_BAD_ENTRIES]++;
	LOG_LINE(&state->log, LOG_LEVEL_WARNING, "bad_entry",
		 MEDLAR_TEXT("key", key),
		 MEDLAR_TEXT("why", medlar_str_from(medlar_error_name(error))));
}

static void use_routes(daemon_state_t *state, const store_item_t *item)
{
	uint64_t known = state->forward.routes ? state->forward.routes->version
					       : 0;
	routes_t *routes = NULL;
	int error;

	if (item->gone)
		return;
	error = entries_read_routes(item->value, &routes);
	if (error) {
		log_bad_entry(state, item->key, error);
		return;
	}
	if (!state->forward.routes || routes->version > known) {
		apply_services(state, routes);
		forward_use(&state->forward, routes);
		LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "config",
			 MEDLAR_NUM("version", routes->version),
			 MEDLAR_NUM("known", known),
			 MEDLAR_NUM("routes", routes->routes_len),
			 MEDLAR_NUM("services", routes->services_len),
			 MEDLAR_NUM("revision", item->revision));
	}
	routes_release(routes);
}

static void log_replica(daemon_state_t *state, medlar_str_t id,
			const char *what)
{
	LOG_LINE(&state->log, LOG_LEVEL_INFO, "replica", MEDLAR_TEXT("id", id),
		 MEDLAR_TEXT("state", medlar_str_from(what)));
}

static int use_replica(const replica_info_t *info, void *data)
{
	daemon_state_t *state = data;

	log_replica(state, info->id, info->draining ? "draining" : "ready");
	return fleet_update(&state->fleet, info, state->loop.now);
}

/* An entry that ran out while the store was away may come back. */
static bool may_come_back(const daemon_state_t *state)
{
	medlar_time_t back = peers_store_back(&state->peers);

	return back && state->loop.now - back < LAPSE_GRACE;
}

/**
 * directory_tell() - let other instances know how the store is seen here
 * @state: the process
 */
void directory_tell(daemon_state_t *state)
{
	const store_t *store = &state->store;

	state->peers.store = (peers_store_t){
		.watching = store->watching,
		.heard = store->heard,
		.back = store->down_since ? state->loop.now : store->up_since,
	};
}

static void drop_replica(daemon_state_t *state, medlar_str_t id)
{
	replica_t *replica = fleet_find(&state->fleet, id);

	if (!replica)
		return;
	if (may_come_back(state) && !replica->info.draining) {
		log_replica(state, id, "lapsed");
		fleet_lapse(replica, state->loop.now + LAPSE_GRACE);
		return;
	}
	log_replica(state, id, "gone");
	fleet_remove(&state->fleet, replica);
}

static void change_replica(daemon_state_t *state, const store_item_t *item,
			   medlar_str_t id)
{
	int error;

	if (item->gone) {
		drop_replica(state, id);
		return;
	}
	error = entries_read_replica(id, item->value, use_replica, state);
	if (!error)
		return;
	log_bad_entry(state, item->key, error);
	drop_replica(state, id);
}

static void change_instance(daemon_state_t *state, const store_item_t *item,
			    medlar_str_t name)
{
	bool own = medlar_str_equal(name,
				    medlar_str_from(state->settings.instance));

	if (own && item->gone)
		store_entry_lost(&state->store);
	else if (item->gone)
		peers_unlisted(&state->peers, name);
	else if (!own)
		peers_listed(&state->peers, name, item->value);
	state->fleet.instances = peers_instances(&state->peers);
}

/**
 * directory_change() - an entry of the store is new, has changed or is gone
 * @item: the entry
 * @data: the process
 */
void directory_change(const store_item_t *item, void *data)
{
	daemon_state_t *state = data;
	medlar_str_t name;

	directory_tell(state);
	state->news = true;
	switch (entries_kind(item->key, &name)) {
	case ENTRY_ROUTES:
		use_routes(state, item);
		break;
	case ENTRY_REPLICA:
		change_replica(state, item, name);
		break;
	case ENTRY_INSTANCE:
		change_instance(state, item, name);
		break;
	default:
		break;
	}
}
