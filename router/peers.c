/**
 * DOC: the other instances
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "medlard/clock.h"
#include "router/peers.h"

#define DATAGRAM_MAX 2048
#define TELL_EVERY 220
/* Others that are told in one round; more take turns. */
#define TELL_MAX 8
/* Turns without a message after which an instance counts as down. */
#define SILENT_TURNS 3
/* An instance that is not listed is forgotten after this silence, ms. */
#define FORGET_AFTER (15 * MEDLAR_SECOND)
/* How long another one must know more before its snapshot is taken, ms. */
#define BEHIND_MAX 600
#define BEHIND_MAX_UNWATCHED 0
/* Instances that watch the store for all. */
#define WATCHERS 4
/* A watcher that has not heard the store for so long is of no use, ms. */
#define WATCHER_SILENT 3500
#define FETCH_TIMEOUT MEDLAR_SECOND
#define CHANGES_MAX ((size_t)32 << 20)
#define HEAD_MAX ((size_t)4096)
#define RECEIVES_PER_TURN 64

static const char changes_path[] = "/changes?after=";

static peer_instance_t *find(const peers_t *peers, const char *name)
{
	peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (strcmp(peer->name, name) == 0)
		return peer;
	return NULL;
}

static peer_instance_t *find_or_add(peers_t *peers, const char *name)
{
	peer_instance_t *peer = find(peers, name);

	if (peer || strcmp(name, peers->settings->instance) == 0)
		return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	(void)snprintf(peer->name, sizeof(peer->name), "%s", name);
	TAILQ_INSERT_TAIL(&peers->list, peer, link);
	peers->len++;
	return peer;
}

static void forget(peers_t *peers, peer_instance_t *peer)
{
	TAILQ_REMOVE(&peers->list, peer, link);
	peers->len--;
	free(peer);
}

static medlar_time_t silence_max(const peers_t *peers)
{
	size_t rounds = (peers->len + TELL_MAX - 1) / TELL_MAX;

	return (medlar_time_t)(SILENT_TURNS * rounds) * TELL_EVERY +
	       TELL_EVERY / 2;
}

/**
 * peer_is_live() - tell whether an instance was heard lately
 * @peers: the other instances
 * @peer: one of them
 *
 * Return: whether it was.
 */
bool peer_is_live(const peers_t *peers, const peer_instance_t *peer)
{
	return peer->heard &&
	       peers->loop->now - peer->heard <= silence_max(peers);
}

/**
 * peers_instances() - how many instances share the replicas
 * @peers: the other instances
 *
 * Return: this one, and all that are listed or were heard lately.
 */
unsigned peers_instances(const peers_t *peers)
{
	const size_t least = peers->seeds_len;

	return 1 + (unsigned)(peers->len > least ? peers->len : least);
}

/**
 * peers_entry() - value of an instance's entry in the store
 * @settings: own addresses
 * @out: appended to: address for callers and address for peers
 */
void peers_entry(const router_settings_t *settings, medlar_buf_t *out)
{
	medlar_buf_printf(out, "%s %s", settings->callers, settings->peers);
}

/**
 * peers_listed() - the store holds the entry of an instance
 * @peers: the other instances
 * @name: its name
 * @value: written by peers_entry()
 */
void peers_listed(peers_t *peers, medlar_str_t name, medlar_str_t value)
{
	char text[GOSSIP_NAME_MAX + 1];
	const char *space = value.len ? memchr(value.ptr, ' ', value.len)
				      : NULL;
	size_t first = space ? (size_t)(space - value.ptr) : 0;
	struct sockaddr_in address = { 0 };
	peer_instance_t *peer;

	if (!space || name.len > GOSSIP_NAME_MAX ||
	    first > GOSSIP_ADDRESS_MAX ||
	    router_address_parse(
		    (medlar_str_t){ space + 1, value.len - first - 1 },
		    &address))
		return;
	(void)snprintf(text, sizeof(text), "%.*s", (int)name.len, name.ptr);
	peer = find_or_add(peers, text);
	if (!peer)
		return;
	peer->listed = true;
	peer->address = address;
	(void)snprintf(peer->callers, sizeof(peer->callers), "%.*s", (int)first,
		       value.ptr);
}

