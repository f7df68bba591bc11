/*
 * Instances agree on members, facts and configuration after message loss,
 * restarts, pauses and network partitions.
 */
#include <cmath>

#include "prop.hh"
#include "tests/member_sim.hh"

namespace
{

using member_sim::Node;
using member_sim::Simulation;

const char *const ZONES[] = { "bkk-a", "bkk-b", "bkk-c" };

std::string node_name(unsigned number)
{
	return "i" + std::to_string(number);
}

/* Starts an instance with the first three instances as seeds. */
Node &start(Simulation &sim, unsigned number, uint64_t incarnation)
{
	Node &node = sim.start(node_name(number), ZONES[number % 3],
			       incarnation);

	for (unsigned i = 0; i < 3; i++)
		if (i != number)
			sim.seed(node, node_name(i), ZONES[i]);
	return node;
}

void start_all(Simulation &sim, unsigned count)
{
	for (unsigned i = 0; i < count; i++)
		start(sim, i, 1000);
}

std::string document_text(uint64_t revision)
{
	std::string text(200 + revision * 977 % 9000, 'x');

	return "{" + text + std::to_string(revision) + text + "}";
}

/* A store of configuration revisions from which stale reads are possible. */
struct Store {
	uint64_t revision = 0;

	void publish()
	{
		revision++;
	}

	/* Gives a node the revision that was current @lag revisions ago. */
	void read(Simulation &sim, Node &node, uint64_t lag)
	{
		const uint64_t seen = revision > lag ? revision - lag : 0;

		if (seen > 0)
			sim.set_document(node, seen, document_text(seen));
	}
};

Node &random_node(Simulation &sim)
{
	auto it = sim.nodes.begin();

	std::advance(it, medlar_rand_below(&sim.rand, sim.nodes.size()));
	return *it->second;
}

void check_applied(const Simulation &sim)
{
	for (const auto &[name, node] : sim.nodes) {
		RC_ASSERT(std::is_sorted(node->applied.begin(),
					 node->applied.end(),
					 std::less_equal<uint64_t>()));
		for (const auto &[revision, text] : node->documents)
			RC_ASSERT(text == document_text(revision));
	}
}

/* Splits the instances at random into two sides, of which one may be empty. */
void partition_network(Simulation &sim)
{
	const uint64_t side = medlar_rand_next(&sim.rand);

	sim.can_reach = [side](const std::string &a, const std::string &b) {
		const unsigned i = std::stoi(a.substr(1));
		const unsigned j = std::stoi(b.substr(1));

		return ((side >> i) & 1) == ((side >> j) & 1);
	};
}

void restart(Simulation &sim, unsigned count)
{
	const unsigned number = medlar_rand_below(&sim.rand, count);

	sim.kill(node_name(number));
	check_applied(sim);
	start(sim, number, 1000 + sim.now);
}

void step(Simulation &sim, Store &store, unsigned count)
{
	switch (medlar_rand_below(&sim.rand, 6)) {
	case 0:
		store.publish();
		store.read(sim, random_node(sim), 0);
		break;
	case 1:
		store.read(sim, random_node(sim),
			   medlar_rand_below(&sim.rand, 4));
		break;
	case 2:
		sim.loss = medlar_rand_below(&sim.rand, 50) / 100.0;
		break;
	case 3:
		partition_network(sim);
		break;
	case 4:
		sim.can_reach = nullptr;
		break;
	default:
		restart(sim, count);
	}
	sim.run(medlar_rand_below(&sim.rand, 1500));
	check_applied(sim);
}

void check_convergence(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 7);
	const unsigned steps = *rc::gen::inRange(1, 12);
	Simulation sim(seed);
	Store store;

	start_all(sim, count);
	for (unsigned i = 0; i < steps; i++)
		step(sim, store, count);
	sim.can_reach = nullptr;
	sim.loss = 0;
	sim.run(10 * MEDLAR_SECOND);
	store.publish();
	store.read(sim, random_node(sim), 0);
	sim.run(2 * MEDLAR_SECOND);
	check_applied(sim);
	for (const auto &[name, node] : sim.nodes)
		RC_ASSERT(medlar_members_revision(&node->members) ==
			  store.revision);
}

void check_lost_instance(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 8);
	Simulation sim(seed);

	start_all(sim, count);
	sim.run(5 * MEDLAR_SECOND);
	for (unsigned i = 0; i < count; i++)
		RC_ASSERT(sim.all_see(node_name(i), MEDLAR_MEMBER_ALIVE));
	sim.kill(node_name(count - 1));
	sim.run(6 * MEDLAR_SECOND);
	RC_ASSERT(sim.all_see(node_name(count - 1), MEDLAR_MEMBER_DEAD));
	for (unsigned i = 0; i + 1 < count; i++)
		RC_ASSERT(sim.all_see(node_name(i), MEDLAR_MEMBER_ALIVE));
	start(sim, count - 1, 1000 + sim.now);
	sim.run(3 * MEDLAR_SECOND);
	RC_ASSERT(sim.all_see(node_name(count - 1), MEDLAR_MEMBER_ALIVE));
}

