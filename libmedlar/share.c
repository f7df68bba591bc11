/**
 * DOC: divides a replica's slots and connections among the instances
 *
 * At each replica, instances are ranked by a hash of the names of both, which
 * every instance computes alike (rendezvous hashing). Units are assigned round
 * robin: rank k of N gets the units k, k + N, k + 2N and so on. Instances with
 * equal views of the membership thus divide all units exactly; with more
 * instances than units, only the first ranks use the replica. Adding an
 * instance never increases the share of another one.
 */
#include "internal.h"

/* Requests that may be queued at a replica for each of its slots. */
#define QUEUE_PER_SLOT 1

/*
 * A replica may still hold connections of lost instances. Connections are kept
 * free for one lost instance, and for one more per this many instances.
 */
#define INSTANCES_PER_SPARE 20

/**
 * medlar_share_hash() - hash that ranks an instance at a replica
 * @instance: hash of the instance's name
 * @replica: hash of the replica's name
 *
 * Return: the hash; instances rank in ascending order of it.
 */
uint64_t medlar_share_hash(uint64_t instance, uint64_t replica)
{
	uint64_t z = instance ^ (replica * UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/**
 * medlar_share_total_requests() - most requests in flight at a replica
 * @slots: slots of the replica
 *
 * Return: requests that all instances together may have in flight: one for
 * each slot, and those that may be queued at the replica.
 */
uint32_t medlar_share_total_requests(uint32_t slots)
{
	return slots + slots * QUEUE_PER_SLOT;
}

/* Connections that all instances together may open. */
static uint32_t usable_connections(size_t instances, uint32_t connections)
{
	size_t spare = 1 + instances / INSTANCES_PER_SPARE;
	size_t all = instances + spare;
	uint32_t reserve;

	if (connections <= 1)
		return connections;
	reserve = (uint32_t)((connections * spare + all - 1) / all);
	return connections - reserve;
}

static uint16_t units_of_rank(uint32_t units, size_t instances, size_t rank)
{
	size_t dealt;

	if (rank >= units)
		return 0;
	dealt = (units - rank + instances - 1) / instances;
	return dealt < UINT16_MAX ? (uint16_t)dealt : UINT16_MAX;
}

/**
 * medlar_share_for_rank() - share of the instance with a given rank
 * @instances: number of instances, at least 1
 * @rank: rank of the instance, 0 to @instances - 1
 * @slots: slots of the replica
 * @connections: connection limit of the replica
 *
 * Return: its share; never more slots than connections.
 */
medlar_share_t medlar_share_for_rank(size_t instances, size_t rank,
				     uint32_t slots, uint32_t connections)
{
	uint32_t total = usable_connections(instances, connections);
	medlar_share_t share;

	share.slots = units_of_rank(medlar_share_total_requests(slots),
				    instances, rank);
	share.connections = units_of_rank(total, instances, rank);
	if (share.slots > share.connections)
		share.slots = share.connections;
	return share;
}

/**
 * medlar_share_compute() - compute the share of an instance at a replica
 * @peers: the instances that share the replica
 * @self: hash of the name of the instance
 * @replica: hash of the name of the replica
 * @slots: slots of the replica
 * @connections: connection limit of the replica
 *
 * Return: the share; zero for an instance that is not among @peers.
 */
medlar_share_t medlar_share_compute(const medlar_peers_t *peers, uint64_t self,
				    uint64_t replica, uint32_t slots,
				    uint32_t connections)
{
	uint64_t own = medlar_share_hash(self, replica);
	bool found = false;
	size_t rank = 0;
	size_t i;

	for (i = 0; i < peers->len; i++) {
		if (peers->ids[i] == self)
			found = true;
		else if (medlar_share_hash(peers->ids[i], replica) < own)
			rank++;
	}
	if (!found)
		return (medlar_share_t){ 0 };
	return medlar_share_for_rank(peers->len, rank, slots, connections);
}
