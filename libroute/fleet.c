/**
 * DOC: services, their replicas, and the choice among them
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libroute/fleet.h"

/* Weight of a new latency: more where replies are rare. */
#define ESTIMATE_GAIN_MIN 0.2
#define ESTIMATE_GAIN_MAX 0.5
#define ESTIMATE_GAIN_FULL 600.0
/* Weight of a new outcome, and of a latency for the whole service. */
#define SERVICE_GAIN 0.02
#define FAILURE_GAIN 0.2
/* Time in which half of what is known of a replica's latency fades, ms. */
#define FADE_HALF 3000.0
#define FIRST_ESTIMATE 5.0
/* A reported load older than this says nothing, ms. */
#define LOAD_FRESH 100
/* Slowness of a replica that has just started. */
#define COLD_FACTOR 1.6
/* Usual latencies by which a replica of another zone must be faster. */
#define FAR_FACTOR 2.5
/* What a choice adds to the expected latency, ms. */
#define CONNECT_COST 4.0
#define STALL_COST 60.0
#define PAUSE_COST 15.0
#define FAILURE_COST 300.0
#define AVOID_COST 10000.0
/* A request that takes this much longer than expected has met a pause. */
#define STALL_FACTOR 2.5
#define STALL_MIN 8.0
/* Failures in a row before a replica is left alone, and for how long, ms. */
#define STRIKES_MAX 2
#define AVOID_MIN 300
#define AVOID_MAX 3000
/* Part of a replica's connections that instances use. */
#define CONNS_USED 0.95

/**
 * fleet_init() - start without services
 * @fleet: memory of the caller
 * @zone: availability zone of this instance
 * @spend_limits: budget of extra sends
 * @on_remove: told when a replica leaves the directory
 * @data: passed to @on_remove
 */
void fleet_init(fleet_t *fleet, medlar_str_t zone,
		const spend_limits_t *spend_limits,
		void (*on_remove)(replica_t *, void *), void *data)
{
	*fleet = (fleet_t){ .instances = 1,
			    .spend_limits = *spend_limits,
			    .on_remove = on_remove,
			    .data = data };
	(void)snprintf(fleet->zone, sizeof(fleet->zone), "%.*s", (int)zone.len,
		       zone.ptr);
	TAILQ_INIT(&fleet->services);
	TAILQ_INIT(&fleet->replicas);
}

/**
 * fleet_finish() - remove all replicas and services
 * @fleet: fleet; no flight may be under way
 */
void fleet_finish(fleet_t *fleet)
{
	fleet_service_t *service;

	while (!TAILQ_EMPTY(&fleet->replicas))
		fleet_remove(fleet, TAILQ_FIRST(&fleet->replicas));
	while ((service = TAILQ_FIRST(&fleet->services))) {
		TAILQ_REMOVE(&fleet->services, service, link);
		free(service);
	}
}

/**
 * fleet_service() - find a service, or add it
 * @fleet: fleet
 * @name: its name
 * @now: current time
 *
 * Return: the service, or NULL for want of memory or for a name that is too
 * long.
 */
fleet_service_t *fleet_service(fleet_t *fleet, medlar_str_t name,
			       medlar_time_t now)
{
	fleet_service_t *service;

	TAILQ_FOREACH(service, &fleet->services, link)
		if (medlar_str_equal(medlar_str_from(service->name), name))
			return service;
	if (name.len > FLEET_NAME_MAX)
		return NULL;
	service = calloc(1, sizeof(*service));
	if (!service)
		return NULL;
	memcpy(service->name, name.ptr, name.len);
	service->estimate = FIRST_ESTIMATE;
	service->pauses = &fleet->pauses;
	TAILQ_INIT(&service->replicas);
	spend_init(&service->spend, &fleet->spend_limits, fleet_share(fleet),
		   now);
	TAILQ_INSERT_TAIL(&fleet->services, service, link);
	return service;
}

/**
 * fleet_find() - find a replica of the directory
 * @fleet: fleet
 * @id: its name
 *
 * Return: the replica, or NULL.
 */
replica_t *fleet_find(fleet_t *fleet, medlar_str_t id)
{
	replica_t *replica;

	TAILQ_FOREACH(replica, &fleet->replicas, by_id)
		if (medlar_str_equal(medlar_str_from(replica->id), id))
			return replica;
	return NULL;
}

/**
 * replica_hold() - keep a replica's memory
 * @replica: replica
 */
void replica_hold(replica_t *replica)
{
	replica->refs++;
}

