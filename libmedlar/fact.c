/**
 * DOC: the facts that instances tell each other
 *
 * Of two facts about a subject the one with the higher revision holds. Facts
 * end after a time. Each belongs to a bucket by its id, and each bucket has
 * a digest, so that two instances find out what differs between them.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define FACTS_MAX 32768
#define HOT_MAX 512

/* A fact that ends this soon is no longer told nor compared. */
#define FADE (10 * MEDLAR_SECOND)

/* Encoded bytes of a fact, and of an address without its texts. */
#define FACT_SIZE 52
#define INFO_SIZE 36

static uint64_t mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/**
 * medlar_fact_id() - id under which a fact is held
 * @kind: what it is about
 * @subject: identifies what it is about
 *
 * Return: a hash of both.
 */
uint64_t medlar_fact_id(medlar_fact_kind_t kind, uint64_t subject)
{
	return mix(subject + (uint64_t)kind * UINT64_C(0x9e3779b97f4a7c15));
}

/**
 * medlar_fact_bucket() - bucket that a fact belongs to
 * @entry: fact
 *
 * Return: a number below %MEDLAR_FACT_BUCKETS.
 */
uint32_t medlar_fact_bucket(const medlar_fact_entry_t *entry)
{
	return (uint32_t)(entry->id >> 32) % MEDLAR_FACT_BUCKETS;
}

/**
 * medlar_fact_size() - bytes that a fact takes in a message
 * @fact: fact
 *
 * Return: an upper bound.
 */
size_t medlar_fact_size(const medlar_fact_t *fact)
{
	if (!fact->member)
		return FACT_SIZE;
	return FACT_SIZE + INFO_SIZE + strlen(fact->member->name) +
	       strlen(fact->member->host) + strlen(fact->member->zone);
}

/**
 * medlar_fact_of() - a held fact as it is told
 * @entry: fact
 * @now: current time, ms
 *
 * Return: the fact; its address is valid as long as @entry is.
 */
medlar_fact_t medlar_fact_of(const medlar_fact_entry_t *entry,
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
 * @kind: what it is about
 * @subject: identifies what it is about
 *
 * Return: the fact, or NULL.
 */
medlar_fact_entry_t *medlar_facts_find(const medlar_facts_t *facts,
				       medlar_fact_kind_t kind,
				       uint64_t subject)
{
	return medlar_table_find(&facts->table, medlar_fact_id(kind, subject));
}

static bool fades(const medlar_fact_entry_t *entry, medlar_time_t now)
{
	return entry->until != MEDLAR_TIME_NEVER && entry->until - now < FADE;
}

static void toggle_digest(medlar_facts_t *facts, medlar_fact_entry_t *entry)
{
	uint64_t hash = mix(entry->id ^ mix(entry->fact.revision));

	facts->buckets[medlar_fact_bucket(entry)] ^= (uint32_t)hash;
	entry->digested = !entry->digested;
}

static void heat(medlar_facts_t *facts, medlar_fact_entry_t *entry,
		 uint32_t sends)
{
	bool listed = entry->sends > 0;

	if (!facts->hot)
		facts->hot = calloc(HOT_MAX, sizeof(*facts->hot));
	if (!facts->hot || (!listed && facts->hot_len == HOT_MAX))
		return;
	if (!listed && sends > 0)
		facts->hot[facts->hot_len++] = entry->id;
	if (sends > entry->sends)
		entry->sends = sends;
}

static medlar_fact_entry_t *add(medlar_facts_t *facts,
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

static int keep_info(medlar_fact_entry_t *entry,
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

static bool is_news(const medlar_fact_entry_t *entry, const medlar_fact_t *fact)
{
	if (!entry || fact->revision > entry->fact.revision)
		return true;
	return fact->revision == entry->fact.revision && fact->member &&
	       !entry->info;
}

/**
 * medlar_facts_put() - take in a fact
 * @facts: facts
 * @fact: fact; copied
 * @sends: how often to tell it if it is news
 * @now: current time, ms
 * @out: set to the held fact when it is news
 *
 * Return: 1 when it is news, 0 when not, %MEDLAR_ERR_FULL when there are too
 * many facts or too little memory.
 */
int medlar_facts_put(medlar_facts_t *facts, const medlar_fact_t *fact,
		     uint32_t sends, medlar_time_t now,
		     medlar_fact_entry_t **out)
{
	medlar_fact_entry_t *entry = medlar_facts_find(facts, fact->kind,
						       fact->subject);

	if (!is_news(entry, fact))
		return 0;
	if (!entry)
		entry = add(facts, fact);
	if (!entry || keep_info(entry, fact->member))
		return MEDLAR_ERR_FULL;
	if (entry->digested)
		toggle_digest(facts, entry);
	entry->fact = *fact;
	entry->fact.member = NULL;
	entry->until = MEDLAR_TIME_NEVER;
	if (fact->ttl < MEDLAR_TIME_NEVER - now)
		entry->until = now + fact->ttl;
	if (fact->revision > 0 && !fades(entry, now)) {
		toggle_digest(facts, entry);
		heat(facts, entry, sends);
	}
	*out = entry;
	return 1;
}

/**
 * medlar_facts_age() - withdraw a fact that ends soon from the digests
 * @facts: facts
 * @entry: fact
 * @now: current time, ms
 */
void medlar_facts_age(medlar_facts_t *facts, medlar_fact_entry_t *entry,
		      medlar_time_t now)
{
	if (entry->digested && fades(entry, now))
		toggle_digest(facts, entry);
}

/**
 * medlar_facts_drop() - forget a fact
 * @facts: facts
 * @entry: fact; freed
 */
void medlar_facts_drop(medlar_facts_t *facts, medlar_fact_entry_t *entry)
{
	if (entry->digested)
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
	free(facts->hot);
	facts->hot = NULL;
	facts->hot_len = 0;
}

/**
 * medlar_facts_digest() - digest of all facts
 * @facts: facts
 *
 * Return: equal for equal sets of facts.
 */
uint32_t medlar_facts_digest(const medlar_facts_t *facts)
{
	uint32_t digest = 0;
	size_t i;

	for (i = 0; i < MEDLAR_FACT_BUCKETS; i++)
		digest ^= facts->buckets[i];
	return digest;
}

/**
 * medlar_facts_hot() - choose the news for a message
 * @facts: facts
 * @out: set to the news
 * @max: room in @out
 * @room: bytes that they may take by medlar_fact_size()
 * @now: current time, ms
 *
 * News that is still to be told moves behind the rest.
 *
 * Return: how many.
 */
size_t medlar_facts_hot(medlar_facts_t *facts, medlar_fact_t *out, size_t max,
			size_t room, medlar_time_t now)
{
	size_t left = facts->hot_len;
	size_t len = 0;

	while (left-- > 0 && len < max) {
		uint64_t id = facts->hot[0];
		medlar_fact_entry_t *entry = medlar_table_find(&facts->table,
							       id);

		if (entry) {
			out[len] = medlar_fact_of(entry, now);
			if (medlar_fact_size(&out[len]) > room)
				break;
		}
		facts->hot_len--;
		memmove(facts->hot, facts->hot + 1,
			facts->hot_len * sizeof(*facts->hot));
		if (!entry || entry->sends == 0)
			continue;
		room -= medlar_fact_size(&out[len++]);
		if (--entry->sends > 0)
			facts->hot[facts->hot_len++] = id;
	}
	return len;
}
