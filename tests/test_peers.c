/* Gossip messages of other instances: valid, invalid, and randomly mutated. */
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
#include "router/store.h"

/* The first free port from 24500 to 24599 is used. */
#define PORT_BASE 24500
#define PORTS_LEN 100
#define DATAGRAM_MAX 2048
#define MUTATION_ROUNDS 20000
/* Last byte of the procedure number in a call. */
#define PROC_OFFSET 23

typedef struct fixture {
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
} fixture_t;

static void ignore_change(const store_item_t *item, void *data)
{
	(void)item;
	(void)data;
}

static const mirror_events_t mirror_events = { .change = ignore_change };

static bool can_apply_changes(void *data)
{
	(void)data;
	return false;
}

static replica_report_t last_report;
static announcement_t last_announcement;

static void keep_report(const replica_report_t *report, void *data)
{
	(void)data;
	last_report = *report;
}

static void keep_announcement(const announcement_t *announcement, void *data)
{
	(void)data;
	last_announcement = *announcement;
}

static limit_news_t last_limit;

static size_t list_no_limits(limit_news_t *out, size_t max, void *data)
{
	(void)out;
	(void)max;
	(void)data;
	return 0;
}

static void keep_limit(const limit_news_t *news, void *data)
{
	(void)data;
	last_limit = *news;
}

static uint64_t last_epoch;

static void keep_epoch(uint64_t epoch, void *data)
{
	(void)data;
	last_epoch = epoch;
}

static gossip_trial last_trial;

static void keep_trial(const gossip_trial *trial, void *data)
{
	(void)data;
	last_trial = *trial;
}

static const peers_events_t peers_events = {
	.can_apply_changes = can_apply_changes,
	.report = keep_report,
	.announcement = keep_announcement,
	.list_limits = list_no_limits,
	.limit = keep_limit,
	.epoch = keep_epoch,
	.trial = keep_trial,
};

static int init_peers(fixture_t *fixture, int port)
{
	char *own = fixture->settings.peers;
	int error;

	(void)snprintf(own, sizeof(fixture->settings.peers), "127.0.0.1:%d",
		       port);
	assert_int_equal(
		router_address_parse(medlar_str_from(own), &fixture->address),
		MEDLAR_OK);
	error = peers_init(&fixture->peers, &fixture->loop, &fixture->log,
			   &fixture->stats, &fixture->settings,
			   &fixture->mirror, &fixture->suspects, &peers_events,
			   NULL);
	if (error)
		peers_finish(&fixture->peers);
	return error;
}

static int set_up(void **state)
{
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	int error = MEDLAR_ERR_IO;

	(void)snprintf(fixture->settings.instance,
		       sizeof(fixture->settings.instance), "own");
	(void)snprintf(fixture->settings.zone, sizeof(fixture->settings.zone),
		       "z");
	medlar_client_init(&fixture->client, MEDLAR_STR("t"), 0, 1);
	assert_int_equal(loop_init(&fixture->loop, &fixture->client),
			 MEDLAR_OK);
	log_init(&fixture->log, STDERR_FILENO, 0, LOG_LEVEL_ERROR);
	mirror_init(&fixture->mirror, &mirror_events, NULL);
	for (int i = 0; error == MEDLAR_ERR_IO && i < PORTS_LEN; i++)
		error = init_peers(fixture,
				   PORT_BASE + ((int)getpid() + i) % PORTS_LEN);
	assert_int_equal(error, MEDLAR_OK);
	fixture->fd = socket(AF_INET, SOCK_DGRAM, 0);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	close(fixture->fd);
	peers_finish(&fixture->peers);
	mirror_finish(&fixture->mirror);
	log_finish(&fixture->log);
	loop_finish(&fixture->loop);
	medlar_client_finish(&fixture->client);
	free(fixture);
	return 0;
}

static size_t encode_with_watchers(gossip_message *message,
				   gossip_watchers *watchers, char *bytes)
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
	if (watchers)
		assert_true(xdr_gossip_watchers(&xdr, watchers));
	len = XDR_GETPOS(&xdr);
	XDR_DESTROY(&xdr);
	return len;
}

static size_t encode_message(gossip_message *message, char *bytes)
{
	return encode_with_watchers(message, NULL, bytes);
}

