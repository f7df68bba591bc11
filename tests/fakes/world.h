/**
 * DOC: discrete-event simulation of replicas around the real library
 *
 * Simulates one service and its replicas on a virtual clock. Each replica has
 * slots and a queue; its behaviour can be set per replica or decided by
 * a callback for each request. Used by tests and by benchmarks of the policy;
 * written in the common subset of C and C++.
 */
#ifndef TESTS_FAKES_WORLD_H
#define TESTS_FAKES_WORLD_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libmedlar/medlar.h"

#define WORLD_MS INT64_C(1000) /* microseconds in a millisecond */
#define WORLD_REPLICAS_MAX 2048
#define WORLD_QUEUE_MAX 64

typedef struct world world_t;
typedef struct world_replica world_replica_t;
typedef struct world_call world_call_t;

/** enum world_behaviour - simulated behaviour of a replica on a request */
typedef enum world_behaviour {
	WORLD_ANSWER,
	WORLD_SHED,
	WORLD_WRONG_VERSION,
	WORLD_MOVED,
	WORLD_ERROR,
	WORLD_REFUSE,
	WORLD_RESET,
	WORLD_SILENCE,
	WORLD_CRASH, /* resets all requests in flight at the replica */
	WORLD_BAD_ID,
	WORLD_BAD_VERSION,
	WORLD_BAD_RANGE,
	WORLD_BEHAVIOURS,
	WORLD_CANCELLED = WORLD_BEHAVIOURS
} world_behaviour_t;

/**
 * struct world_call - a simulated request to a replica
 * @attempt: attempt of the library, or NULL for a request of another client
 * @owner: user data of the other client
 * @at: replica
 * @took_us: service time, us
 * @behaviour: behaviour of the replica on this request
 * @version: requested index version
 * @fingerprint: fingerprint of the query
 * @range: requested keys
 * @serving: it occupies a slot of the replica
 * @timed: an event that ends it is scheduled
 * @cancelling: an event that cancels it is scheduled
 * @dead: its outcome was reported
 * @next: next call in flight at the replica
 * @body: payload of the reply: version, first key, end of keys
 */
struct world_call {
	medlar_attempt_t *attempt;
	void *owner;
	world_replica_t *at;
	int64_t took_us;
	world_behaviour_t behaviour;
	uint32_t version;
	uint64_t fingerprint;
	medlar_range_t range;
	bool serving;
	bool timed;
	bool cancelling;
	bool dead;
	world_call_t *next;
	char body[64];
};

/**
 * struct world_replica - a simulated replica
 * @handle: the library's object for it
 * @info: its entry of the instance list
 * @shard: shard whose keys it holds
 * @slow: factor on its service time
 * @dead: refuses connections
 * @busy: slots in use
 * @queue: calls that wait for a slot
 * @queued: number of calls in @queue
 * @calls: calls in flight, including queued ones
 * @executed: number of requests executed
 * @crashes: number of crashes
 */
struct world_replica {
	medlar_replica_t *handle;
	medlar_replica_info_t info;
	uint32_t shard;
	double slow;
	bool dead;
	unsigned busy;
	world_call_t *queue[WORLD_QUEUE_MAX];
	unsigned queued;
	world_call_t *calls;
	uint64_t executed;
	unsigned crashes;
};

typedef void (*world_fn_t)(world_t *world, void *data);
typedef void (*world_decide_t)(world_t *world, world_call_t *call);
typedef void (*world_answer_t)(world_t *world, medlar_query_t *query);

/** struct world_event - event scheduled at @due, us; ties in @order */
typedef struct world_event {
	int64_t due;
	uint64_t order;
	world_fn_t fn;
	void *data;
} world_event_t;

