/**
 * DOC: limits the damage of requests that crash upstreams
 *
 * A request that is not known to be safe is first sent to one shard, as
 * a canary, and to the other shards once the canary has replied. All instances
 * choose the same replica for the canary, so that concurrent copies of a
 * request meet there. Until one query of a fingerprint has completed,
 * other queries with that fingerprint wait for it, so that at most one replica
 * runs the request in each shard. After a crash, each request that was in
 * flight at the replica becomes a suspect. A suspect is sent again only in
 * a trial: one attempt at a time, to a replica with nothing else in flight.
 */
#include "query.h"

/* Most canaries of a query in flight at once. */
#define CANARIES_MAX 2
/* Shards tried for a canary that can be sent without queueing. */
#define CANARY_SHARDS_MAX 3
/* Longest wait for the canary leader, as a multiple of the hedge delay. */
#define LEADER_WAIT_HEDGE_DELAYS 4
/* Interval at which a held query checks whether it may go on, ms. */
#define HELD_CHECK_INTERVAL 5
/* Time left to the peer that reported a suspect for its own trial, ms. */
#define PEER_TRIAL_WAIT MEDLAR_SECOND
/* Replicas slower than the shard's average by this factor get no canary. */
#define CANARY_SLOW_RATIO 2.0F

static uint64_t *known_safe_slot(medlar_queries_t *queries,
				 uint64_t fingerprint)
{
	return &queries->known_safe[fingerprint & (MEDLAR_KNOWN_SAFE_MAX - 1)];
}

static uint64_t canary_weight(uint64_t fingerprint, uint64_t replica)
{
	medlar_rand_t mix = { fingerprint ^ replica };

	return medlar_rand_next(&mix);
}

static bool was_tried(const medlar_part_t *part,
		      const medlar_replica_t *replica)
{
	unsigned i;

	for (i = 0; i < part->tried_len; i++)
		if (part->tried[i] == replica)
			return true;
	return false;
}

static bool can_take_part(const medlar_query_t *query,
			  const medlar_part_t *part,
			  const medlar_replica_t *replica, medlar_time_t now)
{
	const medlar_shard_t *shard = replica->shard;

	if (!medlar_replica_usable(replica, now) ||
	    !medlar_replica_serves(replica, query->version) ||
	    was_tried(part, replica))
		return false;
	if (query->gate == MEDLAR_GATE_TRIAL)
		return replica->in_flight == 0;
	if (shard->latency > 0 &&
	    replica->latency > CANARY_SLOW_RATIO * shard->latency)
		return false;
	return replica->in_flight < replica->slots &&
	       (float)replica->in_flight < replica->limit;
}

/* Rendezvous hashing: all instances choose the same replica. */
static medlar_replica_t *choose_replica(const medlar_query_t *query,
					const medlar_part_t *part,
					medlar_time_t now)
{
	const medlar_shard_t *shard = medlar_service_shard(
		query->queries->service, part->shard);
	medlar_replica_t *best = NULL;
	uint64_t best_weight = 0;
	size_t i;

	for (i = 0; shard && i < shard->active; i++) {
		medlar_replica_t *replica = shard->replicas[i];
		uint64_t weight = canary_weight(query->params.fingerprint,
						replica->id);

		if (best && weight <= best_weight)
			continue;
		if (!can_take_part(query, part, replica, now))
			continue;
		best = replica;
		best_weight = weight;
	}
	return best;
}

static bool send_to_chosen(medlar_client_t *client, medlar_query_t *query,
			   medlar_part_t *part, medlar_time_t now)
{
	medlar_replica_t *replica = choose_replica(query, part, now);

	return replica && medlar_part_send_to(client, query, part, replica,
					      now) == MEDLAR_OK;
}

/* Returns the next held part after the last canary, wrapping around. */
static medlar_part_t *next_held_part(medlar_query_t *query)
{
	size_t i;

	for (i = 0; i < query->len; i++) {
		medlar_part_t *part = &query->parts[query->next_canary];

		query->next_canary = (uint32_t)((query->next_canary + 1) %
						query->len);
		if (part->state == MEDLAR_PART_HELD)
			return part;
	}
	return NULL;
}

