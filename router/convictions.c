/**
 * DOC: requests that crash replicas, as the store holds them
 */
#include "platform/entries.h"
#include "router/convictions.h"

/*
 * The owner of a request writes its conviction. Others do if the store lacks it after
 * a time between these bounds, which differs from instance to instance.
 */
#define OTHERS_DELAY_MIN_MS 2000
#define OTHERS_DELAY_MAX_MS 12000

/**
 * convictions_apply() - take a conviction that the store holds
 * @convictions: exchange
 * @item: entry of the store; the deletion of one says nothing
 * @name: name of the entry
 */
void convictions_apply(convictions_t *convictions, const store_item_t *item,
		       medlar_str_t name)
{
	uint64_t fingerprint = entries_parse_fingerprint(name);
	medlar_time_t now = convictions->loop->now;
	bool was_convicted;

	if (item->deleted || !fingerprint)
		return;
	was_convicted = suspects_is_convicted(convictions->suspects,
					      fingerprint, now);
	suspects_add_stored(convictions->suspects, fingerprint, now);
	if (!was_convicted &&
	    suspects_is_convicted(convictions->suspects, fingerprint, now))
		LOG_LINE(convictions->log, LOG_LEVEL_WARNING, "convict",
			 MEDLAR_HEX("request", fingerprint),
			 MEDLAR_TEXT("source", MEDLAR_STR("store")),
			 MEDLAR_TEXT("by", item->value),
			 MEDLAR_NUM("revision", item->position.revision));
}

/* Time after the last crash from which this instance writes the conviction, ms. */
static medlar_time_t write_delay(const convictions_t *convictions,
				 uint64_t fingerprint)
{
	uint64_t hash = medlar_str_hash(convictions->instance, fingerprint);

	if (!peers_owner_of(convictions->peers, fingerprint))
		return 0;
	return OTHERS_DELAY_MIN_MS +
	       (medlar_time_t)(hash %
			       (OTHERS_DELAY_MAX_MS - OTHERS_DELAY_MIN_MS));
}

/* If the store is busy or the write fails, a later tick tries again. */
static void write_conviction(convictions_t *convictions, suspect_t *suspect)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	entries_conviction_key(suspect->fingerprint, &key);
	if (!store_put_expiring(convictions->store, medlar_buf_str(&key),
				convictions->instance, SUSPECT_CONVICTION_MS))
		suspect->written_at = convictions->loop->now;
	medlar_buf_finish(&key);
}

/**
 * convictions_store_lost() - write all convictions again that the store may lack
 * @convictions: exchange
 *
 * The delays count from now on, so that not all instances write at once.
 */
void convictions_store_lost(convictions_t *convictions)
{
	convictions->store_lost_at = convictions->loop->now;
	suspects_forget_stored(convictions->suspects);
}

/* When a conviction became one that the store lacks, ms. */
static medlar_time_t lacking_since(const convictions_t *convictions,
				   const suspect_t *suspect)
{
	return suspect->updated_at > convictions->store_lost_at
		       ? suspect->updated_at
		       : convictions->store_lost_at;
}

/**
 * convictions_tick() - write what the store lacks
 * @convictions: exchange
 */
void convictions_tick(convictions_t *convictions)
{
	medlar_time_t now = convictions->loop->now;
	suspect_t *suspect;
	size_t position = 0;

	while ((suspect = suspects_next_unstored(convictions->suspects,
						 &position, now)))
		if (now - lacking_since(convictions, suspect) >=
		    write_delay(convictions, suspect->fingerprint))
			write_conviction(convictions, suspect);
}
