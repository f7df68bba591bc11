/**
 * DOC: routing table of one configuration version
 *
 * A version is parsed once, validated, and immutable afterwards. Each request
 * keeps a reference to the version in force when it arrived.
 */
#ifndef LIBROUTE_ROUTES_H
#define LIBROUTE_ROUTES_H

#include "libmedlar/medlar.h"

/**
 * enum route_form - how the requests of a route are distributed
 * @ROUTE_SINGLE: to one service
 * @ROUTE_SPLIT: to one of several services, chosen by weight
 * @ROUTE_SHARDS: to all services, whose parts are merged
 */
typedef enum route_form {
	ROUTE_SINGLE,
	ROUTE_SPLIT,
	ROUTE_SHARDS,
} route_form_t;

/**
 * struct route_target - a service that a route sends requests to
 * @service: name of the service
 * @weight: relative share of the requests, at least 0; for %ROUTE_SPLIT
 */
typedef struct route_target {
	char *service;
	double weight;
} route_target_t;

/**
 * struct route - handling of the requests for a host and path prefix
 * @name: name for logs
 * @host: host without port, in lower case
 * @prefix: path prefix with slashes at both ends; only the first is checked
 * @prefix_len: length of @prefix; set by routes_finalize()
 * @form: distribution of the requests
 * @idempotent: requests may run more than once
 * @targets: services
 * @targets_len: number of @targets; at least 1
 * @timeout: longest time that a caller is kept waiting, ms
 * @target_latency: time after which an answer counts as late, ms
 * @priority: 0 is the highest priority
 * @attempts_max: replicas of a service that may run the same request
 * @top_k: most records in a merged answer
 * @coverage_min: smallest share of the shards in a merged answer, 0 to 1
 */
typedef struct route {
	char *name;
	char *host;
	char *prefix;
	size_t prefix_len;
	route_form_t form;
	bool idempotent;
	route_target_t *targets;
	size_t targets_len;
	medlar_time_t timeout;
	medlar_time_t target_latency;
	int priority;
	unsigned attempts_max;
	size_t top_k;
	double coverage_min;
} route_t;

/**
 * struct route_service - a service of the configuration
 * @name: name of the service
 * @connections_max: connections that a replica accepts from all instances
 */
typedef struct route_service {
	char *name;
	unsigned connections_max;
} route_service_t;

/**
 * struct route_limits - limits on requests and connections of callers
 * @head_max: size of the request line and headers, bytes
 * @body_max: size of the body, bytes
 * @receive_ms: time to receive a whole request, ms
 * @idle_ms: time that a connection may stay idle, ms
 */
typedef struct route_limits {
	size_t head_max;
	size_t body_max;
	medlar_time_t receive_ms;
	medlar_time_t idle_ms;
} route_limits_t;

/**
 * struct routes - a configuration version
 * @refs: reference count
 * @version: version number; increases with each version
 * @routes: sorted by host, then by descending length of the prefix
 * @routes_len: number of @routes
 * @services: services, in configuration order
 * @services_len: number of @services
 * @limits: limits on callers
 */
typedef struct routes {
	unsigned refs;
	uint64_t version;
	route_t *routes;
	size_t routes_len;
	route_service_t *services;
	size_t services_len;
	route_limits_t limits;
} routes_t;

routes_t *routes_new(uint64_t version);
routes_t *routes_ref(routes_t *routes);
void routes_unref(routes_t *routes);
route_t *routes_add(routes_t *routes);
route_service_t *routes_add_service(routes_t *routes);
route_target_t *route_add_target(route_t *route);
int routes_finalize(routes_t *routes);
const route_t *routes_find(const routes_t *routes, medlar_str_t host,
			   medlar_str_t path);
size_t route_pick_target(const route_t *route, double unit);
size_t route_required_parts(const route_t *route);

#endif /* LIBROUTE_ROUTES_H */