static void send_canary(medlar_client_t *client, medlar_query_t *query,
			medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_part_t *first = next_held_part(query);
	medlar_part_t *part = first;
	unsigned i;

	query->gate_due = now + medlar_hedge_delay(queries);
	medlar_query_arm_timer(client, query, query->gate_due);
	if (!first)
		return;
	queries->stats.canaries++;
	for (i = 0; part && i < CANARY_SHARDS_MAX; i++) {
		if (send_to_chosen(client, query, part, now))
			return;
		part = next_held_part(query);
	}
	medlar_part_start(client, query, first, now);
}

static void release_parts(medlar_client_t *client, medlar_query_t *query,
			  medlar_time_t now)
{
	size_t len = query->len;
	size_t i;

	query->gate = MEDLAR_GATE_OPEN;
	query->gate_due = MEDLAR_TIME_NEVER;
	for (i = 0; i < len; i++) {
		query->parts[i].suspect = false;
		if (query->parts[i].state == MEDLAR_PART_HELD)
			medlar_part_start(client, query, &query->parts[i], now);
	}
}

/* Whether another query with the same fingerprint has a trial in flight. */
static bool other_trial_in_flight(const medlar_query_t *query)
{
	const medlar_query_t *other = query->queries->running.head;

	for (; other; other = other->next)
		if (other->trial_in_flight &&
		    other->params.fingerprint == query->params.fingerprint)
			return true;
	return false;
}

/*
 * Prefers a part in the shard that lost a replica. Any other held part serves
 * only if no suspect part has an attempt in flight, whose outcome would decide.
 */
static medlar_part_t *next_trial_part(medlar_query_t *query)
{
	medlar_part_t *any = NULL;
	bool in_flight = false;
	size_t i;

	for (i = 0; i < query->len; i++) {
		medlar_part_t *part = &query->parts[i];

		if (part->suspect && part->state == MEDLAR_PART_HELD)
			return part;
		in_flight = in_flight || (part->suspect && part->attempts);
		if (!any && part->state == MEDLAR_PART_HELD)
			any = part;
	}
	return in_flight ? NULL : any;
}

static void send_trial(medlar_client_t *client, medlar_query_t *query,
		       medlar_time_t now)
{
	medlar_part_t *part = next_trial_part(query);

	if (!part)
		return;
	if (!send_to_chosen(client, query, part, now)) {
		part->tried_len = 0;
		return;
	}
	part->due = MEDLAR_DUE_NONE;
	query->trial_in_flight = true;
	query->queries->stats.trials++;
}

static void advance_trial(medlar_client_t *client, medlar_query_t *query,
			  medlar_time_t now)
{
	medlar_suspect_entry_t entry = { .verdict = MEDLAR_VERDICT_CLEAR };
	const medlar_suspects_t *suspects = query->queries->service->suspects;

	if (suspects)
		medlar_suspects_get(suspects, query->params.fingerprint, now,
				    &entry);
	if (entry.verdict == MEDLAR_VERDICT_CONVICTED) {
		query->abort_error = MEDLAR_ERR_CONVICTED;
		return;
	}
	if (entry.verdict == MEDLAR_VERDICT_CLEAR) {
		release_parts(client, query, now);
		return;
	}
	if (!entry.local && now - entry.crashed_at < PEER_TRIAL_WAIT)
		return;
	if (!other_trial_in_flight(query))
		send_trial(client, query, now);
}

static unsigned canaries_in_flight(const medlar_query_t *query)
{
	unsigned count = 0;
	size_t i;

	for (i = 0; i < query->len; i++)
		count += query->parts[i].attempts != NULL;
	return count;
}

