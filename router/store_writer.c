/**
 * DOC: entries of the store that expire by themselves
 *
 * Each is written under a lease of its own that is never renewed, so it outlives
 * the instance that wrote it.
 */
#include "router/store_internal.h"

static void send_put(store_t *store, uint64_t lease)
{
	store_writer_t *writer = &store->writer;

	medlar_buf_reset(&writer->channel.request);
	store->calls->put(medlar_buf_str(&writer->key),
			  medlar_buf_str(&writer->value), lease,
			  &writer->channel.request);
	store_channel_send(&writer->channel, STORE_CALL_TIMEOUT_MS);
}

static void end_write(store_t *store)
{
	store_writer_t *writer = &store->writer;

	writer->state = STORE_WRITER_IDLE;
	if (writer->channel.failures)
		writer->retry_at = store->loop->now +
				   store_channel_backoff(&writer->channel);
}

static void writer_on_reply(store_t *store, unsigned status, medlar_str_t body)
{
	store_writer_t *writer = &store->writer;
	uint64_t lease;

	medlar_timer_clear(store->loop->client, &writer->channel.timer);
	if (store_channel_is_stale(&writer->channel)) {
		end_write(store);
		return;
	}
	if (status == STORE_STATUS_OK && writer->state == STORE_WRITER_LEASE &&
	    store->calls->read_lease(body, &lease) == MEDLAR_OK) {
		writer->state = STORE_WRITER_PUT;
		send_put(store, lease);
		return;
	}
	end_write(store);
}

/* The timer is set only while a call is in flight. */
static void writer_send_next(store_t *store)
{
	(void)store;
}

/**
 * store_writer_init() - initialise the writer of expiring entries
 * @store: client
 */
void store_writer_init(store_t *store)
{
	store_channel_init(&store->writer.channel, store, writer_send_next,
			   writer_on_reply);
	medlar_buf_init(&store->writer.key);
	medlar_buf_init(&store->writer.value);
}

/**
 * store_put_expiring() - start to write an entry that expires by itself
 * @store: a started client
 * @key: key
 * @value: value
 * @ttl: time after which the store deletes the entry, ms
 *
 * The mirror shows whether it was written. To be called again until it was.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_FULL if another entry is being written, or a
 * call has just failed.
 */
int store_put_expiring(store_t *store, medlar_str_t key, medlar_str_t value,
		       medlar_time_t ttl)
{
	store_writer_t *writer = &store->writer;

	if (writer->state != STORE_WRITER_IDLE ||
	    store->loop->now < writer->retry_at)
		return MEDLAR_ERR_FULL;
	medlar_buf_reset(&writer->key);
	medlar_buf_reset(&writer->value);
	medlar_buf_reset(&writer->channel.request);
	medlar_buf_add(&writer->key, key);
	medlar_buf_add(&writer->value, value);
	writer->state = STORE_WRITER_LEASE;
	store->calls->grant_lease(ttl, &writer->channel.request);
	store_channel_send(&writer->channel, STORE_CALL_TIMEOUT_MS);
	return MEDLAR_OK;
}

/**
 * store_writer_finish() - close the connection and release all memory
 * @store: an initialised client
 */
void store_writer_finish(store_t *store)
{
	store_channel_finish(&store->writer.channel);
	medlar_buf_finish(&store->writer.key);
	medlar_buf_finish(&store->writer.value);
}
