/*
 * Several routers and the stand-in for the platform's store in one thread, on a
 * virtual clock. Each router is the whole process but for its signals, has a
 * loopback address of its own, and reaches the store through a gate of its own.
 */
#ifndef TESTS_ROUTER_SIM_H
#define TESTS_ROUTER_SIM_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <sodium.h>
#include <cmocka.h>

#include "router/daemon_internal.h"
#include "tests/fakes/site_store.h"

#define SIM_ROUTERS_MAX 128
/* The first free port from this on is used, and those that follow it by hundreds. */
#define SIM_PORT_BASE 24800
#define SIM_PORTS_LEN 100
#define SIM_CONNECTIONS_MAX 1024
#define SIM_START_MS ((medlar_time_t)1000000)
/* A large simulation moves on in longer steps, to save time. */
#define SIM_STEP_MS 10
#define SIM_STEP_LARGE_MS 25
#define SIM_LARGE_LEN 30
#define SIM_ZONES 3

/*
 * struct sim_router - a router and its way to the store
 * @state: the router; NULL while it is down
 * @gate: how the store treats it
 * @listener: listener of the store for it
 * @gossip_fd: its socket for messages, while it is cut off from other routers
 * @gossip_watch: how it watches that socket otherwise
 * @started_at: when it last started, ms
 */
typedef struct sim_router {
	daemon_state_t *state;
	site_gate_t gate;
	h1_server_t listener;
	int gossip_fd;
	loop_watch_t gossip_watch;
	medlar_time_t started_at;
} sim_router_t;

typedef struct router_sim {
	medlar_client_t client;
	loop_t loop;
	site_store_t store;
	sim_router_t routers[SIM_ROUTERS_MAX];
	size_t len;
	int port;
	int ready_fd; /* epoll of the epoll descriptors of all loops */
	medlar_time_t now;
	medlar_rand_t rand;
} router_sim_t;

static inline void sim_on_store_request(h1_conn_t *conn, void *data)
{
	site_gate_serve(data, conn);
}

static inline void sim_on_store_disconnect(h1_conn_t *conn, void *data)
{
	site_gate_forget(data, conn);
}

static const h1_handler_t sim_store_handler = {
	.request = sim_on_store_request,
	.disconnected = sim_on_store_disconnect,
};

static inline void sim_address(const router_sim_t *sim, size_t index,
			       unsigned net, int port_offset, char *out,
			       size_t size)
{
	(void)snprintf(out, size, "127.%u.0.%zu:%d", net, index + 1,
		       sim->port + port_offset);
}

static inline int sim_open_gate(router_sim_t *sim, size_t index)
{
	static const h1_server_options_t options = {
		.message = { 65536, 1 << 20 },
		.receive_ms = MEDLAR_HOUR,
		.idle_ms = MEDLAR_HOUR,
	};
	sim_router_t *router = &sim->routers[index];
	struct sockaddr_in address;
	char text[64];

	router->gate = (site_gate_t){ .store = &sim->store };
	router->gossip_fd = -1;
	sim_address(sim, index, 2, 0, text, sizeof(text));
	if (router_address_parse(medlar_str_from(text), &address))
		return MEDLAR_ERR_SYNTAX;
	return h1_server_init(&router->listener, &sim->loop,
			      (const struct sockaddr *)&address, &options,
			      SIM_CONNECTIONS_MAX, &sim_store_handler,
			      &router->gate);
}

static inline void sim_watch_loop(const router_sim_t *sim, loop_t *loop)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = loop };

	assert_int_equal(
		epoll_ctl(sim->ready_fd, EPOLL_CTL_ADD, loop->epoll, &event),
		0);
}

