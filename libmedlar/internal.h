/**
 * DOC: types and functions shared by the source files of the library
 *
 * Nothing in this file is part of the public interface.
 */
#ifndef MEDLAR_INTERNAL_H
#define MEDLAR_INTERNAL_H

#include "medlar.h"

/** Most replicas of a service, and most shards of a partition map. */
#define MEDLAR_REPLICAS_MAX 131072
#define MEDLAR_SHARDS_MAX 65536

/** enum medlar_health - ejection state of a replica */
typedef enum medlar_health {
	MEDLAR_HEALTH_GOOD, /* gets requests */
	MEDLAR_HEALTH_EJECTED, /* gets no requests until the ejection ends */
	MEDLAR_HEALTH_HALF_OPEN, /* one request in flight decides */
} medlar_health_t;

/**
 * struct medlar_replica_cold - members of a replica that are rarely accessed
 * @info: newest entry of the instance list
 * @versions_reported_at: when the replica last reported its versions, ms
 * @leaving_incarnation: highest incarnation known to be leaving, or -1
 * @data: set by medlar_replica_set_data()
 * @next: next in the list of removed replicas with requests in flight
 * @removed: no longer listed; freed when nothing is in flight
 */
typedef struct medlar_replica_cold {
	medlar_replica_info_t info;
	medlar_time_t versions_reported_at;
	medlar_time_t leaving_incarnation;
	void *data;
	medlar_replica_t *next;
	bool removed;
} medlar_replica_cold_t;

/**
 * struct medlar_replica_ - state of a replica that each request accesses
 * @id: hash of the name
 * @shard: shard that it serves
 * @cold: rarely accessed members
 * @ejected_until: end of the newest ejection, ms
 * @slow_start_since: start of its slow start, ms; %MEDLAR_TIME_NEVER for none
 * @ended_at: when a request last ended, ms
 * @reported_at: when it last reported its load, ms
 * @shed_at: when it last shed a request, ms; 0 for never
 * @versions: index versions that it serves; unused entries are 0
 * @latency: moving average of reply times, ms; 0 when unknown
 * @limit: adaptive concurrency limit, lowered by sheds; below 1, the
 *	probability of sending a request
 * @failures: moving average of the failure rate, 0 to 1
 * @load: load from the newest report, 0 to 2
 * @index: position among the replicas of the shard
 * @in_flight: requests in flight
 * @slots: requests in flight allowed by this instance's share
 * @connections: connections allowed by this instance's share
 * @rank: rank of this instance at the replica, from 0
 * @zone: number of its availability zone
 * @failure_points: points for consecutive failures
 * @ejections: recent ejections, which set the length of the next one
 * @samples: requests counted since the last change of @health; wraps to a value
 *	that still counts as many
 * @health: see &enum medlar_health
 * @refused: a connection was refused since the last successful request
 * @leaving: it is draining and gets no new requests
 */
struct medlar_replica_ {
	uint64_t id;
	medlar_shard_t *shard;
	medlar_replica_cold_t *cold;
	medlar_time_t ejected_until;
	medlar_time_t slow_start_since;
	medlar_time_t ended_at;
	medlar_time_t reported_at;
	medlar_time_t shed_at;
	uint32_t versions[MEDLAR_VERSIONS_MAX];
	float latency;
	float limit;
	float failures;
	float load;
	uint32_t index;
	uint16_t in_flight;
	uint16_t slots;
	uint16_t connections;
	uint16_t rank;
	uint16_t zone;
	uint8_t failure_points;
	uint8_t ejections;
	uint8_t samples;
	uint8_t health;
	bool refused;
	bool leaving;
};

/**
 * struct medlar_shard_ - the replicas that hold the same keys
 * @service: service that it belongs to
 * @index: number of the shard
 * @replicas: all replicas, active ones first
 * @len: number of replicas
 * @cap: allocated elements of @replicas
 * @active: replicas that are not leaving and of which this instance has a share
 * @latency: moving average of reply times over all replicas, ms
 * @populated_at: when the first replica was added, ms
 */
struct medlar_shard_ {
	medlar_service_t *service;
	uint32_t index;
	medlar_replica_t **replicas;
	size_t len;
	size_t cap;
	size_t active;
	float latency;
	medlar_time_t populated_at;
};

/**
 * struct medlar_peer_ - instance that shares the upstreams of a service
 * @id: hash of its name
 * @left_at: when it left the membership, ms; %MEDLAR_TIME_NEVER for a member
 */
