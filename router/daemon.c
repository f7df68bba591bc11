/**
 * DOC: the router as a process
 *
 * Joins the parts, and turns signals into a reload or an orderly stop.
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

#define TICK 100
#define REPLY_MAX ((size_t)8 << 20)
/* How long callers may keep the addresses that they are given, ms. */
#define ADDRESS_TTL MEDLAR_SECOND
/* Callers that keep addresses for too long keep them this many times. */
#define ADDRESS_OVERSTAY 3
/* Time between the last request and the forced end, ms. */
#define STOP_MARGIN 500
/* What the store said is up to date if it was heard this lately, ms. */
#define FRESH_MAX (4 * MEDLAR_SECOND)

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

/**
 * daemon_is_ready() - tell whether callers are taken
 * @state: the process
 *
 * Return: whether there is a configuration and the instance does not leave.
 */
bool daemon_is_ready(const daemon_state_t *state)
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

static void on_replica_removed(replica_t *replica, void *data)
{
	(void)data;
	upstream_forget(replica);
}

static void on_crash(uint64_t fingerprint, const replica_t *replica, void *data)
{
	daemon_state_t *state = data;

	forward_crash(&state->forward, fingerprint, replica);
}

/**
 * daemon_address_ttl() - how long callers may keep addresses
 * @state: the process
 *
 * Return: the time, ms.
 */
medlar_time_t daemon_address_ttl(const daemon_state_t *state)
{
	medlar_time_t most = state->settings.address_ttl_max_ms;

	return most < ADDRESS_TTL ? most : ADDRESS_TTL;
}

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
	medlar_time_t stay = ADDRESS_OVERSTAY * daemon_address_ttl(state) +
			     TICK;
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
	state->peers.ready = daemon_is_ready(state);
	state->peers.near = fleet_near(&state->fleet);
	store_watch(&state->store, peers_should_watch(&state->peers));
	directory_tell(state);
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
	mirror_init(&state->mirror, directory_change, state);
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
		error = listeners_open(state);
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
	listeners_close(state);
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