/**
 * replica_release() - give up a hold
 * @replica: replica
 */
void replica_release(replica_t *replica)
{
	if (--replica->refs == 0)
		free(replica);
}

/**
 * fleet_remove() - take a replica out at once
 * @fleet: fleet
 * @replica: a replica of the directory; freed once nobody holds it
 */
void fleet_remove(fleet_t *fleet, replica_t *replica)
{
	replica->removed = true;
	replica->info.draining = true;
	TAILQ_REMOVE(&fleet->replicas, replica, by_id);
	TAILQ_REMOVE(&replica->service->replicas, replica, link);
	replica->service->replicas_len--;
	fleet->replicas_len--;
	if (fleet->on_remove)
		fleet->on_remove(replica, fleet->data);
	replica_release(replica);
}

static bool same_start(const replica_t *replica, const replica_info_t *info)
{
	return replica->info.ip == info->ip &&
	       replica->info.port == info->port &&
	       replica->info.started == info->started &&
	       medlar_str_equal(medlar_str_from(replica->service->name),
				info->service);
}

static int add(fleet_t *fleet, const replica_info_t *info, medlar_time_t now)
{
	fleet_service_t *service = fleet_service(fleet, info->service, now);
	replica_t *replica;

	if (!service || info->id.len > FLEET_NAME_MAX)
		return MEDLAR_ERR_RANGE;
	replica = calloc(1, sizeof(*replica));
	if (!replica)
		return MEDLAR_ERR_NOMEM;
	memcpy(replica->id, info->id.ptr, info->id.len);
	replica->hash = medlar_str_hash(info->id, (uint64_t)info->started);
	replica->service = service;
	replica->refs = 1;
	replica->info = *info;
	replica->info.id = replica->info.service = replica->info.zone =
		(medlar_str_t){ 0 };
	replica->near = medlar_str_equal(medlar_str_from(fleet->zone),
					 info->zone);
	replica->warm_until = now + info->warmup_left;
	replica->estimate = service->estimate;
	replica->estimated = now;
	TAILQ_INIT(&replica->flights);
	TAILQ_INSERT_TAIL(&service->replicas, replica, link);
	TAILQ_INSERT_TAIL(&fleet->replicas, replica, by_id);
	service->replicas_len++;
	fleet->replicas_len++;
	return MEDLAR_OK;
}

/**
 * fleet_update() - take over an entry of the directory
 * @fleet: fleet
 * @info: the entry
 * @now: current time
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE or %MEDLAR_ERR_NOMEM.
 */
int fleet_update(fleet_t *fleet, const replica_info_t *info, medlar_time_t now)
{
	replica_t *replica = fleet_find(fleet, info->id);

	if (replica && !same_start(replica, info)) {
		fleet_remove(fleet, replica);
		replica = NULL;
	}
	if (!replica)
		return add(fleet, info, now);
	replica->lapsed_until = 0;
	replica->info.draining = info->draining;
	replica->info.slots = info->slots;
	replica->warm_until = now + info->warmup_left;
	return MEDLAR_OK;
}

/**
 * fleet_lapse() - remove a replica later, unless it is back by then
 * @replica: replica whose entry vanished while the directory was away
 * @until: when it counts as gone
 */
void fleet_lapse(replica_t *replica, medlar_time_t until)
{
	if (!replica->lapsed_until)
		replica->lapsed_until = until;
}

/**
 * fleet_sweep() - remove the replicas that did not come back
 * @fleet: fleet
 * @now: current time
 */
void fleet_sweep(fleet_t *fleet, medlar_time_t now)
{
	replica_t *replica = TAILQ_FIRST(&fleet->replicas);

	while (replica) {
		replica_t *next = TAILQ_NEXT(replica, by_id);

		if (replica->lapsed_until && replica->lapsed_until <= now)
			fleet_remove(fleet, replica);
		replica = next;
	}
}

/**
 * fleet_conns_max() - connections this instance may open to a replica
 * @fleet: fleet
 * @service: service of the replica
 *
 * Return: an equal part of what the replica accepts, at least 1.
 */
unsigned fleet_conns_max(const fleet_t *fleet, const fleet_service_t *service)
{
	unsigned instances = fleet->instances ? fleet->instances : 1;
	double part = CONNS_USED * service->connections_max / instances;

	return part < 1 ? 1 : (unsigned)part;
}

/**
 * fleet_share() - part of what instances share that is this one's
 * @fleet: fleet
 *
 * Return: 0 to 1.
 */
