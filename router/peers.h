/**
 * DOC: the other instances of the router
 *
 * A few times a second, each instance sends some of its peers whether it accepts
 * callers and up to which revision its copy of the store is complete. An
 * instance that is behind fetches the changes from a peer, and tells the next
 * peers at once, so that changes spread in steps.
 */
#ifndef ROUTER_PEERS_H
#define ROUTER_PEERS_H

#include <sys/queue.h>

#include "libroute/announcements.h"
#include "libroute/fleet.h"
#include "libroute/hash_index.h"
#include "libroute/observer.h"
#include "libroute/rotation.h"
#include "libroute/suspects.h"
#include "libroute/uptime.h"
#include "libroute/watchers.h"
#include "medlard/log.h"
#include "proto/gossip.h"
#include "medlard/h1_client.h"
#include "medlard/h1_server.h"
#include "router/log_batch.h"
#include "router/mirror.h"
#include "router/settings.h"
#include "router/stats.h"

/**
 * struct peer_instance - another instance of the router
 * @link: links &struct peers.list
 * @name: name of the instance, unique among instances
 * @hash: hash of @name
 * @zone: its availability zone
 * @caller_address: address for callers, as host:port
 * @local_percent: share of services with a replica in its zone, in percent
 * @peer_address: address for messages and changes
 * @incarnation: wall-clock time of its start, ms; differs after a restart
 * @last_seq: sequence number of its last message
 * @ready: it accepts callers
 * @leaving: it is shutting down
 * @last_heard: time of its last message to this instance, or to one that passed
 *	this on, ms; 0 if there was none
 * @position: position of the store up to which its mirror is complete
 * @beyond_store: digest of the entries that it knows newer than the store lists them;
 *	0 if there are none
 * @watching: it watches the store itself
 * @store_last_contact: time up to which its mirror is known current, see
 *	&struct store.last_contact, ms; 0 if not known
 * @contact: position of the store up to which its mirror was complete then
 * @answered_since: since when the store has answered all its watches, ms; 0 if it
 *	does not
 * @registered: the store holds its entry
 * @fetch_failed_at: when it last failed to send the changes that it was asked for,
 *	ms; 0 if it never did
 */
typedef struct peer_instance {
	TAILQ_ENTRY(peer_instance) link;
	char name[GOSSIP_NAME_MAX + 1];
	uint64_t hash;
	char zone[GOSSIP_NAME_MAX + 1];
	char caller_address[GOSSIP_ADDRESS_MAX + 1];
	unsigned local_percent;
	struct sockaddr_in peer_address;
	uint64_t incarnation;
	uint32_t last_seq;
	bool ready;
	bool leaving;
	medlar_time_t last_heard;
	store_position_t position;
	uint64_t beyond_store;
	bool watching;
	medlar_time_t store_last_contact;
	store_position_t contact;
	medlar_time_t answered_since;
	bool registered;
	medlar_time_t fetch_failed_at;
} peer_instance_t;

TAILQ_HEAD(peer_instance_list, peer_instance);

#define PEERS_SEEDS_MAX 8
/** Most instances that are tracked; further ones are ignored. */
#define PEERS_MAX 8192

/**
 * struct peers_store - store status that an instance reports to its peers
 * @watching: it watches the store itself
 * @last_contact: time up to which the mirror is known current, ms; 0 if it never
 *	was
 * @answered_since: since when the store has answered all watches of the instance,
 *	ms; 0 if it does not
 */
typedef struct peers_store {
	bool watching;
	medlar_time_t last_contact;
	medlar_time_t answered_since;
} peers_store_t;

/**
 * struct peers_events - callbacks of the exchange with other instances
 * @can_apply_changes: checks whether changes may be applied to the mirror now
 * @report: takes a report about a replica that this instance observes
 * @announcement: takes an announcement about a replica
 * @list_limits: lists limits of replicas that others should know of, at most @max;
 *	returns their number
 * @limit: takes the limit of a replica that another instance knows of
 * @epoch: takes the epoch of the store that another instance knows
 * @trial: takes a message about the trial of a request that crashed replicas
 */
typedef struct peers_events {
	bool (*can_apply_changes)(void *data);
	void (*report)(const replica_report_t *report, void *data);
	void (*announcement)(const announcement_t *announcement, void *data);
	size_t (*list_limits)(limit_news_t *out, size_t max, void *data);
	void (*limit)(const limit_news_t *news, void *data);
	void (*epoch)(uint64_t epoch, void *data);
	void (*trial)(const gossip_trial *trial, void *data);
} peers_events_t;

