/**
 * DOC: a copy of what the store holds
 */
#include <stdlib.h>

#include "router/mirror.h"

#define ENTRIES_MIN 64

/**
 * mirror_init() - start empty
 * @mirror: memory of the caller
 * @on_change: told each entry that is new, changed or gone
 * @data: passed to @on_change
 */
void mirror_init(mirror_t *mirror, store_item_fn_t on_change, void *data)
{
	*mirror = (mirror_t){ .on_change = on_change, .data = data };
}

static void clear_entry(mirror_entry_t *entry)
{
	medlar_buf_finish(&entry->key);
	medlar_buf_finish(&entry->value);
}

/**
 * mirror_finish() - release all entries without telling
 * @mirror: mirror
 */
void mirror_finish(mirror_t *mirror)
{
	for (size_t i = 0; i < mirror->len; i++)
		clear_entry(&mirror->entries[i]);
	for (size_t i = 0; i < MIRROR_TOMBSTONES; i++)
		medlar_buf_finish(&mirror->tombstones[i].key);
	free(mirror->entries);
	*mirror = (mirror_t){ 0 };
}

static mirror_entry_t *find(const mirror_t *mirror, medlar_str_t key)
{
	uint64_t hash = medlar_str_hash(key, 0);

	for (size_t i = 0; i < mirror->len; i++) {
		mirror_entry_t *entry = &mirror->entries[i];

		if (entry->hash == hash &&
		    medlar_str_equal(medlar_buf_str(&entry->key), key))
			return entry;
	}
	return NULL;
}

static mirror_entry_t *add(mirror_t *mirror, medlar_str_t key)
{
	mirror_entry_t *entry;

	if (mirror->len == mirror->cap) {
		size_t cap = mirror->cap ? 2 * mirror->cap : ENTRIES_MIN;
		mirror_entry_t *grown = realloc(mirror->entries,
						cap * sizeof(*grown));

		if (!grown)
			return NULL;
		mirror->entries = grown;
		mirror->cap = cap;
	}
	entry = &mirror->entries[mirror->len++];
	*entry = (mirror_entry_t){ .hash = medlar_str_hash(key, 0) };
	medlar_buf_add(&entry->key, key);
	return entry;
}

static void bury(mirror_t *mirror, medlar_str_t key, uint64_t revision)
{
	mirror_tombstone_t *tombstone =
		&mirror->tombstones[mirror->tombstones_len++ %
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
	mirror_entry_t gone = *entry;
	const store_item_t item = { .key = medlar_buf_str(&gone.key),
				    .revision = revision,
				    .gone = true };

	*entry = mirror->entries[--mirror->len];
	bury(mirror, item.key, revision);
	mirror->on_change(&item, mirror->data);
	clear_entry(&gone);
}

/**
 * mirror_apply() - take over an entry
 * @mirror: mirror
 * @item: entry of a list, a watch or a snapshot
 */
void mirror_apply(mirror_t *mirror, const store_item_t *item)
{
	mirror_entry_t *entry = find(mirror, item->key);

	if (entry && entry->revision >= item->revision) {
		entry->seen = mirror->list;
		return;
	}
	if (item->gone) {
		if (entry)
			remove_entry(mirror, entry, item->revision);
		return;
	}
	if (!entry)
		entry = add(mirror, item->key);
	if (!entry)
		return;
	medlar_buf_reset(&entry->value);
	medlar_buf_add(&entry->value, item->value);
	entry->revision = item->revision;
	entry->seen = mirror->list;
	mirror->on_change(item, mirror->data);
}

/**
 * mirror_list_begin() - a list of all entries is about to be applied
 * @mirror: mirror
 */
void mirror_list_begin(mirror_t *mirror)
{
	mirror->list++;
}

/**
 * mirror_list_end() - all entries of the list were applied
 * @mirror: mirror
 * @revision: of the store when the list was begun; entries that the list
 *	lacks and that are not newer are gone
 */
void mirror_list_end(mirror_t *mirror, uint64_t revision)
{
	for (size_t i = mirror->len; i > 0; i--) {
		mirror_entry_t *entry = &mirror->entries[i - 1];

		if (entry->seen != mirror->list && entry->revision <= revision)
			remove_entry(mirror, entry, revision);
	}
	/* What came and went before the list was never seen. */
	if (revision > mirror->complete_after)
		mirror->complete_after = revision;
	mirror_advance(mirror, revision);
}

/**
 * mirror_changes() - visit what changed after a revision
 * @mirror: mirror
 * @after: revision; with 0, or if too much has ended since, all entries are
 *	visited and no ends
 * @fn: told each entry
 * @data: passed to @fn
 *
 * Return: number of entries visited.
 */
size_t mirror_changes(const mirror_t *mirror, uint64_t after,
		      store_item_fn_t fn, void *data)
{
	size_t count = 0;

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
		count++;
	}
	for (size_t i = 0; after > 0 && i < MIRROR_TOMBSTONES; i++) {
		const mirror_tombstone_t *tombstone = &mirror->tombstones[i];
		const store_item_t item = {
			.key = medlar_buf_str(&tombstone->key),
			.revision = tombstone->revision,
			.gone = true,
		};

		if (tombstone->revision <= after)
			continue;
		fn(&item, data);
		count++;
	}
	return count;
}

/**
 * mirror_advance() - all changes up to a revision were applied
 * @mirror: mirror
 * @revision: of the store
 */
void mirror_advance(mirror_t *mirror, uint64_t revision)
{
	if (revision > mirror->revision)
		mirror->revision = revision;
}
