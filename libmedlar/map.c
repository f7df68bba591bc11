/**
 * DOC: partition maps
 *
 * A map assigns each key to a shard, at one epoch. It always covers the whole
 * key space, so that a coverage computed from it never omits a range silently.
 */
#include <stdlib.h>
#include <string.h>
#include <json-c/json.h>

#include "medlar.h"

#define MAP_ENTRIES_MAX 1000000

static int allocate_entries(medlar_map_t *map, uint64_t epoch, uint32_t shards,
			    size_t len)
{
	*map = (medlar_map_t){ .epoch = epoch, .shards = shards };
	if (shards == 0 || len == 0 || len > MAP_ENTRIES_MAX)
		return MEDLAR_ERR_RANGE;
	map->entries = calloc(len, sizeof(*map->entries));
	if (!map->entries)
		return MEDLAR_ERR_NOMEM;
	map->len = len;
	return MEDLAR_OK;
}

/**
 * medlar_map_init_even() - initialise a map with an equal range per shard
 * @map: map in memory of the caller; released by medlar_map_finish()
 * @epoch: epoch of the map
 * @shards: number of shards, at least 1
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE or %MEDLAR_ERR_NOMEM.
 */
int medlar_map_init_even(medlar_map_t *map, uint64_t epoch, uint32_t shards)
{
	uint32_t i;
	int error = allocate_entries(map, epoch, shards, shards);

	if (error)
		return error;
	for (i = 0; i < shards; i++) {
		medlar_map_entry_t *entry = &map->entries[i];

		entry->range.lo = MEDLAR_KEY_END * i / shards;
		entry->range.hi = MEDLAR_KEY_END * (i + 1) / shards;
		entry->shard = i;
	}
	return MEDLAR_OK;
}

static int parse_number(struct json_object *object, const char *key,
			uint64_t max, uint64_t *out)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value))
		return MEDLAR_ERR_MISSING;
	if (!json_object_is_type(value, json_type_int))
		return MEDLAR_ERR_TYPE;
	if (json_object_get_int64(value) < 0)
		return MEDLAR_ERR_RANGE;
	*out = json_object_get_uint64(value);
	return *out > max ? MEDLAR_ERR_RANGE : MEDLAR_OK;
}

static int parse_entry(struct json_object *object, uint32_t shards,
		       medlar_map_entry_t *entry)
{
	uint64_t shard;
	int error;

	if (!json_object_is_type(object, json_type_object))
		return MEDLAR_ERR_TYPE;
	error = parse_number(object, "lo", MEDLAR_KEY_END, &entry->range.lo);
	if (error)
		return error;
	error = parse_number(object, "hi", MEDLAR_KEY_END, &entry->range.hi);
	if (error)
		return error;
	error = parse_number(object, "shard", shards - 1, &shard);
	if (error)
		return error;
	entry->shard = (uint32_t)shard;
	return MEDLAR_OK;
}

/* Entries must be sorted and contiguous from 0 to %MEDLAR_KEY_END. */
static int check_coverage(const medlar_map_t *map)
{
	uint64_t next = 0;
	size_t i;

	for (i = 0; i < map->len; i++) {
		medlar_range_t range = map->entries[i].range;

		if (range.lo != next || range.hi <= range.lo)
			return MEDLAR_ERR_RANGE;
		next = range.hi;
	}
	return next == MEDLAR_KEY_END ? MEDLAR_OK : MEDLAR_ERR_RANGE;
}

static int parse_map_object(medlar_map_t *map, struct json_object *root)
{
	struct json_object *entries;
	uint64_t epoch;
	uint64_t shards;
	size_t i;
	int error;

	if (!json_object_is_type(root, json_type_object))
		return MEDLAR_ERR_TYPE;
	error = parse_number(root, "epoch", INT64_MAX, &epoch);
	if (error)
		return error;
	error = parse_number(root, "shards", UINT32_MAX, &shards);
	if (error)
		return error;
	if (!json_object_object_get_ex(root, "entries", &entries))
		return MEDLAR_ERR_MISSING;
	if (!json_object_is_type(entries, json_type_array))
		return MEDLAR_ERR_TYPE;
	error = allocate_entries(map, epoch, (uint32_t)shards,
				 json_object_array_length(entries));
	for (i = 0; !error && i < map->len; i++)
		error = parse_entry(json_object_array_get_idx(entries, i),
				    map->shards, &map->entries[i]);
	return error ? error : check_coverage(map);
}

/**
 * medlar_map_parse() - parse a map in JSON
 * @map: map in memory of the caller; released by medlar_map_finish() if
 *	%MEDLAR_OK is returned, else empty
 * @json: ``{"epoch":7,"shards":2,"entries":[{"lo":0,"hi":9,"shard":1},...]}``
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_SYNTAX, %MEDLAR_ERR_MISSING,
 * %MEDLAR_ERR_TYPE, %MEDLAR_ERR_TOO_LARGE above %INT32_MAX bytes,
 * %MEDLAR_ERR_RANGE if a number is out of range or the entries do not cover the
 * key space exactly, or %MEDLAR_ERR_NOMEM.
 */
int medlar_map_parse(medlar_map_t *map, medlar_str_t json)
{
	struct json_tokener *tokener;
	struct json_object *root;
	int error;

	*map = (medlar_map_t){ 0 };
	if (json.len > INT32_MAX)
		return MEDLAR_ERR_TOO_LARGE;
	tokener = json_tokener_new();
	if (!tokener)
		return MEDLAR_ERR_NOMEM;
	root = json_tokener_parse_ex(tokener, json.ptr, (int)json.len);
	error = root ? parse_map_object(map, root) : MEDLAR_ERR_SYNTAX;
	json_object_put(root);
	json_tokener_free(tokener);
	if (error)
		medlar_map_finish(map);
	return error;
}

/**
 * medlar_map_copy() - copy a map
 * @to: map in memory of the caller; released by medlar_map_finish()
 * @from: map to copy
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE if @from is empty, or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_map_copy(medlar_map_t *to, const medlar_map_t *from)
{
	int error = allocate_entries(to, from->epoch, from->shards, from->len);

	if (error)
		return error;
	memcpy(to->entries, from->entries, from->len * sizeof(*from->entries));
	return MEDLAR_OK;
}

/**
 * medlar_map_finish() - free the entries of a map
 * @map: an initialised map; it is empty afterwards
 */
void medlar_map_finish(medlar_map_t *map)
{
	free(map->entries);
	*map = (medlar_map_t){ 0 };
}

/**
 * medlar_map_find() - find the entry of a key
 * @map: map
 * @key: key below %MEDLAR_KEY_END
 *
 * Return: the entry, or NULL if the map is empty or the key out of range.
 */
const medlar_map_entry_t *medlar_map_find(const medlar_map_t *map, uint64_t key)
{
	size_t lo = 0;
	size_t hi = map->len;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (map->entries[mid].range.hi <= key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < map->len ? &map->entries[lo] : NULL;
}
