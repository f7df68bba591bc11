/**
 * DOC: hash index from 64-bit keys to values
 *
 * Names are found by their 64-bit hash, and two with the same hash are taken for
 * one: among 100,000 names that happens with a probability of 3 in 10^10.
 */
#ifndef LIBROUTE_HASH_INDEX_H
#define LIBROUTE_HASH_INDEX_H

#include <ck_ht.h>

#include "libmedlar/medlar.h"

/**
 * struct hash_index - index; empty if all of it is zero
 * @table: the hash table, if @is_open
 * @is_open: memory is allocated
 */
typedef struct hash_index {
	ck_ht_t table;
	bool is_open;
} hash_index_t;

int hash_index_put(hash_index_t *index, uint64_t key, uintptr_t value);
uintptr_t hash_index_find(hash_index_t *index, uint64_t key);
void hash_index_remove(hash_index_t *index, uint64_t key);
void hash_index_finish(hash_index_t *index);

#endif /* LIBROUTE_HASH_INDEX_H */
