/**
 * DOC: connections of the client of the store
 */
#include "router/store_internal.h"

#define REPLY_HEAD_BYTES_MAX ((size_t)16 * 1024)
#define REPLY_BODY_BYTES_MAX ((size_t)16 << 20)

/**
 * store_channel_set_timer() - set the timer of a channel
 * @channel: channel; the timer times out a call in flight, or starts the next
 * @after: time until it expires, ms
 */
void store_channel_set_timer(store_channel_t *channel, medlar_time_t after)
{
	loop_t *loop = channel->store->loop;

	(void)medlar_timer_set(loop->client, &channel->timer,
			       loop->now + after);
}

/**
 * store_channel_backoff() - get the time until a failed call is repeated
 * @channel: channel
 *
 * Return: time in ms, which grows with the number of failures and is random.
 */
medlar_time_t store_channel_backoff(const store_channel_t *channel)
{
	medlar_time_t delay = STORE_BACKOFF_MIN_MS;
	medlar_rand_t *rand = &channel->store->loop->client->rand;

	for (unsigned i = 1;
	     i < channel->failures && delay < STORE_BACKOFF_MAX_MS; i++)
		delay *= 2;
	if (delay > STORE_BACKOFF_MAX_MS)
		delay = STORE_BACKOFF_MAX_MS;
	return delay / 2 + (medlar_time_t)medlar_rand_below(
				   rand, (uint64_t)(delay / 2 + 1));
}

static void record_success(const store_channel_t *channel)
{
	store_t *store = channel->store;
	medlar_time_t now = store->loop->now;
	bool is_reader = channel == &store->reader;

	if (is_reader) {
		if (!store->answered.since)
			store->answered.since = now;
		store->answered.until = now;
	}
	if (store->down_since)
		LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store",
			 MEDLAR_TEXT("state", MEDLAR_STR("up")),
			 MEDLAR_TEXT("by", is_reader ? MEDLAR_STR("reader")
						     : MEDLAR_STR("lease")),
			 MEDLAR_NUM("down_ms", now - store->down_since));
	store->down_since = 0;
}

/**
 * store_record_failure() - record that the store did not serve a call
 * @store: client
 * @status: status of the reply; 0 if there was none
 */
void store_record_failure(store_t *store, unsigned status)
{
	store->stats->counts[STAT_STORE_FAILURES]++;
	if (store->down_since)
		return;
	store->down_since = store->loop->now;
	LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store",
		 MEDLAR_TEXT("state", MEDLAR_STR("down")),
		 MEDLAR_NUM("status", status),
		 MEDLAR_NUM("heard_ms", store_silence(store)));
}

static void channel_disconnect(store_channel_t *channel)
{
	if (channel->open)
		h1_client_finish(&channel->client);
	channel->open = false;
}

/* Statuses below 200 (0: no reply), 429 and those from 500 mean an outage. */
static bool is_store_answer(unsigned status)
{
	return status >= STORE_STATUS_OK && status < 500 && status != 429;
}

/**
 * store_channel_is_stale() - check whether a call was sent in an older epoch
 * @channel: channel whose call has ended
 *
 * Return: whether the store has come back from an older copy since.
 */
bool store_channel_is_stale(const store_channel_t *channel)
{
	return channel->epoch != channel->store->epoch &&
	       channel->store->epoch_rose_at;
}

static void channel_end_call(store_channel_t *channel, unsigned status,
			     medlar_str_t body)
{
	store_t *store = channel->store;

	channel->call_in_flight = false;
	if (is_store_answer(status)) {
		channel->failures = 0;
		record_success(channel);
	} else {
		channel->failures++;
		if (channel == &store->reader)
			store->answered.since = 0;
		store_record_failure(store, status);
	}
	channel->on_reply(store, status, body);
}

static void channel_on_ready(h1_client_t *client, void *data)
{
	store_channel_t *channel = data;

	h1_client_send(client, medlar_buf_str(&channel->request),
		       (medlar_str_t){ 0 }, false);
}

static void log_bad_status(const store_channel_t *channel)
{
	const h1_parser_t *parser = &channel->client.parser;
	const store_t *store = channel->store;

	if (parser->error != H1_BAD_STATUS)
		return;
	store->stats->counts[STAT_BAD_STATUSES]++;
	LOG_LINE(store->log, LOG_LEVEL_WARNING, "bad_status",
		 MEDLAR_TEXT("from", MEDLAR_STR("store")),
		 MEDLAR_TEXT("status", h1_parser_status_code(parser)));
}

static void channel_on_done(h1_client_t *client, h1_end_t end, void *data)
{
	store_channel_t *channel = data;
	const h1_message_t *reply = &client->parser.message;

	log_bad_status(channel);
	if (end != H1_END_REPLY) {
		channel_end_call(channel, 0, (medlar_str_t){ 0 });
	} else if (!store_read_epoch(channel->store, reply)) {
		h1_client_close(client);
		channel_end_call(channel, 0, (medlar_str_t){ 0 });
	} else {
		channel_end_call(channel, reply->status,
				 medlar_buf_str(&reply->body));
	}
}

static const h1_client_events_t channel_events = {
	.ready = channel_on_ready,
	.done = channel_on_done,
};

/**
 * store_channel_send() - send a call
 * @channel: channel without a call in flight; the call is in its @request
 * @timeout: time after which the call counts as failed, ms
 *
 * Connects first if necessary.
 */
void store_channel_send(store_channel_t *channel, medlar_time_t timeout)
{
	static const h1_limits_t limits = { REPLY_HEAD_BYTES_MAX,
					    REPLY_BODY_BYTES_MAX, NULL };
	store_t *store = channel->store;

	store->stats->counts[STAT_STORE_CALLS]++;
	channel->call_in_flight = true;
	channel->epoch = store->epoch;
	store_channel_set_timer(channel, timeout);
	if (channel->open && channel->client.state == H1_IDLE) {
		channel_on_ready(&channel->client, channel);
		return;
	}
	channel_disconnect(channel);
	channel->open = true;
	if (h1_client_open(&channel->client, store->loop, &store->address,
			   limits, &channel_events, channel))
		channel_end_call(channel, 0, (medlar_str_t){ 0 });
}

static void channel_on_timer(medlar_client_t *client, medlar_timer_t *timer,
			     medlar_time_t now, void *data)
{
	store_channel_t *channel = data;

	(void)client;
	(void)timer;
	(void)now;
	if (!channel->call_in_flight) {
		channel->send_next(channel->store);
		return;
	}
	channel_disconnect(channel);
	channel_end_call(channel, 0, (medlar_str_t){ 0 });
}

/**
 * store_channel_init() - initialise a channel without connecting
 * @channel: uninitialised memory
 * @store: client that owns the channel
 * @next: starts the next call when the timer expires
 * @done: handles the replies
 */
void store_channel_init(store_channel_t *channel, store_t *store,
			void (*next)(store_t *),
			void (*done)(store_t *, unsigned, medlar_str_t))
{
	*channel = (store_channel_t){ .store = store,
				      .send_next = next,
				      .on_reply = done };
	medlar_buf_init(&channel->request);
	medlar_timer_init(&channel->timer, channel_on_timer, channel);
}

/**
 * store_channel_finish() - close a channel and release its memory
 * @channel: an initialised channel
 */
void store_channel_finish(store_channel_t *channel)
{
	medlar_timer_clear(channel->store->loop->client, &channel->timer);
	channel_disconnect(channel);
	medlar_buf_finish(&channel->request);
}