/**
 * struct world - simulation of one service and its replicas
 * @client: client of the library
 * @service: service under test
 * @suspects: table of suspects of the service
 * @rand: random generator of the simulation, separate from the library's
 * @now_us: virtual time, us
 * @heap: binary heap of scheduled events
 * @heap_len: number of events in @heap
 * @heap_cap: allocated elements of @heap
 * @order: number of events scheduled so far
 * @replicas: simulated replicas
 * @len: number of @replicas
 * @mean_us: mean service time, us
 * @decide: sets the service time and behaviour of a call; NULL for the
 *	standard model
 * @ended: called at the end of a call without attempt
 * @answered: called for each answer before the query is finished; may be NULL
 * @data: user data
 * @answers: number of answers by outcome
 * @live: calls sent and not reported
 * @cancels: number of cancel actions
 * @moved_to: shard named in %WORLD_MOVED replies
 */
struct world {
	medlar_client_t client;
	medlar_service_t service;
	medlar_suspects_t suspects;
	medlar_rand_t rand;
	int64_t now_us;
	world_event_t *heap;
	size_t heap_len;
	size_t heap_cap;
	uint64_t order;
	world_replica_t *replicas;
	size_t len;
	double mean_us;
	world_decide_t decide;
	world_decide_t ended;
	world_answer_t answered;
	void *data;
	uint64_t answers[MEDLAR_OUTCOME_CANCELLED + 1];
	size_t live;
	uint64_t cancels;
	uint32_t moved_to;
};

static inline medlar_time_t world_now(const world_t *world)
{
	return world->now_us / WORLD_MS;
}

static inline bool world_before(const world_event_t *a, const world_event_t *b)
{
	if (a->due != b->due)
		return a->due < b->due;
	return a->order < b->order;
}

static inline void world_at(world_t *world, int64_t due, world_fn_t fn,
			    void *data)
{
	size_t at = world->heap_len++;
	world_event_t event;

	if (world->heap_len > world->heap_cap) {
		world->heap_cap = 2 * world->heap_len + 64;
		world->heap = (world_event_t *)realloc(
			world->heap, world->heap_cap * sizeof(*world->heap));
		if (!world->heap)
			abort();
	}
	event.due = due;
	event.order = world->order++;
	event.fn = fn;
	event.data = data;
	while (at > 0 && world_before(&event, &world->heap[(at - 1) / 2])) {
		world->heap[at] = world->heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	world->heap[at] = event;
}

static inline world_event_t world_pop(world_t *world)
{
	world_event_t top = world->heap[0];
	world_event_t last = world->heap[--world->heap_len];
	size_t at = 0;

	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= world->heap_len)
			break;
		if (child + 1 < world->heap_len &&
		    world_before(&world->heap[child + 1], &world->heap[child]))
			child++;
		if (!world_before(&world->heap[child], &last))
			break;
		world->heap[at] = world->heap[child];
		at = child;
	}
	if (world->heap_len > 0)
		world->heap[at] = last;
	return top;
}

static inline void world_unlink(world_call_t *call)
{
	world_call_t **at = &call->at->calls;

	while (*at != call)
		at = &(*at)->next;
	*at = call->next;
}

static inline void world_fill_reply(world_call_t *call, uint32_t moved_to,
				    medlar_reply_t *reply)
{
	static const medlar_reply_status_t statuses[] = {
		MEDLAR_REPLY_OK,
		MEDLAR_REPLY_NOT_EXECUTED,
		MEDLAR_REPLY_WRONG_VERSION,
		MEDLAR_REPLY_MOVED,
		MEDLAR_REPLY_ERROR,
	};

	memset(reply, 0, sizeof(*reply));
	memcpy(reply->id, medlar_attempt_id(call->attempt), sizeof(reply->id));
	reply->version = call->version;
	reply->range = call->range;
	reply->status = MEDLAR_REPLY_OK;
	if (call->behaviour <= WORLD_ERROR)
		reply->status = statuses[call->behaviour];
	if (call->behaviour == WORLD_CANCELLED)
		reply->status = MEDLAR_REPLY_CANCELLED;
	reply->moved_to = moved_to;
	reply->load.utilization = -1;
	reply->load.queue = -1;
	memcpy(reply->versions, call->at->info.versions,
	       sizeof(reply->versions));
	snprintf(call->body, sizeof(call->body), "%u %llu %llu", call->version,
		 (unsigned long long)call->range.lo,
		 (unsigned long long)call->range.hi);
	reply->body = medlar_str_from(call->body);
	if (call->behaviour != WORLD_ANSWER)
		reply->body = MEDLAR_STR("not the payload asked for");
	if (call->behaviour == WORLD_BAD_ID)
		reply->id[0] ^= 1;
	if (call->behaviour == WORLD_BAD_VERSION)
		reply->version++;
	if (call->behaviour == WORLD_BAD_RANGE)
		reply->range.hi--;
}