/* Returns the other query that sends canaries for this fingerprint, or NULL. */
static const medlar_query_t *find_leader(const medlar_query_t *query)
{
	const medlar_query_t *other = query->queries->running.head;

	for (; other; other = other->next)
		if (other != query && other->canary_leader &&
		    other->params.fingerprint == query->params.fingerprint)
			return other;
	return NULL;
}

/* Waits for the leader's canary, and becomes the leader after a timeout. */
static void await_leader(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	uint64_t fingerprint = query->params.fingerprint;
	medlar_time_t wait_max = LEADER_WAIT_HEDGE_DELAYS *
				 medlar_hedge_delay(queries);

	if (*known_safe_slot(queries, fingerprint) == fingerprint) {
		release_parts(client, query, now);
	} else if (!find_leader(query) ||
		   now - query->answer.started > wait_max) {
		query->canary_leader = true;
		send_canary(client, query, now);
	} else {
		query->gate_due = now + HELD_CHECK_INTERVAL;
		medlar_query_arm_timer(client, query, query->gate_due);
	}
}

/**
 * medlar_gate_canary_failed() - send another canary after one has failed
 * @client: client
 * @query: a running query
 * @now: current time
 */
void medlar_gate_canary_failed(medlar_client_t *client, medlar_query_t *query,
			       medlar_time_t now)
{
	if (query->gate != MEDLAR_GATE_CANARY || !query->canary_leader)
		return;
	query->gate_due = now;
	medlar_query_arm_timer(client, query, now);
}

/**
 * medlar_gate_advance() - send the next canary or trial of a held query
 * @client: client
 * @query: a running query
 * @now: current time
 *
 * If the request has been convicted, the query is marked to be ended with
 * %MEDLAR_ERR_CONVICTED by the next medlar_query_end_if_due().
 */
void medlar_gate_advance(medlar_client_t *client, medlar_query_t *query,
			 medlar_time_t now)
{
	if (query->gate == MEDLAR_GATE_OPEN || now < query->gate_due)
		return;
	if (query->gate == MEDLAR_GATE_TRIAL) {
		query->gate_due = now + HELD_CHECK_INTERVAL;
		medlar_query_arm_timer(client, query, query->gate_due);
		advance_trial(client, query, now);
		return;
	}
	query->gate_due = MEDLAR_TIME_NEVER;
	if (!query->canary_leader)
		await_leader(client, query, now);
	else if (canaries_in_flight(query) < CANARIES_MAX)
		send_canary(client, query, now);
}

static void begin_trial(medlar_client_t *client, medlar_query_t *query,
			medlar_time_t now)
{
	query->gate = MEDLAR_GATE_TRIAL;
	query->gate_due = now;
	medlar_query_arm_timer(client, query, now);
}

/* Starts a query whose fingerprint is already a suspect. */
static void begin_suspected(medlar_client_t *client, medlar_query_t *query,
			    uint32_t shard, medlar_time_t now)
{
	size_t i;

	for (i = 0; i < query->len; i++)
		query->parts[i].suspect = query->parts[i].shard == shard;
	begin_trial(client, query, now);
}

/**
 * medlar_gate_begin() - send the parts of a new query that are safe to send
 * @client: client
 * @query: a running query, all of whose parts are in %MEDLAR_PART_HELD
 * @now: current time
 */
void medlar_gate_begin(medlar_client_t *client, medlar_query_t *query,
		       medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	const medlar_suspects_t *suspects = queries->service->suspects;
	uint64_t fingerprint = query->params.fingerprint;
	medlar_suspect_entry_t entry;

	query->trial_in_flight = false;
	query->canary_leader = false;
	if (suspects && queries->tuning.trials &&
	    medlar_suspects_get(suspects, fingerprint, now, &entry) &&
	    entry.verdict == MEDLAR_VERDICT_SUSPECT) {
		begin_suspected(client, query, entry.shard, now);
		return;
	}
	if (!suspects || !queries->tuning.canaries || query->len < 2 ||
	    *known_safe_slot(queries, fingerprint) == fingerprint) {
		release_parts(client, query, now);
		return;
	}
	query->gate = MEDLAR_GATE_CANARY;
	query->next_canary = (uint32_t)(fingerprint % query->len);
	await_leader(client, query, now);
}

