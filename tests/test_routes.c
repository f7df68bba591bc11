/* Choice of routes by host and prefix, and of targets by weight. */
#include <stdlib.h>

#include "route_sim.h"

static void add_route(routes_t *routes, const char *name, const char *host,
		      const char *prefix)
{
	route_t *route = routes_add(routes);

	route->name = strdup(name);
	route->host = strdup(host);
	route->prefix = strdup(prefix);
	route->timeout = 100;
	route->attempts_max = 1;
	*route_add_target(route) = (route_target_t){ strdup("s"), 1 };
}

static const char *find_route_name(const routes_t *routes, const char *host,
				   const char *path)
{
	const route_t *route = routes_find(routes, medlar_str_from(host),
					   medlar_str_from(path));

	return route ? route->name : "none";
}

static void the_longest_prefix_of_the_host_wins(void **state)
{
	routes_t *routes = routes_new(1);

	(void)state;
	add_route(routes, "short", "one.example", "/a/");
	add_route(routes, "long", "One.Example", "/a/b/");
	add_route(routes, "other", "two.example", "/a/b/c/");
	assert_int_equal(routes_finalize(routes), MEDLAR_OK);
	assert_string_equal(find_route_name(routes, "one.example", "/a/x"),
			    "short");
	assert_string_equal(find_route_name(routes, "one.example", "/a/b/x"),
			    "long");
	assert_string_equal(find_route_name(routes, "ONE.example:80", "/a/b/"),
			    "long");
	assert_string_equal(find_route_name(routes, "one.example", "/a/b/c/d"),
			    "long");
	assert_string_equal(find_route_name(routes, "one.example", "/a"),
			    "none");
	assert_string_equal(find_route_name(routes, "two.example", "/a/b/"),
			    "none");
	assert_string_equal(find_route_name(routes, "one.exampl", "/a/x"),
			    "none");
	assert_string_equal(find_route_name(routes, "", "/a/x"), "none");
	routes_unref(routes);
}

static void a_route_without_target_is_rejected(void **state)
{
	routes_t *routes = routes_new(1);

	(void)state;
	add_route(routes, "x", "h", "/");
	free(routes->routes[0].targets[0].service);
	routes->routes[0].targets[0].service = NULL;
	assert_int_equal(routes_finalize(routes), MEDLAR_ERR_RANGE);
	routes_unref(routes);
}

static void a_split_follows_its_weights(void **state)
{
	routes_t *routes = routes_new(1);
	medlar_rand_t rand = { 1 };
	size_t hits[3] = { 0 };

	(void)state;
	add_route(routes, "x", "h", "/");
	routes->routes[0].targets[0].weight = 0.2;
	*route_add_target(&routes->routes[0]) = (route_target_t){ strdup("t"),
								  0.8 };
	*route_add_target(&routes->routes[0]) = (route_target_t){ strdup("u"),
								  0 };
	for (int i = 0; i < 10000; i++)
		hits[route_pick_target(&routes->routes[0],
				       medlar_rand_unit(&rand))]++;
	assert_in_range(hits[0], 1800, 2200);
	assert_int_equal(hits[2], 0);
	routes_unref(routes);
}

static void coverage_rounds_up_and_is_never_zero(void **state)
{
	static const struct {
		double share;
		size_t of;
		size_t parts;
	} cases[] = {
		{ 0.89, 10, 9 }, { 0.75, 10, 8 }, { 0.8, 10, 8 },
		{ 1, 10, 10 },	 { 0, 10, 1 },	  { 0.95, 54, 52 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const route_t route = { .coverage_min = cases[i].share,
					.targets_len = cases[i].of };

		assert_int_equal(route_required_parts(&route), cases[i].parts);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_longest_prefix_of_the_host_wins),
		cmocka_unit_test(a_route_without_target_is_rejected),
		cmocka_unit_test(a_split_follows_its_weights),
		cmocka_unit_test(coverage_rounds_up_and_is_never_zero),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