/**
 * struct peers - the other instances and the exchange with them
 * @loop: event loop
 * @log: log for state changes of instances
 * @peer_log: log of state changes of instances
 * @stats: counters
 * @settings: addresses of this instance and of the seeds
 * @mirror: copy of the store, updated from peers and served to them
 * @suspects: table that takes the convicted requests reported by peers
 * @fd: UDP socket for messages, or -1
 * @changes_server: HTTP server that serves changes to peers
 * @changes_client: HTTP client that fetches changes from a peer
 * @fetching: @changes_client is in use
 * @list: all known instances except this one
 * @len: number of instances in @list
 * @by_hash: the instances in @list by &struct peer_instance.hash
 * @seeds: addresses that get messages until their instances are known
 * @seeds_len: number of @seeds
 * @gossip_timer: timer of the next gossip round
 * @fetch_timer: timeout of the fetch in progress
 * @incarnation: wall-clock time at which this instance started, ms
 * @started_at: when it started, ms
 * @heard_at: when the last message of another instance arrived, ms; 0 if none has
 * @seq: sequence number of the last message sent
 * @ready: this instance accepts callers
 * @leaving: this instance is shutting down
 * @local_percent: share of services with a replica in the zone of this
 *	instance, in percent
 * @near: which instances in the own availability zone get the next message
 * @far: which other instances get it
 * @live_rotation: which instances are named in it as live
 * @store: store status that this instance reports
 * @store_uptime: time in which the store is known to have been up, from the answers
 *	that it gave to any instance
 * @leads_watchers: this instance follows the store for all others, and does not
 *	wait for changes of peers
 * @behind_since: time since which a peer has been ahead of @mirror, ms; 0 if
 *	none is
 * @merged_epoch: epoch in which a copy of another instance was merged into @mirror
 * @merging: the fetch in progress is for that
 * @source_hash: &struct peer_instance.hash of the instance that is being asked for
 *	changes; 0 if it has answered, or none is asked
 * @crashes_told: &struct suspects.recent_added less the own crashes not yet told
 * @crashes_told_at: when they were, ms
 * @convicted: fingerprints of requests that this instance found to crash
 *	replicas, latest last
 * @convicted_len: number of fingerprints in @convicted
 * @own_hash: hash of the name of this instance
 * @events: callbacks
 * @data: passed to @events
 */
typedef struct peers {
	loop_t *loop;
	logger_t *log;
	log_batch_t peer_log;
	stats_t *stats;
	const router_settings_t *settings;
	mirror_t *mirror;
	suspects_t *suspects;
	int fd;
	h1_server_t changes_server;
	h1_client_t changes_client;
	bool fetching;
	struct peer_instance_list list;
	size_t len;
	hash_index_t by_hash;
	struct sockaddr_in seeds[PEERS_SEEDS_MAX];
	size_t seeds_len;
	medlar_timer_t gossip_timer;
	medlar_timer_t fetch_timer;
	uint64_t incarnation;
	medlar_time_t started_at;
	medlar_time_t heard_at;
	uint32_t seq;
	bool ready;
	bool leaving;
	unsigned local_percent;
	rotation_t near;
	rotation_t far;
	rotation_t live_rotation;
	peers_store_t store;
	uptime_t store_uptime;
	bool leads_watchers;
	medlar_time_t behind_since;
	uint64_t merged_epoch;
	bool merging;
	uint64_t source_hash;
	size_t crashes_told;
	medlar_time_t crashes_told_at;
	uint64_t convicted[GOSSIP_CONVICTED_MAX];
	unsigned convicted_len;
	uint64_t own_hash;
	const peers_events_t *events;
	void *data;
} peers_t;

int peers_init(peers_t *peers, loop_t *loop, logger_t *log, stats_t *stats,
	       const router_settings_t *settings, mirror_t *mirror,
	       suspects_t *suspects, const peers_events_t *events, void *data);
void peers_finish(peers_t *peers);
void peers_broadcast(peers_t *peers);
void peers_spread_news(peers_t *peers);
void peers_register(peers_t *peers, medlar_str_t name, medlar_str_t value);
void peers_unregister(peers_t *peers, medlar_str_t name);
const peer_instance_t *peers_owner_of(const peers_t *peers, uint64_t hash);
void peers_send_report(peers_t *peers, const peer_instance_t *observer,
		       const replica_report_t *report);
void peers_send_trial(peers_t *peers, uint64_t instance, uint64_t fingerprint,
		      gossip_trial_kind kind);
void peers_send_announcements(peers_t *peers,
			      const announcements_t *announcements);
void peers_spread_crashes(peers_t *peers);
void peers_share_conviction(peers_t *peers, uint64_t fingerprint);
watch_view_t peers_watch_view(const peers_t *peers);
medlar_time_t peers_store_last_contact(const peers_t *peers);
bool peers_mirror_is_current(const peers_t *peers);
bool peer_is_live(const peers_t *peers, const peer_instance_t *peer);
unsigned peers_count_instances(const peers_t *peers);
unsigned peers_position(const peers_t *peers);
void peers_write_entry(const router_settings_t *settings, medlar_buf_t *out);

#endif /* ROUTER_PEERS_H */
