/**
 * DOC: the router process
 *
 * Connects the components, reloads the settings on SIGHUP, and shuts down
 * gracefully on SIGTERM and SIGINT.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "medlard/clock.h"
#include "platform/entries.h"
#include "platform/store.h"
#include "router/daemon.h"
#include "router/daemon_internal.h"

#define TICK_INTERVAL_MS 100
#define REPLY_BODY_BYTES_MAX ((size_t)8 << 20)
/* Longest time for which callers are told to cache addresses. */
#define ADDRESS_TTL_MS MEDLAR_SECOND
/* Callers may use addresses for this many times the lifetime given to them. */
#define ADDRESS_RETENTION_FACTOR 3
/* How long before the end of the grace period the loop stops at the latest. */
#define STOP_MARGIN_MS 500
/* Time in which what a store of an older copy lacks is written again. */
#define EPOCH_SETTLE_MS (5 * MEDLAR_SECOND)
/* Time for the last answers to leave before the loop stops. */
#define LAST_ANSWERS_MS 300

/* Set by the signal handler, read in each iteration of the loop. */
static volatile sig_atomic_t term_signals;
static volatile sig_atomic_t reload_signals;

static void on_signal(int number)
{
	if (number == SIGHUP)
		reload_signals = 1;
	else
		term_signals = 1;
}

/**
 * daemon_is_ready() - check whether this instance accepts requests of callers
 * @state: the router process
 *
 * Return: true if a configuration is in force and the instance is not shutting
 * down.
 */
bool daemon_is_ready(const daemon_state_t *state)
{
	return state->forward.routes && !state->exit_earliest_at;
}

/* The store may lack for a while what was written before it came back. */
static bool is_store_settled(const daemon_state_t *state)
{
	const store_t *store = &state->store;

	return store->epoch == state->mirror.position.epoch &&
	       (!store->epoch_rose_at ||
		state->loop.now - store->epoch_rose_at >= EPOCH_SETTLE_MS);
}

static bool routes_are_current(void *data)
{
	const daemon_state_t *state = data;

	return is_store_settled(state) &&
	       peers_mirror_is_current(&state->peers);
}

/* The store was away, and has come back from an older copy. */
static void on_epoch(void *data)
{
	daemon_state_t *state = data;
	medlar_time_t now = state->loop.now;

	state->peers.store_uptime = (uptime_t){ now, now };
	state->store.has_news = true;
	convictions_store_lost(&state->convictions);
	daemon_update_store_status(state);
}

static void on_epoch_told(uint64_t epoch, void *data)
{
	daemon_state_t *state = data;

	store_hear_epoch(&state->store, epoch);
}

static bool can_apply_changes(void *data)
{
	const daemon_state_t *state = data;

	return state->store.list_revision == 0;
}

static void on_report(const replica_report_t *report, void *data)
{
	daemon_state_t *state = data;

	observations_add_report(&state->observations, report);
}

static void on_announcement(const announcement_t *announcement, void *data)
{
	daemon_state_t *state = data;

	observations_add_announcement(&state->observations, announcement);
}

static size_t on_list_limits(limit_news_t *out, size_t max, void *data)
{
	daemon_state_t *state = data;

	return fleet_list_limits(&state->fleet, out, max);
}

static void on_limit_news(const limit_news_t *news, void *data)
{
	daemon_state_t *state = data;

	fleet_accept_limit(&state->fleet, news, state->loop.now);
}

static void on_trial(const gossip_trial *trial, void *data)
{
	daemon_state_t *state = data;

	trials_receive(&state->forward.trials, trial);
}

static const peers_events_t peers_events = {
	.can_apply_changes = can_apply_changes,
	.report = on_report,
	.announcement = on_announcement,
	.list_limits = on_list_limits,
	.limit = on_limit_news,
	.epoch = on_epoch_told,
	.trial = on_trial,
};

static void on_replica_removed(replica_t *replica, void *data)
{
	(void)data;
	upstream_remove_replica(replica);
}

static void on_bad_status(const replica_t *replica, medlar_str_t code,
			  void *data)
{
	daemon_state_t *state = data;
	medlar_str_t id = medlar_str_from(replica->id);

	if (log_batch_admits(&state->status_log, id, state->loop.now))
		LOG_LINE(&state->log, LOG_LEVEL_WARNING, "bad_status",
			 MEDLAR_TEXT("from", MEDLAR_STR("replica")),
			 MEDLAR_TEXT("id", id), MEDLAR_TEXT("status", code));
}

static void on_crash(uint64_t fingerprint, const replica_t *replica, void *data)
{
	daemon_state_t *state = data;

	forward_report_crash(&state->forward, fingerprint, replica);
}

static const mirror_events_t mirror_events = {
	.change = daemon_apply_entry,
	.is_newer = entries_is_newer,
};

static const upstream_events_t upstream_events = {
	.crash = on_crash,
	.bad_status = on_bad_status,
};

