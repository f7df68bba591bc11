/**
 * DOC: client of the store
 */
#include "libroute/watchers.h"
#include "router/store.h"

#define REPLY_HEAD_BYTES_MAX ((size_t)16 * 1024)
#define REPLY_BODY_BYTES_MAX ((size_t)16 << 20)
#define CALL_TIMEOUT_MS 1500
/* Pause between watches until store_set_watching() sets it. */
#define WATCH_PAUSE_INITIAL_MS 600
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 1000
#define LEASE_TTL_MS (20 * MEDLAR_SECOND)
#define LEASE_RENEW_INTERVAL_MS (7 * MEDLAR_SECOND)
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410

static void reader_send_next(store_t *store);
static void keeper_send_next(store_t *store);

static void channel_set_timer(store_channel_t *channel, medlar_time_t after)
{
	loop_t *loop = channel->store->loop;

	(void)medlar_timer_set(loop->client, &channel->timer,
			       loop->now + after);
}

static medlar_time_t backoff_delay(const store_channel_t *channel)
{
	medlar_time_t delay = BACKOFF_MIN_MS;
	medlar_rand_t *rand = &channel->store->loop->client->rand;

	for (unsigned i = 1; i < channel->failures && delay < BACKOFF_MAX_MS;
	     i++)
		delay *= 2;
	if (delay > BACKOFF_MAX_MS)
		delay = BACKOFF_MAX_MS;
	return delay / 2 + (medlar_time_t)medlar_rand_below(
				   rand, (uint64_t)(delay / 2 + 1));
}

static void record_success(const store_channel_t *channel)
{
	store_t *store = channel->store;
	medlar_time_t now = store->loop->now;
	bool is_reader = channel == &store->reader;

	if (store->down_since) {
		store->recovered_at = now;
		LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store",
			 MEDLAR_TEXT("state", MEDLAR_STR("up")),
			 MEDLAR_TEXT("by", is_reader ? MEDLAR_STR("reader")
						     : MEDLAR_STR("lease")),
			 MEDLAR_NUM("down_ms", now - store->down_since));
	}
	store->down_since = 0;
}

/**
 * store_silence() - get the time since the mirror was last known current
 * @store: client
 *
 * Return: time in ms; -1 if it never was.
 */
medlar_time_t store_silence(const store_t *store)
{
	return store->last_contact ? store->loop->now - store->last_contact
				   : -1;
}

static void record_failure(store_t *store, unsigned status)
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
	return status >= STATUS_OK && status < 500 && status != 429;
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
		record_failure(store, status);
	}
	channel->on_reply(store, status, body);
}

static void channel_on_ready(h1_client_t *client, void *data)
{
	store_channel_t *channel = data;

	h1_client_send(client, medlar_buf_str(&channel->request),
		       (medlar_str_t){ 0 }, false);
}

static void channel_on_done(h1_client_t *client, h1_end_t end, void *data)
{
	store_channel_t *channel = data;
	const h1_message_t *reply = &client->parser.message;

	if (end == H1_END_REPLY)
		channel_end_call(channel, reply->status,
				 medlar_buf_str(&reply->body));
	else
		channel_end_call(channel, 0, (medlar_str_t){ 0 });
}

static const h1_client_events_t channel_events = {
	.ready = channel_on_ready,
	.done = channel_on_done,
};

