/**
 * DOC: access of a worker to the key-value service
 *
 * The client of the platform belongs to the control thread. A worker posts its
 * calls to that thread, which posts the replies back.
 */
#include <stdlib.h>

#include "medlard/control.h"
#include "medlard/store_proxy.h"

/**
 * struct proxy_call - a call of a worker to the key-value service
 * @worker: worker that made it
 * @call: entry in the inbox of the control thread, then of the worker
 * @key: key
 * @value: value to write, replaced by the value read
 * @is_write: the call is a compare-and-swap, otherwise a read
 * @index: modification index to compare with
 * @reply: reply
 * @done: see &struct medlar_store
 * @data: see &struct medlar_store
 */
typedef struct proxy_call {
	worker_t *worker;
	mailbox_call_t call;
	medlar_buf_t key;
	medlar_buf_t value;
	bool is_write;
	uint64_t index;
	medlar_store_reply_t reply;
	medlar_store_fn_t done;
	void *data;
} proxy_call_t;

static void free_call(proxy_call_t *call)
{
	medlar_buf_finish(&call->key);
	medlar_buf_finish(&call->value);
	free(call);
}

static void deliver_reply(mailbox_call_t *mailbox_call, void *data)
{
	proxy_call_t *call = data;

	(void)mailbox_call;
	call->reply.value = medlar_buf_str(&call->value);
	call->done(&call->reply, call->data);
	free_call(call);
}

static void on_reply(const medlar_store_reply_t *reply, void *data)
{
	proxy_call_t *call = data;

	call->reply = *reply;
	medlar_buf_reset(&call->value);
	medlar_buf_add(&call->value, reply->value);
	/* Without memory for the value, report the read as failed. */
	if (call->value.error)
		call->reply.status = MEDLAR_STORE_DOWN;
	mailbox_post(&call->worker->inbox, &call->call, deliver_reply, call);
}

static void start_store_call(mailbox_call_t *mailbox_call, void *data)
{
	proxy_call_t *call = data;
	store_t *store = &call->worker->control->store;
	medlar_str_t key = medlar_buf_str(&call->key);
	const medlar_store_reply_t failed = { .status = MEDLAR_STORE_DOWN };
	int error;

	(void)mailbox_call;
	if (call->is_write)
		error = store_cas(store, key, medlar_buf_str(&call->value),
				  call->index, on_reply, call);
	else
		error = store_get(store, key, on_reply, call);
	if (error)
		on_reply(&failed, call);
}

static int post_store_call(worker_t *worker, const proxy_call_t *params,
			   medlar_str_t key, medlar_str_t value)
{
	proxy_call_t *call = malloc(sizeof(*call));

	if (!call)
		return MEDLAR_ERR_NOMEM;
	*call = *params;
	call->worker = worker;
	medlar_buf_init(&call->key);
	medlar_buf_init(&call->value);
	medlar_buf_add(&call->key, key);
	medlar_buf_add(&call->value, value);
	if (call->key.error || call->value.error) {
		free_call(call);
		return MEDLAR_ERR_NOMEM;
	}
	mailbox_post(&worker->control->inbox, &call->call, start_store_call,
		     call);
	return MEDLAR_OK;
}

static int proxy_get(void *data, medlar_str_t key, medlar_store_fn_t done,
		     void *done_data)
{
	const proxy_call_t call = { .done = done, .data = done_data };

	return post_store_call(data, &call, key, (medlar_str_t){ 0 });
}

static int proxy_cas(void *data, medlar_str_t key, medlar_str_t value,
		     uint64_t index, medlar_store_fn_t done, void *done_data)
{
	const proxy_call_t call = {
		.is_write = true,
		.index = index,
		.done = done,
		.data = done_data,
	};

	return post_store_call(data, &call, key, value);
}

/**
 * store_proxy_init() - give a worker access to the key-value service
 * @store: set to callbacks that libmedlar uses
 * @worker: worker, whose thread makes the calls
 */
void store_proxy_init(medlar_store_t *store, worker_t *worker)
{
	*store = (medlar_store_t){ .get = proxy_get,
				   .cas = proxy_cas,
				   .data = worker };
}