static inline void world_report(world_t *world, world_call_t *call,
				world_behaviour_t behaviour)
{
	medlar_time_t now = world_now(world);
	medlar_reply_t reply;

	call->behaviour = behaviour;
	world->live--;
	if (!call->attempt) {
		world->ended(world, call);
	} else if (behaviour == WORLD_REFUSE) {
		medlar_attempt_fail(&world->client, call->attempt,
				    MEDLAR_FAULT_REFUSED, now);
	} else if (behaviour == WORLD_RESET || behaviour == WORLD_CRASH) {
		medlar_attempt_fail(&world->client, call->attempt,
				    MEDLAR_FAULT_RESET, now);
	} else if (behaviour == WORLD_SILENCE) {
		medlar_attempt_fail(&world->client, call->attempt,
				    MEDLAR_FAULT_SILENT, now);
	} else {
		world_fill_reply(call, world->moved_to, &reply);
		medlar_attempt_reply(&world->client, call->attempt, &reply,
				     now);
	}
}

static inline void world_finish_call(world_t *world, void *data);

static inline void world_end_later(world_t *world, world_call_t *call)
{
	call->timed = true;
	world_at(world, world->now_us + call->took_us, world_finish_call, call);
}

static inline void world_serve(world_t *world, world_call_t *call)
{
	call->serving = true;
	call->at->busy++;
	world_end_later(world, call);
}

/* Frees a call whose outcome was reported, unless an event refers to it. */
static inline void world_release(world_call_t *call)
{
	if (!call->timed && !call->cancelling)
		free(call);
}

/* Resets all calls in flight; the replica accepts new ones at once. */
static inline void world_crash(world_t *world, world_replica_t *replica)
{
	world_call_t *calls = replica->calls;

	replica->crashes++;
	replica->queued = 0;
	replica->busy = 0;
	replica->calls = NULL;
	while (calls) {
		world_call_t *call = calls;

		calls = call->next;
		call->dead = true;
		world_report(world, call, WORLD_RESET);
		world_release(call);
	}
}

static inline void world_unqueue(world_replica_t *replica, unsigned at)
{
	replica->queued--;
	memmove(replica->queue + at, replica->queue + at + 1,
		(replica->queued - at) * sizeof(world_call_t *));
}

/* Removes a call; the next queued one gets its slot. */
static inline void world_leave(world_t *world, world_call_t *call)
{
	world_replica_t *replica = call->at;
	unsigned i;

	world_unlink(call);
	for (i = 0; i < replica->queued; i++)
		if (replica->queue[i] == call)
			world_unqueue(replica, i--);
	if (!call->serving)
		return;
	replica->busy--;
	if (replica->queued > 0) {
		world_call_t *next = replica->queue[0];

		world_unqueue(replica, 0);
		world_serve(world, next);
	}
}

static inline void world_finish_call(world_t *world, void *data)
{
	world_call_t *call = (world_call_t *)data;
	world_replica_t *replica = call->at;

	call->timed = false;
	if (call->dead) {
		world_release(call);
		return;
	}
	if (call->behaviour == WORLD_CRASH) {
		world_crash(world, replica);
		return;
	}
	call->dead = true;
	replica->executed += call->serving && call->behaviour == WORLD_ANSWER;
	world_leave(world, call);
	world_report(world, call, call->behaviour);
	world_release(call);
}

static inline double world_exponential(world_t *world)
{
	double unit = medlar_rand_unit(&world->rand);
	double sum = 0;
	double term = unit;
	int i;

	/* -log(1 - unit) as a series, truncated at about 7 times the mean. */
	for (i = 1; i < 1000; i++) {
		sum += term / i;
		term *= unit;
	}
	return sum;
}