/**
 * peers_unlisted() - the entry of an instance has ended
 * @peers: the other instances
 * @name: its name
 */
void peers_unlisted(peers_t *peers, medlar_str_t name)
{
	peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (medlar_str_equal(medlar_str_from(peer->name), name))
		peer->listed = false;
}

static void catch_up(peers_t *peers);

static void init_call(struct rpc_msg *call, uint32_t xid)
{
	*call = (struct rpc_msg){ .rm_xid = xid, .rm_direction = CALL };
	call->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call->rm_call.cb_prog = GOSSIP_PROGRAM;
	call->rm_call.cb_vers = GOSSIP_VERSION;
	call->rm_call.cb_proc = GOSSIP_TELL;
	call->rm_call.cb_cred = _null_auth;
	call->rm_call.cb_verf = _null_auth;
}

/* An age that fits the message; 0 stands for never. */
static uint32_t age_of(const peers_t *peers, medlar_time_t at)
{
	medlar_time_t age = peers->loop->now - at + 1;

	if (at == 0)
		return 0;
	return age > INT32_MAX ? INT32_MAX : (uint32_t)age;
}

static medlar_time_t time_of(const peers_t *peers, uint32_t age)
{
	return age ? peers->loop->now - age + 1 : 0;
}

static size_t encode(peers_t *peers, char *bytes, size_t size)
{
	const router_settings_t *settings = peers->settings;
	gossip_message message = {
		.name = (char *)settings->instance,
		.zone = (char *)settings->zone,
		.callers = (char *)settings->callers,
		.peers = (char *)settings->peers,
		.start = peers->start,
		.seq = ++peers->seq,
		.ready = peers->ready,
		.leaving = peers->leaving,
		.revision = peers->mirror->revision,
		.near = peers->near,
		.watching = peers->store.watching,
		.store_age = age_of(peers, peers->store.heard),
		.outage_age = age_of(peers, peers->store.back),
		.convicted = { peers->convicted_len, peers->convicted },
	};
	struct rpc_msg call;
	XDR xdr;
	size_t len = 0;

	init_call(&call, peers->seq);
	xdrmem_create(&xdr, bytes, (unsigned)size, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && xdr_gossip_message(&xdr, &message))
		len = XDR_GETPOS(&xdr);
	XDR_DESTROY(&xdr);
	return len;
}

static void send_to(peers_t *peers, const struct sockaddr_in *address,
		    const char *bytes, size_t len)
{
	if (address->sin_port == 0)
		return;
	/* A message that is lost is made good by the next one. */
	(void)sendto(peers->fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL,
		     (const struct sockaddr *)address, sizeof(*address));
	peers->stats->counts[STAT_GOSSIP_SENT]++;
}

static bool is_known(const peers_t *peers, const struct sockaddr_in *address)
{
	const peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (peer->address.sin_addr.s_addr == address->sin_addr.s_addr)
		return true;
	return false;
}

static void tell(peers_t *peers, bool all)
{
	char bytes[DATAGRAM_MAX];
	size_t len = encode(peers, bytes, sizeof(bytes));
	const peer_instance_t *peer;
	size_t at = 0;

	if (len == 0)
		return;
	TAILQ_FOREACH(peer, &peers->list, link)
	{
		size_t turn = (at++ + peers->len - peers->next % peers->len) %
			      peers->len;

		if (all || turn < TELL_MAX)
			send_to(peers, &peer->address, bytes, len);
	}
	peers->next += TELL_MAX;
	for (size_t i = 0; i < peers->seeds_len; i++)
		if (!is_known(peers, &peers->seeds[i]))
			send_to(peers, &peers->seeds[i], bytes, len);
}

/**
 * peers_tell() - tell all others at once how this instance is
 * @peers: the other instances
 */
void peers_tell(peers_t *peers)
{
	tell(peers, true);
}

