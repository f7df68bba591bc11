/**
 * DOC: sending of messages to other instances
 *
 * They are ONC RPC calls without replies, over UDP.
 */
#include <sys/socket.h>

#include "router/peers_internal.h"

static void init_rpc_call(struct rpc_msg *call, uint32_t xid, uint32_t proc)
{
	*call = (struct rpc_msg){ .rm_xid = xid, .rm_direction = CALL };
	call->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call->rm_call.cb_prog = GOSSIP_PROGRAM;
	call->rm_call.cb_vers = GOSSIP_VERSION;
	call->rm_call.cb_proc = proc;
	call->rm_call.cb_cred = _null_auth;
	call->rm_call.cb_verf = _null_auth;
}

/* Converts a time to an age for the message, 1 ms or more; 0 means never. */
static uint32_t time_to_age(const peers_t *peers, medlar_time_t at)
{
	medlar_time_t age = peers->loop->now - at + 1;

	if (at == 0)
		return 0;
	return age > INT32_MAX ? INT32_MAX : (uint32_t)age;
}

/* Return: length of the encoded call, or 0 if it does not fit. */
static size_t encode_call(peers_t *peers, uint32_t proc, xdrproc_t encode,
			  void *message, char *bytes)
{
	struct rpc_msg call;
	XDR xdr;
	size_t len = 0;

	init_rpc_call(&call, peers->seq, proc);
	xdrmem_create(&xdr, bytes, DATAGRAM_BYTES_MAX, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && encode(&xdr, message))
		len = XDR_GETPOS(&xdr);
	XDR_DESTROY(&xdr);
	return len;
}

_Static_assert(SUSPECTS_RECENT_MAX <= GOSSIP_CRASHES_MAX,
	       "a message holds all recent crashes");

/* The status of this instance, and what it knows of others. */
typedef struct status {
	gossip_message *message;
	gossip_watchers watchers;
	gossip_live_peers live;
	gossip_crashes crashes;
	gossip_limits limits;
	gossip_answered answered;
	gossip_epoch epoch;
} status_t;

static bool_t xdr_status(XDR *xdr, status_t *status)
{
	return xdr_gossip_message(xdr, status->message) &&
	       xdr_gossip_watchers(xdr, &status->watchers) &&
	       xdr_gossip_live_peers(xdr, &status->live) &&
	       xdr_gossip_crashes(xdr, &status->crashes) &&
	       xdr_gossip_limits(xdr, &status->limits) &&
	       xdr_gossip_answered(xdr, &status->answered) &&
	       xdr_gossip_epoch(xdr, &status->epoch);
}

/* This instance is left out, as the message tells the same of it. */
static u_int list_watchers(const peers_t *peers, gossip_watcher *out,
			   u_int *answered_ages)
{
	const peer_instance_t *list[GOSSIP_WATCHERS_MAX];
	size_t len = contact_list_watchers(peers, list);

	for (size_t i = 0; i < len; i++) {
		out[i] = (gossip_watcher){
			.name_hash = list[i]->hash,
			.store_age = time_to_age(peers,
						 list[i]->store_last_contact),
			.revision = list[i]->contact.revision,
		};
		answered_ages[i] = time_to_age(peers, list[i]->answered_since);
	}
	return (u_int)len;
}

/* Lists the next live instances; each message names others. */
static u_int list_live_peers(peers_t *peers, gossip_live_peer *out)
{
	const peer_instance_t *peer;
	size_t index = 0;
	u_int len = 0;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (rotation_includes(&peers->live_rotation, index++,
				      peers->len) &&
		    peer_is_live(peers, peer))
			out[len++] = (gossip_live_peer){
				peer->hash, time_to_age(peers, peer->last_heard)
			};
	rotation_advance(&peers->live_rotation);
	return len;
}

static u_int list_crashes(const peers_t *peers, gossip_crash *out)
{
	crash_report_t recent[SUSPECTS_RECENT_MAX];
	size_t len = suspects_list_recent(peers->suspects, peers->loop->now,
					  recent);

	for (size_t i = 0; i < len; i++)
		out[i] = (gossip_crash){
			.request = recent[i].fingerprint,
			.replica = recent[i].replica,
			.age = time_to_age(peers, recent[i].at),
		};
	return (u_int)len;
}

static uint32_t rate_to_units(double rate)
{
	double units = RATE_UNITS * rate;

	return units < UINT32_MAX ? (uint32_t)units : UINT32_MAX;
}