static gossip_message valid_message(void)
{
	return (gossip_message){ .name = (char *)"other",
				 .zone = (char *)"z",
				 .callers = (char *)"127.0.0.1:10",
				 .peers = (char *)"127.0.0.1:11",
				 .start = 1,
				 .seq = 1,
				 .ready = true };
}

static void stop_loop(medlar_client_t *client, medlar_timer_t *timer,
		      medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	loop_stop(data);
}

/* Sends a datagram and runs the loop for one iteration to receive it. */
static void deliver_datagram(fixture_t *fixture, const char *bytes, size_t len)
{
	medlar_timer_t timer;

	assert_int_equal(sendto(fixture->fd, bytes, len, 0,
				(struct sockaddr *)&fixture->address,
				sizeof(fixture->address)),
			 len);
	medlar_timer_init(&timer, stop_loop, &fixture->loop);
	(void)medlar_timer_set(&fixture->client, &timer, fixture->loop.now);
	fixture->loop.stopped = false;
	loop_run(&fixture->loop);
}

static void deliver_message(fixture_t *fixture, gossip_message *message)
{
	char bytes[DATAGRAM_MAX];

	deliver_datagram(fixture, bytes, encode_message(message, bytes));
}

static void a_valid_message_adds_an_instance(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();

	deliver_message(fixture, &message);
	assert_int_equal(fixture->peers.len, 1);
	assert_string_equal(TAILQ_FIRST(&fixture->peers.list)->caller_address,
			    "127.0.0.1:10");
}

/* Invalid addresses would be given to callers. */
static void an_invalid_address_or_name_adds_no_instance(void **state)
{
	static const char *const invalid[] = {
		"",
		"127.0.0.1",
		"a:1",
		"127.0.0.1:",
		"127.0.0.1:0x1\"}",
		"127.0.0.1:70000",
		"127.0.0.1: 5",
	};
	fixture_t *fixture = *state;
	medlar_buf_t entry;

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		gossip_message message = valid_message();

		message.callers = (char *)invalid[i];
		deliver_message(fixture, &message);
		message = valid_message();
		message.peers = (char *)invalid[i];
		deliver_message(fixture, &message);
		message = valid_message();
		message.name = (char *)"";
		deliver_message(fixture, &message);
		medlar_buf_init(&entry);
		medlar_buf_printf(&entry, "%s 127.0.0.1:11", invalid[i]);
		peers_register(&fixture->peers, MEDLAR_STR("other"),
			       medlar_buf_str(&entry));
		medlar_buf_finish(&entry);
	}
	assert_int_equal(fixture->peers.len, 0);
}

/*
 * The instances are registered in the store, as others would be removed after
 * some time without a message.
 */
