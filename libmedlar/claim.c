/**
 * DOC: the life of one claim within the commits of its journal
 *
 * A claim holds its key only once a compare-and-swap that carries its token is
 * known to have been applied: the store said so, or a later read shows the
 * token. A claim that was given up is never used, even if it is applied later;
 * it is then recorded as not run, which frees the key.
 */
#include <string.h>

#include "medlar.h"

#ifndef MEDLAR_MUTANT
/* Tests of the explorer put faults into the protocol here. */
#define MEDLAR_MUTANT(name) false
#endif

/**
 * medlar_claims_append() - add a claim at the end of a list
 * @claims: list
 * @claim: claim that is in no list
 */
void medlar_claims_append(medlar_claims_t *claims, medlar_claim_t *claim)
{
	claim->list = claims;
	claim->next = NULL;
	claim->prev = claims->tail;
	if (claims->tail)
		claims->tail->next = claim;
	else
		claims->head = claim;
	claims->tail = claim;
}

/**
 * medlar_claims_remove() - take a claim out of its list
 * @claim: claim, in a list or not
 */
void medlar_claims_remove(medlar_claim_t *claim)
{
	medlar_claims_t *claims = claim->list;

	if (!claims)
		return;
	if (claim->prev)
		claim->prev->next = claim->next;
	else
		claims->head = claim->next;
	if (claim->next)
		claim->next->prev = claim->prev;
	else
		claims->tail = claim->prev;
	claim->list = NULL;
}

static bool is_own(const medlar_claim_t *claim, const medlar_entry_t *entry,
		   const medlar_partition_t *partition)
{
	return entry->instance == partition->writes->client->instance &&
	       memcmp(entry->token.bytes, claim->token.bytes,
		      MEDLAR_TOKEN_LEN) == 0;
}

static bool is_last(const medlar_partition_t *partition)
{
	return partition->generation + 1 == partition->writes->layouts.len;
}

/**
 * medlar_claim_resolve() - move a claim to those whose owners are told next
 * @claim: claim
 * @partition: journal that holds it
 * @end: how it ended
 */
void medlar_claim_resolve(medlar_claim_t *claim, medlar_partition_t *partition,
			  medlar_claim_end_t end)
{
	claim->end = end;
	medlar_claims_remove(claim);
	medlar_claims_append(&partition->resolved, claim);
}

/* Continue with the journal of the next layout. */
static void move_on(medlar_claim_t *claim, medlar_partition_t *partition)
{
	medlar_writes_t *writes = partition->writes;

	medlar_claims_remove(claim);
	claim->generation = partition->generation + 1;
	medlar_writes_walk(writes, claim, medlar_writes_now(writes));
}

/* The entry was added by a claim that waits for the same commit. */
static bool is_uncommitted(const medlar_partition_t *partition,
			   const medlar_entry_t *entry)
{
	const medlar_claim_t *other = partition->claims.head;

	for (; other; other = other->next)
		if (other->batch == MEDLAR_BATCH_CLAIM &&
		    is_own(other, entry, partition))
			return true;
	return false;
}

static void resolve_taken(medlar_claim_t *claim, medlar_partition_t *partition,
			  const medlar_journal_t *journal,
			  const medlar_entry_t *entry)
{
	claim->found = *entry;
	medlar_buf_reset(&claim->result);
	medlar_buf_add(&claim->result, medlar_journal_result(journal, entry));
	medlar_claim_resolve(claim, partition, MEDLAR_END_TAKEN);
}

static bool add_entry(medlar_claim_t *claim, medlar_partition_t *partition,
		      medlar_journal_t *journal, medlar_time_t wall)
{
	medlar_entry_t entry = {
		.key = claim->key,
		.token = claim->token,
		.instance = partition->writes->client->instance,
		.time = wall,
		.state = MEDLAR_CLAIM_CLAIMED,
	};

	if (medlar_journal_claim(journal, &entry, MEDLAR_JOURNAL_SIZE_MAX)) {
		medlar_claim_resolve(claim, partition, MEDLAR_END_FULL);
		return false;
	}
	claim->batch = MEDLAR_BATCH_CLAIM;
	return true;
}

/* An older layout: its journal must be sealed before a later one is used. */
static bool pass_older(medlar_claim_t *claim, medlar_partition_t *partition,
		       medlar_journal_t *journal)
{
	if (partition->sealed || MEDLAR_MUTANT(SEAL_SKIPPED)) {
		move_on(claim, partition);
		return false;
	}
	journal->sealed = true;
	claim->batch = MEDLAR_BATCH_SEAL;
	return true;
}

static bool apply_new(medlar_claim_t *claim, medlar_partition_t *partition,
		      medlar_journal_t *journal, medlar_time_t wall)
{
	if (medlar_uuid_time(&claim->key) <= journal->floor) {
		medlar_claim_resolve(claim, partition, MEDLAR_END_EXPIRED);
		return false;
	}
	if (!is_last(partition))
		return pass_older(claim, partition, journal);
	if (journal->sealed) {
		medlar_writes_reload(partition->writes, claim);
		return false;
	}
	return add_entry(claim, partition, journal, wall);
}

