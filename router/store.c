/**
 * DOC: client of the store
 */
#include "libroute/watchers.h"
#include "router/store_internal.h"

/* Pause between watches until store_set_watching() sets it. */
#define WATCH_PAUSE_INITIAL_MS 600
#define LEASE_TTL_MS (20 * MEDLAR_SECOND)
#define LEASE_RENEW_INTERVAL_MS (7 * MEDLAR_SECOND)
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410

static void reader_send_next(store_t *store);
static void keeper_send_next(store_t *store);

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

static void apply_item(const store_item_t *item, void *data)
{
	store_t *store = data;
	store_item_t positioned = *item;

	positioned.position.epoch = store->epoch;
	mirror_apply(store->mirror, &positioned);
}

/* Tells how far the first list of an epoch is behind what was known. */
static void log_listed(const store_t *store)
{
	const mirror_t *mirror = store->mirror;

	if (!store->epoch_rose_at || mirror->beyond_store == 0)
		return;
	LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store_listed",
		 MEDLAR_NUM("epoch", mirror->position.epoch),
		 MEDLAR_NUM("revision", mirror->position.revision),
		 MEDLAR_NUM("entries", mirror->len),
		 MEDLAR_NUM("beyond_store", mirror->beyond_store));
}

static void apply_list_page(store_t *store, medlar_str_t body)
{
	bool is_first_page = store->list_revision == 0;
	store_page_t page;

	if (is_first_page)
		mirror_list_begin(store->mirror);
	if (store->calls->read_items(body, apply_item, store, &page)) {
		store_record_failure(store, STORE_STATUS_OK);
		store->list_revision = 0;
		store_channel_set_timer(&store->reader, STORE_BACKOFF_MAX_MS);
		return;
	}
	if (is_first_page) {
		store->list_revision = page.revision;
		store->list_epoch = store->epoch;
		store->list_begun_at = store->loop->now;
	}
	store->page = page;
	if (!page.more) {
		mirror_list_end(store->mirror,
				(store_position_t){ store->list_epoch,
						    store->list_revision });
		log_listed(store);
		store->last_contact = store->list_begun_at;
		store->list_complete = true;
		store->list_revision = 0;
		store->page = (store_page_t){ 0 };
	}
	reader_send_next(store);
}

static void apply_watch_reply(store_t *store, medlar_str_t body)
{
	uint64_t known_revision = store->mirror->position.revision;
	store_page_t page;

	if (store->calls->read_items(body, apply_item, store, &page)) {
		store_record_failure(store, STORE_STATUS_OK);
		store->list_complete = false;
		store_channel_set_timer(&store->reader, STORE_BACKOFF_MAX_MS);
		return;
	}
	mirror_advance(store->mirror, page.revision);
	store->last_contact = store->loop->now;
	if (page.last_key[0] && page.revision > known_revision) {
		store->has_news = true;
		store_channel_set_timer(&store->reader, store->watch_pause);
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

/* Whether the reply is of a list or watch that began in an older epoch. */
static bool is_stale_read(const store_t *store)
{
	if (store_channel_is_stale(&store->reader))
		return store->list_complete || store->list_revision != 0;
	return store->list_revision != 0 && store->list_epoch != store->epoch;
}

static void reader_on_reply(store_t *store, unsigned status, medlar_str_t body)
{
	if (is_stale_read(store)) {
		relist(store);
		reader_send_next(store);
	} else if (status == STATUS_GONE && store->list_complete) {
		LOG_LINE(store->log, LOG_LEVEL_NOTICE, "relist",
			 MEDLAR_NUM("revision",
				    store->mirror->position.revision));
		relist(store);
		reader_send_next(store);
	} else if (status != STORE_STATUS_OK) {
		if (!store->list_complete)
			relist(store);
		store_channel_set_timer(&store->reader,
					store_channel_backoff(&store->reader));
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

	if (store->watching && store->mirror->position.epoch < store->epoch)
		store->list_complete = false;
	if (store->list_complete && !store->watching) {
		store->answered.since = 0;
		return;
	}
	medlar_buf_reset(&channel->request);
	if (store->list_complete) {
		store->calls->watch(store->mirror->position.revision,
				    timing.wait, &channel->request);
		store_channel_send(channel, timing.timeout);
	} else {
		store->calls->list(medlar_str_from(store->page.last_key),
				   &channel->request);
		store_channel_send(channel, STORE_CALL_TIMEOUT_MS);
	}
}

static void keeper_on_reply(store_t *store, unsigned status, medlar_str_t body)
{
	store_channel_t *channel = &store->lease_keeper;

	if (store->entry_state == STORE_ENTRY_LEAVING)
		return;
	if (store_channel_is_stale(channel)) {
		store_channel_set_timer(channel, STORE_BACKOFF_MIN_MS);
		return;
	}
	if (status == STATUS_NOT_FOUND) {
		store->entry_state = STORE_ENTRY_NO_LEASE;
		store_channel_set_timer(channel, STORE_BACKOFF_MIN_MS);
		return;
	}
	if (status != STORE_STATUS_OK) {
		store_channel_set_timer(channel,
					store_channel_backoff(channel));
		return;
	}
	if (store->entry_state == STORE_ENTRY_NO_LEASE) {
		if (store->calls->read_lease(body, &store->lease)) {
			store_channel_set_timer(channel, STORE_BACKOFF_MAX_MS);
			return;
		}
		store->entry_state = STORE_ENTRY_UNWRITTEN;
		keeper_send_next(store);
		return;
	}
	store->entry_state = STORE_ENTRY_WRITTEN;
	store_channel_set_timer(channel, LEASE_RENEW_INTERVAL_MS);
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
	store_channel_send(channel, STORE_CALL_TIMEOUT_MS);
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
	store_channel_init(&store->reader, store, reader_send_next,
			   reader_on_reply);
	store_channel_init(&store->lease_keeper, store, keeper_send_next,
			   keeper_on_reply);
	store_writer_init(store);
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
	store_channel_set_timer(&store->lease_keeper, STORE_BACKOFF_MIN_MS);
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
	store_channel_set_timer(&store->lease_keeper, STORE_BACKOFF_MIN_MS);
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
	store_channel_send(&store->lease_keeper, STORE_CALL_TIMEOUT_MS);
}

/**
 * store_finish() - close the connections and release all memory
 * @store: an initialised client
 */
void store_finish(store_t *store)
{
	store_channel_finish(&store->reader);
	store_channel_finish(&store->lease_keeper);
	store_writer_finish(store);
	medlar_buf_finish(&store->key);
	medlar_buf_finish(&store->value);
}
