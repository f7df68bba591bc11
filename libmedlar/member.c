/**
 * DOC: the instances and what is believed of them
 *
 * Each instance tells a fact about itself. Others replace it by a suspicion
 * or by word of its death, which it refutes with a higher incarnation. Probes
 * are in probe.c, the comparison of facts in sync.c, documents in spread.c.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define DEAD_TTL (10 * MEDLAR_MINUTE)
#define DRAIN_TTL_MAX (10 * MEDLAR_MINUTE)
#define VERDICT_TTL_MAX (24 * MEDLAR_HOUR)
#define JOINING (10 * MEDLAR_SECOND)
#define RESULT_SENDS 2

static const char *const state_names[MEDLAR_MEMBER_STATES] = {
	[MEDLAR_MEMBER_ALIVE] = "alive",
	[MEDLAR_MEMBER_SUSPECT] = "suspect",
	[MEDLAR_MEMBER_LEAVING] = "leaving",
	[MEDLAR_MEMBER_DEAD] = "dead",
};

typedef void (*handler_fn_t)(medlar_client_t *client, medlar_members_t *members,
			     const medlar_message_t *message,
			     medlar_time_t now);

static const handler_fn_t handlers[MEDLAR_MESSAGE_KINDS] = {
	[MEDLAR_MESSAGE_PING] = medlar_probe_ping,
	[MEDLAR_MESSAGE_ACK] = medlar_probe_ack,
	[MEDLAR_MESSAGE_RELAY] = medlar_probe_relay,
	[MEDLAR_MESSAGE_SYNC] = medlar_sync_digests,
	[MEDLAR_MESSAGE_LIST] = medlar_sync_list,
	[MEDLAR_MESSAGE_WANT] = medlar_sync_want,
	[MEDLAR_MESSAGE_FETCH] = medlar_spread_fetch,
	[MEDLAR_MESSAGE_CHUNK] = medlar_spread_chunk,
};

static uint64_t id_of(const medlar_member_info_t *info)
{
	uint64_t id = medlar_str_hash(medlar_str_from(info->name), 0);

	return id ? id : 1;
}

/* The region is the part of the zone's name before the last hyphen. */
static uint64_t region_of(const char *zone)
{
	const char *end = strrchr(zone, '-');
	size_t len = end ? (size_t)(end - zone) : strlen(zone);

	return medlar_str_hash((medlar_str_t){ zone, len }, 0);
}

static void trace(medlar_client_t *client, const medlar_members_t *members,
		  const medlar_fact_entry_t *entry)
{
	const char *name = entry->info ? entry->info->name : "";

	MEDLAR_TRACE(
		client, MEDLAR_EVENT_MEMBER,
		MEDLAR_TEXT("instance", medlar_str_from(name)),
		MEDLAR_TEXT("state",
			    medlar_str_from(
				    state_names[medlar_entry_state(entry)])),
		MEDLAR_NUM("incarnation", medlar_entry_incarnation(entry)),
		MEDLAR_NUM("live", members->live));
}

static int put_self(medlar_client_t *client, medlar_members_t *members,
		    medlar_time_t now)
{
	const medlar_fact_t fact = {
		.kind = MEDLAR_FACT_MEMBER,
		.subject = members->id,
		.revision = members->incarnation * MEDLAR_MEMBER_STATES +
			    members->state,
		.value = members->state == MEDLAR_MEMBER_DEAD,
		.ttl = members->state == MEDLAR_MEMBER_DEAD ? DEAD_TTL
							    : MEDLAR_TIME_NEVER,
		.member = &members->self,
	};

	return medlar_members_learn(client, members, &fact, MEDLAR_NEWS_SENDS,
				    now);
}

/* Others believe something of this instance that it contradicts. */
static void refute(medlar_client_t *client, medlar_members_t *members,
		   const medlar_fact_t *fact, medlar_time_t now)
{
	uint64_t own = members->incarnation * MEDLAR_MEMBER_STATES +
		       members->state;

	if (fact->revision <= own)
		return;
	members->incarnation = fact->revision / MEDLAR_MEMBER_STATES + 1;
	put_self(client, members, now);
}