void check_partition(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 8);
	Simulation sim(seed);
	size_t raised = 0;

	start_all(sim, count);
	sim.run(5 * MEDLAR_SECOND);
	partition_network(sim);
	sim.run(20 * MEDLAR_SECOND);
	for (const auto &[name, node] : sim.nodes) {
		const auto peers = medlar_members_peers(
			&node->client, &node->members, sim.now);
		raised = std::max(raised, count - peers.len);
		RC_ASSERT(peers.len * 2 > count);
	}
	sim.can_reach = nullptr;
	sim.run(20 * MEDLAR_SECOND);
	for (unsigned i = 0; i < count; i++)
		RC_ASSERT(sim.all_see(node_name(i), MEDLAR_MEMBER_ALIVE));
}

void check_verdicts(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 7);
	Simulation sim(seed);
	medlar_fact_t fact = {};

	fact.kind = MEDLAR_FACT_VERDICT;
	fact.subject = 77;
	fact.ttl = MEDLAR_HOUR;
	start_all(sim, count);
	sim.loss = 0.3;
	sim.run(3 * MEDLAR_SECOND);
	for (unsigned i = 0; i < 5; i++) {
		Node &node = random_node(sim);

		fact.revision = 100 + i;
		fact.value = i % 2;
		medlar_members_broadcast(&node.client, &node.members, &fact,
					 sim.now);
		sim.run(medlar_rand_below(&sim.rand, 300));
	}
	sim.run(10 * MEDLAR_SECOND);
	for (const auto &[name, node] : sim.nodes) {
		uint64_t last = 0;

		for (const auto &received : node->facts) {
			if (received.kind != MEDLAR_FACT_VERDICT)
				continue;
			RC_ASSERT(received.revision > last);
			last = received.revision;
		}
		RC_ASSERT(last == fact.revision);
	}
}

/*
 * A message takes at most 5 ms, so the fact must be pushed at once: waiting for
 * the next gossip round would take longer.
 */
void check_push(uint64_t seed)
{
	Simulation sim(seed);
	medlar_fact_t fact = {};

	fact.kind = MEDLAR_FACT_VERDICT;
	fact.subject = 77;
	fact.revision = 1;
	fact.ttl = MEDLAR_HOUR;
	start_all(sim, 4);
	sim.run(3 * MEDLAR_SECOND + medlar_rand_below(&sim.rand, 300));
	Node &node = random_node(sim);
	medlar_members_broadcast(&node.client, &node.members, &fact, sim.now);
	sim.run(6);
	for (const auto &[name, other] : sim.nodes)
		RC_ASSERT(std::any_of(other->facts.begin(), other->facts.end(),
				      [](const auto &received) {
					      return received.kind ==
						     MEDLAR_FACT_VERDICT;
				      }));
}

/* An instance that only knows its seeds gets the configuration from them. */
void check_start_without_store(uint64_t seed)
{
	Simulation sim(seed);

	start_all(sim, 3);
	sim.run(3 * MEDLAR_SECOND);
	sim.set_document(random_node(sim), 5, document_text(5));
	sim.run(3 * MEDLAR_SECOND);
	Node &late = start(sim, 3, 1000);
	sim.run(2 * MEDLAR_SECOND);
	RC_ASSERT(late.applied == std::vector<uint64_t>{ 5 });
}

void check_leaving(uint64_t seed)
{
	Simulation sim(seed);

	start_all(sim, 4);
	sim.run(3 * MEDLAR_SECOND);
	Node &leaving = *sim.nodes.at(node_name(3));
	medlar_members_leave(&leaving.client, &leaving.members, sim.now);
	sim.run(MEDLAR_SECOND);
	RC_ASSERT(sim.all_see(node_name(3), MEDLAR_MEMBER_LEAVING));
	medlar_members_stop(&leaving.client, &leaving.members, sim.now);
	sim.kill(node_name(3));
	sim.run(MEDLAR_SECOND);
	RC_ASSERT(sim.all_see(node_name(3), MEDLAR_MEMBER_DEAD));
	for (const auto &[name, node] : sim.nodes)
		RC_ASSERT(medlar_members_peers(&node->client, &node->members,
					       sim.now)
				  .len == 3);
}

/* An instance that was paused must not declare the other ones dead. */
void check_pause(uint64_t seed)
{
	Simulation sim(seed);

	start_all(sim, 4);
	sim.run(3 * MEDLAR_SECOND);
	Node &paused = *sim.nodes.at(node_name(0));
	const size_t received = paused.facts.size();
	paused.paused = true;
	sim.run(20 * MEDLAR_SECOND);
	RC_ASSERT(sim.state(*sim.nodes.at(node_name(1)), node_name(0)) ==
		  MEDLAR_MEMBER_DEAD);
	paused.paused = false;
	sim.run(5 * MEDLAR_SECOND);
	for (size_t i = received; i < paused.facts.size(); i++)
		RC_ASSERT(paused.facts[i].revision % MEDLAR_MEMBER_STATES !=
			  MEDLAR_MEMBER_DEAD);
	RC_ASSERT(sim.all_see(node_name(0), MEDLAR_MEMBER_ALIVE));
}

