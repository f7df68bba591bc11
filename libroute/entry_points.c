/**
 * DOC: choice of the instances that a caller is told to use
 *
 * Most traffic flows between instances and replicas, so instances with replicas
 * in their own availability zone are preferred. Among these, instances in the
 * zone of the caller are preferred if one of them can fail without harm.
 */
#include "libroute/entry_points.h"

/* A preference applies only if at least this many instances satisfy it. */
#define KEPT_MIN 6
#define KEPT_IN_ZONE_MIN 4

static bool is_local(const entry_point_t *point, medlar_str_t zone)
{
	return medlar_str_equal(point->zone, zone);
}

static bool has_local_replicas(const entry_point_t *point, unsigned best)
{
	return point->local_percent * 2 >= best;
}

static size_t keep_with_local_replicas(entry_point_t *points, size_t len)
{
	unsigned best = 0;
	size_t kept = 0;

	for (size_t i = 0; i < len; i++)
		if (points[i].local_percent > best)
			best = points[i].local_percent;
	for (size_t i = 0; i < len; i++)
		kept += has_local_replicas(&points[i], best);
	if (kept < KEPT_MIN)
		return len;
	kept = 0;
	for (size_t i = 0; i < len; i++)
		if (has_local_replicas(&points[i], best))
			points[kept++] = points[i];
	return kept;
}

/**
 * entry_points_choose() - select the instances to recommend to a caller
 * @points: instances that accept callers; the selected ones are moved to the
 *	front, what follows them is unspecified
 * @len: number of instances
 * @zone: availability zone of the caller
 *
 * Return: number of selected instances; at least 1 if @len is at least 1.
 */
size_t entry_points_choose(entry_point_t *points, size_t len, medlar_str_t zone)
{
	size_t kept = keep_with_local_replicas(points, len);
	size_t local = 0;

	for (size_t i = 0; i < kept; i++)
		local += is_local(&points[i], zone);
	if (local < KEPT_IN_ZONE_MIN)
		return kept;
	local = 0;
	for (size_t i = 0; i < kept; i++)
		if (is_local(&points[i], zone))
			points[local++] = points[i];
	return local;
}
