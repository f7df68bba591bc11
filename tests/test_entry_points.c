/* Choice of the instances that a caller is told to use. */
#include "libroute/entry_points.h"
#include "route_sim.h"

#define POINT(zone, near)                                 \
	{                                                 \
		MEDLAR_STR("x"), MEDLAR_STR(zone), (near) \
	}

static void few_instances_are_all_recommended(void **state)
{
	entry_point_t points[] = { POINT("a", 100), POINT("a", 100),
				   POINT("b", 100), POINT("c", 0) };

	(void)state;
	assert_int_equal(entry_points_choose(points, 4, MEDLAR_STR("a")), 4);
	assert_int_equal(entry_points_choose(points, 0, MEDLAR_STR("a")), 0);
}

static void a_zone_without_replicas_is_left_out(void **state)
{
	entry_point_t points[] = {
		POINT("a", 90),	 POINT("d", 0),	  POINT("b", 80),
		POINT("b", 100), POINT("a", 100), POINT("c", 70),
		POINT("c", 100), POINT("d", 0),
	};

	(void)state;
	assert_int_equal(entry_points_choose(points, 8, MEDLAR_STR("d")), 6);
	for (int i = 0; i < 6; i++)
		assert_int_not_equal(points[i].local_percent, 0);
}

static void callers_stay_in_their_zone_if_enough_instances_do(void **state)
{
	entry_point_t points[] = {
		POINT("a", 100), POINT("b", 100), POINT("a", 100),
		POINT("b", 100), POINT("a", 100), POINT("b", 100),
		POINT("a", 100), POINT("c", 100),
	};
	size_t len = entry_points_choose(points, 8, MEDLAR_STR("a"));

	(void)state;
	assert_int_equal(len, 4);
	for (size_t i = 0; i < len; i++)
		assert_memory_equal(points[i].zone.ptr, "a", 1);
	assert_int_equal(entry_points_choose(points, 8, MEDLAR_STR("c")), 8);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(few_instances_are_all_recommended),
		cmocka_unit_test(a_zone_without_replicas_is_left_out),
		cmocka_unit_test(
			callers_stay_in_their_zone_if_enough_instances_do),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
