/**
 * DOC: items by their 64-bit id
 *
 * A hash table with linear probing, at most half full. Ids are hashes already,
 * and are the first member of the items.
 */
#include <stdlib.h>

#include "internal.h"

#define TABLE_CAP_MIN 16

/* Position of an id, or of the free place that ends its search. */
static size_t locate(const medlar_table_t *table, uint64_t id)
{
	size_t at = id & (table->cap - 1);

	while (table->slots[at] && *table->slots[at] != id)
		at = (at + 1) & (table->cap - 1);
	return at;
}

static int grow(medlar_table_t *table)
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
			bigger.slots[locate(&bigger, *item)] = item;
	}
	free(table->slots);
	*table = bigger;
	return MEDLAR_OK;
}

/**
 * medlar_table_finish() - release a table, not its items
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
 * @item: first member of the item: its id
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_table_insert(medlar_table_t *table, uint64_t *item)
{
	if (2 * table->len >= table->cap && grow(table))
		return MEDLAR_ERR_NOMEM;
	table->slots[locate(table, *item)] = item;
	table->len++;
	return MEDLAR_OK;
}

/**
 * medlar_table_remove() - take an item out
 * @table: table
 * @id: its id; unknown ones are ignored
 */
void medlar_table_remove(medlar_table_t *table, uint64_t id)
{
	size_t at;

	if (!medlar_table_find(table, id))
		return;
	at = locate(table, id);
	table->slots[at] = NULL;
	table->len--;
	for (at = (at + 1) & (table->cap - 1); table->slots[at];
	     at = (at + 1) & (table->cap - 1)) {
		uint64_t *moved = table->slots[at];

		table->slots[at] = NULL;
		table->slots[locate(table, *moved)] = moved;
	}
}

/**
 * medlar_table_find() - look up an item
 * @table: table
 * @id: its id
 *
 * Return: the item, or NULL.
 */
void *medlar_table_find(const medlar_table_t *table, uint64_t id)
{
	if (table->cap == 0)
		return NULL;
	return table->slots[locate(table, id)];
}
