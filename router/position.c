/**
 * DOC: positions in the history of the store
 */
#include "router/position.h"

static int compare_numbers(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

/**
 * position_compare() - compare two positions
 * @a: first position
 * @b: second position
 *
 * Return: below 0 if @a comes first, 0 if they are the same, above 0 otherwise.
 */
int position_compare(store_position_t a, store_position_t b)
{
	int order = compare_numbers(a.epoch, b.epoch);

	return order ? order : compare_numbers(a.revision, b.revision);
}
