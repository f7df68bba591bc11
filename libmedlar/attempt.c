/**
 * DOC: handles the outcomes of attempts
 *
 * The request id, index version and range of each reply are checked before its
 * payload is used. A reply that does not match its request is dropped, and its
 * connection must be closed. The outcome of an abandoned attempt is ignored,
 * but still releases the slot at the replica.
 */
#include <string.h>

#include "query.h"

/* Time reserved for the reply to arrive before the answer is due, ms. */
#define REPLY_TRAVEL_TIME 1

typedef void (*reply_action_fn_t)(medlar_client_t *client,
				  medlar_query_t *query, medlar_part_t *part,
				  const medlar_reply_t *reply,
				  medlar_time_t now);

/**
 * struct reply_rule - how a reply with a given status is handled
 * @result: result reported for the replica
 * @act: action on the part
 */
typedef struct reply_rule {
	medlar_request_result_t result;
	reply_action_fn_t act;
} reply_rule_t;

/**
 * struct fault_rule - how a transport fault is handled
 * @result: result reported for the replica
 * @retry: reason given for the retry, which sets its cost
 * @crash: the replica may have crashed
 */
typedef struct fault_rule {
	medlar_request_result_t result;
	medlar_retry_reason_t retry;
	bool crash;
} fault_rule_t;

/**
 * struct ended_attempt - what is still needed of an attempt after its release
 * @query: query that waits for the outcome; NULL if it was abandoned
 * @part: index of the part
 * @replica: id of the replica
 * @shard: shard of the replica
 * @fingerprint: fingerprint of the query
 * @trial: the attempt was a trial
 */
typedef struct ended_attempt {
	medlar_query_t *query;
	size_t part;
	uint64_t replica;
	uint32_t shard;
	uint64_t fingerprint;
	bool trial;
} ended_attempt_t;

static void complete_part(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, const medlar_reply_t *reply,
			  medlar_time_t now)
{
	(void)now;
	medlar_part_complete(client, query, part, reply->body);
}

static void retry_unsent(medlar_client_t *client, medlar_query_t *query,
			 medlar_part_t *part, const medlar_reply_t *reply,
			 medlar_time_t now)
{
	(void)reply;
	medlar_part_retry(client, query, part, MEDLAR_RETRY_UNSENT, now);
}

static void retry_shed(medlar_client_t *client, medlar_query_t *query,
		       medlar_part_t *part, const medlar_reply_t *reply,
		       medlar_time_t now)
{
	(void)reply;
	medlar_part_retry(client, query, part, MEDLAR_RETRY_SHED, now);
}

static void retry_failed(medlar_client_t *client, medlar_query_t *query,
			 medlar_part_t *part, const medlar_reply_t *reply,
			 medlar_time_t now)
{
	(void)reply;
	medlar_part_retry(client, query, part, MEDLAR_RETRY_FAILED, now);
}

static void follow_redirect(medlar_client_t *client, medlar_query_t *query,
			    medlar_part_t *part, const medlar_reply_t *reply,
			    medlar_time_t now)
{
	if (!part->attempts)
		medlar_part_redirect(client, query, part, reply->moved_to, now);
}

static const reply_rule_t reply_rules[] = {
	[MEDLAR_REPLY_OK] = { MEDLAR_RESULT_OK, complete_part },
	[MEDLAR_REPLY_NOT_EXECUTED] = { MEDLAR_RESULT_SHED, retry_shed },
	[MEDLAR_REPLY_WRONG_VERSION] = { MEDLAR_RESULT_CANCELLED,
					 retry_unsent },
	[MEDLAR_REPLY_MOVED] = { MEDLAR_RESULT_CANCELLED, follow_redirect },
	[MEDLAR_REPLY_CANCELLED] = { MEDLAR_RESULT_CANCELLED, retry_failed },
	[MEDLAR_REPLY_ERROR] = { MEDLAR_RESULT_ERROR, retry_failed },
};

