/* Messages of other instances, proper and not; fixed seed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <sodium.h>
#include <cmocka.h>

#include "router/peers_internal.h"

/* Runs at the same time get ports of their own, within 24500 to 24599. */
#define PORT_BASE 24500
#define PORTS 100
#define DATAGRAM_MAX 2048
#define ROUNDS 20000

typedef struct world {
	medlar_client_t client;
	loop_t loop;
	logger_t log;
	stats_t stats;
	router_settings_t settings;
	mirror_t mirror;
	suspects_t suspects;
	peers_t peers;
	struct sockaddr_in address;
	int fd;
} world_t;

static void on_change(const store_item_t *item, void *data)
{
	(void)item;
	(void)data;
}

static bool can_take(void *data)
{
	(void)data;
	return false;
}

static int open_world(void **state)
{
	world_t *world = calloc(1, sizeof(*world));
	char *own = world->settings.peers;

	(void)snprintf(own, sizeof(world->settings.peers), "127.0.0.1:%d",
		       PORT_BASE + (int)getpid() % PORTS);
	(void)snprintf(world->settings.instance,
		       sizeof(world->settings.instance), "own");
	medlar_client_init(&world->client, MEDLAR_STR("t"), 0, 1);
	assert_int_equal(loop_init(&world->loop, &world->client), MEDLAR_OK);
	log_init(&world->log, STDERR_FILENO, 0, LOG_LEVEL_ERROR);
	mirror_init(&world->mirror, on_change, NULL);
	assert_int_equal(
		router_address_parse(medlar_str_from(own), &world->address),
		MEDLAR_OK);
	assert_int_equal(peers_init(&world->peers, &world->loop, &world->log,
				    &world->stats, &world->settings,
				    &world->mirror, &world->suspects, can_take,
				    NULL),
			 MEDLAR_OK);
	world->fd = socket(AF_INET, SOCK_DGRAM, 0);
	*state = world;
	return 0;
}

static int close_world(void **state)
{
	world_t *world = *state;

	close(world->fd);
	peers_finish(&world->peers);
	mirror_finish(&world->mirror);
	log_finish(&world->log);
	loop_finish(&world->loop);
	medlar_client_finish(&world->client);
	free(world);
	return 0;
}

static size_t encode(gossip_message *message, char *bytes)
{
	struct rpc_msg call = { .rm_direction = CALL };
	size_t len;
	XDR xdr;

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = GOSSIP_PROGRAM;
	call.rm_call.cb_vers = GOSSIP_VERSION;
	call.rm_call.cb_proc = GOSSIP_TELL;
	xdrmem_create(&xdr, bytes, DATAGRAM_MAX, XDR_ENCODE);
	assert_true(xdr_callmsg(&xdr, &call));
	assert_true(xdr_gossip_message(&xdr, message));
	len = XDR_GETPOS(&xdr);
	XDR_DESTROY(&xdr);
	return len;
}

static gossip_message proper(void)
{
	return (gossip_message){ .name = (char *)"other",
				 .zone = (char *)"z",
				 .callers = (char *)"127.0.0.1:10",
				 .peers = (char *)"127.0.0.1:11",
				 .start = 1,
				 .seq = 1,
				 .ready = true };
}

static void stop(medlar_client_t *client, medlar_timer_t *timer,
		 medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	loop_stop(data);
}

/* Sends a datagram and lets the loop take it. */
static void deliver(world_t *world, const char *bytes, size_t len)
{
	medlar_timer_t timer;

	assert_int_equal(sendto(world->fd, bytes, len, 0,
				(struct sockaddr *)&world->address,
				sizeof(world->address)),
			 len);
	medlar_timer_init(&timer, stop, &world->loop);
	(void)medlar_timer_set(&world->client, &timer, world->loop.now);
	world->loop.stopped = false;
	loop_run(&world->loop);
}

static void deliver_message(world_t *world, gossip_message *message)
{
	char bytes[DATAGRAM_MAX];

	deliver(world, bytes, encode(message, bytes));
}

static void a_proper_message_makes_an_instance_known(void **state)
{
	world_t *world = *state;
	gossip_message message = proper();

	deliver_message(world, &message);
	assert_int_equal(world->peers.len, 1);
	assert_string_equal(TAILQ_FIRST(&world->peers.list)->callers,
			    "127.0.0.1:10");
}