double fleet_share(const fleet_t *fleet)
{
	return 1.0 / (fleet->instances ? fleet->instances : 1);
}

static bool has_near(const fleet_service_t *service)
{
	const replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link)
		if (replica->near && !replica->info.draining)
			return true;
	return false;
}

/**
 * fleet_near() - how much of the fleet is in this availability zone
 * @fleet: fleet
 *
 * Return: services with a replica in the zone, in percent of those with any.
 */
unsigned fleet_near(const fleet_t *fleet)
{
	const fleet_service_t *service;
	unsigned served = 0;
	unsigned near = 0;

	TAILQ_FOREACH(service, &fleet->services, link) {
		if (service->replicas_len == 0)
			continue;
		served++;
		near += has_near(service);
	}
	return served ? 100 * near / served : 0;
}

/* What is known of a replica fades, so that a bad one is tried again. */
static double kept_part(const replica_t *replica, medlar_time_t now)
{
	return exp2(-(double)(now - replica->estimated) / FADE_HALF);
}

static void fade(replica_t *replica, medlar_time_t now)
{
	double keep = kept_part(replica, now);
	double usual = replica->service->estimate;

	replica->estimate = usual + (replica->estimate - usual) * keep;
	replica->failures *= keep;
	replica->estimated = now;
}

static double queue_factor(const replica_t *replica, medlar_time_t now)
{
	unsigned slots = replica->info.slots ? replica->info.slots : 1;
	unsigned queue = replica->flights_len;

	if (now - replica->load_at <= LOAD_FRESH && replica->load > queue)
		queue = replica->load;
	if (queue < slots)
		return 1 + 0.25 * queue / slots;
	return 1.25 + (double)(queue - slots + 1) / slots;
}

static bool is_stall(double took, double expected)
{
	return took > STALL_FACTOR * expected + STALL_MIN;
}

static double stall_cost(const replica_t *replica, double expected,
			 medlar_time_t now)
{
	const flight_t *oldest = TAILQ_FIRST(&replica->flights);
	double age = oldest ? (double)(now - oldest->sent) : 0;

	if (!is_stall(age, expected))
		return 0;
	return STALL_COST + age;
}

static double pause_cost(const replica_t *replica, double expected,
			 medlar_time_t now)
{
	medlar_time_t left = pause_left(&replica->pause,
					replica->service->pauses,
					(medlar_time_t)expected, now);

	return left ? PAUSE_COST + (double)left : 0;
}

static double usual_time(const replica_t *replica, medlar_time_t now)
{
	double usual = replica->service->estimate;

	return usual + (replica->estimate - usual) * kept_part(replica, now);
}

static double score(const replica_t *replica, medlar_time_t now)
{
	double keep = kept_part(replica, now);
	double usual = replica->service->estimate;
	double expected = usual_time(replica, now);
	double cost;

	if (now < replica->warm_until)
		expected *= COLD_FACTOR;
	cost = expected * queue_factor(replica, now);
	cost += stall_cost(replica, expected, now);
	cost += pause_cost(replica, expected, now);
	cost += FAILURE_COST * replica->failures * keep;
	if (replica->conns_idle == 0)
		cost += CONNECT_COST;
	if (!replica->near)
		cost += FAR_FACTOR * usual;
	if (now < replica->avoid_until ||
	    (replica->strikes >= STRIKES_MAX && replica->flights_len > 0))
		cost += AVOID_COST;
	return cost;
}

static bool is_among(const replica_t *replica, replica_t *const *list,
		     size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (list[i] == replica)
			return true;
	return false;
}

/* By its own account: what was sent there may wait for a pause to end. */
static bool is_full(const replica_t *replica, medlar_time_t now)
{
	return now - replica->load_at <= LOAD_FRESH &&
	       replica->load > replica->info.slots;
}

/**
 * fleet_expected() - how long a new request to an overloaded service takes
 * @service: service
 * @now: current time
 *
 * Return: ms until the replica that is expected to be first has answered;
 * 0 unless all say that requests wait there.
 */
double fleet_expected(const fleet_service_t *service, medlar_time_t now)
{
	const replica_t *replica;
	double least = 0;

	TAILQ_FOREACH(replica, &service->replicas, link) {
		double expected = usual_time(replica, now) *
				  queue_factor(replica, now);

		if (replica->info.draining || now < replica->avoid_until)
			continue;
		if (!is_full(replica, now))
			return 0;
		if (least == 0 || expected < least)
			least = expected;
	}
	return least;
}

