/**
 * DOC: membership of the instances, a SWIM variant
 *
 * Each instance publishes a fact about itself. Other instances may replace it
 * by the state suspect or dead, which the instance refutes with a higher
 * incarnation. Probes are in probe.c, the comparison of facts in sync.c,
 * configuration documents in config_sync.c.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define DEAD_TTL (10 * MEDLAR_MINUTE)
#define DRAIN_TTL_MAX (10 * MEDLAR_MINUTE)
#define VERDICT_TTL_MAX (24 * MEDLAR_HOUR)
#define JOINING_TIME (10 * MEDLAR_SECOND)
#define SYNC_FACT_SENDS 2

static const char *const state_names[MEDLAR_MEMBER_STATES] = {
	[MEDLAR_MEMBER_ALIVE] = "alive",
	[MEDLAR_MEMBER_SUSPECT] = "suspect",
	[MEDLAR_MEMBER_LEAVING] = "leaving",
	[MEDLAR_MEMBER_DEAD] = "dead",
};

typedef void (*message_handler_fn_t)(medlar_client_t *client,
				     medlar_members_t *members,
				     const medlar_message_t *message,
				     medlar_time_t now);

static const message_handler_fn_t message_handlers[MEDLAR_MESSAGE_KINDS] = {
	[MEDLAR_MESSAGE_PING] = medlar_probe_ping,
	[MEDLAR_MESSAGE_ACK] = medlar_probe_ack,
	[MEDLAR_MESSAGE_RELAY] = medlar_probe_relay,
	[MEDLAR_MESSAGE_SYNC] = medlar_sync_digests,
	[MEDLAR_MESSAGE_LIST] = medlar_sync_list,
	[MEDLAR_MESSAGE_WANT] = medlar_sync_want,
	[MEDLAR_MESSAGE_FETCH] = medlar_config_sync_send_chunks,
	[MEDLAR_MESSAGE_CHUNK] = medlar_config_sync_receive_chunk,
};

static uint64_t member_id(const medlar_member_info_t *info)
{
	uint64_t id = medlar_str_hash(medlar_str_from(info->name), 0);

	return id ? id : 1;
}

/* The region is the zone name up to the last hyphen. */
static uint64_t region_hash(const char *zone)
{
	const char *end = strrchr(zone, '-');
	size_t len = end ? (size_t)(end - zone) : strlen(zone);

	return medlar_str_hash((medlar_str_t){ zone, len }, 0);
}

static void trace_member(medlar_client_t *client,
			 const medlar_members_t *members,
			 const medlar_fact_entry_t *entry)
{
	const char *name = entry->info ? entry->info->name : "";

	MEDLAR_TRACE(
		client, MEDLAR_EVENT_MEMBER,
		MEDLAR_TEXT("instance", medlar_str_from(name)),
		MEDLAR_TEXT(
			"state",
			medlar_str_from(
				state_names[medlar_fact_entry_state(entry)])),
		MEDLAR_NUM("incarnation", medlar_fact_entry_incarnation(entry)),
		MEDLAR_NUM("live", members->live_count));
}

static int update_own_fact(medlar_client_t *client, medlar_members_t *members,
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

	return medlar_members_apply_fact(client, members, &fact,
					 MEDLAR_FACT_SENDS, now);
}

/* Overrides another instance's fact about this one by a new incarnation. */
static void refute_fact(medlar_client_t *client, medlar_members_t *members,
			const medlar_fact_t *fact, medlar_time_t now)
{
	uint64_t own = members->incarnation * MEDLAR_MEMBER_STATES +
		       members->state;

	if (fact->revision <= own)
		return;
	members->incarnation = fact->revision / MEDLAR_MEMBER_STATES + 1;
	update_own_fact(client, members, now);
}