/* Callers would be told such an address. */
static void an_address_that_is_none_makes_nobody_known(void **state)
{
	static const char *const wrong[] = {
		"",
		"127.0.0.1",
		"a:1",
		"127.0.0.1:",
		"127.0.0.1:0x1\"}",
		"127.0.0.1:70000",
		"127.0.0.1: 5",
	};
	world_t *world = *state;
	medlar_buf_t entry;

	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		gossip_message message = proper();

		message.callers = (char *)wrong[i];
		deliver_message(world, &message);
		message = proper();
		message.peers = (char *)wrong[i];
		deliver_message(world, &message);
		message = proper();
		message.name = (char *)"";
		deliver_message(world, &message);
		medlar_buf_init(&entry);
		medlar_buf_printf(&entry, "%s 127.0.0.1:11", wrong[i]);
		peers_listed(&world->peers, MEDLAR_STR("other"),
			     medlar_buf_str(&entry));
		medlar_buf_finish(&entry);
	}
	assert_int_equal(world->peers.len, 0);
}

/* Listed ones, since others are forgotten as time goes by. */
static void strange_names_are_bounded(void **state)
{
	world_t *world = *state;
	gossip_message message = proper();
	char name[32];

	for (unsigned i = 0; i < PEERS_MAX + 50; i++) {
		(void)snprintf(name, sizeof(name), "other-%u", i);
		peers_listed(&world->peers, medlar_str_from(name),
			     MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	}
	assert_int_equal(world->peers.len, PEERS_MAX);
	message.name = (char *)"one-more";
	deliver_message(world, &message);
	assert_int_equal(world->peers.len, PEERS_MAX);
}

/* Found by the day at 300 machines: one instance handed changes to all. */
static void instances_take_changes_from_different_ones(void **state)
{
	world_t *world = *state;
	unsigned taken[4] = { 0 };
	char name[32];

	for (unsigned i = 0; i < 4; i++) {
		gossip_message message = proper();

		(void)snprintf(name, sizeof(name), "other-%u", i);
		message.name = name;
		message.revision = 7;
		deliver_message(world, &message);
	}
	for (unsigned i = 0; i < 300; i++) {
		const peer_instance_t *source;

		(void)snprintf(world->settings.instance,
			       sizeof(world->settings.instance), "own-%u", i);
		source = changes_source(&world->peers);
		assert_non_null(source);
		taken[source->name[strlen("other-")] - '0']++;
	}
	for (unsigned i = 0; i < 4; i++)
		assert_in_range(taken[i], 50, 100);
}

static void the_best_informed_one_is_the_source(void **state)
{
	world_t *world = *state;
	gossip_message message = proper();

	assert_null(changes_source(&world->peers));
	message.revision = 8;
	deliver_message(world, &message);
	message.name = (char *)"another";
	message.revision = 9;
	deliver_message(world, &message);
	assert_string_equal(changes_source(&world->peers)->name, "another");
}

static void mutated_messages_do_no_harm(void **state)
{
	world_t *world = *state;
	medlar_rand_t rand = { 17 };

	for (int i = 0; i < ROUNDS; i++) {
		gossip_message message = proper();
		char bytes[DATAGRAM_MAX];
		size_t len;

		message.seq = (unsigned)i + 1;
		len = encode(&message, bytes);
		for (size_t j = medlar_rand_below(&rand, 4); j > 0; j--)
			bytes[medlar_rand_below(&rand, len)] = (char)
				medlar_rand_below(&rand, 256);
		if (medlar_rand_below(&rand, 4) == 0)
			len = medlar_rand_below(&rand, len);
		deliver(world, bytes, len);
	}
	assert_true(world->stats.counts[STAT_GOSSIP_RECEIVED] > ROUNDS / 8);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_proper_message_makes_an_instance_known, open_world,
			close_world),
		cmocka_unit_test_setup_teardown(
			an_address_that_is_none_makes_nobody_known, open_world,
			close_world),
		cmocka_unit_test_setup_teardown(strange_names_are_bounded,
						open_world, close_world),
		cmocka_unit_test_setup_teardown(
			instances_take_changes_from_different_ones, open_world,
			close_world),
		cmocka_unit_test_setup_teardown(
			the_best_informed_one_is_the_source, open_world,
			close_world),
		cmocka_unit_test_setup_teardown(mutated_messages_do_no_harm,
						open_world, close_world),
	};

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
