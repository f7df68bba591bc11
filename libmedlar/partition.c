/**
 * DOC: group commit of claims and outcomes to one journal
 *
 * A commit reads the journal, applies all claims gathered so far and writes it
 * back by compare-and-swap. Claims that arrive meanwhile wait for the next
 * commit. Outcomes are not urgent: they wait for claims to share a commit with.
 */
#include <math.h>
#include <stdlib.h>

#include "medlar.h"

#define RECORD_DELAY_MIN 20.0 /* ms an outcome waits for claims when idle */
#define RECORD_DELAY_MAX 1000.0 /* ms it waits at the commit rate */
#define LOAD_WINDOW 1000.0 /* ms over which the load is averaged */
#define BURST 4.0 /* commits that may exceed the commit rate at once */
#define CONFLICTS_PACED 3 /* in a row before the next commit queues */

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data);
static void start(medlar_partition_t *partition, medlar_time_t now);

/**
 * medlar_partition_init() - start without claims
 * @partition: memory of the caller
 * @writes: owner
 * @generation: layout
 * @index: number within the layout
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
 * medlar_partition_finish() - stop the timer
 * @partition: an initialised partition without a store call in flight
 */
void medlar_partition_finish(medlar_partition_t *partition)
{
	medlar_timer_clear(partition->writes->client, &partition->timer);
}

static void set_timer(medlar_partition_t *partition, medlar_time_t due)
{
	/* Without memory the next claim starts the commit. */
	(void)medlar_timer_set(partition->writes->client, &partition->timer,
			       due);
}

/* Share of the commit rate that was used of late, 0 to 1. */
static double load_at(const medlar_writes_t *writes, medlar_time_t now)
{
	double age = (double)(now - writes->load_time);

	return fmin(1, writes->load * exp(-age / LOAD_WINDOW));
}

static medlar_time_t record_due(const medlar_writes_t *writes,
				medlar_time_t now)
{
	double range = RECORD_DELAY_MAX - RECORD_DELAY_MIN;

	return now +
	       (medlar_time_t)(RECORD_DELAY_MIN + load_at(writes, now) * range);
}

/* When the commit rate allows the next commit; the slot is taken. */
static medlar_time_t take_slot(medlar_writes_t *writes, medlar_time_t now)
{
	double due = writes->allowed - BURST * writes->interval;

	if (writes->interval <= 0)
		return now;
	writes->load = load_at(writes, now) + writes->interval / LOAD_WINDOW;
	writes->load_time = now;
	if (writes->allowed < (double)now)
		writes->allowed = (double)now;
	writes->allowed += writes->interval;
	return due > (double)now ? (medlar_time_t)due : now;
}

static void wait_or_start(medlar_partition_t *partition, medlar_time_t now)
{
	medlar_time_t due;

	if (!partition->slotted) {
		due = take_slot(partition->writes, now);
		partition->slotted = true;
		if (due > now) {
			set_timer(partition, due);
			return;
		}
	}
	medlar_timer_clear(partition->writes->client, &partition->timer);
	partition->slotted = false;
	start(partition, now);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	medlar_partition_t *partition = data;

	(void)client;
	(void)timer;
	if (!partition->busy && partition->claims.head)
		wait_or_start(partition, now);
}

static bool is_waiting(const medlar_partition_t *partition)
{
	return partition->busy ||
	       (partition->timer.slot &&
		(partition->slotted || partition->failures > 0));
}

/**
 * medlar_partition_add() - add a claim to the next commit
 * @partition: partition
 * @claim: claim that is in no list
 * @now: current time
 */
void medlar_partition_add(medlar_partition_t *partition, medlar_claim_t *claim,
			  medlar_time_t now)
{
	medlar_claims_append(&partition->claims, claim);
	if (is_waiting(partition))
		return;
	if (claim->want != MEDLAR_WANT_RECORD)
		wait_or_start(partition, now);
	else if (!partition->timer.slot)
		set_timer(partition, record_due(partition->writes, now));
}

static void tell_resolved(medlar_partition_t *partition)
{
	medlar_claim_t *claim;

	while ((claim = partition->resolved.head)) {
		medlar_claims_remove(claim);
		medlar_write_resolved(claim->write);
	}
}

static bool has_urgent(const medlar_partition_t *partition)
{
	const medlar_claim_t *claim = partition->claims.head;

	while (claim && claim->want == MEDLAR_WANT_RECORD)
		claim = claim->next;
	return claim != NULL;
}

