/* Admission by the length of the loop's turns, and by what waits at replicas. */
#include "libroute/admission.h"
#include "route_world.h"

static const route_t urgent = { .target_latency = 500 };
static const route_t common = { .target_latency = 500, .priority = 2 };

static admission_t after(medlar_time_t length, unsigned turns)
{
	admission_t admission = { 0 };

	for (unsigned i = 0; i < turns; i++)
		admission_turn(&admission, length);
	return admission;
}

static void an_idle_process_takes_everything(void **state)
{
	admission_t admission = after(1, 10);

	(void)state;
	assert_true(admission_allows(&admission, &common, 0, 2000));
	assert_true(admission_allows(&admission, &urgent, 5, 200));
}

static void one_long_turn_refuses_nothing_later(void **state)
{
	admission_t admission = after(1, 10);

	(void)state;
	admission_turn(&admission, 900);
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
	admission_turn(&admission, 900);
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
	admission_turn(&admission, 900);
	assert_false(admission_allows(&admission, &urgent, 0, 2000));
}

static void work_that_stands_refuses_until_it_is_done(void **state)
{
	admission_t admission = after(200, 10);

	(void)state;
	assert_false(admission_allows(&admission, &urgent, 0, 2000));
	admission_turn(&admission, 2);
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
}

static void a_long_turn_refuses_its_own_rest(void **state)
{
	admission_t admission = after(1, 10);

	(void)state;
	assert_false(admission_allows(&admission, &urgent, 100, 2000));
}

static void the_least_urgent_are_refused_first(void **state)
{
	admission_t admission = after(15, 10);

	(void)state;
	assert_true(admission_allows(&admission, &urgent, 0, 2000));
	assert_false(admission_allows(&admission, &common, 0, 2000));
}

static void little_time_left_is_refused_first(void **state)
{
	admission_t admission = after(15, 10);

	(void)state;
	assert_true(admission_allows(&admission, &urgent, 0, 500));
	assert_false(admission_allows(&admission, &urgent, 0, 100));
}

/* Found by kv quiet-1: a target of 40 ms and a turn of 2 ms. */
static void short_targets_are_not_refused_for_short_turns(void **state)
{
	const route_t short_target = { .target_latency = 40, .priority = 2 };
	admission_t admission = after(2, 10);

	(void)state;
	assert_true(admission_allows(&admission, &short_target, 3, 500));
}

static void fill(world_t *world, unsigned load)
{
	replica_t *replica;

	TAILQ_FOREACH(replica, &world->fleet.replicas, by_id)
		replica_report_load(replica, load, world->now);
}

/* An exchange of ten shards of which nine are needed, target 80 ms. */
static void prepare(world_t *world)
{
	world_init(world, 0.2, 50);
	world_replicas(world, 10);
	world_route(world, ROUTE_SHARDS, true, 10);
	assert_int_equal(exchange_init(&world->exchange, &world->setup,
				       world->routes, world->routes->routes,
				       2000, world->now),
			 MEDLAR_OK);
}

static void what_waits_too_long_at_replicas_is_refused(void **state)
{
	world_t world;

	(void)state;
	prepare(&world);
	assert_true(admission_is_in_time(&world.exchange, world.now));
	fill(&world, 4);
	assert_true(admission_is_in_time(&world.exchange, world.now));
	fill(&world, 400);
	assert_false(admission_is_in_time(&world.exchange, world.now));
	world_finish(&world);
}

static void old_reports_of_load_refuse_nothing(void **state)
{
	world_t world;

	(void)state;
	prepare(&world);
	fill(&world, 400);
	world.exchange.soft_deadline += MEDLAR_MINUTE;
	assert_true(admission_is_in_time(&world.exchange,
					 world.now + MEDLAR_MINUTE));
	world_finish(&world);
}

static void one_busy_shard_in_ten_refuses_nothing(void **state)
{
	world_t world;
	replica_t *replica;
	size_t shards = 0;

	(void)state;
	prepare(&world);
	fill(&world, 400);
	TAILQ_FOREACH(replica, &world.fleet.replicas, by_id)
		if (replica->service != world.exchange.parts[3].service)
			replica_report_load(replica, 0, world.now);
		else
			shards++;
	assert_true(shards > 0);
	assert_true(admission_is_in_time(&world.exchange, world.now));
	world_finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_idle_process_takes_everything),
		cmocka_unit_test(one_long_turn_refuses_nothing_later),
		cmocka_unit_test(work_that_stands_refuses_until_it_is_done),
		cmocka_unit_test(a_long_turn_refuses_its_own_rest),
		cmocka_unit_test(the_least_urgent_are_refused_first),
		cmocka_unit_test(little_time_left_is_refused_first),
		cmocka_unit_test(short_targets_are_not_refused_for_short_turns),
		cmocka_unit_test(what_waits_too_long_at_replicas_is_refused),
		cmocka_unit_test(old_reports_of_load_refuse_nothing),
		cmocka_unit_test(one_busy_shard_in_ten_refuses_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
