/**
 * DOC: writes of a service: journal layouts, partitions and commit rate
 *
 * A claim visits the layouts from the oldest to the newest. It leaves an older
 * layout only after the journal of its key there has been sealed, so that two
 * instances that know different layouts still detect each other's claims.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "medlar.h"

#define BACKOFF_MIN ((medlar_time_t)4) /* ms */
#define BACKOFF_MAX ((medlar_time_t)500) /* ms */
#define BACKOFF_DOUBLINGS_MAX 7
#define RELOAD_INTERVAL_MIN ((medlar_time_t)20) /* between reads, ms */
#define KEY_SUFFIX_SIZE 128

static void load_layouts(medlar_writes_t *writes);

static void on_layouts_timer(medlar_client_t *client, medlar_timer_t *timer,
			     medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	load_layouts(data);
}

/**
 * medlar_writes_init() - initialise the writes of a service
 * @client: client of the thread
 * @writes: memory of the caller
 * @params: parameters; the policy, store and ops are copied
 */
void medlar_writes_init(medlar_client_t *client, medlar_writes_t *writes,
			const medlar_writes_params_t *params)
{
	*writes = (medlar_writes_t){
		.client = client,
		.policy = *params->policy,
		.revision = params->revision,
		.store = *params->store,
		.ops = *params->ops,
		.data = params->data,
		.epoch = params->epoch,
		.layouts_time = -RELOAD_INTERVAL_MIN,
	};
	medlar_writes_set_commit_rate(writes, params->commit_rate);
	medlar_timer_init(&writes->layouts_timer, on_layouts_timer, writes);
}

static void free_generation(medlar_writes_t *writes, uint32_t generation)
{
	medlar_partition_t **partitions = writes->generations[generation];
	uint32_t i;

	if (!partitions)
		return;
	for (i = 0; i < writes->layouts.items[generation].partitions; i++) {
		if (!partitions[i])
			continue;
		medlar_partition_finish(partitions[i]);
		free(partitions[i]);
	}
	free(partitions);
}

/**
 * medlar_writes_finish() - free all writes without answering them
 * @writes: initialised writes; the store must not call back any more
 */
void medlar_writes_finish(medlar_writes_t *writes)
{
	uint32_t i;

	while (writes->writes_head)
		medlar_write_free(writes->writes_head);
	for (i = 0; i < writes->layouts.len; i++)
		free_generation(writes, i);
	medlar_timer_clear(writes->client, &writes->layouts_timer);
}

/**
 * medlar_writes_set_policy() - apply a new configuration of the service
 * @writes: writes
 * @policy: configuration; copied
 * @revision: revision of the configuration; ignored unless it is newer than the
 *	last one
 */
void medlar_writes_set_policy(medlar_writes_t *writes,
			      const medlar_policy_t *policy, uint64_t revision)
{
	if (revision <= writes->revision)
		return;
	writes->policy = *policy;
	writes->revision = revision;
	writes->layouts_known = false;
}

/**
 * medlar_writes_set_commit_rate() - set the commit rate
 * @writes: writes
 * @commits: maximum of commits per second by this instance; 0 for no limit
 */
void medlar_writes_set_commit_rate(medlar_writes_t *writes, double commits)
{
	writes->commit_interval = commits > 0 ? (double)MEDLAR_SECOND / commits
					      : 0;
}

/**
 * medlar_writes_set_epoch() - set the Unix time of the timers' clock
 * @writes: writes
 * @epoch: Unix time at which the clock of the timers is 0, ms
 */
void medlar_writes_set_epoch(medlar_writes_t *writes, medlar_time_t epoch)
{
	writes->epoch = epoch;
}

/**
 * medlar_writes_now() - current time on the clock of the timers
 * @writes: writes
 *
 * Return: milliseconds.
 */
medlar_time_t medlar_writes_now(const medlar_writes_t *writes)
{
	return writes->ops.now(writes->data);
}

/**
 * medlar_writes_wall_time() - current Unix time
 * @writes: writes
 *
 * Return: milliseconds.
 */
medlar_time_t medlar_writes_wall_time(const medlar_writes_t *writes)
{
	return medlar_writes_now(writes) + writes->epoch;
}

