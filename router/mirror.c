/**
 * DOC: local copy of the store
 */
#include <stdlib.h>

#include "router/mirror.h"

#define ENTRIES_INITIAL 64

/**
 * mirror_init() - initialise an empty mirror
 * @mirror: uninitialised memory
 * @on_change: called for each entry that is added, changed or deleted
 * @data: passed to @on_change
 */
void mirror_init(mirror_t *mirror, store_item_fn_t on_change, void *data)
{
	*mirror = (mirror_t){ .on_change = on_change, .data = data };
}

static void release_entry(mirror_entry_t *entry)
{
	medlar_buf_finish(&entry->key);
	medlar_buf_finish(&entry->value);
}

/**
 * mirror_finish() - release all memory without calling back
 * @mirror: an initialised mirror
 */
void mirror_finish(mirror_t *mirror)
{
	for (size_t i = 0; i < mirror->len; i++)
		release_entry(&mirror->entries[i]);
	for (size_t i = 0; i < MIRROR_TOMBSTONES; i++)
		medlar_buf_finish(&mirror->tombstones[i].key);
	free(mirror->entries);
	hash_index_finish(&mirror->by_key);
	*mirror = (mirror_t){ 0 };
}

static mirror_entry_t *find_entry(mirror_t *mirror, uint64_t hash)
{
	uintptr_t position = hash_index_find(&mirror->by_key, hash);

	return position ? &mirror->entries[position - 1] : NULL;
}

static int reserve_entry(mirror_t *mirror)
{
	size_t cap = mirror->cap ? 2 * mirror->cap : ENTRIES_INITIAL;
	mirror_entry_t *grown;

	if (mirror->len < mirror->cap)
		return MEDLAR_OK;
	grown = realloc(mirror->entries, cap * sizeof(*grown));
	if (!grown)
		return MEDLAR_ERR_NOMEM;
	mirror->entries = grown;
	mirror->cap = cap;
	return MEDLAR_OK;
}

static mirror_entry_t *add_entry(mirror_t *mirror, medlar_str_t key,
				 uint64_t hash)
{
	mirror_entry_t *entry;

	if (reserve_entry(mirror) ||
	    hash_index_put(&mirror->by_key, hash, mirror->len + 1))
		return NULL;
	entry = &mirror->entries[mirror->len++];
	*entry = (mirror_entry_t){ .hash = hash };
	medlar_buf_add(&entry->key, key);
	return entry;
}

static void add_tombstone(mirror_t *mirror, medlar_str_t key, uint64_t revision)
{
	mirror_tombstone_t *tombstone =
		&mirror->tombstones[mirror->tombstones_added++ %
				    MIRROR_TOMBSTONES];

	if (tombstone->revision > mirror->complete_after)
		mirror->complete_after = tombstone->revision;
	medlar_buf_reset(&tombstone->key);
	medlar_buf_add(&tombstone->key, key);
	tombstone->revision = revision;
}

static void remove_entry(mirror_t *mirror, mirror_entry_t *entry,
			 uint64_t revision)
{
	mirror_entry_t removed = *entry;
	const store_item_t item = { .key = medlar_buf_str(&removed.key),
				    .revision = revision,
				    .deleted = true };

	hash_index_remove(&mirror->by_key, removed.hash);
	*entry = mirror->entries[--mirror->len];
	/* The key of the moved entry is known, so this needs no memory. */
	if (entry != &mirror->entries[mirror->len])
		(void)hash_index_put(&mirror->by_key, entry->hash,
				     (uintptr_t)(entry - mirror->entries) + 1);
	add_tombstone(mirror, item.key, revision);
	mirror->on_change(&item, mirror->data);
	release_entry(&removed);
}

/**
 * mirror_apply() - apply an entry or a deletion
 * @mirror: mirror
 * @item: item of a list, of a watch, or of the changes of a peer; ignored if
 *	the mirror holds the same or a newer revision of the entry, or knows that
 *	it was deleted since, or if memory is short
 */
void mirror_apply(mirror_t *mirror, const store_item_t *item)
{
	uint64_t hash = medlar_str_hash(item->key, 0);
	mirror_entry_t *entry = find_entry(mirror, hash);

	if (entry && entry->revision >= item->revision) {
		entry->list_number = mirror->list_number;
		return;
	}
	/* The mirror would hold it, had it not been deleted since. */
	if (!entry && item->revision <= mirror->revision)
		return;
	if (item->deleted) {
		if (entry)
			remove_entry(mirror, entry, item->revision);
		else
			add_tombstone(mirror, item->key, item->revision);
		return;
	}
	if (!entry)
		entry = add_entry(mirror, item->key, hash);
	if (!entry)
		return;
	medlar_buf_reset(&entry->value);
	medlar_buf_add(&entry->value, item->value);
	entry->revision = item->revision;
	entry->list_number = mirror->list_number;
	mirror->on_change(item, mirror->data);
}

/**
 * mirror_list_begin() - start to apply a list of all entries
 * @mirror: mirror
 */
void mirror_list_begin(mirror_t *mirror)
{
	mirror->list_number++;
}

/**
 * mirror_list_end() - delete the entries that were not in the list
 * @mirror: mirror
 * @revision: store revision at the begin of the list; newer entries are kept
 */
void mirror_list_end(mirror_t *mirror, uint64_t revision)
{
	for (size_t i = mirror->len; i > 0; i--) {
		mirror_entry_t *entry = &mirror->entries[i - 1];

		if (entry->list_number != mirror->list_number &&
		    entry->revision <= revision)
			remove_entry(mirror, entry, revision);
	}
	/* Entries deleted before the list was begun have no tombstone. */
	if (revision > mirror->complete_after)
		mirror->complete_after = revision;
	mirror_advance(mirror, revision);
}

/**
 * mirror_visit_changes() - visit the changes after a revision
 * @mirror: mirror
 * @after: store revision; 0 visits all entries and no deletions. Other values
 *	must not be below &struct mirror.complete_after, since older deletions
 *	are no longer known.
 * @fn: called for each entry and each deletion
 * @data: passed to @fn
 *
 * Return: number of entries and deletions visited.
 */
size_t mirror_visit_changes(const mirror_t *mirror, uint64_t after,
			    store_item_fn_t fn, void *data)
{
	size_t visited = 0;

	for (size_t i = 0; i < mirror->len; i++) {
		const mirror_entry_t *entry = &mirror->entries[i];
		const store_item_t item = {
			.key = medlar_buf_str(&entry->key),
			.value = medlar_buf_str(&entry->value),
			.revision = entry->revision,
		};

		if (entry->revision <= after)
			continue;
		fn(&item, data);
		visited++;
	}
	for (size_t i = 0; after > 0 && i < MIRROR_TOMBSTONES; i++) {
		const mirror_tombstone_t *tombstone = &mirror->tombstones[i];
		const store_item_t item = {
			.key = medlar_buf_str(&tombstone->key),
			.revision = tombstone->revision,
			.deleted = true,
		};

		if (tombstone->revision <= after)
			continue;
		fn(&item, data);
		visited++;
	}
	return visited;
}

/**
 * mirror_advance() - record that all changes up to a revision were applied
 * @mirror: mirror
 * @revision: store revision; ignored if the mirror is further already
 */
void mirror_advance(mirror_t *mirror, uint64_t revision)
{
	if (revision > mirror->revision)
		mirror->revision = revision;
}
