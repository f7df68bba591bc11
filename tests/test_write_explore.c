/*
 * Explicit-state model checking of the write protocol: visits every reachable
 * state and checks the invariants in each.
 *
 * The production code of claims and writes runs for two instances against a
 * model of the key-value service and of an upstream. The search branches on
 * each step of the environment: a call takes effect; its reply arrives or is
 * lost; a call that has timed out takes effect later; a timer fires; an
 * instance pauses or crashes; the upstream executes, refuses, or resets the
 * connection; the caller sends a duplicate through either instance. A state is
 * reached by replaying the choices that lead to it. States are compared by a
 * hash that omits absolute times.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "explore_world.h"
#include "explore_steps.h"
#include "explore_state.h"

#define DEPTH_MAX 120
#define STATES_MAX (1u << 22)

typedef struct search {
	const scenario_t *scenario;
	uint64_t *visited;
	size_t states;
	size_t final_states;
	bool violated;
	int path[DEPTH_MAX];
} search_t;

static bool add_state(search_t *search, uint64_t hash)
{
	size_t at = hash % STATES_MAX;

	while (search->visited[at] && search->visited[at] != hash)
		at = (at + 1) % STATES_MAX;
	if (search->visited[at])
		return false;
	search->visited[at] = hash;
	assert_true(++search->states < STATES_MAX / 2);
	return true;
}

static void replay_path(search_t *search, world_t *world, size_t depth)
{
	size_t i;

	init_world(world, search->scenario);
	for (i = 0; i < depth; i++) {
		step_choice_t choice = { search->path[i], 0 };

		take_step(world, &choice);
	}
}

/* Searches from the state of @world, which the path leads to; finishes it. */
static void visit_state(search_t *search, world_t *world, size_t depth)
{
	int actions = count_actions(world);
	int i;

	search->violated = search->violated || !invariants_hold(world);
	if (search->violated || !add_state(search, hash_world(world))) {
		finish_world(world);
		return;
	}
	if (actions == 0) {
		search->final_states++;
		search->violated = !all_answered(world);
	}
	assert_true(depth < DEPTH_MAX);
	for (i = 0; i < actions && !search->violated; i++) {
		step_choice_t choice = { i, 0 };

		search->path[depth] = i;
		if (i > 0)
			replay_path(search, world, depth);
		take_step(world, &choice);
		visit_state(search, world, depth + 1);
	}
	if (actions == 0)
		finish_world(world);
}

static bool explore(const char *name, const scenario_t *scenario,
		    enum mutant fault)
{
	search_t search = { .scenario = scenario };
	world_t world;

	mutant = fault;
	search.visited = calloc(STATES_MAX, sizeof(*search.visited));
	assert_non_null(search.visited);
	replay_path(&search, &world, 0);
	visit_state(&search, &world, 0);
	free(search.visited);
	printf("# %s: %zu states, %zu ends%s\n", name, search.states,
	       search.final_states, search.violated ? ", violated" : "");
	return !search.violated;
}

#define ONE_LAYOUT .layouts = { 1, 1 }

static const scenario_t store_faults = {
	.requests = 2,
	.instance = { 0, 1 },
	.store_faults = 1,
	.crashes = 1,
	ONE_LAYOUT,
};

static const scenario_t upstream_faults = {
	.requests = 2,
	.instance = { 0, 1 },
	.upstream_faults = 1,
	.crashes = 1,
	ONE_LAYOUT,
};

static const scenario_t every_fault = {
	.requests = 1,
	.store_faults = 2,
	.upstream_faults = 1,
	.crashes = 1,
	.pauses = 1,
	ONE_LAYOUT,
};

static const scenario_t same_instance = {
	.requests = 2,
	.store_faults = 1,
	.upstream_faults = 1,
	ONE_LAYOUT,
};

static const scenario_t two_keys = {
	.requests = 2,
	.key = { 0, 1 },
	.store_faults = 1,
	ONE_LAYOUT,
};

static const scenario_t paused = {
	.requests = 2,
	.instance = { 0, 1 },
	.crashes = 1,
	.pauses = 1,
	ONE_LAYOUT,
};

static const scenario_t new_layout = {
	.requests = 2,
	.instance = { 0, 1 },
	.crashes = 1,
	.layouts = { 1, 2 },
};

