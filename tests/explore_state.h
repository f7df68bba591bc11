/* Hashes of states and invariants for the explorer of the write protocol. */
#ifndef TESTS_EXPLORE_STATE_H
#define TESTS_EXPLORE_STATE_H

static uint64_t hash_combine(uint64_t hash, uint64_t number)
{
	medlar_rand_t rand = { hash ^ (number * 0x9e3779b97f4a7c15u) };

	return medlar_rand_next(&rand);
}

/* Hashes the claims of a journal, without its times and sequence number. */
static uint64_t hash_journal(medlar_str_t bytes)
{
	uint64_t hash = 1;
	medlar_journal_t journal;
	size_t i;

	medlar_journal_init(&journal);
	if (medlar_journal_decode(&journal, bytes))
		return medlar_str_hash(bytes, 0);
	hash = hash_combine(hash, journal.sealed);
	for (i = 0; i < journal.len; i++) {
		const medlar_journal_entry_t *entry = &journal.entries[i];

		hash = hash_combine(hash, entry->key.bytes[7]);
		hash = hash_combine(hash, entry->key.bytes[6]);
		hash = hash_combine(hash, entry->token.bytes[0]);
		hash = hash_combine(hash, entry->instance);
		hash = hash_combine(hash, entry->state);
	}
	medlar_journal_finish(&journal);
	return hash;
}

static uint64_t hash_op(const world_t *world, const op_t *op)
{
	uint64_t hash = hash_combine(2, op->phase);

	hash = hash_combine(hash, op->instance);
	hash = hash_combine(hash, op->cas);
	hash = hash_combine(hash, (uint64_t)(op->value - world->values));
	hash = hash_combine(hash, op->index);
	hash = hash_combine(hash, op->phase == APPLIED ? op->status : 0);
	return hash_combine(hash, hash_journal(medlar_buf_str(&op->bytes)));
}

static uint64_t hash_write(const instance_t *instance,
			   const medlar_write_t *write)
{
	const medlar_claim_t *claim = &write->claim;
	const request_t *request = write->data;
	uint64_t hash = hash_combine(
		3, (uint64_t)(request - instance->world->requests));

	hash = hash_combine(hash, instance->number);
	hash = hash_combine(hash, claim->op);
	hash = hash_combine(hash, claim->state);
	hash = hash_combine(hash, claim->commit_role);
	hash = hash_combine(hash,
			    claim->in_doubt ? claim->in_doubt_index + 1 : 0);
	hash = hash_combine(hash, claim->generation);
	hash = hash_combine(hash, claim->token.bytes[0]);
	hash = hash_combine(hash, claim->list == &instance->writes.waiting);
	hash = hash_combine(hash, claim->list != NULL);
	hash = hash_combine(hash, write->attempts);
	hash = hash_combine(hash, write->in_flight);
	hash = hash_combine(hash, write->answered);
	hash = hash_combine(hash, write->claimed);
	hash = hash_combine(hash, write->closed);
	hash = hash_combine(hash, write->polling);
	hash = hash_combine(hash, write->duplicate);
	hash = hash_combine(hash, write->polls);
	hash = hash_combine(hash, has_time(write));
	return hash;
}

static uint64_t hash_partition(const medlar_partition_t *partition)
{
	const medlar_claim_t *claim = partition->claims.head;
	uint64_t hash = hash_combine(4, partition->generation);

	hash = hash_combine(hash, partition->index);
	hash = hash_combine(hash, partition->busy);
	hash = hash_combine(hash, partition->failures > 0);
	hash = hash_combine(hash, partition->sealed);
	hash = hash_combine(hash, partition->retired);
	hash = hash_combine(hash, partition->busy ? partition->read_index : 0);
	for (; claim; claim = claim->next)
		hash = hash_combine(hash, claim->token.bytes[0]);
	return hash;
}

static uint64_t hash_timer(const instance_t *instance,
			   const medlar_timer_t *timer)
{
	const medlar_writes_t *writes = &instance->writes;
	const medlar_partition_t *partition = timer->data;
	const medlar_write_t *write = timer->data;
	uint64_t late = timer->due <= instance->now;

	if (timer == &writes->layouts_timer)
		return hash_combine(5, late);
	if (timer->fn == on_timer)
		return hash_combine(hash_combine(6, late),
				    write->claim.token.bytes[0]);
	return hash_combine(hash_combine(7, late),
			    partition->generation * 8 + partition->index);
}

