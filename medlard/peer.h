/**
 * DOC: transport between instances: ONC RPC over UDP
 *
 * Runs in the control thread. Calls have no reply, so the thread never waits
 * for another instance.
 */
#ifndef MEDLARD_PEER_H
#define MEDLARD_PEER_H

#include <netinet/in.h>

#include "medlard/log.h"
#include "medlard/loop.h"
#include "medlard/metrics.h"
#include "medlard/peer_codec.h"

typedef void (*peer_receive_fn_t)(const medlar_message_t *message, void *data);

/**
 * struct peer - transport of this instance
 * @loop: event loop of the control thread
 * @log: log of the control thread
 * @key: key for the MAC of all messages
 * @receive: called with each authenticated message
 * @data: passed to @receive
 * @transport: RPC server transport
 * @fd: UDP socket, for sending and receiving
 * @metrics: counters of the control thread
 * @id: transaction id of the last call sent
 */
typedef struct peer {
	loop_t *loop;
	logger_t *log;
	uint8_t key[PEER_KEY_LEN];
	peer_receive_fn_t receive;
	void *data;
	SVCXPRT *transport;
	int fd;
	metrics_t *metrics;
	uint32_t id;
} peer_t;

/**
 * struct peer_params - parameters of the transport
 * @host: IP address to listen on, in text form
 * @port: UDP port
 * @key: shared secret in hexadecimal
 * @metrics: counters of the control thread
 */
typedef struct peer_params {
	const char *host;
	uint16_t port;
	medlar_str_t key;
	metrics_t *metrics;
} peer_params_t;

int peer_init(peer_t *peer, loop_t *loop, logger_t *log,
	      const peer_params_t *settings, peer_receive_fn_t receive,
	      void *data);
void peer_finish(peer_t *peer);
int peer_send(peer_t *peer, const medlar_member_info_t *to,
	      const medlar_message_t *message);

#endif /* MEDLARD_PEER_H */
