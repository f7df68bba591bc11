/**
 * DOC: admission control by queueing delay, in this process and at replicas
 */
#include "libroute/admission.h"
#include "libroute/exchange_internal.h"

/* Share of a request's time that it may wait unread, at top priority. */
#define QUEUE_DELAY_SHARE 0.04
/* Shorter delays refuse nothing: normal iterations must fit short targets. */
#define QUEUE_DELAY_MIN_MS 8.0
/* Each lower priority reduces the share by this much, down to a minimum. */
#define PRIORITY_STEP 0.2
#define PRIORITY_FACTOR_MIN 0.4

/**
 * admission_add_iteration() - record the duration of a finished loop iteration
 * @admission: state, initially zero
 * @length: time from the first event of the iteration to its end, ms
 */
void admission_add_iteration(admission_t *admission, medlar_time_t length)
{
	admission->iterations[admission->next] = length;
	admission->next = (admission->next + 1) % ADMISSION_ITERATIONS;
}

/**
 * admission_delay() - estimate how long a new request waits to be read
 * @admission: state
 * @elapsed: time since the first event of this iteration, ms
 *
 * The shortest of the last iterations counts: a single long one is a stall
 * that is over, and only several in a row show a backlog.
 *
 * Return: delay in ms.
 */
medlar_time_t admission_delay(const admission_t *admission,
			      medlar_time_t elapsed)
{
	medlar_time_t shortest = admission->iterations[0];

	for (size_t i = 1; i < ADMISSION_ITERATIONS; i++)
		if (admission->iterations[i] < shortest)
			shortest = admission->iterations[i];
	return shortest > elapsed ? shortest : elapsed;
}

static double priority_factor(int priority)
{
	double factor = 1 - PRIORITY_STEP * priority;

	return factor < PRIORITY_FACTOR_MIN ? PRIORITY_FACTOR_MIN : factor;
}

/**
 * admission_allows() - decide whether this process can serve a request in time
 * @admission: state
 * @route: route of the request
 * @elapsed: time since the first event of this iteration, ms
 * @timeout: longest time that the caller waits, ms
 *
 * Return: false if the request should be refused at once.
 */
bool admission_allows(const admission_t *admission, const route_t *route,
		      medlar_time_t elapsed, medlar_time_t timeout)
{
	medlar_time_t time = timeout < route->target_latency
				     ? timeout
				     : route->target_latency;
	double limit = (double)time * QUEUE_DELAY_SHARE *
		       priority_factor(route->priority);

	if (limit < QUEUE_DELAY_MIN_MS)
		limit = QUEUE_DELAY_MIN_MS;
	return (double)admission_delay(admission, elapsed) <= limit;
}

static size_t required_parts(const exchange_t *exchange)
{
	return exchange->route->form == ROUTE_SHARDS
		       ? route_required_parts(exchange->route)
		       : 1;
}

/* Part that is expected last, if it is expected after @left; NULL if none is. */
static exchange_part_t *find_late_part(exchange_t *exchange, double left,
				       medlar_time_t now)
{
	exchange_part_t *latest = NULL;

	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];
		double latency = fleet_overload_latency(part->service, now);

		if (part->deferred || latency <= left)
			continue;
		latest = part;
		left = latency;
	}
	return latest;
}

static size_t count_obtainable_parts(const exchange_t *exchange,
				     medlar_time_t now)
{
	size_t count = 0;

	for (size_t i = 0; i < exchange->parts_len; i++)
		count += fleet_has_usable(exchange->parts[i].service, now);
	return count;
}

/* A shard that is down is asked again once its replicas are not avoided. */
static void defer_dead_parts(exchange_t *exchange, medlar_time_t now)
{
	for (size_t i = 0; i < exchange->parts_len; i++)
		if (!fleet_has_usable(exchange->parts[i].service, now))
			exchange_defer_part(exchange, &exchange->parts[i]);
}

static void defer_late_parts(exchange_t *exchange, medlar_time_t now)
{
	double left = (double)(exchange->soft_deadline - now);
	size_t needed = required_parts(exchange);
	size_t obtainable = count_obtainable_parts(exchange, now);
	exchange_part_t *part;

	if (obtainable >= needed)
		defer_dead_parts(exchange, now);
	while (obtainable > needed &&
	       (part = find_late_part(exchange, left, now))) {
		exchange_defer_part(exchange, part);
		obtainable--;
	}
}

