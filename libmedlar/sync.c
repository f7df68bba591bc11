/**
 * DOC: anti-entropy, the comparison of the facts of two instances
 *
 * One instance sends the digests of its buckets. The other one answers with the
 * keys of the facts in some of the buckets that differ. The first one then
 * sends the facts of which it has a newer revision and requests those that it
 * lacks.
 */
#include "internal.h"

/*
 * Buckets listed per comparison: more if many buckets differ, as for an
 * instance that has just started.
 */
#define LISTS_PER_SYNC 2
#define LISTS_PER_SYNC_MAX 16
#define DIFFERENCES_MANY 64

/**
 * struct fact_batch - facts that are packed into messages of limited size
 * @client: client
 * @members: membership
 * @to: fact about the receiver
 * @now: current time, ms
 * @facts: facts of the next message
 * @len: number of @facts
 * @room: bytes left in the next message
 */
typedef struct fact_batch {
	medlar_client_t *client;
	medlar_members_t *members;
	const medlar_fact_entry_t *to;
	medlar_time_t now;
	medlar_fact_t facts[MEDLAR_MESSAGE_FACTS_MAX];
	size_t len;
	size_t room;
} fact_batch_t;

static void send_batch(fact_batch_t *batch)
{
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_SYNC_FACTS,
		.facts = batch->facts,
		.facts_len = batch->len,
	};

	if (batch->len > 0)
		medlar_members_send(batch->client, batch->members, batch->to,
				    &message, batch->now);
	batch->len = 0;
	batch->room = MEDLAR_MESSAGE_FACTS_SIZE_MAX;
}

static void add_to_batch(fact_batch_t *batch, const medlar_fact_entry_t *entry)
{
	medlar_fact_t fact = medlar_fact_from_entry(entry, batch->now);
	size_t size = medlar_fact_size(&fact);

	if (batch->len == MEDLAR_MESSAGE_FACTS_MAX || size > batch->room)
		send_batch(batch);
	batch->facts[batch->len++] = fact;
	batch->room -= size;
}

/**
 * medlar_sync_start() - send the own digests to start a comparison
 * @client: client
 * @members: membership
 * @with: fact about the other instance
 * @now: current time, ms
 */
void medlar_sync_start(medlar_client_t *client, medlar_members_t *members,
		       const medlar_fact_entry_t *with, medlar_time_t now)
{
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_SYNC,
		.digests = members->facts.bucket_digests,
	};

	medlar_members_send(client, members, with, &message, now);
}

static void send_list(medlar_client_t *client, medlar_members_t *members,
		      const medlar_fact_entry_t *to, uint32_t bucket,
		      medlar_time_t now)
{
	medlar_fact_key_t keys[MEDLAR_MESSAGE_KEYS_MAX];
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_LIST,
		.about = bucket,
		.keys = keys,
	};
	const medlar_table_t *table = &members->facts.table;
	size_t i;

	for (i = 0; i < table->cap; i++) {
		const medlar_fact_entry_t *entry = (const void *)
							   table->slots[i];

		if (!entry || !entry->in_digest ||
		    medlar_fact_bucket(entry) != bucket)
			continue;
		if (message.keys_len == MEDLAR_MESSAGE_KEYS_MAX)
			break;
		keys[message.keys_len++] = (medlar_fact_key_t){
			entry->fact.kind,
			entry->fact.subject,
			entry->fact.revision,
		};
	}
	medlar_members_send(client, members, to, &message, now);
}

/**
 * medlar_sync_digests() - list the facts of buckets that differ to the sender
 * @client: client
 * @members: membership
 * @message: digests of the buckets of another instance
 * @now: current time, ms
 */
