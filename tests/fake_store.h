/*
 * In-memory key-value service for tests on a virtual clock. Calls are queued
 * until fake_store_end_call() ends one; faults come from a seeded generator.
 */
#ifndef TESTS_FAKE_STORE_H
#define TESTS_FAKE_STORE_H

#include <stdlib.h>
#include <string.h>

#include "libmedlar/medlar.h"

#define FAKE_KEYS_MAX 80
#define FAKE_CALLS_MAX 64

typedef struct fake_key {
	char name[128];
	medlar_buf_t value;
	uint64_t index;
} fake_key_t;

typedef struct fake_call {
	bool is_cas;
	char key[128];
	medlar_buf_t value;
	uint64_t index;
	medlar_store_fn_t done;
	void *data;
} fake_call_t;

/*
 * reply_loss: share of calls that take effect but whose reply is lost.
 * request_loss: share of calls that are lost before they take effect; with
 * delays_writes a lost write is kept in delayed and may later take effect once.
 */
typedef struct fake_store {
	fake_key_t keys[FAKE_KEYS_MAX];
	size_t keys_len;
	fake_call_t calls[FAKE_CALLS_MAX];
	size_t calls_len;
	fake_call_t delayed;
	uint64_t index;
	double reply_loss;
	double request_loss;
	bool delays_writes;
	bool down;
	medlar_rand_t rand;
} fake_store_t;

static inline fake_key_t *fake_store_find(fake_store_t *store, const char *name)
{
	size_t i;

	for (i = 0; i < store->keys_len; i++)
		if (strcmp(store->keys[i].name, name) == 0)
			return &store->keys[i];
	return NULL;
}

static inline int fake_store_queue_call(fake_store_t *store, bool is_cas,
					medlar_str_t key, medlar_str_t value,
					uint64_t index, medlar_store_fn_t done,
					void *data)
{
	fake_call_t *call = &store->calls[store->calls_len];

	if (store->calls_len == FAKE_CALLS_MAX)
		return MEDLAR_ERR_FULL;
	*call = (fake_call_t){
		.is_cas = is_cas, .index = index, .done = done, .data = data
	};
	memcpy(call->key, key.ptr, key.len);
	medlar_buf_add(&call->value, value);
	store->calls_len++;
	return MEDLAR_OK;
}

static inline int fake_store_get(void *data, medlar_str_t key,
				 medlar_store_fn_t done, void *done_data)
{
	return fake_store_queue_call(data, false, key, MEDLAR_STR(""), 0, done,
				     done_data);
}

static inline int fake_store_cas(void *data, medlar_str_t key,
				 medlar_str_t value, uint64_t index,
				 medlar_store_fn_t done, void *done_data)
{
	return fake_store_queue_call(data, true, key, value, index, done,
				     done_data);
}

static inline medlar_store_status_t fake_store_apply(fake_store_t *store,
						     fake_call_t *call)
{
	fake_key_t *key = fake_store_find(store, call->key);

	if ((key ? key->index : 0) != call->index)
		return MEDLAR_STORE_CONFLICT;
	if (!key) {
		key = &store->keys[store->keys_len++];
		memcpy(key->name, call->key, sizeof(key->name));
	}
	medlar_buf_reset(&key->value);
	medlar_buf_add(&key->value, medlar_buf_str(&call->value));
	key->index = ++store->index;
	return MEDLAR_STORE_OK;
}

static inline void fake_store_read(fake_store_t *store, const char *name,
				   medlar_store_reply_t *reply)
{
	const fake_key_t *key = fake_store_find(store, name);

	reply->status = key ? MEDLAR_STORE_OK : MEDLAR_STORE_MISSING;
	if (!key)
		return;
	reply->value = medlar_buf_str(&key->value);
	reply->index = key->index;
}

static inline void fake_store_apply_delayed(fake_store_t *store)
{
	if (store->delayed.is_cas)
		fake_store_apply(store, &store->delayed);
	medlar_buf_finish(&store->delayed.value);
	store->delayed = (fake_call_t){ 0 };
}

/* Ends a random outstanding call; returns false if there is none. */
static inline bool fake_store_end_call(fake_store_t *store)
{
	medlar_store_reply_t reply = { .status = MEDLAR_STORE_UNKNOWN };
	fake_call_t call;
	size_t at;

	if (store->calls_len == 0)
		return false;
	at = (size_t)medlar_rand_below(&store->rand, store->calls_len);
	call = store->calls[at];
	store->calls[at] = store->calls[--store->calls_len];
	if (store->down) {
		reply.status = MEDLAR_STORE_DOWN;
	} else if (medlar_rand_unit(&store->rand) < store->request_loss) {
		if (call.is_cas && store->delays_writes &&
		    !store->delayed.is_cas) {
			store->delayed = call;
			call.value = (medlar_buf_t){ 0 };
		}
	} else {
		if (call.is_cas)
			reply.status = fake_store_apply(store, &call);
		else
			fake_store_read(store, call.key, &reply);
		if (medlar_rand_unit(&store->rand) < store->reply_loss)
			reply = (medlar_store_reply_t){
				.status = MEDLAR_STORE_UNKNOWN
			};
	}
	call.done(&reply, call.data);
	medlar_buf_finish(&call.value);
	if (store->delayed.is_cas && medlar_rand_below(&store->rand, 4) == 0)
		fake_store_apply_delayed(store);
	return true;
}

static inline medlar_store_t fake_store_ops(fake_store_t *store)
{
	return (medlar_store_t){ fake_store_get, fake_store_cas, store };
}

static inline void fake_store_finish(fake_store_t *store)
{
	size_t i;

	fake_store_apply_delayed(store);
	for (i = 0; i < store->keys_len; i++)
		medlar_buf_finish(&store->keys[i].value);
	for (i = 0; i < store->calls_len; i++)
		medlar_buf_finish(&store->calls[i].value);
}

#endif
