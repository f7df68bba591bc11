/**
 * DOC: splits queries into parts by the partition map
 *
 * The parts of a query are disjoint and together cover exactly the requested
 * keys, so no range is answered twice and none is missing without being
 * reported. A part whose range has moved is sent to the shard that holds it in
 * the newest map, and is split when the map splits its range.
 */
#include <stdlib.h>
#include <string.h>

#include "query.h"

#define PARTS_CAP_MIN 16

static int reserve_parts(medlar_query_t *query, size_t len)
{
	size_t cap = query->cap ? query->cap : PARTS_CAP_MIN;
	medlar_part_t *parts;

	if (len > MEDLAR_PARTS_MAX)
		return MEDLAR_ERR_TOO_LARGE;
	if (len <= query->cap)
		return MEDLAR_OK;
	while (cap < len)
		cap *= 2;
	parts = realloc(query->parts, cap * sizeof(*parts));
	if (!parts)
		return MEDLAR_ERR_NOMEM;
	query->parts = parts;
	query->cap = cap;
	return MEDLAR_OK;
}

static int reserve_marks(medlar_queries_t *queries, size_t len)
{
	uint8_t *marks;

	if (len <= queries->entry_marks_cap)
		return MEDLAR_OK;
	marks = realloc(queries->entry_marks, len);
	if (!marks)
		return MEDLAR_ERR_NOMEM;
	queries->entry_marks = marks;
	queries->entry_marks_cap = len;
	return MEDLAR_OK;
}

/* Marks the map entries that hold a requested key; all for a search. */
static int mark_entries(medlar_query_t *query, const medlar_map_t *map)
{
	const medlar_query_params_t *params = &query->params;
	uint8_t *marks;
	size_t i;
	int error = reserve_marks(query->queries, map->len);

	if (error)
		return error;
	marks = query->queries->entry_marks;
	memset(marks, params->keys ? 0 : 1, map->len);
	for (i = 0; params->keys && i < params->keys_len; i++) {
		const medlar_map_entry_t *entry = medlar_map_find(
			map, params->keys[i]);

		if (!entry)
			return MEDLAR_ERR_RANGE;
		marks[entry - map->entries] = 1;
	}
	return MEDLAR_OK;
}

static void add_part(medlar_query_t *query, medlar_range_t range,
		     uint32_t shard)
{
	query->parts[query->len++] = (medlar_part_t){
		.range = range,
		.shard = shard,
		.due = MEDLAR_DUE_NONE,
		.state = MEDLAR_PART_HELD,
		.kind = MEDLAR_ATTEMPT_FIRST,
	};
	query->open_parts++;
	query->queries->open_parts++;
}

/**
 * medlar_plan_query() - split a query into parts by the newest map
 * @query: a query without parts
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_TOO_LARGE, %MEDLAR_ERR_RANGE for a key
 * outside the key space, or %MEDLAR_ERR_NOMEM.
 */
int medlar_plan_query(medlar_query_t *query)
{
	const medlar_map_t *map = &query->queries->service->map;
	size_t i;
	int error = mark_entries(query, map);

	if (!error)
		error = reserve_parts(query, map->len);
	query->requested.len = 0;
	for (i = 0; !error && i < map->len; i++) {
		if (!query->queries->entry_marks[i])
			continue;
		error = medlar_ranges_add(&query->requested,
					  map->entries[i].range);
		if (!error)
			add_part(query, map->entries[i].range,
				 map->entries[i].shard);
	}
	query->keys_asked = medlar_ranges_width(&query->requested);
	query->answer.epoch = map->epoch;
	return error;
}

static size_t count_entries(const medlar_map_t *map,
			    const medlar_map_entry_t *at, medlar_range_t range)
{
	const medlar_map_entry_t *end = map->entries + map->len;
	size_t count = 0;

	while (at < end && at->range.lo < range.hi) {
		count++;
		at++;
	}
	return count;
}

/**
 * medlar_plan_remap_part() - find the shard of a part in the newest map
 * @query: a running query
 * @part: index of a part that is in no queue and has no live attempt
 *
 * When the map splits its range, the part keeps the first piece, and a held
 * part marked as split off is appended for each other piece.
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_TOO_LARGE or %MEDLAR_ERR_NOMEM. On error the
 * part is unchanged.
 */
int medlar_plan_remap_part(medlar_query_t *query, size_t part)
{
	const medlar_map_t *map = &query->queries->service->map;
	medlar_range_t old_range = query->parts[part].range;
	const medlar_map_entry_t *entry = medlar_map_find(map, old_range.lo);
	size_t pieces = entry ? count_entries(map, entry, old_range) : 0;
	medlar_part_t *first;
	size_t i;
	int error = reserve_parts(query, query->len + pieces);

	if (error || pieces == 0)
		return error;
	first = &query->parts[part];
	for (i = 1; i < pieces; i++) {
		medlar_range_t range = entry[i].range;

		if (range.hi > old_range.hi)
			range.hi = old_range.hi;
		add_part(query, range, entry[i].shard);
		query->parts[query->len - 1].kind = first->kind;
		query->parts[query->len - 1].free_retry = first->free_retry;
		query->parts[query->len - 1].split_off = true;
	}
	if (first->shard != entry->shard)
		first->tried_len = 0;
	first->shard = entry->shard;
	if (entry->range.hi < old_range.hi)
		first->range.hi = entry->range.hi;
	return MEDLAR_OK;
}

/**
 * medlar_plan_follow_redirect() - move a part to the shard an upstream named
 * @query: a running query
 * @part: index of a part without live attempt
 * @shard: shard that holds the range according to the upstream
 *
 * Return: true on success; false when the part was redirected before, or when
 * @shard is its current shard or does not exist.
 */
bool medlar_plan_follow_redirect(medlar_query_t *query, size_t part,
				 uint32_t shard)
{
	medlar_part_t *moved = &query->parts[part];

	if (moved->redirected || shard == moved->shard ||
	    shard >= medlar_service_shards_count(query->queries->service))
		return false;
	moved->redirected = true;
	moved->shard = shard;
	moved->tried_len = 0;
	return true;
}
