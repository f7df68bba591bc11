/**
 * DOC: messages received from other instances
 */
#include <stdio.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "router/peers_internal.h"

#define RECEIVES_PER_EVENT 64

static medlar_time_t age_to_time(const peers_t *peers, uint32_t age)
{
	return age ? peers->loop->now - age + 1 : 0;
}

static void note_answered(peers_t *peers, const peer_instance_t *peer)
{
	const uptime_t seen = { peer->answered_since,
				peer->store_last_contact };

	uptime_add(&peers->store_uptime, &seen);
}

static void apply_message(peers_t *peers, const gossip_message *message,
			  const gossip_epoch *epoch)
{
	const store_position_t position = { epoch->epoch, message->revision };
	medlar_time_t now = peers->loop->now;
	struct sockaddr_in callers;
	struct sockaddr_in address;
	peer_instance_t *peer;

	if (router_address_parse(medlar_str_from(message->callers), &callers) ||
	    router_address_parse(medlar_str_from(message->peers), &address))
		return;
	peer = peers_find_or_add(peers, message->name);
	/*
	 * A different start is a restart, whether it is higher or lower: the
	 * wall clock may be set back.
	 */
	if (!peer || (message->start == peer->incarnation &&
		      message->seq <= peer->last_seq))
		return;
	peer->peer_address = address;
	if ((!peer_is_live(peers, peer) || peer->leaving != message->leaving) &&
	    log_batch_admits(&peers->peer_log, medlar_str_from(peer->name),
			     now))
		LOG_LINE(peers->log, LOG_LEVEL_NOTICE, "peer",
			 MEDLAR_TEXT("name", medlar_str_from(peer->name)),
			 MEDLAR_TEXT("state", message->leaving
						      ? MEDLAR_STR("leaving")
						      : MEDLAR_STR("live")),
			 MEDLAR_NUM("silent_ms",
				    peer->last_heard ? now - peer->last_heard
						     : -1));
	(void)snprintf(peer->caller_address, sizeof(peer->caller_address), "%s",
		       message->callers);
	peer->incarnation = message->start;
	peer->last_seq = message->seq;
	peer->ready = message->ready;
	peer->leaving = message->leaving;
	peer->position = position;
	peer->beyond_store = epoch->beyond_store;
	(void)snprintf(peer->zone, sizeof(peer->zone), "%s", message->zone);
	peer->local_percent = message->near;
	peer->watching = message->watching;
	(void)contact_update(peer, age_to_time(peers, message->store_age),
			     position);
	peer->answered_since = age_to_time(peers, message->answered_age);
	note_answered(peers, peer);
	peer->last_heard = now;
	peers->heard_at = now;
	if (!peers->leads_watchers)
		changes_catch_up(peers);
	for (unsigned i = 0; i < message->convicted.convicted_len; i++)
		suspects_convict(peers->suspects,
				 message->convicted.convicted_val[i], now);
}

static void apply_report(peers_t *peers, const gossip_observation *observation,
			 uint32_t reporter)
{
	const replica_report_t report = {
		.replica = observation->replica,
		.reporter = reporter,
		.delay = observation->delay,
		.at = age_to_time(peers, observation->age),
	};

	peers->events->report(&report, peers->data);
}

static void apply_announcements(peers_t *peers,
				const gossip_observations *observations)
{
	for (u_int i = 0; i < observations->list.list_len; i++) {
		const gossip_observation *from =
			&observations->list.list_val[i];
		const announcement_t announcement = {
			.replica = from->replica,
			.delay = from->delay,
			.at = age_to_time(peers, from->age),
			.period = from->period,
		};

		peers->events->announcement(&announcement, peers->data);
	}
}

/*
 * What an instance passes on of a watcher may be older than what the watcher has
 * said itself; only newer contacts count.
 */
