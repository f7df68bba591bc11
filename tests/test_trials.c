/*
 * Requests that crashed replicas and return long after their conviction, at all
 * routers at once.
 */
#include "tests/router_sim.h"

#define FINGERPRINT ((uint64_t)4711)
/* Time after the last crash at which the request returns. */
#define RETURN_MS (97 * MEDLAR_SECOND)

static const size_t sizes[] = { 4, 24, 118 };
#define SIZES_LEN (sizeof(sizes) / sizeof(sizes[0]))

typedef struct counts {
	int granted;
	int refused;
	daemon_state_t *granted_at;
} counts_t;

static counts_t counts;

static void count_decision(h1_conn_t *conn, bool granted, medlar_time_t waited,
			   void *data)
{
	const forward_t *forward = data;

	(void)conn;
	(void)waited;
	counts.granted += granted;
	counts.refused += !granted;
	if (granted)
		counts.granted_at = forward->data;
}

static void convict(suspects_t *suspects, medlar_time_t now)
{
	for (unsigned i = 1; i <= SUSPECT_BREAKS; i++)
		(void)suspects_add_crash(suspects, FINGERPRINT, i,
					 now - RETURN_MS);
}

static router_sim_t *begin(size_t len)
{
	router_sim_t *sim = sim_begin(len, len);

	sim_run_for(sim, 4 * MEDLAR_SECOND);
	for (size_t i = 0; i < len; i++) {
		forward_t *forward = &sim->routers[i].state->forward;

		forward->trials.resume = count_decision;
		convict(&forward->suspects, sim->now);
	}
	counts = (counts_t){ 0 };
	return sim;
}

static size_t find_owner(const router_sim_t *sim)
{
	for (size_t i = 0; i < sim->len; i++)
		if (!peers_owner_of(&sim->routers[i].state->peers, FINGERPRINT))
			return i;
	fail_msg("no router decides");
	return 0;
}

/* Sends the request to all routers in the same moment, as a caller does. */
static void send_to_all(router_sim_t *sim, bool owner_gets_it)
{
	size_t owner = find_owner(sim);
	static h1_conn_t conn;

	for (size_t i = 0; i < sim->len; i++) {
		forward_t *forward = &sim->routers[i].state->forward;

		if (i != owner)
			assert_int_equal(trials_ask(&forward->trials, &conn,
						    FINGERPRINT),
					 MEDLAR_OK);
		else if (owner_gets_it)
			counts.granted += suspects_grant_trial(
				&forward->suspects, FINGERPRINT, sim->now);
	}
	sim_run_for(sim, 500);
}

/*
 * Guards against BUDGET: half a minute after the end of a conviction each router let
 * the request pass, and it crashed all replicas of its service at once.
 */
static void a_return_costs_one_trial_at_any_number_of_routers(void **state)
{
	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);

		send_to_all(sim, i % 2);
		assert_int_equal(counts.granted, 1);
		assert_int_equal(counts.refused, sizes[i] - 2 + i % 2);
		sim_end(sim);
	}
}

static void
it_costs_one_trial_if_the_deciding_router_has_restarted(void **state)
{
	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		size_t owner = find_owner(sim);

		sim_kill_router(sim, owner);
		sim_run_for(sim, 300);
		sim_start_router(sim, owner);
		sim_run_for(sim, 4 * MEDLAR_SECOND);
		send_to_all(sim, false);
		assert_int_equal(counts.granted, 1);
		sim_end(sim);
	}
}

/* Whoever decides is gone: another one does, and nobody waits for long. */
static void it_is_decided_without_the_router_that_decided(void **state)
{
	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		size_t owner = find_owner(sim);
		size_t asker = (owner + 1) % sim->len;
		static h1_conn_t conn;

		sim_kill_router(sim, owner);
		(void)trials_ask(&sim->routers[asker].state->forward.trials,
				 &conn, FINGERPRINT);
		sim_run_for(sim, 200);
		assert_int_equal(counts.granted, 0);
		assert_int_equal(counts.refused, 1);
		sim_start_router(sim, owner);
		sim_end(sim);
	}
}

/* The trial was answered: the others are not held back one by one. */
static void an_answer_ends_the_conviction_for_all(void **state)
{
	router_sim_t *sim = begin(24);

	(void)state;
	send_to_all(sim, false);
	assert_int_equal(counts.granted, 1);
	trials_report_answer(&counts.granted_at->forward.trials, FINGERPRINT);
	sim_run_for(sim, 50);
	send_to_all(sim, false);
	assert_int_equal(counts.granted, 24);
	sim_end(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			a_return_costs_one_trial_at_any_number_of_routers),
		cmocka_unit_test(
			it_costs_one_trial_if_the_deciding_router_has_restarted),
		cmocka_unit_test(it_is_decided_without_the_router_that_decided),
		cmocka_unit_test(an_answer_ends_the_conviction_for_all),
	};

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
