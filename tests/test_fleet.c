/* The choice of a replica: zone, stalls, failures, caps, leaving ones. */
#include "route_world.h"

typedef struct trio {
	world_t world;
	replica_t *near;
	replica_t *far;
	fleet_service_t *service;
} trio_t;

static void setup(trio_t *trio)
{
	world_init(&trio->world, 0.2, 50);
	trio->near = world_replica(&trio->world, "s", "near", "a");
	trio->far = world_replica(&trio->world, "s", "far", "b");
	trio->service = trio->near->service;
	trio->near->conns_idle = trio->far->conns_idle = 1;
}

static void finish(trio_t *trio)
{
	routes_release(trio->world.routes);
	fleet_finish(&trio->world.fleet);
	medlar_client_finish(&trio->world.client);
}

static replica_t *pick(trio_t *trio)
{
	return fleet_pick(&trio->world.fleet, trio->service, NULL, 0,
			  trio->world.now);
}

static void fly(trio_t *trio, replica_t *replica, medlar_time_t took,
		flight_end_t how)
{
	flight_t flight;

	flight_begin(&flight, replica, trio->world.now);
	trio->world.now += took;
	flight_end(&flight, how, trio->world.now);
}

static void the_near_replica_goes_first(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	assert_ptr_equal(pick(&trio), trio.near);
	finish(&trio);
}

static void a_stalled_replica_is_left_alone_until_it_answers(void **state)
{
	trio_t trio;
	flight_t flight;

	(void)state;
	setup(&trio);
	flight_begin(&flight, trio.near, trio.world.now);
	assert_ptr_equal(pick(&trio), trio.near);
	trio.world.now += 60;
	assert_ptr_equal(pick(&trio), trio.far);
	flight_end(&flight, FLIGHT_FORGOTTEN, trio.world.now);
	assert_ptr_equal(pick(&trio), trio.near);
	finish(&trio);
}

static void a_slow_replica_loses_its_zone_and_is_tried_again(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	for (int i = 0; i < 6; i++)
		fly(&trio, trio.near, 60, FLIGHT_OK);
	trio.service->latency_estimate = 5;
	assert_ptr_equal(pick(&trio), trio.far);
	trio.world.now += 20000;
	assert_ptr_equal(pick(&trio), trio.near);
	finish(&trio);
}

/* Found by es scale-1: a near replica that sheds was asked again and again. */
static void a_replica_that_refuses_costs_more_than_a_far_one(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	for (int i = 0; i < 10; i++)
		fly(&trio, trio.near, 2,
		    i % 5 < 2 ? FLIGHT_REFUSED : FLIGHT_OK);
	assert_ptr_equal(pick(&trio), trio.far);
	finish(&trio);
}

static void a_silent_replica_is_avoided_and_the_last_resort(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	fly(&trio, trio.near, 300, FLIGHT_SILENT);
	fly(&trio, trio.near, 300, FLIGHT_SILENT);
	assert_ptr_equal(pick(&trio), trio.far);
	replica_drain(trio.far);
	assert_ptr_equal(pick(&trio), trio.near);
	finish(&trio);
}

static void leaving_replicas_and_full_ones_get_nothing(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	replica_drain(trio.near);
	assert_ptr_equal(pick(&trio), trio.far);
	trio.far->conns_idle = 0;
	trio.far->conns = fleet_conns_max(&trio.world.fleet, trio.service);
	assert_null(pick(&trio));
	finish(&trio);
}

static void connections_are_shared_by_the_instances(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	for (unsigned instances = 1; instances < 200; instances++) {
		unsigned most;

		trio.world.fleet.instances = instances;
		most = fleet_conns_max(&trio.world.fleet, trio.service);
		assert_true(most == 1 || most * instances <= 100);
	}
	finish(&trio);
}

static void a_lapsed_replica_may_come_back(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	fleet_lapse(trio.near, trio.world.now + 2200);
	fleet_sweep(&trio.world.fleet, trio.world.now + 2000);
	assert_ptr_equal(pick(&trio), trio.near);
	trio.near = world_replica(&trio.world, "s", "near", "a");
	fleet_sweep(&trio.world.fleet, trio.world.now + 9000);
	assert_int_equal(trio.world.fleet.replicas_len, 2);
	fleet_lapse(trio.near, trio.world.now + 2200);
	fleet_sweep(&trio.world.fleet, trio.world.now + 2200);
	assert_int_equal(trio.world.fleet.replicas_len, 1);
	finish(&trio);
}

static void a_new_start_at_the_address_is_another_replica(void **state)
{
	trio_t trio;
	replica_info_t info = {
		.id = MEDLAR_STR("near"),
		.service = MEDLAR_STR("s"),
		.zone = MEDLAR_STR("a"),
		.ip = 1,
		.port = 1,
		.slots = 2,
		.started = 77,
	};
	uint64_t before;

	(void)state;
	setup(&trio);
	before = trio.near->hash;
	replica_drain(trio.near);
	assert_int_equal(fleet_update(&trio.world.fleet, &info, trio.world.now),
			 MEDLAR_OK);
	trio.near = fleet_find(&trio.world.fleet, info.id);
	assert_false(trio.near->info.draining);
	assert_true(trio.near->hash != before);
	finish(&trio);
}

static void near_counts_services_with_a_replica_in_the_zone(void **state)
{
	trio_t trio;

	(void)state;
	setup(&trio);
	world_replica(&trio.world, "t", "t1", "b");
	assert_int_equal(fleet_near(&trio.world.fleet), 50);
	finish(&trio);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_near_replica_goes_first),
		cmocka_unit_test(
			a_stalled_replica_is_left_alone_until_it_answers),
		cmocka_unit_test(
			a_slow_replica_loses_its_zone_and_is_tried_again),
		cmocka_unit_test(
			a_replica_that_refuses_costs_more_than_a_far_one),
		cmocka_unit_test(
			a_silent_replica_is_avoided_and_the_last_resort),
		cmocka_unit_test(leaving_replicas_and_full_ones_get_nothing),
		cmocka_unit_test(connections_are_shared_by_the_instances),
		cmocka_unit_test(a_lapsed_replica_may_come_back),
		cmocka_unit_test(a_new_start_at_the_address_is_another_replica),
		cmocka_unit_test(
			near_counts_services_with_a_replica_in_the_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