static void take_message(peers_t *peers, const gossip_message *message)
{
	peer_instance_t *peer = find_or_add(peers, message->name);
	medlar_time_t now = peers->loop->now;

	/* Starts are told apart, not ordered: the time of day may jump. */
	if (!peer ||
	    (message->start == peer->start && message->seq <= peer->seq))
		return;
	if (router_address_parse(medlar_str_from(message->peers),
				 &peer->address))
		return;
	if (!peer_is_live(peers, peer) || peer->leaving != message->leaving)
		LOG_LINE(peers->log, LOG_LEVEL_NOTICE, "peer",
			 MEDLAR_TEXT("name", medlar_str_from(peer->name)),
			 MEDLAR_TEXT("state", message->leaving
						      ? MEDLAR_STR("leaving")
						      : MEDLAR_STR("live")),
			 MEDLAR_NUM("silent_ms",
				    peer->heard ? now - peer->heard : -1));
	(void)snprintf(peer->callers, sizeof(peer->callers), "%s",
		       message->callers);
	peer->start = message->start;
	peer->seq = message->seq;
	peer->ready = message->ready;
	peer->leaving = message->leaving;
	peer->revision = message->revision;
	(void)snprintf(peer->zone, sizeof(peer->zone), "%s", message->zone);
	peer->near = message->near;
	peer->watching = message->watching;
	peer->store_heard = time_of(peers, message->store_age);
	peer->store_back = time_of(peers, message->outage_age);
	peer->heard = now;
	if (!peers->store.watching)
		catch_up(peers);
	for (unsigned i = 0; i < message->convicted.convicted_len; i++)
		suspects_convict(peers->suspects,
				 message->convicted.convicted_val[i], now);
}

static bool is_our_call(const struct rpc_msg *call)
{
	return call->rm_direction == CALL &&
	       call->rm_call.cb_prog == GOSSIP_PROGRAM &&
	       call->rm_call.cb_vers == GOSSIP_VERSION &&
	       call->rm_call.cb_proc == GOSSIP_TELL;
}

static void decode(peers_t *peers, char *bytes, size_t len)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	gossip_message message = { 0 };
	struct rpc_msg call = { 0 };
	XDR xdr;

	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdr, bytes, (unsigned)len, XDR_DECODE);
	if (xdr_callmsg(&xdr, &call) && is_our_call(&call) &&
	    xdr_gossip_message(&xdr, &message)) {
		peers->stats->counts[STAT_GOSSIP_RECEIVED]++;
		take_message(peers, &message);
	}
	xdr_free((xdrproc_t)xdr_gossip_message, (char *)&message);
	XDR_DESTROY(&xdr);
}

static void on_datagram(uint32_t events, void *data)
{
	peers_t *peers = data;
	char bytes[DATAGRAM_MAX];

	(void)events;
	for (int i = 0; i < RECEIVES_PER_TURN; i++) {
		ssize_t got = recv(peers->fd, bytes, sizeof(bytes),
				   MSG_DONTWAIT);

		if (got <= 0)
			return;
		decode(peers, bytes, (size_t)got);
	}
}

static void add_change(const store_item_t *item, void *data)
{
	gossip_changes *changes = data;

	changes->entries
		.entries_val[changes->entries.entries_len++] = (gossip_entry){
		.key = { (u_int)item->key.len, (char *)item->key.ptr },
		.value = { (u_int)item->value.len, (char *)item->value.ptr },
		.revision = item->revision,
		.gone = item->gone,
	};
}

static void answer_changes(h1_conn_t *conn, gossip_changes *changes)
{
	size_t size = xdr_sizeof((xdrproc_t)xdr_gossip_changes, changes);
	char *bytes = malloc(size);
	bool ok = false;
	XDR xdr;

	if (bytes) {
		xdrmem_create(&xdr, bytes, (unsigned)size, XDR_ENCODE);
		ok = xdr_gossip_changes(&xdr, changes);
		XDR_DESTROY(&xdr);
	}
	h1_conn_answer(conn, ok ? 200 : 503, (medlar_str_t){ 0 },
		       (medlar_str_t){ bytes, ok ? size : 0 });
	free(bytes);
}

