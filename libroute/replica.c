/**
 * DOC: quality estimates of replicas, and load balancing by them
 */
#include <math.h>

#include "libroute/fleet.h"

/* Weight of a new latency; it grows with the time since the last reply. */
#define ESTIMATE_GAIN_MIN 0.2
#define ESTIMATE_GAIN_MAX 0.5
#define ESTIMATE_GAIN_FULL_MS 600.0
/* Weight of a new latency in the estimate of the whole service. */
#define SERVICE_ESTIMATE_GAIN 0.02
/* Weight of a new result in the failure rate. */
#define FAILURE_GAIN 0.2
/* Time after which a replica's estimates count half. */
#define ESTIMATE_HALF_LIFE_MS 3000.0
/* Age up to which a reported load is used. */
#define LOAD_VALID_MS 100
/* Factor on the expected latency of a replica that has just started. */
#define WARMUP_FACTOR 1.6
/* Cost of another availability zone, in latencies of the service. */
#define REMOTE_ZONE_FACTOR 2.5
/* Costs added to the expected latency. */
#define CONNECT_COST_MS 4.0
#define STALL_COST_MS 60.0
#define PAUSE_COST_MS 15.0
#define FAILURE_COST_MS 300.0
#define AVOID_COST_MS 10000.0
/* Cost of a limit without room left, in latencies of the service. */
#define LIMIT_COST_FACTOR 1.0
/* Latency counts as a stall above this factor plus this many ms. */
#define STALL_FACTOR 2.5
#define STALL_MIN_MS 8.0
/* Delay that is reported for a failed request. */
#define FAILURE_DELAY_MS 300
/* Interval of the reports about a replica. */
#define REPORT_INTERVAL_MS 100
/* Time after which an announcement of other instances counts half. */
#define ANNOUNCED_HALF_LIFE_MS 2000.0
/* Announcements that are older, or hardly newer than the last, are ignored. */
#define ANNOUNCED_AGE_MAX_MS (4 * MEDLAR_SECOND)
#define ANNOUNCED_STEP_MS 100
/* Bounds the harm of a wrong announcement. */
#define ANNOUNCED_DELAY_MAX_MS 500
/* Time after which one more connection is tried at a replica that reset one. */
#define CONNS_RECOVERY_MS 250
/* Failures in a row before a replica is avoided, and for how long. */
#define CONSECUTIVE_FAILURES_MAX 2
#define AVOID_MIN_MS 300
#define AVOID_MAX_MS 3000

/* Estimates decay while unused, so that a bad replica is tried again. */
static double estimate_weight(const replica_t *replica, medlar_time_t now)
{
	return exp2(-(double)(now - replica->estimated_at) /
		    ESTIMATE_HALF_LIFE_MS);
}

/* Expected latency without a queue; @weight is from estimate_weight(). */
static double expected_latency(const replica_t *replica, double weight)
{
	double usual = replica->service->latency_estimate;

	return usual + (replica->latency_estimate - usual) * weight;
}

static void decay_estimates(replica_t *replica, medlar_time_t now)
{
	double weight = estimate_weight(replica, now);

	replica->latency_estimate = expected_latency(replica, weight);
	replica->failure_rate *= weight;
	replica->estimated_at = now;
}

static double queue_factor(const replica_t *replica, medlar_time_t now)
{
	unsigned slots = replica->info.slots ? replica->info.slots : 1;
	unsigned queue = replica->inflight_len;

	if (now - replica->load_at <= LOAD_VALID_MS && replica->load > queue)
		queue = replica->load;
	if (queue < slots)
		return 1 + 0.25 * queue / slots;
	return 1.25 + (double)(queue - slots + 1) / slots;
}

static bool is_stall(double took, double expected)
{
	return took > STALL_FACTOR * expected + STALL_MIN_MS;
}

static double stall_cost(const replica_t *replica, double expected,
			 medlar_time_t now)
{
	const inflight_t *oldest = TAILQ_FIRST(&replica->inflight);
	double age = oldest ? (double)(now - oldest->sent) : 0;

	if (!oldest || !is_stall(age, expected * oldest->queue_factor))
		return 0;
	return STALL_COST_MS + age;
}

