/**
 * DOC: state machine of a single claim on an idempotency key
 *
 * A claim holds its key only when a compare-and-swap that carries its token is
 * known to have been applied: the store confirmed it, or a later read of the
 * journal returns the token. An abandoned claim is never used, even if its
 * compare-and-swap is applied later; it is then recorded as not run, which
 * releases the key.
 */
#include <string.h>

#include "medlar.h"

#ifndef MEDLAR_MUTANT
/* Mutation tests replace this macro to inject faults into the protocol. */
#define MEDLAR_MUTANT(name) false
#endif

/**
 * medlar_claims_append() - append a claim to a list
 * @claims: list
 * @claim: claim that is not in any list
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
 * medlar_claims_remove() - remove a claim from the list that holds it
 * @claim: claim; nothing is done if it is not in a list
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

static bool claim_owns_entry(const medlar_claim_t *claim,
			     const medlar_journal_entry_t *entry,
			     const medlar_partition_t *partition)
{
	return entry->instance == partition->writes->client->instance &&
	       memcmp(entry->token.bytes, claim->token.bytes,
		      MEDLAR_TOKEN_LEN) == 0;
}

static bool is_latest_layout(const medlar_partition_t *partition)
{
	return partition->generation + 1 == partition->writes->layouts.len;
}

/**
 * medlar_claim_resolve() - set the resolution of a claim
 * @claim: claim
 * @partition: partition of the journal
 * @resolution: how it was resolved
 *
 * Moves the claim to the list of resolved claims, whose writes are notified
 * after the journal has been processed.
 */
void medlar_claim_resolve(medlar_claim_t *claim, medlar_partition_t *partition,
			  medlar_claim_resolution_t resolution)
{
	claim->resolution = resolution;
	medlar_claims_remove(claim);
	medlar_claims_append(&partition->resolved, claim);
}

/* Queues the claim at the journal of its key in the next layout. */
static void advance_layout(medlar_claim_t *claim, medlar_partition_t *partition)
{
	medlar_writes_t *writes = partition->writes;

	medlar_claims_remove(claim);
	claim->generation = partition->generation + 1;
	medlar_writes_enqueue(writes, claim, medlar_writes_now(writes));
}

/* Whether the entry was added by another claim of the commit being built. */
static bool is_in_current_commit(const medlar_partition_t *partition,
				 const medlar_journal_entry_t *entry)
{
	const medlar_claim_t *other = partition->claims.head;

	for (; other; other = other->next)
		if (other->commit_role == MEDLAR_COMMIT_ROLE_CLAIM &&
		    claim_owns_entry(other, entry, partition))
			return true;
	return false;
}

static void resolve_with_entry(medlar_claim_t *claim,
			       medlar_partition_t *partition,
			       const medlar_journal_t *journal,
			       const medlar_journal_entry_t *entry)
{
	claim->found = *entry;
	medlar_buf_reset(&claim->result);
	medlar_buf_add(&claim->result, medlar_journal_result(journal, entry));
	medlar_claim_resolve(claim, partition, MEDLAR_RESOLUTION_DUPLICATE);
}

static bool insert_claim(medlar_claim_t *claim, medlar_partition_t *partition,
			 medlar_journal_t *journal, medlar_time_t wall)
{
	medlar_journal_entry_t entry = {
		.key = claim->key,
		.token = claim->token,
		.instance = partition->writes->client->instance,
		.time = wall,
		.state = MEDLAR_CLAIM_CLAIMED,
	};

	if (medlar_journal_claim(journal, &entry, MEDLAR_JOURNAL_SIZE_MAX)) {
		medlar_claim_resolve(claim, partition, MEDLAR_RESOLUTION_FULL);
		return false;
	}
	claim->commit_role = MEDLAR_COMMIT_ROLE_CLAIM;
	return true;
}

/*
 * Handles a claim at a layout that has a successor. The journal must be sealed
 * before the claim may go on to the next layout.
 */