static void give_changes(h1_conn_t *conn, const mirror_t *mirror,
			 uint64_t after)
{
	gossip_changes changes = { .after = after,
				   .revision = mirror->revision };

	if (after < mirror->complete_after)
		changes.after = 0;
	changes.entries.entries_val = calloc(mirror->len + MIRROR_TOMBSTONES,
					     sizeof(gossip_entry));
	if (!changes.entries.entries_val) {
		h1_conn_answer(conn, 503, (medlar_str_t){ 0 },
			       (medlar_str_t){ 0 });
		return;
	}
	(void)mirror_changes(mirror, changes.after, add_change, &changes);
	answer_changes(conn, &changes);
	free(changes.entries.entries_val);
}

static void on_request(h1_conn_t *conn, void *data)
{
	const peers_t *peers = data;
	medlar_str_t target = h1_message_target(&conn->parser.message);
	size_t path_len = sizeof(changes_path) - 1;

	if (target.len > path_len &&
	    memcmp(target.ptr, changes_path, path_len) == 0)
		give_changes(conn, peers->mirror,
			     strtoull(target.ptr + path_len, NULL, 10));
	else
		h1_conn_answer(conn, 404, (medlar_str_t){ 0 },
			       (medlar_str_t){ 0 });
}

static void on_gone(h1_conn_t *conn, void *data)
{
	(void)conn;
	(void)data;
}

static const h1_handler_t handler = { .request = on_request, .gone = on_gone };

static void end_fetch(peers_t *peers)
{
	medlar_timer_clear(peers->loop->client, &peers->fetch_timer);
	if (peers->fetching)
		h1_client_finish(&peers->client);
	peers->fetching = false;
}

static void apply_changes(peers_t *peers, const gossip_changes *changes)
{
	mirror_t *mirror = peers->mirror;
	bool all = changes->after == 0;

	if (changes->revision <= mirror->revision ||
	    changes->after > mirror->revision || !peers->can_take(peers->data))
		return;
	LOG_LINE(peers->log, LOG_LEVEL_INFO, "changes",
		 MEDLAR_NUM("revision", changes->revision),
		 MEDLAR_NUM("known", mirror->revision),
		 MEDLAR_NUM("entries", changes->entries.entries_len));
	peers->stats->counts[STAT_CHANGES_TAKEN]++;
	if (all)
		mirror_list_begin(mirror);
	for (u_int i = 0; i < changes->entries.entries_len; i++) {
		const gossip_entry *entry = &changes->entries.entries_val[i];
		const store_item_t item = {
			.key = { entry->key.key_val, entry->key.key_len },
			.value = { entry->value.value_val,
				   entry->value.value_len },
			.revision = entry->revision,
			.gone = entry->gone,
		};

		mirror_apply(mirror, &item);
	}
	if (all)
		mirror_list_end(mirror, changes->revision);
	mirror_advance(mirror, changes->revision);
}

static void take_changes(peers_t *peers, medlar_str_t body)
{
	gossip_changes changes = { 0 };
	XDR xdr;

	if (body.len == 0)
		return;
	xdrmem_create(&xdr, (char *)body.ptr, (unsigned)body.len, XDR_DECODE);
	if (xdr_gossip_changes(&xdr, &changes))
		apply_changes(peers, &changes);
	xdr_free((xdrproc_t)xdr_gossip_changes, (char *)&changes);
	XDR_DESTROY(&xdr);
}

static void fetch_ready(h1_client_t *client, void *data)
{
	const peers_t *peers = data;
	medlar_buf_t call;

	medlar_buf_init(&call);
	medlar_buf_printf(&call,
			  "GET %s%" PRIu64 " HTTP/1.1\r\nHost: peer\r\n\r\n",
			  changes_path, peers->mirror->revision);
	h1_client_send(client, medlar_buf_str(&call), (medlar_str_t){ 0 },
		       false);
	medlar_buf_finish(&call);
}

