/**
 * DOC: the router as a process
 *
 * Joins the parts: what the store says becomes routes and replicas; signals
 * become a reload or an orderly stop.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "libroute/entry_points.h"
#include "libroute/fleet.h"
#include "medlard/clock.h"
#include "platform/entries.h"
#include "platform/entry.h"
#include "platform/store.h"
#include "router/daemon.h"
#include "router/forward.h"
#include "router/peers.h"
#include "router/settings.h"
#include "router/store.h"

#define TICK 100
/* Instances among which addresses for callers are chosen. */
#define ENTRY_POINTS_MAX 512
#define REPLY_MAX ((size_t)8 << 20)
/* How long callers may keep the addresses that they are given, ms. */
#define ADDRESS_TTL MEDLAR_SECOND
/* Callers that keep addresses for too long keep them this many times. */
#define ADDRESS_OVERSTAY 3
/* Time between the last request and the forced end, ms. */
#define STOP_MARGIN 500
/* After an outage of the store, vanished replicas may come back this long. */
#define LAPSE_GRACE 2200
/* What the store said is up to date if it was heard this lately, ms. */
#define FRESH_MAX (4 * MEDLAR_SECOND)

typedef struct daemon_state {
	router_settings_t settings;
	medlar_client_t client;
	loop_t loop;
	logger_t log;
	stats_t stats;
	fleet_t fleet;
	upstream_t upstream;
	mirror_t mirror;
	store_t store;
	peers_t peers;
	forward_t forward;
	h1_server_t readiness;
	h1_server_t directory;
	h1_server_t metrics;
	medlar_timer_t tick;
	medlar_time_t stop_at;
	medlar_time_t leave_at;
	bool news;
	const char *path;
} daemon_state_t;

/* Set by the signal handler, read in each turn of the loop. */
static volatile sig_atomic_t term_signals;
static volatile sig_atomic_t reload_signals;

static void on_signal(int number)
{
	if (number == SIGHUP)
		reload_signals = 1;
	else
		term_signals = 1;
}

static bool is_ready(const daemon_state_t *state)
{
	return state->forward.routes && !state->leave_at;
}

static bool is_fresh(void *data)
{
	const daemon_state_t *state = data;

	return state->loop.now - peers_store_heard(&state->peers) <= FRESH_MAX;
}

static bool can_take_snapshot(void *data)
{
	const daemon_state_t *state = data;

	return state->store.list_revision == 0;
}

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

static void tell_store(daemon_state_t *state)
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