constexpr unsigned INSTANCES = 5300;
constexpr unsigned SIMULATED = 64;
const char *const LARGE_FLEET_ZONES[] = { "north-a", "north-b", "north-c",
					  "north-d", "mid-a",	"mid-b",
					  "mid-c",   "south-a", "south-b",
					  "south-c" };

std::string large_fleet_zone(unsigned number)
{
	return LARGE_FLEET_ZONES[number % SIMULATED %
				 std::size(LARGE_FLEET_ZONES)];
}

/*
 * Starts the simulated instances, each of which holds the facts of the whole
 * fleet. Messages to instances that are not simulated go to one that is, so
 * that none is lost.
 */
void start_large_fleet(Simulation &sim)
{
	sim.route_to = [](const std::string &name) {
		return node_name(std::stoul(name.substr(1)) % SIMULATED);
	};
	for (unsigned i = 0; i < SIMULATED; i++) {
		Node &node = sim.start(node_name(i), large_fleet_zone(i), 1000);

		for (unsigned j = 0; j < INSTANCES; j++) {
			const auto info = member_sim::make_info(node_name(j),
								ZONES[j % 3]);
			const medlar_fact_t fact = {
				MEDLAR_FACT_MEMBER,
				medlar_str_hash(medlar_str_from(info.name), 0),
				1000 * MEDLAR_MEMBER_STATES,
				0,
				0,
				0,
				MEDLAR_TIME_NEVER,
				&info
			};
			const medlar_message_t message = {
				MEDLAR_MESSAGE_SYNC_FACTS,
				1,
				0,
				0,
				0,
				0,
				&fact,
				1,
				nullptr,
				0,
				nullptr,
				{}
			};

			medlar_members_receive(&node.client, &node.members,
					       &message, sim.now);
		}
	}
}

/*
 * Time in which a document reaches the whole fleet, extrapolated from the
 * simulated instances. While few instances have the document, most messages
 * reach one without it, and their number doubles at a rate that does not depend
 * on the size of the fleet. The time to a quarter gives that rate, from which
 * the time of the further doublings is added.
 */
medlar_time_t propagation_time(uint64_t seed)
{
	const uint64_t revision = 7;
	Simulation sim(seed);
	medlar_time_t quarter_time = 0;
	unsigned informed = 1;

	start_large_fleet(sim);
	sim.run(12 * MEDLAR_SECOND);
	sim.set_document(random_node(sim), revision, document_text(revision));
	const medlar_time_t start = sim.now;
	while (informed < SIMULATED && sim.now - start < MEDLAR_MINUTE) {
		sim.run(10);
		informed = std::count_if(
			sim.nodes.begin(), sim.nodes.end(), [&](auto &it) {
				return medlar_members_revision(
					       &it.second->members) == revision;
			});
		if (quarter_time == 0 && informed >= SIMULATED / 4)
			quarter_time = sim.now - start;
	}
	const double doublings = std::log2(SIMULATED / 4.0);
	const double more = std::log2(double(INSTANCES) / SIMULATED);
	const double full = sim.now - start + quarter_time / doublings * more;
	std::printf("# sample of %u: a quarter after %d ms, all after %d ms; "
		    "fleet of %u: %.0f ms\n",
		    SIMULATED, int(quarter_time), int(sim.now - start),
		    INSTANCES, full);
	return medlar_time_t(full);
}

medlar_time_t worst_propagation_time()
{
	medlar_time_t worst = 0;

	for (uint64_t seed = 1; seed <= 8; seed++)
		worst = std::max(worst, propagation_time(seed));
	return worst;
}

} /* namespace */

int main()
{
	Properties props(9);

	props.check("no_revision_is_undone_and_none_is_lost",
		    check_convergence);
	props.check("a_lost_instance_is_found_dead_and_may_return",
		    check_lost_instance);
	props.check("partitions_heal_and_the_smaller_side_takes_nothing_over",
		    check_partition);
	props.check("the_last_verdict_holds_everywhere", check_verdicts);
	props.check("four_instances_have_news_in_one_message", check_push);
	props.check("a_start_without_the_store_takes_what_peers_hold",
		    check_start_without_store);
	props.check("leaving_is_known_at_once_and_ends_the_share",
		    check_leaving);
	props.check("a_pause_is_no_reason_to_suspect_others", check_pause);
	const medlar_time_t worst = worst_propagation_time();
	props.check("a_fleet_of_5300_knows_within_five_seconds", [worst] {
		RC_ASSERT(worst < 5 * MEDLAR_SECOND);
		RC_ASSERT(worst < medlar_members_hold_time(INSTANCES));
	});
	return props.status();
}
