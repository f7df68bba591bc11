/**
 * DOC: sorted sets of key ranges
 *
 * Used to report coverage. Ranges that overlap or touch are joined, so equal
 * sets of keys have equal representations.
 */
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define RANGES_CAP_MIN 8
#define KEY_HASH_SHIFT 32

/**
 * medlar_ranges_init() - initialise an empty set
 * @set: set in memory of the caller
 */
void medlar_ranges_init(medlar_ranges_t *set)
{
	*set = (medlar_ranges_t){ 0 };
}

/**
 * medlar_ranges_finish() - release a set
 * @set: an initialised set; it is empty afterwards
 */
void medlar_ranges_finish(medlar_ranges_t *set)
{
	free(set->items);
	medlar_ranges_init(set);
}

static int reserve_ranges(medlar_ranges_t *set, size_t len)
{
	size_t cap = set->cap ? set->cap : RANGES_CAP_MIN;
	medlar_range_t *items;

	if (len <= set->cap)
		return MEDLAR_OK;
	while (cap < len)
		cap *= 2;
	items = realloc(set->items, cap * sizeof(*items));
	if (!items)
		return MEDLAR_ERR_NOMEM;
	set->items = items;
	set->cap = cap;
	return MEDLAR_OK;
}

/* Index of the first range that ends at or after @key. */
static size_t find_range(const medlar_ranges_t *set, uint64_t key)
{
	size_t lo = 0;
	size_t hi = set->len;

	/* Ranges are mostly added in order: check the last one first. */
	if (hi > 0 && set->items[hi - 1].hi < key)
		return hi;
	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (set->items[mid].hi < key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/**
 * medlar_ranges_add() - add the keys of a range
 * @set: an initialised set
 * @range: keys to add; an empty range adds nothing
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE when @range ends outside the key
 * space, or %MEDLAR_ERR_NOMEM.
 */
int medlar_ranges_add(medlar_ranges_t *set, medlar_range_t range)
{
	size_t first = find_range(set, range.lo);
	size_t last = first;
	int error;

	if (range.hi > MEDLAR_KEY_END)
		return MEDLAR_ERR_RANGE;
	if (range.lo >= range.hi)
		return MEDLAR_OK;
	while (last < set->len && set->items[last].lo <= range.hi) {
		if (set->items[last].lo < range.lo)
			range.lo = set->items[last].lo;
		if (set->items[last].hi > range.hi)
			range.hi = set->items[last].hi;
		last++;
	}
	error = reserve_ranges(set, set->len + 1);
	if (error)
		return error;
	memmove(&set->items[first + 1], &set->items[last],
		(set->len - last) * sizeof(*set->items));
	set->items[first] = range;
	set->len = set->len - (last - first) + 1;
	return MEDLAR_OK;
}

/**
 * medlar_ranges_overlap() - whether a set and a range share a key
 * @set: an initialised set
 * @range: keys to look for
 *
 * Return: true when at least one key is in both.
 */
bool medlar_ranges_overlap(const medlar_ranges_t *set, medlar_range_t range)
{
	size_t at;

	if (range.lo >= range.hi)
		return false;
	at = find_range(set, range.lo + 1);
	return at < set->len && set->items[at].lo < range.hi;
}

/**
 * medlar_ranges_subtract() - difference of two sets
 * @out: an initialised set other than @from and @what; its content is replaced
 * @from: keys to keep
 * @what: keys to remove
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_ranges_subtract(medlar_ranges_t *out, const medlar_ranges_t *from,
			   const medlar_ranges_t *what)
{
	size_t at = 0;
	size_t i;
	int error;

	out->len = 0;
	error = reserve_ranges(out, from->len + what->len);
	if (error)
		return error;
	for (i = 0; i < from->len; i++) {
		medlar_range_t left = from->items[i];

		while (at < what->len && what->items[at].hi <= left.lo)
			at++;
		for (; at < what->len && what->items[at].lo < left.hi; at++) {
			medlar_range_t cut = what->items[at];

			if (cut.lo > left.lo)
				out->items[out->len++] = (medlar_range_t){
					left.lo, cut.lo
				};
			left.lo = cut.hi;
			if (cut.hi >= left.hi)
				break;
		}
		if (left.lo < left.hi)
			out->items[out->len++] = left;
	}
	return MEDLAR_OK;
}

/**
 * medlar_ranges_width() - number of keys in a set
 * @set: an initialised set
 *
 * Return: 0 to %MEDLAR_KEY_END.
 */
uint64_t medlar_ranges_width(const medlar_ranges_t *set)
{
	uint64_t width = 0;
	size_t i;

	for (i = 0; i < set->len; i++)
		width += set->items[i].hi - set->items[i].lo;
	return width;
}

/**
 * medlar_key_hash() - position of a catalogue key in the key space
 * @key: key as sent by the caller
 *
 * Return: 0 to %MEDLAR_KEY_END - 1; the same on every machine.
 */
uint64_t medlar_key_hash(medlar_str_t key)
{
	return medlar_str_hash(key, 0) >> KEY_HASH_SHIFT;
}
