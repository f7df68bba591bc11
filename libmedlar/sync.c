/**
 * DOC: comparison of the facts of two instances
 *
 * One sends the digests of its buckets. The other answers with the keys of the
 * facts in some buckets that differ, and the first sends what it knows better
 * and asks for what it lacks.
 */
#include "internal.h"

/* Buckets listed for one comparison: few, or many for a new instance. */
#define LISTS_FEW 2
#define LISTS_MANY 16
#define DIFFERENCES_FEW 64

/** struct parcel - facts on their way into messages */
typedef struct parcel {
	medlar_client_t *client;
	medlar_members_t *members;
	const medlar_fact_entry_t *to;
	medlar_time_t now;
	medlar_fact_t facts[MEDLAR_MESSAGE_FACTS_MAX];
	size_t len;
	size_t room;
} parcel_t;

static void send_parcel(parcel_t *parcel)
{
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_RESULT,
		.facts = parcel->facts,
		.facts_len = parcel->len,
	};

	if (parcel->len > 0)
		medlar_members_send(parcel->client, parcel->members, parcel->to,
				    &message, parcel->now);
	parcel->len = 0;
	parcel->room = MEDLAR_MESSAGE_ROOM;
}

static void add_to_parcel(parcel_t *parcel, const medlar_fact_entry_t *entry)
{
	medlar_fact_t fact = medlar_fact_of(entry, parcel->now);
	size_t size = medlar_fact_size(&fact);

	if (parcel->len == MEDLAR_MESSAGE_FACTS_MAX || size > parcel->room)
		send_parcel(parcel);
	parcel->facts[parcel->len++] = fact;
	parcel->room -= size;
}

/**
 * medlar_sync_start() - begin a comparison
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
		.digests = members->facts.buckets,
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

		if (!entry || !entry->digested ||
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
 * medlar_sync_digests() - answer the digests of another instance
 * @client: client
 * @members: membership
 * @message: its digests
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
		different += message->digests[i] != members->facts.buckets[i];
	lists = different > DIFFERENCES_FEW ? LISTS_MANY : LISTS_FEW;
	for (i = 0; i < MEDLAR_FACT_BUCKETS && lists > 0; i++) {
		uint32_t bucket = (start + i) % MEDLAR_FACT_BUCKETS;

		if (message->digests[bucket] == members->facts.buckets[bucket])
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

static void add_unlisted(parcel_t *parcel, const medlar_message_t *message)
{
	const medlar_table_t *table = &parcel->members->facts.table;
	size_t i;

	for (i = 0; i < table->cap; i++) {
		const medlar_fact_entry_t *entry = (const void *)
							   table->slots[i];

		if (entry && entry->digested &&
		    medlar_fact_bucket(entry) == message->about &&
		    !is_listed(message, entry))
			add_to_parcel(parcel, entry);
	}
}

static const medlar_fact_entry_t *find_key(const medlar_members_t *members,
					   const medlar_fact_key_t *key)
{
	if (key->kind >= MEDLAR_FACT_KINDS)
		return NULL;
	return medlar_facts_find(&members->facts, (medlar_fact_kind_t)key->kind,
				 key->subject);
}

/**
 * medlar_sync_list() - compare the keys of a bucket
 * @client: client
 * @members: membership
 * @message: the keys that the other instance has
 * @now: current time, ms
 */
void medlar_sync_list(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now)
{
	medlar_fact_key_t keys[MEDLAR_MESSAGE_KEYS_MAX];
	medlar_message_t want = { .kind = MEDLAR_MESSAGE_WANT, .keys = keys };
	parcel_t parcel = {
		.client = client,
		.members = members,
		.to = medlar_members_find(members, message->from),
		.now = now,
		.room = MEDLAR_MESSAGE_ROOM,
	};
	size_t i;

	if (!parcel.to)
		return;
	for (i = 0; i < message->keys_len; i++) {
		const medlar_fact_key_t *key = &message->keys[i];
		const medlar_fact_entry_t *own = find_key(members, key);

		if (!own || own->fact.revision < key->revision)
			keys[want.keys_len++] = *key;
		else if (own->digested && own->fact.revision > key->revision)
			add_to_parcel(&parcel, own);
	}
	if (message->keys_len < MEDLAR_MESSAGE_KEYS_MAX)
		add_unlisted(&parcel, message);
	send_parcel(&parcel);
	if (want.keys_len > 0)
		medlar_members_send(client, members, parcel.to, &want, now);
}

/**
 * medlar_sync_want() - send the facts that are asked for
 * @client: client
 * @members: membership
 * @message: keys of the facts
 * @now: current time, ms
 */
void medlar_sync_want(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now)
{
	parcel_t parcel = {
		.client = client,
		.members = members,
		.to = medlar_members_find(members, message->from),
		.now = now,
		.room = MEDLAR_MESSAGE_ROOM,
	};
	size_t i;

	if (!parcel.to)
		return;
	for (i = 0; i < message->keys_len; i++) {
		const medlar_fact_entry_t *entry = find_key(members,
							    &message->keys[i]);

		if (entry && entry->digested)
			add_to_parcel(&parcel, entry);
	}
	send_parcel(&parcel);
}
