/* Properties of journals, layouts and keys; journals against a simple model. */
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "prop.hh"

/* Holds a few entries, so that results have to be dropped. */
static const size_t size_limit = 1500;
static const medlar_time_t base_time = 1000000;

struct ModelEntry {
	uint8_t token;
	medlar_claim_state_t state;
	std::string result;
};

using JournalModel = std::map<std::string, ModelEntry>;

struct Step {
	uint8_t key;
	uint8_t token;
	uint8_t state;
	uint8_t length;
};

namespace rc
{
template <> struct Arbitrary<Step> {
	static Gen<Step> arbitrary()
	{
		return gen::build<Step>(
			gen::set(&Step::key, gen::inRange<uint8_t>(0, 40)),
			gen::set(&Step::token),
			gen::set(&Step::state, gen::inRange<uint8_t>(0, 3)),
			gen::set(&Step::length));
	}
};
} // namespace rc

static std::ostream &operator<<(std::ostream &out, const Step &step)
{
	return out << int(step.key) << '/' << int(step.token) << '/'
		   << int(step.state) << '/' << int(step.length);
}

static medlar_uuid_t make_key(uint8_t number)
{
	uint8_t random[10] = { number };
	medlar_uuid_t key;

	medlar_uuid_make(&key, base_time + number % 8, random);
	return key;
}

static std::string key_bytes(const medlar_uuid_t &key)
{
	return std::string((const char *)key.bytes, MEDLAR_UUID_LEN);
}

/* Claims the key, or records an outcome if it is already claimed. */
static void apply_step(medlar_journal_t *journal, JournalModel &map,
		       const Step &step)
{
	medlar_journal_entry_t entry = {};
	std::string result(step.length, 'x');
	auto state = (medlar_claim_state_t)step.state;

	entry.key = make_key(step.key);
	entry.token.bytes[0] = step.token;
	entry.time = base_time;
	auto at = map.find(key_bytes(entry.key));
	int error = medlar_journal_claim(journal, &entry, size_limit);

	if (at == map.end() || at->second.state == MEDLAR_CLAIM_NOT_RUN) {
		RC_ASSERT(error == MEDLAR_OK || error == MEDLAR_ERR_FULL);
		if (error == MEDLAR_OK)
			map[key_bytes(entry.key)] = { step.token,
						      MEDLAR_CLAIM_CLAIMED,
						      "" };
		return;
	}
	RC_ASSERT(error == MEDLAR_ERR_CONFLICT);
	medlar_journal_entry_t *held = medlar_journal_find(journal, &entry.key);
	medlar_str_t str = { result.data(), result.size() };

	RC_ASSERT(medlar_journal_record(journal, held, state, str,
					size_limit) == MEDLAR_OK);
	at->second.state = state;
	at->second.result = state == MEDLAR_CLAIM_RAN ? result : "";
}

/* Keys, tokens and states must be equal; a result is complete or dropped. */
static void check_against_model(const medlar_journal_t *journal,
				const JournalModel &map)
{
	RC_ASSERT(journal->len == map.size());
	RC_ASSERT(journal->size <= size_limit);
	for (size_t i = 0; i < journal->len; i++) {
		const medlar_journal_entry_t *entry = &journal->entries[i];
		auto at = map.find(key_bytes(entry->key));
		medlar_str_t result = medlar_journal_result(journal, entry);

		RC_ASSERT(at != map.end());
		RC_ASSERT(entry->token.bytes[0] == at->second.token);
		RC_ASSERT(entry->state == at->second.state);
		RC_ASSERT(result.len == 0 ||
			  at->second.result ==
				  std::string(result.ptr, result.len));
	}
}

static void round_trip(const std::vector<Step> &steps)
{
	medlar_journal_t journal;
	medlar_journal_t copy;
	medlar_buf_t value;
	medlar_buf_t again;
	JournalModel map;

	medlar_journal_init(&journal);
	medlar_journal_init(&copy);
	medlar_buf_init(&value);
	medlar_buf_init(&again);
	for (const Step &step : steps)
		apply_step(&journal, map, step);
	check_against_model(&journal, map);
	medlar_journal_encode(&journal, &value);
	RC_ASSERT(value.len == journal.size);
	RC_ASSERT(medlar_journal_decode(&copy, medlar_buf_str(&value)) ==
		  MEDLAR_OK);
	check_against_model(&copy, map);
	RC_ASSERT(copy.size == journal.size);
	medlar_journal_encode(&copy, &again);
	RC_ASSERT(medlar_str_equal(medlar_buf_str(&value),
				   medlar_buf_str(&again)));
	medlar_journal_finish(&journal);
	medlar_journal_finish(&copy);
	medlar_buf_finish(&value);
	medlar_buf_finish(&again);
}

