/**
 * DOC: the client of the store
 */
#include "router/store.h"

#define REPLY_HEAD_MAX ((size_t)16 * 1024)
#define REPLY_BODY_MAX ((size_t)16 << 20)
#define CALL_TIMEOUT 1500
/* Longest time of a watch, ms. */
#define WATCH_WAIT 3000
/* Time after a change in which further ones are collected, ms. */
#define WATCH_PAUSE 150
#define BACKOFF_MIN 100
#define BACKOFF_MAX 1000
#define LEASE_TTL (20 * MEDLAR_SECOND)
#define LEASE_RENEW (7 * MEDLAR_SECOND)
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410

static void read_next(store_t *store);
static void keep_next(store_t *store);

static void schedule(store_channel_t *channel, medlar_time_t after)
{
	loop_t *loop = channel->store->loop;

	(void)medlar_timer_set(loop->client, &channel->timer,
			       loop->now + after);
}

static medlar_time_t backoff(const store_channel_t *channel)
{
	medlar_time_t wait = BACKOFF_MIN;
	medlar_rand_t *rand = &channel->store->loop->client->rand;

	for (unsigned i = 1; i < channel->failures && wait < BACKOFF_MAX; i++)
		wait *= 2;
	if (wait > BACKOFF_MAX)
		wait = BACKOFF_MAX;
	return wait / 2 +
	       (medlar_time_t)medlar_rand_below(rand, (uint64_t)(wait / 2 + 1));
}

static void note_success(store_t *store)
{
	medlar_time_t now = store->loop->now;

	if (store->down_since) {
		store->up_since = now;
		LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store",
			 MEDLAR_TEXT("state", MEDLAR_STR("up")),
			 MEDLAR_NUM("down_ms", now - store->down_since));
	}
	store->down_since = 0;
	store->heard = now;
}

static void note_failure(store_t *store, unsigned status)
{
	store->stats->counts[STAT_STORE_FAILURES]++;
	if (store->down_since)
		return;
	store->down_since = store->loop->now;
	LOG_LINE(store->log, LOG_LEVEL_NOTICE, "store",
		 MEDLAR_TEXT("state", MEDLAR_STR("down")),
		 MEDLAR_NUM("status", status),
		 MEDLAR_NUM("heard_ms", store->loop->now - store->heard));
}

static void hang_up(store_channel_t *channel)
{
	if (channel->open)
		h1_client_finish(&channel->client);
	channel->open = false;
}

/* Statuses of 200 to 499 but 429 are answers; all else is an outage. */
static bool is_answer(unsigned status)
{
	return status >= STATUS_OK && status < 500 && status != 429;
}

static void end_call(store_channel_t *channel, unsigned status,
		     medlar_str_t body)
{
	store_t *store = channel->store;

	channel->waiting = false;
	if (is_answer(status)) {
		channel->failures = 0;
		note_success(store);
	} else {
		channel->failures++;
		note_failure(store, status);
	}
	channel->done(store, status, body);
}

static void on_ready(h1_client_t *client, void *data)
{
	store_channel_t *channel = data;

	h1_client_send(client, medlar_buf_str(&channel->call),
		       (medlar_str_t){ 0 }, false);
}

static void on_done(h1_client_t *client, h1_end_t end, void *data)
{
	store_channel_t *channel = data;
	const h1_message_t *reply = &client->parser.message;

	if (end == H1_END_REPLY)
		end_call(channel, reply->status, medlar_buf_str(&reply->body));
	else
		end_call(channel, 0, (medlar_str_t){ 0 });
}

static const h1_client_events_t channel_events = {
	.ready = on_ready,
	.done = on_done,
};

