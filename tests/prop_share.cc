/* Instances that share a replica stay within its limits together. */
#include <algorithm>
#include <memory>
#include <vector>

#include "prop.hh"
#include "tests/common_service.h"

namespace
{

using Ids = std::vector<uint64_t>;

constexpr medlar_time_t SPREAD_MS = 40;
constexpr medlar_time_t DEADLINE_MS = 30;
constexpr medlar_time_t END_MS = 1200;
constexpr medlar_time_t LOSS_INTERVAL_MS = 300;

Ids make_ids(size_t count, uint64_t seed)
{
	medlar_rand_t rand = { seed };
	Ids ids;

	for (size_t i = 0; i < count; i++)
		ids.push_back(medlar_rand_next(&rand) | 1);
	std::sort(ids.begin(), ids.end());
	ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
	return ids;
}

medlar_peers_t peers_of(const Ids &ids)
{
	return { ids.data(), ids.size(), 0, 0 };
}

/* One simulated instance, with its own service and view of the fleet. */
struct Instance {
	uint64_t id;
	medlar_time_t joined;
	medlar_time_t lost = MEDLAR_TIME_NEVER;
	medlar_time_t connections_close = 0;
	fixture_t fixture;
	std::vector<medlar_time_t> running;
	unsigned connections = 0;
	Ids view;

	Instance(unsigned number, medlar_time_t now) : joined(now)
	{
		char name[16];
		medlar_policy_t policy;
		const medlar_service_ops_t ops = {};

		snprintf(name, sizeof(name), "i%u", number);
		medlar_client_init(&fixture.client, medlar_str_from(name), 0,
				   number);
		id = fixture.client.instance;
		medlar_policy_default(&policy, "search");
		policy.deadline = DEADLINE_MS;
		medlar_service_init(&fixture.client, &fixture.service, &policy,
				    &ops, nullptr, now);
	}

	~Instance()
	{
		while (!running.empty())
			finish(running.back(), END_MS);
		tear_down(&fixture);
	}

	medlar_replica_t *replica()
	{
		return replica_of(&fixture, 0);
	}

	void finish(medlar_time_t until, medlar_time_t now)
	{
		medlar_replica_end_request(&fixture.client, replica(),
					   MEDLAR_RESULT_OK, 1, now);
		running.erase(std::find(running.begin(), running.end(), until));
	}

	void set_view(Ids ids, medlar_time_t now)
	{
		std::sort(ids.begin(), ids.end());
		if (ids == view)
			return;
		view = ids;
		const medlar_peers_t peers = { view.data(), view.size(),
					       SPREAD_MS + 1, joined };
		medlar_service_set_peers(&fixture.client, &fixture.service,
					 &peers, now);
	}

	/* Uses its whole share; closes surplus connections when idle. */
	void use_share(medlar_rand_t *rand, medlar_time_t now)
	{
		medlar_client_run(&fixture.client, now);
		for (size_t i = running.size(); i-- > 0;)
			if (running[i] <= now)
				finish(running[i], now);
		while (medlar_replica_t *chosen = pick_replica(&fixture, now)) {
			medlar_replica_begin_request(&fixture.client, chosen,
						     now);
			running.push_back(now + 1 +
					  medlar_rand_below(rand, DEADLINE_MS));
		}
		connections = std::max<unsigned>(
			medlar_replica_share(replica()).connections,
			running.size());
	}

	unsigned in_flight(medlar_time_t now) const
	{
		return std::count_if(
			running.begin(), running.end(),
			[now](medlar_time_t t) { return t > now; });
	}
};

struct Fleet {
	std::vector<std::unique_ptr<Instance>> all;
	medlar_rand_t rand;
	medlar_replica_info_t info = make_replica_info(0);

	void join(medlar_time_t now)
	{
		all.push_back(std::make_unique<Instance>(all.size(), now));
		medlar_service_put_replica(&all.back()->fixture.client,
					   &all.back()->fixture.service, &info,
					   now);
		all.back()->set_view({ all.back()->id }, now);
	}

	void lose(medlar_time_t now)
	{
		for (auto &instance : all) {
			if (instance->lost != MEDLAR_TIME_NEVER)
				continue;
			instance->lost = now;
			instance->connections_close = now +
						      medlar_rand_below(
							      &rand,
							      LOSS_INTERVAL_MS);
			return;
		}
	}

	/* Whether @who knows of @of; changes spread with a delay per pair. */
	bool known(const Instance &who, const Instance &of, medlar_time_t now)
	{
		uint64_t mix = who.id ^ (of.id * 31);
		medlar_rand_t delay = { mix };
		medlar_time_t in = medlar_rand_below(&delay, SPREAD_MS + 1);
		medlar_time_t out = medlar_rand_below(&delay, SPREAD_MS + 1);

		if (&who == &of)
			return true;
		return now >= of.joined + in &&
		       (of.lost == MEDLAR_TIME_NEVER || now < of.lost + out);
	}

	void step(medlar_time_t now)
	{
		for (auto &who : all) {
			Ids view;

			if (who->lost <= now)
				continue;
			for (auto &of : all)
				if (known(*who, *of, now))
					view.push_back(of->id);
			who->set_view(view, now);
			who->use_share(&rand, now);
		}
	}