static int apply_member_fact(medlar_client_t *client, medlar_members_t *members,
			     const medlar_fact_t *fact, uint32_t sends,
			     medlar_time_t now)
{
	medlar_fact_entry_t *entry = medlar_members_find(members,
							 fact->subject);
	bool known = entry != NULL;
	bool was_live = known && medlar_fact_entry_is_live(entry);
	int result = medlar_facts_put(&members->facts, fact, sends, now,
				      &entry);

	if (result <= 0)
		return result;
	if (!known && medlar_members_add_entry(members, entry)) {
		medlar_facts_remove(&members->facts, entry);
		return MEDLAR_ERR_NOMEM;
	}
	entry->state_since = now;
	if (entry->info) {
		entry->region = region_hash(entry->info->zone);
		entry->zone = medlar_str_hash(
			medlar_str_from(entry->info->zone), 0);
	}
	members->live_count += medlar_fact_entry_is_live(entry);
	members->live_count -= was_live;
	members->generation++;
	if (fact->revision > 0)
		trace_member(client, members, entry);
	return result;
}

static medlar_time_t fact_ttl_max(const medlar_fact_t *fact)
{
	if (fact->kind == MEDLAR_FACT_DRAIN)
		return DRAIN_TTL_MAX;
	if (fact->kind != MEDLAR_FACT_MEMBER)
		return VERDICT_TTL_MAX;
	if (fact->revision % MEDLAR_MEMBER_STATES == MEDLAR_MEMBER_DEAD)
		return DEAD_TTL;
	return MEDLAR_TIME_NEVER;
}

static bool agrees_with_own_state(const medlar_members_t *members,
				  const medlar_fact_t *fact)
{
	uint64_t own = members->incarnation * MEDLAR_MEMBER_STATES +
		       members->state;

	return fact->kind != MEDLAR_FACT_MEMBER ||
	       fact->subject != members->id || fact->revision == own;
}

/**
 * medlar_members_apply_fact() - apply a fact to the membership
 * @client: client
 * @members: membership
 * @fact: fact; copied
 * @sends: number of messages to send it in if it is new
 * @now: current time, ms
 *
 * The ttl is limited to the longest one of its kind. A fact that contradicts
 * the own state of this instance is refuted instead.
 *
 * Return: 1 if the fact is new or newer than the one held, 0 if not,
 * %MEDLAR_ERR_RANGE for an unknown kind or a ttl that is not positive,
 * %MEDLAR_ERR_FULL or %MEDLAR_ERR_NOMEM.
 */
int medlar_members_apply_fact(medlar_client_t *client,
			      medlar_members_t *members,
			      const medlar_fact_t *fact, uint32_t sends,
			      medlar_time_t now)
{
	medlar_fact_t applied = *fact;
	medlar_fact_entry_t *entry;
	int result;

	if (fact->kind < 0 || fact->kind >= MEDLAR_FACT_KINDS || fact->ttl <= 0)
		return MEDLAR_ERR_RANGE;
	if (!agrees_with_own_state(members, fact)) {
		refute_fact(client, members, fact, now);
		return 0;
	}
	if (applied.ttl > fact_ttl_max(fact))
		applied.ttl = fact_ttl_max(fact);
	if (fact->kind == MEDLAR_FACT_MEMBER)
		result = apply_member_fact(client, members, &applied, sends,
					   now);
	else
		result = medlar_facts_put(&members->facts, &applied, sends, now,
					  &entry);
	if (result <= 0 || !members->ops.fact)
		return result;
	entry = medlar_facts_find(&members->facts, fact->kind, fact->subject);
	applied = medlar_fact_from_entry(entry, now);
	if (applied.revision > 0)
		members->ops.fact(&applied, members->ops.data);
	return result;
}

/**
 * medlar_members_set_state() - set the state of another instance
 * @client: client
 * @members: membership
 * @entry: fact about the instance, of revision 1 or higher
 * @state: its new state, which is sent to all instances
 * @now: current time, ms
 */