static void apply_watchers(peers_t *peers, const gossip_watchers *watchers,
			   const gossip_answered *answered, uint64_t epoch)
{
	for (u_int i = 0; i < watchers->list.list_len; i++) {
		const gossip_watcher *from = &watchers->list.list_val[i];
		peer_instance_t *peer = peers_find_by_hash(peers,
							   from->name_hash);

		if (!peer ||
		    !contact_update(
			    peer, age_to_time(peers, from->store_age),
			    (store_position_t){ epoch, from->revision }))
			continue;
		peer->watching = true;
		if (!answered || i >= answered->ages.ages_len)
			continue;
		peer->answered_since = age_to_time(peers,
						   answered->ages.ages_val[i]);
		note_answered(peers, peer);
	}
}

static void apply_live_peers(peers_t *peers, const gossip_live_peers *live)
{
	for (u_int i = 0; i < live->list.list_len; i++) {
		const gossip_live_peer *from = &live->list.list_val[i];
		medlar_time_t at = age_to_time(peers, from->age);
		peer_instance_t *peer = peers_find_by_hash(peers,
							   from->name_hash);

		if (peer && at > peer->last_heard)
			peer->last_heard = at;
	}
}

static void apply_crash(peers_t *peers, const gossip_crash *crash)
{
	medlar_time_t now = peers->loop->now;
	bool was_convicted = suspects_is_convicted(peers->suspects,
						   crash->request, now);
	unsigned crashes;

	if (crash->request == 0)
		return;
	crashes = suspects_add_crash(peers->suspects, crash->request,
				     crash->replica,
				     age_to_time(peers, crash->age));
	if (!was_convicted &&
	    suspects_is_convicted(peers->suspects, crash->request, now))
		LOG_LINE(peers->log, LOG_LEVEL_WARNING, "convict",
			 MEDLAR_HEX("request", crash->request),
			 MEDLAR_NUM("crashes", crashes),
			 MEDLAR_NUM("age_ms", crash->age));
}

/* What others have seen is passed on with the next message, not at once. */
static void apply_crashes(peers_t *peers, const gossip_crashes *crashes)
{
	size_t known = peers->suspects->recent_added;

	for (u_int i = 0; i < crashes->list.list_len; i++)
		apply_crash(peers, &crashes->list.list_val[i]);
	peers->crashes_told += peers->suspects->recent_added - known;
}

static void apply_limits(peers_t *peers, const gossip_limits *limits)
{
	for (u_int i = 0; i < limits->list.list_len; i++) {
		const gossip_limit *from = &limits->list.list_val[i];
		const limit_news_t news = {
			.replica = from->replica,
			.limit = (double)from->limit / LIMIT_UNITS,
			.said_at = age_to_time(peers, from->age),
			.use = { from->sent / RATE_UNITS,
				 from->wanted / RATE_UNITS },
		};

		peers->events->limit(&news, peers->data);
	}
}

/* Instances of earlier versions tell less of others, or nothing. */
static void decode_status(peers_t *peers, XDR *xdr)
{
	gossip_message message = { 0 };
	gossip_watchers watchers = { 0 };
	gossip_live_peers live = { 0 };
	gossip_crashes crashes = { 0 };
	gossip_limits limits = { 0 };
	gossip_answered answered = { 0 };
	gossip_epoch epoch = { 0 };

	if (xdr_gossip_message(xdr, &message)) {
		bool has_watchers = xdr_gossip_watchers(xdr, &watchers);
		bool has_live = xdr_gossip_live_peers(xdr, &live);
		bool has_crashes = xdr_gossip_crashes(xdr, &crashes);
		bool has_limits = xdr_gossip_limits(xdr, &limits);
		bool has_answered = xdr_gossip_answered(xdr, &answered);

		/* Who tells no epoch knows that of the store as it is. */
		if (xdr_gossip_epoch(xdr, &epoch))
			peers->events->epoch(epoch.epoch, peers->data);
		else
			epoch = (gossip_epoch){
				.epoch = peers->mirror->position.epoch
			};
		peers->stats->counts[STAT_GOSSIP_RECEIVED]++;
		apply_message(peers, &message, &epoch);
		if (has_watchers)
			apply_watchers(peers, &watchers,
				       has_answered ? &answered : NULL,
				       epoch.epoch);
		if (has_live)
			apply_live_peers(peers, &live);
		if (has_crashes)
			apply_crashes(peers, &crashes);
		if (has_limits)
			apply_limits(peers, &limits);
	}
	xdr_free((xdrproc_t)xdr_gossip_message, (char *)&message);
	xdr_free((xdrproc_t)xdr_gossip_watchers, (char *)&watchers);
	xdr_free((xdrproc_t)xdr_gossip_live_peers, (char *)&live);
	xdr_free((xdrproc_t)xdr_gossip_crashes, (char *)&crashes);
	xdr_free((xdrproc_t)xdr_gossip_limits, (char *)&limits);
	xdr_free((xdrproc_t)xdr_gossip_answered, (char *)&answered);
}

