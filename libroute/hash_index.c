/**
 * DOC: hash index from 64-bit keys to values
 */
#include <stdlib.h>

#include "libroute/hash_index.h"

#define ENTRIES_INITIAL 64

static void *table_malloc(size_t size)
{
	return malloc(size);
}

static void table_free(void *memory, size_t size, bool defer)
{
	(void)size;
	(void)defer;
	free(memory);
}

static struct ck_malloc allocator = { .malloc = table_malloc,
				      .free = table_free };

/* The table reserves two keys for empty and deleted entries. */
static uintptr_t usable_key(uint64_t key)
{
	return key == CK_HT_KEY_EMPTY || key == CK_HT_KEY_TOMBSTONE ? 1 : key;
}

/**
 * hash_index_put() - add or replace a value
 * @index: index
 * @key: key
 * @value: value, not 0
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int hash_index_put(hash_index_t *index, uint64_t key, uintptr_t value)
{
	uintptr_t used_key = usable_key(key);
	ck_ht_entry_t entry;
	ck_ht_hash_t hash;

	if (!index->is_open)
		index->is_open = ck_ht_init(
			&index->table,
			CK_HT_MODE_DIRECT | CK_HT_WORKLOAD_DELETE, NULL,
			&allocator, ENTRIES_INITIAL, 0);
	if (!index->is_open)
		return MEDLAR_ERR_NOMEM;
	ck_ht_hash_direct(&hash, &index->table, used_key);
	ck_ht_entry_set_direct(&entry, hash, used_key, value);
	return ck_ht_set_spmc(&index->table, hash, &entry) ? MEDLAR_OK
							   : MEDLAR_ERR_NOMEM;
}

/**
 * hash_index_find() - look up a value
 * @index: index
 * @key: key
 *
 * Return: the value, or 0 if there is none.
 */
uintptr_t hash_index_find(hash_index_t *index, uint64_t key)
{
	uintptr_t used_key = usable_key(key);
	ck_ht_entry_t entry;
	ck_ht_hash_t hash;

	if (!index->is_open)
		return 0;
	ck_ht_hash_direct(&hash, &index->table, used_key);
	ck_ht_entry_key_set_direct(&entry, used_key);
	return ck_ht_get_spmc(&index->table, hash, &entry)
		       ? ck_ht_entry_value_direct(&entry)
		       : 0;
}

/**
 * hash_index_remove() - remove a value, if there is one
 * @index: index
 * @key: key
 */
void hash_index_remove(hash_index_t *index, uint64_t key)
{
	uintptr_t used_key = usable_key(key);
	ck_ht_entry_t entry;
	ck_ht_hash_t hash;

	if (!index->is_open)
		return;
	ck_ht_hash_direct(&hash, &index->table, used_key);
	ck_ht_entry_key_set_direct(&entry, used_key);
	(void)ck_ht_remove_spmc(&index->table, hash, &entry);
}

/**
 * hash_index_finish() - release all memory
 * @index: index; empty afterwards
 */
void hash_index_finish(hash_index_t *index)
{
	if (index->is_open)
		ck_ht_destroy(&index->table);
	*index = (hash_index_t){ 0 };
}