/**
 * daemon_address_ttl() - get the lifetime of the addresses given to callers
 * @state: the router process
 *
 * Return: the lifetime, ms.
 */
medlar_time_t daemon_address_ttl(const daemon_state_t *state)
{
	medlar_time_t ttl_max = state->settings.address_ttl_max_ms;

	return ttl_max < ADDRESS_TTL_MS ? ttl_max : ADDRESS_TTL_MS;
}

static void reload_settings(daemon_state_t *state)
{
	router_settings_t settings;
	int error = router_settings_read(&settings, &state->client,
					 state->path);

	if (!error) {
		state->settings.log_level = settings.log_level;
		state->log.level = (log_level_t)settings.log_level;
	}
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "reload",
		 MEDLAR_TEXT("result",
			     medlar_str_from(medlar_error_name(error))));
}

/*
 * Informs peers and callers at once, and keeps serving until callers have
 * stopped using the address of this instance. From then on new connections are
 * refused, so that those who come nevertheless go elsewhere and are not cut off.
 */
static void begin_shutdown(daemon_state_t *state)
{
	medlar_time_t now = state->loop.now;
	medlar_time_t drain_time = ADDRESS_RETENTION_FACTOR *
					   daemon_address_ttl(state) +
				   TICK_INTERVAL_MS;
	medlar_time_t time_max = state->settings.grace_ms - STOP_MARGIN_MS;

	if (state->exit_earliest_at)
		return;
	state->exit_earliest_at = now + (drain_time < time_max ? drain_time
							       : time_max);
	state->exit_forced_at = now + time_max;
	forward_begin_shutdown(&state->forward,
			       state->exit_forced_at - LAST_ANSWERS_MS);
	state->peers.ready = false;
	state->peers.leaving = true;
	peers_broadcast(&state->peers);
	store_withdraw_entry(&state->store);
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "stop",
		 MEDLAR_TEXT("state", MEDLAR_STR("leaving")),
		 MEDLAR_NUM("requests",
			    h1_server_count_busy(&state->forward.server)),
		 MEDLAR_NUM("until_ms", state->exit_forced_at - now));
}

static void check_shutdown(daemon_state_t *state)
{
	medlar_time_t now = state->loop.now;
	size_t busy;

	if (!state->exit_earliest_at || now < state->exit_earliest_at)
		return;
	/* What was accepted just now is read before the next check. */
	if (state->forward.server.fd >= 0) {
		h1_server_stop_accepting(&state->forward.server);
		return;
	}
	busy = h1_server_count_busy(&state->forward.server);
	if (busy > 0 && now < state->exit_forced_at)
		return;
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "stop",
		 MEDLAR_TEXT("state", MEDLAR_STR("end")),
		 MEDLAR_NUM("cut", busy));
	loop_stop(&state->loop);
}

static void update_watching(daemon_state_t *state)
{
	const watch_view_t view = peers_watch_view(&state->peers);
	watch_role_t role = watchers_decide(&view, &state->client.rand);

	state->peers.leads_watchers = role.leads;
	store_set_watching(&state->store, role.watches, role.pause);
}

/* Others learn at once that this instance accepts callers. */
static void update_ready(daemon_state_t *state)
{
	bool is_ready = daemon_is_ready(state);

	if (is_ready == state->peers.ready)
		return;
	state->peers.ready = is_ready;
	peers_broadcast(&state->peers);
}

static void update_instances(daemon_state_t *state)
{
	state->fleet.instances = peers_count_instances(&state->peers);
	state->fleet.position = peers_position(&state->peers);
}

static void on_tick(medlar_client_t *client, medlar_timer_t *timer,
		    medlar_time_t now, void *data)
{
	daemon_state_t *state = data;

	daemon_remove_expired(state);
	fleet_update_limits(&state->fleet, now);
	log_batch_flush(&state->replica_log, now);
	log_batch_flush(&state->status_log, now);
	log_batch_flush(&state->peers.peer_log, now);
	upstream_close_expired(&state->upstream, &state->fleet);
	update_instances(state);
	update_ready(state);
	state->peers.local_percent = fleet_local_percent(&state->fleet);
	observations_tick(&state->observations);
	update_watching(state);
	daemon_update_store_status(state);
	convictions_tick(&state->convictions);
	check_shutdown(state);
	(void)medlar_timer_set(client, timer, now + TICK_INTERVAL_MS);
}

static void on_loop_iteration(void *data)
{
	daemon_state_t *state = data;

	if (term_signals) {
		term_signals = 0;
		begin_shutdown(state);
	}
	if (reload_signals) {
		reload_signals = 0;
		reload_settings(state);
	}
	if (state->store.has_news || state->has_limit_news) {
		daemon_update_store_status(state);
		peers_spread_news(&state->peers);
		state->store.has_news = false;
		state->has_limit_news = false;
	}
	peers_spread_crashes(&state->peers);
}