static double pause_cost(const replica_t *replica, double expected,
			 medlar_time_t now)
{
	medlar_time_t left = pause_remaining(&replica->pause,
					     &replica->service->fleet->pauses,
					     (medlar_time_t)expected, now);

	return left ? PAUSE_COST_MS + (double)left : 0;
}

/* Measurements of other instances count until there is a newer one of our own. */
static double announced_cost(const replica_t *replica, medlar_time_t now)
{
	double age = (double)(now - replica->announced_at);

	if (replica->announced_at <= replica->estimated_at)
		return 0;
	return (double)replica->announced_delay *
	       exp2(-age / ANNOUNCED_HALF_LIFE_MS);
}

static double replica_cost(const replica_t *replica, medlar_time_t now)
{
	double weight = estimate_weight(replica, now);
	double expected = expected_latency(replica, weight);
	double cost;

	if (now < replica->warmup_until)
		expected *= WARMUP_FACTOR;
	cost = expected * queue_factor(replica, now);
	cost += stall_cost(replica, expected, now);
	cost += pause_cost(replica, expected, now);
	cost += announced_cost(replica, now);
	cost += FAILURE_COST_MS * replica->failure_rate * weight;
	if (replica->conns_idle == 0)
		cost += CONNECT_COST_MS;
	cost += LIMIT_COST_FACTOR * replica->service->latency_estimate *
		(1 - replica_room_left(replica, now));
	if (!replica->is_local)
		cost += REMOTE_ZONE_FACTOR * replica->service->latency_estimate;
	if (now < replica->avoid_until ||
	    (replica->consecutive_failures >= CONSECUTIVE_FAILURES_MAX &&
	     replica->inflight_len > 0))
		cost += AVOID_COST_MS;
	return cost;
}

static bool is_in_list(const replica_t *replica, replica_t *const *list,
		       size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (list[i] == replica)
			return true;
	return false;
}

/*
 * Uses the load that the replica reports: requests in flight may also wait for
 * a pause to end, which is no queue.
 */
static bool has_queue(const replica_t *replica, medlar_time_t now)
{
	return now - replica->load_at <= LOAD_VALID_MS &&
	       replica->load > replica->info.slots;
}

static bool is_usable(const replica_t *replica, medlar_time_t now)
{
	return replica_takes_requests(replica, now) &&
	       now >= replica->avoid_until;
}

/**
 * fleet_has_usable() - check whether a service can be expected to answer
 * @service: service
 * @now: current time, ms
 *
 * Return: whether it has a replica that takes requests and is not avoided.
 */
bool fleet_has_usable(const fleet_service_t *service, medlar_time_t now)
{
	const replica_t *replica;

	TAILQ_FOREACH(replica, &service->replicas, link)
		if (is_usable(replica, now))
			return true;
	return false;
}

/**
 * fleet_overload_latency() - expected latency of a service with queues
 * @service: service
 * @now: current time, ms
 *
 * Return: lowest expected latency among its replicas in ms; 0 if any usable
 * replica reports no queue, or none is usable.
 */
double fleet_overload_latency(const fleet_service_t *service, medlar_time_t now)
{
	const replica_t *replica;
	double least = 0;

	TAILQ_FOREACH(replica, &service->replicas, link) {
		double expected;

		if (!is_usable(replica, now))
			continue;
		if (!has_queue(replica, now))
			return 0;
		expected = expected_latency(replica,
					    estimate_weight(replica, now)) *
			   queue_factor(replica, now);
		if (least == 0 || expected < least)
			least = expected;
	}
	return least;
}

/*
 * A replica with a long queue accepts fewer connections than it announces. The
 * limit that it showed is raised step by step.
 */
static bool has_conn(const replica_t *replica, unsigned conns_max,
		     medlar_time_t now)
{
	medlar_time_t steps = (now - replica->conns_limited_at) /
			      CONNS_RECOVERY_MS;

	if (replica->conns_idle > 0)
		return true;
	if (replica->conns >= conns_max)
		return false;
	return replica->conns_limit == 0 ||
	       replica->conns < replica->conns_limit + steps;
}

/**
 * fleet_pick() - choose the replica with the lowest expected cost
 * @fleet: fleet
 * @service: service
 * @except: replicas to exclude
 * @except_len: number of @except
 * @priority: priority of the request, 0 is the highest
 * @now: current time, ms
 *
 * Return: a replica with a free connection, or with room to open one, whose limit
 * allows a request; NULL if there is none.
 */