static const fault_rule_t fault_rules[] = {
	[MEDLAR_FAULT_REFUSED] = { MEDLAR_RESULT_REFUSED, MEDLAR_RETRY_UNSENT,
				   false },
	[MEDLAR_FAULT_UNSENT] = { MEDLAR_RESULT_CANCELLED, MEDLAR_RETRY_UNSENT,
				  false },
	[MEDLAR_FAULT_RESET] = { MEDLAR_RESULT_RESET, MEDLAR_RETRY_FAILED,
				 true },
	[MEDLAR_FAULT_SILENT] = { MEDLAR_RESULT_SILENT, MEDLAR_RETRY_SILENT,
				  false },
	[MEDLAR_FAULT_MALFORMED] = { MEDLAR_RESULT_ERROR, MEDLAR_RETRY_FAILED,
				     false },
	[MEDLAR_FAULT_CANCELLED] = { MEDLAR_RESULT_CANCELLED,
				     MEDLAR_RETRY_FAILED, false },
};

static const char *find_mismatch(const medlar_attempt_t *attempt,
				 const medlar_reply_t *reply)
{
	const medlar_part_t *part;

	if (memcmp(attempt->id, reply->id, sizeof(attempt->id)) != 0)
		return "id";
	if (reply->status < 0 || reply->status > MEDLAR_REPLY_ERROR)
		return "status";
	if (reply->status != MEDLAR_REPLY_OK)
		return NULL;
	if (reply->version != attempt->version)
		return "version";
	if (attempt->state != MEDLAR_ATTEMPT_LIVE)
		return NULL;
	part = &attempt->origin.query->parts[attempt->part];
	if (reply->range.lo != part->range.lo ||
	    reply->range.hi != part->range.hi)
		return "range";
	return NULL;
}

/* Removes a version that the replica has just refused from its versions. */
static void forget_version(medlar_client_t *client, medlar_replica_t *replica,
			   uint32_t version)
{
	uint32_t left[MEDLAR_VERSIONS_MAX] = { 0 };
	size_t len = 0;
	size_t i;

	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++)
		if (replica->versions[i] && replica->versions[i] != version)
			left[len++] = replica->versions[i];
	medlar_replica_set_versions(client, replica, left, len);
}

static void update_replica(medlar_client_t *client,
			   const medlar_attempt_t *attempt,
			   const medlar_reply_t *reply, medlar_time_t now)
{
	medlar_replica_t *replica = attempt->replica;
	size_t len = 0;

	if (reply->incarnation > 0)
		medlar_replica_set_incarnation(client, replica,
					       reply->incarnation, now);
	if (reply->leaving)
		medlar_replica_set_leaving(client, replica, reply->incarnation,
					   now);
	medlar_replica_report_load(client, replica, &reply->load, now);
	while (len < MEDLAR_VERSIONS_MAX && reply->versions[len])
		len++;
	if (len > 0)
		medlar_replica_set_versions(client, replica, reply->versions,
					    len);
	if (reply->status == MEDLAR_REPLY_WRONG_VERSION)
		forget_version(client, replica, attempt->version);
}

static void unlink_attempt(medlar_part_t *part, medlar_attempt_t *attempt)
{
	medlar_attempt_t **at = &part->attempts;

	while (*at != attempt)
		at = &(*at)->next;
	*at = attempt->next;
}

/* Releases the slot and the attempt; may free the replica. */
static ended_attempt_t end_attempt(medlar_client_t *client,
				   medlar_queries_t *queries,
				   medlar_attempt_t *attempt,
				   medlar_request_result_t result,
				   medlar_time_t now)
{
	medlar_replica_t *replica = attempt->replica;
	medlar_time_t took = (uint32_t)now - attempt->sent;
	bool live = attempt->state == MEDLAR_ATTEMPT_LIVE;
	ended_attempt_t ended = {
		.query = live ? attempt->origin.query : NULL,
		.part = attempt->part,
		.replica = medlar_replica_id(replica),
		.shard = replica->shard->index,
		.fingerprint = live ? attempt->origin.query->params.fingerprint
				    : attempt->origin.fingerprint,
		.trial = attempt->trial,
	};

	if (ended.query)
		unlink_attempt(&ended.query->parts[ended.part], attempt);
	else
		queries->stats.late++;
	if (ended.query && ended.trial)
		ended.query->trial_in_flight = false;
	/* The full reply time of a cancelled request is at least @took. */
	if (result == MEDLAR_RESULT_OK || (result == MEDLAR_RESULT_CANCELLED &&
					   took >= medlar_hedge_delay(queries)))
		medlar_hedge_record_latency(queries, took, now);
	medlar_pool_put_attempt(queries, attempt);
	medlar_replica_end_request(client, replica, result, took, now);
	return ended;
}