static void on_change(const store_item_t *item, void *data)
{
	daemon_state_t *state = data;
	medlar_str_t name;

	tell_store(state);
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

static void on_replica_removed(replica_t *replica, void *data)
{
	daemon_state_t *state = data;

	upstream_forget(&state->upstream, replica);
}

static void on_crash(uint64_t fingerprint, const replica_t *replica, void *data)
{
	daemon_state_t *state = data;

	forward_crash(&state->forward, fingerprint, replica);
}

static void answer_plain(h1_conn_t *conn, unsigned status)
{
	h1_conn_answer(conn, status, (medlar_str_t){ 0 }, (medlar_str_t){ 0 });
}

static medlar_time_t address_ttl(const daemon_state_t *state)
{
	medlar_time_t most = state->settings.address_ttl_max_ms;

	return most < ADDRESS_TTL ? most : ADDRESS_TTL;
}

static size_t list_points(daemon_state_t *state, entry_point_t *points,
			  size_t max)
{
	const peer_instance_t *peer;
	size_t len = 0;

	if (is_ready(state))
		points[len++] = (entry_point_t){
			medlar_str_from(state->settings.callers),
			medlar_str_from(state->settings.zone),
			state->peers.near,
		};
	TAILQ_FOREACH(peer, &state->peers.list, link)
	if (len < max && peer->ready && !peer->leaving &&
	    peer_is_live(&state->peers, peer))
		points[len++] = (entry_point_t){
			medlar_str_from(peer->callers),
			medlar_str_from(peer->zone),
			peer->near,
		};
	return len;
}

static void answer_addresses(daemon_state_t *state, h1_conn_t *conn,
			     medlar_str_t zone)
{
	entry_point_t points[ENTRY_POINTS_MAX];
	medlar_str_t addresses[ENTRY_ADDRESSES_MAX];
	size_t len = list_points(state, points, ENTRY_POINTS_MAX);
	medlar_buf_t body;

	len = entry_points_choose(points, len, zone);
	if (len == 0) {
		answer_plain(conn, 503);
		return;
	}
	if (len > ENTRY_ADDRESSES_MAX)
		len = ENTRY_ADDRESSES_MAX;
	for (size_t i = 0; i < len; i++)
		addresses[i] = points[i].address;
	medlar_buf_init(&body);
	entry_write_addresses(addresses, len, address_ttl(state), &body);
	h1_conn_answer(conn, 200,
		       MEDLAR_STR("Content-Type: application/json\r\n"),
		       medlar_buf_str(&body));
	medlar_buf_finish(&body);
}

static void on_entry(h1_conn_t *conn, void *data)
{
	daemon_state_t *state = data;
	medlar_str_t zone;

	switch (entry_read_call(h1_message_target(&conn->parser.message),
				&zone)) {
	case ENTRY_ADDRESSES:
		answer_addresses(state, conn, zone);
		break;
	case ENTRY_READY:
		answer_plain(conn, is_ready(state) ? 200 : 503);
		break;
	default:
		answer_plain(conn, 404);
	}
}

static void set_gauges(daemon_state_t *state)
{
	int64_t *gauges = state->stats.gauges;

	if (state->forward.routes)
		gauges[GAUGE_CONFIG_VERSION] =
			(int64_t)state->forward.routes->version;
	gauges[GAUGE_STORE_REVISION] = (int64_t)state->mirror.revision;
	gauges[GAUGE_STORE_AGE_MS] = state->loop.now - state->store.heard;
	gauges[GAUGE_REPLICAS] = (int64_t)state->fleet.replicas_len;
	gauges[GAUGE_INSTANCES] = state->fleet.instances;
	gauges[GAUGE_CALLER_CONNECTIONS] =
		(int64_t)state->forward.server.conns_len;
	state->stats.counts[STAT_BAD_REQUESTS] += state->forward.server.bad;
	state->forward.server.bad = 0;
}

static void on_metrics(h1_conn_t *conn, void *data)
{
	daemon_state_t *state = data;
	medlar_buf_t body;

	set_gauges(state);
	medlar_buf_init(&body);
	stats_write(&state->stats, &body);
	h1_conn_answer(conn, 200, MEDLAR_STR("Content-Type: text/plain\r\n"),
		       medlar_buf_str(&body));
	medlar_buf_finish(&body);
}

static void on_entry_gone(h1_conn_t *conn, void *data)
{
	(void)conn;
	(void)data;
}

static const h1_handler_t entry_handler = { on_entry, on_entry_gone };
static const h1_handler_t metrics_handler = { on_metrics, on_entry_gone };

static void reload(daemon_state_t *state)
{
	router_settings_t fresh;
	int error = router_settings_read(&fresh, &state->client, state->path);

	if (!error) {
		state->settings.log_level = fresh.log_level;
		state->log.level = (log_level_t)fresh.log_level;
	}
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "reload",
		 MEDLAR_TEXT("result",
			     medlar_str_from(medlar_error_name(error))));
}

/* Other instances and callers learn at once that this one leaves. */
static void leave(daemon_state_t *state)
{
	medlar_time_t now = state->loop.now;
	medlar_time_t stay = ADDRESS_OVERSTAY * address_ttl(state) + TICK;
	medlar_time_t most = state->settings.grace_ms - STOP_MARGIN;

	if (state->leave_at)
		return;
	state->leave_at = now + (stay < most ? stay : most);
	state->stop_at = now + most;
	state->forward.server.closing = true;
	state->peers.ready = false;
	state->peers.leaving = true;
	peers_tell(&state->peers);
	store_leave(&state->store);
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "stop",
		 MEDLAR_TEXT("state", MEDLAR_STR("leaving")),
		 MEDLAR_NUM("requests", h1_server_busy(&state->forward.server)),
		 MEDLAR_NUM("until_ms", state->stop_at - now));
}

