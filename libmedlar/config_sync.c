/**
 * DOC: replication of the configuration document between instances
 *
 * Every message carries the revision that its sender holds. An instance that
 * receives a higher one fetches that document in chunks: as a delta if it
 * holds the sender's previous revision, else in full. A revision that is not
 * higher than the one held is never accepted.
 */
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Chunks that one request asks for. */
#define CHUNKS_PER_FETCH 4
/* A fetch without progress for this time is requested again, ms. */
#define FETCH_RETRY_DELAY ((medlar_time_t)480)
/* Gossip rounds in which a new revision is announced. */
#define ANNOUNCE_ROUNDS 4

/**
 * medlar_config_sync_finish() - release the document and the chunks of a fetch
 * @members: membership that is being finished
 */
void medlar_config_sync_finish(medlar_members_t *members)
{
	medlar_buf_finish(&members->document.text);
	free(members->fetch.bytes);
	members->fetch.bytes = NULL;
}

static void discard_chunks(medlar_members_t *members)
{
	free(members->fetch.bytes);
	members->fetch.bytes = NULL;
	memset(members->fetch.got, 0, sizeof(members->fetch.got));
}

static uint32_t common_prefix(medlar_str_t a, medlar_str_t b)
{
	size_t max = a.len < b.len ? a.len : b.len;
	size_t len = 0;

	while (len < max && a.ptr[len] == b.ptr[len])
		len++;
	return (uint32_t)len;
}

static uint32_t common_suffix(medlar_str_t a, medlar_str_t b, size_t prefix)
{
	size_t max = (a.len < b.len ? a.len : b.len) - prefix;
	size_t len = 0;

	while (len < max && a.ptr[a.len - 1 - len] == b.ptr[b.len - 1 - len])
		len++;
	return (uint32_t)len;
}

/**
 * medlar_members_set_document() - set the configuration document
 * @client: client
 * @members: membership
 * @revision: its revision, at least 1
 * @document: document; copied
 * @now: current time, ms
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_STALE if the revision is not higher than the
 * one held; %MEDLAR_ERR_TOO_LARGE above %MEDLAR_DOCUMENT_MAX bytes; or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_members_set_document(medlar_client_t *client,
				medlar_members_t *members, uint64_t revision,
				medlar_str_t document, medlar_time_t now)
{
	medlar_str_t old = medlar_buf_str(&members->document.text);
	medlar_buf_t text;

	(void)now;
	if (revision <= members->document.revision)
		return MEDLAR_ERR_STALE;
	if (document.len > MEDLAR_DOCUMENT_MAX)
		return MEDLAR_ERR_TOO_LARGE;
	medlar_buf_init(&text);
	medlar_buf_add(&text, document);
	if (text.error)
		return text.error;
	members->document.base = members->document.revision;
	members->document.prefix = common_prefix(old, document);
	members->document.suffix = common_suffix(old, document,
						 members->document.prefix);
	medlar_buf_finish(&members->document.text);
	members->document.text = text;
	members->document.revision = revision;
	members->document.hash = medlar_str_hash(document, revision);
	members->document.sends = ANNOUNCE_ROUNDS;
	if (revision >= members->fetch.revision)
		discard_chunks(members);
	MEDLAR_TRACE(client, MEDLAR_EVENT_CONFIG,
		     MEDLAR_NUM("revision", revision),
		     MEDLAR_NUM("bytes", document.len),
		     MEDLAR_NUM("base", members->document.base));
	return MEDLAR_OK;
}

/**
 * medlar_members_revision() - revision of the configuration document held
 * @members: membership
 *
 * Return: the revision; 0 if no document is held.
 */
uint64_t medlar_members_revision(const medlar_members_t *members)
{
	return members->document.revision;
}

/**
 * medlar_members_document() - the configuration document held
 * @members: membership
 *
 * Return: its bytes, valid until the document is replaced; empty for none.
 */
medlar_str_t medlar_members_document(const medlar_members_t *members)
{
	return medlar_buf_str(&members->document.text);
}

static uint32_t chunk_count(uint32_t total)
{
	if (total == 0)
		return 1;
	return (total + MEDLAR_CHUNK_MAX - 1) / MEDLAR_CHUNK_MAX;
}

static bool has_chunk(const medlar_members_t *members, uint32_t chunk)
{
	return members->fetch.got[chunk / 64] >> (chunk % 64) & 1;
}

