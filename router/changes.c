/**
 * DOC: replication of store changes between instances
 *
 * An instance whose mirror is behind fetches the missing changes from a peer
 * over HTTP, as a gossip_changes encoded with XDR.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "router/peers_internal.h"

/*
 * How long a peer must be ahead before this instance fetches its changes, if it
 * is the first to watch the store and if it is not.
 */
#define BEHIND_MAX_LEADER_MS 600
#define BEHIND_MAX_MS 0
#define FETCH_TIMEOUT_MS MEDLAR_SECOND
/* One that did not answer is asked again after this time if there are others. */
#define SOURCE_RETRY_MS (5 * MEDLAR_SECOND)
#define CHANGES_BYTES_MAX ((size_t)32 << 20)
#define HEAD_BYTES_MAX ((size_t)4096)
/* Bounds the memory for answers; who is refused asks another instance. */
#define CONNECTIONS_MAX 16

static const char changes_path[] = "/changes?after=";
static const char epoch_parameter[] = "&epoch=";
/* Two numbers and a name. */
#define REQUEST_TARGET_MAX 64

static void append_change(const store_item_t *item, void *data)
{
	gossip_changes *changes = data;

	changes->entries
		.entries_val[changes->entries.entries_len++] = (gossip_entry){
		.key = { (u_int)item->key.len, (char *)item->key.ptr },
		.value = { (u_int)item->value.len, (char *)item->value.ptr },
		.revision = item->position.revision,
		.gone = item->deleted,
	};
}

/* What an instance serves to another one. */
typedef struct changes_answer {
	gossip_changes changes;
	gossip_epoch epoch;
} changes_answer_t;

static bool_t xdr_answer(XDR *xdr, changes_answer_t *answer)
{
	return xdr_gossip_changes(xdr, &answer->changes) &&
	       xdr_gossip_epoch(xdr, &answer->epoch);
}

static void send_changes(h1_conn_t *conn, changes_answer_t *answer)
{
	size_t size = xdr_sizeof((xdrproc_t)xdr_answer, answer);
	char *bytes = malloc(size);
	bool ok = false;
	XDR xdr;

	if (bytes) {
		xdrmem_create(&xdr, bytes, (unsigned)size, XDR_ENCODE);
		ok = xdr_answer(&xdr, answer);
		XDR_DESTROY(&xdr);
	}
	h1_conn_answer(conn, ok ? 200 : 503, (medlar_str_t){ 0 },
		       (medlar_str_t){ bytes, ok ? size : 0 });
	free(bytes);
}

static void answer_changes_request(h1_conn_t *conn, const mirror_t *mirror,
				   store_position_t after)
{
	changes_answer_t answer = {
		.changes = { .after = after.revision,
			     .revision = mirror->position.revision },
		.epoch = { .epoch = mirror->position.epoch },
	};
	gossip_changes *changes = &answer.changes;

	if (after.revision < mirror->complete_after ||
	    after.epoch != mirror->position.epoch)
		changes->after = 0;
	changes->entries.entries_val = calloc(mirror->len + MIRROR_TOMBSTONES,
					      sizeof(gossip_entry));
	if (!changes->entries.entries_val) {
		h1_conn_answer_status(conn, 503);
		return;
	}
	(void)mirror_visit_changes(mirror, changes->after, append_change,
				   changes);
	send_changes(conn, &answer);
	free(changes->entries.entries_val);
}

/* An instance of an earlier version names no epoch: it knows that of the store. */
static store_position_t parse_position(medlar_str_t text,
				       const mirror_t *mirror)
{
	store_position_t position = { .epoch = mirror->position.epoch };
	char copy[REQUEST_TARGET_MAX];
	char *at;

	(void)snprintf(copy, sizeof(copy), "%.*s", (int)text.len, text.ptr);
	position.revision = strtoull(copy, &at, 10);
	if (strncmp(at, epoch_parameter, strlen(epoch_parameter)) == 0)
		position.epoch = strtoull(at + strlen(epoch_parameter), NULL,
					  10);
	return position;
}

static void on_request(h1_conn_t *conn, void *data)
{
	const peers_t *peers = data;
	medlar_str_t target = h1_message_target(&conn->parser.message);
	size_t path_len = sizeof(changes_path) - 1;

	if (target.len > path_len &&
	    memcmp(target.ptr, changes_path, path_len) == 0)
		answer_changes_request(
			conn, peers->mirror,
			parse_position((medlar_str_t){ target.ptr + path_len,
						       target.len - path_len },
				       peers->mirror));
	else
		h1_conn_answer_status(conn, 404);
}

static const h1_handler_t changes_handler = { .request = on_request };

/* Cancels the fetch in progress, if there is one. */
static void end_fetch(peers_t *peers)
{
	peer_instance_t *source = peers_find_by_hash(peers, peers->source_hash);

	if (peers->fetching && source)
		source->fetch_failed_at = peers->loop->now;
	peers->source_hash = 0;
	medlar_timer_clear(peers->loop->client, &peers->fetch_timer);
	if (peers->fetching)
		h1_client_finish(&peers->changes_client);
	peers->fetching = false;
}