replica_t *fleet_pick(fleet_t *fleet, fleet_service_t *service,
		      replica_t *const *except, size_t except_len, int priority,
		      medlar_time_t now)
{
	unsigned conns_max = fleet_conns_max(fleet, service);
	replica_t *best = NULL;
	replica_t *replica;
	double best_cost = 0;
	double full_cost = INFINITY;

	TAILQ_FOREACH(replica, &service->replicas, link) {
		double cost;

		if (!replica_takes_requests(replica, now) ||
		    !has_conn(replica, conns_max, now) ||
		    is_in_list(replica, except, except_len))
			continue;
		cost = replica_cost(replica, now);
		if (!replica_has_room(replica, priority, now)) {
			full_cost = fmin(full_cost, cost);
			continue;
		}
		if (!best || cost < best_cost) {
			best = replica;
			best_cost = cost;
		}
	}
	if (best && full_cost < best_cost)
		fleet->moved_by_limit++;
	return best;
}

/**
 * replica_drain() - send no more requests to a replica
 * @replica: replica that announced that it shuts down
 */
void replica_drain(replica_t *replica)
{
	replica->info.draining = true;
}

/**
 * replica_limit_conns() - record that a replica reset a new connection
 * @replica: replica; the connection still counts in its @conns
 * @now: current time, ms
 *
 * A request on a connection that is reset may have run and must be retried from
 * the budget, so it is better to wait for a connection that is accepted.
 */
void replica_limit_conns(replica_t *replica, medlar_time_t now)
{
	replica->conns_limit = replica->conns > 1 ? replica->conns - 1 : 1;
	replica->conns_limited_at = now;
}

/**
 * replica_report_load() - record the load that a replica reports
 * @replica: replica
 * @load: running and waiting requests
 * @now: current time, ms
 */
void replica_report_load(replica_t *replica, unsigned load, medlar_time_t now)
{
	replica->load = load;
	replica->load_at = now;
}

static bool accept_delay(replica_t *replica, const announcement_t *announcement)
{
	medlar_time_t delay = announcement->delay;

	if (announcement->at < replica->announced_at + ANNOUNCED_STEP_MS)
		return false;
	replica->announced_at = announcement->at;
	replica->announced_delay = delay > ANNOUNCED_DELAY_MAX_MS
					   ? ANNOUNCED_DELAY_MAX_MS
					   : delay;
	return true;
}

static bool accept_pause(replica_t *replica, const announcement_t *announcement)
{
	if (announcement->at < replica->announced_pause_end + ANNOUNCED_STEP_MS)
		return false;
	replica->announced_pause_end = announcement->at;
	pause_accept(&replica->pause, &replica->service->fleet->pauses,
		     announcement->period, announcement->delay,
		     announcement->at);
	return true;
}

/**
 * replica_accept_announcement() - take what other instances measured
 * @replica: replica
 * @announcement: announcement about it
 * @now: current time, ms
 *
 * It makes the replica less attractive for a while, but never excludes it.
 *
 * Return: whether it is new, and should be passed on.
 */
bool replica_accept_announcement(replica_t *replica,
				 const announcement_t *announcement,
				 medlar_time_t now)
{
	if (announcement->at > now ||
	    now - announcement->at > ANNOUNCED_AGE_MAX_MS)
		return false;
	return announcement->period ? accept_pause(replica, announcement)
				    : accept_delay(replica, announcement);
}

/**
 * inflight_begin() - record a request sent to a replica
 * @inflight: request, not in flight; its memory must last until inflight_end()
 * @replica: replica that it is sent to; a reference is taken
 * @now: current time, ms
 */
void inflight_begin(inflight_t *inflight, replica_t *replica, medlar_time_t now)
{
	inflight->replica = replica;
	inflight->sent = now;
	inflight->queue_factor = queue_factor(replica, now);
	TAILQ_INSERT_TAIL(&replica->inflight, inflight, link);
	replica->inflight_len++;
	replica_ref(replica);
}