/**
 * medlar_writes_backoff() - delay before a store call is repeated
 * @client: source of the random jitter
 * @failures: failures in a row before this one
 *
 * Return: exponential backoff with jitter, ms.
 */
medlar_time_t medlar_writes_backoff(medlar_client_t *client, uint32_t failures)
{
	uint32_t doublings = failures < BACKOFF_DOUBLINGS_MAX
				     ? failures
				     : BACKOFF_DOUBLINGS_MAX;
	medlar_time_t most = BACKOFF_MIN << doublings;

	if (most > BACKOFF_MAX)
		most = BACKOFF_MAX;
	return most / 2 + (medlar_time_t)medlar_rand_below(
				  &client->rand, (uint64_t)most / 2 + 1);
}

/**
 * medlar_writes_store_key() - append a store key of the service
 * @writes: writes
 * @out: buffer; its error member is set on failure
 * @format: last part of the key, as for printf()
 */
void medlar_writes_store_key(const medlar_writes_t *writes, medlar_buf_t *out,
			     const char *format, ...)
{
	char last[KEY_SUFFIX_SIZE];
	va_list args;

	va_start(args, format);
	vsnprintf(last, sizeof(last), format, args);
	va_end(args);
	medlar_buf_printf(out, "medlar/writes/%s/%s", writes->policy.name,
			  last);
}

static void retry_layouts(medlar_writes_t *writes)
{
	medlar_time_t delay = medlar_writes_backoff(writes->client,
						    writes->layouts_failures++);

	writes->layouts_busy = false;
	/* If memory runs out, the next claim loads the layouts again. */
	(void)medlar_timer_set(writes->client, &writes->layouts_timer,
			       medlar_writes_now(writes) + delay);
}

static void on_layouts_commit(const medlar_store_reply_t *reply, void *data)
{
	medlar_writes_t *writes = data;

	if (reply->status != MEDLAR_STORE_OK) {
		retry_layouts(writes);
		return;
	}
	writes->layouts_busy = false;
	load_layouts(writes);
}

static void store_layouts(medlar_writes_t *writes,
			  const medlar_layouts_t *layouts, uint64_t index)
{
	medlar_buf_t value;
	medlar_buf_t key;
	int error;

	medlar_buf_init(&value);
	medlar_buf_init(&key);
	medlar_layouts_write(layouts, &value);
	medlar_writes_store_key(writes, &key, "layout");
	error = value.error ? value.error : key.error;
	if (!error)
		error = writes->store.cas(writes->store.data,
					  medlar_buf_str(&key),
					  medlar_buf_str(&value), index,
					  on_layouts_commit, writes);
	medlar_buf_finish(&key);
	medlar_buf_finish(&value);
	if (error)
		retry_layouts(writes);
}

static void apply_layouts(medlar_writes_t *writes,
			  const medlar_layouts_t *layouts)
{
	medlar_time_t now = medlar_writes_now(writes);
	medlar_claims_t waiting = writes->waiting;
	medlar_claim_t *claim;

	writes->layouts_busy = false;
	writes->layouts_failures = 0;
	writes->layouts_known = true;
	writes->layouts_time = now;
	if (layouts->len > writes->layouts.len)
		writes->layouts = *layouts;
	writes->waiting = (medlar_claims_t){ 0 };
	while ((claim = waiting.head)) {
		claim->list = &waiting;
		medlar_claims_remove(claim);
		medlar_writes_enqueue(writes, claim, now);
	}
}

static void on_layouts_read(const medlar_store_reply_t *reply, void *data)
{
	medlar_writes_t *writes = data;
	bool missing = reply->status == MEDLAR_STORE_MISSING;
	medlar_layouts_t layouts = { .len = 0 };
	medlar_layout_t wanted;

	if (!missing && (reply->status != MEDLAR_STORE_OK ||
			 medlar_layouts_parse(&layouts, reply->value))) {
		retry_layouts(writes);
		return;
	}
	wanted = medlar_layout_make(writes->policy.partitions,
				    writes->policy.window, writes->revision);
	if (medlar_layouts_add(&layouts, &wanted))
		store_layouts(writes, &layouts, missing ? 0 : reply->index);
	else
		apply_layouts(writes, &layouts);
}

