/**
 * DOC: SWIM failure detector and gossip rounds of the membership
 *
 * Once per period an instance pings another one. Without an ack after half of
 * the period, it asks three others to ping the target (indirect probes), and
 * without an ack by the end of the period, the target becomes a suspect.
 * A suspect that does not refute the suspicion in time is declared dead. Most
 * probes stay in the availability zone, few leave the region. Those that do
 * also go to dead instances, which heals the membership after a network
 * partition. In each gossip round, new facts are pushed to two instances.
 */
#include "internal.h"

#define ROUND_INTERVAL ((medlar_time_t)240)
#define FANOUT 2

/* Instances to which the originator of a fact pushes it at once. */
#define URGENT_FANOUT 3
#define INDIRECT_PROBES 3
#define JOIN_PINGS 3
#define SUSPICION_PERIODS 6
#define STALL_PERIODS 3
#define SYNC_PERIODS 10
#define JOIN_TIMEOUT (5 * MEDLAR_SECOND)

/* One of so many probes goes beyond the zone, or beyond the region. */
#define REGION_EVERY 4
#define ALL_EVERY 16

static medlar_time_t probe_period(const medlar_members_t *members)
{
	return medlar_members_probe_period(members->live_count);
}

static void send_ping(medlar_client_t *client, medlar_members_t *members,
		      const medlar_fact_entry_t *to, medlar_time_t now)
{
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_PING,
		.about = to->fact.subject,
		.seq = ++members->seq,
	};

	medlar_members_send_with_facts(client, members, to, &message, now);
}

static medlar_reach_t next_probe_reach(medlar_members_t *members)
{
	uint32_t step = members->reach_step++;

	if (step % ALL_EVERY == ALL_EVERY - 1)
		return MEDLAR_REACH_ALL;
	if (step % REGION_EVERY == REGION_EVERY - 1)
		return MEDLAR_REACH_REGION;
	return MEDLAR_REACH_ZONE;
}

static void start_probe(medlar_client_t *client, medlar_members_t *members,
			medlar_time_t now)
{
	const medlar_fact_entry_t *target = medlar_members_pick_random(
		client, members, next_probe_reach(members));

	members->probe.target = 0;
	if (!target)
		return;
	send_ping(client, members, target, now);
	members->probe.target = target->fact.subject;
	members->probe.seq = members->seq;
	members->probe.acked = false;
	medlar_timer_set(client, &members->relay_timer,
			 now + probe_period(members) / 2);
}

static void end_probe(medlar_client_t *client, medlar_members_t *members,
		      medlar_time_t now)
{
	medlar_fact_entry_t *entry;

	if (members->probe.target == 0 || members->probe.acked)
		return;
	entry = medlar_members_find(members, members->probe.target);
	if (!entry || entry->fact.revision == 0)
		return;
	if (medlar_fact_entry_state(entry) == MEDLAR_MEMBER_ALIVE)
		medlar_members_set_state(client, members, entry,
					 MEDLAR_MEMBER_SUSPECT, now);
	else if (medlar_fact_entry_state(entry) == MEDLAR_MEMBER_LEAVING)
		medlar_members_set_state(client, members, entry,
					 MEDLAR_MEMBER_DEAD, now);
}

static void on_relay_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	medlar_members_t *members = data;
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_RELAY,
		.about = members->probe.target,
		.seq = members->probe.seq,
	};
	unsigned i;

	(void)timer;
	if (members->probe.target == 0 || members->probe.acked)
		return;
	for (i = 0; i < INDIRECT_PROBES; i++) {
		const medlar_fact_entry_t *by = medlar_members_pick_random(
			client, members, MEDLAR_REACH_REGION);

		if (by && by->fact.subject != message.about)
			medlar_members_send_with_facts(client, members, by,
						       &message, now);
	}
}

static void check_suspects(medlar_client_t *client, medlar_members_t *members,
			   bool stalled, medlar_time_t now)
{
	medlar_time_t bound = SUSPICION_PERIODS * probe_period(members);
	size_t i;

	for (i = 0; i < members->len; i++) {
		medlar_fact_entry_t *entry = members->entries[i];

		if (medlar_fact_entry_state(entry) != MEDLAR_MEMBER_SUSPECT)
			continue;
		if (stalled)
			entry->state_since = now;
		else if (now - entry->state_since >= bound)
			medlar_members_set_state(client, members, entry,
						 MEDLAR_MEMBER_DEAD, now);
	}
}

