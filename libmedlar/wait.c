/**
 * DOC: queues of parts that wait for a replica with room
 *
 * Each shard has a queue. It is served in the order of arrival; once its
 * oldest entry has waited too long, the newest is served first, since it still
 * has the time to be of use. Entries leave with their query's deadline.
 */
#include <stdlib.h>

#include "query.h"

#define WAITS_CAP_MIN 64
/* How often queues are looked at when no reply makes room, ms. */
#define TICK 5
/* Entries tried while those before them cannot use the replicas with room. */
#define WAKE_TRIES 4
/* Share of the policy's deadline after which a queue counts as old. */
#define OLD_SHARE 0.25

static int grow_items(medlar_waits_t *waits)
{
	size_t cap = waits->cap ? 2 * waits->cap : WAITS_CAP_MIN;
	medlar_waiter_t *items = realloc(waits->items, cap * sizeof(*items));

	if (!items)
		return MEDLAR_ERR_NOMEM;
	waits->items = items;
	waits->cap = cap;
	return MEDLAR_OK;
}

static int grow_lists(medlar_waits_t *waits, size_t len)
{
	medlar_wait_list_t *lists;

	if (len <= waits->lists_len)
		return MEDLAR_OK;
	lists = realloc(waits->lists, len * sizeof(*lists));
	if (!lists)
		return MEDLAR_ERR_NOMEM;
	while (waits->lists_len < len)
		lists[waits->lists_len++] = (medlar_wait_list_t){ 0 };
	waits->lists = lists;
	return MEDLAR_OK;
}

/* Gives the place of an unused entry plus one, or 0 when out of memory. */
static uint32_t take(medlar_waits_t *waits)
{
	uint32_t slot = waits->free;

	if (slot) {
		waits->free = waits->items[slot - 1].next;
		return slot;
	}
	if (waits->len == waits->cap && grow_items(waits))
		return 0;
	return (uint32_t)++waits->len;
}

static void link_newest(medlar_waits_t *waits, medlar_wait_list_t *list,
			uint32_t slot)
{
	waits->items[slot - 1].next = 0;
	waits->items[slot - 1].prev = list->tail;
	if (list->tail)
		waits->items[list->tail - 1].next = slot;
	else
		list->head = slot;
	list->tail = slot;
}

static void unlink_entry(medlar_waits_t *waits, medlar_wait_list_t *list,
			 uint32_t slot)
{
	medlar_waiter_t *waiter = &waits->items[slot - 1];

	if (waiter->prev)
		waits->items[waiter->prev - 1].next = waiter->next;
	else
		list->head = waiter->next;
	if (waiter->next)
		waits->items[waiter->next - 1].prev = waiter->prev;
	else
		list->tail = waiter->prev;
}

/**
 * medlar_wait_add() - let a part wait for a replica of its shard
 * @client: client
 * @query: a running query
 * @part: a part of it that is in no queue
 * @now: current time
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_NO_REPLICA when there is no such shard, or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_wait_add(medlar_client_t *client, medlar_query_t *query,
		    medlar_part_t *part, medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_waits_t *waits = &queries->waits;
	size_t shards = medlar_service_shards(queries->service);
	uint32_t slot;

	if (part->shard >= shards)
		return MEDLAR_ERR_NO_REPLICA;
	if (grow_lists(waits, shards))
		return MEDLAR_ERR_NOMEM;
	slot = take(waits);
	if (!slot)
		return MEDLAR_ERR_NOMEM;
	waits->items[slot - 1] = (medlar_waiter_t){
		.query = query,
		.since = now,
		.part = (uint32_t)medlar_query_index(query, part),
	};
	link_newest(waits, &waits->lists[part->shard], slot);
	waits->used++;
	part->waiter = slot;
	part->state = MEDLAR_PART_WAITING;
	medlar_wait_arm(client, queries, now);
	return MEDLAR_OK;
}

/**
 * medlar_wait_remove() - take a part out of its queue
 * @queries: queries of the service
 * @part: any part; nothing happens when it does not wait
 */
void medlar_wait_remove(medlar_queries_t *queries, medlar_part_t *part)
{
	medlar_waits_t *waits = &queries->waits;
	uint32_t slot = part->waiter;

	if (!slot)
		return;
	unlink_entry(waits, &waits->lists[part->shard], slot);
	waits->items[slot - 1].next = waits->free;
	waits->free = slot;
	waits->used--;
	part->waiter = 0;
}