void medlar_sync_digests(medlar_client_t *client, medlar_members_t *members,
			 const medlar_message_t *message, medlar_time_t now)
{
	const medlar_fact_entry_t *sender = medlar_members_find(members,
								message->from);
	uint32_t start = (uint32_t)medlar_rand_below(&client->rand,
						     MEDLAR_FACT_BUCKETS);
	unsigned different = 0;
	unsigned lists;
	uint32_t i;

	if (!sender || !message->digests)
		return;
	for (i = 0; i < MEDLAR_FACT_BUCKETS; i++)
		different += message->digests[i] !=
			     members->facts.bucket_digests[i];
	lists = different > DIFFERENCES_MANY ? LISTS_PER_SYNC_MAX
					     : LISTS_PER_SYNC;
	for (i = 0; i < MEDLAR_FACT_BUCKETS && lists > 0; i++) {
		uint32_t bucket = (start + i) % MEDLAR_FACT_BUCKETS;

		if (message->digests[bucket] ==
		    members->facts.bucket_digests[bucket])
			continue;
		send_list(client, members, sender, bucket, now);
		lists--;
	}
}

static bool is_listed(const medlar_message_t *message,
		      const medlar_fact_entry_t *entry)
{
	size_t i;

	for (i = 0; i < message->keys_len; i++)
		if (message->keys[i].kind == entry->fact.kind &&
		    message->keys[i].subject == entry->fact.subject)
			return true;
	return false;
}

static void add_unlisted(fact_batch_t *batch, const medlar_message_t *message)
{
	const medlar_table_t *table = &batch->members->facts.table;
	size_t i;

	for (i = 0; i < table->cap; i++) {
		const medlar_fact_entry_t *entry = (const void *)
							   table->slots[i];

		if (entry && entry->in_digest &&
		    medlar_fact_bucket(entry) == message->about &&
		    !is_listed(message, entry))
			add_to_batch(batch, entry);
	}
}

static const medlar_fact_entry_t *find_by_key(const medlar_members_t *members,
					      const medlar_fact_key_t *key)
{
	if (key->kind >= MEDLAR_FACT_KINDS)
		return NULL;
	return medlar_facts_find(&members->facts, (medlar_fact_kind_t)key->kind,
				 key->subject);
}

/**
 * medlar_sync_list() - send newer facts of a bucket and request missing ones
 * @client: client
 * @members: membership
 * @message: keys of the facts that the other instance holds in the bucket
 * @now: current time, ms
 */
void medlar_sync_list(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now)
{
	medlar_fact_key_t keys[MEDLAR_MESSAGE_KEYS_MAX];
	medlar_message_t want = { .kind = MEDLAR_MESSAGE_WANT, .keys = keys };
	fact_batch_t batch = {
		.client = client,
		.members = members,
		.to = medlar_members_find(members, message->from),
		.now = now,
		.room = MEDLAR_MESSAGE_FACTS_SIZE_MAX,
	};
	size_t i;

	if (!batch.to)
		return;
	for (i = 0; i < message->keys_len; i++) {
		const medlar_fact_key_t *key = &message->keys[i];
		const medlar_fact_entry_t *own = find_by_key(members, key);

		if (!own || own->fact.revision < key->revision)
			keys[want.keys_len++] = *key;
		else if (own->in_digest && own->fact.revision > key->revision)
			add_to_batch(&batch, own);
	}
	if (message->keys_len < MEDLAR_MESSAGE_KEYS_MAX)
		add_unlisted(&batch, message);
	send_batch(&batch);
	if (want.keys_len > 0)
		medlar_members_send(client, members, batch.to, &want, now);
}

/**
 * medlar_sync_want() - send the requested facts
 * @client: client
 * @members: membership
 * @message: keys of the facts
 * @now: current time, ms
 */
void medlar_sync_want(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now)
{
	fact_batch_t batch = {
		.client = client,
		.members = members,
		.to = medlar_members_find(members, message->from),
		.now = now,
		.room = MEDLAR_MESSAGE_FACTS_SIZE_MAX,
	};
	size_t i;

	if (!batch.to)
		return;
	for (i = 0; i < message->keys_len; i++) {
		const medlar_fact_entry_t *entry = find_by_key(
			members, &message->keys[i]);

		if (entry && entry->in_digest)
			add_to_batch(&batch, entry);
	}
	send_batch(&batch);
}
