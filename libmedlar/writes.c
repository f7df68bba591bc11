/**
 * DOC: the writes of one service: layouts, partitions, and pacing
 *
 * A claim walks through the layouts from the oldest to the last. It passes an
 * older one only once the journal of its key there is sealed, so that two
 * instances with different views of the layouts still meet in one journal.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "medlar.h"

#define BACKOFF_MIN ((medlar_time_t)4) /* ms */
#define BACKOFF_MAX ((medlar_time_t)500) /* ms */
#define BACKOFF_DOUBLINGS 7
#define RELOAD_MIN ((medlar_time_t)20) /* ms between readings of the layouts */
#define KEY_MAX_LEN 128

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
 * medlar_writes_init() - start without writes
 * @client: client of the thread
 * @writes: memory of the caller
 * @params: settings; the policy, store and ops are copied
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
		.layouts_time = -RELOAD_MIN,
	};
	medlar_writes_set_commits(writes, params->commits);
	medlar_timer_init(&writes->layouts_timer, on_layouts_timer, writes);
}

static void finish_generation(medlar_writes_t *writes, uint32_t generation)
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
 * medlar_writes_finish() - release all writes without answering them
 * @writes: initialised writes; the store must make no further callback
 */
void medlar_writes_finish(medlar_writes_t *writes)
{
	uint32_t i;

	while (writes->writes_head)
		medlar_write_free(writes->writes_head);
	for (i = 0; i < writes->layouts.len; i++)
		finish_generation(writes, i);
	medlar_timer_clear(writes->client, &writes->layouts_timer);
}

/**
 * medlar_writes_set_policy() - put another configuration in force
 * @writes: writes
 * @policy: configuration
 * @revision: its revision; a lower one than before is ignored
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
 * medlar_writes_set_commits() - change the commit rate
 * @writes: writes
 * @commits: most commits a second by this instance; 0 for no limit
 */
void medlar_writes_set_commits(medlar_writes_t *writes, double commits)
{
	writes->interval = commits > 0 ? (double)MEDLAR_SECOND / commits : 0;
}

/**
 * medlar_writes_set_epoch() - follow a change of the system's clock
 * @writes: writes
 * @epoch: Unix time in milliseconds when the clock of the timers shows 0
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
 * medlar_writes_wall() - current Unix time
 * @writes: writes
 *
 * Return: milliseconds.
 */
medlar_time_t medlar_writes_wall(const medlar_writes_t *writes)
{
	return medlar_writes_now(writes) + writes->epoch;
}

/**
 * medlar_writes_backoff() - how long to wait after a failure
 * @client: source of randomness
 * @failures: failures in a row before this one
 *
 * Return: milliseconds, growing exponentially with jitter.
 */
medlar_time_t medlar_writes_backoff(medlar_client_t *client, uint32_t failures)
{
	uint32_t doublings = failures < BACKOFF_DOUBLINGS ? failures
							  : BACKOFF_DOUBLINGS;
	medlar_time_t most = BACKOFF_MIN << doublings;

	if (most > BACKOFF_MAX)
		most = BACKOFF_MAX;
	return most / 2 + (medlar_time_t)medlar_rand_below(
				  &client->rand, (uint64_t)most / 2 + 1);
}

/**
 * medlar_writes_key() - append the name of a value in the store
 * @writes: writes
 * @out: buffer; its error member tells of failure
 * @format: last part of the name, as for printf()
 */
void medlar_writes_key(const medlar_writes_t *writes, medlar_buf_t *out,
		       const char *format, ...)
{
	char last[KEY_MAX_LEN];
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
	/* Without memory the next claim asks again. */
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
	medlar_writes_key(writes, &key, "layout");
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

static void use_layouts(medlar_writes_t *writes,
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
		medlar_writes_walk(writes, claim, now);
	}
}

static void on_layouts(const medlar_store_reply_t *reply, void *data)
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
		use_layouts(writes, &layouts);
}

static void load_layouts(medlar_writes_t *writes)
{
	medlar_buf_t key;
	int error;

	if (writes->layouts_busy)
		return;
	medlar_buf_init(&key);
	medlar_writes_key(writes, &key, "layout");
	writes->layouts_busy = true;
	error = key.error;
	if (!error)
		error = writes->store.get(writes->store.data,
					  medlar_buf_str(&key), on_layouts,
					  writes);
	medlar_buf_finish(&key);
	if (error)
		retry_layouts(writes);
}

/**
 * medlar_writes_reload() - let a claim wait until newer layouts are known
 * @writes: writes
 * @claim: claim that met a sealed journal in the last layout known
 */
void medlar_writes_reload(medlar_writes_t *writes, medlar_claim_t *claim)
{
	medlar_time_t due = writes->layouts_time + RELOAD_MIN;

	medlar_claims_remove(claim);
	medlar_claims_append(&writes->waiting, claim);
	writes->layouts_known = false;
	if (writes->layouts_timer.slot)
		return;
	/* A reading that lags behind the seal is not repeated at once. */
	if (due <= medlar_writes_now(writes) ||
	    medlar_timer_set(writes->client, &writes->layouts_timer, due))
		load_layouts(writes);
}

static medlar_partition_t *find_partition(medlar_writes_t *writes,
					  const medlar_claim_t *claim)
{
	uint32_t generation = claim->generation;
	const medlar_layout_t *layout = &writes->layouts.items[generation];
	uint32_t place = medlar_layout_place(layout, &claim->key);
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

static bool may_skip(const medlar_partition_t *partition,
		     const medlar_claim_t *claim)
{
	return partition->retired &&
	       partition->generation + 1 < partition->writes->layouts.len &&
	       medlar_uuid_time(&claim->key) > partition->floor;
}

/**
 * medlar_writes_walk() - take a claim to its journal
 * @writes: writes
 * @claim: claim that is in no list, at the layout of its generation
 * @now: current time
 *
 * Journals of older layouts that are sealed and empty are passed by. A claim
 * for which there is no memory waits for its deadline.
 */
void medlar_writes_walk(medlar_writes_t *writes, medlar_claim_t *claim,
			medlar_time_t now)
{
	medlar_partition_t *partition;

	if (!writes->layouts_known ||
	    claim->generation >= writes->layouts.len) {
		medlar_writes_reload(writes, claim);
		return;
	}
	partition = find_partition(writes, claim);
	while (partition && may_skip(partition, claim)) {
		claim->generation++;
		partition = find_partition(writes, claim);
	}
	if (partition)
		medlar_partition_add(partition, claim, now);
	else
		medlar_claims_append(&writes->waiting, claim);
}

/**
 * medlar_writes_is_down() - tell whether the store failed a waiting claim
 * @writes: writes
 * @claim: claim
 *
 * Return: true when the last store call for it failed.
 */
bool medlar_writes_is_down(const medlar_writes_t *writes,
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
	place = medlar_layout_place(layout, &claim->key);
	return partitions && partitions[place] &&
	       partitions[place]->failures > 0;
}
