/* State hashes and properties of the explorer of the write protocol. */
#ifndef TESTS_EXPLORE_STATE_H
#define TESTS_EXPLORE_STATE_H

static uint64_t mix(uint64_t hash, uint64_t number)
{
	medlar_rand_t rand = { hash ^ (number * 0x9e3779b97f4a7c15u) };

	return medlar_rand_next(&rand);
}

/* Journals are told apart by their claims, not by times and sequence. */
static uint64_t hash_value_bytes(medlar_str_t bytes)
{
	uint64_t hash = 1;
	medlar_journal_t journal;
	size_t i;

	medlar_journal_init(&journal);
	if (medlar_journal_decode(&journal, bytes))
		return medlar_str_hash(bytes, 0);
	hash = mix(hash, journal.sealed);
	for (i = 0; i < journal.len; i++) {
		const medlar_entry_t *entry = &journal.entries[i];

		hash = mix(hash, entry->key.bytes[7]);
		hash = mix(hash, entry->key.bytes[6]);
		hash = mix(hash, entry->token.bytes[0]);
		hash = mix(hash, entry->instance);
		hash = mix(hash, entry->state);
	}
	medlar_journal_finish(&journal);
	return hash;
}

static uint64_t hash_op(const world_t *world, const op_t *op)
{
	uint64_t hash = mix(2, op->phase);

	hash = mix(hash, op->instance);
	hash = mix(hash, op->cas);
	hash = mix(hash, (uint64_t)(op->value - world->values));
	hash = mix(hash, op->index);
	hash = mix(hash, op->phase == APPLIED ? op->status : 0);
	return mix(hash, hash_value_bytes(medlar_buf_str(&op->bytes)));
}

static uint64_t hash_write(const instance_t *instance,
			   const medlar_write_t *write)
{
	const medlar_claim_t *claim = &write->claim;
	const request_t *request = write->data;
	uint64_t hash = mix(3, (uint64_t)(request - instance->world->requests));

	hash = mix(hash, instance->number);
	hash = mix(hash, claim->want);
	hash = mix(hash, claim->state);
	hash = mix(hash, claim->batch);
	hash = mix(hash, claim->maybe ? claim->maybe_index + 1 : 0);
	hash = mix(hash, claim->generation);
	hash = mix(hash, claim->token.bytes[0]);
	hash = mix(hash, claim->list == &instance->writes.waiting);
	hash = mix(hash, claim->list != NULL);
	hash = mix(hash, write->attempts);
	hash = mix(hash, write->in_flight);
	hash = mix(hash, write->answered);
	hash = mix(hash, write->claimed);
	hash = mix(hash, write->closed);
	hash = mix(hash, write->polling);
	hash = mix(hash, write->taken);
	hash = mix(hash, write->polls);
	hash = mix(hash, has_time(write));
	return hash;
}

static uint64_t hash_partition(const medlar_partition_t *partition)
{
	const medlar_claim_t *claim = partition->claims.head;
	uint64_t hash = mix(4, partition->generation);

	hash = mix(hash, partition->index);
	hash = mix(hash, partition->busy);
	hash = mix(hash, partition->failures > 0);
	hash = mix(hash, partition->sealed);
	hash = mix(hash, partition->retired);
	hash = mix(hash, partition->busy ? partition->read_index : 0);
	for (; claim; claim = claim->next)
		hash = mix(hash, claim->token.bytes[0]);
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
		return mix(5, late);
	if (timer->fn == on_timer)
		return mix(mix(6, late), write->claim.token.bytes[0]);
	return mix(mix(7, late), partition->generation * 8 + partition->index);
}

/* Order in which the timers will fire, without their times. */
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
		sum += mix(hash_timer(instance, timers->heap[i]), rank);
	}
	return sum;
}

static uint64_t hash_instance(const instance_t *instance)
{
	const medlar_writes_t *writes = &instance->writes;
	const medlar_write_t *write = writes->writes_head;
	uint64_t hash = mix(8, instance->alive);
	uint32_t i;
	uint32_t j;

	if (!instance->alive)
		return hash;
	hash = mix(hash, writes->layouts.len);
	hash = mix(hash, writes->layouts_known);
	hash = mix(hash, writes->layouts_busy);
	hash = mix(hash, instance->tokens);
	hash = mix(hash, hash_timers(instance));
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

		hash = mix(hash, request->started);
		hash = mix(hash, request->told);
		hash = mix(hash, request->outcome);
		hash = mix(hash, request->executed);
	}
	return hash;
}

static uint64_t hash_world(const world_t *world)
{
	uint64_t hash = hash_requests(world);
	size_t i;

	hash = mix(hash, world->store_faults);
	hash = mix(hash, world->upstream_faults);
	hash = mix(hash, world->crashes);
	hash = mix(hash, world->pauses);
	for (i = 0; i < VALUES_MAX; i++) {
		const value_t *value = &world->values[i];

		hash = mix(hash, value->index);
		hash = mix(hash,
			   hash_value_bytes(medlar_buf_str(&value->bytes)));
	}
	for (i = 0; i < INSTANCES; i++)
		hash = mix(hash, hash_instance(&world->instances[i]));
	for (i = 0; i < OPS_MAX; i++)
		if (world->ops[i].phase != FREE)
			hash += hash_op(world, &world->ops[i]);
	for (i = 0; i < ATTEMPTS_LIMIT; i++)
		if (world->attempts[i].phase != FREE)
			hash += mix(mix(10, world->attempts[i].phase),
				    world->attempts[i].request);
	return hash ? hash : 1;
}

static int executions(const world_t *world, int key)
{
	int sum = 0;
	size_t i;

	for (i = 0; i < world->scenario->requests; i++)
		if (world->scenario->key[i] == key)
			sum += world->requests[i].executed;
	return sum;
}

/* At most one execution of a key, and nothing untrue was told. */
static bool holds(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->scenario->requests; i++) {
		const request_t *request = &world->requests[i];
		int runs = executions(world, world->scenario->key[i]);

		if (runs > 1)
			return false;
		if (!request->told)
			continue;
		if (request->outcome == MEDLAR_WRITE_NOT_RUN &&
		    request->executed > 0)
			return false;
		if (request->outcome == MEDLAR_WRITE_RAN && runs != 1)
			return false;
	}
	return true;
}

/* Nothing is left to happen: every live instance has answered. */
static bool all_told(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->scenario->requests; i++) {
		int instance = world->scenario->instance[i];

		if (world->instances[instance].alive &&
		    !world->requests[i].told)
			return false;
	}
	return true;
}

#endif
