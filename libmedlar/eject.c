/**
 * DOC: outlier detection: ejects replicas that fail or are slow
 *
 * A replica is ejected for consecutive failures, for a high failure rate, or
 * for being much slower than most other replicas of its shard. Each ejection
 * lasts twice as long as the one before. Then the replica is half-open:
 * a single request decides whether it returns. A silent connection counts as
 * a failure only while the replica also refuses connections, and sheds never
 * count.
 */
#include "internal.h"

#define FAILURE_POINTS_MAX 5
#define REFUSED_POINTS 2
#define FAILURE_RATE_WEIGHT 0.1F
#define FAILURE_RATE_MAX 0.5F
#define SAMPLES_MIN 10
#define SAMPLES_WRAP 128

#define SLOW_RATIO 5.0F
#define SLOW_LATENCY_MIN 10.0F
#define SLOW_CHECK_EVERY 8

#define EJECT_TIME_BASE MEDLAR_SECOND
#define EJECT_DOUBLINGS_MAX 6
#define EJECT_MEMORY (2 * MEDLAR_MINUTE)

static bool is_failure(const medlar_replica_t *replica,
		       medlar_request_result_t result)
{
	if (result == MEDLAR_RESULT_SILENT)
		return replica->refused;
	return result == MEDLAR_RESULT_ERROR || result == MEDLAR_RESULT_RESET ||
	       result == MEDLAR_RESULT_REFUSED;
}

/* Whether a reply time is far above those of most other replicas. */
static bool is_slow(const medlar_replica_t *replica, float latency)
{
	const medlar_shard_t *shard = replica->shard;
	size_t faster = 0;
	size_t others = 0;
	size_t i;

	if (latency < SLOW_LATENCY_MIN)
		return false;
	for (i = 0; i < shard->len; i++) {
		const medlar_replica_t *other = shard->replicas[i];

		if (other == replica || other->latency == 0)
			continue;
		others++;
		if (latency > SLOW_RATIO * other->latency)
			faster++;
	}
	return 2 * faster > others;
}

/* Whether the shard may have @replica ejected in addition to the others. */
static bool may_eject(const medlar_replica_t *replica)
{
	const medlar_shard_t *shard = replica->shard;
	double most = shard->service->policy.eject_max;
	size_t ejected = 1;
	size_t live = 0;
	size_t i;

	for (i = 0; i < shard->len; i++) {
		const medlar_replica_t *other = shard->replicas[i];

		if (other->leaving)
			continue;
		live++;
		if (other != replica && other->health != MEDLAR_HEALTH_GOOD)
			ejected++;
	}
	return (double)ejected <= most * (double)live;
}

static void reset_counters(medlar_replica_t *replica)
{
	replica->failure_points = 0;
	replica->failures = 0;
	replica->samples = 0;
	replica->refused = false;
}

static void trace_ejection(medlar_client_t *client,
			   const medlar_replica_t *replica, medlar_str_t why,
			   medlar_time_t time)
{
	MEDLAR_TRACE(client, MEDLAR_EVENT_EJECT,
		     MEDLAR_TEXT("replica",
				 medlar_str_from(replica->cold->info.name)),
		     MEDLAR_TEXT("why", why), MEDLAR_NUM("for_ms", time),
		     MEDLAR_NUM("ejections", replica->ejections),
		     MEDLAR_NUM("latency_ms", replica->latency));
}

static void eject_replica(medlar_client_t *client, medlar_replica_t *replica,
			  medlar_str_t why, medlar_time_t now)
{
	medlar_time_t time = EJECT_TIME_BASE << replica->ejections;

	if (replica->ejections < EJECT_DOUBLINGS_MAX)
		replica->ejections++;
	replica->health = MEDLAR_HEALTH_EJECTED;
	replica->ejected_until = now + time;
	trace_ejection(client, replica, why, time);
	reset_counters(replica);
	replica->latency = 0;
}

static void return_replica(medlar_client_t *client, medlar_replica_t *replica)
{
	replica->health = MEDLAR_HEALTH_GOOD;
	reset_counters(replica);
	trace_ejection(client, replica, MEDLAR_STR("returned"), 0);
}

static void end_half_open(medlar_client_t *client, medlar_replica_t *replica,
			  medlar_request_result_t result, medlar_time_t took,
			  medlar_time_t now)
{
	if (is_failure(replica, result))
		eject_replica(client, replica, MEDLAR_STR("probe failed"), now);
	else if (is_slow(replica, (float)took))
		eject_replica(client, replica, MEDLAR_STR("probe slow"), now);
	else if (result == MEDLAR_RESULT_OK)
		return_replica(client, replica);
	else
		replica->health = MEDLAR_HEALTH_EJECTED;
}

static void count_result(medlar_replica_t *replica,
			 medlar_request_result_t result, bool failure)
{
	float sample = failure ? 1.0F : 0.0F;

	replica->failures += FAILURE_RATE_WEIGHT * (sample - replica->failures);
	if (++replica->samples == UINT8_MAX)
		replica->samples = SAMPLES_WRAP;
	if (!failure) {
		replica->failure_points = 0;
		replica->refused = false;
		return;
	}
	if (result == MEDLAR_RESULT_REFUSED)
		replica->refused = true;
	if (replica->failure_points < FAILURE_POINTS_MAX)
		replica->failure_points += result == MEDLAR_RESULT_REFUSED
						   ? REFUSED_POINTS
						   : 1;
}

/* Returns the reason to eject a replica, or an empty string. */
static medlar_str_t ejection_reason(const medlar_replica_t *replica,
				    bool failure)
{
	if (failure && replica->failure_points >= FAILURE_POINTS_MAX)
		return MEDLAR_STR("failures in a row");
	if (failure && replica->samples >= SAMPLES_MIN &&
	    replica->failures > FAILURE_RATE_MAX)
		return MEDLAR_STR("share of failures");
	if (replica->samples >= SAMPLES_MIN &&
	    replica->samples % SLOW_CHECK_EVERY == 0 &&
	    is_slow(replica, replica->latency))
		return MEDLAR_STR("slow");
	return MEDLAR_STR("");
}

/**
 * medlar_eject_update() - eject or return a replica after a request
 * @client: client
 * @replica: replica
 * @result: how the request ended
 * @took: duration of the request, ms
 * @now: current time, ms
 */
void medlar_eject_update(medlar_client_t *client, medlar_replica_t *replica,
			 medlar_request_result_t result, medlar_time_t took,
			 medlar_time_t now)
{
	bool failure = is_failure(replica, result);
	medlar_str_t why;

	if (replica->health == MEDLAR_HEALTH_HALF_OPEN) {
		end_half_open(client, replica, result, took, now);
		return;
	}
	if (replica->health == MEDLAR_HEALTH_EJECTED)
		return;
	if (!failure && result != MEDLAR_RESULT_OK &&
	    result != MEDLAR_RESULT_CANCELLED)
		return;
	if (failure || result == MEDLAR_RESULT_OK)
		count_result(replica, result, failure);
	if (replica->ejections > 0 &&
	    now - replica->ejected_until > EJECT_MEMORY)
		replica->ejections = 0;
	why = ejection_reason(replica, failure);
	if (why.len > 0 && may_eject(replica))
		eject_replica(client, replica, why, now);
}

/**
 * medlar_eject_reset() - clear the ejection state of a restarted replica
 * @replica: replica
 */
void medlar_eject_reset(medlar_replica_t *replica)
{
	replica->health = MEDLAR_HEALTH_GOOD;
	replica->ejections = 0;
	reset_counters(replica);
}