static bool apply_claim(medlar_claim_t *claim, medlar_partition_t *partition,
			medlar_journal_t *journal, medlar_time_t wall)
{
	const medlar_entry_t *entry = medlar_journal_find(journal, &claim->key);

	if (!entry)
		return apply_new(claim, partition, journal, wall);
	if (is_own(claim, entry, partition) || MEDLAR_MUTANT(TOKEN_IGNORED)) {
		claim->maybe = false;
		medlar_claim_resolve(claim, partition, MEDLAR_END_COMMITTED);
		return false;
	}
	if (is_uncommitted(partition, entry))
		return false;
	if (entry->state == MEDLAR_CLAIM_NOT_RUN)
		return apply_new(claim, partition, journal, wall);
	resolve_taken(claim, partition, journal, entry);
	return false;
}

static bool apply_record(medlar_claim_t *claim, medlar_partition_t *partition,
			 medlar_journal_t *journal, medlar_time_t wall)
{
	medlar_entry_t *entry = medlar_journal_find(journal, &claim->key);

	if (entry && is_own(claim, entry, partition)) {
		/* Without memory for the result the state is still noted. */
		(void)medlar_journal_record(journal, entry, claim->state,
					    medlar_buf_str(&claim->result),
					    MEDLAR_JOURNAL_SIZE_MAX);
		entry->time = wall;
		claim->batch = MEDLAR_BATCH_RECORD;
		return true;
	}
	if (claim->maybe) {
		/* Any commit keeps the outstanding one from being applied. */
		claim->batch = MEDLAR_BATCH_RECORD;
		return true;
	}
	medlar_claim_resolve(claim, partition, MEDLAR_END_RECORDED);
	return false;
}

static bool apply_look(medlar_claim_t *claim, medlar_partition_t *partition,
		       medlar_journal_t *journal, medlar_time_t wall)
{
	const medlar_entry_t *entry = medlar_journal_find(journal, &claim->key);

	(void)wall;
	if (entry)
		resolve_taken(claim, partition, journal, entry);
	else if (!is_last(partition))
		move_on(claim, partition);
	else if (journal->sealed)
		medlar_writes_reload(partition->writes, claim);
	else
		medlar_claim_resolve(claim, partition, MEDLAR_END_ABSENT);
	return false;
}

typedef bool (*apply_fn_t)(medlar_claim_t *claim, medlar_partition_t *partition,
			   medlar_journal_t *journal, medlar_time_t wall);

static const apply_fn_t apply_fns[] = {
	[MEDLAR_WANT_CLAIM] = apply_claim,
	[MEDLAR_WANT_RECORD] = apply_record,
	[MEDLAR_WANT_LOOK] = apply_look,
};

/**
 * medlar_claim_apply() - do for a claim what the journal just read allows
 * @claim: claim in the list of @partition
 * @partition: partition of the journal
 * @journal: journal as read, with the changes of the claims before
 * @wall: Unix time, ms
 *
 * Return: whether @journal must be committed for this claim.
 */
bool medlar_claim_apply(medlar_claim_t *claim, medlar_partition_t *partition,
			medlar_journal_t *journal, medlar_time_t wall)
{
	/* A compare-and-swap at an older index can no longer be applied. */
	if (claim->maybe && partition->read_index > claim->maybe_index)
		claim->maybe = false;
	return apply_fns[claim->want](claim, partition, journal, wall);
}

static void settle_applied(medlar_claim_t *claim, medlar_partition_t *partition,
			   medlar_batch_t batch)
{
	claim->maybe = false;
	if (batch == MEDLAR_BATCH_RECORD)
		medlar_claim_resolve(claim, partition, MEDLAR_END_RECORDED);
	else if (batch == MEDLAR_BATCH_SEAL)
		move_on(claim, partition);
	else if (claim->want == MEDLAR_WANT_CLAIM)
		medlar_claim_resolve(claim, partition, MEDLAR_END_COMMITTED);
	/* else it was given up meanwhile, and the next commit undoes it. */
}

/**
 * medlar_claim_settle() - note the end of the compare-and-swap for a claim
 * @claim: claim in the list of @partition
 * @partition: partition of the journal
 * @status: how the compare-and-swap ended
 */
void medlar_claim_settle(medlar_claim_t *claim, medlar_partition_t *partition,
			 medlar_store_status_t status)
{
	medlar_batch_t batch = claim->batch;

	claim->batch = MEDLAR_BATCH_NONE;
	if (batch == MEDLAR_BATCH_NONE)
		return;
	if (status == MEDLAR_STORE_UNKNOWN && MEDLAR_MUTANT(REPLY_ASSUMED))
		status = MEDLAR_STORE_OK;
	if (status == MEDLAR_STORE_OK) {
		settle_applied(claim, partition, batch);
		return;
	}
	if (status == MEDLAR_STORE_UNKNOWN && batch == MEDLAR_BATCH_CLAIM) {
		claim->maybe = true;
		claim->maybe_index = partition->read_index;
	}
	if (claim->want == MEDLAR_WANT_RECORD && batch == MEDLAR_BATCH_CLAIM &&
	    !claim->maybe)
		medlar_claim_resolve(claim, partition, MEDLAR_END_RECORDED);
}

/**
 * medlar_claim_abandon() - give up a claim that is not known to be committed
 * @claim: claim whose owner will not use it
 *
 * Return: true when it is known not to be applied and was removed; false when
 * it stays in its list until it is recorded as not run.
 */
bool medlar_claim_abandon(medlar_claim_t *claim)
{
	if (claim->batch != MEDLAR_BATCH_CLAIM && !claim->maybe) {
		medlar_claims_remove(claim);
		return true;
	}
	claim->want = MEDLAR_WANT_RECORD;
	claim->state = MEDLAR_CLAIM_NOT_RUN;
	return false;
}