static void continue_after_success(medlar_partition_t *partition)
{
	medlar_time_t now = medlar_writes_now(partition->writes);

	partition->failures = 0;
	if (!partition->claims.head)
		return;
	if (has_urgent(partition))
		wait_or_start(partition, now);
	else
		set_timer(partition, record_due(partition->writes, now));
}

static void continue_after_failure(medlar_partition_t *partition)
{
	medlar_writes_t *writes = partition->writes;
	medlar_time_t delay;

	delay = medlar_writes_backoff(writes->client, partition->failures++);
	if (partition->claims.head)
		set_timer(partition, medlar_writes_now(writes) + delay);
}

/*
 * After the first conflict the next commit does not queue for the commit rate,
 * but counts for it. Conflicts in a row queue, so that they can't multiply.
 */
static void continue_after_conflict(medlar_partition_t *partition)
{
	medlar_writes_t *writes = partition->writes;

	continue_after_failure(partition);
	if (!partition->timer.slot || partition->failures > CONFLICTS_PACED)
		return;
	(void)take_slot(writes, medlar_writes_now(writes));
	partition->slotted = true;
}

static void count(medlar_writes_t *writes, medlar_store_status_t status)
{
	if (status == MEDLAR_STORE_CONFLICT)
		writes->stats.conflicts++;
	if (status == MEDLAR_STORE_UNKNOWN)
		writes->stats.lost++;
}

static void settle_all(medlar_partition_t *partition,
		       medlar_store_status_t status)
{
	medlar_claim_t *claim = partition->claims.head;

	while (claim) {
		medlar_claim_t *next = claim->next;

		medlar_claim_settle(claim, partition, status);
		claim = next;
	}
}

static void end_commit(medlar_partition_t *partition,
		       medlar_store_status_t status)
{
	medlar_writes_t *writes = partition->writes;

	partition->busy = false;
	count(writes, status);
	MEDLAR_TRACE(
		writes->client, MEDLAR_EVENT_CLAIM,
		MEDLAR_TEXT("service", medlar_str_from(writes->policy.name)),
		MEDLAR_NUM("generation", partition->generation),
		MEDLAR_NUM("partition", partition->index),
		MEDLAR_NUM("index", partition->read_index),
		MEDLAR_NUM("status", status));
	settle_all(partition, status);
	if (status == MEDLAR_STORE_OK)
		continue_after_success(partition);
	else if (status == MEDLAR_STORE_CONFLICT)
		continue_after_conflict(partition);
	else
		continue_after_failure(partition);
	tell_resolved(partition);
}

static void on_commit(const medlar_store_reply_t *reply, void *data)
{
	end_commit(data, reply->status);
}

static void commit(medlar_partition_t *partition, medlar_journal_t *journal)
{
	medlar_writes_t *writes = partition->writes;
	medlar_buf_t value;
	medlar_buf_t key;
	int error;

	medlar_buf_init(&value);
	medlar_buf_init(&key);
	journal->sequence++;
	medlar_journal_encode(journal, &value);
	medlar_writes_key(writes, &key, "%u.%u", partition->generation,
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

static bool apply_all(medlar_partition_t *partition, medlar_journal_t *journal)
{
	medlar_time_t wall = medlar_writes_wall(partition->writes);
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

static void use_journal(medlar_partition_t *partition,
			medlar_journal_t *journal)
{
	medlar_writes_t *writes = partition->writes;

	medlar_journal_expire(journal, medlar_writes_wall(writes) -
					       writes->policy.window -
					       MEDLAR_CLAIM_SKEW);
	partition->sealed = journal->sealed;
	partition->retired = journal->sealed && journal->len == 0;
	partition->floor = journal->floor;
	if (apply_all(partition, journal)) {
		commit(partition, journal);
	} else {
		partition->busy = false;
		continue_after_success(partition);
	}
	tell_resolved(partition);
}

static bool is_read(medlar_store_status_t status)
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
	if (is_read(reply->status))
		error = medlar_journal_decode(&journal, missing ? MEDLAR_STR("")
								: reply->value);
	if (error) {
		partition->busy = false;
		continue_after_failure(partition);
	} else {
		partition->read_index = missing ? 0 : reply->index;
		use_journal(partition, &journal);
	}
	medlar_journal_finish(&journal);
}

static void start(medlar_partition_t *partition, medlar_time_t now)
{
	medlar_writes_t *writes = partition->writes;
	medlar_buf_t key;
	int error;

	(void)now;
	medlar_buf_init(&key);
	medlar_writes_key(writes, &key, "%u.%u", partition->generation,
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
	continue_after_failure(partition);
}
