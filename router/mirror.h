/**
 * DOC: local copy of the store
 *
 * Updated from lists and watches of the store and from changes that other
 * instances serve. An entry is never replaced by one of an older position. When the
 * store comes back from an older copy, what it lists in the new epoch replaces an entry
 * only if it is newer by its content; see docs/design/store-epochs.md.
 */
#ifndef ROUTER_MIRROR_H
#define ROUTER_MIRROR_H

#include "libroute/hash_index.h"
#include "router/store_calls.h"

/**
 * enum mirror_state - how an entry relates to what the store lists
 * @MIRROR_LISTED: the store lists it
 * @MIRROR_KEPT: the store lists an older version of it
 * @MIRROR_WITHDRAWN: it was deleted, and the store lists a version of before
 */
typedef enum mirror_state {
	MIRROR_LISTED,
	MIRROR_KEPT,
	MIRROR_WITHDRAWN,
} mirror_state_t;

/**
 * struct mirror_entry - an entry of the store
 * @key: key
 * @value: value; the last one if it was withdrawn
 * @position: position of the last change of what the store lists
 * @state: how it relates to that
 * @hash: hash of @key
 * @list_number: number of the last list that contained the entry
 */
typedef struct mirror_entry {
	medlar_buf_t key;
	medlar_buf_t value;
	store_position_t position;
	mirror_state_t state;
	uint64_t hash;
	uint64_t list_number;
} mirror_entry_t;

/** Deletions that are kept to be served to other instances. */
#define MIRROR_TOMBSTONES 512

/**
 * struct mirror_tombstone - a deleted entry
 * @key: key
 * @value: last value; empty if it was not known
 * @position: position of the deletion
 */
typedef struct mirror_tombstone {
	medlar_buf_t key;
	medlar_buf_t value;
	store_position_t position;
} mirror_tombstone_t;

/**
 * struct mirror_events - callbacks of a mirror
 * @change: called for each entry that is added, changed or deleted
 * @is_newer: checks whether the offered value of an entry is newer than the known one,
 *	by what the values say; NULL takes all for newer
 */
typedef struct mirror_events {
	store_item_fn_t change;
	bool (*is_newer)(medlar_str_t key, medlar_str_t known,
			 medlar_str_t offered);
} mirror_events_t;

/**
 * struct mirror - local copy of the store
 * @entries: entries, in no particular order
 * @len: number of entries
 * @cap: allocated capacity of @entries
 * @by_key: positions in @entries, plus 1, by the hash of the key
 * @position: position up to which the mirror is complete
 * @list_number: number of the last list of all entries that was begun
 * @tombstones: ring buffer of the latest deletions
 * @tombstones_added: number of deletions ever added to @tombstones
 * @complete_after: the mirror holds every change after this revision of its epoch,
 *	deletions included
 * @beyond_store: number of entries that the store does not list as they are
 * @events: callbacks
 * @data: passed to @events
 */
typedef struct mirror {
	mirror_entry_t *entries;
	size_t len;
	size_t cap;
	hash_index_t by_key;
	store_position_t position;
	uint64_t list_number;
	mirror_tombstone_t tombstones[MIRROR_TOMBSTONES];
	size_t tombstones_added;
	uint64_t complete_after;
	size_t beyond_store;
	const mirror_events_t *events;
	void *data;
} mirror_t;

void mirror_init(mirror_t *mirror, const mirror_events_t *events, void *data);
void mirror_finish(mirror_t *mirror);
void mirror_list_begin(mirror_t *mirror);
void mirror_apply(mirror_t *mirror, const store_item_t *item);
void mirror_list_end(mirror_t *mirror, store_position_t position);
size_t mirror_visit_changes(const mirror_t *mirror, uint64_t after,
			    store_item_fn_t fn, void *data);
uint64_t mirror_beyond_store(const mirror_t *mirror);
void mirror_advance(mirror_t *mirror, uint64_t revision);

#endif /* ROUTER_MIRROR_H */
