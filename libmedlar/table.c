/**
 * DOC: hash table of items with a 64-bit id
 *
 * Open addressing with linear probing; at most half of the slots are in use.
 * The id is the first member of an item and is used as its hash, since ids are
 * hashes already.
 */
#include <stdlib.h>

#include "internal.h"

#define TABLE_CAP_MIN 16

/* Slot of the item with an id, or the free slot where its search ends. */
static size_t find_slot(const medlar_table_t *table, uint64_t id)
{
	size_t at = id & (table->cap - 1);

	while (table->slots[at] && *table->slots[at] != id)
		at = (at + 1) & (table->cap - 1);
	return at;
}

static int grow_table(medlar_table_t *table)
{
	medlar_table_t bigger = { .len = table->len };
	size_t i;

	bigger.cap = table->cap ? 2 * table->cap : TABLE_CAP_MIN;
	bigger.slots = calloc(bigger.cap, sizeof(uint64_t *));
	if (!bigger.slots)
		return MEDLAR_ERR_NOMEM;
	for (i = 0; i < table->cap; i++) {
		uint64_t *item = table->slots[i];

		if (item)
			bigger.slots[find_slot(&bigger, *item)] = item;
	}
	free(table->slots);
	*table = bigger;
	return MEDLAR_OK;
}

/**
 * medlar_table_finish() - free the slots of a table, but not its items
 * @table: a table; empty and usable afterwards
 */
void medlar_table_finish(medlar_table_t *table)
{
	free(table->slots);
	*table = (medlar_table_t){ 0 };
}

/**
 * medlar_table_insert() - add an item whose id is not in the table
 * @table: table
 * @item: pointer to the id, the first member of the item; not copied
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_table_insert(medlar_table_t *table, uint64_t *item)
{
	if (2 * table->len >= table->cap && grow_table(table))
		return MEDLAR_ERR_NOMEM;
	table->slots[find_slot(table, *item)] = item;
	table->len++;
	return MEDLAR_OK;
}

/**
 * medlar_table_remove() - remove an item from the table without freeing it
 * @table: table
 * @id: id of the item; an unknown id is ignored
 */
void medlar_table_remove(medlar_table_t *table, uint64_t id)
{
	size_t at;

	if (!medlar_table_find(table, id))
		return;
	at = find_slot(table, id);
	table->slots[at] = NULL;
	table->len--;
	for (at = (at + 1) & (table->cap - 1); table->slots[at];
	     at = (at + 1) & (table->cap - 1)) {
		uint64_t *moved = table->slots[at];

		table->slots[at] = NULL;
		table->slots[find_slot(table, *moved)] = moved;
	}
}

/**
 * medlar_table_find() - look up an item
 * @table: table
 * @id: id of the item
 *
 * Return: the item, or NULL if there is none.
 */
void *medlar_table_find(const medlar_table_t *table, uint64_t id)
{
	if (table->cap == 0)
		return NULL;
	return table->slots[find_slot(table, id)];
}
