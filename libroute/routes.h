/**
 * DOC: routes of one configuration version
 *
 * A version is read once, checked, and never changed afterwards. Requests
 * hold the version they began with.
 */
#ifndef LIBROUTE_ROUTES_H
#define LIBROUTE_ROUTES_H

#include "libmedlar/medlar.h"

/** enum route_form - where the requests of a route go */
typedef enum route_form {
	ROUTE_SINGLE, /* to one service */
	ROUTE_SPLIT, /* to one of several services, by weight */
	ROUTE_SHARDS, /* to all services, whose parts are merged */
} route_form_t;

/**
 * struct route_target - a service of a route
 * @service: its name
 * @weight: share of the requests, for %ROUTE_SPLIT
 */
typedef struct route_target {
	char *service;
	double weight;
} route_target_t;

/**
 * struct route - what happens to the requests of a host and path
 * @name: name for logs
 * @host: host without port, in lower case
 * @prefix: path prefix with slashes at both ends
 * @form: see &enum route_form
 * @idempotent: requests may run more than once
 * @targets: services
 * @targets_len: how many; at least 1
 * @timeout: longest time a caller is kept waiting, ms
 * @target_latency: time within which an answer has its full worth, ms
 * @priority: 0 is served first
 * @attempts_max: replicas of a service that may run one request
 * @top_k: records of a merged answer
 * @coverage_min: least share of the shards in a merged answer, 0 to 1
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
 * @name: its name
 * @connections_max: connections that a replica accepts of all callers
 */
typedef struct route_service {
	char *name;
	unsigned connections_max;
} route_service_t;

/**
 * struct route_limits - bounds on what callers send
 * @head_max: bytes of a request's head
 * @body_max: bytes of its body
 * @head_ms: time to send a request, ms
 * @idle_ms: time a connection may carry no request, ms
 */
typedef struct route_limits {
	size_t head_max;
	size_t body_max;
	medlar_time_t head_ms;
	medlar_time_t idle_ms;
} route_limits_t;

/**
 * struct routes - a configuration version
 * @refs: holders
 * @version: number that only rises
 * @routes: sorted by host, then by falling length of the prefix
 * @routes_len: how many
 * @services: in the order received
 * @services_len: how many
 * @limits: bounds on callers
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
routes_t *routes_hold(routes_t *routes);
void routes_release(routes_t *routes);
route_t *routes_add(routes_t *routes);
route_service_t *routes_add_service(routes_t *routes);
route_target_t *route_add_target(route_t *route);
int routes_finish(routes_t *routes);
const route_t *routes_find(const routes_t *routes, medlar_str_t host,
			   medlar_str_t path);
size_t route_draw(const route_t *route, double unit);
size_t route_coverage_parts(const route_t *route);

#endif /* LIBROUTE_ROUTES_H */