static void fetch_done(h1_client_t *client, h1_end_t end, void *data)
{
	peers_t *peers = data;

	if (end == H1_END_REPLY && client->parser.message.status == 200)
		take_changes(peers,
			     medlar_buf_str(&client->parser.message.body));
	(void)medlar_timer_set(peers->loop->client, &peers->fetch_timer,
			       peers->loop->now);
}

static void fetch_lost(h1_client_t *client, void *data)
{
	(void)client;
	(void)data;
}

static const h1_client_events_t fetch_events = {
	.ready = fetch_ready,
	.done = fetch_done,
	.lost = fetch_lost,
};

static void on_fetch_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	(void)client;
	(void)timer;
	(void)now;
	end_fetch(data);
}

static const peer_instance_t *best_informed(const peers_t *peers)
{
	const peer_instance_t *best = NULL;
	const peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (peer_is_live(peers, peer) &&
	    (!best || peer->revision > best->revision))
		best = peer;
	return best;
}

/* Takes changes from another one that knows more. */
static void catch_up(peers_t *peers)
{
	static const h1_limits_t limits = { HEAD_MAX, CHANGES_MAX };
	const peer_instance_t *best = best_informed(peers);
	medlar_time_t now = peers->loop->now;
	medlar_time_t most = peers->store.watching ? BEHIND_MAX
						   : BEHIND_MAX_UNWATCHED;

	if (!best || best->revision <= peers->mirror->revision) {
		peers->behind_since = 0;
		return;
	}
	if (!peers->behind_since)
		peers->behind_since = now;
	if (peers->fetching || now - peers->behind_since < most)
		return;
	peers->fetching = true;
	(void)medlar_timer_set(peers->loop->client, &peers->fetch_timer,
			       now + FETCH_TIMEOUT);
	if (h1_client_open(&peers->client, peers->loop, &best->address, limits,
			   &fetch_events, peers))
		end_fetch(peers);
}

static void forget_silent(peers_t *peers)
{
	peer_instance_t *peer = TAILQ_FIRST(&peers->list);

	while (peer) {
		peer_instance_t *next = TAILQ_NEXT(peer, link);

		if (!peer->listed &&
		    peers->loop->now - peer->heard > FORGET_AFTER)
			forget(peers, peer);
		peer = next;
	}
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	peers_t *peers = data;

	tell(peers, false);
	catch_up(peers);
	forget_silent(peers);
	(void)medlar_timer_set(client, timer, now + TELL_EVERY);
}

/**
 * peers_should_watch() - tell whether this instance has to watch the store
 * @peers: the other instances
 *
 * A few instances, the first ones by name, watch for all; one that does not
 * hear the store is not counted.
 *
 * Return: whether it has to.
 */
bool peers_should_watch(const peers_t *peers)
{
	const peer_instance_t *peer;
	unsigned before = 0;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (peer_is_live(peers, peer) && peer->watching && !peer->leaving &&
	    peers->loop->now - peer->store_heard < WATCHER_SILENT &&
	    strcmp(peer->name, peers->settings->instance) < 0)
		before++;
	return before < WATCHERS;
}

/**
 * peers_store_heard() - when any instance last had an answer of the store
 * @peers: the other instances
 *
 * Return: the time, of this instance or of one that tells it changes.
 */
medlar_time_t peers_store_heard(const peers_t *peers)
{
	const peer_instance_t *peer;
	medlar_time_t heard = peers->store.heard;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (peer_is_live(peers, peer) &&
	    peer->revision <= peers->mirror->revision &&
	    peer->store_heard > heard)
		heard = peer->store_heard;
	return heard;
}

/**
 * peers_store_back() - when an outage of the store last ended for anyone
 * @peers: the other instances
 *
 * Return: the time; the current one during an outage, 0 if there was none.
 */
medlar_time_t peers_store_back(const peers_t *peers)
{
	const peer_instance_t *peer;
	medlar_time_t back = peers->store.back;

	TAILQ_FOREACH(peer, &peers->list, link)
	if (peer_is_live(peers, peer) && peer->store_back > back)
		back = peer->store_back;
	return back;
}

/**
 * peers_convicted() - share that a request crashes replicas
 * @peers: the other instances
 * @fingerprint: of the request
 */