typedef struct medlar_peer_ {
	uint64_t id;
	medlar_time_t left_at;
} medlar_peer_t;

/* queries.c */
int medlar_queries_init(medlar_client_t *client, medlar_service_t *service,
			medlar_time_t now);
void medlar_queries_finish(medlar_client_t *client, medlar_service_t *service);

/* share.c */
uint64_t medlar_share_hash(uint64_t instance, uint64_t replica);
medlar_share_t medlar_share_for_rank(size_t instances, size_t rank,
				     uint32_t slots, uint32_t connections);

/* peers.c */
void medlar_peers_init(medlar_service_t *service);
void medlar_peers_finish(medlar_client_t *client, medlar_service_t *service);
void medlar_peers_update_rank(medlar_client_t *client,
			      medlar_service_t *service,
			      medlar_replica_t *replica, medlar_time_t now);
void medlar_peers_update_shares(medlar_client_t *client,
				medlar_service_t *service, medlar_time_t now);

/* table.c */
void medlar_table_finish(medlar_table_t *table);
int medlar_table_insert(medlar_table_t *table, uint64_t *item);
void medlar_table_remove(medlar_table_t *table, uint64_t id);
void *medlar_table_find(const medlar_table_t *table, uint64_t id);

/* shard.c */
medlar_shard_t *medlar_shard_new(medlar_service_t *service, uint32_t index);
void medlar_shard_free(medlar_shard_t *shard);
int medlar_shard_add(medlar_shard_t *shard, medlar_replica_t *replica,
		     medlar_time_t now);
void medlar_shard_remove(medlar_replica_t *replica);
void medlar_shard_update_active(medlar_replica_t *replica);

/* replica.c */
medlar_replica_t *medlar_replica_new(const medlar_replica_info_t *info,
				     uint64_t id);
void medlar_replica_free(medlar_replica_t *replica);
void medlar_replica_update(medlar_client_t *client, medlar_replica_t *replica,
			   const medlar_replica_info_t *info,
			   medlar_time_t now);
void medlar_replica_begin_slow_start(medlar_replica_t *replica,
				     medlar_time_t now);
void medlar_replica_set_share(medlar_replica_t *replica, medlar_share_t share);

/* eject.c */
void medlar_eject_update(medlar_client_t *client, medlar_replica_t *replica,
			 medlar_request_result_t result, medlar_time_t took,
			 medlar_time_t now);
void medlar_eject_reset(medlar_replica_t *replica);

/**
 * struct medlar_fact_entry_ - fact held by this instance
 * @id: hash of kind and subject
 * @fact: the fact; its ttl and member are unused
 * @until: when it expires, ms; %MEDLAR_TIME_NEVER if it does not
 * @info: for a member, its name and address, owned; NULL if unknown
 * @state_since: for a member, when this instance learnt of its state, ms
 * @region: for a member, hash of the name of its region
 * @zone: for a member, hash of the name of its availability zone
 * @sends_left: messages that it is still to be sent in
 * @in_digest: it is included in the digests
 */
typedef struct medlar_fact_entry_ {
	uint64_t id;
	medlar_fact_t fact;
	medlar_time_t until;
	medlar_member_info_t *info;
	medlar_time_t state_since;
	uint64_t region;
	uint64_t zone;
	uint32_t sends_left;
	bool in_digest;
} medlar_fact_entry_t;

/** Size limit of the facts in a message, bytes by medlar_fact_size(). */
#define MEDLAR_MESSAGE_FACTS_SIZE_MAX 1024

/** Messages in which each instance that learns a new fact passes it on. */
#define MEDLAR_FACT_SENDS 8

/** enum medlar_reach - where the receiver of a message may be */
typedef enum medlar_reach {
	MEDLAR_REACH_ZONE, /* same availability zone */
	MEDLAR_REACH_REGION, /* same region */
	MEDLAR_REACH_ALL, /* any region; dead instances and seeds too */
} medlar_reach_t;

/* fact.c */
void medlar_facts_finish(medlar_facts_t *facts);
uint64_t medlar_fact_id(medlar_fact_kind_t kind, uint64_t subject);
medlar_fact_entry_t *medlar_facts_find(const medlar_facts_t *facts,
				       medlar_fact_kind_t kind,
				       uint64_t subject);
