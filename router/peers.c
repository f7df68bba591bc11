/**
 * DOC: membership of instances
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "medlard/clock.h"
#include "router/peers_internal.h"

#define GOSSIP_INTERVAL_MS 220
/* Least time between two messages that tell of crashes. */
#define CRASHES_INTERVAL_MS 20
/* Gossip rounds without a message after which an instance counts as down. */
#define MISSED_ROUNDS_MAX 3
/* An instance without an entry in the store is removed after this silence. */
#define FORGET_AFTER_MS (15 * MEDLAR_SECOND)

/**
 * peers_find_by_hash() - find an instance by the hash of its name
 * @peers: the other instances
 * @hash: hash, as in &struct peer_instance.hash
 *
 * Return: the instance, or NULL if it is unknown.
 */
peer_instance_t *peers_find_by_hash(peers_t *peers, uint64_t hash)
{
	return (peer_instance_t *)hash_index_find(&peers->by_hash, hash);
}

/**
 * peers_find_or_add() - find an instance by its name, or add it
 * @peers: the other instances
 * @name: name of the instance
 *
 * Return: the instance, or NULL if the name is empty or that of this instance,
 * %PEERS_MAX instances are known, or memory is short.
 */
peer_instance_t *peers_find_or_add(peers_t *peers, const char *name)
{
	uint64_t hash = medlar_str_hash(medlar_str_from(name), 0);
	peer_instance_t *peer = peers_find_by_hash(peers, hash);

	if (peer || strcmp(name, peers->settings->instance) == 0)
		return peer;
	if (name[0] == '\0' || peers->len >= PEERS_MAX)
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	if (hash_index_put(&peers->by_hash, hash, (uintptr_t)peer)) {
		free(peer);
		return NULL;
	}
	(void)snprintf(peer->name, sizeof(peer->name), "%s", name);
	peer->hash = hash;
	TAILQ_INSERT_TAIL(&peers->list, peer, link);
	peers->len++;
	return peer;
}

static void remove_peer(peers_t *peers, peer_instance_t *peer)
{
	TAILQ_REMOVE(&peers->list, peer, link);
	hash_index_remove(&peers->by_hash, peer->hash);
	peers->len--;
	free(peer);
}

static medlar_time_t silence_max(const peers_t *peers)
{
	size_t rounds = (peers->len + PEERS_FANOUT - 1) / PEERS_FANOUT;

	return (medlar_time_t)(MISSED_ROUNDS_MAX * rounds) *
		       GOSSIP_INTERVAL_MS +
	       GOSSIP_INTERVAL_MS / 2;
}

/**
 * peer_is_live() - check whether an instance was recently heard from
 * @peers: the other instances
 * @peer: the instance to check
 *
 * Return: true if no more than a few gossip rounds have passed since its last
 * message to this instance, or to one that passed this on.
 */
bool peer_is_live(const peers_t *peers, const peer_instance_t *peer)
{
	return peer->last_heard &&
	       peers->loop->now - peer->last_heard <= silence_max(peers);
}

/**
 * peer_is_near() - check whether an instance is in the own availability zone
 * @peers: the other instances
 * @peer: the instance to check
 *
 * Return: false also if its zone is not known yet.
 */
bool peer_is_near(const peers_t *peers, const peer_instance_t *peer)
{
	return strcmp(peer->zone, peers->settings->zone) == 0;
}

/**
 * peers_count_instances() - count the instances that share the replicas
 * @peers: the other instances
 *
 * Return: the number of known instances, or of seeds if that is higher, plus
 * one for this instance.
 */
unsigned peers_count_instances(const peers_t *peers)
{
	const size_t seeds_len = peers->seeds_len;

	return 1 + (unsigned)(peers->len > seeds_len ? peers->len : seeds_len);
}

/**
 * peers_position() - position of this instance among those that share the replicas
 * @peers: the other instances
 *
 * Return: number of instances that come before it in the order of their hashes.
 */
unsigned peers_position(const peers_t *peers)
{
	const peer_instance_t *peer;
	unsigned before = 0;

	TAILQ_FOREACH(peer, &peers->list, link)
		before += peer->hash < peers->own_hash;
	return before;
}

/**
 * peers_write_entry() - write the value of this instance's entry in the store
 * @settings: addresses of this instance
 * @out: the address for callers and the address for peers, separated by a
 *	space, are appended to it
 */
