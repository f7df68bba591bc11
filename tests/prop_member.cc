/* Instances agree on members, facts and configuration whatever is lost. */
#include <cmath>

#include "prop.hh"
#include "tests/fleet.hh"

namespace
{

using fleet::Fleet;
using fleet::Node;

const char *const ZONES[] = { "bkk-a", "bkk-b", "bkk-c" };

std::string name_of(unsigned number)
{
	return "i" + std::to_string(number);
}

/* Starts an instance that knows the first three by its settings. */
Node &start(Fleet &fleet, unsigned number, uint64_t incarnation)
{
	Node &node = fleet.start(name_of(number), ZONES[number % 3],
				 incarnation);

	for (unsigned i = 0; i < 3; i++)
		if (i != number)
			fleet.seed(node, name_of(i), ZONES[i]);
	return node;
}

void start_all(Fleet &fleet, unsigned count)
{
	for (unsigned i = 0; i < count; i++)
		start(fleet, i, 1000);
}

std::string text_of(uint64_t revision)
{
	std::string text(200 + revision * 977 % 9000, 'x');

	return "{" + text + std::to_string(revision) + text + "}";
}

/* A store that may be read late, and the edits it has accepted. */
struct Store {
	uint64_t revision = 0;

	void edit()
	{
		revision++;
	}

	/* Reads what was there up to @lag revisions ago. */
	void read(Fleet &fleet, Node &node, uint64_t lag)
	{
		const uint64_t seen = revision > lag ? revision - lag : 0;

		if (seen > 0)
			fleet.set_document(node, seen, text_of(seen));
	}
};

Node &any(Fleet &fleet)
{
	auto it = fleet.nodes.begin();

	std::advance(it, medlar_rand_below(&fleet.rand, fleet.nodes.size()));
	return *it->second;
}

void check_applied(const Fleet &fleet)
{
	for (const auto &[name, node] : fleet.nodes) {
		RC_ASSERT(std::is_sorted(node->applied.begin(),
					 node->applied.end(),
					 std::less_equal<uint64_t>()));
		for (const auto &[revision, text] : node->documents)
			RC_ASSERT(text == text_of(revision));
	}
}

/* Two sides that do not hear each other, or none. */
void set_partition(Fleet &fleet)
{
	const uint64_t side = medlar_rand_next(&fleet.rand);

	fleet.passes = [side](const std::string &a, const std::string &b) {
		const unsigned i = std::stoi(a.substr(1));
		const unsigned j = std::stoi(b.substr(1));

		return ((side >> i) & 1) == ((side >> j) & 1);
	};
}

void restart(Fleet &fleet, unsigned count)
{
	const unsigned number = medlar_rand_below(&fleet.rand, count);

	fleet.kill(name_of(number));
	check_applied(fleet);
	start(fleet, number, 1000 + fleet.now);
}

void step(Fleet &fleet, Store &store, unsigned count)
{
	switch (medlar_rand_below(&fleet.rand, 6)) {
	case 0:
		store.edit();
		store.read(fleet, any(fleet), 0);
		break;
	case 1:
		store.read(fleet, any(fleet),
			   medlar_rand_below(&fleet.rand, 4));
		break;
	case 2:
		fleet.loss = medlar_rand_below(&fleet.rand, 50) / 100.0;
		break;
	case 3:
		set_partition(fleet);
		break;
	case 4:
		fleet.passes = nullptr;
		break;
	default:
		restart(fleet, count);
	}
	fleet.run(medlar_rand_below(&fleet.rand, 1500));
	check_applied(fleet);
}

void check_edits(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 7);
	const unsigned steps = *rc::gen::inRange(1, 12);
	Fleet fleet(seed);
	Store store;

	start_all(fleet, count);
	for (unsigned i = 0; i < steps; i++)
		step(fleet, store, count);
	fleet.passes = nullptr;
	fleet.loss = 0;
	fleet.run(10 * MEDLAR_SECOND);
	store.edit();
	store.read(fleet, any(fleet), 0);
	fleet.run(2 * MEDLAR_SECOND);
	check_applied(fleet);
	for (const auto &[name, node] : fleet.nodes)
		RC_ASSERT(medlar_members_revision(&node->members) ==
			  store.revision);
}

void check_loss(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 8);
	Fleet fleet(seed);

	start_all(fleet, count);
	fleet.run(5 * MEDLAR_SECOND);
	for (unsigned i = 0; i < count; i++)
		RC_ASSERT(fleet.all_see(name_of(i), MEDLAR_MEMBER_ALIVE));
	fleet.kill(name_of(count - 1));
	fleet.run(6 * MEDLAR_SECOND);
	RC_ASSERT(fleet.all_see(name_of(count - 1), MEDLAR_MEMBER_DEAD));
	for (unsigned i = 0; i + 1 < count; i++)
		RC_ASSERT(fleet.all_see(name_of(i), MEDLAR_MEMBER_ALIVE));
	start(fleet, count - 1, 1000 + fleet.now);
	fleet.run(3 * MEDLAR_SECOND);
	RC_ASSERT(fleet.all_see(name_of(count - 1), MEDLAR_MEMBER_ALIVE));
}