static void the_number_of_instances_is_limited(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();
	char name[32];

	for (unsigned i = 0; i < PEERS_MAX + 50; i++) {
		(void)snprintf(name, sizeof(name), "other-%u", i);
		peers_register(&fixture->peers, medlar_str_from(name),
			       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	}
	assert_int_equal(fixture->peers.len, PEERS_MAX);
	message.name = (char *)"one-more";
	deliver_message(fixture, &message);
	assert_int_equal(fixture->peers.len, PEERS_MAX);
}

/* Nobody listens at the addresses of the instances, so all fetches have failed. */
static void forget_failed_fetches(fixture_t *fixture)
{
	peer_instance_t *peer;

	TAILQ_FOREACH(peer, &fixture->peers.list, link)
		peer->fetch_failed_at = 0;
}

/*
 * Guards against one instance serving the changes to all others. That happened
 * in a deployment of 300 machines, where all chose the same source.
 */
static void fetches_of_changes_are_spread_over_instances(void **state)
{
	fixture_t *fixture = *state;
	unsigned fetches[4] = { 0 };
	char name[32];

	for (unsigned i = 0; i < 4; i++) {
		gossip_message message = valid_message();

		(void)snprintf(name, sizeof(name), "other-%u", i);
		message.name = name;
		message.revision = 7;
		deliver_message(fixture, &message);
	}
	forget_failed_fetches(fixture);
	for (unsigned i = 0; i < 300; i++) {
		const peer_instance_t *source;

		(void)snprintf(fixture->settings.instance,
			       sizeof(fixture->settings.instance), "own-%u", i);
		fixture->peers.own_hash = medlar_str_hash(
			medlar_str_from(fixture->settings.instance), 0);
		source = changes_source(&fixture->peers);
		assert_non_null(source);
		fetches[source->name[strlen("other-")] - '0']++;
	}
	for (unsigned i = 0; i < 4; i++)
		assert_in_range(fetches[i], 50, 100);
}

static void the_source_has_the_highest_revision(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();

	assert_null(changes_source(&fixture->peers));
	message.revision = 8;
	deliver_message(fixture, &message);
	message.name = (char *)"another";
	message.revision = 9;
	deliver_message(fixture, &message);
	assert_string_equal(changes_source(&fixture->peers)->name, "another");
}

/*
 * At a start of 302 instances about 100 fetched everything from the one that was
 * furthest.
 */
static void a_source_in_the_zone_comes_first(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();

	message.revision = 8;
	deliver_message(fixture, &message);
	message.name = (char *)"far";
	message.zone = (char *)"y";
	message.revision = 9;
	deliver_message(fixture, &message);
	forget_failed_fetches(fixture);
	assert_string_equal(changes_source(&fixture->peers)->name, "other");
	mirror_advance(&fixture->mirror, 8);
	assert_string_equal(changes_source(&fixture->peers)->name, "far");
}

static void deliver_watcher(fixture_t *fixture, gossip_message *message,
			    const char *name, uint32_t age, uint64_t revision)
{
	gossip_watcher watcher = { medlar_str_hash(medlar_str_from(name), 0),
				   age, revision };
	gossip_watchers watchers = { { 1, &watcher } };
	char bytes[DATAGRAM_MAX];

	message->seq++;
	deliver_datagram(fixture, bytes,
			 encode_with_watchers(message, &watchers, bytes));
}

/*
 * At 302 instances each heard from a watcher itself every 8 s only, took it for
 * silent, and watched the store, too.
 */
static void a_watcher_is_known_through_others(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();
	watch_view_t view;

	peers_register(&fixture->peers, MEDLAR_STR("first"),
		       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	deliver_watcher(fixture, &message, "first", 100, 5);
	view = peers_watch_view(&fixture->peers);
	assert_int_equal(view.fresh_before, 1);
	/* Its copy may hold changes that this instance has not seen. */
	assert_int_equal(peers_store_last_contact(&fixture->peers), 0);
	mirror_advance(&fixture->mirror, 5);
	assert_in_range(fixture->loop.now -
				peers_store_last_contact(&fixture->peers),
			99, 60000);
}

/*
 * All start at the same time and read the store. Each took itself for the only
 * one then, and for a watcher as the store had just answered it.
 */
static void a_start_of_everything_makes_few_watchers(void **state)
{
	fixture_t *fixture = *state;
	watch_view_t view;
	char name[32];

	for (unsigned i = 0; i < 10; i++) {
		(void)snprintf(name, sizeof(name), "a-%u", i);
		peers_register(&fixture->peers, medlar_str_from(name),
			       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	}
	fixture->peers.store.last_contact = fixture->loop.now;
	view = peers_watch_view(&fixture->peers);
	assert_false(view.in_contact);
	assert_int_equal(view.live_before, 10);
	assert_int_equal(view.live, 11);
	fixture->peers.started_at -= MEDLAR_MINUTE;
	view = peers_watch_view(&fixture->peers);
	assert_int_equal(view.live_before, 0);
}

/* An instance without news must not keep a silent watcher alive. */
static void an_old_contact_is_not_taken_for_a_new_one(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();
	const peer_instance_t *first;

	peers_register(&fixture->peers, MEDLAR_STR("first"),
		       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	first = TAILQ_FIRST(&fixture->peers.list);
	deliver_watcher(fixture, &message, "first", 100, 5);
	deliver_watcher(fixture, &message, "first", 60000, 9);
	assert_int_equal(first->contact.revision, 5);
	deliver_watcher(fixture, &message, "unknown", 100, 5);
	assert_int_equal(fixture->peers.len, 2);
}

/*
 * It counted as contact, so that others took their routes for current because an
 * instance had started.
 */
static void a_start_is_no_contact_with_the_store(void **state)
{
	fixture_t *fixture = *state;
	store_t store;

	store_init(&store, &fixture->loop, &fixture->log, &fixture->stats, NULL,
		   &fixture->address, &fixture->mirror);
	assert_int_equal(store.last_contact, 0);
	assert_int_equal(store_silence(&store), -1);
	store_finish(&store);
}

/* 404 for a route that the store may have had for longer than that is untrue. */
static void routes_are_not_current_beyond_the_time_to_apply_them(void **state)
{
	fixture_t *fixture = *state;
	medlar_time_t read_at = fixture->loop.now;

	fixture->settings.config_apply_ms = 3000;
	assert_false(peers_mirror_is_current(&fixture->peers));
	fixture->peers.store.last_contact = read_at;
	fixture->loop.now = read_at + 2500;
	assert_true(peers_mirror_is_current(&fixture->peers));
	fixture->loop.now = read_at + 3001;
	assert_false(peers_mirror_is_current(&fixture->peers));
}

/*
 * The number of messages and fetches that a change causes at one instance must
 * not grow with the fleet.
 */
static void news_goes_to_a_few_instances(void **state)
{
	fixture_t *fixture = *state;
	char name[32];

	for (unsigned i = 0; i < 300; i++) {
		(void)snprintf(name, sizeof(name), "other-%u", i);
		peers_register(&fixture->peers, medlar_str_from(name),
			       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	}
	peers_spread_news(&fixture->peers);
	assert_int_equal(fixture->stats.counts[STAT_GOSSIP_SENT], PEERS_FANOUT);
}

/* Traffic between availability zones costs more. */
static void most_messages_stay_in_the_zone(void **state)
{
	fixture_t *fixture = *state;
	size_t received = 0;
	peer_instance_t *peer;
	char name[32];

	for (unsigned i = 0; i < 100; i++) {
		(void)snprintf(name, sizeof(name), "other-%u", i);
		peers_register(&fixture->peers, medlar_str_from(name),
			       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
		peer = TAILQ_LAST(&fixture->peers.list, peer_instance_list);
		(void)snprintf(peer->zone, sizeof(peer->zone), "%s",
			       i % 5 ? "y" : "z");
		/* Messages to instances without an address are not sent. */
		if (i % 5)
			peer->peer_address.sin_port = 0;
	}
	peers_spread_news(&fixture->peers);
	received = fixture->stats.counts[STAT_GOSSIP_SENT];
	assert_int_equal(received, PEERS_FANOUT_NEAR);
}

/*
 * An instance in another zone is heard from itself every 10 s at 118 instances,
 * and known to be live through others.
 */
static void an_instance_is_known_live_through_others(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();
	gossip_live_peer named = { medlar_str_hash(MEDLAR_STR("far"), 0), 200 };
	gossip_watchers watchers = { { 0, NULL } };
	gossip_live_peers live = { { 1, &named } };
	const peer_instance_t *far;
	char bytes[DATAGRAM_MAX];
	size_t len;
	XDR xdr;

	peers_register(&fixture->peers, MEDLAR_STR("far"),
		       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	far = TAILQ_FIRST(&fixture->peers.list);
	assert_false(peer_is_live(&fixture->peers, far));
	len = encode_with_watchers(&message, &watchers, bytes);
	xdrmem_create(&xdr, bytes + len, (unsigned)(sizeof(bytes) - len),
		      XDR_ENCODE);
	assert_true(xdr_gossip_live_peers(&xdr, &live));
	len += XDR_GETPOS(&xdr);
	XDR_DESTROY(&xdr);
	deliver_datagram(fixture, bytes, len);
	assert_true(peer_is_live(&fixture->peers, far));
	assert_in_range(fixture->loop.now - far->last_heard, 199, 60000);
}

/* An instance told all others at once of each of hundreds of crashes. */
static void many_crashes_are_told_in_few_messages(void **state)
{
	fixture_t *fixture = *state;
	const uint64_t *sent = &fixture->stats.counts[STAT_GOSSIP_SENT];
	uint64_t sent_before;
	char name[32];

	for (unsigned i = 0; i < 100; i++) {
		(void)snprintf(name, sizeof(name), "o-%u", i);
		peers_register(&fixture->peers, medlar_str_from(name),
			       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	}
	sent_before = *sent;
	peers_spread_crashes(&fixture->peers);
	assert_int_equal(*sent, sent_before);
	for (uint64_t i = 1; i <= 300; i++) {
		(void)suspects_add_crash(&fixture->suspects, i, i,
					 fixture->loop.now);
		peers_spread_crashes(&fixture->peers);
	}
	assert_in_range(*sent - sent_before, 1, PEERS_FANOUT);
	fixture->loop.now += 20;
	peers_spread_crashes(&fixture->peers);
	assert_in_range(*sent - sent_before, 2, 2 * PEERS_FANOUT);
}

/*
 * An instance whose messages arrive while its connections hang was asked again and
 * again, and nobody else.
 */
static void
a_source_that_does_not_answer_is_not_asked_again_at_once(void **state)
{
	fixture_t *fixture = *state;
	peer_instance_t *peer;
	const peer_instance_t *first;
	medlar_time_t now = fixture->loop.now;

	peers_register(&fixture->peers, MEDLAR_STR("one"),
		       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	peers_register(&fixture->peers, MEDLAR_STR("two"),
		       MEDLAR_STR("127.0.0.1:10 127.0.0.1:11"));
	TAILQ_FOREACH(peer, &fixture->peers.list, link) {
		peer->last_heard = now;
		peer->position.revision = 50;
	}
	first = changes_source(&fixture->peers);
	changes_catch_up(&fixture->peers);
	assert_true(fixture->peers.fetching);
	medlar_client_run(&fixture->client, now + 1000);
	assert_false(fixture->peers.fetching);
	assert_ptr_not_equal(changes_source(&fixture->peers), first);
	TAILQ_FIRST(&fixture->peers.list)->position.revision = 0;
	TAILQ_NEXT(TAILQ_FIRST(&fixture->peers.list), link)->position.revision =
		0;
	((peer_instance_t *)(uintptr_t)first)->position.revision = 51;
	assert_ptr_equal(changes_source(&fixture->peers), first);
}

/* Makes this instance a peer of itself, which receives what it sends. */
static const peer_instance_t *add_self(fixture_t *fixture)
{
	medlar_buf_t entry;

	medlar_buf_init(&entry);
	medlar_buf_printf(&entry, "127.0.0.1:10 %s", fixture->settings.peers);
	peers_register(&fixture->peers, MEDLAR_STR("self"),
		       medlar_buf_str(&entry));
	medlar_buf_finish(&entry);
	return TAILQ_FIRST(&fixture->peers.list);
}

static void run_until_received(fixture_t *fixture)
{
	medlar_timer_t timer;

	medlar_timer_init(&timer, stop_loop, &fixture->loop);
	(void)medlar_timer_set(&fixture->client, &timer, fixture->loop.now);
	fixture->loop.stopped = false;
	loop_run(&fixture->loop);
}

static void reports_and_announcements_arrive(void **state)
{
	fixture_t *fixture = *state;
	const peer_instance_t *self = add_self(fixture);
	const replica_report_t report = { 42, 0, 60, fixture->loop.now };
	const announcements_t announcements = {
		.waiting = { { 43, 70, fixture->loop.now - 500, 2400 } },
		.len = 1
	};

	peers_send_report(&fixture->peers, self, &report);
	run_until_received(fixture);
	assert_int_equal(last_report.replica, 42);
	assert_int_equal(last_report.delay, 60);
	assert_int_equal(last_report.reporter, htonl(INADDR_LOOPBACK));
	peers_send_announcements(&fixture->peers, &announcements);
	run_until_received(fixture);
	assert_int_equal(last_announcement.replica, 43);
	assert_int_equal(last_announcement.delay, 70);
	assert_int_equal(last_announcement.period, 2400);
	assert_in_range(fixture->loop.now - last_announcement.at, 500, 60000);
}

/* Reports go to the same instance from everywhere, and all share the work. */
static void each_replica_has_one_observer(void **state)
{
	fixture_t *fixture = *state;
	unsigned counts[4] = { 0 };
	char name[32];

	for (unsigned i = 0; i < 3; i++) {
		gossip_message message = valid_message();

		(void)snprintf(name, sizeof(name), "other-%u", i);
		message.name = name;
		deliver_message(fixture, &message);
	}
	for (uint64_t replica = 1; replica <= 400; replica++) {
		const peer_instance_t *observer = peers_owner_of(
			&fixture->peers, replica);

		counts[observer ? observer->name[strlen("other-")] - '0' : 3]++;
	}
	for (unsigned i = 0; i < 4; i++)
		assert_in_range(counts[i], 60, 140);
}

/* Instances of earlier versions send messages without limits. */
static void limits_in_messages_are_taken(void **state)
{
	fixture_t *fixture = *state;
	gossip_message message = valid_message();
	gossip_watchers watchers = { 0 };
	gossip_live_peers live = { 0 };
	gossip_crashes crashes = { 0 };
	gossip_limit limit = { 7, 17800, 31, 250000, 500000 };
	gossip_limits limits = { { 1, &limit } };
	char bytes[DATAGRAM_MAX];
	size_t len = encode_with_watchers(&message, &watchers, bytes);
	XDR xdr;

	last_limit = (limit_news_t){ 0 };
	deliver_datagram(fixture, bytes, len);
	assert_int_equal(last_limit.replica, 0);
	xdrmem_create(&xdr, bytes + len, DATAGRAM_MAX - (u_int)len, XDR_ENCODE);
	assert_true(xdr_gossip_live_peers(&xdr, &live));
	assert_true(xdr_gossip_crashes(&xdr, &crashes));
	assert_true(xdr_gossip_limits(&xdr, &limits));
	len += XDR_GETPOS(&xdr);
	XDR_DESTROY(&xdr);
	deliver_datagram(fixture, bytes, len);
	assert_int_equal(last_limit.replica, 7);
	assert_true(last_limit.limit == 17.8);
	assert_true(last_limit.use.sent == 0.25);
	assert_true(last_limit.use.wanted == 0.5);
	assert_in_range(fixture->loop.now - last_limit.said_at, 30, 31);
}

static void mutated_messages_do_not_crash(void **state)
{
	fixture_t *fixture = *state;
	medlar_rand_t rand = { 17 };

	for (int i = 0; i < MUTATION_ROUNDS; i++) {
		gossip_message message = valid_message();
		char bytes[DATAGRAM_MAX];
		size_t len;

		message.seq = (unsigned)i + 1;
		len = encode_message(&message, bytes);
		if (medlar_rand_below(&rand, 4) == 0)
			bytes[PROC_OFFSET] = (char)(GOSSIP_TELL + 1 +
						    medlar_rand_below(&rand,
								      2));
		for (size_t j = medlar_rand_below(&rand, 4); j > 0; j--)
			bytes[medlar_rand_below(&rand, len)] = (char)
				medlar_rand_below(&rand, 256);
		if (medlar_rand_below(&rand, 4) == 0)
			len = medlar_rand_below(&rand, len);
		deliver_datagram(fixture, bytes, len);
	}
	assert_true(fixture->stats.counts[STAT_GOSSIP_RECEIVED] >
		    MUTATION_ROUNDS / 8);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_valid_message_adds_an_instance, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			an_invalid_address_or_name_adds_no_instance, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			the_number_of_instances_is_limited, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			fetches_of_changes_are_spread_over_instances, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			the_source_has_the_highest_revision, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_source_in_the_zone_comes_first, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_watcher_is_known_through_others, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_start_of_everything_makes_few_watchers, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			an_old_contact_is_not_taken_for_a_new_one, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			routes_are_not_current_beyond_the_time_to_apply_them,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			many_crashes_are_told_in_few_messages, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_source_that_does_not_answer_is_not_asked_again_at_once,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_start_is_no_contact_with_the_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(news_goes_to_a_few_instances,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(most_messages_stay_in_the_zone,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			an_instance_is_known_live_through_others, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			reports_and_announcements_arrive, set_up, tear_down),
		cmocka_unit_test_setup_teardown(each_replica_has_one_observer,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(limits_in_messages_are_taken,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(mutated_messages_do_not_crash,
						set_up, tear_down),
	};

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
