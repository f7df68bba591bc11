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
 * struct peer_transport - transport of this instance
 * @loop: event loop of the control thread
 * @log: log of the control thread
 * @key: key for the MAC of all messages
 * @receive: called with each authenticated message
 * @data: passed to @receive
 * @xprt: RPC server transport of libtirpc
 * @fd: UDP socket, for sending and receiving
 * @metrics: counters of the control thread
 * @id: transaction id of the last call sent
 */
typedef struct peer_transport {
	loop_t *loop;
	logger_t *log;
	uint8_t key[PEER_KEY_LEN];
	peer_receive_fn_t receive;
	void *data;
	SVCXPRT *xprt;
	int fd;
	metrics_t *metrics;
	uint32_t id;
} peer_transport_t;

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

int peer_init(peer_transport_t *transport, loop_t *loop, logger_t *log,
	      const peer_params_t *params, peer_receive_fn_t receive,
	      void *data);
void peer_finish(peer_transport_t *transport);
int peer_send(peer_transport_t *transport, const medlar_member_info_t *to,
	      const medlar_message_t *message);

#endif /* MEDLARD_PEER_H */