static int learn_member(medlar_client_t *client, medlar_members_t *members,
			const medlar_fact_t *fact, uint32_t sends,
			medlar_time_t now)
{
	medlar_fact_entry_t *entry = medlar_members_find(members,
							 fact->subject);
	bool known = entry != NULL;
	bool was_live = known && medlar_entry_is_live(entry);
	int news = medlar_facts_put(&members->facts, fact, sends, now, &entry);

	if (news <= 0)
		return news;
	if (!known && medlar_members_list(members, entry)) {
		medlar_facts_drop(&members->facts, entry);
		return MEDLAR_ERR_NOMEM;
	}
	entry->since = now;
	if (entry->info) {
		entry->region = region_of(entry->info->zone);
		entry->zone = medlar_str_hash(
			medlar_str_from(entry->info->zone), 0);
	}
	members->live += medlar_entry_is_live(entry);
	members->live -= was_live;
	members->generation++;
	if (fact->revision > 0)
		trace(client, members, entry);
	return news;
}

static medlar_time_t ttl_max(const medlar_fact_t *fact)
{
	if (fact->kind == MEDLAR_FACT_DRAIN)
		return DRAIN_TTL_MAX;
	if (fact->kind != MEDLAR_FACT_MEMBER)
		return VERDICT_TTL_MAX;
	if (fact->revision % MEDLAR_MEMBER_STATES == MEDLAR_MEMBER_DEAD)
		return DEAD_TTL;
	return MEDLAR_TIME_NEVER;
}

static bool is_own(const medlar_members_t *members, const medlar_fact_t *fact)
{
	uint64_t own = members->incarnation * MEDLAR_MEMBER_STATES +
		       members->state;

	return fact->kind != MEDLAR_FACT_MEMBER ||
	       fact->subject != members->id || fact->revision == own;
}

/**
 * medlar_members_learn() - take in a fact
 * @client: client
 * @members: membership
 * @fact: fact; copied
 * @sends: how often to tell it if it is news
 * @now: current time, ms
 *
 * Return: 1 when it is news, 0 when not, or a negative &enum medlar_error.
 */
int medlar_members_learn(medlar_client_t *client, medlar_members_t *members,
			 const medlar_fact_t *fact, uint32_t sends,
			 medlar_time_t now)
{
	medlar_fact_t told = *fact;
	medlar_fact_entry_t *entry;
	int news;

	if (fact->kind < 0 || fact->kind >= MEDLAR_FACT_KINDS || fact->ttl <= 0)
		return MEDLAR_ERR_RANGE;
	if (!is_own(members, fact)) {
		refute(client, members, fact, now);
		return 0;
	}
	if (told.ttl > ttl_max(fact))
		told.ttl = ttl_max(fact);
	if (fact->kind == MEDLAR_FACT_MEMBER)
		news = learn_member(client, members, &told, sends, now);
	else
		news = medlar_facts_put(&members->facts, &told, sends, now,
					&entry);
	if (news <= 0 || !members->ops.fact)
		return news;
	entry = medlar_facts_find(&members->facts, fact->kind, fact->subject);
	told = medlar_fact_of(entry, now);
	if (told.revision > 0)
		members->ops.fact(&told, members->ops.data);
	return news;
}

/**
 * medlar_members_set_state() - come to believe something of an instance
 * @client: client
 * @members: membership
 * @entry: fact about the instance, which was heard of
 * @state: what is believed now
 * @now: current time, ms
 */
void medlar_members_set_state(medlar_client_t *client,
			      medlar_members_t *members,
			      medlar_fact_entry_t *entry,
			      medlar_member_state_t state, medlar_time_t now)
{
	medlar_fact_t fact = entry->fact;

	fact.value = medlar_entry_state(entry) == MEDLAR_MEMBER_LEAVING;
	fact.revision = medlar_entry_incarnation(entry) * MEDLAR_MEMBER_STATES +
			state;
	fact.ttl = MEDLAR_TIME_NEVER;
	medlar_members_learn(client, members, &fact, MEDLAR_NEWS_SENDS, now);
}

/**
 * medlar_members_joining() - whether this instance has just joined
 * @members: membership
 * @now: current time, ms
 *
 * Return: true until some seconds after the first message of another.
 */
