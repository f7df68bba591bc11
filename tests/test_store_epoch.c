/*
 * The store goes away for a moment and comes back from a copy some seconds old, on a
 * virtual clock.
 */
#include "tests/router_sim.h"

#define REPLICAS 12
#define SETTLE_MS (6 * MEDLAR_SECOND)
#define AWAY_MS 700
#define AGE_MS (4 * MEDLAR_SECOND)
#define REWRITE_MS 1700
/* Time after which all routers hold what the store holds. */
#define CONVERGE_MS (3 * MEDLAR_SECOND)
#define CONTACT_MS (4 * MEDLAR_SECOND)

static const size_t sizes[] = { 4, 31, 118 };
#define SIZES_LEN (sizeof(sizes) / sizeof(sizes[0]))

static void put_config(router_sim_t *sim, unsigned version)
{
	char value[512];

	(void)snprintf(
		value, sizeof(value),
		"{\"version\":%u,\"routes\":[{\"name\":\"r\",\"hostname\":"
		"\"h\",\"pathPrefix\":\"/a/\",\"type\":\"idempotent\","
		"\"timeoutMs\":2000,\"targetLatencyMs\":500,\"priority\":1,"
		"\"service\":\"service\",\"maxAttempts\":2}],\"services\":"
		"[{\"name\":\"service\",\"maxConns\":40}],\"limits\":"
		"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		version);
	site_store_put(&sim->store, "op/config", value, 0);
}

static router_sim_t *begin(size_t len)
{
	router_sim_t *sim = sim_begin(len, len);

	sim->store.epoch = 7;
	put_config(sim, 1);
	for (unsigned i = 0; i < REPLICAS; i++)
		sim_put_replica(sim, i, 1, "ready");
	sim_run_for(sim, SETTLE_MS);
	return sim;
}

static void set_gates(router_sim_t *sim, site_gate_state_t state)
{
	for (size_t i = 0; i < sim->len; i++)
		site_gate_set(&sim->routers[i].gate, state);
}

static void play_drill(router_sim_t *sim, site_gate_state_t how,
		       medlar_time_t age)
{
	set_gates(sim, how);
	sim_run_for(sim, AWAY_MS);
	site_store_come_back(&sim->store, age);
	set_gates(sim, SITE_GATE_OPEN);
}

static uint64_t config_version(const router_sim_t *sim, size_t router)
{
	const daemon_state_t *state = sim->routers[router].state;

	return state->forward.routes ? state->forward.routes->version : 0;
}

static const mirror_entry_t *find_entry(const mirror_t *mirror, const char *key)
{
	for (size_t i = 0; i < mirror->len; i++)
		if (medlar_str_equal(medlar_buf_str(&mirror->entries[i].key),
				     medlar_str_from(key)))
			return &mirror->entries[i];
	return NULL;
}

/* Fails unless a router holds exactly what the store holds. */
static void expect_same(const router_sim_t *sim, size_t router)
{
	const mirror_t *mirror = &sim->routers[router].state->mirror;
	size_t count = 0;

	for (size_t i = 0; i < sim->store.items_len; i++) {
		const site_item_t *item = &sim->store.items[i];
		const mirror_entry_t *entry = find_entry(mirror, item->key);

		if (!item->value) {
			assert_null(entry);
			continue;
		}
		count++;
		if (!entry ||
		    !medlar_str_equal(medlar_buf_str(&entry->value),
				      medlar_str_from(item->value)) ||
		    entry->state != MIRROR_LISTED)
			fail_msg("router %zu of %zu does not hold %s", router,
				 sim->len, item->key);
	}
	assert_int_equal(mirror->len, count);
	assert_int_equal(mirror->position.epoch, sim->store.epoch);
}

static void expect_converged(router_sim_t *sim)
{
	sim_run_for(sim, CONVERGE_MS);
	for (size_t i = 0; i < sim->len; i++)
		if (sim->routers[i].state)
			expect_same(sim, i);
}

/*
 * A watch from a revision that was given out again is answered as if nothing were
 * missing: what was written before that revision was never seen.
 */
static void no_change_is_missed_after_a_drill(void **state)
{
	(void)state;
	for (int how = SITE_GATE_BUSY; how <= SITE_GATE_SILENT; how++)
		for (medlar_time_t age = 500; age <= 6500; age += 1500) {
			router_sim_t *sim = begin(4);

			for (unsigned i = 0; i < 6; i++) {
				sim_put_replica(sim, i, 2, "ready");
				sim_run_for(sim, 900);
			}
			play_drill(sim, (site_gate_state_t)how, age);
			/* More changes than were lost, before anybody looks. */
			for (unsigned i = 0; i < 10; i++)
				sim_put_replica(sim, 20 + i, 1, "ready");
			site_store_write_again(&sim->store, age % 1000 != 0);
			expect_converged(sim);
			sim_put_replica(sim, 40, 1, "ready");
			expect_converged(sim);
			sim_end(sim);
		}
}

static void drills_in_series_are_survived(void **state)
{
	router_sim_t *sim = begin(4);

	(void)state;
	for (unsigned i = 0; i < 8; i++) {
		sim_put_replica(sim, i, 3, "ready");
		sim_run_for(sim, 150 + 400 * (medlar_time_t)(i % 3));
		play_drill(sim, (site_gate_state_t)(1 + i % 3), 600 + 700 * i);
		site_store_write_again(&sim->store, i % 2);
		sim_put_replica(sim, 20 + i, 1, "ready");
	}
	expect_converged(sim);
	sim_end(sim);
}

/* Replicas that were leaving or gone stay so, though the old copy lists them. */
static void what_has_left_stays_out_of_use(void **state)
{
	const unsigned draining = 0;
	const unsigned gone = 1;

	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		size_t starter = sim->len - 1;
		medlar_time_t started_at;

		sim_put_replica(sim, draining, 2, "draining");
		sim_remove_replica(sim, gone);
		sim_run_for(sim, 1500);
		play_drill(sim, SITE_GATE_RESET, AGE_MS);
		assert_non_null(site_store_find(&sim->store, "servers/s-1"));
		sim_kill_router(sim, starter);
		sim_run_for(sim, 100);
		sim_start_router(sim, starter);
		started_at = sim->now;
		while (sim->now < started_at + CONTACT_MS + REWRITE_MS) {
			sim_step(sim);
			for (size_t j = 0; j < sim->len; j++) {
				if (j == starter &&
				    sim->now < started_at + CONTACT_MS)
					continue;
				assert_false(
					sim_uses_replica(sim, j, draining));
				assert_false(sim_uses_replica(sim, j, gone));
			}
		}
		site_store_write_again(&sim->store, false);
		expect_converged(sim);
		sim_put_replica(sim, gone, 2, "ready");
		expect_converged(sim);
		for (size_t j = 0; j < sim->len; j++)
			assert_true(sim_uses_replica(sim, j, gone));
		sim_end(sim);
	}
}