static bool seal_or_advance(medlar_claim_t *claim,
			    medlar_partition_t *partition,
			    medlar_journal_t *journal)
{
	if (partition->sealed || MEDLAR_MUTANT(SEAL_SKIPPED)) {
		advance_layout(claim, partition);
		return false;
	}
	journal->sealed = true;
	claim->commit_role = MEDLAR_COMMIT_ROLE_SEAL;
	return true;
}

static bool apply_claim_without_entry(medlar_claim_t *claim,
				      medlar_partition_t *partition,
				      medlar_journal_t *journal,
				      medlar_time_t wall)
{
	if (medlar_uuid_time(&claim->key) <= journal->low_watermark) {
		medlar_claim_resolve(claim, partition,
				     MEDLAR_RESOLUTION_EXPIRED);
		return false;
	}
	if (!is_latest_layout(partition))
		return seal_or_advance(claim, partition, journal);
	if (journal->sealed) {
		medlar_writes_reload_layouts(partition->writes, claim);
		return false;
	}
	return insert_claim(claim, partition, journal, wall);
}

static bool apply_claim(medlar_claim_t *claim, medlar_partition_t *partition,
			medlar_journal_t *journal, medlar_time_t wall)
{
	const medlar_journal_entry_t *entry = medlar_journal_find(journal,
								  &claim->key);

	if (!entry)
		return apply_claim_without_entry(claim, partition, journal,
						 wall);
	if (claim_owns_entry(claim, entry, partition) ||
	    MEDLAR_MUTANT(TOKEN_IGNORED)) {
		claim->in_doubt = false;
		medlar_claim_resolve(claim, partition,
				     MEDLAR_RESOLUTION_COMMITTED);
		return false;
	}
	if (is_in_current_commit(partition, entry))
		return false;
	if (entry->state == MEDLAR_CLAIM_NOT_RUN)
		return apply_claim_without_entry(claim, partition, journal,
						 wall);
	resolve_with_entry(claim, partition, journal, entry);
	return false;
}

static bool apply_record(medlar_claim_t *claim, medlar_partition_t *partition,
			 medlar_journal_t *journal, medlar_time_t wall)
{
	medlar_journal_entry_t *entry = medlar_journal_find(journal,
							    &claim->key);

	if (entry && claim_owns_entry(claim, entry, partition)) {
		/*
		 * The state is recorded even if the result runs out of memory.
		 */
		(void)medlar_journal_record(journal, entry, claim->state,
					    medlar_buf_str(&claim->result),
					    MEDLAR_JOURNAL_SIZE_MAX);
		entry->time = wall;
		claim->commit_role = MEDLAR_COMMIT_ROLE_RECORD;
		return true;
	}
	if (claim->in_doubt) {
		/*
		 * Any commit changes the index, so that the one in doubt can
		 * no longer be applied.
		 */
		claim->commit_role = MEDLAR_COMMIT_ROLE_RECORD;
		return true;
	}
	medlar_claim_resolve(claim, partition, MEDLAR_RESOLUTION_RECORDED);
	return false;
}

static bool apply_lookup(medlar_claim_t *claim, medlar_partition_t *partition,
			 medlar_journal_t *journal, medlar_time_t wall)
{
	const medlar_journal_entry_t *entry = medlar_journal_find(journal,
								  &claim->key);

	(void)wall;
	if (entry)
		resolve_with_entry(claim, partition, journal, entry);
	else if (!is_latest_layout(partition))
		advance_layout(claim, partition);
	else if (journal->sealed)
		medlar_writes_reload_layouts(partition->writes, claim);
	else
		medlar_claim_resolve(claim, partition,
				     MEDLAR_RESOLUTION_NOT_FOUND);
	return false;
}

typedef bool (*apply_fn_t)(medlar_claim_t *claim, medlar_partition_t *partition,
			   medlar_journal_t *journal, medlar_time_t wall);