bool medlar_members_joining(const medlar_members_t *members, medlar_time_t now)
{
	return members->joined == MEDLAR_TIME_NEVER ||
	       now - members->joined < JOINING;
}

/**
 * medlar_members_send() - send a message as it is
 * @client: client
 * @members: membership
 * @to: fact about the receiver
 * @message: message; what every message carries is filled in
 * @now: current time, ms
 */
void medlar_members_send(medlar_client_t *client, medlar_members_t *members,
			 const medlar_fact_entry_t *to,
			 medlar_message_t *message, medlar_time_t now)
{
	(void)client;
	(void)now;
	if (!to->info)
		return;
	message->from = members->id;
	message->digest = medlar_facts_digest(&members->facts);
	message->revision = members->document.revision;
	members->ops.send(to->info, message, members->ops.data);
}

/**
 * medlar_members_send_news() - send a message and as much news as fits
 * @client: client
 * @members: membership
 * @to: fact about the receiver; told to it unless it is well
 * @message: message without facts
 * @now: current time, ms
 */
void medlar_members_send_news(medlar_client_t *client,
			      medlar_members_t *members,
			      const medlar_fact_entry_t *to,
			      medlar_message_t *message, medlar_time_t now)
{
	medlar_fact_t facts[MEDLAR_MESSAGE_FACTS_MAX];
	size_t room = MEDLAR_MESSAGE_ROOM;
	size_t len = 0;
	size_t i;

	if (medlar_entry_state(to) != MEDLAR_MEMBER_ALIVE)
		facts[len++] = medlar_fact_of(to, now);
	if (medlar_members_joining(members, now) || to->fact.revision == 0)
		facts[len++] = medlar_fact_of(
			medlar_members_find(members, members->id), now);
	for (i = 0; i < len; i++)
		room -= medlar_fact_size(&facts[i]);
	len += medlar_facts_hot(&members->facts, facts + len,
				MEDLAR_MESSAGE_FACTS_MAX - len, room, now);
	message->facts = facts;
	message->facts_len = len;
	medlar_members_send(client, members, to, message, now);
	message->facts = NULL;
	message->facts_len = 0;
}

/**
 * medlar_members_init() - start a membership of this instance alone
 * @client: client of the control thread
 * @members: memory of the caller; must not move until it is finished
 * @self: how this instance is reached; copied
 * @incarnation: its start time, ms since 1970
 * @ops: actions; copied
 * @now: current time, ms
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int medlar_members_init(medlar_client_t *client, medlar_members_t *members,
			const medlar_member_info_t *self, uint64_t incarnation,
			const medlar_members_ops_t *ops, medlar_time_t now)
{
	*members = (medlar_members_t){
		.ops = *ops,
		.self = *self,
		.id = id_of(self),
		.incarnation = incarnation ? incarnation : 1,
		.started = now,
		.joined = MEDLAR_TIME_NEVER,
	};
	medlar_buf_init(&members->document.text);
	medlar_probe_init(members);
	if (put_self(client, members, now) <= 0) {
		medlar_members_finish(client, members);
		return MEDLAR_ERR_NOMEM;
	}
	medlar_probe_start(client, members, now);
	return MEDLAR_OK;
}

/**
 * medlar_members_finish() - release a membership
 * @client: client
 * @members: membership
 */
void medlar_members_finish(medlar_client_t *client, medlar_members_t *members)
{
	medlar_probe_finish(client, members);
	medlar_spread_finish(members);
	medlar_facts_finish(&members->facts);
	free(members->list);
	free(members->ids);
	members->list = NULL;
	members->len = 0;
	members->ids = NULL;
}

/**
 * medlar_members_seed() - tell of an instance that may exist
 * @client: client
 * @members: membership
 * @info: how it is reached, from settings or the instance list
 * @now: current time, ms
 *
 * It counts as a member only once it is heard of.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_FULL.
 */
