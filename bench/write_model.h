/**
 * DOC: simulation of instances, callers, the store and an upstream for writes
 *
 * Runs the production code of writes on a virtual clock. The store has a
 * latency and rate limits for reads and for writes; calls that exceed a limit
 * by more than a burst are queued. Shared by the benchmarks and the tests of
 * writes.
 */
#ifndef BENCH_WRITE_MODEL_H
#define BENCH_WRITE_MODEL_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libmedlar/medlar.h"

#define MODEL_INSTANCES_MAX 16
#define MODEL_HASH_SLOTS 16384 /* slots of the hash table of values */
#define MODEL_NAME_MAX 64
#define MODEL_EPOCH ((medlar_time_t)1700000000000)
#define MODEL_US_PER_MS ((int64_t)1000) /* microseconds per millisecond */
#define MODEL_BURST (100 * MODEL_US_PER_MS) /* us of calls admitted at once */

typedef struct model model_t;

/** struct model_value - key and value in the simulated store */
typedef struct model_value {
	char name[MODEL_NAME_MAX];
	medlar_buf_t bytes;
	uint64_t index;
} model_value_t;

/** struct model_call - a store call in flight */
typedef struct model_call {
	struct model_call *next;
	struct model_call **link;
	model_value_t *value;
	bool cas;
	uint64_t index;
	medlar_buf_t bytes;
	medlar_store_status_t status;
	bool lost;
	medlar_store_fn_t done;
	void *done_data;
} model_call_t;

/** struct model_request - a request of a caller and its outcome */
typedef struct model_request {
	medlar_uuid_t key;
	int instance;
	int64_t sent_at; /* when the caller sent it, us */
	int64_t dispatched_at; /* when it was first dispatched, us */
	int64_t answered_at; /* when the caller was answered, us */
	medlar_write_answer_t answer;
	uint32_t dispatches;
	uint32_t executions;
	medlar_token_t token;
} model_request_t;

typedef void (*model_fn_t)(model_t *model, void *data);

/** struct model_event - an event of the simulation; @order breaks ties */
typedef struct model_event {
	int64_t at;
	uint64_t order;
	model_fn_t fn;
	void *data;
} model_event_t;

/** struct model_instance - an instance and its writes */
typedef struct model_instance {
	model_t *model;
	medlar_client_t client;
	medlar_writes_t writes;
} model_instance_t;

/**
 * struct model - state of the simulation
 * @now: virtual time, us
 * @events: binary heap of pending events
 * @len: number of pending events
 * @cap: allocated events
 * @order: number of events scheduled so far
 * @rand: random generator of the faults
 * @values: hash table of the store's values
 * @calls_in_flight: store calls in flight
 * @index: modification index of the last write
 * @round_trip: round-trip time of a store call, us
 * @writes_limit: compare-and-swaps per second
 * @reads_limit: reads per second
 * @next_write: when the limit allows the next compare-and-swap, us
 * @next_read: when the limit allows the next read, us
 * @down: the store refuses connections
 * @reply_loss: share of store replies that are lost, 0 to 1
 * @refused: share of dispatches that the upstream does not execute, 0 to 1
 * @reset: share of dispatches whose connection is reset before or after the
 *	execution, 0 to 1
 * @upstream_time: time that the upstream takes, us
 * @bytes_written: bytes written to the store
 * @calls: number of store calls
 * @second: virtual time of the last store call, seconds
 * @calls_this_second: store calls within this second so far
 * @calls_per_second_peak: largest number of store calls within a second
 * @instances: the instances
 * @instances_len: number of instances
 * @found: entry found by the last lookup
 * @found_error: result of the last lookup
 */
struct model {
	int64_t now;
	model_event_t *events;
	size_t len;
	size_t cap;
	uint64_t order;
	medlar_rand_t rand;
	model_value_t *values;
	model_call_t *calls_in_flight;
	uint64_t index;
	int64_t round_trip;
	double writes_limit;
	double reads_limit;
	int64_t next_write;
	int64_t next_read;
	bool down;
	double reply_loss;
	double refused;
	double reset;
	int64_t upstream_time;
	uint64_t bytes_written;
	uint64_t calls;
	int64_t second;
	uint64_t calls_this_second;
	uint64_t calls_per_second_peak;
	model_instance_t instances[MODEL_INSTANCES_MAX];
	int instances_len;
	medlar_journal_entry_t found;
	int found_error;
};

