/**
 * DOC: fingerprints of requests that may crash upstreams
 *
 * A request in flight at a replica when it died is a suspect. It is sent again
 * only in a trial, alone on a replica: a death in a trial convicts it, a
 * success clears it. Deaths of replicas outside a trial prove nothing further,
 * since every request that shared them is a suspect as well. A pardon leaves a
 * mark, so that a late report of the old conviction does not bring it back.
 */
#include <stdlib.h>

#include "medlar.h"

#define DEATHS_TO_CONVICT 2

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
 * medlar_suspects_init() - start with no fingerprints
 * @suspects: memory of the caller
 * @cap: most fingerprints kept, at least 1
 * @expiry: how long one is kept after the last death, ms
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
	return item->crashes >= DEATHS_TO_CONVICT;
}

/* Suspects go before convictions, and the soonest to expire goes first. */
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
 * medlar_suspects_look() - what is known of a fingerprint
 * @suspects: table
 * @fingerprint: from medlar_fingerprint()
 * @now: current time
 *
 * Return: the verdict; %MEDLAR_VERDICT_CLEAR when it is unknown or expired.
 */
medlar_verdict_t medlar_suspects_look(const medlar_suspects_t *suspects,
				      uint64_t fingerprint, medlar_time_t now)
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
		.deaths = item->crashes,
		.replica = item->replica,
		.shard = item->shard,
		.local = item->local,
		.pardoned = item->pardoned,
		.died = item->crashed_at,
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
 * medlar_suspects_on_change() - register the handler of new knowledge
 * @suspects: table
 * @fn: called when this instance itself suspects, convicts, clears or pardons
 *	a fingerprint, so that peers can be told at once; NULL for none
 * @data: passed to @fn
 */
void medlar_suspects_on_change(medlar_suspects_t *suspects,
			       medlar_suspect_fn_t fn, void *data)
{
	suspects->changed = fn;
	suspects->data = data;
}

/**
 * medlar_suspects_get() - all that is known of a fingerprint
 * @suspects: table
 * @fingerprint: from medlar_fingerprint()
 * @now: current time
 * @out: the entry; untouched when there is none
 *
 * Return: true when @out was filled.
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
 * medlar_suspects_death() - a replica died with a request in flight
 * @suspects: table
 * @death: the request, the replica, and how the request had been sent
 * @now: when the death was noticed
 *
 * The first death makes a suspect, and so do all others of requests sent before
 * it was noticed. A death in a trial convicts.
 *
 * Return: the verdict after this death.
 */
medlar_verdict_t medlar_suspects_death(medlar_suspects_t *suspects,
				       const medlar_death_t *death,
				       medlar_time_t now)
{
	struct medlar_suspect_ *item = find_or_add_suspect(suspects,
							   death->fingerprint);
	bool known = item->crashes > 0 && item->until > now;

	if (known && is_convicted(item))
		return MEDLAR_VERDICT_CONVICTED;
	if (known && !death->trial) {
		item->local = item->local || death->local;
		return verdict_for(item);
	}
	item->crashes = known ? DEATHS_TO_CONVICT : 1;
	item->replica = death->replica;
	item->shard = death->shard;
	item->local = death->local;
	item->crashed_at = now;
	item->pardoned = false;
	item->until = now + suspects->expiry;
	if (death->local)
		notify_change(suspects, item);
	return verdict_for(item);
}

/**
 * medlar_suspects_success() - a trial succeeded, here or at a peer
 * @suspects: table
 * @fingerprint: the request
 *
 * Clears a suspect. A conviction stays until it expires or is pardoned.
 */
void medlar_suspects_success(medlar_suspects_t *suspects, uint64_t fingerprint)
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
 * medlar_suspects_convict() - take over a conviction from a peer
 * @suspects: table
 * @fingerprint: the request
 * @until: when the conviction expires
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_STALE when a pardon is newer.
 */
int medlar_suspects_convict(medlar_suspects_t *suspects, uint64_t fingerprint,
			    medlar_time_t until)
{
	struct medlar_suspect_ *item = find_or_add_suspect(suspects,
							   fingerprint);

	if (item->pardoned && until <= item->until)
		return MEDLAR_ERR_STALE;
	item->crashes = DEATHS_TO_CONVICT;
	item->pardoned = false;
	item->local = false;
	if (item->until < until)
		item->until = until;
	return MEDLAR_OK;
}

/**
 * medlar_suspects_pardon() - an operator lifts a conviction or suspicion
 * @suspects: table
 * @fingerprint: the request
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOT_FOUND.
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
 * medlar_suspects_next() - list what the table holds
 * @suspects: table
 * @cursor: 0 to begin; advanced by each call
 * @now: current time; what has expired is left out
 * @out: the entry
 *
 * Return: true when @out was filled, false at the end.
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
 * medlar_fingerprint() - what two sendings of one request have in common
 * @service: name of the service
 * @method: name of the request's kind
 * @body: request body
 *
 * Return: a hash that is equal on every instance; never 0.
 */
uint64_t medlar_fingerprint(medlar_str_t service, medlar_str_t method,
			    medlar_str_t body)
{
	uint64_t hash = medlar_str_hash(service, 0);

	hash = medlar_str_hash(method, hash);
	hash = medlar_str_hash(body, hash);
	return hash ? hash : 1;
}