static void check_stop(daemon_state_t *state)
{
	medlar_time_t now = state->loop.now;
	size_t busy;

	if (!state->leave_at || now < state->leave_at)
		return;
	busy = h1_server_busy(&state->forward.server);
	if (busy > 0 && now < state->stop_at)
		return;
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "stop",
		 MEDLAR_TEXT("state", MEDLAR_STR("end")),
		 MEDLAR_NUM("cut", busy));
	loop_stop(&state->loop);
}

static void on_tick(medlar_client_t *client, medlar_timer_t *timer,
		    medlar_time_t now, void *data)
{
	daemon_state_t *state = data;

	fleet_sweep(&state->fleet, now);
	upstream_sweep(&state->upstream, &state->fleet);
	state->fleet.instances = peers_instances(&state->peers);
	state->peers.ready = is_ready(state);
	state->peers.near = fleet_near(&state->fleet);
	store_watch(&state->store, peers_should_watch(&state->peers));
	tell_store(state);
	check_stop(state);
	(void)medlar_timer_set(client, timer, now + TICK);
}

static void on_turn(void *data)
{
	daemon_state_t *state = data;

	if (term_signals) {
		term_signals = 0;
		leave(state);
	}
	if (reload_signals) {
		reload_signals = 0;
		reload(state);
	}
	if (state->news && state->store.watching) {
		peers_tell(&state->peers);
		state->news = false;
	}
}

static int listen_at(daemon_state_t *state, h1_server_t *server,
		     const char *text, const h1_handler_t *handler)
{
	static const h1_server_limits_t limits = {
		.message = { 16384, 16384 },
		.head_ms = 2 * MEDLAR_SECOND,
		.idle_ms = 30 * MEDLAR_SECOND,
	};
	struct sockaddr_in address;

	if (router_address_parse(medlar_str_from(text), &address))
		return MEDLAR_ERR_SYNTAX;
	return h1_server_init(server, &state->loop, &address, &limits,
			      (size_t)state->settings.connections_max, handler,
			      state);
}

static int listen_all(daemon_state_t *state)
{
	const router_settings_t *settings = &state->settings;
	int error = listen_at(state, &state->readiness, settings->readiness,
			      &entry_handler);

	if (!error)
		error = listen_at(state, &state->directory, settings->directory,
				  &entry_handler);
	if (!error && settings->metrics[0])
		error = listen_at(state, &state->metrics, settings->metrics,
				  &metrics_handler);
	return error;
}

static int hook_all(daemon_state_t *state)
{
	loop_t *loop = &state->loop;

	if (loop_hook(loop, on_turn, state) ||
	    loop_hook(loop, upstream_turn, &state->upstream) ||
	    loop_hook(loop, forward_turn, &state->forward) ||
	    loop_hook(loop, log_flush, &state->log))
		return MEDLAR_ERR_FULL;
	return MEDLAR_OK;
}

static void start_store(daemon_state_t *state)
{
	medlar_buf_t key;
	medlar_buf_t value;

	medlar_buf_init(&key);
	medlar_buf_init(&value);
	entries_instance_key(medlar_str_from(state->settings.instance), &key);
	peers_entry(&state->settings, &value);
	store_start(&state->store, medlar_buf_str(&key),
		    medlar_buf_str(&value));
	medlar_buf_finish(&key);
	medlar_buf_finish(&value);
}