static inline bool model_event_is_before(const model_event_t *a,
					 const model_event_t *b)
{
	return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static inline void model_swap_events(model_event_t *a, model_event_t *b)
{
	model_event_t event = *a;

	*a = *b;
	*b = event;
}

static inline void model_schedule(model_t *model, int64_t at, model_fn_t fn,
				  void *data)
{
	size_t i = model->len++;

	if (model->len > model->cap) {
		model->cap = model->cap ? 2 * model->cap : 256;
		model->events = realloc(model->events,
					model->cap * sizeof(*model->events));
		if (!model->events)
			abort();
	}
	model->events[i] = (model_event_t){ at, model->order++, fn, data };
	for (; i > 0; i = (i - 1) / 2) {
		model_event_t *parent = &model->events[(i - 1) / 2];

		if (model_event_is_before(parent, &model->events[i]))
			break;
		model_swap_events(parent, &model->events[i]);
	}
}

static inline model_event_t model_pop_event(model_t *model)
{
	model_event_t first = model->events[0];
	size_t i = 0;

	model->events[0] = model->events[--model->len];
	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= model->len)
			return first;
		if (child + 1 < model->len &&
		    model_event_is_before(&model->events[child + 1],
					  &model->events[child]))
			child++;
		if (model_event_is_before(&model->events[i],
					  &model->events[child]))
			return first;
		model_swap_events(&model->events[i], &model->events[child]);
		i = child;
	}
}

static inline model_value_t *model_value(model_t *model, medlar_str_t name)
{
	size_t at = medlar_str_hash(name, 9) % MODEL_HASH_SLOTS;

	while (model->values[at].name[0] &&
	       !medlar_str_equal(medlar_str_from(model->values[at].name), name))
		at = (at + 1) % MODEL_HASH_SLOTS;
	if (!model->values[at].name[0])
		snprintf(model->values[at].name, MODEL_NAME_MAX, "%.*s",
			 (int)name.len, name.ptr);
	return &model->values[at];
}

static inline void model_apply_call(model_t *model, void *data)
{
	model_call_t *call = data;
	model_value_t *value = call->value;

	call->status = MEDLAR_STORE_OK;
	if (call->cas && call->index != value->index) {
		call->status = MEDLAR_STORE_CONFLICT;
	} else if (call->cas) {
		medlar_buf_reset(&value->bytes);
		medlar_buf_add(&value->bytes, medlar_buf_str(&call->bytes));
		value->index = ++model->index;
		model->bytes_written += call->bytes.len;
	} else if (value->index == 0) {
		call->status = MEDLAR_STORE_MISSING;
	} else {
		medlar_buf_add(&call->bytes, medlar_buf_str(&value->bytes));
		call->index = value->index;
	}
}

static inline void model_free_call(model_call_t *call)
{
	*call->link = call->next;
	if (call->next)
		call->next->link = call->link;
	medlar_buf_finish(&call->bytes);
	free(call);
}

static inline void model_end_call(model_t *model, void *data)
{
	model_call_t *call = data;
	medlar_store_reply_t reply = {
		.status = call->lost ? MEDLAR_STORE_UNKNOWN : call->status,
		.value = medlar_buf_str(&call->bytes),
		.index = call->index,
	};

	(void)model;
	call->done(&reply, call->done_data);
	model_free_call(call);
}

static inline void model_count_call(model_t *model)
{
	int64_t second = model->now / (MODEL_US_PER_MS * MEDLAR_SECOND);

	model->calls++;
	if (second != model->second)
		model->calls_this_second = 0;
	model->second = second;
	if (++model->calls_this_second > model->calls_per_second_peak)
		model->calls_per_second_peak = model->calls_this_second;
}