void peers_write_entry(const router_settings_t *settings, medlar_buf_t *out)
{
	medlar_buf_printf(out, "%s %s", settings->callers, settings->peers);
}

/**
 * peers_register() - record that the store holds an entry of an instance
 * @peers: the other instances
 * @name: name of the instance
 * @value: value of the entry, as written by peers_write_entry(); ignored if
 *	malformed
 */
void peers_register(peers_t *peers, medlar_str_t name, medlar_str_t value)
{
	char name_text[GOSSIP_NAME_MAX + 1];
	const char *space = value.len ? memchr(value.ptr, ' ', value.len)
				      : NULL;
	size_t callers_len = space ? (size_t)(space - value.ptr) : 0;
	struct sockaddr_in callers;
	struct sockaddr_in address;
	peer_instance_t *peer;

	if (!space || name.len > GOSSIP_NAME_MAX ||
	    callers_len > GOSSIP_ADDRESS_MAX ||
	    router_address_parse((medlar_str_t){ value.ptr, callers_len },
				 &callers) ||
	    router_address_parse(
		    (medlar_str_t){ space + 1, value.len - callers_len - 1 },
		    &address))
		return;
	(void)snprintf(name_text, sizeof(name_text), "%.*s", (int)name.len,
		       name.ptr);
	peer = peers_find_or_add(peers, name_text);
	if (!peer)
		return;
	peer->registered = true;
	peer->peer_address = address;
	(void)snprintf(peer->caller_address, sizeof(peer->caller_address),
		       "%.*s", (int)callers_len, value.ptr);
}

/**
 * peers_unregister() - record that the entry of an instance was deleted
 * @peers: the other instances
 * @name: name of the instance
 */
void peers_unregister(peers_t *peers, medlar_str_t name)
{
	peer_instance_t *peer = peers_find_by_hash(peers,
						   medlar_str_hash(name, 0));

	if (peer)
		peer->registered = false;
}

/**
 * peers_broadcast() - send the status of this instance to all others at once
 * @peers: the other instances
 */
void peers_broadcast(peers_t *peers)
{
	gossip_send_to_all(peers);
}

/**
 * peers_spread_news() - tell some instances that this one has new changes
 * @peers: the other instances
 *
 * Each of them fetches the changes and tells others, so that they reach all
 * instances in a few steps.
 */
void peers_spread_news(peers_t *peers)
{
	gossip_send(peers);
}

/**
 * peers_spread_crashes() - tell some instances of the crashes that this one saw
 * @peers: the other instances
 *
 * Each of them tells others in its next messages. To be called in each iteration of
 * the loop; when many replicas crash at once, one message tells of all of them.
 */
void peers_spread_crashes(peers_t *peers)
{
	size_t known = peers->suspects->recent_added;

	if (known == peers->crashes_told ||
	    peers->loop->now - peers->crashes_told_at < CRASHES_INTERVAL_MS)
		return;
	peers->crashes_told = known;
	peers->crashes_told_at = peers->loop->now;
	gossip_send(peers);
}

static void remove_silent_peers(peers_t *peers)
{
	peer_instance_t *peer = TAILQ_FIRST(&peers->list);

	while (peer) {
		peer_instance_t *next = TAILQ_NEXT(peer, link);

		if (!peer->registered &&
		    peers->loop->now - peer->last_heard > FORGET_AFTER_MS)
			remove_peer(peers, peer);
		peer = next;
	}
}

static void on_gossip_timer(medlar_client_t *client, medlar_timer_t *timer,
			    medlar_time_t now, void *data)
{
	peers_t *peers = data;

	gossip_send(peers);
	changes_catch_up(peers);
	remove_silent_peers(peers);
	(void)medlar_timer_set(client, timer, now + GOSSIP_INTERVAL_MS);
}

static uint64_t owner_rank(uint64_t instance, uint64_t hash)
{
	return medlar_str_hash(
		(medlar_str_t){ (const char *)&hash, sizeof(hash) }, instance);
}

/**
 * peers_owner_of() - choose the instance that observes a replica, or decides on a
 *	request that crashes replicas
 * @peers: the other instances
 * @hash: &struct replica.hash, or the fingerprint of the request
 *
 * Instances that know the same others choose the same one. Each hash gets its owner
 * by rank, so few change when an instance joins or leaves.
 *
 * Return: the instance, or NULL if it is this one.
 */
