/**
 * DOC: list of the instances, random choice of a receiver, and the peers that
 * share the upstreams
 */
#include <stdlib.h>

#include "internal.h"

/* Probe period per doubling of the number of instances, ms. */
#define PROBE_PERIOD_STEP ((medlar_time_t)80)
/* Interval of gossip rounds, ms. */
#define ROUND_INTERVAL ((medlar_time_t)240)
/* Gossip rounds allowed beyond the binary logarithm of the instances. */
#define HOLD_SPARE_ROUNDS 4
/* Without a message for this time, an instance assumes it is the only one. */
#define JOIN_TIMEOUT (5 * MEDLAR_SECOND)
#define LIST_CAP_MIN 16

static unsigned bit_length(size_t number)
{
	unsigned bits = 0;

	for (; number > 0; number >>= 1)
		bits++;
	return bits;
}

/**
 * medlar_members_probe_period() - time between two probes
 * @instances: number of live instances
 *
 * Return: a time in milliseconds; grows with the logarithm of @instances.
 */
medlar_time_t medlar_members_probe_period(size_t instances)
{
	return PROBE_PERIOD_STEP * bit_length(instances);
}

/**
 * medlar_members_hold_time() - time within which a fact reaches every instance
 * @instances: number of live instances
 *
 * Return: a time in milliseconds.
 */
medlar_time_t medlar_members_hold_time(size_t instances)
{
	return ROUND_INTERVAL * (bit_length(instances) + HOLD_SPARE_ROUNDS);
}

/**
 * medlar_fact_entry_state() - state of an instance
 * @entry: fact about it
 *
 * Return: the state, encoded in the revision of the fact.
 */
medlar_member_state_t medlar_fact_entry_state(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision % MEDLAR_MEMBER_STATES;
}

/**
 * medlar_fact_entry_incarnation() - incarnation of an instance
 * @entry: fact about it
 *
 * Return: the incarnation; 0 for a seed that has never been heard from.
 */
uint64_t medlar_fact_entry_incarnation(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision / MEDLAR_MEMBER_STATES;
}

/**
 * medlar_fact_entry_is_live() - whether an instance counts as a live member
 * @entry: fact about it
 *
 * Return: false if it is dead, has never been heard from or its address is
 * unknown.
 */
bool medlar_fact_entry_is_live(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision > 0 && entry->info &&
	       medlar_fact_entry_state(entry) != MEDLAR_MEMBER_DEAD;
}

/**
 * medlar_members_find() - look up an instance
 * @members: membership
 * @id: hash of its name
 *
 * Return: the fact about it, or NULL if there is none.
 */
medlar_fact_entry_t *medlar_members_find(const medlar_members_t *members,
					 uint64_t id)
{
	return medlar_facts_find(&members->facts, MEDLAR_FACT_MEMBER, id);
}

static bool is_in_reach(const medlar_members_t *members,
			const medlar_fact_entry_t *entry, medlar_reach_t reach)
{
	const medlar_fact_entry_t *self = medlar_members_find(members,
							      members->id);

	if (entry == self || !entry->info)
		return false;
	if (reach == MEDLAR_REACH_ALL)
		return true;
	if (!medlar_fact_entry_is_live(entry))
		return false;
	if (reach == MEDLAR_REACH_ZONE)
		return entry->zone == self->zone;
	return entry->region == self->region;
}

/**
 * medlar_members_pick_random() - choose a random other instance
 * @client: client
 * @members: membership
 * @reach: how far away it may be; %MEDLAR_REACH_ALL includes dead instances
 *	and seeds that have never been heard from. If there is none within
 *	@reach, the next wider one is tried
 *
 * Return: the fact about it, or NULL if there is no other instance.
 */
medlar_fact_entry_t *medlar_members_pick_random(medlar_client_t *client,
						medlar_members_t *members,
						medlar_reach_t reach)
{
	size_t start = medlar_rand_below(&client->rand, members->len);
	size_t i;

	for (; reach <= MEDLAR_REACH_ALL; reach++)
		for (i = 0; i < members->len; i++) {
			medlar_fact_entry_t *entry =
				members->entries[(start + i) % members->len];

			if (is_in_reach(members, entry, reach))
				return entry;
		}
	return NULL;
}

