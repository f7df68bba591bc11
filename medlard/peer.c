/**
 * DOC: transport between instances: ONC RPC over UDP
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "medlard/peer.h"

/* Longest datagram sent or received, bytes. */
#define DATAGRAM_MAX 2048

/* Length of a call without the body of its message, bytes. */
#define CALL_OVERHEAD (40 + 4 + PEER_MAC_LEN)

/*
 * The peer for which the thread is in svc_getreq_common(): libtirpc passes no
 * user data to the dispatch function.
 */
static _Thread_local peer_t *receiving_peer;

static int parse_address(const char *host, uint16_t port,
			 struct sockaddr_storage *out, socklen_t *len)
{
	struct sockaddr_in *ipv4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, host, &ipv4->sin_addr) == 1) {
		ipv4->sin_family = AF_INET;
		ipv4->sin_port = htons(port);
		*len = sizeof(*ipv4);
		return MEDLAR_OK;
	}
	if (inet_pton(AF_INET6, host, &ipv6->sin6_addr) == 1) {
		ipv6->sin6_family = AF_INET6;
		ipv6->sin6_port = htons(port);
		*len = sizeof(*ipv6);
		return MEDLAR_OK;
	}
	return MEDLAR_ERR_SYNTAX;
}

static void receive_envelope(peer_t *peer, const peer_envelope *envelope)
{
	peer_letter_t received;
	int error = peer_open(peer->key, envelope, &received);

	if (error) {
		metrics_add(peer->metrics,
			    error == MEDLAR_ERR_AUTH
				    ? METRIC_PEER_UNAUTHENTICATED
				    : METRIC_PEER_MALFORMED,
			    1);
		LOG_LINE(peer->log, LOG_LEVEL_DEBUG, "peer_drop",
			 MEDLAR_TEXT("why",
				     medlar_str_from(medlar_error_name(error))),
			 MEDLAR_NUM("bytes", envelope->body.body_len));
		return;
	}
	metrics_add(peer->metrics, METRIC_PEER_RECEIVED, 1);
	metrics_add(peer->metrics, METRIC_PEER_RECEIVED_BYTES,
		    CALL_OVERHEAD + envelope->body.body_len);
	peer->receive(&received.message, peer->data);
	peer_letter_finish(&received);
}

/* Sends no reply to any call, not even an error to a malformed one. */
static void dispatch_call(struct svc_req *request, SVCXPRT *transport)
{
	peer_envelope envelope = { 0 };

	if (!receiving_peer || request->rq_proc != PEER_SEND ||
	    !svc_getargs(transport, (xdrproc_t)xdr_peer_envelope,
			 (char *)&envelope)) {
		if (receiving_peer)
			metrics_add(receiving_peer->metrics,
				    METRIC_PEER_MALFORMED, 1);
		return;
	}
	receive_envelope(receiving_peer, &envelope);
	svc_freeargs(transport, (xdrproc_t)xdr_peer_envelope,
		     (char *)&envelope);
}

static void on_readable(uint32_t events, void *data)
{
	peer_t *peer = data;

	(void)events;
	receiving_peer = peer;
	svc_getreq_common(peer->fd);
	receiving_peer = NULL;
}

static int open_socket(const struct sockaddr_storage *address, socklen_t len)
{
	int fd = socket(address->ss_family,
			SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (const struct sockaddr *)address, len) == 0)
		return fd;
	close(fd);
	return -1;
}

static int start_server(peer_t *peer, const struct sockaddr_storage *address,
			socklen_t len)
{
	peer->fd = open_socket(address, len);
	if (peer->fd < 0)
		return MEDLAR_ERR_IO;
	peer->transport = svc_dg_create(peer->fd, DATAGRAM_MAX, DATAGRAM_MAX);
	if (!peer->transport || !svc_reg(peer->transport, PEER_PROGRAM,
					 PEER_VERSION, dispatch_call, NULL))
		return MEDLAR_ERR_IO;
	return loop_watch(peer->loop, peer->fd, EPOLLIN, on_readable, peer);
}