static int start(daemon_state_t *state)
{
	const router_settings_t *settings = &state->settings;
	const spend_limits_t limits = { settings->retry_ratio,
					settings->retry_slack,
					settings->retry_window_ms };
	struct sockaddr_in store;
	int error;

	if (router_address_parse(medlar_str_from(settings->store), &store))
		return MEDLAR_ERR_SYNTAX;
	fleet_init(&state->fleet, medlar_str_from(settings->zone), &limits,
		   on_replica_removed, state);
	upstream_init(&state->upstream, &state->loop, &state->stats, REPLY_MAX,
		      on_crash, state);
	mirror_init(&state->mirror, on_change, state);
	store_init(&state->store, &state->loop, &state->log, &state->stats,
		   &platform_store_calls, &store, &state->mirror);
	error = peers_init(&state->peers, &state->loop, &state->log,
			   &state->stats, settings, &state->mirror,
			   &state->forward.suspects, can_take_snapshot, state);
	if (!error)
		error = forward_init(&state->forward, &state->loop, &state->log,
				     &state->stats, &state->upstream,
				     &state->fleet, &state->peers, settings,
				     is_fresh, state);
	if (!error)
		error = listen_all(state);
	if (!error)
		error = hook_all(state);
	if (error)
		return error;
	state->fleet.instances = peers_instances(&state->peers);
	start_store(state);
	medlar_timer_init(&state->tick, on_tick, state);
	return medlar_timer_set(&state->client, &state->tick,
				state->loop.now + TICK);
}

static void stop(daemon_state_t *state)
{
	h1_server_finish(&state->metrics);
	h1_server_finish(&state->directory);
	h1_server_finish(&state->readiness);
	forward_finish(&state->forward);
	peers_finish(&state->peers);
	store_finish(&state->store);
	upstream_finish(&state->upstream);
	fleet_finish(&state->fleet);
	mirror_finish(&state->mirror);
	loop_finish(&state->loop);
}

static int handle_signals(void)
{
	struct sigaction action = { .sa_handler = on_signal };

	if (sigaction(SIGTERM, &action, NULL) ||
	    sigaction(SIGINT, &action, NULL) ||
	    sigaction(SIGHUP, &action, NULL))
		return MEDLAR_ERR_IO;
	return MEDLAR_OK;
}

static int run(daemon_state_t *state)
{
	int error = loop_init(&state->loop, &state->client);

	if (!error)
		error = handle_signals();
	if (!error)
		error = start(state);
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "start",
		 MEDLAR_TEXT("instance",
			     medlar_str_from(state->settings.instance)),
		 MEDLAR_TEXT("result",
			     medlar_str_from(medlar_error_name(error))));
	log_flush(&state->log);
	if (error)
		return error;
	loop_run(&state->loop);
	stop(state);
	return MEDLAR_OK;
}

static uint64_t random_seed(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_nsec ^ ((uint64_t)getpid() << 32);
}

static int read_settings(daemon_state_t *state, const char *path)
{
	log_init(&state->log, STDOUT_FILENO, 0, LOG_LEVEL_INFO);
	medlar_client_init(&state->client, MEDLAR_STR("router"), 0,
			   random_seed());
	medlar_client_on_error(&state->client, log_report, &state->log);
	state->path = path;
	return router_settings_read(&state->settings, &state->client, path);
}

/**
 * daemon_check() - check a settings file
 * @path: name of the file
 *
 * Return: %MEDLAR_OK, or the first error.
 */
int daemon_check(const char *path)
{
	daemon_state_t *state = calloc(1, sizeof(*state));
	int error;

	if (!state)
		return MEDLAR_ERR_NOMEM;
	error = read_settings(state, path);
	log_finish(&state->log);
	medlar_client_finish(&state->client);
	free(state);
	return error;
}

/**
 * daemon_run() - serve until a signal ends it
 * @path: name of the settings file
 *
 * Return: %MEDLAR_OK, or why it could not start.
 */
int daemon_run(const char *path)
{
	daemon_state_t *state = calloc(1, sizeof(*state));
	int error;

	if (!state)
		return MEDLAR_ERR_NOMEM;
	error = read_settings(state, path);
	if (!error) {
		state->log.level = (log_level_t)state->settings.log_level;
		error = run(state);
	}
	log_finish(&state->log);
	medlar_client_finish(&state->client);
	free(state);
	return error;
}