static const apply_fn_t apply_fns[] = {
	[MEDLAR_CLAIM_OP_CLAIM] = apply_claim,
	[MEDLAR_CLAIM_OP_RECORD] = apply_record,
	[MEDLAR_CLAIM_OP_LOOKUP] = apply_lookup,
};

/**
 * medlar_claim_apply() - apply a claim to the journal that was read
 * @claim: claim in the list of @partition
 * @partition: partition of the journal
 * @journal: journal as read, changed by the claims applied before
 * @wall: current Unix time, ms
 *
 * Resolves the claim if the journal shows its outcome, otherwise changes
 * @journal or passes the claim on to another layout.
 *
 * Return: true if @journal must be committed for this claim.
 */
bool medlar_claim_apply(medlar_claim_t *claim, medlar_partition_t *partition,
			medlar_journal_t *journal, medlar_time_t wall)
{
	/*
	 * The index has changed: the commit in doubt can't be applied any more.
	 */
	if (claim->in_doubt && partition->read_index > claim->in_doubt_index)
		claim->in_doubt = false;
	return apply_fns[claim->op](claim, partition, journal, wall);
}

static void finish_applied(medlar_claim_t *claim, medlar_partition_t *partition,
			   medlar_commit_role_t role)
{
	claim->in_doubt = false;
	if (role == MEDLAR_COMMIT_ROLE_RECORD)
		medlar_claim_resolve(claim, partition,
				     MEDLAR_RESOLUTION_RECORDED);
	else if (role == MEDLAR_COMMIT_ROLE_SEAL)
		advance_layout(claim, partition);
	else if (claim->op == MEDLAR_CLAIM_OP_CLAIM)
		medlar_claim_resolve(claim, partition,
				     MEDLAR_RESOLUTION_COMMITTED);
	/* Otherwise it was abandoned meanwhile; the next commit undoes it. */
}

/**
 * medlar_claim_finish_commit() - update a claim after a commit has ended
 * @claim: claim in the list of @partition
 * @partition: partition of the journal
 * @status: result of the compare-and-swap; for %MEDLAR_STORE_UNKNOWN the claim
 *	is in doubt until a later read
 */
void medlar_claim_finish_commit(medlar_claim_t *claim,
				medlar_partition_t *partition,
				medlar_store_status_t status)
{
	medlar_commit_role_t role = claim->commit_role;

	claim->commit_role = MEDLAR_COMMIT_ROLE_NONE;
	if (role == MEDLAR_COMMIT_ROLE_NONE)
		return;
	if (status == MEDLAR_STORE_UNKNOWN && MEDLAR_MUTANT(REPLY_ASSUMED))
		status = MEDLAR_STORE_OK;
	if (status == MEDLAR_STORE_OK) {
		finish_applied(claim, partition, role);
		return;
	}
	if (status == MEDLAR_STORE_UNKNOWN &&
	    role == MEDLAR_COMMIT_ROLE_CLAIM) {
		claim->in_doubt = true;
		claim->in_doubt_index = partition->read_index;
	}
	if (claim->op == MEDLAR_CLAIM_OP_RECORD &&
	    role == MEDLAR_COMMIT_ROLE_CLAIM && !claim->in_doubt)
		medlar_claim_resolve(claim, partition,
				     MEDLAR_RESOLUTION_RECORDED);
}

/**
 * medlar_claim_abandon() - abandon a claim that is not known to be committed
 * @claim: claim whose write won't be dispatched
 *
 * Return: true if the claim is known not to be applied and was removed from its
 * list; false if it stays there until it has been recorded as not run.
 */
bool medlar_claim_abandon(medlar_claim_t *claim)
{
	if (claim->commit_role != MEDLAR_COMMIT_ROLE_CLAIM &&
	    !claim->in_doubt) {
		medlar_claims_remove(claim);
		return true;
	}
	claim->op = MEDLAR_CLAIM_OP_RECORD;
	claim->state = MEDLAR_CLAIM_NOT_RUN;
	return false;
}