int medlar_members_seed(medlar_client_t *client, medlar_members_t *members,
			const medlar_member_info_t *info, medlar_time_t now)
{
	const medlar_fact_t fact = {
		.kind = MEDLAR_FACT_MEMBER,
		.subject = id_of(info),
		.ttl = MEDLAR_TIME_NEVER,
		.member = info,
	};

	if (fact.subject == members->id ||
	    medlar_members_find(members, fact.subject))
		return MEDLAR_OK;
	return medlar_members_learn(client, members, &fact, 0, now) < 0
		       ? MEDLAR_ERR_FULL
		       : MEDLAR_OK;
}

static uint32_t sends_of(const medlar_members_t *members,
			 const medlar_message_t *message, medlar_time_t now)
{
	if (message->kind != MEDLAR_MESSAGE_RESULT)
		return MEDLAR_NEWS_SENDS;
	return medlar_members_joining(members, now) ? 0 : RESULT_SENDS;
}

/**
 * medlar_members_receive() - take in a message
 * @client: client
 * @members: membership
 * @message: a message whose sender was authenticated
 * @now: current time, ms
 */
void medlar_members_receive(medlar_client_t *client, medlar_members_t *members,
			    const medlar_message_t *message, medlar_time_t now)
{
	uint32_t sends = sends_of(members, message, now);
	handler_fn_t handler;
	size_t i;

	if (message->from == members->id || message->kind < 0 ||
	    message->kind >= MEDLAR_MESSAGE_KINDS)
		return;
	if (members->joined == MEDLAR_TIME_NEVER)
		members->joined = now;
	for (i = 0; i < message->facts_len; i++)
		medlar_members_learn(client, members, &message->facts[i], sends,
				     now);
	handler = handlers[message->kind];
	if (handler)
		handler(client, members, message, now);
	medlar_spread_heard(client, members, message, now);
}

/*
 * A later conviction or pardon overrides whatever is held, a later suspicion
 * does not override a conviction.
 */
static int order_verdict(const medlar_members_t *members, medlar_fact_t *fact)
{
	const medlar_fact_entry_t *held = medlar_facts_find(
		&members->facts, fact->kind, fact->subject);

	if (!held || fact->kind != MEDLAR_FACT_VERDICT)
		return MEDLAR_OK;
	if (fact->value == MEDLAR_VERDICT_SUSPECT &&
	    held->fact.value == MEDLAR_VERDICT_CONVICTED)
		return MEDLAR_ERR_STALE;
	if (fact->value != MEDLAR_VERDICT_SUSPECT &&
	    fact->value != held->fact.value &&
	    fact->revision <= held->fact.revision)
		fact->revision = held->fact.revision + 1;
	return MEDLAR_OK;
}

/**
 * medlar_members_tell() - tell all instances a fact, some of them at once
 * @client: client
 * @members: membership
 * @fact: anything but a member; copied
 * @now: current time, ms
 *
 * Return: 1 when it is news, 0 when not, or a negative &enum medlar_error.
 */
int medlar_members_tell(medlar_client_t *client, medlar_members_t *members,
			const medlar_fact_t *fact, medlar_time_t now)
{
	medlar_fact_t told = *fact;
	int news = order_verdict(members, &told);

	if (news)
		return news;
	news = medlar_members_learn(client, members, &told, MEDLAR_NEWS_SENDS,
				    now);
	if (news > 0)
		medlar_probe_urge(client, members, now);
	return news;
}

static void set_own_state(medlar_client_t *client, medlar_members_t *members,
			  medlar_member_state_t state, medlar_time_t now)
{
	if (members->state >= state)
		return;
	members->state = state;
	put_self(client, members, now);
	medlar_probe_round(client, members, now);
}

/**
 * medlar_members_leave() - tell that this instance is leaving
 * @client: client
 * @members: membership
 * @now: current time, ms
 */
void medlar_members_leave(medlar_client_t *client, medlar_members_t *members,
			  medlar_time_t now)
{
	set_own_state(client, members, MEDLAR_MEMBER_LEAVING, now);
}

/**
 * medlar_members_stop() - tell that this instance has ended its work
 * @client: client
 * @members: membership
 * @now: current time, ms
 */
void medlar_members_stop(medlar_client_t *client, medlar_members_t *members,
			 medlar_time_t now)
{
	set_own_state(client, members, MEDLAR_MEMBER_DEAD, now);
}