/* Index of the first missing chunk; the chunk count if none is missing. */
static uint32_t first_missing(const medlar_members_t *members)
{
	uint32_t chunks = chunk_count(members->fetch.head.total);
	uint32_t chunk = 0;

	if (!members->fetch.bytes)
		return 0;
	while (chunk < chunks && has_chunk(members, chunk))
		chunk++;
	return chunk;
}

static void request_chunks(medlar_client_t *client, medlar_members_t *members,
			   const medlar_fact_entry_t *holder, medlar_time_t now)
{
	uint32_t chunk = first_missing(members);
	medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_FETCH,
		.chunk = { .offset = chunk * MEDLAR_CHUNK_MAX },
	};

	members->fetch.from = holder->fact.subject;
	members->fetch.asked = chunk;
	members->fetch.progress = now;
	medlar_members_send(client, members, holder, &message, now);
}

/**
 * medlar_config_sync_check_revision() - start a fetch if the sender has a
 *	higher revision
 * @client: client
 * @members: membership
 * @message: any message from another instance
 * @now: current time, ms
 *
 * A revision counts as higher if it is above the one held and the one that is
 * being fetched.
 */
void medlar_config_sync_check_revision(medlar_client_t *client,
				       medlar_members_t *members,
				       const medlar_message_t *message,
				       medlar_time_t now)
{
	const medlar_fact_entry_t *sender = medlar_members_find(members,
								message->from);

	if (!sender || message->revision <= members->document.revision ||
	    message->revision <= members->fetch.revision)
		return;
	members->fetch.revision = message->revision;
	discard_chunks(members);
	request_chunks(client, members, sender, now);
}

/**
 * medlar_config_sync_retry() - request a stalled document from another instance
 * @client: client
 * @members: membership
 * @now: current time, ms
 */
void medlar_config_sync_retry(medlar_client_t *client,
			      medlar_members_t *members, medlar_time_t now)
{
	const medlar_fact_entry_t *holder;

	if (members->fetch.revision <= members->document.revision ||
	    now - members->fetch.progress < FETCH_RETRY_DELAY)
		return;
	holder = medlar_members_pick_random(client, members,
					    MEDLAR_REACH_REGION);
	if (holder)
		request_chunks(client, members, holder, now);
}

/**
 * medlar_config_sync_send_chunks() - answer a fetch with chunks of the document
 * @client: client
 * @members: membership
 * @message: fetch, with the revision that its sender holds and the offset of
 *	the first chunk to send
 * @now: current time, ms
 */
void medlar_config_sync_send_chunks(medlar_client_t *client,
				    medlar_members_t *members,
				    const medlar_message_t *message,
				    medlar_time_t now)
{
	const medlar_fact_entry_t *sender = medlar_members_find(members,
								message->from);
	medlar_str_t text = medlar_buf_str(&members->document.text);
	medlar_message_t answer = {
		.kind = MEDLAR_MESSAGE_CHUNK,
		.chunk = { .hash = members->document.hash },
	};
	medlar_chunk_t *chunk = &answer.chunk;
	unsigned i;

	if (!sender || message->revision >= members->document.revision)
		return;
	if (message->revision > 0 &&
	    message->revision == members->document.base) {
		chunk->base = members->document.base;
		chunk->prefix = members->document.prefix;
		chunk->suffix = members->document.suffix;
	}
	chunk->total = (uint32_t)text.len - chunk->prefix - chunk->suffix;
	chunk->offset = message->chunk.offset;
	for (i = 0; i < CHUNKS_PER_FETCH; i++) {
		size_t left;

		if (chunk->offset > chunk->total ||
		    (i > 0 && chunk->offset == chunk->total))
			break;
		left = chunk->total - chunk->offset;
		chunk->bytes.ptr = text.ptr + chunk->prefix + chunk->offset;
		chunk->bytes.len = left < MEDLAR_CHUNK_MAX ? left
							   : MEDLAR_CHUNK_MAX;
		medlar_members_send(client, members, sender, &answer, now);
		chunk->offset += (uint32_t)chunk->bytes.len;
	}
}

/* Builds the document from the chunks and, for a delta, the one held. */
static void assemble_document(const medlar_members_t *members,
			      medlar_buf_t *out)
{
	const medlar_chunk_t *head = &members->fetch.head;
	medlar_str_t old = medlar_buf_str(&members->document.text);
	medlar_str_t middle = { members->fetch.bytes, head->total };

	medlar_buf_add(out, (medlar_str_t){ old.ptr, head->prefix });
	medlar_buf_add(out, middle);
	medlar_buf_add(out, (medlar_str_t){ old.ptr + old.len - head->suffix,
					    head->suffix });
}