int medlar_facts_put(medlar_facts_t *facts, const medlar_fact_t *fact,
		     uint32_t sends, medlar_time_t now,
		     medlar_fact_entry_t **out);
void medlar_facts_remove(medlar_facts_t *facts, medlar_fact_entry_t *entry);
void medlar_facts_exclude_expiring(medlar_facts_t *facts,
				   medlar_fact_entry_t *entry,
				   medlar_time_t now);
uint32_t medlar_facts_digest(const medlar_facts_t *facts);
medlar_fact_t medlar_fact_from_entry(const medlar_fact_entry_t *entry,
				     medlar_time_t now);
size_t medlar_facts_dequeue(medlar_facts_t *facts, medlar_fact_t *out,
			    size_t max, size_t room, medlar_time_t now);
size_t medlar_fact_size(const medlar_fact_t *fact);
uint32_t medlar_fact_bucket(const medlar_fact_entry_t *entry);

/* member_list.c */
bool medlar_fact_entry_is_live(const medlar_fact_entry_t *entry);
int medlar_members_add_entry(medlar_members_t *members,
			     medlar_fact_entry_t *entry);
medlar_member_state_t medlar_fact_entry_state(const medlar_fact_entry_t *entry);
uint64_t medlar_fact_entry_incarnation(const medlar_fact_entry_t *entry);
medlar_fact_entry_t *medlar_members_find(const medlar_members_t *members,
					 uint64_t id);
medlar_fact_entry_t *medlar_members_pick_random(medlar_client_t *client,
						medlar_members_t *members,
						medlar_reach_t reach);
void medlar_members_remove_entry(medlar_members_t *members,
				 medlar_fact_entry_t *entry);

/* member.c */
int medlar_members_apply_fact(medlar_client_t *client,
			      medlar_members_t *members,
			      const medlar_fact_t *fact, uint32_t sends,
			      medlar_time_t now);
void medlar_members_set_state(medlar_client_t *client,
			      medlar_members_t *members,
			      medlar_fact_entry_t *entry,
			      medlar_member_state_t state, medlar_time_t now);
void medlar_members_send(medlar_client_t *client, medlar_members_t *members,
			 const medlar_fact_entry_t *to,
			 medlar_message_t *message, medlar_time_t now);
void medlar_members_send_with_facts(medlar_client_t *client,
				    medlar_members_t *members,
				    const medlar_fact_entry_t *to,
				    medlar_message_t *message,
				    medlar_time_t now);
bool medlar_members_is_joining(const medlar_members_t *members,
			       medlar_time_t now);

/* probe.c */
void medlar_probe_init(medlar_members_t *members);
void medlar_probe_start(medlar_client_t *client, medlar_members_t *members,
			medlar_time_t now);
void medlar_probe_finish(medlar_client_t *client, medlar_members_t *members);
void medlar_probe_push_now(medlar_client_t *client, medlar_members_t *members,
			   medlar_time_t now);
void medlar_probe_gossip_round(medlar_client_t *client,
			       medlar_members_t *members, medlar_time_t now);
void medlar_probe_ping(medlar_client_t *client, medlar_members_t *members,
		       const medlar_message_t *message, medlar_time_t now);
void medlar_probe_ack(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now);
void medlar_probe_relay(medlar_client_t *client, medlar_members_t *members,
			const medlar_message_t *message, medlar_time_t now);

/* sync.c */
void medlar_sync_start(medlar_client_t *client, medlar_members_t *members,
		       const medlar_fact_entry_t *with, medlar_time_t now);
void medlar_sync_digests(medlar_client_t *client, medlar_members_t *members,
			 const medlar_message_t *message, medlar_time_t now);
void medlar_sync_list(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now);
void medlar_sync_want(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now);

/* config_sync.c */
void medlar_config_sync_finish(medlar_members_t *members);
void medlar_config_sync_check_revision(medlar_client_t *client,
				       medlar_members_t *members,
				       const medlar_message_t *message,
				       medlar_time_t now);
void medlar_config_sync_send_chunks(medlar_client_t *client,
				    medlar_members_t *members,
				    const medlar_message_t *message,
				    medlar_time_t now);
void medlar_config_sync_receive_chunk(medlar_client_t *client,
				      medlar_members_t *members,
				      const medlar_message_t *message,
				      medlar_time_t now);
void medlar_config_sync_retry(medlar_client_t *client,
			      medlar_members_t *members, medlar_time_t now);

#endif /* MEDLAR_INTERNAL_H */