/* Whether a part should not be sent; a share of requests @draw that is random. */
static bool is_throttled(const exchange_part_t *part, const fleet_t *fleet,
			 double draw, medlar_time_t now)
{
	fleet_service_t *service = part->service;

	return !part->deferred &&
	       draw < throttle_excess(&service->throttle, now) &&
	       !retry_budget_covers(&service->retry_budget,
				    &fleet->retry_limits, fleet_share(fleet),
				    now);
}

static void count_request(exchange_t *exchange, bool admitted,
			  medlar_time_t now)
{
	for (size_t i = 0; i < exchange->parts_len; i++)
		throttle_add(&exchange->parts[i].service->throttle, admitted,
			     now);
}

/**
 * admission_within_capacity() - decide whether replicas can be expected to accept
 *	enough parts
 * @exchange: an initialised exchange that has not been started
 * @now: current time, ms
 *
 * Requests are refused at random, as many as are beyond what replicas accept.
 * While retries can be paid for, refused parts are sent again instead.
 *
 * Return: false if the request should be refused.
 */
bool admission_within_capacity(exchange_t *exchange, medlar_time_t now)
{
	const exchange_setup_t *setup = exchange->setup;
	double draw = medlar_rand_unit(&setup->client->rand);
	size_t obtainable = exchange->parts_len - exchange->parts_deferred;
	bool admitted;

	for (size_t i = 0; i < exchange->parts_len; i++)
		obtainable -= is_throttled(&exchange->parts[i], setup->fleet,
					   draw, now);
	admitted = obtainable >= required_parts(exchange);
	count_request(exchange, admitted, now);
	return admitted;
}

/**
 * admission_meets_target() - decide whether replicas can answer in time
 * @exchange: an initialised exchange that has not been started; parts that are
 *	expected too late are deferred as far as the answer may lack them
 * @now: current time, ms
 *
 * Return: false if too few parts are expected in time for an answer.
 */
bool admission_meets_target(exchange_t *exchange, medlar_time_t now)
{
	double left = (double)(exchange->soft_deadline - now);
	size_t in_time = 0;

	for (size_t i = 0; i < exchange->parts_len; i++)
		in_time += fleet_overload_latency(exchange->parts[i].service,
						  now) <= left;
	if (in_time < required_parts(exchange))
		return false;
	defer_late_parts(exchange, now);
	return true;
}

/*
 * Finds room for a part soon, also beyond the part that this instance has in the
 * limits; if there is none, the exchange records when there will be.
 */
static bool find_room(exchange_t *exchange, const exchange_part_t *part,
		      medlar_time_t now)
{
	medlar_time_t at = fleet_room_at(part->service,
					 exchange->route->priority, now);

	if (at <= exchange_room_wait_end(exchange, part) ||
	    fleet_use_spare(part->service,
			    medlar_rand_unit(&exchange->setup->client->rand),
			    now))
		return true;
	if (at != MEDLAR_TIME_NEVER && at > exchange->available_at)
		exchange->available_at = at;
	exchange->limited_service = part->service;
	return false;
}

/**
 * admission_fits_limits() - decide whether the limits that replicas name leave room
 *	for enough parts
 * @exchange: an initialised exchange that has not been started; parts without room
 *	are deferred as far as the answer may lack them
 * @now: current time, ms
 *
 * Return: false if the request should be refused; &struct exchange.limited_service is
 * set then, and &struct exchange.available_at if it is known when there will be room.
 */
bool admission_fits_limits(exchange_t *exchange, medlar_time_t now)
{
	size_t needed = required_parts(exchange);
	size_t may_lack = exchange->parts_len - needed;
	size_t lacking = exchange->parts_deferred;

	for (size_t i = 0; i < exchange->parts_len; i++) {
		exchange_part_t *part = &exchange->parts[i];

		if (part->deferred || find_room(exchange, part, now))
			continue;
		if (lacking++ == may_lack)
			return false;
		exchange_defer_part(exchange, part);
	}
	exchange->available_at = 0;
	return true;
}
