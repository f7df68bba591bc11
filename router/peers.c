/**
 * DOC: the other instances: who they are, and what they know of the store
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "medlard/clock.h"
#include "router/peers_internal.h"

#define TELL_EVERY 220
/* Turns without a message after which an instance counts as down. */
#define SILENT_TURNS 3
/* An instance that is not listed is forgotten after this silence, ms. */
#define FORGET_AFTER (15 * MEDLAR_SECOND)
/* Instances that watch the store for all. */
#define WATCHERS 4
/* A watcher that has not heard the store for so long is of no use, ms. */
#define WATCHER_SILENT 3500

static peer_instance_t *find(const peers_t *peers, const char *name)
{
	peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (strcmp(peer->name, name) == 0)
			return peer;
	return NULL;
}

/**
 * peers_find_or_add() - find an instance by its name, or add it
 * @peers: the other instances
 * @name: its name
 *
 * Return: the instance; NULL for this one's own name, for an empty one, and
 * when no more can be known.
 */
peer_instance_t *peers_find_or_add(peers_t *peers, const char *name)
{
	peer_instance_t *peer = find(peers, name);

	if (peer || strcmp(name, peers->settings->instance) == 0)
		return peer;
	if (name[0] == '\0' || peers->len >= PEERS_MAX)
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	(void)snprintf(peer->name, sizeof(peer->name), "%s", name);
	TAILQ_INSERT_TAIL(&peers->list, peer, link);
	peers->len++;
	return peer;
}

static void forget(peers_t *peers, peer_instance_t *peer)
{
	TAILQ_REMOVE(&peers->list, peer, link);
	peers->len--;
	free(peer);
}

static medlar_time_t silence_max(const peers_t *peers)
{
	size_t rounds = (peers->len + PEERS_TELL_MAX - 1) / PEERS_TELL_MAX;

	return (medlar_time_t)(SILENT_TURNS * rounds) * TELL_EVERY +
	       TELL_EVERY / 2;
}

/**
 * peer_is_live() - tell whether an instance was heard lately
 * @peers: the other instances
 * @peer: one of them
 *
 * Return: whether it was.
 */
bool peer_is_live(const peers_t *peers, const peer_instance_t *peer)
{
	return peer->heard &&
	       peers->loop->now - peer->heard <= silence_max(peers);
}

/**
 * peers_instances() - how many instances share the replicas
 * @peers: the other instances
 *
 * Return: this one, and all that are listed or were heard lately.
 */
unsigned peers_instances(const peers_t *peers)
{
	const size_t least = peers->seeds_len;

	return 1 + (unsigned)(peers->len > least ? peers->len : least);
}

/**
 * peers_entry() - value of an instance's entry in the store
 * @settings: own addresses
 * @out: appended to: address for callers and address for peers
 */
void peers_entry(const router_settings_t *settings, medlar_buf_t *out)
{
	medlar_buf_printf(out, "%s %s", settings->callers, settings->peers);
}

/**
 * peers_listed() - the store holds the entry of an instance
 * @peers: the other instances
 * @name: its name
 * @value: written by peers_entry()
 */
void peers_listed(peers_t *peers, medlar_str_t name, medlar_str_t value)
{
	char text[GOSSIP_NAME_MAX + 1];
	const char *space = value.len ? memchr(value.ptr, ' ', value.len)
				      : NULL;
	size_t first = space ? (size_t)(space - value.ptr) : 0;
	struct sockaddr_in callers;
	struct sockaddr_in address;
	peer_instance_t *peer;

	if (!space || name.len > GOSSIP_NAME_MAX ||
	    first > GOSSIP_ADDRESS_MAX ||
	    router_address_parse((medlar_str_t){ value.ptr, first },
				 &callers) ||
	    router_address_parse(
		    (medlar_str_t){ space + 1, value.len - first - 1 },
		    &address))
		return;
	(void)snprintf(text, sizeof(text), "%.*s", (int)name.len, name.ptr);
	peer = peers_find_or_add(peers, text);
	if (!peer)
		return;
	peer->listed = true;
	peer->address = address;
	(void)snprintf(peer->callers, sizeof(peer->callers), "%.*s", (int)first,
		       value.ptr);
}

/**
 * peers_unlisted() - the entry of an instance has ended
 * @peers: the other instances
 * @name: its name
 */
void peers_unlisted(peers_t *peers, medlar_str_t name)
{
	peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (medlar_str_equal(medlar_str_from(peer->name), name))
			peer->listed = false;
}

/**
 * peers_tell() - tell all others at once how this instance is
 * @peers: the other instances
 */
void peers_tell(peers_t *peers)
{
	gossip_tell(peers, true);
}