static int add_loop_hooks(daemon_state_t *state)
{
	loop_t *loop = &state->loop;

	if (loop_add_hook(loop, on_loop_iteration, state) ||
	    loop_add_hook(loop, upstream_free_closed, &state->upstream) ||
	    loop_add_hook(loop, forward_end_iteration, &state->forward) ||
	    loop_add_hook(loop, log_flush, &state->log))
		return MEDLAR_ERR_FULL;
	return MEDLAR_OK;
}

static void start_store_client(daemon_state_t *state)
{
	medlar_buf_t key;
	medlar_buf_t value;

	medlar_buf_init(&key);
	medlar_buf_init(&value);
	entries_instance_key(medlar_str_from(state->settings.instance), &key);
	peers_write_entry(&state->settings, &value);
	store_start(&state->store, medlar_buf_str(&key),
		    medlar_buf_str(&value));
	medlar_buf_finish(&key);
	medlar_buf_finish(&value);
}

/**
 * daemon_start() - connect and start the components
 * @state: the router process; its settings, client, log and loop are initialised
 *
 * Return: %MEDLAR_OK, or the first error; daemon_stop() may be called after %MEDLAR_OK only.
 */
int daemon_start(daemon_state_t *state)
{
	const router_settings_t *settings = &state->settings;
	const retry_limits_t limits = { settings->retry_ratio,
					settings->retry_slack,
					settings->retry_window_ms };
	struct sockaddr_in store_address;
	int error;

	if (router_address_parse(medlar_str_from(settings->store),
				 &store_address))
		return MEDLAR_ERR_SYNTAX;
	log_batch_init(&state->replica_log, &state->log, "replica");
	log_batch_init(&state->status_log, &state->log, "bad_status");
	fleet_init(&state->fleet, medlar_str_from(settings->zone), &limits,
		   on_replica_removed, state);
	state->fleet.on_unavailable = daemon_on_unavailable;
	state->fleet.unavailable_data = state;
	state->fleet.on_limit = daemon_on_limit;
	state->fleet.limit_data = state;
	upstream_init(&state->upstream, &state->loop, &state->stats,
		      REPLY_BODY_BYTES_MAX, &upstream_events, state);
	mirror_init(&state->mirror, &mirror_events, state);
	store_init(&state->store, &state->loop, &state->log, &state->stats,
		   &platform_store_calls, &store_address, &state->mirror);
	state->store.on_epoch = on_epoch;
	state->store.epoch_data = state;
	observations_init(&state->observations, &state->loop,
			  &state->replica_log, &state->stats, &state->fleet,
			  &state->peers);
	state->convictions = (convictions_t){
		.loop = &state->loop,
		.log = &state->log,
		.suspects = &state->forward.suspects,
		.peers = &state->peers,
		.store = &state->store,
		.instance = medlar_str_from(settings->instance),
	};
	error = peers_init(&state->peers, &state->loop, &state->log,
			   &state->stats, settings, &state->mirror,
			   &state->forward.suspects, &peers_events, state);
	if (!error)
		error = forward_init(&state->forward, &state->loop, &state->log,
				     &state->stats, &state->upstream,
				     &state->fleet, &state->peers, settings,
				     routes_are_current, state);
	if (!error)
		error = listeners_open(state);
	if (!error)
		error = add_loop_hooks(state);
	if (error)
		return error;
	update_instances(state);
	start_store_client(state);
	medlar_timer_init(&state->tick_timer, on_tick, state);
	return medlar_timer_set(&state->client, &state->tick_timer,
				state->loop.now + TICK_INTERVAL_MS);
}

/**
 * daemon_stop() - stop the components and release their memory
 * @state: the router process
 */
void daemon_stop(daemon_state_t *state)
{
	listeners_close(state);
	forward_finish(&state->forward);
	peers_finish(&state->peers);
	store_finish(&state->store);
	upstream_finish(&state->upstream);
	fleet_finish(&state->fleet);
	mirror_finish(&state->mirror);
	log_batch_finish(&state->replica_log);
	log_batch_finish(&state->status_log);
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

static int run_components(daemon_state_t *state)
{
	int error = loop_init(&state->loop, &state->client);

	if (!error)
		error = handle_signals();
	if (!error)
		error = daemon_start(state);
	LOG_LINE(&state->log, LOG_LEVEL_NOTICE, "start",
		 MEDLAR_TEXT("instance",
			     medlar_str_from(state->settings.instance)),
		 MEDLAR_TEXT("result",
			     medlar_str_from(medlar_error_name(error))));
	log_flush(&state->log);
	if (error)
		return error;
	loop_run(&state->loop);
	daemon_stop(state);
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
 * daemon_check() - check a settings file without starting the router
 * @path: name of the file
 *
 * Errors are logged.
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_NOMEM, or the first error in the file.
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
 * daemon_run() - run the router until a signal stops it
 * @path: name of the settings file
 *
 * Return: %MEDLAR_OK after a graceful shutdown, or the error that prevented the
 * start.
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
		error = run_components(state);
	}
	log_finish(&state->log);
	medlar_client_finish(&state->client);
	free(state);
	return error;
}