void peers_convicted(peers_t *peers, uint64_t fingerprint)
{
	unsigned at = peers->convicted_len;

	for (unsigned i = 0; i < peers->convicted_len; i++)
		if (peers->convicted[i] == fingerprint)
			return;
	if (at == GOSSIP_CONVICTED_MAX) {
		at--;
		memmove(peers->convicted, peers->convicted + 1,
			at * sizeof(peers->convicted[0]));
	}
	peers->convicted[at] = fingerprint;
	peers->convicted_len = at + 1;
	peers_tell(peers);
}

static void read_seeds(peers_t *peers, const struct sockaddr_in *own)
{
	const char *at = peers->settings->seeds;

	while (*at && peers->seeds_len < PEERS_SEEDS_MAX) {
		size_t len = strcspn(at, ",");
		struct sockaddr_in seed;

		if (!router_address_parse((medlar_str_t){ at, len }, &seed) &&
		    seed.sin_addr.s_addr != own->sin_addr.s_addr) {
			seed.sin_port = own->sin_port;
			peers->seeds[peers->seeds_len++] = seed;
		}
		at += len;
		at += *at == ',';
	}
}

static int open_socket(peers_t *peers, const struct sockaddr_in *own)
{
	peers->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			   0);
	if (peers->fd < 0)
		return MEDLAR_ERR_IO;
	if (bind(peers->fd, (const struct sockaddr *)own, sizeof(*own)))
		return MEDLAR_ERR_IO;
	return loop_watch(peers->loop, peers->fd, EPOLLIN, on_datagram, peers);
}

/**
 * peers_init() - listen to the other instances and speak to the seeds
 * @peers: memory of the caller
 * @loop: loop that serves them
 * @log: told of changes
 * @stats: counters
 * @settings: own addresses; must outlive @peers
 * @mirror: given to and taken from others
 * @suspects: convictions are shared
 * @can_take: tells whether a snapshot may be applied now
 * @data: passed to @can_take
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int peers_init(peers_t *peers, loop_t *loop, logger_t *log, stats_t *stats,
	       const router_settings_t *settings, mirror_t *mirror,
	       suspects_t *suspects, bool (*can_take)(void *), void *data)
{
	static const h1_server_limits_t limits = {
		.message = { HEAD_MAX, HEAD_MAX },
		.head_ms = MEDLAR_SECOND,
		.idle_ms = MEDLAR_SECOND,
	};
	struct sockaddr_in own;

	*peers = (peers_t){ .loop = loop,
			    .log = log,
			    .stats = stats,
			    .settings = settings,
			    .mirror = mirror,
			    .suspects = suspects,
			    .fd = -1,
			    .start = (uint64_t)clock_wall(),
			    .can_take = can_take,
			    .data = data };
	TAILQ_INIT(&peers->list);
	medlar_timer_init(&peers->timer, on_timer, peers);
	medlar_timer_init(&peers->fetch_timer, on_fetch_timer, peers);
	if (router_address_parse(medlar_str_from(settings->peers), &own) ||
	    open_socket(peers, &own))
		return MEDLAR_ERR_IO;
	read_seeds(peers, &own);
	if (h1_server_init(&peers->server, loop, &own, &limits, DATAGRAM_MAX,
			   &handler, peers))
		return MEDLAR_ERR_IO;
	return medlar_timer_set(loop->client, &peers->timer, loop->now);
}

/**
 * peers_finish() - hang up
 * @peers: peers, possibly ones that failed to start
 */
void peers_finish(peers_t *peers)
{
	peer_instance_t *peer;
	peer_instance_t *next;

	medlar_timer_clear(peers->loop->client, &peers->timer);
	end_fetch(peers);
	h1_server_finish(&peers->server);
	for (peer = TAILQ_FIRST(&peers->list); peer; peer = next) {
		next = TAILQ_NEXT(peer, link);
		forget(peers, peer);
	}
	if (peers->fd >= 0) {
		loop_unwatch(peers->loop, peers->fd);
		close(peers->fd);
	}
}
