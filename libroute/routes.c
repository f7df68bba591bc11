/**
 * DOC: routing table of one configuration version
 */
#include <ctype.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "libroute/routes.h"

/* Keeps 0.07 of 100 shards, a product above 7, from being rounded up to 8. */
#define ROUNDING_ERROR 1e-9

/**
 * routes_new() - create an empty version
 * @version: version number
 *
 * Return: a version with one reference, or NULL if memory is exhausted.
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
 * routes_ref() - take a reference
 * @routes: version
 *
 * Return: @routes.
 */
routes_t *routes_ref(routes_t *routes)
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
 * routes_unref() - drop a reference
 * @routes: version, freed with the last reference; or NULL
 */
void routes_unref(routes_t *routes)
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

/* Appends a zeroed element; capacities are powers of two. */
static void *array_append(void **array, size_t *len, size_t size)
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
 * routes_add() - add a zeroed route, to be filled in by the caller
 * @routes: version that is not finalized
 *
 * Return: the route, valid until the next one is added, or NULL if memory is
 * exhausted.
 */
route_t *routes_add(routes_t *routes)
{
	return array_append((void **)&routes->routes, &routes->routes_len,
			    sizeof(route_t));
}

/**
 * routes_add_service() - add a zeroed service, to be filled in by the caller
 * @routes: version that is not finalized
 *
 * Return: the service, valid until the next one is added, or NULL if memory is
 * exhausted.
 */
route_service_t *routes_add_service(routes_t *routes)
{
	return array_append((void **)&routes->services, &routes->services_len,
			    sizeof(route_service_t));
}

/**
 * route_add_target() - add a zeroed target to a route
 * @route: route of a version that is not finalized
 *
 * Return: the target, valid until the next one is added, or NULL if memory is
 * exhausted.
 */
route_target_t *route_add_target(route_t *route)
{
	return array_append((void **)&route->targets, &route->targets_len,
			    sizeof(route_target_t));
}

static int compare_routes(const void *left, const void *right)
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

static bool is_valid(const route_t *route)
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
 * routes_finalize() - validate and sort the routes of a version
 * @routes: version
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_RANGE if a route is invalid.
 */
int routes_finalize(routes_t *routes)
{
	for (size_t i = 0; i < routes->routes_len; i++) {
		route_t *route = &routes->routes[i];

		if (!is_valid(route))
			return MEDLAR_ERR_RANGE;
		route->prefix_len = strlen(route->prefix);
		for (char *c = route->host; *c; c++)
			*c = (char)tolower((unsigned char)*c);
	}
	if (routes->routes_len)
		qsort(routes->routes, routes->routes_len, sizeof(route_t),
		      compare_routes);
	return MEDLAR_OK;
}

static int compare_host(const route_t *route, medlar_str_t host)
{
	int order = strncasecmp(route->host, host.ptr, host.len);

	return order ? order : (route->host[host.len] ? 1 : 0);
}

static size_t lower_bound_host(const routes_t *routes, medlar_str_t host)
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

static medlar_str_t strip_port(medlar_str_t host)
{
	const char *colon = host.len ? memchr(host.ptr, ':', host.len) : NULL;

	if (colon)
		host.len = (size_t)(colon - host.ptr);
	return host;
}

/**
 * routes_find() - find the route of a request
 * @routes: finalized version
 * @host: value of the Host header; a port is ignored
 * @path: path, with or without a query
 *
 * Return: the route of the host with the longest matching prefix, or NULL.
 */
const route_t *routes_find(const routes_t *routes, medlar_str_t host,
			   medlar_str_t path)
{
	host = strip_port(host);
	for (size_t i = lower_bound_host(routes, host); i < routes->routes_len;
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
 * route_pick_target() - choose the service of a request by weight
 * @route: route of the form %ROUTE_SINGLE or %ROUTE_SPLIT
 * @unit: random number from 0 up to, not including, 1
 *
 * Return: index of the target.
 */
size_t route_pick_target(const route_t *route, double unit)
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
 * route_required_parts() - number of shards that a merged answer needs
 * @route: route of the form %ROUTE_SHARDS
 *
 * Return: smallest sufficient number of parts, at least 1.
 */
size_t route_required_parts(const route_t *route)
{
	double parts = ceil(route->coverage_min * (double)route->targets_len -
			    ROUNDING_ERROR);

	return parts < 1 ? 1 : (size_t)parts;
}