static u_int list_limits(const peers_t *peers, gossip_limit *out)
{
	limit_news_t news[GOSSIP_LIMITS_MAX];
	size_t len = peers->events->list_limits(news, GOSSIP_LIMITS_MAX,
						peers->data);

	for (size_t i = 0; i < len; i++)
		out[i] = (gossip_limit){
			.replica = news[i].replica,
			.limit = (uint32_t)(LIMIT_UNITS * news[i].limit),
			.age = time_to_age(peers, news[i].said_at),
			.sent = rate_to_units(news[i].use.sent),
			.wanted = rate_to_units(news[i].use.wanted),
		};
	return (u_int)len;
}

/* Convictions by this instance that still hold. */
static u_int list_convicted(const peers_t *peers, uint64_t *out)
{
	u_int len = 0;

	for (unsigned i = 0; i < peers->convicted_len; i++)
		if (suspects_is_convicted(peers->suspects, peers->convicted[i],
					  peers->loop->now))
			out[len++] = peers->convicted[i];
	return len;
}

static size_t encode_status(peers_t *peers, char *bytes)
{
	const router_settings_t *settings = peers->settings;
	gossip_watcher watchers[GOSSIP_WATCHERS_MAX];
	u_int answered_ages[GOSSIP_WATCHERS_MAX];
	u_int watchers_len = list_watchers(peers, watchers, answered_ages);
	gossip_live_peer live_peers[GOSSIP_LIVE_PEERS_MAX];
	gossip_crash crashes[GOSSIP_CRASHES_MAX];
	gossip_limit limits[GOSSIP_LIMITS_MAX];
	uint64_t convicted[GOSSIP_CONVICTED_MAX];
	gossip_message message = {
		.name = (char *)settings->instance,
		.zone = (char *)settings->zone,
		.callers = (char *)settings->callers,
		.peers = (char *)settings->peers,
		.start = peers->incarnation,
		.seq = ++peers->seq,
		.ready = peers->ready,
		.leaving = peers->leaving,
		.revision = peers->mirror->position.revision,
		.near = peers->local_percent,
		.watching = peers->store.watching,
		.store_age = time_to_age(peers, peers->store.last_contact),
		.answered_age = time_to_age(peers, peers->store.answered_since),
		.convicted = { list_convicted(peers, convicted), convicted },
	};
	status_t status = { &message,
			    { { watchers_len, watchers } },
			    { { list_live_peers(peers, live_peers),
				live_peers } },
			    { { list_crashes(peers, crashes), crashes } },
			    { { list_limits(peers, limits), limits } },
			    { { watchers_len, answered_ages } },
			    { peers->mirror->position.epoch,
			      mirror_beyond_store(peers->mirror) } };

	return encode_call(peers, GOSSIP_TELL, (xdrproc_t)xdr_status, &status,
			   bytes);
}

static void send_datagram(peers_t *peers, const struct sockaddr_in *address,
			  const char *bytes, size_t len)
{
	if (address->sin_port == 0)
		return;
	/* A lost message needs no retry: the next one replaces it. */
	(void)sendto(peers->fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL,
		     (const struct sockaddr *)address, sizeof(*address));
	peers->stats->counts[STAT_GOSSIP_SENT]++;
}

static bool is_known_host(const peers_t *peers,
			  const struct sockaddr_in *address)
{
	const peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer->peer_address.sin_addr.s_addr ==
		    address->sin_addr.s_addr)
			return true;
	return false;
}

/* Seeds that are not yet known as instances always get the message. */
static void send_to_unknown_seeds(peers_t *peers, const char *bytes, size_t len)
{
	for (size_t i = 0; i < peers->seeds_len; i++)
		if (!is_known_host(peers, &peers->seeds[i]))
			send_datagram(peers, &peers->seeds[i], bytes, len);
}

static size_t count_near(const peers_t *peers)
{
	const peer_instance_t *peer;
	size_t count = 0;

	TAILQ_FOREACH(peer, &peers->list, link)
		count += peer_is_near(peers, peer);
	return count;
}

/*
 * Sends a datagram to the next instances in rotation: most of them in the own
 * availability zone, as traffic between zones costs more.
 */