/* Whether the part left its queue, or need not keep others waiting. */
static bool serve(medlar_client_t *client, medlar_queries_t *queries,
		  uint32_t slot, medlar_time_t now)
{
	const medlar_waiter_t *waiter = &queries->waits.items[slot - 1];
	medlar_query_t *query = waiter->query;
	medlar_part_t *part = &query->parts[waiter->part];
	int error = medlar_part_send(client, query, part, now);

	if (error == MEDLAR_OK)
		return true;
	part->stranded = error == MEDLAR_ERR_NO_REPLICA;
	if (error == MEDLAR_ERR_FULL)
		return part->tried_len > 0;
	if (error == MEDLAR_ERR_NO_REPLICA && part->tried_len == 0)
		return false;
	medlar_wait_remove(queries, part);
	medlar_part_start(client, query, part, now);
	return true;
}

static bool is_old(const medlar_queries_t *queries,
		   const medlar_wait_list_t *list, medlar_time_t now)
{
	medlar_time_t deadline = queries->service->policy.deadline;
	medlar_time_t waited = now - queries->waits.items[list->head - 1].since;

	return (double)waited > OLD_SHARE * (double)deadline;
}

/**
 * medlar_wait_wake() - send what waits, as far as replicas have room
 * @client: client
 * @queries: queries of a service
 * @shard: shard whose replicas may have room
 * @now: current time
 */
void medlar_wait_wake(medlar_client_t *client, medlar_queries_t *queries,
		      uint32_t shard, medlar_time_t now)
{
	medlar_waits_t *waits = &queries->waits;
	size_t left = waits->used;
	unsigned skipped = 0;
	uint32_t slot;
	bool newest;

	if (shard >= waits->lists_len || !waits->lists[shard].head)
		return;
	newest = is_old(queries, &waits->lists[shard], now);
	slot = newest ? waits->lists[shard].tail : waits->lists[shard].head;
	while (slot && left-- > 0 && skipped < WAKE_TRIES) {
		uint32_t prev = waits->items[slot - 1].prev;
		uint32_t next = waits->items[slot - 1].next;
		size_t used = waits->used;

		if (!serve(client, queries, slot, now))
			return;
		if (waits->used >= used)
			skipped++;
		slot = newest ? prev : next;
	}
}

/**
 * medlar_wait_arm() - have the queues looked after
 * @client: client
 * @queries: queries of a service
 * @now: current time
 */
void medlar_wait_arm(medlar_client_t *client, medlar_queries_t *queries,
		     medlar_time_t now)
{
	if (queries->tick.slot == 0)
		medlar_timer_set(client, &queries->tick, now + TICK);
}

static void replace_parts(medlar_client_t *client, medlar_query_t *query,
			  medlar_time_t now)
{
	size_t len = query->len;
	size_t i;

	for (i = 0; i < len; i++) {
		if (query->parts[i].state != MEDLAR_PART_WAITING)
			continue;
		medlar_wait_remove(query->queries, &query->parts[i]);
		medlar_part_replace(client, query, i, now);
	}
}

/* A new map may hold elsewhere what waits for a shard. */
static void follow_map(medlar_client_t *client, medlar_queries_t *queries,
		       medlar_time_t now)
{
	uint64_t epoch = queries->service->map.epoch;
	medlar_query_t *query = queries->running.head;

	if (queries->placed == epoch)
		return;
	queries->placed = epoch;
	for (; query; query = query->next)
		replace_parts(client, query, now);
}

/**
 * medlar_wait_tick() - look after all that waits, as a timer
 * @client: client
 * @timer: timer of the queues
 * @now: current time
 * @data: queries of a service
 */
void medlar_wait_tick(medlar_client_t *client, medlar_timer_t *timer,
		      medlar_time_t now, void *data)
{
	medlar_queries_t *queries = data;
	uint32_t shard;

	(void)timer;
	follow_map(client, queries, now);
	for (shard = 0; shard < queries->waits.lists_len; shard++)
		medlar_wait_wake(client, queries, shard, now);
	medlar_admission_run(client, queries, now);
	if (queries->waits.used > 0 || queries->admission.len > 0)
		medlar_wait_arm(client, queries, now);
}

/**
 * medlar_wait_finish() - release the queues
 * @queries: queries of a service
 */
void medlar_wait_finish(medlar_queries_t *queries)
{
	free(queries->waits.items);
	free(queries->waits.lists);
	queries->waits = (medlar_waits_t){ 0 };
}
