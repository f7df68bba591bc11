/**
 * DOC: load balancing: chooses the replica for a request
 *
 * In a shard with up to %COMPARE_ALL_MAX replicas, all of them are compared. In
 * a larger one, two are chosen at random (power of two choices), which spreads
 * load nearly as well and keeps instances from all choosing the same replica.
 * A replica in slow start, or with a limit below one request, is passed over
 * with some probability, but still used when there is no other. Ejected
 * replicas are used when all are ejected. When no replica is known to serve the
 * version, one whose versions were reported long ago is tried: the reply
 * reports its current versions, and a shard that gets no requests would never
 * report them.
 */
#include "internal.h"

/* Age after which the versions that a replica reported may have changed, ms. */
#define VERSIONS_AGE_MAX MEDLAR_SECOND

#define COMPARE_ALL_MAX 3
#define RANDOM_CHOICES_MAX 8
#define CANDIDATES 2

/* Score penalty of a replica in another availability zone, ms. */
#define ZONE_COST 1.0F

#define LATENCY_MIN 1.0F
#define LATENCY_AGE_MAX (5 * MEDLAR_SECOND)
#define LOAD_AGE_MAX MEDLAR_SECOND
#define LOAD_SHED 2.0F
#define SHED_AGE_MAX MEDLAR_SECOND
#define SLOW_RATIO 2.0F
#define SLOW_START_MIN 0.1F

/** enum fit - suitability of a replica for a request, best first */
typedef enum fit {
	FIT_FREE,
	FIT_HELD, /* passed over in favour of others */
	FIT_EJECTED,
	FIT_KINDS,
	FIT_BUSY = FIT_KINDS, /* at its concurrency limit */
	FIT_VERSION, /* does not serve the index version */
	FIT_TRIED, /* already tried for this part */
	FIT_COUNT
} fit_t;

/**
 * struct choice - state of one choice of a replica
 * @client: client
 * @pick: requirements
 * @now: current time, ms
 * @best: best replica found for each usable fit, or NULL
 * @score: score of each of @best; lower is better
 * @counts: replicas found for each fit
 * @recheck: accept a replica whose versions were reported long ago
 */
typedef struct choice {
	medlar_client_t *client;
	const medlar_pick_t *pick;
	medlar_time_t now;
	medlar_replica_t *best[FIT_KINDS];
	float score[FIT_KINDS];
	uint32_t counts[FIT_COUNT];
	bool recheck;
} choice_t;

/* Share of its normal load that a replica gets in slow start, 0 to 1. */
static float slow_start_factor(const medlar_replica_t *replica,
			       medlar_time_t now)
{
	float length = (float)replica->shard->service->policy.slow_start;
	float done;

	if (replica->slow_start_since == MEDLAR_TIME_NEVER)
		return 1;
	done = (float)(now - replica->slow_start_since) / length;
	if (done < SLOW_START_MIN)
		return SLOW_START_MIN;
	return done < 1 ? done : 1;
}

static bool shed_recently(const medlar_replica_t *replica, medlar_time_t now)
{
	return replica->shed_at != 0 && now - replica->shed_at < SHED_AGE_MAX;
}

/* Reported load; 0 if it is old or contradicts the observed latency. */
static float effective_load(const medlar_replica_t *replica, medlar_time_t now)
{
	if (shed_recently(replica, now))
		return LOAD_SHED;
	if (now - replica->reported_at > LOAD_AGE_MAX)
		return 0;
	if (replica->latency > SLOW_RATIO * replica->shard->latency)
		return 0;
	return replica->load;
}

static float replica_score(const medlar_client_t *client,
			   const medlar_replica_t *replica, medlar_time_t now)
{
	float latency = replica->latency;
	float score;

	if (latency == 0 || now - replica->ended_at > LATENCY_AGE_MAX)
		latency = replica->shard->latency;
	if (latency < LATENCY_MIN)
		latency = LATENCY_MIN;
	score = (float)(replica->in_flight + 1) * latency *
		(1 + effective_load(replica, now)) *
		(float)(1 + replica->failure_points);
	if (replica->limit < 1)
		score /= replica->limit;
	if (replica->zone != client->zone)
		score += ZONE_COST;
	return score;
}

static bool was_tried(const medlar_pick_t *pick,
		      const medlar_replica_t *replica)
{
	size_t i;

	for (i = 0; i < pick->tried_len; i++)
		if (pick->tried[i] == replica)
			return true;
	return false;
}

static bool is_busy(const medlar_replica_t *replica, medlar_time_t now)
{
	if (replica->in_flight >= replica->slots)
		return true;
	if (replica->health != MEDLAR_HEALTH_GOOD &&
	    now >= replica->ejected_until)
		return replica->in_flight > 0;
	return replica->in_flight > 0 &&
	       (float)replica->in_flight >= replica->limit;
}

static fit_t apply_load_limits(const choice_t *choice,
			       const medlar_replica_t *replica)
{
	float probability = slow_start_factor(replica, choice->now);

	if (replica->limit < 1 && shed_recently(replica, choice->now))
		probability *= replica->limit;
	if (probability >= 1)
		return FIT_FREE;
	if (choice->pick->for_hedge)
		return FIT_BUSY;
	if (medlar_rand_unit(&choice->client->rand) < (double)probability)
		return FIT_FREE;
	return FIT_HELD;
}

static bool may_serve_version(const choice_t *choice,
			      const medlar_replica_t *replica)
{
	if (medlar_replica_serves(replica, choice->pick->version))
		return true;
	return choice->recheck &&
	       choice->now - replica->cold->versions_reported_at >=
		       VERSIONS_AGE_MAX;
}