/* Sends the call that was written into the channel. */
static void call(store_channel_t *channel, medlar_time_t timeout)
{
	static const h1_limits_t limits = { REPLY_HEAD_MAX, REPLY_BODY_MAX };
	store_t *store = channel->store;

	store->stats->counts[STAT_STORE_CALLS]++;
	channel->waiting = true;
	schedule(channel, timeout);
	if (channel->open && channel->client.state == H1_IDLE) {
		on_ready(&channel->client, channel);
		return;
	}
	hang_up(channel);
	channel->open = true;
	if (h1_client_open(&channel->client, store->loop, &store->address,
			   limits, &channel_events, channel))
		end_call(channel, 0, (medlar_str_t){ 0 });
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	store_channel_t *channel = data;

	(void)client;
	(void)timer;
	(void)now;
	if (!channel->waiting) {
		channel->next(channel->store);
		return;
	}
	hang_up(channel);
	end_call(channel, 0, (medlar_str_t){ 0 });
}

static void apply(const store_item_t *item, void *data)
{
	store_t *store = data;

	mirror_apply(store->mirror, item);
}

static void read_list(store_t *store, medlar_str_t body)
{
	bool first = store->list_revision == 0;
	store_page_t page;

	if (first)
		mirror_list_begin(store->mirror);
	if (store->calls->read_items(body, apply, store, &page)) {
		note_failure(store, STATUS_OK);
		store->list_revision = 0;
		schedule(&store->reader, BACKOFF_MAX);
		return;
	}
	if (first)
		store->list_revision = page.revision;
	store->page = page;
	if (!page.more) {
		mirror_list_end(store->mirror, store->list_revision);
		store->listed = true;
		store->list_revision = 0;
		store->page = (store_page_t){ 0 };
	}
	read_next(store);
}

static void read_changes(store_t *store, medlar_str_t body)
{
	uint64_t before = store->mirror->revision;
	store_page_t page;

	if (store->calls->read_items(body, apply, store, &page)) {
		note_failure(store, STATUS_OK);
		store->listed = false;
		schedule(&store->reader, BACKOFF_MAX);
		return;
	}
	mirror_advance(store->mirror, page.revision);
	if (page.last_key[0] && page.revision > before)
		schedule(&store->reader, WATCH_PAUSE);
	else
		read_next(store);
}

static void relist(store_t *store)
{
	store->listed = false;
	store->list_revision = 0;
	store->page = (store_page_t){ 0 };
}

static void read_done(store_t *store, unsigned status, medlar_str_t body)
{
	if (status == STATUS_GONE && store->listed) {
		LOG_LINE(store->log, LOG_LEVEL_NOTICE, "relist",
			 MEDLAR_NUM("revision", store->mirror->revision));
		relist(store);
		read_next(store);
	} else if (status != STATUS_OK) {
		if (!store->listed)
			relist(store);
		schedule(&store->reader, backoff(&store->reader));
	} else if (store->listed) {
		read_changes(store, body);
	} else {
		read_list(store, body);
	}
}

static void read_next(store_t *store)
{
	store_channel_t *channel = &store->reader;

	if (store->listed && !store->watching)
		return;
	medlar_buf_reset(&channel->call);
	if (store->listed) {
		store->calls->watch(store->mirror->revision, WATCH_WAIT,
				    &channel->call);
		call(channel, WATCH_WAIT + CALL_TIMEOUT);
	} else {
		store->calls->list(medlar_str_from(store->page.last_key),
				   &channel->call);
		call(channel, CALL_TIMEOUT);
	}
}

static void keep_done(store_t *store, unsigned status, medlar_str_t body)
{
	store_channel_t *channel = &store->keeper;

	if (store->entry == STORE_ENTRY_LEAVING)
		return;
	if (status == STATUS_NOT_FOUND) {
		store->entry = STORE_ENTRY_NO_LEASE;
		schedule(channel, BACKOFF_MIN);
		return;
	}
	if (status != STATUS_OK) {
		schedule(channel, backoff(channel));
		return;
	}
	if (store->entry == STORE_ENTRY_NO_LEASE) {
		if (store->calls->read_lease(body, &store->lease)) {
			schedule(channel, BACKOFF_MAX);
			return;
		}
		store->entry = STORE_ENTRY_UNWRITTEN;
		keep_next(store);
		return;
	}
	store->entry = STORE_ENTRY_WRITTEN;
	schedule(channel, LEASE_RENEW);
}