static inline void sim_write_settings(const router_sim_t *sim, size_t index,
				      medlar_buf_t *out)
{
	static const struct {
		const char *name;
		unsigned net;
		int port_offset;
	} addresses[] = { { "callers", 1, 100 },
			  { "readiness", 1, 200 },
			  { "directory", 1, 300 },
			  { "peers", 1, 0 },
			  { "store", 2, 0 } };
	char text[64];

	medlar_buf_printf(out, "{\"instance\":\"r-%03zu\",\"zone\":\"z%zu\"",
			  index, index % SIM_ZONES);
	for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		sim_address(sim, index, addresses[i].net,
			    addresses[i].port_offset, text, sizeof(text));
		medlar_buf_printf(out, ",\"%s\":\"%s\"", addresses[i].name,
				  text);
	}
	sim_address(sim, 0, 1, 0, text, sizeof(text));
	medlar_buf_printf(out, ",\"seeds\":\"%s\"}", text);
}

/* Starts a router that is down; its memory of before is gone. */
static inline void sim_start_router(router_sim_t *sim, size_t index)
{
	sim_router_t *router = &sim->routers[index];
	daemon_state_t *state = calloc(1, sizeof(*state));
	medlar_buf_t settings;

	assert_non_null(state);
	log_init(&state->log, STDERR_FILENO, 0, LOG_LEVEL_ERROR);
	medlar_client_init(&state->client, MEDLAR_STR("router"), 0,
			   medlar_rand_below(&sim->rand, UINT32_MAX));
	medlar_buf_init(&settings);
	sim_write_settings(sim, index, &settings);
	assert_int_equal(router_settings_parse(&state->settings, &state->client,
					       MEDLAR_STR("settings"),
					       medlar_buf_str(&settings)),
			 MEDLAR_OK);
	medlar_buf_finish(&settings);
	assert_int_equal(loop_init(&state->loop, &state->client), MEDLAR_OK);
	state->loop.now = sim->now;
	assert_int_equal(daemon_start(state), MEDLAR_OK);
	state->peers.incarnation += (uint64_t)sim->now;
	sim_watch_loop(sim, &state->loop);
	router->state = state;
	router->started_at = sim->now;
}

/* Ends a router without notice. */
static inline void sim_kill_router(router_sim_t *sim, size_t index)
{
	sim_router_t *router = &sim->routers[index];
	daemon_state_t *state = router->state;

	if (!state)
		return;
	if (router->gossip_fd >= 0)
		close(router->gossip_fd);
	router->gossip_fd = -1;
	router->state = NULL;
	daemon_stop(state);
	log_finish(&state->log);
	medlar_client_finish(&state->client);
	free(state);
}

/*
 * Cuts a router off from the others: its messages go to a socket that takes none,
 * and those sent to it stay unread.
 */
static inline void sim_cut_peers(router_sim_t *sim, size_t index)
{
	sim_router_t *router = &sim->routers[index];
	peers_t *peers = &router->state->peers;

	router->gossip_fd = peers->fd;
	router->gossip_watch = peers->loop->watches[peers->fd];
	loop_unwatch(peers->loop, peers->fd);
	peers->fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK, 0);
}