static void update_latency(replica_t *replica, double took, double since)
{
	fleet_service_t *service = replica->service;
	double gain = since / ESTIMATE_GAIN_FULL_MS;

	gain = fmin(fmax(gain, ESTIMATE_GAIN_MIN), ESTIMATE_GAIN_MAX);
	replica->latency_estimate += gain * (took - replica->latency_estimate);
	service->latency_estimate += SERVICE_ESTIMATE_GAIN *
				     (took - service->latency_estimate);
}

/* Return: whether a predicted pause explains the latency. */
static bool update_pause(replica_t *replica, const inflight_t *inflight,
			 medlar_time_t now)
{
	double expected = replica->latency_estimate * inflight->queue_factor;
	double took = (double)(now - inflight->sent);

	if (is_stall(took, expected))
		return pause_add_slow_reply(
			&replica->pause, &replica->service->fleet->pauses,
			(medlar_time_t)(took - expected), now);
	pause_add_usual_reply(&replica->pause, &replica->service->fleet->pauses,
			      inflight->sent, now);
	return false;
}

/*
 * Return: latency of a finished request beyond the usual one of its service, ms;
 * 0 for a usual reply, or negative if it tells nothing about the replica. A
 * queue that the replica reports itself is not its fault.
 */
static medlar_time_t measured_delay(const replica_t *replica,
				    const inflight_t *inflight,
				    inflight_end_t how, medlar_time_t now)
{
	double usual = replica->service->latency_estimate *
		       inflight->queue_factor;
	medlar_time_t took = now - inflight->sent;

	switch (how) {
	case INFLIGHT_OK:
		if (!is_stall((double)took, usual))
			return 0;
		return has_queue(replica, now) ? -1
					       : took - (medlar_time_t)usual;
	case INFLIGHT_FAILED:
		return FAILURE_DELAY_MS;
	case INFLIGHT_SILENT:
	case INFLIGHT_UNREACHABLE:
		return took > 0 ? took : 1;
	default:
		return -1;
	}
}

/* Usual replies are worth a report only from a replica announced as slow. */
static void report_delay(replica_t *replica, medlar_time_t delay,
			 medlar_time_t now)
{
	const fleet_t *fleet = replica->service->fleet;

	if (!fleet->on_report || delay < 0 ||
	    (delay == 0 && announced_cost(replica, now) < 1) ||
	    now - replica->reported_at < REPORT_INTERVAL_MS)
		return;
	replica->reported_at = now;
	fleet->on_report(replica, delay, fleet->report_data);
}

static void count_failure(replica_t *replica, medlar_time_t now)
{
	medlar_time_t duration = AVOID_MIN_MS;

	replica->consecutive_failures++;
	if (replica->consecutive_failures < CONSECUTIVE_FAILURES_MAX)
		return;
	for (unsigned i = CONSECUTIVE_FAILURES_MAX;
	     i < replica->consecutive_failures && duration < AVOID_MAX_MS; i++)
		duration *= 2;
	replica->avoid_until = now + (duration > AVOID_MAX_MS ? AVOID_MAX_MS
							      : duration);
}

/**
 * inflight_end() - record the end of a request and update the estimates
 * @inflight: request in flight
 * @how: result
 * @now: current time, ms
 */
void inflight_end(inflight_t *inflight, inflight_end_t how, medlar_time_t now)
{
	replica_t *replica = inflight->replica;
	double took = (double)(now - inflight->sent);
	double since = (double)(now - replica->estimated_at);
	bool failed = how == INFLIGHT_FAILED || how == INFLIGHT_REFUSED;

	TAILQ_REMOVE(&replica->inflight, inflight, link);
	replica->inflight_len--;
	inflight->replica = NULL;
	report_delay(replica, measured_delay(replica, inflight, how, now), now);
	if (how != INFLIGHT_IGNORED)
		decay_estimates(replica, now);
	if ((how == INFLIGHT_OK && !update_pause(replica, inflight, now)) ||
	    how == INFLIGHT_SILENT)
		update_latency(replica, took / inflight->queue_factor, since);
	if (how == INFLIGHT_OK) {
		replica->consecutive_failures = 0;
		replica->avoid_until = 0;
	}
	if (how == INFLIGHT_OK || failed)
		replica->failure_rate += FAILURE_GAIN * ((failed ? 1 : 0) -
							 replica->failure_rate);
	if (how == INFLIGHT_SILENT || how == INFLIGHT_UNREACHABLE)
		count_failure(replica, now);
	replica_unref(replica);
}