static void decode_report(peers_t *peers, XDR *xdr, uint32_t reporter)
{
	gossip_observation observation;

	if (xdr_gossip_observation(xdr, &observation))
		apply_report(peers, &observation, reporter);
}

static void decode_announcements(peers_t *peers, XDR *xdr)
{
	gossip_observations observations = { 0 };

	if (xdr_gossip_observations(xdr, &observations))
		apply_announcements(peers, &observations);
	xdr_free((xdrproc_t)xdr_gossip_observations, (char *)&observations);
}

static void decode_trial(peers_t *peers, XDR *xdr)
{
	gossip_trial trial;

	if (xdr_gossip_trial(xdr, &trial) && trial.request)
		peers->events->trial(&trial, peers->data);
}

static bool is_gossip_call(const struct rpc_msg *call)
{
	return call->rm_direction == CALL &&
	       call->rm_call.cb_prog == GOSSIP_PROGRAM &&
	       call->rm_call.cb_vers == GOSSIP_VERSION;
}

static void decode_datagram(peers_t *peers, char *bytes, size_t len,
			    uint32_t sender)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg call = { 0 };
	XDR xdr;

	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdr, bytes, (unsigned)len, XDR_DECODE);
	if (xdr_callmsg(&xdr, &call) && is_gossip_call(&call)) {
		if (call.rm_call.cb_proc == GOSSIP_TELL)
			decode_status(peers, &xdr);
		else if (call.rm_call.cb_proc == GOSSIP_REPORT)
			decode_report(peers, &xdr, sender);
		else if (call.rm_call.cb_proc == GOSSIP_ANNOUNCE)
			decode_announcements(peers, &xdr);
		else if (call.rm_call.cb_proc == GOSSIP_TRIAL)
			decode_trial(peers, &xdr);
	}
	XDR_DESTROY(&xdr);
}

static void on_datagram(uint32_t events, void *data)
{
	peers_t *peers = data;
	char bytes[DATAGRAM_BYTES_MAX];

	(void)events;
	for (int i = 0; i < RECEIVES_PER_EVENT; i++) {
		struct sockaddr_in sender = { 0 };
		socklen_t sender_len = sizeof(sender);
		ssize_t got = recvfrom(peers->fd, bytes, sizeof(bytes),
				       MSG_DONTWAIT, (struct sockaddr *)&sender,
				       &sender_len);

		if (got <= 0)
			return;
		decode_datagram(peers, bytes, (size_t)got,
				sender.sin_addr.s_addr);
	}
}

/**
 * gossip_open() - start to receive messages
 * @peers: the other instances
 * @own: address to listen on
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO.
 */
int gossip_open(peers_t *peers, const struct sockaddr_in *own)
{
	peers->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			   0);
	if (peers->fd < 0)
		return MEDLAR_ERR_IO;
	if (bind(peers->fd, (const struct sockaddr *)own, sizeof(*own)))
		return MEDLAR_ERR_IO;
	return loop_watch(peers->loop, peers->fd, EPOLLIN, on_datagram, peers);
}