static void age_facts(medlar_members_t *members, medlar_time_t now)
{
	medlar_facts_t *facts = &members->facts;
	size_t i = 0;

	while (i < facts->table.cap) {
		medlar_fact_entry_t *entry = (void *)facts->table.slots[i];

		if (!entry || entry->until > now) {
			if (entry)
				medlar_facts_exclude_expiring(facts, entry,
							      now);
			i++;
			continue;
		}
		medlar_members_remove_entry(members, entry);
	}
}

static void on_period_timer(medlar_client_t *client, medlar_timer_t *timer,
			    medlar_time_t now, void *data)
{
	medlar_members_t *members = data;
	medlar_time_t period = probe_period(members);
	bool stalled = now - members->last_period_at > STALL_PERIODS * period;

	members->last_period_at = now;
	if (!stalled)
		end_probe(client, members, now);
	check_suspects(client, members, stalled, now);
	age_facts(members, now);
	if (members->state != MEDLAR_MEMBER_DEAD)
		start_probe(client, members, now);
	medlar_timer_set(client, timer, now + probe_period(members));
}

static void push_updates(medlar_client_t *client, medlar_members_t *members,
			 medlar_time_t now)
{
	medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	const medlar_fact_entry_t *to;
	unsigned i;

	for (i = 0; i < FANOUT; i++) {
		medlar_reach_t reach = members->reach_step++ % REGION_EVERY == 0
					       ? MEDLAR_REACH_ALL
					       : MEDLAR_REACH_REGION;

		to = medlar_members_pick_random(client, members, reach);
		if (to)
			medlar_members_send_with_facts(client, members, to,
						       &message, now);
	}
}

/**
 * medlar_probe_push_now() - push new facts now instead of in the next round
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * Sends to %URGENT_FANOUT members in list order from a random start; in a small
 * fleet these are all members.
 */
void medlar_probe_push_now(medlar_client_t *client, medlar_members_t *members,
			   medlar_time_t now)
{
	medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	size_t start = medlar_rand_below(&client->rand, members->len);
	unsigned sent = 0;
	size_t i;

	if (members->joined_at == MEDLAR_TIME_NEVER)
		return;
	for (i = 0; i < members->len && sent < URGENT_FANOUT; i++) {
		const medlar_fact_entry_t *to =
			members->entries[(start + i) % members->len];

		if (to->fact.subject == members->id ||
		    medlar_fact_entry_state(to) == MEDLAR_MEMBER_DEAD)
			continue;
		medlar_members_send_with_facts(client, members, to, &message,
					       now);
		sent++;
	}
}

static void ping_random(medlar_client_t *client, medlar_members_t *members,
			medlar_reach_t reach, medlar_time_t now)
{
	const medlar_fact_entry_t *to = medlar_members_pick_random(
		client, members, reach);

	if (to)
		send_ping(client, members, to, now);
}

static void join_or_ping_seeds(medlar_client_t *client,
			       medlar_members_t *members, medlar_time_t now)
{
	unsigned i;

	if (now - members->started_at >= JOIN_TIMEOUT || members->len == 1) {
		members->joined_at = now;
		members->generation++;
		return;
	}
	for (i = 0; i < JOIN_PINGS; i++)
		ping_random(client, members, MEDLAR_REACH_ALL, now);
}

/**
 * medlar_probe_gossip_round() - run a gossip round
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * Pushes new facts to %FANOUT instances; while joining, pings instances.
 */
void medlar_probe_gossip_round(medlar_client_t *client,
			       medlar_members_t *members, medlar_time_t now)
{
	bool news = members->facts.send_queue_len > 0 ||
		    members->document.sends > 0;

	if (members->joined_at == MEDLAR_TIME_NEVER) {
		join_or_ping_seeds(client, members, now);
		return;
	}
	if (news)
		push_updates(client, members, now);
	if (medlar_members_is_joining(members, now))
		ping_random(client, members, MEDLAR_REACH_REGION, now);
	if (members->document.sends > 0)
		members->document.sends--;
	medlar_config_sync_retry(client, members, now);
}

static void on_round_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	medlar_probe_gossip_round(client, data, now);
	medlar_timer_set(client, timer, now + ROUND_INTERVAL);
}

/**
 * medlar_probe_init() - initialise the timers of the failure detector
 * @members: membership
 */
void medlar_probe_init(medlar_members_t *members)
{
	medlar_timer_init(&members->period_timer, on_period_timer, members);
	medlar_timer_init(&members->relay_timer, on_relay_timer, members);
	medlar_timer_init(&members->round_timer, on_round_timer, members);
}

