/* Choice of replicas within their limits, for random histories. */
#include <algorithm>
#include <vector>

#include "prop.hh"
#include "tests/common_service.h"

namespace
{

struct Step {
	unsigned replica;
	unsigned what;
	medlar_time_t after;
	medlar_time_t took;
};

rc::Gen<Step> step_generator(unsigned replicas)
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::replica,
			     rc::gen::inRange<unsigned>(0, replicas)),
		rc::gen::set(&Step::what, rc::gen::inRange<unsigned>(0, 12)),
		rc::gen::set(&Step::after,
			     rc::gen::inRange<medlar_time_t>(0, 400)),
		rc::gen::set(&Step::took,
			     rc::gen::inRange<medlar_time_t>(0, 300)));
}

/* Expected state of a replica from the list and the replies. */
struct ReplicaModel {
	bool leaving = false;
	medlar_time_t incarnation = 1000;
};

void apply_step(fixture_t *fixture, std::vector<ReplicaModel> *model,
		const Step &step, medlar_time_t now)
{
	medlar_replica_t *replica = replica_of(fixture, step.replica);
	medlar_replica_info_t info = make_replica_info(step.replica);
	ReplicaModel &own = (*model)[step.replica];

	if (step.what < MEDLAR_RESULT_COUNT) {
		if (medlar_replica_in_flight(replica) > 0)
			medlar_replica_end_request(
				&fixture->client, replica,
				medlar_request_result_t(step.what), step.took,
				now);
	} else if (step.what == MEDLAR_RESULT_COUNT) {
		medlar_replica_set_leaving(&fixture->client, replica,
					   own.incarnation, now);
		own.leaving = true;
	} else if (step.what == MEDLAR_RESULT_COUNT + 1) {
		info.incarnation = ++own.incarnation;
		own.leaving = false;
		medlar_service_put_replica(&fixture->client, &fixture->service,
					   &info, now);
	} else if (step.what == MEDLAR_RESULT_COUNT + 2) {
		info.incarnation = own.incarnation;
		medlar_service_put_replica(&fixture->client, &fixture->service,
					   &info, now);
	}
}

bool is_ejected(const medlar_replica_t *replica, bool leaving,
		medlar_time_t now)
{
	return !leaving && !medlar_replica_usable(replica, now);
}

/* The bound includes replicas that left after an ejection. */
void check_bounds(fixture_t *fixture, const std::vector<ReplicaModel> &model,
		  medlar_time_t now)
{
	unsigned ejected = 0;

	for (unsigned i = 0; i < model.size(); i++)
		ejected += is_ejected(replica_of(fixture, i), model[i].leaving,
				      now);
	RC_ASSERT(ejected <= model.size() / 2);
}

void check_pick(fixture_t *fixture, const std::vector<ReplicaModel> &model,
		medlar_time_t now)
{
	const medlar_pick_t pick = { 7, nullptr, 0, false };
	medlar_replica_t *out = nullptr;
	int error = medlar_replica_pick(
		&fixture->client, medlar_service_shard(&fixture->service, 0),
		&pick, now, &out);
	unsigned live = 0;
	unsigned idle = 0;

	for (unsigned i = 0; i < model.size(); i++) {
		const medlar_replica_t *replica = replica_of(fixture, i);

		live += !model[i].leaving;
		idle += !model[i].leaving &&
			medlar_replica_usable(replica, now) &&
			medlar_replica_in_flight(replica) == 0;
		if (out == replica)
			RC_ASSERT(!model[i].leaving);
	}
	RC_ASSERT((error == MEDLAR_ERR_NO_REPLICA) == (live == 0));
	if (idle > 0)
		RC_ASSERT(error == MEDLAR_OK);
	if (error)
		return;
	RC_ASSERT(medlar_replica_in_flight(out) <
		  medlar_replica_share(out).slots);
	medlar_replica_begin_request(&fixture->client, out, now);
}

void check_history(unsigned replicas, uint64_t seed)
{
	const auto history = *rc::gen::container<std::vector<Step>>(
		step_generator(replicas));
	std::vector<ReplicaModel> model(replicas);
	fixture_t fixture;
	medlar_time_t now = 1;

	set_up(&fixture, replicas, seed);
	for (const Step &step : history) {
		now += step.after;
		apply_step(&fixture, &model, step, now);
		check_pick(&fixture, model, now);
		check_bounds(&fixture, model, now);
	}
	tear_down(&fixture);
}

} /* namespace */

int main()
{
	Properties props(5);

	props.check("few_replicas_are_picked_within_their_limits",
		    [](uint64_t seed) { check_history(3, seed); });
	props.check("many_replicas_are_picked_within_their_limits",
		    [](uint64_t seed) { check_history(20, seed); });
	props.check("extra_sends_stay_within_the_budget",
		    [](std::vector<bool> sends) {
			    const double share = *rc::gen::inRange(0, 101) /
						 100.0;
			    medlar_budget_t budget;
			    double first = 0;
			    double extra = 0;

			    medlar_budget_init(&budget, share, 10);
			    for (bool is_first : sends) {
				    if (is_first) {
					    medlar_budget_deposit(&budget);
					    first++;
				    } else {
					    extra += medlar_budget_withdraw(
						    &budget);
				    }
				    RC_ASSERT(extra <= first * share + 1e-9);
			    }
		    });
	props.check("quantiles_are_within_a_quarter", [](uint64_t seed) {
		medlar_rand_t rand = { seed };
		std::vector<medlar_time_t> all;
		medlar_latency_t latency;
		const double q = *rc::gen::inRange(50, 100) / 100.0;

		medlar_latency_init(&latency, 0);
		for (int i = 0; i < 1000; i++) {
			all.push_back(medlar_rand_below(&rand, 1) +
				      (medlar_rand_next(&rand) >>
				       (50 + medlar_rand_below(&rand, 10))));
			medlar_latency_add(&latency, all.back(), 0);
		}
		std::sort(all.begin(), all.end());
		const double exact = all[size_t(q * 1000) - 1];
		const double told = medlar_latency_quantile(&latency, q, -1);
		RC_ASSERT(told <= exact * 1.25 + 1);
		RC_ASSERT(told >= exact * 0.75 - 1);
	});
	props.check("old_latencies_decay", [](uint64_t seed) {
		medlar_rand_t rand = { seed };
		medlar_latency_t latency;
		const medlar_time_t old = 1000 + medlar_rand_below(&rand, 1000);

		medlar_latency_init(&latency, 0);
		RC_ASSERT(medlar_latency_quantile(&latency, 0.5, 42) == 42);
		for (int i = 0; i < 100; i++)
			medlar_latency_add(&latency, old, 0);
		RC_ASSERT(medlar_latency_quantile(&latency, 0.9, 42) > 800);
		for (int i = 0; i < 100; i++)
			medlar_latency_add(&latency, 5, MEDLAR_MINUTE);
		RC_ASSERT(medlar_latency_quantile(&latency, 0.9, 42) <= 5);
	});
	return props.status();
}