/* Whether changes of a position are of use to this instance. */
static bool are_wanted(const peers_t *peers, const gossip_changes *changes,
		       store_position_t position)
{
	const mirror_t *mirror = peers->mirror;
	int order = position_compare(position, mirror->position);

	if (!peers->events->can_apply_changes(peers->data))
		return false;
	if (changes->after == 0)
		return order > 0 || (peers->merging &&
				     position.epoch == mirror->position.epoch);
	return order > 0 && position.epoch == mirror->position.epoch &&
	       changes->after <= mirror->position.revision;
}

static void apply_entries(mirror_t *mirror, const gossip_changes *changes,
			  uint64_t epoch)
{
	for (u_int i = 0; i < changes->entries.entries_len; i++) {
		const gossip_entry *entry = &changes->entries.entries_val[i];
		const store_item_t item = {
			.key = { entry->key.key_val, entry->key.key_len },
			.value = { entry->value.value_val,
				   entry->value.value_len },
			.position = { epoch, entry->revision },
			.deleted = entry->gone,
			.withdrawn = entry->gone && entry->value.value_len,
		};

		mirror_apply(mirror, &item);
	}
}

static void apply_changes(peers_t *peers, const gossip_changes *changes,
			  uint64_t epoch)
{
	const store_position_t position = { epoch, changes->revision };
	mirror_t *mirror = peers->mirror;
	bool is_full_copy = changes->after == 0;
	bool is_ahead;

	peers->events->epoch(epoch, peers->data);
	if (!are_wanted(peers, changes, position))
		return;
	is_ahead = position_compare(position, mirror->position) > 0;
	LOG_LINE(peers->log, LOG_LEVEL_INFO, "changes",
		 MEDLAR_NUM("revision", changes->revision),
		 MEDLAR_NUM("known", mirror->position.revision),
		 MEDLAR_NUM("epoch", epoch),
		 MEDLAR_NUM("entries", changes->entries.entries_len));
	peers->stats->counts[STAT_CHANGES_TAKEN]++;
	if (is_full_copy)
		peers->merged_epoch = epoch;
	if (is_full_copy && is_ahead)
		mirror_list_begin(mirror);
	apply_entries(mirror, changes, epoch);
	if (is_full_copy && is_ahead)
		mirror_list_end(mirror, position);
	else if (is_ahead)
		mirror_advance(mirror, changes->revision);
	peers_spread_news(peers);
}

static void decode_changes(peers_t *peers, medlar_str_t body)
{
	gossip_changes changes = { 0 };
	gossip_epoch epoch = { .epoch = peers->mirror->position.epoch };
	XDR xdr;

	if (body.len == 0)
		return;
	xdrmem_create(&xdr, (char *)body.ptr, (unsigned)body.len, XDR_DECODE);
	if (xdr_gossip_changes(&xdr, &changes)) {
		/* Instances of earlier versions tell no epoch. */
		(void)xdr_gossip_epoch(&xdr, &epoch);
		apply_changes(peers, &changes, epoch.epoch);
	}
	xdr_free((xdrproc_t)xdr_gossip_changes, (char *)&changes);
	XDR_DESTROY(&xdr);
}

static void on_fetch_ready(h1_client_t *client, void *data)
{
	const peers_t *peers = data;
	medlar_buf_t request;

	medlar_buf_init(&request);
	medlar_buf_printf(&request,
			  "GET %s%" PRIu64 "%s%" PRIu64
			  " HTTP/1.1\r\nHost: peer\r\n\r\n",
			  changes_path,
			  peers->merging ? 0 : peers->mirror->position.revision,
			  epoch_parameter, peers->mirror->position.epoch);
	h1_client_send(client, medlar_buf_str(&request), (medlar_str_t){ 0 },
		       false);
	medlar_buf_finish(&request);
}

static void log_bad_status(const peers_t *peers)
{
	const h1_parser_t *parser = &peers->changes_client.parser;

	if (parser->error != H1_BAD_STATUS)
		return;
	peers->stats->counts[STAT_BAD_STATUSES]++;
	LOG_LINE(peers->log, LOG_LEVEL_WARNING, "bad_status",
		 MEDLAR_TEXT("from", MEDLAR_STR("peer")),
		 MEDLAR_TEXT("status", h1_parser_status_code(parser)));
}

static void on_fetch_done(h1_client_t *client, h1_end_t end, void *data)
{
	peers_t *peers = data;

	log_bad_status(peers);
	if (end == H1_END_REPLY && client->parser.message.status == 200) {
		peers->source_hash = 0;
		decode_changes(peers,
			       medlar_buf_str(&client->parser.message.body));
	}
	(void)medlar_timer_set(peers->loop->client, &peers->fetch_timer,
			       peers->loop->now);
}

static const h1_client_events_t fetch_events = {
	.ready = on_fetch_ready,
	.done = on_fetch_done,
};