static void load_layouts(medlar_writes_t *writes)
{
	medlar_buf_t key;
	int error;

	if (writes->layouts_busy)
		return;
	medlar_buf_init(&key);
	medlar_writes_store_key(writes, &key, "layout");
	writes->layouts_busy = true;
	error = key.error;
	if (!error)
		error = writes->store.get(writes->store.data,
					  medlar_buf_str(&key), on_layouts_read,
					  writes);
	medlar_buf_finish(&key);
	if (error)
		retry_layouts(writes);
}

/**
 * medlar_writes_reload_layouts() - reload the layouts before a claim continues
 * @writes: writes
 * @claim: claim that found the journal of the newest known layout sealed; waits
 *	until the layouts have been read
 */
void medlar_writes_reload_layouts(medlar_writes_t *writes,
				  medlar_claim_t *claim)
{
	medlar_time_t due = writes->layouts_time + RELOAD_INTERVAL_MIN;

	medlar_claims_remove(claim);
	medlar_claims_append(&writes->waiting, claim);
	writes->layouts_known = false;
	if (writes->layouts_timer.slot)
		return;
	/* A read may be older than the seal; the next one is delayed. */
	if (due <= medlar_writes_now(writes) ||
	    medlar_timer_set(writes->client, &writes->layouts_timer, due))
		load_layouts(writes);
}

static medlar_partition_t *get_partition(medlar_writes_t *writes,
					 const medlar_claim_t *claim)
{
	uint32_t generation = claim->generation;
	const medlar_layout_t *layout = &writes->layouts.items[generation];
	uint32_t place = medlar_layout_locate(layout, &claim->key);
	medlar_partition_t **partitions = writes->generations[generation];

	if (!partitions) {
		partitions = calloc(layout->partitions, sizeof(*partitions));
		if (!partitions)
			return NULL;
		writes->generations[generation] = partitions;
	}
	if (!partitions[place]) {
		partitions[place] = malloc(sizeof(**partitions));
		if (!partitions[place])
			return NULL;
		medlar_partition_init(partitions[place], writes, generation,
				      place);
	}
	return partitions[place];
}

static bool can_skip(const medlar_partition_t *partition,
		     const medlar_claim_t *claim)
{
	return partition->retired &&
	       partition->generation + 1 < partition->writes->layouts.len &&
	       medlar_uuid_time(&claim->key) > partition->low_watermark;
}

/**
 * medlar_writes_enqueue() - queue a claim at the journal of its key
 * @writes: writes
 * @claim: claim that is not in any list, with the generation of its layout
 * @now: current time
 *
 * Journals of older layouts that are sealed and empty are skipped. If memory
 * runs out, the claim waits until the deadline of its write.
 */
void medlar_writes_enqueue(medlar_writes_t *writes, medlar_claim_t *claim,
			   medlar_time_t now)
{
	medlar_partition_t *partition;

	if (!writes->layouts_known ||
	    claim->generation >= writes->layouts.len) {
		medlar_writes_reload_layouts(writes, claim);
		return;
	}
	partition = get_partition(writes, claim);
	while (partition && can_skip(partition, claim)) {
		claim->generation++;
		partition = get_partition(writes, claim);
	}
	if (partition)
		medlar_partition_add(partition, claim, now);
	else
		medlar_claims_append(&writes->waiting, claim);
}

/**
 * medlar_writes_store_failed() - whether store calls for a claim are failing
 * @writes: writes
 * @claim: claim that is waiting
 *
 * Return: true if the last store call for the claim failed.
 */
bool medlar_writes_store_failed(const medlar_writes_t *writes,
				const medlar_claim_t *claim)
{
	medlar_partition_t **partitions;
	const medlar_layout_t *layout;
	uint32_t place;

	if (claim->list == &writes->waiting)
		return writes->layouts_failures > 0;
	if (claim->generation >= writes->layouts.len)
		return false;
	layout = &writes->layouts.items[claim->generation];
	partitions = writes->generations[claim->generation];
	place = medlar_layout_locate(layout, &claim->key);
	return partitions && partitions[place] &&
	       partitions[place]->failures > 0;
}