/* Larger searches; run only with the argument "deep". */
static const scenario_t deep[] = {
	{ .requests = 2,
	  .instance = { 0, 1 },
	  .store_faults = 2,
	  .upstream_faults = 1,
	  .crashes = 1,
	  ONE_LAYOUT },
	{ .requests = 2,
	  .instance = { 0, 1 },
	  .store_faults = 2,
	  .upstream_faults = 1,
	  .pauses = 1,
	  ONE_LAYOUT },
	{ .requests = 3,
	  .instance = { 0, 0, 1 },
	  .store_faults = 1,
	  .upstream_faults = 1,
	  ONE_LAYOUT },
	{ .requests = 2,
	  .key = { 0, 1 },
	  .instance = { 0, 1 },
	  .store_faults = 1,
	  .crashes = 1,
	  ONE_LAYOUT },
	{ .requests = 3,
	  .key = { 0, 1, 0 },
	  .instance = { 0, 0, 1 },
	  .store_faults = 1,
	  ONE_LAYOUT },
	{ .requests = 3,
	  .key = { 0, 1, 0 },
	  .instance = { 0, 0, 1 },
	  .crashes = 1,
	  ONE_LAYOUT },
	{ .requests = 2,
	  .instance = { 0, 1 },
	  .store_faults = 1,
	  .crashes = 1,
	  .layouts = { 1, 2 } },
};

static void holds_in_larger_searches(void **state)
{
	char name[16];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(deep) / sizeof(deep[0]); i++) {
		snprintf(name, sizeof(name), "deep %zu", i);
		assert_true(explore(name, &deep[i], MUTANT_NONE));
	}
}

static void holds_when_store_calls_fail(void **state)
{
	(void)state;
	assert_true(explore("store_faults", &store_faults, MUTANT_NONE));
}

static void holds_when_dispatches_fail(void **state)
{
	(void)state;
	assert_true(explore("upstream_faults", &upstream_faults, MUTANT_NONE));
}

static void holds_for_every_fault_together(void **state)
{
	(void)state;
	assert_true(explore("every_fault", &every_fault, MUTANT_NONE));
}

static void holds_for_repeats_on_one_instance(void **state)
{
	(void)state;
	assert_true(explore("same_instance", &same_instance, MUTANT_NONE));
}

static void holds_for_two_keys_in_one_journal(void **state)
{
	(void)state;
	assert_true(explore("two_keys", &two_keys, MUTANT_NONE));
}

static void holds_for_a_paused_instance(void **state)
{
	(void)state;
	assert_true(explore("paused", &paused, MUTANT_NONE));
}

static void holds_while_the_layout_changes(void **state)
{
	(void)state;
	assert_true(explore("new_layout", &new_layout, MUTANT_NONE));
}

static void finds_dispatch_before_the_claim_is_known(void **state)
{
	(void)state;
	assert_false(
		explore("reply_assumed", &store_faults, MUTANT_REPLY_ASSUMED));
}

static void finds_an_ignored_token(void **state)
{
	(void)state;
	assert_false(
		explore("token_ignored", &store_faults, MUTANT_TOKEN_IGNORED));
}

static void finds_a_layout_passed_without_its_seal(void **state)
{
	(void)state;
	assert_false(explore("seal_skipped", &new_layout, MUTANT_SEAL_SKIPPED));
}

static void finds_a_retry_after_a_reset(void **state)
{
	(void)state;
	assert_false(explore("reset_retried", &upstream_faults,
			     MUTANT_RESET_RETRIED));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest larger[] = {
		cmocka_unit_test(holds_in_larger_searches),
	};
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(holds_when_store_calls_fail),
		cmocka_unit_test(holds_when_dispatches_fail),
		cmocka_unit_test(holds_for_every_fault_together),
		cmocka_unit_test(holds_for_repeats_on_one_instance),
		cmocka_unit_test(holds_for_two_keys_in_one_journal),
		cmocka_unit_test(holds_for_a_paused_instance),
		cmocka_unit_test(holds_while_the_layout_changes),
		cmocka_unit_test(finds_dispatch_before_the_claim_is_known),
		cmocka_unit_test(finds_an_ignored_token),
		cmocka_unit_test(finds_a_layout_passed_without_its_seal),
		cmocka_unit_test(finds_a_retry_after_a_reset),
	};

	if (argc > 1 && strcmp(argv[1], "deep") == 0)
		return cmocka_run_group_tests(larger, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
