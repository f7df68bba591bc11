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
 * The transport for which the thread is in svc_getreq_common(): libtirpc passes
 * no user data to the dispatch function.
 */
static _Thread_local peer_transport_t *receiving_transport;

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

static void receive_envelope(peer_transport_t *transport,
			     const peer_envelope *envelope)
{
	peer_decoded_t received;
	int error = peer_decode(transport->key, envelope, &received);

	if (error) {
		metrics_add(transport->metrics,
			    error == MEDLAR_ERR_AUTH
				    ? METRIC_PEER_UNAUTHENTICATED
				    : METRIC_PEER_MALFORMED,
			    1);
		LOG_LINE(transport->log, LOG_LEVEL_DEBUG, "peer_drop",
			 MEDLAR_TEXT("why",
				     medlar_str_from(medlar_error_name(error))),
			 MEDLAR_NUM("bytes", envelope->body.body_len));
		return;
	}
	metrics_add(transport->metrics, METRIC_PEER_RECEIVED, 1);
	metrics_add(transport->metrics, METRIC_PEER_RECEIVED_BYTES,
		    CALL_OVERHEAD + envelope->body.body_len);
	transport->receive(&received.message, transport->data);
	peer_decoded_finish(&received);
}

/* Sends no reply to any call, not even an error to a malformed one. */
static void dispatch_call(struct svc_req *request, SVCXPRT *xprt)
{
	peer_envelope envelope = { 0 };

	if (!receiving_transport || request->rq_proc != PEER_SEND ||
	    !svc_getargs(xprt, (xdrproc_t)xdr_peer_envelope,
			 (char *)&envelope)) {
		if (receiving_transport)
			metrics_add(receiving_transport->metrics,
				    METRIC_PEER_MALFORMED, 1);
		return;
	}
	receive_envelope(receiving_transport, &envelope);
	svc_freeargs(xprt, (xdrproc_t)xdr_peer_envelope, (char *)&envelope);
}

static void on_readable(uint32_t events, void *data)
{
	peer_transport_t *transport = data;

	(void)events;
	receiving_transport = transport;
	svc_getreq_common(transport->fd);
	receiving_transport = NULL;
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

static int start_server(peer_transport_t *transport,
			const struct sockaddr_storage *address, socklen_t len)
{
	transport->fd = open_socket(address, len);
	if (transport->fd < 0)
		return MEDLAR_ERR_IO;
	transport->xprt = svc_dg_create(transport->fd, DATAGRAM_MAX,
					DATAGRAM_MAX);
	if (!transport->xprt || !svc_reg(transport->xprt, PEER_PROGRAM,
					 PEER_VERSION, dispatch_call, NULL))
		return MEDLAR_ERR_IO;
	return loop_watch(transport->loop, transport->fd, EPOLLIN, on_readable,
			  transport);
}

/**
 * peer_init() - open the socket and start to receive
 * @transport: memory provided by the caller; must not move
 * @loop: event loop of the control thread
 * @log: log of the control thread
 * @params: address, secret and counters
 * @receive: called with each authenticated message
 * @data: passed to @receive
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_MISSING without a secret; %MEDLAR_ERR_SYNTAX
 * for a malformed secret or address; %MEDLAR_ERR_RANGE for a short secret;
 * %MEDLAR_ERR_IO if the socket or the RPC server cannot be opened; or
 * %MEDLAR_ERR_NOMEM.
 */
int peer_init(peer_transport_t *transport, loop_t *loop, logger_t *log,
	      const peer_params_t *params, peer_receive_fn_t receive,
	      void *data)
{
	struct sockaddr_storage address;
	socklen_t len;
	int error;

	*transport = (peer_transport_t){
		.loop = loop,
		.log = log,
		.metrics = params->metrics,
		.receive = receive,
		.data = data,
		.fd = -1,
	};
	error = peer_key_derive(transport->key, params->key);
	if (!error)
		error = parse_address(params->host, params->port, &address,
				      &len);
	if (!error)
		error = start_server(transport, &address, len);
	if (error)
		peer_finish(transport);
	return error;
}

/**
 * peer_finish() - close the socket
 * @transport: transport, also one whose peer_init() failed
 */
void peer_finish(peer_transport_t *transport)
{
	if (transport->fd >= 0)
		loop_unwatch(transport->loop, transport->fd);
	if (transport->xprt) {
		svc_unreg(PEER_PROGRAM, PEER_VERSION);
		svc_destroy(transport->xprt);
	} else if (transport->fd >= 0) {
		close(transport->fd);
	}
	transport->xprt = NULL;
	transport->fd = -1;
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
 * @transport: transport
 * @to: receiver
 * @message: message
 *
 * Return: %MEDLAR_OK if it was sent, which does not mean that it arrives;
 * %MEDLAR_ERR_SYNTAX for an invalid address, %MEDLAR_ERR_TOO_LARGE or
 * %MEDLAR_ERR_IO.
 */
int peer_send(peer_transport_t *transport, const medlar_member_info_t *to,
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
		error = peer_encode(transport->key, message, body, &envelope);
	if (error)
		return error;
	len = encode_call(++transport->id, &envelope, datagram);
	if (len == 0)
		return MEDLAR_ERR_TOO_LARGE;
	if (sendto(transport->fd, datagram, len, 0,
		   (const struct sockaddr *)&address,
		   address_len) != (ssize_t)len)
		return MEDLAR_ERR_IO;
	metrics_add(transport->metrics, METRIC_PEER_SENT, 1);
	metrics_add(transport->metrics, METRIC_PEER_SENT_BYTES, len);
	return MEDLAR_OK;
}