/* Replicas that the old copy lacks are used until they are written again. */
static void what_the_copy_lacks_is_used_meanwhile(void **state)
{
	const unsigned back = 30;
	const unsigned away = 31;

	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		medlar_time_t returned_at;

		sim_put_replica(sim, back, 1, "ready");
		sim_put_replica(sim, away, 1, "ready");
		sim_run_for(sim, 1500);
		play_drill(sim, SITE_GATE_BUSY, AGE_MS);
		returned_at = sim->now;
		while (sim->now < returned_at + CONTACT_MS) {
			sim_step(sim);
			if (sim->now == returned_at + REWRITE_MS)
				sim_put_replica(sim, back, 1, "ready");
			for (size_t j = 0; j < sim->len; j++)
				assert_true(sim_uses_replica(sim, j, back));
		}
		sim_run_for(sim, CONVERGE_MS);
		for (size_t j = 0; j < sim->len; j++)
			assert_false(sim_uses_replica(sim, j, away));
		sim_end(sim);
	}
}

static void the_configuration_never_goes_back(void **state)
{
	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		size_t starter = sim->len / 2;

		put_config(sim, 5);
		sim_run_for(sim, 1500);
		play_drill(sim, SITE_GATE_SILENT, AGE_MS);
		sim_kill_router(sim, starter);
		sim_run_for(sim, 100);
		sim_start_router(sim, starter);
		sim_run_for(sim, CONTACT_MS);
		for (size_t j = 0; j < sim->len; j++)
			assert_int_equal(config_version(sim, j), 5);
		site_store_write_again(&sim->store, true);
		put_config(sim, 9);
		expect_converged(sim);
		for (size_t j = 0; j < sim->len; j++)
			assert_int_equal(config_version(sim, j), 9);
		sim_end(sim);
	}
}

