/**
 * DOC: requests that crash replicas, as the store holds them
 *
 * What instances know of such a request would be lost when all of them are killed
 * at once. Its conviction is written to the store, under a lease that ends when
 * the conviction does, and read by instances that start.
 */
#ifndef ROUTER_CONVICTIONS_H
#define ROUTER_CONVICTIONS_H

#include "router/peers.h"
#include "router/store.h"

/**
 * struct convictions - exchange of convictions with the store
 * @loop: event loop
 * @log: log for what the store told
 * @suspects: table of this instance
 * @peers: other instances, among them the owners of requests
 * @store: client of the store
 * @instance: name of this instance, told in the entries
 * @store_lost_at: when the store came back from an older copy, ms; 0 if it never did
 */
typedef struct convictions {
	loop_t *loop;
	logger_t *log;
	suspects_t *suspects;
	const peers_t *peers;
	store_t *store;
	medlar_str_t instance;
	medlar_time_t store_lost_at;
} convictions_t;

void convictions_apply(convictions_t *convictions, const store_item_t *item,
		       medlar_str_t name);
void convictions_store_lost(convictions_t *convictions);
void convictions_tick(convictions_t *convictions);

#endif /* ROUTER_CONVICTIONS_H */