void check_partition(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 8);
	Fleet fleet(seed);
	size_t raised = 0;

	start_all(fleet, count);
	fleet.run(5 * MEDLAR_SECOND);
	set_partition(fleet);
	fleet.run(20 * MEDLAR_SECOND);
	for (const auto &[name, node] : fleet.nodes) {
		const auto peers = medlar_members_peers(
			&node->client, &node->members, fleet.now);
		raised = std::max(raised, count - peers.len);
		RC_ASSERT(peers.len * 2 > count);
	}
	fleet.passes = nullptr;
	fleet.run(20 * MEDLAR_SECOND);
	for (unsigned i = 0; i < count; i++)
		RC_ASSERT(fleet.all_see(name_of(i), MEDLAR_MEMBER_ALIVE));
}

void check_verdicts(uint64_t seed)
{
	const unsigned count = *rc::gen::inRange(3, 7);
	Fleet fleet(seed);
	medlar_fact_t fact = {};

	fact.kind = MEDLAR_FACT_VERDICT;
	fact.subject = 77;
	fact.ttl = MEDLAR_HOUR;
	start_all(fleet, count);
	fleet.loss = 0.3;
	fleet.run(3 * MEDLAR_SECOND);
	for (unsigned i = 0; i < 5; i++) {
		Node &node = any(fleet);

		fact.revision = 100 + i;
		fact.value = i % 2;
		medlar_members_tell(&node.client, &node.members, &fact,
				    fleet.now);
		fleet.run(medlar_rand_below(&fleet.rand, 300));
	}
	fleet.run(10 * MEDLAR_SECOND);
	for (const auto &[name, node] : fleet.nodes) {
		uint64_t last = 0;

		for (const auto &heard : node->facts) {
			if (heard.kind != MEDLAR_FACT_VERDICT)
				continue;
			RC_ASSERT(heard.revision > last);
			last = heard.revision;
		}
		RC_ASSERT(last == fact.revision);
	}
}

/* A message takes at most 5 ms: no round of gossip is waited for. */
void check_news(uint64_t seed)
{
	Fleet fleet(seed);
	medlar_fact_t fact = {};

	fact.kind = MEDLAR_FACT_VERDICT;
	fact.subject = 77;
	fact.revision = 1;
	fact.ttl = MEDLAR_HOUR;
	start_all(fleet, 4);
	fleet.run(3 * MEDLAR_SECOND + medlar_rand_below(&fleet.rand, 300));
	Node &node = any(fleet);
	medlar_members_tell(&node.client, &node.members, &fact, fleet.now);
	fleet.run(6);
	for (const auto &[name, other] : fleet.nodes)
		RC_ASSERT(std::any_of(other->facts.begin(), other->facts.end(),
				      [](const auto &heard) {
					      return heard.kind ==
						     MEDLAR_FACT_VERDICT;
				      }));
}

/* Known to nobody at first but the others by their settings. */
void check_start_without_store(uint64_t seed)
{
	Fleet fleet(seed);

	start_all(fleet, 3);
	fleet.run(3 * MEDLAR_SECOND);
	fleet.set_document(any(fleet), 5, text_of(5));
	fleet.run(3 * MEDLAR_SECOND);
	Node &late = start(fleet, 3, 1000);
	fleet.run(2 * MEDLAR_SECOND);
	RC_ASSERT(late.applied == std::vector<uint64_t>{ 5 });
}

void check_leaving(uint64_t seed)
{
	Fleet fleet(seed);

	start_all(fleet, 4);
	fleet.run(3 * MEDLAR_SECOND);
	Node &leaving = *fleet.nodes.at(name_of(3));
	medlar_members_leave(&leaving.client, &leaving.members, fleet.now);
	fleet.run(MEDLAR_SECOND);
	RC_ASSERT(fleet.all_see(name_of(3), MEDLAR_MEMBER_LEAVING));
	medlar_members_stop(&leaving.client, &leaving.members, fleet.now);
	fleet.kill(name_of(3));
	fleet.run(MEDLAR_SECOND);
	RC_ASSERT(fleet.all_see(name_of(3), MEDLAR_MEMBER_DEAD));
	for (const auto &[name, node] : fleet.nodes)
		RC_ASSERT(medlar_members_peers(&node->client, &node->members,
					       fleet.now)
				  .len == 3);
}