static inline void model_queue_call(model_t *model, model_call_t *call)
{
	double limit = call->cas ? model->writes_limit : model->reads_limit;
	int64_t *next = call->cas ? &model->next_write : &model->next_read;
	int64_t start = model->now;

	model_count_call(model);
	if (model->down) {
		call->status = MEDLAR_STORE_DOWN;
		model_schedule(model, model->now + MODEL_US_PER_MS,
			       model_end_call, call);
		return;
	}
	if (*next < start)
		*next = start;
	if (*next - MODEL_BURST > start)
		start = *next - MODEL_BURST;
	*next += (int64_t)(MODEL_US_PER_MS * MEDLAR_SECOND / limit);
	call->lost = medlar_rand_unit(&model->rand) < model->reply_loss;
	/* A call whose reply is lost takes effect, or it doesn't. */
	if (!call->lost || medlar_rand_below(&model->rand, 2))
		model_schedule(model, start + model->round_trip / 2,
			       model_apply_call, call);
	model_schedule(model, start + model->round_trip, model_end_call, call);
}

static inline model_call_t *model_new_call(model_instance_t *instance,
					   medlar_str_t key,
					   medlar_store_fn_t done,
					   void *done_data)
{
	model_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->link = &instance->model->calls_in_flight;
	call->next = instance->model->calls_in_flight;
	if (call->next)
		call->next->link = &call->next;
	instance->model->calls_in_flight = call;
	call->value = model_value(instance->model, key);
	call->done = done;
	call->done_data = done_data;
	return call;
}

static inline int model_get(void *data, medlar_str_t key,
			    medlar_store_fn_t done, void *done_data)
{
	model_instance_t *instance = data;

	model_queue_call(instance->model,
			 model_new_call(instance, key, done, done_data));
	return MEDLAR_OK;
}

static inline int model_cas(void *data, medlar_str_t key, medlar_str_t value,
			    uint64_t index, medlar_store_fn_t done,
			    void *done_data)
{
	model_instance_t *instance = data;
	model_call_t *call = model_new_call(instance, key, done, done_data);

	call->cas = true;
	call->index = index;
	medlar_buf_add(&call->bytes, value);
	model_queue_call(instance->model, call);
	return MEDLAR_OK;
}

static inline model_request_t *model_request_of(const medlar_write_t *write)
{
	return medlar_write_data(write);
}

static inline void model_execute_dispatch(model_t *model, void *data)
{
	medlar_write_t *write = data;

	(void)model;
	model_request_of(write)->executions++;
	medlar_write_reply(write, MEDLAR_EXECUTED_YES,
			   MEDLAR_STR("{\"receipt\":1}"));
}

static inline void model_refuse_dispatch(model_t *model, void *data)
{
	(void)model;
	medlar_write_reply(data, MEDLAR_EXECUTED_NO, MEDLAR_STR(""));
}

static inline void model_reset_dispatch(model_t *model, void *data)
{
	medlar_write_t *write = data;

	if (medlar_rand_below(&model->rand, 2))
		model_request_of(write)->executions++;
	medlar_write_fail(write, MEDLAR_FAULT_RESET);
}

static inline void model_dispatch(medlar_write_t *write, void *data)
{
	model_t *model = ((model_instance_t *)data)->model;
	model_request_t *request = model_request_of(write);
	double chance = medlar_rand_unit(&model->rand);
	model_fn_t end = model_execute_dispatch;

	if (request->dispatches++ == 0)
		request->dispatched_at = model->now;
	request->token = *medlar_write_token(write);
	if (chance < model->refused)
		end = model_refuse_dispatch;
	else if (chance < model->refused + model->reset)
		end = model_reset_dispatch;
	model_schedule(model, model->now + model->upstream_time, end, write);
}

static inline void model_answer(medlar_write_t *write,
				const medlar_write_answer_t *answer, void *data)
{
	model_t *model = ((model_instance_t *)data)->model;
	model_request_t *request = model_request_of(write);

	request->answered_at = model->now;
	request->answer = *answer;
}

static inline void model_on_lookup(medlar_write_t *write, int error,
				   const medlar_journal_entry_t *entry,
				   medlar_str_t result, void *data)
{
	model_t *model = ((model_instance_t *)data)->model;

	(void)write;
	(void)result;
	model->found_error = error;
	if (entry)
		model->found = *entry;
}

static inline void model_random(uint8_t *out, size_t len, void *data)
{
	model_t *model = ((model_instance_t *)data)->model;

	while (len-- > 0)
		out[len] = (uint8_t)medlar_rand_next(&model->rand);
}

static inline medlar_time_t model_now_ms(void *data)
{
	return ((model_instance_t *)data)->model->now / MODEL_US_PER_MS;
}