static void forget_silent(peers_t *peers)
{
	peer_instance_t *peer = TAILQ_FIRST(&peers->list);

	while (peer) {
		peer_instance_t *next = TAILQ_NEXT(peer, link);

		if (!peer->listed &&
		    peers->loop->now - peer->heard > FORGET_AFTER)
			forget(peers, peer);
		peer = next;
	}
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	peers_t *peers = data;

	gossip_tell(peers, false);
	changes_catch_up(peers);
	forget_silent(peers);
	(void)medlar_timer_set(client, timer, now + TELL_EVERY);
}

/**
 * peers_should_watch() - tell whether this instance has to watch the store
 * @peers: the other instances
 *
 * A few instances, the first ones by name, watch for all; one that does not
 * hear the store is not counted.
 *
 * Return: whether it has to.
 */
bool peers_should_watch(const peers_t *peers)
{
	const peer_instance_t *peer;
	unsigned before = 0;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer_is_live(peers, peer) && peer->watching &&
		    !peer->leaving &&
		    peers->loop->now - peer->store_heard < WATCHER_SILENT &&
		    strcmp(peer->name, peers->settings->instance) < 0)
			before++;
	return before < WATCHERS;
}

/**
 * peers_store_heard() - when any instance last had an answer of the store
 * @peers: the other instances
 *
 * Return: the time, of this instance or of one that tells it changes.
 */
medlar_time_t peers_store_heard(const peers_t *peers)
{
	const peer_instance_t *peer;
	medlar_time_t heard = peers->store.heard;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer_is_live(peers, peer) &&
		    peer->revision <= peers->mirror->revision &&
		    peer->store_heard > heard)
			heard = peer->store_heard;
	return heard;
}

/**
 * peers_store_back() - when an outage of the store last ended for anyone
 * @peers: the other instances
 *
 * Return: the time; the current one during an outage, 0 if there was none.
 */
medlar_time_t peers_store_back(const peers_t *peers)
{
	const peer_instance_t *peer;
	medlar_time_t back = peers->store.back;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer_is_live(peers, peer) && peer->store_back > back)
			back = peer->store_back;
	return back;
}

/**
 * peers_convicted() - share that a request crashes replicas
 * @peers: the other instances
 * @fingerprint: of the request
 */
void peers_convicted(peers_t *peers, uint64_t fingerprint)
{
	unsigned at = peers->convicted_len;

	for (unsigned i = 0; i < peers->convicted_len; i++)
		if (peers->convicted[i] == fingerprint)
			return;
	if (at == GOSSIP_CONVICTED_MAX) {
		at--;
		memmove(peers->convicted, peers->convicted + 1,
			at * sizeof(peers->convicted[0]));
	}
	peers->convicted[at] = fingerprint;
	peers->convicted_len = at + 1;
	peers_tell(peers);
}

static void read_seeds(peers_t *peers, const struct sockaddr_in *own)
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
 * peers_init() - listen to the other instances and speak to the seeds
 * @peers: memory of the caller
 * @loop: loop that serves them
 * @log: told of changes
 * @stats: counters
 * @settings: own addresses; must outlive @peers
 * @mirror: given to and taken from others
 * @suspects: convictions are shared
 * @can_take: tells whether a snapshot may be applied now
 * @data: passed to @can_take
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int peers_init(peers_t *peers, loop_t *loop, logger_t *log, stats_t *stats,
	       const router_settings_t *settings, mirror_t *mirror,
	       suspects_t *suspects, bool (*can_take)(void *), void *data)
{
	struct sockaddr_in own;

	*peers = (peers_t){ .loop = loop,
			    .log = log,
			    .stats = stats,
			    .settings = settings,
			    .mirror = mirror,
			    .suspects = suspects,
			    .fd = -1,
			    .start = (uint64_t)clock_wall(),
			    .can_take = can_take,
			    .data = data };
	TAILQ_INIT(&peers->list);
	medlar_timer_init(&peers->timer, on_timer, peers);
	if (router_address_parse(medlar_str_from(settings->peers), &own) ||
	    gossip_open(peers, &own) || changes_open(peers, &own))
		return MEDLAR_ERR_IO;
	read_seeds(peers, &own);
	return medlar_timer_set(loop->client, &peers->timer, loop->now);
}

/**
 * peers_finish() - hang up
 * @peers: peers, possibly ones that failed to start
 */
void peers_finish(peers_t *peers)
{
	peer_instance_t *peer;
	peer_instance_t *next;

	medlar_timer_clear(peers->loop->client, &peers->timer);
	changes_close(peers);
	for (peer = TAILQ_FIRST(&peers->list); peer; peer = next) {
		next = TAILQ_NEXT(peer, link);
		forget(peers, peer);
	}
	if (peers->fd >= 0) {
		loop_unwatch(peers->loop, peers->fd);
		close(peers->fd);
	}
}