static void on_fetch_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	end_fetch(data);
}

static bool is_ahead(const peers_t *peers, const peer_instance_t *peer)
{
	return position_compare(peer->position, peers->mirror->position) > 0;
}

/* An instance that is ahead, and has not just failed to send its changes. */
static bool is_sound_source(const peers_t *peers, const peer_instance_t *peer)
{
	return is_ahead(peers, peer) &&
	       (!peer->fetch_failed_at ||
		peers->loop->now - peer->fetch_failed_at > SOURCE_RETRY_MS);
}

static bool is_near_source(const peers_t *peers, const peer_instance_t *peer)
{
	return is_ahead(peers, peer) && peer_is_near(peers, peer);
}

/* Whether to fetch from @peer rather than from @best. */
static bool is_better_source(const peers_t *peers, const peer_instance_t *peer,
			     const peer_instance_t *best)
{
	if (is_sound_source(peers, peer) != is_sound_source(peers, best))
		return is_sound_source(peers, peer);
	if (is_near_source(peers, peer) != is_near_source(peers, best))
		return is_near_source(peers, peer);
	if (position_compare(peer->position, best->position))
		return position_compare(peer->position, best->position) > 0;
	return medlar_str_hash(medlar_str_from(peer->name), peers->own_hash) >
	       medlar_str_hash(medlar_str_from(best->name), peers->own_hash);
}

/**
 * changes_source() - choose the instance to fetch changes from
 * @peers: the other instances
 *
 * Instances in the own availability zone come first if they are ahead, even of one
 * that is further: at a start of everything all would fetch from that one. Those
 * with the same revision are ranked by a hash that differs between the instances
 * that choose, so that the fetches are spread over them. One that has just failed to
 * answer comes last, as its messages may arrive while its connections do not.
 *
 * Return: a live instance, or NULL if no other instance is live.
 */
const peer_instance_t *changes_source(const peers_t *peers)
{
	const peer_instance_t *best = NULL;
	const peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer_is_live(peers, peer) &&
		    (!best || is_better_source(peers, peer, best)))
			best = peer;
	return best;
}

/*
 * An instance that knows more than the store, which came back from an older copy, if
 * this one has read the store only: it may have started since.
 */
static const peer_instance_t *merge_source(const peers_t *peers)
{
	const mirror_t *mirror = peers->mirror;
	const peer_instance_t *peer;

	if (mirror->position.revision == 0 ||
	    peers->merged_epoch == mirror->position.epoch)
		return NULL;
	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer->beyond_store &&
		    peer->beyond_store != mirror_beyond_store(mirror) &&
		    peer->position.epoch == mirror->position.epoch &&
		    peer_is_live(peers, peer))
			return peer;
	return NULL;
}

/**
 * changes_catch_up() - start to fetch changes if a peer has been ahead too long
 * @peers: the other instances
 *
 * Does nothing while another fetch is in progress. Failures are retried on the
 * next call.
 */
void changes_catch_up(peers_t *peers)
{
	static const h1_limits_t limits = { HEAD_BYTES_MAX, CHANGES_BYTES_MAX,
					    NULL };
	const peer_instance_t *source;
	medlar_time_t now = peers->loop->now;
	medlar_time_t behind_max = peers->leads_watchers ? BEHIND_MAX_LEADER_MS
							 : BEHIND_MAX_MS;

	if (peers->fetching)
		return;
	source = changes_source(peers);
	peers->merging = false;
	if (!source || !is_ahead(peers, source)) {
		peers->behind_since = 0;
		source = merge_source(peers);
		peers->merging = source != NULL;
	}
	if (!source)
		return;
	if (!peers->behind_since)
		peers->behind_since = now;
	if (!peers->merging && now - peers->behind_since < behind_max)
		return;
	peers->source_hash = source->hash;
	peers->fetching = true;
	(void)medlar_timer_set(peers->loop->client, &peers->fetch_timer,
			       now + FETCH_TIMEOUT_MS);
	if (h1_client_open(&peers->changes_client, peers->loop,
			   &source->peer_address, limits, &fetch_events, peers))
		end_fetch(peers);
}

/**
 * changes_open() - start to serve changes to other instances
 * @peers: the other instances
 * @own: address to listen on
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int changes_open(peers_t *peers, const struct sockaddr_in *own)
{
	static const h1_server_options_t options = {
		.message = { HEAD_BYTES_MAX, HEAD_BYTES_MAX },
		.receive_ms = MEDLAR_SECOND,
		.idle_ms = MEDLAR_SECOND,
	};

	medlar_timer_init(&peers->fetch_timer, on_fetch_timer, peers);
	return h1_server_init(&peers->changes_server, peers->loop,
			      (const struct sockaddr *)own, &options,
			      CONNECTIONS_MAX, &changes_handler, peers);
}

/**
 * changes_close() - stop serving changes and cancel the fetch in progress
 * @peers: the other instances
 */
void changes_close(peers_t *peers)
{
	end_fetch(peers);
	h1_server_finish(&peers->changes_server);
}