/**
 * medlar_members_add_entry() - append a new instance to the list
 * @members: membership
 * @entry: fact about it, not listed yet
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_members_add_entry(medlar_members_t *members,
			     medlar_fact_entry_t *entry)
{
	size_t cap = members->cap ? 2 * members->cap : LIST_CAP_MIN;
	medlar_fact_entry_t **grown;

	if (members->len == members->cap) {
		grown = realloc(members->entries,
				cap * sizeof(medlar_fact_entry_t *));
		if (!grown)
			return MEDLAR_ERR_NOMEM;
		members->entries = grown;
		members->cap = cap;
	}
	members->entries[members->len++] = entry;
	return MEDLAR_OK;
}

/**
 * medlar_members_remove_entry() - remove a fact, and the instance if it is
 *	about one
 * @members: membership
 * @entry: an expired fact; freed
 */
void medlar_members_remove_entry(medlar_members_t *members,
				 medlar_fact_entry_t *entry)
{
	size_t i;

	if (entry->fact.kind == MEDLAR_FACT_MEMBER) {
		for (i = 0; members->entries[i] != entry; i++)
			;
		members->entries[i] = members->entries[--members->len];
		members->generation++;
	}
	medlar_facts_remove(&members->facts, entry);
}

/**
 * medlar_members_count() - number of instances in the list
 * @members: membership
 *
 * Return: the number in any state, with this instance and the seeds.
 */
size_t medlar_members_count(const medlar_members_t *members)
{
	return members->len;
}

/**
 * medlar_members_get() - get an instance by its index
 * @members: membership
 * @index: 0 to medlar_members_count() - 1; the order changes
 * @out: set to the instance, valid until the membership changes
 *
 * Return: false, with @out unchanged, for an instance that has never been heard
 * from or whose address is unknown.
 */
bool medlar_members_get(const medlar_members_t *members, size_t index,
			medlar_member_t *out)
{
	const medlar_fact_entry_t *entry = members->entries[index];

	if (entry->fact.revision == 0 || !entry->info)
		return false;
	*out = (medlar_member_t){
		.info = entry->info,
		.incarnation = medlar_fact_entry_incarnation(entry),
		.state = medlar_fact_entry_state(entry),
	};
	return true;
}

/**
 * medlar_members_fact_revision() - revision of a fact that is held
 * @members: membership
 * @kind: kind of the fact
 * @subject: subject of the fact
 *
 * Return: the revision; 0 if no such fact is held.
 */
uint64_t medlar_members_fact_revision(const medlar_members_t *members,
				      medlar_fact_kind_t kind, uint64_t subject)
{
	const medlar_fact_entry_t *entry = medlar_facts_find(&members->facts,
							     kind, subject);

	return entry ? entry->fact.revision : 0;
}

/**
 * medlar_members_generation() - number of changes to the membership
 * @members: membership
 *
 * Return: a number that grows with each change.
 */
uint64_t medlar_members_generation(const medlar_members_t *members)
{
	return members->generation;
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}

/* Whether an instance is dead but has not announced that it left. */
static bool is_lost(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision > 0 &&
	       medlar_fact_entry_state(entry) == MEDLAR_MEMBER_DEAD &&
	       entry->fact.value == 0;
}

/**
 * medlar_members_peers() - list the instances that share the upstreams
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * Lost instances, which died without leaving, are counted as well unless the
 * live ones outnumber them. The smaller side of a network partition thus never
 * takes over the share of the other side.
 *
 * Return: peers for medlar_service_set_peers(), valid until the next call;
 * none when out of memory.
 */
medlar_peers_t medlar_members_peers(medlar_client_t *client,
				    medlar_members_t *members,
				    medlar_time_t now)
{
	medlar_peers_t peers = { .hold = medlar_members_hold_time(
					 members->live_count) };
	size_t lost = 0;
	size_t i;

	(void)client;
	for (i = 0; i < members->len; i++)
		lost += is_lost(members->entries[i]);
	if (members->len > members->peer_ids_cap) {
		free(members->peer_ids);
		members->peer_ids_cap = 2 * members->len;
		members->peer_ids = calloc(members->peer_ids_cap,
					   sizeof(uint64_t));
		if (!members->peer_ids)
			members->peer_ids_cap = 0;
	}
	for (i = 0; i < members->len && members->peer_ids; i++) {
		const medlar_fact_entry_t *entry = members->entries[i];

		if (medlar_fact_entry_is_live(entry) ||
		    (is_lost(entry) && members->live_count <= lost))
			members->peer_ids[peers.len++] = entry->fact.subject;
	}
	if (peers.len > 0)
		qsort(members->peer_ids, peers.len, sizeof(uint64_t),
		      compare_ids);
	peers.ids = members->peer_ids;
	peers.since = members->joined_at;
	if (members->joined_at == MEDLAR_TIME_NEVER)
		peers.since = now + JOIN_TIMEOUT;
	return peers;
}
