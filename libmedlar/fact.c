/**
 * DOC: versioned facts that the instances replicate by gossip
 *
 * Of two facts about a subject, the one with the higher revision is kept. Facts
 * expire. Facts are divided into buckets by id, and each bucket has a digest,
 * by which two instances find the buckets that differ between them.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define FACTS_MAX 32768
#define SEND_QUEUE_MAX 512

/* A fact that expires within this time is neither sent nor compared. */
#define EXPIRY_MARGIN (10 * MEDLAR_SECOND)

/* Encoded size in bytes of a fact, and of a member without its strings. */
#define FACT_SIZE 52
#define MEMBER_INFO_SIZE 36

static uint64_t mix_bits(uint64_t z)
{
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/**
 * medlar_fact_id() - id of a fact in the table
 * @kind: kind of the fact
 * @subject: subject of the fact
 *
 * Return: a hash of both.
 */
uint64_t medlar_fact_id(medlar_fact_kind_t kind, uint64_t subject)
{
	return mix_bits(subject +
			(uint64_t)kind * UINT64_C(0x9e3779b97f4a7c15));
}

/**
 * medlar_fact_bucket() - bucket of a fact
 * @entry: fact
 *
 * Return: a number below %MEDLAR_FACT_BUCKETS.
 */
uint32_t medlar_fact_bucket(const medlar_fact_entry_t *entry)
{
	return (uint32_t)(entry->id >> 32) % MEDLAR_FACT_BUCKETS;
}

/**
 * medlar_fact_size() - encoded size of a fact in a message
 * @fact: fact
 *
 * Return: an upper bound in bytes.
 */
size_t medlar_fact_size(const medlar_fact_t *fact)
{
	if (!fact->member)
		return FACT_SIZE;
	return FACT_SIZE + MEMBER_INFO_SIZE + strlen(fact->member->name) +
	       strlen(fact->member->host) + strlen(fact->member->zone);
}

/**
 * medlar_fact_from_entry() - convert an entry of the table to a fact to send
 * @entry: entry
 * @now: current time, ms
 *
 * Return: the fact with its remaining ttl; its @member is valid as long as
 * @entry.
 */
medlar_fact_t medlar_fact_from_entry(const medlar_fact_entry_t *entry,
				     medlar_time_t now)
{
	medlar_fact_t fact = entry->fact;

	fact.member = entry->info;
	fact.ttl = MEDLAR_TIME_NEVER;
	if (entry->until != MEDLAR_TIME_NEVER)
		fact.ttl = entry->until - now;
	return fact;
}

/**
 * medlar_facts_find() - look up a fact
 * @facts: facts
 * @kind: kind of the fact
 * @subject: subject of the fact
 *
 * Return: its entry, or NULL if there is none.
 */
medlar_fact_entry_t *medlar_facts_find(const medlar_facts_t *facts,
				       medlar_fact_kind_t kind,
				       uint64_t subject)
{
	return medlar_table_find(&facts->table, medlar_fact_id(kind, subject));
}

static bool expires_soon(const medlar_fact_entry_t *entry, medlar_time_t now)
{
	return entry->until != MEDLAR_TIME_NEVER &&
	       entry->until - now < EXPIRY_MARGIN;
}

static void toggle_digest(medlar_facts_t *facts, medlar_fact_entry_t *entry)
{
	uint64_t hash = mix_bits(entry->id ^ mix_bits(entry->fact.revision));

	facts->bucket_digests[medlar_fact_bucket(entry)] ^= (uint32_t)hash;
	entry->in_digest = !entry->in_digest;
}

static void enqueue_fact(medlar_facts_t *facts, medlar_fact_entry_t *entry,
			 uint32_t sends)
{
	bool listed = entry->sends_left > 0;

	if (!facts->send_queue)
		facts->send_queue = calloc(SEND_QUEUE_MAX,
					   sizeof(*facts->send_queue));
	if (!facts->send_queue ||
	    (!listed && facts->send_queue_len == SEND_QUEUE_MAX))
		return;
	if (!listed && sends > 0)
		facts->send_queue[facts->send_queue_len++] = entry->id;
	if (sends > entry->sends_left)
		entry->sends_left = sends;
}

static medlar_fact_entry_t *add_entry(medlar_facts_t *facts,
				      const medlar_fact_t *fact)
{
	medlar_fact_entry_t *entry;

	if (facts->table.len >= FACTS_MAX)
		return NULL;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	entry->id = medlar_fact_id(fact->kind, fact->subject);
	if (medlar_table_insert(&facts->table, &entry->id)) {
		free(entry);
		return NULL;
	}
	return entry;
}

static int store_member_info(medlar_fact_entry_t *entry,
			     const medlar_member_info_t *info)
{
	if (!info)
		return MEDLAR_OK;
	if (!entry->info)
		entry->info = calloc(1, sizeof(*entry->info));
	if (!entry->info)
		return MEDLAR_ERR_NOMEM;
	*entry->info = *info;
	return MEDLAR_OK;
}

static bool is_newer(const medlar_fact_entry_t *entry,
		     const medlar_fact_t *fact)
{
	if (!entry || fact->revision > entry->fact.revision)
		return true;
	return fact->revision == entry->fact.revision && fact->member &&
	       !entry->info;
}

/**
 * medlar_facts_put() - add a fact, or replace an older one
 * @facts: facts
 * @fact: fact; copied
 * @sends: number of messages to send it in if it is new
 * @now: current time, ms
 * @out: set to the entry if 1 is returned
 *
 * Return: 1 if the fact is new or newer than the one held, 0 if not,
 * %MEDLAR_ERR_FULL when there are too many facts or too little memory.
 */
int medlar_facts_put(medlar_facts_t *facts, const medlar_fact_t *fact,
		     uint32_t sends, medlar_time_t now,
		     medlar_fact_entry_t **out)
{
	medlar_fact_entry_t *entry = medlar_facts_find(facts, fact->kind,
						       fact->subject);

	if (!is_newer(entry, fact))
		return 0;
	if (!entry)
		entry = add_entry(facts, fact);
	if (!entry || store_member_info(entry, fact->member))
		return MEDLAR_ERR_FULL;
	if (entry->in_digest)
		toggle_digest(facts, entry);
	entry->fact = *fact;
	entry->fact.member = NULL;
	entry->until = MEDLAR_TIME_NEVER;
	if (fact->ttl < MEDLAR_TIME_NEVER - now)
		entry->until = now + fact->ttl;
	if (fact->revision > 0 && !expires_soon(entry, now)) {
		toggle_digest(facts, entry);
		enqueue_fact(facts, entry, sends);
	}
	*out = entry;
	return 1;
}

/**
 * medlar_facts_exclude_expiring() - remove a fact that expires soon from the
 *	digests
 * @facts: facts
 * @entry: entry of the fact
 * @now: current time, ms
 */
void medlar_facts_exclude_expiring(medlar_facts_t *facts,
				   medlar_fact_entry_t *entry,
				   medlar_time_t now)
{
	if (entry->in_digest && expires_soon(entry, now))
		toggle_digest(facts, entry);
}

/**
 * medlar_facts_remove() - remove a fact
 * @facts: facts
 * @entry: entry of the fact; freed
 */
void medlar_facts_remove(medlar_facts_t *facts, medlar_fact_entry_t *entry)
{
	if (entry->in_digest)
		toggle_digest(facts, entry);
	medlar_table_remove(&facts->table, entry->id);
	free(entry->info);
	free(entry);
}

/**
 * medlar_facts_finish() - release all facts
 * @facts: facts
 */
void medlar_facts_finish(medlar_facts_t *facts)
{
	size_t i;

	for (i = 0; i < facts->table.cap; i++) {
		medlar_fact_entry_t *entry = (void *)facts->table.slots[i];

		if (!entry)
			continue;
		free(entry->info);
		free(entry);
	}
	medlar_table_finish(&facts->table);
	free(facts->send_queue);
	facts->send_queue = NULL;
	facts->send_queue_len = 0;
}

/**
 * medlar_facts_digest() - digest of all facts
 * @facts: facts
 *
 * Return: the digest, equal for equal sets of ids and revisions.
 */
uint32_t medlar_facts_digest(const medlar_facts_t *facts)
{
	uint32_t digest = 0;
	size_t i;

	for (i = 0; i < MEDLAR_FACT_BUCKETS; i++)
		digest ^= facts->bucket_digests[i];
	return digest;
}

/**
 * medlar_facts_dequeue() - take facts from the send queue for a message
 * @facts: facts
 * @out: set to the facts
 * @max: capacity of @out
 * @room: most bytes in total, by medlar_fact_size()
 * @now: current time, ms
 *
 * A fact with sends left moves to the end of the queue.
 *
 * Return: number of facts in @out.
 */
size_t medlar_facts_dequeue(medlar_facts_t *facts, medlar_fact_t *out,
			    size_t max, size_t room, medlar_time_t now)
{
	size_t left = facts->send_queue_len;
	size_t len = 0;

	while (left-- > 0 && len < max) {
		uint64_t id = facts->send_queue[0];
		medlar_fact_entry_t *entry = medlar_table_find(&facts->table,
							       id);

		if (entry) {
			out[len] = medlar_fact_from_entry(entry, now);
			if (medlar_fact_size(&out[len]) > room)
				break;
		}
		facts->send_queue_len--;
		memmove(facts->send_queue, facts->send_queue + 1,
			facts->send_queue_len * sizeof(*facts->send_queue));
		if (!entry || entry->sends_left == 0)
			continue;
		room -= medlar_fact_size(&out[len++]);
		if (--entry->sends_left > 0)
			facts->send_queue[facts->send_queue_len++] = id;
	}
	return len;
}
