/**
 * DOC: chooses the index version that a query is answered from
 *
 * The version that covers the most keys is chosen. Among versions with equal
 * coverage, each is rated by its replicas in the shard where it has the fewest.
 * The newest version with at least half of the best rating is chosen, since
 * otherwise the first replicas to serve a new version would get all the load.
 */
#include "internal.h"

#define CANDIDATES_MAX 16
#define REPLICAS_RATIO 2

/**
 * struct candidate - a version that may be chosen
 * @version: index version
 * @width: number of requested keys that it covers
 * @min_replicas: fewest replicas that serve it in any shard that has some
 */
typedef struct candidate {
	uint32_t version;
	uint64_t width;
	size_t min_replicas;
} candidate_t;

typedef struct candidates {
	candidate_t items[CANDIDATES_MAX];
	size_t len;
} candidates_t;

/* Adds a version; a full list keeps the newest ones. */
static void add_candidate(candidates_t *list, uint32_t version)
{
	size_t oldest = 0;
	size_t i;

	for (i = 0; i < list->len; i++) {
		if (list->items[i].version == version)
			return;
		if (list->items[i].version < list->items[oldest].version)
			oldest = i;
	}
	if (list->len < CANDIDATES_MAX)
		list->items[list->len++] = (candidate_t){ .version = version };
	else if (version > list->items[oldest].version)
		list->items[oldest] = (candidate_t){ .version = version };
}

static void collect_candidates(const medlar_service_t *service,
			       uint32_t at_least, uint32_t avoid,
			       candidates_t *list)
{
	size_t s;
	size_t r;
	size_t v;

	for (s = 0; s < service->shards_len; s++) {
		const medlar_shard_t *shard = service->shards[s];

		for (r = 0; r < shard->active; r++) {
			const uint32_t *versions = shard->replicas[r]->versions;

			for (v = 0; v < MEDLAR_VERSIONS_MAX; v++)
				if (versions[v] && versions[v] != avoid &&
				    versions[v] >= at_least)
					add_candidate(list, versions[v]);
		}
	}
}

/* Replicas that serve a version; ejected ones count if all are ejected. */
static size_t serving_replicas(const medlar_shard_t *shard, uint32_t version,
			       medlar_time_t now)
{
	size_t usable = 0;
	size_t serving = 0;
	size_t ejected = 0;
	size_t i;

	for (i = 0; i < shard->active; i++) {
		const medlar_replica_t *replica = shard->replicas[i];
		bool serves = medlar_replica_serves(replica, version);

		if (medlar_replica_usable(replica, now)) {
			usable++;
			serving += serves;
		} else {
			ejected += serves;
		}
	}
	return usable > 0 ? serving : ejected;
}

static uint64_t overlap_width(medlar_range_t a, medlar_range_t b)
{
	uint64_t lo = a.lo > b.lo ? a.lo : b.lo;
	uint64_t hi = a.hi < b.hi ? a.hi : b.hi;

	return lo < hi ? hi - lo : 0;
}

static void evaluate_range(const medlar_service_t *service,
			   const medlar_map_t *map, medlar_range_t range,
			   candidate_t *candidate, medlar_time_t now)
{
	const medlar_map_entry_t *entry = medlar_map_find(map, range.lo);
	const medlar_map_entry_t *end = map->entries + map->len;

	for (; entry && entry < end && entry->range.lo < range.hi; entry++) {
		size_t depth;

		if (entry->shard >= service->shards_len)
			continue;
		depth = serving_replicas(service->shards[entry->shard],
					 candidate->version, now);
		if (depth == 0)
			continue;
		candidate->width += overlap_width(entry->range, range);
		if (candidate->min_replicas == 0 ||
		    depth < candidate->min_replicas)
			candidate->min_replicas = depth;
	}
}

static const candidate_t *best_candidate(const candidates_t *list)
{
	const candidate_t *best = NULL;
	uint64_t width = 0;
	size_t depth = 0;
	size_t i;

	for (i = 0; i < list->len; i++) {
		const candidate_t *item = &list->items[i];

		if (item->width > width) {
			width = item->width;
			depth = item->min_replicas;
		} else if (item->width == width && item->min_replicas > depth) {
			depth = item->min_replicas;
		}
	}
	for (i = 0; i < list->len; i++) {
		const candidate_t *item = &list->items[i];

		if (item->width != width || item->width == 0 ||
		    item->min_replicas * REPLICAS_RATIO < depth)
			continue;
		if (!best || item->version > best->version)
			best = item;
	}
	return best;
}

/**
 * medlar_version_choose() - choose the index version for a query
 * @service: service
 * @map: partition map of the service
 * @ranges: requested keys, disjoint
 * @len: number of @ranges
 * @at_least: oldest acceptable version; 0 for any
 * @avoid: version not to choose; 0 for none
 * @now: current time, ms
 * @coverage: set to the share of the keys that the version covers, 0 to 1
 *
 * Return: the version, or 0 if no version covers any key.
 */
uint32_t medlar_version_choose(const medlar_service_t *service,
			       const medlar_map_t *map,
			       const medlar_range_t *ranges, size_t len,
			       uint32_t at_least, uint32_t avoid,
			       medlar_time_t now, double *coverage)
{
	candidates_t list = { .len = 0 };
	const candidate_t *best;
	uint64_t width = 0;
	size_t c;
	size_t i;

	*coverage = 0;
	collect_candidates(service, at_least, avoid, &list);
	for (c = 0; c < list.len; c++)
		for (i = 0; i < len; i++)
			evaluate_range(service, map, ranges[i], &list.items[c],
				       now);
	best = best_candidate(&list);
	if (!best)
		return 0;
	for (i = 0; i < len; i++)
		width += ranges[i].hi - ranges[i].lo;
	*coverage = (double)best->width / (double)width;
	return best->version;
}
