/**
 * DOC: exchange of facts and membership with the other instances
 *
 * Connects the membership of libmedlar with the transport and the workers. Runs
 * in the control thread, except peering_post_fact() and
 * peering_share_suspects().
 */
#ifndef MEDLARD_PEERING_H
#define MEDLARD_PEERING_H

#include "medlard/listing.h"
#include "medlard/peer.h"

typedef struct control control_t;
typedef struct worker worker_t;

/**
 * struct peering - exchange with the other instances
 * @control: control thread that owns it
 * @enabled: the settings have a peer_port; if false, all functions do nothing
 * @transport: transport
 * @members: membership
 * @incarnation: start time of this instance, ms since 1970
 * @generation: generation of the membership last posted to the workers
 * @refreshed_at: time of that, ms
 */
typedef struct peering {
	control_t *control;
	bool enabled;
	peer_transport_t transport;
	medlar_members_t members;
	medlar_time_t incarnation;
	uint64_t generation;
	medlar_time_t refreshed_at;
} peering_t;

int peering_init(peering_t *peering, control_t *control);
void peering_finish(peering_t *peering);
void peering_seed(peering_t *peering, const instance_t *instance);
void peering_offer_config(peering_t *peering, uint64_t revision,
			  medlar_str_t config);
int peering_merge_members(const peering_t *peering, instance_t **items,
			  size_t *len);
void peering_mark_draining_replicas(const peering_t *peering,
				    medlar_replica_info_t *infos, size_t len);
bool peering_get_peers(peering_t *peering, medlar_peers_t *out);
void peering_announce_leaving(peering_t *peering);
void peering_announce_stopped(peering_t *peering);

void peering_post_fact(worker_t *worker, const medlar_fact_t *fact);
void peering_share_suspects(worker_t *worker);

#endif /* MEDLARD_PEERING_H */
