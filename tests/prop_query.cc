/* Queries with random faults, partition maps, versions and cancellations. */
#include <string>
#include <vector>

#include "prop.hh"
#include "tests/fakes/world.h"

#define SHARDS 5
#define REPLICAS 3
#define QUERIES 60

/* Expected and observed events of one query. */
struct query_record {
	unsigned answers = 0;
	bool cancelled = false;
	medlar_query_t *query = nullptr;
};

struct fault_rates {
	unsigned percent[WORLD_BEHAVIOURS] = {};
};

static uint64_t random_below(world_t *world, uint64_t bound)
{
	return medlar_rand_below(&world->rand, bound);
}

static void decide_behaviour(world_t *world, world_call_t *call)
{
	const fault_rates *faults = static_cast<const fault_rates *>(
		world->data);
	uint64_t roll = random_below(world, 100);

	world_standard(world, call);
	for (int behaviour = WORLD_SHED; behaviour < WORLD_BEHAVIOURS;
	     behaviour++) {
		if (roll < faults->percent[behaviour]) {
			call->behaviour = static_cast<world_behaviour_t>(
				behaviour);
			world->moved_to = (uint32_t)random_below(world,
								 SHARDS + 1);
			return;
		}
		roll -= faults->percent[behaviour];
	}
	if (random_below(world, 20) == 0)
		call->took_us *= 20;
}

static void check_parts(const medlar_query_t *query)
{
	const medlar_answer_t *answer = medlar_query_answer(query);
	medlar_ranges_t seen;

	medlar_ranges_init(&seen);
	for (size_t i = 0; i < medlar_query_parts_count(query); i++) {
		medlar_range_t range = medlar_query_part_range(query, i);
		medlar_str_t body = medlar_query_part_body(query, i);
		std::string expected = std::to_string(answer->version) + " " +
				       std::to_string(range.lo) + " " +
				       std::to_string(range.hi);

		RC_ASSERT(std::string(body.ptr, body.len) == expected);
		RC_ASSERT(!medlar_ranges_overlap(&seen, range));
		medlar_ranges_add(&seen, range);
	}
	RC_ASSERT(medlar_ranges_width(&seen) ==
		  medlar_ranges_width(answer->covered));
	medlar_ranges_finish(&seen);
}

static void check_answer(world_t *world, medlar_query_t *query)
{
	const medlar_answer_t *answer = medlar_query_answer(query);
	query_record *own = static_cast<query_record *>(
		medlar_query_data(query));
	uint64_t covered = medlar_ranges_width(answer->covered);
	uint64_t missing = medlar_ranges_width(answer->missing);

	own->answers++;
	own->query = nullptr;
	for (size_t i = 0; i < answer->covered->len; i++)
		RC_ASSERT(!medlar_ranges_overlap(answer->missing,
						 answer->covered->items[i]));
	if (answer->outcome == MEDLAR_OUTCOME_NOT_RUN)
		RC_ASSERT(answer->sends == 0);
	else
		RC_ASSERT(covered + missing == MEDLAR_KEY_END);
	RC_ASSERT((answer->outcome == MEDLAR_OUTCOME_COMPLETE) ==
		  (covered == MEDLAR_KEY_END));
	RC_ASSERT(world_now(world) <= medlar_query_params(query)->deadline);
	check_parts(query);
}

/* Sets a map of the same shards with other bounds and shards. */
static void repartition(world_t *world, void *data)
{
	uint32_t pieces = (uint32_t)(1 + random_below(world, 2 * SHARDS));
	medlar_map_t map;

	(void)data;
	if (medlar_map_init_even(&map, world->service.map.epoch + 1, pieces))
		abort();
	map.shards = SHARDS;
	for (size_t i = 0; i < map.len; i++)
		map.entries[i].shard = (uint32_t)random_below(world, SHARDS);
	medlar_service_set_map(&world->client, &world->service, &map);
	medlar_map_finish(&map);
}

static void change_versions(world_t *world, void *data)
{
	world_replica_t *replica =
		&world->replicas[random_below(world, world->len)];

	(void)data;
	replica->info.versions[0] = (uint32_t)(7 + random_below(world, 2));
	replica->info.versions[1] = random_below(world, 2) ? 9 : 0;
	if (random_below(world, 2))
		world_put(world, replica);
}

static void toggle_replica(world_t *world, void *data)
{
	world_replica_t *replica =
		&world->replicas[random_below(world, world->len)];

	(void)data;
	replica->dead = !replica->dead;
}

static void cancel_query(world_t *world, void *data)
{
	query_record *own = static_cast<query_record *>(data);

	if (!own->query)
		return;
	medlar_query_cancel(&world->client, own->query, world_now(world));
	medlar_query_finish(&world->client, own->query);
	own->cancelled = true;
	own->query = nullptr;
}

struct scheduled_query {
	query_record *own;
	uint64_t fingerprint;
};

