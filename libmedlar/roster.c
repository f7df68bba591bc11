/**
 * DOC: the list of instances, and whom of them to talk to or to share with
 */
#include <stdlib.h>

#include "internal.h"

#define PERIOD_STEP ((medlar_time_t)80)
#define ROUND ((medlar_time_t)240)
#define ROUNDS_SPARE 4
#define ALONE_AFTER (5 * MEDLAR_SECOND)
#define LIST_CAP_MIN 16

static unsigned bits_of(size_t number)
{
	unsigned bits = 0;

	for (; number > 0; number >>= 1)
		bits++;
	return bits;
}

/**
 * medlar_members_period() - time between two probes
 * @instances: size of the fleet
 *
 * Return: a time in milliseconds; grows with the logarithm of the size.
 */
medlar_time_t medlar_members_period(size_t instances)
{
	return PERIOD_STEP * bits_of(instances);
}

/**
 * medlar_members_hold() - time within which news reaches every instance
 * @instances: size of the fleet
 *
 * Return: a time in milliseconds.
 */
medlar_time_t medlar_members_hold(size_t instances)
{
	return ROUND * (bits_of(instances) + ROUNDS_SPARE);
}

/**
 * medlar_entry_state() - what is believed of an instance
 * @entry: fact about it
 *
 * Return: its state.
 */
medlar_member_state_t medlar_entry_state(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision % MEDLAR_MEMBER_STATES;
}

/**
 * medlar_entry_incarnation() - incarnation of an instance
 * @entry: fact about it
 *
 * Return: the incarnation; 0 for an instance that was never heard of.
 */
uint64_t medlar_entry_incarnation(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision / MEDLAR_MEMBER_STATES;
}

/**
 * medlar_entry_is_live() - whether an instance counts
 * @entry: fact about it
 *
 * Return: true unless it is taken for dead or was never heard of.
 */
bool medlar_entry_is_live(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision > 0 && entry->info &&
	       medlar_entry_state(entry) != MEDLAR_MEMBER_DEAD;
}

/**
 * medlar_members_find() - look up an instance
 * @members: membership
 * @id: hash of its name
 *
 * Return: the fact about it, or NULL.
 */
medlar_fact_entry_t *medlar_members_find(const medlar_members_t *members,
					 uint64_t id)
{
	return medlar_facts_find(&members->facts, MEDLAR_FACT_MEMBER, id);
}

static bool is_within(const medlar_members_t *members,
		      const medlar_fact_entry_t *entry, medlar_reach_t reach)
{
	const medlar_fact_entry_t *self = medlar_members_find(members,
							      members->id);

	if (entry == self || !entry->info)
		return false;
	if (reach == MEDLAR_REACH_ALL)
		return true;
	if (!medlar_entry_is_live(entry))
		return false;
	if (reach == MEDLAR_REACH_ZONE)
		return entry->zone == self->zone;
	return entry->region == self->region;
}

/**
 * medlar_members_random() - choose an instance to talk to
 * @client: client
 * @members: membership
 * @reach: how far away it may be; all includes those taken for dead and those
 *	never heard of. When there is none, those farther away are tried
 *
 * Return: the fact about it, or NULL.
 */
medlar_fact_entry_t *medlar_members_random(medlar_client_t *client,
					   medlar_members_t *members,
					   medlar_reach_t reach)
{
	size_t start = medlar_rand_below(&client->rand, members->len);
	size_t i;

	for (; reach <= MEDLAR_REACH_ALL; reach++)
		for (i = 0; i < members->len; i++) {
			medlar_fact_entry_t *entry =
				members->list[(start + i) % members->len];

			if (is_within(members, entry, reach))
				return entry;
		}
	return NULL;
}