void medlar_members_set_state(medlar_client_t *client,
			      medlar_members_t *members,
			      medlar_fact_entry_t *entry,
			      medlar_member_state_t state, medlar_time_t now)
{
	medlar_fact_t fact = entry->fact;

	fact.value = medlar_fact_entry_state(entry) == MEDLAR_MEMBER_LEAVING;
	fact.revision = medlar_fact_entry_incarnation(entry) *
				MEDLAR_MEMBER_STATES +
			state;
	fact.ttl = MEDLAR_TIME_NEVER;
	medlar_members_apply_fact(client, members, &fact, MEDLAR_FACT_SENDS,
				  now);
}

/**
 * medlar_members_is_joining() - whether this instance is still joining
 * @members: membership
 * @now: current time, ms
 *
 * Return: true until %JOINING_TIME after the first message from another
 * instance.
 */
bool medlar_members_is_joining(const medlar_members_t *members,
			       medlar_time_t now)
{
	return members->joined_at == MEDLAR_TIME_NEVER ||
	       now - members->joined_at < JOINING_TIME;
}

/**
 * medlar_members_send() - send a message without adding facts
 * @client: client
 * @members: membership
 * @to: fact about the receiver; nothing is sent if its address is unknown
 * @message: message; sender, digest and configuration revision are filled in
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
 * medlar_members_send_with_facts() - send a message with queued facts
 *	piggybacked
 * @client: client
 * @members: membership
 * @to: fact about the receiver; included unless its state is alive, so that
 *	the receiver can refute it
 * @message: message without facts
 * @now: current time, ms
 *
 * The own fact is included while joining and for a receiver that has never
 * been heard from. Queued facts fill the rest of
 * %MEDLAR_MESSAGE_FACTS_SIZE_MAX.
 */
void medlar_members_send_with_facts(medlar_client_t *client,
				    medlar_members_t *members,
				    const medlar_fact_entry_t *to,
				    medlar_message_t *message,
				    medlar_time_t now)
{
	medlar_fact_t facts[MEDLAR_MESSAGE_FACTS_MAX];
	size_t room = MEDLAR_MESSAGE_FACTS_SIZE_MAX;
	size_t len = 0;
	size_t i;

	if (medlar_fact_entry_state(to) != MEDLAR_MEMBER_ALIVE)
		facts[len++] = medlar_fact_from_entry(to, now);
	if (medlar_members_is_joining(members, now) || to->fact.revision == 0)
		facts[len++] = medlar_fact_from_entry(
			medlar_members_find(members, members->id), now);
	for (i = 0; i < len; i++)
		room -= medlar_fact_size(&facts[i]);
	len += medlar_facts_dequeue(&members->facts, facts + len,
				    MEDLAR_MESSAGE_FACTS_MAX - len, room, now);
	message->facts = facts;
	message->facts_len = len;
	medlar_members_send(client, members, to, message, now);
	message->facts = NULL;
	message->facts_len = 0;
}

/**
 * medlar_members_init() - initialise a membership with this instance only
 * @client: client of the control thread
 * @members: membership in memory of the caller; must not move until finished
 * @self: name and address of this instance; copied
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
		.id = member_id(self),
		.incarnation = incarnation ? incarnation : 1,
		.started_at = now,
		.joined_at = MEDLAR_TIME_NEVER,
	};
	medlar_buf_init(&members->document.text);
	medlar_probe_init(members);
	if (update_own_fact(client, members, now) <= 0) {
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
	medlar_config_sync_finish(members);
	medlar_facts_finish(&members->facts);
	free(members->entries);
	free(members->peer_ids);
	members->entries = NULL;
	members->len = 0;
	members->peer_ids = NULL;
}

/**
 * medlar_members_add_seed() - add the address of an instance to contact
 * @client: client
 * @members: membership
 * @info: name and address, from settings or the instance list; copied
 * @now: current time, ms
 *
 * It counts as a member only after a fact about it has been received.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_FULL when there are too many facts or too
 * little memory.
 */
