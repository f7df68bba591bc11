/* Sets of ranges compared with a bitmap. */
#include <bitset>
#include <utility>
#include <vector>

#include "prop.hh"

#define CELLS 64

typedef std::bitset<CELLS> bitmap;
typedef std::vector<std::pair<uint8_t, uint8_t>> span_list;

static void add_spans(medlar_ranges_t *set, bitmap *map, const span_list &list)
{
	for (const auto &span : list) {
		uint64_t lo = span.first % CELLS;
		uint64_t hi = span.second % (CELLS + 1);

		RC_ASSERT(medlar_ranges_add(set, { lo, hi }) == MEDLAR_OK);
		for (uint64_t i = lo; i < hi; i++)
			map->set(i);
	}
}

static void check_equal(const medlar_ranges_t *set, const bitmap &map)
{
	bitmap seen;

	for (size_t i = 0; i < set->len; i++) {
		RC_ASSERT(set->items[i].lo < set->items[i].hi);
		if (i > 0)
			RC_ASSERT(set->items[i - 1].hi < set->items[i].lo);
		for (uint64_t k = set->items[i].lo; k < set->items[i].hi; k++)
			seen.set(k);
	}
	RC_ASSERT(seen == map);
	RC_ASSERT(medlar_ranges_width(set) == map.count());
}

int main()
{
	Properties props(4);

	props.check("add_equals_a_bitmap", [](const span_list &list) {
		medlar_ranges_t set;
		bitmap map;

		medlar_ranges_init(&set);
		add_spans(&set, &map, list);
		check_equal(&set, map);
		medlar_ranges_finish(&set);
	});
	props.check("subtract_equals_a_bitmap", [](const span_list &from,
						   const span_list &what) {
		medlar_ranges_t a, b, out;
		bitmap map_a, map_b;

		medlar_ranges_init(&a);
		medlar_ranges_init(&b);
		medlar_ranges_init(&out);
		add_spans(&a, &map_a, from);
		add_spans(&b, &map_b, what);
		RC_ASSERT(medlar_ranges_subtract(&out, &a, &b) == MEDLAR_OK);
		check_equal(&out, map_a & ~map_b);
		medlar_ranges_finish(&a);
		medlar_ranges_finish(&b);
		medlar_ranges_finish(&out);
	});
	props.check("overlap_equals_a_bitmap", [](const span_list &list,
						  uint8_t lo, uint8_t hi) {
		medlar_ranges_t set;
		bitmap map;
		bool expected = false;

		medlar_ranges_init(&set);
		add_spans(&set, &map, list);
		for (unsigned i = lo; i < hi && i < CELLS; i++)
			expected = expected || map.test(i);
		RC_ASSERT(medlar_ranges_overlap(&set, { lo, hi }) == expected);
		medlar_ranges_finish(&set);
	});
	props.check("map_entry_found_contains_the_key", [](uint16_t shards,
							   uint32_t key) {
		medlar_map_t map;
		const medlar_map_entry_t *entry;

		RC_PRE(shards > 0);
		RC_ASSERT(medlar_map_init_even(&map, 1, shards) == MEDLAR_OK);
		entry = medlar_map_find(&map, key);
		RC_ASSERT(entry && entry->range.lo <= key &&
			  key < entry->range.hi);
		medlar_map_finish(&map);
	});
	return props.status();
}
