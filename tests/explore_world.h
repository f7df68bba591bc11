/* Model of two instances, a store and an upstream for the explorer. */
#ifndef TESTS_EXPLORE_WORLD_H
#define TESTS_EXPLORE_WORLD_H

/* Faults that a test can inject into the protocol code. */
enum mutant {
	MUTANT_NONE,
	MUTANT_REPLY_ASSUMED,
	MUTANT_TOKEN_IGNORED,
	MUTANT_SEAL_SKIPPED,
	MUTANT_RESET_RETRIED,
};

static enum mutant mutant;

#define MEDLAR_MUTANT(name) (mutant == MUTANT_##name)
/* NOLINTBEGIN(bugprone-suspicious-include): compiled with fault injection. */
#include "libmedlar/claim.c"
#include "libmedlar/write.c"
/* NOLINTEND(bugprone-suspicious-include) */

#define INSTANCES 2
#define REQUESTS_MAX 3
#define VALUES_MAX 4
#define OPS_MAX 16
#define ATTEMPTS_IN_FLIGHT_MAX 12
#define EPOCH ((medlar_time_t)1000000000000)
#define REQUEST_TIMEOUT ((medlar_time_t)60)
#define NAME_MAX_LEN 48

typedef struct scenario {
	size_t requests;
	int key[REQUESTS_MAX];
	int instance[REQUESTS_MAX];
	int store_faults;
	int upstream_faults;
	int crashes;
	int pauses;
	uint32_t layouts[INSTANCES]; /* number of layouts an instance knows */
} scenario_t;

typedef struct value {
	char name[NAME_MAX_LEN];
	medlar_buf_t bytes;
	uint64_t index;
} value_t;

typedef enum op_phase {
	FREE,
	SENT,
	APPLIED,
	ORPHANED
} op_phase_t;

typedef struct op {
	op_phase_t phase;
	int instance;
	bool cas;
	value_t *value;
	medlar_buf_t bytes; /* value to write, or value read */
	uint64_t index;
	medlar_store_status_t status;
	medlar_store_fn_t done;
	void *done_data;
} op_t;

typedef struct attempt {
	op_phase_t phase;
	int request;
	medlar_write_t *write;
} attempt_t;

typedef struct request {
	bool started;
	bool answered;
	medlar_write_outcome_t outcome;
	int executed;
} request_t;

typedef struct world world_t;

typedef struct instance {
	world_t *world;
	int number;
	bool alive;
	medlar_time_t now;
	medlar_client_t client;
	medlar_writes_t writes;
	uint8_t tokens;
} instance_t;

struct world {
	const scenario_t *scenario;
	value_t values[VALUES_MAX];
	uint64_t index;
	op_t ops[OPS_MAX];
	attempt_t attempts[ATTEMPTS_IN_FLIGHT_MAX];
	request_t requests[REQUESTS_MAX];
	instance_t instances[INSTANCES];
	int store_faults;
	int upstream_faults;
	int crashes;
	int pauses;
};

/* Key-value service. */

static value_t *find_value(world_t *world, medlar_str_t name)
{
	size_t i;

	for (i = 0; i < VALUES_MAX; i++) {
		value_t *value = &world->values[i];

		if (!value->name[0]) {
			assert_true(name.len < NAME_MAX_LEN);
			memcpy(value->name, name.ptr, name.len);
		}
		if (medlar_str_equal(medlar_str_from(value->name), name))
			return value;
	}
	fail_msg("too many values");
	return NULL;
}

static op_t *new_op(instance_t *instance, medlar_str_t key,
		    medlar_store_fn_t done, void *done_data)
{
	op_t *op = instance->world->ops;

	while (op->phase != FREE)
		op++;
	assert_true(op < instance->world->ops + OPS_MAX);
	*op = (op_t){
		.phase = SENT,
		.instance = instance->number,
		.value = find_value(instance->world, key),
		.done = done,
		.done_data = done_data,
	};
	return op;
}

static int model_get(void *data, medlar_str_t key, medlar_store_fn_t done,
		     void *done_data)
{
	new_op(data, key, done, done_data);
	return MEDLAR_OK;
}

static int model_cas(void *data, medlar_str_t key, medlar_str_t value,
		     uint64_t index, medlar_store_fn_t done, void *done_data)
{
	op_t *op = new_op(data, key, done, done_data);

	op->cas = true;
	op->index = index;
	medlar_buf_add(&op->bytes, value);
	return MEDLAR_OK;
}

static void apply_op(world_t *world, op_t *op)
{
	value_t *value = op->value;
	medlar_buf_t *from = op->cas ? &op->bytes : &value->bytes;
	medlar_buf_t *to = op->cas ? &value->bytes : &op->bytes;

	op->status = MEDLAR_STORE_OK;
	if (op->cas && op->index != value->index) {
		op->status = MEDLAR_STORE_CONFLICT;
		return;
	}
	if (!op->cas && value->index == 0) {
		op->status = MEDLAR_STORE_MISSING;
		return;
	}
	medlar_buf_reset(to);
	medlar_buf_add(to, medlar_buf_str(from));
	if (op->cas)
		value->index = ++world->index;
	else
		op->index = value->index;
}

static void free_op(op_t *op)
{
	medlar_buf_finish(&op->bytes);
	op->phase = FREE;
}