int medlar_members_add_seed(medlar_client_t *client, medlar_members_t *members,
			    const medlar_member_info_t *info, medlar_time_t now)
{
	const medlar_fact_t fact = {
		.kind = MEDLAR_FACT_MEMBER,
		.subject = member_id(info),
		.ttl = MEDLAR_TIME_NEVER,
		.member = info,
	};

	if (fact.subject == members->id ||
	    medlar_members_find(members, fact.subject))
		return MEDLAR_OK;
	return medlar_members_apply_fact(client, members, &fact, 0, now) < 0
		       ? MEDLAR_ERR_FULL
		       : MEDLAR_OK;
}

static uint32_t fact_sends(const medlar_members_t *members,
			   const medlar_message_t *message, medlar_time_t now)
{
	if (message->kind != MEDLAR_MESSAGE_SYNC_FACTS)
		return MEDLAR_FACT_SENDS;
	return medlar_members_is_joining(members, now) ? 0 : SYNC_FACT_SENDS;
}

/**
 * medlar_members_receive() - handle a message from another instance
 * @client: client
 * @members: membership
 * @message: message with an authenticated sender; invalid kinds are ignored
 * @now: current time, ms
 */
void medlar_members_receive(medlar_client_t *client, medlar_members_t *members,
			    const medlar_message_t *message, medlar_time_t now)
{
	uint32_t sends = fact_sends(members, message, now);
	message_handler_fn_t handler;
	size_t i;

	if (message->from == members->id || message->kind < 0 ||
	    message->kind >= MEDLAR_MESSAGE_KINDS)
		return;
	if (members->joined_at == MEDLAR_TIME_NEVER)
		members->joined_at = now;
	for (i = 0; i < message->facts_len; i++)
		medlar_members_apply_fact(client, members, &message->facts[i],
					  sends, now);
	handler = message_handlers[message->kind];
	if (handler)
		handler(client, members, message, now);
	medlar_config_sync_check_revision(client, members, message, now);
}

/*
 * A new conviction or pardon replaces any verdict held, if necessary by a
 * raised revision. A new suspicion does not replace a conviction.
 */
static int adjust_verdict_revision(const medlar_members_t *members,
				   medlar_fact_t *fact)
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
 * medlar_members_broadcast() - send a fact to all instances, to some
 *	immediately
 * @client: client
 * @members: membership
 * @fact: a fact of any kind but %MEDLAR_FACT_MEMBER; copied
 * @now: current time, ms
 *
 * Return: 1 if the fact is new or newer than the one held, 0 if not,
 * %MEDLAR_ERR_STALE for a suspicion while a conviction is held, or an error of
 * medlar_members_apply_fact().
 */
int medlar_members_broadcast(medlar_client_t *client, medlar_members_t *members,
			     const medlar_fact_t *fact, medlar_time_t now)
{
	medlar_fact_t adjusted = *fact;
	int result = adjust_verdict_revision(members, &adjusted);

	if (result)
		return result;
	result = medlar_members_apply_fact(client, members, &adjusted,
					   MEDLAR_FACT_SENDS, now);
	if (result > 0)
		medlar_probe_push_now(client, members, now);
	return result;
}

static void set_own_state(medlar_client_t *client, medlar_members_t *members,
			  medlar_member_state_t state, medlar_time_t now)
{
	if (members->state >= state)
		return;
	members->state = state;
	update_own_fact(client, members, now);
	medlar_probe_gossip_round(client, members, now);
}

/**
 * medlar_members_leave() - announce that this instance is leaving
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
 * medlar_members_stop() - announce that this instance has stopped
 * @client: client
 * @members: membership
 * @now: current time, ms
 */
void medlar_members_stop(medlar_client_t *client, medlar_members_t *members,
			 medlar_time_t now)
{
	set_own_state(client, members, MEDLAR_MEMBER_DEAD, now);
}