static medlar_queries_t *queries_of(const medlar_attempt_t *attempt)
{
	return attempt->replica->shard->service->queries;
}

static void trace_dropped_reply(medlar_client_t *client,
				const medlar_attempt_t *attempt,
				const medlar_reply_t *reply, const char *why)
{
	const medlar_replica_info_t *info = medlar_replica_info(
		attempt->replica);

	MEDLAR_QUERY_TRACE(client, MEDLAR_EVENT_DROP,
			   MEDLAR_TEXT("wrong", medlar_str_from(why)),
			   MEDLAR_TEXT("replica", medlar_str_from(info->name)),
			   MEDLAR_NUM("version", reply->version),
			   MEDLAR_NUM("wanted", attempt->version),
			   MEDLAR_NUM("lo", reply->range.lo),
			   MEDLAR_NUM("hi", reply->range.hi));
}

static void trace_outcome(medlar_client_t *client, const ended_attempt_t *ended,
			  int result, int status)
{
	MEDLAR_QUERY_TRACE(client, MEDLAR_EVENT_REPLY,
			   MEDLAR_HEX("query", ended->fingerprint),
			   MEDLAR_NUM("shard", ended->shard),
			   MEDLAR_HEX("replica", ended->replica),
			   MEDLAR_NUM("result", result),
			   MEDLAR_NUM("status", status),
			   MEDLAR_NUM("late", ended->query ? 0 : 1));
}

/**
 * medlar_attempt_reply() - report the reply to an attempt
 * @client: client
 * @attempt: attempt that the connection was waiting for; invalid afterwards
 * @reply: reply as received
 * @now: current time
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_PROTOCOL when the reply does not match the
 * request, and its connection must be closed; or %MEDLAR_ERR_STALE when the
 * outcome of @attempt was reported before.
 */
int medlar_attempt_reply(medlar_client_t *client, medlar_attempt_t *attempt,
			 const medlar_reply_t *reply, medlar_time_t now)
{
	medlar_queries_t *queries;
	const reply_rule_t *rule;
	const char *mismatch;
	medlar_part_t *part;
	ended_attempt_t ended;

	if (attempt->state == MEDLAR_ATTEMPT_FREE)
		return MEDLAR_ERR_STALE;
	queries = queries_of(attempt);
	mismatch = find_mismatch(attempt, reply);
	rule = &reply_rules[mismatch ? MEDLAR_REPLY_ERROR : reply->status];
	if (mismatch) {
		queries->stats.dropped++;
		trace_dropped_reply(client, attempt, reply, mismatch);
	} else {
		update_replica(client, attempt, reply, now);
	}
	ended = end_attempt(client, queries, attempt, rule->result, now);
	trace_outcome(client, &ended, rule->result, reply->status);
	medlar_part_queue_dispatch(client, queries, ended.shard, now);
	if (ended.query) {
		part = &ended.query->parts[ended.part];
		rule->act(client, ended.query, part, reply, now);
		if (rule->result == MEDLAR_RESULT_OK)
			medlar_gate_on_success(client, ended.query, part,
					       ended.trial, now);
		medlar_query_end_if_due(client, ended.query, now);
	}
	return mismatch ? MEDLAR_ERR_PROTOCOL : MEDLAR_OK;
}

/**
 * medlar_attempt_fail() - report that an attempt ended without a reply
 * @client: client
 * @attempt: attempt; invalid afterwards. Ignored if it was reported before
 * @fault: transport fault
 * @now: current time
 */