/* Hashes the order in which the timers will fire, without their times. */
static uint64_t hash_timers(const instance_t *instance)
{
	const medlar_timers_t *timers = &instance->client.timers;
	uint64_t sum = 0;
	size_t i;
	size_t j;

	for (i = 0; i < timers->len; i++) {
		size_t rank = 0;

		for (j = 0; j < timers->len; j++)
			if (timers->heap[j]->due < timers->heap[i]->due)
				rank++;
		sum += hash_combine(hash_timer(instance, timers->heap[i]),
				    rank);
	}
	return sum;
}

static uint64_t hash_instance(const instance_t *instance)
{
	const medlar_writes_t *writes = &instance->writes;
	const medlar_write_t *write = writes->writes_head;
	uint64_t hash = hash_combine(8, instance->alive);
	uint32_t i;
	uint32_t j;

	if (!instance->alive)
		return hash;
	hash = hash_combine(hash, writes->layouts.len);
	hash = hash_combine(hash, writes->layouts_known);
	hash = hash_combine(hash, writes->layouts_busy);
	hash = hash_combine(hash, instance->tokens);
	hash = hash_combine(hash, hash_timers(instance));
	for (; write; write = write->next)
		hash += hash_write(instance, write);
	for (i = 0; i < writes->layouts.len; i++)
		for (j = 0; writes->generations[i] && j <= i; j++)
			if (writes->generations[i][j])
				hash += hash_partition(
					writes->generations[i][j]);
	return hash;
}

static uint64_t hash_requests(const world_t *world)
{
	uint64_t hash = 9;
	size_t i;

	for (i = 0; i < REQUESTS_MAX; i++) {
		const request_t *request = &world->requests[i];

		hash = hash_combine(hash, request->started);
		hash = hash_combine(hash, request->answered);
		hash = hash_combine(hash, request->outcome);
		hash = hash_combine(hash, request->executed);
	}
	return hash;
}

static uint64_t hash_world(const world_t *world)
{
	uint64_t hash = hash_requests(world);
	size_t i;

	hash = hash_combine(hash, world->store_faults);
	hash = hash_combine(hash, world->upstream_faults);
	hash = hash_combine(hash, world->crashes);
	hash = hash_combine(hash, world->pauses);
	for (i = 0; i < VALUES_MAX; i++) {
		const value_t *value = &world->values[i];

		hash = hash_combine(hash, value->index);
		hash = hash_combine(
			hash, hash_journal(medlar_buf_str(&value->bytes)));
	}
	for (i = 0; i < INSTANCES; i++)
		hash = hash_combine(hash, hash_instance(&world->instances[i]));
	for (i = 0; i < OPS_MAX; i++)
		if (world->ops[i].phase != FREE)
			hash += hash_op(world, &world->ops[i]);
	for (i = 0; i < ATTEMPTS_IN_FLIGHT_MAX; i++)
		if (world->attempts[i].phase != FREE)
			hash += hash_combine(
				hash_combine(10, world->attempts[i].phase),
				world->attempts[i].request);
	return hash ? hash : 1;
}

static int count_executions(const world_t *world, int key)
{
	int sum = 0;
	size_t i;

	for (i = 0; i < world->scenario->requests; i++)
		if (world->scenario->key[i] == key)
			sum += world->requests[i].executed;
	return sum;
}

/* Each key is executed at most once, and every answer is true. */
static bool invariants_hold(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->scenario->requests; i++) {
		const request_t *request = &world->requests[i];
		int runs = count_executions(world, world->scenario->key[i]);

		if (runs > 1)
			return false;
		if (!request->answered)
			continue;
		if (request->outcome == MEDLAR_WRITE_NOT_RUN &&
		    request->executed > 0)
			return false;
		if (request->outcome == MEDLAR_WRITE_RAN && runs != 1)
			return false;
	}
	return true;
}

/* In a final state every live instance has answered its requests. */
static bool all_answered(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->scenario->requests; i++) {
		int instance = world->scenario->instance[i];

		if (world->instances[instance].alive &&
		    !world->requests[i].answered)
			return false;
	}
	return true;
}

#endif