/**
 * medlar_probe_start() - start probes and gossip rounds
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * The first round starts after a random delay, so that instances started
 * together do not send at the same time.
 */
void medlar_probe_start(medlar_client_t *client, medlar_members_t *members,
			medlar_time_t now)
{
	medlar_time_t delay = (medlar_time_t)medlar_rand_below(
		&client->rand, ROUND_INTERVAL / 2);

	members->last_period_at = now;
	medlar_timer_set(client, &members->period_timer,
			 now + probe_period(members));
	medlar_timer_set(client, &members->round_timer, now + delay);
}

/**
 * medlar_probe_finish() - stop probes and gossip rounds
 * @client: client
 * @members: membership
 */
void medlar_probe_finish(medlar_client_t *client, medlar_members_t *members)
{
	medlar_timer_clear(client, &members->period_timer);
	medlar_timer_clear(client, &members->relay_timer);
	medlar_timer_clear(client, &members->round_timer);
}

/* Starts a sync if the sender's digest differs, at a limited rate. */
static void sync_if_different(medlar_client_t *client,
			      medlar_members_t *members,
			      const medlar_message_t *message,
			      const medlar_fact_entry_t *sender,
			      medlar_time_t now)
{
	medlar_time_t gap = SYNC_PERIODS * probe_period(members);

	if (message->digest == medlar_facts_digest(&members->facts))
		return;
	if (medlar_members_is_joining(members, now))
		gap = ROUND_INTERVAL;
	if (members->synced_at != 0 && now - members->synced_at < gap)
		return;
	members->synced_at = now;
	medlar_sync_start(client, members, sender, now);
}

/**
 * medlar_probe_ping() - answer a ping
 * @client: client
 * @members: membership
 * @message: the ping
 * @now: current time, ms
 */
void medlar_probe_ping(medlar_client_t *client, medlar_members_t *members,
		       const medlar_message_t *message, medlar_time_t now)
{
	const medlar_fact_entry_t *sender = medlar_members_find(members,
								message->from);
	medlar_message_t ack = {
		.kind = MEDLAR_MESSAGE_ACK,
		.about = message->about,
		.seq = message->seq,
	};

	if (!sender || members->state == MEDLAR_MEMBER_DEAD)
		return;
	medlar_members_send_with_facts(client, members, sender, &ack, now);
	sync_if_different(client, members, message, sender, now);
}

static void relay_ack(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now)
{
	const size_t len = sizeof(members->relays) / sizeof(*members->relays);
	size_t i;

	for (i = 0; i < len; i++) {
		const medlar_fact_entry_t *asker;
		medlar_message_t ack = {
			.kind = MEDLAR_MESSAGE_ACK,
			.about = members->relays[i].target,
			.seq = members->relays[i].asker_seq,
		};

		if (members->relays[i].target != message->about ||
		    members->relays[i].seq != message->seq)
			continue;
		asker = medlar_members_find(members, members->relays[i].asker);
		if (asker)
			medlar_members_send_with_facts(client, members, asker,
						       &ack, now);
		members->relays[i].target = 0;
	}
}

/**
 * medlar_probe_ack() - handle an ack
 * @client: client
 * @members: membership
 * @message: the ack; also forwarded if it answers an indirect probe
 * @now: current time, ms
 */
void medlar_probe_ack(medlar_client_t *client, medlar_members_t *members,
		      const medlar_message_t *message, medlar_time_t now)
{
	const medlar_fact_entry_t *sender = medlar_members_find(members,
								message->from);

	if (message->about == members->probe.target &&
	    message->seq == members->probe.seq)
		members->probe.acked = true;
	relay_ack(client, members, message, now);
	if (sender)
		sync_if_different(client, members, message, sender, now);
}

/**
 * medlar_probe_relay() - ping a target on behalf of another instance
 * @client: client
 * @members: membership
 * @message: request for an indirect probe
 * @now: current time, ms
 */
void medlar_probe_relay(medlar_client_t *client, medlar_members_t *members,
			const medlar_message_t *message, medlar_time_t now)
{
	const size_t len = sizeof(members->relays) / sizeof(*members->relays);
	const medlar_fact_entry_t *target = medlar_members_find(members,
								message->about);
	size_t at = members->relays_next++ % len;

	if (!target)
		return;
	send_ping(client, members, target, now);
	members->relays[at].asker = message->from;
	members->relays[at].target = message->about;
	members->relays[at].asker_seq = message->seq;
	members->relays[at].seq = members->seq;
}