void medlar_attempt_fail(medlar_client_t *client, medlar_attempt_t *attempt,
			 medlar_fault_t fault, medlar_time_t now)
{
	const fault_rule_t *rule = &fault_rules[fault];
	medlar_queries_t *queries;
	ended_attempt_t ended;

	if (attempt->state == MEDLAR_ATTEMPT_FREE)
		return;
	queries = queries_of(attempt);
	ended = end_attempt(client, queries, attempt, rule->result, now);
	trace_outcome(client, &ended, rule->result, -1);
	if (rule->crash) {
		const medlar_crash_t crash = {
			.fingerprint = ended.fingerprint,
			.replica = ended.replica,
			.shard = ended.shard,
			.trial = ended.trial,
			.local = true,
		};

		if (ended.query)
			ended.query->parts[ended.part].suspect = true;
		medlar_gate_on_crash(client, queries, &crash, now);
	}
	medlar_part_queue_dispatch(client, queries, ended.shard, now);
	if (!ended.query)
		return;
	medlar_part_retry(client, ended.query, &ended.query->parts[ended.part],
			  rule->retry, now);
	medlar_query_end_if_due(client, ended.query, now);
}

/**
 * medlar_attempt_query() - query that an attempt belongs to
 * @attempt: an attempt
 *
 * Return: the query, or NULL once the attempt is abandoned.
 */
medlar_query_t *medlar_attempt_query(const medlar_attempt_t *attempt)
{
	if (attempt->state != MEDLAR_ATTEMPT_LIVE)
		return NULL;
	return attempt->origin.query;
}

/**
 * medlar_attempt_replica() - replica that an attempt was sent to
 * @attempt: an attempt whose outcome has not been reported
 *
 * Return: the replica.
 */
medlar_replica_t *medlar_attempt_replica(const medlar_attempt_t *attempt)
{
	return attempt->replica;
}

/**
 * medlar_attempt_range() - range of keys that an attempt requests
 * @attempt: an attempt
 *
 * Return: the range; empty once the attempt is abandoned.
 */
medlar_range_t medlar_attempt_range(const medlar_attempt_t *attempt)
{
	if (attempt->state != MEDLAR_ATTEMPT_LIVE)
		return (medlar_range_t){ 0, 0 };
	return attempt->origin.query->parts[attempt->part].range;
}

/**
 * medlar_attempt_kind() - why an attempt was made
 * @attempt: an attempt
 *
 * Return: the kind.
 */
medlar_attempt_kind_t medlar_attempt_kind(const medlar_attempt_t *attempt)
{
	return (medlar_attempt_kind_t)attempt->kind;
}

/**
 * medlar_attempt_id() - request id of an attempt
 * @attempt: an attempt
 *
 * Return: %MEDLAR_REQUEST_ID_LEN random bytes.
 */
const uint8_t *medlar_attempt_id(const medlar_attempt_t *attempt)
{
	return attempt->id;
}

/**
 * medlar_attempt_version() - index version that an attempt requests
 * @attempt: an attempt
 *
 * Return: the version.
 */
uint32_t medlar_attempt_version(const medlar_attempt_t *attempt)
{
	return attempt->version;
}

/**
 * medlar_attempt_generation() - number of times the memory was reused
 * @attempt: an attempt; its memory stays valid as long as the service
 *
 * Return: a number that differs from that of earlier attempts in the same
 * memory, which lets a holder detect a stale reference.
 */
uint32_t medlar_attempt_generation(const medlar_attempt_t *attempt)
{
	return attempt->generation;
}

/**
 * medlar_attempt_deadline() - time by which the reply to an attempt is needed
 * @attempt: an attempt
 *
 * Return: absolute time in ms, earlier than the deadline of the query by the
 * time reserved for merging and answering; 0 once the attempt is abandoned.
 */
medlar_time_t medlar_attempt_deadline(const medlar_attempt_t *attempt)
{
	if (attempt->state != MEDLAR_ATTEMPT_LIVE)
		return 0;
	return attempt->origin.query->answer_due - REPLY_TRAVEL_TIME;
}

/**
 * medlar_attempt_data() - user data of an attempt
 * @attempt: an attempt
 *
 * Return: the pointer set last; NULL at first.
 */
void *medlar_attempt_data(const medlar_attempt_t *attempt)
{
	return attempt->data;
}

/**
 * medlar_attempt_set_data() - attach user data to an attempt
 * @attempt: an attempt
 * @data: any pointer; cleared when the outcome is reported
 */
void medlar_attempt_set_data(medlar_attempt_t *attempt, void *data)
{
	attempt->data = data;
}
