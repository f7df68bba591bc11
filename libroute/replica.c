/**
 * DOC: what requests saw of replicas, and the choice by it
 */
#include <math.h>

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

/* What is known of a replica fades, so that a bad one is tried again. */
static double kept_part(const replica_t *replica, medlar_time_t now)
{
	return exp2(-(double)(now - replica->estimated) / FADE_HALF);
}

/* The latency to expect of a replica without a queue; @keep: kept_part(). */
static double expected_time(const replica_t *replica, double keep)
{
	double usual = replica->service->estimate;

	return usual + (replica->estimate - usual) * keep;
}

static void fade(replica_t *replica, medlar_time_t now)
{
	double keep = kept_part(replica, now);

	replica->estimate = expected_time(replica, keep);
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

static double score(const replica_t *replica, medlar_time_t now)
{
	double keep = kept_part(replica, now);
	double expected = expected_time(replica, keep);
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
		cost += FAR_FACTOR * replica->service->estimate;
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
		double expected;

		if (replica->info.draining || now < replica->avoid_until)
			continue;
		if (!is_full(replica, now))
			return 0;
		expected = expected_time(replica, kept_part(replica, now)) *
			   queue_factor(replica, now);
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