/** world_standard() - service time with a minimum and an exponential tail */
static inline void world_standard(world_t *world, world_call_t *call)
{
	double scale = 0.5 + 0.5 * world_exponential(world);

	call->took_us = (int64_t)(world->mean_us * scale * call->at->slow) + 1;
	call->behaviour = WORLD_ANSWER;
}

static inline world_replica_t *world_replica_of(medlar_attempt_t *attempt)
{
	return (world_replica_t *)medlar_replica_data(
		medlar_attempt_replica(attempt));
}

static inline bool world_serves(const world_replica_t *replica,
				uint32_t version)
{
	unsigned i;

	for (i = 0; i < MEDLAR_VERSIONS_MAX; i++)
		if (replica->info.versions[i] == version)
			return true;
	return false;
}

/** world_submit() - deliver a call to its replica */
static inline void world_submit(world_t *world, world_call_t *call)
{
	world_replica_t *replica = call->at;

	call->next = replica->calls;
	replica->calls = call;
	world->live++;
	if (world->decide)
		world->decide(world, call);
	else
		world_standard(world, call);
	if (replica->dead)
		call->behaviour = WORLD_REFUSE;
	else if (call->behaviour == WORLD_ANSWER &&
		 !world_serves(replica, call->version))
		call->behaviour = WORLD_WRONG_VERSION;
	if (call->behaviour != WORLD_ANSWER && call->behaviour != WORLD_CRASH) {
		if (call->behaviour != WORLD_SILENCE)
			call->took_us = WORLD_MS;
		world_end_later(world, call);
	} else if (replica->busy < replica->info.slots) {
		world_serve(world, call);
	} else if (replica->queued < WORLD_QUEUE_MAX) {
		replica->queue[replica->queued++] = call;
	} else {
		call->behaviour = WORLD_SHED;
		call->took_us = WORLD_MS;
		world_end_later(world, call);
	}
}

static inline void world_send(medlar_attempt_t *attempt, void *data)
{
	world_call_t *call = (world_call_t *)calloc(1, sizeof(*call));
	medlar_query_t *query = medlar_attempt_query(attempt);

	if (!call)
		abort();
	call->attempt = attempt;
	call->at = world_replica_of(attempt);
	call->version = medlar_attempt_version(attempt);
	call->fingerprint = medlar_query_params(query)->fingerprint;
	call->range = medlar_attempt_range(attempt);
	medlar_attempt_set_data(attempt, call);
	world_submit((world_t *)data, call);
}

static inline void world_cancelled(world_t *world, void *data)
{
	world_call_t *call = (world_call_t *)data;

	if (!call->dead) {
		call->dead = true;
		world_leave(world, call);
		world_report(world, call, WORLD_CANCELLED);
	}
	call->cancelling = false;
	world_release(call);
}

/* The cancellation takes effect at the replica after half a millisecond. */
static inline void world_cancel(medlar_attempt_t *attempt, void *data)
{
	world_t *world = (world_t *)data;
	world_call_t *call = (world_call_t *)medlar_attempt_data(attempt);

	world->cancels++;
	call->cancelling = true;
	world_at(world, world->now_us + WORLD_MS / 2, world_cancelled, call);
}

static inline void world_answer(medlar_query_t *query, void *data)
{
	world_t *world = (world_t *)data;

	world->answers[medlar_query_answer(query)->outcome]++;
	if (world->answered)
		world->answered(world, query);
	medlar_query_finish(&world->client, query);
}

static inline void world_put(world_t *world, world_replica_t *replica)
{
	medlar_time_t now = world_now(world);

	if (medlar_service_put_replica(&world->client, &world->service,
				       &replica->info, now))
		abort();
	replica->handle = medlar_service_find_replica(
		&world->service,
		medlar_str_hash(medlar_str_from(replica->info.name), 0));
	medlar_replica_set_data(replica->handle, replica);
}

/**
 * world_init() - create a service whose replicas all serve version 7
 * @world: simulation in memory of the caller
 * @policy: policy; its shards and slots are used
 * @per_shard: number of replicas of each shard
 * @seed: random seed of the library and the simulation
 */
