/**
 * DOC: tests of parsing instance lists and of choosing addresses for callers
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "medlard/addresses.h"

#define ROUNDS 1000

static void malformed_entries_are_left_out(void **state)
{
	static const char json[] =
		"[{\"Service\":{\"ID\":\"a\",\"Address\":\"10.0.0.1\","
		"\"Port\":80,\"Meta\":{\"shard\":\"2\",\"zone\":\"z2\","
		"\"versions\":\"7,8,x\",\"incarnation\":\"5\","
		"\"state\":\"leaving\"}}},"
		"{\"Service\":{\"ID\":\"b\",\"Address\":\"10.0.0.1\","
		"\"Port\":80,\"Meta\":{\"zone\":\"z1\"}}},"
		"{\"Service\":{\"ID\":\"c\",\"Port\":80,"
		"\"Meta\":{\"shard\":\"1\"}}},"
		"{\"Service\":{\"ID\":\"d\",\"Address\":\"10.0.0.1\","
		"\"Port\":0,\"Meta\":{\"shard\":\"1\"}}},"
		"{\"Service\":[]},null,5]";
	zones_t zones = { 0 };
	medlar_policy_t policy;
	medlar_replica_info_t *infos;
	size_t len;

	(void)state;
	medlar_policy_default(&policy, "s");
	assert_int_equal(zones_intern(&zones, MEDLAR_STR("z1")), 1);
	assert_int_equal(listing_parse_replicas(MEDLAR_STR(json), &zones,
						&policy, &infos, &len),
			 MEDLAR_OK);
	assert_int_equal(len, 1);
	assert_string_equal(infos[0].name, "a");
	assert_int_equal(infos[0].shard, 2);
	assert_int_equal(infos[0].zone, 2);
	assert_int_equal(infos[0].slots, policy.slots);
	assert_int_equal(infos[0].versions[1], 8);
	assert_int_equal(infos[0].versions[2], 0);
	assert_true(infos[0].leaving);
	free(infos);
	assert_int_equal(listing_parse_replicas(MEDLAR_STR("{}"), &zones,
						&policy, &infos, &len),
			 MEDLAR_ERR_SYNTAX);
}

static void init_instance(instance_t *instance, const char *name,
			  const char *zone)
{
	*instance = (instance_t){ .port = 1 };
	snprintf(instance->name, sizeof(instance->name), "%s", name);
	snprintf(instance->zone, sizeof(instance->zone), "%s", zone);
}

static void a_caller_never_gets_a_single_zone(void **state)
{
	medlar_client_t client = { .rand = { 5 } };
	instance_t all[5];
	bool seen[5] = { false };

	(void)state;
	init_instance(&all[0], "a", "z1");
	init_instance(&all[1], "b", "z1");
	init_instance(&all[2], "c", "z1");
	init_instance(&all[3], "d", "z1");
	init_instance(&all[4], "e", "z2");
	for (int i = 0; i < ROUNDS; i++) {
		addresses_choice_t choice;

		addresses_choose(&choice, all, 5, MEDLAR_STR("z1"), &client);
		assert_int_equal(choice.len, 4);
		assert_string_equal(choice.items[0]->zone, "z1");
		assert_string_equal(choice.items[3]->zone, "z2");
		assert_true(choice.weights[0] > choice.weights[3]);
		for (size_t j = 0; j < choice.len; j++)
			seen[choice.items[j] - all] = true;
	}
	for (size_t i = 0; i < 5; i++)
		assert_true(seen[i]);
}

static void leaving_instances_are_not_given_out(void **state)
{
	medlar_client_t client = { .rand = { 5 } };
	addresses_choice_t choice;
	instance_t all[3];

	(void)state;
	init_instance(&all[0], "a", "z1");
	init_instance(&all[1], "b", "z1");
	init_instance(&all[2], "c", "z2");
	all[0].leaving = true;
	for (int i = 0; i < ROUNDS; i++) {
		addresses_choose(&choice, all, 3, MEDLAR_STR("z1"), &client);
		assert_int_equal(choice.len, 2);
		assert_ptr_equal(choice.items[0], &all[1]);
		assert_ptr_equal(choice.items[1], &all[2]);
	}
	all[1].leaving = true;
	all[2].leaving = true;
	addresses_choose(&choice, all, 3, MEDLAR_STR(""), &client);
	assert_int_equal(choice.len, 0);
}

static void callers_of_no_zone_get_equal_weights(void **state)
{
	medlar_client_t client = { .rand = { 5 } };
	addresses_choice_t choice;
	instance_t all[2];

	(void)state;
	init_instance(&all[0], "a", "z1");
	init_instance(&all[1], "b", "z2");
	addresses_choose(&choice, all, 2, MEDLAR_STR("elsewhere"), &client);
	assert_int_equal(choice.len, 2);
	assert_int_equal(choice.weights[0], choice.weights[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(malformed_entries_are_left_out),
		cmocka_unit_test(a_caller_never_gets_a_single_zone),
		cmocka_unit_test(leaving_instances_are_not_given_out),
		cmocka_unit_test(callers_of_no_zone_get_equal_weights),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
