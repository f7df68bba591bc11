/**
 * DOC: a copy of what the store holds
 *
 * Fed by lists and watches of the store and by snapshots of other instances.
 * An entry never goes back to an older revision.
 */
#ifndef ROUTER_MIRROR_H
#define ROUTER_MIRROR_H

#include "router/store_calls.h"

/**
 * struct mirror_entry - an entry of the store
 * @key: its key
 * @value: its value
 * @revision: of its last change
 * @hash: of @key
 * @seen: number of the last list that held it
 */
typedef struct mirror_entry {
	medlar_buf_t key;
	medlar_buf_t value;
	uint64_t revision;
	uint64_t hash;
	uint64_t seen;
} mirror_entry_t;

#define MIRROR_TOMBSTONES 512

/**
 * struct mirror_tombstone - an entry that has ended
 * @key: its key
 * @revision: of its end
 */
typedef struct mirror_tombstone {
	medlar_buf_t key;
	uint64_t revision;
} mirror_tombstone_t;

/**
 * struct mirror - all entries
 * @entries: in no order
 * @len: how many
 * @cap: room
 * @revision: of the store that all entries are known up to
 * @list: number of the list being read
 * @tombstones: entries that have ended, the latest ones, as a ring
 * @tombstones_len: how many were ever added
 * @complete_after: changes after this revision are all known
 * @on_change: told each entry that is new, changed or gone
 * @data: passed to @on_change
 */
typedef struct mirror {
	mirror_entry_t *entries;
	size_t len;
	size_t cap;
	uint64_t revision;
	uint64_t list;
	mirror_tombstone_t tombstones[MIRROR_TOMBSTONES];
	size_t tombstones_len;
	uint64_t complete_after;
	store_item_fn_t on_change;
	void *data;
} mirror_t;

void mirror_init(mirror_t *mirror, store_item_fn_t on_change, void *data);
void mirror_finish(mirror_t *mirror);
void mirror_list_begin(mirror_t *mirror);
void mirror_apply(mirror_t *mirror, const store_item_t *item);
void mirror_list_end(mirror_t *mirror, uint64_t revision);
size_t mirror_changes(const mirror_t *mirror, uint64_t after,
		      store_item_fn_t fn, void *data);
void mirror_advance(mirror_t *mirror, uint64_t revision);

#endif /* ROUTER_MIRROR_H */
