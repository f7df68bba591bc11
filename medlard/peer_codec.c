/**
 * DOC: encoding of messages between instances: XDR with a MAC
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "medlard/peer_codec.h"

/* Protocol version; messages of any other version are rejected. */
#define PROTOCOL_VERSION 1

/* Maximum length of the decoded shared secret, bytes. */
#define SECRET_MAX 64

/* Encoding of %MEDLAR_TIME_NEVER as a ttl. */
#define TTL_NEVER UINT64_MAX

/**
 * struct encoder - a message in the form that XDR encodes
 * @wire: message
 * @facts: facts of @wire
 * @members: addresses of the instances in @facts
 * @keys: keys of @wire
 * @chunk: chunk of @wire
 */
typedef struct encoder {
	peer_message wire;
	peer_fact facts[PEER_FACTS_MAX];
	peer_member members[PEER_FACTS_MAX];
	peer_key keys[PEER_KEYS_MAX];
	peer_chunk chunk;
} encoder_t;

/**
 * peer_key_derive() - derive the key for the MAC from the shared secret
 * @key: set to the key
 * @hex: secret in hexadecimal, %PEER_SECRET_MIN to 64 bytes when decoded
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_MISSING if it is empty; %MEDLAR_ERR_SYNTAX if
 * it is too long or not hexadecimal; %MEDLAR_ERR_RANGE if it is too short.
 */
int peer_key_derive(uint8_t key[PEER_KEY_LEN], medlar_str_t hex)
{
	uint8_t secret[SECRET_MAX];
	const char *end;
	size_t len;

	if (hex.len == 0)
		return MEDLAR_ERR_MISSING;
	if (sodium_hex2bin(secret, sizeof(secret), hex.ptr, hex.len, NULL, &len,
			   &end) != 0 ||
	    end != hex.ptr + hex.len)
		return MEDLAR_ERR_SYNTAX;
	if (len < PEER_SECRET_MIN)
		return MEDLAR_ERR_RANGE;
	crypto_generichash(key, PEER_KEY_LEN, secret, len, NULL, 0);
	sodium_memzero(secret, sizeof(secret));
	return MEDLAR_OK;
}

static void encode_member(const medlar_member_info_t *info, peer_member *out)
{
	out->name = (char *)info->name;
	out->host = (char *)info->host;
	out->port = info->port;
	out->peer_port = info->peer_port;
	out->zone = (char *)info->zone;
}

static void encode_facts(const medlar_message_t *message, encoder_t *encoder)
{
	size_t i;

	for (i = 0; i < message->facts_len; i++) {
		const medlar_fact_t *fact = &message->facts[i];

		encoder->facts[i] = (peer_fact){
			.kind = fact->kind,
			.place = fact->shard,
			.subject = fact->subject,
			.revision = fact->revision,
			.value = fact->value,
			.other = fact->replica,
			.ttl = fact->ttl == MEDLAR_TIME_NEVER
				       ? TTL_NEVER
				       : (uint64_t)fact->ttl,
		};
		if (!fact->member)
			continue;
		encode_member(fact->member, &encoder->members[i]);
		encoder->facts[i].member = &encoder->members[i];
	}
	encoder->wire.facts.facts_val = encoder->facts;
	encoder->wire.facts.facts_len = (u_int)message->facts_len;
}

static void encode_keys(const medlar_message_t *message, encoder_t *encoder)
{
	size_t i;

	for (i = 0; i < message->keys_len; i++)
		encoder->keys[i] = (peer_key){
			.kind = message->keys[i].kind,
			.subject = message->keys[i].subject,
			.revision = message->keys[i].revision,
		};
	encoder->wire.keys.keys_val = encoder->keys;
	encoder->wire.keys.keys_len = (u_int)message->keys_len;
}

static void encode_chunk(const medlar_message_t *message, encoder_t *encoder)
{
	const medlar_chunk_t *chunk = &message->chunk;

	if (message->kind != MEDLAR_MESSAGE_CHUNK &&
	    message->kind != MEDLAR_MESSAGE_FETCH)
		return;
	encoder->chunk = (peer_chunk){
		.base = chunk->base,
		.prefix = chunk->prefix,
		.suffix = chunk->suffix,
		.total = chunk->total,
		.offset = chunk->offset,
		.hash = chunk->hash,
		.bytes = { (u_int)chunk->bytes.len, (char *)chunk->bytes.ptr },
	};
	encoder->wire.chunk = &encoder->chunk;
}

static void encode_message(const medlar_message_t *message, encoder_t *encoder)
{
	encoder->wire = (peer_message){
		.protocol = PROTOCOL_VERSION,
		.kind = message->kind,
		.from = message->from,
		.about = message->about,
		.seq = message->seq,
		.digest = message->digest,
		.revision = message->revision,
	};
	encode_facts(message, encoder);
	encode_keys(message, encoder);
	encode_chunk(message, encoder);
	if (message->digests) {
		encoder->wire.digests.digests_val = (u_int *)message->digests;
		encoder->wire.digests.digests_len = PEER_DIGESTS_MAX;
	}
}

/**
 * peer_encode() - encode a message and add its MAC
 * @key: key for the MAC
 * @message: message
 * @body: memory for the encoded message
 * @out: set to the envelope, which points to @body
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_TOO_LARGE.
 */