static void start_query(world_t *world, void *data)
{
	scheduled_query *begin = static_cast<scheduled_query *>(data);
	medlar_query_params_t params = {};

	params.fingerprint = begin->fingerprint;
	params.caller = begin->fingerprint % 4;
	params.kind = random_below(world, 2) ? MEDLAR_REQUEST_SEARCH
					     : MEDLAR_REQUEST_LOOKUP;
	params.deadline = world_now(world) + 20 +
			  (int64_t)random_below(world, 300);
	params.target = world_now(world) + 60;
	if (medlar_query_start(&world->client, &world->service, &params,
			       begin->own, world_now(world),
			       &begin->own->query) != MEDLAR_OK)
		begin->own->answers++;
}

static void run_queries(uint64_t seed, const fault_rates &faults, bool changing)
{
	static const world_fn_t changes[] = { repartition, change_versions,
					      toggle_replica };
	uint64_t length_us = 10000 + seed % 300000;
	medlar_policy_t policy;
	query_record queries[QUERIES];
	scheduled_query starts[QUERIES];
	world_t world;

	medlar_policy_default(&policy, "perfil-busca");
	policy.shards = SHARDS;
	policy.slots = 2;
	policy.extra_load = 0.2;
	policy.queue_max = 8;
	policy.priority = seed % 2 ? MEDLAR_LATENCY_FIRST
				   : MEDLAR_COVERAGE_FIRST;
	world_init(&world, &policy, REPLICAS, seed);
	world.decide = decide_behaviour;
	world.answered = check_answer;
	world.data = const_cast<fault_rates *>(&faults);
	for (unsigned i = 0; i < QUERIES; i++) {
		int64_t due = world.now_us +
			      (int64_t)random_below(&world, length_us);

		starts[i] = { &queries[i], 1 + random_below(&world, 40) };
		world_at(&world, due, start_query, &starts[i]);
		if (random_below(&world, 5) == 0)
			world_at(&world, due + 5000, cancel_query, &queries[i]);
		if (changing)
			world_at(&world, due, changes[i % 3], nullptr);
	}
	world_run(&world, INT64_MAX);
	RC_ASSERT(world.live == 0U);
	for (const query_record &query : queries)
		RC_ASSERT(query.answers + query.cancelled == 1U);
	for (size_t i = 0; i < world.len; i++)
		RC_ASSERT(medlar_replica_in_flight(world.replicas[i].handle) ==
			  0U);
	world_finish(&world);
}

/* Number of keys in shards with at least one replica alive. */
static uint64_t naive_coverage(const world_t *world)
{
	const medlar_map_t *map = &world->service.map;
	uint64_t width = 0;

	for (size_t e = 0; e < map->len; e++) {
		bool answered = false;

		for (size_t i = 0; i < world->len; i++)
			if (world->replicas[i].shard == map->entries[e].shard &&
			    !world->replicas[i].dead)
				answered = true;
		if (answered)
			width += map->entries[e].range.hi -
				 map->entries[e].range.lo;
	}
	return width;
}

static void record_coverage(world_t *world, medlar_query_t *query)
{
	*static_cast<uint64_t *>(world->data) = medlar_ranges_width(
		medlar_query_answer(query)->covered);
}

static void compare_with_naive(uint64_t seed, const std::vector<bool> &dead)
{
	uint64_t covered = MEDLAR_KEY_END + 1;
	medlar_policy_t policy;
	world_t world;

	medlar_policy_default(&policy, "perfil-busca");
	policy.shards = SHARDS;
	policy.slots = 2;
	world_init(&world, &policy, REPLICAS, seed);
	world.answered = record_coverage;
	world.data = &covered;
	for (size_t i = 0; i < world.len && i < dead.size(); i++)
		world.replicas[i].dead = dead[i];
	repartition(&world, nullptr);
	RC_ASSERT(world_ask(&world, 1, 2000, nullptr) == MEDLAR_OK);
	world_run(&world, INT64_MAX);
	RC_ASSERT(covered == naive_coverage(&world));
	world_finish(&world);
}

int main()
{
	Properties props(4);

	props.check("one_correct_answer_without_faults", [](uint64_t seed) {
		run_queries(seed, fault_rates(), false);
	});
	props.check("one_correct_answer_under_faults", [](uint64_t seed) {
		fault_rates faults;

		for (int behaviour = WORLD_SHED; behaviour < WORLD_BEHAVIOURS;
		     behaviour++)
			faults.percent[behaviour] = *rc::gen::inRange<unsigned>(
				0, 9);
		run_queries(seed, faults, false);
	});
	props.check("one_correct_answer_under_faults_and_changes",
		    [](uint64_t seed) {
			    fault_rates faults;

			    for (int behaviour = WORLD_SHED;
				 behaviour < WORLD_BEHAVIOURS; behaviour++)
				    faults.percent[behaviour] =
					    *rc::gen::inRange<unsigned>(0, 9);
			    run_queries(seed, faults, true);
		    });
	props.check("coverage_equals_the_shards_alive", compare_with_naive);
	return props.status();
}
