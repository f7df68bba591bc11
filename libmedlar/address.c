/**
 * DOC: chooses the instances whose addresses a caller gets
 *
 * Instances are ordered by a hash of caller and instance (rendezvous hashing):
 * the order is stable for a caller and differs between callers, which spreads
 * them evenly. Instances of the caller's availability zone come first, but one
 * address is reserved for another zone.
 */
#include "internal.h"

#define WEIGHT_SAME_ZONE 4
#define WEIGHT_OTHER_ZONE 1

/* Largest fraction by which the time to live is shortened at random. */
#define TTL_JITTER 0.2

static bool is_preferred(const medlar_address_t *a, const medlar_address_t *b,
			 uint64_t zone, uint64_t caller)
{
	bool local_a = a->zone == zone;
	bool local_b = b->zone == zone;

	if (local_a != local_b)
		return local_a;
	return medlar_share_hash(a->id, caller) <
	       medlar_share_hash(b->id, caller);
}

static void insert_sorted(medlar_address_t *out, size_t *len, size_t max,
			  const medlar_address_t *address, uint64_t zone,
			  uint64_t caller)
{
	size_t at = *len;

	while (at > 0 && is_preferred(address, &out[at - 1], zone, caller))
		at--;
	if (at == max)
		return;
	if (*len < max)
		(*len)++;
	for (size_t i = *len - 1; i > at; i--)
		out[i] = out[i - 1];
	out[at] = *address;
}

/* First instance outside @zone in the order of the caller. */
static const medlar_address_t *first_in_other_zone(const medlar_address_t *from,
						   size_t len, uint64_t zone,
						   uint64_t caller)
{
	const medlar_address_t *best = NULL;
	size_t i;

	for (i = 0; i < len; i++)
		if (from[i].zone != zone &&
		    (!best || is_preferred(&from[i], best, zone, caller)))
			best = &from[i];
	return best;
}

/**
 * medlar_address_choose() - choose the instances for a caller
 * @client: client
 * @from: instances that are alive and not leaving
 * @len: number of @from
 * @zone: hash of the name of the caller's availability zone
 * @caller: hash that identifies the caller, such as that of its address
 * @out: set to the chosen instances, preferred ones first, with their weights
 *
 * The chosen instances span at least two zones if those of @from do.
 *
 * Return: number of instances chosen, at most %MEDLAR_ADDRESSES_MAX.
 */
size_t medlar_address_choose(medlar_client_t *client,
			     const medlar_address_t *from, size_t len,
			     uint64_t zone, uint64_t caller,
			     medlar_address_t out[MEDLAR_ADDRESSES_MAX])
{
	const medlar_address_t *other_zone;
	size_t chosen = 0;
	size_t i;

	for (i = 0; i < len; i++)
		insert_sorted(out, &chosen, MEDLAR_ADDRESSES_MAX, &from[i],
			      zone, caller);
	if (chosen == 0)
		return 0;
	other_zone = first_in_other_zone(from, len, out[0].zone, caller);
	for (i = 0; other_zone && i < chosen; i++)
		if (out[i].zone != out[0].zone)
			other_zone = NULL;
	if (other_zone)
		out[chosen - 1] = *other_zone;
	for (i = 0; i < chosen; i++)
		out[i].weight = out[i].zone == zone ? WEIGHT_SAME_ZONE
						    : WEIGHT_OTHER_ZONE;
	MEDLAR_TRACE(client, MEDLAR_EVENT_ADDRESS, MEDLAR_HEX("caller", caller),
		     MEDLAR_NUM("chosen", chosen), MEDLAR_NUM("from", len),
		     MEDLAR_HEX("first", out[0].id));
	return chosen;
}

/**
 * medlar_address_ttl() - time to live of the addresses that a caller gets
 * @client: client
 * @ttl: longest time to live, ms
 *
 * Return: @ttl less a random part of up to a fifth, in milliseconds, so that
 * callers do not ask again at the same time.
 */
medlar_time_t medlar_address_ttl(medlar_client_t *client, medlar_time_t ttl)
{
	double factor = 1 - TTL_JITTER * medlar_rand_unit(&client->rand);

	return (medlar_time_t)((double)ttl * factor);
}
