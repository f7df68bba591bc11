/**
 * DOC: encoding of messages between instances: XDR with a MAC
 */
#ifndef MEDLARD_PEER_CODEC_H
#define MEDLARD_PEER_CODEC_H

#include "libmedlar/medlar.h"
#include "proto/peer.h"

/** Length of the key for the MAC, bytes. */
#define PEER_KEY_LEN 32

/** Minimum length of the decoded shared secret, bytes. */
#define PEER_SECRET_MIN 16

/**
 * struct peer_decoded - a received message
 * @message: message; points into the other members
 * @facts: facts of the message
 * @infos: addresses of the instances in its facts
 * @keys: keys of the message
 * @wire: memory allocated by XDR
 */
typedef struct peer_decoded {
	medlar_message_t message;
	medlar_fact_t facts[MEDLAR_MESSAGE_FACTS_MAX];
	medlar_member_info_t infos[MEDLAR_MESSAGE_FACTS_MAX];
	medlar_fact_key_t keys[MEDLAR_MESSAGE_KEYS_MAX];
	peer_message wire;
} peer_decoded_t;

int peer_key_derive(uint8_t key[PEER_KEY_LEN], medlar_str_t hex);
int peer_encode(const uint8_t key[PEER_KEY_LEN],
		const medlar_message_t *message, char body[PEER_BODY_MAX],
		peer_envelope *out);
int peer_decode(const uint8_t key[PEER_KEY_LEN], const peer_envelope *envelope,
		peer_decoded_t *out);
void peer_decoded_finish(peer_decoded_t *received);

#endif /* MEDLARD_PEER_CODEC_H */
