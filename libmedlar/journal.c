/**
 * DOC: journal of write claims
 *
 * The encoded size of a journal stays below the largest value that the
 * key-value service accepts. Entries older than the window are dropped. If
 * space runs out, the largest results are dropped before a claim is refused; an
 * entry within the window is never dropped.
 */
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define JOURNAL_CAP_MIN 16
#define DIGEST_SEED 0

/**
 * medlar_journal_init() - initialise an empty journal
 * @journal: memory of the caller
 */
void medlar_journal_init(medlar_journal_t *journal)
{
	*journal = (medlar_journal_t){ .size = medlar_journal_header_size() };
	medlar_buf_init(&journal->results);
}

/**
 * medlar_journal_finish() - release the memory of a journal
 * @journal: an initialised journal; empty and usable afterwards
 */
void medlar_journal_finish(medlar_journal_t *journal)
{
	free(journal->entries);
	medlar_buf_finish(&journal->results);
	medlar_journal_init(journal);
}

static int compare_keys(const medlar_uuid_t *a, const medlar_uuid_t *b)
{
	return memcmp(a->bytes, b->bytes, MEDLAR_UUID_LEN);
}

/* Index of the first entry whose key is not below @key. */
static size_t lower_bound(const medlar_journal_t *journal,
			  const medlar_uuid_t *key)
{
	size_t lo = 0;
	size_t hi = journal->len;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (compare_keys(&journal->entries[mid].key, key) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/**
 * medlar_journal_find() - look up the entry of a key
 * @journal: journal
 * @key: idempotency key
 *
 * Return: the entry, valid until the journal changes, or NULL.
 */
medlar_journal_entry_t *medlar_journal_find(const medlar_journal_t *journal,
					    const medlar_uuid_t *key)
{
	size_t at = lower_bound(journal, key);

	if (at == journal->len)
		return NULL;
	if (compare_keys(&journal->entries[at].key, key) != 0)
		return NULL;
	return &journal->entries[at];
}

static bool grow_entries(medlar_journal_t *journal)
{
	size_t cap = journal->cap ? 2 * journal->cap : JOURNAL_CAP_MIN;
	medlar_journal_entry_t *entries;

	entries = realloc(journal->entries, cap * sizeof(*entries));
	if (!entries)
		return false;
	journal->entries = entries;
	journal->cap = cap;
	return true;
}

static bool make_room(medlar_journal_t *journal, size_t more, size_t limit)
{
	if (journal->size + more <= limit)
		return true;
	if (more > limit)
		return false;
	return medlar_journal_shrink(journal, limit - more);
}

static int insert_entry(medlar_journal_t *journal,
			const medlar_journal_entry_t *claim)
{
	size_t at = lower_bound(journal, &claim->key);
	medlar_journal_entry_t *entry;

	if (journal->len == journal->cap && !grow_entries(journal))
		return MEDLAR_ERR_NOMEM;
	entry = &journal->entries[at];
	memmove(entry + 1, entry, (journal->len - at) * sizeof(*entry));
	*entry = *claim;
	journal->len++;
	journal->size += medlar_journal_entry_size(entry);
	return MEDLAR_OK;
}

/**
 * medlar_journal_append() - append an entry with the highest key
 * @journal: journal
 * @entry: entry; copied. Its result must be in the result buffer of @journal
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_PROTOCOL if the key is not the highest, or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_journal_append(medlar_journal_t *journal,
			  const medlar_journal_entry_t *entry)
{
	size_t len = journal->len;

	if (len > 0 &&
	    compare_keys(&journal->entries[len - 1].key, &entry->key) >= 0)
		return MEDLAR_ERR_PROTOCOL;
	if (len == journal->cap && !grow_entries(journal))
		return MEDLAR_ERR_NOMEM;
	journal->entries[journal->len++] = *entry;
	journal->size += medlar_journal_entry_size(entry);
	return MEDLAR_OK;
}

/**
 * medlar_journal_claim() - add the entry of a claim
 * @journal: journal
 * @claim: entry without a result; copied. Replaces an entry whose write did not
 *	run
 * @limit: largest size of the encoded journal, bytes
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_CONFLICT if the key has an entry whose write
 * may have run, %MEDLAR_ERR_FULL or %MEDLAR_ERR_NOMEM.
 */
int medlar_journal_claim(medlar_journal_t *journal,
			 const medlar_journal_entry_t *claim, size_t limit)
{
	medlar_journal_entry_t *entry = medlar_journal_find(journal,
							    &claim->key);

	if (entry && entry->state != MEDLAR_CLAIM_NOT_RUN)
		return MEDLAR_ERR_CONFLICT;
	if (entry) {
		journal->size -= entry->result_len;
		*entry = *claim;
		return MEDLAR_OK;
	}
	if (!make_room(journal, medlar_journal_entry_size(claim), limit))
		return MEDLAR_ERR_FULL;
	return insert_entry(journal, claim);
}

/**
 * medlar_journal_record() - record the outcome of a claim
 * @journal: journal
 * @entry: entry of the journal
 * @state: outcome
 * @result: result of the upstream; stored only if it has at most
 *	%MEDLAR_WRITE_RESULT_MAX bytes and fits into @limit
 * @limit: largest size of the encoded journal, bytes
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM if memory ran out for the result;
 * the state is recorded all the same.
 */
int medlar_journal_record(medlar_journal_t *journal,
			  medlar_journal_entry_t *entry,
			  medlar_claim_state_t state, medlar_str_t result,
			  size_t limit)
{
	journal->size -= entry->result_len;
	entry->result_len = 0;
	entry->state = state;
	entry->digest = 0;
	if (state != MEDLAR_CLAIM_RAN)
		return MEDLAR_OK;
	entry->digest = medlar_str_hash(result, DIGEST_SEED);
	if (result.len > MEDLAR_WRITE_RESULT_MAX)
		return MEDLAR_OK;
	if (!make_room(journal, result.len, limit))
		return MEDLAR_OK;
	entry->result_offset = journal->results.len;
	medlar_buf_add(&journal->results, result);
	if (journal->results.error)
		return journal->results.error;
	entry->result_len = (uint32_t)result.len;
	journal->size += result.len;
	return MEDLAR_OK;
}

/**
 * medlar_journal_result() - recorded result of an entry
 * @journal: journal
 * @entry: entry of the journal
 *
 * Return: the result, valid until the journal changes; empty if none is stored.
 */
medlar_str_t medlar_journal_result(const medlar_journal_t *journal,
				   const medlar_journal_entry_t *entry)
{
	if (entry->result_len == 0)
		return MEDLAR_STR("");
	return (medlar_str_t){ journal->results.ptr + entry->result_offset,
			       entry->result_len };
}

/**
 * medlar_journal_expire() - drop entries with old keys
 * @journal: journal
 * @oldest: Unix time, ms; entries with an earlier key time are dropped
 *
 * Raises the low watermark of the journal to the latest key time dropped, so
 * that a dropped key can't be claimed again, even if clocks differ.
 */
void medlar_journal_expire(medlar_journal_t *journal, medlar_time_t oldest)
{
	size_t gone = 0;

	/* A key begins with its time, so the oldest entries come first. */
	while (gone < journal->len &&
	       medlar_uuid_time(&journal->entries[gone].key) < oldest) {
		medlar_journal_entry_t *entry = &journal->entries[gone++];
		medlar_time_t time = medlar_uuid_time(&entry->key);

		journal->size -= medlar_journal_entry_size(entry);
		if (time > journal->low_watermark)
			journal->low_watermark = time;
	}
	journal->len -= gone;
	if (gone > 0)
		memmove(journal->entries, journal->entries + gone,
			journal->len * sizeof(*journal->entries));
}

static uint32_t find_longest_result(const medlar_journal_t *journal)
{
	uint32_t longest = 0;
	size_t i;

	for (i = 0; i < journal->len; i++)
		if (journal->entries[i].result_len > longest)
			longest = journal->entries[i].result_len;
	return longest;
}

/**
 * medlar_journal_shrink() - drop stored results, the longest first
 * @journal: journal; no entry is dropped
 * @limit: largest size of the encoded journal, bytes
 *
 * Return: true if the size is now at most @limit.
 */
bool medlar_journal_shrink(medlar_journal_t *journal, size_t limit)
{
	while (journal->size > limit) {
		uint32_t longest = find_longest_result(journal);
		size_t i;

		if (longest == 0)
			return false;
		for (i = 0; i < journal->len && journal->size > limit; i++) {
			medlar_journal_entry_t *entry = &journal->entries[i];

			if (entry->result_len <= longest / 2)
				continue;
			journal->size -= entry->result_len;
			entry->result_len = 0;
		}
	}
	return true;
}

/**
 * medlar_claim_state_name() - name of a claim state, as operators see it
 * @state: state
 *
 * Return: a static string.
 */
const char *medlar_claim_state_name(medlar_claim_state_t state)
{
	static const char *const names[MEDLAR_CLAIM_STATE_COUNT] = {
		[MEDLAR_CLAIM_CLAIMED] = "unknown",
		[MEDLAR_CLAIM_RAN] = "ran",
		[MEDLAR_CLAIM_NOT_RUN] = "not_run",
	};

	return names[state];
}