/**
 * peer_init() - open the socket and start to receive
 * @peer: memory provided by the caller; must not move
 * @loop: event loop of the control thread
 * @log: log of the control thread
 * @settings: address, secret and counters
 * @receive: called with each authenticated message
 * @data: passed to @receive
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_MISSING without a secret; %MEDLAR_ERR_SYNTAX
 * for a malformed secret or address; %MEDLAR_ERR_RANGE for a short secret;
 * %MEDLAR_ERR_IO if the socket or the RPC server cannot be opened; or
 * %MEDLAR_ERR_NOMEM.
 */
int peer_init(peer_t *peer, loop_t *loop, logger_t *log,
	      const peer_params_t *settings, peer_receive_fn_t receive,
	      void *data)
{
	struct sockaddr_storage address;
	socklen_t len;
	int error;

	*peer = (peer_t){
		.loop = loop,
		.log = log,
		.metrics = settings->metrics,
		.receive = receive,
		.data = data,
		.fd = -1,
	};
	error = peer_key_derive(peer->key, settings->key);
	if (!error)
		error = parse_address(settings->host, settings->port, &address,
				      &len);
	if (!error)
		error = start_server(peer, &address, len);
	if (error)
		peer_finish(peer);
	return error;
}

/**
 * peer_finish() - close the socket
 * @peer: transport, also one whose peer_init() failed
 */
void peer_finish(peer_t *peer)
{
	if (peer->fd >= 0)
		loop_unwatch(peer->loop, peer->fd);
	if (peer->transport) {
		svc_unreg(PEER_PROGRAM, PEER_VERSION);
		svc_destroy(peer->transport);
	} else if (peer->fd >= 0) {
		close(peer->fd);
	}
	peer->transport = NULL;
	peer->fd = -1;
}

/* Encodes a call; clnt_call() of libtirpc would wait for a reply. */
static size_t encode_call(uint32_t id, peer_envelope *envelope,
			  char out[DATAGRAM_MAX])
{
	struct rpc_msg call = { .rm_xid = id, .rm_direction = CALL };
	bool encoded;
	size_t len;
	XDR xdr;

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = PEER_PROGRAM;
	call.rm_call.cb_vers = PEER_VERSION;
	call.rm_call.cb_proc = PEER_SEND;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdr, out, DATAGRAM_MAX, XDR_ENCODE);
	encoded = xdr_callmsg(&xdr, &call) && xdr_peer_envelope(&xdr, envelope);
	len = encoded ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return len;
}

/**
 * peer_send() - send a message
 * @peer: transport
 * @to: receiver
 * @message: message
 *
 * Return: %MEDLAR_OK if it was sent, which does not mean that it arrives;
 * %MEDLAR_ERR_SYNTAX for an invalid address, %MEDLAR_ERR_TOO_LARGE or
 * %MEDLAR_ERR_IO.
 */
int peer_send(peer_t *peer, const medlar_member_info_t *to,
	      const medlar_message_t *message)
{
	struct sockaddr_storage address;
	char datagram[DATAGRAM_MAX];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	socklen_t address_len;
	size_t len;
	int error;

	error = parse_address(to->host, to->peer_port, &address, &address_len);
	if (!error)
		error = peer_seal(peer->key, message, body, &envelope);
	if (error)
		return error;
	len = encode_call(++peer->id, &envelope, datagram);
	if (len == 0)
		return MEDLAR_ERR_TOO_LARGE;
	if (sendto(peer->fd, datagram, len, 0,
		   (const struct sockaddr *)&address,
		   address_len) != (ssize_t)len)
		return MEDLAR_ERR_IO;
	metrics_add(peer->metrics, METRIC_PEER_SENT, 1);
	metrics_add(peer->metrics, METRIC_PEER_SENT_BYTES, len);
	return MEDLAR_OK;
}