static void end_op(op_t *op, medlar_store_status_t status, bool orphaned)
{
	medlar_buf_t bytes = op->bytes;
	medlar_store_reply_t reply = { .status = status, .index = op->index };
	medlar_store_fn_t done = op->done;
	void *done_data = op->done_data;

	if (status == MEDLAR_STORE_OK && !op->cas)
		reply.value = medlar_buf_str(&bytes);
	if (orphaned) {
		op->phase = ORPHANED;
	} else {
		medlar_buf_init(&op->bytes);
		free_op(op);
	}
	done(&reply, done_data);
	if (!orphaned)
		medlar_buf_finish(&bytes);
}

/* Instances and their callbacks. */

static void on_dispatch(medlar_write_t *write, void *data)
{
	instance_t *instance = data;
	attempt_t *attempt = instance->world->attempts;

	while (attempt->phase != FREE)
		attempt++;
	assert_true(attempt <
		    instance->world->attempts + ATTEMPTS_IN_FLIGHT_MAX);
	*attempt = (attempt_t){
		.phase = SENT,
		.request = (int)((request_t *)medlar_write_data(write) -
				 instance->world->requests),
		.write = write,
	};
}

static void on_answer(medlar_write_t *write,
		      const medlar_write_answer_t *answer, void *data)
{
	request_t *request = medlar_write_data(write);

	(void)data;
	assert_false(request->answered);
	request->answered = true;
	request->outcome = answer->outcome;
}

static void on_random(uint8_t *out, size_t len, void *data)
{
	instance_t *instance = data;

	memset(out, 0, len);
	out[0] = ++instance->tokens;
}

static medlar_time_t on_now(void *data)
{
	return ((instance_t *)data)->now;
}

static const medlar_writes_ops_t ops_table = {
	.dispatch = on_dispatch,
	.answer = on_answer,
	.random = on_random,
	.now = on_now,
};

static void init_instance(world_t *world, int number)
{
	instance_t *instance = &world->instances[number];
	uint32_t known = world->scenario->layouts[number];
	medlar_policy_t policy = {
		.name = "s",
		.window = MEDLAR_HOUR,
		.deadline = REQUEST_TIMEOUT,
		.partitions = known,
	};
	medlar_store_t store = { model_get, model_cas, instance };
	medlar_writes_params_t params = {
		.policy = &policy,
		.revision = known,
		.store = &store,
		.ops = &ops_table,
		.data = instance,
		.epoch = EPOCH,
	};
	uint32_t i;

	instance->world = world;
	instance->number = number;
	instance->alive = true;
	instance->now = 1;
	medlar_client_init(&instance->client,
			   medlar_str_from(number ? "b" : "a"), 0, 1);
	medlar_writes_init(&instance->client, &instance->writes, &params);
	instance->writes.layouts_known = true;
	instance->writes.layouts.len = known;
	for (i = 0; i < known; i++)
		instance->writes.layouts.items[i] = medlar_layout_make(
			i + 1, policy.window, i + 1);
}

static void init_world(world_t *world, const scenario_t *scenario)
{
	value_t *layout;
	int i;

	*world = (world_t){
		.scenario = scenario,
		.store_faults = scenario->store_faults,
		.upstream_faults = scenario->upstream_faults,
		.crashes = scenario->crashes,
		.pauses = scenario->pauses,
	};
	for (i = 0; i < INSTANCES; i++)
		init_instance(world, i);
	layout = find_value(world, MEDLAR_STR("medlar/writes/s/layout"));
	layout->index = ++world->index;
	medlar_layouts_write(&world->instances[1].writes.layouts,
			     &layout->bytes);
}

static void stop_instance(instance_t *instance)
{
	if (!instance->alive)
		return;
	instance->alive = false;
	medlar_writes_finish(&instance->writes);
	medlar_client_finish(&instance->client);
}

static void finish_world(world_t *world)
{
	size_t i;

	for (i = 0; i < OPS_MAX; i++)
		free_op(&world->ops[i]);
	for (i = 0; i < INSTANCES; i++)
		stop_instance(&world->instances[i]);
	for (i = 0; i < VALUES_MAX; i++)
		medlar_buf_finish(&world->values[i].bytes);
}

static void start_request(world_t *world, int number)
{
	instance_t *instance =
		&world->instances[world->scenario->instance[number]];
	uint8_t random[10] = { (uint8_t)world->scenario->key[number] };
	medlar_write_params_t params = {
		.deadline = instance->now + REQUEST_TIMEOUT,
		.data = &world->requests[number],
	};
	medlar_write_t *write;

	medlar_uuid_make(&params.key, EPOCH, random);
	world->requests[number].started = true;
	assert_int_equal(medlar_write_start(&instance->writes, &params, &write),
			 0);
}

static void crash_instance(world_t *world, int number)
{
	size_t i;

	stop_instance(&world->instances[number]);
	for (i = 0; i < OPS_MAX; i++) {
		op_t *op = &world->ops[i];

		if (op->phase == FREE || op->instance != number)
			continue;
		if (op->phase != APPLIED && op->cas)
			op->phase = ORPHANED;
		else
			free_op(op);
	}
	for (i = 0; i < ATTEMPTS_IN_FLIGHT_MAX; i++) {
		attempt_t *attempt = &world->attempts[i];

		if (world->scenario->instance[attempt->request] != number)
			continue;
		if (attempt->phase == SENT)
			attempt->phase = ORPHANED;
		else if (attempt->phase == APPLIED)
			attempt->phase = FREE;
	}
}

#endif