	unsigned in_flight(medlar_time_t now)
	{
		unsigned sum = 0;

		for (auto &instance : all)
			sum += instance->in_flight(now);
		return sum;
	}

	unsigned connections(medlar_time_t now)
	{
		unsigned sum = 0;

		for (auto &instance : all)
			if (instance->lost > now ||
			    instance->connections_close > now)
				sum += instance->connections;
		return sum;
	}
};

void check_history(uint64_t seed, unsigned count)
{
	Fleet fleet;
	medlar_time_t next = LOSS_INTERVAL_MS;
	unsigned used = 0;

	fleet.rand = { seed };
	fleet.info.slots = 1 + medlar_rand_below(&fleet.rand, 4);
	fleet.info.connections = 8 + medlar_rand_below(&fleet.rand, 30);
	for (unsigned i = 0; i < count; i++)
		fleet.join(0);
	for (medlar_time_t now = 0; now < END_MS; now++) {
		if (now == next) {
			fleet.lose(now);
			next += LOSS_INTERVAL_MS +
				medlar_rand_below(&fleet.rand, 100);
			if (medlar_rand_below(&fleet.rand, 4) > 0)
				fleet.join(now);
		}
		fleet.step(now);
		used = std::max(used, fleet.in_flight(now));
		RC_ASSERT(fleet.in_flight(now) <=
			  medlar_share_total_requests(fleet.info.slots));
		RC_ASSERT(fleet.connections(now) <= fleet.info.connections);
	}
	RC_ASSERT(used >= fleet.info.slots);
}

} /* namespace */

int main()
{
	Properties props(5);

	props.check("equal_views_divide_all_slots", [](uint64_t seed) {
		const auto count = *rc::gen::inRange(1, 60);
		const auto slots = *rc::gen::inRange(1, 9);
		const Ids ids = make_ids(count, seed);
		const medlar_peers_t peers = peers_of(ids);
		uint32_t sum = 0;

		for (uint64_t id : ids)
			sum += medlar_share_compute(&peers, id, seed, slots,
						    1000)
				       .slots;
		RC_ASSERT(sum == medlar_share_total_requests(slots));
	});
	props.check("connections_of_one_lost_instance_fit_the_limit",
		    [](uint64_t seed) {
			    const auto count = *rc::gen::inRange(2, 60);
			    const auto limit = *rc::gen::inRange(2, 200);
			    Ids ids = make_ids(count, seed);
			    const medlar_peers_t all = peers_of(ids);
			    uint32_t sum = medlar_share_compute(&all, ids[0],
								seed, 2, limit)
						   .connections;

			    ids.erase(ids.begin());
			    const medlar_peers_t rest = peers_of(ids);
			    for (uint64_t id : ids)
				    sum += medlar_share_compute(&rest, id, seed,
								2, limit)
						   .connections;
			    RC_ASSERT(sum <= uint32_t(limit));
		    });
	props.check("another_instance_never_increases_a_share",
		    [](uint64_t seed, uint64_t added) {
			    const auto count = *rc::gen::inRange(1, 60);
			    const auto slots = *rc::gen::inRange(1, 9);
			    Ids ids = make_ids(count, seed);
			    const uint64_t self = ids[0];
			    const medlar_peers_t few = peers_of(ids);
			    const auto before = medlar_share_compute(
				    &few, self, seed, slots, 25);

			    RC_PRE(std::find(ids.begin(), ids.end(), added) ==
				   ids.end());
			    ids.push_back(added);
			    const medlar_peers_t many = peers_of(ids);
			    const auto after = medlar_share_compute(
				    &many, self, seed, slots, 25);
			    RC_ASSERT(after.slots <= before.slots);
			    RC_ASSERT(after.connections <= before.connections);
		    });
	props.check("incremental_ranks_equal_computed_ones",
		    [](std::vector<std::vector<uint8_t>> views) {
			    fixture_t fixture;

			    set_up(&fixture, 3, 1);
			    for (const auto &view : views) {
				    Ids ids = { fixture.client.instance };
				    for (uint8_t id : view)
					    ids.push_back(id);
				    std::sort(ids.begin(), ids.end());
				    ids.erase(
					    std::unique(ids.begin(), ids.end()),
					    ids.end());
				    const medlar_peers_t peers = peers_of(ids);
				    medlar_service_set_peers(&fixture.client,
							     &fixture.service,
							     &peers, 0);
				    const auto share = medlar_replica_share(
					    replica_of(&fixture, 1));
				    const auto expected = medlar_share_compute(
					    &peers, fixture.client.instance,
					    id_of(1), 4, 25);
				    RC_ASSERT(share.slots == expected.slots);
				    RC_ASSERT(share.connections ==
					      expected.connections);
			    }
			    tear_down(&fixture);
		    });
	props.check("different_views_never_exceed_the_limits",
		    [](uint64_t seed) {
			    const auto count = *rc::gen::inRange(1, 7);
			    check_history(seed, count);
		    });
	return props.status();
}
