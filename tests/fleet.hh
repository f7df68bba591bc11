/* Instances of the membership on a virtual clock and a lossy network. */
#ifndef TESTS_FLEET_HH
#define TESTS_FLEET_HH

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "libmedlar/medlar.h"

namespace fleet
{

/* A message that owns what it points to. */
struct Letter {
	medlar_time_t due;
	uint64_t order;
	std::string to;
	std::string from;
	medlar_message_t message;
	std::vector<medlar_fact_t> facts;
	std::vector<std::unique_ptr<medlar_member_info_t>> infos;
	std::vector<medlar_fact_key_t> keys;
	std::vector<uint32_t> digests;
	std::string bytes;

	explicit Letter(const medlar_message_t &original) : message(original)
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

using LetterPtr = std::shared_ptr<Letter>;

struct Later {
	bool operator()(const LetterPtr &a, const LetterPtr &b) const
	{
		if (a->due != b->due)
			return a->due > b->due;
		return a->order > b->order;
	}
};

class Fleet;

struct Node {
	Fleet *fleet;
	medlar_client_t client;
	medlar_members_t members;
	std::vector<uint64_t> applied;
	std::map<uint64_t, std::string> documents;
	std::vector<medlar_fact_t> facts;
	bool up = true;
	bool paused = false;
};

inline medlar_member_info_t info_of(const std::string &name,
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

class Fleet
{
      public:
	medlar_time_t now = 1;
	double loss = 0;
	medlar_rand_t rand;
	std::map<std::string, std::unique_ptr<Node>> nodes;
	/* Whether a message may pass; all may by default. */
	std::function<bool(const std::string &, const std::string &)> passes;
	/* Which instance stands in for one that is not run. */
	std::function<std::string(const std::string &)> stand_in;

	explicit Fleet(uint64_t seed) : rand{ seed }
	{
	}

	~Fleet()
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
		const medlar_member_info_t info = info_of(name, zone);

		node->fleet = this;
		medlar_client_init(&node->client, medlar_str_from(info.name), 0,
				   medlar_rand_next(&rand));
		medlar_members_init(&node->client, &node->members, &info,
				    incarnation, &ops, now);
		return *(nodes[name] = std::move(node));
	}

	void seed(Node &node, const std::string &name, const std::string &zone)
	{
		const medlar_member_info_t info = info_of(name, zone);

		medlar_members_seed(&node.client, &node.members, &info, now);
	}

	/* Without a word, as a machine that loses power. */
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
	std::priority_queue<LetterPtr, std::vector<LetterPtr>, Later> letters_;
	uint64_t order_ = 0;

	static void on_send(const medlar_member_info_t *to,
			    const medlar_message_t *message, void *data)
	{
		auto *node = static_cast<Node *>(data);

		node->fleet->post(node->members.self.name, to->name, *message);
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

	void post(const std::string &from, std::string to,
		  const medlar_message_t &message)
	{
		if (stand_in)
			to = stand_in(to);
		if (medlar_rand_unit(&rand) < loss)
			return;
		if (passes && !passes(from, to))
			return;
		auto letter = std::make_shared<Letter>(message);
		letter->due = now + 1 + medlar_rand_below(&rand, 4);
		letter->order = order_++;
		letter->to = to;
		letter->from = from;
		letters_.push(letter);
	}

	void deliver()
	{
		while (!letters_.empty() && letters_.top()->due <= now) {
			const LetterPtr letter = letters_.top();
			const auto it = nodes.find(letter->to);

			letters_.pop();
			if (it == nodes.end() || it->second->paused)
				continue;
			medlar_members_receive(&it->second->client,
					       &it->second->members,
					       &letter->message, now);
		}
	}
};

} /* namespace fleet */

#endif