static inline void world_init(world_t *world, const medlar_policy_t *policy,
			      unsigned per_shard, uint64_t seed)
{
	medlar_service_ops_t ops;
	uint32_t shard;
	unsigned r;

	memset(world, 0, sizeof(*world));
	world->rand.state = seed;
	world->now_us = 1000 * WORLD_MS;
	world->mean_us = 10 * WORLD_MS;
	memset(&ops, 0, sizeof(ops));
	ops.send = world_send;
	ops.cancel = world_cancel;
	ops.answer = world_answer;
	medlar_client_init(&world->client, MEDLAR_STR("one"), 0, seed);
	if (medlar_suspects_init(&world->suspects, 64, MEDLAR_MINUTE) ||
	    medlar_service_init(&world->client, &world->service, policy, &ops,
				world, world_now(world)))
		abort();
	medlar_service_set_suspects(&world->service, &world->suspects);
	world->replicas = (world_replica_t *)calloc(WORLD_REPLICAS_MAX,
						    sizeof(world_replica_t));
	for (shard = 0; shard < policy->shards; shard++) {
		for (r = 0; r < per_shard; r++) {
			world_replica_t *replica =
				&world->replicas[world->len++];

			snprintf(replica->info.name, sizeof(replica->info.name),
				 "r%u-%u", shard, r);
			snprintf(replica->info.host, sizeof(replica->info.host),
				 "127.0.0.1");
			replica->info.port = 1;
			replica->info.shard = shard;
			replica->info.slots = (uint16_t)policy->slots;
			replica->info.connections = 25;
			replica->info.incarnation = 1;
			replica->info.versions[0] = 7;
			replica->shard = shard;
			replica->slow = 1;
			world_put(world, replica);
		}
	}
}

/** world_step() - run the next event or timer; false if there is none */
static inline bool world_step(world_t *world)
{
	medlar_time_t timer = medlar_client_due(&world->client);
	int64_t timer_us = timer == MEDLAR_TIME_NEVER ? INT64_MAX
						      : timer * WORLD_MS;

	if (world->heap_len == 0 && timer_us == INT64_MAX)
		return false;
	if (world->heap_len > 0 && world->heap[0].due <= timer_us) {
		world_event_t event = world_pop(world);

		if (event.due > world->now_us)
			world->now_us = event.due;
		event.fn(world, event.data);
	} else {
		if (timer_us > world->now_us)
			world->now_us = timer_us;
		medlar_client_run(&world->client, world_now(world));
	}
	return true;
}

/** world_run() - run until a virtual time in us, or until no event is left */
static inline void world_run(world_t *world, int64_t until)
{
	for (;;) {
		medlar_time_t timer = medlar_client_due(&world->client);
		int64_t next = world->heap_len > 0 ? world->heap[0].due
						   : INT64_MAX;

		if (timer != MEDLAR_TIME_NEVER && timer * WORLD_MS < next)
			next = timer * WORLD_MS;
		if (next > until || !world_step(world))
			break;
	}
	if (until != INT64_MAX && world->now_us < until)
		world->now_us = until;
}

static inline void world_finish(world_t *world)
{
	size_t i;

	medlar_service_finish(&world->client, &world->service);
	medlar_suspects_finish(&world->suspects);
	medlar_client_finish(&world->client);
	for (i = 0; i < world->len; i++) {
		while (world->replicas[i].calls) {
			world_call_t *call = world->replicas[i].calls;

			world->replicas[i].calls = call->next;
			free(call);
		}
	}
	free(world->replicas);
	free(world->heap);
}

/** world_ask() - start a search; @deadline in ms from now */
static inline int world_ask(world_t *world, uint64_t fingerprint,
			    medlar_time_t deadline, void *data)
{
	medlar_query_params_t params;
	medlar_query_t *query;

	memset(&params, 0, sizeof(params));
	params.kind = MEDLAR_REQUEST_SEARCH;
	params.fingerprint = fingerprint;
	params.caller = fingerprint;
	params.deadline = world_now(world) + deadline;
	params.target = world_now(world) + world->service.policy.target;
	return medlar_query_start(&world->client, &world->service, &params,
				  data, world_now(world), &query);
}

#endif /* TESTS_FAKES_WORLD_H */