/* Reached by nobody during the drill: it has the old epoch, and serves it to nobody. */
static void a_router_that_was_cut_brings_nothing_back(void **state)
{
	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		size_t cut = sim->len / 3;

		sim_put_replica(sim, 0, 2, "ready");
		sim_run_for(sim, 1000);
		sim_cut_peers(sim, cut);
		site_gate_set(&sim->routers[cut].gate, SITE_GATE_SILENT);
		play_drill(sim, SITE_GATE_RESET, AGE_MS);
		site_gate_set(&sim->routers[cut].gate, SITE_GATE_SILENT);
		sim_put_replica(sim, 0, 3, "draining");
		sim_remove_replica(sim, 1);
		sim_run_for(sim, 3000);
		sim_join_peers(sim, cut);
		if (i % 2)
			site_gate_set(&sim->routers[cut].gate, SITE_GATE_OPEN);
		expect_converged(sim);
		site_gate_set(&sim->routers[cut].gate, SITE_GATE_OPEN);
		sim_run_for(sim, CONVERGE_MS);
		expect_converged(sim);
		sim_end(sim);
	}
}

/* Each writes its entry again under a lease of the new epoch, not all at once. */
static void entries_are_written_again_without_a_storm(void **state)
{
	(void)state;
	for (size_t i = 0; i < SIZES_LEN; i++) {
		router_sim_t *sim = begin(sizes[i]);
		site_counts_t before;
		unsigned in_a_second = 0;
		char key[64];

		sim_run_for(sim, AGE_MS);
		play_drill(sim, SITE_GATE_BUSY, 2 * AGE_MS + SETTLE_MS);
		before = sim->store.counts;
		for (int second = 0; second < 4; second++) {
			unsigned writes = sim->store.counts.writes;

			sim_run_for(sim, MEDLAR_SECOND);
			writes = sim->store.counts.writes - writes;
			if (writes > in_a_second)
				in_a_second = writes;
		}
		for (size_t j = 0; j < sim->len; j++) {
			(void)snprintf(key, sizeof(key),
				       "medlar/instances/r-%03zu", j);
			assert_non_null(site_store_find(&sim->store, key));
		}
		/* A grant and a write each; a few may have lost a call. */
		assert_in_range(sim->store.counts.writes - before.writes,
				2 * sim->len, 3 * sim->len + 8);
		assert_true(in_a_second <= 2 * sim->len);
		assert_true(sim->store.counts.lists - before.lists <= 12);
		print_message(
			"%zu routers: %u writes (%u in a second), %u "
			"lists, %u watches in 4 s after a drill\n",
			sim->len, sim->store.counts.writes - before.writes,
			in_a_second, sim->store.counts.lists - before.lists,
			sim->store.counts.watches - before.watches);
		sim_end(sim);
	}
}

/* What a header says that tells no epoch stops nothing. */
static void bad_headers_change_nothing(void **state)
{
	static const char *const texts[] = {
		" ", "-8", "8.5", "x", "8 9", "99999999999999999999", "6", "3",
	};
	router_sim_t *sim = begin(4);

	(void)state;
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		(void)snprintf(sim->store.epoch_text,
			       sizeof(sim->store.epoch_text), "%s", texts[i]);
		sim_put_replica(sim, 50 + (unsigned)i, 1, "ready");
		sim_run_for(sim, CONVERGE_MS);
		for (size_t j = 0; j < sim->len; j++)
			assert_int_equal(sim->routers[j].state->store.epoch, 7);
		/* A lower epoch is that of another copy: nothing is taken. */
		assert_int_equal(sim_uses_replica(sim, 0, 50 + (unsigned)i),
				 i < 6);
	}
	sim->store.epoch_text[0] = '\0';
	expect_converged(sim);
	sim->store.epoch += 5;
	sim_put_replica(sim, 70, 1, "ready");
	expect_converged(sim);
	sim_end(sim);
}

/* A store of an earlier version tells no epoch, and one that does comes after it. */
static void a_store_that_tells_none_is_served_as_before(void **state)
{
	router_sim_t *sim = begin(4);

	(void)state;
	sim_end(sim);
	sim = sim_begin(4, 4);
	put_config(sim, 1);
	sim_put_replica(sim, 0, 1, "ready");
	expect_converged(sim);
	sim->store.epoch = 1;
	sim_put_replica(sim, 1, 1, "ready");
	expect_converged(sim);
	sim_end(sim);
}

#define DAY_EVENTS 14
#define DAYS 12
/* Replicas of a random day; half of them never leave. */
#define DAY_REPLICAS 8