static bool has_suspect_part(const medlar_query_t *query)
{
	size_t i;

	for (i = 0; i < query->len; i++)
		if (query->parts[i].suspect &&
		    query->parts[i].state != MEDLAR_PART_DONE &&
		    query->parts[i].state != MEDLAR_PART_FAILED)
			return true;
	return false;
}

/**
 * medlar_gate_on_success() - release held parts after a successful reply
 * @client: client
 * @query: a running query
 * @part: part that was answered
 * @trial: the attempt was a trial
 * @now: current time
 */
void medlar_gate_on_success(medlar_client_t *client, medlar_query_t *query,
			    medlar_part_t *part, bool trial, medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	uint64_t fingerprint = query->params.fingerprint;

	if (query->gate == MEDLAR_GATE_TRIAL) {
		if (!trial && !part->suspect)
			return;
		part->suspect = false;
		if (!has_suspect_part(query) && queries->service->suspects)
			medlar_suspects_add_success(queries->service->suspects,
						    fingerprint);
		query->gate_due = now;
		medlar_gate_advance(client, query, now);
		return;
	}
	if (query->open_parts == 0)
		*known_safe_slot(queries, fingerprint) = fingerprint;
	if (query->gate == MEDLAR_GATE_CANARY)
		release_parts(client, query, now);
}

/* Holds all unsent parts until a trial succeeds; marks those of the shard. */
static void hold_parts(medlar_client_t *client, medlar_query_t *query,
		       uint32_t shard, medlar_time_t now)
{
	size_t i;

	for (i = 0; i < query->len; i++) {
		medlar_part_t *part = &query->parts[i];

		if (part->shard == shard)
			part->suspect = true;
		if (part->state != MEDLAR_PART_WAITING &&
		    part->state != MEDLAR_PART_BACKOFF)
			continue;
		medlar_part_queue_remove(query->queries, part);
		part->due = MEDLAR_DUE_NONE;
		part->state = MEDLAR_PART_HELD;
	}
	begin_trial(client, query, now);
}

static void trace_crash(medlar_client_t *client, const medlar_crash_t *crash,
			medlar_verdict_t verdict)
{
	MEDLAR_QUERY_TRACE(client, MEDLAR_EVENT_SUSPECT,
			   MEDLAR_HEX("fingerprint", crash->fingerprint),
			   MEDLAR_HEX("replica", crash->replica),
			   MEDLAR_NUM("shard", crash->shard),
			   MEDLAR_NUM("trial", crash->trial),
			   MEDLAR_NUM("verdict", verdict));
}

/**
 * medlar_gate_on_crash() - handle the possible crash of a replica
 * @client: client
 * @queries: queries of the service
 * @crash: the replica, and the request that was in flight there
 * @now: current time
 *
 * Holds every running query with the request's fingerprint, or ends it with
 * %MEDLAR_ERR_CONVICTED once the request is convicted.
 */
void medlar_gate_on_crash(medlar_client_t *client, medlar_queries_t *queries,
			  const medlar_crash_t *crash, medlar_time_t now)
{
	medlar_suspects_t *suspects = queries->service->suspects;
	medlar_query_t *query = queries->running.head;
	medlar_verdict_t verdict;

	if (!suspects || !queries->tuning.trials)
		return;
	verdict = medlar_suspects_add_crash(suspects, crash, now);
	trace_crash(client, crash, verdict);
	*known_safe_slot(queries, crash->fingerprint) = 0;
	for (; query; query = query->next) {
		if (query->params.fingerprint != crash->fingerprint)
			continue;
		if (verdict == MEDLAR_VERDICT_CONVICTED) {
			query->abort_error = MEDLAR_ERR_CONVICTED;
			medlar_query_arm_timer(client, query, now);
		} else if (query->gate != MEDLAR_GATE_TRIAL) {
			hold_parts(client, query, crash->shard, now);
		}
	}
}
