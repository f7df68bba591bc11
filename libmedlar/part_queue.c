/**
 * DOC: queues of parts that wait for a free replica
 *
 * Each shard has one queue, served first in, first out. Once its oldest entry
 * has waited too long, it is served last in, first out, since the newest
 * entries can still be answered in time. Entries are removed when their query
 * ends.
 */
#include <stdlib.h>

#include "query.h"

#define ENTRIES_CAP_MIN 64
/* Interval at which queues are served when no reply frees a replica, ms. */
#define DISPATCH_INTERVAL 5
/* Entries skipped in one pass because they cannot use the free replicas. */
#define SKIPPED_MAX 4
/* Wait after which a queue is served LIFO, share of the policy's deadline. */
#define LIFO_WAIT_SHARE 0.25

static int grow_items(medlar_part_queues_t *queues)
{
	size_t cap = queues->cap ? 2 * queues->cap : ENTRIES_CAP_MIN;
	medlar_part_queue_entry_t *items = realloc(queues->items,
						   cap * sizeof(*items));

	if (!items)
		return MEDLAR_ERR_NOMEM;
	queues->items = items;
	queues->cap = cap;
	return MEDLAR_OK;
}

static int grow_queues(medlar_part_queues_t *queues, size_t len)
{
	medlar_part_queue_t *grown;

	if (len <= queues->queues_len)
		return MEDLAR_OK;
	grown = realloc(queues->queues, len * sizeof(*grown));
	if (!grown)
		return MEDLAR_ERR_NOMEM;
	while (queues->queues_len < len)
		grown[queues->queues_len++] = (medlar_part_queue_t){ 0 };
	queues->queues = grown;
	return MEDLAR_OK;
}

/* Returns the index of an unused entry plus one, or 0 when out of memory. */
static uint32_t allocate_entry(medlar_part_queues_t *queues)
{
	uint32_t slot = queues->free;

	if (slot) {
		queues->free = queues->items[slot - 1].next;
		return slot;
	}
	if (queues->len == queues->cap && grow_items(queues))
		return 0;
	return (uint32_t)++queues->len;
}

static void link_at_tail(medlar_part_queues_t *queues,
			 medlar_part_queue_t *queue, uint32_t slot)
{
	queues->items[slot - 1].next = 0;
	queues->items[slot - 1].prev = queue->tail;
	if (queue->tail)
		queues->items[queue->tail - 1].next = slot;
	else
		queue->head = slot;
	queue->tail = slot;
}

static void unlink_entry(medlar_part_queues_t *queues,
			 medlar_part_queue_t *queue, uint32_t slot)
{
	medlar_part_queue_entry_t *entry = &queues->items[slot - 1];

	if (entry->prev)
		queues->items[entry->prev - 1].next = entry->next;
	else
		queue->head = entry->next;
	if (entry->next)
		queues->items[entry->next - 1].prev = entry->prev;
	else
		queue->tail = entry->prev;
}

/**
 * medlar_part_queue_add() - queue a part for a replica of its shard
 * @client: client
 * @query: a running query
 * @part: a part of it that is in no queue
 * @now: current time
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_NO_REPLICA if the shard does not exist, or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_part_queue_add(medlar_client_t *client, medlar_query_t *query,
			  medlar_part_t *part, medlar_time_t now)
{
	medlar_queries_t *queries = query->queries;
	medlar_part_queues_t *queues = &queries->part_queues;
	size_t shards = medlar_service_shards_count(queries->service);
	uint32_t slot;

	if (part->shard >= shards)
		return MEDLAR_ERR_NO_REPLICA;
	if (grow_queues(queues, shards))
		return MEDLAR_ERR_NOMEM;
	slot = allocate_entry(queues);
	if (!slot)
		return MEDLAR_ERR_NOMEM;
	queues->items[slot - 1] = (medlar_part_queue_entry_t){
		.query = query,
		.since = now,
		.part = (uint32_t)medlar_query_part_index(query, part),
	};
	link_at_tail(queues, &queues->queues[part->shard], slot);
	queues->used++;
	part->queue_entry = slot;
	part->state = MEDLAR_PART_WAITING;
	medlar_part_queue_arm_timer(client, queries, now);
	return MEDLAR_OK;
}

/**
 * medlar_part_queue_remove() - remove a part from its queue
 * @queries: queries of the service
 * @part: any part; nothing happens when it is not queued
 */
void medlar_part_queue_remove(medlar_queries_t *queries, medlar_part_t *part)
{
	medlar_part_queues_t *queues = &queries->part_queues;
	uint32_t slot = part->queue_entry;

	if (!slot)
		return;
	unlink_entry(queues, &queues->queues[part->shard], slot);
	queues->items[slot - 1].next = queues->free;
	queues->free = slot;
	queues->used--;
	part->queue_entry = 0;
}

