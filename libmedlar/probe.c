/**
 * DOC: detection of instances that have failed
 *
 * Once a period an instance pings another one; when there is no answer by half
 * of the period, three others are asked to ping it, and when none gets an
 * answer it is suspected. A suspect that does not refute is taken for dead.
 * Most probes stay in the availability zone, few leave the region. Those go
 * to instances taken for dead as well, which joins the sides of a partition
 * again. News is pushed to two instances in each round.
 */
#include "internal.h"

#define ROUND ((medlar_time_t)240)
#define FANOUT 2

/* Instances told of a new fact at once by the one that found it out. */
#define URGENT_FANOUT 3
#define RELAYS 3
#define JOIN_PINGS 3
#define SUSPICION_PERIODS 6
#define PAUSE_PERIODS 3
#define SYNC_PERIODS 10
#define ALONE_AFTER (5 * MEDLAR_SECOND)

/* Of so many probes one reaches beyond the zone, or beyond the region. */
#define REGION_EVERY 4
#define ALL_EVERY 16

static medlar_time_t probe_period(const medlar_members_t *members)
{
	return medlar_members_period(members->live);
}

static void send_ping(medlar_client_t *client, medlar_members_t *members,
		      const medlar_fact_entry_t *to, medlar_time_t now)
{
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_PING,
		.about = to->fact.subject,
		.seq = ++members->seq,
	};

	medlar_members_send_news(client, members, to, &message, now);
}

static medlar_reach_t next_probe_reach(medlar_members_t *members)
{
	uint32_t step = members->step++;

	if (step % ALL_EVERY == ALL_EVERY - 1)
		return MEDLAR_REACH_ALL;
	if (step % REGION_EVERY == REGION_EVERY - 1)
		return MEDLAR_REACH_REGION;
	return MEDLAR_REACH_ZONE;
}

static void start_probe(medlar_client_t *client, medlar_members_t *members,
			medlar_time_t now)
{
	const medlar_fact_entry_t *target = medlar_members_random(
		client, members, next_probe_reach(members));

	members->probe.target = 0;
	if (!target)
		return;
	send_ping(client, members, target, now);
	members->probe.target = target->fact.subject;
	members->probe.seq = members->seq;
	members->probe.acked = false;
	medlar_timer_set(client, &members->relay,
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
	if (medlar_entry_state(entry) == MEDLAR_MEMBER_ALIVE)
		medlar_members_set_state(client, members, entry,
					 MEDLAR_MEMBER_SUSPECT, now);
	else if (medlar_entry_state(entry) == MEDLAR_MEMBER_LEAVING)
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
	for (i = 0; i < RELAYS; i++) {
		const medlar_fact_entry_t *by = medlar_members_random(
			client, members, MEDLAR_REACH_REGION);

		if (by && by->fact.subject != message.about)
			medlar_members_send_news(client, members, by, &message,
						 now);
	}
}

static void check_suspects(medlar_client_t *client, medlar_members_t *members,
			   bool paused, medlar_time_t now)
{
	medlar_time_t bound = SUSPICION_PERIODS * probe_period(members);
	size_t i;

	for (i = 0; i < members->len; i++) {
		medlar_fact_entry_t *entry = members->list[i];

		if (medlar_entry_state(entry) != MEDLAR_MEMBER_SUSPECT)
			continue;
		if (paused)
			entry->since = now;
		else if (now - entry->since >= bound)
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
				medlar_facts_age(facts, entry, now);
			i++;
			continue;
		}
		medlar_members_forget(members, entry);
	}
}

static void on_period_timer(medlar_client_t *client, medlar_timer_t *timer,
			    medlar_time_t now, void *data)
{
	medlar_members_t *members = data;
	medlar_time_t period = probe_period(members);
	bool paused = now - members->ticked > PAUSE_PERIODS * period;

	members->ticked = now;
	if (!paused)
		end_probe(client, members, now);
	check_suspects(client, members, paused, now);
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
		medlar_reach_t reach = members->step++ % REGION_EVERY == 0
					       ? MEDLAR_REACH_ALL
					       : MEDLAR_REACH_REGION;

		to = medlar_members_random(client, members, reach);
		if (to)
			medlar_members_send_news(client, members, to, &message,
						 now);
	}
}

/**
 * medlar_probe_urge() - push news now rather than in the next round
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * Neighbours in the list of members, from a random one on, are told. In a
 * small fleet these are all of them.
 */
