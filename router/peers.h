/**
 * DOC: the other instances
 *
 * Instances tell each other a few times a second that they live, whether they
 * take callers, and how much of the store they know. One that lags behind
 * takes what has changed from another one.
 */
#ifndef ROUTER_PEERS_H
#define ROUTER_PEERS_H

#include <sys/queue.h>

#include "libroute/suspects.h"
#include "medlard/log.h"
#include "proto/gossip.h"
#include "router/h1_client.h"
#include "router/h1_server.h"
#include "router/mirror.h"
#include "router/settings.h"
#include "router/stats.h"

/**
 * struct peer - another instance
 * @link: in the list of all
 * @name: its name
 * @zone: its availability zone
 * @callers: address that it gives to callers
 * @near: services of which a replica is in its zone, in percent
 * @address: for messages
 * @start: tells its starts apart
 * @seq: of its last message
 * @ready: it takes callers
 * @leaving: it is about to end
 * @heard: its last message, ms; 0 if there was none
 * @revision: of the store that it knows
 * @watching: it watches the store itself
 * @store_heard: when it last had an answer of the store, ms
 * @store_back: when an outage of the store ended for it, ms; 0 if there was
 *	none lately
 * @listed: the store holds its entry
 */
typedef struct peer_instance {
	TAILQ_ENTRY(peer_instance) link;
	char name[GOSSIP_NAME_MAX + 1];
	char zone[GOSSIP_NAME_MAX + 1];
	char callers[GOSSIP_ADDRESS_MAX + 1];
	unsigned near;
	struct sockaddr_in address;
	uint64_t start;
	uint32_t seq;
	bool ready;
	bool leaving;
	medlar_time_t heard;
	uint64_t revision;
	bool watching;
	medlar_time_t store_heard;
	medlar_time_t store_back;
	bool listed;
} peer_instance_t;

TAILQ_HEAD(peer_instance_list, peer_instance);

#define PEERS_SEEDS_MAX 8
/** Instances that are known; more are not believed. */
#define PEERS_MAX 8192

/**
 * struct peers_store - what an instance tells of the store
 * @watching: it watches the store itself
 * @heard: last answer of the store, ms
 * @back: end of the last outage, ms; the current time during one, 0 if there
 *	was none
 */
typedef struct peers_store {
	bool watching;
	medlar_time_t heard;
	medlar_time_t back;
} peers_store_t;

/**
 * struct peers - what is known of the other instances
 * @loop: loop that serves them
 * @log: told of changes
 * @stats: counters
 * @settings: own addresses
 * @mirror: given to and taken from others
 * @suspects: convictions are shared
 * @fd: UDP socket
 * @server: gives changes
 * @client: takes changes
 * @fetching: @client is in use
 * @list: all others
 * @len: how many
 * @seeds: addresses to try
 * @seeds_len: how many
 * @timer: next message
 * @fetch_timer: end of the time for changes
 * @start: tells own starts apart
 * @seq: of the last message
 * @ready: callers are taken
 * @leaving: about to end
 * @near: services of which a replica is in the own zone, in percent
 * @next: the first of the others to be told in the next round
 * @store: what this instance tells of the store
 * @behind_since: another one knows more since then, ms; 0 if none does
 * @convicted: fingerprints refused here, the latest ones
 * @convicted_len: how many
 * @can_take: tells whether changes may be applied now
 * @data: passed to @can_take
 */
typedef struct peers {
	loop_t *loop;
	logger_t *log;
	stats_t *stats;
	const router_settings_t *settings;
	mirror_t *mirror;
	suspects_t *suspects;
	int fd;
	h1_server_t server;
	h1_client_t client;
	bool fetching;
	struct peer_instance_list list;
	size_t len;
	struct sockaddr_in seeds[PEERS_SEEDS_MAX];
	size_t seeds_len;
	medlar_timer_t timer;
	medlar_timer_t fetch_timer;
	uint64_t start;
	uint32_t seq;
	bool ready;
	bool leaving;
	unsigned near;
	size_t next;
	peers_store_t store;
	medlar_time_t behind_since;
	uint64_t convicted[GOSSIP_CONVICTED_MAX];
	unsigned convicted_len;
	bool (*can_take)(void *data);
	void *data;
} peers_t;

int peers_init(peers_t *peers, loop_t *loop, logger_t *log, stats_t *stats,
	       const router_settings_t *settings, mirror_t *mirror,
	       suspects_t *suspects, bool (*can_take)(void *), void *data);
void peers_finish(peers_t *peers);
void peers_tell(peers_t *peers);
void peers_listed(peers_t *peers, medlar_str_t name, medlar_str_t value);
void peers_unlisted(peers_t *peers, medlar_str_t name);
void peers_convicted(peers_t *peers, uint64_t fingerprint);
bool peers_should_watch(const peers_t *peers);
medlar_time_t peers_store_heard(const peers_t *peers);
medlar_time_t peers_store_back(const peers_t *peers);
bool peer_is_live(const peers_t *peers, const peer_instance_t *peer);
unsigned peers_instances(const peers_t *peers);
void peers_entry(const router_settings_t *settings, medlar_buf_t *out);

#endif /* ROUTER_PEERS_H */
