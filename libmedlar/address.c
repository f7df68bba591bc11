/**
 * DOC: which instances a caller should use
 *
 * The order of instances is a hash of caller and instance, the same each time
 * a caller asks and different for different callers, so that callers spread
 * evenly. Instances of the caller's availability zone come first, but one place
 * is kept for another zone.
 */
#include "internal.h"

#define WEIGHT_NEAR 4
#define WEIGHT_FAR 1

/* A caller keeps its answer for up to this share of the time less. */
#define TTL_JITTER 0.2

static bool precedes(const medlar_address_t *a, const medlar_address_t *b,
		     uint64_t zone, uint64_t caller)
{
	bool near_a = a->zone == zone;
	bool near_b = b->zone == zone;

	if (near_a != near_b)
		return near_a;
	return medlar_share_weight(a->id, caller) <
	       medlar_share_weight(b->id, caller);
}

static void insert(medlar_address_t *out, size_t *len, size_t max,
		   const medlar_address_t *address, uint64_t zone,
		   uint64_t caller)
{
	size_t at = *len;

	while (at > 0 && precedes(address, &out[at - 1], zone, caller))
		at--;
	if (at == max)
		return;
	if (*len < max)
		(*len)++;
	for (size_t i = *len - 1; i > at; i--)
		out[i] = out[i - 1];
	out[at] = *address;
}

/* First instance in the caller's order that is in another zone. */
static const medlar_address_t *first_far(const medlar_address_t *from,
					 size_t len, uint64_t zone,
					 uint64_t caller)
{
	const medlar_address_t *best = NULL;
	size_t i;

	for (i = 0; i < len; i++)
		if (from[i].zone != zone &&
		    (!best || precedes(&from[i], best, zone, caller)))
			best = &from[i];
	return best;
}

/**
 * medlar_address_choose() - choose the instances for a caller
 * @client: client
 * @from: instances that are well and not leaving
 * @len: how many
 * @zone: hash of the name of the caller's availability zone
 * @caller: hash that tells callers apart, such as of their address
 * @out: set to the chosen ones, best first, with their weights
 *
 * The choice spans at least two zones if @from does.
 *
 * Return: how many, at most %MEDLAR_ADDRESSES_MAX.
 */
size_t medlar_address_choose(medlar_client_t *client,
			     const medlar_address_t *from, size_t len,
			     uint64_t zone, uint64_t caller,
			     medlar_address_t out[MEDLAR_ADDRESSES_MAX])
{
	const medlar_address_t *far;
	size_t chosen = 0;
	size_t i;

	for (i = 0; i < len; i++)
		insert(out, &chosen, MEDLAR_ADDRESSES_MAX, &from[i], zone,
		       caller);
	if (chosen == 0)
		return 0;
	far = first_far(from, len, out[0].zone, caller);
	for (i = 0; far && i < chosen; i++)
		if (out[i].zone != out[0].zone)
			far = NULL;
	if (far)
		out[chosen - 1] = *far;
	for (i = 0; i < chosen; i++)
		out[i].weight = out[i].zone == zone ? WEIGHT_NEAR : WEIGHT_FAR;
	MEDLAR_TRACE(client, MEDLAR_EVENT_ADDRESS, MEDLAR_HEX("caller", caller),
		     MEDLAR_NUM("chosen", chosen), MEDLAR_NUM("from", len),
		     MEDLAR_HEX("first", out[0].id));
	return chosen;
}

/**
 * medlar_address_ttl() - how long a caller keeps its answer
 * @client: client
 * @ttl: longest time, ms
 *
 * Return: @ttl or somewhat less, so that callers do not return together.
 */
medlar_time_t medlar_address_ttl(medlar_client_t *client, medlar_time_t ttl)
{
	double factor = 1 - TTL_JITTER * medlar_rand_unit(&client->rand);

	return (medlar_time_t)((double)ttl * factor);
}
