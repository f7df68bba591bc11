/**
 * DOC: items and leases of the stand-in for the platform's store
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fakes/site_store.h"

#define CAP_INITIAL 64
#define LEASE_CHECK_MS 100

static void *grow(void *list, size_t *cap, size_t size)
{
	*cap = *cap ? 2 * *cap : CAP_INITIAL;
	list = realloc(list, *cap * size);
	if (!list)
		abort();
	return list;
}

static site_item_t *find_item(const site_store_t *store, const char *key)
{
	for (size_t i = 0; i < store->items_len; i++)
		if (strcmp(store->items[i].key, key) == 0)
			return &store->items[i];
	return NULL;
}

static site_item_t *add_item(site_store_t *store, const char *key)
{
	site_item_t *item;

	if (store->items_len == store->items_cap)
		store->items = grow(store->items, &store->items_cap,
				    sizeof(*store->items));
	item = &store->items[store->items_len++];
	*item = (site_item_t){ 0 };
	(void)snprintf(item->key, sizeof(item->key), "%s", key);
	return item;
}

/**
 * site_store_set() - set or delete an item without telling those who watch
 * @store: store
 * @key: key
 * @value: value; NULL deletes the item
 * @lease: lease that the item depends on; 0 for none
 */
void site_store_set(site_store_t *store, const char *key, const char *value,
		    uint64_t lease)
{
	site_item_t *item = find_item(store, key);

	if (!value && (!item || !item->value))
		return;
	if (!item)
		item = add_item(store, key);
	free(item->value);
	item->value = value ? strdup(value) : NULL;
	item->revision = ++store->revision;
	item->lease = lease;
}

/**
 * site_store_put() - set or delete an item
 * @store: store
 * @key: key
 * @value: value; NULL deletes the item
 * @lease: lease that the item depends on; 0 for none
 */
void site_store_put(site_store_t *store, const char *key, const char *value,
		    uint64_t lease)
{
	site_store_set(store, key, value, lease);
	site_store_keep_change(store, key, value, lease);
	site_store_wake_watches(store);
}

/**
 * site_store_find() - find an item
 * @store: store
 * @key: key
 *
 * Return: the item, or NULL if there is none.
 */
const site_item_t *site_store_find(const site_store_t *store, const char *key)
{
	const site_item_t *item = find_item(store, key);

	return item && item->value ? item : NULL;
}

/**
 * site_store_drop_history() - forget all changes so far
 * @store: store; watches that wait are answered with status 410
 */
void site_store_drop_history(site_store_t *store)
{
	store->history_from = ++store->revision;
	site_store_wake_watches(store);
}

/**
 * site_store_grant() - give out a lease
 * @store: store
 * @ttl: time to live, ms
 *
 * Return: its id.
 */
uint64_t site_store_grant(site_store_t *store, medlar_time_t ttl)
{
	site_lease_t *lease;

	if (store->leases_len == store->leases_cap)
		store->leases = grow(store->leases, &store->leases_cap,
				     sizeof(*store->leases));
	lease = &store->leases[store->leases_len++];
	*lease = (site_lease_t){ ++store->last_lease, ttl,
				 store->loop->now + ttl };
	return lease->id;
}

/**
 * site_store_find_lease() - find a lease
 * @store: store
 * @id: id of the lease
 *
 * Return: the lease, or NULL if there is none.
 */
site_lease_t *site_store_find_lease(site_store_t *store, uint64_t id)
{
	for (size_t i = 0; i < store->leases_len; i++)
		if (store->leases[i].id == id)
			return &store->leases[i];
	return NULL;
}

/**
 * site_store_end_lease() - end a lease and delete its items
 * @store: store
 * @id: id of the lease
 */
void site_store_end_lease(site_store_t *store, uint64_t id)
{
	site_lease_t *lease = site_store_find_lease(store, id);

	if (!lease)
		return;
	*lease = store->leases[--store->leases_len];
	for (size_t i = 0; i < store->items_len; i++)
		if (store->items[i].lease == id)
			site_store_put(store, store->items[i].key, NULL, 0);
}

static void on_lease_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	site_store_t *store = data;

	for (size_t i = store->leases_len; i > 0; i--)
		if (store->leases[i - 1].expires_at <= now)
			site_store_end_lease(store, store->leases[i - 1].id);
	(void)medlar_timer_set(client, timer, now + LEASE_CHECK_MS);
}

/**
 * site_store_init() - initialise an empty store
 * @store: uninitialised memory
 * @loop: event loop that serves it
 *
 * Return: %MEDLAR_OK, or the error of the timer.
 */
int site_store_init(site_store_t *store, loop_t *loop)
{
	*store = (site_store_t){ .loop = loop };
	TAILQ_INIT(&store->watches);
	medlar_timer_init(&store->lease_timer, on_lease_timer, store);
	return medlar_timer_set(loop->client, &store->lease_timer,
				loop->now + LEASE_CHECK_MS);
}

/**
 * site_store_finish() - release all memory
 * @store: store; its listeners are closed
 */
void site_store_finish(site_store_t *store)
{
	medlar_timer_clear(store->loop->client, &store->lease_timer);
	for (size_t i = 0; i < store->items_len; i++)
		free(store->items[i].value);
	site_store_finish_changes(store);
	free(store->items);
	free(store->leases);
}
