/**
 * DOC: functions shared by the files that implement the exchange of instances
 */
#ifndef ROUTER_PEERS_INTERNAL_H
#define ROUTER_PEERS_INTERNAL_H

#include "router/peers.h"

#define DATAGRAM_BYTES_MAX 2048
/** Units in messages of a request a second, in limits and in rates of instances. */
#define LIMIT_UNITS 1000
#define RATE_UNITS 1e6
/** Instances that get a message in one gossip round. */
#define PEERS_FANOUT ((size_t)8)
/** Those among them in the own availability zone, if there are as many. */
#define PEERS_FANOUT_NEAR ((size_t)6)

peer_instance_t *peers_find_or_add(peers_t *peers, const char *name);
peer_instance_t *peers_find_by_hash(peers_t *peers, uint64_t hash);

bool peer_is_near(const peers_t *peers, const peer_instance_t *peer);

/* store_contact.c */
size_t contact_list_watchers(const peers_t *peers,
			     const peer_instance_t **list);
bool contact_update(peer_instance_t *peer, medlar_time_t at,
		    store_position_t position);

/* gossip_receive.c */
int gossip_open(peers_t *peers, const struct sockaddr_in *own);

/* gossip.c */
void gossip_send(peers_t *peers);
void gossip_send_to_all(peers_t *peers);

/* changes.c */
int changes_open(peers_t *peers, const struct sockaddr_in *own);
void changes_catch_up(peers_t *peers);
const peer_instance_t *changes_source(const peers_t *peers);
void changes_close(peers_t *peers);

#endif /* ROUTER_PEERS_INTERNAL_H */