static inline void model_init(model_t *model, uint64_t seed)
{
	*model = (model_t){
		.now = MODEL_US_PER_MS,
		.rand = { seed },
		.round_trip = 4 * MODEL_US_PER_MS,
		.writes_limit = 300,
		.reads_limit = 2000,
		.upstream_time = 5 * MODEL_US_PER_MS,
	};
	model->values = calloc(MODEL_HASH_SLOTS, sizeof(*model->values));
	if (!model->values)
		abort();
}

static inline void model_add_instance(model_t *model,
				      const medlar_policy_t *policy,
				      double commits)
{
	static const medlar_writes_ops_t ops = {
		model_dispatch, model_answer, model_on_lookup,
		model_random,	model_now_ms,
	};
	model_instance_t *instance = &model->instances[model->instances_len++];
	medlar_store_t store = { model_get, model_cas, instance };
	medlar_writes_params_t params = {
		.policy = policy,
		.revision = 1,
		.store = &store,
		.ops = &ops,
		.data = instance,
		.epoch = MODEL_EPOCH,
		.commit_rate = commits,
	};
	char name[16];

	snprintf(name, sizeof(name), "i%d", model->instances_len);
	instance->model = model;
	medlar_client_init(&instance->client, medlar_str_from(name), 0,
			   (uint64_t)model->instances_len);
	medlar_writes_init(&instance->client, &instance->writes, &params);
}

static inline int64_t model_next(const model_t *model)
{
	int64_t next = model->len > 0 ? model->events[0].at : INT64_MAX;
	int i;

	for (i = 0; i < model->instances_len; i++) {
		medlar_time_t due = medlar_client_due(
			&model->instances[i].client);

		if (due != MEDLAR_TIME_NEVER && due * MODEL_US_PER_MS < next)
			next = due * MODEL_US_PER_MS;
	}
	return next;
}

/* Runs all events up to the virtual time @until, us. */
static inline void model_run(model_t *model, int64_t until)
{
	int64_t next;
	int i;

	while ((next = model_next(model)) <= until) {
		if (next > model->now)
			model->now = next;
		for (i = 0; i < model->instances_len; i++)
			medlar_client_run(&model->instances[i].client,
					  model->now / MODEL_US_PER_MS);
		while (model->len > 0 && model->events[0].at <= model->now) {
			model_event_t event = model_pop_event(model);

			event.fn(model, event.data);
		}
	}
	model->now = until;
}

/* Creates a new key whose time is @age ms ago. */
static inline medlar_uuid_t model_make_key(model_t *model, medlar_time_t age)
{
	uint64_t random[2] = { medlar_rand_next(&model->rand),
			       medlar_rand_next(&model->rand) };
	medlar_uuid_t key;

	medlar_uuid_make(&key, MODEL_EPOCH + model->now / MODEL_US_PER_MS - age,
			 (const uint8_t *)random);
	return key;
}

/* Sends @request, whose key and instance are set; @timeout is in ms. */
static inline int model_start_write(model_t *model, model_request_t *request,
				    medlar_time_t timeout)
{
	medlar_write_params_t params = {
		.key = request->key,
		.deadline = model->now / MODEL_US_PER_MS + timeout,
		.data = request,
	};
	medlar_write_t *write;
	int error;

	request->sent_at = model->now;
	error = medlar_write_start(&model->instances[request->instance].writes,
				   &params, &write);
	if (error) {
		request->answered_at = model->now;
		request->answer.outcome = medlar_write_refusal_outcome(error);
		request->answer.error = error;
	}
	return error;
}

static inline void model_finish(model_t *model)
{
	model_call_t *call = model->calls_in_flight;
	size_t i;
	int j;

	for (j = 0; j < model->instances_len; j++) {
		medlar_writes_finish(&model->instances[j].writes);
		medlar_client_finish(&model->instances[j].client);
	}
	while (call) {
		model_call_t *next = call->next;

		medlar_buf_finish(&call->bytes);
		free(call);
		call = next;
	}
	for (i = 0; i < MODEL_HASH_SLOTS; i++)
		medlar_buf_finish(&model->values[i].bytes);
	free(model->values);
	free(model->events);
}

#endif /* BENCH_WRITE_MODEL_H */
