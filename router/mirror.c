/**
 * DOC: local copy of the store
 */
#include <stdlib.h>

#include "router/mirror.h"

#define ENTRIES_INITIAL 64

/**
 * mirror_init() - initialise an empty mirror
 * @mirror: uninitialised memory
 * @events: callbacks
 * @data: passed to @events
 */
void mirror_init(mirror_t *mirror, const mirror_events_t *events, void *data)
{
	*mirror = (mirror_t){ .events = events, .data = data };
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
	for (size_t i = 0; i < MIRROR_TOMBSTONES; i++) {
		medlar_buf_finish(&mirror->tombstones[i].key);
		medlar_buf_finish(&mirror->tombstones[i].value);
	}
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

static void add_tombstone(mirror_t *mirror, medlar_str_t key,
			  medlar_str_t value, store_position_t position)
{
	mirror_tombstone_t *tombstone =
		&mirror->tombstones[mirror->tombstones_added++ %
				    MIRROR_TOMBSTONES];

	if (tombstone->position.epoch == mirror->position.epoch &&
	    tombstone->position.revision > mirror->complete_after)
		mirror->complete_after = tombstone->position.revision;
	medlar_buf_reset(&tombstone->key);
	medlar_buf_add(&tombstone->key, key);
	medlar_buf_reset(&tombstone->value);
	medlar_buf_add(&tombstone->value, value);
	tombstone->position = position;
}

static const mirror_tombstone_t *find_tombstone(const mirror_t *mirror,
						medlar_str_t key)
{
	for (size_t i = 0; i < MIRROR_TOMBSTONES; i++)
		if (medlar_str_equal(medlar_buf_str(&mirror->tombstones[i].key),
				     key))
			return &mirror->tombstones[i];
	return NULL;
}

static void set_state(mirror_t *mirror, mirror_entry_t *entry,
		      mirror_state_t state)
{
	mirror->beyond_store -= entry->state != MIRROR_LISTED;
	mirror->beyond_store += state != MIRROR_LISTED;
	entry->state = state;
}

static void report_change(const mirror_t *mirror, const mirror_entry_t *entry,
			  bool deleted)
{
	store_item_t item = {
		.key = medlar_buf_str(&entry->key),
		.position = entry->position,
		.deleted = deleted,
	};

	if (!deleted)
		item.value = medlar_buf_str(&entry->value);
	mirror->events->change(&item, mirror->data);
}

static void remove_entry(mirror_t *mirror, mirror_entry_t *entry,
			 store_position_t position)
{
	mirror_entry_t removed = *entry;

	set_state(mirror, entry, MIRROR_LISTED);
	hash_index_remove(&mirror->by_key, removed.hash);
	*entry = mirror->entries[--mirror->len];
	/* The key of the moved entry is known, so this needs no memory. */
	if (entry != &mirror->entries[mirror->len])
		(void)hash_index_put(&mirror->by_key, entry->hash,
				     (uintptr_t)(entry - mirror->entries) + 1);
	removed.position = position;
	add_tombstone(mirror, medlar_buf_str(&removed.key),
		      medlar_buf_str(&removed.value), position);
	if (removed.state != MIRROR_WITHDRAWN)
		report_change(mirror, &removed, true);
	release_entry(&removed);
}

static void set_value(mirror_entry_t *entry, medlar_str_t value)
{
	medlar_buf_reset(&entry->value);
	medlar_buf_add(&entry->value, value);
}

static bool is_newer(const mirror_t *mirror, medlar_str_t key,
		     medlar_str_t known, medlar_str_t offered)
{
	return !mirror->events->is_newer ||
	       mirror->events->is_newer(key, known, offered);
}

/* Marks an entry as deleted that the store lists as it was before. */
static void withdraw(mirror_t *mirror, mirror_entry_t *entry)
{
	bool was_visible = entry->state != MIRROR_WITHDRAWN;

	set_state(mirror, entry, MIRROR_WITHDRAWN);
	if (was_visible)
		report_change(mirror, entry, true);
}

/*
 * The store lists both at the same position, so one of them was kept by an instance
 * that knows more than the store.
 */
static void merge_entry(mirror_t *mirror, mirror_entry_t *entry,
			const store_item_t *item)
{
	medlar_str_t known = medlar_buf_str(&entry->value);

	if (item->withdrawn) {
		if (!is_newer(mirror, item->key, item->value, known)) {
			set_value(entry, item->value);
			withdraw(mirror, entry);
		}
		return;
	}
	if (medlar_str_equal(known, item->value) ||
	    !is_newer(mirror, item->key, known, item->value))
		return;
	set_value(entry, item->value);
	set_state(mirror, entry, MIRROR_KEPT);
	report_change(mirror, entry, false);
}

/* The store came back from a copy that holds nothing newer of this entry. */
static void keep_entry(mirror_t *mirror, mirror_entry_t *entry,
		       const store_item_t *item)
{
	bool same = medlar_str_equal(medlar_buf_str(&entry->value),
				     item->value);

	entry->position = item->position;
	if (entry->state != MIRROR_WITHDRAWN)
		set_state(mirror, entry, same ? MIRROR_LISTED : MIRROR_KEPT);
}

static void replace_entry(mirror_t *mirror, mirror_entry_t *entry,
			  const store_item_t *item)
{
	entry->position = item->position;
	set_value(entry, item->value);
	if (item->withdrawn) {
		withdraw(mirror, entry);
		return;
	}
	set_state(mirror, entry, MIRROR_LISTED);
	report_change(mirror, entry, false);
}

static void apply_to_entry(mirror_t *mirror, mirror_entry_t *entry,
			   const store_item_t *item)
{
	int order = position_compare(item->position, entry->position);
	bool epoch_rose = item->position.epoch > entry->position.epoch;

	entry->list_number = mirror->list_number;
	if (order < 0)
		return;
	if (order == 0)
		merge_entry(mirror, entry, item);
	else if (item->deleted && !item->withdrawn)
		remove_entry(mirror, entry, item->position);
	else if (epoch_rose &&
		 !is_newer(mirror, item->key, medlar_buf_str(&entry->value),
			   item->value))
		keep_entry(mirror, entry, item);
	else
		replace_entry(mirror, entry, item);
}

/* Whether the store lists an entry again that was deleted in an older epoch. */
static bool is_old_copy(const mirror_t *mirror, const store_item_t *item)
{
	const mirror_tombstone_t *tombstone;

	if (item->withdrawn || item->position.epoch == mirror->position.epoch)
		return item->withdrawn;
	tombstone = find_tombstone(mirror, item->key);
	return tombstone && tombstone->position.epoch < item->position.epoch &&
	       !is_newer(mirror, item->key, medlar_buf_str(&tombstone->value),
			 item->value);
}

static void apply_unknown(mirror_t *mirror, const store_item_t *item,
			  uint64_t hash)
{
	mirror_entry_t *entry;

	/* The mirror would hold it, had it not been deleted since. */
	if (position_compare(item->position, mirror->position) <= 0 &&
	    !item->withdrawn)
		return;
	if (item->deleted && !item->withdrawn) {
		add_tombstone(mirror, item->key, (medlar_str_t){ 0 },
			      item->position);
		return;
	}
	entry = add_entry(mirror, item->key, hash);
	if (!entry)
		return;
	entry->position = item->position;
	entry->list_number = mirror->list_number;
	set_value(entry, item->value);
	if (is_old_copy(mirror, item))
		set_state(mirror, entry, MIRROR_WITHDRAWN);
	else
		report_change(mirror, entry, false);
}

/**
 * mirror_apply() - apply an entry or a deletion
 * @mirror: mirror
 * @item: item of a list, of a watch, or of the changes of a peer; ignored if
 *	the mirror holds the same or a newer position of the entry, or knows that
 *	it was deleted since, or if memory is short
 */
void mirror_apply(mirror_t *mirror, const store_item_t *item)
{
	uint64_t hash = medlar_str_hash(item->key, 0);
	mirror_entry_t *entry = find_entry(mirror, hash);

	if (entry)
		apply_to_entry(mirror, entry, item);
	else
		apply_unknown(mirror, item, hash);
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
 * @position: position of the store at the begin of the list; newer entries are kept
 */
void mirror_list_end(mirror_t *mirror, store_position_t position)
{
	bool epoch_rose = position.epoch > mirror->position.epoch;

	for (size_t i = mirror->len; i > 0; i--) {
		mirror_entry_t *entry = &mirror->entries[i - 1];

		if (entry->list_number != mirror->list_number &&
		    position_compare(entry->position, position) <= 0)
			remove_entry(mirror, entry, position);
	}
	/* Entries deleted before the list was begun have no tombstone. */
	if (epoch_rose || position.revision > mirror->complete_after)
		mirror->complete_after = position.revision;
	if (position_compare(position, mirror->position) > 0)
		mirror->position = position;
}

/**
 * mirror_visit_changes() - visit the changes after a revision
 * @mirror: mirror
 * @after: revision of the mirror's epoch; 0 visits all entries and no deletions. Other
 *	values must not be below &struct mirror.complete_after, since older deletions
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
		bool withdrawn = entry->state == MIRROR_WITHDRAWN;
		const store_item_t item = {
			.key = medlar_buf_str(&entry->key),
			.value = medlar_buf_str(&entry->value),
			.position = entry->position,
			.deleted = withdrawn,
			.withdrawn = withdrawn,
		};

		if (entry->position.revision <= after)
			continue;
		fn(&item, data);
		visited++;
	}
	for (size_t i = 0; after > 0 && i < MIRROR_TOMBSTONES; i++) {
		const mirror_tombstone_t *tombstone = &mirror->tombstones[i];
		const store_item_t item = {
			.key = medlar_buf_str(&tombstone->key),
			.position = tombstone->position,
			.deleted = true,
		};

		if (tombstone->position.epoch != mirror->position.epoch ||
		    tombstone->position.revision <= after)
			continue;
		fn(&item, data);
		visited++;
	}
	return visited;
}

/**
 * mirror_advance() - record that all changes up to a revision were applied
 * @mirror: mirror
 * @revision: revision of the mirror's epoch; ignored if the mirror is further already
 */
void mirror_advance(mirror_t *mirror, uint64_t revision)
{
	if (revision > mirror->position.revision)
		mirror->position.revision = revision;
}

/**
 * mirror_beyond_store() - get a digest of what is known beyond the store
 * @mirror: mirror
 *
 * Return: digest of the entries that the store does not list as they are, the same for
 * the same entries; 0 if there are none.
 */
uint64_t mirror_beyond_store(const mirror_t *mirror)
{
	uint64_t digest = 0;

	if (mirror->beyond_store == 0)
		return 0;
	for (size_t i = 0; i < mirror->len; i++) {
		const mirror_entry_t *entry = &mirror->entries[i];

		if (entry->state != MIRROR_LISTED)
			digest ^= medlar_str_hash(
				medlar_buf_str(&entry->value),
				entry->hash + (uint64_t)entry->state);
	}
	return digest ? digest : 1;
}