/* Sends the request in channel->call, connecting first if necessary. */
static void channel_send(store_channel_t *channel, medlar_time_t timeout)
{
	static const h1_limits_t limits = { REPLY_HEAD_BYTES_MAX,
					    REPLY_BODY_BYTES_MAX, NULL };
	store_t *store = channel->store;

	store->stats->counts[STAT_STORE_CALLS]++;
	channel->call_in_flight = true;
	channel_set_timer(channel, timeout);
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

static void apply_item(const store_item_t *item, void *data)
{
	store_t *store = data;

	mirror_apply(store->mirror, item);
}

static void apply_list_page(store_t *store, medlar_str_t body)
{
	bool is_first_page = store->list_revision == 0;
	store_page_t page;

	if (is_first_page)
		mirror_list_begin(store->mirror);
	if (store->calls->read_items(body, apply_item, store, &page)) {
		record_failure(store, STATUS_OK);
		store->list_revision = 0;
		channel_set_timer(&store->reader, BACKOFF_MAX_MS);
		return;
	}
	if (is_first_page) {
		store->list_revision = page.revision;
		store->list_begun_at = store->loop->now;
	}
	store->page = page;
	if (!page.more) {
		mirror_list_end(store->mirror, store->list_revision);
		store->last_contact = store->list_begun_at;
		store->list_complete = true;
		store->list_revision = 0;
		store->page = (store_page_t){ 0 };
	}
	reader_send_next(store);
}

static void apply_watch_reply(store_t *store, medlar_str_t body)
{
	uint64_t known_revision = store->mirror->revision;
	store_page_t page;

	if (store->calls->read_items(body, apply_item, store, &page)) {
		record_failure(store, STATUS_OK);
		store->list_complete = false;
		channel_set_timer(&store->reader, BACKOFF_MAX_MS);
		return;
	}
	mirror_advance(store->mirror, page.revision);
	store->last_contact = store->loop->now;
	if (page.last_key[0] && page.revision > known_revision) {
		store->has_news = true;
		channel_set_timer(&store->reader, store->watch_pause);
	} else {
		reader_send_next(store);
	}
}

static void relist(store_t *store)
{
	store->list_complete = false;
	store->list_revision = 0;
	store->page = (store_page_t){ 0 };
}

static void reader_on_reply(store_t *store, unsigned status, medlar_str_t body)
{
	if (status == STATUS_GONE && store->list_complete) {
		LOG_LINE(store->log, LOG_LEVEL_NOTICE, "relist",
			 MEDLAR_NUM("revision", store->mirror->revision));
		relist(store);
		reader_send_next(store);
	} else if (status != STATUS_OK) {
		if (!store->list_complete)
			relist(store);
		channel_set_timer(&store->reader,
				  backoff_delay(&store->reader));
	} else if (store->list_complete) {
		apply_watch_reply(store, body);
	} else {
		apply_list_page(store, body);
	}
}

static void reader_send_next(store_t *store)
{
	store_channel_t *channel = &store->reader;
	const watch_timing_t timing = watchers_time_call(channel->failures);

	if (store->list_complete && !store->watching)
		return;
	medlar_buf_reset(&channel->request);
	if (store->list_complete) {
		store->calls->watch(store->mirror->revision, timing.wait,
				    &channel->request);
		channel_send(channel, timing.timeout);
	} else {
		store->calls->list(medlar_str_from(store->page.last_key),
				   &channel->request);
		channel_send(channel, CALL_TIMEOUT_MS);
	}
}

static void keeper_on_reply(store_t *store, unsigned status, medlar_str_t body)
{
	store_channel_t *channel = &store->lease_keeper;

	if (store->entry_state == STORE_ENTRY_LEAVING)
		return;
	if (status == STATUS_NOT_FOUND) {
		store->entry_state = STORE_ENTRY_NO_LEASE;
		channel_set_timer(channel, BACKOFF_MIN_MS);
		return;
	}
	if (status != STATUS_OK) {
		channel_set_timer(channel, backoff_delay(channel));
		return;
	}
	if (store->entry_state == STORE_ENTRY_NO_LEASE) {
		if (store->calls->read_lease(body, &store->lease)) {
			channel_set_timer(channel, BACKOFF_MAX_MS);
			return;
		}
		store->entry_state = STORE_ENTRY_UNWRITTEN;
		keeper_send_next(store);
		return;
	}
	store->entry_state = STORE_ENTRY_WRITTEN;
	channel_set_timer(channel, LEASE_RENEW_INTERVAL_MS);
}

static void keeper_send_next(store_t *store)
{
	store_channel_t *channel = &store->lease_keeper;

	medlar_buf_reset(&channel->request);
	if (store->entry_state == STORE_ENTRY_LEAVING)
		return;
	if (store->entry_state == STORE_ENTRY_NO_LEASE)
		store->calls->grant_lease(LEASE_TTL_MS, &channel->request);
	else if (store->entry_state == STORE_ENTRY_UNWRITTEN)
		store->calls->put(medlar_buf_str(&store->key),
				  medlar_buf_str(&store->value), store->lease,
				  &channel->request);
	else
		store->calls->renew_lease(store->lease, &channel->request);
	channel_send(channel, CALL_TIMEOUT_MS);
}

static void channel_init(store_channel_t *channel, store_t *store,
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
 * store_init() - initialise the client without connecting
 * @store: uninitialised memory
 * @loop: event loop
 * @log: log for the begin and end of outages
 * @stats: counters
 * @calls: protocol of the store
 * @address: address of the store
 * @mirror: copy of the store, updated by lists and watches
 */
void store_init(store_t *store, loop_t *loop, logger_t *log, stats_t *stats,
		const store_calls_t *calls, const struct sockaddr_in *address,
		mirror_t *mirror)
{
	*store = (store_t){ .loop = loop,
			    .log = log,
			    .stats = stats,
			    .calls = calls,
			    .address = *address,
			    .mirror = mirror,
			    .watch_pause = WATCH_PAUSE_INITIAL_MS };
	medlar_buf_init(&store->key);
	medlar_buf_init(&store->value);
	channel_init(&store->reader, store, reader_send_next, reader_on_reply);
	channel_init(&store->lease_keeper, store, keeper_send_next,
		     keeper_on_reply);
}

/**
 * store_start() - start to read the store and to maintain an entry in it
 * @store: an initialised client
 * @key: key of the entry of this instance
 * @value: value of the entry
 */
void store_start(store_t *store, medlar_str_t key, medlar_str_t value)
{
	medlar_buf_add(&store->key, key);
	medlar_buf_add(&store->value, value);
	reader_send_next(store);
	channel_set_timer(&store->lease_keeper, BACKOFF_MIN_MS);
}

/**
 * store_set_watching() - set whether this instance watches the store itself
 * @store: client
 * @watching: whether to watch; a watch in progress is not cancelled
 * @pause: time from a change to the next watch, ms
 */
void store_set_watching(store_t *store, bool watching, medlar_time_t pause)
{
	bool is_idle = !store->reader.call_in_flight &&
		       store->reader.timer.slot == 0;

	store->watching = watching;
	store->watch_pause = pause;
	if (watching && is_idle)
		reader_send_next(store);
}

/**
 * store_entry_lost() - write the entry again after it was deleted
 * @store: client
 *
 * Does nothing unless the entry was written and no call about it is in
 * progress.
 */
void store_entry_lost(store_t *store)
{
	if (store->entry_state != STORE_ENTRY_WRITTEN ||
	    store->lease_keeper.call_in_flight)
		return;
	store->entry_state = STORE_ENTRY_NO_LEASE;
	channel_set_timer(&store->lease_keeper, BACKOFF_MIN_MS);
}

/**
 * store_withdraw_entry() - delete the entry of this instance on shutdown
 * @store: client
 *
 * The entry is left to the expiry of its lease if the store is down or another
 * call about it is in progress.
 */
void store_withdraw_entry(store_t *store)
{
	bool has_lease = store->entry_state >= STORE_ENTRY_UNWRITTEN;

	if (store->entry_state == STORE_ENTRY_LEAVING)
		return;
	store->entry_state = STORE_ENTRY_LEAVING;
	if (!has_lease || store->down_since ||
	    store->lease_keeper.call_in_flight)
		return;
	medlar_buf_reset(&store->lease_keeper.request);
	store->calls->revoke_lease(store->lease, &store->lease_keeper.request);
	channel_send(&store->lease_keeper, CALL_TIMEOUT_MS);
}

static void channel_finish(store_channel_t *channel)
{
	medlar_timer_clear(channel->store->loop->client, &channel->timer);
	channel_disconnect(channel);
	medlar_buf_finish(&channel->request);
}

/**
 * store_finish() - close the connections and release all memory
 * @store: an initialised client
 */
void store_finish(store_t *store)
{
	channel_finish(&store->reader);
	channel_finish(&store->lease_keeper);
	medlar_buf_finish(&store->key);
	medlar_buf_finish(&store->value);
}