/**
 * fleet_pick() - choose the replica that should answer first
 * @fleet: fleet
 * @service: service
 * @except: replicas not to choose
 * @except_len: how many
 * @now: current time
 *
 * Return: a replica that can take a request now, or NULL.
 */
replica_t *fleet_pick(fleet_t *fleet, fleet_service_t *service,
		      replica_t *const *except, size_t except_len,
		      medlar_time_t now)
{
	unsigned conns_max = fleet_conns_max(fleet, service);
	replica_t *best = NULL;
	replica_t *replica;
	double best_cost = 0;

	TAILQ_FOREACH(replica, &service->replicas, link) {
		double cost;

		if (replica->info.draining ||
		    (replica->conns_idle == 0 && replica->conns >= conns_max) ||
		    is_among(replica, except, except_len))
			continue;
		cost = score(replica, now);
		if (!best || cost < best_cost) {
			best = replica;
			best_cost = cost;
		}
	}
	return best;
}

/**
 * replica_drain() - take over that a replica leaves
 * @replica: replica that said so itself
 */
void replica_drain(replica_t *replica)
{
	replica->info.draining = true;
}

/**
 * replica_report_load() - take over what a replica says of its load
 * @replica: replica
 * @load: running and waiting requests
 * @now: current time
 */
void replica_report_load(replica_t *replica, unsigned load, medlar_time_t now)
{
	replica->load = load;
	replica->load_at = now;
}

/**
 * flight_begin() - note a request to a replica
 * @flight: memory of the caller
 * @replica: where it is sent
 * @now: current time
 */
void flight_begin(flight_t *flight, replica_t *replica, medlar_time_t now)
{
	flight->replica = replica;
	flight->sent = now;
	TAILQ_INSERT_TAIL(&replica->flights, flight, link);
	replica->flights_len++;
	replica_hold(replica);
}

static void note_latency(replica_t *replica, double took, double since)
{
	fleet_service_t *service = replica->service;
	double gain = since / ESTIMATE_GAIN_FULL;

	gain = fmin(fmax(gain, ESTIMATE_GAIN_MIN), ESTIMATE_GAIN_MAX);
	replica->estimate += gain * (took - replica->estimate);
	service->estimate += SERVICE_GAIN * (took - service->estimate);
}

/* Return: whether a pause that was due explains the latency. */
static bool note_pause(replica_t *replica, const flight_t *flight,
		       medlar_time_t now)
{
	double expected = replica->estimate;
	double took = (double)(now - flight->sent);

	if (is_stall(took, expected))
		return pause_ended(&replica->pause, replica->service->pauses,
				   (medlar_time_t)(took - expected), now);
	pause_absent(&replica->pause, replica->service->pauses, flight->sent,
		     now);
	return false;
}

static void strike(replica_t *replica, medlar_time_t now)
{
	medlar_time_t rest = AVOID_MIN;

	replica->strikes++;
	if (replica->strikes < STRIKES_MAX)
		return;
	for (unsigned i = STRIKES_MAX; i < replica->strikes && rest < AVOID_MAX;
	     i++)
		rest *= 2;
	replica->avoid_until = now + (rest > AVOID_MAX ? AVOID_MAX : rest);
}

/**
 * flight_end() - note the end of a request to a replica
 * @flight: a flight that is under way
 * @how: its outcome
 * @now: current time
 */
void flight_end(flight_t *flight, flight_end_t how, medlar_time_t now)
{
	replica_t *replica = flight->replica;
	double took = (double)(now - flight->sent);
	double since = (double)(now - replica->estimated);
	bool failed = how == FLIGHT_FAILED || how == FLIGHT_REFUSED;

	TAILQ_REMOVE(&replica->flights, flight, link);
	replica->flights_len--;
	flight->replica = NULL;
	if (how != FLIGHT_FORGOTTEN)
		fade(replica, now);
	if ((how == FLIGHT_OK && !note_pause(replica, flight, now)) ||
	    how == FLIGHT_SILENT)
		note_latency(replica, took, since);
	if (how == FLIGHT_OK) {
		replica->strikes = 0;
		replica->avoid_until = 0;
	}
	if (how == FLIGHT_OK || failed)
		replica->failures += FAILURE_GAIN *
				     ((failed ? 1 : 0) - replica->failures);
	if (how == FLIGHT_SILENT || how == FLIGHT_UNREACHABLE)
		strike(replica, now);
	replica_release(replica);
}
