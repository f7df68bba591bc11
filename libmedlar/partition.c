/**
 * DOC: group commit of claims and outcomes to a journal
 *
 * A commit reads the journal, applies all pending claims and writes the journal
 * back by compare-and-swap. Claims that arrive meanwhile wait for the next
 * commit. Outcomes aren't urgent: they are delayed so that they can share a
 * commit with later claims.
 */
#include <math.h>
#include <stdlib.h>

#include "medlar.h"

#define RECORD_DELAY_MIN 20.0 /* delay of an outcome without load, ms */
#define RECORD_DELAY_MAX 1000.0 /* delay at the full commit rate, ms */
#define LOAD_TIME_CONSTANT 1000.0 /* of the moving average, ms */
#define COMMIT_BURST 4.0 /* commits ahead of the commit rate */
#define CONFLICTS_UNPACED_MAX 3 /* conflicts in a row */

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data);
static void read_journal(medlar_partition_t *partition, medlar_time_t now);

/**
 * medlar_partition_init() - initialise a partition without claims
 * @partition: memory of the caller
 * @writes: writes of the service
 * @generation: position of the layout in the list of layouts
 * @index: number of the journal within the layout
 */
void medlar_partition_init(medlar_partition_t *partition,
			   medlar_writes_t *writes, uint32_t generation,
			   uint32_t index)
{
	*partition = (medlar_partition_t){
		.writes = writes,
		.generation = generation,
		.index = index,
	};
	medlar_timer_init(&partition->timer, on_timer, partition);
}

/**
 * medlar_partition_finish() - release a partition
 * @partition: an initialised partition without a store call in flight
 */
void medlar_partition_finish(medlar_partition_t *partition)
{
	medlar_timer_clear(partition->writes->client, &partition->timer);
}

static void set_timer(medlar_partition_t *partition, medlar_time_t due)
{
	/* If memory runs out, the next claim starts the commit. */
	(void)medlar_timer_set(partition->writes->client, &partition->timer,
			       due);
}

/* Moving average of the share of the commit rate in use, 0 to 1. */
static double commit_load_at(const medlar_writes_t *writes, medlar_time_t now)
{
	double age = (double)(now - writes->commit_load_time);

	return fmin(1, writes->commit_load * exp(-age / LOAD_TIME_CONSTANT));
}

static medlar_time_t record_due_time(const medlar_writes_t *writes,
				     medlar_time_t now)
{
	double range = RECORD_DELAY_MAX - RECORD_DELAY_MIN;

	return now + (medlar_time_t)(RECORD_DELAY_MIN +
				     commit_load_at(writes, now) * range);
}

/* Reserves the next commit; returns when the commit rate allows it, ms. */
static medlar_time_t reserve_commit(medlar_writes_t *writes, medlar_time_t now)
{
	double due = writes->next_commit -
		     COMMIT_BURST * writes->commit_interval;

	if (writes->commit_interval <= 0)
		return now;
	writes->commit_load = commit_load_at(writes, now) +
			      writes->commit_interval / LOAD_TIME_CONSTANT;
	writes->commit_load_time = now;
	if (writes->next_commit < (double)now)
		writes->next_commit = (double)now;
	writes->next_commit += writes->commit_interval;
	return due > (double)now ? (medlar_time_t)due : now;
}

static void schedule_commit(medlar_partition_t *partition, medlar_time_t now)
{
	medlar_time_t due;

	if (!partition->commit_reserved) {
		due = reserve_commit(partition->writes, now);
		partition->commit_reserved = true;
		if (due > now) {
			set_timer(partition, due);
			return;
		}
	}
	medlar_timer_clear(partition->writes->client, &partition->timer);
	partition->commit_reserved = false;
	read_journal(partition, now);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	medlar_partition_t *partition = data;

	(void)client;
	(void)timer;
	if (!partition->busy && partition->claims.head)
		schedule_commit(partition, now);
}

static bool is_commit_scheduled(const medlar_partition_t *partition)
{
	return partition->busy ||
	       (partition->timer.slot &&
		(partition->commit_reserved || partition->failures > 0));
}

/**
 * medlar_partition_add() - queue a claim for the next commit
 * @partition: partition
 * @claim: claim that is not in any list
 * @now: current time
 */
void medlar_partition_add(medlar_partition_t *partition, medlar_claim_t *claim,
			  medlar_time_t now)
{
	medlar_claims_append(&partition->claims, claim);
	if (is_commit_scheduled(partition))
		return;
	if (claim->op != MEDLAR_CLAIM_OP_RECORD)
		schedule_commit(partition, now);
	else if (!partition->timer.slot)
		set_timer(partition, record_due_time(partition->writes, now));
}

static void notify_resolved(medlar_partition_t *partition)
{
	medlar_claim_t *claim;

	while ((claim = partition->resolved.head)) {
		medlar_claims_remove(claim);
		medlar_write_resolved(claim->write);
	}
}

static bool has_urgent_claim(const medlar_partition_t *partition)
{
	const medlar_claim_t *claim = partition->claims.head;

	while (claim && claim->op == MEDLAR_CLAIM_OP_RECORD)
		claim = claim->next;
	return claim != NULL;
}

static void schedule_after_success(medlar_partition_t *partition)
{
	medlar_time_t now = medlar_writes_now(partition->writes);

	partition->failures = 0;
	if (!partition->claims.head)
		return;
	if (has_urgent_claim(partition))
		schedule_commit(partition, now);
	else
		set_timer(partition, record_due_time(partition->writes, now));
}

static void schedule_after_failure(medlar_partition_t *partition)
{
	medlar_writes_t *writes = partition->writes;
	medlar_time_t delay;

	delay = medlar_writes_backoff(writes->client, partition->failures++);
	if (partition->claims.head)
		set_timer(partition, medlar_writes_now(writes) + delay);
}

