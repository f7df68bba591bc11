/**
 * DOC: the store comes back from an older copy of itself
 *
 * Each of its replies may tell its epoch. A higher one than before means that revisions
 * were given out again, and that leases and entries of this instance may be gone.
 */
#include "router/store_internal.h"

/* Instances write their entries again within this time, each at its own moment. */
#define REWRITE_SPREAD_MS (2 * MEDLAR_SECOND)

static void log_epoch(const store_t *store, uint64_t epoch)
{
	LOG_LINE(store->log, LOG_LEVEL_WARNING, "store_epoch",
		 MEDLAR_NUM("epoch", epoch), MEDLAR_NUM("before", store->epoch),
		 MEDLAR_NUM("revision", store->mirror->position.revision),
		 MEDLAR_NUM("entries", store->mirror->len));
}

/* The old lease may be somebody else's now: it is not renewed, nor ended. */
static void write_entry_again(store_t *store)
{
	store_channel_t *channel = &store->lease_keeper;
	medlar_rand_t *rand = &store->loop->client->rand;

	if (store->entry_state == STORE_ENTRY_LEAVING)
		return;
	store->entry_state = STORE_ENTRY_NO_LEASE;
	store->lease = 0;
	if (!channel->call_in_flight)
		store_channel_set_timer(channel,
					(medlar_time_t)medlar_rand_below(
						rand, REWRITE_SPREAD_MS));
}

/**
 * store_hear_epoch() - take an epoch that the store or another instance tells
 * @store: client
 * @epoch: epoch; ignored unless it is higher than the known one
 *
 * The first epoch that is told means nothing if nothing was read before.
 */
void store_hear_epoch(store_t *store, uint64_t epoch)
{
	bool is_first = !store->epoch && !store->mirror->position.revision;

	if (epoch <= store->epoch)
		return;
	if (!is_first)
		log_epoch(store, epoch);
	store->epoch = epoch;
	if (is_first)
		return;
	store->stats->counts[STAT_STORE_EPOCHS]++;
	store->epoch_rose_at = store->loop->now;
	store->last_contact = 0;
	store->answered = (uptime_t){ 0 };
	write_entry_again(store);
	if (store->on_epoch)
		store->on_epoch(store->epoch_data);
}

static void log_malformed(store_t *store)
{
	if (store->epoch_malformed)
		return;
	store->epoch_malformed = true;
	LOG_LINE(store->log, LOG_LEVEL_WARNING, "store_epoch",
		 MEDLAR_TEXT("why", MEDLAR_STR("malformed")),
		 MEDLAR_NUM("before", store->epoch));
}

/**
 * store_read_epoch() - take the epoch that a reply tells
 * @store: client
 * @reply: reply to any call
 *
 * A reply that tells none, or something else, counts as one of the known epoch.
 *
 * Return: false if the reply is of a lower epoch, and must not be used.
 */
bool store_read_epoch(store_t *store, const h1_message_t *reply)
{
	uint64_t epoch = 0;
	int error = store->calls->read_epoch(reply, &epoch);

	if (error == MEDLAR_ERR_SYNTAX)
		log_malformed(store);
	if (error)
		return true;
	store->epoch_malformed = false;
	if (epoch < store->epoch)
		return false;
	store_hear_epoch(store, epoch);
	return true;
}