static void send_to_next(peers_t *peers, const char *bytes, size_t len)
{
	size_t near_len = count_near(peers);
	size_t far_len = peers->len - near_len;
	const peer_instance_t *peer;
	size_t near = 0;
	size_t far = 0;

	peers->far.fanout = PEERS_FANOUT - (near_len < PEERS_FANOUT_NEAR
						    ? near_len
						    : PEERS_FANOUT_NEAR);
	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer_is_near(peers, peer)
			    ? rotation_includes(&peers->near, near++, near_len)
			    : rotation_includes(&peers->far, far++, far_len))
			send_datagram(peers, &peer->peer_address, bytes, len);
	rotation_advance(&peers->near);
	rotation_advance(&peers->far);
}

/**
 * gossip_send() - send the status of this instance to the next instances
 * @peers: the other instances
 */
void gossip_send(peers_t *peers)
{
	char bytes[DATAGRAM_BYTES_MAX];
	size_t len = encode_status(peers, bytes);

	if (len == 0)
		return;
	send_to_next(peers, bytes, len);
	send_to_unknown_seeds(peers, bytes, len);
}

/**
 * gossip_send_to_all() - send the status of this instance to all instances
 * @peers: the other instances
 */
void gossip_send_to_all(peers_t *peers)
{
	char bytes[DATAGRAM_BYTES_MAX];
	size_t len = encode_status(peers, bytes);
	const peer_instance_t *peer;

	if (len == 0)
		return;
	TAILQ_FOREACH(peer, &peers->list, link)
		send_datagram(peers, &peer->peer_address, bytes, len);
	send_to_unknown_seeds(peers, bytes, len);
}

/**
 * peers_send_report() - report a replica to its observer
 * @peers: the other instances
 * @observer: instance that observes the replica
 * @report: report of this instance
 */
void peers_send_report(peers_t *peers, const peer_instance_t *observer,
		       const replica_report_t *report)
{
	char bytes[DATAGRAM_BYTES_MAX];
	gossip_observation observation = {
		.replica = report->replica,
		.delay = (uint32_t)report->delay,
		.age = time_to_age(peers, report->at),
	};
	size_t len = encode_call(peers, GOSSIP_REPORT,
				 (xdrproc_t)xdr_gossip_observation,
				 &observation, bytes);

	if (len)
		send_datagram(peers, &observer->peer_address, bytes, len);
}

/**
 * peers_send_trial() - tell an instance about the trial of a request
 * @peers: the other instances
 * @instance: &struct peer_instance.hash of the instance; ignored if it is unknown
 * @fingerprint: fingerprint of the request
 * @kind: what is asked or told
 */
void peers_send_trial(peers_t *peers, uint64_t instance, uint64_t fingerprint,
		      gossip_trial_kind kind)
{
	const peer_instance_t *peer = peers_find_by_hash(peers, instance);
	gossip_trial trial = { fingerprint, peers->own_hash, kind };
	char bytes[DATAGRAM_BYTES_MAX];
	size_t len = encode_call(peers, GOSSIP_TRIAL,
				 (xdrproc_t)xdr_gossip_trial, &trial, bytes);

	if (peer && len)
		send_datagram(peers, &peer->peer_address, bytes, len);
}

static void send_announcements(peers_t *peers, const announcement_t *list,
			       size_t list_len)
{
	gossip_observation observations[GOSSIP_OBSERVATIONS_MAX];
	gossip_observations message = { { (u_int)list_len, observations } };
	char bytes[DATAGRAM_BYTES_MAX];
	size_t len;

	for (size_t i = 0; i < list_len; i++)
		observations[i] = (gossip_observation){
			.replica = list[i].replica,
			.delay = (uint32_t)list[i].delay,
			.age = time_to_age(peers, list[i].at),
			.period = (uint32_t)list[i].period,
		};
	len = encode_call(peers, GOSSIP_ANNOUNCE,
			  (xdrproc_t)xdr_gossip_observations, &message, bytes);
	if (len)
		send_to_next(peers, bytes, len);
}

/**
 * peers_send_announcements() - pass announcements on to the next instances
 * @peers: the other instances
 * @announcements: announcements
 */
void peers_send_announcements(peers_t *peers,
			      const announcements_t *announcements)
{
	const announcement_t *waiting = announcements->waiting;
	size_t left = announcements->len;

	while (left > 0 && peers->len > 0) {
		size_t len = left < GOSSIP_OBSERVATIONS_MAX
				     ? left
				     : GOSSIP_OBSERVATIONS_MAX;

		send_announcements(peers, waiting, len);
		waiting += len;
		left -= len;
	}
}
