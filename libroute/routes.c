/**
 * DOC: routes of one configuration version
 */
#include <ctype.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "libroute/routes.h"

#define SLACK 1e-9

/**
 * routes_new() - start a version
 * @version: its number
 *
 * Return: a version with one holder, or NULL.
 */
routes_t *routes_new(uint64_t version)
{
	routes_t *routes = calloc(1, sizeof(*routes));

	if (routes) {
		routes->refs = 1;
		routes->version = version;
	}
	return routes;
}

/**
 * routes_hold() - add a holder
 * @routes: a version
 *
 * Return: @routes.
 */
routes_t *routes_hold(routes_t *routes)
{
	routes->refs++;
	return routes;
}

static void free_route(route_t *route)
{
	for (size_t i = 0; i < route->targets_len; i++)
		free(route->targets[i].service);
	free(route->targets);
	free(route->name);
	free(route->host);
	free(route->prefix);
}

/**
 * routes_release() - give up a hold
 * @routes: a version, or NULL
 */
void routes_release(routes_t *routes)
{
	if (!routes || --routes->refs > 0)
		return;
	for (size_t i = 0; i < routes->routes_len; i++)
		free_route(&routes->routes[i]);
	for (size_t i = 0; i < routes->services_len; i++)
		free(routes->services[i].name);
	free(routes->routes);
	free(routes->services);
	free(routes);
}

/* Grows an array by one zeroed entry; capacities are powers of two. */
static void *add_entry(void **array, size_t *len, size_t size)
{
	void *grown = *array;

	if ((*len & (*len - 1)) == 0) {
		grown = realloc(*array, (*len ? *len * 2 : 1) * size);
		if (!grown)
			return NULL;
		*array = grown;
	}
	grown = (char *)grown + *len * size;
	memset(grown, 0, size);
	(*len)++;
	return grown;
}

/**
 * routes_add() - add a route, to be filled in by the caller
 * @routes: a version that is not finished
 *
 * Return: the route, or NULL.
 */
route_t *routes_add(routes_t *routes)
{
	return add_entry((void **)&routes->routes, &routes->routes_len,
			 sizeof(route_t));
}

/**
 * routes_add_service() - add a service, to be filled in by the caller
 * @routes: a version that is not finished
 *
 * Return: the service, or NULL.
 */
route_service_t *routes_add_service(routes_t *routes)
{
	return add_entry((void **)&routes->services, &routes->services_len,
			 sizeof(route_service_t));
}

/**
 * route_add_target() - add a service to a route
 * @route: a route that is being filled in
 *
 * Return: the target, or NULL.
 */
route_target_t *route_add_target(route_t *route)
{
	return add_entry((void **)&route->targets, &route->targets_len,
			 sizeof(route_target_t));
}

static int compare(const void *left, const void *right)
{
	const route_t *a = left;
	const route_t *b = right;
	int order = strcmp(a->host, b->host);

	if (order)
		return order;
	if (a->prefix_len != b->prefix_len)
		return a->prefix_len < b->prefix_len ? 1 : -1;
	return strcmp(a->prefix, b->prefix);
}

static bool is_sound(const route_t *route)
{
	if (!route->name || !route->host || !route->prefix ||
	    route->prefix[0] != '/' || route->targets_len == 0)
		return false;
	for (size_t i = 0; i < route->targets_len; i++)
		if (!route->targets[i].service || route->targets[i].weight < 0)
			return false;
	return route->timeout > 0 && route->attempts_max > 0 &&
	       route->coverage_min >= 0 && route->coverage_min <= 1;
}

/**
 * routes_finish() - check and sort what was added
 * @routes: a version
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_RANGE if a route cannot be served.
 */
int routes_finish(routes_t *routes)
{
	for (size_t i = 0; i < routes->routes_len; i++) {
		route_t *route = &routes->routes[i];

		if (!is_sound(route))
			return MEDLAR_ERR_RANGE;
		route->prefix_len = strlen(route->prefix);
		for (char *c = route->host; *c; c++)
			*c = (char)tolower((unsigned char)*c);
	}
	if (routes->routes_len)
		qsort(routes->routes, routes->routes_len, sizeof(route_t),
		      compare);
	return MEDLAR_OK;
}

static int compare_host(const route_t *route, medlar_str_t host)
{
	int order = strncasecmp(route->host, host.ptr, host.len);

	return order ? order : (route->host[host.len] ? 1 : 0);
}

static size_t first_of_host(const routes_t *routes, medlar_str_t host)
{
	size_t low = 0;
	size_t high = routes->routes_len;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (compare_host(&routes->routes[middle], host) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static medlar_str_t without_port(medlar_str_t host)
{
	const char *colon = host.len ? memchr(host.ptr, ':', host.len) : NULL;

	if (colon)
		host.len = (size_t)(colon - host.ptr);
	return host;
}

/**
 * routes_find() - route of a request
 * @routes: a version
 * @host: value of the Host header
 * @path: path, without or with a query
 *
 * Return: the route of the longest prefix, or NULL.
 */
const route_t *routes_find(const routes_t *routes, medlar_str_t host,
			   medlar_str_t path)
{
	host = without_port(host);
	for (size_t i = first_of_host(routes, host); i < routes->routes_len;
	     i++) {
		const route_t *route = &routes->routes[i];

		if (compare_host(route, host) != 0)
			return NULL;
		if (path.len >= route->prefix_len &&
		    memcmp(path.ptr, route->prefix, route->prefix_len) == 0)
			return route;
	}
	return NULL;
}

/**
 * route_draw() - choose the service of a request
 * @route: a route of the form %ROUTE_SINGLE or %ROUTE_SPLIT
 * @unit: random number, 0 up to 1
 *
 * Return: index of the target.
 */
size_t route_draw(const route_t *route, double unit)
{
	double total = 0;

	for (size_t i = 0; i < route->targets_len; i++)
		total += route->targets[i].weight;
	unit *= total;
	for (size_t i = 0; i + 1 < route->targets_len; i++) {
		if (unit < route->targets[i].weight)
			return i;
		unit -= route->targets[i].weight;
	}
	return route->targets_len - 1;
}

/**
 * route_coverage_parts() - shards that an answer needs
 * @route: a route of the form %ROUTE_SHARDS
 *
 * Return: least number of parts, at least 1.
 */
size_t route_coverage_parts(const route_t *route)
{
	double parts = ceil(route->coverage_min * (double)route->targets_len -
			    SLACK);

	return parts < 1 ? 1 : (size_t)parts;
}