static fit_t classify_replica(const choice_t *choice,
			      const medlar_replica_t *replica)
{
	const medlar_pick_t *pick = choice->pick;

	if (pick->tried_len > 0 && was_tried(pick, replica))
		return FIT_TRIED;
	if (pick->version && !may_serve_version(choice, replica))
		return FIT_VERSION;
	if (is_busy(replica, choice->now))
		return FIT_BUSY;
	if (replica->health != MEDLAR_HEALTH_GOOD) {
		if (pick->for_hedge)
			return FIT_BUSY;
		if (choice->now < replica->ejected_until)
			return FIT_EJECTED;
	}
	return apply_load_limits(choice, replica);
}

static void consider_replica(choice_t *choice, medlar_replica_t *replica)
{
	fit_t fit = classify_replica(choice, replica);
	float score;

	choice->counts[fit]++;
	if (fit >= FIT_KINDS)
		return;
	score = replica_score(choice->client, replica, choice->now);
	if (choice->best[fit] && choice->score[fit] <= score)
		return;
	choice->best[fit] = replica;
	choice->score[fit] = score;
}

/*
 * Starts at a random replica so that ties are broken evenly, and stops after
 * enough free ones.
 */
static void consider_all(choice_t *choice, const medlar_shard_t *shard)
{
	size_t at = medlar_rand_below(&choice->client->rand, shard->active);
	size_t i;

	for (i = 0;
	     i < shard->active && choice->counts[FIT_FREE] < COMPARE_ALL_MAX;
	     i++) {
		consider_replica(choice, shard->replicas[at]);
		if (++at == shard->active)
			at = 0;
	}
}

static void reconsider_all(choice_t *choice, const medlar_shard_t *shard,
			   bool recheck)
{
	*choice = (choice_t){ .client = choice->client,
			      .pick = choice->pick,
			      .now = choice->now,
			      .recheck = recheck };
	consider_all(choice, shard);
}

static void consider_random(choice_t *choice, const medlar_shard_t *shard)
{
	medlar_replica_t *last = NULL;
	unsigned i;

	for (i = 0;
	     i < RANDOM_CHOICES_MAX && choice->counts[FIT_FREE] < CANDIDATES;
	     i++) {
		size_t at = medlar_rand_below(&choice->client->rand,
					      shard->active);

		if (shard->replicas[at] == last)
			continue;
		last = shard->replicas[at];
		consider_replica(choice, last);
	}
}

static int pick_error(const choice_t *choice, const medlar_shard_t *shard)
{
	size_t i;

	if (choice->counts[FIT_BUSY] > 0)
		return MEDLAR_ERR_FULL;
	if (choice->counts[FIT_VERSION] > 0)
		return MEDLAR_ERR_NO_VERSION;
	if (choice->counts[FIT_TRIED] > 0)
		return MEDLAR_ERR_NO_REPLICA;
	for (i = 0; i < shard->len; i++)
		if (!shard->replicas[i]->leaving)
			return MEDLAR_ERR_FULL;
	return MEDLAR_ERR_NO_REPLICA;
}

static medlar_replica_t *best_replica(const choice_t *choice)
{
	if (choice->best[FIT_FREE])
		return choice->best[FIT_FREE];
	if (choice->best[FIT_HELD])
		return choice->best[FIT_HELD];
	if (choice->counts[FIT_BUSY] > 0)
		return NULL;
	return choice->best[FIT_EJECTED];
}

static void trace_pick(const choice_t *choice, const medlar_replica_t *replica)
{
	MEDLAR_TRACE(choice->client, MEDLAR_EVENT_PICK,
		     MEDLAR_NUM("shard", replica->shard->index),
		     MEDLAR_TEXT("replica",
				 medlar_str_from(replica->cold->info.name)),
		     MEDLAR_NUM("in_flight", replica->in_flight),
		     MEDLAR_NUM("slots", replica->slots),
		     MEDLAR_NUM("latency_ms", replica->latency),
		     MEDLAR_NUM("free", choice->counts[FIT_FREE]),
		     MEDLAR_NUM("held", choice->counts[FIT_HELD]),
		     MEDLAR_NUM("ejected", choice->counts[FIT_EJECTED]));
}

/**
 * medlar_replica_pick() - choose the replica for a request
 * @client: client
 * @shard: shard to choose from
 * @pick: requirements
 * @now: current time, ms
 * @out: set to the replica on success
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_FULL when all suitable replicas are at their
 * limits, so that waiting helps; %MEDLAR_ERR_NO_VERSION when no replica that
 * was not tried serves the version; or %MEDLAR_ERR_NO_REPLICA.
 */
int medlar_replica_pick(medlar_client_t *client, medlar_shard_t *shard,
			const medlar_pick_t *pick, medlar_time_t now,
			medlar_replica_t **out)
{
	choice_t choice = { .client = client, .pick = pick, .now = now };
	medlar_replica_t *replica;

	if (shard->active > COMPARE_ALL_MAX)
		consider_random(&choice, shard);
	if (!choice.best[FIT_FREE] && shard->active > 0)
		reconsider_all(&choice, shard, false);
	replica = best_replica(&choice);
	if (!replica && !pick->for_hedge &&
	    pick_error(&choice, shard) == MEDLAR_ERR_NO_VERSION) {
		reconsider_all(&choice, shard, true);
		replica = best_replica(&choice);
	}
	if (!replica)
		return pick_error(&choice, shard);
	if (client->trace)
		trace_pick(&choice, replica);
	*out = replica;
	return MEDLAR_OK;
}
