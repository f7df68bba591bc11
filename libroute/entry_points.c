/**
 * DOC: which instances a caller should use
 *
 * Parts of answers are most of the traffic, so instances that have replicas
 * in their own availability zone go first; then those of the caller's zone,
 * where there are enough of them to lose one.
 */
#include "libroute/entry_points.h"

/* Instances that must be left for a choice to be narrowed. */
#define POINTS_MIN 6
#define POINTS_LOCAL_MIN 4

static bool is_local(const entry_point_t *point, medlar_str_t zone)
{
	return medlar_str_equal(point->zone, zone);
}

static bool is_served(const entry_point_t *point, unsigned best)
{
	return point->near * 2 >= best;
}

static size_t keep_served(entry_point_t *points, size_t len)
{
	unsigned best = 0;
	size_t kept = 0;

	for (size_t i = 0; i < len; i++)
		if (points[i].near > best)
			best = points[i].near;
	for (size_t i = 0; i < len; i++)
		kept += is_served(&points[i], best);
	if (kept < POINTS_MIN)
		return len;
	kept = 0;
	for (size_t i = 0; i < len; i++)
		if (is_served(&points[i], best))
			points[kept++] = points[i];
	return kept;
}

/**
 * entry_points_choose() - narrow the instances that a caller is told of
 * @points: instances that take callers; the chosen ones come first afterwards
 * @len: how many
 * @zone: availability zone of the caller
 *
 * Return: number of chosen instances; at least 1 if @len is.
 */
size_t entry_points_choose(entry_point_t *points, size_t len, medlar_str_t zone)
{
	size_t kept = keep_served(points, len);
	size_t local = 0;

	for (size_t i = 0; i < kept; i++)
		local += is_local(&points[i], zone);
	if (local < POINTS_LOCAL_MIN)
		return kept;
	local = 0;
	for (size_t i = 0; i < kept; i++)
		if (is_local(&points[i], zone))
			points[local++] = points[i];
	return local;
}