static void complete_fetch(medlar_client_t *client, medlar_members_t *members,
			   medlar_time_t now)
{
	uint64_t revision = members->fetch.head_revision;
	medlar_buf_t text;
	medlar_str_t document;

	medlar_buf_init(&text);
	assemble_document(members, &text);
	document = medlar_buf_str(&text);
	discard_chunks(members);
	if (!text.error &&
	    medlar_str_hash(document, revision) == members->fetch.head.hash &&
	    medlar_members_set_document(client, members, revision, document,
					now) == MEDLAR_OK &&
	    members->ops.document)
		members->ops.document(revision, document, members->ops.data);
	medlar_buf_finish(&text);
}

static bool is_valid_chunk(const medlar_members_t *members,
			   const medlar_chunk_t *chunk)
{
	size_t held = members->document.text.len;
	size_t shared = (size_t)chunk->prefix + chunk->suffix;

	if (chunk->total > MEDLAR_DOCUMENT_MAX ||
	    chunk->offset % MEDLAR_CHUNK_MAX != 0 ||
	    chunk->offset > chunk->total)
		return false;
	if (chunk->total - chunk->offset > MEDLAR_CHUNK_MAX &&
	    chunk->bytes.len != MEDLAR_CHUNK_MAX)
		return false;
	if (chunk->total - chunk->offset <= MEDLAR_CHUNK_MAX &&
	    chunk->bytes.len != chunk->total - chunk->offset)
		return false;
	if (chunk->offset / MEDLAR_CHUNK_MAX >= chunk_count(chunk->total))
		return false;
	if (chunk->base == 0)
		return shared == 0;
	return chunk->base == members->document.revision && shared <= held;
}

static bool is_part_of_fetch(const medlar_members_t *members,
			     const medlar_message_t *message)
{
	const medlar_chunk_t *head = &members->fetch.head;
	const medlar_chunk_t *chunk = &message->chunk;

	return members->fetch.bytes &&
	       message->revision == members->fetch.head_revision &&
	       chunk->hash == head->hash && chunk->base == head->base &&
	       chunk->total == head->total && chunk->prefix == head->prefix &&
	       chunk->suffix == head->suffix;
}

/* Discards the fetch and restarts it with a chunk of the current source. */
static bool restart_fetch(medlar_members_t *members,
			  const medlar_message_t *message)
{
	if (message->from != members->fetch.from ||
	    message->revision < members->fetch.revision)
		return false;
	discard_chunks(members);
	members->fetch.bytes = calloc(1, (size_t)message->chunk.total + 1);
	members->fetch.revision = message->revision;
	members->fetch.head_revision = message->revision;
	members->fetch.head = message->chunk;
	return members->fetch.bytes;
}

/**
 * medlar_config_sync_receive_chunk() - handle a chunk of a document
 * @client: client
 * @members: membership
 * @message: the chunk and the revision of its document
 * @now: current time, ms
 *
 * Chunks may arrive in any order. The last one sets the document if its hash
 * matches.
 */
void medlar_config_sync_receive_chunk(medlar_client_t *client,
				      medlar_members_t *members,
				      const medlar_message_t *message,
				      medlar_time_t now)
{
	const medlar_chunk_t *chunk = &message->chunk;
	const medlar_fact_entry_t *sender = medlar_members_find(members,
								message->from);
	uint32_t number = chunk->offset / MEDLAR_CHUNK_MAX;
	uint32_t missing;

	if (!sender || message->revision <= members->document.revision ||
	    !is_valid_chunk(members, chunk))
		return;
	if (!is_part_of_fetch(members, message) &&
	    !restart_fetch(members, message))
		return;
	if (chunk->bytes.len > 0)
		memcpy(members->fetch.bytes + chunk->offset, chunk->bytes.ptr,
		       chunk->bytes.len);
	members->fetch.got[number / 64] |= UINT64_C(1) << (number % 64);
	members->fetch.progress = now;
	missing = first_missing(members);
	if (missing == chunk_count(chunk->total))
		complete_fetch(client, members, now);
	else if (missing >= members->fetch.asked + CHUNKS_PER_FETCH)
		request_chunks(client, members, sender, now);
}