/* Returns false if no later entry of the queue can be sent either. */
static bool try_send_entry(medlar_client_t *client, medlar_queries_t *queries,
			   uint32_t slot, medlar_time_t now)
{
	const medlar_part_queue_entry_t *entry =
		&queries->part_queues.items[slot - 1];
	medlar_query_t *query = entry->query;
	medlar_part_t *part = &query->parts[entry->part];
	int error = medlar_part_send(client, query, part, now);

	if (error == MEDLAR_OK)
		return true;
	part->no_replica = error == MEDLAR_ERR_NO_REPLICA;
	if (error == MEDLAR_ERR_FULL)
		return part->tried_len > 0;
	if (error == MEDLAR_ERR_NO_REPLICA && part->tried_len == 0)
		return false;
	medlar_part_queue_remove(queries, part);
	medlar_part_start(client, query, part, now);
	return true;
}

static bool is_old(const medlar_queries_t *queries,
		   const medlar_part_queue_t *queue, medlar_time_t now)
{
	medlar_time_t deadline = queries->service->policy.deadline;
	medlar_time_t waited =
		now - queries->part_queues.items[queue->head - 1].since;

	return (double)waited > LIFO_WAIT_SHARE * (double)deadline;
}

/**
 * medlar_part_queue_dispatch() - send queued parts to free replicas of a shard
 * @client: client
 * @queries: queries of a service
 * @shard: shard whose replicas may be free
 * @now: current time
 */
void medlar_part_queue_dispatch(medlar_client_t *client,
				medlar_queries_t *queries, uint32_t shard,
				medlar_time_t now)
{
	medlar_part_queues_t *queues = &queries->part_queues;
	size_t left = queues->used;
	unsigned skipped = 0;
	uint32_t slot;
	bool newest;

	if (shard >= queues->queues_len || !queues->queues[shard].head)
		return;
	newest = is_old(queries, &queues->queues[shard], now);
	slot = newest ? queues->queues[shard].tail : queues->queues[shard].head;
	while (slot && left-- > 0 && skipped < SKIPPED_MAX) {
		uint32_t prev = queues->items[slot - 1].prev;
		uint32_t next = queues->items[slot - 1].next;
		size_t used = queues->used;

		if (!try_send_entry(client, queries, slot, now))
			return;
		if (queues->used >= used)
			skipped++;
		slot = newest ? prev : next;
	}
}

/**
 * medlar_part_queue_arm_timer() - start the queue timer if it is not set
 * @client: client
 * @queries: queries of a service
 * @now: current time
 */
void medlar_part_queue_arm_timer(medlar_client_t *client,
				 medlar_queries_t *queries, medlar_time_t now)
{
	if (queries->queue_timer.slot == 0)
		medlar_timer_set(client, &queries->queue_timer,
				 now + DISPATCH_INTERVAL);
}

static void remap_waiting_parts(medlar_client_t *client, medlar_query_t *query,
				medlar_time_t now)
{
	size_t len = query->len;
	size_t i;

	for (i = 0; i < len; i++) {
		if (query->parts[i].state != MEDLAR_PART_WAITING)
			continue;
		medlar_part_queue_remove(query->queries, &query->parts[i]);
		medlar_part_remap(client, query, i, now);
	}
}

/* Moves queued parts to the shards that hold them in a new map. */
static void remap_after_new_map(medlar_client_t *client,
				medlar_queries_t *queries, medlar_time_t now)
{
	uint64_t epoch = queries->service->map.epoch;
	medlar_query_t *query = queries->running.head;

	if (queries->map_epoch == epoch)
		return;
	queries->map_epoch = epoch;
	for (; query; query = query->next)
		remap_waiting_parts(client, query, now);
}

/**
 * medlar_part_queue_on_timer() - queue timer: serve all queues and admission
 * @client: client
 * @timer: timer of the queues
 * @now: current time
 * @data: queries of a service
 */
void medlar_part_queue_on_timer(medlar_client_t *client, medlar_timer_t *timer,
				medlar_time_t now, void *data)
{
	medlar_queries_t *queries = data;
	uint32_t shard;

	(void)timer;
	remap_after_new_map(client, queries, now);
	for (shard = 0; shard < queries->part_queues.queues_len; shard++)
		medlar_part_queue_dispatch(client, queries, shard, now);
	medlar_admission_dispatch(client, queries, now);
	if (queries->part_queues.used > 0 || queries->admission.len > 0)
		medlar_part_queue_arm_timer(client, queries, now);
}

/**
 * medlar_part_queues_finish() - release the queues of a service
 * @queries: queries of a service
 */
void medlar_part_queues_finish(medlar_queries_t *queries)
{
	free(queries->part_queues.items);
	free(queries->part_queues.queues);
	queries->part_queues = (medlar_part_queues_t){ 0 };
}
