/**
 * DOC: positions in the history of the store
 *
 * The store counts its changes by revisions. If it comes back from an older copy of
 * itself, it gives revisions out again and tells a higher epoch.
 */
#ifndef ROUTER_POSITION_H
#define ROUTER_POSITION_H

#include <stdint.h>

/**
 * struct store_position - a change of the store
 * @epoch: epoch of the store; 0 if it names none
 * @revision: revision within the epoch
 */
typedef struct store_position {
	uint64_t epoch;
	uint64_t revision;
} store_position_t;

int position_compare(store_position_t a, store_position_t b);

#endif /* ROUTER_POSITION_H */
