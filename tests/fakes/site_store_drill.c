/**
 * DOC: drill of the stand-in for the platform's store: it comes back from an older copy
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fakes/site_store.h"

#define CAP_INITIAL 256

/**
 * site_store_keep_change() - note a change, so that a copy can be made later
 * @store: store
 * @key: key
 * @value: value; NULL if the item was deleted
 * @lease: lease of the item
 */
void site_store_keep_change(site_store_t *store, const char *key,
			    const char *value, uint64_t lease)
{
	site_change_t *change;

	if (store->changes_len == store->changes_cap) {
		store->changes_cap = store->changes_cap ? 2 * store->changes_cap
							: CAP_INITIAL;
		store->changes = realloc(store->changes,
					 store->changes_cap *
						 sizeof(*store->changes));
		if (!store->changes)
			abort();
	}
	change = &store->changes[store->changes_len++];
	*change = (site_change_t){ .at = store->loop->now,
				   .value = value ? strdup(value) : NULL,
				   .lease = lease,
				   .last_lease = store->last_lease };
	(void)snprintf(change->key, sizeof(change->key), "%s", key);
}

static void free_changes(site_change_t *changes, size_t len)
{
	for (size_t i = 0; i < len; i++)
		free(changes[i].value);
}

/* Moves the changes of after the copy to those that are lost. */
static void lose_changes(site_store_t *store, medlar_time_t copied_at)
{
	size_t kept = 0;

	while (kept < store->changes_len &&
	       store->changes[kept].at <= copied_at)
		kept++;
	free_changes(store->lost, store->lost_len);
	free(store->lost);
	store->lost_len = store->changes_len - kept;
	store->lost = calloc(store->lost_len + 1, sizeof(*store->lost));
	if (!store->lost)
		abort();
	memcpy(store->lost, &store->changes[kept],
	       store->lost_len * sizeof(*store->lost));
	store->changes_len = kept;
	store->returned_at = kept;
}

static void replay_changes(site_store_t *store)
{
	for (size_t i = 0; i < store->items_len; i++)
		free(store->items[i].value);
	store->items_len = 0;
	store->revision = 0;
	store->history_from = 0;
	store->last_lease = 0;
	for (size_t i = 0; i < store->changes_len; i++) {
		const site_change_t *change = &store->changes[i];

		site_store_set(store, change->key, change->value,
			       change->lease);
		store->last_lease = change->last_lease;
	}
}

/* Leases of after the copy are gone; the others go on. */
static void cut_leases(site_store_t *store)
{
	for (size_t i = store->leases_len; i > 0; i--)
		if (store->leases[i - 1].id > store->last_lease)
			store->leases[i - 1] =
				store->leases[--store->leases_len];
	for (size_t i = 0; i < store->leases_len; i++)
		store->leases[i].expires_at = store->loop->now +
					      store->leases[i].ttl;
}

/**
 * site_store_come_back() - go back to a copy and raise the epoch
 * @store: store; nobody watches it
 * @age: how old the copy is, ms
 */
void site_store_come_back(site_store_t *store, medlar_time_t age)
{
	lose_changes(store, store->loop->now - age);
	replay_changes(store);
	cut_leases(store);
	store->epoch++;
}

static bool has_key(const site_change_t *changes, size_t len, const char *key)
{
	for (size_t i = 0; i < len; i++)
		if (strcmp(changes[i].key, key) == 0)
			return true;
	return false;
}

/* Whether the operator or a replica wrote it, and nothing after it. */
static bool is_written_again(const site_store_t *store, size_t index)
{
	const char *key = store->lost[index].key;

	if (has_key(&store->lost[index + 1], store->lost_len - index - 1,
		    key) ||
	    has_key(&store->changes[store->returned_at],
		    store->changes_len - store->returned_at, key))
		return false;
	return strncmp(key, "op/", 3) == 0 || strncmp(key, "servers/", 8) == 0;
}

/**
 * site_store_write_again() - make the last lost change of each key again, but for those
 *	of routers
 * @store: store
 * @last_first: the latest change comes first
 *
 * What was written since the store came back stays as it is.
 */
void site_store_write_again(site_store_t *store, bool last_first)
{
	for (size_t i = 0; i < store->lost_len; i++) {
		size_t index = last_first ? store->lost_len - 1 - i : i;
		const site_change_t *lost = &store->lost[index];

		if (is_written_again(store, index))
			site_store_put(store, lost->key, lost->value, 0);
	}
}

/**
 * site_store_finish_changes() - release the changes
 * @store: store
 */
void site_store_finish_changes(site_store_t *store)
{
	free_changes(store->changes, store->changes_len);
	free_changes(store->lost, store->lost_len);
	free(store->changes);
	free(store->lost);
}