/*
 * After a conflict the commit is retried without waiting for the commit rate,
 * but is counted by it. After several conflicts in a row retries wait as well,
 * so that instances in conflict can't exceed the rate.
 */
static void schedule_after_conflict(medlar_partition_t *partition)
{
	medlar_writes_t *writes = partition->writes;

	schedule_after_failure(partition);
	if (!partition->timer.slot ||
	    partition->failures > CONFLICTS_UNPACED_MAX)
		return;
	(void)reserve_commit(writes, medlar_writes_now(writes));
	partition->commit_reserved = true;
}

static void count_commit_failure(medlar_writes_t *writes,
				 medlar_store_status_t status)
{
	if (status == MEDLAR_STORE_CONFLICT)
		writes->stats.conflicts++;
	if (status == MEDLAR_STORE_UNKNOWN)
		writes->stats.lost++;
}

static void settle_claims(medlar_partition_t *partition,
			  medlar_store_status_t status)
{
	medlar_claim_t *claim = partition->claims.head;

	while (claim) {
		medlar_claim_t *next = claim->next;

		medlar_claim_finish_commit(claim, partition, status);
		claim = next;
	}
}

static void end_commit(medlar_partition_t *partition,
		       medlar_store_status_t status)
{
	medlar_writes_t *writes = partition->writes;

	partition->busy = false;
	count_commit_failure(writes, status);
	MEDLAR_TRACE(
		writes->client, MEDLAR_EVENT_CLAIM,
		MEDLAR_TEXT("service", medlar_str_from(writes->policy.name)),
		MEDLAR_NUM("generation", partition->generation),
		MEDLAR_NUM("partition", partition->index),
		MEDLAR_NUM("index", partition->read_index),
		MEDLAR_NUM("status", status));
	settle_claims(partition, status);
	if (status == MEDLAR_STORE_OK)
		schedule_after_success(partition);
	else if (status == MEDLAR_STORE_CONFLICT)
		schedule_after_conflict(partition);
	else
		schedule_after_failure(partition);
	notify_resolved(partition);
}

static void on_commit(const medlar_store_reply_t *reply, void *data)
{
	end_commit(data, reply->status);
}

static void write_journal(medlar_partition_t *partition,
			  medlar_journal_t *journal)
{
	medlar_writes_t *writes = partition->writes;
	medlar_buf_t value;
	medlar_buf_t key;
	int error;

	medlar_buf_init(&value);
	medlar_buf_init(&key);
	journal->sequence++;
	medlar_journal_encode(journal, &value);
	medlar_writes_store_key(writes, &key, "%u.%u", partition->generation,
				partition->index);
	writes->stats.commits++;
	error = value.error ? value.error : key.error;
	if (!error)
		error = writes->store.cas(
			writes->store.data, medlar_buf_str(&key),
			medlar_buf_str(&value), partition->read_index,
			on_commit, partition);
	medlar_buf_finish(&key);
	medlar_buf_finish(&value);
	if (error)
		end_commit(partition, MEDLAR_STORE_DOWN);
}

static bool apply_claims(medlar_partition_t *partition,
			 medlar_journal_t *journal)
{
	medlar_time_t wall = medlar_writes_wall_time(partition->writes);
	medlar_claim_t *claim = partition->claims.head;
	bool changed = false;

	while (claim) {
		medlar_claim_t *next = claim->next;

		if (medlar_claim_apply(claim, partition, journal, wall))
			changed = true;
		claim = next;
	}
	return changed;
}

static void process_journal(medlar_partition_t *partition,
			    medlar_journal_t *journal)
{
	medlar_writes_t *writes = partition->writes;

	medlar_journal_expire(journal, medlar_writes_wall_time(writes) -
					       writes->policy.window -
					       MEDLAR_CLOCK_SKEW_MAX);
	partition->sealed = journal->sealed;
	partition->retired = journal->sealed && journal->len == 0;
	partition->low_watermark = journal->low_watermark;
	if (apply_claims(partition, journal)) {
		write_journal(partition, journal);
	} else {
		partition->busy = false;
		schedule_after_success(partition);
	}
	notify_resolved(partition);
}

static bool read_succeeded(medlar_store_status_t status)
{
	return status == MEDLAR_STORE_OK || status == MEDLAR_STORE_MISSING;
}

static void on_read(const medlar_store_reply_t *reply, void *data)
{
	medlar_partition_t *partition = data;
	bool missing = reply->status == MEDLAR_STORE_MISSING;
	medlar_journal_t journal;
	int error = MEDLAR_ERR_STORE_DOWN;

	medlar_journal_init(&journal);
	if (read_succeeded(reply->status))
		error = medlar_journal_decode(&journal, missing ? MEDLAR_STR("")
								: reply->value);
	if (error) {
		partition->busy = false;
		schedule_after_failure(partition);
	} else {
		partition->read_index = missing ? 0 : reply->index;
		process_journal(partition, &journal);
	}
	medlar_journal_finish(&journal);
}

static void read_journal(medlar_partition_t *partition, medlar_time_t now)
{
	medlar_writes_t *writes = partition->writes;
	medlar_buf_t key;
	int error;

	(void)now;
	medlar_buf_init(&key);
	medlar_writes_store_key(writes, &key, "%u.%u", partition->generation,
				partition->index);
	partition->busy = true;
	writes->stats.reads++;
	error = key.error;
	if (!error)
		error = writes->store.get(writes->store.data,
					  medlar_buf_str(&key), on_read,
					  partition);
	medlar_buf_finish(&key);
	if (!error)
		return;
	partition->busy = false;
	schedule_after_failure(partition);
}
