/* Choice of the index version compared with its definition. */
#include <map>
#include <vector>

#include "prop.hh"
#include "tests/fakes/world.h"

#define SHARDS 4

typedef std::vector<uint8_t>
	version_masks; /* per replica: versions 1 to 4 as bits */

static void set_up_world(world_t *world, const version_masks &list)
{
	medlar_policy_t policy;

	medlar_policy_default(&policy, "editor-desk");
	policy.shards = SHARDS;
	world_init(world, &policy, 0, 1);
	for (size_t i = 0; i < list.size(); i++) {
		world_replica_t *replica = &world->replicas[world->len++];
		unsigned len = 0;

		snprintf(replica->info.name, sizeof(replica->info.name), "r%zu",
			 i);
		snprintf(replica->info.host, sizeof(replica->info.host),
			 "127.0.0.1");
		replica->info.shard = (uint32_t)(i % SHARDS);
		replica->info.slots = 2;
		replica->info.connections = 9;
		for (uint32_t v = 1; v <= 4; v++)
			if (list[i] & (1U << v))
				replica->info.versions[len++] = v;
		world_put(world, replica);
	}
}

struct version_rating {
	uint64_t width = 0;
	size_t depth = SIZE_MAX;
};

static version_rating rate_version(const world_t *world, uint32_t version)
{
	version_rating result;

	for (uint32_t shard = 0; shard < SHARDS; shard++) {
		size_t depth = 0;

		for (size_t i = 0; i < world->len; i++)
			if (world->replicas[i].info.shard == shard &&
			    world_serves(&world->replicas[i], version))
				depth++;
		if (depth == 0)
			continue;
		result.width += MEDLAR_KEY_END / SHARDS;
		if (depth < result.depth)
			result.depth = depth;
	}
	return result;
}

static uint32_t choose_by_definition(const world_t *world, uint32_t at_least,
				     uint32_t avoid, uint64_t *width)
{
	std::map<uint32_t, version_rating> all;
	size_t depth = 0;

	*width = 0;
	for (uint32_t v = 1; v <= 4; v++)
		if (v >= at_least && v != avoid)
			all[v] = rate_version(world, v);
	for (const auto &item : all)
		if (item.second.width > *width)
			*width = item.second.width;
	if (*width == 0)
		return 0;
	for (const auto &item : all)
		if (item.second.width == *width && item.second.depth > depth)
			depth = item.second.depth;
	for (auto item = all.rbegin(); item != all.rend(); ++item)
		if (item->second.width == *width &&
		    2 * item->second.depth >= depth)
			return item->first;
	return 0;
}

int main()
{
	Properties props(1);

	props.check(
		"choice_equals_the_definition", [](const version_masks &list) {
			const medlar_range_t all = { 0, MEDLAR_KEY_END };
			uint32_t at_least = *rc::gen::inRange<uint32_t>(0, 6);
			uint32_t avoid = *rc::gen::inRange<uint32_t>(0, 6);
			double coverage;
			uint64_t width;
			uint32_t version;
			world_t world;

			set_up_world(&world, list);
			version = medlar_version_choose(
				&world.service, &world.service.map, &all, 1,
				at_least, avoid, world_now(&world), &coverage);
			RC_ASSERT(version ==
				  choose_by_definition(&world, at_least, avoid,
						       &width));
			RC_ASSERT((uint64_t)(coverage * (double)MEDLAR_KEY_END +
					     0.5) == width);
			world_finish(&world);
		});
	return props.status();
}
