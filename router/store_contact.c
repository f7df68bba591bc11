/**
 * DOC: what instances know of each other's contact with the store
 *
 * A few instances watch the store for all. Each message passes on which they are
 * and when the store last answered them, so that all others soon know it and do
 * not call the store themselves.
 */
#include <string.h>

#include "router/peers_internal.h"

/* A watcher without an answer of the store for this long is not counted. */
#define WATCHER_SILENCE_MAX_MS 3500
/* What an instance passes on of its contact is older by its time on the way. */
#define CONTACT_DELAY_MAX_MS 200
/* Time after the start in which the others are heard from. */
#define SETTLE_MS (2 * MEDLAR_SECOND)
/* An instance that gets no message for this long, two rounds, is cut off. */
#define ISOLATED_AFTER_MS 500

static bool is_in_contact(const peers_t *peers, medlar_time_t last_contact)
{
	return last_contact &&
	       peers->loop->now - last_contact < WATCHER_SILENCE_MAX_MS;
}

/*
 * Until an instance has heard from the others it takes those that the store lists
 * for live: most start at the same time, and would all watch the store.
 */
static bool is_expected_live(const peers_t *peers, const peer_instance_t *peer)
{
	return peer_is_live(peers, peer) ||
	       (peer->registered &&
		peers->loop->now - peers->started_at < SETTLE_MS);
}

static bool is_isolated(const peers_t *peers)
{
	return peers->len > 0 && peers->heard_at &&
	       peers->loop->now - peers->heard_at > ISOLATED_AFTER_MS;
}

/**
 * peers_watch_view() - see who watches the store
 * @peers: the other instances
 *
 * Instances that are leaving are not counted.
 *
 * Return: what watchers_decide() needs to know.
 */
watch_view_t peers_watch_view(const peers_t *peers)
{
	watch_view_t view = {
		.live = 1,
		.in_contact = peers->store.watching &&
			      is_in_contact(peers, peers->store.last_contact),
		.is_isolated = is_isolated(peers),
	};
	const peer_instance_t *peer;

	TAILQ_FOREACH(peer, &peers->list, link) {
		bool is_before = strcmp(peer->name, peers->settings->instance) <
				 0;

		if (!is_expected_live(peers, peer) || peer->leaving)
			continue;
		view.live++;
		view.live_before += is_before;
		view.fresh_before += is_before && peer->watching &&
				     is_in_contact(peers,
						   peer->store_last_contact);
	}
	return view;
}

/**
 * peers_store_last_contact() - get the time up to which the mirror is known
 *	current
 * @peers: the other instances
 *
 * A contact that brought a peer to a higher revision than the mirror is not
 * counted: it does not show that the mirror is current.
 *
 * Return: time of the last answer of the store to this instance or a live peer,
 * ms; 0 if there was none.
 */
medlar_time_t peers_store_last_contact(const peers_t *peers)
{
	const peer_instance_t *peer;
	medlar_time_t last_contact = peers->store.last_contact;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (peer_is_live(peers, peer) &&
		    peer->contact.epoch == peers->mirror->position.epoch &&
		    position_compare(peer->contact, peers->mirror->position) <=
			    0 &&
		    peer->store_last_contact > last_contact)
			last_contact = peer->store_last_contact;
	return last_contact;
}

/**
 * peers_mirror_is_current() - check whether a missing entry proves that the store
 *	has none
 * @peers: the other instances
 *
 * Return: whether every change that the mirror may lack is more recent than the
 * time in which changes have to be in force.
 */
bool peers_mirror_is_current(const peers_t *peers)
{
	medlar_time_t last_contact = peers_store_last_contact(peers);
	medlar_time_t age_max = peers->settings->config_apply_ms -
				CONTACT_DELAY_MAX_MS;

	return last_contact && peers->loop->now - last_contact <= age_max;
}

static bool is_fresh_watcher(const peers_t *peers, const peer_instance_t *peer)
{
	return peer->watching && !peer->leaving && peer_is_live(peers, peer) &&
	       is_in_contact(peers, peer->store_last_contact);
}

/* Inserts a watcher in order of names; @list has %GOSSIP_WATCHERS_MAX places. */
static size_t insert_watcher(const peer_instance_t **list, size_t len,
			     const peer_instance_t *peer)
{
	size_t at = len < GOSSIP_WATCHERS_MAX ? len : GOSSIP_WATCHERS_MAX - 1;

	if (len == GOSSIP_WATCHERS_MAX &&
	    strcmp(peer->name, list[at]->name) > 0)
		return len;
	for (; at > 0 && strcmp(peer->name, list[at - 1]->name) < 0; at--)
		list[at] = list[at - 1];
	list[at] = peer;
	return len < GOSSIP_WATCHERS_MAX ? len + 1 : len;
}

/**
 * contact_list_watchers() - list the first other instances that watch the store
 * @peers: the other instances
 * @list: %GOSSIP_WATCHERS_MAX places for those with the lowest names
 *
 * Those whose contact was in another epoch than that of the mirror are left out.
 *
 * Return: number of watchers listed.
 */
size_t contact_list_watchers(const peers_t *peers, const peer_instance_t **list)
{
	const peer_instance_t *peer;
	size_t len = 0;

	TAILQ_FOREACH(peer, &peers->list, link)
		if (is_fresh_watcher(peers, peer) &&
		    peer->contact.epoch == peers->mirror->position.epoch)
			len = insert_watcher(list, len, peer);
	return len;
}

/**
 * contact_update() - record that the store answered an instance
 * @peer: instance; it was live at that time
 * @at: when the store answered, ms
 * @position: position up to which its mirror was complete then
 *
 * Return: whether this was not known.
 */
bool contact_update(peer_instance_t *peer, medlar_time_t at,
		    store_position_t position)
{
	if (at <= peer->store_last_contact)
		return false;
	peer->store_last_contact = at;
	peer->contact = position;
	if (at > peer->last_heard)
		peer->last_heard = at;
	return true;
}
