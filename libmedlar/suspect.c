/**
 * DOC: table of requests, by fingerprint, that may crash upstreams
 *
 * A request that was in flight at a replica when it crashed is a suspect. It is
 * sent again only in a trial, alone on a replica: a crash in a trial convicts
 * it, a success clears it. A crash outside a trial does not convict, since any
 * of the requests that shared the replica may have caused it. A pardoned entry
 * is kept, so that a late report of the old conviction does not restore it.
 */
#include <stdlib.h>

#include "medlar.h"

#define CRASHES_TO_CONVICT 2

struct medlar_suspect_ {
	uint64_t fingerprint;
	uint64_t replica;
	medlar_time_t crashed_at;
	medlar_time_t until;
	uint32_t shard;
	uint16_t crashes;
	bool local;
	bool pardoned;
};

/**
 * medlar_suspects_init() - initialise an empty table
 * @suspects: table in memory of the caller
 * @cap: most fingerprints kept, at least 1
 * @expiry: time after its last crash until an entry expires, ms
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_RANGE or %MEDLAR_ERR_NOMEM.
 */
int medlar_suspects_init(medlar_suspects_t *suspects, size_t cap,
			 medlar_time_t expiry)
{
	*suspects = (medlar_suspects_t){ .expiry = expiry };
	if (cap == 0 || expiry <= 0)
		return MEDLAR_ERR_RANGE;
	suspects->items = calloc(cap, sizeof(*suspects->items));
	if (!suspects->items)
		return MEDLAR_ERR_NOMEM;
	suspects->cap = cap;
	return MEDLAR_OK;
}

/**
 * medlar_suspects_finish() - release the table
 * @suspects: an initialised table; it is empty afterwards
 */
void medlar_suspects_finish(medlar_suspects_t *suspects)
{
	free(suspects->items);
	*suspects = (medlar_suspects_t){ 0 };
}

static struct medlar_suspect_ *find_suspect(const medlar_suspects_t *suspects,
					    uint64_t fingerprint)
{
	size_t i;

	for (i = 0; i < suspects->len; i++)
		if (suspects->items[i].fingerprint == fingerprint)
			return &suspects->items[i];
	return NULL;
}

static bool is_convicted(const struct medlar_suspect_ *item)
{
	return item->crashes >= CRASHES_TO_CONVICT;
}

/* Suspects are evicted before convictions, the first to expire first. */
static struct medlar_suspect_ *eviction_candidate(medlar_suspects_t *suspects)
{
	struct medlar_suspect_ *least = &suspects->items[0];
	size_t i;

	for (i = 1; i < suspects->len; i++) {
		struct medlar_suspect_ *item = &suspects->items[i];

		if (is_convicted(item) != is_convicted(least)) {
			if (is_convicted(least))
				least = item;
			continue;
		}
		if (item->until < least->until)
			least = item;
	}
	return least;
}

static struct medlar_suspect_ *find_or_add_suspect(medlar_suspects_t *suspects,
						   uint64_t fingerprint)
{
	struct medlar_suspect_ *item = find_suspect(suspects, fingerprint);

	if (item)
		return item;
	if (suspects->len < suspects->cap)
		item = &suspects->items[suspects->len++];
	else
		item = eviction_candidate(suspects);
	*item = (struct medlar_suspect_){ .fingerprint = fingerprint };
	return item;
}

static void remove_suspect(medlar_suspects_t *suspects,
			   struct medlar_suspect_ *item)
{
	*item = suspects->items[--suspects->len];
}

static medlar_verdict_t verdict_for(const struct medlar_suspect_ *item)
{
	if (item->crashes == 0)
		return MEDLAR_VERDICT_CLEAR;
	return is_convicted(item) ? MEDLAR_VERDICT_CONVICTED
				  : MEDLAR_VERDICT_SUSPECT;
}

/**
 * medlar_suspects_verdict() - verdict on a fingerprint
 * @suspects: table
 * @fingerprint: from medlar_fingerprint()
 * @now: current time
 *
 * Return: the verdict; %MEDLAR_VERDICT_CLEAR if there is no entry or it has
 * expired.
 */
medlar_verdict_t medlar_suspects_verdict(const medlar_suspects_t *suspects,
					 uint64_t fingerprint,
					 medlar_time_t now)
{
	const struct medlar_suspect_ *item = find_suspect(suspects,
							  fingerprint);

	if (!item || item->until <= now)
		return MEDLAR_VERDICT_CLEAR;
	return verdict_for(item);
}

static void fill_entry(const struct medlar_suspect_ *item,
		       medlar_suspect_entry_t *out)
{
	*out = (medlar_suspect_entry_t){
		.fingerprint = item->fingerprint,
		.verdict = verdict_for(item),
		.crashes = item->crashes,
		.replica = item->replica,
		.shard = item->shard,
		.local = item->local,
		.pardoned = item->pardoned,
		.crashed_at = item->crashed_at,
		.until = item->until,
	};
}

static void notify_change(const medlar_suspects_t *suspects,
			  const struct medlar_suspect_ *item)
{
	medlar_suspect_entry_t entry;

	if (!suspects->changed)
		return;
	fill_entry(item, &entry);
	suspects->changed(&entry, suspects->data);
}

/**
 * medlar_suspects_on_change() - set the handler of changed verdicts
 * @suspects: table
 * @fn: called when this instance itself suspects, convicts, clears or pardons
 *	a fingerprint, so that peers can be notified at once; NULL for none
 * @data: passed to @fn
 */