/* What the replicas and the operator have written last. */
typedef struct day {
	router_sim_t *sim;
	unsigned seqs[DAY_REPLICAS];
	bool left[DAY_REPLICAS];
	unsigned version;
	uint64_t versions[SIM_ROUTERS_MAX]; /* in force, by router */
} day_t;

/* Steps on, and checks that nothing goes back. */
static void run_day(day_t *day, medlar_time_t span)
{
	router_sim_t *sim = day->sim;
	medlar_time_t end = sim->now + span;

	while (sim->now < end) {
		sim_step(sim);
		for (size_t i = 0; i < sim->len; i++) {
			uint64_t version = sim->routers[i].state
						   ? config_version(sim, i)
						   : 0;

			if (sim->routers[i].state && version < day->versions[i])
				fail_msg("router %zu goes back from %d to %d",
					 i, (int)day->versions[i],
					 (int)version);
			day->versions[i] = version;
		}
	}
}

static void write_as_it_is(day_t *day, unsigned replica)
{
	if (day->left[replica])
		sim_remove_replica(day->sim, replica);
	else
		sim_put_replica(day->sim, replica, ++day->seqs[replica],
				"ready");
}

static void play_event(day_t *day)
{
	router_sim_t *sim = day->sim;
	unsigned replica = (unsigned)medlar_rand_below(&sim->rand,
						       DAY_REPLICAS);
	size_t router = medlar_rand_below(&sim->rand, sim->len);

	switch (medlar_rand_below(&sim->rand, 8)) {
	case 0:
		put_config(sim, ++day->version);
		break;
	case 1:
		day->left[replica] = replica >= DAY_REPLICAS / 2;
		write_as_it_is(day, replica);
		break;
	case 2:
	case 3:
		write_as_it_is(day, replica);
		break;
	case 4:
		sim_kill_router(sim, router);
		run_day(day, 200);
		sim_start_router(sim, router);
		day->versions[router] = 0;
		break;
	case 5:
		site_gate_set(&sim->routers[router].gate, SITE_GATE_SILENT);
		run_day(day, 2000);
		site_gate_set(&sim->routers[router].gate, SITE_GATE_OPEN);
		break;
	default:
		play_drill(sim,
			   (site_gate_state_t)(1 + medlar_rand_below(&sim->rand,
								     3)),
			   (medlar_time_t)medlar_rand_below(&sim->rand, 8000));
		run_day(day,
			(medlar_time_t)medlar_rand_below(&sim->rand, 1500));
		put_config(sim, day->version);
		for (unsigned i = 0; i < DAY_REPLICAS; i++)
			write_as_it_is(day, i);
	}
}

/* Drills, changes, restarts and cuts in any order: nothing goes back, or is missed. */
static void random_days_end_with_what_the_store_holds(void **state)
{
	(void)state;
	for (unsigned seed = 1; seed <= DAYS; seed++) {
		day_t day = { .sim = begin(4), .version = 1 };
		router_sim_t *sim = day.sim;

		sim->rand = (medlar_rand_t){ seed };
		for (unsigned i = 0; i < DAY_REPLICAS; i++)
			day.seqs[i] = 1;
		for (unsigned i = 0; i < DAY_EVENTS; i++) {
			play_event(&day);
			run_day(&day, 50 + (medlar_time_t)medlar_rand_below(
						   &sim->rand, 1500));
		}
		put_config(sim, ++day.version);
		for (unsigned i = 0; i < DAY_REPLICAS; i++)
			write_as_it_is(&day, i);
		run_day(&day, 2000);
		expect_converged(sim);
		for (size_t i = 0; i < sim->len; i++)
			assert_int_equal(config_version(sim, i), day.version);
		for (unsigned i = 0; i < DAY_REPLICAS; i++)
			assert_int_equal(sim_uses_replica(sim, 0, i),
					 !day.left[i]);
		sim_end(sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_change_is_missed_after_a_drill),
		cmocka_unit_test(drills_in_series_are_survived),
		cmocka_unit_test(what_has_left_stays_out_of_use),
		cmocka_unit_test(what_the_copy_lacks_is_used_meanwhile),
		cmocka_unit_test(the_configuration_never_goes_back),
		cmocka_unit_test(a_router_that_was_cut_brings_nothing_back),
		cmocka_unit_test(entries_are_written_again_without_a_storm),
		cmocka_unit_test(bad_headers_change_nothing),
		cmocka_unit_test(a_store_that_tells_none_is_served_as_before),
		cmocka_unit_test(random_days_end_with_what_the_store_holds),
	};

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