void medlar_probe_urge(medlar_client_t *client, medlar_members_t *members,
		       medlar_time_t now)
{
	medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	size_t start = medlar_rand_below(&client->rand, members->len);
	unsigned sent = 0;
	size_t i;

	if (members->joined == MEDLAR_TIME_NEVER)
		return;
	for (i = 0; i < members->len && sent < URGENT_FANOUT; i++) {
		const medlar_fact_entry_t *to =
			members->list[(start + i) % members->len];

		if (to->fact.subject == members->id ||
		    medlar_entry_state(to) == MEDLAR_MEMBER_DEAD)
			continue;
		medlar_members_send_news(client, members, to, &message, now);
		sent++;
	}
}

static void ping_random(medlar_client_t *client, medlar_members_t *members,
			medlar_reach_t reach, medlar_time_t now)
{
	const medlar_fact_entry_t *to = medlar_members_random(client, members,
							      reach);

	if (to)
		send_ping(client, members, to, now);
}

static void join_or_ping_seeds(medlar_client_t *client,
			       medlar_members_t *members, medlar_time_t now)
{
	unsigned i;

	if (now - members->started >= ALONE_AFTER || members->len == 1) {
		members->joined = now;
		members->generation++;
		return;
	}
	for (i = 0; i < JOIN_PINGS; i++)
		ping_random(client, members, MEDLAR_REACH_ALL, now);
}

/**
 * medlar_probe_round() - push what is news
 * @client: client
 * @members: membership
 * @now: current time, ms
 */
void medlar_probe_round(medlar_client_t *client, medlar_members_t *members,
			medlar_time_t now)
{
	bool news = members->facts.hot_len > 0 || members->document.sends > 0;

	if (members->joined == MEDLAR_TIME_NEVER) {
		join_or_ping_seeds(client, members, now);
		return;
	}
	if (news)
		push_updates(client, members, now);
	if (medlar_members_joining(members, now))
		ping_random(client, members, MEDLAR_REACH_REGION, now);
	if (members->document.sends > 0)
		members->document.sends--;
	medlar_spread_retry(client, members, now);
}

static void on_round_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	medlar_probe_round(client, data, now);
	medlar_timer_set(client, timer, now + ROUND);
}

/**
 * medlar_probe_init() - prepare the timers
 * @members: membership that is being initialised
 */
void medlar_probe_init(medlar_members_t *members)
{
	medlar_timer_init(&members->period, on_period_timer, members);
	medlar_timer_init(&members->relay, on_relay_timer, members);
	medlar_timer_init(&members->round, on_round_timer, members);
}

/**
 * medlar_probe_start() - start to probe
 * @client: client
 * @members: membership
 * @now: current time, ms
 *
 * The first round is at a random time so that instances started together do
 * not send together.
 */
void medlar_probe_start(medlar_client_t *client, medlar_members_t *members,
			medlar_time_t now)
{
	medlar_time_t delay = (medlar_time_t)medlar_rand_below(&client->rand,
							       ROUND / 2);

	members->ticked = now;
	medlar_timer_set(client, &members->period, now + probe_period(members));
	medlar_timer_set(client, &members->round, now + delay);
}

/**
 * medlar_probe_finish() - stop to probe
 * @client: client
 * @members: membership
 */
void medlar_probe_finish(medlar_client_t *client, medlar_members_t *members)
{
	medlar_timer_clear(client, &members->period);
	medlar_timer_clear(client, &members->relay);
	medlar_timer_clear(client, &members->round);
}

/* Compares facts with the sender if they differ, within a rate. */
static void sync_if_different(medlar_client_t *client,
			      medlar_members_t *members,
			      const medlar_message_t *message,
			      const medlar_fact_entry_t *sender,
			      medlar_time_t now)
{
	medlar_time_t gap = SYNC_PERIODS * probe_period(members);

	if (message->digest == medlar_facts_digest(&members->facts))
		return;
	if (medlar_members_joining(members, now))
		gap = ROUND;
	if (members->synced != 0 && now - members->synced < gap)
		return;
	members->synced = now;
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
	medlar_members_send_news(client, members, sender, &ack, now);
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
			medlar_members_send_news(client, members, asker, &ack,
						 now);
		members->relays[i].target = 0;
	}
}

/**
 * medlar_probe_ack() - take in the answer to a ping
 * @client: client
 * @members: membership
 * @message: the answer
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
 * medlar_probe_relay() - ping an instance for another
 * @client: client
 * @members: membership
 * @message: the request
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