void medlar_suspects_on_change(medlar_suspects_t *suspects,
			       medlar_suspect_fn_t fn, void *data)
{
	suspects->changed = fn;
	suspects->data = data;
}

/**
 * medlar_suspects_get() - look up the entry of a fingerprint
 * @suspects: table
 * @fingerprint: from medlar_fingerprint()
 * @now: current time
 * @out: receives the entry; unchanged if there is none
 *
 * Return: true if there is an entry that has not expired.
 */
bool medlar_suspects_get(const medlar_suspects_t *suspects,
			 uint64_t fingerprint, medlar_time_t now,
			 medlar_suspect_entry_t *out)
{
	const struct medlar_suspect_ *item = find_suspect(suspects,
							  fingerprint);

	if (!item || item->until <= now)
		return false;
	fill_entry(item, out);
	return true;
}

/**
 * medlar_suspects_add_crash() - record a crash with a request in flight
 * @suspects: table
 * @crash: the request, the replica, and how the request was sent
 * @now: time at which the crash was detected
 *
 * The first crash makes the request a suspect. Further crashes outside trials,
 * of attempts sent before the first one was detected, change nothing. A crash
 * in a trial convicts the request.
 *
 * Return: the verdict after this crash.
 */
medlar_verdict_t medlar_suspects_add_crash(medlar_suspects_t *suspects,
					   const medlar_crash_t *crash,
					   medlar_time_t now)
{
	struct medlar_suspect_ *item = find_or_add_suspect(suspects,
							   crash->fingerprint);
	bool known = item->crashes > 0 && item->until > now;

	if (known && is_convicted(item))
		return MEDLAR_VERDICT_CONVICTED;
	if (known && !crash->trial) {
		item->local = item->local || crash->local;
		return verdict_for(item);
	}
	item->crashes = known ? CRASHES_TO_CONVICT : 1;
	item->replica = crash->replica;
	item->shard = crash->shard;
	item->local = crash->local;
	item->crashed_at = now;
	item->pardoned = false;
	item->until = now + suspects->expiry;
	if (crash->local)
		notify_change(suspects, item);
	return verdict_for(item);
}

/**
 * medlar_suspects_add_success() - clear a suspect after a successful trial
 * @suspects: table
 * @fingerprint: fingerprint of the request
 *
 * The trial may have run at a peer. A conviction is not cleared; it ends when
 * it expires or is pardoned.
 */
void medlar_suspects_add_success(medlar_suspects_t *suspects,
				 uint64_t fingerprint)
{
	struct medlar_suspect_ *item = find_suspect(suspects, fingerprint);

	if (!item || item->pardoned || is_convicted(item))
		return;
	item->crashes = 0;
	if (item->local)
		notify_change(suspects, item);
	remove_suspect(suspects, item);
}

/**
 * medlar_suspects_convict() - record a conviction reported by a peer
 * @suspects: table
 * @fingerprint: fingerprint of the request
 * @until: time at which the conviction expires
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_STALE if it was pardoned since.
 */
int medlar_suspects_convict(medlar_suspects_t *suspects, uint64_t fingerprint,
			    medlar_time_t until)
{
	struct medlar_suspect_ *item = find_or_add_suspect(suspects,
							   fingerprint);

	if (item->pardoned && until <= item->until)
		return MEDLAR_ERR_STALE;
	item->crashes = CRASHES_TO_CONVICT;
	item->pardoned = false;
	item->local = false;
	if (item->until < until)
		item->until = until;
	return MEDLAR_OK;
}

/**
 * medlar_suspects_pardon() - clear a suspect or conviction for an operator
 * @suspects: table
 * @fingerprint: fingerprint of the request
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOT_FOUND if there is no entry or it is
 * pardoned already.
 */
int medlar_suspects_pardon(medlar_suspects_t *suspects, uint64_t fingerprint)
{
	struct medlar_suspect_ *item = find_suspect(suspects, fingerprint);

	if (!item || item->pardoned)
		return MEDLAR_ERR_NOT_FOUND;
	item->crashes = 0;
	item->pardoned = true;
	notify_change(suspects, item);
	return MEDLAR_OK;
}

/**
 * medlar_suspects_next() - iterate over the entries of the table
 * @suspects: table
 * @cursor: 0 for the first call; advanced by each call
 * @now: current time; expired entries are skipped
 * @out: receives the entry
 *
 * Return: true if @out was filled, false at the end.
 */
bool medlar_suspects_next(const medlar_suspects_t *suspects, size_t *cursor,
			  medlar_time_t now, medlar_suspect_entry_t *out)
{
	while (*cursor < suspects->len) {
		const struct medlar_suspect_ *item =
			&suspects->items[(*cursor)++];

		if (item->until <= now)
			continue;
		fill_entry(item, out);
		return true;
	}
	return false;
}

/**
 * medlar_fingerprint() - hash that identifies a request across copies
 * @service: name of the service
 * @method: name of the kind of request
 * @body: request body
 *
 * Return: a hash, the same on every instance; never 0.
 */
uint64_t medlar_fingerprint(medlar_str_t service, medlar_str_t method,
			    medlar_str_t body)
{
	uint64_t hash = medlar_str_hash(service, 0);

	hash = medlar_str_hash(method, hash);
	hash = medlar_str_hash(body, hash);
	return hash ? hash : 1;
}