/* An instance that is stopped for a while takes nobody for dead. */
void check_pause(uint64_t seed)
{
	Fleet fleet(seed);

	start_all(fleet, 4);
	fleet.run(3 * MEDLAR_SECOND);
	Node &paused = *fleet.nodes.at(name_of(0));
	const size_t heard = paused.facts.size();
	paused.paused = true;
	fleet.run(20 * MEDLAR_SECOND);
	RC_ASSERT(fleet.state(*fleet.nodes.at(name_of(1)), name_of(0)) ==
		  MEDLAR_MEMBER_DEAD);
	paused.paused = false;
	fleet.run(5 * MEDLAR_SECOND);
	for (size_t i = heard; i < paused.facts.size(); i++)
		RC_ASSERT(paused.facts[i].revision % MEDLAR_MEMBER_STATES !=
			  MEDLAR_MEMBER_DEAD);
	RC_ASSERT(fleet.all_see(name_of(0), MEDLAR_MEMBER_ALIVE));
}

constexpr unsigned FLEET = 5300;
constexpr unsigned SAMPLE = 64;
const char *const BIG_ZONES[] = { "north-a", "north-b", "north-c", "north-d",
				  "mid-a",   "mid-b",	"mid-c",   "south-a",
				  "south-b", "south-c" };

std::string big_zone(unsigned number)
{
	return BIG_ZONES[number % SAMPLE % std::size(BIG_ZONES)];
}

/*
 * Instances that hold the state of the whole fleet. Those that are not run
 * are stood in for by one that is, so that no message is lost for that.
 */
void start_sample(Fleet &fleet)
{
	fleet.stand_in = [](const std::string &name) {
		return name_of(std::stoul(name.substr(1)) % SAMPLE);
	};
	for (unsigned i = 0; i < SAMPLE; i++) {
		Node &node = fleet.start(name_of(i), big_zone(i), 1000);

		for (unsigned j = 0; j < FLEET; j++) {
			const auto info = fleet::info_of(name_of(j),
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
				MEDLAR_MESSAGE_RESULT,
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
					       &message, fleet.now);
		}
	}
}

/*
 * The growth of those who know, in the rounds in which most of their messages
 * reach one who does not, carries over to the fleet; the rest of the time is
 * that of the sample.
 */
medlar_time_t spread_time(uint64_t seed)
{
	const uint64_t revision = 7;
	Fleet fleet(seed);
	medlar_time_t quarter = 0;
	unsigned know = 1;

	start_sample(fleet);
	fleet.run(12 * MEDLAR_SECOND);
	fleet.set_document(any(fleet), revision, text_of(revision));
	const medlar_time_t start = fleet.now;
	while (know < SAMPLE && fleet.now - start < MEDLAR_MINUTE) {
		fleet.run(10);
		know = std::count_if(
			fleet.nodes.begin(), fleet.nodes.end(), [&](auto &it) {
				return medlar_members_revision(
					       &it.second->members) == revision;
			});
		if (quarter == 0 && know >= SAMPLE / 4)
			quarter = fleet.now - start;
	}
	const double doublings = std::log2(SAMPLE / 4.0);
	const double more = std::log2(double(FLEET) / SAMPLE);
	const double full = fleet.now - start + quarter / doublings * more;
	std::printf("# sample of %u: a quarter after %d ms, all after %d ms; "
		    "fleet of %u: %.0f ms\n",
		    SAMPLE, int(quarter), int(fleet.now - start), FLEET, full);
	return medlar_time_t(full);
}

medlar_time_t worst_spread_time()
{
	medlar_time_t worst = 0;

	for (uint64_t seed = 1; seed <= 8; seed++)
		worst = std::max(worst, spread_time(seed));
	return worst;
}

} /* namespace */

int main()
{
	Properties props;

	props.check("no_revision_is_undone_and_none_is_lost", check_edits);
	props.check("a_lost_instance_is_found_dead_and_may_return", check_loss);
	props.check("partitions_heal_and_the_smaller_side_takes_nothing_over",
		    check_partition);
	props.check("the_last_verdict_holds_everywhere", check_verdicts);
	props.check("four_instances_have_news_in_one_message", check_news);
	props.check("a_start_without_the_store_takes_what_peers_hold",
		    check_start_without_store);
	props.check("leaving_is_known_at_once_and_ends_the_share",
		    check_leaving);
	props.check("a_pause_is_no_reason_to_suspect_others", check_pause);
	const medlar_time_t worst = worst_spread_time();
	props.check("a_fleet_of_5300_knows_within_five_seconds", [worst] {
		RC_ASSERT(worst < 5 * MEDLAR_SECOND);
		RC_ASSERT(worst < medlar_members_hold(FLEET));
	});
	return props.status();
}
