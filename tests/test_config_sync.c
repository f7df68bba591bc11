/* Choice of addresses for callers, and checks of received documents. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "libmedlar/medlar.h"

#define CALLERS 3000

static void choose_for_callers(medlar_client_t *client,
			       const medlar_address_t *from, size_t len,
			       uint64_t zone, unsigned *first)
{
	medlar_address_t out[MEDLAR_ADDRESSES_MAX];
	uint64_t caller;

	for (caller = 1; caller <= CALLERS; caller++) {
		size_t chosen = medlar_address_choose(client, from, len, zone,
						      caller, out);

		assert_int_equal(chosen, MEDLAR_ADDRESSES_MAX);
		assert_int_equal(out[0].zone, zone);
		assert_true(out[3].zone != zone || out[2].zone != zone ||
			    out[1].zone != zone);
		first[out[0].id % 100]++;
	}
}

static void callers_spread_over_near_instances_and_span_zones(void **state)
{
	medlar_address_t from[20];
	unsigned first[20] = { 0 };
	medlar_client_t client;
	unsigned i;

	(void)state;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	for (i = 0; i < 20; i++)
		from[i] = (medlar_address_t){ .id = 7100 + i, .zone = i % 2 };
	choose_for_callers(&client, from, 20, 1, first);
	for (i = 0; i < 20; i++)
		if (i % 2 == 1)
			assert_in_range(first[i], CALLERS / 20, CALLERS / 5);
	medlar_client_finish(&client);
}

static void nothing_is_chosen_from_nothing(void **state)
{
	medlar_address_t out[MEDLAR_ADDRESSES_MAX];
	medlar_client_t client;

	(void)state;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	assert_int_equal(medlar_address_choose(&client, NULL, 0, 1, 1, out), 0);
	medlar_client_finish(&client);
}

static void times_to_live_differ_between_callers(void **state)
{
	medlar_client_t client;
	medlar_time_t least = MEDLAR_HOUR;
	medlar_time_t most = 0;
	unsigned i;

	(void)state;
	medlar_client_init(&client, MEDLAR_STR("a"), 0, 1);
	for (i = 0; i < 100; i++) {
		medlar_time_t ttl = medlar_address_ttl(&client, 10000);

		least = ttl < least ? ttl : least;
		most = ttl > most ? ttl : most;
	}
	assert_in_range(least, 8000, 8500);
	assert_in_range(most, 9500, 10000);
	medlar_client_finish(&client);
}

static void ignore_message(const medlar_member_info_t *to,
			   const medlar_message_t *message, void *data)
{
	(void)to;
	(void)message;
	(void)data;
}

static void init_members(medlar_client_t *client, medlar_members_t *members)
{
	const medlar_members_ops_t ops = { .send = ignore_message };
	const medlar_member_info_t self = { .name = "a", .zone = "z" };

	medlar_client_init(client, MEDLAR_STR("a"), 0, 1);
	assert_int_equal(
		medlar_members_init(client, members, &self, 1, &ops, 0),
		MEDLAR_OK);
}

static void a_revision_that_is_not_higher_is_refused(void **state)
{
	medlar_members_t members;
	medlar_client_t client;

	(void)state;
	init_members(&client, &members);
	assert_int_equal(medlar_members_set_document(&client, &members, 5,
						     MEDLAR_STR("five"), 0),
			 MEDLAR_OK);
	assert_int_equal(medlar_members_set_document(&client, &members, 5,
						     MEDLAR_STR("5"), 0),
			 MEDLAR_ERR_STALE);
	assert_int_equal(medlar_members_set_document(&client, &members, 4,
						     MEDLAR_STR("four"), 0),
			 MEDLAR_ERR_STALE);
	assert_string_equal(medlar_members_document(&members).ptr, "five");
	medlar_members_finish(&client, &members);
	medlar_client_finish(&client);
}

static void chunks_that_contradict_themselves_are_dropped(void **state)
{
	const medlar_member_info_t info = { .name = "b", .zone = "z" };
	medlar_chunk_t bad[] = {
		{ .total = MEDLAR_DOCUMENT_MAX + 1 },
		{ .total = 4, .offset = 1024, .bytes = MEDLAR_STR("abcd") },
		{ .total = 4, .offset = 3, .bytes = MEDLAR_STR("a") },
		{ .total = 3, .bytes = MEDLAR_STR("abcd") },
		{ .total = 4, .prefix = 1, .bytes = MEDLAR_STR("abcd") },
		{ .base = 1, .prefix = 9, .suffix = 9 },
		{ .base = 2 },
		{ .total = 4, .hash = 1, .bytes = MEDLAR_STR("abcd") },
	};
	medlar_message_t message = { .kind = MEDLAR_MESSAGE_CHUNK,
				     .revision = 9 };
	medlar_fact_t fact = { .kind = MEDLAR_FACT_MEMBER,
			       .revision = 4,
			       .ttl = MEDLAR_TIME_NEVER,
			       .member = &info };
	medlar_members_t members;
	medlar_client_t client;
	size_t i;

	(void)state;
	init_members(&client, &members);
	medlar_members_set_document(&client, &members, 1, MEDLAR_STR("one"), 0);
	message.from = medlar_str_hash(MEDLAR_STR("b"), 0);
	fact.subject = message.from;
	message.facts = &fact;
	message.facts_len = 1;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		message.chunk = bad[i];
		medlar_members_receive(&client, &members, &message, 1);
		assert_int_equal(medlar_members_revision(&members), 1);
	}
	message.chunk = (medlar_chunk_t){ .total = 4,
					  .bytes = MEDLAR_STR("abcd") };
	message.chunk.hash = medlar_str_hash(MEDLAR_STR("abcd"), 9);
	medlar_members_receive(&client, &members, &message, 2);
	assert_int_equal(medlar_members_revision(&members), 9);
	medlar_members_finish(&client, &members);
	medlar_client_finish(&client);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			callers_spread_over_near_instances_and_span_zones),
		cmocka_unit_test(nothing_is_chosen_from_nothing),
		cmocka_unit_test(times_to_live_differ_between_callers),
		cmocka_unit_test(a_revision_that_is_not_higher_is_refused),
		cmocka_unit_test(chunks_that_contradict_themselves_are_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