int peer_encode(const uint8_t key[PEER_KEY_LEN],
		const medlar_message_t *message, char body[PEER_BODY_MAX],
		peer_envelope *out)
{
	encoder_t encoder = { 0 };
	bool encoded;
	XDR xdr;

	if (message->facts_len > PEER_FACTS_MAX ||
	    message->keys_len > PEER_KEYS_MAX ||
	    message->chunk.bytes.len > PEER_BYTES_MAX)
		return MEDLAR_ERR_TOO_LARGE;
	encode_message(message, &encoder);
	xdrmem_create(&xdr, body, PEER_BODY_MAX, XDR_ENCODE);
	encoded = xdr_peer_message(&xdr, &encoder.wire);
	out->body.body_val = body;
	out->body.body_len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (!encoded)
		return MEDLAR_ERR_TOO_LARGE;
	crypto_generichash((uint8_t *)out->mac, PEER_MAC_LEN,
			   (const uint8_t *)body, out->body.body_len, key,
			   PEER_KEY_LEN);
	return MEDLAR_OK;
}

static void decode_member(const peer_member *member, medlar_member_info_t *out)
{
	snprintf(out->name, sizeof(out->name), "%s", member->name);
	snprintf(out->host, sizeof(out->host), "%s", member->host);
	snprintf(out->zone, sizeof(out->zone), "%s", member->zone);
	out->port = (uint16_t)member->port;
	out->peer_port = (uint16_t)member->peer_port;
}

static medlar_time_t decode_ttl(uint64_t ttl)
{
	return ttl < INT64_MAX ? (medlar_time_t)ttl : MEDLAR_TIME_NEVER;
}

static void decode_facts(peer_decoded_t *received)
{
	size_t i;

	for (i = 0; i < received->wire.facts.facts_len; i++) {
		const peer_fact *fact = &received->wire.facts.facts_val[i];

		received->facts[i] = (medlar_fact_t){
			.kind = (medlar_fact_kind_t)fact->kind,
			.shard = fact->place,
			.subject = fact->subject,
			.revision = fact->revision,
			.value = fact->value,
			.replica = fact->other,
			.ttl = decode_ttl(fact->ttl),
		};
		if (!fact->member)
			continue;
		decode_member(fact->member, &received->infos[i]);
		received->facts[i].member = &received->infos[i];
	}
	received->message.facts = received->facts;
	received->message.facts_len = i;
}

static void decode_keys(peer_decoded_t *received)
{
	size_t i;

	for (i = 0; i < received->wire.keys.keys_len; i++) {
		const peer_key *key = &received->wire.keys.keys_val[i];

		received->keys[i] = (medlar_fact_key_t){ key->kind,
							 key->subject,
							 key->revision };
	}
	received->message.keys = received->keys;
	received->message.keys_len = i;
}

static void decode_chunk(peer_decoded_t *received)
{
	const peer_chunk *chunk = received->wire.chunk;

	if (!chunk)
		return;
	received->message.chunk = (medlar_chunk_t){
		.base = chunk->base,
		.prefix = chunk->prefix,
		.suffix = chunk->suffix,
		.total = chunk->total,
		.offset = chunk->offset,
		.hash = chunk->hash,
		.bytes = { chunk->bytes.bytes_val, chunk->bytes.bytes_len },
	};
}

static void decode_message(peer_decoded_t *received)
{
	const peer_message *wire = &received->wire;

	received->message = (medlar_message_t){
		.kind = (medlar_message_kind_t)wire->kind,
		.from = wire->from,
		.about = wire->about,
		.seq = wire->seq,
		.digest = wire->digest,
		.revision = wire->revision,
	};
	decode_facts(received);
	decode_keys(received);
	decode_chunk(received);
	if (wire->digests.digests_len == PEER_DIGESTS_MAX)
		received->message.digests = wire->digests.digests_val;
}

static bool is_well_formed(const peer_message *wire)
{
	if (wire->protocol != PROTOCOL_VERSION ||
	    wire->kind >= MEDLAR_MESSAGE_KINDS)
		return false;
	for (u_int i = 0; i < wire->facts.facts_len; i++)
		if (wire->facts.facts_val[i].kind >= MEDLAR_FACT_KINDS)
			return false;
	return wire->kind != MEDLAR_MESSAGE_CHUNK || wire->chunk;
}

/**
 * peer_decode() - check the MAC of a message and decode it
 * @key: key for the MAC
 * @envelope: received envelope
 * @out: set to the message; release it with peer_decoded_finish()
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_AUTH if the MAC is wrong;
 * %MEDLAR_ERR_PROTOCOL if the message cannot be decoded or has another protocol
 * version.
 */
int peer_decode(const uint8_t key[PEER_KEY_LEN], const peer_envelope *envelope,
		peer_decoded_t *out)
{
	uint8_t mac[PEER_MAC_LEN];
	bool decoded;
	XDR xdr;

	crypto_generichash(mac, sizeof(mac),
			   (const uint8_t *)envelope->body.body_val,
			   envelope->body.body_len, key, PEER_KEY_LEN);
	if (sodium_memcmp(mac, envelope->mac, sizeof(mac)) != 0)
		return MEDLAR_ERR_AUTH;
	memset(&out->wire, 0, sizeof(out->wire));
	xdrmem_create(&xdr, envelope->body.body_val, envelope->body.body_len,
		      XDR_DECODE);
	decoded = xdr_peer_message(&xdr, &out->wire);
	xdr_destroy(&xdr);
	if (!decoded || !is_well_formed(&out->wire)) {
		peer_decoded_finish(out);
		return MEDLAR_ERR_PROTOCOL;
	}
	decode_message(out);
	return MEDLAR_OK;
}

/**
 * peer_decoded_finish() - release a received message
 * @received: result of peer_decode()
 */
void peer_decoded_finish(peer_decoded_t *received)
{
	xdr_free((xdrproc_t)xdr_peer_message, (char *)&received->wire);
}
