/*
 * Messages between instances. Each is a call without a reply; an answer is
 * a call in the other direction. The body is a peer_message in XDR, and the
 * MAC is a keyed BLAKE2b hash of it.
 */

const PEER_NAME_MAX = 63;
const PEER_HOST_MAX = 45;
const PEER_FACTS_MAX = 16;
const PEER_KEYS_MAX = 56;
const PEER_DIGESTS_MAX = 256;
const PEER_BYTES_MAX = 1024;
const PEER_BODY_MAX = 1600;
const PEER_MAC_LEN = 16;

struct peer_member {
	string name<PEER_NAME_MAX>;
	string host<PEER_HOST_MAX>;
	unsigned int port;
	unsigned int peer_port;
	string zone<PEER_NAME_MAX>;
};

struct peer_fact {
	unsigned int kind;
	unsigned int place;
	unsigned hyper subject;
	unsigned hyper revision;
	unsigned hyper value;
	unsigned hyper other;
	unsigned hyper ttl;
	peer_member *member;
};

struct peer_key {
	unsigned int kind;
	unsigned hyper subject;
	unsigned hyper revision;
};

struct peer_chunk {
	unsigned hyper base;
	unsigned int prefix;
	unsigned int suffix;
	unsigned int total;
	unsigned int offset;
	unsigned hyper hash;
	opaque bytes<PEER_BYTES_MAX>;
};

struct peer_message {
	unsigned int protocol;
	unsigned int kind;
	unsigned hyper from;
	unsigned hyper about;
	unsigned int seq;
	unsigned int digest;
	unsigned hyper revision;
	peer_fact facts<PEER_FACTS_MAX>;
	peer_key keys<PEER_KEYS_MAX>;
	unsigned int digests<PEER_DIGESTS_MAX>;
	peer_chunk *chunk;
};

struct peer_envelope {
	opaque body<PEER_BODY_MAX>;
	opaque mac[PEER_MAC_LEN];
};

program PEER_PROGRAM {
	version PEER_VERSION {
		void PEER_SEND(peer_envelope) = 1;
	} = 1;
} = 0x20006d65;