/**
 * medlar_members_list() - list an instance that is new
 * @members: membership
 * @entry: fact about it
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_members_list(medlar_members_t *members, medlar_fact_entry_t *entry)
{
	size_t cap = members->cap ? 2 * members->cap : LIST_CAP_MIN;
	medlar_fact_entry_t **grown;

	if (members->len == members->cap) {
		grown = realloc(members->list,
				cap * sizeof(medlar_fact_entry_t *));
		if (!grown)
			return MEDLAR_ERR_NOMEM;
		members->list = grown;
		members->cap = cap;
	}
	members->list[members->len++] = entry;
	return MEDLAR_OK;
}

/**
 * medlar_members_forget() - forget a fact, and the instance it is about
 * @members: membership
 * @entry: a fact that has ended; freed
 */
void medlar_members_forget(medlar_members_t *members,
			   medlar_fact_entry_t *entry)
{
	size_t i;

	if (entry->fact.kind == MEDLAR_FACT_MEMBER) {
		for (i = 0; members->list[i] != entry; i++)
			;
		members->list[i] = members->list[--members->len];
		members->generation++;
	}
	medlar_facts_drop(&members->facts, entry);
}

/**
 * medlar_members_count() - number of instances, this one included
 * @members: membership
 *
 * Return: how many medlar_members_get() gives, whatever their state.
 */
size_t medlar_members_count(const medlar_members_t *members)
{
	return members->len;
}

/**
 * medlar_members_get() - one of the instances
 * @members: membership
 * @index: 0 to medlar_members_count() - 1; the order changes
 * @out: set to what is known, valid until the membership changes
 *
 * Return: false for an instance that was never heard of.
 */
bool medlar_members_get(const medlar_members_t *members, size_t index,
			medlar_member_t *out)
{
	const medlar_fact_entry_t *entry = members->list[index];

	if (entry->fact.revision == 0 || !entry->info)
		return false;
	*out = (medlar_member_t){
		.info = entry->info,
		.incarnation = medlar_entry_incarnation(entry),
		.state = medlar_entry_state(entry),
	};
	return true;
}

/**
 * medlar_members_known() - revision of a fact that is held
 * @members: membership
 * @kind: what it is about
 * @subject: identifies what it is about
 *
 * Return: the revision; 0 when there is none.
 */
uint64_t medlar_members_known(const medlar_members_t *members,
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

static int compare(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}

/* Whether an instance has died without leaving, as far as is known here. */
static bool is_lost(const medlar_fact_entry_t *entry)
{
	return entry->fact.revision > 0 &&
	       medlar_entry_state(entry) == MEDLAR_MEMBER_DEAD &&
	       entry->fact.value == 0;
}

/**
 * medlar_members_peers() - the instances that share the upstreams
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * Instances that were lost still count unless those that are well are more.
 * So the smaller side of a partition never takes over what the other uses.
 *
 * Return: peers for medlar_service_set_peers(), valid until the next call.
 */
medlar_peers_t medlar_members_peers(medlar_client_t *client,
				    medlar_members_t *members,
				    medlar_time_t now)
{
	medlar_peers_t peers = { .hold = medlar_members_hold(members->live) };
	size_t lost = 0;
	size_t i;

	(void)client;
	for (i = 0; i < members->len; i++)
		lost += is_lost(members->list[i]);
	if (members->len > members->ids_cap) {
		free(members->ids);
		members->ids_cap = 2 * members->len;
		members->ids = calloc(members->ids_cap, sizeof(uint64_t));
		if (!members->ids)
			members->ids_cap = 0;
	}
	for (i = 0; i < members->len && members->ids; i++) {
		const medlar_fact_entry_t *entry = members->list[i];

		if (medlar_entry_is_live(entry) ||
		    (is_lost(entry) && members->live <= lost))
			members->ids[peers.len++] = entry->fact.subject;
	}
	if (peers.len > 0)
		qsort(members->ids, peers.len, sizeof(uint64_t), compare);
	peers.ids = members->ids;
	peers.since = members->joined;
	if (members->joined == MEDLAR_TIME_NEVER)
		peers.since = now + ALONE_AFTER;
	return peers;
}