/* Ends the cut; messages that were sent meanwhile are lost. */
static inline void sim_join_peers(router_sim_t *sim, size_t index)
{
	sim_router_t *router = &sim->routers[index];
	peers_t *peers = &router->state->peers;
	char bytes[2048];

	while (recv(router->gossip_fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		;
	close(peers->fd);
	peers->fd = router->gossip_fd;
	router->gossip_fd = -1;
	assert_int_equal(loop_watch(peers->loop, peers->fd, EPOLLIN,
				    router->gossip_watch.fn,
				    router->gossip_watch.data),
			 MEDLAR_OK);
}

/* Handles all that is due or on its way; the clock stands still. */
static inline void sim_settle(router_sim_t *sim)
{
	struct epoll_event ready[SIM_ROUTERS_MAX + 1];
	int count;

	(void)loop_poll(&sim->loop, sim->now);
	for (size_t i = 0; i < sim->len; i++)
		if (sim->routers[i].state)
			(void)loop_poll(&sim->routers[i].state->loop, sim->now);
	while ((count = epoll_wait(sim->ready_fd, ready, SIM_ROUTERS_MAX + 1,
				   0)) > 0)
		for (int i = 0; i < count; i++)
			(void)loop_poll(ready[i].data.ptr, sim->now);
}

static inline void sim_step(router_sim_t *sim)
{
	sim->now += sim->len < SIM_LARGE_LEN ? SIM_STEP_MS : SIM_STEP_LARGE_MS;
	sim_settle(sim);
}

static inline void sim_run_for(router_sim_t *sim, medlar_time_t span)
{
	medlar_time_t end = sim->now + span;

	while (sim->now < end)
		sim_step(sim);
}

/* Initialises the store and starts @len routers. */
static inline router_sim_t *sim_begin(size_t len, uint64_t seed)
{
	router_sim_t *sim = calloc(1, sizeof(*sim));
	int error = MEDLAR_ERR_IO;

	assert_non_null(sim);
	sim->len = len;
	sim->now = SIM_START_MS;
	sim->rand = (medlar_rand_t){ seed };
	medlar_client_init(&sim->client, MEDLAR_STR("sim"), 0, seed);
	assert_int_equal(loop_init(&sim->loop, &sim->client), MEDLAR_OK);
	sim->loop.now = sim->now;
	sim->ready_fd = epoll_create1(EPOLL_CLOEXEC);
	sim_watch_loop(sim, &sim->loop);
	assert_int_equal(site_store_init(&sim->store, &sim->loop), MEDLAR_OK);
	for (int i = 0; error && i < SIM_PORTS_LEN; i++) {
		sim->port = SIM_PORT_BASE + ((int)getpid() + i) % SIM_PORTS_LEN;
		error = sim_open_gate(sim, 0);
	}
	for (size_t i = 1; i < len && !error; i++)
		error = sim_open_gate(sim, i);
	assert_int_equal(error, MEDLAR_OK);
	for (size_t i = 0; i < len; i++)
		sim_start_router(sim, i);
	return sim;
}

static inline void sim_end(router_sim_t *sim)
{
	for (size_t i = 0; i < sim->len; i++) {
		sim_kill_router(sim, i);
		h1_server_finish(&sim->routers[i].listener);
	}
	site_store_finish(&sim->store);
	close(sim->ready_fd);
	loop_finish(&sim->loop);
	medlar_client_finish(&sim->client);
	free(sim);
}

static inline void sim_put_replica(router_sim_t *sim, unsigned number,
				   unsigned seq, const char *state)
{
	char key[64];
	char value[512];

	(void)snprintf(key, sizeof(key), "servers/s-%u", number);
	(void)snprintf(value, sizeof(value),
		       "{\"service\":\"service\",\"address\":\"127.3.0.1:%u\","
		       "\"zone\":\"z%u\",\"version\":\"v1\",\"slots\":2,"
		       "\"state\":\"%s\",\"warmupLeftMs\":0,\"seq\":%u,"
		       "\"born\":1}",
		       1000 + number, number % SIM_ZONES, state, seq);
	site_store_put(&sim->store, key, value, 0);
}

static inline void sim_remove_replica(router_sim_t *sim, unsigned number)
{
	char key[64];

	(void)snprintf(key, sizeof(key), "servers/s-%u", number);
	site_store_put(&sim->store, key, NULL, 0);
}

/* Whether a router would send requests to a replica. */
static inline bool sim_uses_replica(const router_sim_t *sim, size_t index,
				    unsigned number)
{
	daemon_state_t *state = sim->routers[index].state;
	replica_t *replica;
	char id[64];

	if (!state)
		return false;
	(void)snprintf(id, sizeof(id), "s-%u", number);
	replica = fleet_find(&state->fleet, medlar_str_from(id));
	return replica && !replica_is_leaving(replica);
}

#endif /* TESTS_ROUTER_SIM_H */