static void keep_next(store_t *store)
{
	store_channel_t *channel = &store->keeper;

	medlar_buf_reset(&channel->call);
	if (store->entry == STORE_ENTRY_LEAVING)
		return;
	if (store->entry == STORE_ENTRY_NO_LEASE)
		store->calls->grant(LEASE_TTL, &channel->call);
	else if (store->entry == STORE_ENTRY_UNWRITTEN)
		store->calls->put(medlar_buf_str(&store->key),
				  medlar_buf_str(&store->value), store->lease,
				  &channel->call);
	else
		store->calls->keep(store->lease, &channel->call);
	call(channel, CALL_TIMEOUT);
}

static void channel_init(store_channel_t *channel, store_t *store,
			 void (*next)(store_t *),
			 void (*done)(store_t *, unsigned, medlar_str_t))
{
	*channel = (store_channel_t){ .store = store,
				      .next = next,
				      .done = done };
	medlar_buf_init(&channel->call);
	medlar_timer_init(&channel->timer, on_timer, channel);
}

/**
 * store_init() - prepare the client
 * @store: memory of the caller
 * @loop: loop that serves it
 * @log: told of outages
 * @stats: counters
 * @calls: protocol
 * @address: of the store
 * @mirror: fed by lists and watches
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
			    .watching = true,
			    .heard = loop->now };
	medlar_buf_init(&store->key);
	medlar_buf_init(&store->value);
	channel_init(&store->reader, store, read_next, read_done);
	channel_init(&store->keeper, store, keep_next, keep_done);
}

/**
 * store_start() - read the store, and keep an entry in it
 * @store: an initialised client
 * @key: key of the own entry
 * @value: its value
 */
void store_start(store_t *store, medlar_str_t key, medlar_str_t value)
{
	medlar_buf_add(&store->key, key);
	medlar_buf_add(&store->value, value);
	read_next(store);
	schedule(&store->keeper, BACKOFF_MIN);
}

/**
 * store_watch() - watch the store, or leave that to other instances
 * @store: client
 * @watching: whether to watch; a watch that is under way is let end
 */
void store_watch(store_t *store, bool watching)
{
	bool idle = !store->reader.waiting && store->reader.timer.slot == 0;

	store->watching = watching;
	if (watching && idle)
		read_next(store);
}

/**
 * store_entry_lost() - the own entry has vanished from the store
 * @store: client; writes it again
 */
void store_entry_lost(store_t *store)
{
	if (store->entry != STORE_ENTRY_WRITTEN || store->keeper.waiting)
		return;
	store->entry = STORE_ENTRY_NO_LEASE;
	schedule(&store->keeper, BACKOFF_MIN);
}

/**
 * store_leave() - take the own entry out of the store
 * @store: client
 */
void store_leave(store_t *store)
{
	bool written = store->entry >= STORE_ENTRY_UNWRITTEN;

	if (store->entry == STORE_ENTRY_LEAVING)
		return;
	store->entry = STORE_ENTRY_LEAVING;
	if (!written || store->down_since || store->keeper.waiting)
		return;
	medlar_buf_reset(&store->keeper.call);
	store->calls->drop(store->lease, &store->keeper.call);
	call(&store->keeper, CALL_TIMEOUT);
}

static void channel_finish(store_channel_t *channel)
{
	medlar_timer_clear(channel->store->loop->client, &channel->timer);
	hang_up(channel);
	medlar_buf_finish(&channel->call);
}

/**
 * store_finish() - hang up
 * @store: an initialised client
 */
void store_finish(store_t *store)
{
	channel_finish(&store->reader);
	channel_finish(&store->keeper);
	medlar_buf_finish(&store->key);
	medlar_buf_finish(&store->value);
}
