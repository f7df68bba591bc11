/*
 * Simulation of the membership: instances on a virtual clock, connected by
 * a network that delays, reorders and loses messages.
 */
#ifndef TESTS_MEMBER_SIM_HH
#define TESTS_MEMBER_SIM_HH

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "libmedlar/medlar.h"

namespace member_sim
{

/* A message in transit, with copies of all that it points to. */
struct Delivery {
	medlar_time_t due;
	uint64_t seq;
	std::string to;
	std::string from;
	medlar_message_t message;
	std::vector<medlar_fact_t> facts;
	std::vector<std::unique_ptr<medlar_member_info_t>> infos;
	std::vector<medlar_fact_key_t> keys;
	std::vector<uint32_t> digests;
	std::string bytes;

	explicit Delivery(const medlar_message_t &original) : message(original)
	{
		facts.assign(original.facts,
			     original.facts + original.facts_len);
		for (auto &fact : facts) {
			if (!fact.member)
				continue;
			infos.push_back(std::make_unique<medlar_member_info_t>(
				*fact.member));
			fact.member = infos.back().get();
		}
		keys.assign(original.keys, original.keys + original.keys_len);
		if (original.digests)
			digests.assign(original.digests,
				       original.digests + MEDLAR_FACT_BUCKETS);
		if (original.chunk.bytes.len > 0)
			bytes.assign(original.chunk.bytes.ptr,
				     original.chunk.bytes.len);
		message.facts = facts.data();
		message.keys = keys.data();
		message.digests = digests.empty() ? nullptr : digests.data();
		message.chunk.bytes = { bytes.data(), bytes.size() };
	}
};

using DeliveryPtr = std::shared_ptr<Delivery>;

struct DueLater {
	bool operator()(const DeliveryPtr &a, const DeliveryPtr &b) const
	{
		if (a->due != b->due)
			return a->due > b->due;
		return a->seq > b->seq;
	}
};

class Simulation;

struct Node {
	Simulation *sim;
	medlar_client_t client;
	medlar_members_t members;
	std::vector<uint64_t> applied;
	std::map<uint64_t, std::string> documents;
	std::vector<medlar_fact_t> facts;
	bool up = true;
	bool paused = false;
};

inline medlar_member_info_t make_info(const std::string &name,
				      const std::string &zone)
{
	medlar_member_info_t info = {};

	snprintf(info.name, sizeof(info.name), "%s", name.c_str());
	snprintf(info.host, sizeof(info.host), "127.0.0.1");
	snprintf(info.zone, sizeof(info.zone), "%s", zone.c_str());
	info.port = 1;
	info.peer_port = 2;
	return info;
}

class Simulation
{
      public:
	medlar_time_t now = 1;
	double loss = 0;
	medlar_rand_t rand;
	std::map<std::string, std::unique_ptr<Node>> nodes;
	/*
	 * Whether the network delivers from one name to another; default: all.
	 */
	std::function<bool(const std::string &, const std::string &)> can_reach;
	/*
	 * Name of the node that gets the messages to a name; default: itself.
	 */
	std::function<std::string(const std::string &)> route_to;

	explicit Simulation(uint64_t seed) : rand{ seed }
	{
	}

	~Simulation()
	{
		while (!nodes.empty())
			kill(nodes.begin()->first);
	}

	Node &start(const std::string &name, const std::string &zone,
		    uint64_t incarnation)
	{
		auto node = std::make_unique<Node>();
		const medlar_members_ops_t ops = { on_send, on_fact,
						   on_document, node.get() };
		const medlar_member_info_t info = make_info(name, zone);

		node->sim = this;
		medlar_client_init(&node->client, medlar_str_from(info.name), 0,
				   medlar_rand_next(&rand));
		medlar_members_init(&node->client, &node->members, &info,
				    incarnation, &ops, now);
		return *(nodes[name] = std::move(node));
	}

	void seed(Node &node, const std::string &name, const std::string &zone)
	{
		const medlar_member_info_t info = make_info(name, zone);

		medlar_members_add_seed(&node.client, &node.members, &info,
					now);
	}

	/* Stops a node without notice to others, like a power failure. */
	void kill(const std::string &name)
	{
		Node &node = *nodes.at(name);

		medlar_members_finish(&node.client, &node.members);
		medlar_client_finish(&node.client);
		nodes.erase(name);
	}

	bool set_document(Node &node, uint64_t revision,
			  const std::string &text)
	{
		if (medlar_members_set_document(
			    &node.client, &node.members, revision,
			    { text.data(), text.size() }, now) != MEDLAR_OK)
			return false;
		node.applied.push_back(revision);
		node.documents[revision] = text;
		return true;
	}

	void run(medlar_time_t time)
	{
		const medlar_time_t end = now + time;

		for (; now < end; now++) {
			deliver();
			for (auto &[name, node] : nodes)
				if (!node->paused)
					medlar_client_run(&node->client, now);
		}
	}

	medlar_member_state_t state(const Node &node, const std::string &name)
	{
		for (size_t i = 0; i < medlar_members_count(&node.members);
		     i++) {
			medlar_member_t member;

			if (medlar_members_get(&node.members, i, &member) &&
			    member.info->name == name)
				return member.state;
		}
		return MEDLAR_MEMBER_STATES;
	}

	bool all_see(const std::string &name, medlar_member_state_t wanted)
	{
		return std::all_of(nodes.begin(), nodes.end(), [&](auto &it) {
			return state(*it.second, name) == wanted;
		});
	}

      private:
	std::priority_queue<DeliveryPtr, std::vector<DeliveryPtr>, DueLater>
		in_flight_;
	uint64_t next_seq_ = 0;

	static void on_send(const medlar_member_info_t *to,
			    const medlar_message_t *message, void *data)
	{
		auto *node = static_cast<Node *>(data);

		node->sim->enqueue(node->members.self.name, to->name, *message);
	}

	static void on_fact(const medlar_fact_t *fact, void *data)
	{
		static_cast<Node *>(data)->facts.push_back(*fact);
	}

	static void on_document(uint64_t revision, medlar_str_t text,
				void *data)
	{
		auto *node = static_cast<Node *>(data);

		node->applied.push_back(revision);
		node->documents[revision] = std::string(text.ptr, text.len);
	}

	void enqueue(const std::string &from, std::string to,
		     const medlar_message_t &message)
	{
		if (route_to)
			to = route_to(to);
		if (medlar_rand_unit(&rand) < loss)
			return;
		if (can_reach && !can_reach(from, to))
			return;
		auto delivery = std::make_shared<Delivery>(message);
		delivery->due = now + 1 + medlar_rand_below(&rand, 4);
		delivery->seq = next_seq_++;
		delivery->to = to;
		delivery->from = from;
		in_flight_.push(delivery);
	}

	void deliver()
	{
		while (!in_flight_.empty() && in_flight_.top()->due <= now) {
			const DeliveryPtr delivery = in_flight_.top();
			const auto it = nodes.find(delivery->to);

			in_flight_.pop();
			if (it == nodes.end() || it->second->paused)
				continue;
			medlar_members_receive(&it->second->client,
					       &it->second->members,
					       &delivery->message, now);
		}
	}
};

} // namespace member_sim

#endif