static void expiry_keeps_window(const std::vector<Step> &steps, uint8_t age)
{
	medlar_time_t oldest = base_time + age % 10;
	medlar_journal_t journal;
	JournalModel map;

	medlar_journal_init(&journal);
	for (const Step &step : steps)
		apply_step(&journal, map, step);
	medlar_journal_expire(&journal, oldest);
	for (auto at = map.begin(); at != map.end();) {
		medlar_uuid_t key;

		memcpy(key.bytes, at->first.data(), MEDLAR_UUID_LEN);
		if (medlar_uuid_time(&key) >= oldest) {
			at++;
			continue;
		}
		RC_ASSERT(journal.low_watermark >= medlar_uuid_time(&key));
		at = map.erase(at);
	}
	RC_ASSERT(journal.low_watermark < oldest);
	check_against_model(&journal, map);
	medlar_journal_finish(&journal);
}

static void decode_rejects_damage(const std::vector<Step> &steps, uint32_t at,
				  uint8_t bits)
{
	medlar_journal_t journal;
	medlar_buf_t value;
	JournalModel map;

	RC_PRE(bits != 0);
	medlar_journal_init(&journal);
	medlar_buf_init(&value);
	for (const Step &step : steps)
		apply_step(&journal, map, step);
	medlar_journal_encode(&journal, &value);
	value.ptr[at % value.len] ^= (char)bits;
	medlar_journal_finish(&journal);
	RC_ASSERT(medlar_journal_decode(&journal, medlar_buf_str(&value)) ==
		  MEDLAR_ERR_PROTOCOL);
	RC_ASSERT(journal.len == 0u);
	medlar_buf_finish(&value);
}

static void parsers_reject_garbage(const std::string &bytes)
{
	medlar_journal_t journal;
	medlar_layouts_t layouts;
	medlar_uuid_t uuid;
	medlar_str_t str = { bytes.data(), bytes.size() };

	RC_PRE(!bytes.empty());
	medlar_journal_init(&journal);
	RC_ASSERT(medlar_journal_decode(&journal, str) == MEDLAR_ERR_PROTOCOL);
	RC_ASSERT(medlar_uuid_parse(str, &uuid) == MEDLAR_ERR_SYNTAX);
	medlar_layouts_parse(&layouts, str);
}

static void uuid_text(uint64_t time, std::vector<uint8_t> random)
{
	char text[MEDLAR_UUID_TEXT_LEN + 1];
	medlar_uuid_t key;
	medlar_uuid_t copy;

	random.resize(10);
	time &= (UINT64_C(1) << 48) - 1;
	medlar_uuid_make(&key, (medlar_time_t)time, random.data());
	RC_ASSERT((uint64_t)medlar_uuid_time(&key) == time);
	medlar_uuid_format(&key, text);
	RC_ASSERT(medlar_uuid_parse(medlar_str_from(text), &copy) == MEDLAR_OK);
	RC_ASSERT(key_bytes(key) == key_bytes(copy));
}

static void layout_text(uint32_t partitions, uint32_t window)
{
	medlar_layout_t layout = medlar_layout_make(partitions, window, 5);
	medlar_layouts_t layouts = {};
	medlar_layouts_t copy;
	medlar_buf_t text;

	medlar_buf_init(&text);
	RC_ASSERT(medlar_layouts_add(&layouts, &layout));
	RC_ASSERT(!medlar_layouts_add(&layouts, &layout));
	medlar_layouts_write(&layouts, &text);
	RC_ASSERT(medlar_layouts_parse(&copy, medlar_buf_str(&text)) ==
		  MEDLAR_OK);
	RC_ASSERT(copy.len == 1u);
	RC_ASSERT(copy.items[0].partitions == layout.partitions);
	RC_ASSERT(copy.items[0].group_period == layout.group_period);
	RC_ASSERT(copy.items[0].revision == 5u);
	medlar_buf_finish(&text);
}

/* A group receives claims again only when its keys are past the window. */
static void rotation_outlasts_window(uint8_t partitions, uint16_t window,
				     uint16_t apart)
{
	medlar_layout_t layout = medlar_layout_make(partitions, window, 1);
	uint8_t random[10] = { 1 };
	medlar_uuid_t a;
	medlar_uuid_t b;

	medlar_uuid_make(&a, base_time, random);
	medlar_uuid_make(&b, base_time + apart, random);
	RC_ASSERT(medlar_layout_locate(&layout, &a) < layout.partitions);
	if (layout.groups == 1 || apart > window)
		return;
	uint32_t width = layout.partitions / layout.groups;
	bool same_turn = base_time / layout.group_period ==
			 (base_time + apart) / layout.group_period;
	bool same_group = medlar_layout_locate(&layout, &a) / width ==
			  medlar_layout_locate(&layout, &b) / width;

	RC_ASSERT(same_turn == same_group);
}

int main()
{
	Properties props(7);

	props.check("stored_form_round_trips", round_trip);
	props.check("expiry_keeps_every_entry_in_the_window",
		    expiry_keeps_window);
	props.check("damaged_journals_are_rejected", decode_rejects_damage);
	props.check("random_bytes_are_rejected", parsers_reject_garbage);
	props.check("uuid_text_round_trips", uuid_text);
	props.check("layout_text_round_trips", layout_text);
	props.check("group_rotation_outlasts_the_window",
		    rotation_outlasts_window);
	return props.status();
}