const peer_instance_t *peers_owner_of(const peers_t *peers, uint64_t hash)
{
	uint64_t best_rank = owner_rank(peers->own_hash, hash);
	const peer_instance_t *best = NULL;
	const peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link) {
		uint64_t rank = owner_rank(peer->hash, hash);

		if (rank <= best_rank || peer->leaving ||
		    !peer_is_live(peers, peer))
			continue;
		best = peer;
		best_rank = rank;
	}
	return best;
}

/**
 * peers_share_conviction() - tell all instances that a request crashes replicas
 * @peers: the other instances
 * @fingerprint: fingerprint of the request
 */
void peers_share_conviction(peers_t *peers, uint64_t fingerprint)
{
	unsigned end = peers->convicted_len;

	for (unsigned i = 0; i < peers->convicted_len; i++)
		if (peers->convicted[i] == fingerprint)
			return;
	if (end == GOSSIP_CONVICTED_MAX) {
		end--;
		memmove(peers->convicted, peers->convicted + 1,
			end * sizeof(peers->convicted[0]));
	}
	peers->convicted[end] = fingerprint;
	peers->convicted_len = end + 1;
	peers_broadcast(peers);
}

static void parse_seeds(peers_t *peers, const struct sockaddr_in *own)
{
	const char *at = peers->settings->seeds;

	while (*at && peers->seeds_len < PEERS_SEEDS_MAX) {
		size_t len = strcspn(at, ",");
		struct sockaddr_in seed;

		if (!router_address_parse((medlar_str_t){ at, len }, &seed) &&
		    seed.sin_addr.s_addr != own->sin_addr.s_addr) {
			seed.sin_port = own->sin_port;
			peers->seeds[peers->seeds_len++] = seed;
		}
		at += len;
		at += *at == ',';
	}
}

/**
 * peers_init() - start to exchange messages with the other instances
 * @peers: uninitialised memory
 * @loop: event loop
 * @log: log for state changes of instances
 * @stats: counters
 * @settings: addresses of this instance and of the seeds; must outlive @peers
 * @mirror: copy of the store, kept up to date with changes of peers and served
 *	to them
 * @suspects: table that takes the convicted requests reported by peers
 * @events: callbacks
 * @data: passed to @events
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int peers_init(peers_t *peers, loop_t *loop, logger_t *log, stats_t *stats,
	       const router_settings_t *settings, mirror_t *mirror,
	       suspects_t *suspects, const peers_events_t *events, void *data)
{
	struct sockaddr_in own;

	*peers = (peers_t){ .loop = loop,
			    .log = log,
			    .stats = stats,
			    .settings = settings,
			    .mirror = mirror,
			    .suspects = suspects,
			    .fd = -1,
			    .incarnation = (uint64_t)clock_wall(),
			    .started_at = loop->now,
			    .own_hash = medlar_str_hash(
				    medlar_str_from(settings->instance), 0),
			    .events = events,
			    .data = data };
	log_batch_init(&peers->peer_log, log, "peer");
	rotation_init(&peers->near, medlar_str_from(settings->instance),
		      PEERS_FANOUT_NEAR);
	rotation_init(&peers->far, medlar_str_from(settings->instance),
		      PEERS_FANOUT);
	rotation_init(&peers->live_rotation,
		      medlar_str_from(settings->instance),
		      GOSSIP_LIVE_PEERS_MAX);
	TAILQ_INIT(&peers->list);
	medlar_timer_init(&peers->gossip_timer, on_gossip_timer, peers);
	if (router_address_parse(medlar_str_from(settings->peers), &own) ||
	    gossip_open(peers, &own) || changes_open(peers, &own))
		return MEDLAR_ERR_IO;
	parse_seeds(peers, &own);
	return medlar_timer_set(loop->client, &peers->gossip_timer, loop->now);
}

/**
 * peers_finish() - close all sockets and release all memory
 * @peers: instances, also after a failed peers_init()
 */
void peers_finish(peers_t *peers)
{
	peer_instance_t *peer;
	peer_instance_t *next;

	medlar_timer_clear(peers->loop->client, &peers->gossip_timer);
	changes_close(peers);
	for (peer = TAILQ_FIRST(&peers->list); peer; peer = next) {
		next = TAILQ_NEXT(peer, link);
		remove_peer(peers, peer);
	}
	hash_index_finish(&peers->by_hash);
	log_batch_finish(&peers->peer_log);
	if (peers->fd >= 0) {
		loop_unwatch(peers->loop, peers->fd);
		close(peers->fd);
	}
}
